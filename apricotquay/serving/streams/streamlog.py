"""Keeps the versions of recent streams in the store, for when daemons restart together.

The keepers of streams' versions append them in batches, and the owner of a service's
shard appends which versions were listed. Nobody follows the topic: a daemon reads it
when a stream is taken up that no daemon knows. Records expire with the store's history.
"""

import asyncio
import contextlib
import random

import cbor2
import msgspec

from ...clocks import Clock, WallMs
from ..catalog import ServiceName
from ..fleet.keyedlog import KeyedLog, KeyedRecord, LogError, LogExpiredError, Topic
from ..reporting import Reporter
from ..tasks import start_task
from .streamversions import MAX_STREAMS, MIN_LIFETIME_S

STREAMS = Topic("streams")
PARTITION = 0
RECORD_KEY = b"s"
APPEND_INTERVAL_S = 0.1
# The store may be well for a moment only, after which all daemons may be lost.
RETRY_DELAY_S = 0.2
MIN_JITTER = 0.5
MAX_STREAMS_PER_RECORD = 4_000
MAX_STREAMS_WAITING = 20_000
READ_TIMEOUT_S = 0.4


class VersionNote(msgspec.Struct, frozen=True, array_like=True):
    """The versions of a service that a daemon saw listed until `at_ms`, Unix time;
    `is_complete` if it observed them for the lifetime of a stream, `lifetime_s`.
    """

    service: ServiceName
    versions: list[str]
    is_complete: bool
    at_ms: WallMs
    lifetime_s: float = MIN_LIFETIME_S


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """The content of a record: streams' keys and versions, and notes on services."""

    streams: list[tuple[bytes, str]]
    notes: list[VersionNote]


def encode_stream_record(record: StreamRecord) -> KeyedRecord:
    """Encode a record of the topic."""
    value = msgspec.to_builtins(record, builtin_types=(bytes,))
    return KeyedRecord(RECORD_KEY, cbor2.dumps(value))


def decode_stream_record(record: KeyedRecord) -> StreamRecord:
    """Decode a record of the topic; one that is malformed is empty."""
    try:
        value = cbor2.loads(record.value or b"")
        return msgspec.convert(value, StreamRecord, builtin_types=(bytes,))
    except Exception:
        # Another writer's bytes may cause errors of any kind.
        return StreamRecord([], [])


class StoredStreams:
    """What the records read so far say. Pure, used by `StreamLog`."""

    def __init__(self) -> None:
        self._versions: dict[bytes, frozenset[str]] = {}
        self._notes: list[VersionNote] = []

    def apply(self, record: StreamRecord) -> None:
        """Add a record; the streams that were added first are forgotten first."""
        for key, version in record.streams:
            known = self._versions.pop(key, frozenset())
            self._versions[key] = known | {version}
        while len(self._versions) > MAX_STREAMS:
            del self._versions[next(iter(self._versions))]
        self._notes.extend(record.notes)

    def find(self, key: bytes) -> frozenset[str]:
        """Return the versions of a stream, none if it is unknown."""
        return self._versions.get(key, frozenset())

    def listed(
        self, service: ServiceName, now_ms: int, lifetime_s: float
    ) -> frozenset[str] | None:
        """Return the versions of a service at which streams of a lifetime may have
        begun; None if it is not sure that they are all.
        """
        lifetime_ms = int(lifetime_s * 1000)
        since_ms = now_ms - 2 * lifetime_ms
        self._notes = [note for note in self._notes if note.at_ms >= since_ms]
        notes = [note for note in self._notes if note.service == service]
        is_complete = any(
            n.is_complete
            and n.lifetime_s >= lifetime_s
            and n.at_ms >= now_ms - lifetime_ms
            for n in notes
        )
        if not is_complete:
            return None
        return frozenset(version for note in notes for version in note.versions)


class StreamLog:
    """Appends to the topic and reads it. One per daemon, used by `StreamKeeper`."""

    def __init__(self, log: KeyedLog, clock: Clock, reporter: Reporter) -> None:
        self._log: KeyedLog = log
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._stored = StoredStreams()
        self._end: int = 0
        self._streams: list[tuple[bytes, str]] = []
        self._notes: dict[ServiceName, VersionNote] = {}
        self._appending: asyncio.Task | None = None
        self._reading: asyncio.Task | None = None

    async def close(self) -> None:
        """Stop."""
        for task in (self._appending, self._reading):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    def enqueue(self, streams: list[tuple[bytes, str]]) -> None:
        """Append the versions of streams soon. Some are dropped while the store is
        unavailable for long: a stream that nobody knows is refused.
        """
        self._streams += streams
        del self._streams[:-MAX_STREAMS_WAITING]
        self._start_appending()

    def note(self, note: VersionNote) -> None:
        """Append which versions of a service were listed."""
        self._notes[note.service] = note
        self._start_appending()

    async def read(self) -> StoredStreams | None:
        """Read the topic to its end; None if the store does not answer in time."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._read_to_end())
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                is_read = await asyncio.shield(self._reading)
        except TimeoutError:
            # The read goes on; a later request may find it done.
            return None
        return self._stored if is_read else None

    async def _read_to_end(self) -> bool:
        try:
            while await self._read_page():
                pass
        except LogError as exc:
            self._reporter.report_lost("streams", str(exc))
            return False
        self._reporter.report_recovered("streams")
        return True

    async def _read_page(self) -> bool:
        """Read and apply a page; return whether there is more."""
        try:
            page = await self._log.read(STREAMS, PARTITION, self._end, 0)
        except LogExpiredError as exc:
            if exc.first_offset <= self._end:
                raise
            self._end = exc.first_offset
            return True
        for record in page.records:
            self._stored.apply(decode_stream_record(record))
        self._end += len(page.records)
        return bool(page.records) and self._end < page.end

    def _start_appending(self) -> None:
        if self._appending is None or self._appending.done():
            self._appending = start_task(
                "append streams", self._append_waiting, self._reporter
            )

    async def _append_waiting(self) -> None:
        """Append in batches until nothing waits; what a failed append held waits on."""
        delay_s = APPEND_INTERVAL_S
        while self._streams or self._notes:
            await asyncio.sleep(delay_s)
            streams = self._streams[:MAX_STREAMS_PER_RECORD]
            del self._streams[:MAX_STREAMS_PER_RECORD]
            notes = list(self._notes.values())
            self._notes.clear()
            record = encode_stream_record(StreamRecord(streams, notes))
            try:
                await self._log.append(STREAMS, PARTITION, [record], None)
            except LogError as exc:
                self._reporter.report_lost("streams", str(exc))
                self._put_back(streams, notes)
                delay_s = RETRY_DELAY_S * random.uniform(MIN_JITTER, 1.0)
            else:
                delay_s = APPEND_INTERVAL_S

    def _put_back(
        self, streams: list[tuple[bytes, str]], notes: list[VersionNote]
    ) -> None:
        """Let the content of a failed append wait again; to read it twice is harmless
        if it was appended after all.
        """
        self._streams[:0] = streams
        del self._streams[:-MAX_STREAMS_WAITING]
        for note in notes:
            self._notes.setdefault(note.service, note)
