"""Callers' requests over real connections, with waits that fail in every way."""

import asyncio
import itertools
import json
import socket
import struct

import msgspec
from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import RouteName, TeamId
from apricotquay.platform.callers import CallerApi
from apricotquay.platform.engines import ServerClient
from apricotquay.quarantine import Quarantine
from apricotquay.serving.catalog import Configuration, Limits, Route, RouteKind, Team
from apricotquay.serving.crashes.crashlog import CrashLog
from apricotquay.serving.crashes.detector import CrashDetector
from apricotquay.serving.crashes.partquarantine import PartQuarantine
from apricotquay.serving.engine import Reachability
from apricotquay.serving.fleet.peerchecks import PeerFindings
from apricotquay.serving.fleet.routedclient import RoutedEngineClient
from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import open_client
from apricotquay.serving.http.httpserver import HttpServer, ServerLimits
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.online.attempts import AttemptRunner
from apricotquay.serving.online.handler import OnlineRequestHandler
from apricotquay.serving.reporting import Reporter
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_serving_online import (
    SERVICE,
    FakeRates,
    FakeSlots,
    FakeStreams,
    FakeView,
    ScriptedEngines,
    ScriptedResponse,
    event,
    route,
)

HOST = "127.0.0.1"
LIMITS = ServerLimits(8_192, 65_536, 5.0, 5.0)
REQUEST_ENDED, REQUEST_REFUSED, REQUEST_ABANDONED = 1601, 1604, 1606
ROUTE_TIMEOUT_MS = 1_000
JOB = json.dumps({"items": [{"id": "i", "path": "/b/1"}]}).encode()


class RecordingLines:
    """Keeps the lines that a `Reporter` writes."""

    has_room = True
    dropped = 0

    def __init__(self) -> None:
        self.lines: list[dict] = []

    def info(self, line: bytes) -> None:
        """Keep a line."""
        self.lines.append(json.loads(line))

    def flush(self) -> None:
        """Do nothing."""

    def numbers(self) -> list[int]:
        """Return the numbers of the lines about ends of requests."""
        ends = (REQUEST_ENDED, REQUEST_REFUSED, REQUEST_ABANDONED)
        return [line["number"] for line in self.lines if line["number"] in ends]


async def fail_with(error: BaseException | None) -> None:
    """Wait in vain: raise an error, or hang if there is none.

    A cancelled wait is one for a future that another task has cancelled.
    """
    if error is None:
        await asyncio.Event().wait()
    if isinstance(error, asyncio.CancelledError):
        future = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(future.cancel)
        await future
    raise error


class FailingJobs:
    """Fails each call."""

    def __init__(self, error: BaseException | None) -> None:
        self.error = error

    async def submit(self, *_args):
        """Fail."""
        await fail_with(self.error)

    read = read_body = cancel = submit


class FailingRates:
    """Fails to admit a request."""

    def __init__(self, error: BaseException | None) -> None:
        self.error = error

    async def admit(self, _team):
        """Fail."""
        await fail_with(self.error)


class FailingSlots(FakeSlots):
    """Fails to grant a slot."""

    def __init__(self, error: BaseException | None) -> None:
        super().__init__()
        self.error = error

    async def acquire(self, service, slot_request):
        """Fail."""
        await fail_with(self.error)


class FailingEngines(ScriptedEngines):
    """Fails to send a call."""

    def __init__(self, error: BaseException | None) -> None:
        super().__init__([])
        self.error = error

    async def send(self, call, endpoint):
        """Fail."""
        await fail_with(self.error)


class FailingResponse(ScriptedResponse):
    """Fails after its head."""

    def __init__(self, error: BaseException | None) -> None:
        super().__init__(200, [])
        self.error = error

    async def body(self):
        """Fail."""
        await fail_with(self.error)
        yield b""


