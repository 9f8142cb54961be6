"""Requests that a peer sends to a server for a daemon that lost its links there."""

import asyncio

from parameterized import parameterized

from apricotquay.serving import endpoints as endpoints_module
from apricotquay.serving.crashes.crashlog import CRASHES
from apricotquay.serving.daemon import Daemon
from apricotquay.serving.fleet import peers as peers_module
from apricotquay.serving.messages import RelayCall
from standins.links import Cut

from .test_platform_fleet import TIMEOUT_S, PlatformFleet, PlatformTest

STEP_S = 0.01
SECRET_KEY = "sk-known-to-the-caller-only"
NO_FEATURES = ""


class RelayTest(PlatformTest):
    """Daemon 0 is cut off from the servers; the others reach them."""

    def run_cut(self, scenario, how=Cut.RESET_REFUSE, daemons=3, **options) -> None:
        """Run a scenario once a relayed request has shown the way."""

        async def run(fleet):
            fleet.links[fleet.daemons[0]].cut(how)
            response = await self.stream(fleet, 5, "first")
            self.assertEqual(200, response.status)
            await scenario(fleet)

        self.run_scenario(run, daemons=daemons, step_s=STEP_S, **options)

    def stream(
        self, fleet: PlatformFleet, events: int, attempt: str, path: str = "/s/1"
    ) -> asyncio.Task:
        """Start a request at the cut daemon."""
        return asyncio.ensure_future(
            fleet.call(
                fleet.daemons[0],
                "POST",
                path,
                b"events=%d" % events,
                attempt_id=attempt,
            )
        )

    def runs_of(self, fleet: PlatformFleet, attempt: str) -> list[dict]:
        """Return the runs of a request at all servers."""
        return [run for run in fleet.runs if run["ran"] == attempt]

    def assert_whole(self, response, events: int) -> None:
        """Check that a stream holds all its events in order, once each."""
        self.assertEqual(200, response.status)
        ids = [
            int(line[4:])
            for line in response.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        self.assertEqual(list(range(events)), ids)

    async def find_relay(self, fleet: PlatformFleet) -> Daemon:
        """Return the daemon that relays a running request."""
        await fleet.wait_until(
            lambda: any(d.relay_server.busy_count for d in fleet.daemons)
        )
        return next(d for d in fleet.daemons if d.relay_server.busy_count)


class RelayedRequestTest(RelayTest):
    """What callers and servers see of relayed requests."""

    @parameterized.expand([(how.name.lower(), how) for how in Cut])
    def test_stream_that_is_open_when_links_are_lost_has_no_gap(self, _name, how):
        """It goes on after its last event, over its own connection or a peer's."""

        async def scenario(fleet):
            calls = [self.stream(fleet, 60, f"a{n}") for n in range(4)]
            await fleet.wait_until(lambda: sum(s.running for s in fleet.servers) == 4)
            fleet.links[fleet.daemons[0]].cut(how)
            for response in await asyncio.gather(*calls):
                self.assert_whole(response, 60)

        self.run_scenario(scenario, daemons=3, step_s=STEP_S)

    def test_key_of_a_caller_is_not_sent_to_the_peer(self):
        """Only the daemon that the caller asked sees it."""
        frames = []
        encode_frame = peers_module.encode_frame

        def record_frame(number, message):
            frame = encode_frame(number, message)
            if isinstance(message, RelayCall):
                frames.append(frame)
            return frame

        self.patch(peers_module, "encode_frame", record_frame)

        async def scenario(fleet):
            await fleet.configure(2, small=["k1", SECRET_KEY])
            await fleet.wait_until(
                lambda: fleet.daemons[0].view.configuration.version == 2
            )
            response = await fleet.call(
                fleet.daemons[0], "POST", "/s/1", b"", attempt_id="a", key=SECRET_KEY
            )
            self.assertEqual(200, response.status)
            self.assertEqual("small", self.runs_of(fleet, "a")[0]["tenant"])
            self.assertTrue(frames)
            self.assertFalse([f for f in frames if SECRET_KEY.encode() in f])

        self.run_cut(scenario)

    def test_server_gets_no_more_time_than_is_left(self):
        """The time that the search for a relay takes is taken off."""

        async def scenario(fleet):
            link = fleet.links[fleet.daemons[0]]
            link.heal()
            paths = fleet.daemons[0].engines.paths
            await fleet.wait_until(lambda: not paths.lost_count)
            link.cut(Cut.HANG)
            await self.call_with_deadline(fleet, "a", 2000)
            self.assertLess(self.runs_of(fleet, "a")[0]["deadline_ms"], 1900)

        self.run_cut(scenario)

    async def call_with_deadline(
        self, fleet: PlatformFleet, attempt: str, deadline_ms: int
    ) -> None:
        response = await fleet.call(
            fleet.daemons[0],
            "POST",
            "/s/1",
            b"",
            attempt_id=attempt,
            deadline_ms=str(deadline_ms),
        )
        self.assertEqual(200, response.status)

    def test_caller_that_leaves_ends_the_request_at_the_server(self):
        """The cancellation passes the peer."""

        async def scenario(fleet):
            call = self.stream(fleet, 900, "a")
            await fleet.wait_until(lambda: any(s.running for s in fleet.servers))
            call.cancel()
            await fleet.wait_until(lambda: not any(s.running for s in fleet.servers))
            await fleet.wait_until(
                lambda: not any(d.relay_server.busy_count for d in fleet.daemons)
            )

        self.run_cut(scenario)

    def test_leaving_server_gets_nothing_new_from_the_cut_daemon(self):
        """What a relayed answer says of its server counts as any other's."""

        async def scenario(fleet):
            leaving = fleet.servers[0]
            leaving.leaving_values = ["1"]
            leaving.arrived_s.clear()
            while not leaving.arrived_s:
                await self.stream(fleet, 2, "a")
            await fleet.wait_until(
                lambda: fleet.daemons[0].view.endpoints.leaving_notices()
            )
            count = len(leaving.arrived_s)
            for number in range(8):
                self.assert_whole(await self.stream(fleet, 2, f"b{number}"), 2)
            self.assertEqual(count, len(leaving.arrived_s))

        self.run_cut(scenario)

    def test_batch_items_of_a_cut_daemon_are_done(self):
        """Whichever daemon owns the job."""

        async def scenario(fleet):
            for number in range(4):
                status = await fleet.submit(
                    fleet.daemons[0], f"j{number}", ["events=9"] * 4
                )
                self.assertEqual(202, status)
            for number in range(4):
                results = await fleet.wait_for_results(fleet.daemons[0], f"j{number}")
                self.assertEqual({"done"}, {state for state, _ in results.values()})

        self.run_cut(scenario)

    @parameterized.expand([(how.name.lower(), how) for how in Cut])
    def test_requests_use_links_again_once_they_have_returned(self, _name, how):
        """Probes find that out, without a caller's request."""

        async def scenario(fleet):
            fleet.links[fleet.daemons[0]].heal()
            paths = fleet.daemons[0].engines.paths
            await fleet.wait_until(lambda: not paths.lost_count)
            served = [d.metrics.render().count("relays_served") for d in fleet.daemons]
            for number in range(4):
                self.assert_whole(await self.stream(fleet, 2, f"a{number}"), 2)
            again = [d.metrics.render().count("relays_served") for d in fleet.daemons]
            self.assertEqual(served, again)

        self.run_cut(scenario, how)

    def test_link_to_one_server_alone_leaves_the_others_direct(self):
        """Requests to that server are relayed."""

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            lost = next(iter(daemon.view.endpoints.serving("llm")))
            fleet.links[daemon].cut(Cut.RESET_REFUSE, frozenset({lost.port}))
            for number in range(12):
                self.assert_whole(await self.stream(fleet, 2, f"a{number}"), 2)
            self.assertEqual(1, daemon.engines.paths.lost_count)
            self.assertFalse(daemon.engines.paths.is_cut_off)
            self.assertEqual({"i-0", "i-1"}, {run["server"] for run in fleet.runs})

        self.run_scenario(scenario, daemons=3, step_s=STEP_S)


class ManyDaemonsTest(RelayTest):
    """Daemons that own no shard relay too."""

    def test_daemons_that_own_no_shard_relay_if_all_owners_are_cut(self):
        """Owners name the daemons that are connected to them."""

        async def scenario(fleet):
            # Ownership has settled once the last daemon's join is known to all.
            await asyncio.sleep(1.0)
            others = [d for d in fleet.daemons[1:] if not d.shards.owned]
            self.assertTrue(others)
            for daemon in fleet.daemons:
                response = await fleet.call(
                    daemon, "POST", "/s/1", b"", attempt_id=daemon.settings.vm_id
                )
                self.assertEqual(200, response.status)
            for daemon in fleet.daemons:
                if daemon not in others:
                    fleet.links[daemon].cut(Cut.RESET_REFUSE)
            async with asyncio.timeout(TIMEOUT_S):
                while (await self.stream(fleet, 2, "a")).status != 200:
                    await asyncio.sleep(0.1)
            for number in range(8):
                self.assert_whole(await self.stream(fleet, 2, f"b{number}"), 2)
            self.assertTrue([d for d in others if d.relay_server.served_count])

        self.run_scenario(scenario, daemons=16, step_s=STEP_S)


class RelayFailureTest(RelayTest):
    """Peers that cannot relay, or end half-way."""

    def test_stream_goes_on_after_the_loss_of_its_relay(self):
        """Another peer takes over after the last event that was passed on."""

        async def scenario(fleet):
            call = self.stream(fleet, 60, "a")
            relay = await self.find_relay(fleet)
            await fleet.wait_until(
                lambda: sum(s.sent_event_count for s in fleet.servers) > 15
            )
            await relay.close()
            self.assert_whole(await call, 60)

        self.run_cut(scenario)

    def test_request_that_may_have_run_is_not_said_to_be_refused(self):
        """Its relay is lost while a server works on it; it runs once at most."""

        async def scenario(fleet):
            call = self.stream(fleet, 60, "a", path="/u/1")
            relay = await self.find_relay(fleet)
            await fleet.wait_until(lambda: any(s.running for s in fleet.servers))
            await relay.close()
            response = await call
            self.assertEqual(502, response.status)
            self.assertEqual(1, len(self.runs_of(fleet, "a")))

        self.run_cut(scenario)

    def test_request_is_refused_and_never_runs_if_nobody_reaches_a_server(self):
        """No cut peer passes it on to a further one."""

        async def scenario(fleet):
            for daemon in fleet.daemons:
                fleet.links[daemon].cut(Cut.RESET_REFUSE)
            response = await self.stream(fleet, 2, "a", path="/u/1")
            self.assertEqual(503, response.status)
            for daemon in fleet.daemons:
                fleet.links[daemon].heal()
            await asyncio.sleep(0.3)
            self.assertEqual([], self.runs_of(fleet, "a"))

        self.run_cut(scenario)

    def test_draining_relay_ends_its_attempts_and_begins_no_more(self):
        """New requests go by way of another peer."""

        async def scenario(fleet):
            call = self.stream(fleet, 60, "a")
            relay = await self.find_relay(fleet)
            drain = asyncio.ensure_future(relay.drain())
            await asyncio.sleep(0.02)
            for number in range(4):
                self.assert_whole(await self.stream(fleet, 2, f"b{number}"), 2)
            self.assertLessEqual(relay.relay_server.busy_count, 1)
            self.assert_whole(await call, 60)
            self.assertEqual(1, len(self.runs_of(fleet, "a")))
            await drain

        self.run_cut(scenario)

    def test_crash_of_a_server_under_a_relayed_request_is_reported(self):
        """Peers find that it refuses connections."""

        async def scenario(fleet):
            call = self.stream(fleet, 60, "a")
            await fleet.wait_until(lambda: any(s.running for s in fleet.servers))
            crashed = next(s for s in fleet.servers if s.running)
            await crashed.close()
            self.assert_whole(await call, 60)
            while not (await fleet.store.log.read_newest(CRASHES, 0)).records:
                await asyncio.sleep(0.05)

        self.run_cut(scenario)

    def test_daemons_of_an_older_version_get_no_unknown_message(self):
        """They would close the connection, and with it lose the sender's slots."""
        self.patch(peers_module, "OWN_FEATURES", NO_FEATURES)
        self.patch(endpoints_module, "EJECTION_BASE_S", 0.01)

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            peers = daemon.shards.addresses()
            connections = [await daemon.peers.connect(address) for address in peers]
            fleet.links[daemon].cut(Cut.RESET_REFUSE)
            response = await self.stream(fleet, 2, "a")
            self.assertEqual(503, response.status)
            self.assertTrue(all(connection.is_open for connection in connections))

        self.run_scenario(scenario, daemons=3, step_s=STEP_S)
