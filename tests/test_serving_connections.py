"""Ends of callers' connections: none leaves a request that was read unanswered."""

import asyncio
import time

from parameterized import parameterized

from apricotquay.serving.http import httpserver as httpserver_module
from apricotquay.serving.http.http1 import HttpResponse
from apricotquay.serving.http.httpserver import (
    CallerDisconnectedError,
    Exchange,
    HttpServer,
    ServerConnection,
    ServerLimits,
)

from .base import ApricotTest

HOST = "127.0.0.1"
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
WAITING_REQUEST = b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
POST_HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LONG_BODY = b"x" * 2_000_000


class ConnectionTest(ApricotTest):
    """A server that echoes; /wait waits for `release`, /raise raises `error`."""

    def setUp(self):
        super().setUp()
        self.limits = ServerLimits(1_000, 100, 5.0, 5.0)
        self.failures: list[tuple[str, int | None]] = []
        self.requests: list[str] = []
        self.error: Exception | None = None
        self.release: asyncio.Event | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the body of the request."""
        target = exchange.request.target
        self.requests.append(target)
        if target == "/raise":
            raise self.error
        if target == "/stream":
            await exchange.start(200, [(b"transfer-encoding", b"chunked")])
        if target in ("/wait", "/stream"):
            await self.wait_for_release(exchange)
        if target == "/stream":
            await exchange.finish()
        else:
            await exchange.respond(HttpResponse(200, [], exchange.request.body))

    async def wait_for_release(self, exchange: Exchange) -> None:
        """Wait; answer a cancellation that is not the caller's leaving with 503."""
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            if exchange.caller_left:
                raise
            asyncio.current_task().uncancel()
            await exchange.respond(HttpResponse(503, []))
            raise CallerDisconnectedError from None

    def run_scenario(self, scenario) -> None:
        """Run a scenario with a server and its port."""

        async def run() -> None:
            self.release = asyncio.Event()
            server = HttpServer(
                self.handle,
                lambda: self.limits,
                lambda reason, status: self.failures.append((reason, status)),
            )
            port = await server.start(HOST, 0)
            try:
                async with asyncio.timeout(20):
                    await scenario(server, port)
            finally:
                await server.close()

        asyncio.run(run())

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.01)


