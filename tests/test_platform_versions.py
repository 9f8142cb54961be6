"""Servers of two software versions beneath a whole fleet."""

import asyncio
import collections

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.errors import PeerUnavailableError
from apricotquay.serving.daemon import Daemon
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic
from apricotquay.serving.fleet.shards import shard_number
from apricotquay.serving.http.http1 import HttpError, HttpRequest
from apricotquay.serving.http.httpclient import open_client
from apricotquay.serving.streams import streamkeeper, streamversions
from apricotquay.serving.streams.streamlog import StreamLog
from apricotquay.serving.streams.streamversions import stream_key
from standins.platform import (
    ModelServer,
    make_configuration,
    write_configuration,
)

from .test_platform_fleet import HOST, TIMEOUT_S, PlatformFleet, PlatformTest
from .test_serving_jobs import quiet_reporter

VERSIONS = ("v1", "v1.1")
STREAMS = 24
EVENTS = 12
EVENTS_BEFORE_LEAVING = 4


class VersionTest(PlatformTest):
    """A stream has events of one version, whoever goes on with it."""

    def versions_of(self, fleet: PlatformFleet, stream: str) -> set[str]:
        """Return the versions of the servers that ran a stream's attempts."""
        return {
            run["version"]
            for run in fleet.runs
            if run["ran"].partition(".")[0] == stream
        }

    async def begin(self, fleet: PlatformFleet, daemon: Daemon, stream: str) -> int:
        """Send a streaming request, leave within it; return the last event's id."""
        address = daemon.settings.callers
        connection = await open_client(address.host, address.port, 2.0)
        headers = [
            (b"host", b"a.example"),
            (b"key", b"k1"),
            (b"attempt-id", f"{stream}.0".encode()),
        ]
        data = b""
        try:
            body = b"events=%d" % EVENTS
            connection.send(HttpRequest("POST", "/s/1", headers, body))
            async with asyncio.timeout(TIMEOUT_S):
                await connection.read_head()
                async for part in connection.read_body():
                    data += part
                    if data.count(b"\n\n") >= EVENTS_BEFORE_LEAVING:
                        break
        finally:
            connection.close()
        return data.count(b"\n\n") - 1

    async def take_up(
        self,
        fleet: PlatformFleet,
        daemon: Daemon,
        stream: str,
        last_id: int,
        attempt: int = 1,
        **headers,
    ) -> int:
        """Take a stream up; return the status of the response."""
        fields = {"resumes": f"{stream}.0", "last_event_id": str(last_id)} | headers
        response = await fleet.call(
            daemon,
            "POST",
            "/s/1",
            b"events=%d" % EVENTS,
            attempt_id=f"{stream}.{attempt}",
            **fields,
        )
        return response.status

    async def begin_all(self, fleet: PlatformFleet, daemons: list[Daemon]) -> dict:
        """Begin streams at the daemons in turn; return the last events' ids."""
        streams = {f"s{n}": daemons[n % len(daemons)] for n in range(STREAMS)}
        ids = await asyncio.gather(
            *(self.begin(fleet, d, stream) for stream, d in streams.items())
        )
        return dict(zip(streams, ids, strict=True))

    async def take_up_all(
        self, fleet: PlatformFleet, daemons: list[Daemon], last_ids: dict, attempt=1
    ) -> collections.Counter:
        """Take streams up at the daemons in turn; return the statuses' numbers."""
        statuses = await asyncio.gather(
            *(
                self.take_up(fleet, daemons[n % len(daemons)], stream, last_id, attempt)
                for n, (stream, last_id) in enumerate(last_ids.items())
            )
        )
        return collections.Counter(statuses)

    def check_versions(self, fleet: PlatformFleet) -> None:
        """Check that no stream has events of two versions."""
        mixed = [n for n in range(STREAMS) if len(self.versions_of(fleet, f"s{n}")) > 1]
        self.assertEqual([], mixed)

    def test_broken_stream_goes_on_at_its_version_within_the_answer(self):
        """The other version's servers have more room."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.first_run_events = 3
            responses = await asyncio.gather(
                *(
                    fleet.call(
                        fleet.daemons[n % 2],
                        "POST",
                        "/s/1",
                        b"events=6",
                        attempt_id=f"s{n}",
                    )
                    for n in range(STREAMS)
                )
            )
            self.check_versions(fleet)
            for response in responses:
                self.assertEqual(200, response.status)
                self.assertEqual(6, response.body.count(b"data: "))

        self.run_scenario(scenario, servers=6, versions=VERSIONS)

    def test_stream_without_a_sound_server_of_its_version_breaks_off(self):
        """Another version's events would not fit."""

        async def scenario(fleet):
            await self.configure_timeout(fleet, 1_500)
            first = fleet.servers[0]
            first.first_run_events = 3
            calls = [
                asyncio.ensure_future(
                    fleet.call(
                        fleet.daemons[0],
                        "POST",
                        "/s/1",
                        b"events=6",
                        attempt_id=f"s{n}",
                    )
                )
                for n in range(4)
            ]
            await fleet.wait_until(lambda: first.running > 0)
            first.refuses_all = True
            results = await asyncio.gather(*calls, return_exceptions=True)
            self.check_versions(fleet)
            broken = [r for r in results if isinstance(r, HttpError)]
            self.assertEqual(2, len(broken))

        self.run_scenario(scenario, daemons=1, step_s=0.02, versions=VERSIONS)

    async def configure_timeout(self, fleet: PlatformFleet, timeout_ms: int) -> None:
        """Change the streaming route's timeout at all daemons."""
        configuration = make_configuration(2, {"small": ["k1"]}, timeout_ms=timeout_ms)
        await write_configuration(fleet.store_address, configuration)
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)

    @parameterized.expand(
        [
            ("at the same daemon", slice(0, 1), slice(0, 1), ()),
            ("at another daemon", slice(0, 1), slice(1, 4), ()),
            ("whose daemon is gone", slice(0, 1), slice(1, 4), (0,)),
            ("with two daemons gone", slice(0, 2), slice(2, 4), (0, 1)),
        ]
    )
    def test_stream_that_is_taken_up_goes_on_at_its_version(
        self, _name, begins, goes_on, killed
    ):
        """Callers leave within their streams and take them up, twice."""

        async def scenario(fleet):
            daemons = list(fleet.daemons)
            last_ids = await self.begin_all(fleet, daemons[begins])
            for number in killed:
                fleet.daemons.remove(daemons[number])
                await daemons[number].close()
            for attempt in (1, 2):
                statuses = await self.take_up_all(
                    fleet, daemons[goes_on], last_ids, attempt
                )
                self.check_versions(fleet)
                self.assertEqual({200: STREAMS}, statuses)

        self.run_scenario(
            scenario, daemons=4, servers=6, step_s=0.01, versions=VERSIONS
        )

    async def restart_all(self, fleet: PlatformFleet) -> None:
        """Stop all daemons at once and start as many new ones."""
        count = len(fleet.daemons)
        for daemon in fleet.daemons:
            await daemon.close()
        fleet.daemons.clear()
        fleet.store.log._members.clear()
        for number in range(count):
            await fleet.add_daemon(f"new{number}")
        for daemon in fleet.daemons:
            await fleet.wait_until(
                lambda d=daemon: (
                    d.view.configuration is not None
                    and any(d.view.endpoints.serving("llm"))
                    and len(d.shards.known_owners()[0]) == d.shards.count
                )
            )

    async def wait_until_stored(self, fleet: PlatformFleet, streams: dict) -> None:
        """Wait until the versions of all streams are in the store."""
        log = StreamLog(fleet.store.log, SystemClock(), quiet_reporter())
        keys = [stream_key("small", f"{stream}.0") for stream in streams]
        async with asyncio.timeout(TIMEOUT_S):
            while not all(map((await log.read()).find, keys)):
                await asyncio.sleep(0.02)

    def test_stream_that_is_taken_up_after_all_daemons_restarted_goes_on(self):
        """No daemon knows its version; the store does."""

        async def scenario(fleet):
            last_ids = await self.begin_all(fleet, fleet.daemons)
            await self.wait_until_stored(fleet, last_ids)
            await self.restart_all(fleet)
            statuses = await self.take_up_all(fleet, fleet.daemons, last_ids)
            self.check_versions(fleet)
            self.assertEqual({200: STREAMS}, statuses)

        self.run_scenario(
            scenario, daemons=4, servers=6, step_s=0.01, versions=VERSIONS
        )

    def test_stream_whose_version_left_while_all_daemons_restarted_is_not_joined(self):
        """Only servers of the other version are listed now."""

        async def scenario(fleet):
            last_ids = await self.begin_all(fleet, fleet.daemons)
            for server in [s for s in fleet.servers if s.version == VERSIONS[0]]:
                await fleet.unlist(server)
            await self.restart_all(fleet)
            statuses = await self.take_up_all(fleet, fleet.daemons, last_ids)
            self.check_versions(fleet)
            self.assertLessEqual(set(statuses), {200, 503})
            self.assertGreater(statuses[503], 0)

        self.run_scenario(
            scenario, daemons=4, servers=6, step_s=0.01, versions=VERSIONS
        )

    @parameterized.expand(
        [
            ("an unknown attempt", {"resumes": "unknown"}),
            ("no attempt", {"resumes": ""}),
            ("another team's attempt", {"key": "k2"}),
            ("a very long id", {"resumes": "x" * 5_000}),
        ]
    )
    def test_stream_of_unknown_version_is_refused_without_a_run(self, _name, headers):
        """Two versions serve, so its version would be a guess."""

        async def scenario(fleet):
            last_id = await self.begin(fleet, fleet.daemons[0], "s0")
            runs = len(fleet.runs)
            for daemon in fleet.daemons:
                status = await self.take_up(fleet, daemon, "s0", last_id, **headers)
                self.assertEqual(503, status)
            self.assertEqual(runs, len(fleet.runs))

        self.run_scenario(scenario, versions=VERSIONS, step_s=0.01)

    @parameterized.expand(
        [
            (
                f"{name}, {when} the gap, after {joined_s} s",
                peers,
                when,
                joined_s,
            )
            for name, peers in (("cut from the store", True), ("from all", False))
            for when in ("during", "right after")
            for joined_s in (0.1, 1.0)
        ]
    )
    def test_daemon_that_missed_a_new_version_joins_no_streams_of_it(
        self, _name, has_peers, when, joined_s
    ):
        """It still knows one version only, which it takes for the stream's."""
        self.patch(streamversions, "MIN_LIFETIME_S", 1.0)
        # The route's timeout, which lengthens the lifetime, is 5 s.
        self.patch(streamkeeper, "TAKE_UP_S", -4.0)

        async def scenario(fleet):
            number = shard_number("llm", fleet.daemons[0].shards.count)
            behind, other, _ = sorted(
                fleet.daemons, key=lambda d: number in d.shards.owned
            )
            await asyncio.sleep(1.5)
            fleet.store_links[behind].is_cut = True
            if not has_peers:
                self.patch(behind.peers, "connect", fail_to_connect)
                self.patch(behind.peers, "call", fail_to_connect)
            await asyncio.sleep(joined_s)
            for server in list(fleet.servers):
                await self.replace(fleet, server, "v2")
            await fleet.wait_until(lambda: knows_version(other, "v2"))
            streams = {f"s{n}": 0 for n in range(6)}
            for stream in streams:
                streams[stream] = await self.begin(fleet, other, stream)
                self.assertEqual({"v2"}, self.versions_of(fleet, stream))
            if when == "right after":
                fleet.store_links[behind].is_cut = False
            for stream, last_id in streams.items():
                status = await self.take_up(fleet, behind, stream, last_id)
                self.assertIn(status, (200, 503))
                self.assertEqual({"v2"}, self.versions_of(fleet, stream))

        self.run_scenario(scenario, daemons=3, step_s=0.01)

    async def replace(
        self, fleet: PlatformFleet, server: ModelServer, version: str
    ) -> None:
        """Add a server of a version; the one that it replaces goes on for a while."""
        newer = ModelServer(f"{server.name}-{version}", 0.01, fleet.runs.append)
        newer.version = version
        await newer.start(HOST, 0, fleet.store_address)
        fleet.servers.append(newer)
        entry = KeyedRecord(server.name.encode(), None)
        await fleet.store.log.append(Topic("keyed.servers"), 0, [entry], None)

    def test_items_go_on_at_the_version_that_began_them(self):
        """Their texts are those of one version."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.first_run_events = 3
            bodies = ["events=6"] * STREAMS
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", bodies))
            results = await fleet.wait_for_results(fleet.daemons[1], "j")
            self.assertEqual({"done"}, {state for state, _ in results.values()})
            for number in range(STREAMS):
                name = f"j-{number}"
                runs = [run for run in fleet.runs if run["ran"] == name]
                last_whole = max(n for n, run in enumerate(runs) if run["after"] < 0)
                versions = {run["version"] for run in runs[last_whole:]}
                self.assertEqual(1, len(versions))

        self.run_scenario(scenario, servers=6, versions=VERSIONS)


async def fail_to_connect(*_args) -> None:
    """Fail as the connection to a peer that is out of reach."""
    raise PeerUnavailableError("cut")


def knows_version(daemon: Daemon, version: str) -> bool:
    """Whether a daemon's list has endpoints of a version and of no other."""
    return {e.version for e in daemon.view.endpoints.serving("llm")} == {version}