class CallerApiTest(ApricotTest):
    """A caller interface with its parts replaced one at a time."""

    def setUp(self):
        super().setUp()
        self.log = RecordingLines()
        self.kind = RouteKind.UNSAFE
        self.endpoint_port = 1
        self.rates = FakeRates()
        self.slots = FakeSlots()
        self.jobs = FailingJobs(None)
        self.engines = ScriptedEngines([])

    def create_api(self) -> CallerApi:
        """Return the interface with the parts set so far."""
        clock = SystemClock()
        reporter = Reporter("vm", clock, self.log)
        tested_route = route(self.kind, timeout_ms=ROUTE_TIMEOUT_MS)
        view = FakeView(tested_route)
        for number, endpoint in enumerate(list(view.endpoints.serving(SERVICE))):
            moved = msgspec.structs.replace(endpoint, port=self.endpoint_port)
            view.endpoints.apply(moved.id, moved, 10 + number, 0.0)
        batch = Route(RouteName("b"), "h", "/b/", RouteKind.BATCH, (), due_after_ms=1)
        routes = [tested_route, batch]
        team = Team(TeamId("team"), frozenset({"key"}))
        view.configuration = Configuration(3, routes, [], [team], Limits())
        crash_log = CrashLog(MemoryLog(), "d", clock, reporter)
        crashes = CrashDetector(
            Quarantine(),
            PartQuarantine(),
            crash_log,
            self.engines,
            None,
            None,
            clock,
            reporter,
        )
        metrics = ServingMetrics()
        attempts = AttemptRunner(view, self.engines, crashes, metrics, clock, reporter)
        online = OnlineRequestHandler(
            view,
            self.rates,
            self.slots,
            attempts,
            metrics,
            FakeStreams(),
            clock,
            reporter,
        )
        return CallerApi(online, self.jobs, metrics, clock, reporter)

    def run_scenario(self, scenario) -> None:
        """Run a scenario with a server's port."""

        async def run() -> None:
            server = HttpServer(self.create_api().handle, lambda: LIMITS)
            self.server = server
            port = await server.start(HOST, 0)
            try:
                async with asyncio.timeout(20):
                    await scenario(port)
            finally:
                await server.close()

        asyncio.run(run())

    async def call(self, port: int, method: str, path: str, body=b"") -> HttpResponse:
        """Send a request and return the response."""
        headers = [(b"host", b"h"), (b"key", b"key"), (b"attempt-id", b"a1")]
        headers.append((b"deadline-ms", b"2000"))
        connection = await open_client(HOST, port, 2.0)
        connection.send(HttpRequest(method, path, headers, body))
        try:
            return await connection.read_response()
        finally:
            connection.close()

    def use_failing(self, wait: str, error: BaseException | None) -> None:
        """Replace the part behind a wait by one that fails."""
        if wait == "token":
            self.rates = FailingRates(error)
        elif wait == "slot":
            self.slots = FailingSlots(error)
        elif wait == "send":
            self.engines = FailingEngines(error)
        elif wait == "body":
            self.engines = ScriptedEngines([FailingResponse(error)])
        else:
            self.jobs = FailingJobs(error)


WAITS = [
    ("token", "POST", "/x/1", 503, REQUEST_ENDED),
    ("slot", "POST", "/x/1", 503, REQUEST_ENDED),
    ("send", "POST", "/x/1", 502, REQUEST_ENDED),
    ("body", "POST", "/x/1", 502, REQUEST_ENDED),
    ("submit", "POST", "/b/1", 502, REQUEST_REFUSED),
    ("read results", "GET", "/-/lots/j?after=0", 503, REQUEST_REFUSED),
    ("item body", "GET", "/-/items/j?id=i", 503, REQUEST_REFUSED),
    ("cancel job", "DELETE", "/-/lots/j", 502, REQUEST_REFUSED),
]
ERRORS = [
    OSError("no route to host"),
    ConnectionResetError("reset by peer"),
    BrokenPipeError("broken pipe"),
    asyncio.CancelledError(),
    KeyError("unexpected"),
]


