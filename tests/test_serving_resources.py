"""Bounds of connections, bodies, unread responses and what is read ahead."""

import asyncio
import socket

from parameterized import parameterized

from apricotquay.serving.http import httpserver as httpserver_module
from apricotquay.serving.http.boundedreader import MAX_READ_AHEAD_BYTES
from apricotquay.serving.http.http1 import HttpResponse
from apricotquay.serving.http.httpserver import Exchange, HttpServer, ServerLimits
from apricotquay.serving.http.requestbodies import (
    SMALL_BODY_BYTES,
    HeldBody,
    RequestBodies,
)
from apricotquay.serving.http.resourcelimits import ResourceLimits
from apricotquay.serving.http.serverresources import ServerResources
from apricotquay.serving.http.unread import CloseReason, UnreadResponses, UnreadWatch

from .base import ApricotTest

HOST = "127.0.0.1"
MB = 1024 * 1024
LARGE_BYTES = 3 * SMALL_BODY_BYTES
STALL_S = 0.2
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
WAITING_REQUEST = b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
MEDIUM_REQUEST = b"GET /medium HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_REQUEST = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
POST_HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
# More than the kernel and the reader take of a connection that is not read.
LARGE_RESPONSE = b"x" * (16 * MB)
# Less than a handler waits for.
MEDIUM_RESPONSE = b"x" * 32_768


class ResourceLimitsTest(ApricotTest):
    """What follows from the size of a VM."""

    @parameterized.expand(
        [
            ("smallest", 160, 1_638, 568),
            ("largest", 552, 10_250, 1_962),
            ("few descriptors", 160, 400, 100),
            ("no descriptors left", 160, 100, 1),
        ]
    )
    def test_connections_fit_the_vm(self, _name, memory_mb, max_fds, expected):
        """Neither descriptors nor memory run out when all of them are used."""
        limits = ResourceLimits(memory_mb, max_fds)
        self.assertEqual(expected, limits.client_connections)

    @parameterized.expand([(160,), (552,)])
    def test_shares_leave_memory_for_the_daemon(self, memory_mb):
        """All budgets together would else terminate it."""
        limits = ResourceLimits(memory_mb)
        used_bytes = (
            limits.client_connections * MAX_READ_AHEAD_BYTES
            + limits.request_body_bytes
            + limits.unsent_response_bytes
            + limits.peer_queue_bytes
        )
        self.assertLess(used_bytes, 0.8 * memory_mb * MB)


class RequestBodiesTest(ApricotTest):
    """The budget of bodies."""

    def test_small_bodies_have_room_beside_large_ones(self):
        """Clients that send large bodies slowly must not hold up all others."""
        bodies = RequestBodies(MB)
        large = HeldBody(bodies)
        self.assertTrue(large.grow(MB))
        self.assertFalse(HeldBody(bodies).grow(LARGE_BYTES))
        self.assertTrue(HeldBody(bodies).grow(SMALL_BODY_BYTES))

    def test_small_bodies_are_bounded_too(self):
        """Many of them take the memory as well."""
        bodies = RequestBodies(MB)
        grown = [HeldBody(bodies).grow(SMALL_BODY_BYTES) for _ in range(100)]
        self.assertEqual(20, grown.count(True))

    def test_room_is_given_back(self):
        """Otherwise the budget is used up for ever."""
        bodies = RequestBodies(MB)
        for _ in range(10):
            held = HeldBody(bodies)
            self.assertTrue(held.grow(MB))
            self.assertTrue(held.must_hurry)
            held.release()
            held.release()
        self.assertEqual(0, bodies.held_bytes)


