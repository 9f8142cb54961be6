"""Streams that buffer little, for servers.

asyncio's own streams take up to 256 KiB at a time from a socket and keep 384 KiB. A
connection here keeps at most `MAX_READ_AHEAD_BYTES`; what follows waits in the socket.
"""

import asyncio
import socket
from collections.abc import Callable, Coroutine

from .http1 import READ_BYTES

# A stream is read on while it holds no more than twice this, which is 64 KiB.
READER_LIMIT_BYTES = 32 * 1024
# Taken from the socket at a time at least.
MIN_RECEIVE_BYTES = 16 * 1024
MAX_READ_AHEAD_BYTES = 2 * READER_LIMIT_BYTES + MIN_RECEIVE_BYTES

# What the kernel takes of a response beyond what it may send at the moment. By default
# it is megabytes, which take memory, and a client that reads nothing is noticed late.
UNSENT_BYTES = 64 * 1024

Accept = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None] | None
]


class BoundedReader(asyncio.StreamReader):
    """A stream that counts what it holds. It is read by `read` only."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(limit=READER_LIMIT_BYTES, loop=loop)
        self.held_bytes: int = 0

    def feed_data(self, data: bytes | bytearray) -> None:
        """Add what was received."""
        self.held_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return what has been received, at most `n` bytes."""
        data = await super().read(n)
        self.held_bytes -= len(data)
        return data


class BoundedReaderProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream in small parts, and tells when the other side has closed it.

    `ended` is set when the other side ends the connection. While a full stream is not
    read, that is noticed late.
    """

    def __init__(self, reader: BoundedReader, accept: Accept | None = None) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(reader, accept, loop=loop)
        self.ended: asyncio.Future[None] = loop.create_future()
        self._reader: BoundedReader = reader
        self._received: bytearray = bytearray()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the transport puts the next bytes."""
        room_bytes = MAX_READ_AHEAD_BYTES - self._reader.held_bytes
        self._received = bytearray(min(READ_BYTES, room_bytes))
        return self._received

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes on to the stream."""
        del self._received[nbytes:]
        self.data_received(self._received)
        self._received = bytearray()

    def eof_received(self) -> bool | None:
        """The other side sends no more."""
        self._end()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed or broken."""
        self._end()
        super().connection_lost(exc)

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


async def start_server(
    accept: Accept, host: str, port: int, backlog: int
) -> asyncio.Server:
    """Listen, as `asyncio.start_server` does; `accept` may return None to refuse."""

    def create_protocol() -> BoundedReaderProtocol:
        return BoundedReaderProtocol(BoundedReader(), accept)

    loop = asyncio.get_running_loop()
    server = await loop.create_server(create_protocol, host, port, backlog=backlog)
    for listener in server.sockets:
        # Accepted sockets inherit it.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
    return server
