"""Batch runner of the event-loop daemon: runs the items of its own partitions."""

import asyncio
import collections
import contextlib
import random
from collections.abc import Iterator
from functools import partial

from ...clocks import Clock
from ...events import Event
from ..catalog import ServiceName
from ..fleet.view import View
from ..metrics import ServingMetrics
from ..online.attempts import AttemptRunner
from ..reporting import Reporter
from ..slots.allocator import SlotAllocator
from ..tasks import start_task
from .itemattempts import ItemAttempts
from .itemprogress import (
    RETRY_DELAY_S,
    AttemptResult,
    ItemProgress,
    Outcome,
)
from .itemschedule import (
    MAX_ITEMS_PER_SERVICE,
    ItemKey,
    WaitingItem,
    choose_items,
)
from .jobs import Jobs
from .jobtable import Job
from .partition import Partition, PendingResult
from .routecache import RouteCache
from .runningitems import ItemState, ItemWait, RunningItem, find_stalled

SCHEDULE_INTERVAL_S = 0.5
HANDOVER_DELAY_S = 0.6
PROGRESS_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 10.0
# An item that has made no progress for this long is logged.
MIN_STALL_S = 4.0
# The items of a missing route fail only if the configuration is newer than this.
MAX_VIEW_AGE_S = 2.5


def _may_start(item: RunningItem, now_s: float) -> bool:
    """Whether an item waits for an attempt that is due."""
    return item.state is ItemState.WAITING and item.retry_at_s <= now_s


