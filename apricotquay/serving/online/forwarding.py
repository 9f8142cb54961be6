"""Forwards the responses of endpoints to callers."""

from collections.abc import Callable

from ...clocks import Clock
from ..catalog import Route, RouteKind
from ..engine import AttemptFailedError, EngineResponse
from ..http.http1 import HeaderList
from .attempts import read_body, read_events
from .handover import Handover
from .requests import RequestProgress, ResponseWriter
from .timeouts import SilenceLimits

MIN_FAILURE_STATUS = 500


class ResponseForwarder:
    """Forwards streams event by event, and other responses once they are complete.

    Used by `OnlineRequestHandler`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock: Clock = clock

    async def forward(
        self,
        response: EngineResponse,
        route: Route,
        writer: ResponseWriter,
        progress: RequestProgress,
        silence_limits: SilenceLimits,
        handover: Handover,
        on_events: Callable[[int, float], None],
    ) -> None:
        """Forward a response; `on_events` gets the number of events that arrived,
        before they are passed on, and how many seconds the write before took.
        """
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
        await self.send_response(
            writer, progress, response.status, response.headers, body
        )

    async def send_response(
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
        on_events: Callable[[int, float], None],
    ) -> None:
        """Forward complete events as they arrive."""
        first_s = (
            silence_limits.first_event_s if silence_limits.pause_s is not None else None
        )
        batches = read_events(response, first_s, silence_limits.pause_s, handover)
        write_s = 0.0
        async for events in batches:
            progress.record_events(events)
            on_events(len(events), write_s)
            data = b"".join(event.raw for event in events)
            begun_s = self._clock.now_s()
            await self._forward_events(response, writer, progress, data)
            write_s = self._clock.now_s() - begun_s
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
