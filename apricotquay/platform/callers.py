"""HTTP interface of the event-loop daemon to callers: online requests, batch jobs."""

import asyncio
import base64
import binascii
import contextlib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import msgspec

from ..clocks import Clock
from ..errors import ErrorKind, Ran, RequestError
from ..events import Event
from ..ids import JobId, TeamId
from ..serving.batch import jobs as job_outcomes
from ..serving.batch.jobrecords import JobItem, Submission
from ..serving.batch.jobs import Jobs, JobsUnavailableError
from ..serving.catalog import RouteKind
from ..serving.http.http1 import (
    HeaderList,
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
)
from ..serving.http.httpserver import CallerDisconnectedError, Exchange
from ..serving.http.keysearch import contains_key, holds_key
from ..serving.http.sse import EVENT_ID
from ..serving.messages import JobPage
from ..serving.metrics import ServingMetrics
from ..serving.online.handler import OnlineRequestHandler
from ..serving.online.requests import (
    Admission,
    OnlineRequest,
    acknowledge_cancellation,
    interruption_error,
)
from ..serving.reporting import Reporter
from . import wire

T = TypeVar("T")

JOB_RESULTS_PATH = "/-/lots/"
ITEM_BODY_PATH = "/-/items/"
DEFAULT_CALLER_TIMEOUT_MS = 60_000
MAX_LONG_POLL_MS = 1_000
# Share of the caller's timeout within which a submission is answered.
SUBMIT_TIMEOUT_SHARE = 0.75
MAX_SUBMIT_TIMEOUT_S = 3.0
# Share of the caller's timeout after which a call about a job is answered with an
# error rather than not at all.
ANSWER_TIMEOUT_SHARE = 0.9
# Callers that read wait 1.5 s longer than they let the daemon wait.
READ_TIMEOUT_S = 1.25
BODILESS_STATUSES = (204, 304)
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
# Errors keep the status of their kind except where the platform's callers would
# misread it: a quarantined request is refused as one that has not run.
STATUS_OVERRIDES = {ErrorKind.REQUEST_QUARANTINED: 503}
# Status that promises the caller that its request has not run.
NOT_RUN_STATUS = 503
OUTCOME_STATUS = {
    job_outcomes.DONE: 202,
    job_outcomes.OVER_CAP: 429,
    job_outcomes.REFUSED: 503,
    job_outcomes.OUTCOME_UNKNOWN: 504,
}
JOB_RETRY_AFTER_MS = 500
# Owner of the jobs whose callers showed no known key, which public routes allow.
NO_TEAM = TeamId("")
KEY_ELSEWHERE = "the key stands outside its header; nothing has run"


class _SubmittedItem(msgspec.Struct):
    id: str
    path: str
    body: str = ""
    tokens: Annotated[int, msgspec.Meta(ge=0, le=wire.MAX_TOKENS)] = 0
    headers: dict[str, str] = {}


class _SubmittedJob(msgspec.Struct):
    items: list[_SubmittedItem]


class ExchangeWriter:
    """Writes the response of one exchange; implements `ResponseWriter`."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange: Exchange = exchange
        self.has_started: bool = False
        self.is_logged: bool = False

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._exchange.caller_left

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the status and headers; the body is sent with chunked encoding."""
        self.has_started = True
        if status not in BODILESS_STATUSES:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        await self._exchange.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._exchange.send(data)

    async def finish(self) -> None:
        """Complete the response."""
        await self._exchange.finish()

    def abort(self) -> None:
        """Abort the response by closing the connection."""
        self._exchange.abort()

    async def refuse(self, error: RequestError) -> None:
        """Respond with an error."""
        self.has_started = True
        await self._exchange.respond(error_response(error))


def error_response(error: RequestError) -> HttpResponse:
    """Return the response for an error."""
    status = STATUS_OVERRIDES.get(error.kind, error.status)
    if error.kind is ErrorKind.INTERNAL and error.ran is Ran.NOT_RUN:
        status = NOT_RUN_STATUS
    headers = [JSON_CONTENT_TYPE]
    if error.retry_after_ms and error.ran is Ran.NOT_RUN:
        headers.append(
            (wire.RETRY_AFTER, f"{error.retry_after_ms / 1000:.3f}".encode())
        )
    return HttpResponse(status, headers, msgspec.json.encode(error.body()))


