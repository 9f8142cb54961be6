"""Servers whose answers say that they leave, beneath a whole fleet."""

import asyncio
import time
from collections.abc import Callable

from parameterized import parameterized

from apricotquay.platform.engines import ServerClient
from apricotquay.serving.daemon import Daemon
from standins.platform import ModelServer

from . import test_platform_fleet
from .test_platform_fleet import HOST, PlatformFleet, PlatformTest

SERVERS = 8
LEAVING = 3
# The users allow a daemon this long after the first answer that it passed on.
DRAIN_S = 2.0
RUN_S = 4.0


class RecordingClient(ServerClient):
    """Records what one daemon sends to servers after it knew that they leave."""

    all: list["RecordingClient"] = []

    def __init__(self, connect) -> None:
        super().__init__(connect)
        self.told_s: dict[str, float] = {}
        self.sent: list[tuple[str, float]] = []
        RecordingClient.all.append(self)

    async def send(self, call, endpoint):
        """Send a call."""
        self.sent.append((endpoint.id, time.monotonic()))
        response = await super().send(call, endpoint)
        if (b"server-leaving", b"1") in response.headers:
            self.told_s.setdefault(endpoint.id, time.monotonic())
        return response

    def sent_after(self, delay_s: float) -> list[str]:
        """Return the servers that got a request so long after they said it."""
        return [
            server
            for server, sent_s in self.sent
            if sent_s > self.told_s.get(server, float("inf")) + delay_s
        ]


