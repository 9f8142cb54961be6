"""Online requests of the threaded daemon: admission, stream, retry or resumption."""

import threading
import time
import traceback
from collections.abc import Iterator

import msgspec

from .admission import OnlineAdmission, Ticket
from .clocks import Clock
from .document import Route
from .engineclient import EndpointError, EngineClient, ServiceResponse, StreamEnd, Token
from .environment import EnvironmentConfig
from .errors import ErrorKind, Ran, RequestError
from .events import Event, EventLog
from .fleet import Fleet
from .ids import KeyHash, RequestId, RouteName, TeamId
from .limiter import RateLimiter
from .metrics import Metrics
from .poison import PoisonDetector
from .quarantine import QuarantineStatus
from .retries import RetryBudget
from .routing import Endpoint, Suspicion

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.05

# From the weakest statement on whether a request ran to the strongest.
_RAN_BY_CERTAINTY = (Ran.NOT_RUN, Ran.UNKNOWN, Ran.RAN)


class OnlineRequest(msgspec.Struct):
    """An online request of an authorized caller."""

    id: RequestId
    team: TeamId
    key_hash: KeyHash
    route_name: RouteName
    route: Route
    weight: float
    body: dict
    fingerprint: str
    prefix: str
    cost: float
    arrived_s: float
    deadline_s: float
    key_withdrawn: threading.Event = msgspec.field(default_factory=threading.Event)


class Progress:
    """State of one request over all its attempts, for retries and its report."""

    def __init__(self) -> None:
        self.attempts: int = 0
        self.next_index: int = 0
        self.first_token_ms: float | None = None
        self.finished: bool = False
        self.failure: RequestError | None = None
        self.last_error: EndpointError | None = None
        self.ran: Ran = Ran.NOT_RUN

    def record_error(self, exc: EndpointError) -> None:
        """Record a failed attempt; a request that ran once counts as run."""
        self.last_error = exc
        ran = Ran.RAN if exc.broken or self.next_index else exc.ran
        if _RAN_BY_CERTAINTY.index(ran) > _RAN_BY_CERTAINTY.index(self.ran):
            self.ran = ran


