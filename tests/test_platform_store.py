"""The store's client: walks over many pages while the store refuses some."""

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
    """Answers from three pages of two records; fails the calls that are named."""

    def __init__(self, failing_calls: set[int], silent: bool) -> None:
        super().__init__("127.0.0.1", 1)
        self.asked: list[str] = []
        self._failing: set[int] = failing_calls
        self._is_silent: bool = silent

    async def _call(self, method, path, query, body=b"", **_options) -> HttpResponse:
        after = query.get("after", "")
        self.asked.append(after)
        if len(self.asked) in self._failing:
            if self._is_silent:
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


class NewestTest(ApricotTest):
    """The newest record of each key, page by page."""

    def setUp(self) -> None:
        super().setUp()
        sleep = asyncio.sleep
        self.patch(asyncio, "sleep", lambda _seconds: sleep(0))

    @parameterized.expand([("refused", False), ("silent", True)])
    def test_later_page_that_fails_is_asked_for_again_by_itself(self, _name, silent):
        """The pages before are not read twice."""
        store = PagedStore({2, 3, 5}, silent)
        page = asyncio.run(store.read_newest(TOPIC, 0))
        self.assertEqual(
            [f"k{n}".encode() for n in range(6)], [r.key for r in page.records]
        )
        self.assertEqual(["", "k1", "k1", "k1", "k3", "k3"], store.asked)

    def test_first_page_that_fails_is_reported_at_once(self):
        """The caller has to know that the store is away."""
        store = PagedStore({1}, False)
        with self.assertRaises(LogError):
            asyncio.run(store.read_newest(TOPIC, 0))
        self.assertEqual([""], store.asked)
