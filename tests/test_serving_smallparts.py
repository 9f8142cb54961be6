"""Bodies in very small chunks: they take no more memory than large chunks, are not
searched again and again, and hold up no other task.
"""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator, Iterator

from parameterized import parameterized

from apricotquay.engineclient import EndpointError, _read_events
from apricotquay.serving.http import sse
from apricotquay.serving.http.bodybudget import BodyBudget
from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import ClientConnection
from apricotquay.serving.http.httpserver import HttpServer, ServerLimits
from apricotquay.serving.http.sse import EventSplitter
from apricotquay.serving.online.attempts import read_body

from .base import ApricotTest

HOST = "127.0.0.1"
TIMEOUT_S = 60
BODY_BYTES = 256 * 1024
CHUNK_BYTES = 4
# Twice for the copy that is handed on, twice for room to grow.
MAX_MEMORY_SHARE = 4
# What may be handled before other tasks run, in chunks.
MAX_CHUNKS_PER_TURN = 256
REQUEST = HttpRequest("GET", "/", [(b"host", b"a.example")], b"")
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunked(body: bytes, size: int) -> bytes:
    """Encode a body in chunks of a size, without the last one."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def in_parts(data: bytes, size: int) -> Iterator[bytes]:
    """Yield data in parts of a size."""
    return (data[start : start + size] for start in range(0, len(data), size))


class FakeTransport:
    """Takes what is written."""

    def abort(self) -> None:
        """Ignore the end of the connection."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limit: nothing is buffered."""


class FakeWriter:
    """A writer without a socket."""

    transport = FakeTransport()

    def write(self, data: bytes) -> None:
        """Ignore the request."""

    async def drain(self) -> None:
        """Everything is written."""

    def is_closing(self) -> bool:
        """Stay open."""
        return False


class FakeResponse:
    """A response in small parts, as an endpoint may send it slowly."""

    def __init__(self, body: bytes) -> None:
        self._body: bytes = body

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        for part in in_parts(self._body, CHUNK_BYTES):
            yield part