class BatchRunner:
    """Runs the items of the owned partitions in order of due time, each in a task.

    One per event-loop daemon.
    """

    def __init__(
        self,
        jobs: Jobs,
        view: View,
        slots: SlotAllocator,
        attempts: AttemptRunner,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
        job_retention_s: float,
        zone: str = "",
    ) -> None:
        self._retention_ms: int = int(job_retention_s * 1000)
        self._jobs: Jobs = jobs
        self._view: View = view
        self._attempts = ItemAttempts(
            view, slots, attempts, metrics, clock, reporter, zone
        )
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._wake = asyncio.Event()
        self._items: dict[ItemKey, RunningItem] = {}
        self._owned_since_s: dict[int, float] = {}
        self._last_saved_s: float = 0.0
        self._routes = RouteCache(view)
        self._scheduler: asyncio.Task | None = None
        self._expiry: asyncio.Task | None = None

    def start(self) -> None:
        """Start scheduling items."""
        self._scheduler = start_task("batch", self._loop, self._reporter)
        self._expiry = start_task("expire jobs", self._expiry_loop, self._reporter)

    def wake(self) -> None:
        """Schedule items now rather than at the next interval."""
        self._wake.set()

    async def stop(self) -> None:
        """Stop all items and write their progress for the next owners."""
        for task in (self._scheduler, self._expiry):
            if task is not None:
                task.cancel()
        partitions = {item.partition for item in self._items.values()}
        for item_key in list(self._items):
            self._stop_item(item_key)
        for partition in partitions:
            await partition.flush()

    async def close(self) -> None:
        """Stop all items and wait until they have ended."""
        tasks = [self._scheduler, self._expiry]
        tasks += [item.task for item in self._items.values()]
        for task in tasks:
            if task is not None:
                task.cancel()
        for task in tasks:
            if task is not None:
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    async def _loop(self) -> None:
        while True:
            self._wake.clear()
            self._schedule_items()
            self._save_progress()
            await self._jobs.close_unused()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SCHEDULE_INTERVAL_S):
                    await self._wake.wait()

    def _schedule_items(self) -> None:
        """Stop items that need no more work and start those that are due first."""
        wanted = {(job.key, i): (part, job, i) for part, job, i in self._open_items()}
        for item_key in [key for key in self._items if key not in wanted]:
            self._stop_item(item_key)
        self._end_outdated_waits()
        waiting = list(self._find_waiting(wanted))
        for item in choose_items(waiting, self._count_started()):
            self._start_item(item, *wanted[item.key])
        self._report_stalled(unstarted=len(wanted) - len(self._items))

    def _end_outdated_waits(self) -> None:
        """Let items choose again that wait for a slot which they may not use now."""
        for item in self._items.values():
            waits = item.state is ItemState.STARTED and item.wait is ItemWait.SLOT
            if waits and self._attempts.is_outdated(item):
                item.task.cancel()
                self._delay(item, RETRY_DELAY_S)

    def _report_stalled(self, unstarted: int) -> None:
        """Log the item that has waited longest, if that is long."""
        now_s = self._clock.now_s()
        stalled = find_stalled(self._items.values(), now_s, MIN_STALL_S)
        if not stalled:
            return
        item = stalled[0]
        self._reporter.write_limited(
            Event.ITEM_STALLED,
            lines_per_s=1,
            job=item.job.header.id,
            item=item.job.items[item.index].id,
            waits_for=item.wait.value,
            endpoint=item.endpoint,
            for_ms=int((now_s - item.waits_since_s) * 1000),
            items=len(stalled),
            unstarted=unstarted,
        )

    def _count_started(self) -> collections.Counter[ServiceName]:
        """Return how many items of each service request a slot or run."""
        return collections.Counter(
            item.service
            for item in self._items.values()
            if item.state is ItemState.STARTED
        )

    def _find_waiting(
        self, wanted: dict[ItemKey, tuple[Partition, Job, int]]
    ) -> Iterator[WaitingItem]:
        """Yield the items that could start now; end those that cannot be done."""
        now_s, now_ms = self._clock.now_s(), self._clock.wall_ms()
        may_fail_without_route = self._is_configuration_current()
        open_services = self._find_open_services()
        for key, (partition, job, index) in wanted.items():
            item = self._items.get(key)
            if item is not None and not _may_start(item, now_s):
                continue
            route = self._routes.find(job, index)
            if route is None and not may_fail_without_route:
                continue
            if route is None or now_ms >= job.header.give_up_ms:
                self._give_up(key, partition, job, index)
                continue
            service = route.service_for(random.random())
            if service in open_services:
                fruitless = item.progress.fruitless_attempts if item else 0
                due_s = job.header.due_ms / 1000
                yield WaitingItem(key, service, due_s, fruitless)

    def _find_open_services(self) -> set[ServiceName]:
        """Return the services whose endpoints take new work, and of which more items
        may start.
        """
        started = self._count_started()
        services = {endpoint.service for endpoint in self._view.endpoints.all()}
        return {
            service
            for service in services
            if started[service] < MAX_ITEMS_PER_SERVICE
            and any(True for _ in self._view.endpoints.serving(service))
        }

    def _give_up(
        self, key: ItemKey, partition: Partition, job: Job, index: int
    ) -> None:
        item = self._items.get(key)
        if item is None:
            progress = ItemProgress(job.progress.get(index))
            item = RunningItem(partition, job, index, ServiceName(""), progress)
            self._items[key] = item
        self._finish_item(item, is_done=False)

    def _start_item(
        self, waiting: WaitingItem, partition: Partition, job: Job, index: int
    ) -> None:
        item = self._items.get(waiting.key)
        if item is None:
            progress = ItemProgress(job.progress.get(index))
            item = RunningItem(partition, job, index, waiting.service, progress)
            self._items[waiting.key] = item
        item.service = waiting.service
        item.regions = self._attempts.find_regions(job, index)
        item.state = ItemState.STARTED
        item.begin_wait(ItemWait.SLOT, self._clock.now_s())
        item.task = start_task("item", partial(self._run, item), self._reporter)

    def _stop_item(self, item_key: ItemKey) -> None:
        """Stop an item; if it has not ended, save its progress for the next owner."""
        item = self._items.pop(item_key)
        if item.task is not None:
            item.task.cancel()
        self._enqueue_progress(item)

    def _enqueue_progress(self, item: RunningItem) -> None:
        record = item.progress.to_record()
        if (
            record.is_newer_than(item.job.progress.get(item.index))
            and item.state is not ItemState.ENDED
        ):
            item.partition.enqueue_progress(item.job, item.index, record)

    def _save_progress(self) -> None:
        """Periodically write the progress of all items, since this VM may be shut
        down at any moment."""
        now_s = self._clock.now_s()
        if now_s - self._last_saved_s < PROGRESS_INTERVAL_S:
            return
        self._last_saved_s = now_s
        for item in self._items.values():
            self._enqueue_progress(item)

    async def _expiry_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for partition in self._jobs.owned_partitions():
                await partition.delete_expired_jobs(self._retention_ms)

    def _open_items(self) -> Iterator[tuple[Partition, Job, int]]:
        """Yield the items to run, after a delay in which a shard's previous owner
        can write its progress."""
        now_s = self._clock.now_s()
        owned = list(self._jobs.owned_partitions())
        numbers = {partition.number for partition in owned}
        self._owned_since_s = {n: self._owned_since_s.get(n, now_s) for n in numbers}
        for partition in owned:
            if now_s - self._owned_since_s[partition.number] < HANDOVER_DELAY_S:
                continue
            for job in partition.table.open_jobs():
                for index in sorted(job.open_items):
                    yield partition, job, index

    async def _run(self, item: RunningItem) -> None:
        """Run an item until it has ended or has to wait; one that was only revoked
        requests another slot. An entry of an item that has ended stays in `_items`
        until the result is in the log.
        """
        result = AttemptResult(Outcome.REVOKED)
        while result.outcome is Outcome.REVOKED:
            route = self._routes.find(item.job, item.index)
            is_over = self._clock.wall_ms() >= item.job.header.give_up_ms
            if route is None or is_over or not route.has_service(item.service):
                self._delay(item, RETRY_DELAY_S)
                return
            result = await self._run_attempt_safely(item)
        if result.outcome is Outcome.DONE:
            self._finish_item(item, is_done=True)
            return
        progress = item.progress
        if result.outcome is Outcome.FAILED:
            progress.failures += 1
        impossible = result.outcome is Outcome.IMPOSSIBLE
        if impossible or progress.failures >= route.max_attempts:
            self._finish_item(item, is_done=False)
            return
        delay_s = progress.retry_delay_s(result.was_fruitless)
        self._delay(item, delay_s * random.uniform(0.5, 1.5))

    async def _run_attempt_safely(self, item: RunningItem) -> AttemptResult:
        """Run an attempt; an item that causes an unexpected error keeps no place."""
        try:
            return await self._attempts.run(item)
        except Exception as exc:
            self._reporter.write(
                Event.THREAD_FAILED, task="item", error=repr(exc)[:200]
            )
            item.progress.fruitless_attempts += 1
            return AttemptResult(Outcome.RETRY, repr(exc), was_fruitless=True)

    def _delay(self, item: RunningItem, delay_s: float) -> None:
        """Let an item wait for its next attempt; others of its service may start."""
        item.state = ItemState.WAITING
        item.retry_at_s = self._clock.now_s() + delay_s
        item.begin_wait(ItemWait.RETRY, self._clock.now_s())
        self.wake()
        asyncio.get_running_loop().call_later(delay_s, self.wake)

    def _is_configuration_current(self) -> bool:
        return (
            self._view.configuration is not None and self._view.age_s() < MAX_VIEW_AGE_S
        )

    def _finish_item(self, item: RunningItem, *, is_done: bool) -> None:
        item.state = ItemState.ENDED
        item.begin_wait(ItemWait.RESULT, self._clock.now_s())
        job, progress = item.job, item.progress
        text = "\n".join(progress.data) if is_done else ""
        item.partition.enqueue_result(PendingResult(job, item.index, is_done, text))
        self._metrics.count("items_done" if is_done else "items_given_up")
        late_ms = self._clock.wall_ms() - job.header.due_ms
        self._reporter.write(
            Event.ITEM_COMPLETED if is_done else Event.ITEM_FAILED,
            job=job.header.id,
            item=job.items[item.index].id,
            failures=progress.failures,
            events=len(progress.data),
            late_ms=late_ms,
        )
