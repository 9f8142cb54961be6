"""Which software version began a stream: records, history, questions to peers."""

import asyncio

import msgspec
from parameterized import parameterized

from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import EndpointId, RouteName, TeamId
from apricotquay.serving.catalog import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    ServiceName,
    WeightedService,
)
from apricotquay.serving.endpoints import Endpoint, EndpointTable
from apricotquay.serving.fleet.keyedlog import KeyedRecord
from apricotquay.serving.messages import FindStream, StreamBegan, StreamFound
from apricotquay.serving.streams import (
    streamkeeper,
    streamlog as streamlog_module,
    streamversions,
)
from apricotquay.serving.streams.streamkeeper import StreamKeeper
from apricotquay.serving.streams.streamlog import (
    PARTITION,
    RECORD_KEY,
    STREAMS,
    StoredStreams,
    StreamLog,
    StreamRecord,
    VersionNote,
    encode_stream_record,
)
from apricotquay.serving.streams.streamversions import (
    MIN_LIFETIME_S,
    StreamLifetime,
    StreamVersions,
    VersionHistory,
    stream_key,
)
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter
from .test_serving_slots import SteppedClock

SERVICE = ServiceName("llm")
TEAM = TeamId("team")
KEPT_S = 10.0


def endpoint(name: str, version: str) -> Endpoint:
    """Return an endpoint of a version."""
    return Endpoint(EndpointId(name), SERVICE, "h", 1, version=version)


class StreamVersionsTest(ApricotTest):
    """The records of one daemon."""

    @parameterized.expand(
        [
            ("another team", TeamId("other"), "a"),
            ("another attempt", TEAM, "b"),
            ("both run together", TeamId("tea"), "ma"),
            ("no team", None, "a"),
        ]
    )
    def test_key_names_one_attempt_of_one_team(self, _name, team, attempt):
        """Nobody learns of another team's streams, whatever ids are invented."""
        self.assertNotEqual(stream_key(TEAM, "a"), stream_key(team, attempt))
        self.assertEqual(streamversions.KEY_BYTES, len(stream_key(TEAM, "x" * 9_999)))

    def test_id_that_is_used_twice_has_both_versions(self):
        """Neither may be taken for the stream's."""
        records = StreamVersions(StreamLifetime(KEPT_S))
        records.record(b"k", "v1", 0.0)
        records.record(b"k", "v2", 1.0)
        self.assertEqual({"v1", "v2"}, records.find(b"k", 2.0))

    def test_records_are_bounded_in_time_and_number(self):
        """The oldest go first; one that is recorded again stays."""
        self.patch(streamversions, "MAX_STREAMS", 3)
        records = StreamVersions(StreamLifetime(KEPT_S))
        for number in range(3):
            records.record(b"%d" % number, "v1", float(number))
        records.record(b"0", "v1", 3.0)
        records.record(b"3", "v1", 4.0)
        self.assertEqual(3, len(records))
        self.assertEqual(frozenset(), records.find(b"1", 4.0))
        self.assertEqual({"v1"}, records.find(b"0", 4.0))
        self.assertEqual(frozenset(), records.find(b"0", 3.0 + KEPT_S))

    def test_version_that_is_gone_counts_as_long_as_its_streams_may_last(self):
        """A stream may have begun there."""
        history = VersionHistory(StreamLifetime(KEPT_S))
        history.observe([endpoint("a", "v1"), endpoint("b", "v2")], 0.0)
        history.observe([endpoint("b", "v2")], 5.0)
        self.assertEqual({"v1", "v2"}, history.versions(SERVICE, 9.0))
        self.assertFalse(history.is_complete(9.0))
        history.observe([endpoint("b", "v2")], 11.0)
        self.assertEqual({"v2"}, history.versions(SERVICE, 11.0))
        self.assertTrue(history.is_complete(11.0))


class FixedPeers:
    """Answers questions with given replies by address; None does not answer."""

    def __init__(self, replies: dict[str, StreamFound | None]) -> None:
        self.replies = replies
        self.sent: dict[str, list] = {}

    async def call(self, address: str, message, timeout_s: float) -> StreamFound:
        """Return the reply, or fail."""
        reply = self.replies[address]
        if reply is None:
            await asyncio.sleep(timeout_s)
            raise PeerUnavailableError("silent")
        return reply

    def find_connection(self, address: str) -> "FixedConnection":
        """Return an open connection."""
        return FixedConnection(self.sent.setdefault(address, []))


class FixedConnection:
    """Keeps the messages that are sent."""

    def __init__(self, sent: list) -> None:
        self._sent = sent

    def send(self, message) -> None:
        """Keep a message."""
        self._sent.append(message)


