"""Crash reports of all daemons, kept in the platform's log.

Every daemon follows the topic, so that one that starts, or was cut off, knows what the
others saw. While the store is away, peers pass the reports on, and those that could
not be appended are appended when it is back.
"""

import asyncio
import collections
import contextlib
import itertools
import math
import random
from collections.abc import Callable, Iterator

import cbor2
import msgspec

from ...clocks import MAX_WALL_MS, Clock
from ...events import Event
from ...ids import EndpointId
from ...quarantine import SUSPECT_RETENTION_S
from ..backoff import Backoff
from ..fleet.keyedlog import KeyedLog, KeyedRecord, LogError, Page, Topic
from ..fleet.topicfollower import RETRY_DELAY_S, TopicFollower
from ..reporting import Reporter
from ..tasks import start_task
from .partquarantine import PROBATION_S
from .promptparts import PartKey, PartsAtCrash

CRASHES = Topic("keyed.crashes")
MAX_APPEND_RETRY_DELAY_S = 0.8
MAX_RECORDS_PER_APPEND = 200
# The store takes 2 MiB in one call.
MAX_BYTES_PER_APPEND = 1024 * 1024
# Reports that wait for the store; the oldest are dropped beyond this.
MAX_PENDING_RECORDS = 2_000
MAX_KNOWN_RECORDS = 20_000
MAX_KNOWN_BYTES = 16 * 1024 * 1024
# A peer may have received a report somewhat before it was appended.
PEER_MARGIN_S = 3.0
ALL_RECORDS = -1
MAX_REASON_CHARS = 200


class CrashReport(msgspec.Struct, frozen=True, tag="crash"):
    """The requests that one daemon ran at an endpoint when that crashed.

    `at_ms` is the reporting daemon's Unix time. `requests` holds those whose prompts
    have parts that may be the cause.
    """

    endpoint: EndpointId
    started_ms: int
    fingerprints: list[str]
    at_ms: int
    requests: list[PartsAtCrash] = []


class CompletionReport(msgspec.Struct, frozen=True, tag="completion"):
    """A suspect request completed, so it crashes no endpoint."""

    fingerprint: str
    at_ms: int


class QuarantineMark(msgspec.Struct, frozen=True, tag="quarantine"):
    """A request is quarantined; outlives the reports that led to it."""

    fingerprint: str
    at_ms: int
    until_ms: int


class PartsCompletion(msgspec.Struct, frozen=True, tag="parts_completion"):
    """Requests with these parts completed. `at_ms` is the newest of their times."""

    completed_ms: dict[PartKey, int]
    at_ms: int


class PartsMark(msgspec.Struct, frozen=True, tag="parts_quarantine"):
    """Requests with all of these parts are refused; outlives the reports."""

    parts: list[PartKey]
    at_ms: int
    until_ms: int


CrashRecord = (
    CrashReport | CompletionReport | QuarantineMark | PartsCompletion | PartsMark
)


def expiry_ms(record: CrashRecord) -> int:
    """Return the Unix time at which a record says nothing any more."""
    if isinstance(record, PartsMark):
        return record.until_ms + int(PROBATION_S * 1000)
    if isinstance(record, QuarantineMark):
        return record.until_ms
    return record.at_ms + int(SUSPECT_RETENTION_S * 1000)


def encode_crash_record(record: CrashRecord) -> bytes:
    """Encode the value of a record of the topic."""
    return cbor2.dumps(msgspec.to_builtins(record))


def decode_crash_record(value: bytes) -> CrashRecord:
    """Decode the value of a record; raise ValueError if it is malformed."""
    try:
        return msgspec.convert(cbor2.loads(value), CrashRecord)
    except Exception as exc:
        # Another writer's bytes may cause errors of any kind.
        message = f"malformed crash record: {exc!r}"[:MAX_REASON_CHARS]
        raise ValueError(message) from exc


def _check_times(record: CrashRecord) -> None:
    """Raise ValueError for a record with a time that no clock shows."""
    times_ms = [record.at_ms]
    if isinstance(record, QuarantineMark | PartsMark):
        times_ms.append(record.until_ms)
    if isinstance(record, PartsCompletion):
        times_ms += record.completed_ms.values()
    if isinstance(record, CrashReport):
        times_ms.append(record.started_ms)
    if any(not 0 <= time_ms <= MAX_WALL_MS for time_ms in times_ms):
        raise ValueError("malformed crash record: a time is out of range")


class _KnownRecord(msgspec.Struct, frozen=True):
    """A record that has been applied, and when this daemon received it."""

    record: CrashRecord
    value: bytes
    received_s: float


