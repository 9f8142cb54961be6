"""Hands a request over from an endpoint that is silent to one with a free slot."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from ..reporting import Reporter
from ..slots.slotrequests import SlotLease
from ..tasks import start_task

T = TypeVar("T")


class Handover:
    """The search for an endpoint that takes over from a silent one.

    The attempt at the silent endpoint goes on until a slot elsewhere is granted: a
    sound endpoint may be silent for a while, and without a slot the request would
    have neither. One per attempt, used by `AttemptRunner`.
    """

    def __init__(
        self,
        acquire: Callable[[], Awaitable[SlotLease | None]],
        release: Callable[[SlotLease], None],
        reporter: Reporter,
    ) -> None:
        self._acquire = acquire
        self._release = release
        self._reporter: Reporter = reporter
        self._lease: SlotLease | None = None

    def take_lease(self) -> SlotLease | None:
        """Return the slot of the endpoint that takes over; None without one."""
        lease, self._lease = self._lease, None
        return lease

    def close(self) -> None:
        """Release a slot that was not taken."""
        lease = self.take_lease()
        if lease is not None:
            self._release(lease)

    async def wait_until(self, due_s: float, output: Awaitable[T]) -> T:
        """Wait for an endpoint's output; raise TimeoutError if there is none until
        `due_s`, in the event loop's time, and another endpoint takes over.
        """
        searches: list[asyncio.Task] = []
        async with asyncio.timeout(None) as timeout:
            timer = asyncio.get_running_loop().call_at(
                due_s, lambda: searches.append(self._start_search(timeout))
            )
            try:
                return await output
            finally:
                timer.cancel()
                for search in searches:
                    search.cancel()
                if not timeout.expired():
                    self.close()

    def _start_search(self, timeout: asyncio.Timeout) -> asyncio.Task:
        return start_task("handover", partial(self._search, timeout), self._reporter)

    async def _search(self, timeout: asyncio.Timeout) -> None:
        self._lease = await self._acquire()
        if self._lease is not None:
            timeout.reschedule(asyncio.get_running_loop().time())
