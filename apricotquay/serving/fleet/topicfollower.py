"""Reads a topic to its end and then follows it, for as long as the daemon runs."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ...clocks import Clock
from ..backoff import Backoff
from ..reporting import Reporter
from ..tasks import start_task
from .keyedlog import KeyedLog, KeyedRecord, LogError, LogExpiredError, Page, Topic

READ_WAIT_MS = 1_000
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.8


class TopicFollower:
    """Follows partition 0 of one topic. Used by `View` and `CrashLog`.

    All records appended before `confirmed_s` have been applied. Offsets only rise
    within one daemon.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: Topic,
        apply: Callable[[list[KeyedRecord]], None],
        apply_newest: Callable[[Page], None],
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self.confirmed_s: float = float("-inf")
        self.on_lost: Callable[[], None] = lambda: None
        self.on_recovered: Callable[[], None] = lambda: None
        self._log: KeyedLog = log
        self._topic: Topic = topic
        self._apply = apply
        self._apply_newest = apply_newest
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._end: int = -1
        self._confirming = asyncio.Lock()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start following."""
        self._task = start_task(f"follow {self._topic}", self._follow, self._reporter)

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def age_s(self) -> float:
        """Return the time since the store confirmed that all records are known."""
        return self._clock.now_s() - self.confirmed_s

    async def confirm(self, since_s: float, timeout_s: float) -> bool:
        """Return whether all records appended before a time have been applied, after
        a read of the store if that is not known yet.
        """
        with contextlib.suppress(TimeoutError, LogError):
            async with asyncio.timeout(timeout_s), self._confirming:
                if self.confirmed_s < since_s and self._end >= 0:
                    await self._read_rest()
        return self.confirmed_s >= since_s

    async def _read_rest(self) -> None:
        """Apply what has been appended lately, without waiting for more."""
        sent_s = self._clock.now_s()
        page = await self._log.read(self._topic, 0, self._end, 0)
        self._apply(page.records)
        offsets = [record.offset + 1 for record in page.records]
        self._end = max(self._end, *offsets, 0)
        if self._end >= page.end:
            self.confirmed_s = max(self.confirmed_s, sent_s)

    async def _follow(self) -> None:
        backoff = Backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S, random.Random())
        while True:
            try:
                await self._follow_once()
            except LogExpiredError:
                self._end = -1
            except LogError as exc:
                self.on_lost()
                self._reporter.report_lost("store", str(exc), topic=self._topic)
                await asyncio.sleep(backoff.next_s())
            else:
                backoff.reset()
                self._reporter.report_recovered("store", topic=self._topic)
                self.on_recovered()

    async def _follow_once(self) -> None:
        sent_s = self._clock.now_s()
        if self._end < 0:
            page = await self._log.read_newest(self._topic, 0)
            self._apply_newest(page)
            self._end = page.end
        else:
            page = await self._log.read(self._topic, 0, self._end, READ_WAIT_MS)
            self._apply(page.records)
            last = max((r.offset + 1 for r in page.records), default=0)
            self._end = max(self._end, last)
        self.confirmed_s = max(self.confirmed_s, sent_s)
