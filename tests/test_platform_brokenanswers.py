"""Answers that break off at each place, beneath a whole fleet: no caller gets a part of
one as a complete answer, or a status that is none.
"""

import asyncio
import itertools
import socket
import struct

from parameterized import parameterized

from apricotquay.serving.http.http1 import HttpError, HttpRequest, is_success
from apricotquay.serving.http.httpclient import open_client

from .test_platform_faultyanswers import (
    CHUNKED,
    RawServer,
    chunk,
    event,
    head_of,
)
from .test_platform_fleet import PlatformTest

TIMEOUT_S = 20.0
SERVERS = 3
# More than the buffers of sockets take, so that the upload is still being written.
UPLOAD_BYTES = 3 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 4_096
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PART = b"a part of the body\n" * 50


class EarlyServer(RawServer):
    """Answers before it has read the request's body, and breaks the connection off."""

    async def start(self, fleet) -> None:
        """Listen with small buffers."""
        await super().start(fleet)
        for listener in self._server.sockets:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )

    async def read_body(self, reader, size: int) -> None:
        """Leave the body unread."""


def reset(writer) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    writer.transport.abort()


def close(writer) -> None:
    """Close a connection; it is reset if something was not read."""
    writer.close()


def end_then_reset(writer) -> None:
    """End what is sent, then reset the connection while the caller still writes."""
    writer.write_eof()
    asyncio.get_running_loop().call_later(0.05, reset, writer)


ENDS = {"reset": reset, "close": close, "end, then reset": end_then_reset}
PATHS = ("u", "s")


