"""Batch job calls at any event-loop daemon, served by the owner of the job's shard.

If the owner does not answer, the daemon that was called serves them from the log.
"""

import asyncio
from collections.abc import Callable, Iterator

import msgspec

from ...clocks import Clock
from ...errors import ApricotquayError, PeerUnavailableError
from ...events import Event
from ...ids import JobId, TeamId
from ..fleet.keyedlog import KeyedLog, LogError
from ..fleet.peers import Peers
from ..fleet.shards import Shards, shard_number
from ..messages import (
    CallNotServed,
    CancelJob,
    ItemBody,
    JobAnswer,
    JobPage,
    Message,
    ReadBody,
    ReadJob,
    ResultItem,
    SubmitJob,
)
from ..reporting import Reporter
from .jobrecords import Submission
from .jobtable import Job
from .partition import JobOutcomeUnknownError, JobRefusedError, Partition

# Maximum staleness of a replica for the reply that a job or results are missing.
MAX_STALENESS_S = 0.7
CATCH_UP_TIMEOUT_S = 1.0
OWNER_TIMEOUT_S = 0.7
CANCEL_TIMEOUT_S = 2.5
UNUSED_TIMEOUT_S = 10.0
MAX_PAGE_BYTES = 900_000

DONE = "done"
OVER_CAP = "over_cap"
REFUSED = "refused"
UNKNOWN_JOB = "unknown_job"
OUTCOME_UNKNOWN = "outcome_unknown"

OWNER_OUTCOME_UNKNOWN = CallNotServed("the owner did not answer")


class JobsUnavailableError(ApricotquayError):
    """The state of a job is currently not known for certain."""


