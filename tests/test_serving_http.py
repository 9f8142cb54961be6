"""HTTP connections: keep-alive, timeouts, disconnects, errors, draining."""

import asyncio

from parameterized import parameterized

from apricotquay.serving.http import httpserver as httpserver_module
from apricotquay.serving.http.http1 import HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import open_client
from apricotquay.serving.http.httpserver import Exchange, HttpServer, ServerLimits

from .base import ApricotTest

HOST = "127.0.0.1"


class HttpServerTest(ApricotTest):
    """A server with a handler that echoes the body of the request."""

    def setUp(self):
        super().setUp()
        self.limits = ServerLimits(1_000, 100, 5.0, 5.0)
        self.requests: list[HttpRequest] = []
        self.handler_cancelled = False
        self.release: asyncio.Event | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the body; for the target /wait, only after `release` is set."""
        self.requests.append(exchange.request)
        if exchange.request.target == "/wait":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.handler_cancelled = True
                raise
        await exchange.respond(HttpResponse(200, [], exchange.request.body))

    def run_scenario(self, scenario) -> None:
        """Run a scenario with a server and its port."""

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

    async def send_raw(self, port: int, data: bytes) -> bytes:
        """Send bytes and return what is received until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response

    def test_pipelined_requests_are_answered_in_order(self):
        """They share a connection, which is kept open between them."""

        async def scenario(_server, port):
            data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
            data += data.replace(b"\r\n\r\n1", b"\r\n\r\n2")
            data += b"GET /z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            response = await self.send_raw(port, data)
            self.assertEqual(3, response.count(b"HTTP/1.1 200"))
            self.assertLess(response.index(b"\r\n\r\n1"), response.index(b"\r\n\r\n2"))

        self.run_scenario(scenario)

    def test_chunked_body_is_accepted(self):
        """The handler gets the complete body."""

        async def scenario(_server, port):
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            chunks = b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            response = await self.send_raw(port, head + chunks)
            self.assertTrue(response.endswith(b"abc"))

        self.run_scenario(scenario)

    @parameterized.expand(
        [
            ("body too large", b"Content-Length: 101\r\n\r\n" + b"x" * 101, b" 413 "),
            ("not HTTP", b"\x00nonsense\r\n\r\n", b" 400 "),
            (
                "ambiguous length",
                b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b" 400 ",
            ),
            ("headers too large", b"X: " + b"y" * 2_000 + b"\r\n\r\n", b" 431 "),
        ]
    )
    def test_invalid_request_is_rejected(self, _name, rest, status):
        """The connection is closed after the error response."""

        async def scenario(_server, port):
            response = await self.send_raw(
                port, b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + rest
            )
            self.assertIn(status, response.split(b"\r\n")[0])

        self.run_scenario(scenario)

    def test_disconnect_cancels_the_handler(self):
        """The server detects the disconnect while the handler is running."""

        async def scenario(_server, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.requests:
                await asyncio.sleep(0.01)
            writer.close()
            while not self.handler_cancelled:
                await asyncio.sleep(0.01)

        self.run_scenario(scenario)

    def test_raised_idle_timeout_applies_to_open_connections(self):
        """This includes a connection that already waits for a request."""
        self.patch(httpserver_module, "IDLE_MARGIN_S", 0.0)

        async def scenario(_server, port):
            self.limits = ServerLimits(1_000, 100, 5.0, 0.2)
            reader, writer = await asyncio.open_connection(HOST, port)
            await asyncio.sleep(0.05)
            self.limits = ServerLimits(1_000, 100, 5.0, 5.0)
            await asyncio.sleep(0.4)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b"200", await reader.readline())
            writer.close()

        self.run_scenario(scenario)

    def test_draining_server_responds_and_then_closes(self):
        """A request in progress when draining starts is still served."""

        async def scenario(server, port):
            connection = await open_client(HOST, port, 1.0)
            connection.send(HttpRequest("GET", "/wait", [(b"host", b"h")], b""))
            while not self.requests:
                await asyncio.sleep(0.01)
            server.drain()
            self.release.set()
            response = await connection.read_response()
            self.assertEqual(200, response.status)
            self.assertFalse(connection.is_reusable)

        self.run_scenario(scenario)
