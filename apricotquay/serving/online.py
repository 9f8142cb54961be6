"""The path of an online request: admission, slot, attempts, stream, resume."""

import asyncio
import random

from ..clocks import Clock
from ..errors import ErrorKind, Ran, RequestError
from ..events import Event
from ..ids import TeamId
from .attempts import AttemptRunner, read_events
from .catalog import Configuration, Route, RouteKind, ServiceName, Team
from .dispatch import Work
from .engine import (
    AttemptFailedError,
    EngineCall,
    EngineResponse,
    RequestNotRunError,
)
from .http1 import HeaderList
from .metrics import ServingMetrics
from .outliers import SlotOutcome
from .ratelimiter import RateLimiter
from .reporting import Reporter
from .requests import Admission, OnlineRequest, Progress, ResponseWriter
from .slots import SlotAllocator, SlotLease, SlotRequest, SlotUnavailableError
from .timeouts import AdaptiveTimeouts, SilenceLimits
from .view import View

SLOT_LIMIT_S = 1.8
FIRST_FAILURE_STATUS = 500
MAX_NOT_RUN = 6
NOT_RUN_PAUSE_S = 0.02
MIN_RETRY_AFTER_MS = 100
# The part of a request's time that the way back to the caller takes.
DEADLINE_MARGIN_S = 0.03


