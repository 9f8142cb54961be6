"""One job partition on a threaded daemon that holds it or reads its results."""

import threading
import uuid
from collections.abc import Iterator

import msgspec

from .backlog import Backlog, ChosenItem, PartialResult
from .clocks import Clock
from .errors import ErrorKind, LogUnavailableError, Ran
from .events import Event, EventLog
from .ids import Incarnation, JobId, MemberId, ResourceName, StreamName, TeamId
from .jobs import Job, PartitionState
from .logclient import Appender, Log, ReadPage
from .messages import ItemReport, WorkItem
from .recordcache import RecordCache
from .records import (
    Attempt,
    AttemptsEnded,
    AttemptsStarted,
    Claim,
    ItemChunk,
    ItemResult,
    ItemResults,
    RewrittenChunk,
    RewrittenResults,
)
from .rewriting import RecordRewriter
from .snapshots import (
    DecodedEntry,
    decode_entries,
    restore_latest_snapshot,
    snapshot_records,
)
from .tasks import StreamFollower

APPEND_TIMEOUT_S = 5.0
APPLY_TIMEOUT_S = 3.0
SNAPSHOT_INTERVAL_RECORDS = 400
FIRST_LOAD_WINDOW_ENTRIES = 512
MAX_RESULTS_PER_RECORD = 500


def partition_stream(resource: ResourceName) -> StreamName:
    """Return the stream of a partition, which has the same name."""
    return StreamName(resource)


