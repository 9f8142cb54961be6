"""Lets a peer make an attempt at an endpoint for this daemon.

This daemon keeps the caller's connection, the admission and the slot; the peer sends
the request to the endpoint and passes the response on over the connection between
the two daemons.
"""

import asyncio
import collections
import itertools
from collections.abc import AsyncIterator, Callable

from ...errors import PeerUnavailableError
from ..endpoints import Endpoint
from ..engine import (
    NO_LOAD,
    AttemptFailedError,
    EndpointLimit,
    EndpointLoad,
    EngineCall,
    RequestNotRunError,
)
from ..http.http1 import HeaderList
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
from .peers import Feature, PeerConnection, Peers

MAX_RELAYED_BODY_BYTES = 4 * 1024 * 1024
# Bytes of a response that the peer sends ahead of what this daemon has consumed.
WINDOW_BYTES = 256 * 1024
CREDIT_BYTES = WINDOW_BYTES // 4

RelayedMessage = RelayedHead | RelayedData | RelayedEnd | RelayedFailure


class RelayOutsideError(RequestNotRunError):
    """The peer is in a region that the request may not pass through."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, is_path_failure=True)


class _RelayedAttempt:
    """An attempt that a peer makes, with the messages that arrived for it. None
    stands for the end of the connection.
    """

    def __init__(self, number: int, address: str, connection: PeerConnection) -> None:
        self.number: int = number
        self.address: str = address
        self.connection: PeerConnection = connection
        self.messages: asyncio.Queue[RelayedMessage | None] = asyncio.Queue()
        self.has_begun: bool = False
        self.has_ended: bool = False
        self.received_s: float = asyncio.get_running_loop().time()
        # Called with the seconds since the last message if the attempt is given up.
        self.on_abandoned: Callable[[float], None] = lambda silence_s: None

    def end_with_connection(self) -> None:
        """Record that the connection to the peer has ended."""
        self.messages.put_nowait(None)

    async def receive(self) -> RelayedMessage:
        """Return the next message; raise the error that ended the attempt."""
        message = await self.messages.get()
        self.received_s = asyncio.get_running_loop().time()
        if message is None:
            self.has_ended = True
            raise AttemptFailedError(
                "connection to the relaying peer ended", is_path_failure=True
            )
        if isinstance(message, RelayedFailure):
            self.has_ended = True
            raise _error_of(message, has_begun=self.has_begun)
        self.has_begun = True
        return message


class RelayedResponse:
    """An endpoint's response that a peer passes on; implements `EngineResponse`."""

    def __init__(
        self,
        head: RelayedHead,
        attempt: _RelayedAttempt,
        on_close: Callable[[], None],
    ) -> None:
        self.status: int = head.status
        self.headers: HeaderList = head.headers
        self.ends_with_connection: bool = head.ends_with_connection
        self.limit = EndpointLimit(head.rate_per_s, head.malformed_limit)
        # A relay of the previous release leaves the load out.
        self.load: EndpointLoad = head.load or NO_LOAD
        self.is_leaving: bool = head.is_leaving
        self._attempt: _RelayedAttempt = attempt
        self._on_close: Callable[[], None] = on_close
        self._unacknowledged_bytes: int = 0

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; the body is complete when the iteration ends."""
        while True:
            message = await self._attempt.receive()
            if isinstance(message, RelayedEnd):
                self._attempt.has_ended = True
                return
            if isinstance(message, RelayedData):
                yield message.data
                self._acknowledge(len(message.data))

    def close(self) -> None:
        """Let the peer stop an attempt that has not ended."""
        self._on_close()

    def _acknowledge(self, size: int) -> None:
        self._unacknowledged_bytes += size
        if self._unacknowledged_bytes >= CREDIT_BYTES:
            credit = RelayCredit(self._attempt.number, self._unacknowledged_bytes)
            self._attempt.connection.send(credit)
            self._unacknowledged_bytes = 0


class RelayClient:
    """Sends calls by way of peers. One per daemon, used by `RoutedEngineClient`.

    `forwarded_headers` removes the headers that only this daemon may see.
    """

    def __init__(
        self, peers: Peers, forwarded_headers: Callable[[HeaderList], HeaderList]
    ) -> None:
        # The attempts that each peer makes for this daemon now.
        self.running: collections.Counter[str] = collections.Counter()
        self._peers: Peers = peers
        self._forwarded_headers = forwarded_headers
        self._numbers = itertools.count(1)
        self._attempts: dict[int, _RelayedAttempt] = {}

    async def send(
        self,
        address: str,
        call: EngineCall,
        endpoint: Endpoint,
        on_abandoned: Callable[[float], None] = lambda silence_s: None,
    ) -> RelayedResponse:
        """Send a call by way of a peer and wait for the head of its response.

        `on_abandoned` gets the seconds since the peer's last message if the attempt
        is given up before its end. Raises RequestNotRunError if the peer says so or
        never got the call.
        """
        connection = await self._connect(address, call)
        attempt = _RelayedAttempt(next(self._numbers), address, connection)
        attempt.on_abandoned = on_abandoned
        self.running[address] += 1
        self._attempts[attempt.number] = attempt
        connection.on_close.append(attempt.end_with_connection)
        if not connection.is_open:
            # It closed before the callback was added, which is then never called.
            attempt.end_with_connection()
        connection.send(self._relay_call(attempt.number, call, endpoint))
        try:
            head = await attempt.receive()
            if not isinstance(head, RelayedHead):
                raise AttemptFailedError("no head came first", is_path_failure=True)
        except BaseException:
            self._finish(attempt)
            raise
        return RelayedResponse(head, attempt, lambda: self._finish(attempt))

    def handle_message(self, connection: PeerConnection, message: Message) -> None:
        """Handle what a peer sends of an attempt that it makes for this daemon."""
        attempt = self._attempts.get(message.number)
        if attempt is not None and attempt.connection is connection:
            attempt.messages.put_nowait(message)

    async def _connect(self, address: str, call: EngineCall) -> PeerConnection:
        if len(call.body) > MAX_RELAYED_BODY_BYTES:
            raise RequestNotRunError("too large to relay", is_path_failure=True)
        try:
            connection = await self._peers.connect(address)
        except PeerUnavailableError as exc:
            raise RequestNotRunError(
                f"peer {address}: {exc}", is_path_failure=True
            ) from exc
        if not connection.supports(Feature.RELAY):
            raise RequestNotRunError(
                f"peer {address} does not relay", is_path_failure=True
            )
        if call.regions and not self._may_pass(call.regions, connection.region):
            raise RelayOutsideError(f"peer {address} is in another region")
        return connection

    def _may_pass(self, regions: frozenset[str], region: str) -> bool:
        """Whether a request for some regions may pass through a peer in a region."""
        return region != "" and (region in regions or region == self._peers.region)

    def _relay_call(
        self, number: int, call: EngineCall, endpoint: Endpoint
    ) -> RelayCall:
        return RelayCall(
            number,
            endpoint.id,
            endpoint.started_ms,
            call.request_id,
            call.method,
            call.target,
            self._forwarded_headers(call.headers),
            call.body,
            call.team,
            call.timeout_ms,
            call.resume_after,
        )

    def _finish(self, attempt: _RelayedAttempt) -> None:
        """Forget an attempt; stop it if it goes on."""
        if self._attempts.pop(attempt.number, None) is None:
            return
        self.running[attempt.address] -= 1
        connection = attempt.connection
        if attempt.end_with_connection in connection.on_close:
            connection.on_close.remove(attempt.end_with_connection)
        if attempt.has_ended:
            return
        if connection.is_open:
            connection.send(CancelRelay(attempt.number))
        attempt.on_abandoned(asyncio.get_running_loop().time() - attempt.received_s)


def _error_of(failure: RelayedFailure, *, has_begun: bool) -> Exception:
    """Return the error that the peer's attempt ended with. A response that has begun
    shows that the request has run, whatever the peer says later.
    """
    if failure.may_have_run or has_begun:
        return AttemptFailedError(
            failure.reason,
            reset=failure.reset,
            timed_out=failure.timed_out,
            is_leaving=failure.is_leaving,
            is_path_failure=failure.is_path_failure,
            was_relayed=True,
        )
    return RequestNotRunError(
        failure.reason,
        unreachable=failure.unreachable,
        limit=EndpointLimit(failure.rate_per_s, failure.malformed_limit),
        load=failure.load or NO_LOAD,
        is_refusal=failure.is_refusal,
        is_leaving=failure.is_leaving,
        is_path_failure=failure.is_path_failure,
    )
