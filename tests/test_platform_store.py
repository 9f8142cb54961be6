"""Reads of many pages by the store's client while the store fails some of them."""

import asyncio
import base64

import msgspec
from parameterized import parameterized

from apricotquay.platform.store import StoreClient
from apricotquay.serving.http1 import HttpResponse
from apricotquay.serving.keyedlog import LogError, LogOutcomeUnknownError, Topic

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
