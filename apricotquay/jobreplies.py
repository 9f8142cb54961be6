"""Replies of a partition's holder about jobs and items."""

from .jobs import ITEM_STATES, Job
from .messages import JobReply
from .partition import Partition


def job_reply(job: Job) -> JobReply:
    """Return the reply to a query for a job."""
    counts = job.count_states()
    return JobReply(
        held=True,
        known=True,
        job_key=job.job_key,
        digest=job.digest,
        accepted_at_ms=job.accepted_at_ms,
        finished_at_ms=job.finished_at_ms,
        cancelled_at_ms=job.cancelled_at_ms,
        total=counts.total,
        open=counts.open,
        done=counts.done,
        failed=counts.failed,
        cancelled=counts.cancelled,
        unknown=counts.unknown,
    )


def explain_item(partition: Partition, job: Job, index: int) -> list[str]:
    """Return lines that describe an item's state to an operator."""
    state = ITEM_STATES[job.states[index]]
    lines = [
        f"job {job.id} of team {job.team}, accepted at {job.accepted_at_ms} ms",
        f"item {index}: {state}",
        f"request is in {partition.stream} at offset {job.chunk_of(index).offset}",
    ]
    offset = job.result_offsets[index]
    if offset >= 0:
        lines.append(f"result is at offset {offset}")
    assigned = partition.backlog.assigned.get((job.id, index))
    if assigned is not None:
        lines.append(f"runs on {assigned.runner}")
    failures = partition.backlog.failures.get((job.id, index), 0)
    if failures:
        lines.append(f"failed {failures} times since this daemon claimed the partition")
    return lines