class OnlineRequestHandler:
    """Runs online requests at endpoints, with retries. Used by `ChatHandlers`."""

    def __init__(
        self,
        environment: EnvironmentConfig,
        fleet: Fleet,
        limiter: RateLimiter,
        admission: OnlineAdmission,
        engines: EngineClient,
        poison: PoisonDetector,
        metrics: Metrics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._environment: EnvironmentConfig = environment
        self._fleet: Fleet = fleet
        self._limiter: RateLimiter = limiter
        self._admission: OnlineAdmission = admission
        self._engines: EngineClient = engines
        self._poison: PoisonDetector = poison
        self._metrics: Metrics = metrics
        self._clock: Clock = clock
        self._events: EventLog = events
        self._budget = RetryBudget()
        self._lock = threading.Lock()
        self._running: dict[RequestId, OnlineRequest] = {}
        environment.add_listener(lambda configuration: self.cancel_withdrawn())

    def admit(self, request: OnlineRequest) -> None:
        """Check quarantine and rate limit; raise before any of the request runs."""
        self._check_quarantine(request.fingerprint)
        self._limiter.admit(request.team, request.deadline_s)
        self._budget.record_request(request.team)

    def stream(self, request: OnlineRequest) -> Iterator[Token | StreamEnd]:
        """Yield the tokens of an admitted request's response, then its end."""
        progress = Progress()
        with self._lock:
            self._running[request.id] = request
        try:
            yield from self._stream_with_retries(request, progress)
        except RequestError as exc:
            progress.failure = exc
            raise
        except Exception as exc:
            progress.failure = self._unexpected_error(exc)
            raise progress.failure from exc
        finally:
            with self._lock:
                self._running.pop(request.id, None)
            self._report_result(request, progress)

    def call_service(
        self,
        request: OnlineRequest,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> ServiceResponse:
        """Call a plain service for an admitted request."""
        progress = Progress()
        try:
            response = self._call_with_retries(
                request, progress, method, path, headers, body
            )
        except RequestError as exc:
            progress.failure = exc
            raise
        except Exception as exc:
            progress.failure = self._unexpected_error(exc)
            raise progress.failure from exc
        finally:
            self._report_result(request, progress)
        return response

    def _unexpected_error(self, exc: Exception) -> RequestError:
        """Return the error of a request that ends with an unexpected exception.

        The HTTP library would take an OSError for the caller's leaving.
        """
        # The message may contain parts of a request, so only the location is logged.
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        location = f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
        self._events.write(
            Event.THREAD_FAILED, task="request", error=type(exc).__name__, at=location
        )
        return RequestError(ErrorKind.INTERNAL, "the request failed in the daemon")

    def running_count(self) -> int:
        """Return the number of running streams."""
        with self._lock:
            return len(self._running)

    def cancel_withdrawn(self) -> None:
        """Cancel the streams whose key is no longer valid or moved to another team."""
        current = self._environment.current
        with self._lock:
            running = list(self._running.values())
        for request in running:
            if not request.key_hash:
                continue
            if not self._has_valid_key(current, request):
                request.key_withdrawn.set()
                self._events.write(Event.KEY_STREAM_CUT, request=request.id)

    @staticmethod
    def _has_valid_key(current, request: OnlineRequest) -> bool:
        try:
            return current.keys.find_team(request.key_hash) == request.team
        except RequestError:
            return False

    def _stream_with_retries(
        self, request: OnlineRequest, progress: Progress
    ) -> Iterator[Token | StreamEnd]:
        ticket = self._create_ticket(request)
        while True:
            progress.attempts += 1
            endpoint = self._acquire(ticket, progress)
            started_s = self._clock.now_s()
            first_index = progress.next_index
            try:
                with self._poison.track_running(endpoint.id, request.fingerprint):
                    yield from self._stream_once(request, progress, endpoint)
                self._poison.record_completion(request.fingerprint)
                return
            except EndpointError as exc:
                self._handle_failure(request, progress, endpoint, exc)
            finally:
                tokens = progress.next_index - first_index
                duration_s = self._clock.now_s() - started_s
                self._admission.release(ticket, tokens, duration_s)
            ticket = self._wait_for_retry(request, ticket, endpoint)

    def _stream_once(
        self, request: OnlineRequest, progress: Progress, endpoint: Endpoint
    ) -> Iterator[Token | StreamEnd]:
        stream = self._engines.stream(
            endpoint.entry,
            request.id,
            request.route.target,
            request.body,
            progress.next_index,
        )
        started_s = self._clock.now_s()
        first_ms = 0.0
        try:
            for part in stream:
                self._check_may_continue(request, progress)
                if isinstance(part, Token):
                    if progress.first_token_ms is None:
                        now_s = self._clock.now_s()
                        progress.first_token_ms = (now_s - request.arrived_s) * 1000
                    first_ms = first_ms or (self._clock.now_s() - started_s) * 1000
                    progress.next_index += 1
                else:
                    # Only a complete response counts as a success: an endpoint
                    # that cuts off every stream also sends first tokens.
                    progress.finished = True
                    self._record_success(endpoint, first_ms)
                yield part
        finally:
            stream.close()

    def _call_with_retries(
        self,
        request: OnlineRequest,
        progress: Progress,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> ServiceResponse:
        ticket = self._create_ticket(request)
        while True:
            progress.attempts += 1
            endpoint = self._acquire(ticket, progress)
            started_s = self._clock.now_s()
            remaining_s = max(0.05, request.deadline_s - started_s)
            try:
                response = self._engines.call_service(
                    endpoint.entry, request.id, method, path, headers, body, remaining_s
                )
                progress.finished = True
                progress.first_token_ms = (
                    self._clock.now_s() - request.arrived_s
                ) * 1000
                self._record_success(endpoint, progress.first_token_ms)
                return response
            except EndpointError as exc:
                self._handle_failure(request, progress, endpoint, exc)
            finally:
                self._admission.release(ticket, 0, 0.0)
            ticket = self._wait_for_retry(request, ticket, endpoint)

    def _acquire(self, ticket: Ticket, progress: Progress) -> Endpoint:
        """Acquire an endpoint; on a retry, failure raises the last attempt's error."""
        try:
            return self._admission.acquire(ticket)
        except RequestError as exc:
            if progress.last_error is None:
                raise
            raise final_error(progress.last_error, progress.ran) from exc

    def _create_ticket(self, request: OnlineRequest) -> Ticket:
        return Ticket(
            request.team,
            request.weight,
            request.route.target,
            request.cost,
            request.prefix,
            request.deadline_s,
            self._find_suspicion(request),
        )

    def _find_suspicion(self, request: OnlineRequest) -> Suspicion | None:
        suspects = self._poison.suspects()
        if request.fingerprint not in suspects:
            return None
        crashed = self._poison.crashed_endpoints()
        return Suspicion(request.fingerprint, tuple(suspects), crashed)

    def _handle_failure(
        self,
        request: OnlineRequest,
        progress: Progress,
        endpoint: Endpoint,
        exc: EndpointError,
    ) -> None:
        """Record a failed attempt; raise the final error if it was the last one."""
        progress.record_error(exc)
        self._record_failure(request, endpoint, exc)
        self._check_retry(request, progress, exc)

    def _wait_for_retry(
        self, request: OnlineRequest, failed: Ticket, endpoint: Endpoint
    ) -> Ticket:
        """Return the next attempt's ticket after a delay: with the suspects that other
        daemons reported meanwhile, without the endpoints that failed, and without the
        prefix affinity.
        """
        time.sleep(RETRY_DELAY_S)
        self._check_quarantine(request.fingerprint, ran=True)
        ticket = self._create_ticket(request)
        ticket.prefix = ""
        ticket.excluded = {*failed.excluded, endpoint.id}
        return ticket

    def _check_quarantine(self, fingerprint: str, ran: bool = False) -> None:
        if self._poison.status(fingerprint) is QuarantineStatus.QUARANTINED:
            raise RequestError(
                ErrorKind.REQUEST_QUARANTINED,
                "this request made endpoints fail each time it ran",
                ran=Ran.RAN if ran else Ran.NOT_RUN,
            )

    def _check_may_continue(self, request: OnlineRequest, progress: Progress) -> None:
        if request.key_withdrawn.is_set():
            raise RequestError(
                ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", ran=Ran.RAN
            )
        if self._clock.now_s() > request.deadline_s:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                f"the deadline passed after {progress.next_index} tokens",
                ran=Ran.RAN,
            )

    def _check_retry(
        self, request: OnlineRequest, progress: Progress, exc: EndpointError
    ) -> None:
        """Return if another attempt is allowed, else raise the final error."""
        repeatable = exc.ran is Ran.NOT_RUN or request.route.idempotent
        before_deadline = self._clock.now_s() + RETRY_DELAY_S < request.deadline_s
        attempts_left = progress.attempts < MAX_ATTEMPTS
        if (
            repeatable
            and before_deadline
            and attempts_left
            and self._budget.take(request.team)
        ):
            self._events.write(
                Event.REQUEST_RETRIED,
                request=request.id,
                attempt=progress.attempts,
                tokens=progress.next_index,
            )
            return
        raise final_error(exc, progress.ran)

    def _record_failure(
        self, request: OnlineRequest, endpoint: Endpoint, exc: EndpointError
    ) -> None:
        with self._fleet.lock:
            ejected = self._fleet.endpoints.record_failure(
                endpoint, self._clock.now_s(), exc.refused
            )
        if ejected:
            self._events.write(Event.ENDPOINT_EJECTED, endpoint=endpoint.id)
        if exc.ran is not Ran.NOT_RUN:
            self._poison.check_crash(endpoint.entry, request.fingerprint)

    def _record_success(self, endpoint: Endpoint, first_token_ms: float) -> None:
        with self._fleet.lock:
            self._fleet.endpoints.record_success(endpoint, first_token_ms)

    def _report_result(self, request: OnlineRequest, progress: Progress) -> None:
        objective = None
        current = self._environment.current
        if current is not None:
            objective = current.document.objectives.get(request.route_name)
        limit_ms = objective.first_token_ms if objective else float("inf")
        first_ms = progress.first_token_ms
        good = progress.finished and first_ms is not None and first_ms <= limit_ms
        if first_ms is not None or progress.failure is not None:
            self._metrics.record_request(
                request.team, request.route_name, good, first_ms
            )
        failure = progress.failure
        self._events.write(
            Event.REQUEST_ENDED,
            request=request.id,
            team=request.team,
            route=request.route_name,
            attempts=progress.attempts,
            tokens=progress.next_index,
            first_token_ms=round(first_ms, 1) if first_ms is not None else None,
            outcome=_describe_outcome(progress, failure),
        )


def final_error(exc: EndpointError, ran: Ran) -> RequestError:
    """Return the error for a request that is not retried after a failed attempt.

    `ran` covers all attempts: it is "not run" only if no byte of any of them was
    sent, or the endpoints themselves refused.
    """
    if ran is Ran.RAN:
        return RequestError(ErrorKind.STREAM_BROKEN, str(exc), ran=ran)
    if ran is Ran.UNKNOWN:
        return RequestError(ErrorKind.ENDPOINT_FAILED, str(exc), ran=ran)
    kind = ErrorKind.ENDPOINT_REFUSED if exc.status else ErrorKind.ENDPOINT_MISSING
    return RequestError(kind, str(exc))


def _describe_outcome(progress: Progress, failure: RequestError | None) -> str:
    if failure is not None:
        return failure.kind.value
    return "finished" if progress.finished else "hung_up"
