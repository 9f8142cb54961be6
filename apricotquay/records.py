"""Records of the threaded daemon's log streams, and their CBOR encoding."""

import zlib

import cbor2
import msgspec

from .ids import Incarnation, JobId, MemberId, ResourceName, RouteName, TeamId, WriterId

MAX_TEXT_BYTES = 16 * 1024 * 1024


class ConfigPublished(msgspec.Struct, frozen=True, tag="config_published"):
    """An operator's change; ignored unless `base_version` is the current version.

    `text_z` is the document's JSON text, compressed by zlib.
    """

    base_version: int
    text_z: bytes
    operator: str
    at_ms: int


class ConfigCheckpoint(msgspec.Struct, frozen=True, tag="config_checkpoint"):
    """The configuration in force, appended again before retention drops it."""

    version: int
    text_z: bytes
    at_ms: int


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A claim of a lease; its offset in the stream is its fencing number.

    It is ignored unless `follows` is the offset of the newest claim before it, or
    -1 for the first, so that one of several concurrent claims wins. `successors`
    are the members that may claim after this holder.
    """

    resource: ResourceName
    follows: int
    holder: MemberId
    incarnation: Incarnation
    successors: list[MemberId]
    at_ms: int


class QuarantineMarked(msgspec.Struct, frozen=True, tag="quarantine_marked"):
    """A request fingerprint that must not run again until `until_ms`."""

    fingerprint: str
    deaths: int
    at_ms: int
    until_ms: int


class ItemChunk(msgspec.Struct, frozen=True, tag="item_chunk"):
    """Consecutive items, as JSON lines, of a job that is being submitted."""

    job: JobId
    team: TeamId
    digest: str
    first: int
    items: list[bytes]


class JobAccepted(msgspec.Struct, frozen=True, tag="job_accepted"):
    """Completes a submission. The first for a job id in log order takes effect."""

    job: JobId
    team: TeamId
    job_key: str
    route: RouteName
    digest: str
    item_count: int
    at_ms: int


class JobCancelled(msgspec.Struct, frozen=True, tag="job_cancelled"):
    """A team's request to cancel a job."""

    job: JobId
    team: TeamId
    at_ms: int


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to run a non-idempotent item."""

    job: JobId
    index: int
    attempt: str


class AttemptsStarted(msgspec.Struct, frozen=True, tag="attempts_started"):
    """Attempts to run non-idempotent items.

    Must be in the log before the items are sent to a runner.
    """

    claim: int
    attempts: list[Attempt]


class ItemResult(msgspec.Struct, frozen=True):
    """The terminal outcome of one item.

    `outcome` is an event of the item state chart; `body` is a line of the output.
    """

    job: JobId
    index: int
    outcome: str
    body: bytes


class ItemResults(msgspec.Struct, frozen=True, tag="item_results"):
    """Outcomes collected by the holder of a partition under its claim."""

    claim: int
    at_ms: int
    results: list[ItemResult]


class AttemptsEnded(msgspec.Struct, frozen=True, tag="attempts_ended"):
    """Attempts that provably did not reach the service, so their items may rerun."""

    claim: int
    attempts: list[Attempt]


class RewrittenChunk(msgspec.Struct, frozen=True, tag="carried_chunk"):
    """Items appended again before retention drops their first record."""

    claim: int
    job: JobId
    first: int
    items: list[bytes]


class RewrittenResults(msgspec.Struct, frozen=True, tag="carried_results"):
    """Results appended again before retention drops their first record."""

    claim: int
    results: list[ItemResult]


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The compressed state of a partition through an offset.

    A snapshot larger than one record is appended in `parts` parts.
    """

    claim: int
    through: int
    part: int
    parts: int
    state_z: bytes


Record = (
    ConfigPublished
    | ConfigCheckpoint
    | Claim
    | QuarantineMarked
    | ItemChunk
    | JobAccepted
    | JobCancelled
    | AttemptsStarted
    | AttemptsEnded
    | ItemResults
    | RewrittenChunk
    | RewrittenResults
    | Snapshot
)


class Envelope(msgspec.Struct, frozen=True):
    """A record with the identity of the append that wrote it."""

    writer: WriterId
    seq: int
    record: Record


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of a stream as the log service returns it.

    `age_ms` is how long the entry had been in the log when it was read.
    """

    offset: int
    age_ms: int
    data: bytes


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope for the log."""
    return cbor2.dumps(msgspec.to_builtins(envelope, builtin_types=(bytes,)))


def decode_envelope(data: bytes) -> Envelope | None:
    """Decode an entry; return None for an unknown form, for example a newer one."""
    try:
        value = cbor2.loads(data)
        return msgspec.convert(value, Envelope, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError):
        return None


def compress_text(text: str) -> bytes:
    """Compress a document's text for a record."""
    return zlib.compress(text.encode(), 6)


def decompress_text(data: bytes) -> str:
    """Return the text of a compressed document, limited in size."""
    inflater = zlib.decompressobj()
    raw = inflater.decompress(data, MAX_TEXT_BYTES)
    return raw.decode()