class OnlineRequestHandler:
    """Runs online requests. Used by the callers' interface."""

    def __init__(
        self,
        view: View,
        rates: RateLimiter,
        slots: SlotAllocator,
        attempts: AttemptRunner,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._view: View = view
        self._rates: RateLimiter = rates
        self._slots: SlotAllocator = slots
        self._attempts: AttemptRunner = attempts
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._timeouts = AdaptiveTimeouts()

    def authorize(self, host: str, path: str, key: str | None) -> Admission:
        """Find the route and the team, or raise what refuses the request."""
        configuration = self._view.configuration
        if configuration is None:
            raise RequestError(ErrorKind.VIEW_STALE, "no configuration is known yet")
        route = configuration.find_route(host, path)
        if route is None:
            raise RequestError(ErrorKind.ROUTE_UNKNOWN, "no route matches")
        team = self._team(configuration, route, key)
        return Admission(route, team, configuration.version)

    @property
    def version(self) -> int | None:
        """The version of the configuration in force here."""
        configuration = self._view.configuration
        return configuration.version if configuration else None

    def team_of(self, key: str | None) -> TeamId:
        """Return the team that holds a key, or raise what refuses the call."""
        configuration = self._view.configuration
        if configuration is None:
            raise RequestError(ErrorKind.VIEW_STALE, "no configuration is known yet")
        if not configuration.needs_keys:
            return TeamId("")
        return self._team_with(configuration, key).id

    async def serve(
        self, request: OnlineRequest, admitted: Admission, caller: ResponseWriter
    ) -> None:
        """Serve a request whose route and team are known."""
        progress = Progress(request)
        try:
            await self._check_rate(admitted.team)
            limit_s = request.arrived_s + self._timeout_s(request, admitted.route)
            async with asyncio.timeout(max(0.0, limit_s - self._clock.now_s())):
                await self._run(request, admitted, caller, progress, limit_s)
            outcome = "answered"
        except TimeoutError:
            outcome = await self._end_late(caller, progress)
        except RequestError as exc:
            outcome = await self._end_failed(caller, progress, exc)
        except BaseException as exc:
            self._report(request, admitted, progress, f"caller left: {exc!r}"[:80])
            raise
        self._report(request, admitted, progress, outcome)

    def _team(
        self, configuration: Configuration, route: Route, key: str | None
    ) -> Team | None:
        if route.is_public or not configuration.needs_keys:
            return None
        return self._team_with(configuration, key)

    def _team_with(self, configuration: Configuration, key: str | None) -> Team:
        if not key:
            raise RequestError(ErrorKind.KEY_MISSING, "a key is needed")
        team = configuration.team_of(key)
        if team is None:
            raise RequestError(ErrorKind.KEY_REJECTED, "the key is not known")
        return team

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

    async def _run(
        self,
        request: OnlineRequest,
        admitted: Admission,
        caller: ResponseWriter,
        progress: Progress,
        limit_s: float,
    ) -> None:
        """Try endpoints until the answer is delivered or nothing is left to try."""
        route = admitted.route
        service = route.service_for(random.random())
        due_s = request.arrived_s + route.objective_ms / 1000
        while True:
            wanted = SlotRequest(
                Work.ONLINE,
                due_s,
                min(limit_s, request.arrived_s + SLOT_LIMIT_S),
                prefix=request.prefix,
                avoid=frozenset(progress.failed_at),
                may_repeat=route.is_idempotent,
            )
            lease = await self._acquire(service, wanted, progress)
            try:
                lease.outcome = await self._attempt(
                    request, admitted, caller, progress, lease, limit_s
                )
                if lease.outcome is SlotOutcome.SUCCEEDED:
                    return
            finally:
                self._slots.release(lease)
            self._check_may_repeat(route, progress)
            if progress.not_run and not progress.may_have_run:
                await asyncio.sleep(NOT_RUN_PAUSE_S * progress.not_run)

    async def _acquire(
        self, service: ServiceName, wanted: SlotRequest, progress: Progress
    ) -> SlotLease:
        if not any(True for _ in self._view.endpoints.serving(service)):
            raise RequestError(ErrorKind.ENDPOINT_MISSING, "no endpoint is listed")
        asked_s = self._clock.now_s()
        try:
            lease = await self._slots.acquire(service, wanted)
        except SlotUnavailableError as exc:
            raise RequestError(
                ErrorKind.DEADLINE_UNREACHABLE,
                "no slot can be had in time",
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(exc.wait_s * 1000)),
            ) from exc
        progress.slot_by = lease.owner or "own table"
        progress.slot_wait_ms = int((self._clock.now_s() - asked_s) * 1000)
        return lease

    def _check_may_repeat(self, route: Route, progress: Progress) -> None:
        """Raise unless the request may be sent again."""
        reason = progress.reasons[-1]
        if progress.may_have_run:
            if not route.is_idempotent or progress.attempts >= route.max_attempts:
                raise RequestError(ErrorKind.ENDPOINT_FAILED, reason, ran=Ran.UNKNOWN)
        if progress.not_run >= MAX_NOT_RUN:
            raise RequestError(ErrorKind.ENDPOINT_REFUSED, reason)

    async def _attempt(
        self,
        request: OnlineRequest,
        admitted: Admission,
        caller: ResponseWriter,
        progress: Progress,
        lease: SlotLease,
        limit_s: float,
    ) -> SlotOutcome:
        """Send once; the answer is delivered if the attempt was sound."""
        endpoint = self._view.endpoints.get(lease.endpoint)
        if endpoint is None or endpoint.is_leaving:
            progress.see_failure(lease.endpoint, "endpoint left", may_have_run=False)
            return SlotOutcome.UNKNOWN
        call = self._call(request, admitted.team, progress, limit_s)
        if self._attempts.is_quarantined(call):
            raise RequestError(
                ErrorKind.REQUEST_QUARANTINED, "this request crashes endpoints"
            )
        progress.endpoint = endpoint.id
        route = admitted.route
        silence_limits = self._timeouts.silence_limits(
            route, lease.service, progress.attempts
        )
        begun_s = self._clock.now_s()
        try:
            await self._attempts.run(
                call,
                endpoint,
                silence_limits.first_event_s,
                lambda answer: self._pass_on(
                    answer, route, caller, progress, silence_limits
                ),
            )
        except RequestNotRunError as exc:
            progress.see_failure(endpoint.id, str(exc), may_have_run=False)
            return SlotOutcome.FAILED
        except AttemptFailedError as exc:
            progress.see_failure(endpoint.id, str(exc), may_have_run=True)
            if exc.timed_out:
                had_event = progress.last_event_s is not None
                self._timeouts.record_timeout(lease.service, silence_limits, had_event)
            return SlotOutcome.FAILED
        self._see_stream(lease.service, route, progress, begun_s)
        return SlotOutcome.SUCCEEDED

    def _see_stream(
        self, service: ServiceName, route: Route, progress: Progress, begun_s: float
    ) -> None:
        if route.kind is not RouteKind.STREAMING or progress.first_event_s is None:
            return
        wait_s = progress.first_event_s - begun_s
        self._timeouts.record_stream(
            service, wait_s if wait_s > 0 else None, progress.longest_pause_s
        )

    def _call(
        self,
        request: OnlineRequest,
        team: Team | None,
        progress: Progress,
        limit_s: float,
    ) -> EngineCall:
        left_ms = int((limit_s - self._clock.now_s()) * 1000)
        if left_ms <= 0:
            raise TimeoutError
        progress.offered = True
        return EngineCall(
            request.id,
            request.method,
            request.target,
            request.headers,
            request.body,
            TeamId(team.id) if team else None,
            left_ms,
            progress.last_id,
        )

    async def _pass_on(
        self,
        answer: EngineResponse,
        route: Route,
        caller: ResponseWriter,
        progress: Progress,
        silence_limits: SilenceLimits,
    ) -> None:
        if route.kind is RouteKind.STREAMING and answer.status == 200:
            await self._pass_stream(answer, silence_limits, caller, progress)
        else:
            await self._pass_whole(answer, route, caller, progress)

    async def _pass_whole(
        self,
        answer: EngineResponse,
        route: Route,
        caller: ResponseWriter,
        progress: Progress,
    ) -> None:
        """Pass on an answer that is not a stream, once it is whole."""
        if progress.started:
            raise AttemptFailedError(f"status {answer.status} within a stream")
        parts = [part async for part in answer.body()]
        body = b"".join(parts)
        if answer.status >= FIRST_FAILURE_STATUS and route.is_idempotent:
            progress.final = (answer.status, answer.headers, body)
            if progress.attempts + 1 < route.max_attempts:
                raise AttemptFailedError(f"status {answer.status}")
        progress.see_events_at(self._clock.now_s())
        await self._deliver(caller, progress, answer.status, answer.headers, body)

    async def _deliver(
        self,
        caller: ResponseWriter,
        progress: Progress,
        status: int,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        progress.started = True
        await caller.start(status, headers)
        if body:
            await caller.send(body)
        await caller.finish()

    async def _pass_stream(
        self,
        answer: EngineResponse,
        silence_limits: SilenceLimits,
        caller: ResponseWriter,
        progress: Progress,
    ) -> None:
        """Pass whole events on as they come."""
        first_s = (
            silence_limits.first_event_s if silence_limits.pause_s is not None else None
        )
        async for events in read_events(answer, first_s, silence_limits.pause_s):
            for event in events:
                progress.see_event(event)
            whole = b"".join(event.raw for event in events)
            await self._pass_events(answer, caller, progress, whole)
        if not progress.started:
            await caller.start(answer.status, answer.headers)
            progress.started = True
        await caller.finish()

    async def _pass_events(
        self,
        answer: EngineResponse,
        caller: ResponseWriter,
        progress: Progress,
        data: bytes,
    ) -> None:
        progress.see_events_at(self._clock.now_s())
        if not progress.started:
            await caller.start(answer.status, answer.headers)
            progress.started = True
        await caller.send(data)

    async def _end_late(self, caller: ResponseWriter, progress: Progress) -> str:
        if progress.started:
            caller.abort()
            return "broken off at the time limit"
        kind = ErrorKind.DEADLINE_EXCEEDED
        if not progress.offered:
            kind = ErrorKind.DEADLINE_UNREACHABLE
        await caller.refuse(RequestError(kind, "no answer in time"))
        return kind.value

    async def _end_failed(
        self, caller: ResponseWriter, progress: Progress, error: RequestError
    ) -> str:
        if progress.started:
            caller.abort()
            return f"broken off: {error.message}"
        if progress.final is not None:
            await self._deliver(caller, progress, *progress.final)
            return f"answered with status {progress.final[0]}"
        if progress.may_have_run and error.status in (429, 503):
            error = RequestError(ErrorKind.ENDPOINT_FAILED, error.message)
        await caller.refuse(error)
        if error.message not in progress.reasons:
            progress.reasons.append(error.message)
        return error.kind.value

    def _report(
        self,
        request: OnlineRequest,
        admitted: Admission,
        progress: Progress,
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
            team=admitted.team.id if admitted.team else None,
            route=admitted.route.name,
            version=admitted.version,
            view_age_ms=int(self._view.age_s() * 1000),
            endpoint=progress.endpoint,
            attempts=progress.attempts,
            not_run=progress.not_run,
            reasons=progress.reasons[-4:],
            slot_by=progress.slot_by,
            slot_wait_ms=progress.slot_wait_ms,
            first_event_ms=first_ms,
            longest_pause_ms=int(progress.longest_pause_s * 1000),
            took_ms=int((now_s - request.arrived_s) * 1000),
            outcome=outcome,
        )
