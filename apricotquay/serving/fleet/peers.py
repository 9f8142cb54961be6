"""Connections between event-loop daemons: calls and messages over `websockets`."""

import asyncio
import contextlib
import enum
import itertools
import sys
from collections.abc import Awaitable, Callable
from urllib.parse import quote, unquote

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from ...errors import PeerUnavailableError
from ...events import Event
from ..messages import CallNotServed, Message, decode_frame, encode_frame
from ..reporting import Reporter
from .peerqueues import PeerQueues

CONNECT_TIMEOUT_S = 0.4
# After a failure no connection to the peer is opened for this long.
RECONNECT_DELAY_S = 0.5
# A connection with a call and no data after it for this long is considered dead.
SILENCE_TIMEOUT_S = 1.0
MAX_FRAME_BYTES = 8 * 1024 * 1024

# Lists in the opening handshake what a daemon understands besides the messages that
# all versions know.
FEATURES_HEADER = "X-Apricotquay-Features"
# Where the daemon that connects listens for peers itself.
ADDRESS_HEADER = "X-Apricotquay-Address"

# The region of the daemon, percent-encoded; left out if its settings name none.
REGION_HEADER = "X-Apricotquay-Region"

Handler = Callable[["PeerConnection", Message], Awaitable[Message | None]]


class Feature(enum.Enum):
    """What daemons of an older version don't understand."""

    RELAY = "relay"


OWN_FEATURES = ",".join(feature.value for feature in Feature)