class CallerApi:
    """Handles callers' HTTP requests. Created by the entry point for the daemon."""

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
        """Handle one request and respond to it."""
        writer = ExchangeWriter(exchange)
        request = exchange.request
        key = request.header(wire.CALLER_KEY)
        if key and holds_key(request, key, wire.CALLER_KEY):
            await self._refuse_exposed_key(writer)
            return
        path, _, query = request.target.partition("?")
        try:
            await self._dispatch(exchange, request, path, query, writer)
        except RequestError as exc:
            self._report_refusal(request, path, exc)
            await writer.refuse(exc)
        except JobsUnavailableError as exc:
            error = RequestError(
                ErrorKind.JOB_STORE_UNAVAILABLE, str(exc), retry_after_ms=300
            )
            self._report_refusal(request, path, error)
            await writer.refuse(error)
        except CallerDisconnectedError as exc:
            self._report_abandoned(request, path, writer, exc)
            raise
        except asyncio.CancelledError as exc:
            if exchange.caller_left:
                self._report_abandoned(request, path, writer, exc)
                raise
            acknowledge_cancellation()
            await self._handle_unexpected_error(request, path, writer, exc)
        except Exception as exc:
            # An unexpected error ends this request only; the daemon keeps running.
            await self._handle_unexpected_error(request, path, writer, exc)

    async def _refuse_exposed_key(self, writer: ExchangeWriter) -> None:
        """Refuse a request that holds its key elsewhere; nothing of it is logged."""
        error = RequestError(ErrorKind.BAD_REQUEST, KEY_ELSEWHERE)
        self._metrics.count(f"refused_{error.kind.value}")
        self._reporter.write(
            Event.REQUEST_REFUSED,
            request=None,
            path="",
            version=self._online.admission.version,
            kind=error.kind.value,
            reason=error.message,
        )
        await writer.refuse(error)

    async def _handle_unexpected_error(
        self,
        request: HttpRequest,
        path: str,
        writer: ExchangeWriter,
        exc: BaseException,
    ) -> None:
        may_have_run = request.method != "GET"
        error = interruption_error(repr(exc)[:200], may_have_run=may_have_run)
        if may_have_run and not isinstance(exc, (OSError, asyncio.CancelledError)):
            error = RequestError(ErrorKind.INTERNAL, error.message)
        self._report_refusal(request, path, error)
        if writer.has_started:
            writer.abort()
        else:
            await writer.refuse(error)

    async def _dispatch(
        self,
        exchange: Exchange,
        request: HttpRequest,
        path: str,
        query: str,
        writer: ExchangeWriter,
    ) -> None:
        if path.startswith(JOB_RESULTS_PATH):
            await self._handle_job(exchange, request, path, query)
            return
        if path.startswith(ITEM_BODY_PATH):
            await self._handle_item_body(exchange, request, path, query)
            return
        host = _request_host(request)
        key = request.header(wire.CALLER_KEY)
        admission = self._online.admission.authorize(host, path, key)
        if admission.route.kind is RouteKind.BATCH:
            await self._handle_submission(exchange, request, host, path, admission)
            return
        online = _build_online_request(request, host, path, key, self._clock.now_s())
        writer.is_logged = True
        await self._online.serve(online, admission, writer)

    async def _handle_submission(
        self,
        exchange: Exchange,
        request: HttpRequest,
        host: str,
        path: str,
        admission: Admission,
    ) -> None:
        team = admission.team.id if admission.team else NO_TEAM
        submission = _build_submission(
            request, team, host, path, admission, self._clock.wall_ms()
        )
        wait_s = min(
            MAX_SUBMIT_TIMEOUT_S,
            _caller_timeout_ms(request) * SUBMIT_TIMEOUT_SHARE / 1000,
        )
        started_s = self._clock.now_s()
        async with _answer_within(
            _caller_timeout_ms(request) * ANSWER_TIMEOUT_SHARE / 1000,
            ErrorKind.OUTCOME_UNKNOWN,
        ):
            outcome = await self._jobs.submit(
                submission, admission.route.path_prefix, wait_s
            )
        self._metrics.record_ms("job_accept", (self._clock.now_s() - started_s) * 1000)
        status = OUTCOME_STATUS[outcome]
        headers = [JSON_CONTENT_TYPE]
        if status in (429, 503):
            retry_after = f"{JOB_RETRY_AFTER_MS / 1000:.3f}".encode()
            headers.append((wire.RETRY_AFTER, retry_after))
        await exchange.respond(HttpResponse(status, headers, b"{}"))

    async def _handle_job(
        self, exchange: Exchange, request: HttpRequest, path: str, query: str
    ) -> None:
        job = JobId(urllib.parse.unquote(path[len(JOB_RESULTS_PATH) :]))
        if request.method == "DELETE":
            async with _answer_within(
                _caller_timeout_ms(request) * ANSWER_TIMEOUT_SHARE / 1000,
                ErrorKind.OUTCOME_UNKNOWN,
            ):
                outcome = await self._call_for_owner(
                    request,
                    lambda team: self._jobs.cancel(team, job),
                    lambda outcome: outcome == job_outcomes.UNKNOWN_JOB,
                )
            status = 404 if outcome == job_outcomes.UNKNOWN_JOB else 200
            await exchange.respond(HttpResponse(status, [JSON_CONTENT_TYPE], b"{}"))
            return
        if request.method != "GET":
            raise RequestError(ErrorKind.BAD_REQUEST, "method not known here")
        after = _parse_number(urllib.parse.parse_qs(query).get("after", ["0"])[0])
        wait_ms = _parse_number(request.header(wire.LONG_POLL_MS) or "0")
        wait_s = min(wait_ms, MAX_LONG_POLL_MS) / 1000
        async with _answer_within(
            wait_s + READ_TIMEOUT_S, ErrorKind.JOB_STORE_UNAVAILABLE
        ):
            page = await self._call_for_owner(
                request,
                lambda team: self._jobs.read(team, job, after, wait_s),
                lambda page: page.total < 0,
            )
        if page.total < 0:
            raise RequestError(ErrorKind.JOB_UNKNOWN, "no such job")
        await exchange.respond(
            HttpResponse(200, [JSON_CONTENT_TYPE], _encode_page(page, after))
        )

    async def _handle_item_body(
        self, exchange: Exchange, request: HttpRequest, path: str, query: str
    ) -> None:
        job = JobId(urllib.parse.unquote(path[len(ITEM_BODY_PATH) :]))
        item = urllib.parse.parse_qs(query).get("id", [""])[0]
        async with _answer_within(READ_TIMEOUT_S, ErrorKind.JOB_STORE_UNAVAILABLE):
            found = await self._call_for_owner(
                request,
                lambda team: self._jobs.read_body(team, job, item),
                lambda found: not found.found,
            )
        if not found.found:
            raise RequestError(ErrorKind.JOB_UNKNOWN, "no such item")
        headers = [(b"content-type", b"application/octet-stream")]
        await exchange.respond(HttpResponse(200, headers, found.body))

    async def _call_for_owner(
        self,
        request: HttpRequest,
        call: Callable[[TeamId], Awaitable[T]],
        is_unknown: Callable[[T], bool],
    ) -> T:
        """Make a call about a job of the caller's team or of no team: one that came
        without a known key on a public route, which may be closed by now. Raises
        RequestError if there is none and the key is not known.
        """
        admission = self._online.admission
        key = request.header(wire.CALLER_KEY)
        team = admission.find_team(key)
        if team is not None:
            answer = await call(team.id)
            if not is_unknown(answer):
                return answer
        answer = await call(NO_TEAM)
        if is_unknown(answer):
            admission.check_key(key)
        return answer

    def _report_abandoned(
        self,
        request: HttpRequest,
        path: str,
        writer: ExchangeWriter,
        exc: BaseException,
    ) -> None:
        if writer.is_logged:
            return
        self._metrics.count("requests_abandoned")
        self._reporter.write(
            Event.REQUEST_ABANDONED,
            request=request.header(wire.REQUEST_ID),
            path=path,
            version=self._online.admission.version,
            reason=repr(exc)[:80],
        )

    def _report_refusal(
        self, request: HttpRequest, path: str, error: RequestError
    ) -> None:
        self._metrics.count(f"refused_{error.kind.value}")
        self._reporter.write(
            Event.REQUEST_REFUSED,
            request=request.header(wire.REQUEST_ID),
            path=path,
            version=self._online.admission.version,
            kind=error.kind.value,
            reason=error.message,
        )


