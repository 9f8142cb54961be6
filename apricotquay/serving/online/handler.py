"""Online requests at the event-loop daemon: admission, slot, attempts, resumption."""

import asyncio
import random
from functools import partial

from ...clocks import Clock
from ...errors import ErrorKind, Ran, RequestError
from ...events import Event
from ...ids import TeamId
from ..catalog import Route, RouteKind, ServiceName, Team, allowed_regions
from ..endpoints import Endpoint
from ..engine import (
    AttemptFailedError,
    EngineCall,
    RequestNotRunError,
)
from ..fleet.view import View
from ..http.httpserver import CallerDisconnectedError
from ..metrics import ServingMetrics
from ..reporting import Reporter
from ..slots.allocator import SlotAllocator
from ..slots.eligibility import Ineligible
from ..slots.memory import RequestSizes, exceeds_memory
from ..slots.outliers import SlotOutcome
from ..slots.schedulingterms import scheduling_terms
from ..slots.slotrequests import SlotLease, SlotRequest
from ..slots.tickets import Work, before_send
from ..streams.streamkeeper import StreamKeeper
from .admission import AdmissionControl
from .attempts import AttemptRunner
from .forwarding import ResponseForwarder
from .handover import Handover
from .ratelimiter import RateLimiter
from .requests import (
    Admission,
    OnlineRequest,
    RequestProgress,
    ResponseWriter,
    acknowledge_cancellation,
    interruption_error,
)
from .slotwaits import SlotWaits
from .timeouts import MAX_FIRST_EVENT_TIMEOUT_S, AdaptiveTimeouts

# Counted from the arrival of a request that no endpoint may have run yet.
SLOT_TIMEOUT_S = 1.8
# A request that no endpoint may have run yet is refused after so many sends.
MAX_NOT_RUN_SENDS = 6
NOT_RUN_BACKOFF_S = 0.02
MAX_NOT_RUN_BACKOFF_S = 0.2
MAX_SHOWN_ID_LENGTH = 40
# Reserved out of a request's time for sending the response back to the caller.
DEADLINE_MARGIN_S = 0.03