class CrashLog:
    """Appends this daemon's crash records and applies those of all daemons.

    `apply` is called once for each new record. Used by `CrashDetector` and
    `ViewExchange`.
    """

    def __init__(
        self, log: KeyedLog, name: str, clock: Clock, reporter: Reporter
    ) -> None:
        self.apply: Callable[[CrashRecord], None] = lambda record: None
        self._log: KeyedLog = log
        self._name: str = name
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._numbers = itertools.count(1)
        self._known: dict[bytes, _KnownRecord] = {}
        self._known_bytes: int = 0
        self._pending: collections.deque[KeyedRecord] = collections.deque()
        self._pending_event = asyncio.Event()
        self._last_peer_sync_s: float = float("-inf")
        self._follower = TopicFollower(
            log, CRASHES, self._apply_all, self._apply_newest, clock, reporter
        )
        self._writer: asyncio.Task | None = None

    def start(self) -> None:
        """Start following the topic and writing to it."""
        self._follower.start()
        self._writer = start_task("write crashes", self._write, self._reporter)

    async def close(self) -> None:
        """Stop. Records that wait for the store are lost."""
        await self._follower.close()
        if self._writer is not None:
            self._writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._writer

    @property
    def is_known(self) -> bool:
        """Whether the earlier reports have been read from the store or a peer."""
        return math.isfinite(max(self._follower.confirmed_s, self._last_peer_sync_s))

    def blind_ms(self) -> int:
        """Return how far back reports may be missing, ALL_RECORDS if all may be."""
        if not math.isfinite(self._follower.confirmed_s):
            return ALL_RECORDS
        return int((self._follower.age_s() + PEER_MARGIN_S) * 1000)

    def add(self, record: CrashRecord) -> KeyedRecord:
        """Apply a record of this daemon and append it to the log soon."""
        key = f"{self._name}/{next(self._numbers)}".encode()
        keyed = KeyedRecord(key, encode_crash_record(record))
        self._apply_record(keyed)
        self._append_later([keyed])
        return keyed

    def apply_from_peer(self, records: list[KeyedRecord], is_complete: bool) -> None:
        """Apply records that a peer sent; `is_complete` if it sent all it knows."""
        self._apply_all(records)
        if is_complete:
            self._last_peer_sync_s = self._clock.now_s()

    def records_since(self, blind_ms: int) -> list[KeyedRecord]:
        """Return the records received in the last `blind_ms`; ALL_RECORDS for all."""
        oldest_s = self._clock.now_s() - blind_ms / 1000
        return [
            KeyedRecord(key, known.value)
            for key, known in self._known.items()
            if blind_ms == ALL_RECORDS or known.received_s >= oldest_s
        ]

    def expire(self) -> None:
        """Forget the records that say nothing any more."""
        for key in self._expired_keys():
            self._forget(key)

    def delete_expired(self) -> None:
        """Delete expired records from the log. One daemon does this for all."""
        keys = list(self._expired_keys())
        self._append_later([KeyedRecord(key, None) for key in keys])

    def delete_marks(self, fingerprint: str) -> None:
        """Delete the quarantine marks of a request from the log."""
        self.delete_where(
            lambda record: (
                isinstance(record, QuarantineMark) and record.fingerprint == fingerprint
            )
        )

    def delete_where(self, is_void: Callable[[CrashRecord], bool]) -> None:
        """Delete the known records that are void from the log."""
        keys = [key for key, known in self._known.items() if is_void(known.record)]
        self._append_later([KeyedRecord(key, None) for key in keys])

    def _expired_keys(self) -> list[bytes]:
        now_ms = self._clock.wall_ms()
        return [k for k, v in self._known.items() if expiry_ms(v.record) <= now_ms]

    def _append_later(self, records: list[KeyedRecord]) -> None:
        self._pending.extend(records)
        while len(self._pending) > MAX_PENDING_RECORDS:
            dropped = self._pending.popleft()
            self._reporter.write(
                Event.RECORD_SKIPPED,
                topic=CRASHES,
                offset=-1,
                reason=f"too many wait for the store: {dropped.key.decode()}",
            )
        self._pending_event.set()

    async def _write(self) -> None:
        backoff = Backoff(RETRY_DELAY_S, MAX_APPEND_RETRY_DELAY_S, random.Random())
        while True:
            await self._pending_event.wait()
            batch = list(self._next_batch())
            if not batch:
                self._pending_event.clear()
                continue
            try:
                # A repeated append writes the same keys and values again.
                await self._log.append(CRASHES, 0, batch, None)
            except LogError as exc:
                self._reporter.report_lost("crash log", str(exc))
                await asyncio.sleep(backoff.next_s())
                continue
            backoff.reset()
            self._reporter.report_recovered("crash log")
            self._remove_pending(batch)

    def _next_batch(self) -> Iterator[KeyedRecord]:
        """Yield the next records to append, in one call's size."""
        size = 0
        for record in itertools.islice(self._pending, MAX_RECORDS_PER_APPEND):
            size += len(record.value or b"")
            if size > MAX_BYTES_PER_APPEND:
                return
            yield record

    def _remove_pending(self, batch: list[KeyedRecord]) -> None:
        """Remove appended records; some may have been dropped meanwhile."""
        appended = {id(record) for record in batch}
        while self._pending and id(self._pending[0]) in appended:
            self._pending.popleft()

    def _apply_newest(self, page: Page) -> None:
        self._apply_all(page.records)

    def _apply_all(self, records: list[KeyedRecord]) -> None:
        for record in self._newest_of_each_key(records):
            self._apply_record(record)

    def _newest_of_each_key(self, records: list[KeyedRecord]) -> Iterator[KeyedRecord]:
        yield from {record.key: record for record in records}.values()

    def _apply_record(self, keyed: KeyedRecord) -> None:
        if keyed.value is None:
            self._forget(keyed.key)
            return
        if keyed.key in self._known:
            return
        try:
            record = decode_crash_record(keyed.value)
            _check_times(record)
        except ValueError as exc:
            self._reporter.write_limited(
                Event.RECORD_SKIPPED,
                topic=CRASHES,
                offset=keyed.offset,
                reason=str(exc),
            )
            return
        self._remember(keyed, record)
        if expiry_ms(record) > self._clock.wall_ms():
            self.apply(record)

    def _remember(self, keyed: KeyedRecord, record: CrashRecord) -> None:
        now_s = self._clock.now_s()
        self._known[keyed.key] = _KnownRecord(record, keyed.value, now_s)
        self._known_bytes += len(keyed.value)
        while (
            len(self._known) > MAX_KNOWN_RECORDS or self._known_bytes > MAX_KNOWN_BYTES
        ):
            self._forget(next(iter(self._known)))

    def _forget(self, key: bytes) -> None:
        known = self._known.pop(key, None)
        if known is not None:
            self._known_bytes -= len(known.value)
