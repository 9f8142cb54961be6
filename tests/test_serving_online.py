"""Online requests against scripted endpoints: retry, resumption, refusal."""

import asyncio
import copy
from collections.abc import AsyncIterator, Collection

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId, RouteName, TeamId
from apricotquay.quarantine import Quarantine
from apricotquay.serving.catalog import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    ServiceName,
    Team,
    WeightedService,
)
from apricotquay.serving.crashes.crashlog import CrashLog
from apricotquay.serving.crashes.detector import CrashDetector
from apricotquay.serving.crashes.partcrashes import PartCrashes
from apricotquay.serving.crashes.partquarantine import PartQuarantine
from apricotquay.serving.endpoints import Endpoint, EndpointTable
from apricotquay.serving.engine import (
    NO_LIMIT,
    NO_LOAD,
    AttemptFailedError,
    EndpointLimit,
    RequestNotRunError,
)
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.online import handler as online_module, timeouts
from apricotquay.serving.online.attempts import AttemptRunner
from apricotquay.serving.online.handler import OnlineRequestHandler
from apricotquay.serving.online.ratelimiter import RateDecision
from apricotquay.serving.online.requests import OnlineRequest
from apricotquay.serving.online.timeouts import AdaptiveTimeout
from apricotquay.serving.slots.outliers import SlotOutcome
from apricotquay.serving.slots.slotrequests import SlotLease, SlotUnavailableError
from apricotquay.serving.slots.tickets import Ticket, TicketId, Work
from apricotquay.serving.streams.streamkeeper import KnownVersion
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

SERVICE = ServiceName("llm")


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: t{number}\n\n".encode()


class ScriptedResponse:
    """A response made of parts.

    An exception is raised in its place, a float is a delay in seconds, and None
    hangs.
    """

    def __init__(self, status: int, parts: list) -> None:
        self.status = status
        self.headers = [(b"x-server", b"1")]
        self.ends_with_connection = False
        self.limit = NO_LIMIT
        self.load = NO_LOAD
        self.is_leaving = False
        self._parts = parts

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the parts."""
        for part in self._parts:
            if isinstance(part, Exception):
                raise part
            if part is None:
                await asyncio.sleep(60)
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            yield part

    def close(self) -> None:
        """Do nothing."""


class ScriptedEngines:
    """Returns or raises the scripted results in order.

    None hangs, and a list holds a delay in seconds and the result after it.
    """

    def __init__(self, script: list) -> None:
        self.calls: list = []
        self._script = list(script)

    async def send(self, call, endpoint) -> ScriptedResponse:
        """Return or raise the next scripted result."""
        self.calls.append((call, endpoint.id))
        step = self._script.pop(0)
        if step is None:
            await asyncio.sleep(60)
        if isinstance(step, list):
            await asyncio.sleep(step[0])
            step = step[1]
        if isinstance(step, Exception):
            raise step
        return step

    async def refuses_connections(self, endpoint) -> bool:
        """No endpoint crashes in these tests."""
        return False

    def is_out_of_reach(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False

    async def has_lost_path(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False


class FakeSlots:
    """Grants a slot at the first endpoint that the request does not avoid.

    Slots after the first `at_once` are granted after a delay, or never if that is
    None. Requests for a slot with the numbers `refused` are refused at once.
    """

    def __init__(
        self,
        at_once: int = 10_000,
        delay_s: float | None = None,
        refused: Collection[int] = (),
    ) -> None:
        self.held = 0
        self.outcomes: list[SlotOutcome] = []
        self._refused: Collection[int] = refused
        self._asked: int = 0
        self._at_once: int = at_once
        self._delay_s: float | None = delay_s

    async def acquire(self, service, slot_request) -> SlotLease:
        """Return a lease, unless the request's time for it has passed."""
        self._asked += 1
        if self._asked in self._refused:
            raise SlotUnavailableError(0.5)
        if slot_request.slot_deadline_s <= SystemClock().now_s():
            raise SlotUnavailableError(0.0)
        self._at_once -= 1
        if self._at_once < 0:
            if self._delay_s is None:
                raise SlotUnavailableError(0.0)
            await asyncio.sleep(self._delay_s)
        self.held += 1
        names = [e for e in ("e0", "e1", "e2") if e not in slot_request.avoid]
        endpoint = (names or ["e0"])[0]
        ticket = Ticket(TicketId("t"), Work.ONLINE, 0.0, 0.0)
        return SlotLease(service, ticket, EndpointId(endpoint), None)

    def record_limit(self, lease, limit) -> None:
        """Ignore limits."""

    def release(self, lease) -> None:
        """Count a lease as released."""
        self.held -= 1
        self.outcomes.append(lease.outcome)