class UnansweredRequestTest(CallerApiTest):
    """A request that was read whole ends with an answer and with one line."""

    @parameterized.expand(
        [
            (f"{wait[0]} {type(error).__name__}", *wait, error)
            for wait, error in itertools.product(WAITS, ERRORS)
        ]
    )
    def test_failed_wait_is_answered(
        self, _name, wait, method, path, status, number, error
    ):
        """An error of another connection is not taken for the caller's leaving."""
        self.use_failing(wait, error)

        async def scenario(port):
            body = JOB if path.startswith("/b/") else b""
            response = await self.call(port, method, path, body)
            is_fault = isinstance(error, KeyError) and wait in ("submit", "cancel job")
            self.assertEqual(500 if is_fault else status, response.status)

        self.run_scenario(scenario)
        self.assertEqual([number], self.log.numbers())

    @parameterized.expand([(wait[0], *wait) for wait in WAITS])
    def test_timed_out_wait_is_answered(
        self, _name, wait, method, path, _status, number
    ):
        """A `TimeoutError` of a peer is an `OSError`, but no caller's leaving."""
        self.use_failing(wait, TimeoutError("timed out"))

        async def scenario(port):
            body = JOB if path.startswith("/b/") else b""
            response = await self.call(port, method, path, body)
            self.assertIn(response.status, (502, 503, 504))
            if wait in ("send", "body", "submit", "cancel job"):
                self.assertNotEqual(503, response.status)

        self.run_scenario(scenario)
        self.assertEqual([number], self.log.numbers())

    @parameterized.expand([(wait[0], *wait) for wait in WAITS])
    def test_request_whose_caller_leaves_is_logged(
        self, _name, wait, method, path, _status, number
    ):
        """The line tells it from a request that was forgotten."""
        self.use_failing(wait, None)

        async def scenario(port):
            body = JOB if path.startswith("/b/") else b""
            call = asyncio.ensure_future(self.call(port, method, path, body))
            await asyncio.sleep(0.1)
            call.cancel()
            while not self.log.numbers():
                await asyncio.sleep(0.01)

        self.run_scenario(scenario)
        expected = number if number == REQUEST_ENDED else REQUEST_ABANDONED
        self.assertEqual([expected], self.log.numbers())

    @parameterized.expand([(wait[0], *wait) for wait in WAITS])
    def test_stopped_daemon_answers_requests_that_wait(
        self, _name, wait, method, path, status, number
    ):
        """The end of the grace period is not the caller's leaving."""
        self.use_failing(wait, None)

        async def scenario(port):
            body = JOB if path.startswith("/b/") else b""
            call = asyncio.ensure_future(self.call(port, method, path, body))
            while not self.server.busy_count:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            await self.server.close()
            self.assertEqual(status, (await call).status)

        self.run_scenario(scenario)
        self.assertEqual([number], self.log.numbers())

    @parameterized.expand([(wait[0], *wait) for wait in WAITS[4:]])
    def test_job_call_that_hangs_is_answered_before_its_caller_leaves(
        self, _name, wait, method, path, status, number
    ):
        """The caller says how long it waits, or waits 1.5 s longer than it allows."""
        self.use_failing(wait, None)

        async def scenario(port):
            body = JOB if path.startswith("/b/") else b""
            async with asyncio.timeout(5):
                response = await self.call(port, method, path, body)
            self.assertEqual(status, response.status)

        self.run_scenario(scenario)
        self.assertEqual([number], self.log.numbers())


HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: s\r\n"
UNDELIMITED = HEAD + b"Connection: close\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = event(0) + event(1)
CUT = event(0) + event(1)[:7]
# Endings of a server's answer.
HONEST, RESET, SILENT = "honest", "reset", "silent"


