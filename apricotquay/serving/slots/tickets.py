"""Requests for slots, their order of service, and the decisions on them. Pure."""

import enum
from typing import NamedTuple, NewType

import msgspec

from ...ids import EndpointId, TeamId

TicketId = NewType("TicketId", str)

# From the grant of a slot to the first event at the caller.
FIRST_EVENT_DELAY_S = 0.08


class Work(enum.Enum):
    """The two classes of work."""

    ONLINE = "online"
    BATCH = "batch"


class Rank(enum.IntEnum):
    """The order in which waiting work is served, lowest first."""

    ONLINE_IN_TIME = 0
    ONLINE_LATE = 1
    BATCH_IN_TIME = 2
    BATCH_LATE = 3


class Restriction(NamedTuple):
    """Which endpoints a ticket may use; the fields are those of `Ticket`.

    `size` is the magnitude of its tokens: those that find no memory hold up none that
    are smaller.
    """

    version: str
    avoid: frozenset[str]
    may_repeat: bool
    regions: frozenset[str]
    size: int = 0


def before_send(version: str, regions: frozenset[str]) -> Restriction:
    """Return what still binds work that holds a slot: an endpoint where it failed
    before was granted since no other was left.
    """
    return Restriction(version, frozenset(), True, regions)


UNRESTRICTED = Restriction("", frozenset(), True, frozenset())


class Ticket(msgspec.Struct):
    """A request for a slot in a `Dispatcher`.

    `due_s` is the deadline for the first event of an online request or for the
    end of a batch item. An online request that has no slot at `slot_deadline_s`,
    or cannot get one by then, is refused. `expected_duration_s` is how long a
    batch item will hold its slot. `avoid` lists endpoints where it already failed,
    and `prefix` identifies the shared part of its prompt. `may_repeat` tells
    whether it can be sent again after an endpoint failed part-way, `holds_slot` that
    another ticket's slot is released when this one gets its own. A stream under way
    goes on only at endpoints with its software `version`, empty for any.

    `team`, the ticket's `priority` class (0 is the highest) and the team's `weight`
    decide who goes first when slots are short. `tokens` is the memory that the request
    needs at an endpoint, 0 if unknown, of which `prefix_tokens` are shared. `zone` is
    the availability zone of the daemon that sends it, and `regions` are those that it
    may reach, empty for all.
    """

    id: TicketId
    work: Work
    due_s: float
    slot_deadline_s: float
    expected_duration_s: float = 0.0
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    may_repeat: bool = True
    holds_slot: bool = False
    version: str = ""
    team: TeamId = TeamId("")
    priority: int = 0
    weight: float = 1.0
    tokens: int = 0
    zone: str = ""
    regions: frozenset[str] = frozenset()
    prefix_tokens: int = 0

    @property
    def priority_class(self) -> int:
        """The class in which the ticket waits. Batch items are all in one: they are not
        refused when slots are short, so a lower class would wait without an end.
        """
        return self.priority if self.work is Work.ONLINE else 0

    @property
    def share_team(self) -> TeamId:
        """The team whose share the ticket counts against, empty for none. Batch items
        are served by their due time: shares would let all jobs end late that compete.
        """
        return self.team if self.work is Work.ONLINE else TeamId("")

    @property
    def restriction(self) -> Restriction:
        """Which endpoints the ticket may use."""
        return Restriction(
            self.version,
            self.avoid,
            self.may_repeat,
            self.regions,
            max(0, self.tokens).bit_length(),
        )

    def is_late(self, now_s: float) -> bool:
        """Whether the ticket would miss `due_s` even with a slot now."""
        start_s = (
            FIRST_EVENT_DELAY_S
            if self.work is Work.ONLINE
            else self.expected_duration_s
        )
        return now_s + start_s > self.due_s

    def rank(self, now_s: float) -> Rank:
        """Return the ticket's rank in the order of service."""
        if self.work is Work.ONLINE:
            return Rank.ONLINE_LATE if self.is_late(now_s) else Rank.ONLINE_IN_TIME
        return Rank.BATCH_LATE if self.is_late(now_s) else Rank.BATCH_IN_TIME


class Granted(msgspec.Struct, frozen=True):
    """A ticket was given a slot."""

    ticket: TicketId
    endpoint: EndpointId


class RefusalReason(enum.Enum):
    """Why a ticket is refused: `LINE_TOO_LONG` when it is new, `OVERTAKEN` while it
    waits for limited endpoints, `WAITED_TOO_LONG` at its deadline, and
    `VERSION_MISSING` when no endpoint has its version any more.
    """

    LINE_TOO_LONG = "line_too_long"
    OVERTAKEN = "overtaken"
    WAITED_TOO_LONG = "waited_too_long"
    VERSION_MISSING = "version_missing"


class Refused(msgspec.Struct, frozen=True):
    """A ticket cannot get a slot in time; one may be free after `wait_s`.

    `ahead` tickets would have been served before it, and its team's `share` of the
    slots is what its callers' return is spread over. They are for the log.
    """

    ticket: TicketId
    wait_s: float
    reason: RefusalReason = RefusalReason.WAITED_TOO_LONG
    team: TeamId = TeamId("")
    priority: int = 0
    ahead: int = 0
    share: float = 1.0


class Revoked(msgspec.Struct, frozen=True):
    """A batch item must release its slot."""

    ticket: TicketId


Decision = Granted | Refused | Revoked
