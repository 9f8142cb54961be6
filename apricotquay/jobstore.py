"""Job partitions of the threaded daemon: those held here, and calls to holders."""

import threading
import time
from collections.abc import Callable
from typing import TypeVar

from .clocks import Clock
from .environment import EnvironmentConfig
from .errors import (
    ErrorKind,
    LogUnavailableError,
    PeerUnavailableError,
    RequestError,
)
from .events import Event, EventLog
from .fleet import Fleet
from .ids import JobId, MemberId, ResourceName, TeamId, stable_hash
from .jobreplies import explain_item, job_reply
from .logclient import Appender, Log
from .membership import MemberState
from .messages import (
    Ack,
    ExplainItem,
    HandOver,
    JobReply,
    PulledItems,
    PullItems,
    QueryJob,
    QueryResults,
    RenewItems,
    ReportItems,
    ResultsReply,
    StopItems,
    TextReply,
)
from .partition import Partition
from .recordcache import RecordCache
from .records import JobAccepted, JobCancelled
from .settings import Settings
from .submission import Submission, split_into_chunks
from .tasks import Ticker, WorkerPool

TICK_INTERVAL_S = 0.2
WORKER_THREADS = 8
PREFERENCE_STABLE_S = 4.0
QUIESCE_TIMEOUT_S = 8.0
APPEND_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 3.0
HOLDER_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.1
MAX_MEMBERS_ASKED = 4
RESULTS_PER_CALL = 1_000
MEMBERS_PER_LINGER = 10

T = TypeVar("T")


