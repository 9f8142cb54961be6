"""The slots of one endpoint, and what a slot table knows of the endpoint. Pure."""

import enum

import msgspec

from ...ids import EndpointId
from ..engine import EndpointLoad
from .coldlimits import ColdLimit
from .eligibility import Ineligible, find_mismatch
from .memory import MemoryUse, Reservation
from .sendlimits import SendLimit
from .speeds import USUAL
from .statedload import StatedLoad
from .tickets import Ticket, TicketId, Work

# A whole service time counts as much as a quarter of an endpoint's slots. Its slots run
# side by side, so that a smaller weight sends more to endpoints that are slow now, and
# with a larger one some fast endpoints run more than 1.25 times the mean.
SLOWNESS_WEIGHT = 0.25
# A cold endpoint is warm, or its owner answers again, within a few seconds. A daemon's
# share of its rate would give waits of minutes.
MIN_COLD_THROUGHPUT_PER_S = 0.5


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
    holds, 0 if unknown. Empty strings mean unknown. `started_ms` names its start.
    """

    version: str = ""
    zone: str = ""
    region: str = ""
    memory_tokens: int = 0
    started_ms: int = 0


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
        # Set while the endpoint is cold.
        self.cold: ColdLimit | None = None
        self.profile: EndpointProfile = UNKNOWN_PROFILE
        # How long work takes there as a multiple of the usual.
        self.slowness: float = USUAL
        self.load = StatedLoad()
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

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint takes fewer requests than it has slots for."""
        return self.limit is not None or self.cold is not None

    def may_send(self, now_s: float) -> bool:
        """Whether the endpoint's limits allow a request now."""
        if self.cold is not None and not self.cold.may_send(now_s):
            return False
        return self.limit is None or self.limit.may_send(now_s)

    def count_send(self, now_s: float) -> None:
        """Count a request that the endpoint is sent against its limits."""
        if self.cold is not None:
            self.cold.take(now_s)
        if self.limit is not None:
            self.limit.take(now_s)

    def is_available(self, now_s: float) -> bool:
        """Whether some ticket could be granted a slot now."""
        return (
            self.is_open
            and self.count > len(self.running)
            and not self.is_held_back(now_s)
            and self.may_send(now_s)
        )

    def is_held_back(self, now_s: float) -> bool:
        """Whether the endpoint gets nothing for a moment since it stated to be full."""
        return now_s < self.load.held_until_s

    def online_capacity(self, now_s: float) -> int:
        """Return how many online requests could begin there now if all batch items were
        preempted.
        """
        if not self.is_open or self.is_held_back(now_s):
            return 0
        capacity = self.count - self.online_count
        if not self.is_limited:
            return capacity
        return min(1, capacity) if self.may_send(now_s) else 0

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
        is_large_enough = ticket.tokens <= self.profile.memory_tokens
        return self.is_open and is_large_enough and self._mismatch(ticket) is None

    def accepts(self, ticket: Ticket, now_s: float) -> bool:
        """Whether a ticket may use the endpoint if there is memory for it."""
        if self.why_not(ticket, now_s) is not None:
            return False
        if self.limit is None or ticket.work is Work.ONLINE:
            return True
        return self.limit.may_send_batch(now_s)

    def why_not(self, ticket: Ticket, now_s: float) -> Ineligible | None:
        """Return why the endpoint may not take a ticket now, None if it may."""
        if self.cold is not None and not self.cold.may_send(now_s):
            return Ineligible.COLD
        return self._mismatch(ticket)

    def _mismatch(self, ticket: Ticket) -> Ineligible | None:
        """Return why the endpoint fits a ticket at no time, None if it does."""
        profile = self.profile
        return find_mismatch(self.endpoint, profile.version, profile.region, ticket)

    def throughput_per_s(self, service_time_s: float, now_s: float) -> float:
        """Return how many online requests a second the endpoint can begin, with the
        `service_time_s` of an endpoint that is as fast as usual.
        """
        rate_per_s = self.count / (service_time_s * self.slowness)
        if self.limit is not None:
            rate_per_s = min(rate_per_s, self.limit.granted_per_s(now_s))
        if self.cold is not None:
            cold_per_s = self.cold.granted_per_s(now_s)
            rate_per_s = min(rate_per_s, max(MIN_COLD_THROUGHPUT_PER_S, cold_per_s))
        return rate_per_s

    def cost(
        self,
        now_s: float,
        others: float = 0.0,
        slowness_weight: float = SLOWNESS_WEIGHT,
    ) -> float:
        """Return what another request would cost here, by which endpoints are compared:
        its expected time, and the load with abandoned runs and with runs of `others`
        that this table does not know of.
        """
        others += self.load.lingering(now_s)
        load = (len(self.running) + others) / self.count
        return load + slowness_weight * self.slowness

    def record_load(
        self,
        load: EndpointLoad,
        slot_time_s: float,
        at_s: float,
        now_s: float,
        *,
        is_refusal: bool,
    ) -> bool:
        """Record what the endpoint stated at `at_s`; return whether it is left out now
        because it is full. The table still counts the run that got the answer, and
        a slot comes free every `slot_time_s`.
        """
        if is_refusal:
            self.load.record(load, len(self.running) - 1, at_s)
            return self.load.record_refusal(load, slot_time_s, now_s)
        self.load.record_acceptance()
        self.load.record(load, len(self.running), at_s)
        if not load.is_full or not self.load.others:
            return False
        return self.load.hold(load, slot_time_s, at_s, now_s)

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
        granted_s = self.granted_s.pop(ticket_id)
        self.load.record_release(granted_s, now_s)
        held_s = now_s - granted_s
        if ticket.work is Work.ONLINE:
            self.online_count -= 1
        return ticket, held_s
