"""Daemons that lose their links to servers while peers, store and callers stay."""

import asyncio
import itertools
import time

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.crashes.crashlog import (
    CRASHES,
    CrashReport,
    decode_crash_record,
)
from apricotquay.serving.daemon import Daemon
from standins.links import Cut

from .test_platform_fleet import PlatformFleet, PlatformTest

STEP_S = 0.005
CALM_S = 0.5
CUT_S = 3.0
# RECOVER counts the requests that are sent from so long after the cut began; the
# stand-ins' fleet is small, so its first moments must be enough.
SETTLING_S = 0.5
MIN_RELATIVE_SHARE = 2 / 3
REQUEST_INTERVAL_S = 0.02


class StrandedTest(PlatformTest):
    """A base for tests that cut some daemons from servers."""

    async def send_at(
        self, fleet: PlatformFleet, daemons: list[Daemon], until_s: float
    ) -> float:
        """Send requests to daemons in turn; return the share that is served."""
        calls = []
        for number in itertools.count():
            if time.monotonic() >= until_s:
                break
            daemon = daemons[number % len(daemons)]
            name = f"{daemon.settings.vm_id}x{number}"
            calls.append(asyncio.ensure_future(self.send(fleet, daemon, name)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        statuses = await asyncio.gather(*calls)
        return statuses.count(200) / len(statuses)

    async def send_at_both(
        self, fleet: PlatformFleet, cut: list[Daemon], duration_s: float
    ) -> tuple[float, float]:
        """Send requests to the cut daemons and to the others at the same time; return
        the shares that are served.
        """
        others = [d for d in fleet.daemons if d not in cut]
        until_s = time.monotonic() + duration_s
        return await asyncio.gather(
            self.send_at(fleet, cut, until_s), self.send_at(fleet, others, until_s)
        )


class StrandedFleetTest(StrandedTest):
    """Callers of such daemons are served like those of the others."""

    @parameterized.expand(
        [
            (f"{how.name.lower()}_{count}_of_{daemons}", how, count, daemons)
            for daemons, count in ((3, 1), (6, 4), (9, 5))
            for how in Cut
        ]
    )
    def test_callers_of_cut_daemons_are_served_as_often_as_others(
        self, _name, how, count, daemons
    ):
        """Some endpoints are cut off from most daemons, and from all of a zone."""

        async def scenario(fleet):
            cut = fleet.daemons[:count]
            await self.send_at_both(fleet, cut, CALM_S)
            for daemon in cut:
                fleet.links[daemon].cut(how)
            await self.send_at_both(fleet, cut, SETTLING_S)
            share, others_share = await self.send_at_both(fleet, cut, CUT_S)
            self.assertGreaterEqual(share, MIN_RELATIVE_SHARE * others_share)
            self.assertGreaterEqual(others_share, 0.95)

        self.run_scenario(scenario, daemons=daemons, servers=daemons, step_s=STEP_S)

    @parameterized.expand([(how.name.lower(), how) for how in Cut])
    def test_sound_servers_are_neither_ejected_nor_reported_as_crashed(self, _, how):
        """Neither at the cut daemon, which asks for slots, nor at their owner."""

        async def scenario(fleet):
            cut = fleet.daemons[:2]
            load = asyncio.ensure_future(self.send_at_both(fleet, cut, CUT_S))
            await asyncio.sleep(CALM_S)
            for daemon in cut:
                fleet.links[daemon].cut(how)
            await asyncio.sleep(SETTLING_S)
            ejected = set()
            while not load.done():
                ejected |= ejected_endpoints(fleet)
                await asyncio.sleep(0.05)
            self.assertEqual(set(), ejected)
            self.assertEqual([], await self.read_crash_reports(fleet))

        self.run_scenario(scenario, daemons=4, servers=4, step_s=STEP_S)

    async def read_crash_reports(self, fleet: PlatformFleet) -> list[CrashReport]:
        """Return the reports of crashed endpoints that daemons have stored."""
        page = await fleet.store.log.read_newest(CRASHES, 0)
        records = [decode_crash_record(r.value) for r in page.records if r.value]
        return [r for r in records if isinstance(r, CrashReport)]


def ejected_endpoints(fleet: PlatformFleet) -> set[EndpointId]:
    """Return the endpoints that any daemon avoids because of failures."""
    ejected = set()
    for daemon in fleet.daemons:
        now_s = daemon.clock.now_s()
        ejected |= daemon.view.endpoints.ejected(ServiceName("llm"), now_s)
        ejected |= daemon.slots.tables.statuses.keys()
    return ejected
