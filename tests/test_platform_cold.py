"""Fleets whose servers are replaced: what a cold server gets from all daemons."""

import asyncio
import time

from parameterized import parameterized

from apricotquay.serving.daemon import Daemon
from apricotquay.serving.slots.slotowner import SlotTables
from standins.platform import ModelServer, make_configuration, write_configuration

from .test_platform_fleet import PlatformFleet, PlatformTest
from .test_serving_coldlimits import COLD_PER_S, allowed, most_in_a_second

COLD_S = 3.0
# With the first step the load is more than the slots of two servers can take; those
# that join could take all of it.
BUSY_STEP_S = 0.2
FAST_STEP_S = 0.005
COLD_SERVICE = {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}


def owner_of(fleet: PlatformFleet, service: str = "llm") -> Daemon:
    """Return the daemon that owns the slots of a service."""
    return next(d for d in fleet.daemons if d.slots._is_owned(service))


async def configure(fleet: PlatformFleet, **service) -> None:
    """Write a configuration with further fields of the service, and wait for it."""
    value = make_configuration(2, {"small": ["k1"], "large": ["k2"]}, service)
    await write_configuration(fleet.store_address, value)
    for daemon in fleet.daemons:
        await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)


class ColdServerTest(PlatformTest):
    """Servers that join cold while the fleet is under load."""

    def check(self, server: ModelServer, started_s: float) -> None:
        """Check that a server got some requests while cold, and never too many."""
        cold = [t for t in server.arrived_s if t < started_s + server.cold_s]
        self.assertTrue(cold)
        self.assertLessEqual(most_in_a_second(cold), allowed(COLD_PER_S))

    @parameterized.expand(
        [
            (f"{daemons} daemons, {loss}", daemons, loss)
            for daemons in (6, 24)
            for loss in ("no loss", "owner closed", "owner cut off from the store")
        ]
    )
    def test_cold_server_gets_no_second_above_the_bound(self, _name, daemons, loss):
        """An empty server has the most free slots, so it would get all new work."""

        async def scenario(fleet):
            await configure(fleet, **COLD_SERVICE)
            load = asyncio.ensure_future(
                self.send_load(fleet, time.monotonic() + COLD_S + 2.0)
            )
            await asyncio.sleep(1.0)
            started_s = time.monotonic()
            joined = [
                await fleet.add_server(f"new-{n}", FAST_STEP_S, cold_s=COLD_S)
                for n in range(2)
            ]
            await asyncio.sleep(1.0)
            owner = owner_of(fleet)
            if loss == "owner closed":
                fleet.daemons.remove(owner)
                await owner.close()
            elif loss == "owner cut off from the store":
                fleet.store_links[owner].is_cut = True
            statuses = await load
            if loss != "owner closed":
                self.assertLessEqual(set(statuses), {200, 503})
            for server in joined:
                self.check(server, started_s)

        self.run_scenario(scenario, daemons=daemons, servers=2, step_s=BUSY_STEP_S)

    def test_service_of_cold_servers_only_goes_on_slowly(self):
        """Without a warm server the rest is refused, and nothing crashes."""

        async def scenario(fleet):
            await configure(fleet, **COLD_SERVICE)
            started_s = time.monotonic()
            for number in range(2):
                await fleet.add_server(f"new-{number}", 0.001, cold_s=COLD_S)
            for server in fleet.servers[:1]:
                await fleet.unlist(server)
            for daemon in fleet.daemons:
                await fleet.wait_until(lambda d=daemon: fleet.is_ready(d, 2))
            await self.send_load(fleet, started_s + COLD_S)
            for server in fleet.servers:
                self.check(server, started_s)

        self.run_scenario(scenario, daemons=6, servers=1)

    def test_slow_cold_server_is_not_ejected(self):
        """It would lose its place when it has just become warm."""

        async def scenario(fleet):
            ejected = []
            watch = SlotTables.record_outcome

            def record(tables, endpoint_id, outcome):
                watch(tables, endpoint_id, outcome)
                if tables.statuses:
                    ejected.append(dict(tables.statuses))

            self.patch(SlotTables, "record_outcome", record)
            await configure(fleet, **COLD_SERVICE)
            server = await fleet.add_server("new", 0.001, cold_s=4.0, cold_step_s=1.5)
            await self.send_load(fleet, time.monotonic() + 4.0)
            self.assertTrue(server.arrived_s)
            self.assertEqual([], ejected)

        self.run_scenario(scenario, daemons=3, servers=2)