class FakeStreams:
    """Knows one version of all streams, empty for none."""

    def __init__(self, version: str = "v1") -> None:
        self.version = version
        self.recorded: list[tuple[str, str]] = []

    def record(self, service, team, attempt, version) -> None:
        """Keep an attempt and its version."""
        self.recorded.append((attempt, version))

    async def find(self, service, team, attempt) -> KnownVersion:
        """Return the version."""
        return KnownVersion(self.version, "the test")


class FakeRates:
    """Admits a given number of requests."""

    def __init__(self, left: int = 10) -> None:
        self.left = left

    async def admit(self, team) -> RateDecision:
        """Admit a request while any are left."""
        self.left -= 1
        return RateDecision(0.0 if self.left >= 0 else 0.5, self.left, "a:1")


class FakeView:
    """A configuration with one route, and the endpoints of its service."""

    def __init__(self, route: Route, endpoint_count: int = 3) -> None:
        team = Team(TeamId("team"), frozenset({"key"}))
        self.configuration = Configuration(3, [route], [], [team], Limits())
        self.endpoints = EndpointTable()
        for number in range(endpoint_count):
            name = EndpointId(f"e{number}")
            entry = Endpoint(name, SERVICE, "127.0.0.1", 1, version="v1")
            self.endpoints.apply(entry.id, entry, number, 0.0)

    def age_s(self) -> float:
        """Return the view's age."""
        return 0.0


class RecordingWriter:
    """Records the response that a caller gets."""

    caller_left = False

    def __init__(self) -> None:
        self.status: int | None = None
        self.body: bytes = b""
        self.ending: str = ""
        self.retry_after_ms: int = 0

    async def start(self, status, headers) -> None:
        """Record the status."""
        self.status = status

    async def send(self, data) -> None:
        """Record a part of the body."""
        self.body += data

    async def finish(self) -> None:
        """Record that the response is complete."""
        self.ending = "complete"

    def abort(self) -> None:
        """Record that the response was aborted."""
        self.ending = "broken off"

    async def refuse(self, error) -> None:
        """Record an error."""
        self.status = error.status
        self.retry_after_ms = error.retry_after_ms
        self.ending = error.kind.value


def route(kind: RouteKind = RouteKind.STREAMING, **changes) -> Route:
    """Return the route."""
    fields = {"max_attempts": 2, "is_resumable": False, "timeout_ms": 5_000}
    services = (WeightedService(SERVICE, 1.0),)
    return Route(RouteName("r"), "h", "/x/", kind, services, **(fields | changes))


CONNECTION_RESET = AttemptFailedError("reset", reset=True)
REFUSED = RequestNotRunError("full")
UNREACHABLE = RequestNotRunError("refused", unreachable=True)
UNSAFE, SAFE = RouteKind.UNSAFE, RouteKind.SAFE


