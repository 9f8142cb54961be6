"""Makes attempts at endpoints for peers that do not reach them.

The peer has admitted the request and holds a slot for it; nothing of that is counted
here again. An attempt is only made over this VM's own connections, so that no request
goes from peer to peer.
"""

import asyncio
from collections.abc import Iterator

from ...clocks import Clock
from ...events import Event
from ...ids import EndpointId
from ..endpoints import Endpoint, LeavingNotice
from ..engine import (
    NO_LOAD,
    AttemptFailedError,
    EndpointUnreachableError,
    EngineCall,
    EngineResponse,
    RequestNotRunError,
)
from ..messages import (
    CancelRelay,
    Message,
    RelayCall,
    RelayCredit,
    RelayedData,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
)
from ..metrics import ServingMetrics
from ..reporting import Reporter
from .peers import PeerConnection
from .relayclient import WINDOW_BYTES
from .routedclient import RoutedEngineClient
from .view import View

MAX_RELAYED_ATTEMPTS = 256
MAX_CHUNK_BYTES = 64 * 1024
# The endpoint ends the attempt at its timeout; this bounds one that does not.
TIMEOUT_MARGIN_S = 1.0
MAX_REASON_CHARS = 200


class _Window:
    """The bytes that may be sent before the peer consumes more."""

    def __init__(self) -> None:
        self._available_bytes: int = WINDOW_BYTES
        self._has_room = asyncio.Event()
        self._has_room.set()

    def add(self, size: int) -> None:
        """Add what the peer has consumed."""
        self._available_bytes += size
        if self._available_bytes > 0:
            self._has_room.set()

    async def take(self, size: int) -> None:
        """Wait for room."""
        await self._has_room.wait()
        self._available_bytes -= size
        if self._available_bytes <= 0:
            self._has_room.clear()


class _Attempt:
    """An attempt for a peer, and the task that makes it."""

    def __init__(self) -> None:
        self.window = _Window()
        self.task: asyncio.Task | None = None


