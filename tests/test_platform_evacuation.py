"""Fleets whose operator evacuates a zone while they are under load."""

import asyncio
import time

from parameterized import parameterized

from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic

from .test_platform_fleet import PlatformFleet, PlatformTest

ZONES = ("za", "zb")
SERVERS = 8
STEP_S = 0.05
# A daemon with the store knows at once, others once a peer tells; 5 s are allowed.
KNOWN_EVERYWHERE_S = 4.0
WATCHED_S = 1.5


async def write(fleet: PlatformFleet, zone: str, value: bytes | None) -> None:
    """Write the operator's record of a zone."""
    record = KeyedRecord(f"evacuate/{zone}".encode(), value)
    await fleet.store.log.append(Topic("keyed.op"), 0, [record], None)


def arrivals(fleet: PlatformFleet, zone: str, since_s: float) -> int:
    """Return how many requests arrived at the servers of a zone since a time."""
    return sum(
        sum(1 for at_s in server.arrived_s if at_s >= since_s)
        for server in fleet.servers
        if server.zone == zone
    )


class EvacuationTest(PlatformTest):
    """What reaches the servers of an evacuated zone."""

    async def join(self, fleet: PlatformFleet) -> None:
        """Start servers in both zones and wait until all daemons know them."""
        for number in range(SERVERS):
            zone = ZONES[number % len(ZONES)]
            await fleet.add_server(f"s-{number}", STEP_S, zone=zone)
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: fleet.is_ready(d, SERVERS))

    def start_load(self, fleet: PlatformFleet, for_s: float) -> asyncio.Future:
        """Send requests and a job for a time."""
        until_s = time.monotonic() + for_s
        return asyncio.ensure_future(self.send_load(fleet, until_s))

    @parameterized.expand(
        [
            (f"{daemons} daemons, {case}", daemons, case)
            for daemons in (6, 24)
            for case in ("all know", "one cut off", "one starts", "owner closed")
        ]
    )
    def test_evacuated_zone_gets_nothing_new(self, _name, daemons, case):
        """It is lost soon, and every request in it too."""

        async def scenario(fleet):
            await self.join(fleet)
            load = self.start_load(fleet, KNOWN_EVERYWHERE_S + WATCHED_S + 1.0)
            await asyncio.sleep(0.5)
            self.assertTrue(arrivals(fleet, "za", 0.0))
            if case == "one cut off":
                fleet.store_links[fleet.daemons[0]].is_cut = True
            await write(fleet, "za", b"{}")
            said_s = time.monotonic()
            if case == "one starts":
                await fleet.add_daemon("late")
            elif case == "owner closed":
                owner = next(d for d in fleet.daemons if d.slots._is_owned("llm"))
                fleet.daemons.remove(owner)
                await owner.close()
            if case == "all know":
                said_s -= KNOWN_EVERYWHERE_S - 1.0
            await asyncio.sleep(said_s + KNOWN_EVERYWHERE_S - time.monotonic())
            bodies = ["events=3"] * 8
            self.assertEqual(202, await fleet.submit(fleet.daemons[-1], "j1", bodies))
            since_s = said_s + KNOWN_EVERYWHERE_S
            await load
            self.assertEqual(0, arrivals(fleet, "za", since_s))
            self.assertTrue(arrivals(fleet, "zb", since_s))

        self.run_scenario(scenario, daemons=daemons, servers=0, step_s=STEP_S)

    def test_streams_begun_there_go_on_and_the_word_can_be_taken_back(self):
        """Work that runs in the zone is not cut, and the zone is used again."""

        async def scenario(fleet):
            await self.join(fleet)
            calls = [
                asyncio.ensure_future(
                    fleet.call(
                        fleet.daemons[n % len(fleet.daemons)],
                        "POST",
                        f"/s/{n}",
                        b"events=40",
                        attempt_id=f"long{n}",
                    )
                )
                for n in range(16)
            ]
            await fleet.wait_until(lambda: all(s.running >= 1 for s in fleet.servers))
            await write(fleet, "za", b"{}")
            for response in await asyncio.gather(*calls):
                self.assertEqual(200, response.status)
                self.assertEqual(40, response.body.count(b"data: "))
            self.assertEqual({-1}, {run["after"] for run in fleet.runs})
            await write(fleet, "za", None)
            since_s = time.monotonic()
            await self.start_load(fleet, 1.0)
            self.assertTrue(arrivals(fleet, "za", since_s))

        self.run_scenario(scenario, daemons=3, servers=0, step_s=STEP_S)

    def test_service_that_is_evacuated_as_a_whole_refuses_at_once(self):
        """Callers can go elsewhere while there is time."""

        async def scenario(fleet):
            await self.join(fleet)
            for zone in ZONES:
                await write(fleet, zone, b"{}")
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: len(d.view.evacuations.zones) == 2
                )
            began_s = time.monotonic()
            response = await fleet.call(
                fleet.daemons[0], "POST", "/s/1", b"events=1", attempt_id="a"
            )
            self.assertEqual(503, response.status)
            self.assertLess(time.monotonic() - began_s, 1.0)
            self.assertEqual([], fleet.runs)

        self.run_scenario(scenario, daemons=2, servers=0, step_s=STEP_S)

    def test_malformed_records_change_nothing(self):
        """Other programs write to the topic too."""

        async def scenario(fleet):
            await self.join(fleet)
            for zone, value in (("", b"{}"), ("za", b"[]"), ("zb", b"{"), ("x", b"{}")):
                await write(fleet, zone, value)
            await fleet.configure(2, small=["k1"])
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: d.view.configuration.version == 2
                )
            statuses = await self.start_load(fleet, 1.0)
            self.assertEqual({200}, set(statuses))
            for zone in ZONES:
                self.assertTrue(arrivals(fleet, zone, 0.0))

        self.run_scenario(scenario, daemons=2, servers=0, step_s=STEP_S)