class OnlineRequestHandlerTest(ApricotTest):
    """Single requests through the handler."""

    def serve(
        self,
        tested_route: Route,
        script: list,
        rates=None,
        slots=None,
        endpoint_count=3,
        version="v1",
        **request,
    ):
        """Serve a request; return the recorded response and the engines."""
        engines = ScriptedEngines(script)
        clock = SystemClock()
        view = FakeView(tested_route, endpoint_count)
        reporter = quiet_reporter()
        slots = slots or FakeSlots()
        crash_log = CrashLog(MemoryLog(), "d", clock, reporter)
        crashes = CrashDetector(
            Quarantine(),
            PartQuarantine(),
            crash_log,
            engines,
            None,
            None,
            clock,
            reporter,
        )
        metrics = ServingMetrics()
        attempts = AttemptRunner(view, engines, crashes, metrics, clock, reporter)
        handler = OnlineRequestHandler(
            view,
            rates or FakeRates(),
            slots,
            attempts,
            metrics,
            FakeStreams(version),
            clock,
            reporter,
        )
        writer = RecordingWriter()

        async def run() -> None:
            fields = {
                "id": "a1",
                "method": "POST",
                "target": "/x/1",
                "path": "/x/1",
                "host": "h",
                "headers": [],
                "body": b"b",
                "key": "key",
                "caller_timeout_ms": 5_000,
                "arrived_s": clock.now_s(),
            }
            online = OnlineRequest(**(fields | request))
            admission = handler.admission.authorize("h", "/x/1", "key")
            await handler.serve(online, admission, writer)

        asyncio.run(run())
        self.assertEqual(0, slots.held)
        return writer, engines

    def shorten_silence_limits(self) -> None:
        """Let attempts be abandoned after a short silence."""
        self.patch(timeouts, "MAX_FIRST_EVENT_TIMEOUT_S", 0.05)
        self.patch(timeouts, "MAX_PAUSE_TIMEOUT_S", 0.05)

    def test_refusal_for_a_limit_counts_as_no_failure_of_the_endpoint(self):
        """It is sent elsewhere, and the endpoint is not ejected for it."""
        slots = FakeSlots()
        refusal = RequestNotRunError("full", limit=EndpointLimit(2.0))
        self.serve(route(), [refusal, ScriptedResponse(200, [event(0)])], slots=slots)
        self.assertEqual([SlotOutcome.UNKNOWN, SlotOutcome.SUCCEEDED], slots.outcomes)

    def test_quarantined_request_waits_for_no_slot_and_costs_no_rate(self):
        """It is refused at once, as one that has not run."""
        self.patch(CrashDetector, "is_quarantined", lambda *_: True)
        self.patch(FakeSlots, "acquire", None)
        rates = FakeRates(1)
        writer, engines = self.serve(route(SAFE), [], rates=rates)
        self.assertEqual("request_quarantined", writer.ending)
        self.assertEqual(([], 1), (engines.calls, rates.left))

    def test_request_with_a_crashing_part_waits_for_no_slot_and_costs_no_rate(self):
        """It is refused at once, as one that has not run."""
        self.patch(CrashDetector, "find_causes", lambda _, parts: parts)
        self.patch(FakeSlots, "acquire", None)
        rates = FakeRates(1)
        writer, engines = self.serve(
            route(SAFE), [], rates=rates, prompt_parts=["bad@m"]
        )
        self.assertEqual("request_quarantined", writer.ending)
        self.assertEqual(([], 1), (engines.calls, rates.left))

    def test_part_concluded_while_its_request_waits_is_not_sent(self):
        """Another daemon reports the third crash during the wait for a slot."""
        answers = iter([[], ["bad@m"]])
        self.patch(CrashDetector, "find_causes", lambda *_: next(answers))
        writer, engines = self.serve(route(SAFE), [], prompt_parts=["bad@m"])
        self.assertEqual("request_quarantined", writer.ending)
        self.assertEqual([], engines.calls)

    @parameterized.expand(
        [
            ("cut, suspected", CONNECTION_RESET, True, 1, "endpoint_failed"),
            ("cut, not suspected", CONNECTION_RESET, False, 2, "complete"),
            ("refused, suspected", REFUSED, True, 2, "complete"),
            ("unreachable, suspected", UNREACHABLE, True, 2, "complete"),
        ]
    )
    def test_request_cut_by_a_crash_goes_no_further_once_suspected(
        self, _name, error, is_suspected, sends, ending
    ):
        """One client attempt would end three endpoints by its retries."""
        self.patch(PartCrashes, "may_send_again", lambda *_: not is_suspected)
        script = [error, ScriptedResponse(200, [b"ok"])]
        writer, engines = self.serve(route(SAFE), script, prompt_parts=["bad@m"])
        self.assertEqual((sends, ending), (len(engines.calls), writer.ending))

    @parameterized.expand(
        [
            ("complete", UNSAFE, [ScriptedResponse(200, [b"a", b"b"])], 200, b"ab"),
            ("server error", UNSAFE, [ScriptedResponse(500, [b"no"])], 500, b"no"),
            (
                "refused once",
                UNSAFE,
                [REFUSED, ScriptedResponse(200, [b"ok"])],
                200,
                b"ok",
            ),
            (
                "unreachable once",
                UNSAFE,
                [UNREACHABLE, ScriptedResponse(200, [b"ok"])],
                200,
                b"ok",
            ),
            ("may have run", UNSAFE, [CONNECTION_RESET], 502, b""),
            (
                "safe, retried",
                SAFE,
                [CONNECTION_RESET, ScriptedResponse(200, [b"ok"])],
                200,
                b"ok",
            ),
            (
                "safe, failing twice",
                SAFE,
                [CONNECTION_RESET, CONNECTION_RESET],
                502,
                b"",
            ),
            (
                "safe after a truncated body",
                SAFE,
                [
                    ScriptedResponse(200, [b"a", CONNECTION_RESET]),
                    ScriptedResponse(200, [b"ok"]),
                ],
                200,
                b"ok",
            ),
            (
                "safe after a server error",
                SAFE,
                [ScriptedResponse(500, [b"no"]), ScriptedResponse(200, [b"ok"])],
                200,
                b"ok",
            ),
            (
                "safe, failing everywhere",
                SAFE,
                [ScriptedResponse(500, [b"1"]), ScriptedResponse(500, [b"2"])],
                500,
                b"2",
            ),
            (
                "refused, then may have run",
                UNSAFE,
                [REFUSED, CONNECTION_RESET],
                502,
                b"",
            ),
            ("refused everywhere", UNSAFE, [REFUSED] * 6, 503, b""),
        ]
    )
    def test_request_is_retried_as_its_route_kind_allows(
        self, _name, kind, script, status, body
    ):
        """A 503 is returned only for a request that has not run."""
        shorten_backoff(self)
        writer, engines = self.serve(route(kind), script)
        self.assertEqual((status, body), (writer.status, writer.body))
        self.assertEqual(len(script), len(engines.calls))

    def test_refused_request_has_retry_after(self):
        """A retry without a delay would be refused again."""
        shorten_backoff(self)
        writer, _ = self.serve(route(UNSAFE), [REFUSED] * 6)
        self.assertGreater(writer.retry_after_ms, 0)

    @parameterized.expand(
        [
            ("before its first event", [None], [0.3, event(0), event(1)]),
            ("within its stream", [event(0), None], [0.3, event(1)]),
        ]
    )
    def test_first_attempt_that_hangs_times_out_early(self, _name, hung, second):
        """The second has the full time, since all endpoints may have become slow."""
        self.patch(AdaptiveTimeout, "timeout_s", lambda _timeout: 0.05)
        script = [ScriptedResponse(200, hung), ScriptedResponse(200, second)]
        writer, engines = self.serve(route(is_resumable=True), script)
        self.assertEqual(
            (event(0) + event(1), "complete"), (writer.body, writer.ending)
        )
        self.assertEqual(["e0", "e1"], [name for _, name in engines.calls])

    def test_last_attempt_never_times_out_early(self):
        """No further attempt could replace it."""
        self.patch(AdaptiveTimeout, "timeout_s", lambda _timeout: 0.05)
        script = [ScriptedResponse(200, [0.3, event(0)])]
        writer, _ = self.serve(route(is_resumable=True, max_attempts=1), script)
        self.assertEqual((event(0), "complete"), (writer.body, writer.ending))

    @parameterized.expand(
        [
            ("only attempt, before its first event", 1, [[0.3, event(0), event(1)]]),
            ("only attempt, within its stream", 1, [[event(0), 0.3, event(1)]]),
            (
                "second attempt, before its event",
                2,
                [[event(0), None], [0.3, event(1)]],
            ),
            ("second attempt, from the start", 2, [[None], [0.3, event(0), event(1)]]),
            ("second, within", 2, [[None], [event(0), 0.3, event(1)]]),
        ]
    )
    def test_stream_of_endpoints_silent_for_a_while_is_not_cut(
        self, _name, max_attempts, parts
    ):
        """All endpoints may be silent at once, and then go on."""
        self.shorten_silence_limits()
        writer, engines = self.serve(
            route(is_resumable=True, max_attempts=max_attempts),
            [ScriptedResponse(200, list(response)) for response in parts],
        )
        self.assertEqual(
            (200, event(0) + event(1), "complete"),
            (writer.status, writer.body, writer.ending),
        )
        self.assertEqual(max_attempts, len(engines.calls))

    @parameterized.expand([("only attempt", 1), ("second attempt", 2)])
    def test_whole_answer_of_endpoints_silent_for_a_while_is_awaited(
        self, _name, max_attempts
    ):
        """The last attempt's endpoint answers after the silence limit."""
        self.shorten_silence_limits()
        hanging = [None] * (max_attempts - 1)
        late = [0.3, ScriptedResponse(200, [b"ok"])]
        writer, engines = self.serve(
            route(SAFE, max_attempts=max_attempts), [*hanging, late]
        )
        self.assertEqual((200, b"ok"), (writer.status, writer.body))
        self.assertEqual(max_attempts, len(engines.calls))

    @parameterized.expand(
        [
            ("before its first event", [None], 504, "deadline_exceeded"),
            ("within its stream", [event(0), None], 200, "broken off"),
        ]
    )
    def test_silent_last_attempt_ends_at_the_route_timeout(
        self, _name, parts, status, ending
    ):
        """The route's timeout is shorter than the caller's."""
        self.shorten_silence_limits()
        writer, engines = self.serve(
            route(is_resumable=True, max_attempts=1, timeout_ms=400),
            [ScriptedResponse(200, parts)],
        )
        self.assertEqual((status, ending), (writer.status, writer.ending))
        self.assertEqual(1, len(engines.calls))

    @parameterized.expand(
        [
            ("no slot is free elsewhere", FakeSlots(at_once=1), 3),
            ("a slot is free too late", FakeSlots(at_once=1, delay_s=1.0), 3),
            ("no other endpoint is listed", FakeSlots(), 1),
        ]
    )
    def test_silent_attempt_without_a_successor_is_kept(
        self, _name, slots, endpoint_count
    ):
        """Its endpoint goes on after a while; each limit is exceeded once."""
        self.shorten_silence_limits()
        for tested_route, step in (
            (
                route(is_resumable=True),
                ScriptedResponse(200, [0.2, event(0), event(1)]),
            ),
            (
                route(is_resumable=True),
                ScriptedResponse(200, [event(0), 0.2, event(1)]),
            ),
            (route(SAFE), [0.2, ScriptedResponse(200, [event(0), event(1)])]),
        ):
            writer, engines = self.serve(
                tested_route,
                [step],
                slots=copy.copy(slots),
                endpoint_count=endpoint_count,
            )
            self.assertEqual(
                (200, event(0) + event(1), "complete"),
                (writer.status, writer.body, writer.ending),
            )
            self.assertEqual(["e0"], [name for _, name in engines.calls])

    def test_silent_attempt_ends_when_all_other_endpoints_have_failed_before(self):
        """They may be sound again; the silent one may never be."""
        self.shorten_silence_limits()
        script = [
            ScriptedResponse(200, [event(0), CONNECTION_RESET]),
            ScriptedResponse(200, [CONNECTION_RESET]),
            ScriptedResponse(200, [None]),
            ScriptedResponse(200, [event(1)]),
        ]
        writer, engines = self.serve(route(is_resumable=True, max_attempts=4), script)
        self.assertEqual(
            (event(0) + event(1), "complete"), (writer.body, writer.ending)
        )
        self.assertEqual(["e0", "e1", "e2"], [name for _, name in engines.calls][:3])
        self.assertNotEqual("e2", engines.calls[3][1])

    def test_silent_attempt_ends_when_a_refused_successor_gets_a_slot_later(self):
        """One refusal does not end the search for another endpoint."""
        self.shorten_silence_limits()
        script = [
            ScriptedResponse(200, [event(0), None]),
            ScriptedResponse(200, [event(1)]),
        ]
        slots = FakeSlots(refused=[2])
        writer, _ = self.serve(route(is_resumable=True), script, slots=slots)
        self.assertEqual(
            (event(0) + event(1), "complete"), (writer.body, writer.ending)
        )

    def test_silent_attempt_ends_when_a_successor_has_a_slot(self):
        """Only one of the two attempts is ever forwarded."""
        self.shorten_silence_limits()
        script = [
            ScriptedResponse(200, [event(0), None]),
            ScriptedResponse(200, [event(1)]),
        ]
        slots = FakeSlots(at_once=1, delay_s=0.1)
        writer, engines = self.serve(route(is_resumable=True), script, slots=slots)
        self.assertEqual(
            (event(0) + event(1), "complete"), (writer.body, writer.ending)
        )
        self.assertEqual(["e0", "e1"], [name for _, name in engines.calls])

    @parameterized.expand(
        [
            ("stream", {"is_resumable": True}, [event(0), 0.2, CONNECTION_RESET]),
            ("whole answer", {"kind": SAFE}, [0.2, CONNECTION_RESET]),
        ]
    )
    def test_request_that_is_reset_late_gets_another_slot(self, _name, fields, parts):
        """Only a request that was never sent is refused if no slot is free soon."""
        self.patch(online_module, "SLOT_TIMEOUT_S", 0.1)
        script = [ScriptedResponse(200, parts), ScriptedResponse(200, [event(1)])]
        writer, engines = self.serve(route(**fields), script)
        self.assertEqual("complete", writer.ending)
        self.assertEqual(["e0", "e1"], [name for _, name in engines.calls])

    @parameterized.expand(
        [
            (
                "stream, full",
                {"is_resumable": True},
                [event(0), CONNECTION_RESET],
                REFUSED,
            ),
            (
                "stream, unreachable",
                {"is_resumable": True},
                [event(0), CONNECTION_RESET],
                UNREACHABLE,
            ),
            ("whole answer", {"kind": SAFE}, [CONNECTION_RESET], REFUSED),
        ]
    )
    def test_request_that_may_have_run_outlasts_endpoints_that_refuse_for_a_while(
        self, _name, fields, parts, refusal
    ):
        """It cannot be refused any more, and refused sends are no attempts."""
        shorten_backoff(self)
        script = [
            ScriptedResponse(200, parts),
            *[refusal] * (2 * online_module.MAX_NOT_RUN_SENDS),
            ScriptedResponse(200, [event(1)]),
        ]
        writer, engines = self.serve(route(**fields), script)
        self.assertEqual("complete", writer.ending)
        self.assertEqual(len(script), len(engines.calls))

    @parameterized.expand(
        [
            ("stream", {"is_resumable": True}, [event(0), CONNECTION_RESET]),
            ("whole answer", {"kind": SAFE}, [CONNECTION_RESET]),
        ]
    )
    def test_request_that_may_have_run_outlasts_a_moment_without_endpoints(
        self, _name, fields, parts
    ):
        """They may be missing from the list for a moment, all at once."""
        listed = [iter(["first"]), iter(())]
        self.patch(
            EndpointTable,
            "serving",
            lambda *_: listed.pop(0) if listed else iter(["back"]),
        )
        script = [ScriptedResponse(200, parts), ScriptedResponse(200, [event(1)])]
        writer, engines = self.serve(route(**fields), script)
        self.assertEqual("complete", writer.ending)
        self.assertEqual(2, len(engines.calls))

    def test_request_that_may_have_run_outlasts_an_estimate_of_the_wait(self):
        """A wait that is estimated too long does not end it before its time."""
        slots = FakeSlots(refused=[2])
        script = [
            ScriptedResponse(200, [event(0), CONNECTION_RESET]),
            ScriptedResponse(200, [event(1)]),
        ]
        writer, _ = self.serve(route(is_resumable=True), script, slots=slots)
        self.assertEqual("complete", writer.ending)

    def test_request_that_may_have_run_ends_in_time_if_all_endpoints_refuse(self):
        """Sends are spaced, so that refusing endpoints get few of them."""
        script = [ScriptedResponse(200, [CONNECTION_RESET]), *[REFUSED] * 1000]
        writer, engines = self.serve(route(SAFE, timeout_ms=400), script)
        self.assertEqual("deadline_exceeded", writer.ending)
        self.assertLess(len(engines.calls), 40)

    def test_stream_is_forwarded_in_complete_events(self):
        """The boundaries of the received chunks do not matter."""
        whole = event(0) + event(1) + event(2)
        parts = [whole[:5], whole[5:30], whole[30:]]
        writer, _ = self.serve(route(), [ScriptedResponse(200, parts)])
        self.assertEqual((whole, "complete"), (writer.body, writer.ending))

    @parameterized.expand(
        [
            ("cut between events", [event(0), event(1), CONNECTION_RESET]),
            (
                "cut within an event",
                [event(0), event(1), event(2)[:6], CONNECTION_RESET],
            ),
            ("ended within an event", [event(0), event(1), event(2)[:6]]),
            ("missing event", [event(0), event(1), event(3)]),
            ("no further data", [event(0), event(1), None]),
        ]
    )
    def test_broken_stream_resumes_at_another_endpoint(self, _name, parts):
        """The route is resumable; no event is missing or repeated."""
        self.patch(timeouts, "MAX_PAUSE_TIMEOUT_S", 0.05)
        rest = ScriptedResponse(200, [event(2), event(3)])
        writer, engines = self.serve(
            route(is_resumable=True), [ScriptedResponse(200, parts), rest]
        )
        self.assertEqual(b"".join(map(event, range(4))), writer.body)
        self.assertEqual("complete", writer.ending)
        self.assertEqual(1, engines.calls[1][0].resume_after)
        self.assertNotEqual(engines.calls[0][1], engines.calls[1][1])

    @parameterized.expand(
        [
            ("not resumable", {}, 1),
            ("attempts used up", {"is_resumable": True, "max_attempts": 1}, 1),
        ]
    )
    def test_broken_stream_that_cannot_resume_is_aborted(self, _name, changes, calls):
        """The caller must not take it for a complete stream."""
        writer, engines = self.serve(
            route(**changes), [ScriptedResponse(200, [event(0), CONNECTION_RESET])]
        )
        self.assertEqual("broken off", writer.ending)
        self.assertEqual(calls, len(engines.calls))

    def test_event_before_a_gap_that_came_with_it_is_not_lost(self):
        """The next attempt goes on after the last event that was passed on."""
        script = [
            ScriptedResponse(200, [event(0) + event(2)]),
            ScriptedResponse(200, [event(0), event(1), event(2)]),
        ]
        writer, engines = self.serve(route(is_resumable=True), script)
        self.assertEqual(event(0) + event(1) + event(2), writer.body)
        self.assertIsNone(engines.calls[1][0].resume_after)

    def test_resuming_caller_continues_after_its_last_event(self):
        """A stream that skips the next event is a failed attempt."""
        script = [ScriptedResponse(200, [event(4)]), ScriptedResponse(200, [event(3)])]
        writer, engines = self.serve(route(is_resumable=True), script, resume_after=2)
        self.assertEqual((event(3), "complete"), (writer.body, writer.ending))
        self.assertEqual(2, engines.calls[1][0].resume_after)

    @parameterized.expand(
        [
            ("unknown", "", "stream_unknown"),
            ("one that no endpoint has", "v0", "endpoint_missing"),
        ]
    )
    def test_stream_is_not_resumed_at_another_version(self, _name, version, ending):
        """The caller is told at once that nothing has run."""
        writer, engines = self.serve(
            route(is_resumable=True), [], version=version, resume_after=2
        )
        self.assertEqual((503, ending), (writer.status, writer.ending))
        self.assertEqual([], engines.calls)

    @parameterized.expand(
        [
            ("no body", ScriptedResponse(200, [None]), 504),
            ("incomplete body", ScriptedResponse(200, [b"a", None]), 504),
        ]
    )
    def test_route_timeout_ends_a_request(self, _name, step, status):
        """The route's timeout is shorter than the caller's."""
        writer, _ = self.serve(route(UNSAFE, timeout_ms=80), [step])
        self.assertEqual(status, writer.status)

    @parameterized.expand(
        [
            ("before the first event", {"is_resumable": True}, [], SlotOutcome.FAILED),
            ("in a stream", {"is_resumable": True}, [event(0)], SlotOutcome.FAILED),
            ("may run only once", {}, [event(0)], SlotOutcome.UNKNOWN),
        ]
    )
    def test_endpoint_that_hangs_in_the_last_attempt_counts_as_failing(
        self, _name, changes, parts, outcome
    ):
        """Otherwise requests go on to be sent there."""
        self.patch(online_module, "MAX_FIRST_EVENT_TIMEOUT_S", 0.1)
        slots = FakeSlots()
        tested_route = route(max_attempts=1, timeout_ms=400, **changes)
        self.serve(tested_route, [ScriptedResponse(200, [*parts, None])], slots=slots)
        self.assertEqual([outcome], slots.outcomes)

    def test_rate_refusal_has_retry_after(self):
        """The request is not sent to any endpoint."""
        writer, engines = self.serve(route(), [], rates=FakeRates(0))
        self.assertEqual((429, 500), (writer.status, writer.retry_after_ms))
        self.assertEqual([], engines.calls)

    def test_remaining_time_is_sent_with_each_call(self):
        """The remaining time never exceeds the caller's or the route's timeout."""
        _, engines = self.serve(
            route(UNSAFE, timeout_ms=900), [ScriptedResponse(200, [b"ok"])]
        )
        self.assertLessEqual(engines.calls[0][0].timeout_ms, 900)


def shorten_backoff(test: ApricotTest) -> None:
    """Make the backoff between sends short."""
    test.patch(online_module, "NOT_RUN_BACKOFF_S", 0.0001)
