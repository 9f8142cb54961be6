"""The path of an online request: admission, endpoint, stream, retry or resume."""

import threading
import time
from collections.abc import Iterator

import msgspec

from .admission import OnlineAdmission, Ticket
from .clocks import Clock
from .document import Route
from .engineclient import EndpointError, EngineClient, ServiceResponse, StreamEnd, Token
from .environment import Environment
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
RETRY_PAUSE_S = 0.05


# From the weakest word on whether a request ran to the strongest.
_CERTAINTY = (Ran.NOT_RUN, Ran.UNKNOWN, Ran.RAN)


class OnlineRequest(msgspec.Struct):
    """One admitted caller's request."""

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
    cut: threading.Event = msgspec.field(default_factory=threading.Event)


class Progress:
    """What one request got so far, for its retry decisions and its report."""

    def __init__(self) -> None:
        self.attempts: int = 0
        self.next_index: int = 0
        self.first_token_ms: float | None = None
        self.finished: bool = False
        self.failure: RequestError | None = None
        self.last_error: EndpointError | None = None
        self.ran: Ran = Ran.NOT_RUN

    def record_error(self, exc: EndpointError) -> None:
        """Take in a failed attempt; what ran once stays run."""
        self.last_error = exc
        ran = Ran.RAN if exc.broken or self.next_index else exc.ran
        if _CERTAINTY.index(ran) > _CERTAINTY.index(self.ran):
            self.ran = ran