@contextlib.asynccontextmanager
async def _answer_within(timeout_s: float, kind: ErrorKind):
    """Raise a RequestError if a call about a job takes longer than its caller waits."""
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except TimeoutError as exc:
        raise RequestError(kind, "no answer in time") from exc


def _request_host(request: HttpRequest) -> str:
    host = request.header(b"host") or ""
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def _caller_timeout_ms(request: HttpRequest) -> int:
    return (
        _parse_number(request.header(wire.TIMEOUT_MS) or "")
        or DEFAULT_CALLER_TIMEOUT_MS
    )


def _parse_number(text: str) -> int:
    """Return the text as an integer of at least 0, or 0 if it is not a number."""
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return 0


def _parse_event_id(text: str | None) -> int | None:
    """Return the id of an event, None if the text is none."""
    if text is None or not EVENT_ID.fullmatch(text.encode()):
        return None
    return int(text)


def _build_online_request(
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
        _caller_timeout_ms(request),
        arrived_s,
        _parse_event_id(resume),
        parts[-2] if len(parts) > 1 else "",
        wire.decode_prompt_parts(request.headers),
        request.header(wire.RESUMES) or "",
        wire.decode_token_usage(request.headers),
    )


def _build_submission(
    request: HttpRequest,
    team: TeamId,
    host: str,
    path: str,
    admission: Admission,
    now_ms: int,
) -> Submission:
    try:
        submitted = msgspec.json.decode(request.body, type=_SubmittedJob)
        items = [
            JobItem(
                item.id,
                item.path,
                list(item.headers.items()),
                base64.b64decode(item.body),
                item.tokens,
            )
            for item in submitted.items
        ]
    except (msgspec.DecodeError, binascii.Error) as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"not a batch job: {exc}") from exc
    _check_items(items, request.header(wire.CALLER_KEY) or "")
    job = request.header(wire.REQUEST_ID)
    if not job:
        raise RequestError(ErrorKind.BAD_REQUEST, "the batch job has no id")
    route = admission.route
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


def _check_items(items: list[JobItem], key: str) -> None:
    """Raise RequestError if an item, as decoded, holds the key."""
    for item in items:
        texts = [item.id, item.path, *(text for pair in item.headers for text in pair)]
        parts = [item.body, *(text.encode("utf-8", "replace") for text in texts)]
        if any(contains_key(part, key) for part in parts):
            raise RequestError(ErrorKind.BAD_REQUEST, KEY_ELSEWHERE)


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
