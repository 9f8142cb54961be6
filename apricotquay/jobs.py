"""The state of a job partition of the threaded daemon: its items and log offsets.

Pure: no I/O, no clock. Applying the same entries gives every reader the same state.
Payloads and results stay in the log; the state keeps their offsets, about nine
bytes per item, so a job of 66,000 items needs 0.6 MB.
"""

from array import array
from collections.abc import Iterator

import msgspec

from .charts import StateChart, load_chart
from .ids import JobId, ResourceName, RouteName, TeamId
from .leases import LeaseTable
from .records import (
    AttemptsEnded,
    AttemptsStarted,
    Claim,
    Envelope,
    ItemChunk,
    ItemResults,
    JobAccepted,
    JobCancelled,
    RewrittenChunk,
    RewrittenResults,
)

ITEM_CHART: StateChart = load_chart("item")
ITEM_STATES: tuple[str, ...] = ITEM_CHART.states
PENDING = ITEM_STATES.index("pending")
STARTED = ITEM_STATES.index("started")
NO_OFFSET = -1
UNACCEPTED_RETENTION_MS = 3_600_000


def _compile_transitions() -> dict[tuple[int, str], int]:
    """Compile the item state chart to indexes into `ITEM_STATES`."""
    return {
        (ITEM_STATES.index(source), event): ITEM_STATES.index(target)
        for source, event, target in ITEM_CHART.iter_transitions()
    }


_TRANSITIONS: dict[tuple[int, str], int] = _compile_transitions()


class ChunkLocation(msgspec.Struct):
    """The log offset of a run of consecutive items."""

    first: int
    count: int
    offset: int


class JobCounts(msgspec.Struct, frozen=True):
    """How many items of a job are in each state."""

    total: int
    pending: int
    started: int
    done: int
    failed: int
    cancelled: int
    unknown: int

    @property
    def open(self) -> int:
        """Items without a terminal outcome."""
        return self.pending + self.started


class Job:
    """One accepted job. `states` holds an index into `ITEM_STATES` per item."""

    def __init__(self, accepted: JobAccepted, chunks: list[ChunkLocation]) -> None:
        self.id: JobId = accepted.job
        self.team: TeamId = accepted.team
        self.job_key: str = accepted.job_key
        self.route: RouteName = accepted.route
        self.digest: str = accepted.digest
        self.item_count: int = accepted.item_count
        self.accepted_at_ms: int = accepted.at_ms
        self.cancelled_at_ms: int = 0
        self.finished_at_ms: int = 0
        self.chunks: list[ChunkLocation] = chunks
        self.states: bytearray = bytearray([PENDING]) * accepted.item_count
        self.result_offsets: array = array("q", [NO_OFFSET]) * accepted.item_count
        self.attempts: dict[int, str] = {}

    def apply_event(self, index: int, event: str) -> bool:
        """Apply a state chart event to an item; return whether it was allowed."""
        target = _TRANSITIONS.get((self.states[index], event))
        if target is None:
            return False
        self.states[index] = target
        return True

    def count_states(self) -> JobCounts:
        """Count the items by state."""
        by_state = {name: self.states.count(i) for i, name in enumerate(ITEM_STATES)}
        return JobCounts(total=self.item_count, **by_state)

    def is_open(self) -> bool:
        """Whether any item has no terminal outcome."""
        return PENDING in self.states or STARTED in self.states

    def pending_indexes(self, start: int = 0) -> Iterator[int]:
        """Yield the indexes of pending items, beginning at `start`."""
        index = self.states.find(PENDING, start)
        while index >= 0:
            yield index
            index = self.states.find(PENDING, index + 1)

    def state_of(self, index: int) -> str:
        """Return the name of an item's state."""
        return ITEM_STATES[self.states[index]]

    def chunk_of(self, index: int) -> ChunkLocation:
        """Return the chunk that holds an item."""
        low, high = 0, len(self.chunks) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if self.chunks[middle].first <= index:
                low = middle
            else:
                high = middle - 1
        return self.chunks[low]


class PendingSubmission:
    """Chunks of a job that is not accepted yet."""

    def __init__(self, at_ms: int) -> None:
        self.at_ms: int = at_ms
        self.chunks: dict[int, ChunkLocation] = {}

    def complete_chunks(self, item_count: int) -> list[ChunkLocation] | None:
        """Return the chunks in order if they hold all items without a gap."""
        ordered = [self.chunks[first] for first in sorted(self.chunks)]
        expected = 0
        for chunk in ordered:
            if chunk.first != expected:
                return None
            expected += chunk.count
        return ordered if expected == item_count else None


