"""Runs the items of the jobs in this daemon's shards."""

import asyncio
import contextlib
import enum
import random
from collections.abc import Iterator
from functools import partial

import msgspec

from ..clocks import Clock
from ..events import Event
from .attempts import AttemptRunner, read_events
from .catalog import Route
from .dispatch import Work
from .engine import (
    AttemptFailedError,
    EngineCall,
    EngineResponse,
    RequestNotRunError,
)
from .jobrecords import ProgressRecord
from .jobs import Jobs
from .jobtable import Job
from .metrics import ServingMetrics
from .outliers import SlotOutcome
from .partition import Partition, PendingResult
from .reporting import Reporter
from .slots import SlotAllocator, SlotLease, SlotRequest, SlotUnavailableError
from .sse import StreamEvent
from .tasks import start_task
from .view import View

# Items that ask for slots or run at the same time; the service's owner decides
# which of them run.
MAX_ITEMS_AT_ONCE = 48
IDLE_LIMIT_S = 3.0
RETRY_PAUSE_S = 0.25
SWEEP_S = 0.5
HANDOVER_WAIT_S = 0.6
PROGRESS_INTERVAL_S = 1.0
FORGET_INTERVAL_S = 10.0
# How fresh the configuration has to be before a missing route ends its items.
VIEW_FRESH_S = 2.5
ITEM_TIMEOUT_MS = 60_000
FAR_AWAY_S = 3_600.0
FIRST_GUESS_S = 3.0
SMOOTHING = 0.1
MIN_LEFT_SHARE = 0.1
FAILED = 500
UNPROCESSABLE = 422
OK = 200

ItemPlace = tuple[str, int]


class ItemProgress:
    """What is known of an item's output, kept over its attempts."""

    def __init__(self, known: ProgressRecord | None) -> None:
        self.data: list[str] = list(known.data) if known else []
        self.last_id: int = known.last_id if known else -1
        self.failures: int = known.failures if known else 0
        self.ran_s: float = 0.0
        self._failed_at: str = ""

    def avoid(self) -> frozenset[str]:
        """Return the endpoint of the last attempt if that failed."""
        return frozenset((self._failed_at,)) if self._failed_at else frozenset()

    def see_attempt(self, endpoint: str, failed: bool, ran_s: float) -> None:
        """Note where and how long an attempt ran."""
        self.ran_s += ran_s
        self._failed_at = endpoint if failed else ""

    def take(self, event: StreamEvent) -> None:
        """Add an event; a gap in the ids breaks the attempt."""
        expected = self.last_id + 1
        if self.last_id >= 0 and event.id != expected:
            raise AttemptFailedError(f"event {event.id} came instead of {expected}")
        self.data.append(event.data)
        self.last_id = event.id

    def record(self) -> ProgressRecord:
        """Return what the next runner of the item needs."""
        return ProgressRecord(self.last_id, list(self.data), self.failures)


class RunningItem(msgspec.Struct):
    """An item that this daemon runs."""

    partition: Partition
    job: Job
    index: int
    progress: ItemProgress
    task: asyncio.Task | None = None


class Durations:
    """Learns how long items run, to tell how much time one still needs."""

    def __init__(self) -> None:
        self._mean_s: float = FIRST_GUESS_S

    def see(self, ran_s: float) -> None:
        """An item that ran so long is done."""
        self._mean_s += SMOOTHING * (ran_s - self._mean_s)

    def left_s(self, ran_s: float) -> float:
        """Return how long an item that has run so long will still run."""
        return max(MIN_LEFT_SHARE * self._mean_s, self._mean_s - ran_s)


class Outcome(enum.Enum):
    """How an attempt ended.

    FAILED counts against the item; AGAIN does not, as the endpoint or the way to
    it is to blame; IMPOSSIBLE is the endpoint's word that it can never be done.
    """

    DONE = "done"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    AGAIN = "again"
    REVOKED = "revoked"


class ItemAttempt(msgspec.Struct, frozen=True):
    """The end of an attempt, with its reason for the log."""

    outcome: Outcome
    reason: str = ""
    use: SlotOutcome = SlotOutcome.UNKNOWN


