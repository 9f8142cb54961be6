"""Records that another writer left: one is skipped, and those after it are applied."""

import asyncio
import json

import cbor2
from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.errors import RequestError
from apricotquay.events import Event
from apricotquay.ids import TeamId
from apricotquay.platform.callers import _build_online_request, _build_submission
from apricotquay.platform.store import decode_newest_items
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.batch.jobtable import JobTable
from apricotquay.serving.catalog import Limits
from apricotquay.serving.crashes.crashlog import CompletionReport, CrashLog
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic
from apricotquay.serving.fleet.shards import Shards
from apricotquay.serving.fleet.view import View
from apricotquay.serving.http.http1 import HttpRequest
from apricotquay.serving.http.sse import parse_event
from apricotquay.serving.reporting import Reporter
from apricotquay.serving.streams.streamlog import (
    PARTITION,
    STREAMS,
    StreamLog,
    decode_stream_record,
)
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_platform_callers import RecordingLines
from .test_platform_wire import ROUTE, SERVER, config
from .test_serving_jobs import quiet_reporter

DEPTH = 100_000
DIGITS = "9" * 5_000
# A number that JSON and CBOR carry, and that no float holds.
LARGE = 10**400
SERVERS = Topic("keyed.servers")
OPERATOR = Topic("keyed.op")
# Less than the delay after which a failed background task starts again.
APPLIED_AT_ONCE_S = 0.4


def deep_json() -> bytes:
    """Return lists within lists."""
    return b"[" * DEPTH + b"]" * DEPTH


def deep_cbor() -> bytes:
    """Return lists within lists."""
    return b"\x81" * DEPTH + b"\x80"


def server_with(**changes) -> bytes:
    """Return a server's entry with changed fields."""
    return json.dumps(SERVER | changes).encode()


def server_with_raw(name: str, value: bytes) -> bytes:
    """Return a server's entry with a further field."""
    return (
        json.dumps(SERVER).encode()[:-1] + b',"' + name.encode() + b'":' + value + b"}"
    )


ODD_SERVERS = [
    ("deeply nested", deep_json()),
    ("a deeply nested field", server_with_raw("other", deep_json())),
    ("a deeply nested field that is known", server_with_raw("zone", deep_json())),
    ("port of many digits", server_with(address=f"10.0.0.1:{DIGITS}")),
    ("port of another script", server_with(address="10.0.0.1:²")),
    ("port 0", server_with(address="10.0.0.1:0")),
    ("port out of range", server_with(address="10.0.0.1:65536")),
    ("port below 0", server_with(address="10.0.0.1:-80")),
    ("host name", server_with(address="server:80")),
    ("host out of range", server_with(address="10.0.0.256:80")),
    ("slots out of range", server_with(slots=10**30)),
    ("slots below 0", server_with(slots=-8)),
    ("far too many slots", server_with(slots=10**9)),
    ("start out of range", server_with_raw("born", DIGITS.encode())),
    ("a start that no float holds", server_with(born=LARGE)),
    ("a start that no clock shows", server_with(born=10**17)),
    ("a start below 0", server_with(born=-1)),
    ("a fraction as start", server_with(born=0.5)),
    ("no text", b"\xff\xfe"),
    ("an unpaired surrogate", server_with_raw("version", b'"\\ud800"')),
    ("null", b"null"),
]


def with_route(**changes) -> bytes:
    """Return a configuration with changed fields of its route."""
    return config(routes=[ROUTE | changes]).value


def with_service(**changes) -> bytes:
    """Return a configuration with further fields of its service."""
    return config(services=[{"name": "llm"} | changes]).value


def with_team(**changes) -> bytes:
    """Return a configuration with further fields of its team."""
    return config(tenants=[{"name": "t", "api_keys": ["k"]} | changes]).value


