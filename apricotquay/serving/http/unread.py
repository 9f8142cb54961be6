"""Closes connections whose clients do not read what is written to them.

Load: clients that send requests and read no response. `UnreadResponses` decides and is
pure; `UnreadWatch` looks at the connections once a second while any has to wait.
"""

import asyncio
import contextlib
import enum
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import msgspec

MAX_SWEEP_INTERVAL_S = 1.0
SWEEPS_PER_STALL = 4

C = TypeVar("C")


class CloseReason(enum.Enum):
    """Why a connection is closed whose client does not read."""

    STALLED = "no byte accepted in time"
    NO_MEMORY = "too much waits for all clients"


class UnsentData(msgspec.Struct):
    """What waits on a connection, and since when no byte of it was accepted."""

    unsent_bytes: int
    progressed_s: float


class UnreadResponses(Generic[C]):
    """The connections on which data waits. Pure."""

    def __init__(self, stall_s: float, limit_bytes: int) -> None:
        self.stall_s: float = stall_s
        self._limit_bytes: int = limit_bytes
        self._waiting: dict[C, UnsentData] = {}

    @property
    def connections(self) -> list[C]:
        """The connections on which data waits."""
        return list(self._waiting)

    @property
    def unsent_bytes(self) -> int:
        """What waits on all connections."""
        return sum(data.unsent_bytes for data in self._waiting.values())

    def begin(self, connection: C, unsent_bytes: int, now_s: float) -> None:
        """Data waits on a connection from now on."""
        self._waiting[connection] = UnsentData(unsent_bytes, now_s)

    def end(self, connection: C) -> None:
        """The data was accepted, or its connection has ended."""
        self._waiting.pop(connection, None)

    def record(self, connection: C, unsent_bytes: int, now_s: float) -> None:
        """Record what waits now; less than before means that the client reads."""
        data = self._waiting[connection]
        if unsent_bytes < data.unsent_bytes:
            data.progressed_s = now_s
        data.unsent_bytes = unsent_bytes

    def find_closable(self, now_s: float) -> Iterator[tuple[C, CloseReason]]:
        """Yield the connections to close; the longest without progress come first."""
        unsent_bytes = self.unsent_bytes
        by_progress = sorted(self._waiting.items(), key=lambda c: c[1].progressed_s)
        for connection, data in by_progress:
            if now_s - data.progressed_s >= self.stall_s:
                yield connection, CloseReason.STALLED
            elif unsent_bytes > self._limit_bytes:
                yield connection, CloseReason.NO_MEMORY
            else:
                return
            unsent_bytes -= data.unsent_bytes


class UnreadWatch:
    """Waits for clients to read, and closes the connections of those that don't.

    One per daemon, used by the connections of its `HttpServer`s. `on_closed` gets why
    a connection was closed and how much of its data was lost.
    """

    def __init__(
        self,
        responses: UnreadResponses[asyncio.WriteTransport],
        on_closed: Callable[[CloseReason, int], None] = lambda reason, size: None,
    ) -> None:
        self._responses: UnreadResponses[asyncio.WriteTransport] = responses
        self._on_closed = on_closed
        self._interval_s: float = min(
            MAX_SWEEP_INTERVAL_S, responses.stall_s / SWEEPS_PER_STALL
        )
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """What waits for clients to read."""
        return self._responses.unsent_bytes

    async def drain(self, writer: asyncio.StreamWriter) -> None:
        """Wait until more may be written; raises OSError if the connection ends."""
        if not writer.transport.get_write_buffer_size():
            await writer.drain()
            return
        with self._watching(writer.transport):
            await writer.drain()
        if writer.is_closing():
            raise ConnectionAbortedError("closed, as its client does not read")

    async def wait_closed(self, writer: asyncio.StreamWriter) -> None:
        """Wait until the data left on a connection that was closed is accepted."""
        if not writer.transport.get_write_buffer_size():
            return
        with self._watching(writer.transport), contextlib.suppress(OSError):
            await writer.wait_closed()

    @contextlib.contextmanager
    def _watching(self, transport: asyncio.WriteTransport) -> Iterator[None]:
        now_s = asyncio.get_running_loop().time()
        self._responses.begin(transport, transport.get_write_buffer_size(), now_s)
        self._close_unread(now_s)
        if self._timer is None:
            self._start_timer()
        try:
            yield
        finally:
            self._responses.end(transport)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._interval_s, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        for transport in self._responses.connections:
            size = transport.get_write_buffer_size()
            self._responses.record(transport, size, now_s)
        self._close_unread(now_s)
        if self._responses.connections:
            self._start_timer()

    def _close_unread(self, now_s: float) -> None:
        for transport, reason in list(self._responses.find_closable(now_s)):
            self._responses.end(transport)
            self._on_closed(reason, transport.get_write_buffer_size())
            transport.abort()
