"""The records of batch jobs in the keyed log, and their CBOR encoding.

| key | value | written |
| --- | --- | --- |
| `p/JOB/N` | a part of the encoded items, with their bodies | before the header |
| `j/JOB` | the header, which makes the job accepted | once, conditional append |
| `r/JOB/ITEM` | an item's result and its position | once, conditional append |
| `x/JOB/ITEM/N` | a part of a text that is too large for `r` | in the same append |
| `w/JOB/ITEM` | the output of an item so far | while the item runs |
| `c/JOB` | the job was cancelled | any time, idempotent |

A conditional append succeeds only if the log still has the expected end. JOB is a
hash of team and job id, so that equal ids of two teams do not collide.
"""

import hashlib
import zlib
from collections.abc import Iterator

import cbor2
import msgspec

from ...clocks import WallMs
from ...ids import JobId, TeamId
from ..fleet.keyedlog import KeyedRecord

# Below the store's limit of 262,144 bytes per record, leaving room for the key and
# the length fields.
MAX_PART_BYTES = 250_000
# Fits into a record however badly it compresses.
BEGINNING_CHARS = 50_000
# Between the events of an item's stored output.
SEPARATOR = "\x00"


class JobItem(msgspec.Struct, frozen=True):
    """One item as the caller sent it."""

    id: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int


class JobHeader(msgspec.Struct, frozen=True):
    """An accepted job without its items' content. Times are Unix milliseconds."""

    id: JobId
    team: TeamId
    host: str
    path: str
    submitted_ms: WallMs
    due_ms: WallMs
    give_up_ms: WallMs
    item_tokens: list[int]
    part_count: int


class ResultRecord(msgspec.Struct, frozen=True):
    """An item's result: its position in the job's results, and its text if done."""

    position: int
    item_id: str
    is_done: bool
    text: str


class ProgressRecord(msgspec.Struct, frozen=True):
    """An item's output so far: the events' data up to the id `last_id`, -1 for none,
    and how often it has failed. `version` is the software version of the endpoints
    that made the events, empty if it is not known."""

    last_id: int
    data: list[str]
    failures: int = 0
    version: str = ""

    def is_newer_than(self, known: "ProgressRecord | None") -> bool:
        """Whether this record has more events or failures than `known`."""
        if known is None:
            return self.last_id >= 0 or self.failures > 0
        return self.last_id > known.last_id or self.failures > known.failures


class Submission(msgspec.Struct, frozen=True):
    """A batch job as a caller submitted it. `Partition.accept` stores it."""

    id: JobId
    team: TeamId
    host: str
    path: str
    items: list[JobItem]
    submitted_ms: int
    due_ms: int
    give_up_ms: int
    max_token_backlog: int

    @property
    def tokens(self) -> int:
        """The total tokens of all items."""
        return sum(item.tokens for item in self.items)


def job_key(team: TeamId, job_id: JobId) -> str:
    """Return the part of the key that all records of a job share."""
    text = f"{team}\x1f{job_id}".encode()
    return hashlib.blake2b(text, digest_size=12).hexdigest()


def encode_submission(submission: Submission) -> list[KeyedRecord]:
    """Return a job's records: its parts, then its header."""
    key = job_key(submission.team, submission.id)
    payload = cbor2.dumps(
        [
            [item.id, item.path, list(map(list, item.headers)), item.body, item.tokens]
            for item in submission.items
        ]
    )
    starts = range(0, len(payload), MAX_PART_BYTES)
    parts = [payload[start : start + MAX_PART_BYTES] for start in starts]
    header = JobHeader(
        submission.id,
        submission.team,
        submission.host,
        submission.path,
        submission.submitted_ms,
        submission.due_ms,
        submission.give_up_ms,
        [item.tokens for item in submission.items],
        len(parts),
    )
    records = [
        KeyedRecord(f"p/{key}/{number}".encode(), part)
        for number, part in enumerate(parts)
    ]
    records.append(KeyedRecord(f"j/{key}".encode(), _encode_struct(header)))
    return records


def decode_items(payload: bytes) -> list[JobItem]:
    """Decode the concatenated parts of a job."""
    return [
        JobItem(item_id, path, [(n, v) for n, v in headers], body, tokens)
        for item_id, path, headers, body, tokens in cbor2.loads(payload)
    ]


def encode_result(key: str, item: int, result: ResultRecord) -> KeyedRecord:
    """Return the record of an item's result; its text is compressed."""
    value = cbor2.dumps(
        [
            result.position,
            result.item_id,
            result.is_done,
            zlib.compress(result.text.encode("utf-8", "replace"), 1),
        ]
    )
    return KeyedRecord(f"r/{key}/{item}".encode(), value)


