"""The platform's callers: their HTTP calls as requests and jobs of the product."""

import base64
import binascii
import urllib.parse

import msgspec

from ..clocks import Clock
from ..errors import ErrorKind, Ran, RequestError
from ..events import Event
from ..ids import JobId, TeamId
from ..serving import jobs as job_outcomes
from ..serving.catalog import RouteKind
from ..serving.http1 import HeaderList, HttpRequest, HttpResponse, end_to_end_headers
from ..serving.httpserver import CallerDisconnectedError, Exchange
from ..serving.jobrecords import JobItem, Submission
from ..serving.jobs import Jobs, JobsUnavailableError
from ..serving.messages import JobPage
from ..serving.metrics import ServingMetrics
from ..serving.online import OnlineRequestHandler
from ..serving.reporting import Reporter
from ..serving.requests import Admission, OnlineRequest
from . import wire

RESULTS_PATH = "/-/lots/"
BODY_PATH = "/-/items/"
DEFAULT_PATIENCE_MS = 60_000
MAX_LONG_POLL_MS = 1_000
# A job's answer is due in a time of this share of the time that its caller has.
SUBMIT_SHARE = 0.75
MAX_SUBMIT_S = 3.0
BODILESS = (204, 304)
JSON = (b"content-type", b"application/json")
# The answers of the closed list hold here as they are, but for what callers of
# the platform would misread: a request that crashes endpoints is refused as one
# that has not run.
STATUS_OVERRIDES = {ErrorKind.REQUEST_QUARANTINED: 503}
OUTCOME_STATUS = {
    job_outcomes.DONE: 202,
    job_outcomes.OVER_CAP: 429,
    job_outcomes.REFUSED: 503,
    job_outcomes.OUTCOME_UNKNOWN: 504,
}
JOB_RETRY_AFTER_MS = 500


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str = ""
    tokens: int = 0
    headers: dict[str, str] = {}


class _Lot(msgspec.Struct):
    items: list[_Item]


class ExchangeCaller:
    """Answers one exchange; implements `ResponseWriter`."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange: Exchange = exchange
        self.has_started: bool = False

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a server's answer; its body is sent in chunks."""
        self.has_started = True
        if status not in BODILESS:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        await self._exchange.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._exchange.send(data)

    async def finish(self) -> None:
        """Complete the answer."""
        await self._exchange.finish()

    def abort(self) -> None:
        """Break the answer off."""
        self._exchange.abort()

    async def refuse(self, error: RequestError) -> None:
        """Answer with the status of an error."""
        self.has_started = True
        await self._exchange.respond(error_response(error))


def error_response(error: RequestError) -> HttpResponse:
    """Return the answer to an error."""
    status = STATUS_OVERRIDES.get(error.kind, error.status)
    headers = [JSON]
    if error.retry_after_ms and error.ran is Ran.NOT_RUN:
        headers.append((b"retry-after", f"{error.retry_after_ms / 1000:.3f}".encode()))
    return HttpResponse(status, headers, msgspec.json.encode(error.body()))


