"""The platform's log as the product uses it: keyed topics and group membership."""

from typing import NewType, Protocol

import msgspec

from ..errors import ApricotquayError

Topic = NewType("Topic", str)
MemberName = NewType("MemberName", str)


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; without a value the key is dropped.

    `offset` is -1 in a record that has not been appended.
    """

    key: bytes
    value: bytes | None
    offset: int = -1


class Page(msgspec.Struct, frozen=True):
    """Records of a partition, and the offset after its last record."""

    records: list[KeyedRecord]
    end: int


class Shard(msgspec.Struct, frozen=True, order=True):
    """A partition of a topic that a group deals to its members."""

    topic: Topic
    number: int


class Assignment(msgspec.Struct, frozen=True):
    """What a member of a group owns in a generation."""

    generation: int
    shards: frozenset[Shard]


class LogError(ApricotquayError):
    """A call to the log failed."""


class LogRefusedError(LogError):
    """The log did nothing: it refused the call or could not be reached."""


class LogOutcomeUnknownError(LogError):
    """No answer came: an append may have been done, or may be done later."""


class LogConflictError(LogError):
    """An append's condition did not hold; the partition ends at `end`."""

    def __init__(self, end: int) -> None:
        super().__init__(f"partition ends at {end}")
        self.end: int = end


class LogExpiredError(LogError):
    """The records asked for are gone; the newest of each key remain."""


class KeyedLog(Protocol):
    """The log service. Implemented by the adapter and by the stand-in."""

    async def read_newest(self, topic: Topic, part: int) -> Page:
        """Return the newest record of each key; `end` is that of the first page."""

    async def read(self, topic: Topic, part: int, start: int, wait_ms: int) -> Page:
        """Return records from an offset, waiting for a first one."""

    async def append(
        self, topic: Topic, part: int, records: list[KeyedRecord], at: int | None
    ) -> int:
        """Append all or nothing, if the partition ends at `at`; return the offset."""

    async def join(
        self,
        group: str,
        member: MemberName,
        topics: list[Topic],
        ttl_ms: int,
        generation: int,
    ) -> Assignment:
        """Join a group or stay in it."""

    async def leave(self, group: str, member: MemberName, generation: int) -> None:
        """Leave a group at once."""

    async def read_owners(self, group: str) -> dict[Shard, MemberName]:
        """Return who owns what in a group."""