def encode_result_records(
    key: str, item: int, result: ResultRecord
) -> list[KeyedRecord]:
    """Return the records of an item's result, that of its position last.

    A text that is too large for one record is kept in parts of its own, and that
    record has its beginning: earlier releases pass the parts over.
    """
    record = encode_result(key, item, result)
    if len(record.value) <= MAX_PART_BYTES:
        return [record]
    packed = zlib.compress(result.text.encode("utf-8", "replace"), 1)
    starts = range(0, len(packed), MAX_PART_BYTES)
    parts = [
        KeyedRecord(
            f"x/{key}/{item}/{number}".encode(),
            cbor2.dumps([len(starts), packed[start : start + MAX_PART_BYTES]]),
        )
        for number, start in enumerate(starts)
    ]
    beginning = msgspec.structs.replace(result, text=result.text[:BEGINNING_CHARS])
    return [*parts, encode_result(key, item, beginning)]


def decode_text_part(value: bytes) -> tuple[int, bytes]:
    """Decode a part of a large text; return the number of parts and its bytes."""
    count, data = cbor2.loads(value)
    return count, data


def join_text_parts(parts: list[bytes]) -> str:
    """Return a text from all its parts."""
    return zlib.decompress(b"".join(parts)).decode("utf-8", "replace")


def decode_result(value: bytes) -> ResultRecord:
    """Decode a result record.

    Earlier releases stored bytes that are no UTF-8, which no page of results can hold;
    they are replaced.
    """
    position, item_id, is_done, packed = cbor2.loads(value)
    text = zlib.decompress(packed).decode("utf-8", "replace")
    return ResultRecord(position, item_id, is_done, text)


def encode_progress(key: str, item: int, progress: ProgressRecord) -> KeyedRecord:
    """Return the record of an item's progress; it has no output if the separator
    occurs in it, so that the item runs from its start after a loss.
    """
    if any(SEPARATOR in data for data in progress.data):
        progress = ProgressRecord(-1, [], progress.failures)
    text = SEPARATOR.join(progress.data).encode("utf-8", "replace")
    fields = [progress.last_id, zlib.compress(text, 1), progress.failures]
    value = cbor2.dumps([*fields, progress.version])
    return KeyedRecord(_progress_key(key, item), value)


def decode_progress(value: bytes) -> ProgressRecord:
    """Decode a progress record."""
    # Earlier releases wrote no version.
    last_id, packed, failures, *version = cbor2.loads(value)
    try:
        text = zlib.decompress(packed).decode()
    except UnicodeDecodeError:
        # Spoiled output that an earlier release kept; the item runs from its start.
        return ProgressRecord(-1, [], failures)
    data = text.split(SEPARATOR) if last_id >= 0 else []
    return ProgressRecord(last_id, data, failures, *version)


def progress_tombstone(key: str, item: int) -> KeyedRecord:
    """Return the tombstone for an item's progress, written with its result."""
    return KeyedRecord(_progress_key(key, item), None)


def job_tombstones(
    header: JobHeader, text_parts: dict[int, int]
) -> Iterator[KeyedRecord]:
    """Yield tombstones for all records of a job, its header last; `text_parts` has how
    many parts the large texts of its items have.
    """
    key = job_key(header.team, header.id)
    for item, count in text_parts.items():
        for number in range(count):
            yield KeyedRecord(f"x/{key}/{item}/{number}".encode(), None)
    for number in range(header.part_count):
        yield KeyedRecord(f"p/{key}/{number}".encode(), None)
    for item in range(len(header.item_tokens)):
        yield KeyedRecord(f"r/{key}/{item}".encode(), None)
        yield progress_tombstone(key, item)
    yield KeyedRecord(f"c/{key}".encode(), None)
    yield KeyedRecord(f"j/{key}".encode(), None)


def _progress_key(key: str, item: int) -> bytes:
    return f"w/{key}/{item}".encode()


def encode_cancellation(key: str, now_ms: int) -> KeyedRecord:
    """Return the record that cancels a job."""
    return KeyedRecord(f"c/{key}".encode(), cbor2.dumps(now_ms))


def decode_header(value: bytes) -> JobHeader:
    """Decode a job's header."""
    return msgspec.convert(cbor2.loads(value), JobHeader)


def _encode_struct(struct: msgspec.Struct) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(struct, builtin_types=(bytes,)))