class CallerApi:
    """Handles each exchange of a caller. Created by the entry point."""

    def __init__(
        self,
        online: OnlineRequestHandler,
        jobs: Jobs,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._online: OnlineRequestHandler = online
        self._jobs: Jobs = jobs
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        caller = ExchangeCaller(exchange)
        request = exchange.request
        path, _, query = request.target.partition("?")
        try:
            await self._dispatch(exchange, request, path, query, caller)
        except RequestError as exc:
            self._report_refusal(request, path, exc)
            await caller.refuse(exc)
        except JobsUnavailableError as exc:
            error = RequestError(
                ErrorKind.JOB_STORE_UNAVAILABLE, str(exc), retry_after_ms=300
            )
            self._report_refusal(request, path, error)
            await caller.refuse(error)
        except (CallerDisconnectedError, OSError):
            raise
        except Exception as exc:
            # Nobody foresaw it: the caller is told, and the daemon goes on.
            await self._end_unforeseen(request, path, caller, exc)

    async def _end_unforeseen(
        self, request: HttpRequest, path: str, caller: ExchangeCaller, exc: Exception
    ) -> None:
        error = RequestError(ErrorKind.INTERNAL, repr(exc)[:200])
        self._report_refusal(request, path, error)
        if caller.has_started:
            caller.abort()
        else:
            await caller.refuse(error)

    async def _dispatch(
        self,
        exchange: Exchange,
        request: HttpRequest,
        path: str,
        query: str,
        caller: ExchangeCaller,
    ) -> None:
        if path.startswith(RESULTS_PATH):
            await self._handle_job(exchange, request, path, query)
            return
        if path.startswith(BODY_PATH):
            await self._handle_body(exchange, request, path, query)
            return
        host = _host_of(request)
        key = request.header(wire.CALLER_KEY)
        admitted = self._online.authorize(host, path, key)
        if admitted.route.kind is RouteKind.BATCH:
            await self._handle_submission(exchange, request, host, path, admitted)
            return
        online = _online_request(request, host, path, key, self._clock.now_s())
        await self._online.serve(online, admitted, caller)

    async def _handle_submission(
        self,
        exchange: Exchange,
        request: HttpRequest,
        host: str,
        path: str,
        admitted: Admission,
    ) -> None:
        team = admitted.team.id if admitted.team else TeamId("")
        submission = _submission(
            request, team, host, path, admitted, self._clock.wall_ms()
        )
        wait_s = min(MAX_SUBMIT_S, _patience_ms(request) * SUBMIT_SHARE / 1000)
        begun_s = self._clock.now_s()
        outcome = await self._jobs.submit(
            submission, admitted.route.path_prefix, wait_s
        )
        self._metrics.record_ms("job_accept", (self._clock.now_s() - begun_s) * 1000)
        status = OUTCOME_STATUS[outcome]
        headers = [JSON]
        if status in (429, 503):
            retry_after = f"{JOB_RETRY_AFTER_MS / 1000:.3f}".encode()
            headers.append((b"retry-after", retry_after))
        await exchange.respond(HttpResponse(status, headers, b"{}"))

    async def _handle_job(
        self, exchange: Exchange, request: HttpRequest, path: str, query: str
    ) -> None:
        team = self._team(request)
        job = JobId(urllib.parse.unquote(path[len(RESULTS_PATH) :]))
        if request.method == "DELETE":
            outcome = await self._jobs.cancel(team, job)
            status = 404 if outcome == job_outcomes.UNKNOWN_JOB else 200
            await exchange.respond(HttpResponse(status, [JSON], b"{}"))
            return
        if request.method != "GET":
            raise RequestError(ErrorKind.BAD_REQUEST, "method not known here")
        after = _number(urllib.parse.parse_qs(query).get("after", ["0"])[0])
        wait_ms = _number(request.header(wire.LONG_POLL_MS) or "0")
        page = await self._jobs.read(
            team, job, after, min(wait_ms, MAX_LONG_POLL_MS) / 1000
        )
        if page.total < 0:
            raise RequestError(ErrorKind.JOB_UNKNOWN, "no such job")
        await exchange.respond(HttpResponse(200, [JSON], _encode_page(page, after)))

    async def _handle_body(
        self, exchange: Exchange, request: HttpRequest, path: str, query: str
    ) -> None:
        team = self._team(request)
        job = JobId(urllib.parse.unquote(path[len(BODY_PATH) :]))
        item = urllib.parse.parse_qs(query).get("id", [""])[0]
        found = await self._jobs.read_body(team, job, item)
        if not found.found:
            raise RequestError(ErrorKind.JOB_UNKNOWN, "no such item")
        headers = [(b"content-type", b"application/octet-stream")]
        await exchange.respond(HttpResponse(200, headers, found.body))

    def _team(self, request: HttpRequest) -> TeamId:
        return self._online.team_of(request.header(wire.CALLER_KEY))

    def _report_refusal(
        self, request: HttpRequest, path: str, error: RequestError
    ) -> None:
        self._metrics.count(f"refused_{error.kind.value}")
        self._reporter.write(
            Event.REQUEST_REFUSED,
            request=request.header(wire.REQUEST_ID),
            path=path,
            version=self._online.version,
            kind=error.kind.value,
            reason=error.message,
        )


def _host_of(request: HttpRequest) -> str:
    host = request.header(b"host") or ""
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def _patience_ms(request: HttpRequest) -> int:
    return _number(request.header(wire.PATIENCE_MS) or "") or DEFAULT_PATIENCE_MS


def _number(text: str) -> int:
    """Return a whole number, 0 where the text is none."""
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return 0


def _online_request(
    request: HttpRequest, host: str, path: str, key: str | None, arrived_s: float
) -> OnlineRequest:
    resume = request.header(wire.RESUME_AFTER)
    parts = (request.header(wire.PROMPT_PARTS) or "").split(",")
    return OnlineRequest(
        request.header(wire.REQUEST_ID) or "",
        request.method,
        request.target,
        path,
        host,
        end_to_end_headers(request.headers),
        request.body,
        key,
        _patience_ms(request),
        arrived_s,
        int(resume) if resume is not None and resume.isdigit() else None,
        parts[-2] if len(parts) > 1 else "",
    )


def _submission(
    request: HttpRequest,
    team: TeamId,
    host: str,
    path: str,
    admitted: Admission,
    now_ms: int,
) -> Submission:
    try:
        lot = msgspec.json.decode(request.body, type=_Lot)
        items = [
            JobItem(
                item.id,
                item.path,
                list(item.headers.items()),
                base64.b64decode(item.body),
                item.tokens,
            )
            for item in lot.items
        ]
    except (msgspec.DecodeError, binascii.Error) as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"not a batch job: {exc}") from exc
    job = request.header(wire.REQUEST_ID)
    if not job:
        raise RequestError(ErrorKind.BAD_REQUEST, "the batch job has no id")
    route = admitted.route
    return Submission(
        JobId(job),
        team,
        host,
        path,
        items,
        now_ms,
        now_ms + route.due_after_ms,
        now_ms + int(route.give_up_after_s * 1000),
        route.max_token_backlog,
    )


def _encode_page(page: JobPage, after: int) -> bytes:
    results = [
        {
            "id": result.id,
            "state": "done" if result.is_done else "dead_letter",
            "text": result.text,
        }
        for result in page.results
    ]
    return msgspec.json.encode(
        {"total": page.total, "next": after + len(results), "results": results}
    )