class UnreadResponsesTest(ApricotTest):
    """Which connections are closed."""

    def test_stalled_connection_is_closed_and_a_slow_one_is_not(self):
        """One that reads a byte now and then is alive."""
        responses = UnreadResponses(30.0, MB)
        responses.begin("stalled", 10, 0.0)
        responses.begin("slow", 10, 0.0)
        responses.record("stalled", 10, 29.0)
        responses.record("slow", 9, 29.0)
        self.assertEqual([], list(responses.find_closable(29.9)))
        self.assertEqual(
            [("stalled", CloseReason.STALLED)], list(responses.find_closable(30.0))
        )

    def test_without_memory_the_longest_stalled_are_closed(self):
        """As many as needed; a client that reads keeps its connection."""
        responses = UnreadResponses(30.0, 25)
        for number in range(4):
            responses.begin(number, 10, 0.0)
        responses.record(0, 9, 2.0)
        responses.record(2, 9, 1.0)
        closed = [connection for connection, _ in responses.find_closable(3.0)]
        self.assertEqual([1, 3], closed)


class BoundedServerTest(ApricotTest):
    """A server that responds with the size of the body; /wait waits for `release`."""

    def setUp(self):
        super().setUp()
        self.limits = ServerLimits(1_000, 4 * MB, 5.0, 5.0)
        self.bodies = RequestBodies(MB)
        self.closed: list[CloseReason] = []
        self.refused_count = 0
        self.targets: list[str] = []
        self.cancelled_count = 0
        self.release: asyncio.Event | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Respond."""
        target = exchange.request.target
        self.targets.append(target)
        body = b"%d" % len(exchange.request.body)
        if target == "/large":
            body = LARGE_RESPONSE
        if target == "/medium":
            body = MEDIUM_RESPONSE
        if target == "/wait":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled_count += 1
                raise
        await exchange.respond(HttpResponse(200, [], body))

    def count_refused(self) -> None:
        """Count a connection beyond the limit."""
        self.refused_count += 1

    def run_scenario(self, scenario, max_connections=100, replaces=False) -> None:
        """Run a scenario with a server and its port."""

        async def run() -> None:
            self.release = asyncio.Event()
            responses = UnreadResponses(STALL_S, 1_000 * MB)
            unread = UnreadWatch(responses, lambda why, _: self.closed.append(why))
            resources = ServerResources(
                self.bodies, unread, max_connections, replaces, self.count_refused
            )
            server = HttpServer(self.handle, lambda: self.limits, resources=resources)
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

    def test_body_without_room_is_refused_and_never_runs(self):
        """The client is told when to come again."""
        self.bodies.held_bytes = MB

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(POST_HEAD % LARGE_BYTES + b"x" * LARGE_BYTES)
            response = await reader.read()
            self.assertIn(b" 503 ", response)
            self.assertIn(b"\r\nretry-after: 1\r\n", response.lower())
            self.assertEqual([], self.targets)
            writer.close()

        self.run_scenario(scenario)
        self.assertEqual(MB, self.bodies.held_bytes)

    def test_slow_large_body_makes_room_for_others(self):
        """It could hold the memory for hours at the least rate of a request."""
        self.limits = ServerLimits(1_000, 4 * MB, 0.2, 5.0)
        self.patch(httpserver_module, "BODY_CHECK_INTERVAL_S", 0.05)
        self.patch(httpserver_module, "MIN_BODY_BYTES_PER_S", MB)

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(POST_HEAD % MB + b"x" * LARGE_BYTES)
            await self.wait_until(lambda: self.bodies.held_bytes == LARGE_BYTES)
            self.bodies.held_bytes += MB
            self.assertIn(b" 503 ", await reader.readline())
            writer.close()

        self.run_scenario(scenario)
        self.assertEqual([], self.targets)
        self.assertEqual(MB, self.bodies.held_bytes)

    def test_body_is_held_until_its_request_has_ended(self):
        """An attempt may be repeated, so the memory is not free before."""

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            head = (POST_HEAD % LARGE_BYTES).replace(b"/a", b"/wait")
            writer.write(head + b"x" * LARGE_BYTES)
            await self.wait_until(lambda: self.targets)
            self.assertEqual(LARGE_BYTES, self.bodies.held_bytes)
            self.release.set()
            self.assertIn(b" 200 ", await reader.readline())
            await self.wait_until(lambda: not self.bodies.held_bytes)
            writer.close()

        self.run_scenario(scenario)

    @parameterized.expand([("beyond", False), ("replaced", True)])
    def test_connections_beyond_the_limit_are_closed(self, _name, replaces):
        """They would take the descriptors of endpoints, peers and the store."""

        async def scenario(server, port):
            clients = [await asyncio.open_connection(HOST, port) for _ in range(5)]
            await self.wait_until(lambda: self.refused_count == 3)
            self.assertEqual(2, server.connection_count)
            kept = clients[3:] if replaces else clients[:2]
            for client in clients:
                reader, writer = client
                if client in kept:
                    writer.write(REQUEST)
                    self.assertIn(b" 200 ", await reader.readline())
                else:
                    self.assertEqual(b"", await read_rest(reader))
                writer.close()

        self.run_scenario(scenario, 2, replaces)

    @parameterized.expand([("nothing", 0), ("some requests", 2_000)])
    def test_leaving_of_a_client_that_pipelined_is_noticed(self, _name, count):
        """Its request would else hold a slot for nobody."""

        async def scenario(_server, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(WAITING_REQUEST + REQUEST * count)
            await self.wait_until(lambda: self.targets)
            await asyncio.sleep(0.05)
            writer.close()
            await self.wait_until(lambda: self.cancelled_count)

        self.run_scenario(scenario)
        self.assertEqual(["/wait"], self.targets)

    def test_pipelined_requests_beyond_the_read_ahead_wait_in_the_socket(self):
        """They are served in order once the first has ended."""
        count = 20_000

        async def scenario(server, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(WAITING_REQUEST + REQUEST * count)
            await self.wait_until(lambda: self.targets)
            await asyncio.sleep(0.2)
            (connection,) = server._connections
            self.assertLessEqual(connection._reader.held_bytes, MAX_READ_AHEAD_BYTES)
            self.release.set()
            for _ in range(count + 1):
                await reader.readuntil(b"\r\n\r\n0")
            writer.close()

        self.run_scenario(scenario)

    def test_client_that_reads_nothing_loses_its_connection(self):
        """Its handler would else wait for ever, and hold what it has."""

        async def scenario(server, port):
            with unread_socket(port) as sock:
                sock.sendall(LARGE_REQUEST)
                await self.wait_until(lambda: self.targets)
                await self.wait_until(lambda: not server.connection_count)

        self.run_scenario(scenario)
        self.assertEqual([CloseReason.STALLED], self.closed)

    def test_closed_connection_with_an_unread_response_is_given_up(self):
        """The rest would be kept, with the descriptor, as long as the client likes."""
        self.limits = ServerLimits(1_000, 4 * MB, 5.0, 0.1)
        self.patch(httpserver_module, "IDLE_MARGIN_S", 0.0)

        async def scenario(server, port):
            with unread_socket(port) as sock:
                requests = 0
                # Handlers do not wait yet for what is left of the last response.
                while not server.busy_count:
                    sock.sendall(MEDIUM_REQUEST)
                    requests += 1
                    await self.wait_until(lambda n=requests: len(self.targets) == n)
                    await asyncio.sleep(0.01)
                await self.wait_until(lambda: not server.connection_count)

        self.run_scenario(scenario)
        self.assertEqual([CloseReason.STALLED], self.closed)

    def test_slow_reader_gets_its_whole_response(self):
        """It takes longer than the time without a byte that is allowed."""

        async def scenario(_server, port):
            reader, writer = await asyncio.open_connection(HOST, port, limit=4_096)
            writer.write(LARGE_REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            for _ in range(len(LARGE_RESPONSE) // MB):
                await reader.readexactly(MB)
                await asyncio.sleep(STALL_S / 4)
            writer.close()

        self.run_scenario(scenario)
        self.assertEqual([], self.closed)


def unread_socket(port: int) -> socket.socket:
    """Return a connection with a small buffer for what is received."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect((HOST, port))
    return sock


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Return what comes until the connection ends, by a reset or not."""
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
