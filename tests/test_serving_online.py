"""The path of an online request over scripted endpoints: retry, resume, refusal."""

import asyncio
from collections.abc import AsyncIterator

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId, RouteName, TeamId
from apricotquay.quarantine import Quarantine
from apricotquay.serving import online as online_module, timeouts
from apricotquay.serving.attempts import AttemptRunner
from apricotquay.serving.catalog import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    ServiceName,
    Team,
    WeightedService,
)
from apricotquay.serving.crashes import CrashDetector
from apricotquay.serving.dispatch import Ticket, TicketId, Work
from apricotquay.serving.endpoints import Endpoint, EndpointTable
from apricotquay.serving.engine import AttemptFailedError, RequestNotRunError
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.online import OnlineRequestHandler
from apricotquay.serving.ratelimiter import RateDecision
from apricotquay.serving.requests import OnlineRequest
from apricotquay.serving.slots import SlotLease
from apricotquay.serving.timeouts import AdaptiveTimeout

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

SERVICE = ServiceName("llm")


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: t{number}\n\n".encode()


class ScriptedAnswer:
    """An answer of parts; an exception among them is raised in its place."""

    def __init__(self, status: int, parts: list) -> None:
        self.status = status
        self.headers = [(b"x-server", b"1")]
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
    """Answers calls one after the other as scripted."""

    def __init__(self, script: list) -> None:
        self.calls: list = []
        self._script = list(script)

    async def send(self, call, endpoint) -> ScriptedAnswer:
        """Return or raise what is scripted."""
        self.calls.append((call, endpoint.id))
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def refuses_connections(self, endpoint) -> bool:
        """No endpoint dies here."""
        return False


class FreeSlots:
    """Grants the first endpoint that is not to be avoided."""

    def __init__(self) -> None:
        self.held = 0

    async def acquire(self, service, wanted) -> SlotLease:
        """Return a lease."""
        self.held += 1
        names = [e for e in ("e0", "e1", "e2") if e not in wanted.avoid]
        endpoint = (names or ["e0"])[0]
        ticket = Ticket(TicketId("t"), Work.ONLINE, 0.0, 0.0)
        return SlotLease(service, ticket, EndpointId(endpoint), None)

    def release(self, lease) -> None:
        """Take a lease back."""
        self.held -= 1


class OpenRates:
    """Admits a given number of requests."""

    def __init__(self, left: int = 10) -> None:
        self.left = left

    async def admit(self, team) -> RateDecision:
        """Take one."""
        self.left -= 1
        return RateDecision(0.0 if self.left >= 0 else 0.5, self.left, "a:1")


class FixedView:
    """A view with one route and three endpoints."""

    def __init__(self, route: Route) -> None:
        team = Team(TeamId("team"), frozenset({"key"}))
        self.configuration = Configuration(3, [route], [], [team], Limits())
        self.endpoints = EndpointTable()
        for number in range(3):
            entry = Endpoint(EndpointId(f"e{number}"), SERVICE, "127.0.0.1", 1)
            self.endpoints.apply(entry.id, entry, number, 0.0)

    def age_s(self) -> float:
        """Return the view's age."""
        return 0.0


