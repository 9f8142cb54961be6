"""Fault-injecting TCP proxy: one listener per target, faults per pair of hosts.

Daemons connect from their own address, so a fault can be set between any two hosts.
"""

import asyncio
import socket
import struct
import threading

from .addresses import Address

CHUNK_BYTES = 64 * 1024
LINGER_RESET = struct.pack("ii", 1, 0)
BLOCKED_POLL_INTERVAL_S = 0.02


class Fault:
    """Faults on the connections from one source host to one target."""

    def __init__(self) -> None:
        self.requests_blocked: bool = False
        self.responses_blocked: bool = False
        self.delay_s: float = 0.0


class FaultProxy:
    """Runs the listeners of all targets in one background thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._servers: dict[str, asyncio.Server] = {}
        self._faults: dict[tuple[str, str], Fault] = {}
        self._targets: dict[str, Address] = {}
        self._open_writers: dict[str, set[asyncio.StreamWriter]] = {}

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop all listeners."""
        for name in list(self._servers):
            self.close_listener(name)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=5)

    def open_listener(self, name: str, listen: Address, target: Address) -> None:
        """Listen on an address and forward connections to a target."""
        self._targets[name] = target

        async def serve() -> None:
            self._servers[name] = await asyncio.start_server(
                lambda r, w: self._relay(name, r, w), listen.host, listen.port
            )

        asyncio.run_coroutine_threadsafe(serve(), self._loop).result(10)

    def close_listener(self, name: str) -> None:
        """Stop listening; connections are refused, as after the end of a process."""
        server = self._servers.pop(name, None)
        if server is not None:
            self._loop.call_soon_threadsafe(server.close)

    def get_fault(self, source_host: str, name: str) -> Fault:
        """Return the faults between a source host and a target; callers set them."""
        return self._faults.setdefault((source_host, name), Fault())

    def blackhole_connections(self, name: str) -> None:
        """Block open connections to a target permanently; new ones are unaffected."""
        for pair in [p for p in self._faults if p[1] == name]:
            fault = self._faults.pop(pair)
            fault.requests_blocked = True
            fault.responses_blocked = True

    def reset_connections(self, name: str) -> None:
        """Reset the open connections to a target."""

        def reset_all() -> None:
            for writer in self._open_writers.pop(name, set()):
                self._reset_connection(writer)

        self._loop.call_soon_threadsafe(reset_all)

    def clear_faults(self) -> None:
        """Clear all faults."""
        for fault in self._faults.values():
            fault.requests_blocked = False
            fault.responses_blocked = False
            fault.delay_s = 0.0

    async def _relay(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source_host = writer.get_extra_info("peername")[0]
        fault = self.get_fault(source_host, name)
        target = self._targets[name]
        try:
            target_reader, target_writer = await asyncio.open_connection(
                target.host, target.port, local_addr=(source_host, 0)
            )
        except OSError:
            self._reset_connection(writer)
            return
        writers = self._open_writers.setdefault(name, set())
        writers.update((writer, target_writer))
        await asyncio.gather(
            self._forward(reader, target_writer, lambda: fault.requests_blocked, fault),
            self._forward(
                target_reader, writer, lambda: fault.responses_blocked, fault
            ),
        )
        writers.difference_update((writer, target_writer))

    async def _forward(self, reader, writer, is_blocked, fault: Fault) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while is_blocked():
                    # Data is held back as in a network partition, and delivered if
                    # the partition ends before the connection closes.
                    await asyncio.sleep(BLOCKED_POLL_INTERVAL_S)
                if fault.delay_s:
                    await asyncio.sleep(fault.delay_s)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, ConnectionError):
            self._reset_connection(writer)

    @staticmethod
    def _reset_connection(writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