ODD_CONFIGURATIONS = [
    ("deeply nested", deep_json()),
    ("timeout out of range", config(routes=[{"timeout_ms": 1}]).value),
    (
        "infinite timeout",
        config().value.replace(b'"kind"', b'"timeout_ms": 1e999, "kind"'),
    ),
    ("version out of range", config().value.replace(b"7", DIGITS.encode(), 1)),
    ("version that no float holds", config(version=LARGE).value),
    *(
        (f"{name} that no float holds", with_route(**{name: LARGE}))
        for name in (
            "timeout_ms",
            "target_latency_ms",
            "priority",
            "max_attempts",
            "gap_aim_ms",
            "result_deadline_ms",
            "retention_s",
            "cap",
        )
    ),
    ("infinite retention", with_route(retention_s=1e308)),
    ("slots that no float holds", with_service(engine={"slots": LARGE})),
    ("slots far below 0", with_service(engine={"slots": -LARGE})),
    ("priority of a team", with_team(priority=LARGE)),
    ("rate of a team", with_team(rate_per_s=1e308)),
]


class OddServerTest(ApricotTest):
    """Entries in the list of servers."""

    def run_with_view(self, scenario) -> None:
        """Run a scenario with a view of a log, and the lines it writes."""

        async def run() -> None:
            log, lines = MemoryLog(), RecordingLines()
            reporter = Reporter("vm", SystemClock(), lines)
            view = View(log, PlatformDirectory(), SystemClock(), reporter)
            try:
                await scenario(log, view)
            finally:
                await view.close()
            failed = Event.THREAD_FAILED.number
            self.assertEqual([], [x for x in lines.lines if x["number"] == failed])

        asyncio.run(run())

    async def append(self, log: MemoryLog, key: bytes, value: bytes) -> None:
        """Append a server's entry."""
        await log.append(SERVERS, 0, [KeyedRecord(key, value)], None)

    async def wait_for(self, view: View, names: set[str]) -> None:
        """Wait until just these servers are listed."""
        async with asyncio.timeout(APPLIED_AT_ONCE_S):
            while {e.id for e in view.endpoints.all()} != names:
                await asyncio.sleep(0.005)

    @parameterized.expand(ODD_SERVERS)
    def test_odd_entry_hides_no_other_on_the_first_read(self, _name, value):
        """It names no server, and the follower doesn't end."""

        async def scenario(log, view):
            await self.append(log, b"odd", value)
            await self.append(log, b"sound", server_with())
            view.start()
            await self.wait_for(view, {"sound"})

        self.run_with_view(scenario)

    @parameterized.expand(ODD_SERVERS)
    def test_odd_entry_hides_no_other_that_follows_it(self, _name, value):
        """It takes the place of the server's earlier entry."""

        async def scenario(log, view):
            await self.append(log, b"odd", server_with())
            view.start()
            await self.wait_for(view, {"odd"})
            odd, sound = KeyedRecord(b"odd", value), KeyedRecord(b"s", server_with())
            await log.append(SERVERS, 0, [odd, sound], None)
            await self.wait_for(view, {"s"})

        self.run_with_view(scenario)

    @parameterized.expand(ODD_SERVERS)
    def test_odd_entry_of_a_peer_hides_no_other(self, _name, value):
        """While the store is away, peers pass entries on as they are."""

        async def scenario(_log, view):
            records = [
                KeyedRecord(b"odd", value, 1),
                KeyedRecord(b"s", server_with(), 2),
            ]
            view.apply_records([], records)
            self.assertEqual({"s"}, {e.id for e in view.endpoints.all()})

        self.run_with_view(scenario)

    @parameterized.expand(ODD_CONFIGURATIONS)
    def test_odd_configuration_hides_no_other(self, _name, value):
        """The one in force stays until a sound one comes."""

        async def scenario(log, view):
            view.start()
            records = [KeyedRecord(b"config", value), config()]
            await log.append(OPERATOR, 0, records, None)
            async with asyncio.timeout(APPLIED_AT_ONCE_S):
                while view.configuration is None:
                    await asyncio.sleep(0.005)
            self.assertEqual(7, view.configuration.version)

        self.run_with_view(scenario)

    @parameterized.expand(ODD_CONFIGURATIONS)
    def test_odd_configuration_does_not_come_into_force(self, _name, value):
        """Requests would fail by its numbers, whichever uses them first."""

        async def scenario(_log, view):
            view.apply_records([KeyedRecord(b"config", value, 1)], [])
            self.assertIsNone(view.configuration)

        self.run_with_view(scenario)

    @parameterized.expand([(LARGE,), (-1,), (1e308,), (True,)])
    def test_odd_limit_of_a_configuration_is_left_out(self, value):
        """Connections are served by the default."""
        limits = {"idle_timeout_ms": value, "max_body_bytes": 9}
        decoded = PlatformDirectory().decode_configuration(config(limits=limits))
        self.assertEqual(Limits().idle_timeout_ms, decoded.limits.idle_timeout_ms)
        self.assertEqual(9, decoded.limits.max_body_bytes)

    # Guards against a follower that ends, and starts again, at each odd record.
    def test_error_while_an_entry_is_applied_hides_no_other(self):
        async def scenario(log, view):
            def fail(entry) -> None:
                if entry.id == "odd":
                    raise OverflowError("int too large to convert to float")

            view.on_listed = fail
            for number in range(6):
                await self.append(log, b"odd", server_with(seq=number))
            await self.append(log, b"sound", server_with())
            view.start()
            async with asyncio.timeout(APPLIED_AT_ONCE_S):
                while view.endpoints.get("sound") is None:
                    await asyncio.sleep(0.005)

        self.run_with_view(scenario)


