"""Clients that send without end and read none of the responses.

Used by the tests of the daemon's memory. Connections are opened again when the daemon
closes them, as such clients do.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

from .addresses import Address

RECONNECT_DELAY_S = 0.1
# Small, so that unread responses soon wait in the daemon and not in the kernel.
RECEIVE_BUFFER_BYTES = 4_096

# Yields what one connection sends, each part with the pause after it in seconds.
Payload = Callable[[], Iterator[tuple[bytes, float]]]


class Crowd:
    """So many connections to one address, each with its own payload."""

    def __init__(
        self, address: Address, count: int, payload: Payload, reconnects: bool = True
    ) -> None:
        self.sent_bytes: int = 0
        self._address: Address = address
        self._payload: Payload = payload
        self._reconnects: bool = reconnects
        self._count: int = count
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Open the connections and send."""
        self._tasks = [asyncio.create_task(self._send()) for _ in range(self._count)]

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    async def _send(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._send_once()
            if not self._reconnects:
                return
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _send_once(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            await loop.sock_connect(sock, (self._address.host, self._address.port))
            for data, pause_s in self._payload():
                await loop.sock_sendall(sock, data)
                self.sent_bytes += len(data)
                await asyncio.sleep(pause_s)
            await asyncio.Event().wait()
