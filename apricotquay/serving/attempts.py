"""One send of a call to an endpoint, and what it says of the endpoint.

Shared by online requests and batch items: both watch for crashes, judge the
endpoint by how the attempt ended, and read streams in whole events.
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from ..clocks import Clock
from ..events import Event
from .crashes import CrashDetector
from .endpoints import Endpoint
from .engine import (
    AttemptFailedError,
    EngineCall,
    EngineClient,
    EngineResponse,
    RequestNotRunError,
)
from .metrics import ServingMetrics
from .reporting import Reporter
from .sse import EventSplitter, StreamEvent
from .view import View

T = TypeVar("T")


def fingerprint_of(call: EngineCall) -> str:
    """Return what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.target.encode(), (call.team or "").encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class AttemptRunner:
    """Sends calls. Used by the online path and the batch runner."""

    def __init__(
        self,
        view: View,
        engines: EngineClient,
        crashes: CrashDetector,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._view: View = view
        self._engines: EngineClient = engines
        self._crashes: CrashDetector = crashes
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter

    def is_quarantined(self, call: EngineCall) -> bool:
        """Whether the call is not to be sent, since it crashes endpoints."""
        return self._crashes.is_quarantined(fingerprint_of(call))

    async def run(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        head_limit_s: float | None,
        use: Callable[[EngineResponse], Awaitable[T]],
    ) -> T:
        """Send a call and use its answer; its errors are reported and passed on.

        `head_limit_s` is how long the answer may take to begin.
        """
        fingerprint = fingerprint_of(call)
        self._crashes.begin(endpoint.id, fingerprint)
        try:
            result = await self._send(call, endpoint, head_limit_s, use)
        except RequestNotRunError as exc:
            self._see_failure(call, endpoint, str(exc), exc.unreachable)
            raise
        except AttemptFailedError as exc:
            self._see_failure(call, endpoint, str(exc), False)
            if exc.reset:
                self._crashes.see_reset(endpoint, fingerprint)
            raise
        finally:
            self._crashes.end(endpoint.id, fingerprint)
        self._view.endpoints.see_success(endpoint.id)
        self._crashes.clear(fingerprint)
        return result

    async def _send(
        self,
        call: EngineCall,
        endpoint: Endpoint,
        head_limit_s: float | None,
        use: Callable[[EngineResponse], Awaitable[T]],
    ) -> T:
        try:
            async with asyncio.timeout(head_limit_s):
                answer = await self._engines.send(call, endpoint)
        except TimeoutError as exc:
            raise AttemptFailedError(
                f"no answer within {head_limit_s:.2f} s", timed_out=True
            ) from exc
        try:
            return await use(answer)
        finally:
            answer.close()

    def _see_failure(
        self, call: EngineCall, endpoint: Endpoint, reason: str, unreachable: bool
    ) -> None:
        self._metrics.count("attempts_failed")
        self._reporter.write(
            Event.ATTEMPT_ENDED,
            request=call.request_id,
            endpoint=endpoint.id,
            address=f"{endpoint.host}:{endpoint.port}",
            reason=reason,
            unreachable=unreachable,
            resumed_after=call.resume_after,
        )
        now_s = self._clock.now_s()
        if self._view.endpoints.see_failure(endpoint.id, unreachable, now_s):
            self._reporter.write(
                Event.ENDPOINT_EJECTED, endpoint=endpoint.id, reason=reason
            )


async def read_events(
    answer: EngineResponse, first_limit_s: float | None, limit_s: float | None
) -> AsyncIterator[list[StreamEvent]]:
    """Yield the whole events of a stream, those that came together at once.

    A wait for the first one or a later one over its limit, or an end within an
    event, breaks the stream.
    """
    splitter = EventSplitter()
    body = answer.body()
    wait_s = first_limit_s
    while True:
        try:
            async with asyncio.timeout(wait_s):
                data = await anext(body, None)
        except TimeoutError as exc:
            raise AttemptFailedError(
                f"stream silent for {wait_s:.2f} s", timed_out=True
            ) from exc
        if data is None:
            break
        events = list(splitter.feed(data))
        if events:
            wait_s = limit_s
            yield events
    if splitter.has_partial_event:
        raise AttemptFailedError("stream ended within an event")
