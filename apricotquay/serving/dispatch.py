"""The slots of a service's endpoints: who runs where, and who waits. Pure.

Engines admit requests as they arrive and know no priorities, so the queue is
kept here and an engine is given no more than its slots. Waiting work is served
in the order of `Rank`: an answer that can still come in time goes before one
that is late already, since serving the late ones first makes all of them late.
An online request that finds no slot takes that of a batch item, one that is
late or has the most time left first. Answers bursts of online traffic and of
batch jobs, and the loss of endpoints.
"""

import enum
import heapq
import random
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NewType

import msgspec

from ..ids import EndpointId

TicketId = NewType("TicketId", str)

# How long an online request holds its slot, until that is known better.
DEFAULT_HOLD_S = 0.7
HOLD_SMOOTHING = 0.05
# From a slot to the first event at the caller.
FIRST_EVENT_S = 0.08
MAX_HOMES = 10_000
# How many tickets of a queue are passed over because they avoid what is free.
MAX_UNPLACED = 16


class Work(enum.Enum):
    """The two classes of work."""

    ONLINE = "online"
    BATCH = "batch"


class Rank(enum.IntEnum):
    """The order in which waiting work is served."""

    ONLINE_IN_TIME = 0
    ONLINE_LATE = 1
    BATCH_IN_TIME = 2
    BATCH_LATE = 3


class Standing(enum.Enum):
    """How an endpoint has lately served.

    One that RESTS gets no items, one ON_TRIAL few; online requests that may be
    repeated go to either where no other has room and no item can make room.
    """

    USUAL = "usual"
    ON_TRIAL = "on_trial"
    RESTS = "rests"


class Ticket(msgspec.Struct):
    """A request for a slot.

    `due_s` is when the first event of an online request, or the end of a batch
    item, is in time. An online request that has no slot at `latest_s`, or cannot
    get one by then, is refused. `needs_s` is how long a batch item will hold its
    slot. `avoid` lists endpoints that failed it already, and `prefix` names the
    prompt's shared part. `may_repeat` tells that it can be sent again if an
    endpoint fails it half-way.
    """

    id: TicketId
    work: Work
    due_s: float
    latest_s: float
    needs_s: float = 0.0
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    may_repeat: bool = True

    def is_late(self, now_s: float) -> bool:
        """Whether it would not be in time with a slot now."""
        start_s = FIRST_EVENT_S if self.work is Work.ONLINE else self.needs_s
        return now_s + start_s > self.due_s

    def rank(self, now_s: float) -> Rank:
        """Return its place in the order of service."""
        if self.work is Work.ONLINE:
            return Rank.ONLINE_LATE if self.is_late(now_s) else Rank.ONLINE_IN_TIME
        return Rank.BATCH_LATE if self.is_late(now_s) else Rank.BATCH_IN_TIME


class Granted(msgspec.Struct, frozen=True):
    """A ticket got a slot."""

    ticket: TicketId
    endpoint: EndpointId


class Refused(msgspec.Struct, frozen=True):
    """A ticket cannot get a slot in time; one may be free after `wait_s`."""

    ticket: TicketId
    wait_s: float


class Revoked(msgspec.Struct, frozen=True):
    """A batch item has to give its slot back."""

    ticket: TicketId


Decision = Granted | Refused | Revoked


class _Slots:
    """The slots of one endpoint."""

    def __init__(self, endpoint: EndpointId, count: int) -> None:
        self.endpoint: EndpointId = endpoint
        self.count: int = count
        self.running: dict[TicketId, Ticket] = {}
        self.since_s: dict[TicketId, float] = {}
        self.online_count: int = 0
        self.is_open: bool = True
        self.standing: Standing = Standing.USUAL

    @property
    def free(self) -> int:
        return self.count - len(self.running)


