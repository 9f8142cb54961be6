"""Clients that read nothing or send without end: the memory that a daemon needs."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path

from parameterized import parameterized

from apricotquay.serving.fleet.keyedlog import LogError
from apricotquay.serving.http.http1 import HttpError, HttpRequest
from apricotquay.serving.http.httpclient import open_client
from standins.addresses import ADMIN_PORT, Address
from standins.crowd import Crowd, Payload
from standins.platform import make_configuration, write_configuration
from standins.processes import PlatformProcesses

from .base import ApricotTest

CONNECTIONS = 60
MAX_GROWTH_MB = 64
# Descriptors that the settings below leave beside those for files.
MAX_DESCRIPTORS = 200
LIMITS = {"memory_mb": 160, "max_fds": 400, "write_stall_ms": 1_500}
MAX_BODY_BYTES = 4 * 1024 * 1024
LOAD_S = 8.0
TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 15.0
STEP_S = 0.001
# Larger than what the kernel keeps of a stream for its reader.
EVENT_BYTES, EVENT_COUNT = 16_384, 500
READ_PAUSE_S = 0.25
BYTES_BETWEEN_PAUSES = 512 * 1024
READINESS, CALLERS = "readiness", "callers"


def request(method: str, path: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nKey: k1\r\nAttempt-Id: c\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def pipelined(data: bytes) -> Payload:
    """Repeat a request without end and without a pause."""
    chunk = data * max(1, 65_536 // len(data))

    def payload() -> Iterator[tuple[bytes, float]]:
        while True:
            yield chunk, 0.0

    return payload


def endless_headers() -> Iterator[tuple[bytes, float]]:
    """Send a header section that never ends."""
    yield b"GET /s/1 HTTP/1.1\r\n", 0.0
    while True:
        yield b"X-Filler: " + b"y" * 100 + b"\r\n", 0.0


def slow_body() -> Iterator[tuple[bytes, float]]:
    """Send a body near the limit in small parts, then the next one."""
    while True:
        size = MAX_BODY_BYTES - 1
        yield request("POST", "/s/1", b"x" * size)[:-size], 0.0
        for start in range(0, size, 65_536):
            yield b"x" * min(65_536, size - start), 0.08


def unread_stream() -> Iterator[tuple[bytes, float]]:
    """Ask for one long stream."""
    yield request("POST", "/s/1", b"events=100000&bytes=16384"), 0.0


def idle() -> Iterator[tuple[bytes, float]]:
    """Send nothing."""
    yield b"", 0.0


class DaemonProcess:
    """A daemon with a store and a model server, and what the system says of it."""

    def __init__(self) -> None:
        self._processes = PlatformProcesses(1, 1, STEP_S, limits=LIMITS)
        host = self._processes.caller_addresses[0].host
        self.addresses = {
            CALLERS: self._processes.caller_addresses[0],
            READINESS: Address(host, ADMIN_PORT),
        }

    async def start(self) -> None:
        """Start all processes and wait until the daemon serves."""
        self._processes.start_store()
        configuration = make_configuration(1, {"small": ["k1"]})
        await self._retry(
            lambda: write_configuration(self._processes.store_address, configuration)
        )
        self._processes.start()
        await self.wait_until_served()

    def close(self) -> None:
        """End all processes."""
        self._processes.close()

    def is_alive(self) -> bool:
        """Whether the process that was started still runs."""
        return self._processes.daemons[0].is_running

    def resident_mb(self, field: str = "VmRSS") -> float:
        """Return the resident memory; `VmHWM` is its highest value so far."""
        status = self._proc_path("status").read_text()
        (line,) = (x for x in status.splitlines() if x.startswith(field + ":"))
        return int(line.split()[1]) / 1024

    def descriptor_count(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(self._proc_path("fd")))

    async def answers(self, where: str) -> int:
        """Send an ordinary request; return the status, raise if none comes."""
        address = self.addresses[where]
        connection = await open_client(address.host, address.port, 5.0)
        fields = [(b"host", b"a.example"), (b"key", b"k1"), (b"attempt-id", b"o")]
        ordinary = HttpRequest("POST", "/s/1", fields, b"events=3")
        if where == READINESS:
            ordinary = HttpRequest("GET", "/-/readyz", fields, b"")
        try:
            connection.send(ordinary)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return (await connection.read_response()).status
        finally:
            connection.close()

    async def wait_until_served(self) -> None:
        """Wait until ordinary requests succeed at both ports."""
        for where in (READINESS, CALLERS):
            await self._retry(lambda where=where: self._succeeds(where))

    async def _succeeds(self, where: str) -> None:
        status = await self.answers(where)
        if status != 200:
            raise HttpError(f"status {status}")

    async def _retry(self, call) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    await call()
                    return
                except (HttpError, LogError, TimeoutError):
                    # Processes that start refuse connections.
                    await asyncio.sleep(0.1)

    def _proc_path(self, name: str) -> Path:
        return Path(f"/proc/{self._processes.daemons[0].pid}/{name}")


class UnreadTest(ApricotTest):
    """One daemon process and its hostile clients."""

    def run_scenario(self, scenario) -> None:
        """Run a scenario with new processes."""

        async def run() -> None:
            daemon = DaemonProcess()
            try:
                await daemon.start()
                await scenario(daemon)
            finally:
                daemon.close()

        asyncio.run(run())

    @parameterized.expand(
        [
            ("no route", CALLERS, pipelined(request("GET", "/zz/1"))),
            ("readiness", READINESS, pipelined(request("GET", "/-/readyz"))),
            ("stream", CALLERS, pipelined(request("POST", "/s/1", b"events=5"))),
            (
                "no route with bodies",
                CALLERS,
                pipelined(request("POST", "/zz/1", b"x" * 2_000)),
            ),
            (
                "readiness with bodies",
                READINESS,
                pipelined(request("POST", "/-/readyz", b"x" * 2_000)),
            ),
            (
                "stream with bodies",
                CALLERS,
                pipelined(request("POST", "/s/1", b"events=5&x=" + b"x" * 20_000)),
            ),
            ("endless headers", CALLERS, endless_headers),
            ("endless headers at readiness", READINESS, endless_headers),
            ("slow large bodies", CALLERS, slow_body),
            ("streams that are not read", CALLERS, unread_stream),
        ]
    )
    def test_memory_stays_bounded(self, _name, where, payload):
        """A daemon that buffers all that such clients send runs out of memory."""

        async def scenario(daemon):
            before_mb = daemon.resident_mb()
            crowd = Crowd(daemon.addresses[where], CONNECTIONS, payload)
            crowd.start()
            try:
                await asyncio.sleep(LOAD_S)
                self.assertGreater(crowd.sent_bytes, 0)
                for port in (CALLERS, READINESS):
                    self.assertIn(await daemon.answers(port), (200, 429, 503))
                descriptors = daemon.descriptor_count()
            finally:
                await crowd.close()
            self.assertTrue(daemon.is_alive())
            growth_mb = daemon.resident_mb("VmHWM") - before_mb
            self.assertLess(growth_mb, MAX_GROWTH_MB)
            self.assertLess(descriptors, MAX_DESCRIPTORS)
            await daemon.wait_until_served()

        self.run_scenario(scenario)

    @parameterized.expand([("callers", CALLERS), ("readiness", READINESS)])
    def test_connections_leave_descriptors_for_the_platform(self, _name, where):
        """Otherwise neither store nor peers can be reached, nor readiness be asked."""

        async def scenario(daemon):
            crowd = Crowd(daemon.addresses[where], 5 * CONNECTIONS, idle)
            crowd.start()
            try:
                await asyncio.sleep(LOAD_S / 4)
                self.assertLess(daemon.descriptor_count(), MAX_DESCRIPTORS)
                self.assertEqual(200, await daemon.answers(READINESS))
            finally:
                await crowd.close()
            self.assertTrue(daemon.is_alive())
            await daemon.wait_until_served()

        self.run_scenario(scenario)

    @parameterized.expand(
        [
            ("pipelined requests", pipelined(request("GET", "/zz/1"))),
            ("streams", unread_stream),
        ]
    )
    def test_clients_that_read_nothing_lose_their_connections(self, _name, payload):
        """Their descriptors would be held for as long as they like."""

        async def scenario(daemon):
            before = daemon.descriptor_count()
            address = daemon.addresses[CALLERS]
            crowd = Crowd(address, CONNECTIONS, payload, reconnects=False)
            crowd.start()
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    while daemon.descriptor_count() < before + CONNECTIONS // 2:
                        await asyncio.sleep(0.1)
                    while daemon.descriptor_count() > before + CONNECTIONS // 4:
                        await asyncio.sleep(0.1)
            finally:
                await crowd.close()

        self.run_scenario(scenario)

    def test_slow_reader_gets_its_whole_stream(self):
        """A client that pauses is not taken for one that reads nothing."""

        async def scenario(daemon):
            body = f"events={EVENT_COUNT}&bytes={EVENT_BYTES}".encode()
            received = await read_slowly(
                daemon.addresses[CALLERS], request("POST", "/s/1", body)
            )
            self.assertEqual(EVENT_COUNT, received.count(b"\ndata: "))
            self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"))

        self.run_scenario(scenario)


async def read_slowly(address: Address, data: bytes) -> bytes:
    """Send a request and return what arrives until its last chunk."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    read_bytes = 0
    with contextlib.closing(socket.socket()) as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, (address.host, address.port))
        await loop.sock_sendall(sock, data)
        while not received.endswith(b"\r\n0\r\n\r\n"):
            part = await loop.sock_recv(sock, 65_536)
            if not part:
                break
            received += part
            read_bytes += len(part)
            if read_bytes >= BYTES_BETWEEN_PAUSES:
                read_bytes = 0
                await asyncio.sleep(READ_PAUSE_S)
    return bytes(received)
