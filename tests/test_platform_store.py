"""Reads of many pages by the store's client while the store fails some of them."""

import asyncio
import base64
import contextlib

import msgspec
from parameterized import parameterized

from apricotquay.platform import store as store_module
from apricotquay.platform.store import READ_HEADER, StoreClient, encode_record
from apricotquay.serving.fleet.keyedlog import (
    KeyedRecord,
    LogError,
    LogOutcomeUnknownError,
    Topic,
)
from apricotquay.serving.http.http1 import HttpResponse

from .base import ApricotTest

TOPIC = Topic("keyed.servers")


class PagedStore(StoreClient):
    """Answers from three pages of two records; fails the calls with given numbers."""

    def __init__(self, failing_calls: set[int], times_out: bool) -> None:
        super().__init__("127.0.0.1", 1)
        self.requested_after: list[str] = []
        self._failing_calls: set[int] = failing_calls
        self._times_out: bool = times_out

    async def _call(self, method, path, query, body=b"", **_options) -> HttpResponse:
        after = query.get("after", "")
        self.requested_after.append(after)
        if len(self.requested_after) in self._failing_calls:
            if self._times_out:
                raise LogOutcomeUnknownError("no answer in time")
            return HttpResponse(429, [], b"{}")
        first = int(after[1:]) + 1 if after else 0
        items = [
            {
                "key": f"k{n}",
                "value": base64.b64encode(b"v").decode(),
                "offset": n,
            }
            for n in (first, first + 1)
        ]
        page = {"items": items, "more": first < 4, "end": 6}
        return HttpResponse(200, [], msgspec.json.encode(page))


class ReadNewestTest(ApricotTest):
    """Paged reads of the newest record of each key."""

    def setUp(self) -> None:
        super().setUp()
        sleep = asyncio.sleep
        self.patch(asyncio, "sleep", lambda _seconds: sleep(0))

    @parameterized.expand([("refused", False), ("timeout", True)])
    def test_failed_later_page_is_retried_alone(self, _name, times_out):
        """Earlier pages are not read twice."""
        store = PagedStore({2, 3, 5}, times_out)
        page = asyncio.run(store.read_newest(TOPIC, 0))
        self.assertEqual(
            [f"k{n}".encode() for n in range(6)], [r.key for r in page.records]
        )
        self.assertEqual(["", "k1", "k1", "k1", "k3", "k3"], store.requested_after)

    def test_failed_first_page_raises_at_once(self):
        """The caller has to know soon that the store is unavailable."""
        store = PagedStore({1}, False)
        with self.assertRaises(LogError):
            asyncio.run(store.read_newest(TOPIC, 0))
        self.assertEqual([""], store.requested_after)


class RepeatingStore:
    """Answers each call with its number, and the first one again a moment later."""

    def __init__(self) -> None:
        self.connections: int = 0
        self.repeated = asyncio.Event()
        self._calls = 0

    async def serve(self, reader, writer) -> None:
        """Serve a connection."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self._calls += 1
                body = b'{"owners": [["t", %d, "m", 0]]}' % self._calls
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                writer.write(answer + body)
                if self._calls == 1:
                    await asyncio.sleep(0.05)
                    writer.write(answer + body)
                    await writer.drain()
                    self.repeated.set()
        writer.close()


class RepeatedAnswerTest(ApricotTest):
    """A store that sends a second copy of an answer on an idle connection."""

    def test_second_copy_of_an_answer_is_not_taken_for_the_next_calls(self):
        """The connection isn't used again."""

        async def scenario() -> None:
            store = RepeatingStore()
            server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
            client = StoreClient(*server.sockets[0].getsockname())
            first = await client.read_owners("g")
            await store.repeated.wait()
            await asyncio.sleep(0.05)
            second = await client.read_owners("g")
            third = await client.read_owners("g")
            numbers = [next(iter(r)).number for r in (first, second, third)]
            self.assertEqual([1, 2, 3], numbers)
            self.assertEqual(2, store.connections)
            client.close()
            server.close()

        asyncio.run(scenario())


class SlowStore:
    """Sends its answers in parts, with a pause after each, over a slow link.

    It falls silent after `parts_sent` parts if that is set.
    """

    PARTS = 20
    PAUSE_S = 0.1

    def __init__(self, body: bytes, parts_sent: int | None = None) -> None:
        self.call_count: int = 0
        self._body: bytes = body
        self._parts_sent: int = self.PARTS if parts_sent is None else parts_sent
        self._server = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop, and end all answers."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.call_count += 1
            length = b"Content-Length: %d\r\n\r\n" % len(self._body)
            writer.write(b"HTTP/1.1 200 OK\r\n" + length)
            size = -(-len(self._body) // self.PARTS)
            for number in range(self._parts_sent):
                writer.write(self._body[number * size : (number + 1) * size])
                await asyncio.sleep(self.PAUSE_S)
            await asyncio.sleep(60)


def newest_page() -> bytes:
    """Return a page of the newest records."""
    items = [
        {"key": f"k{n}", "value": base64.b64encode(b"v" * 99).decode(), "offset": n}
        for n in range(100)
    ]
    return msgspec.json.encode({"items": items, "more": False, "end": 100})


def read_records() -> bytes:
    """Return the answer to a read of 100 records."""
    records = [KeyedRecord(b"k", b"v" * 99) for _ in range(100)]
    header = READ_HEADER.pack(100, 0)
    return header + b"".join(encode_record(record) for record in records)


READS = [
    ("newest", newest_page, lambda client: client.read_newest(TOPIC, 0)),
    ("from an offset", read_records, lambda client: client.read(TOPIC, 0, 0, 0)),
]


class SlowLinkTest(ApricotTest):
    """Pages that take longer than a call may, over a link that others use as well."""

    def setUp(self) -> None:
        super().setUp()
        # Half of what a whole answer of the slow store takes at least.
        self.patch(store_module, "CALL_TIMEOUT_S", 1.0)

    def run_with_store(self, store: SlowStore, read):
        """Return what a read of a store returns."""

        async def run():
            client = StoreClient("127.0.0.1", await store.start())
            try:
                return await read(client)
            finally:
                client.close()
                await store.close()

        return asyncio.run(run())

    # Guards against pages that are read again and again, and jobs that no daemon loads.
    @parameterized.expand(READS)
    def test_page_is_read_once_for_as_long_as_it_arrives(self, _name, body, read):
        self.patch(store_module, "LONG_POLL_MARGIN_S", 1.0)
        store = SlowStore(body())
        page = self.run_with_store(store, read)
        self.assertEqual(100, len(page.records))
        self.assertEqual(1, store.call_count)

    @parameterized.expand(READS)
    def test_answer_that_stops_arriving_is_given_up(self, _name, body, read):
        self.patch(store_module, "PART_TIMEOUT_S", 0.2)
        store = SlowStore(body(), parts_sent=3)
        self.assertRaises(LogOutcomeUnknownError, self.run_with_store, store, read)

    def test_answer_that_arrives_too_slowly_is_given_up(self):
        self.patch(store_module, "MAX_ANSWER_S", 0.6)
        store = SlowStore(newest_page())
        _, _, read = READS[0]
        self.assertRaises(LogOutcomeUnknownError, self.run_with_store, store, read)

    def test_answer_without_end_is_given_up(self):
        self.patch(store_module, "MAX_ANSWER_BYTES", 1_000)
        store = SlowStore(newest_page())
        _, _, read = READS[0]
        self.assertRaises(LogOutcomeUnknownError, self.run_with_store, store, read)