class FixedOwners:
    """The addresses of other owners of shards."""

    count = 12
    owned: frozenset[int] = frozenset()

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses

    def addresses(self) -> list[str]:
        """Return the addresses."""
        return list(self._addresses)


class ListedEndpoints:
    """A view with endpoints of the given versions."""

    def __init__(self, versions: list[str]) -> None:
        self.configuration: Configuration | None = None
        self.endpoints = EndpointTable()
        self.at_s: float = 0.0
        # Versions whose endpoints are listed and were not read yet.
        self.joining: list[str] = []
        self.is_store_available: bool = True
        for number, version in enumerate(versions):
            entry = endpoint(f"e{number}", version)
            self.endpoints.apply(entry.id, entry, number, 0.0)

    def age_s(self) -> float:
        """Return the view's age."""
        return self.at_s

    async def confirm_endpoints(self, timeout_s: float) -> bool:
        """Return whether the store answers; apply what it lists by then."""
        await asyncio.sleep(0)
        for number, version in enumerate(self.joining):
            entry = endpoint(f"joining{number}", version)
            self.endpoints.apply(entry.id, entry, 100 + number, 0.0)
        return self.is_store_available


UNKNOWN = StreamFound([], ["v1"], True)
UNKNOWN_OF_TWO = StreamFound([], ["v1", "v2"], True)
UNKNOWN_SINCE_NOW = StreamFound([], ["v1"], False)