class Dispatcher:
    """The slot table of one service. Used by its owner, and by every daemon for
    its own requests when the owner does not answer.
    """

    def __init__(self, seed: int = 0) -> None:
        self._slots: dict[EndpointId, _Slots] = {}
        self._place: dict[TicketId, EndpointId] = {}
        self._queues: dict[Rank, list[tuple[float, int, Ticket]]] = {
            rank: [] for rank in Rank
        }
        self._waiting: dict[TicketId, Ticket] = {}
        # Those of them that are online, since each event looks through them.
        self._waiting_online: dict[TicketId, Ticket] = {}
        self._batch_running: set[TicketId] = set()
        self._revoked: set[TicketId] = set()
        self._returns_s: list[float] = []
        self._order: int = 0
        self._hold_s: float = DEFAULT_HOLD_S
        self._random = random.Random(seed)
        self._homes: dict[str, EndpointId] = {}

    @property
    def waiting_count(self) -> int:
        """How many tickets wait."""
        return len(self._waiting)

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Whether a ticket waits for a slot."""
        return ticket_id in self._waiting

    def running_at(self, endpoint: EndpointId) -> int:
        """Return how many tickets hold a slot of an endpoint."""
        slots = self._slots.get(endpoint)
        return len(slots.running) if slots else 0

    def slots_of(self, endpoint: EndpointId) -> int:
        """Return how many slots of an endpoint may be used, 0 if it is not known."""
        slots = self._slots.get(endpoint)
        return slots.count if slots else 0

    def place_of(self, ticket_id: TicketId) -> EndpointId | None:
        """Return the endpoint that a ticket holds a slot of."""
        return self._place.get(ticket_id)

    def set_endpoints(
        self,
        counts: dict[EndpointId, int],
        now_s: float,
        standings: Mapping[EndpointId, Standing] = MappingProxyType({}),
    ) -> list[Decision]:
        """Take in which endpoints take new work, their slots, and how they stand."""
        for endpoint, slots in list(self._slots.items()):
            slots.is_open = endpoint in counts
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        for endpoint, count in counts.items():
            slots = self._slots.setdefault(endpoint, _Slots(endpoint, count))
            slots.count = count
            slots.standing = standings.get(endpoint, Standing.USUAL)
        return list(self._serve_queues(now_s))

    def hold(self, ticket: Ticket, endpoint: EndpointId, now_s: float) -> None:
        """Take in a ticket that another table granted."""
        slots = self._slots.setdefault(endpoint, _Slots(endpoint, 0))
        self._assign(ticket, slots, now_s)

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant a slot, queue the ticket or refuse it; may revoke a batch item."""
        if ticket.id in self._place or ticket.id in self._waiting:
            return []
        refusal = self._refuse_at_once(ticket, now_s)
        if refusal is not None:
            return [refusal]
        self._waiting[ticket.id] = ticket
        if ticket.work is Work.ONLINE:
            self._waiting_online[ticket.id] = ticket
        self._push(ticket, now_s)
        return list(self._serve_queues(now_s))

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Free a ticket's slot or take it out of the queue."""
        self._stop_waiting(ticket_id)
        self._revoked.discard(ticket_id)
        self._batch_running.discard(ticket_id)
        endpoint = self._place.pop(ticket_id, None)
        if endpoint is not None:
            slots = self._slots[endpoint]
            ticket = slots.running.pop(ticket_id)
            held_s = now_s - slots.since_s.pop(ticket_id)
            if ticket.work is Work.ONLINE:
                slots.online_count -= 1
                self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        return list(self._serve_queues(now_s))

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiting online tickets whose time is up."""
        late = [t for t in self._waiting_online.values() if t.latest_s <= now_s]
        for ticket in late:
            self._stop_waiting(ticket.id)
        refusals: list[Decision] = [
            Refused(ticket.id, self._return_after_s(self._expected_wait_s(), now_s))
            for ticket in late
        ]
        return refusals + list(self._serve_queues(now_s))

    def _refuse_at_once(self, ticket: Ticket, now_s: float) -> Refused | None:
        """Refuse an online ticket that cannot be served before its latest time."""
        if ticket.work is not Work.ONLINE:
            return None
        wait_s = self._expected_wait_s()
        if not wait_s or now_s + wait_s <= ticket.latest_s:
            return None
        return Refused(ticket.id, self._return_after_s(wait_s, now_s))

    def _return_after_s(self, wait_s: float, now_s: float) -> float:
        """Spread the callers that were told to come back over what can be served."""
        self._returns_s = [at_s for at_s in self._returns_s if at_s > now_s]
        after_s = wait_s + len(self._returns_s) * self._hold_s / self._total()
        self._returns_s.append(now_s + after_s)
        return after_s

    def _total(self) -> int:
        return max(1, sum(s.count for s in self._slots.values() if s.is_open))

    def _expected_wait_s(self) -> float:
        """Estimate when a new online ticket would get a slot; batch gives way."""
        free = sum(s.count - s.online_count for s in self._slots.values() if s.is_open)
        ahead = len(self._waiting_online)
        if ahead < free or not self._slots:
            return 0.0
        return (ahead - free + 1) * self._hold_s / self._total()

    def _rank(self, ticket: Ticket, now_s: float) -> Rank:
        """Return a ticket's place; experiments compare other orders by it."""
        return ticket.rank(now_s)

    def _push(self, ticket: Ticket, now_s: float) -> None:
        self._order += 1
        entry = (ticket.due_s, self._order, ticket)
        heapq.heappush(self._queues[self._rank(ticket, now_s)], entry)

    def _serve_queues(self, now_s: float) -> Iterable[Decision]:
        for rank in Rank:
            yield from self._serve_queue(rank, now_s)
        yield from self._revoke_for_online(now_s)

    def _serve_queue(self, rank: Rank, now_s: float) -> Iterable[Decision]:
        """Grant slots to a queue; tickets that have become late move on to theirs."""
        queue = self._queues[rank]
        unplaced = []
        while queue and len(unplaced) < MAX_UNPLACED and self._has_room():
            entry = heapq.heappop(queue)
            ticket = entry[2]
            if self._waiting.get(ticket.id) is not ticket:
                continue
            present_rank = self._rank(ticket, now_s)
            if present_rank is not rank:
                heapq.heappush(self._queues[present_rank], entry)
                continue
            slots = self._choose(ticket)
            if slots is None:
                unplaced.append(entry)
                if not ticket.avoid:
                    break
                continue
            self._stop_waiting(ticket.id)
            self._assign(ticket, slots, now_s)
            yield Granted(ticket.id, slots.endpoint)
        for entry in unplaced:
            heapq.heappush(queue, entry)

    def _choose(self, ticket: Ticket) -> _Slots | None:
        """Choose the emptiest endpoint, or the prefix's home if it is no fuller
        than half."""
        usable = self._usable(ticket)
        if not usable:
            return None
        home = self._homes.get(ticket.prefix)
        for slots in usable:
            if slots.endpoint == home and slots.free * 2 >= slots.count:
                return slots
        most = max(s.free / s.count for s in usable)
        slots = self._random.choice([s for s in usable if s.free / s.count == most])
        if ticket.prefix:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            self._homes[ticket.prefix] = slots.endpoint
        return slots

    def _usable(self, ticket: Ticket) -> list[_Slots]:
        """Return the endpoints with room that a ticket may go to now."""
        roomy = [
            s
            for s in self._slots.values()
            if s.is_open and s.free > 0 and s.endpoint not in ticket.avoid
        ]
        if ticket.work is Work.BATCH:
            return [s for s in roomy if s.standing is not Standing.RESTS]
        usual = [s for s in roomy if s.standing is Standing.USUAL]
        can_make_room = len(self._batch_running) > len(self._revoked)
        if usual or can_make_room or not ticket.may_repeat:
            return usual
        return roomy

    def _revoke_for_online(self, now_s: float) -> Iterable[Decision]:
        """Revoke as many batch items as online tickets wait that can be in time."""
        if len(self._batch_running) == len(self._revoked):
            return
        wanting = sum(
            1
            for t in self._waiting_online.values()
            if self._rank(t, now_s) is Rank.ONLINE_IN_TIME
        )
        missing = wanting - len(self._revoked)
        if missing <= 0:
            return
        victims = [
            (self._reluctance(ticket, slots, now_s), ticket.id)
            for slots in self._slots.values()
            if slots.is_open
            for ticket in slots.running.values()
            if ticket.work is Work.BATCH and ticket.id not in self._revoked
        ]
        for _, ticket_id in heapq.nsmallest(missing, victims):
            self._revoked.add(ticket_id)
            yield Revoked(ticket_id)

    def _reluctance(self, ticket: Ticket, slots: _Slots, now_s: float) -> float:
        """Return how little a batch item can spare its slot: negated slack, or less
        than any for an item that is late anyway."""
        left_s = max(0.0, ticket.needs_s - (now_s - slots.since_s[ticket.id]))
        slack_s = ticket.due_s - now_s - left_s
        return float("-inf") if slack_s < 0 else -slack_s

    def _has_room(self) -> bool:
        return any(s.is_open and s.free > 0 for s in self._slots.values())

    def _stop_waiting(self, ticket_id: TicketId) -> None:
        self._waiting.pop(ticket_id, None)
        self._waiting_online.pop(ticket_id, None)

    def _assign(self, ticket: Ticket, slots: _Slots, now_s: float) -> None:
        if ticket.work is Work.ONLINE:
            slots.online_count += 1
        else:
            self._batch_running.add(ticket.id)
        slots.running[ticket.id] = ticket
        slots.since_s[ticket.id] = now_s
        self._place[ticket.id] = slots.endpoint