class BatchRunner:
    """Keeps tasks for the items that are due first. One a daemon."""

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
    ) -> None:
        self._kept_ms: int = int(job_retention_s * 1000)
        self._jobs: Jobs = jobs
        self._view: View = view
        self._slots: SlotAllocator = slots
        self._attempts: AttemptRunner = attempts
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._durations = Durations()
        self._wake = asyncio.Event()
        self._items: dict[ItemPlace, RunningItem] = {}
        self._gained_s: dict[int, float] = {}
        self._kept_s: float = 0.0
        self._forgot_s: float = 0.0
        self._main: asyncio.Task | None = None

    def start(self) -> None:
        """Start to run items."""
        self._main = start_task("batch", self._loop, self._reporter)

    def wake(self) -> None:
        """Look for items now."""
        self._wake.set()

    async def stop(self) -> None:
        """Stop all items, and write what they have produced for the next owners."""
        if self._main is not None:
            self._main.cancel()
        partitions = {item.partition for item in self._items.values()}
        for place in list(self._items):
            self._give_up(place)
        for partition in partitions:
            await partition.flush()

    async def close(self) -> None:
        """Stop all items and wait until they have ended."""
        tasks = [self._main, *(item.task for item in self._items.values())]
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
            self._sweep()
            self._keep_progress()
            await self._jobs.drop_unused()
            await self._forget_old()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SWEEP_S):
                    await self._wake.wait()

    def _sweep(self) -> None:
        """Stop items that need no more work, and start those due first."""
        wanted = {(job.key, i): (part, job, i) for part, job, i in self._open_items()}
        for place in [place for place in self._items if place not in wanted]:
            self._give_up(place)
        running = sum(1 for item in self._items.values() if not item.task.done())
        waiting = [place for place in wanted if place not in self._items]
        waiting.sort(key=lambda place: wanted[place][1].header.due_ms)
        for place in waiting[: max(0, MAX_ITEMS_AT_ONCE - running)]:
            self._begin(place, *wanted[place])

    def _begin(
        self, place: ItemPlace, partition: Partition, job: Job, index: int
    ) -> None:
        progress = ItemProgress(job.progress.get(index))
        item = RunningItem(partition, job, index, progress)
        item.task = start_task("item", partial(self._run, item), self._reporter)
        self._items[place] = item

    def _give_up(self, place: ItemPlace) -> None:
        """Stop an item; if it is still open, its next owner gets its progress."""
        item = self._items.pop(place)
        item.task.cancel()
        self._put_progress(item)

    def _put_progress(self, item: RunningItem) -> None:
        record = item.progress.record()
        if record.is_news(item.job.progress.get(item.index)) and not item.task.done():
            item.partition.put_progress(item.job, item.index, record)

    def _keep_progress(self) -> None:
        """Write the progress of all items from time to time, since this VM may go
        at any moment."""
        now_s = self._clock.now_s()
        if now_s - self._kept_s < PROGRESS_INTERVAL_S:
            return
        self._kept_s = now_s
        for item in self._items.values():
            self._put_progress(item)

    async def _forget_old(self) -> None:
        now_s = self._clock.now_s()
        if now_s - self._forgot_s < FORGET_INTERVAL_S:
            return
        self._forgot_s = now_s
        for partition in self._jobs.owned():
            await partition.forget_old(self._kept_ms)

    def _open_items(self) -> Iterator[tuple[Partition, Job, int]]:
        """Yield the items to run; a shard's owner before has a moment to give what
        it has of them."""
        now_s = self._clock.now_s()
        owned = list(self._jobs.owned())
        numbers = {partition.number for partition in owned}
        self._gained_s = {n: self._gained_s.get(n, now_s) for n in numbers}
        for partition in owned:
            if now_s - self._gained_s[partition.number] < HANDOVER_WAIT_S:
                continue
            for job in partition.table.open_jobs():
                for index in sorted(job.open_items):
                    yield partition, job, index

    async def _run(self, item: RunningItem) -> None:
        """Run one item to its end. It stays in the list until its result does."""
        job, index, progress = item.job, item.index, item.progress
        while True:
            route = self._route_of(job, index)
            if route is None:
                if self._is_route_gone():
                    self._list(item, is_done=False)
                    return
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if self._clock.wall_ms() >= job.header.give_up_ms:
                self._list(item, is_done=False)
                return
            attempt = await self._try(job, index, route, progress)
            if attempt.outcome is Outcome.DONE:
                self._list(item, is_done=True)
                return
            if attempt.outcome is Outcome.FAILED:
                progress.failures += 1
            impossible = attempt.outcome is Outcome.IMPOSSIBLE
            if impossible or progress.failures >= route.max_attempts:
                self._list(item, is_done=False)
                return
            if attempt.outcome is not Outcome.REVOKED:
                await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    def _route_of(self, job: Job, index: int) -> Route | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        return configuration.find_route(job.header.host, job.items[index].path)

    def _is_route_gone(self) -> bool:
        return (
            self._view.configuration is not None and self._view.age_s() < VIEW_FRESH_S
        )

    def _list(self, item: RunningItem, *, is_done: bool) -> None:
        job, progress = item.job, item.progress
        text = "\n".join(progress.data) if is_done else ""
        item.partition.put_result(PendingResult(job, item.index, is_done, text))
        self._metrics.count("items_done" if is_done else "items_given_up")
        late_ms = self._clock.wall_ms() - job.header.due_ms
        self._reporter.write(
            Event.ITEM_LISTED if is_done else Event.ITEM_GIVEN_UP,
            job=job.header.id,
            item=job.items[item.index].id,
            failures=progress.failures,
            events=len(progress.data),
            late_ms=late_ms,
        )

    async def _try(
        self, job: Job, index: int, route: Route, progress: ItemProgress
    ) -> ItemAttempt:
        service = route.service_for(random.random())
        due_s = self._clock.now_s() + (job.header.due_ms - self._clock.wall_ms()) / 1000
        item = job.items[index]
        needs_s = self._durations.left_s(progress.ran_s)
        wanted = SlotRequest(
            Work.BATCH, due_s, due_s + FAR_AWAY_S, needs_s, avoid=progress.avoid()
        )
        asked_s = self._clock.now_s()
        try:
            lease = await self._slots.acquire(service, wanted)
        except SlotUnavailableError as exc:
            return ItemAttempt(Outcome.AGAIN, str(exc))
        begun_s = self._clock.now_s()
        current = asyncio.current_task()
        revoked = False

        def revoke() -> None:
            nonlocal revoked
            revoked = True
            attempt.cancel()

        attempt = asyncio.ensure_future(
            self._attempt(job, index, route, progress, lease)
        )
        lease.on_revoke = revoke
        try:
            result = await attempt
        except asyncio.CancelledError:
            attempt.cancel()
            if not revoked or current.cancelling():
                raise
            result = ItemAttempt(Outcome.REVOKED)
            self._metrics.count("items_paused")
        else:
            lease.outcome = result.use
        finally:
            self._slots.release(lease)
        ran_s = self._clock.now_s() - begun_s
        failed = result.outcome in (Outcome.AGAIN, Outcome.FAILED)
        progress.see_attempt(lease.endpoint, failed, ran_s)
        if result.outcome is Outcome.DONE:
            self._durations.see(progress.ran_s)
        self._reporter.write(
            Event.ITEM_ATTEMPT_ENDED,
            job=job.header.id,
            item=item.id,
            endpoint=lease.endpoint,
            outcome=result.outcome.value,
            reason=result.reason,
            last_event=progress.last_id,
            slot_wait_ms=int((begun_s - asked_s) * 1000),
            ran_ms=int(ran_s * 1000),
        )
        return result

    async def _attempt(
        self,
        job: Job,
        index: int,
        route: Route,
        progress: ItemProgress,
        lease: SlotLease,
    ) -> ItemAttempt:
        endpoint = self._view.endpoints.get(lease.endpoint)
        if endpoint is None or endpoint.is_leaving:
            return ItemAttempt(Outcome.AGAIN, "endpoint left")
        item = job.items[index]
        left_ms = job.header.give_up_ms - self._clock.wall_ms()
        call = EngineCall(
            item.id,
            "POST",
            item.path,
            [
                (b"host", job.header.host.encode()),
                *((n.lower().encode(), v.encode("latin-1")) for n, v in item.headers),
            ],
            item.body,
            job.header.team,
            max(1, min(ITEM_TIMEOUT_MS, left_ms)),
            progress.last_id if progress.last_id >= 0 else None,
        )
        if self._attempts.is_quarantined(call):
            return ItemAttempt(Outcome.AGAIN, "crashes endpoints")
        try:
            return await self._attempts.run(
                call, endpoint, IDLE_LIMIT_S, lambda answer: _collect(answer, progress)
            )
        except (RequestNotRunError, AttemptFailedError) as exc:
            return ItemAttempt(Outcome.AGAIN, str(exc), SlotOutcome.FAILED)


async def _collect(answer: EngineResponse, progress: ItemProgress) -> ItemAttempt:
    """Read an answer; only the endpoint's own failure counts against the item."""
    if answer.status == UNPROCESSABLE:
        return ItemAttempt(Outcome.IMPOSSIBLE, "the endpoint cannot do it")
    if answer.status == FAILED:
        return ItemAttempt(Outcome.FAILED, f"status {answer.status}")
    if answer.status != OK:
        return ItemAttempt(Outcome.AGAIN, f"status {answer.status}")
    async for events in read_events(answer, IDLE_LIMIT_S, IDLE_LIMIT_S):
        for event in events:
            progress.take(event)
    return ItemAttempt(Outcome.DONE, use=SlotOutcome.SUCCEEDED)