class Jobs:
    """All batch jobs. Used by the callers' HTTP handler, peers and `BatchRunner`."""

    def __init__(
        self,
        log: KeyedLog,
        shards: Shards,
        peers: Peers,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self._log: KeyedLog = log
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._partitions: dict[int, Partition] = {}

    async def close(self) -> None:
        """Close all partitions."""
        for partition in self._partitions.values():
            await partition.close()

    def owned_partitions(self) -> Iterator[Partition]:
        """Yield the partitions whose items this daemon runs."""
        if not self._shards.has_recent_contact:
            return
        for number in sorted(self._shards.owned):
            yield self._open_partition(number)

    async def close_unused(self) -> None:
        """Close partitions of other owners that were not used recently."""
        now_s = self._clock.now_s()
        for number, partition in list(self._partitions.items()):
            if (
                number not in self._shards.owned
                and now_s - partition.last_used_s > UNUSED_TIMEOUT_S
            ):
                del self._partitions[number]
                await partition.close()

    async def submit(
        self, submission: Submission, path_prefix: str, wait_s: float
    ) -> str:
        """Accept a job exactly once; return the outcome."""
        message = SubmitJob(
            submission.id,
            submission.team,
            submission.host,
            submission.path,
            path_prefix,
            submission.items,
            submission.submitted_ms,
            submission.due_ms,
            submission.give_up_ms,
            submission.max_token_backlog,
            int(wait_s * 500),
        )
        reply = await self._call_owner(submission.team, message, wait_s / 2 + 0.2)
        if not isinstance(reply, JobAnswer) or reply.outcome == REFUSED:
            may_be_accepted = reply is OWNER_OUTCOME_UNKNOWN
            reply = await self._submit_locally(message, wait_s / 2)
            if may_be_accepted and reply.outcome != DONE:
                # The owner may still accept the job, so the outcome is not certain.
                reply = JobAnswer(OUTCOME_UNKNOWN)
        self._reporter.write(
            Event.JOB_ACCEPTED if reply.outcome == DONE else Event.JOB_REFUSED,
            job=submission.id,
            team=submission.team,
            items=len(submission.items),
            tokens=submission.tokens,
            max_token_backlog=submission.max_token_backlog,
            outcome=reply.outcome,
        )
        return reply.outcome

    async def read(
        self, team: TeamId, job: JobId, after: int, wait_s: float
    ) -> JobPage:
        """Return a job's results from a position on; wait if there are none yet."""
        message = ReadJob(team, job, after, int(wait_s * 1000))
        reply = await self._call_owner(team, message, wait_s + OWNER_TIMEOUT_S)
        if isinstance(reply, JobPage):
            return reply
        return await self._read_locally(message)

    async def read_body(self, team: TeamId, job: JobId, item: str) -> ItemBody:
        """Return the body of an item as it was submitted."""
        message = ReadBody(team, job, item)
        reply = await self._call_owner(team, message, OWNER_TIMEOUT_S)
        if isinstance(reply, ItemBody):
            return reply
        return await self._read_body_locally(message)

    async def cancel(self, team: TeamId, job: JobId) -> str:
        """Cancel a job; return the outcome."""
        message = CancelJob(team, job)
        reply = await self._call_owner(team, message, OWNER_TIMEOUT_S)
        if not isinstance(reply, JobAnswer):
            reply = await self._cancel_locally(message)
        self._reporter.write(
            Event.JOB_CANCELLED, job=job, team=team, outcome=reply.outcome
        )
        return reply.outcome

    async def handle_message(self, message: Message) -> Message:
        """Serve a peer that considers this daemon the owner."""
        try:
            if isinstance(message, SubmitJob):
                return await self._submit_locally(message, message.wait_ms / 1000)
            if isinstance(message, ReadJob):
                return await self._read_locally(message)
            if isinstance(message, ReadBody):
                return await self._read_body_locally(message)
            return await self._cancel_locally(message)
        except JobsUnavailableError as exc:
            return CallNotServed(str(exc))

    def _partition_number(self, team: TeamId) -> int:
        return shard_number(team, self._shards.count)

    async def _call_owner(
        self, team: TeamId, message: Message, timeout_s: float
    ) -> Message | None:
        """Call the owner. Return None if this daemon is the owner or the owner
        certainly did not receive the call, OWNER_OUTCOME_UNKNOWN if it may have.
        """
        owner = self._shards.owner(self._partition_number(team))
        if owner is None or owner == self._shards.address:
            return None
        try:
            return await self._peers.call(owner, message, timeout_s)
        except PeerUnavailableError as exc:
            self._reporter.report_lost("owner", str(exc), address=owner)
            return OWNER_OUTCOME_UNKNOWN if exc.sent else None

    def _open_partition(self, number: int) -> Partition:
        partition = self._partitions.get(number)
        if partition is None:
            partition = Partition(number, self._log, self._clock, self._reporter)
            partition.on_change = lambda: self.on_change()
            partition.start()
            self._partitions[number] = partition
        partition.last_used_s = self._clock.now_s()
        return partition

    async def _submit_locally(self, message: SubmitJob, wait_s: float) -> JobAnswer:
        submission = Submission(
            message.id,
            message.team,
            message.host,
            message.path,
            message.items,
            message.submitted_ms,
            message.due_ms,
            message.give_up_ms,
            message.max_token_backlog,
        )
        partition = self._open_partition(self._partition_number(message.team))
        deadline_s = self._clock.now_s() + wait_s
        try:
            await partition.accept(submission, message.path_prefix, deadline_s)
        except JobRefusedError as exc:
            return JobAnswer(OVER_CAP if exc.over_cap else REFUSED)
        except JobOutcomeUnknownError:
            return JobAnswer(OUTCOME_UNKNOWN)
        return JobAnswer(DONE)

    async def _read_locally(self, message: ReadJob) -> JobPage:
        partition = self._open_partition(self._partition_number(message.team))
        is_fresh = await self._ensure_fresh(partition)
        job = partition.table.find(message.team, message.job)
        if job is None:
            if not is_fresh:
                raise JobsUnavailableError("the job is not known for sure")
            return JobPage(-1, [])
        if len(job.results) <= message.after and message.wait_ms and job.is_open:
            wait_s = message.wait_ms / 1000
            await partition.wait_for_results(job, message.after, wait_s)
            is_fresh = await self._ensure_fresh(partition)
        results = list(_page_results(job, message.after))
        if not results and not is_fresh and job.is_open:
            raise JobsUnavailableError("there may be more results")
        return JobPage(len(job.items), results)

    async def _read_body_locally(self, message: ReadBody) -> ItemBody:
        partition = self._open_partition(self._partition_number(message.team))
        is_fresh = await self._ensure_fresh(partition)
        job = partition.table.find(message.team, message.job)
        if job is None:
            if not is_fresh:
                raise JobsUnavailableError("the job is not known for sure")
            return ItemBody(False, b"")
        index = job.find_item(message.item)
        if index is None:
            return ItemBody(False, b"")
        return ItemBody(True, job.items[index].body)

    async def _cancel_locally(self, message: CancelJob) -> JobAnswer:
        partition = self._open_partition(self._partition_number(message.team))
        is_fresh = await self._ensure_fresh(partition)
        job = partition.table.find(message.team, message.job)
        if job is None:
            if not is_fresh:
                raise JobsUnavailableError("the job is not known for sure")
            return JobAnswer(UNKNOWN_JOB)
        try:
            await partition.cancel(job, self._clock.now_s() + CANCEL_TIMEOUT_S)
        except LogError as exc:
            raise JobsUnavailableError(str(exc)) from exc
        return JobAnswer(DONE)

    async def _ensure_fresh(self, partition: Partition) -> bool:
        """Whether the replica is fresh enough; reads the log if necessary."""
        if self._clock.now_s() - partition.confirmed_s < MAX_STALENESS_S:
            return True
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await partition.catch_up()
        except (LogError, TimeoutError):
            # The store is unavailable; each call decides what it can still answer.
            return False
        return True


def _page_results(job: Job, after: int) -> Iterator[ResultItem]:
    """Yield results from a position up to MAX_PAGE_BYTES of JSON, at least one."""
    size = 0
    for result in job.results[after:]:
        entry_bytes = len(msgspec.json.encode([result.text, result.item_id])) + 64
        size += entry_bytes
        if size > MAX_PAGE_BYTES and size > entry_bytes:
            return
        yield ResultItem(result.item_id, result.is_done, result.text)
