"""Tickets that wait for other endpoints until one that they exclude can be used."""

import asyncio
from typing import NamedTuple

import msgspec
from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId
from apricotquay.serving import endpoints as endpoints_module
from apricotquay.serving.endpoints import LeavingNotice
from apricotquay.serving.slots import allocator as slots_module
from apricotquay.serving.slots.slotrequests import SlotLease, SlotRequest
from apricotquay.serving.slots.tickets import Work

from .base import ApricotTest
from .test_serving_slots import ENDPOINTS, SERVICE, SLOTS, SlotDaemon

# The time limit of a whole wait, far above the interval of checks.
TIMEOUT_S = 10.0
# Longer than a test takes.
EJECTION_S = 60.0
STARTED_MS = 1_000


class Endpoints:
    """Changes what daemons know of the endpoints."""

    def __init__(self, daemons: list[SlotDaemon]) -> None:
        self._daemons = daemons
        self._offset = ENDPOINTS
        self.evacuated: set[str] = set()
        for daemon in daemons:
            daemon.slots._view.endpoints.is_evacuated = self.evacuated.__contains__
        for number in range(ENDPOINTS):
            self.write(number)

    def write(self, number: int, **fields) -> None:
        """List an endpoint in a zone of its own, or write its entry again."""
        endpoint_id = EndpointId(f"e{number}")
        values = {
            "zone": f"z{number}",
            "started_ms": STARTED_MS,
            "is_leaving": False,
        } | fields
        self._offset += 1
        for daemon in self._daemons:
            table = daemon.slots._view.endpoints
            entry = msgspec.structs.replace(table.get(endpoint_id), **values)
            now_s = SystemClock().now_s()
            table.apply(endpoint_id, entry, self._offset, now_s)
        self.refresh()

    def remove(self, number: int) -> None:
        """Remove an endpoint from the list."""
        self._offset += 1
        for daemon in self._daemons:
            now_s = SystemClock().now_s()
            table = daemon.slots._view.endpoints
            table.apply(EndpointId(f"e{number}"), None, self._offset, now_s)
        self.refresh()

    def record_leaving(self, number: int) -> None:
        """Record that an answer of an endpoint said that it leaves."""
        notice = LeavingNotice(EndpointId(f"e{number}"), STARTED_MS)
        for daemon in self._daemons:
            daemon.slots._view.endpoints.record_leaving(notice)
        self.refresh()

    def eject(self, number: int) -> None:
        """Let all daemons eject an endpoint."""
        for daemon in self._daemons:
            now_s = SystemClock().now_s()
            table = daemon.slots._view.endpoints
            table.record_failure(EndpointId(f"e{number}"), True, now_s)
        self.refresh()

    def refresh(self) -> None:
        """Let the daemons apply the changes."""
        for daemon in self._daemons:
            daemon.slots.refresh()


class Case(NamedTuple):
    """What lets a ticket exclude e0, and what ends the reason for it."""

    failed: frozenset[str]
    before: tuple
    after: tuple


FAILED = frozenset({"e0"})
CASES = {
    "others leave": Case(FAILED, (), (("write", 1, True), ("write", 2, True))),
    "others are removed": Case(FAILED, (), (("remove", 1), ("remove", 2))),
    "others say they leave": Case(
        FAILED, (), (("record_leaving", 1), ("record_leaving", 2))
    ),
    "others are evacuated": Case(FAILED, (), (("evacuate", 1), ("evacuate", 2))),
    "evacuation ends": Case(frozenset(), (("evacuate", 0),), (("return", 0),)),
    "starts again after leaving": Case(
        frozenset(), (("record_leaving", 0),), (("restart", 0),)
    ),
    "starts again after ejection": Case(
        frozenset(), (("eject", 0),), (("restart", 0),)
    ),
}