class Partition:
    """The state of one partition and, while its lease is held, its backlog of items.

    Used by `JobStore`. `lock` guards the state and the backlog; the log is never
    accessed while it is held.
    """

    def __init__(
        self,
        resource: ResourceName,
        me: MemberId,
        incarnation: Incarnation,
        log: Log,
        appender: Appender,
        cache: RecordCache,
        retention_ms: int,
        item_attempts: int,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.resource: ResourceName = resource
        self.stream: StreamName = partition_stream(resource)
        self.state = PartitionState(resource)
        self.backlog = Backlog()
        self.lock = threading.Condition(threading.RLock())
        self.loaded: bool = False
        self.paused: bool = False
        self._me: MemberId = me
        self._incarnation: Incarnation = incarnation
        self._log: Log = log
        self._appender: Appender = appender
        self._cache: RecordCache = cache
        self._item_attempts: int = item_attempts
        self._clock: Clock = clock
        self._events: EventLog = events
        self._follower = StreamFollower(
            log, self.stream, self._handle_page, clock, events, wait_ms=2_000
        )
        self._results: list[ItemResult] = []
        self._records_since_snapshot: int = 0
        self._rewriter = RecordRewriter(self.stream, appender, cache, retention_ms)
        self._logged_as_finished: set[JobId] = set()

    def start(self) -> None:
        """Load the state from the log and follow the stream.

        Raises LogUnavailableError.
        """
        self._load()
        self._follower.start()

    def close(self) -> None:
        """Stop following."""
        self._follower.close()

    def is_held(self) -> bool:
        """Whether the state is loaded and its newest claim is this process's."""
        latest = self.state.leases.get(self.resource)
        return (
            self.loaded
            and latest is not None
            and latest.claim.holder == self._me
            and latest.claim.incarnation == self._incarnation
        )

    def claim(self) -> None:
        """Append a claim; it is in force once the state shows it."""
        record = Claim(
            self.resource,
            self.state.fencing,
            self._me,
            self._incarnation,
            [],
            self._clock.wall_ms(),
        )
        offset = self._appender.append(self.stream, record, APPEND_TIMEOUT_S)
        self._events.write(Event.LEASE_CLAIMED, resource=self.resource, fencing=offset)

    def assign_items(
        self,
        runner: MemberId,
        routes: dict[str, bool],
        count: int,
        weights: dict[TeamId, float],
    ) -> list[WorkItem]:
        """Assign up to `count` items to a runner.

        `routes` maps each requested route to whether its calls are idempotent.
        """
        with self.lock:
            if not self.is_held() or self.paused:
                return []
            claim = self.state.fencing
            chosen = self.backlog.choose(self.state, set(routes), count, weights)
            now_s = self._clock.now_s()
            for choice in chosen:
                if routes[choice.job.route]:
                    continue
                # An item whose attempt is being recorded must not be chosen again.
                self.backlog.assign(choice.job.id, choice.index, runner, now_s)
        lines = self._read_lines(chosen)
        readable = [choice for choice in chosen if id(choice) in lines]
        attempts = self._record_attempts(readable, routes, claim)
        return [
            self._work_item(
                choice, claim, runner, lines[id(choice)], attempts.get(id(choice), "")
            )
            for choice in readable
            if routes[choice.job.route] or id(choice) in attempts
        ]

    def handle_report(self, report: ItemReport) -> None:
        """Handle a runner's report on an item."""
        key = (report.job, report.index)
        with self.lock:
            job = self.state.jobs.get(report.job)
            if not self.is_held() or job is None:
                return
            if job.state_of(report.index) not in ("pending", "started"):
                self.backlog.assigned.pop(key, None)
                return
            if report.attempt:
                if job.attempts.get(report.index) != report.attempt:
                    return
                if not report.outcome and report.ran != "not_run":
                    report = report.with_lost_outcome()
            if not report.outcome:
                self._requeue_or_fail(job, report)
                return
            if self.backlog.record_outcome(report.job, report.index):
                self._results.append(
                    ItemResult(report.job, report.index, report.outcome, report.body)
                )

    def renew_item(self, runner: MemberId, job_id: JobId, index: int) -> bool:
        """Renew an item's assignment; return whether its runner should continue."""
        with self.lock:
            job = self.state.jobs.get(job_id)
            if job is None or job.state_of(index) not in ("pending", "started"):
                return False
            if not self.is_held():
                return False
            return self.backlog.renew(job_id, index, runner, self._clock.now_s())

    def flush(self) -> None:
        """Append the collected outcomes."""
        with self.lock:
            results = self._results[:MAX_RESULTS_PER_RECORD]
            claim = self.state.fencing
            if not results or not self.is_held():
                return
            del self._results[: len(results)]
        record = ItemResults(claim, self._clock.wall_ms(), results)
        try:
            self._appender.append(self.stream, record, APPEND_TIMEOUT_S)
        except LogUnavailableError:
            with self.lock:
                self._results = results + self._results

    def pending_result_count(self) -> int:
        """Return the number of outcomes that are not in the log yet."""
        with self.lock:
            return len(self._results)

    def tick(self, result_retention_ms: int) -> None:
        """Run the periodic work of the holder.

        Requeues expired items, resolves lost attempts, removes expired jobs, rewrites
        old records and appends snapshots.
        """
        if not self.is_held():
            return
        self._requeue_expired()
        self._resolve_lost_attempts()
        with self.lock:
            self.state.drop_expired(self._clock.wall_ms(), result_retention_ms)
        self._rewrite_if_due()
        if self._records_since_snapshot >= SNAPSHOT_INTERVAL_RECORDS:
            self.append_snapshot()

    def append_snapshot(self) -> None:
        """Append a snapshot of the state."""
        with self.lock:
            records = snapshot_records(self.state, self.state.fencing)
            self._records_since_snapshot = 0
        try:
            for record in records:
                self._appender.append(self.stream, record, APPEND_TIMEOUT_S)
        except LogUnavailableError:
            return
        self._events.write(
            Event.SNAPSHOT_APPENDED,
            resource=self.resource,
            bytes=sum(len(r.state_z) for r in records),
        )

    def result_lines(self, job: Job, first: int, count: int) -> Iterator[bytes]:
        """Yield the result lines of items, reading those that are not cached."""
        for index in range(first, min(job.item_count, first + count)):
            offset = job.result_offsets[index]
            if offset < 0:
                continue
            record = self._cache.get(self.stream, offset)
            for result in record.results:
                if result.job == job.id and result.index == index:
                    yield result.body or self._unknown_outcome_line(job, index)
                    break

    def item_line(self, job: Job, index: int) -> bytes:
        """Return the request line of an item."""
        place = job.chunk_of(index)
        record = self._cache.get(self.stream, place.offset)
        return record.items[index - record.first]

    def _unknown_outcome_line(self, job: Job, index: int) -> bytes:
        """Return the result line of an item that may or may not have been executed."""
        custom_id = msgspec.json.decode(self.item_line(job, index))["custom_id"]
        error = {
            "code": ErrorKind.OUTCOME_UNKNOWN.value,
            "message": "the call may have been executed, so it is not repeated",
            "ran": Ran.UNKNOWN.value,
        }
        value = {
            "id": f"{job.id}-{index}",
            "custom_id": custom_id,
            "response": None,
            "error": error,
        }
        return msgspec.json.encode(value)

    def _load(self) -> None:
        """Restore the newest snapshot and apply the entries after it.

        Reads growing windows back from the tail until one holds a snapshot.
        """
        tail = self._log.read(self.stream, 0, 0, limit=1)
        first, end = tail.first_offset, tail.next_offset
        window = FIRST_LOAD_WINDOW_ENTRIES
        while True:
            start = max(first, end - window)
            entries = list(self._read_entries(start, end))
            restored = restore_latest_snapshot(self.resource, entries)
            if restored is not None or start == first:
                break
            window *= 4
        with self.lock:
            if restored is not None:
                self.state = restored
            self._apply_entries(entries)
            self._follower.next_offset = max(end, self.state.next_offset)
            self.loaded = True
        self._events.write(
            Event.PARTITION_LOADED,
            resource=self.resource,
            entries=len(entries),
            snapshot=restored is not None,
            jobs=len(self.state.jobs),
        )

    def _read_entries(self, start: int, end: int) -> Iterator[DecodedEntry]:
        offset = start
        while offset < end:
            page = self._log.read(self.stream, offset, 0)
            if not page.entries:
                return
            yield from decode_entries(page.entries, self._clock.wall_ms())
            offset = page.entries[-1].offset + 1

    def _handle_page(self, page: ReadPage, sent_s: float) -> None:
        entries = list(decode_entries(page.entries, self._clock.wall_ms()))
        for entry, raw in zip(entries, page.entries, strict=True):
            self._cache_payload(entry, len(raw.data))
        with self.lock:
            self._apply_entries(entries)
            self.lock.notify_all()
        self._log_finished_jobs()

    def _cache_payload(self, entry: DecodedEntry, size: int) -> None:
        record = entry.envelope.record if entry.envelope else None
        if isinstance(
            record, (ItemChunk, ItemResults, RewrittenChunk, RewrittenResults)
        ):
            self._cache.put(self.stream, entry.offset, record, size)

    def _apply_entries(self, entries: list[DecodedEntry]) -> None:
        for entry in entries:
            before = self.state.fencing
            self.state.apply(entry.offset, entry.envelope, entry.at_ms)
            if self.state.fencing != before:
                self._begin_term()
            self._records_since_snapshot += 1
            self._rewriter.record_time(entry.offset, entry.at_ms)

    def _begin_term(self) -> None:
        """Discard the in-memory work of the previous term after a claim was applied."""
        self.backlog = Backlog()
        self._results.clear()
        if self.is_held():
            self._events.write(
                Event.LEASE_ACTIVE, resource=self.resource, fencing=self.state.fencing
            )

    def _record_attempts(
        self, chosen: list[ChosenItem], routes: dict[str, bool], claim: int
    ) -> dict[int, str]:
        """Append the attempts of non-idempotent items to the log before they run.

        Returns the ids of the attempts that are active in the state afterwards, by
        `id()` of the chosen item.
        """
        started = {
            id(c): Attempt(c.job.id, c.index, uuid.uuid4().hex)
            for c in chosen
            if not routes[c.job.route]
        }
        if not started:
            return {}
        record = AttemptsStarted(claim, list(started.values()))
        try:
            offset = self._appender.append(self.stream, record, APPEND_TIMEOUT_S)
        except LogUnavailableError:
            # The record may be in the log nevertheless, so the items are not
            # assigned again; they expire and are resolved as lost attempts.
            return {}
        with self.lock:
            self.lock.wait_for(
                lambda: self.state.next_offset > offset, timeout=APPLY_TIMEOUT_S
            )
            return {
                choice: attempt.attempt
                for choice, attempt in started.items()
                if self._is_attempt_active(attempt, claim)
            }

    def _is_attempt_active(self, attempt: Attempt, claim: int) -> bool:
        job = self.state.jobs.get(attempt.job)
        return (
            self.state.fencing == claim
            and job is not None
            and job.attempts.get(attempt.index) == attempt.attempt
        )

    def _read_lines(self, chosen: list[ChosenItem]) -> dict[int, bytes]:
        """Read the request lines of chosen items; requeue those that cannot be read."""
        lines = {}
        for choice in chosen:
            try:
                lines[id(choice)] = self.item_line(choice.job, choice.index)
            except LogUnavailableError:
                with self.lock:
                    self.backlog.release(choice.job.id, choice.index)
        return lines

    def _work_item(
        self,
        choice: ChosenItem,
        claim: int,
        runner: MemberId,
        line: bytes,
        attempt: str,
    ) -> WorkItem:
        job, index = choice.job, choice.index
        with self.lock:
            partial = self.backlog.assign(
                job.id, index, runner, self._clock.now_s(), attempt
            )
        text, tokens = (partial.text, partial.tokens) if partial else ("", 0)
        return WorkItem(
            self.resource, claim, job.id, index, job.team, line, attempt, text, tokens
        )

    def _requeue_or_fail(self, job: Job, report: ItemReport) -> None:
        """Requeue an item that has no outcome, or fail it after too many failures."""
        if report.attempt:
            self.backlog.assigned.pop((report.job, report.index), None)
            self._record_attempt_end(report)
            return
        if report.ran == "failed":
            self.backlog.failures[(report.job, report.index)] += 1
        if self.backlog.failures[(report.job, report.index)] >= self._item_attempts:
            self._events.write(Event.ITEM_FAILED, job=report.job, index=report.index)
            if self.backlog.record_outcome(report.job, report.index):
                self._results.append(
                    ItemResult(report.job, report.index, "failed", report.body)
                )
            return
        partial = PartialResult(report.text, report.tokens)
        self.backlog.release(job.id, report.index, partial)

    def _record_attempt_end(self, report: ItemReport) -> None:
        ended = Attempt(report.job, report.index, report.attempt)
        record = AttemptsEnded(self.state.fencing, [ended])

        def append() -> None:
            try:
                self._appender.append(self.stream, record, APPEND_TIMEOUT_S)
            except LogUnavailableError:
                return
            with self.lock:
                self.backlog.release(report.job, report.index)

        threading.Thread(target=append, name="attempt-ended", daemon=True).start()

    def _requeue_expired(self) -> None:
        with self.lock:
            for job_id, index, attempt in self.backlog.expired(self._clock.now_s()):
                job = self.state.jobs.get(job_id)
                if job is not None and attempt and index in job.attempts:
                    self._record_lost_outcome(job, index)
                else:
                    self.backlog.release(job_id, index)

    def _resolve_lost_attempts(self) -> None:
        """Record a lost outcome for active attempts that no runner holds any more."""
        with self.lock:
            for job in self.state.jobs.values():
                for index in list(job.attempts):
                    if (job.id, index) not in self.backlog.assigned:
                        self._record_lost_outcome(job, index)

    def _record_lost_outcome(self, job: Job, index: int) -> None:
        if self.backlog.record_outcome(job.id, index):
            self._results.append(ItemResult(job.id, index, "outcome_lost", b""))

    def _rewrite_if_due(self) -> None:
        """Append needed records again that the log's retention would drop soon."""
        now_ms = self._clock.wall_ms()
        with self.lock:
            before = self._rewriter.due_offset(now_ms)
            if not before:
                return
            chunks = list(self.state.open_chunks_before(before))
            results = list(self.state.results_before(before))
            claim = self.state.fencing
        try:
            self._rewriter.rewrite(chunks, results, claim)
        except LogUnavailableError:
            return
        with self.lock:
            self.lock.wait_for(
                lambda: not self._has_records_before(before), APPLY_TIMEOUT_S
            )
            self._rewriter.discard_times_before(before)
        # Retention would drop the claim record too; the snapshot preserves the claim.
        self.append_snapshot()

    def _has_records_before(self, before: int) -> bool:
        return any(self.state.results_before(before)) or any(
            self.state.open_chunks_before(before)
        )

    def _log_finished_jobs(self) -> None:
        with self.lock:
            ended = [
                job
                for job in self.state.jobs.values()
                if job.finished_at_ms and job.id not in self._logged_as_finished
            ]
            for job in ended:
                self._logged_as_finished.add(job.id)
                self.backlog.forget_job(job)
        for job in ended:
            cancelled = bool(job.cancelled_at_ms)
            event = Event.JOB_CANCELLED if cancelled else Event.JOB_FINISHED
            self._events.write(event, job=job.id, team=job.team)