class LeavingTest(PlatformTest):
    """No daemon sends more work to a server than what it began before it knew."""

    def setUp(self) -> None:
        """Record what daemons send."""
        super().setUp()
        RecordingClient.all = []
        self.patch(test_platform_fleet, "ServerClient", RecordingClient)

    async def send_for(
        self,
        fleet: PlatformFleet,
        seconds: float,
        daemons: Callable[[], list[Daemon]] | None = None,
    ) -> list[int]:
        """Send requests for a while; return their statuses, 0 for none."""
        return await self.send_load(fleet, time.monotonic() + seconds, daemons)

    def check_drained(self) -> None:
        """Check the users' rule."""
        late = [client.sent_after(DRAIN_S) for client in RecordingClient.all]
        self.assertEqual([[]] * len(late), late)

    @parameterized.expand([(6,), (9,), (24,)])
    def test_server_that_says_it_leaves_gets_no_more_requests(self, daemons):
        """The list still calls it ready; the other servers take the whole load."""

        async def scenario(fleet):
            leaving = fleet.servers[:LEAVING]
            for server in leaving:
                server.leaving_values = ["1"]
            statuses = await self.send_for(fleet, RUN_S)
            self.check_drained()
            self.assertEqual({200}, set(statuses))
            for server in leaving:
                server.arrived_s.clear()
            await self.send_for(fleet, 1.0)
            self.assertEqual([[]] * LEAVING, [s.arrived_s for s in leaving])

        self.run_scenario(scenario, daemons, SERVERS, step_s=0.02)

    def test_store_outage_brings_no_leaving_server_back(self):
        """What answers said does not depend on the list."""

        async def scenario(fleet):
            for server in fleet.servers[:LEAVING]:
                server.leaving_values = ["1"]
            await self.send_for(fleet, 1.0)
            await fleet.store.close()
            await self.send_for(fleet, RUN_S)
            self.check_drained()

        self.run_scenario(scenario, 6, SERVERS, step_s=0.02)

    def test_new_daemon_is_told_who_leaves(self):
        """By the owner of the slots, so that it does not find out by sending."""

        async def scenario(fleet):
            leaving = fleet.servers[:LEAVING]
            for server in leaving:
                server.leaving_values = ["1"]
            await self.send_for(fleet, 1.0)
            first = fleet.daemons[0]
            await first.shards.leave()
            await first.close()
            fleet.daemons[0] = fleet.daemons[-1]
            await fleet.add_daemon("new")
            fleet.daemons.pop(0)
            new = fleet.daemons[-1]
            await fleet.wait_until(lambda: fleet.is_ready(new, SERVERS))
            statuses = await self.send_for(fleet, 2.0, lambda: [new])
            self.assertEqual({200}, set(statuses))
            ids = {server.name for server in leaving}
            sent = [s for s, _ in RecordingClient.all[-1].sent if s in ids]
            # The first requests may be sent before the owner's message arrives.
            self.assertLessEqual(len(sent), LEAVING)
            self.check_drained()

        self.run_scenario(scenario, 6, SERVERS, step_s=0.02)

    def test_server_that_starts_again_under_its_id_is_used_again(self):
        """Its new start has said nothing."""

        async def scenario(fleet):
            old = fleet.servers[0]
            old.leaving_values = ["1"]
            await self.send_for(fleet, 1.0)
            await old.close()
            new = ModelServer(old.name, 0.02, fleet.runs.append)
            await new.start(HOST, 0, fleet.store_address)
            fleet.servers[0] = new
            await self.send_for(fleet, 2.0)
            self.assertGreater(len(new.arrived_s), 0)

        self.run_scenario(scenario, 3, servers=2, step_s=0.02)

    @parameterized.expand([("zero", ["0"]), ("empty", [""]), ("twice", ["1", "1"])])
    def test_header_without_sense_does_not_take_a_server_away(self, _name, values):
        """The only server keeps its load."""

        async def scenario(fleet):
            fleet.servers[0].leaving_values = values
            statuses = await self.send_for(fleet, 1.0)
            self.assertEqual({200}, set(statuses))

        self.run_scenario(scenario, servers=1)

    def test_service_whose_servers_all_leave_refuses(self):
        """Nothing is sent that the users' rule forbids, and the callers know."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.leaving_values = ["1"]
            await self.send_for(fleet, 1.0)
            for server in fleet.servers:
                server.arrived_s.clear()
            statuses = await self.send_for(fleet, 0.5)
            self.assertEqual({503}, set(statuses))
            self.assertEqual([[], []], [s.arrived_s for s in fleet.servers])

        self.run_scenario(scenario)

    def test_refusal_of_a_leaving_server_is_no_failure(self):
        """It is not ejected, and the requests go to the other one."""

        async def scenario(fleet):
            leaving = fleet.servers[0]
            leaving.leaving_values = ["1"]
            leaving.refuses_all = True
            load = asyncio.ensure_future(self.send_for(fleet, 1.5))
            ejected = set()
            while not load.done():
                for daemon in fleet.daemons:
                    now_s = daemon.clock.now_s()
                    ejected |= daemon.view.endpoints.ejected("llm", now_s)
                    ejected |= set(daemon.slots.tables.statuses)
                await asyncio.sleep(0.01)
            self.assertEqual({200}, set(load.result()))
            self.assertEqual(set(), ejected)
            leaving.arrived_s.clear()
            await self.send_for(fleet, 0.5)
            self.assertEqual([], leaving.arrived_s)

        self.run_scenario(scenario, servers=3, step_s=0.02)

    def test_stream_at_a_leaving_server_goes_on(self):
        """It runs once, to its end."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.leaving_values = ["1"]
            response = await fleet.call(
                fleet.daemons[0], "POST", "/s/1", b"events=40", attempt_id="a"
            )
            self.assertEqual(40, response.body.count(b"data: "))
            self.assertEqual(1, len(fleet.runs))

        self.run_scenario(scenario, step_s=0.02)

    def test_batch_job_ends_beside_leaving_servers(self):
        """Items reach none of them once its daemon knows."""

        async def scenario(fleet):
            for server in fleet.servers[:LEAVING]:
                server.leaving_values = ["1"]
            bodies = ["events=8"] * 150
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j1", bodies))
            results = await fleet.wait_for_results(fleet.daemons[1], "j1")
            self.assertEqual({"done"}, {state for state, _ in results.values()})
            late = [client.sent_after(0.5) for client in RecordingClient.all]
            self.assertEqual([[]] * len(late), late)

        self.run_scenario(scenario, 6, SERVERS, step_s=0.05)