class ClosedInMidRequestTest(ConnectionTest):
    """Each connection that is closed in mid-request is reported once."""

    @parameterized.expand(
        [
            ("caller closes within the head", REQUEST[:20], None),
            ("caller closes within the body", POST_HEAD % 9 + b"x", None),
            ("not HTTP", b"\x00nonsense\r\n\r\n", 400),
            ("body too large", POST_HEAD % 101 + b"x" * 101, 413),
            ("headers too large", b"GET / HTTP/1.1\r\nX: " + b"y" * 2_000, 431),
        ]
    )
    def test_connection_closed_in_mid_request_is_reported(self, _name, data, status):
        """Requests that the daemon never read whole can be told from lost ones."""

        async def scenario(_server, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            writer.write_eof()
            await self.wait_until(lambda: self.failures)
            writer.close()

        self.run_scenario(scenario)
        self.assertEqual([status], [status for _, status in self.failures])

    def test_slow_request_is_reported(self):
        """Its connection is closed by the time limit of a request."""
        self.limits = ServerLimits(1_000, 100, 0.1, 5.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(REQUEST[:20])
            self.assertIn(b" 408 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)
        self.assertEqual([408], [status for _, status in self.failures])

    @parameterized.expand(
        [
            ("headers", REQUEST[:20], b"x"),
            (
                "body",
                b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\n",
                b"x",
            ),
        ]
    )
    def test_request_that_sends_a_byte_now_and_then_is_ended(self, _name, begin, drip):
        """Each byte comes well within the time limit."""
        self.limits = ServerLimits(1_000, 100, 0.2, 5.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(begin)
            answer = asyncio.ensure_future(reader.readline())
            for _ in range(85):
                if answer.done():
                    break
                writer.write(drip)
                await asyncio.sleep(0.05)
            self.assertTrue(answer.done())
            self.assertIn(b" 408 ", await answer)
            writer.close()

        self.run_scenario(scenario)

    def test_slow_body_that_goes_on_is_read_whole(self):
        """It takes longer than the time limit of its headers."""
        self.limits = ServerLimits(1_000, 100, 0.2, 5.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\n")
            for _ in range(9):
                writer.write(b"x" * 10)
                await asyncio.sleep(0.04)
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)

    @parameterized.expand(
        [(type(e).__name__, e) for e in (OSError("x"), TimeoutError(), KeyError("x"))]
    )
    def test_error_of_a_handler_is_reported(self, _name, error):
        """It is not taken for the caller's leaving."""
        self.error = error

        async def scenario(_server, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(REQUEST.replace(b"/a", b"/raise"))
            await self.wait_until(lambda: self.failures)
            writer.close()

        self.run_scenario(scenario)
        self.assertEqual(1, len(self.failures))
        self.assertIn(type(error).__name__, self.failures[0][0])

    @parameterized.expand([("closed at once", b""), ("after a request", REQUEST)])
    def test_end_between_requests_is_not_reported(self, _name, data):
        """It is how connections usually end."""

        async def scenario(server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            if data:
                await reader.readline()
            writer.close()
            await self.wait_until(lambda: not server.connection_count)

        self.run_scenario(scenario)
        self.assertEqual([], self.failures)


class IdleTimeoutTest(ConnectionTest):
    """Requests that meet the idle timeout of their connection."""

    def test_request_that_arrives_with_the_idle_timeout_is_answered(self):
        """The loop is busy while both come, and handles them in one round."""
        self.limits = ServerLimits(1_000, 100, 5.0, 0.1)
        self.patch(httpserver_module, "IDLE_MARGIN_S", 0.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            await asyncio.sleep(0.03)
            writer.write(REQUEST)
            time.sleep(0.2)
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)

    def test_request_just_after_the_idle_limit_is_answered(self):
        """What a caller sends at the limit is still on its way then."""
        self.limits = ServerLimits(1_000, 100, 5.0, 0.1)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            await asyncio.sleep(0.2)
            writer.write(REQUEST)
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)

    def test_lowered_idle_timeout_closes_no_waiting_connection_early(self):
        """Callers may still act on the limit under which it became idle."""
        self.limits = ServerLimits(1_000, 100, 5.0, 3.0)
        self.patch(httpserver_module, "IDLE_MARGIN_S", 0.0)

        async def scenario(_server, port):
            callers = [await asyncio.open_connection(HOST, port) for _ in range(20)]
            await asyncio.sleep(0.05)
            self.limits = ServerLimits(1_000, 100, 5.0, 0.1)
            await asyncio.sleep(0.3)
            for _, writer in callers:
                writer.write(REQUEST)
            for reader, writer in callers:
                self.assertIn(b" 200 ", await reader.readline())
                writer.close()

        self.run_scenario(scenario)

    def test_lowered_idle_timeout_spares_connections_opened_before_it(self):
        """Callers that do not know it yet go on to use them."""
        self.limits = ServerLimits(1_000, 100, 5.0, 3.0)
        self.patch(httpserver_module, "IDLE_MARGIN_S", 0.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            self.limits = ServerLimits(1_000, 100, 5.0, 0.1)
            for _ in range(2):
                writer.write(REQUEST)
                self.assertIn(b" 200 ", await reader.readline())
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.3)
            writer.close()

        self.run_scenario(scenario)

    def test_lowered_idle_timeout_spares_connections_that_knew_a_raised_one(self):
        """Their callers may act on the longest limit that they were given."""
        self.limits = ServerLimits(1_000, 100, 5.0, 0.1)
        self.patch(httpserver_module, "IDLE_MARGIN_S", 0.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            for idle_timeout_s in (3.0, 0.1):
                self.limits = ServerLimits(1_000, 100, 5.0, idle_timeout_s)
                writer.write(REQUEST)
                self.assertIn(b" 200 ", await reader.readline())
                await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.3)
            writer.write(REQUEST)
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)

    def test_timeout_of_the_connection_itself_does_not_stop_the_loop(self):
        """The socket's own ETIMEDOUT is raised by each further read."""

        async def scenario(server, _port):
            reader = asyncio.StreamReader()
            reader.set_exception(TimeoutError("connection timed out"))
            connection = ServerConnection(server, reader, None)
            started_s = time.monotonic()
            with self.assertRaises(OSError):
                await connection._receive(False)
            self.assertLess(time.monotonic() - started_s, self.limits.idle_timeout_s)

        self.run_scenario(scenario)


class RefusalTest(ConnectionTest):
    """Refusals while the caller is still sending."""

    def test_refusal_of_a_long_body_reaches_its_caller(self):
        """A reset for unread bytes would overtake it."""

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(POST_HEAD % len(LONG_BODY) + LONG_BODY)
            await asyncio.sleep(0.2)
            self.assertIn(b" 413 ", await reader.read())
            writer.close()

        self.run_scenario(scenario)


class KeptConnectionTest(ConnectionTest):
    """Connections that the server keeps or closes with requests waiting on them."""

    def test_pipelined_long_body_does_not_end_the_request_before_it(self):
        """The bytes beyond the limit wait in the socket."""

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(WAITING_REQUEST)
            await self.wait_until(lambda: self.requests)
            writer.write(POST_HEAD % 2_000 + b"x" * 2_000)
            await asyncio.sleep(0.1)
            self.release.set()
            self.assertIn(b" 200 ", await reader.readline())
            self.assertIn(b" 413 ", await reader.read())
            writer.close()

        self.run_scenario(scenario)

    def test_draining_does_not_close_a_connection_before_it_says_so(self):
        """A response that began before the drain promised to keep the connection."""

        async def scenario(server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(REQUEST.replace(b"/a", b"/stream"))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(REQUEST)
            await asyncio.sleep(0.05)
            server.drain()
            self.release.set()
            rest = await reader.read()
            self.assertIn(b" 200 ", rest)
            self.assertIn(b"connection: close", rest.lower())
            writer.close()

        self.run_scenario(scenario)

    def test_request_that_is_being_received_counts_as_busy(self):
        """The drain waits for it."""

        async def scenario(server, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(POST_HEAD % 9 + b"x")
            await self.wait_until(lambda: server.busy_count)
            writer.close()

        self.run_scenario(scenario)

    def test_stopping_server_lets_waiting_requests_be_refused(self):
        """They are not taken for requests whose caller left."""

        async def scenario(server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(WAITING_REQUEST)
            await self.wait_until(lambda: self.requests)
            await server.close()
            self.assertIn(b" 503 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)

    def test_limits_of_a_new_configuration_hold_on_kept_connections(self):
        """Otherwise callers are refused by the limits of an old one."""
        self.limits = ServerLimits(200, 10, 5.0, 5.0)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            self.limits = ServerLimits(2_000, 100, 5.0, 5.0)
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500 + b"\r\n"
                b"Content-Length: 50\r\n\r\n" + b"z" * 50
            )
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)


class AbortedResponseTest(ConnectionTest):
    """Responses that are aborted."""

    @parameterized.expand([("1.0",), ("1.1",)])
    def test_aborted_response_does_not_look_complete(self, version):
        """A body without chunks ends with its connection, so that is reset."""

        async def handle(exchange: Exchange) -> None:
            await exchange.start(200, [(b"transfer-encoding", b"chunked")])
            await exchange.send(b"part")
            await self.release.wait()
            exchange.abort()

        self.patch(self, "handle", handle)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(REQUEST.replace(b"HTTP/1.1", b"HTTP/" + version.encode()))
            await reader.readuntil(b"part")
            self.release.set()
            try:
                rest = await reader.read()
            except ConnectionResetError:
                rest = b"reset"
            self.assertNotEqual(b"" if version == "1.0" else b"\r\n0\r\n\r\n", rest)
            writer.close()

        self.run_scenario(scenario)