class JobStore:
    """Holds partitions by lease and finds the holders of the others.

    Used by the HTTP API for submissions and queries, and by the batch runners of
    all daemons to get items and report on them.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        appender: Appender,
        environment: EnvironmentConfig,
        fleet: Fleet,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._settings: Settings = settings
        self._log: Log = log
        self._appender: Appender = appender
        self._environment: EnvironmentConfig = environment
        self._fleet: Fleet = fleet
        self._clock: Clock = clock
        self._events: EventLog = events
        self._cache = RecordCache(log, settings.record_cache_bytes)
        self._lock = threading.RLock()
        self._partitions: dict[ResourceName, Partition] = {}
        self._holders: dict[ResourceName, MemberId] = {}
        self._being_reconciled: set[ResourceName] = set()
        self._not_preferred_since_s: dict[ResourceName, float] = {}
        self._workers = WorkerPool("partition", WORKER_THREADS, events)
        linger_s = settings.append_linger_ms / 1000
        self._tickers = [
            Ticker("partitions", TICK_INTERVAL_S, self._tick, events),
            Ticker("results", linger_s, self._flush, events),
        ]
        self._resource_names = [
            ResourceName(f"jobs-{n}") for n in range(settings.job_partitions)
        ]

    def start(self) -> None:
        """Start claiming and holding partitions."""
        for ticker in self._tickers:
            ticker.start()

    def close(self) -> None:
        """Stop holding partitions."""
        for ticker in self._tickers:
            ticker.close()
        for partition in self._open_partitions():
            partition.close()
        self._workers.close()

    def partition_of(self, job: JobId) -> ResourceName:
        """Return the partition that a job belongs to."""
        return self._resource_names[
            stable_hash("partition", job) % len(self._resource_names)
        ]

    def submit(self, job: JobId, team: TeamId, submission: Submission) -> None:
        """Append a job's items; nothing runs before `accept`."""
        stream = self.partition_of(job)
        for chunk in split_into_chunks(job, team, submission):
            self._append(stream, chunk)

    def accept(self, accepted: JobAccepted) -> JobReply:
        """Accept a submitted job, unless it is accepted already.

        Returns once the log is known to hold the acceptance that takes effect.
        """
        reply = self.query(accepted.job, accepted.team)
        if not reply.known:
            self._append(self.partition_of(accepted.job), accepted)
            reply = self._await_acceptance(accepted)
            self._events.write(Event.JOB_ACCEPTED, job=accepted.job, team=accepted.team)
        if reply.digest != accepted.digest:
            raise RequestError(
                ErrorKind.JOB_KEY_CONFLICT,
                "the job key was used before for other items",
                param="job_key",
            )
        return reply

    def cancel(self, job: JobId, team: TeamId) -> JobReply:
        """Cancel a job; return once the cancellation is in the log and applied."""
        reply = self.query(job, team)
        if not reply.known:
            raise RequestError(ErrorKind.JOB_UNKNOWN, "the team has no such job")
        if reply.open:
            record = JobCancelled(job, team, self._clock.wall_ms())
            self._append(self.partition_of(job), record)
        deadline_s = self._clock.now_s() + HOLDER_TIMEOUT_S
        while reply.open and self._clock.now_s() < deadline_s:
            time.sleep(POLL_INTERVAL_S)
            reply = self.query(job, team)
        return reply

    def query(self, job: JobId, team: TeamId) -> JobReply:
        """Return the state of a team's job from the holder of its partition."""
        resource = self.partition_of(job)
        message = QueryJob(resource, job, team)
        return self._call_holder(resource, message, self.handle_query_job)

    def results(self, job: JobId, team: TeamId, first: int) -> ResultsReply:
        """Return a page of result lines."""
        resource = self.partition_of(job)
        message = QueryResults(resource, job, team, first, RESULTS_PER_CALL)
        return self._call_holder(resource, message, self.handle_query_results)

    def explain(self, job: JobId, index: int) -> list[str]:
        """Return lines that describe an item's state to an operator."""
        resource = self.partition_of(job)
        message = ExplainItem(resource, job, index)
        reply = self._call_holder(resource, message, self.handle_explain_item)
        return reply.lines

    def handle_query_job(self, message: QueryJob) -> JobReply:
        """Return a job's state if this daemon holds the partition."""
        partition = self._held_partition(message.resource)
        if partition is None:
            return JobReply(held=False)
        with partition.lock:
            job = partition.state.jobs.get(message.job)
            if job is None or job.team != message.team:
                return JobReply(held=True)
            return job_reply(job)

    def handle_query_results(self, message: QueryResults) -> ResultsReply:
        """Return a page of result lines if this daemon holds the partition."""
        partition = self._held_partition(message.resource)
        if partition is None:
            return ResultsReply(held=False)
        with partition.lock:
            job = partition.state.jobs.get(message.job)
        if job is None or job.team != message.team:
            return ResultsReply(held=True)
        lines = list(partition.result_lines(job, message.first, message.count))
        after = message.first + message.count
        return ResultsReply(
            held=True, lines=lines, next_first=after if after < job.item_count else -1
        )

    def handle_explain_item(self, message: ExplainItem) -> TextReply:
        """Describe an item if this daemon holds the partition."""
        partition = self._held_partition(message.resource)
        if partition is None:
            return TextReply([])
        with partition.lock:
            job = partition.state.jobs.get(message.job)
            if job is None or not 0 <= message.index < job.item_count:
                return TextReply([f"{message.job}: no such item"])
            return TextReply(explain_item(partition, job, message.index))

    def handle_pull_items(self, message: PullItems) -> PulledItems:
        """Assign items of all partitions held here to a runner."""
        current = self._environment.current
        if current is None or self._fleet.leaving:
            return PulledItems([])
        document = current.document
        routes = {
            name: route.idempotent
            for name, route in document.routes.items()
            if route.target == message.target
        }
        weights = {team_id: team.weight for team_id, team in document.teams.items()}
        items = []
        for partition in self._open_partitions():
            room = message.room - len(items)
            if room <= 0:
                break
            items += partition.assign_items(message.sender, routes, room, weights)
        return PulledItems(items)

    def handle_report_items(self, message: ReportItems) -> Ack:
        """Handle reports on items of partitions held here."""
        for report in message.reports:
            partition = self._held_partition(report.resource)
            if partition is not None:
                partition.handle_report(report)
        return Ack()

    def handle_renew_items(self, message: RenewItems) -> StopItems:
        """Renew a runner's items; return those that must stop."""
        stop = []
        for resource, job, index in message.items:
            partition = self._held_partition(resource)
            if partition is None or not partition.renew_item(
                message.sender, job, index
            ):
                stop.append((job, index))
        return StopItems(stop)

    def handle_hand_over(self, message: HandOver) -> Ack:
        """Claim a partition that its holder handed over to this daemon."""
        self._run_in_background(message.resource, self._load_and_claim)
        return Ack()

    def hand_over_all(self) -> None:
        """Quiesce every partition held here and hand it over."""
        held = [p for p in self._open_partitions() if p.is_held()]
        for partition in held:
            partition.paused = True
        deadline_s = self._clock.now_s() + QUIESCE_TIMEOUT_S
        for partition in held:
            self._quiesce(partition, deadline_s)
            self._notify_successor(partition)

    def partition_status(self) -> dict[str, str]:
        """Return the state of each partition loaded here, for status pages."""
        status = {}
        for partition in self._open_partitions():
            with partition.lock:
                jobs = partition.state.open_jobs()
                status[partition.resource] = (
                    f"{'held' if partition.is_held() else 'followed'}, fencing "
                    f"{partition.state.fencing}, {len(jobs)} open jobs, "
                    f"{len(partition.backlog.assigned)} items assigned"
                )
        return status

    def _append(self, stream: ResourceName, record) -> None:
        try:
            self._appender.append(stream, record, APPEND_TIMEOUT_S)
        except LogUnavailableError as exc:
            raise RequestError(
                ErrorKind.LOG_UNAVAILABLE,
                "the log did not confirm the job; resend it with the same job key",
            ) from exc

    def _await_acceptance(self, accepted: JobAccepted) -> JobReply:
        deadline_s = self._clock.now_s() + HOLDER_TIMEOUT_S
        while self._clock.now_s() < deadline_s:
            reply = self.query(accepted.job, accepted.team)
            if reply.known:
                return reply
            time.sleep(POLL_INTERVAL_S / 4)
        raise RequestError(
            ErrorKind.LOG_UNAVAILABLE,
            "the job was not seen in the log; upload its items again",
        )

    def _call_holder(
        self, resource: ResourceName, message, handle_locally: Callable[..., T]
    ) -> T:
        """Send a message to the members that may hold a partition until one does."""
        deadline_s = self._clock.now_s() + HOLDER_TIMEOUT_S
        while True:
            for member in self._holder_candidates(resource):
                reply = self._call_member(member, message, handle_locally)
                if reply is not None:
                    self._holders[resource] = member
                    return reply
            if self._clock.now_s() >= deadline_s:
                raise RequestError(
                    ErrorKind.JOB_STORE_UNAVAILABLE,
                    "the holder of the job cannot be reached at the moment",
                )
            time.sleep(POLL_INTERVAL_S)

    def _call_member(self, member: MemberId, message, handle_locally: Callable[..., T]):
        try:
            if member == self._fleet.me:
                reply = handle_locally(message)
            else:
                reply = self._fleet.call(member, message, CALL_TIMEOUT_S)
        except (PeerUnavailableError, LogUnavailableError):
            return None
        if isinstance(reply, TextReply):
            return reply if reply.lines else None
        return reply if reply.held else None

    def _holder_candidates(self, resource: ResourceName) -> list[MemberId]:
        order = self._fleet.preferred_with_log_access(resource)[:MAX_MEMBERS_ASKED]
        last_holder = self._holders.get(resource)
        if last_holder is not None:
            order = [last_holder, *(m for m in order if m != last_holder)]
        return order

    def _held_partition(self, resource: ResourceName) -> Partition | None:
        with self._lock:
            partition = self._partitions.get(resource)
        return partition if partition is not None and partition.is_held() else None

    def _open_partitions(self) -> list[Partition]:
        with self._lock:
            return list(self._partitions.values())

    def _flush(self) -> None:
        for partition in self._open_partitions():
            partition.flush()
        # The log takes a few hundred appends per second from the whole fleet, so
        # each writer collects results for longer in a larger fleet.
        with self._fleet.lock:
            members = self._fleet.members.listed_count() + 1
        extra_lingers = max(0.0, members / MEMBERS_PER_LINGER - 1.0)
        time.sleep(extra_lingers * self._settings.append_linger_ms / 1000)

    def _tick(self) -> None:
        for name in self._resource_names:
            if self._is_relevant(name):
                self._run_in_background(name, self._reconcile)

    def _is_relevant(self, name: ResourceName) -> bool:
        with self._lock:
            opened = name in self._partitions
        return opened or self._fleet.preferred_with_log_access(name)[:1] == [
            self._fleet.me
        ]

    def _run_in_background(
        self, name: ResourceName, task: Callable[[ResourceName], None]
    ) -> None:
        with self._lock:
            if name in self._being_reconciled:
                return
            self._being_reconciled.add(name)

        def run() -> None:
            try:
                task(name)
            except LogUnavailableError:
                return
            except Exception as exc:
                self._events.write(
                    Event.THREAD_FAILED, task=f"tend {name}", error=repr(exc)[:300]
                )
            finally:
                with self._lock:
                    self._being_reconciled.discard(name)

        self._workers.submit(run)

    def _reconcile(self, name: ResourceName) -> None:
        """Load, claim, tick, hand over or close one partition as needed."""
        preferred = self._fleet.preferred_with_log_access(name)
        is_preferred = bool(preferred) and preferred[0] == self._fleet.me
        with self._lock:
            partition = self._partitions.get(name)
        if partition is not None and partition.is_held():
            partition.tick(self._settings.result_retention_ms)
            if not is_preferred and not self._fleet.leaving:
                self._hand_over_if_preference_stable(partition)
            else:
                self._not_preferred_since_s.pop(name, None)
            return
        if is_preferred and not self._fleet.leaving:
            self._load_and_claim_if_free(name)
        elif partition is not None and not self._fleet.leaving:
            self._close_partition(name)

    def _load_and_claim_if_free(self, name: ResourceName) -> None:
        partition = self._get_or_load_partition(name)
        latest = partition.state.leases.get(name)
        if latest is not None:
            claim = latest.claim
            ended = self._fleet.has_process_ended(claim.holder, claim.incarnation)
            state = self._fleet.state_of(claim.holder)
            is_running = state in (MemberState.ALIVE, MemberState.LEAVING)
            if is_running and not ended and not self._fleet.is_cut_off(claim.holder):
                return
        partition.claim()
        self._await_own_claim(partition)

    def _load_and_claim(self, name: ResourceName) -> None:
        partition = self._get_or_load_partition(name)
        partition.claim()
        self._await_own_claim(partition)

    def _await_own_claim(self, partition: Partition) -> None:
        """Wait until this daemon's claim is applied, so that it is not made twice."""
        with partition.lock:
            partition.lock.wait_for(partition.is_held, CALL_TIMEOUT_S)

    def _get_or_load_partition(self, name: ResourceName) -> Partition:
        with self._lock:
            partition = self._partitions.get(name)
        if partition is not None:
            return partition
        partition = Partition(
            name,
            self._fleet.me,
            self._fleet.incarnation,
            self._log,
            self._appender,
            self._cache,
            self._settings.log_retention_ms,
            self._settings.item_attempts,
            self._clock,
            self._events,
        )
        partition.start()
        with self._lock:
            self._partitions[name] = partition
        return partition

    def _close_partition(self, name: ResourceName) -> None:
        with self._lock:
            partition = self._partitions.pop(name, None)
        if partition is not None:
            partition.close()

    def _hand_over_if_preference_stable(self, partition: Partition) -> None:
        since_s = self._not_preferred_since_s.setdefault(
            partition.resource, self._clock.now_s()
        )
        if self._clock.now_s() - since_s < PREFERENCE_STABLE_S:
            return
        del self._not_preferred_since_s[partition.resource]
        partition.paused = True
        self._quiesce(partition, self._clock.now_s() + QUIESCE_TIMEOUT_S)
        self._notify_successor(partition)
        with partition.lock:
            partition.lock.wait_for(lambda: not partition.is_held(), CALL_TIMEOUT_S)
        partition.paused = False

    def _quiesce(self, partition: Partition, deadline_s: float) -> None:
        """Wait until no item is assigned and all outcomes are in the log."""
        while self._clock.now_s() < deadline_s:
            partition.flush()
            with partition.lock:
                busy = partition.backlog.assigned or partition.pending_result_count()
            if not busy:
                return
            time.sleep(POLL_INTERVAL_S / 2)

    def _notify_successor(self, partition: Partition) -> None:
        message = HandOver(
            self._fleet.me, partition.resource, partition.state.fencing, {}, False
        )
        order = self._fleet.preferred_with_log_access(partition.resource)
        for member in [m for m in order if m != self._fleet.me][:2]:
            try:
                self._fleet.call(member, message, CALL_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            self._events.write(
                Event.LEASE_HANDED_OVER, resource=partition.resource, to=member
            )
            return
