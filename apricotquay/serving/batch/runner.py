"""Batch runner of the event-loop daemon: runs the items of its own partitions."""

import asyncio
import collections
import contextlib
import enum
import random
from collections.abc import Iterator
from functools import partial

import msgspec

from ...clocks import Clock
from ...events import Event
from ..catalog import Configuration, Route, ServiceName
from ..engine import (
    AttemptFailedError,
    EngineCall,
    EngineResponse,
    RequestNotRunError,
)
from ..fleet.view import View
from ..metrics import ServingMetrics
from ..online.attempts import AttemptRunner, read_events
from ..reporting import Reporter
from ..slots.allocator import (
    SlotAllocator,
    SlotLease,
    SlotRequest,
    SlotUnavailableError,
)
from ..slots.outliers import SlotOutcome
from ..slots.tickets import Work
from ..tasks import start_task
from .itemprogress import (
    EVENT_TIMEOUT_S,
    RETRY_DELAY_S,
    AttemptResult,
    ItemProgress,
    Outcome,
    RunTimeEstimate,
)
from .itemschedule import (
    MAX_ITEMS_PER_SERVICE,
    ItemKey,
    WaitingItem,
    choose_items,
    postponement_s,
)
from .jobs import Jobs
from .jobtable import Job
from .partition import Partition, PendingResult

SCHEDULE_INTERVAL_S = 0.5
HANDOVER_DELAY_S = 0.6
PROGRESS_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 10.0
# The items of a missing route fail only if the configuration is newer than this.
MAX_VIEW_AGE_S = 2.5
ITEM_TIMEOUT_MS = 60_000
MAX_CACHED_ROUTES = 20_000
MAX_SLOT_WAIT_S = 3_600.0
SERVER_ERROR = 500
UNPROCESSABLE = 422
OK = 200


class ItemState(enum.Enum):
    """Whether an item runs or requests a slot, waits for its next attempt, or has a
    result that is being written.
    """

    STARTED = "started"
    WAITING = "waiting"
    ENDED = "ended"


class RunningItem(msgspec.Struct):
    """A batch item that this event-loop daemon runs, and the task of its attempt.

    An item that waits is not started before `retry_at_s`.
    """

    partition: Partition
    job: Job
    index: int
    service: ServiceName
    progress: ItemProgress
    state: ItemState = ItemState.WAITING
    retry_at_s: float = float("-inf")
    task: asyncio.Task | None = None


def _may_start(item: RunningItem, now_s: float) -> bool:
    """Whether an item waits for an attempt that is due."""
    return item.state is ItemState.WAITING and item.retry_at_s <= now_s