class RelayServer:
    """Serves peers' attempts; those of a connection end with it. One per daemon."""

    def __init__(
        self,
        engines: RoutedEngineClient,
        view: View,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._engines: RoutedEngineClient = engines
        self._view: View = view
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._attempts: dict[PeerConnection, dict[int, _Attempt]] = {}
        self._is_draining: bool = False
        self.served_count: int = 0

    @property
    def busy_count(self) -> int:
        """Number of attempts that this daemon makes for peers."""
        return sum(len(attempts) for attempts in self._attempts.values())

    def drain(self) -> None:
        """Begin no further attempt."""
        self._is_draining = True

    def close(self) -> None:
        """End all attempts."""
        for connection in list(self._attempts):
            self._cancel_all(connection)

    def handle_message(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message of a peer about an attempt."""
        if isinstance(message, RelayCall):
            self._handle_call(connection, message)
            return
        attempt = self._attempts.get(connection, {}).get(message.number)
        if attempt is None:
            return
        if isinstance(message, RelayCredit):
            attempt.window.add(message.size_bytes)
        elif isinstance(message, CancelRelay):
            attempt.task.cancel()

    def _handle_call(self, connection: PeerConnection, call: RelayCall) -> None:
        try:
            endpoint = self._check_call(call)
        except RequestNotRunError as exc:
            self._report(call, str(exc), self._clock.now_s())
            connection.send(_not_run_failure(call.number, exc))
            return
        if connection not in self._attempts:
            self._attempts[connection] = {}
            connection.on_close.append(lambda: self._cancel_all(connection))
        attempt = self._attempts[connection][call.number] = _Attempt()
        attempt.task = asyncio.ensure_future(
            self._run(connection, call, endpoint, attempt.window)
        )
        attempt.task.add_done_callback(
            lambda _: self._attempts.get(connection, {}).pop(call.number, None)
        )

    def _check_call(self, call: RelayCall) -> Endpoint:
        """Return the endpoint; raise RequestNotRunError unless it can be tried."""
        endpoint = self._view.endpoints.get(EndpointId(call.endpoint))
        if self._is_draining:
            reason = "the relaying peer is draining"
        elif self.busy_count >= MAX_RELAYED_ATTEMPTS:
            reason = "the relaying peer is busy"
        elif endpoint is None or endpoint.started_ms != call.started_ms:
            reason = "the relaying peer does not know this start of the endpoint"
        elif endpoint.is_leaving:
            reason = "the relaying peer knows that the endpoint leaves"
        elif self._view.evacuations.is_evacuated(endpoint.zone):
            reason = "the relaying peer knows that the endpoint is evacuated"
        elif self._engines.is_out_of_reach(endpoint):
            reason = "the relaying peer does not reach the endpoint either"
        else:
            return endpoint
        raise RequestNotRunError(reason, is_path_failure=True)

    async def _run(
        self,
        connection: PeerConnection,
        call: RelayCall,
        endpoint: Endpoint,
        window: _Window,
    ) -> None:
        started_s = self._clock.now_s()
        self.served_count += 1
        self._metrics.count("relays_served")
        outcome = "cancelled"
        try:
            async with asyncio.timeout(call.timeout_ms / 1000 + TIMEOUT_MARGIN_S):
                await self._pass_on(connection, call, endpoint, window)
            outcome = "answered"
        except EndpointUnreachableError as exc:
            outcome = str(exc)
            exc.is_path_failure = await self._engines.is_known_to_be_reached(
                endpoint, outcome
            )
            connection.send(_not_run_failure(call.number, exc))
        except RequestNotRunError as exc:
            outcome = str(exc)
            connection.send(_not_run_failure(call.number, exc))
        except AttemptFailedError as exc:
            outcome = str(exc)
            connection.send(await self._failure(call.number, endpoint, exc))
        except TimeoutError:
            outcome = "no end in time"
            error = AttemptFailedError(outcome, timed_out=True)
            connection.send(_failure(call.number, error))
        except Exception as exc:
            # An unexpected error ends this attempt only; it may have run.
            outcome = repr(exc)[:MAX_REASON_CHARS]
            error = AttemptFailedError(outcome, is_path_failure=True)
            connection.send(_failure(call.number, error))
        finally:
            self._report(call, outcome, started_s)

    async def _pass_on(
        self,
        connection: PeerConnection,
        call: RelayCall,
        endpoint: Endpoint,
        window: _Window,
    ) -> None:
        response = await self._engines.send_directly(_engine_call(call), endpoint)
        try:
            if response.is_leaving:
                notice = LeavingNotice(endpoint.id, endpoint.started_ms)
                self._view.record_leaving([notice], is_answer=True)
            connection.send(_head(call.number, response))
            async for data in response.body():
                for chunk in _chunks(data):
                    await window.take(len(chunk))
                    connection.send(RelayedData(call.number, chunk))
            connection.send(RelayedEnd(call.number))
        finally:
            response.close()

    async def _failure(
        self, number: int, endpoint: Endpoint, error: AttemptFailedError
    ) -> RelayedFailure:
        """Return what the peer is told of an attempt that failed here."""
        if error.reset and await self._engines.has_lost_path(endpoint):
            error.is_path_failure = True
        return _failure(number, error)

    def _report(self, call: RelayCall, outcome: str, started_s: float) -> None:
        self._reporter.write(
            Event.RELAY_SERVED,
            request=call.request_id,
            endpoint=call.endpoint,
            resumed_after=call.resume_after,
            outcome=outcome,
            took_ms=int((self._clock.now_s() - started_s) * 1000),
        )

    def _cancel_all(self, connection: PeerConnection) -> None:
        for attempt in self._attempts.pop(connection, {}).values():
            attempt.task.cancel()


def _engine_call(call: RelayCall) -> EngineCall:
    return EngineCall(
        call.request_id,
        call.method,
        call.target,
        call.headers,
        call.body,
        call.team,
        call.timeout_ms,
        call.resume_after,
    )


def _head(number: int, response: EngineResponse) -> RelayedHead:
    return RelayedHead(
        number,
        response.status,
        response.headers,
        response.ends_with_connection,
        response.limit.rate_per_s,
        response.limit.malformed,
        response.is_leaving,
        response.load if response.load != NO_LOAD else None,
    )


def _chunks(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), MAX_CHUNK_BYTES):
        yield data[start : start + MAX_CHUNK_BYTES]


def _failure(number: int, error: AttemptFailedError) -> RelayedFailure:
    return RelayedFailure(
        number,
        str(error),
        may_have_run=True,
        reset=error.reset,
        timed_out=error.timed_out,
        is_leaving=error.is_leaving,
        is_path_failure=error.is_path_failure,
    )


def _not_run_failure(number: int, error: RequestNotRunError) -> RelayedFailure:
    return RelayedFailure(
        number,
        str(error),
        may_have_run=False,
        unreachable=error.unreachable,
        is_leaving=error.is_leaving,
        rate_per_s=error.limit.rate_per_s,
        malformed_limit=error.limit.malformed,
        is_path_failure=error.is_path_failure,
        load=error.load if error.load != NO_LOAD else None,
        is_refusal=error.is_refusal,
    )
