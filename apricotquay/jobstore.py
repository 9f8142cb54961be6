"""Jobs over all partitions: which this daemon holds, and where to ask for others."""

import threading
import time
from collections.abc import Callable
from typing import TypeVar

from .clocks import Clock
from .environment import Environment
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

TICK_S = 0.2
WORKERS = 8
SETTLE_S = 4.0
QUIESCE_LIMIT_S = 8.0
APPEND_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 3.0
FIND_TIMEOUT_S = 6.0
FIND_PAUSE_S = 0.1
ASKED_MEMBERS = 4
RESULTS_A_CALL = 1_000
MEMBERS_A_LINGER = 10

T = TypeVar("T")


class JobStore:
    """Holds partitions by lease and finds the holders of the others.

    Used by the callers' interface for submissions and queries, and by the batch
    runners of all daemons for items.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        appender: Appender,
        environment: Environment,
        fleet: Fleet,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._settings: Settings = settings
        self._log: Log = log
        self._appender: Appender = appender
        self._environment: Environment = environment
        self._fleet: Fleet = fleet
        self._clock: Clock = clock
        self._events: EventLog = events
        self._cache = RecordCache(log, settings.record_cache_bytes)
        self._lock = threading.RLock()
        self._partitions: dict[ResourceName, Partition] = {}
        self._holders: dict[ResourceName, MemberId] = {}
        self._busy: set[ResourceName] = set()
        self._others_since_s: dict[ResourceName, float] = {}
        self._workers = WorkerPool("partition", WORKERS, events)
        linger_s = settings.append_linger_ms / 1000
        self._tickers = [
            Ticker("partitions", TICK_S, self._tick, events),
            Ticker("results", linger_s, self._flush, events),
        ]
        self._names = [
            ResourceName(f"jobs-{n}") for n in range(settings.job_partitions)
        ]

    def start(self) -> None:
        """Start to hold partitions."""
        for ticker in self._tickers:
            ticker.start()

    def close(self) -> None:
        """Stop holding partitions."""
        for ticker in self._tickers:
            ticker.close()
        for partition in self._opened():
            partition.close()
        self._workers.close()

    def partition_of(self, job: JobId) -> ResourceName:
        """Return the partition that a job belongs to."""
        return self._names[stable_hash("partition", job) % len(self._names)]

    def submit(self, job: JobId, team: TeamId, submission: Submission) -> None:
        """Append a job's items; nothing runs before `accept`."""
        stream = self.partition_of(job)
        for chunk in split_into_chunks(job, team, submission):
            self._append(stream, chunk)

    def accept(self, accepted: JobAccepted) -> JobReply:
        """Accept a submitted job, or find it accepted already.

        Returns once the acceptance is known to be in the log and to be the one
        that counts.
        """
        known = self.query(accepted.job, accepted.team)
        if not known.known:
            self._append(self.partition_of(accepted.job), accepted)
            known = self._await_known(accepted)
            self._events.write(Event.JOB_ACCEPTED, job=accepted.job, team=accepted.team)
        if known.digest != accepted.digest:
            raise RequestError(
                ErrorKind.JOB_KEY_CONFLICT,
                "the job key was used before for other items",
                param="job_key",
            )
        return known

    def cancel(self, job: JobId, team: TeamId) -> JobReply:
        """Cancel a job; returns once the order is in the log and folded."""
        known = self.query(job, team)
        if not known.known:
            raise RequestError(ErrorKind.JOB_UNKNOWN, "the team has no such job")
        if known.open:
            record = JobCancelled(job, team, self._clock.wall_ms())
            self._append(self.partition_of(job), record)
        limit_s = self._clock.now_s() + FIND_TIMEOUT_S
        while known.open and self._clock.now_s() < limit_s:
            time.sleep(FIND_PAUSE_S)
            known = self.query(job, team)
        return known

    def query(self, job: JobId, team: TeamId) -> JobReply:
        """Return a team's job as its partition's holder knows it."""
        resource = self.partition_of(job)
        message = QueryJob(resource, job, team)
        return self._ask_holder(resource, message, self.handle_query_job)

    def results(self, job: JobId, team: TeamId, first: int) -> ResultsReply:
        """Return a page of result lines."""
        resource = self.partition_of(job)
        message = QueryResults(resource, job, team, first, RESULTS_A_CALL)
        return self._ask_holder(resource, message, self.handle_query_results)

    def explain(self, job: JobId, index: int) -> list[str]:
        """Return what is known of an item."""
        resource = self.partition_of(job)
        message = ExplainItem(resource, job, index)
        reply = self._ask_holder(resource, message, self.handle_explain_item)
        return reply.lines

    def handle_query_job(self, message: QueryJob) -> JobReply:
        """Answer as the holder of a partition."""
        partition = self._held(message.resource)
        if partition is None:
            return JobReply(held=False)
        with partition.lock:
            job = partition.state.jobs.get(message.job)
            if job is None or job.team != message.team:
                return JobReply(held=True)
            return job_reply(job)

    def handle_query_results(self, message: QueryResults) -> ResultsReply:
        """Answer as the holder of a partition."""
        partition = self._held(message.resource)
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
        """Answer as the holder of a partition."""
        partition = self._held(message.resource)
        if partition is None:
            return TextReply([])
        with partition.lock:
            job = partition.state.jobs.get(message.job)
            if job is None or not 0 <= message.index < job.item_count:
                return TextReply([f"{message.job}: no such item"])
            return TextReply(explain_item(partition, job, message.index))

    def handle_pull_items(self, message: PullItems) -> PulledItems:
        """Hand out items of all partitions held here."""
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
        for partition in self._opened():
            room = message.room - len(items)
            if room <= 0:
                break
            items += partition.assign_items(message.sender, routes, room, weights)
        return PulledItems(items)

    def handle_report_items(self, message: ReportItems) -> Ack:
        """Take in reports of items of partitions held here."""
        for report in message.reports:
            partition = self._held(report.resource)
            if partition is not None:
                partition.handle_report(report)
        return Ack()

    def handle_renew_items(self, message: RenewItems) -> StopItems:
        """Renew a runner's items; list those that must stop."""
        stop = []
        for resource, job, index in message.items:
            partition = self._held(resource)
            if partition is None or not partition.renew_item(
                message.sender, job, index
            ):
                stop.append((job, index))
        return StopItems(stop)

    def handle_hand_over(self, message: HandOver) -> Ack:
        """Claim a partition that its holder handed to this daemon."""
        self._in_background(message.resource, self._open_and_claim)
        return Ack()

    def hand_over_all(self) -> None:
        """Quiesce every partition held here and hand it over."""
        held = [p for p in self._opened() if p.is_held()]
        for partition in held:
            partition.paused = True
        limit_s = self._clock.now_s() + QUIESCE_LIMIT_S
        for partition in held:
            self._quiesce(partition, limit_s)
            self._tell_successor(partition)

    def partition_status(self) -> dict[str, str]:
        """Return the partitions opened here, for status pages."""
        status = {}
        for partition in self._opened():
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

    def _await_known(self, accepted: JobAccepted) -> JobReply:
        limit_s = self._clock.now_s() + FIND_TIMEOUT_S
        while self._clock.now_s() < limit_s:
            known = self.query(accepted.job, accepted.team)
            if known.known:
                return known
            time.sleep(FIND_PAUSE_S / 4)
        raise RequestError(
            ErrorKind.LOG_UNAVAILABLE,
            "the job was not seen in the log; upload its items again",
        )

    def _ask_holder(
        self, resource: ResourceName, message, answer_here: Callable[..., T]
    ) -> T:
        """Ask the members that may hold a partition until one does."""
        limit_s = self._clock.now_s() + FIND_TIMEOUT_S
        while True:
            for member in self._likely_holders(resource):
                reply = self._ask_member(member, message, answer_here)
                if reply is not None:
                    self._holders[resource] = member
                    return reply
            if self._clock.now_s() >= limit_s:
                raise RequestError(
                    ErrorKind.JOB_STORE_UNAVAILABLE,
                    "the holder of the job cannot be reached at the moment",
                )
            time.sleep(FIND_PAUSE_S)

    def _ask_member(self, member: MemberId, message, answer_here: Callable[..., T]):
        try:
            if member == self._fleet.me:
                reply = answer_here(message)
            else:
                reply = self._fleet.call(member, message, CALL_TIMEOUT_S)
        except (PeerUnavailableError, LogUnavailableError):
            return None
        if isinstance(reply, TextReply):
            return reply if reply.lines else None
        return reply if reply.held else None

    def _likely_holders(self, resource: ResourceName) -> list[MemberId]:
        order = self._fleet.preferred_with_log_access(resource)[:ASKED_MEMBERS]
        last = self._holders.get(resource)
        if last is not None:
            order = [last, *(m for m in order if m != last)]
        return order

    def _held(self, resource: ResourceName) -> Partition | None:
        with self._lock:
            partition = self._partitions.get(resource)
        return partition if partition is not None and partition.is_held() else None

    def _opened(self) -> list[Partition]:
        with self._lock:
            return list(self._partitions.values())

    def _flush(self) -> None:
        for partition in self._opened():
            partition.flush()
        # The log takes a few hundred appends a second from the whole fleet, so
        # each writer gathers for longer in a larger one.
        with self._fleet.lock:
            members = self._fleet.members.listed_count() + 1
        longer = max(0.0, members / MEMBERS_A_LINGER - 1.0)
        time.sleep(longer * self._settings.append_linger_ms / 1000)

    def _tick(self) -> None:
        for name in self._names:
            if self._concerns_me(name):
                self._in_background(name, self._tend)

    def _concerns_me(self, name: ResourceName) -> bool:
        with self._lock:
            opened = name in self._partitions
        return opened or self._fleet.preferred_with_log_access(name)[:1] == [
            self._fleet.me
        ]

    def _in_background(
        self, name: ResourceName, task: Callable[[ResourceName], None]
    ) -> None:
        with self._lock:
            if name in self._busy:
                return
            self._busy.add(name)

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
                    self._busy.discard(name)

        self._workers.submit(run)

    def _tend(self, name: ResourceName) -> None:
        """Open, claim, work on, hand over or close one partition."""
        preferred = self._fleet.preferred_with_log_access(name)
        mine = bool(preferred) and preferred[0] == self._fleet.me
        with self._lock:
            partition = self._partitions.get(name)
        if partition is not None and partition.is_held():
            partition.tick(self._settings.result_retention_ms)
            if not mine and not self._fleet.leaving:
                self._give_away_if_settled(partition)
            else:
                self._others_since_s.pop(name, None)
            return
        if mine and not self._fleet.leaving:
            self._open_and_claim_if_free(name)
        elif partition is not None and not self._fleet.leaving:
            self._close_partition(name)

    def _open_and_claim_if_free(self, name: ResourceName) -> None:
        partition = self._open(name)
        held = partition.state.leases.get(name)
        if held is not None:
            claim = held.claim
            ended = self._fleet.has_process_ended(claim.holder, claim.incarnation)
            state = self._fleet.state_of(claim.holder)
            working = state in (MemberState.ALIVE, MemberState.LEAVING)
            if working and not ended and not self._fleet.is_cut_off(claim.holder):
                return
        partition.claim()
        self._await_held(partition)

    def _open_and_claim(self, name: ResourceName) -> None:
        partition = self._open(name)
        partition.claim()
        self._await_held(partition)

    def _await_held(self, partition: Partition) -> None:
        """Wait until the own claim is folded in, so that it is not made twice."""
        with partition.lock:
            partition.lock.wait_for(partition.is_held, CALL_TIMEOUT_S)

    def _open(self, name: ResourceName) -> Partition:
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

    def _give_away_if_settled(self, partition: Partition) -> None:
        since_s = self._others_since_s.setdefault(
            partition.resource, self._clock.now_s()
        )
        if self._clock.now_s() - since_s < SETTLE_S:
            return
        del self._others_since_s[partition.resource]
        partition.paused = True
        self._quiesce(partition, self._clock.now_s() + QUIESCE_LIMIT_S)
        self._tell_successor(partition)
        with partition.lock:
            partition.lock.wait_for(lambda: not partition.is_held(), CALL_TIMEOUT_S)
        partition.paused = False

    def _quiesce(self, partition: Partition, limit_s: float) -> None:
        """Wait until no item is out and all outcomes are in the log."""
        while self._clock.now_s() < limit_s:
            partition.flush()
            with partition.lock:
                busy = partition.backlog.assigned or partition.pending_result_count()
            if not busy:
                return
            time.sleep(FIND_PAUSE_S / 2)

    def _tell_successor(self, partition: Partition) -> None:
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
