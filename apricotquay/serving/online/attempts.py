"""Sends a call to an endpoint once and records how the attempt ended.

Shared by online requests and batch items: both detect crashes, track the
endpoint's health by its attempts, and read streams in whole events.
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from functools import partial
from typing import TypeVar

from ...clocks import Clock
from ...events import Event
from ...ids import EndpointId, TeamId
from ..crashes.detector import CrashDetector
from ..crashes.promptparts import PartKey
from ..endpoints import Endpoint, LeavingNotice
from ..engine import (
    NO_LIMIT,
    AttemptFailedError,
    EndpointLimit,
    EndpointLoad,
    EngineCall,
    EngineClient,
    EngineResponse,
    RequestNotRunError,
    found_path_failure,
)
from ..fleet.view import View
from ..http.bodybudget import MAX_BODY_BYTES, BodyBudget, BodyReservation
from ..http.http1 import HeaderList, is_success
from ..http.sse import MAX_EVENT_BYTES, EventSplitter, StreamEvent
from ..metrics import ServingMetrics
from ..reporting import Reporter
from ..slots.eligibility import Eligibility, Ineligible, Needs
from ..slots.memory import TokenUsage
from ..slots.slotuse import SlotUse
from .handover import Handover

T = TypeVar("T")


def fingerprint_of(target: str, team: TeamId | None, body: bytes) -> str:
    """Return a hash that is the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (target.encode(), (team or "").encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class AttemptRunner:
    """Sends calls to endpoints. Used by online requests and the batch runner."""

    def __init__(
        self,
        view: View,
        engines: EngineClient,
        crash_detector: CrashDetector,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._view: View = view
        self._engines: EngineClient = engines
        self._crash_detector: CrashDetector = crash_detector
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self.body_budget = BodyBudget()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not be sent because it crashes endpoints."""
        return self._crash_detector.is_quarantined(fingerprint)

    def find_causes(self, parts: Sequence[PartKey]) -> list[PartKey]:
        """Return the parts for which a request must not be sent, if any."""
        return self._crash_detector.find_causes(parts)

    async def may_send_again(
        self, endpoint: EndpointId, parts: Sequence[PartKey]
    ) -> bool:
        """Whether a request that failed at an endpoint may go to a further one."""
        return await self._crash_detector.may_send_again(endpoint, parts)

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""
        return self._engines.prompt_parts(headers)

    def check_eligible(
        self, request_id: str, endpoint_id: EndpointId, needs: Needs
    ) -> Endpoint | Ineligible:
        """Return the endpoint of a slot that was granted, or why it may not be sent the
        request any more. Asked directly before the send.
        """
        checked = Eligibility(self._view.endpoints).check(endpoint_id, needs)
        if isinstance(checked, Ineligible):
            self._metrics.count("sends_withheld")
            self._reporter.write_limited(
                Event.GRANT_NOT_USED,
                request=request_id,
                endpoint=endpoint_id,
                reason=checked.value,
            )
        return checked

    def token_usage(self, headers: HeaderList) -> TokenUsage:
        """Return the size that a caller states of a request."""
        return self._engines.token_usage(headers)

    async def run(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        response_timeout_s: float | None,
        consume: Callable[[EngineResponse], Awaitable[T]],
        *,
        may_crash_endpoints: bool = True,
        handover: Handover | None = None,
        on_limit: Callable[[EndpointLimit], None] = lambda limit: None,
        use: SlotUse | None = None,
    ) -> T:
        """Send a call and consume its response; errors are recorded and re-raised.

        `response_timeout_s` limits the time until the response begins; with a
        `handover` the attempt then ends only when another endpoint takes over. No
        crash is ever attributed to a call without `may_crash_endpoints`. `on_limit`
        gets what the answer says of the endpoint's limit, before the body is read.
        `use` records what the answer shows of the endpoint's load.
        """
        use = use or SlotUse()
        use.record_send(endpoint.started_ms, self._clock.now_s())
        fingerprint = None
        if may_crash_endpoints:
            fingerprint = fingerprint_of(call.target, call.team, call.body)
        self._crash_detector.begin_attempt(endpoint, fingerprint, call.prompt_parts)
        was_abandoned = True
        try:
            response, result = await self._send(
                call, endpoint, response_timeout_s, consume, handover, on_limit, use
            )
            was_abandoned = False
            use.record_end()
        except RequestNotRunError as exc:
            was_abandoned = False
            use.record_end()
            if exc.limit != NO_LIMIT:
                on_limit(exc.limit)
            is_full = exc.limit == NO_LIMIT and not exc.is_leaving
            if exc.is_refusal and is_full:
                self._record_load(endpoint, exc.load, use, is_refusal=True)
            self._record_leaving(endpoint, exc.is_leaving)
            self._record_not_run(call, endpoint, fingerprint, exc)
            raise
        except AttemptFailedError as exc:
            self._record_leaving(endpoint, exc.is_leaving)
            exc.was_cold = self._is_cold(endpoint)
            await self._judge_failure(call, endpoint, fingerprint, exc)
            if exc.is_failure and (exc.reset or exc.timed_out):
                self._crash_detector.check_endpoint(endpoint, fingerprint)
            raise
        finally:
            self._crash_detector.end_attempt(
                endpoint, fingerprint, was_abandoned=was_abandoned
            )
        self._view.endpoints.record_success(endpoint.id)
        # An endpoint may answer with a failure without having run the request.
        if is_success(response.status):
            self._record_completion(call, endpoint, fingerprint, response)
        return result

    def _record_not_run(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        fingerprint: str | None,
        error: RequestNotRunError,
    ) -> None:
        """Record that an endpoint did not run a request, once it is known whether it
        failed or the way to it.
        """
        check = error.path_check
        if check is not None and not check.done():
            check.add_done_callback(
                lambda _: self._record_not_run(call, endpoint, fingerprint, error)
            )
            return
        if check is not None and found_path_failure(check):
            error.is_path_failure = True
        self._record_failure(
            call,
            endpoint,
            fingerprint,
            error,
            unreachable=error.unreachable,
            is_failure=error.is_failure,
        )

    async def _judge_failure(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        fingerprint: str | None,
        error: AttemptFailedError,
    ) -> None:
        """Record whether the endpoint failed or the way to it. A silent endpoint's
        request goes on elsewhere meanwhile.
        """
        judge = partial(self._judge_path, call, endpoint, fingerprint, error)
        if error.timed_out and not self._engines.is_out_of_reach(endpoint):
            error.path_check = asyncio.ensure_future(judge())
        else:
            await judge()

    async def _judge_path(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        fingerprint: str | None,
        error: AttemptFailedError,
    ) -> bool:
        """Return whether the way to the endpoint failed, after recording it."""
        may_be_path = (error.reset or error.timed_out) and not error.was_relayed
        if may_be_path and await self._engines.has_lost_path(endpoint):
            error.is_path_failure = True
        self._record_failure(
            call,
            endpoint,
            fingerprint,
            error,
            reset=error.reset,
            timed_out=error.timed_out,
            is_failure=error.is_failure,
        )
        return error.is_path_failure

    def record_silence(
        self, call: EngineCall, endpoint: Endpoint, silence_s: float
    ) -> bool:
        """Record a failure of an endpoint that was silent until its attempt ended;
        return whether it counts, which it doesn't if the way to it is lost.
        """
        if self._engines.is_out_of_reach(endpoint) or self._is_cold(endpoint):
            return False
        self._record_failure(
            call,
            endpoint,
            fingerprint_of(call.target, call.team, call.body),
            AttemptFailedError(f"silent for the last {silence_s:.2f} s"),
            timed_out=True,
        )
        return True

    def _is_cold(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is slow because it has started a moment ago."""
        configuration = self._view.configuration
        now_s = self._clock.now_s()
        return self._view.endpoints.cold_left_s(endpoint, configuration, now_s) > 0

    def _record_completion(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        fingerprint: str | None,
        response: EngineResponse,
    ) -> None:
        detector, parts = self._crash_detector, call.prompt_parts
        if response.ends_with_connection:
            detector.check_completion(endpoint, fingerprint, parts)
        else:
            detector.record_completion(fingerprint, parts)

    async def _send(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        response_timeout_s: float | None,
        consume: Callable[[EngineResponse], Awaitable[T]],
        handover: Handover | None,
        on_limit: Callable[[EndpointLimit], None],
        use: SlotUse,
    ) -> tuple[EngineResponse, T]:
        """Return the response, which is closed, and what `consume` made of it."""
        try:
            response = await _wait_until(
                _due_s(response_timeout_s), self._engines.send(call, endpoint), handover
            )
        except TimeoutError as exc:
            raise AttemptFailedError(
                f"no answer within {response_timeout_s:.2f} s", timed_out=True
            ) from exc
        try:
            self._record_leaving(endpoint, response.is_leaving)
            self._record_load(endpoint, response.load, use)
            if is_success(response.status) or response.limit != NO_LIMIT:
                on_limit(response.limit)
            return response, await consume(response)
        finally:
            response.close()

    def _record_leaving(self, endpoint: Endpoint, is_leaving: bool) -> None:
        """Record what an answer to a request that was sent to an endpoint says."""
        if is_leaving:
            notice = LeavingNotice(endpoint.id, endpoint.started_ms)
            self._view.record_leaving([notice], is_answer=True)

    def _record_load(
        self,
        endpoint: Endpoint,
        load: EndpointLoad,
        use: SlotUse,
        *,
        is_refusal: bool = False,
    ) -> None:
        """Record what an answer states of the endpoint's load."""
        use.record_load(load, self._clock.now_s(), is_refusal=is_refusal)
        if load.malformed:
            self._metrics.count("loads_malformed")
            self._reporter.write_limited(
                Event.LOAD_MALFORMED,
                lines_per_s=1,
                endpoint=endpoint.id,
                value=load.malformed,
            )

    def _record_failure(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        fingerprint: str | None,
        error: Exception,
        *,
        unreachable: bool = False,
        reset: bool = False,
        timed_out: bool = False,
        is_failure: bool = True,
    ) -> None:
        reason = str(error)
        self._metrics.count("attempts_failed")
        self._reporter.write(
            Event.ATTEMPT_ENDED,
            request=call.request_id,
            endpoint=endpoint.id,
            address=f"{endpoint.host}:{endpoint.port}",
            version=endpoint.version,
            fingerprint=fingerprint,
            reason=reason,
            unreachable=unreachable,
            reset=reset,
            timed_out=timed_out,
            resumed_after=call.resume_after,
        )
        if not is_failure:
            return
        now_s = self._clock.now_s()
        if self._view.endpoints.record_failure(endpoint.id, unreachable, now_s):
            self._reporter.write(
                Event.ENDPOINT_EJECTED, endpoint=endpoint.id, reason=reason
            )


async def read_body(response: EngineResponse, reservation: BodyReservation) -> bytes:
    """Read a response that is not a stream.

    Raises AttemptFailedError when it is too large for its reservation: an endpoint in
    trouble may send bytes without end.
    """
    # Small parts that are kept one by one take many times their size.
    body = bytearray()
    async for part in response.body():
        if len(body) + len(part) > MAX_BODY_BYTES:
            raise AttemptFailedError(f"body of more than {MAX_BODY_BYTES} bytes")
        reservation.grow(len(part))
        body += part
    return bytes(body)


async def read_events(
    response: EngineResponse,
    first_event_timeout_s: float | None,
    event_timeout_s: float | None,
    handover: Handover | None = None,
) -> AsyncIterator[list[StreamEvent]]:
    """Yield the whole events of a stream; events that arrive together in one list.

    Raises AttemptFailedError when the wait for the first or a later event exceeds
    its timeout (with a `handover`, when another endpoint then takes over), when an
    event has no id or is longer than MAX_EVENT_BYTES, or when the stream ends within
    an event.
    """
    splitter = EventSplitter()
    body = response.body()
    timeout_s = first_event_timeout_s
    due_s = _due_s(timeout_s)
    while True:
        try:
            data = await _wait_until(due_s, anext(body, None), handover)
        except TimeoutError as exc:
            raise AttemptFailedError(
                f"stream without an event for {timeout_s:.2f} s", timed_out=True
            ) from exc
        if data is None:
            break
        events = list(splitter.feed(data))
        _check_events(splitter, events)
        if events:
            yield events
            timeout_s = event_timeout_s
            due_s = _due_s(timeout_s)
    if splitter.has_partial_event:
        raise AttemptFailedError("stream ended within an event")


async def _wait_until(
    due_s: float | None, output: Awaitable[T], handover: Handover | None
) -> T:
    """Wait for an endpoint's output; raise TimeoutError if the attempt is to end."""
    if handover is not None and due_s is not None:
        return await handover.wait_until(due_s, output)
    async with asyncio.timeout_at(due_s):
        return await output


def _due_s(timeout_s: float | None) -> float | None:
    """Return when a wait that begins now times out, in the event loop's time."""
    if timeout_s is None:
        return None
    return asyncio.get_running_loop().time() + timeout_s


def _check_events(splitter: EventSplitter, events: list[StreamEvent]) -> None:
    if splitter.buffered_bytes > MAX_EVENT_BYTES:
        raise AttemptFailedError(f"event of more than {MAX_EVENT_BYTES} bytes")
    if any(event.id < 0 for event in events):
        raise AttemptFailedError("an event has no id")
