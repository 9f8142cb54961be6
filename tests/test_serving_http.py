"""Callers' connections: kept, idle, left, rejected and drained."""

import asyncio

from parameterized import parameterized

from apricotquay.serving.http1 import HttpRequest, HttpResponse
from apricotquay.serving.httpclient import open_client
from apricotquay.serving.httpserver import Exchange, HttpServer, ServerLimits

from .base import ApricotTest

HOST = "127.0.0.1"


class HttpServerTest(ApricotTest):
    """A server with a handler of the test."""

    def setUp(self):
        super().setUp()
        self.limits = ServerLimits(1_000, 100, 5.0, 5.0)
        self.seen: list[HttpRequest] = []
        self.cancelled = False
        self.release: asyncio.Event | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the body; a target /wait waits until it is let go."""
        self.seen.append(exchange.request)
        if exchange.request.target == "/wait":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled = True
                raise
        await exchange.respond(HttpResponse(200, [], exchange.request.body))

    def play(self, scenario) -> None:
        """Run a scenario with the server and its port."""

        async def run() -> None:
            self.release = asyncio.Event()
            server = HttpServer(self.handle, lambda: self.limits)
            port = await server.start(HOST, 0)
            try:
                async with asyncio.timeout(20):
                    await scenario(server, port)
            finally:
                await server.close()

        asyncio.run(run())

    async def raw(self, port: int, data: bytes) -> bytes:
        """Send bytes and return all that comes until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    def test_connection_is_kept_and_answers_stay_in_order(self):
        """Also for requests that come early."""

        async def scenario(_server, port):
            data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
            data += data.replace(b"\r\n\r\n1", b"\r\n\r\n2")
            data += b"GET /z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            answer = await self.raw(port, data)
            self.assertEqual(3, answer.count(b"HTTP/1.1 200"))
            self.assertLess(answer.index(b"\r\n\r\n1"), answer.index(b"\r\n\r\n2"))

        self.play(scenario)

    def test_body_may_come_in_chunks(self):
        """It is whole before the handler sees it."""

        async def scenario(_server, port):
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            chunks = b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            answer = await self.raw(port, head + chunks)
            self.assertTrue(answer.endswith(b"abc"))

        self.play(scenario)

    @parameterized.expand(
        [
            ("too long", b"Content-Length: 101\r\n\r\n" + b"x" * 101, b" 413 "),
            ("no HTTP", b"\x00nonsense\r\n\r\n", b" 400 "),
            (
                "two lengths",
                b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b" 400 ",
            ),
            ("long headers", b"X: " + b"y" * 2_000 + b"\r\n\r\n", b" 431 "),
        ]
    )
    def test_request_that_cannot_be_read_is_rejected(self, _name, rest, status):
        """And the connection ends."""

        async def scenario(_server, port):
            answer = await self.raw(
                port, b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + rest
            )
            self.assertIn(status, answer.split(b"\r\n")[0])

        self.play(scenario)

    def test_caller_that_leaves_cancels_its_handler(self):
        """At once."""

        async def scenario(_server, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.seen:
                await asyncio.sleep(0.01)
            writer.close()
            while not self.cancelled:
                await asyncio.sleep(0.01)

        self.play(scenario)

    def test_idle_limit_that_is_raised_holds_for_open_connections(self):
        """Callers learn of it as soon as it is in force."""

        async def scenario(_server, port):
            self.limits = ServerLimits(1_000, 100, 5.0, 0.2)
            reader, writer = await asyncio.open_connection(HOST, port)
            await asyncio.sleep(0.05)
            self.limits = ServerLimits(1_000, 100, 5.0, 5.0)
            await asyncio.sleep(0.4)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b"200", await reader.readline())
            writer.close()

        self.play(scenario)

    def test_draining_server_answers_and_then_closes(self):
        """What is under way and what comes on kept connections."""

        async def scenario(server, port):
            connection = await open_client(HOST, port, 1.0)
            connection.send(HttpRequest("GET", "/wait", [(b"host", b"h")], b""))
            while not self.seen:
                await asyncio.sleep(0.01)
            server.drain()
            self.release.set()
            answer = await connection.read_response()
            self.assertEqual(200, answer.status)
            self.assertFalse(connection.is_reusable)

        self.play(scenario)
