"""Calls between threaded daemons: one websocket per pair, with concurrent calls."""

import itertools
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, TimeoutError

from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect
from websockets.sync.server import Server, ServerConnection, serve

from .errors import PeerUnavailableError
from .ids import MemberId
from .messages import (
    ErrorReply,
    Message,
    PullItems,
    QueryResults,
    ReportItems,
    decode_frame,
    encode_frame,
)

MAX_FRAME_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
SLOW_CALL_THREADS = 8
# Calls that may read the log, so they must not block the other calls behind them.
SLOW_CALLS = (QueryResults, PullItems, ReportItems)

Handler = Callable[[Message], Message]
Address = tuple[str, int]


class TrafficCounter:
    """Counts frames and bytes between daemons in both directions, for status pages."""

    def __init__(self) -> None:
        self.frames: int = 0
        self.bytes: int = 0

    def add(self, size: int) -> None:
        """Count a frame; approximate, since no lock is taken."""
        self.frames += 1
        self.bytes += size


class PeerServer:
    """Handles the calls of other daemons. Owned by the daemon."""

    def __init__(
        self, host: str, port: int, handler: Handler, traffic: TrafficCounter
    ) -> None:
        self.port: int = port
        self._host: str = host
        self._handler: Handler = handler
        self._traffic: TrafficCounter = traffic
        self._server: Server | None = None
        self._thread: threading.Thread | None = None
        self._slow_calls = ThreadPoolExecutor(SLOW_CALL_THREADS, "peer-slow")

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server = serve(
            self._serve_connection,
            self._host,
            self.port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
        )
        self.port = self._server.socket.getsockname()[1]
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peer-server", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.shutdown()
        self._slow_calls.shutdown(wait=False, cancel_futures=True)

    def _serve_connection(self, connection: ServerConnection) -> None:
        lock = threading.Lock()
        try:
            for data in connection:
                self._serve_frame(connection, lock, data)
        except (WebSocketException, OSError, ValueError, RuntimeError):
            connection.close_socket()

    def _serve_frame(
        self, connection: ServerConnection, lock: threading.Lock, data: bytes
    ) -> None:
        self._traffic.add(len(data))
        number, message = decode_frame(data)
        if isinstance(message, SLOW_CALLS):
            self._slow_calls.submit(
                self._handle_call, connection, lock, number, message
            )
        else:
            self._handle_call(connection, lock, number, message)

    def _handle_call(
        self,
        connection: ServerConnection,
        lock: threading.Lock,
        number: int,
        message: Message,
    ) -> None:
        try:
            reply = self._handler(message)
        except Exception as exc:
            # An error in one call must not close the connection that others share.
            reply = ErrorReply(f"{type(exc).__name__}: {exc}")
        frame = encode_frame(number, reply)
        self._traffic.add(len(frame))
        try:
            with lock:
                connection.send(frame)
        except (WebSocketException, OSError):
            connection.close_socket()


class PeerConnection:
    """The connection for calls to one peer. Created by `PeerPool` at the first call."""

    def __init__(
        self, address: Address, source_host: str, traffic: TrafficCounter
    ) -> None:
        self.address: Address = address
        self._traffic: TrafficCounter = traffic
        self._source_host: str = source_host
        self._connection: ClientConnection | None = None
        self._lock = threading.Lock()
        self._send_lock = threading.Lock()
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, Future] = {}

    def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply."""
        connection = self._connected(timeout_s)
        number = next(self._call_numbers)
        future: Future = Future()
        self._pending_calls[number] = future
        frame = encode_frame(number, message)
        self._traffic.add(len(frame))
        try:
            with self._send_lock:
                connection.send(frame)
            reply = future.result(timeout_s)
        except TimeoutError:
            raise PeerUnavailableError(f"{self.address}: no answer") from None
        except (WebSocketException, OSError) as exc:
            self._disconnect(connection)
            raise PeerUnavailableError(f"{self.address}: {exc}") from exc
        finally:
            self._pending_calls.pop(number, None)
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(f"{self.address}: {reply.message}")
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._disconnect(self._connection)

    def _connected(self, timeout_s: float) -> ClientConnection:
        with self._lock:
            if self._connection is None:
                self._connection = self._connect(timeout_s)
                threading.Thread(
                    target=self._read_replies,
                    args=(self._connection,),
                    name="peer-reader",
                    daemon=True,
                ).start()
            return self._connection

    def _connect(self, timeout_s: float) -> ClientConnection:
        connect_timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
        host, port = self.address
        try:
            sock = socket.create_connection(
                self.address, connect_timeout_s, source_address=(self._source_host, 0)
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return connect(
                f"ws://{host}:{port}/",
                sock=sock,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=connect_timeout_s,
                ping_interval=None,
                proxy=None,
            )
        except ConnectionRefusedError as exc:
            message = f"{self.address}: connection refused"
            raise PeerUnavailableError(message, refused=True) from exc
        except (OSError, WebSocketException, TimeoutError, EOFError) as exc:
            raise PeerUnavailableError(f"{self.address}: {exc}") from exc

    def _read_replies(self, connection: ClientConnection) -> None:
        try:
            for data in connection:
                self._traffic.add(len(data))
                number, message = decode_frame(data)
                future = self._pending_calls.get(number)
                if future is not None:
                    future.set_result(message)
        except (WebSocketException, OSError, ValueError):
            pass
        self._disconnect(connection)

    def _disconnect(self, connection: ClientConnection) -> None:
        with self._lock:
            if self._connection is connection:
                self._connection = None
        connection.close_socket()
        for future in list(self._pending_calls.values()):
            if not future.done():
                future.set_exception(OSError("connection lost"))


class PeerPool:
    """Calls other daemons by member id. Shared by all parts of the daemon."""

    def __init__(self, source_host: str, traffic: TrafficCounter) -> None:
        self._source_host: str = source_host
        self._traffic: TrafficCounter = traffic
        self._addresses: dict[MemberId, Address] = {}
        self._connections: dict[MemberId, PeerConnection] = {}
        self._lock = threading.Lock()

    def set_addresses(self, addresses: dict[MemberId, Address]) -> None:
        """Set the members' addresses from the VM list; close outdated connections."""
        with self._lock:
            self._addresses = addresses
            for member, connection in list(self._connections.items()):
                if addresses.get(member) != connection.address:
                    del self._connections[member]
                    connection.close()

    def call(self, member: MemberId, message: Message, timeout_s: float) -> Message:
        """Call a member; raise PeerUnavailableError if it does not answer."""
        with self._lock:
            address = self._addresses.get(member)
            if address is None:
                raise PeerUnavailableError(f"{member}: not in the VM list")
            connection = self._connections.get(member)
            if connection is None:
                connection = PeerConnection(address, self._source_host, self._traffic)
                self._connections[member] = connection
        return connection.call(message, timeout_s)

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            connections = list(self._connections.values())
            self._connections.clear()
        for connection in connections:
            connection.close()
