"""Bounds what waits to be written to peers. Pure.

Load: a peer that is frozen, or at the end of a link that is slow or lost, while calls,
relayed bodies and relayed responses go on being queued for it.
"""

from collections.abc import Callable
from typing import Protocol


class Closable(Protocol):
    """A connection to a peer, which fails its calls when it is closed."""

    address: str

    def close(self) -> None:
        """Close the connection at once."""


class PeerQueues:
    """The bytes that wait for each peer. One per daemon, used by `PeerConnection`.

    Beyond the limit, which holds for all peers together, the connection with the most
    bytes is closed; `on_closed` gets its address and how much waited.
    """

    def __init__(
        self,
        limit_bytes: int,
        on_closed: Callable[[str, int], None] = lambda address, size: None,
    ) -> None:
        self.queued_bytes: int = 0
        self._limit_bytes: int = limit_bytes
        self._on_closed = on_closed
        self._queued: dict[Closable, int] = {}

    def add(self, connection: Closable, size_bytes: int) -> None:
        """Bytes have been queued; close the connections that wait for too much."""
        self.queued_bytes += size_bytes
        self._queued[connection] = self._queued.get(connection, 0) + size_bytes
        while self.queued_bytes > self._limit_bytes:
            self._close(max(self._queued, key=self._queued.__getitem__))

    def remove(self, connection: Closable, size_bytes: int) -> None:
        """Bytes have been written."""
        if connection not in self._queued:
            return
        self.queued_bytes -= size_bytes
        self._queued[connection] -= size_bytes
        if not self._queued[connection]:
            del self._queued[connection]

    def forget(self, connection: Closable) -> None:
        """A connection has ended."""
        self.queued_bytes -= self._queued.pop(connection, 0)

    def _close(self, connection: Closable) -> None:
        self._on_closed(connection.address, self._queued[connection])
        self.forget(connection)
        connection.close()
