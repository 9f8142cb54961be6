"""Interface to the platform's store: a log of keyed topics, and group membership."""

from typing import NewType, Protocol

import msgspec

from ...errors import ApricotquayError

Topic = NewType("Topic", str)
MemberName = NewType("MemberName", str)


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; a record without a value deletes the key.

    `offset` is -1 if the record has not been appended.
    """

    key: bytes
    value: bytes | None
    offset: int = -1


class Page(msgspec.Struct, frozen=True):
    """Records of a partition; `end` is the offset after the partition's last one."""

    records: list[KeyedRecord]
    end: int


class Shard(msgspec.Struct, frozen=True, order=True):
    """A partition of a keyed topic, which a group assigns to one of its members."""

    topic: Topic
    number: int


class ShardAssignment(msgspec.Struct, frozen=True):
    """The shards assigned to a member of a group in a generation."""

    generation: int
    shards: frozenset[Shard]


class LogError(ApricotquayError):
    """A call to the log failed."""


class LogRefusedError(LogError):
    """The call had no effect: the log refused it or could not be reached."""


class LogOutcomeUnknownError(LogError):
    """No valid response: an append may have been done or may still be done."""


class LogConflictError(LogError):
    """An append expected another end of the partition; the actual one is `end`."""

    def __init__(self, end: int) -> None:
        super().__init__(f"partition ends at {end}")
        self.end: int = end


class LogExpiredError(LogError):
    """The requested records have expired; the newest of each key remain in a keyed
    topic. Those from `first_offset` on can be read.
    """

    def __init__(self, reason: str, first_offset: int) -> None:
        super().__init__(reason)
        self.first_offset: int = first_offset


class KeyedLog(Protocol):
    """The store's log. Implemented by the platform's adapter and by a stand-in.

    `call_count` is the number of calls so far, which the platform charges for.
    """

    call_count: int

    async def read_newest(self, topic: Topic, partition: int) -> Page:
        """Read the newest record of each key.

        `end` is the end of the partition when the first page was read.
        """

    async def read(
        self, topic: Topic, partition: int, start_offset: int, wait_ms: int
    ) -> Page:
        """Read records from an offset on; wait up to `wait_ms` for the first."""

    async def append(
        self,
        topic: Topic,
        partition: int,
        records: list[KeyedRecord],
        expected_end: int | None,
    ) -> int:
        """Append all records or none and return the offset of the first.

        Raises LogConflictError unless the partition ends at `expected_end`; None
        appends in any case.
        """

    async def join(
        self,
        group: str,
        member: MemberName,
        topics: list[Topic],
        ttl_ms: int,
        generation: int,
    ) -> ShardAssignment:
        """Join a group or renew the membership."""

    async def leave(self, group: str, member: MemberName, generation: int) -> None:
        """Leave a group at once."""

    async def read_owners(self, group: str) -> dict[Shard, MemberName]:
        """Read the owner of each shard of a group."""
