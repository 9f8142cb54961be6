"""Snapshots of a partition's fold, so that a reader need not start at the front.

A snapshot holds the fold's state through an offset. It is void unless it was
written under the newest claim that stands before it in the stream.
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


class JobState(msgspec.Struct):
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


class SubmissionState(msgspec.Struct):
    """The stored form of a submission that is not accepted yet."""

    job: JobId
    team: TeamId
    digest: str
    at_ms: int
    chunks: list[ChunkLocation]


class FoldState(msgspec.Struct):
    """The stored form of a fold."""

    next_offset: int
    held: LatestClaim | None
    jobs: list[JobState]
    submissions: list[SubmissionState]


def snapshot_records(fold: PartitionState, claim: int) -> list[Snapshot]:
    """Return the records that hold a fold's state, one or more parts."""
    state = FoldState(
        next_offset=fold.next_offset,
        held=fold.leases.get(fold.resource),
        jobs=[_job_state(job) for job in fold.jobs.values()],
        submissions=[
            SubmissionState(job, team, digest, s.at_ms, list(s.chunks.values()))
            for (job, team, digest), s in fold.submissions.items()
        ],
    )
    data = cbor2.dumps(msgspec.to_builtins(state, builtin_types=(bytes,)))
    packed = zlib.compress(data, 1)
    pieces = [packed[i : i + PART_BYTES] for i in range(0, len(packed), PART_BYTES)]
    through = fold.next_offset - 1
    return [
        Snapshot(claim, through, part, len(pieces), piece)
        for part, piece in enumerate(pieces)
    ]


def restore_state(resource: ResourceName, parts: list[Snapshot]) -> PartitionState:
    """Return the fold that a whole snapshot holds."""
    data = zlib.decompress(b"".join(p.state_z for p in parts))
    state = msgspec.convert(cbor2.loads(data), FoldState, builtin_types=(bytes,))
    fold = PartitionState(resource)
    fold.next_offset = state.next_offset
    if state.held is not None:
        fold.leases.apply(state.held.offset, state.held.claim)
    fold.jobs = {job.id: _restore_job(job) for job in state.jobs}
    for stored in state.submissions:
        submission = PendingSubmission(stored.at_ms)
        submission.chunks = {place.first: place for place in stored.chunks}
        fold.submissions[(stored.job, stored.team, stored.digest)] = submission
    return fold


class DecodedEntry(msgspec.Struct, frozen=True):
    """A log entry with its envelope, None where it cannot be decoded."""

    offset: int
    at_ms: int
    envelope: Envelope | None


def decode_entries(
    entries: Iterable[LogEntry], read_at_ms: int
) -> Iterator[DecodedEntry]:
    """Decode entries as they come; `read_at_ms` is when the page was read."""
    for entry in entries:
        at_ms = read_at_ms - entry.age_ms
        yield DecodedEntry(entry.offset, at_ms, decode_envelope(entry.data))


def latest_snapshot(
    resource: ResourceName, entries: list[DecodedEntry]
) -> PartitionState | None:
    """Return the fold of the newest whole and valid snapshot among entries.

    Entries must reach the tail. A snapshot whose claim is older than a claim
    that precedes it was written by a former holder and is passed over.
    """
    newest_claim = -1
    parts: dict[tuple[int, int], list[Snapshot]] = {}
    best: list[Snapshot] | None = None
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
        reaches = record.through + 1 >= first_offset
        if len(gathered) == record.parts and reaches:
            best = gathered
    return restore_state(resource, best) if best else None


def _job_state(job: Job) -> JobState:
    return JobState(
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


def _restore_job(state: JobState) -> Job:
    accepted = JobAccepted(
        job=state.id,
        team=state.team,
        job_key=state.job_key,
        route=state.route,
        digest=state.digest,
        item_count=state.item_count,
        at_ms=state.accepted_at_ms,
    )
    job = Job(accepted, state.chunks)
    job.cancelled_at_ms = state.cancelled_at_ms
    job.finished_at_ms = state.finished_at_ms
    job.states = bytearray(state.states)
    job.result_offsets = array("q")
    job.result_offsets.frombytes(state.result_offsets)
    job.attempts = dict(state.attempts)
    return job
