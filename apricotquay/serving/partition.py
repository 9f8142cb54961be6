"""A replica of one partition of batch jobs, and the conditional writes to it."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec

from ..clocks import Clock
from ..events import Event
from .jobrecords import (
    MAX_PART_BYTES,
    ProgressRecord,
    ResultRecord,
    Submission,
    drop_job,
    drop_progress,
    encode_cancel,
    encode_progress,
    encode_result,
    encode_submission,
)
from .jobtable import Job, JobTable
from .keyedlog import (
    KeyedLog,
    KeyedRecord,
    LogConflictError,
    LogError,
    LogExpiredError,
    LogOutcomeUnknownError,
    Topic,
)
from .reporting import Reporter
from .tasks import start_task

JOBS = Topic("keyed.jobs")
FOLLOW_WAIT_MS = 1_000
# Pause after a failed read, so that an outage of the store costs few calls.
RETRY_PAUSE_S = 0.25
# Bytes of records in one call; the store takes 2 MiB.
MAX_APPEND_BYTES = 1_900_000
# Results and progress share one call, since its condition holds for that call.
MAX_RESULT_BYTES = 1_300_000
MAX_PROGRESS_BYTES = 500_000
RESULT_RETRY_S = 0.3


class JobRefusedError(Exception):
    """A submission that surely was not accepted and will not be."""

    def __init__(self, message: str, *, over_cap: bool) -> None:
        super().__init__(message)
        self.over_cap: bool = over_cap


class JobOutcomeUnknownError(Exception):
    """A submission that may have been accepted."""


class PendingResult(msgspec.Struct, frozen=True):
    """A result that waits to be written."""

    job: Job
    item: int
    is_done: bool
    text: str


class Partition:
    """One partition of jobs as this daemon sees it.

    Whoever writes appends on condition of the end that it has folded, so the
    store puts all writers in one order and each decides on the whole state.
    Created when a shard is gained or its jobs are asked for.
    """

    def __init__(
        self, number: int, log: KeyedLog, clock: Clock, reporter: Reporter
    ) -> None:
        self.number: int = number
        self.table: JobTable = JobTable()
        self.used_s: float = clock.now_s()
        self.confirmed_s: float = float("-inf")
        self.on_change: Callable[[], None] = lambda: None
        self._log: KeyedLog = log
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._end: int | None = None
        self._lock = asyncio.Lock()
        self._read_lock = asyncio.Lock()
        self._changed = asyncio.Condition()
        self._pending: list[PendingResult] = []
        self._progress: dict[tuple[str, int], ProgressRecord] = {}
        self._pending_event = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start to follow the partition and to write results."""
        self._tasks = [
            start_task("follow jobs", self._follow, self._reporter),
            start_task("write results", self._write_results, self._reporter),
        ]

    async def close(self) -> None:
        """Stop; results that are not written yet are run again by the next owner."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def confirm(self) -> None:
        """Fold everything that was in the log when this was called."""
        asked_s = self._clock.now_s()
        async with self._read_lock:
            if self.confirmed_s < asked_s:
                await self._catch_up(0)

    async def accept(self, submission: Submission, path_prefix: str, limit_s: float):
        """Accept a job once; returns when that is known to last.

        Raises JobRefusedError when it surely is not accepted, JobOutcomeUnknownError
        when an append without an answer leaves that open at `limit_s`.
        """
        *parts, last = _in_calls(encode_submission(submission))
        unknown = False
        must_confirm = self._end is None
        async with self._lock:
            while True:
                try:
                    if must_confirm:
                        await self.confirm()
                    if self.table.find(submission.team, submission.id) is not None:
                        return
                    if not self.table.fits(submission, path_prefix):
                        await self.confirm()
                        self._check_fits(submission, path_prefix, unknown)
                    if parts:
                        await self._upload(parts)
                        parts = []
                        continue
                    await self._append(last)
                except LogConflictError:
                    must_confirm = True
                except LogError as exc:
                    must_confirm = True
                    unknown |= isinstance(exc, LogOutcomeUnknownError)
                    await self._pause_or_give_up(exc, limit_s, unknown)

    async def cancel(self, job: Job, limit_s: float) -> None:
        """Cancel a job; raises LogError when that is not known to last."""
        record = encode_cancel(job.key, self._clock.wall_ms())
        while not job.is_cancelled:
            try:
                await self._log.append(JOBS, self.number, [record], None)
                job.is_cancelled = True
                await self._notify()
            except LogError:
                if self._clock.now_s() + RETRY_PAUSE_S >= limit_s:
                    raise
                await asyncio.sleep(RETRY_PAUSE_S)

    def put_result(self, result: PendingResult) -> None:
        """Queue a result to be listed."""
        self._pending.append(result)
        self._pending_event.set()

    def put_progress(self, job: Job, item: int, progress: ProgressRecord) -> None:
        """Queue what an item has produced, for whoever runs it after this daemon."""
        self._progress[(job.key, item)] = progress
        self._pending_event.set()

    async def flush(self) -> None:
        """Write what is queued, before the shard goes to another owner."""
        try:
            async with self._lock:
                await self._write_pending()
        except LogError as exc:
            self._reporter.report_lost("partition", str(exc), part=self.number)

    async def forget_old(self, kept_ms: int) -> None:
        """Drop the records of jobs that are over and old, so that the log does not
        grow with the jobs that ever were."""
        now_ms = self._clock.wall_ms()
        for job in list(self.table.forgettable(now_ms, kept_ms)):
            try:
                for call in _in_calls(list(drop_job(job.header))):
                    await self._log.append(JOBS, self.number, call, None)
            except LogError as exc:
                self._reporter.report_lost("partition", str(exc), part=self.number)
                return
            self._reporter.write(
                Event.JOB_FORGOTTEN, job=job.header.id, team=job.header.team
            )

    async def wait_for_results(self, job: Job, after: int, wait_s: float) -> None:
        """Return when a job has more results than `after`, or after the wait."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(job.listed) > after)

    def _check_fits(
        self, submission: Submission, path_prefix: str, unknown: bool
    ) -> None:
        if self.table.fits(submission, path_prefix):
            return
        if unknown:
            raise JobOutcomeUnknownError("an earlier append may have been done")
        raise JobRefusedError("over the team's waiting tokens", over_cap=True)

    async def _pause_or_give_up(
        self, exc: LogError, limit_s: float, unknown: bool
    ) -> None:
        if self._clock.now_s() + RETRY_PAUSE_S < limit_s:
            await asyncio.sleep(RETRY_PAUSE_S)
        elif unknown:
            raise JobOutcomeUnknownError(str(exc)) from exc
        else:
            raise JobRefusedError(str(exc), over_cap=False) from exc

    async def _upload(self, calls: list[list[KeyedRecord]]) -> None:
        """Append the parts of a job that does not fit into one call. They mean
        nothing without its header, which goes last and on condition."""
        for call in calls:
            await self._log.append(JOBS, self.number, call, None)

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append at the folded end, in one call, and fold what was appended."""
        sent_s = self._clock.now_s()
        end = self._end
        if end is None:
            # Without a folded state there is no condition to append on.
            raise LogConflictError(0)
        offset = await self._log.append(JOBS, self.number, records, end)
        async with self._read_lock:
            if self._end == offset:
                numbered = [
                    KeyedRecord(r.key, r.value, offset + n)
                    for n, r in enumerate(records)
                ]
                self._fold(numbered, offset + len(numbered))
                self.confirmed_s = sent_s
        await self._notify()

    async def _follow(self) -> None:
        while True:
            try:
                if self._end is None:
                    async with self._read_lock:
                        await self._catch_up(0)
                await self._follow_once()
            except LogError as exc:
                self._reporter.report_lost("partition", str(exc), part=self.number)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._reporter.report_recovered("partition", part=self.number)

    async def _follow_once(self) -> None:
        sent_s = self._clock.now_s()
        try:
            page = await self._log.read(JOBS, self.number, self._end, FOLLOW_WAIT_MS)
        except LogExpiredError:
            async with self._read_lock:
                await self._reload()
            return
        async with self._read_lock:
            self._fold(page.records, page.end)
            if self._end >= page.end:
                self.confirmed_s = max(self.confirmed_s, sent_s)
        if page.records:
            await self._notify()

    async def _catch_up(self, wait_ms: int) -> None:
        """Fold up to the end. The caller holds the read lock."""
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
            self._fold(page.records, page.end)
            if self._end >= page.end:
                break
        self.confirmed_s = sent_s
        if page.records:
            await self._notify()

    async def _reload(self) -> None:
        """Fold the newest record of each key over what is known."""
        page = await self._log.read_newest(JOBS, self.number)
        for record in page.records:
            self.table.apply(record)
        self._end = max(self._end or 0, page.end)

    def _fold(self, records: list[KeyedRecord], end: int) -> None:
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
                async with self._lock:
                    await self._write_pending()
            except LogConflictError:
                await self._try_confirm()
            except LogError as exc:
                self._reporter.report_lost("partition", str(exc), part=self.number)
                await asyncio.sleep(RESULT_RETRY_S)
                await self._try_confirm()

    async def _try_confirm(self) -> None:
        try:
            await self.confirm()
        except LogError as exc:
            self._reporter.report_lost("partition", str(exc), part=self.number)

    async def _write_pending(self) -> None:
        """Append all results that are still to be listed, in one call."""
        if self._end is None:
            await self.confirm()
        taken = list(self._pending)
        progress, self._progress = self._progress, {}
        records = [*self._numbered(taken), *self._progress_records(progress)]
        if records:
            await self._append(records)
        written = {id(pending) for pending in taken}
        self._pending = [p for p in self._pending if id(p) not in written]
        if not self._pending:
            self._pending_event.clear()

    def _progress_records(
        self, progress: dict[tuple[str, int], ProgressRecord]
    ) -> Iterator[KeyedRecord]:
        """Yield the progress of items that are still open and got further."""
        size = 0
        for (key, item), record in progress.items():
            job = self.table.jobs.get(key)
            if job is None or item not in job.open_items or job.is_cancelled:
                continue
            if not record.is_news(job.progress.get(item)):
                continue
            encoded = encode_progress(key, item, record)
            size += len(encoded.value)
            if size < MAX_PROGRESS_BYTES and len(encoded.value) < MAX_PART_BYTES:
                yield encoded

    def _numbered(self, taken: list[PendingResult]) -> Iterator[KeyedRecord]:
        """Give positions to the results of items that nobody has listed.

        What does not fit into the call is taken out of `taken` and waits, with all
        that comes after it, so that positions have no gap.
        """
        next_positions: dict[str, int] = {}
        seen: set[tuple[str, int]] = set()
        size = 0
        for index, pending in enumerate(list(taken)):
            job = pending.job
            known = self.table.jobs.get(job.key)
            place = (job.key, pending.item)
            if known is None or pending.item not in known.open_items or place in seen:
                continue
            position = next_positions.get(job.key, len(known.listed))
            record = _result_record(pending, position)
            size += len(record.value)
            if size > MAX_RESULT_BYTES and seen:
                del taken[index:]
                return
            seen.add(place)
            next_positions[job.key] = position + 1
            yield record
            if pending.item in known.progress:
                yield drop_progress(job.key, pending.item)


def _result_record(pending: PendingResult, position: int) -> KeyedRecord:
    item_id = pending.job.items[pending.item].id
    result = ResultRecord(position, item_id, pending.is_done, pending.text)
    return encode_result(pending.job.key, pending.item, result)


def _in_calls(records: list[KeyedRecord]):
    """Split records into calls that the store takes, keeping their order."""
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