class StreamKeeperTest(ApricotTest):
    """One daemon's questions and answers."""

    def keeper(self, versions: list[str], replies: dict) -> StreamKeeper:
        """Return a keeper whose daemon has just started."""
        self.clock = SteppedClock()
        self.view = ListedEndpoints(versions)
        self.peers = FixedPeers(replies)
        self.patch(streamkeeper, "QUESTION_TIMEOUT_S", 0.05)
        self.log = MemoryLog()
        return StreamKeeper(
            self.view,
            FixedOwners(sorted(replies)),
            self.peers,
            StreamLog(self.log, self.clock, quiet_reporter()),
            self.clock,
            quiet_reporter(),
        )

    def find(self, keeper: StreamKeeper, attempt: str = "a") -> str:
        """Return the version that is found."""
        return asyncio.run(keeper.find(SERVICE, TEAM, attempt)).version

    @parameterized.expand(
        [
            (
                "a peer knows",
                {"p": UNKNOWN_OF_TWO, "q": StreamFound(["v2"], [], True)},
                "v2",
            ),
            (
                "a peer knows, another is silent",
                {"p": None, "q": StreamFound(["v2"], [], True)},
                "v2",
            ),
            ("its id was used twice", {"p": StreamFound(["v1", "v2"], [], True)}, ""),
            ("nobody knows, two serve", {"p": UNKNOWN_OF_TWO, "q": UNKNOWN}, ""),
            ("nobody knows, one served", {"p": UNKNOWN, "q": UNKNOWN_SINCE_NOW}, "v1"),
            ("all have just started", {"p": UNKNOWN_SINCE_NOW}, ""),
            ("all are silent", {"p": None, "q": None}, ""),
            ("there are no others", {}, ""),
        ]
    )
    def test_version_is_asked_for_and_never_guessed(self, _name, replies, expected):
        """This daemon has just started and sees one version."""
        self.assertEqual(expected, self.find(self.keeper(["v1"], replies)))

    def keeper_of_one_version(self, replies: dict) -> StreamKeeper:
        """Return a keeper that has seen one version for long."""
        keeper = self.keeper(["v1"], replies)
        self.find(keeper)
        self.clock.at_s += MIN_LIFETIME_S + 1
        return keeper

    @parameterized.expand(
        [
            ("store answers", True, 0.0, "v1"),
            ("store answers, old view", True, 60.0, "v1"),
            ("store is away, fresh view", False, 0.1, ""),
            ("store is away, old view", False, 60.0, ""),
        ]
    )
    def test_only_version_is_certain_once_the_store_confirms_it(
        self, _name, is_store_available, age_s, expected
    ):
        """Another version may serve that only others know."""
        keeper = self.keeper_of_one_version({})
        self.view.at_s = age_s
        self.view.is_store_available = is_store_available
        self.assertEqual(expected, self.find(keeper, ""))

    @parameterized.expand(
        [
            (
                f"{name}, view of {age_s} s",
                is_available,
                joining,
                reply,
                age_s,
                expected,
            )
            for age_s in (0.1, 1.0, 2.4, 3.0)
            for name, is_available, joining, reply, expected in (
                ("told by a peer", False, [], StreamFound(["v2"], [], True), "v2"),
                ("a peer lists both", False, [], UNKNOWN_OF_TWO, ""),
                ("the peer is silent", False, [], None, ""),
                ("listed meanwhile", True, ["v2"], UNKNOWN_OF_TWO, ""),
            )
        ]
    )
    def test_version_that_joined_unseen_is_not_taken_for_the_only_one(
        self, _name, is_available, joining, reply, age_s, expected
    ):
        """This daemon was cut off or stood still, and the stream began elsewhere."""
        keeper = self.keeper_of_one_version({"p": reply})
        self.view.at_s = age_s
        self.view.is_store_available = is_available
        self.view.joining = joining
        self.assertEqual(expected, self.find(keeper))

    def configure(self, timeout_s: float) -> None:
        """Configure a route of streams that may last so long."""
        services = (WeightedService(SERVICE, 1.0),)
        route = Route(
            RouteName("s"), "h", "/", RouteKind.STREAMING, services, is_resumable=True
        )
        route = msgspec.structs.replace(route, timeout_ms=int(timeout_s * 1000))
        self.view.configuration = Configuration(1, [route], [], None, Limits())

    def release(self) -> None:
        """Replace the endpoints of version v1 by one of v2."""
        self.view.endpoints = ListedEndpoints(["v2"]).endpoints

    @parameterized.expand(
        [
            (f"{timeout_s} s, {who}", timeout_s, who)
            for timeout_s in (12.0, 30.0, 600.0)
            for who in ("its daemon", "a keeper", "another daemon")
        ]
    )
    def test_stream_as_long_as_its_route_allows_is_not_taken_for_a_newer_one(
        self, _name, timeout_s, who
    ):
        """Its version left the list right after it began."""
        keeper = self.keeper(["v1"], {})
        self.configure(timeout_s)
        self.find(keeper, "other")
        self.clock.at_s += timeout_s + 20.0
        if who == "its daemon":
            keeper.record(SERVICE, TEAM, "a", "v1")
        elif who == "a keeper":
            keeper.handle_stream_began(StreamBegan([(stream_key(TEAM, "a"), "v1")]))
        self.find(keeper, "other")
        self.release()
        self.clock.at_s += timeout_s
        expected = "" if who == "another daemon" else "v1"
        self.assertEqual(expected, self.find(keeper))

    @parameterized.expand(
        [
            ("previous release", StreamFound([], ["v1"], True), ""),
            ("shorter timeouts", StreamFound([], ["v1"], True, 34.9), ""),
            ("same timeouts", StreamFound([], ["v1"], True, 35.0), "v1"),
        ]
    )
    def test_peer_that_remembers_for_a_shorter_time_is_not_relied_on(
        self, _name, reply, expected
    ):
        """This daemon has just started; streams last up to 30 s."""
        keeper = self.keeper(["v1"], {"p": reply})
        self.configure(30.0)
        self.assertEqual(expected, self.find(keeper))

    @parameterized.expand([("previous release", 15.0, ""), ("this one", 35.0, "v1")])
    def test_note_of_a_shorter_time_is_not_relied_on(self, _name, lifetime_s, expected):
        """All daemons have just started; streams last up to 30 s."""
        keeper = self.keeper(["v1"], {})
        self.configure(30.0)
        note = VersionNote(SERVICE, ["v1"], True, self.clock.wall_ms(), lifetime_s)
        record = encode_stream_record(StreamRecord([], [note]))
        asyncio.run(self.log.append(STREAMS, PARTITION, [record], None))
        self.assertEqual(expected, self.find(keeper))

    def test_notes_and_answers_are_read_by_the_previous_release(self):
        """It knows nothing of lifetimes, and writes none."""

        class PreviousNote(msgspec.Struct, array_like=True):
            service: str
            versions: list[str]
            is_complete: bool
            at_ms: int

        class PreviousAnswer(msgspec.Struct, tag="stream_found"):
            versions: list[str]
            listed: list[str]
            is_complete: bool

        note = VersionNote(SERVICE, ["v1"], True, 7, 35.0)
        previous = msgspec.convert(msgspec.to_builtins(note), PreviousNote)
        self.assertEqual(["v1"], previous.versions)
        read = msgspec.convert(msgspec.to_builtins(previous), VersionNote)
        self.assertEqual(MIN_LIFETIME_S, read.lifetime_s)
        answer = StreamFound(["v1"], ["v1"], True, 35.0)
        old = msgspec.convert(msgspec.to_builtins(answer), PreviousAnswer)
        read = msgspec.convert(msgspec.to_builtins(old), StreamFound)
        self.assertEqual(MIN_LIFETIME_S, read.lifetime_s)

    def test_two_peers_are_told_while_versions_serve_side_by_side(self):
        """They answer when this daemon is gone."""
        keeper = self.keeper(["v1", "v2"], dict.fromkeys("pqrs", UNKNOWN))
        keeper.record(SERVICE, TEAM, "a", "v1")
        streams = [(stream_key(TEAM, "a"), "v1")]
        told = [messages for messages in self.peers.sent.values() if messages]
        self.assertEqual(
            [[StreamBegan(streams, True)], [StreamBegan(streams, False)]], told
        )
        other = self.keeper(["v1", "v2"], {})
        other.handle_stream_began(told[1][0])
        answer = other.handle_find_stream(FindStream(SERVICE, stream_key(TEAM, "a")))
        self.assertEqual(["v1"], answer.versions)

    def test_nobody_is_told_while_one_version_serves(self):
        """Each daemon can tell by itself."""
        keeper = self.keeper(["v1"], dict.fromkeys("pqrs", UNKNOWN))
        self.find(keeper)
        self.clock.at_s += MIN_LIFETIME_S + 1
        keeper.record(SERVICE, TEAM, "a", "v1")
        self.assertEqual({}, self.peers.sent)

    def test_streams_under_way_are_told_when_a_second_version_starts(self):
        """Their daemon may be gone when they are taken up."""

        async def scenario() -> None:
            keeper = self.keeper(["v1"], dict.fromkeys("pqrs", UNKNOWN))
            self.patch(streamkeeper, "OBSERVE_INTERVAL_S", 0.001)
            await keeper.find(SERVICE, TEAM, "a")
            self.clock.at_s += MIN_LIFETIME_S + 1
            keeper.record(SERVICE, TEAM, "a", "v1")
            keeper.start()
            await asyncio.sleep(0.02)
            self.assertEqual({}, self.peers.sent)
            self.view.endpoints.apply(
                EndpointId("n"), endpoint("n", "v2"), 9, self.clock.at_s
            )
            async with asyncio.timeout(5.0):
                while len(self.peers.sent) < 2:
                    await asyncio.sleep(0.001)
            await keeper.close()

        asyncio.run(scenario())

    @parameterized.expand(
        [
            ("its record", [(b"", "v2")], [], "v2"),
            ("no record", [], [], ""),
            ("an id used twice", [(b"", "v1"), (b"", "v2")], [], ""),
            ("a note of one version", [], [(["v1"], True)], "v1"),
            ("a note of two", [], [(["v1", "v2"], True)], ""),
            ("a note of another version than listed", [], [(["v2"], True)], ""),
            ("a note of a daemon that had just started", [], [(["v1"], False)], ""),
            ("a later note", [], [(["v1"], True), (["v1", "v2"], False)], ""),
        ]
    )
    def test_store_tells_after_all_daemons_restarted(
        self, _name, streams, notes, expected
    ):
        """No daemon has observed versions for long, and the keepers have gone."""
        keeper = self.keeper(["v1"], {"p": UNKNOWN_SINCE_NOW})
        key = stream_key(TEAM, "a")
        record = StreamRecord(
            [(key, version) for _, version in streams],
            [VersionNote(SERVICE, v, c, self.clock.wall_ms()) for v, c in notes],
        )

        async def scenario() -> str:
            stored = encode_stream_record(record)
            await self.log.append(STREAMS, PARTITION, [stored], None)
            return (await keeper.find(SERVICE, TEAM, "a")).version

        self.assertEqual(expected, asyncio.run(scenario()))


