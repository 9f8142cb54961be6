"""A job partition's replica at the event-loop daemon, and conditional appends to it."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec

from ...clocks import Clock
from ...events import Event
from ..fleet.keyedlog import (
    KeyedLog,
    KeyedRecord,
    LogConflictError,
    LogError,
    LogExpiredError,
    LogOutcomeUnknownError,
    Topic,
)
from ..reporting import Reporter
from ..tasks import start_task
from .jobrecords import (
    MAX_PART_BYTES,
    ProgressRecord,
    ResultRecord,
    Submission,
    encode_cancellation,
    encode_progress,
    encode_result_records,
    encode_submission,
    job_tombstones,
    progress_tombstone,
)
from .jobtable import Job, JobTable

JOBS = Topic("keyed.jobs")
FOLLOW_WAIT_MS = 1_000
# Delay after a failed call, so that few calls are made during a store outage.
RETRY_DELAY_S = 0.25
# Bytes of records per call; the store accepts 2 MiB.
MAX_APPEND_BYTES = 1_900_000
# Results and progress share one call, since the append condition covers one call.
MAX_RESULT_BYTES = 1_300_000
MAX_PROGRESS_BYTES = 500_000
RESULT_RETRY_DELAY_S = 0.3


class JobRefusedError(Exception):
    """The submission was not accepted and certainly will not be."""

    def __init__(self, message: str, *, over_cap: bool) -> None:
        super().__init__(message)
        self.over_cap: bool = over_cap


class JobOutcomeUnknownError(Exception):
    """The submission may have been accepted."""


class PendingResult(msgspec.Struct, frozen=True):
    """A result that is queued to be written."""

    job: Job
    item: int
    is_done: bool
    text: str


class Partition:
    """An event-loop daemon's replica of one partition of batch jobs.

    Headers, results and progress are appended on the condition that the log's end
    is the one up to which the writer has applied records. The store thus
    serializes all writers, and each decides on the complete state. All records
    appended before `confirmed_s` are applied. Created by `Jobs` when this daemon
    becomes the owner of the shard or one of its jobs is requested.
    """

    def __init__(
        self, number: int, log: KeyedLog, clock: Clock, reporter: Reporter
    ) -> None:
        self.number: int = number
        self.table: JobTable = JobTable()
        self.last_used_s: float = clock.now_s()
        self.confirmed_s: float = float("-inf")
        self.on_change: Callable[[], None] = lambda: None
        self._log: KeyedLog = log
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._end: int | None = None
        self._append_lock = asyncio.Lock()
        self._read_lock = asyncio.Lock()
        self._changed = asyncio.Condition()
        self._pending_results: list[PendingResult] = []
        self._pending_progress: dict[tuple[str, int], ProgressRecord] = {}
        self._pending_event = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start following the partition and writing results."""
        self._tasks = [
            start_task("follow jobs", self._follow, self._reporter),
            start_task("write results", self._write_results, self._reporter),
        ]

    async def close(self) -> None:
        """Stop. The next owner reruns items whose results are not written yet."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def catch_up(self) -> None:
        """Apply everything that was in the log when this was called."""
        requested_s = self._clock.now_s()
        async with self._read_lock:
            if self.confirmed_s < requested_s:
                await self._read_to_end(0)

    async def accept(self, submission: Submission, path_prefix: str, deadline_s: float):
        """Accept a job exactly once; return when it is stored durably.

        Raises JobRefusedError if it is certainly not accepted, JobOutcomeUnknownError
        if the outcome of an append is still unknown at `deadline_s`.
        """
        remaining_s = max(0.0, deadline_s - self._clock.now_s())
        try:
            async with asyncio.timeout(remaining_s):
                await self._append_lock.acquire()
        except TimeoutError as exc:
            raise JobRefusedError("other appends take long", over_cap=False) from exc
        try:
            await self._accept_locked(submission, path_prefix, deadline_s)
        finally:
            self._append_lock.release()

    async def _accept_locked(
        self, submission: Submission, path_prefix: str, deadline_s: float
    ) -> None:
        *parts, last = _split_into_calls(encode_submission(submission))
        unknown = False
        must_catch_up = self._end is None
        while True:
            try:
                if must_catch_up:
                    await self.catch_up()
                if self.table.find(submission.team, submission.id) is not None:
                    return
                if not self.table.fits_backlog(submission, path_prefix):
                    await self.catch_up()
                    self._check_fits(submission, path_prefix, unknown)
                if parts:
                    await self._upload(parts)
                    parts = []
                    continue
                await self._append(last)
            except LogConflictError:
                must_catch_up = True
            except LogError as exc:
                must_catch_up = True
                unknown |= isinstance(exc, LogOutcomeUnknownError)
                await self._wait_or_raise(exc, deadline_s, unknown)

    async def cancel(self, job: Job, deadline_s: float) -> None:
        """Cancel a job; raise LogError if the cancellation may not be stored."""
        record = encode_cancellation(job.key, self._clock.wall_ms())
        while not job.is_cancelled:
            try:
                await self._log.append(JOBS, self.number, [record], None)
                job.is_cancelled = True
                await self._notify()
            except LogError:
                if self._clock.now_s() + RETRY_DELAY_S >= deadline_s:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)

    def enqueue_result(self, result: PendingResult) -> None:
        """Queue a result to be written."""
        self._pending_results.append(result)
        self._pending_event.set()

    def enqueue_progress(self, job: Job, item: int, progress: ProgressRecord) -> None:
        """Queue an item's progress, from which its next owner can resume it."""
        self._pending_progress[(job.key, item)] = progress
        self._pending_event.set()

    async def flush(self) -> None:
        """Write all queued records, before the shard moves to another owner."""
        try:
            async with self._append_lock:
                await self._write_pending()
        except LogError as exc:
            self._reporter.report_lost("partition", str(exc), part=self.number)

    async def delete_expired_jobs(self, retention_ms: int) -> None:
        """Delete the records of expired jobs, so that the log's size does not grow
        with the number of past jobs."""
        now_ms = self._clock.wall_ms()
        for job in list(self.table.expired_jobs(now_ms, retention_ms)):
            try:
                for call in _split_into_calls(
                    list(job_tombstones(job.header, job.text_parts))
                ):
                    await self._log.append(JOBS, self.number, call, None)
            except LogError as exc:
                self._reporter.report_lost("partition", str(exc), part=self.number)
                return
            self._reporter.write(
                Event.JOB_EXPIRED, job=job.header.id, team=job.header.team
            )

    async def wait_for_results(self, job: Job, after: int, wait_s: float) -> None:
        """Wait until a job has more than `after` results, or for `wait_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(job.results) > after)

    def _check_fits(
        self, submission: Submission, path_prefix: str, unknown: bool
    ) -> None:
        if self.table.fits_backlog(submission, path_prefix):
            return
        if unknown:
            raise JobOutcomeUnknownError("an earlier append may have succeeded")
        raise JobRefusedError("over the team's maximum token backlog", over_cap=True)

    async def _wait_or_raise(
        self, exc: LogError, deadline_s: float, unknown: bool
    ) -> None:
        if self._clock.now_s() + RETRY_DELAY_S < deadline_s:
            await asyncio.sleep(RETRY_DELAY_S)
        elif unknown:
            raise JobOutcomeUnknownError(str(exc)) from exc
        else:
            raise JobRefusedError(str(exc), over_cap=False) from exc

    async def _upload(self, calls: list[list[KeyedRecord]]) -> None:
        """Append the first parts of a job that does not fit into one call. They have
        no effect without its header, which is appended last and conditionally."""
        for call in calls:
            await self._log.append(JOBS, self.number, call, None)

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append at the applied end in one call, then apply the appended records."""
        sent_s = self._clock.now_s()
        end = self._end
        if end is None:
            # Without applied records there is no end for the condition.
            raise LogConflictError(0)
        offset = await self._log.append(JOBS, self.number, records, end)
        async with self._read_lock:
            if self._end == offset:
                numbered = [
                    KeyedRecord(r.key, r.value, offset + n)
                    for n, r in enumerate(records)
                ]
                self._apply(numbered, offset + len(numbered))
                self.confirmed_s = sent_s
        await self._notify()

    async def _follow(self) -> None:
        while True:
            try:
                if self._end is None:
                    async with self._read_lock:
                        await self._read_to_end(0)
                await self._read_once()
            except LogError as exc:
                self._reporter.report_lost("partition", str(exc), part=self.number)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._reporter.report_recovered("partition", part=self.number)

    async def _read_once(self) -> None:
        sent_s = self._clock.now_s()
        try:
            page = await self._log.read(JOBS, self.number, self._end, FOLLOW_WAIT_MS)
        except LogExpiredError:
            async with self._read_lock:
                await self._reload()
            return
        async with self._read_lock:
            self._apply(page.records, page.end)
            if self._end >= page.end:
                self.confirmed_s = max(self.confirmed_s, sent_s)
        if page.records:
            await self._notify()

    async def _read_to_end(self, wait_ms: int) -> None:
        """Apply all records up to the end. The caller holds the read lock."""
        if self._end is None:
            page = await self._log.read_newest(JOBS, self.number)
            for record in page.records:
                self.table.apply(record)
            self._end = page.end
            self._reporter.write(
                Event.PARTITION_LOADED,
                part=self.number,
                end=page.end,
                jobs=len(self.table.jobs),
            )
        while True:
            sent_s = self._clock.now_s()
            try:
                page = await self._log.read(JOBS, self.number, self._end, wait_ms)
            except LogExpiredError:
                await self._reload()
                continue
            self._apply(page.records, page.end)
            if self._end >= page.end:
                break
        self.confirmed_s = sent_s
        if page.records:
            await self._notify()

    async def _reload(self) -> None:
        """Apply the newest record of each key to the current table."""
        page = await self._log.read_newest(JOBS, self.number)
        for record in page.records:
            self.table.apply(record)
        self._end = max(self._end or 0, page.end)

    def _apply(self, records: list[KeyedRecord], end: int) -> None:
        for record in records:
            if record.offset >= self._end:
                self.table.apply(record)
                self._end = record.offset + 1

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()
        self.on_change()

    async def _write_results(self) -> None:
        while True:
            await self._pending_event.wait()
            try:
                async with self._append_lock:
                    await self._write_pending()
            except LogConflictError:
                await self._try_catch_up()
            except LogError as exc:
                self._reporter.report_lost("partition", str(exc), part=self.number)
                await asyncio.sleep(RESULT_RETRY_DELAY_S)
                await self._try_catch_up()

    async def _try_catch_up(self) -> None:
        try:
            await self.catch_up()
        except LogError as exc:
            self._reporter.report_lost("partition", str(exc), part=self.number)

    async def _write_pending(self) -> None:
        """Append the queued results and progress in one call."""
        if self._end is None:
            await self.catch_up()
        batch = list(self._pending_results)
        progress, self._pending_progress = self._pending_progress, {}
        records = [*self._result_records(batch), *self._progress_records(progress)]
        if records:
            await self._append(records)
        written = {id(pending) for pending in batch}
        self._pending_results = [
            p for p in self._pending_results if id(p) not in written
        ]
        if not self._pending_results:
            self._pending_event.clear()

    def _progress_records(
        self, progress: dict[tuple[str, int], ProgressRecord]
    ) -> Iterator[KeyedRecord]:
        """Yield the newer progress of items that are still open."""
        size = 0
        for (key, item), record in progress.items():
            job = self.table.jobs.get(key)
            if job is None or item not in job.open_items or job.is_cancelled:
                continue
            if not record.is_newer_than(job.progress.get(item)):
                continue
            encoded = encode_progress(key, item, record)
            size += len(encoded.value)
            if size < MAX_PROGRESS_BYTES and len(encoded.value) < MAX_PART_BYTES:
                yield encoded

    def _result_records(self, batch: list[PendingResult]) -> Iterator[KeyedRecord]:
        """Assign positions to the results of items that have none yet.

        The first result that does not fit into the call and all later ones are
        removed from `batch` and stay queued, so that positions have no gap.
        """
        next_positions: dict[str, int] = {}
        seen: set[tuple[str, int]] = set()
        size = 0
        for index, pending in enumerate(list(batch)):
            job = pending.job
            known = self.table.jobs.get(job.key)
            item_key = (job.key, pending.item)
            if (
                known is None
                or pending.item not in known.open_items
                or item_key in seen
            ):
                continue
            position = next_positions.get(job.key, len(known.results))
            records = _encode_result(pending, position)
            size += sum(len(record.value) for record in records)
            if size > MAX_RESULT_BYTES and seen:
                del batch[index:]
                return
            seen.add(item_key)
            next_positions[job.key] = position + 1
            yield from records
            if pending.item in known.progress:
                yield progress_tombstone(job.key, pending.item)


def _encode_result(pending: PendingResult, position: int) -> list[KeyedRecord]:
    item_id = pending.job.items[pending.item].id
    result = ResultRecord(position, item_id, pending.is_done, pending.text)
    return encode_result_records(pending.job.key, pending.item, result)


def _split_into_calls(records: list[KeyedRecord]):
    """Split records into calls of at most MAX_APPEND_BYTES, keeping their order."""
    call: list[KeyedRecord] = []
    size = 0
    for record in records:
        length = len(record.key) + len(record.value or b"") + 8
        if call and size + length > MAX_APPEND_BYTES:
            yield call
            call, size = [], 0
        call.append(record)
        size += length
    yield call