class PartitionState:
    """The state after applying a partition's stream. Used by the partition's holder
    and by readers of results.

    Records written under a claim are ignored once a newer claim is in the stream.
    The first terminal outcome of an item in log order is final.
    """

    def __init__(self, resource: ResourceName) -> None:
        self.resource: ResourceName = resource
        self.next_offset: int = 0
        self.leases: LeaseTable = LeaseTable()
        self.jobs: dict[JobId, Job] = {}
        self.ignored_records: int = 0
        self.submissions: dict[tuple[JobId, TeamId, str], PendingSubmission] = {}

    @property
    def fencing(self) -> int:
        """The fencing number of the newest claim; -1 before the first."""
        latest = self.leases.get(self.resource)
        return latest.offset if latest else -1

    def apply(self, offset: int, envelope: Envelope | None, at_ms: int) -> None:
        """Apply one entry. `at_ms` is when the entry was appended."""
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        if envelope is None:
            return
        record = envelope.record
        handler = self._HANDLERS.get(type(record))
        if handler is not None:
            handler(self, offset, record, at_ms)

    def open_jobs(self) -> list[Job]:
        """Return the jobs with open items, oldest first."""
        return [job for job in self.jobs.values() if job.is_open()]

    def drop_expired(self, now_ms: int, retention_ms: int) -> list[JobId]:
        """Remove finished jobs and abandoned submissions past their retention.

        Returns the ids of the removed jobs.
        """
        expired = [
            job.id
            for job in self.jobs.values()
            if job.finished_at_ms and now_ms - job.finished_at_ms > retention_ms
        ]
        for job_id in expired:
            del self.jobs[job_id]
        for key, submission in list(self.submissions.items()):
            if now_ms - submission.at_ms > UNACCEPTED_RETENTION_MS:
                del self.submissions[key]
        return expired

    def open_chunks_before(self, offset: int) -> Iterator[tuple[Job, ChunkLocation]]:
        """Yield chunks with open items whose record has a lower offset."""
        for job in self.jobs.values():
            if not job.is_open():
                continue
            for chunk in job.chunks:
                if chunk.offset < offset and _has_open_items(job, chunk):
                    yield job, chunk

    def results_before(self, offset: int) -> Iterator[tuple[int, Job, int]]:
        """Yield offset, job and item index of results with a lower offset."""
        for job in self.jobs.values():
            for index, result_offset in enumerate(job.result_offsets):
                if NO_OFFSET < result_offset < offset:
                    yield result_offset, job, index

    def _apply_claim(self, offset: int, record: Claim, at_ms: int) -> None:
        self.leases.apply(offset, record)

    def _apply_chunk(self, offset: int, record: ItemChunk, at_ms: int) -> None:
        if record.job in self.jobs:
            return
        key = (record.job, record.team, record.digest)
        submission = self.submissions.setdefault(key, PendingSubmission(at_ms))
        chunk = ChunkLocation(record.first, len(record.items), offset)
        # A resend appends the same chunk again; the log keeps the newest copy longest.
        submission.chunks[record.first] = chunk

    def _apply_accepted(self, offset: int, record: JobAccepted, at_ms: int) -> None:
        if record.job in self.jobs:
            return
        submission = self.submissions.get((record.job, record.team, record.digest))
        chunks = submission.complete_chunks(record.item_count) if submission else None
        if chunks is None:
            self.ignored_records += 1
            return
        self.jobs[record.job] = Job(record, chunks)
        for key in [k for k in self.submissions if k[0] == record.job]:
            del self.submissions[key]

    def _apply_cancelled(self, offset: int, record: JobCancelled, at_ms: int) -> None:
        job = self.jobs.get(record.job)
        if job is None or job.team != record.team or not job.is_open():
            return
        job.cancelled_at_ms = record.at_ms
        for index, state in enumerate(job.states):
            if state in (PENDING, STARTED):
                job.apply_event(index, "cancelled")
        job.attempts.clear()
        self._set_finished_time(job, record.at_ms)

    def _apply_attempts(self, offset: int, record: AttemptsStarted, at_ms: int) -> None:
        for started in record.attempts:
            job = self._job_for_claim(record.claim, started.job)
            if job is not None and job.apply_event(started.index, "attempt_started"):
                job.attempts[started.index] = started.attempt

    def _apply_attempts_ended(
        self, offset: int, record: AttemptsEnded, at_ms: int
    ) -> None:
        for ended in record.attempts:
            job = self._job_for_claim(record.claim, ended.job)
            if job is None or job.attempts.get(ended.index) != ended.attempt:
                continue
            if job.apply_event(ended.index, "attempt_ended"):
                del job.attempts[ended.index]

    def _apply_results(self, offset: int, record: ItemResults, at_ms: int) -> None:
        for result in record.results:
            job = self._job_for_claim(record.claim, result.job)
            if job is None or not 0 <= result.index < job.item_count:
                continue
            if job.apply_event(result.index, result.outcome):
                job.result_offsets[result.index] = offset
                job.attempts.pop(result.index, None)
                self._set_finished_time(job, record.at_ms)

    def _apply_rewritten_chunk(
        self, offset: int, record: RewrittenChunk, at_ms: int
    ) -> None:
        job = self._job_for_claim(record.claim, record.job)
        if job is not None:
            job.chunk_of(record.first).offset = offset

    def _apply_rewritten_results(
        self, offset: int, record: RewrittenResults, at_ms: int
    ) -> None:
        for result in record.results:
            job = self._job_for_claim(record.claim, result.job)
            if job is not None and job.result_offsets[result.index] != NO_OFFSET:
                job.result_offsets[result.index] = offset

    def _job_for_claim(self, claim: int, job_id: JobId) -> Job | None:
        """Return the job if `claim` is the newest; else count an ignored record."""
        if claim != self.fencing:
            self.ignored_records += 1
            return None
        return self.jobs.get(job_id)

    @staticmethod
    def _set_finished_time(job: Job, at_ms: int) -> None:
        if not job.is_open():
            job.finished_at_ms = at_ms

    _HANDLERS = {
        Claim: _apply_claim,
        ItemChunk: _apply_chunk,
        JobAccepted: _apply_accepted,
        JobCancelled: _apply_cancelled,
        AttemptsStarted: _apply_attempts,
        AttemptsEnded: _apply_attempts_ended,
        ItemResults: _apply_results,
        RewrittenChunk: _apply_rewritten_chunk,
        RewrittenResults: _apply_rewritten_results,
    }


def _has_open_items(job: Job, chunk: ChunkLocation) -> bool:
    states = job.states[chunk.first : chunk.first + chunk.count]
    return PENDING in states or STARTED in states
