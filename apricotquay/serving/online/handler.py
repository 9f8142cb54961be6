"""Online requests at the event-loop daemon: admission, slot, attempts, resumption."""

import asyncio
import random
from collections.abc import Callable
from functools import partial

import msgspec

from ...clocks import Clock
from ...errors import ErrorKind, Ran, RequestError
from ...events import Event
from ...ids import TeamId
from ..catalog import Configuration, Route, RouteKind, ServiceName, Team
from ..endpoints import Endpoint
from ..engine import (
    AttemptFailedError,
    EngineCall,
    EngineResponse,
    RequestNotRunError,
)
from ..fleet.view import View
from ..http.http1 import HeaderList
from ..http.httpserver import CallerDisconnectedError
from ..metrics import ServingMetrics
from ..reporting import Reporter
from ..slots.allocator import (
    SlotAllocator,
    SlotLease,
    SlotRequest,
    SlotUnavailableError,
)
from ..slots.outliers import SlotOutcome
from ..slots.tickets import Work
from ..streams.streamkeeper import StreamKeeper
from .attempts import AttemptRunner, fingerprint_of, read_body, read_events
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
from .timeouts import MAX_FIRST_EVENT_TIMEOUT_S, AdaptiveTimeouts, SilenceLimits

# Counted from the arrival of a request that no endpoint may have run yet.
SLOT_TIMEOUT_S = 1.8
# A request that may have run asks for a slot again so long after none could be had.
SLOT_RETRY_DELAY_S = 0.2
MIN_FAILURE_STATUS = 500
# A request that no endpoint may have run yet is refused after so many sends.
MAX_NOT_RUN_SENDS = 6
NOT_RUN_BACKOFF_S = 0.02
MAX_NOT_RUN_BACKOFF_S = 0.2
MIN_RETRY_AFTER_MS = 100
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
    ) -> None:
        self._streams: StreamKeeper = streams
        self._view: View = view
        self._rates: RateLimiter = rates
        self._slots: SlotAllocator = slots
        self._attempts: AttemptRunner = attempts
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._timeouts = AdaptiveTimeouts()
        # When a stop of this daemon cuts what still runs, and after which moment it
        # sends no request that could be cut.
        self._cut_s: float = float("inf")
        self._last_send_s: float = float("inf")

    def drain(self, last_send_s: float, cut_s: float) -> None:
        """Refuse requests that may outlast `cut_s`: at once those that may not be
        repeated, after `last_send_s` the others.
        """
        self._last_send_s = last_send_s
        self._cut_s = cut_s

    def authorize(self, host: str, path: str, key: str | None) -> Admission:
        """Return the route and the team; raise RequestError if access is denied."""
        configuration = self._view.configuration
        if configuration is None:
            raise RequestError(ErrorKind.VIEW_STALE, "no configuration is known yet")
        route = configuration.find_route(host, path)
        if route is None:
            raise RequestError(ErrorKind.ROUTE_UNKNOWN, "no route matches")
        team = self._authenticate(configuration, route, key)
        return Admission(route, team, configuration.version)

    @property
    def version(self) -> int | None:
        """The version of the configuration that this daemon uses."""
        configuration = self._view.configuration
        return configuration.version if configuration else None

    def team_of(self, key: str | None) -> TeamId:
        """Return the team that a key belongs to; raise RequestError for a bad key."""
        configuration = self._view.configuration
        if configuration is None:
            raise RequestError(ErrorKind.VIEW_STALE, "no configuration is known yet")
        if not configuration.needs_keys:
            return TeamId("")
        return self._find_team(configuration, key).id

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
            self._check_drain(admission.route, progress, deadline_s)
            self._check_quarantine(request, admission.team)
            await self._check_rate(admission.team)
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

    def _authenticate(
        self, configuration: Configuration, route: Route, key: str | None
    ) -> Team | None:
        if route.is_public or not configuration.needs_keys:
            return None
        return self._find_team(configuration, key)

    def _find_team(self, configuration: Configuration, key: str | None) -> Team:
        if not key:
            raise RequestError(ErrorKind.KEY_MISSING, "a key is needed")
        team = configuration.team_of(key)
        if team is None:
            raise RequestError(ErrorKind.KEY_REJECTED, "the key is not known")
        return team

    def _check_quarantine(self, request: OnlineRequest, team: Team | None) -> None:
        team_id = TeamId(team.id) if team else None
        fingerprint = fingerprint_of(request.target, team_id, request.body)
        if self._attempts.is_quarantined(fingerprint):
            raise RequestError(
                ErrorKind.REQUEST_QUARANTINED, "this request crashes endpoints"
            )
        causes = self._attempts.find_causes(request.prompt_parts)
        if causes:
            raise RequestError(
                ErrorKind.REQUEST_QUARANTINED,
                f"prompts with {' and '.join(causes)} crash endpoints",
            )

    def _check_drain(
        self, route: Route, progress: RequestProgress, deadline_s: float
    ) -> None:
        """Raise RequestError for a request that has not run if the stop of this daemon
        might cut it.
        """
        if progress.may_have_run or deadline_s <= self._cut_s:
            return
        if not route.is_idempotent or self._clock.now_s() > self._last_send_s:
            raise RequestError(ErrorKind.DRAINING, "the daemon is stopping")

    async def _check_rate(self, team: Team | None) -> None:
        if team is None:
            return
        decision = await self._rates.admit(team)
        if decision.wait_s:
            raise RequestError(
                ErrorKind.RATE_EXCEEDED,
                f"{decision.level:.2f} tokens left of a burst of {team.burst:g} at "
                f"{team.rate_per_s:g} a second, by {decision.decided_by or 'share'}",
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(decision.wait_s * 1000)),
            )

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
        await self._find_version(request, admission, progress, service)
        due_s = request.arrived_s + route.objective_ms / 1000
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
            )
            if lease is None:
                lease = await self._acquire(service, slot_request, progress)
            handover = self._build_handover(lease, slot_request, progress, deadline_s)
            next_lease: SlotLease | None = None
            try:
                lease.outcome = await self._send_once(
                    request, admission, writer, progress, lease, deadline_s, handover
                )
                if lease.outcome is SlotOutcome.SUCCEEDED:
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

    def _record_version(
        self,
        request: OnlineRequest,
        admission: Admission,
        progress: RequestProgress,
        endpoint: Endpoint,
    ) -> None:
        """Record the version of a stream's first event before it is passed on."""
        if progress.version and progress.response_started:
            return
        progress.version = endpoint.version
        team = TeamId(admission.team.id) if admission.team else None
        attempts = {request.id, request.resumes} if request.resumes else {request.id}
        for attempt in attempts:
            self._streams.record(endpoint.service, team, attempt, endpoint.version)

    def _build_handover(
        self,
        lease: SlotLease,
        slot_request: SlotRequest,
        progress: RequestProgress,
        deadline_s: float,
    ) -> Handover:
        """Return the handover of an attempt to an endpoint that did not fail yet."""
        slot_request = msgspec.structs.replace(
            slot_request, slot_deadline_s=deadline_s, holds_slot=True
        )
        return Handover(
            partial(self._acquire_elsewhere, lease, slot_request, progress),
            self._slots.release,
            self._reporter,
        )

    async def _acquire_elsewhere(
        self, silent: SlotLease, slot_request: SlotRequest, progress: RequestProgress
    ) -> SlotLease:
        """Acquire a slot outside the silent endpoint, at one that did not fail before
        if there is one.
        """
        slot_request = msgspec.structs.replace(slot_request, version=progress.version)
        while True:
            lease = await self._try_acquire_elsewhere(silent, slot_request)
            if lease is not None:
                return lease
            await asyncio.sleep(SLOT_RETRY_DELAY_S)

    async def _try_acquire_elsewhere(
        self, silent: SlotLease, slot_request: SlotRequest
    ) -> SlotLease | None:
        serving = self._view.endpoints.serving(silent.service, slot_request.version)
        listed = {e.id for e in serving}
        others = listed - {silent.endpoint}
        if not others:
            return None
        avoid = frozenset({silent.endpoint})
        if others - slot_request.avoid:
            avoid |= slot_request.avoid
        slot_request = msgspec.structs.replace(slot_request, avoid=avoid)
        try:
            lease = await self._slots.acquire(silent.service, slot_request)
        except SlotUnavailableError:
            return None
        if lease.endpoint in avoid:
            self._slots.release(lease)
            return None
        return lease

    async def _acquire(
        self, service: ServiceName, slot_request: SlotRequest, progress: RequestProgress
    ) -> SlotLease:
        requested_s = self._clock.now_s()
        lease = await self._wait_for_slot(service, slot_request, progress)
        progress.slot_granted_by = lease.owner or "own table"
        progress.slot_wait_ms = int((self._clock.now_s() - requested_s) * 1000)
        return lease

    def _check_listed(
        self, service: ServiceName, version: str, progress: RequestProgress
    ) -> None:
        """Raise RequestError if no endpoint can serve the request."""
        is_listed = any(True for _ in self._view.endpoints.serving(service, version))
        others_are_listed = any(True for _ in self._view.endpoints.serving(service))
        if not is_listed and others_are_listed and progress.may_have_run:
            raise RequestError(
                ErrorKind.ENDPOINT_FAILED,
                f"no endpoint of version {version} is left",
                ran=Ran.UNKNOWN,
            )
        if not is_listed and not progress.may_have_run:
            raise RequestError(ErrorKind.ENDPOINT_MISSING, "no endpoint is listed")

    async def _wait_for_slot(
        self, service: ServiceName, slot_request: SlotRequest, progress: RequestProgress
    ) -> SlotLease:
        while True:
            self._check_listed(service, slot_request.version, progress)
            try:
                return await self._slots.acquire(service, slot_request)
            except SlotUnavailableError as exc:
                if not progress.may_have_run:
                    raise RequestError(
                        ErrorKind.DEADLINE_UNREACHABLE,
                        "no slot can be had in time",
                        retry_after_ms=max(MIN_RETRY_AFTER_MS, int(exc.wait_s * 1000)),
                    ) from exc
            # The wait was only estimated, and the request cannot be refused any more.
            await asyncio.sleep(SLOT_RETRY_DELAY_S)

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
        endpoint = self._view.endpoints.get(lease.endpoint)
        if endpoint is None or endpoint.is_leaving:
            progress.record_failure(lease.endpoint, "endpoint left", may_have_run=False)
            return SlotOutcome.UNKNOWN
        if progress.version and endpoint.version != progress.version:
            progress.record_failure(
                lease.endpoint, "another version", may_have_run=False
            )
            return SlotOutcome.UNKNOWN
        self._check_drain(admission.route, progress, deadline_s)
        # Other daemons may have seen it crash endpoints while it waited.
        self._check_quarantine(request, admission.team)
        call = self._build_call(request, admission.team, progress, deadline_s)
        progress.endpoint = endpoint.id
        route = admission.route
        silence_limits = self._timeouts.silence_limits(
            route, lease.service, progress.failed_attempts
        )
        on_events = partial(
            self._record_version, request, admission, progress, endpoint
        )
        started_s = self._clock.now_s()
        try:
            await self._attempts.run(
                call,
                endpoint,
                silence_limits.first_event_s,
                lambda response: self._forward(
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
        )

    async def _forward(
        self,
        response: EngineResponse,
        route: Route,
        writer: ResponseWriter,
        progress: RequestProgress,
        silence_limits: SilenceLimits,
        handover: Handover,
        on_events: Callable[[], None],
    ) -> None:
        if route.kind is RouteKind.STREAMING and response.status == 200:
            await self._forward_stream(
                response, silence_limits, handover, writer, progress, on_events
            )
        else:
            await self._forward_body(response, route, writer, progress)

    async def _forward_body(
        self,
        response: EngineResponse,
        route: Route,
        writer: ResponseWriter,
        progress: RequestProgress,
    ) -> None:
        """Forward a response that is not a stream, once it is complete."""
        if progress.response_started:
            raise AttemptFailedError(f"status {response.status} within a stream")
        body = await read_body(response, progress.reservation)
        if response.status >= MIN_FAILURE_STATUS and route.is_idempotent:
            progress.failure_response = (response.status, response.headers, body)
            if progress.failed_attempts + 1 < route.max_attempts:
                raise AttemptFailedError(f"status {response.status}")
        progress.record_event_time(self._clock.now_s())
        await self._send_response(
            writer, progress, response.status, response.headers, body
        )

    async def _send_response(
        self,
        writer: ResponseWriter,
        progress: RequestProgress,
        status: int,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        progress.response_started = True
        await writer.start(status, headers)
        if body:
            await writer.send(body)
        await writer.finish()

    async def _forward_stream(
        self,
        response: EngineResponse,
        silence_limits: SilenceLimits,
        handover: Handover,
        writer: ResponseWriter,
        progress: RequestProgress,
        on_events: Callable[[], None],
    ) -> None:
        """Forward complete events as they arrive."""
        first_s = (
            silence_limits.first_event_s if silence_limits.pause_s is not None else None
        )
        batches = read_events(response, first_s, silence_limits.pause_s, handover)
        async for events in batches:
            progress.record_events(events)
            on_events()
            data = b"".join(event.raw for event in events)
            await self._forward_events(response, writer, progress, data)
        if not progress.response_started:
            progress.response_started = True
            await writer.start(response.status, response.headers)
        await writer.finish()

    async def _forward_events(
        self,
        response: EngineResponse,
        writer: ResponseWriter,
        progress: RequestProgress,
        data: bytes,
    ) -> None:
        progress.record_event_time(self._clock.now_s())
        if not progress.response_started:
            progress.response_started = True
            await writer.start(response.status, response.headers)
        await writer.send(data)

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
            await self._send_response(writer, progress, *progress.failure_response)
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