class OnlineRequestHandler:
    """Runs online requests. Used by the callers' interface."""

    def __init__(
        self,
        environment: Environment,
        fleet: Fleet,
        limiter: RateLimiter,
        admission: OnlineAdmission,
        engines: EngineClient,
        poison: PoisonDetector,
        metrics: Metrics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._environment: Environment = environment
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
        environment.listen(lambda configuration: self.cut_withdrawn())

    def admit(self, request: OnlineRequest) -> None:
        """Check quarantine and rate; raise before anything of the request runs."""
        self._check_quarantine(request.fingerprint)
        self._limiter.admit(request.team, request.deadline_s)
        self._budget.record_request(request.team)

    def stream(self, request: OnlineRequest) -> Iterator[Token | StreamEnd]:
        """Yield the tokens and the end of an admitted request's answer."""
        progress = Progress()
        with self._lock:
            self._running[request.id] = request
        try:
            yield from self._attempts(request, progress)
        except RequestError as exc:
            progress.failure = exc
            raise
        finally:
            with self._lock:
                self._running.pop(request.id, None)
            self._report(request, progress)

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
            answer = self._service_attempts(
                request, progress, method, path, headers, body
            )
        except RequestError as exc:
            progress.failure = exc
            raise
        finally:
            self._report(request, progress)
        return answer

    def running_count(self) -> int:
        """Return how many streams run."""
        with self._lock:
            return len(self._running)

    def cut_withdrawn(self) -> None:
        """Cut the streams whose key is no longer valid or changed its team."""
        current = self._environment.current
        with self._lock:
            running = list(self._running.values())
        for request in running:
            if not request.key_hash:
                continue
            if not self._key_is_of(current, request):
                request.cut.set()
                self._events.write(Event.KEY_STREAM_CUT, request=request.id)

    @staticmethod
    def _key_is_of(current, request: OnlineRequest) -> bool:
        try:
            return current.keys.find_team(request.key_hash) == request.team
        except RequestError:
            return False

    def _attempts(
        self, request: OnlineRequest, progress: Progress
    ) -> Iterator[Token | StreamEnd]:
        next_ticket = self._ticket(request)
        while True:
            ticket = next_ticket
            progress.attempts += 1
            endpoint = self._acquire(ticket, progress)
            started_s = self._clock.now_s()
            first_index = progress.next_index
            try:
                with self._poison.track_running(endpoint.id, request.fingerprint):
                    yield from self._one_attempt(request, progress, endpoint)
                self._poison.record_completion(request.fingerprint)
                return
            except EndpointError as exc:
                next_ticket = self._after_failure(
                    request, progress, ticket, endpoint, exc
                )
            finally:
                tokens = progress.next_index - first_index
                duration_s = self._clock.now_s() - started_s
                self._admission.release(ticket, tokens, duration_s)
            time.sleep(RETRY_PAUSE_S)

    def _one_attempt(
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
                self._check_cut(request, progress)
                if isinstance(part, Token):
                    if progress.first_token_ms is None:
                        now_s = self._clock.now_s()
                        progress.first_token_ms = (now_s - request.arrived_s) * 1000
                    first_ms = first_ms or (self._clock.now_s() - started_s) * 1000
                    progress.next_index += 1
                else:
                    # Only a whole answer speaks for an endpoint: one that cuts
                    # each stream gives first tokens too.
                    progress.finished = True
                    self._see_success(endpoint, first_ms)
                yield part
        finally:
            stream.close()

    def _service_attempts(
        self,
        request: OnlineRequest,
        progress: Progress,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> ServiceResponse:
        next_ticket = self._ticket(request)
        while True:
            ticket = next_ticket
            progress.attempts += 1
            endpoint = self._acquire(ticket, progress)
            started_s = self._clock.now_s()
            left_s = max(0.05, request.deadline_s - started_s)
            try:
                answer = self._engines.call_service(
                    endpoint.entry, request.id, method, path, headers, body, left_s
                )
                progress.finished = True
                progress.first_token_ms = (
                    self._clock.now_s() - request.arrived_s
                ) * 1000
                self._see_success(endpoint, progress.first_token_ms)
                return answer
            except EndpointError as exc:
                next_ticket = self._after_failure(
                    request, progress, ticket, endpoint, exc
                )
            finally:
                self._admission.release(ticket, 0, 0.0)
            time.sleep(RETRY_PAUSE_S)

    def _acquire(self, ticket: Ticket, progress: Progress) -> Endpoint:
        """Get an endpoint; after a failed attempt its error is the final answer."""
        try:
            return self._admission.acquire(ticket)
        except RequestError as exc:
            if progress.last_error is None:
                raise
            raise final_error(progress.last_error, progress.ran) from exc

    def _ticket(self, request: OnlineRequest) -> Ticket:
        return Ticket(
            request.team,
            request.weight,
            request.route.target,
            request.cost,
            request.prefix,
            request.deadline_s,
            self._suspicion(request),
        )

    def _suspicion(self, request: OnlineRequest) -> Suspicion | None:
        suspects = self._poison.suspects()
        if request.fingerprint not in suspects:
            return None
        return Suspicion(request.fingerprint, tuple(suspects))

    def _after_failure(
        self,
        request: OnlineRequest,
        progress: Progress,
        ticket: Ticket,
        endpoint: Endpoint,
        exc: EndpointError,
    ) -> Ticket:
        """Return the ticket of the next attempt, or raise the final answer."""
        progress.record_error(exc)
        self._see_failure(request, endpoint, exc)
        self._check_retry(request, progress, exc)
        return self._retry_ticket(request, ticket, endpoint)

    def _retry_ticket(
        self, request: OnlineRequest, failed: Ticket, endpoint: Endpoint
    ) -> Ticket:
        """Ask for any endpoint but those that failed; drop a cached affinity."""
        self._check_quarantine(request.fingerprint, ran=True)
        ticket = self._ticket(request)
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

    def _check_cut(self, request: OnlineRequest, progress: Progress) -> None:
        if request.cut.is_set():
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
        """Return if another attempt is right, else raise the final answer."""
        repeatable = exc.ran is Ran.NOT_RUN or request.route.idempotent
        in_time = self._clock.now_s() + RETRY_PAUSE_S < request.deadline_s
        more = progress.attempts < MAX_ATTEMPTS
        if repeatable and in_time and more and self._budget.take(request.team):
            self._events.write(
                Event.REQUEST_RETRIED,
                request=request.id,
                attempt=progress.attempts,
                tokens=progress.next_index,
            )
            return
        raise final_error(exc, progress.ran)

    def _see_failure(
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

    def _see_success(self, endpoint: Endpoint, first_token_ms: float) -> None:
        with self._fleet.lock:
            self._fleet.endpoints.record_success(endpoint, first_token_ms)

    def _report(self, request: OnlineRequest, progress: Progress) -> None:
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
            outcome=_outcome(progress, failure),
        )


def final_error(exc: EndpointError, ran: Ran) -> RequestError:
    """Return the answer to a request that is given up after a failed attempt.

    `ran` holds for all attempts together: it is "not run" only where no byte of
    any of them left, or the endpoints themselves refused.
    """
    if ran is Ran.RAN:
        return RequestError(ErrorKind.STREAM_BROKEN, str(exc), ran=ran)
    if ran is Ran.UNKNOWN:
        return RequestError(ErrorKind.ENDPOINT_FAILED, str(exc), ran=ran)
    kind = ErrorKind.ENDPOINT_REFUSED if exc.status else ErrorKind.ENDPOINT_MISSING
    return RequestError(kind, str(exc))


def _outcome(progress: Progress, failure: RequestError | None) -> str:
    if failure is not None:
        return failure.kind.value
    return "finished" if progress.finished else "hung_up"