class NoPeerChecks:
    """Has no peers to ask."""

    has_unasked = False

    async def ask(self, _endpoint) -> PeerFindings:
        """Return that no peer answered."""
        return PeerFindings()

    async def probe(self, endpoint) -> Reachability:
        """Try a connection to an endpoint."""
        return await ServerClient().probe(endpoint)


def lone_client() -> RoutedEngineClient:
    """Return the client of a daemon without peers."""
    clock = SystemClock()
    reporter = Reporter("vm", clock, RecordingLines())
    return RoutedEngineClient(
        ServerClient(), NoPeerChecks(), None, None, ServingMetrics(), clock, reporter
    )


class ServerAnswerTest(CallerApiTest):
    """What callers get of answers that a real connection delivers or cuts off."""

    def setUp(self):
        super().setUp()
        self.engines = lone_client()

    async def start_server(self, script: bytes, ending: str) -> None:
        """Start an endpoint that sends a script and ends its connection."""

        async def serve(reader, writer) -> None:
            await reader.read(65_536)
            writer.write(script)
            await writer.drain()
            # The daemon reads the script before the end.
            await asyncio.sleep(0.05)
            if ending == SILENT:
                await reader.read()
            if ending == RESET:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        self.server = await asyncio.start_server(serve, HOST, 0)
        self.endpoint_port = self.server.sockets[0].getsockname()[1]

    def receive(self, kind: RouteKind, script: bytes, ending: str):
        """Return the status and body that the caller gets; None if it is cut off."""
        self.kind = kind

        async def run():
            await self.start_server(script, ending)
            server = HttpServer(self.create_api().handle, lambda: LIMITS)
            port = await server.start(HOST, 0)
            try:
                async with asyncio.timeout(20):
                    response = await self.call(port, "POST", "/x/1")
                    return response.status, response.body
            except HttpError:
                return None
            finally:
                await server.close()
                self.server.close()

        return asyncio.run(run())

    @parameterized.expand(
        [
            ("complete", UNDELIMITED + EVENTS, HONEST, (200, EVENTS)),
            ("cut within an event", UNDELIMITED + CUT, HONEST, None),
            ("cut within the first event", UNDELIMITED + CUT[:9], HONEST, (502, None)),
            ("closed after its head", UNDELIMITED, HONEST, (502, None)),
            ("reset between events", UNDELIMITED + EVENTS, RESET, None),
            ("reset within an event", UNDELIMITED + CUT, RESET, None),
            ("silent between events", UNDELIMITED + EVENTS, SILENT, None),
            ("silent within an event", UNDELIMITED + CUT, SILENT, None),
            ("chunks, cut", CHUNKED + b"10\r\n" + event(0) + b"\r\n", HONEST, None),
            ("chunks, none", CHUNKED + b"0\r\n\r\n", HONEST, (200, b"")),
        ]
    )
    def test_cut_stream_does_not_look_complete(self, _name, script, ending, expected):
        """The end of a stream without chunks is the end of its connection."""
        received = self.receive(RouteKind.STREAMING, script, ending)
        self.check(expected, received)

    @parameterized.expand(
        [
            ("complete", UNDELIMITED + b"body", HONEST, (200, b"body")),
            ("closed after its head", UNDELIMITED, HONEST, (502, None)),
            ("reset", UNDELIMITED + b"body", RESET, (502, None)),
            ("silent", UNDELIMITED + b"body", SILENT, (504, None)),
        ]
    )
    def test_cut_body_does_not_look_complete(self, _name, script, ending, expected):
        """The caller gets a failure in its place."""
        self.check(expected, self.receive(RouteKind.UNSAFE, script, ending))

    def check(self, expected, received) -> None:
        """Compare; an expected body of None stands for any."""
        if expected is None or expected[1] is not None:
            self.assertEqual(expected, received)
        else:
            self.assertEqual(expected[0], received[0])
        self.assertEqual([REQUEST_ENDED], self.log.numbers())