class BrokenAnswerTest(PlatformTest):
    """All servers answer in the same way."""

    async def read_answer(self, fleet, path: str, body: bytes) -> tuple[int, bytes]:
        """Return the status and body of an answer that a caller takes for complete; the
        status 0 if it takes it for broken off.
        """
        address = fleet.daemons[0].settings.callers
        connection = await open_client(address.host, address.port, TIMEOUT_S)
        headers = [(b"host", b"a.example"), (b"key", b"k1"), (b"attempt-id", b"a")]
        try:
            connection.send(HttpRequest("POST", f"/{path}/1", headers, body))
            async with asyncio.timeout(TIMEOUT_S):
                response = await connection.read_response()
        except HttpError:
            return 0, b""
        finally:
            connection.close()
        return response.status, response.body

    def assert_no_success(self, path: str, body: bytes, answer, server_type) -> None:
        """Check that no caller takes what all servers send for a complete success."""

        async def scenario(fleet):
            servers = [server_type(f"i-raw{n}", answer) for n in range(SERVERS)]
            for server in servers:
                await server.start(fleet)
            status, received = await self.read_answer(fleet, path, body)
            self.assertGreater(sum(len(s.requests) for s in servers), 0)
            self.assertIn(status, (0, 502, 503, 504), received)

        self.run_scenario(scenario, daemons=1, servers=0)

    # Guards against a part of an early answer that counts as complete (MIXED).
    @parameterized.expand(
        [
            (f"{path}, {end}, {sent} bytes", path, end, sent)
            for path in PATHS
            for end in ENDS
            for sent in (0, len(PART), 64 * len(PART))
        ]
    )
    def test_answer_without_length_that_is_reset_during_the_upload_is_not_complete(
        self, _name, path, end, sent
    ):
        async def answer(server, headers, writer):
            await server.send(writer, head_of(headers) + b"\r\n" + sized(path, sent))
            ENDS[end](writer)

        self.assert_no_success(path, b"x" * UPLOAD_BYTES, answer, EarlyServer)

    # Guards against a status that is none and reaches the caller (MIXED).
    @parameterized.expand(
        [
            (f"{path}, {status}", path, status)
            for path in PATHS
            for status in (
                "000 OK",
                "000",
                "099 OK",
                "00 OK",
                "0 OK",
                "20 OK",
                "2000 OK",
                "-200 OK",
                "+200 OK",
                "2e2 OK",
                "٢٠٠ OK",
                "200OK",
                " OK",
                "",
            )
        ]
    )
    def test_status_that_is_none_reaches_no_caller(self, _name, path, status):
        async def answer(server, headers, writer):
            head = head_of(headers, status.encode())
            await server.send(writer, head + CHUNKED + whole_stream() + b"0\r\n\r\n")

        self.assert_no_success(path, b"prompt", answer, RawServer)

    # Guards against a head that ends early and counts as that of a whole answer.
    @parameterized.expand(
        [
            (f"{path}, {end}, after {place}", path, end, place)
            for path in PATHS
            for end in ("reset", "close")
            for place in (
                "HTTP/1.1 200",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r",
                "HTTP/1.1 200 OK\r\n",
                "Attempt-Id",
                "Attempt-Id: a\r\n",
                "Response-Stamp: s",
                "Response-Stamp: s.a\r\n",
                "Response-Stamp: s.a\r\nContent-Le",
                "Response-Stamp: s.a\r\nContent-Length: 0",
                "Response-Stamp: s.a\r\nContent-Length: 0\r\n",
                "Response-Stamp: s.a\r\nContent-Length: 0\r\n\r",
                "Response-Stamp: s.a\r\nTransfer-Encoding: chunked\r\n",
                "Response-Stamp: s.a\r\n\r",
            )
        ]
    )
    def test_head_that_ends_early_is_no_answer(self, _name, path, end, place):
        async def answer(server, headers, writer):
            full = head_of(headers | {"attempt-id": "a"})
            start = place.encode()
            if not start.startswith(b"HTTP"):
                start = full[: full.index(start.split(b": ")[0])] + start
            await server.send(writer, start)
            ENDS[end](writer)

        self.assert_no_success(path, b"prompt", answer, RawServer)

    # Guards against a stream whose later server breaks off in its head and ends it.
    @parameterized.expand([("reset",), ("close",)])
    def test_stream_whose_next_server_stops_in_its_head_is_not_complete(self, end):
        sends = itertools.count()

        async def answer(server, headers, writer):
            if next(sends) == 0:
                first = CHUNKED + chunk(event(0))
                await server.send(writer, head_of(headers) + first)
            else:
                await server.send(writer, head_of(headers))
            ENDS[end](writer)

        async def scenario(fleet):
            for number in range(SERVERS):
                await RawServer(f"i-raw{number}", answer).start(fleet)
            status, _ = await self.read_answer(fleet, "s", b"prompt")
            self.assertEqual(0, status)
            self.assertGreater(next(sends), 1)

        self.run_scenario(scenario, daemons=1, servers=0)

    # Guards against whole answers that are refused since they come before the upload.
    @parameterized.expand(
        [(path, is_closed) for path in PATHS for is_closed in (False, True)]
    )
    def test_early_answer_with_a_length_is_whole(self, path, is_closed):
        async def answer(server, headers, writer):
            body = sized(path, 1)
            framing = b"Content-Length: %d\r\n\r\n" % len(body)
            await server.send(writer, head_of(headers) + framing + body)
            if is_closed:
                writer.write_eof()
            await asyncio.sleep(TIMEOUT_S)

        async def scenario(fleet):
            for number in range(SERVERS):
                await EarlyServer(f"i-raw{number}", answer).start(fleet)
            status, body = await self.read_answer(fleet, path, b"x" * UPLOAD_BYTES)
            self.assertTrue(is_success(status), status)
            self.assertEqual(sized(path, 1), body)

        self.run_scenario(scenario, daemons=1, servers=0)


def whole_stream() -> bytes:
    """Return chunks of a whole stream."""
    return b"".join(chunk(event(n)) for n in range(6))


def sized(path: str, size: int) -> bytes:
    """Return the beginning of a body: whole events for a stream, else any bytes."""
    if not size:
        return b""
    count = max(1, size // len(event(0)))
    if path == "s":
        return b"".join(event(n) for n in range(min(count, 1_000)))
    return b"y" * size
