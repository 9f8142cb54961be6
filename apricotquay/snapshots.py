"""Snapshots of a job partition, so that a reader need not replay the whole log.

A snapshot holds the state through an offset. It is valid only if it was written
under the newest claim that precedes it in the stream.
"""

import zlib
from array import array
from collections.abc import Iterable, Iterator

import cbor2
import msgspec

from .ids import JobId, ResourceName, RouteName, TeamId
from .jobs import ChunkLocation, Job, PartitionState, PendingSubmission
from .leases import LatestClaim
from .records import Claim, Envelope, JobAccepted, LogEntry, Snapshot, decode_envelope

PART_BYTES = 512 * 1024


class StoredJob(msgspec.Struct):
    """The stored form of a job."""

    id: JobId
    team: TeamId
    job_key: str
    route: RouteName
    digest: str
    item_count: int
    accepted_at_ms: int
    cancelled_at_ms: int
    finished_at_ms: int
    chunks: list[ChunkLocation]
    states: bytes
    result_offsets: bytes
    attempts: dict[int, str]


class StoredSubmission(msgspec.Struct):
    """The stored form of a submission that is not accepted yet."""

    job: JobId
    team: TeamId
    digest: str
    at_ms: int
    chunks: list[ChunkLocation]


class StoredPartition(msgspec.Struct):
    """The stored form of a partition's state."""

    next_offset: int
    held: LatestClaim | None
    jobs: list[StoredJob]
    submissions: list[StoredSubmission]


def snapshot_records(state: PartitionState, claim: int) -> list[Snapshot]:
    """Return the records of a partition's snapshot, one or more parts."""
    stored = StoredPartition(
        next_offset=state.next_offset,
        held=state.leases.get(state.resource),
        jobs=[_to_stored_job(job) for job in state.jobs.values()],
        submissions=[
            StoredSubmission(job, team, digest, s.at_ms, list(s.chunks.values()))
            for (job, team, digest), s in state.submissions.items()
        ],
    )
    data = cbor2.dumps(msgspec.to_builtins(stored, builtin_types=(bytes,)))
    packed = zlib.compress(data, 1)
    pieces = [packed[i : i + PART_BYTES] for i in range(0, len(packed), PART_BYTES)]
    through = state.next_offset - 1
    return [
        Snapshot(claim, through, part, len(pieces), piece)
        for part, piece in enumerate(pieces)
    ]


def restore_state(resource: ResourceName, parts: list[Snapshot]) -> PartitionState:
    """Return the partition state from all parts of a snapshot."""
    data = zlib.decompress(b"".join(p.state_z for p in parts))
    stored = msgspec.convert(cbor2.loads(data), StoredPartition, builtin_types=(bytes,))
    state = PartitionState(resource)
    state.next_offset = stored.next_offset
    if stored.held is not None:
        state.leases.apply(stored.held.offset, stored.held.claim)
    state.jobs = {job.id: _restore_job(job) for job in stored.jobs}
    for stored_submission in stored.submissions:
        submission = PendingSubmission(stored_submission.at_ms)
        submission.chunks = {chunk.first: chunk for chunk in stored_submission.chunks}
        state.submissions[
            (stored_submission.job, stored_submission.team, stored_submission.digest)
        ] = submission
    return state


class DecodedEntry(msgspec.Struct, frozen=True):
    """A log entry with its envelope, or None where it cannot be decoded."""

    offset: int
    at_ms: int
    envelope: Envelope | None


def decode_entries(
    entries: Iterable[LogEntry], read_at_ms: int
) -> Iterator[DecodedEntry]:
    """Decode entries lazily; `read_at_ms` is when the page was read."""
    for entry in entries:
        at_ms = read_at_ms - entry.age_ms
        yield DecodedEntry(entry.offset, at_ms, decode_envelope(entry.data))


def restore_latest_snapshot(
    resource: ResourceName, entries: list[DecodedEntry]
) -> PartitionState | None:
    """Return the state of the newest complete and valid snapshot among entries.

    Entries must reach the tail. A snapshot whose claim is older than a claim
    that precedes it was written by a former holder and is skipped.
    """
    newest_claim = -1
    parts: dict[tuple[int, int], list[Snapshot]] = {}
    newest_complete: list[Snapshot] | None = None
    first_offset = entries[0].offset if entries else 0
    for entry in entries:
        record = entry.envelope.record if entry.envelope else None
        if isinstance(record, Claim) and record.resource == resource:
            if newest_claim in (-1, record.follows):
                newest_claim = entry.offset
        if not isinstance(record, Snapshot) or record.claim < newest_claim:
            continue
        gathered = parts.setdefault((record.claim, record.through), [])
        if record.part == len(gathered):
            gathered.append(record)
        reaches_first_entry = record.through + 1 >= first_offset
        if len(gathered) == record.parts and reaches_first_entry:
            newest_complete = gathered
    return restore_state(resource, newest_complete) if newest_complete else None


def _to_stored_job(job: Job) -> StoredJob:
    return StoredJob(
        id=job.id,
        team=job.team,
        job_key=job.job_key,
        route=job.route,
        digest=job.digest,
        item_count=job.item_count,
        accepted_at_ms=job.accepted_at_ms,
        cancelled_at_ms=job.cancelled_at_ms,
        finished_at_ms=job.finished_at_ms,
        chunks=job.chunks,
        states=bytes(job.states),
        result_offsets=job.result_offsets.tobytes(),
        attempts=job.attempts,
    )


def _restore_job(stored: StoredJob) -> Job:
    accepted = JobAccepted(
        job=stored.id,
        team=stored.team,
        job_key=stored.job_key,
        route=stored.route,
        digest=stored.digest,
        item_count=stored.item_count,
        at_ms=stored.accepted_at_ms,
    )
    job = Job(accepted, stored.chunks)
    job.cancelled_at_ms = stored.cancelled_at_ms
    job.finished_at_ms = stored.finished_at_ms
    job.states = bytearray(stored.states)
    job.result_offsets = array("q")
    job.result_offsets.frombytes(stored.result_offsets)
    job.attempts = dict(stored.attempts)
    return job