class OutdatedTicketTest(ApricotTest):
    """Daemons with real connections on loopback; the others' slots are all taken."""

    def run_fleet(self, scenario, daemons: int) -> None:
        """Run a scenario with daemons of which the first one is the owner."""

        async def run() -> None:
            fleet = [SlotDaemon(f"d{n}") for n in range(daemons)]
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    for daemon in fleet:
                        await daemon.start()
                    for daemon in fleet:
                        daemon.shards.believed_owner = fleet[0].shards.address
                    await scenario(fleet, Endpoints(fleet))
            finally:
                for daemon in fleet:
                    await daemon.close()

        self.patch(slots_module, "LIST_INTERVAL_S", 0.1)
        asyncio.run(run())

    def change(self, endpoints: Endpoints, changes: tuple) -> None:
        """Make changes of endpoints."""
        for name, number, *fields in changes:
            if name == "write":
                endpoints.write(number, is_leaving=fields[0])
            elif name == "restart":
                endpoints.write(number, started_ms=STARTED_MS + 1)
            elif name == "evacuate":
                endpoints.evacuated.add(f"z{number}")
            elif name == "return":
                endpoints.evacuated.discard(f"z{number}")
            else:
                getattr(endpoints, name)(number)
        endpoints.refresh()

    async def acquire(
        self, daemon: SlotDaemon, work: Work, avoid: frozenset[str], **fields
    ) -> SlotLease:
        """Acquire a slot in at most a minute."""
        now_s = SystemClock().now_s()
        request = SlotRequest(work, now_s + 30, now_s + 60, avoid=avoid, **fields)
        return await daemon.slots.acquire(SERVICE, request)

    async def take_others(self, daemon: SlotDaemon) -> None:
        """Take all slots but those of the first endpoint."""
        for _ in range((ENDPOINTS - 1) * SLOTS):
            await self.acquire(daemon, Work.ONLINE, FAILED)

    async def check(
        self, fleet: list[SlotDaemon], endpoints: Endpoints, case: Case, work: Work
    ) -> None:
        """Let a ticket wait and then end its reason to wait."""
        await self.take_others(fleet[0])
        self.change(endpoints, case.before)
        waiting = asyncio.ensure_future(self.acquire(fleet[-1], work, case.failed))
        await asyncio.sleep(0.2)
        self.assertFalse(waiting.done())
        self.change(endpoints, case.after)
        lease = await waiting
        self.assertEqual("e0", lease.endpoint)
        self.assertEqual(1, fleet[-1].slots.replaced_count)

    @parameterized.expand(
        [
            (f"{name} {work.value} {daemons}", name, work, daemons)
            for name in CASES
            for work, daemons in (
                (Work.BATCH, 1),
                (Work.BATCH, 2),
                (Work.ONLINE, 2),
            )
        ]
    )
    def test_ticket_waits_no_longer_for_others_than_it_has_reason_to(
        self, _name, case, work, daemons
    ):
        """One daemon has its own table, the second asks the first."""

        async def scenario(fleet, endpoints) -> None:
            await self.check(fleet, endpoints, CASES[case], work)

        self.patch(endpoints_module, "EJECTION_BASE_S", EJECTION_S)
        self.patch(endpoints_module, "EJECTION_MAX_S", EJECTION_S)
        self.run_fleet(scenario, daemons)

    @parameterized.expand([(work.value, work) for work in Work])
    def test_ticket_waits_no_longer_than_an_ejection_lasts(self, _name, work):
        """Nothing but time ends it."""

        async def scenario(fleet, endpoints) -> None:
            case = Case(frozenset(), (("eject", 0),), ())
            await self.check(fleet, endpoints, case, work)

        self.patch(endpoints_module, "EJECTION_BASE_S", 0.6)
        self.run_fleet(scenario, 2)

    @parameterized.expand([(work.value, work) for work in Work])
    def test_version_is_waited_for_where_it_failed_if_no_other_endpoint_has_it(
        self, _name, work
    ):
        """The others have free slots, but of another version."""

        async def scenario(fleet, endpoints) -> None:
            for number, version in enumerate(("v1", "v1", "v2")):
                endpoints.write(number, version=version)
            fields = {"version": "v1"}
            for _ in range(SLOTS):
                await self.acquire(fleet[0], Work.ONLINE, FAILED, **fields)
            waiting = asyncio.ensure_future(
                self.acquire(fleet[1], work, FAILED, **fields)
            )
            await asyncio.sleep(0.2)
            self.assertFalse(waiting.done())
            endpoints.remove(1)
            self.assertEqual("e0", (await waiting).endpoint)

        self.run_fleet(scenario, 2)

    def test_ticket_waits_no_longer_than_an_endpoint_with_an_unused_grant_is_cold(
        self,
    ):
        """The owner takes it for warm, so that its grant does not count."""

        async def scenario(fleet, endpoints) -> None:
            await self.take_others(fleet[0])
            is_cold = {"e0"}
            self.patch(fleet[1].slots.tables, "is_cold", is_cold.__contains__)
            waiting = asyncio.ensure_future(
                self.acquire(fleet[1], Work.BATCH, frozenset())
            )
            await asyncio.sleep(0.2)
            self.assertFalse(waiting.done())
            is_cold.clear()
            self.assertEqual("e0", (await waiting).endpoint)

        self.run_fleet(scenario, 2)