class KeptAnswer:
    """Keeps what a caller got."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.body: bytes = b""
        self.ending: str = ""
        self.retry_after_ms: int = 0

    async def start(self, status, headers) -> None:
        """Keep the status."""
        self.status = status

    async def send(self, data) -> None:
        """Keep a part."""
        self.body += data

    async def finish(self) -> None:
        """The answer is complete."""
        self.ending = "complete"

    def abort(self) -> None:
        """The answer is broken off."""
        self.ending = "broken off"

    async def refuse(self, error) -> None:
        """Keep an error."""
        self.status = error.status
        self.retry_after_ms = error.retry_after_ms
        self.ending = error.kind.value


def route(kind: RouteKind = RouteKind.STREAMING, **changes) -> Route:
    """Return the route."""
    fields = {"max_attempts": 2, "is_resumable": False, "timeout_ms": 5_000}
    services = (WeightedService(SERVICE, 1.0),)
    return Route(RouteName("r"), "h", "/x/", kind, services, **(fields | changes))


BROKEN = AttemptFailedError("reset", reset=True)
REFUSED = RequestNotRunError("full")
GONE = RequestNotRunError("refused", unreachable=True)
UNSAFE, SAFE = RouteKind.UNSAFE, RouteKind.SAFE


class OnlinePathTest(ApricotTest):
    """One request at a time."""

    def play(self, the_route: Route, script: list, rates=None, **request):
        """Serve a request; return what the caller got and the engines."""
        engines = ScriptedEngines(script)
        clock = SystemClock()
        view = FixedView(the_route)
        reporter = quiet_reporter()
        slots = FreeSlots()
        crashes = CrashDetector(Quarantine(), engines, None, None, clock, reporter)
        metrics = ServingMetrics()
        attempts = AttemptRunner(view, engines, crashes, metrics, clock, reporter)
        path = OnlineRequestHandler(
            view, rates or OpenRates(), slots, attempts, metrics, clock, reporter
        )
        kept = KeptAnswer()

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
            admitted = path.authorize("h", "/x/1", "key")
            await path.serve(online, admitted, kept)

        asyncio.run(run())
        self.assertEqual(0, slots.held)
        return kept, engines

    @parameterized.expand(
        [
            ("whole", UNSAFE, [ScriptedAnswer(200, [b"a", b"b"])], 200, b"ab"),
            ("own failure", UNSAFE, [ScriptedAnswer(500, [b"no"])], 500, b"no"),
            (
                "refused once",
                UNSAFE,
                [REFUSED, ScriptedAnswer(200, [b"ok"])],
                200,
                b"ok",
            ),
            ("gone once", UNSAFE, [GONE, ScriptedAnswer(200, [b"ok"])], 200, b"ok"),
            ("may have run", UNSAFE, [BROKEN], 502, b""),
            ("safe again", SAFE, [BROKEN, ScriptedAnswer(200, [b"ok"])], 200, b"ok"),
            ("safe twice", SAFE, [BROKEN, BROKEN], 502, b""),
            (
                "safe after a cut body",
                SAFE,
                [ScriptedAnswer(200, [b"a", BROKEN]), ScriptedAnswer(200, [b"ok"])],
                200,
                b"ok",
            ),
            (
                "safe after a failure",
                SAFE,
                [ScriptedAnswer(500, [b"no"]), ScriptedAnswer(200, [b"ok"])],
                200,
                b"ok",
            ),
            (
                "safe, failing everywhere",
                SAFE,
                [ScriptedAnswer(500, [b"1"]), ScriptedAnswer(500, [b"2"])],
                500,
                b"2",
            ),
            (
                "refused, then may have run",
                UNSAFE,
                [REFUSED, BROKEN],
                502,
                b"",
            ),
            ("refused everywhere", UNSAFE, [REFUSED] * 6, 503, b""),
        ]
    )
    def test_request_is_repeated_as_its_kind_allows(
        self, _name, kind, script, status, body
    ):
        """And 503 is only said of what has not run."""
        online_module_pause(self)
        kept, engines = self.play(route(kind), script)
        self.assertEqual((status, body), (kept.status, kept.body))
        self.assertEqual(len(script), len(engines.calls))

    def test_refused_request_is_told_when_to_come_back(self):
        """It is no use to come at once."""
        online_module_pause(self)
        kept, _ = self.play(route(UNSAFE), [REFUSED] * 6)
        self.assertGreater(kept.retry_after_ms, 0)

    @parameterized.expand(
        [
            ("before its first event", [None], [0.3, event(0), event(1)]),
            ("within its stream", [event(0), None], [0.3, event(1)]),
        ]
    )
    def test_first_attempt_that_hangs_is_given_up_soon(self, _name, hung, second):
        """The second one has the full time, since all may have become slow."""
        self.patch(AdaptiveTimeout, "limit_s", lambda _timeout: 0.05)
        script = [ScriptedAnswer(200, hung), ScriptedAnswer(200, second)]
        kept, engines = self.play(route(is_resumable=True), script)
        self.assertEqual((event(0) + event(1), "complete"), (kept.body, kept.ending))
        self.assertEqual(["e0", "e1"], [name for _, name in engines.calls])

    def test_last_attempt_is_never_given_up_early(self):
        """Nothing would be left to try."""
        self.patch(AdaptiveTimeout, "limit_s", lambda _timeout: 0.05)
        script = [ScriptedAnswer(200, [0.3, event(0)])]
        kept, _ = self.play(route(is_resumable=True, max_attempts=1), script)
        self.assertEqual((event(0), "complete"), (kept.body, kept.ending))

    def test_stream_is_passed_on_in_whole_events(self):
        """Cut anywhere on its way."""
        whole = event(0) + event(1) + event(2)
        parts = [whole[:5], whole[5:30], whole[30:]]
        kept, _ = self.play(route(), [ScriptedAnswer(200, parts)])
        self.assertEqual((whole, "complete"), (kept.body, kept.ending))

    @parameterized.expand(
        [
            ("cut between events", [event(0), event(1), BROKEN]),
            ("cut within an event", [event(0), event(1), event(2)[:6], BROKEN]),
            ("ended within an event", [event(0), event(1), event(2)[:6]]),
            ("a gap", [event(0), event(1), event(3)]),
            ("silent", [event(0), event(1), None]),
        ]
    )
    def test_broken_stream_goes_on_elsewhere(self, _name, parts):
        """After its last event, where the route allows; nothing is doubled."""
        self.patch(timeouts, "EVENT_LIMIT_S", 0.05)
        rest = ScriptedAnswer(200, [event(2), event(3)])
        kept, engines = self.play(
            route(is_resumable=True), [ScriptedAnswer(200, parts), rest]
        )
        self.assertEqual(b"".join(map(event, range(4))), kept.body)
        self.assertEqual("complete", kept.ending)
        self.assertEqual(1, engines.calls[1][0].resume_after)
        self.assertNotEqual(engines.calls[0][1], engines.calls[1][1])

    @parameterized.expand(
        [
            ("not resumable", {}, 1),
            ("attempts used up", {"is_resumable": True, "max_attempts": 1}, 1),
        ]
    )
    def test_broken_stream_ends_broken(self, _name, changes, calls):
        """It never looks complete."""
        kept, engines = self.play(
            route(**changes), [ScriptedAnswer(200, [event(0), BROKEN])]
        )
        self.assertEqual("broken off", kept.ending)
        self.assertEqual(calls, len(engines.calls))

    def test_caller_that_resumes_goes_on_from_its_event(self):
        """A gap after it is a broken stream."""
        script = [ScriptedAnswer(200, [event(4)]), ScriptedAnswer(200, [event(3)])]
        kept, engines = self.play(route(is_resumable=True), script, resume_after=2)
        self.assertEqual((event(3), "complete"), (kept.body, kept.ending))
        self.assertEqual(2, engines.calls[1][0].resume_after)

    @parameterized.expand(
        [
            ("offered", ScriptedAnswer(200, [None]), 504),
            ("whole answer late", ScriptedAnswer(200, [b"a", None]), 504),
        ]
    )
    def test_time_limit_ends_a_request_at_once(self, _name, step, status):
        """Not at the caller's deadline, but at the route's."""
        kept, _ = self.play(route(UNSAFE, timeout_ms=80), [step])
        self.assertEqual(status, kept.status)

    def test_rate_refusal_says_when_to_come_back(self):
        """The request is not sent anywhere."""
        kept, engines = self.play(route(), [], rates=OpenRates(0))
        self.assertEqual((429, 500), (kept.status, kept.retry_after_ms))
        self.assertEqual([], engines.calls)

    def test_time_that_is_left_goes_with_each_send(self):
        """Never more than the caller waits or the route allows."""
        _, engines = self.play(
            route(UNSAFE, timeout_ms=900), [ScriptedAnswer(200, [b"ok"])]
        )
        self.assertLessEqual(engines.calls[0][0].timeout_ms, 900)


def online_module_pause(test: ApricotTest) -> None:
    """Make pauses between attempts short."""
    test.patch(online_module, "NOT_RUN_PAUSE_S", 0.0001)
