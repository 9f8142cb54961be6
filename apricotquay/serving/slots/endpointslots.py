"""The slots of one endpoint, and what a slot table knows of the endpoint. Pure."""

import enum

import msgspec

from ...ids import EndpointId
from .memory import MemoryUse, Reservation
from .sendlimits import SendLimit
from .tickets import Ticket, TicketId, Work


class EndpointStatus(enum.Enum):
    """Result of outlier detection for an endpoint.

    An EJECTED endpoint gets no batch items and one on PROBATION few. Repeatable
    online requests use either only if no other endpoint has a free slot and no
    batch item can be preempted.
    """

    NORMAL = "usual"
    PROBATION = "on_trial"
    EJECTED = "rests"


class EndpointProfile(msgspec.Struct, frozen=True):
    """What the platform says of an endpoint, as far as slot tables use it.

    `version` is that of its software, `memory_tokens` how many tokens its memory
    holds, 0 if unknown. Empty strings mean unknown.
    """

    version: str = ""
    zone: str = ""
    region: str = ""
    memory_tokens: int = 0


UNKNOWN_PROFILE = EndpointProfile()


class EndpointSlots:
    """The slots of one endpoint."""

    def __init__(self, endpoint: EndpointId, count: int) -> None:
        self.endpoint: EndpointId = endpoint
        self.count: int = count
        self.running: dict[TicketId, Ticket] = {}
        self.granted_s: dict[TicketId, float] = {}
        self.online_count: int = 0
        self.is_open: bool = True
        self.status: EndpointStatus = EndpointStatus.NORMAL
        self.limit: SendLimit | None = None
        self.profile: EndpointProfile = UNKNOWN_PROFILE
        self.memory = MemoryUse()
        self.reservation: Reservation | None = None

    @property
    def version(self) -> str:
        """The version of the endpoint's software."""
        return self.profile.version

    @property
    def free(self) -> int:
        """Number of free slots."""
        return self.count - len(self.running)

    def may_send(self, now_s: float) -> bool:
        """Whether the endpoint's limit allows a request now."""
        return self.limit is None or self.limit.may_send(now_s)

    def is_available(self, now_s: float) -> bool:
        """Whether some ticket could be granted a slot now."""
        return self.is_open and self.count > len(self.running) and self.may_send(now_s)

    def suits(self, ticket: Ticket, now_s: float) -> bool:
        """Whether a ticket may use the endpoint, which is available."""
        return self.accepts(ticket, now_s) and self.has_memory(ticket)

    def has_memory(self, ticket: Ticket) -> bool:
        """Whether the endpoint's memory holds a ticket beside those that run and one
        that memory is reserved for; as far as the sizes are known.
        """
        capacity = self.profile.memory_tokens
        if not capacity or not ticket.tokens:
            return True
        kept = self.reservation
        reserved = kept.tokens if kept and kept.ticket != ticket.id else 0
        return self.memory.tokens + self.memory.needed(ticket) + reserved <= capacity

    def could_hold(self, ticket: Ticket) -> bool:
        """Whether the endpoint's memory would hold a ticket alone."""
        may_use = self.is_open and self.endpoint not in ticket.avoid
        is_version = ticket.version in ("", self.version)
        return may_use and is_version and ticket.tokens <= self.profile.memory_tokens

    def accepts(self, ticket: Ticket, now_s: float) -> bool:
        """Whether a ticket may use the endpoint if there is memory for it."""
        if self.endpoint in ticket.avoid:
            return False
        if ticket.version and ticket.version != self.version:
            return False
        if self.limit is None or ticket.work is Work.ONLINE:
            return True
        return self.limit.may_send_batch(now_s)

    def throughput_per_s(self, service_time_s: float, now_s: float) -> float:
        """Return how many online requests a second the endpoint can begin."""
        by_slots = self.count / service_time_s
        if self.limit is None:
            return by_slots
        return min(by_slots, self.limit.granted_per_s(now_s))

    def assign(self, ticket: Ticket, now_s: float) -> None:
        """Give a slot to a ticket."""
        if ticket.work is Work.ONLINE:
            self.online_count += 1
        self.running[ticket.id] = ticket
        self.memory.add(ticket)
        self.granted_s[ticket.id] = now_s

    def release(self, ticket_id: TicketId, now_s: float) -> tuple[Ticket, float]:
        """Free a ticket's slot; return the ticket and how long it held the slot."""
        ticket = self.running.pop(ticket_id)
        self.memory.remove(ticket)
        held_s = now_s - self.granted_s.pop(ticket_id)
        if ticket.work is Work.ONLINE:
            self.online_count -= 1
        return ticket, held_s