class RouteCache:
    """The routes of items in the current configuration, each found once."""

    def __init__(self, view: View) -> None:
        self._view: View = view
        self._configuration: Configuration | None = None
        self._routes: dict[tuple[str, str], Route | None] = {}

    def find(self, job: Job, index: int) -> Route | None:
        """Return the route of an item, None without one or a configuration."""
        configuration = self._view.configuration
        if configuration is None:
            return None
        if configuration is not self._configuration:
            self._configuration = configuration
            self._routes.clear()
        target = (job.header.host, job.items[index].path)
        if target not in self._routes:
            if len(self._routes) >= MAX_CACHED_ROUTES:
                self._routes.clear()
            self._routes[target] = configuration.find_route(*target)
        return self._routes[target]


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
    ) -> None:
        self._retention_ms: int = int(job_retention_s * 1000)
        self._jobs: Jobs = jobs
        self._view: View = view
        self._slots: SlotAllocator = slots
        self._attempts: AttemptRunner = attempts
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._run_times = RunTimeEstimate()
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
        waiting = list(self._find_waiting(wanted))
        for item in choose_items(waiting, self._count_started()):
            self._start_item(item, *wanted[item.key])

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
        item.state = ItemState.STARTED
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
            if route is None or is_over:
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
            return await self._run_attempt(item)
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
        self.wake()
        asyncio.get_running_loop().call_later(delay_s, self.wake)

    def _is_configuration_current(self) -> bool:
        return (
            self._view.configuration is not None and self._view.age_s() < MAX_VIEW_AGE_S
        )

    def _finish_item(self, item: RunningItem, *, is_done: bool) -> None:
        item.state = ItemState.ENDED
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

    async def _run_attempt(self, running: RunningItem) -> AttemptResult:
        job, index, progress = running.job, running.index, running.progress
        service = running.service
        due_s = self._clock.now_s() + (job.header.due_ms - self._clock.wall_ms()) / 1000
        due_s += postponement_s(progress.fruitless_attempts)
        item = job.items[index]
        self._discard_lost_version(service, progress)
        needs_s = self._run_times.remaining_s(progress.ran_s)
        slot_request = SlotRequest(
            Work.BATCH,
            due_s,
            due_s + MAX_SLOT_WAIT_S,
            needs_s,
            avoid=progress.endpoints_to_avoid(),
            version=progress.version,
        )
        requested_s = self._clock.now_s()
        try:
            lease = await self._slots.acquire(service, slot_request)
        except SlotUnavailableError as exc:
            return AttemptResult(Outcome.RETRY, str(exc))
        started_s = self._clock.now_s()
        first_id = progress.last_id
        current = asyncio.current_task()
        revoked = False

        def revoke() -> None:
            nonlocal revoked
            revoked = True
            attempt.cancel()

        attempt = asyncio.ensure_future(self._send(job, index, progress, lease))
        lease.on_revoke = revoke
        try:
            result = await attempt
        except asyncio.CancelledError:
            attempt.cancel()
            if not revoked or current.cancelling():
                raise
            result = AttemptResult(Outcome.REVOKED)
            self._metrics.count("items_paused")
        else:
            lease.outcome = result.slot_outcome
        finally:
            self._slots.release(lease)
        ran_s = self._clock.now_s() - started_s
        had_output = progress.last_id > first_id
        progress.record_attempt(lease.endpoint, result, had_output, ran_s)
        if result.outcome is Outcome.DONE:
            self._run_times.record(progress.ran_s)
        self._reporter.write(
            Event.ITEM_ATTEMPT_ENDED,
            job=job.header.id,
            item=item.id,
            endpoint=lease.endpoint,
            outcome=result.outcome.value,
            reason=result.reason,
            last_event=progress.last_id,
            slot_wait_ms=int((started_s - requested_s) * 1000),
            ran_ms=int(ran_s * 1000),
        )
        return result

    def _discard_lost_version(
        self, service: ServiceName, progress: ItemProgress
    ) -> None:
        """Discard output that no endpoint can go on with; the item runs anew."""
        endpoints = self._view.endpoints
        if progress.last_id < 0 or not any(endpoints.serving(service)):
            return
        if progress.version and any(endpoints.serving(service, progress.version)):
            return
        progress.discard_output()

    async def _send(
        self,
        job: Job,
        index: int,
        progress: ItemProgress,
        lease: SlotLease,
    ) -> AttemptResult:
        endpoint = self._view.endpoints.get(lease.endpoint)
        if endpoint is None or endpoint.is_leaving:
            return AttemptResult(Outcome.RETRY, "endpoint left")
        if progress.version and endpoint.version != progress.version:
            return AttemptResult(Outcome.RETRY, "another version")
        item = job.items[index]
        headers = [
            (b"host", job.header.host.encode()),
            *((n.lower().encode(), v.encode("latin-1")) for n, v in item.headers),
        ]
        remaining_ms = job.header.give_up_ms - self._clock.wall_ms()
        call = EngineCall(
            item.id,
            "POST",
            item.path,
            headers,
            item.body,
            job.header.team,
            max(1, min(ITEM_TIMEOUT_MS, remaining_ms)),
            progress.last_id if progress.last_id >= 0 else None,
            self._attempts.prompt_parts(headers),
        )
        last_id = progress.last_id
        timeout_s = progress.event_timeout_s()
        try:
            return await self._attempts.run(
                call,
                endpoint,
                timeout_s,
                lambda response: _read_output(
                    response, progress, endpoint.version, timeout_s
                ),
                # An accepted item is owed, whatever ended while it ran.
                may_crash_endpoints=False,
                on_limit=partial(self._slots.record_limit, lease),
            )
        except RequestNotRunError as exc:
            lease.path_check = exc.path_check
            slot_outcome = SlotOutcome.FAILED if exc.is_failure else SlotOutcome.UNKNOWN
            return AttemptResult(Outcome.RETRY, str(exc), slot_outcome)
        except AttemptFailedError as exc:
            lease.path_check = exc.path_check
            return AttemptResult(
                Outcome.RETRY,
                str(exc),
                SlotOutcome.FAILED if exc.is_failure else SlotOutcome.UNKNOWN,
                was_fruitless=exc.reset and progress.last_id == last_id,
                timed_out=exc.timed_out,
            )


async def _read_output(
    response: EngineResponse,
    progress: ItemProgress,
    version: str,
    timeout_s: float = EVENT_TIMEOUT_S,
) -> AttemptResult:
    """Read a response; only a failure of the endpoint's processing counts against
    the item."""
    if response.status == UNPROCESSABLE:
        return AttemptResult(Outcome.IMPOSSIBLE, "the endpoint cannot do it")
    if response.status == SERVER_ERROR:
        return AttemptResult(Outcome.FAILED, f"status {response.status}")
    if response.status != OK:
        return AttemptResult(Outcome.RETRY, f"status {response.status}")
    async for events in read_events(response, timeout_s, timeout_s):
        for event in events:
            progress.append_event(event, version)
    return AttemptResult(Outcome.DONE, slot_outcome=SlotOutcome.SUCCEEDED)
