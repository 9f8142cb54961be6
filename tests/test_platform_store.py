"""Reads of many pages by the store's client while the store fails some of them."""

import asyncio
import base64
import contextlib

import msgspec
from parameterized import parameterized

from apricotquay.platform.store import StoreClient
from apricotquay.serving.fleet.keyedlog import LogError, LogOutcomeUnknownError, Topic
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