class PeerConnection:
    """One connection between two event-loop daemons, opened by either side."""

    def __init__(
        self,
        socket,
        handler: Handler,
        reporter: Reporter,
        features: str = "",
        address: str = "",
        region: str = "",
        queues: PeerQueues | None = None,
    ) -> None:
        self.address: str = address
        # The peer's region, empty if it is not known.
        self.region: str = region
        self._features: frozenset[str] = frozenset(features.split(","))
        self.on_close: list[Callable[[], None]] = []
        self.is_open: bool = True
        self._socket = socket
        self._handler: Handler = handler
        self._reporter: Reporter = reporter
        # When the first call was sent after the last data was received.
        self._unanswered_since_s: float | None = None
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._queues: PeerQueues = queues or PeerQueues(sys.maxsize)
        self._tasks: set[asyncio.Task] = set()

    def supports(self, feature: Feature) -> bool:
        """Whether the peer understands a feature."""
        return feature.value in self._features

    def send(self, message: Message) -> None:
        """Queue a message that has no reply."""
        self._enqueue(encode_frame(0, message))

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a call and wait for its reply.

        On a timeout, the connection is closed if it has answered no call for
        SILENCE_TIMEOUT_S. One that is only slow or was idle stays open, since other
        calls wait for replies on it.
        """
        if self._unanswered_since_s is None:
            self._unanswered_since_s = asyncio.get_running_loop().time()
        number = next(self._call_numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = reply
        self._enqueue(encode_frame(number, message))
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as exc:
            if reply.done() and not reply.cancelled():
                # A busy loop handles a reply and the timeout in one round.
                return reply.result()
            if self._is_silent():
                self.close()
            raise PeerUnavailableError(
                "peer did not answer in time", sent=True
            ) from exc
        finally:
            self._pending_calls.pop(number, None)

    def _is_silent(self) -> bool:
        since_s = self._unanswered_since_s
        now_s = asyncio.get_running_loop().time()
        return since_s is not None and now_s - since_s > SILENCE_TIMEOUT_S

    def close(self) -> None:
        """Close the connection without waiting for the other side."""
        if self.is_open:
            self.is_open = False
            self._socket.transport.abort()

    async def run(self) -> None:
        """Read frames until the connection ends."""
        writer = asyncio.create_task(self._write())
        try:
            async for data in self._socket:
                self._handle_frame(data)
        except (ConnectionClosed, ValueError) as exc:
            self._reporter.report_lost("peer", str(exc)) if self.is_open else None
        finally:
            writer.cancel()
            self._clean_up()

    def _handle_frame(self, data: bytes) -> None:
        self._unanswered_since_s = None
        number, message = decode_frame(data)
        if number < 0:
            reply = self._pending_calls.get(-number)
            if reply is not None and not reply.done():
                reply.set_result(message)
            return
        task = asyncio.create_task(self._handle_message(number, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_message(self, number: int, message: Message) -> None:
        try:
            reply = await self._handler(self, message)
            if number > 0:
                frame = encode_frame(-number, reply or CallNotServed("no reply"))
                self._enqueue(frame)
        except Exception as exc:
            # No reply: the call may have had effects, so it is not said to be refused.
            self._reporter.write(
                Event.THREAD_FAILED, task="peer message", error=repr(exc)[:200]
            )

    def _enqueue(self, frame: bytes) -> None:
        if self.is_open:
            self._outgoing.put_nowait(frame)
            self._queues.add(self, len(frame))

    async def _write(self) -> None:
        with contextlib.suppress(ConnectionClosed):
            while True:
                frame = await self._outgoing.get()
                await self._socket.send(frame)
                self._queues.remove(self, len(frame))

    def _clean_up(self) -> None:
        self.is_open = False
        self._queues.forget(self)
        for task in self._tasks:
            task.cancel()
        for reply in self._pending_calls.values():
            if not reply.done():
                reply.set_exception(
                    PeerUnavailableError("peer's connection ended", sent=True)
                )
        for callback in self.on_close:
            callback()


class Peers:
    """All peer connections of a daemon: accepted ones, and those opened on demand."""

    def __init__(
        self,
        handler: Handler,
        reporter: Reporter,
        region: str = "",
        queues: PeerQueues | None = None,
    ) -> None:
        # The region of this daemon, empty if it is not known.
        self.region: str = region
        self._queues: PeerQueues = queues or PeerQueues(sys.maxsize)
        self._handler: Handler = handler
        self._reporter: Reporter = reporter
        self._connections: dict[str, PeerConnection] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}
        self._reconnect_after_s: dict[str, float] = {}
        self._address: str = ""
        self._accepted: set[PeerConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server = None

    @property
    def accepted_count(self) -> int:
        """The number of open connections that peers made to this daemon."""
        return len(self._accepted)

    def accepted_addresses(self) -> list[str]:
        """Return where the daemons that are connected to this one listen."""
        return sorted({c.address for c in self._accepted if c.address})

    async def start(self, host: str, port: int) -> int:
        """Listen for peers; return the port."""
        self._server = await serve(
            self._accept,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            process_response=self._add_features,
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{bound_port}"
        return bound_port

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in (*self._connections.values(), *self._accepted):
            connection.close()
        for task in self._tasks:
            task.cancel()

    def find_connection(self, address: str) -> PeerConnection | None:
        """Return the connection to a peer if it is open, else None."""
        connection = self._connections.get(address)
        return connection if connection is not None and connection.is_open else None

    async def connect(self, address: str) -> PeerConnection:
        """Return the connection to a peer, opening it if necessary."""
        lock = self._connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self.find_connection(address)
            if connection is not None:
                return connection
            now_s = asyncio.get_running_loop().time()
            if now_s < self._reconnect_after_s.get(address, 0.0):
                raise PeerUnavailableError(f"{address} failed a moment ago")
            return await self._connect(address)

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Call a peer and return its reply."""
        connection = await self.connect(address)
        try:
            return await connection.call(message, timeout_s)
        except PeerUnavailableError:
            self._delay_reconnect(address)
            raise

    def _delay_reconnect(self, address: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._reconnect_after_s[address] = now_s + RECONNECT_DELAY_S

    async def _connect(self, address: str) -> PeerConnection:
        try:
            socket = await connect(
                f"ws://{address}/",
                compression=None,
                ping_interval=None,
                open_timeout=CONNECT_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                proxy=None,
                additional_headers={
                    FEATURES_HEADER: OWN_FEATURES,
                    ADDRESS_HEADER: self._address,
                    **self._region_headers(),
                },
            )
        except (OSError, TimeoutError, WebSocketException) as exc:
            self._delay_reconnect(address)
            self._reporter.report_lost("peer", str(exc), address=address)
            refused = isinstance(exc, ConnectionRefusedError)
            raise PeerUnavailableError(str(exc), refused=refused) from exc
        self._reporter.report_recovered("peer", address=address)
        connection = PeerConnection(
            socket,
            self._handler,
            self._reporter,
            socket.response.headers.get(FEATURES_HEADER, ""),
            address,
            unquote(socket.response.headers.get(REGION_HEADER, "")),
            self._queues,
        )
        self._connections[address] = connection
        task = asyncio.create_task(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    async def _accept(self, socket) -> None:
        connection = PeerConnection(
            socket,
            self._handler,
            self._reporter,
            socket.request.headers.get(FEATURES_HEADER, ""),
            socket.request.headers.get(ADDRESS_HEADER, ""),
            unquote(socket.request.headers.get(REGION_HEADER, "")),
            self._queues,
        )
        self._accepted.add(connection)
        try:
            await connection.run()
        finally:
            self._accepted.discard(connection)

    def _region_headers(self) -> dict[str, str]:
        return {REGION_HEADER: quote(self.region)} if self.region else {}

    def _add_features(self, _connection, _request, response):
        """Tell a peer that connects which features this daemon has, and its region."""
        response.headers[FEATURES_HEADER] = OWN_FEATURES
        for name, value in self._region_headers().items():
            response.headers[name] = value
        return response