NOW_MS = 100_000


class StreamLogTest(ApricotTest):
    """What is kept in the store."""

    @parameterized.expand(
        [
            ("complete", [("llm", ["v1"], True, 95_000)], {"v1"}),
            ("complete and too old", [("llm", ["v1"], True, 84_000)], None),
            ("of another service", [("other", ["v1"], True, 95_000)], None),
            (
                "an older one counts too",
                [("llm", ["v0"], True, 80_000), ("llm", ["v1"], True, 95_000)],
                {"v0", "v1"},
            ),
            (
                "one of a stream that has ended",
                [("llm", ["v0"], True, 60_000), ("llm", ["v1"], True, 95_000)],
                {"v1"},
            ),
            ("none", [], None),
        ]
    )
    def test_versions_are_sure_only_after_a_complete_note(self, _name, notes, expected):
        """A version that may have served is never left out."""
        stored = StoredStreams()
        stored.apply(StreamRecord([], [VersionNote(*note) for note in notes]))
        found = stored.listed(SERVICE, NOW_MS, MIN_LIFETIME_S)
        self.assertEqual(expected, found)

    def run_with_log(self, scenario) -> None:
        """Run a scenario with the log of a daemon and that of one that starts later."""

        async def run() -> None:
            memory, clock = MemoryLog(), SteppedClock()
            first = StreamLog(memory, clock, quiet_reporter())
            second = StreamLog(memory, clock, quiet_reporter())
            await scenario(memory, first, second)
            await first.close()
            await second.close()

        asyncio.run(run())

    async def append(self, log: MemoryLog, first: StreamLog, key: bytes) -> None:
        """Append a stream and wait until it is stored."""
        end = (await log.read_newest(STREAMS, PARTITION)).end
        first.enqueue([(key, "v1")])
        async with asyncio.timeout(5.0):
            while (await log.read_newest(STREAMS, PARTITION)).end == end:
                await asyncio.sleep(0.01)

    def test_later_daemon_reads_what_was_appended_since_it_read_last(self):
        """A malformed record of another writer is passed over."""

        async def scenario(memory, first, second):
            self.assertEqual(frozenset(), (await second.read()).find(b"a"))
            await self.append(memory, first, b"a")
            broken = KeyedRecord(RECORD_KEY, b"\xff\x00")
            await memory.append(STREAMS, PARTITION, [broken], None)
            await self.append(memory, first, b"b")
            stored = await second.read()
            self.assertEqual({"v1"}, stored.find(b"a"))
            self.assertEqual({"v1"}, stored.find(b"b"))

        self.run_with_log(scenario)

    def test_history_that_the_store_forgot_is_passed_over(self):
        """What follows it is read."""

        async def scenario(memory, first, second):
            await self.append(memory, first, b"a")
            memory.expire()
            await self.append(memory, first, b"b")
            stored = await second.read()
            self.assertEqual(frozenset(), stored.find(b"a"))
            self.assertEqual({"v1"}, stored.find(b"b"))

        self.run_with_log(scenario)

    def test_store_that_is_away_tells_nothing(self):
        """The daemon goes on."""

        async def scenario(memory, first, second):
            memory.is_down = True
            first.enqueue([(b"a", "v1")])
            self.assertIsNone(await second.read())

        self.run_with_log(scenario)

    @parameterized.expand(
        [
            ("refused", ["refuse"] * 3),
            ("lost answer", ["lose"]),
            ("dropped", ["drop"]),
            ("all in turn", ["refuse", "lose", "drop"]),
        ]
    )
    def test_streams_and_notes_of_a_failed_append_are_stored_later(self, _name, faults):
        """The store is well again while the daemon still runs."""

        async def scenario(memory, first, second):
            left = list(faults)
            memory.choose_fault = lambda: left.pop(0) if left else ""
            first.note(VersionNote(SERVICE, ["v1"], True, NOW_MS))
            first.enqueue([(b"a", "v1"), (b"b", "v2")])
            async with asyncio.timeout(5.0):
                while first._appending and not first._appending.done():
                    await asyncio.sleep(0.01)
            self.assertEqual([], left)
            stored = await second.read()
            found = [stored.find(key) for key in (b"a", b"b")]
            self.assertEqual([{"v1"}, {"v2"}], found)
            self.assertEqual({"v1"}, stored.listed(SERVICE, NOW_MS, MIN_LIFETIME_S))

        self.run_with_log(scenario)

    def test_streams_that_wait_for_the_store_are_bounded(self):
        """The newest are kept, and a newer note replaces one that failed."""

        async def scenario(memory, first, second):
            memory.choose_fault = lambda: "refuse"
            first.note(VersionNote(SERVICE, ["v1"], True, NOW_MS))
            first.enqueue([(b"%d" % number, "v1") for number in range(6)])
            await asyncio.sleep(0.3)
            first.note(VersionNote(SERVICE, ["v2"], True, NOW_MS))
            first.enqueue([(b"%d" % number, "v1") for number in range(6, 9)])
            await asyncio.sleep(0.3)
            memory.choose_fault = lambda: ""
            async with asyncio.timeout(5.0):
                while not first._appending.done():
                    await asyncio.sleep(0.01)
            stored = await second.read()
            known = {n for n in range(9) if stored.find(b"%d" % n)}
            self.assertEqual({5, 6, 7, 8}, known)
            self.assertEqual({"v2"}, stored.listed(SERVICE, NOW_MS, MIN_LIFETIME_S))

        self.patch(streamlog_module, "MAX_STREAMS_WAITING", 4)
        self.run_with_log(scenario)
