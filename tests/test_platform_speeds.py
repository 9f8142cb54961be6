"""Servers of unequal speed, and servers that are full, beneath a whole fleet."""

import asyncio
import time

from parameterized import parameterized

from apricotquay.serving.slots.tickets import Work

from .test_platform_fleet import PlatformTest

SERVERS = 4
STEP_S = 0.02
EVENTS = 20
# About as many streams as half of the slots take.
SENDS_PER_S = 40
LEARN_S = 2.0
RUN_S = 5.0
SAMPLE_INTERVAL_S = 0.05


class SpeedTest(PlatformTest):
    """What the owner learns, and where requests go."""

    async def send_streams(self, fleet, seconds: float) -> list[int]:
        """Send streams of many events; return their statuses."""
        calls = []
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            daemon = fleet.daemons[len(calls) % len(fleet.daemons)]
            name = f"{seconds}-{len(calls)}"
            call = fleet.call(
                daemon,
                "POST",
                f"/s/{name}",
                f"events={EVENTS}".encode(),
                attempt_id=name,
            )
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(1 / SENDS_PER_S)
        return [response.status for response in await asyncio.gather(*calls)]

    def known(self, fleet) -> dict:
        """Return the slowness that the service's owner knows."""
        owner = next(d for d in fleet.daemons if d.slots._is_owned("llm"))
        return dict(owner.slots.tables.table("llm").slowness)

    async def mean_running(self, fleet, sending: asyncio.Task) -> dict[str, float]:
        """Return how many requests ran at each server on average while sending."""
        sums = dict.fromkeys((s.name for s in fleet.servers), 0)
        samples = 0
        while not sending.done():
            samples += 1
            for server in fleet.servers:
                sums[server.name] += server.running
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        return {name: total / samples for name, total in sums.items()}

    @parameterized.expand([("streams", False), ("streams and their load", True)])
    def test_slow_server_is_found_and_runs_less(self, _name, states_slowness):
        """From the attempts of all daemons."""

        async def scenario(fleet):
            slow = fleet.servers[0]
            slow.slowness = 3.0
            for server in fleet.servers:
                server.states_slowness = states_slowness
            self.assertEqual({200}, set(await self.send_streams(fleet, LEARN_S)))
            self.assertIn(slow.name, self.known(fleet))
            self.assertGreater(self.known(fleet)[slow.name], 1.8)
            sending = asyncio.ensure_future(self.send_streams(fleet, RUN_S))
            running = await self.mean_running(fleet, sending)
            self.assertEqual({200}, set(await sending))
            # By the free share of slots, all would run as many.
            others = [n for name, n in running.items() if name != slow.name]
            self.assertLess(running[slow.name], min(others) * 0.75)

        self.run_scenario(scenario, daemons=3, servers=SERVERS, step_s=STEP_S)

    def test_equal_servers_stay_as_usual(self):
        """Jitter of their events must not change the choice."""

        async def scenario(fleet):
            self.assertEqual({200}, set(await self.send_streams(fleet, RUN_S)))
            worst = max([1.0, *self.known(fleet).values()])
            self.assertLess(worst, 1.5)

        self.run_scenario(scenario, daemons=3, servers=SERVERS, step_s=STEP_S)

    @parameterized.expand(
        [("many",), ("-1,0,8",), ("1000000,0,8",), ("1,0,8,0",), ("1,0,8,100001",)]
    )
    def test_load_that_makes_no_sense_is_ignored_and_counted(self, value):
        """All requests are served by a server that states it."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.load_value = value
            statuses = await self.send_load(fleet, time.monotonic() + 0.5)
            self.assertEqual({200}, set(statuses))
            self.assertEqual({}, self.known(fleet))
            for daemon in fleet.daemons:
                self.assertIn("loads_malformed", daemon.metrics.render())

        self.run_scenario(scenario, daemons=2, servers=1)


class ZoneTest(PlatformTest):
    """The zone of the daemon that sends, which the settings name."""

    def test_requests_and_batch_items_name_the_zone_of_their_daemon(self):
        """The owner could not prefer endpoints there otherwise."""

        async def scenario(fleet):
            zones = []
            for daemon in fleet.daemons:
                self.record_zones(daemon.slots, zones)
            await fleet.call(fleet.daemons[0], "POST", "/s/1", attempt_id="a1")
            await fleet.submit(fleet.daemons[0], "j1", ["events=3"])
            await fleet.wait_for_results(fleet.daemons[0], "j1")
            self.assertEqual({(Work.ONLINE, "z"), (Work.BATCH, "z")}, set(zones))

        self.run_scenario(scenario, daemons=2, servers=1)

    def record_zones(self, slots, zones: list) -> None:
        """Record the work and the zone of each request for a slot."""
        acquire = slots.acquire

        async def record(service, request):
            zones.append((request.work, request.zone))
            return await acquire(service, request)

        slots.acquire = record


class FullServerTest(PlatformTest):
    """Servers whose slots others hold, which the table counts as free."""

    def test_server_that_refuses_for_its_limit_is_not_left_out_as_full(self):
        """Its limit decides when it gets requests."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.limit, server.refuses_all = "5", True
            await self.send_load(fleet, time.monotonic() + 0.5)
            full_counts = [d.slots.tables.full_count for d in fleet.daemons]
            self.assertEqual([0, 0], full_counts)
            self.assertGreater(sum(s.refused_count for s in fleet.servers), 0)

        self.run_scenario(scenario, daemons=2, servers=2)

    async def fill(self, fleet, server) -> None:
        """Let somebody else hold the server's slots for a while."""
        server.running += 8
        await asyncio.sleep(1.5)
        server.running -= 8

    @parameterized.expand([("with an owner", False), ("without an owner", True)])
    def test_full_server_refuses_few_and_is_not_ejected(self, _name, is_alone):
        """Each refusal costs a client time, and an ejection costs slots for seconds."""

        async def scenario(fleet):
            if is_alone:
                for daemon in fleet.daemons:
                    daemon.slots._owner = lambda service: None
            await self.send_load(fleet, time.monotonic() + 0.3)
            server = fleet.servers[0]
            filling = asyncio.ensure_future(self.fill(fleet, server))
            statuses = await self.send_load(fleet, time.monotonic() + 1.4)
            await filling
            self.assertEqual({200}, set(statuses))
            # A quarter of about 70 arrivals would go there by the table's counts.
            self.assertLessEqual(server.refused_count, 12)
            for daemon in fleet.daemons:
                self.assertEqual({}, daemon.slots.tables.statuses)
                ejected = daemon.view.endpoints.ejected("llm", time.monotonic())
                self.assertEqual(frozenset(), ejected)
            arrived = len(server.arrived_s)
            await self.send_load(fleet, time.monotonic() + 1.0)
            self.assertGreater(len(server.arrived_s), arrived)

        self.run_scenario(scenario, daemons=2, servers=SERVERS, step_s=0.005)
