"""In-memory stand-in for the keyed log of the event-loop daemon, with faults."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from apricotquay.serving.fleet.keyedlog import (
    KeyedRecord,
    LogConflictError,
    LogExpiredError,
    LogOutcomeUnknownError,
    LogRefusedError,
    MemberName,
    Page,
    Shard,
    ShardAssignment,
    Topic,
)

PARTITIONS_PER_TOPIC = 12


class _Membership(NamedTuple):
    """Topics of a group member, and when its membership expires."""

    topics: list[Topic]
    expires_s: float


class MemoryLog:
    """Implements `KeyedLog`; shared by all members in a test.

    `choose_fault` is called before each append and returns the fault: "" for none,
    "refuse", "lose" (appended, no response), "drop" (not appended, no response) or
    "late" (no response; `apply_delayed_appends` appends the records if there is no
    expected end, or it is the end of the shard then). A call with a record of more
    than `max_record_bytes` is refused.
    """

    def __init__(self) -> None:
        self.choose_fault: Callable[[], str] = lambda: ""
        self.is_down: bool = False
        self.max_record_bytes: int = 1 << 30
        self.call_count: int = 0
        self._partitions: dict[Shard, list[KeyedRecord]] = {}
        self._first_offsets: dict[Shard, int] = {}
        self._delayed: list[tuple] = []
        self._members: dict[str, dict[MemberName, _Membership]] = {}
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """Expire all records; the newest record of each key remains."""
        for shard, records in self._partitions.items():
            self._first_offsets[shard] = len(records)

    def apply_delayed_appends(self) -> None:
        """Apply the delayed appends that do not conflict; drop the others."""
        delayed, self._delayed = self._delayed, []
        for shard, records, expected_end in delayed:
            if expected_end is None or expected_end == len(
                self._partitions.get(shard, [])
            ):
                self._append_to_shard(shard, records)

    async def read_newest(self, topic: Topic, partition: int) -> Page:
        """Read the newest record of each key."""
        self._check_available()
        records = self._partitions.get(Shard(topic, partition), [])
        newest = {record.key: record for record in records}
        return Page([r for r in newest.values() if r.value], len(records))

    async def read(
        self, topic: Topic, partition: int, start_offset: int, wait_ms: int
    ) -> Page:
        """Read records from an offset on; wait up to `wait_ms` if there are none."""
        self._check_available()
        shard = Shard(topic, partition)
        first = self._first_offsets.get(shard, 0)
        if start_offset < first:
            raise LogExpiredError(
                f"records from offset {start_offset} have expired", first
            )
        if wait_ms and start_offset >= len(self._partitions.get(shard, [])):
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._check_available()
        records = self._partitions.get(shard, [])
        return Page(records[start_offset:], len(records))

    async def append(
        self,
        topic: Topic,
        partition: int,
        records: list[KeyedRecord],
        expected_end: int | None,
    ) -> int:
        """Append records and return the offset of the first."""
        self._check_available()
        shard = Shard(topic, partition)
        fault = self.choose_fault()
        if fault == "refuse":
            raise LogRefusedError("append refused by an injected fault")
        largest = max((len(r.key) + len(r.value or b"") for r in records), default=0)
        if largest >= self.max_record_bytes:
            raise LogRefusedError("a record is too large")
        if fault == "drop":
            raise LogOutcomeUnknownError("append dropped by an injected fault")
        if fault == "late":
            self._delayed.append((shard, records, expected_end))
            raise LogOutcomeUnknownError("append delayed by an injected fault")
        end = len(self._partitions.get(shard, []))
        if expected_end is not None and expected_end != end:
            raise LogConflictError(end)
        offset = self._append_to_shard(shard, records)
        if fault == "lose":
            raise LogOutcomeUnknownError("response dropped by an injected fault")
        return offset

    async def join(
        self,
        group: str,
        member: MemberName,
        topics: list[Topic],
        ttl_ms: int,
        generation: int,
    ) -> ShardAssignment:
        """Join a group or renew the membership; shards are assigned round-robin."""
        self._check_available()
        expires_s = time.monotonic() + ttl_ms / 1000
        self._members.setdefault(group, {})[member] = _Membership(topics, expires_s)
        owned = {s for s, m in (await self.read_owners(group)).items() if m == member}
        return ShardAssignment(len(self._members[group]), frozenset(owned))

    async def leave(self, group: str, member: MemberName, generation: int) -> None:
        """Leave a group at once."""
        self._check_available()
        self._members.get(group, {}).pop(member, None)

    async def read_owners(self, group: str) -> dict[Shard, MemberName]:
        """Read the owner of each shard of a group."""
        self._check_available()
        now_s = time.monotonic()
        joined = {
            name: membership
            for name, membership in self._members.get(group, {}).items()
            if membership.expires_s > now_s
        }
        members = sorted(joined)
        topics = sorted({t for m in joined.values() for t in m.topics})
        return {
            Shard(topic, number): members[number % len(members)]
            for topic in topics
            for number in range(PARTITIONS_PER_TOPIC)
        }

    def _check_available(self) -> None:
        if self.is_down:
            raise LogRefusedError("log unavailable by an injected fault")

    def _append_to_shard(self, shard: Shard, records: list[KeyedRecord]) -> int:
        stored = self._partitions.setdefault(shard, [])
        offset = len(stored)
        for record in records:
            stored.append(KeyedRecord(record.key, record.value, len(stored)))
        self._changed.set()
        return offset
