"""A stand-in of the platform's keyed log, in memory, with faults on demand."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from apricotquay.serving.keyedlog import (
    Assignment,
    KeyedRecord,
    LogConflictError,
    LogExpiredError,
    LogOutcomeUnknownError,
    LogRefusedError,
    MemberName,
    Page,
    Shard,
    Topic,
)

PARTS = 12


class _Membership(NamedTuple):
    """A member's topics, and when it is taken for gone."""

    topics: list[Topic]
    until_s: float


class MemoryLog:
    """Implements `KeyedLog`. Shared by all members of a test.

    `fault` is asked before each append: it returns "" for none, "refuse",
    "lose" (done, no answer), "drop" (not done, no answer) or "late" (no answer;
    done, if its condition then holds, by `land_late`).
    """

    def __init__(self) -> None:
        self.choose_fault: Callable[[], str] = lambda: ""
        self.is_down: bool = False
        self._partitions: dict[Shard, list[KeyedRecord]] = {}
        self._first: dict[Shard, int] = {}
        self._late: list[tuple] = []
        self._members: dict[str, dict[MemberName, _Membership]] = {}
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """Forget the history; the newest record of each key stays."""
        for shard, records in self._partitions.items():
            self._first[shard] = len(records)

    def apply_delayed_appends(self) -> None:
        """Carry out the appends that were put off, where their condition holds."""
        late, self._late = self._late, []
        for shard, records, at in late:
            if at is None or at == len(self._partitions.get(shard, [])):
                self._store(shard, records)

    async def read_newest(self, topic: Topic, part: int) -> Page:
        """Return the newest record of each key."""
        self._check_up()
        records = self._partitions.get(Shard(topic, part), [])
        newest = {record.key: record for record in records}
        return Page([r for r in newest.values() if r.value], len(records))

    async def read(self, topic: Topic, part: int, start: int, wait_ms: int) -> Page:
        """Return records from an offset."""
        self._check_up()
        shard = Shard(topic, part)
        if start < self._first.get(shard, 0):
            raise LogExpiredError(f"{start} has expired")
        if wait_ms and start >= len(self._partitions.get(shard, [])):
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._check_up()
        records = self._partitions.get(shard, [])
        return Page(records[start:], len(records))

    async def append(
        self, topic: Topic, part: int, records: list[KeyedRecord], at: int | None
    ) -> int:
        """Append records and return the offset of the first."""
        self._check_up()
        shard = Shard(topic, part)
        fault = self.choose_fault()
        if fault == "refuse":
            raise LogRefusedError("refused by the test")
        if fault == "drop":
            raise LogOutcomeUnknownError("dropped by the test")
        if fault == "late":
            self._late.append((shard, records, at))
            raise LogOutcomeUnknownError("put off by the test")
        end = len(self._partitions.get(shard, []))
        if at is not None and at != end:
            raise LogConflictError(end)
        offset = self._store(shard, records)
        if fault == "lose":
            raise LogOutcomeUnknownError("answer lost by the test")
        return offset

    async def join(
        self,
        group: str,
        member: MemberName,
        topics: list[Topic],
        ttl_ms: int,
        generation: int,
    ) -> Assignment:
        """Join a group; shards are dealt in turn."""
        self._check_up()
        until_s = time.monotonic() + ttl_ms / 1000
        self._members.setdefault(group, {})[member] = _Membership(topics, until_s)
        owned = {s for s, m in (await self.read_owners(group)).items() if m == member}
        return Assignment(len(self._members[group]), frozenset(owned))

    async def leave(self, group: str, member: MemberName, generation: int) -> None:
        """Leave a group."""
        self._check_up()
        self._members.get(group, {}).pop(member, None)

    async def read_owners(self, group: str) -> dict[Shard, MemberName]:
        """Return who owns what."""
        self._check_up()
        now_s = time.monotonic()
        joined = {
            name: membership
            for name, membership in self._members.get(group, {}).items()
            if membership.until_s > now_s
        }
        members = sorted(joined)
        topics = sorted({t for m in joined.values() for t in m.topics})
        return {
            Shard(topic, number): members[number % len(members)]
            for topic in topics
            for number in range(PARTS)
        }

    def _check_up(self) -> None:
        if self.is_down:
            raise LogRefusedError("down by the test")

    def _store(self, shard: Shard, records: list[KeyedRecord]) -> int:
        stored = self._partitions.setdefault(shard, [])
        offset = len(stored)
        for record in records:
            stored.append(KeyedRecord(record.key, record.value, len(stored)))
        self._changed.set()
        return offset