ODD_CBOR = [
    ("nothing", b""),
    ("deeply nested", deep_cbor()),
    ("no map", cbor2.dumps([1, 2])),
    ("no text", b"\x61\xff"),
    ("a number too large", cbor2.dumps({"at_ms": 10**400})),
    (
        "a report with a time too large",
        cbor2.dumps(
            {"type": "completion", "fingerprint": "f", "at_ms": 10**400},
        ),
    ),
    (
        "a report with a start too large",
        cbor2.dumps(
            {
                "type": "crash",
                "endpoint": "e",
                "started_ms": 10**400,
                "fingerprints": ["f"],
                "at_ms": 10**400,
            }
        ),
    ),
    (
        "a report of a start that no text holds",
        cbor2.dumps(
            {
                "type": "crash",
                "endpoint": "e",
                "started_ms": 10**5_000,
                "fingerprints": ["f"],
                "at_ms": 1,
            }
        ),
    ),
    ("a shared reference to itself", b"\xd8\x1c\x81\xd8\x1d\x00"),
]


class OddReportTest(ApricotTest):
    """Records in the project's own topics."""

    @parameterized.expand(ODD_CBOR)
    def test_odd_crash_record_hides_no_other(self, _name, value):
        """Neither from the store nor from a peer."""

        async def scenario() -> None:
            clock, applied = SystemClock(), []
            log = CrashLog(MemoryLog(), "d", clock, quiet_reporter())

            def apply(record) -> None:
                # As the detector does.
                applied.append((clock.wall_ms() - record.at_ms) / 1000)

            log.apply = apply
            donor = CrashLog(MemoryLog(), "e", clock, quiet_reporter())
            sound = donor.add(CompletionReport("f", clock.wall_ms()))
            records = [KeyedRecord(b"odd", value), sound]
            log.apply_from_peer(records, is_complete=True)
            self.assertEqual(1, len(applied))

        asyncio.run(scenario())

    @parameterized.expand(ODD_CBOR)
    def test_odd_stream_record_hides_no_other(self, _name, value):
        """A stream that is recorded after it is found."""

        async def scenario() -> None:
            memory, clock = MemoryLog(), SystemClock()
            await memory.append(STREAMS, PARTITION, [KeyedRecord(b"s", value)], None)
            log = StreamLog(memory, clock, quiet_reporter())
            log.enqueue([(b"a", "v1")])
            async with asyncio.timeout(5):
                while not (await log.read()).find(b"a"):
                    await asyncio.sleep(0.05)
            await log.close()

        asyncio.run(scenario())

    @parameterized.expand(
        [
            (f"{name}, {key.decode('latin-1')}", key, value)
            for name, value in ODD_CBOR
            for key in (b"j/k", b"p/k/0", b"r/k/0", b"w/k/0", b"r/k/\xb2", b"w/k/x")
        ]
    )
    def test_odd_job_record_is_skipped(self, _name, key, value):
        """The partition's table is whole afterwards."""
        table = JobTable()
        table.apply(KeyedRecord(key, value, 1))
        self.assertEqual({}, table.jobs)

    @parameterized.expand([("submitted_ms",), ("due_ms",), ("give_up_ms",)])
    def test_job_with_a_time_that_no_clock_shows_is_skipped(self, name):
        """Items are run by the time at which they are due."""
        header = {
            "id": "j",
            "team": "t",
            "host": "a.example",
            "path": "/b",
            "submitted_ms": 1,
            "due_ms": 2,
            "give_up_ms": 3,
            "item_tokens": [],
            "part_count": 1,
        }
        table = JobTable()
        for key, job in ((b"odd", header | {name: LARGE}), (b"sound", header)):
            table.apply(KeyedRecord(b"p/" + key + b"/0", cbor2.dumps([]), 1))
            table.apply(KeyedRecord(b"j/" + key, cbor2.dumps(job), 2))
        self.assertEqual(["sound"], list(table.jobs))

    def test_note_with_a_time_that_no_clock_shows_is_left_out(self):
        """It would count as that of a complete list for ever."""
        note = ["llm", ["v1"], True, LARGE, 15.0]
        record = KeyedRecord(b"s", cbor2.dumps([[], [note]]))
        self.assertEqual([], decode_stream_record(record).notes)

    @parameterized.expand([("a digit", "²"), ("many digits", DIGITS)])
    def test_odd_shard_number_of_a_peer_is_skipped(self, _name, number):
        """The owners beside it are taken over."""
        shards = Shards(MemoryLog(), "a", "i", 12, SystemClock(), quiet_reporter())
        shards.apply_owners({number: "x", "3": "b"}, 0.0)
        self.assertEqual("b", shards.owner(3))

    @parameterized.expand([("another script", "²"), ("many digits", DIGITS)])
    def test_odd_event_id_is_none(self, _name, event_id):
        """The attempt then fails, not the daemon's task."""
        event = parse_event(f"id: {event_id}\ndata: x\n\n".encode())
        self.assertEqual(-1, event.id)

    def test_odd_item_of_a_page_hides_no_other(self):
        """The page's last readable key is where the next page begins."""
        items = [
            {"key": "a", "value": "eA==", "offset": 1},
            {"key": "b", "value": "no base64 ~", "offset": 2},
            {"key": "c", "value": 3, "offset": 3},
            {"key": "d", "value": "eQ==", "offset": "x"},
        ]
        raw = [json.dumps(item).encode() for item in items]
        raw.append(b'{"key": "\\ud800", "value": "eA==", "offset": 4}')
        raw.append(b'{"key": "e", "value": "eg==", "offset": 5}')
        records = list(decode_newest_items(raw))
        self.assertEqual([b"a", b"e"], [record.key for record in records])


class OddCallerTest(ApricotTest):
    """Numbers in the requests of callers."""

    @parameterized.expand([("²", None), (DIGITS, None), ("-1", None), ("7", 7)])
    def test_odd_last_event_id_is_none(self, text, expected):
        """The stream begins anew, and the connection goes on."""
        headers = [(b"last-event-id", text.encode("latin-1"))]
        request = HttpRequest("POST", "/x/", headers, b"")
        built = _build_online_request(request, "a.example", "/x/", None, 0.0)
        self.assertEqual(expected, built.resume_after)

    @parameterized.expand([(LARGE,), (-1,)])
    def test_job_with_odd_tokens_is_refused(self, tokens):
        """They would be added to what the team has waiting."""
        job = {"items": [{"id": "i", "path": "/b/1", "tokens": tokens}]}
        body = json.dumps(job).encode()
        request = HttpRequest("POST", "/b/1", [(b"attempt-id", b"j")], body)
        self.assertRaises(
            RequestError,
            _build_submission,
            request,
            TeamId("t"),
            "a.example",
            "/b/1",
            None,
            1,
        )