class OnlineRequestHandler:
    """Forwards online requests to endpoints in acquired slots.

    Used by the callers' HTTP handler.
    """

    def __init__(
        self,
        view: View,
        rates: RateLimiter,
        slots: SlotAllocator,
        attempts: AttemptRunner,
        metrics: ServingMetrics,
        streams: StreamKeeper,
        clock: Clock,
        reporter: Reporter,
        zone: str = "",
    ) -> None:
        self._zone: str = zone
        self._streams: StreamKeeper = streams
        self._view: View = view
        self._slots: SlotAllocator = slots
        self._attempts: AttemptRunner = attempts
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._timeouts = AdaptiveTimeouts()
        self.admission = AdmissionControl(view, rates, attempts, clock)
        self._forwarder = ResponseForwarder(clock)
        self._sizes = RequestSizes()
        self._slot_waits = SlotWaits(slots, view, clock, reporter)

    async def serve(
        self, request: OnlineRequest, admission: Admission, writer: ResponseWriter
    ) -> None:
        """Serve an admitted request; its end is logged, whatever ends it."""
        progress = RequestProgress(request, self._attempts.body_budget.reserve())
        outcome = "broken off by an error"
        try:
            outcome = await self._serve(request, admission, writer, progress)
        except (CallerDisconnectedError, asyncio.CancelledError) as exc:
            outcome = f"caller left: {exc!r}"[:80]
            raise
        finally:
            progress.reservation.release()
            self._report(request, admission, progress, outcome)

    async def _serve(
        self,
        request: OnlineRequest,
        admission: Admission,
        writer: ResponseWriter,
        progress: RequestProgress,
    ) -> str:
        """Serve a request and return its outcome; only the caller's leaving raises."""
        try:
            deadline_s = request.arrived_s + self._timeout_s(request, admission.route)
            self.admission.check_drain(admission.route, progress, deadline_s)
            self.admission.check_quarantine(request, admission.team)
            await self.admission.check_rate(admission.team)
            async with asyncio.timeout(max(0.0, deadline_s - self._clock.now_s())):
                await self._run_attempts(
                    request, admission, writer, progress, deadline_s
                )
            return "answered"
        except TimeoutError:
            return await self._end_timed_out(writer, progress)
        except RequestError as exc:
            return await self._end_failed(writer, progress, exc)
        except CallerDisconnectedError:
            raise
        except asyncio.CancelledError as exc:
            if writer.caller_left:
                raise
            acknowledge_cancellation()
            return await self._end_interrupted(writer, progress, exc)
        except Exception as exc:
            # An unexpected error ends this request only; the daemon keeps running.
            return await self._end_interrupted(writer, progress, exc)

    def _timeout_s(self, request: OnlineRequest, route: Route) -> float:
        return (
            min(request.caller_timeout_ms, route.timeout_ms) / 1000 - DEADLINE_MARGIN_S
        )

    async def _run_attempts(
        self,
        request: OnlineRequest,
        admission: Admission,
        writer: ResponseWriter,
        progress: RequestProgress,
        deadline_s: float,
    ) -> None:
        """Retry until a response is delivered or no further attempt is allowed."""
        route = admission.route
        service = route.service_for(random.random())
        self._check_memory(request, service)
        await self._find_version(request, admission, progress, service)
        due_s = request.arrived_s + route.objective_ms / 1000
        terms = scheduling_terms(route, admission.team)
        lease: SlotLease | None = None
        while True:
            slot_request = SlotRequest(
                Work.ONLINE,
                due_s,
                _slot_deadline_s(request, progress, deadline_s),
                prefix=request.prefix,
                avoid=frozenset(progress.failed_endpoints),
                may_repeat=route.is_idempotent,
                version=progress.version,
                regions=allowed_regions(route, admission.team) or frozenset(),
                zone=self._zone,
                team=terms.team,
                priority=terms.priority,
                weight=terms.weight,
                tokens=self._sizes.needed_tokens(route.name, request.usage),
                prefix_tokens=request.usage.shared,
            )
            if lease is None:
                lease = await self._slot_waits.acquire(service, slot_request, progress)
            handover = self._slot_waits.build_handover(
                lease, slot_request, progress, deadline_s
            )
            next_lease: SlotLease | None = None
            try:
                lease.outcome = await self._send_once(
                    request, admission, writer, progress, lease, deadline_s, handover
                )
                if lease.outcome is SlotOutcome.SUCCEEDED:
                    self._record_size(request, route, progress)
                    return
                self._check_may_retry(route, progress)
                await self._check_crash_suspicion(request, progress, lease)
                next_lease = handover.take_lease()
            finally:
                handover.close()
                self._slots.release(lease)
            lease = next_lease
            if lease is None:
                await asyncio.sleep(_backoff_s(progress))

    async def _find_version(
        self,
        request: OnlineRequest,
        admission: Admission,
        progress: RequestProgress,
        service: ServiceName,
    ) -> None:
        """Find which version a stream that is taken up goes on at; raise RequestError
        if that is not known.
        """
        is_stream = admission.route.kind is RouteKind.STREAMING
        if request.resume_after is None or not is_stream:
            return
        team = TeamId(admission.team.id) if admission.team else None
        known = await self._streams.find(service, team, request.resumes)
        if team is not None and not known.version:
            # It may have begun without a key, when the route was public.
            known = await self._streams.find(service, None, request.resumes)
        self._metrics.count("streams_taken_up")
        self._reporter.write(
            Event.STREAM_TAKEN_UP,
            request=request.id,
            resumes=request.resumes[:MAX_SHOWN_ID_LENGTH],
            after=request.resume_after,
            version=known.version,
            known_by=known.known_by,
        )
        if not known.version:
            raise RequestError(
                ErrorKind.STREAM_UNKNOWN, "the version that began it is not known"
            )
        progress.version = known.version

    def _check_memory(self, request: OnlineRequest, service: ServiceName) -> None:
        """Raise RequestError for a request that no endpoint of a service can hold."""
        if request.usage.is_malformed:
            self._metrics.count("token_usage_malformed")
        configuration = self._view.configuration
        settings = configuration.services.get(service) if configuration else None
        memory_tokens = settings.memory_tokens if settings else 0
        if exceeds_memory(request.usage, memory_tokens):
            self._metrics.count("memory_exceeded")
            self._reporter.write_limited(
                Event.MEMORY_EXCEEDED,
                request=request.id,
                service=service,
                tokens=request.usage.total,
                memory_tokens=memory_tokens,
            )
            raise RequestError(
                ErrorKind.MEMORY_EXCEEDED,
                f"{request.usage.total} tokens are more than the {memory_tokens} that "
                f"an endpoint of {service} holds",
            )

    def _record_size(
        self, request: OnlineRequest, route: Route, progress: RequestProgress
    ) -> None:
        """Record how long a stream became that has ended by itself."""
        if route.kind is RouteKind.STREAMING and progress.last_event_id is not None:
            self._sizes.record(route.name, request.usage, progress.last_event_id + 1)

    def _record_events(
        self,
        request: OnlineRequest,
        admission: Admission,
        progress: RequestProgress,
        endpoint: Endpoint,
        lease: SlotLease,
        event_count: int,
        write_s: float,
    ) -> None:
        """Record events before they are passed on: their times, and the version of the
        stream's first event.
        """
        lease.use.record_events(event_count, self._clock.now_s(), write_s)
        if progress.version and progress.response_started:
            return
        progress.version = endpoint.version
        team = TeamId(admission.team.id) if admission.team else None
        attempts = {request.id, request.resumes} if request.resumes else {request.id}
        for attempt in attempts:
            self._streams.record(endpoint.service, team, attempt, endpoint.version)

    def _check_may_retry(self, route: Route, progress: RequestProgress) -> None:
        """Raise RequestError unless the request may be sent again."""
        reason = progress.reasons[-1]
        if not progress.may_have_run:
            if progress.not_run_count >= MAX_NOT_RUN_SENDS:
                raise RequestError(ErrorKind.ENDPOINT_REFUSED, reason)
        elif not route.is_idempotent or progress.failed_attempts >= route.max_attempts:
            raise RequestError(ErrorKind.ENDPOINT_FAILED, reason, ran=Ran.UNKNOWN)

    async def _check_crash_suspicion(
        self, request: OnlineRequest, progress: RequestProgress, lease: SlotLease
    ) -> None:
        """Raise RequestError if a part of the prompt may have crashed the endpoint."""
        if not progress.may_have_run:
            return
        parts = request.prompt_parts
        if not await self._attempts.may_send_again(lease.endpoint, parts):
            reason = progress.reasons[-1]
            raise RequestError(ErrorKind.ENDPOINT_FAILED, reason, ran=Ran.UNKNOWN)

    async def _send_once(
        self,
        request: OnlineRequest,
        admission: Admission,
        writer: ResponseWriter,
        progress: RequestProgress,
        lease: SlotLease,
        deadline_s: float,
        handover: Handover,
    ) -> SlotOutcome:
        """Send the request to one endpoint and forward a successful response."""
        needs = before_send(progress.version, lease.ticket.regions)
        endpoint = self._attempts.check_eligible(request.id, lease.endpoint, needs)
        if isinstance(endpoint, Ineligible):
            progress.record_failure(
                lease.endpoint, f"endpoint: {endpoint.value}", may_have_run=False
            )
            return SlotOutcome.UNKNOWN
        self.admission.check_drain(admission.route, progress, deadline_s)
        # Other daemons may have seen it crash endpoints while it waited.
        self.admission.check_quarantine(request, admission.team)
        call = self._build_call(
            request, admission.team, progress, deadline_s, lease.ticket.regions
        )
        progress.endpoint = endpoint.id
        route = admission.route
        silence_limits = self._timeouts.silence_limits(
            route, lease.service, progress.failed_attempts
        )
        on_events = partial(
            self._record_events, request, admission, progress, endpoint, lease
        )
        started_s = self._clock.now_s()
        try:
            await self._attempts.run(
                call,
                endpoint,
                silence_limits.first_event_s,
                lambda response: self._forwarder.forward(
                    response,
                    route,
                    writer,
                    progress,
                    silence_limits,
                    handover,
                    on_events,
                ),
                handover=handover,
                on_limit=partial(self._slots.record_limit, lease),
                use=lease.use,
            )
        except asyncio.CancelledError:
            self._record_silence(call, endpoint, route, progress, lease, started_s)
            raise
        except RequestNotRunError as exc:
            progress.record_failure(endpoint.id, str(exc), may_have_run=False)
            lease.path_check = exc.path_check
            return SlotOutcome.FAILED if exc.is_failure else SlotOutcome.UNKNOWN
        except AttemptFailedError as exc:
            progress.record_failure(endpoint.id, str(exc), may_have_run=True)
            lease.path_check = exc.path_check
            if not exc.is_failure:
                return SlotOutcome.UNKNOWN
            if exc.timed_out:
                had_event = progress.last_event_s is not None
                self._timeouts.record_timeout(lease.service, silence_limits, had_event)
            return SlotOutcome.FAILED
        self._record_stream_timing(lease.service, route, progress, started_s)
        return SlotOutcome.SUCCEEDED

    def _record_silence(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        route: Route,
        progress: RequestProgress,
        lease: SlotLease,
        started_s: float,
    ) -> None:
        """Count a silent endpoint's attempt that the time limit or the caller ended."""
        last_sign_s = max(started_s, progress.last_event_s or started_s)
        silence_s = self._clock.now_s() - last_sign_s
        if route.is_idempotent and silence_s >= MAX_FIRST_EVENT_TIMEOUT_S:
            if self._attempts.record_silence(call, endpoint, silence_s):
                lease.outcome = SlotOutcome.FAILED

    def _record_stream_timing(
        self,
        service: ServiceName,
        route: Route,
        progress: RequestProgress,
        started_s: float,
    ) -> None:
        if route.kind is not RouteKind.STREAMING or progress.first_event_s is None:
            return
        wait_s = progress.first_event_s - started_s
        self._timeouts.record_stream(
            service, wait_s if wait_s > 0 else None, progress.longest_pause_s
        )

    def _build_call(
        self,
        request: OnlineRequest,
        team: Team | None,
        progress: RequestProgress,
        deadline_s: float,
        regions: frozenset[str],
    ) -> EngineCall:
        remaining_ms = int((deadline_s - self._clock.now_s()) * 1000)
        if remaining_ms <= 0:
            raise TimeoutError
        progress.was_sent = True
        progress.is_at_endpoint = True
        return EngineCall(
            request.id,
            request.method,
            request.target,
            request.headers,
            request.body,
            TeamId(team.id) if team else None,
            remaining_ms,
            progress.last_event_id,
            request.prompt_parts,
            regions,
        )

    async def _end_timed_out(
        self, writer: ResponseWriter, progress: RequestProgress
    ) -> str:
        if progress.response_started:
            writer.abort()
            return "broken off at the time limit"
        kind = ErrorKind.DEADLINE_EXCEEDED
        if not progress.was_sent:
            kind = ErrorKind.DEADLINE_UNREACHABLE
        await writer.refuse(RequestError(kind, "no answer in time"))
        return kind.value

    async def _end_interrupted(
        self, writer: ResponseWriter, progress: RequestProgress, exc: BaseException
    ) -> str:
        may_have_run = progress.may_have_run or progress.is_at_endpoint
        error = interruption_error(repr(exc)[:200], may_have_run=may_have_run)
        return await self._end_failed(writer, progress, error)

    async def _end_failed(
        self, writer: ResponseWriter, progress: RequestProgress, error: RequestError
    ) -> str:
        if progress.response_started:
            writer.abort()
            return f"broken off: {error.message}"
        if progress.failure_response is not None:
            await self._forwarder.send_response(
                writer, progress, *progress.failure_response
            )
            return f"answered with status {progress.failure_response[0]}"
        if progress.may_have_run and error.status in (429, 503):
            error = RequestError(ErrorKind.ENDPOINT_FAILED, error.message)
        await writer.refuse(error)
        if error.message not in progress.reasons:
            progress.reasons.append(error.message)
        return error.kind.value

    def _report(
        self,
        request: OnlineRequest,
        admission: Admission,
        progress: RequestProgress,
        outcome: str,
    ) -> None:
        now_s = self._clock.now_s()
        first_ms = None
        if progress.first_event_s is not None:
            first_ms = int((progress.first_event_s - request.arrived_s) * 1000)
            self._metrics.record_ms("first_event", first_ms)
        self._metrics.count(f"requests_{outcome.partition(':')[0].replace(' ', '_')}")
        self._reporter.write(
            Event.REQUEST_ENDED,
            request=request.id,
            team=admission.team.id if admission.team else None,
            route=admission.route.name,
            version=admission.version,
            view_age_ms=int(self._view.age_s() * 1000),
            endpoint=progress.endpoint,
            attempts=progress.failed_attempts,
            not_run=progress.not_run_count,
            reasons=progress.reasons[-4:],
            slot_by=progress.slot_granted_by,
            slot_wait_ms=progress.slot_wait_ms,
            first_event_ms=first_ms,
            longest_pause_ms=int(progress.longest_pause_s * 1000),
            took_ms=int((now_s - request.arrived_s) * 1000),
            outcome=outcome,
        )


def _slot_deadline_s(
    request: OnlineRequest, progress: RequestProgress, deadline_s: float
) -> float:
    """Return until when to wait for a slot; a request that may have run cannot be
    refused any more.
    """
    if progress.may_have_run:
        return deadline_s
    return min(deadline_s, request.arrived_s + SLOT_TIMEOUT_S)


def _backoff_s(progress: RequestProgress) -> float:
    """Return the wait before the next send, by the sends that were not run."""
    return min(MAX_NOT_RUN_BACKOFF_S, NOT_RUN_BACKOFF_S * progress.not_run_count)