def connection_with(data: bytes) -> ClientConnection:
    """Return a connection that has already received an answer and its end."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    connection = ClientConnection(reader, FakeWriter())
    connection.send(REQUEST)
    return connection


class Turns:
    """Counts the rounds of the event loop in which another task could run."""

    def __init__(self) -> None:
        self.count: int = 0
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            self.count += 1
            await asyncio.sleep(0)

    def close(self) -> None:
        """Stop counting."""
        self._task.cancel()


class EventSplitterTest(ApricotTest):
    """Events that arrive in parts."""

    STREAM = (
        b"id: 0\ndata: a\n\n"
        b"id: 1\r\ndata: b\r\n\r\n"
        b": comment\n\n"
        b"id: 2\ndata: c\r\n\r\n\n\n"
        b"id: 3\ndata: d\n\r\n"
    )

    @parameterized.expand([(size,) for size in (1, 2, 3, 4, 5, 7, 16, 1_000)])
    def test_events_do_not_depend_on_the_size_of_parts(self, size):
        splitter = EventSplitter()
        parts = in_parts(self.STREAM, size)
        raws = [event.raw for part in parts for event in splitter.feed(part)]
        whole = EventSplitter()
        self.assertEqual([event.raw for event in whole.feed(self.STREAM)], raws)
        self.assertEqual(5, len(raws))
        self.assertEqual(b"id: 3\ndata: d\n\r\n", self.STREAM[len(b"".join(raws)) :])
        self.assertTrue(splitter.has_partial_event)

    # Guards against an event loop that is blocked by copying the buffer for each part.
    def test_small_part_does_not_copy_what_is_buffered(self):
        splitter = EventSplitter()
        list(splitter.feed(b"x" * BODY_BYTES))
        copies = 0
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(100):
            before, _ = tracemalloc.get_traced_memory()
            tracemalloc.reset_peak()
            list(splitter.feed(b"x" * 32))
            _, peak = tracemalloc.get_traced_memory()
            copies += peak - before > BODY_BYTES // 2
        # The buffer is made larger now and then.
        self.assertLessEqual(copies, 2)

    # Guards against an event loop that is blocked by searching the buffer again.
    def test_small_part_does_not_search_what_was_searched(self):
        searched: list[int] = []

        class CountingPattern:
            def search(self, data: bytes, start: int):
                searched.append(len(data) - start)
                return pattern.search(data, start)

        pattern = sse.EVENT_END
        self.patch(sse, "EVENT_END", CountingPattern())
        splitter = EventSplitter()
        for part in in_parts(b"x" * BODY_BYTES, 32):
            list(splitter.feed(part))
        self.assertLess(sum(searched), 2 * BODY_BYTES)


class ResponseTest(ApricotTest):
    """Answers of endpoints and of the store in small chunks."""

    # Guards against an endpoint's answer that blocks all other requests of a daemon.
    @parameterized.expand([(1,), (4,), (32,), (128,)])
    def test_other_tasks_run_while_a_body_in_small_chunks_is_read(self, size):
        data = HEAD + chunked(b"x" * BODY_BYTES, size)

        async def run() -> tuple[int, int, int]:
            connection = connection_with(data)
            await connection.read_head()
            turns = Turns()
            received = parts = 0
            try:
                async for part in connection.read_body():
                    received += len(part)
                    parts += 1
            except HttpError:
                # The answer has no last chunk.
                pass
            turns.close()
            return received, parts, turns.count

        received, parts, turns = asyncio.run(run())
        self.assertEqual(BODY_BYTES, received)
        chunks = BODY_BYTES // size
        self.assertGreaterEqual(turns, chunks // MAX_CHUNKS_PER_TURN)
        # Each part costs a timer, a search and, if it is relayed, a message.
        self.assertLess(parts, len(data) / 8_192 + 2)

    # Guards against an answer that arrives faster than parsed and outlives its timeout.
    def test_timeout_ends_an_answer_that_has_already_arrived(self):
        data = HEAD + chunked(b"x" * BODY_BYTES, 1)

        async def run() -> None:
            connection = connection_with(data)
            await connection.read_head()
            async with asyncio.timeout(0):
                async for _ in connection.read_body():
                    pass

        self.assertRaises(TimeoutError, asyncio.run, run())

    @parameterized.expand(
        [
            ("broken off", b"", "peer"),
            ("malformed", b"zz\r\n", "not a response"),
        ]
    )
    def test_what_came_before_an_error_is_yielded_first(self, _name, end, reason):
        async def run() -> None:
            connection = connection_with(HEAD + chunked(b"id: 0\n\n", 2) + end)
            await connection.read_head()
            parts = []
            try:
                async for part in connection.read_body():
                    parts.append(part)
            except HttpError as exc:
                self.assertIn(reason, str(exc))
            else:
                self.fail("the body counts as complete")
            self.assertEqual(b"id: 0\n\n", b"".join(parts))

        asyncio.run(run())

    # Guards against a body whose chunks are kept as objects, many times its size.
    def test_body_of_small_parts_takes_little_more_than_its_size(self):
        response = FakeResponse(b"x" * BODY_BYTES)
        reservation = BodyBudget().reserve()
        peak, body = peak_memory(lambda: read_body(response, reservation))
        self.assertEqual(BODY_BYTES, len(body))
        self.assertLess(peak, MAX_MEMORY_SHARE * BODY_BYTES)

    def test_whole_answer_of_small_chunks_takes_little_more_than_its_size(self):
        data = HEAD + chunked(b"x" * BODY_BYTES, CHUNK_BYTES) + LAST_CHUNK

        async def read() -> HttpResponse:
            return await connection_with(data).read_response()

        peak, response = peak_memory(read)
        self.assertEqual(BODY_BYTES, len(response.body))
        # The reader holds what has arrived.
        self.assertLess(peak, MAX_MEMORY_SHARE * BODY_BYTES + 2 * len(data))


class RequestTest(ApricotTest):
    """Requests of callers in small chunks."""

    LIMITS = ServerLimits(65_536, 4 * BODY_BYTES, 30.0, 30.0)

    def send_request(self, body: bytes, on_request) -> int:
        """Send a request with an encoded body; return the status of its response."""

        async def handle(exchange) -> None:
            on_request(exchange.request)
            await exchange.respond(HttpResponse(200, []))

        async def run() -> int:
            server = HttpServer(handle, lambda: self.LIMITS)
            port = await server.start(HOST, 0)
            reader, writer = await asyncio.open_connection(HOST, port)
            head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + body)
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    status_line = await reader.readline()
            finally:
                writer.close()
                await server.close()
            return int(status_line.split()[1])

        return asyncio.run(run())

    # Guards against a request in small chunks that takes many times its size.
    def test_request_of_small_chunks_takes_little_more_than_its_size(self):
        bodies: list[int] = []
        peaks: list[int] = []

        def on_request(request: HttpRequest) -> None:
            bodies.append(len(request.body))
            peaks.append(tracemalloc.get_traced_memory()[1])

        body = chunked(b"x" * BODY_BYTES, CHUNK_BYTES) + LAST_CHUNK
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(200, self.send_request(body, on_request))
        self.assertEqual([BODY_BYTES], bodies)
        # The client's copies of what it sends are in the same process.
        allowed = MAX_MEMORY_SHARE * BODY_BYTES + 3 * len(body)
        self.assertLess(peaks[0], allowed)

    # Guards against a caller's request that blocks all others of a daemon.
    def test_other_tasks_run_while_a_request_in_small_chunks_is_read(self):
        pauses: list[int] = []

        async def counted_sleep(delay_s: float) -> None:
            if delay_s == 0:
                pauses.append(1)
            await sleep(delay_s)

        sleep = asyncio.sleep
        self.patch(asyncio, "sleep", counted_sleep)
        body = chunked(b"x" * BODY_BYTES, CHUNK_BYTES) + LAST_CHUNK
        self.assertEqual(200, self.send_request(body, lambda request: None))
        chunks = BODY_BYTES // CHUNK_BYTES
        self.assertGreaterEqual(len(pauses), chunks // MAX_CHUNKS_PER_TURN)


class OwnInterfaceTest(ApricotTest):
    """Answers of model engines, which the threaded daemon reads."""

    class Response:
        """An answer in parts that never completes an event."""

        def __init__(self, part: bytes, count: int) -> None:
            self.count: int = count
            self.read: int = 0
            self._part: bytes = part

        def stream(self, size: int) -> Iterator[bytes]:
            """Yield the parts."""
            for _ in range(self.count):
                self.read += 1
                yield self._part

    # Guards against an event without end that exhausts the memory.
    def test_event_without_end_is_broken_off(self):
        response = self.Response(b"x" * 65_536, 1_000)
        self.assertRaises(EndpointError, list, _read_events(response))
        self.assertLess(response.read, 100)

    def test_events_in_small_parts_are_found(self):
        class Response:
            def stream(self, size: int) -> Iterator[bytes]:
                return in_parts(b"data: {1}\n\n: x\n\ndata: {2}\n\n", 3)

        self.assertEqual([b"{1}", b"{2}"], list(_read_events(Response())))


def peak_memory(run) -> tuple[int, object]:
    """Return the peak of the memory that a coroutine allocates, and its result."""

    async def measure():
        tracemalloc.start()
        try:
            result = await run()
            return tracemalloc.get_traced_memory()[1], result
        finally:
            tracemalloc.stop()

    return asyncio.run(measure())
