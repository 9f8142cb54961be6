"""Fleets in two regions whose route or team may reach one of them only."""

import asyncio
import time

from parameterized import parameterized

from apricotquay.serving.http.http1 import HttpError
from standins.links import Cut
from standins.platform import make_configuration, write_configuration

from .test_platform_fleet import PlatformFleet, PlatformTest

ZONES = {"zn": "north", "zs": "south"}
SERVERS = 4
NORTH = ["north"]
SOUTH = ["south"]


class RegionTest(PlatformTest):
    """What reaches the servers, and the peers, of the other region."""

    async def join(
        self, fleet: PlatformFleet, daemon_zones: str, of_route=(), of_team=()
    ) -> None:
        """Start daemons in the given zones, and servers in both."""
        value = make_configuration(2, {"small": ["k1"]}, allowed_regions=list(of_route))
        value["routes"][1]["allowed_regions"] = list(of_route)
        value["tenants"][0]["allowed_regions"] = list(of_team)
        await write_configuration(fleet.store_address, value)
        for number in range(SERVERS):
            zone = ("zn", "zs")[number % 2]
            await fleet.add_server(f"s-{number}", 0.005, zone=zone)
        for number, letter in enumerate(daemon_zones):
            zone = f"z{letter}"
            await fleet.add_daemon(
                f"r{number}", availability_zone=zone, region=ZONES[zone], zones=ZONES
            )
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: fleet.is_ready(d, SERVERS))
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)

    def zones_reached(self, fleet: PlatformFleet) -> set[str]:
        """Return the zones whose servers got requests."""
        return {server.zone for server in fleet.servers if server.arrived_s}

    @parameterized.expand(
        [
            ("none", (), (), {"zn", "zs"}),
            ("route", NORTH, (), {"zn"}),
            ("team", (), SOUTH, {"zs"}),
            ("both", ("north", "south"), NORTH, {"zn"}),
        ]
    )
    def test_requests_and_items_stay_in_the_regions(
        self, _name, of_route, of_team, zones
    ):
        """A job's items go the same way as its team's requests."""

        async def scenario(fleet):
            await self.join(fleet, "nnss", of_route, of_team)
            for daemon in fleet.daemons:
                job = f"j-{daemon.settings.vm_id}"
                self.assertEqual(202, await fleet.submit(daemon, job, ["events=2"] * 4))
            statuses = await self.send_load(fleet, time.monotonic() + 1.0)
            self.assertEqual({200}, set(statuses))
            for daemon in fleet.daemons:
                await fleet.wait_for_results(daemon, f"j-{daemon.settings.vm_id}")
            self.assertEqual(zones, self.zones_reached(fleet))

        self.run_scenario(scenario, daemons=0, servers=0)

    @parameterized.expand(
        [
            ("none in common", NORTH, SOUTH),
            ("no server there", ["west"], ()),
        ]
    )
    def test_request_without_a_region_is_rejected_at_once(
        self, _name, of_route, of_team
    ):
        """It can never be served, so its caller must not wait."""

        async def scenario(fleet):
            await self.join(fleet, "ns", of_route, of_team)
            began_s = time.monotonic()
            response = await fleet.call(
                fleet.daemons[0], "POST", "/s/1", b"events=1", attempt_id="a"
            )
            self.assertEqual(503, response.status)
            self.assertLess(time.monotonic() - began_s, 1.0)
            self.assertEqual([], fleet.runs)

        self.run_scenario(scenario, daemons=0, servers=0)

    @parameterized.expand(
        [("peers in both regions", "nssn", True), ("peers elsewhere", "nsss", False)]
    )
    def test_no_body_goes_to_a_relay_elsewhere(self, _name, daemon_zones, is_served):
        """A daemon without a way to the servers looks for any peer that has one."""

        async def scenario(fleet):
            await self.join(fleet, daemon_zones, NORTH)
            lost = fleet.daemons[0]
            fleet.links[lost].cut(Cut.RESET_REFUSE)
            statuses = []
            for number in range(20):
                try:
                    async with asyncio.timeout(3.0):
                        statuses.append(await self.send(fleet, lost, number))
                except (HttpError, TimeoutError):
                    statuses.append(0)
                if number > 3 and not is_served:
                    break
            self.assertEqual(is_served, 200 in statuses)
            relayed = [d.relay_server.served_count for d in fleet.daemons]
            south = [n for n, z in zip(relayed, daemon_zones, strict=True) if z == "s"]
            self.assertEqual(0, sum(south))

        self.run_scenario(scenario, daemons=0, servers=0)
