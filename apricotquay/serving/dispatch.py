"""The slots of a service's endpoints: who runs where, and who waits. Pure.

Engines admit requests as they arrive and know no priorities, so the queue is
kept here and an engine is given no more than its slots. Online requests go
first, the earliest objective first. Batch items fill the other slots, the
earliest due first, and are revoked, the latest due first, when an online
request finds no slot. Answers bursts of online traffic and of batch jobs.
"""

import enum
import heapq
import random
from collections.abc import Iterable
from typing import NewType

import msgspec

from ..ids import EndpointId

TicketId = NewType("TicketId", str)

# Times a queue may be as long as the slots before new requests are refused.
DEFAULT_HOLD_S = 0.7
HOLD_SMOOTHING = 0.05


class Work(enum.Enum):
    """The two classes of work."""

    ONLINE = "online"
    BATCH = "batch"


class Ticket(msgspec.Struct):
    """A request for a slot.

    `due_s` orders tickets of one class; an online request that cannot get a
    slot before `latest_s` is refused at once. `avoid` lists endpoints that
    failed it already. `prefix` names the prompt's shared part.
    """

    id: TicketId
    work: Work
    due_s: float
    latest_s: float
    prefix: str = ""
    avoid: frozenset[str] = frozenset()


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
        self.elsewhere: int = 0
        self.is_open: bool = True

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
        self._queues: dict[Work, list[tuple[float, int, Ticket]]] = {
            Work.ONLINE: [],
            Work.BATCH: [],
        }
        self._waiting: dict[TicketId, Ticket] = {}
        self._revoked: set[TicketId] = set()
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

    def set_endpoints(
        self, counts: dict[EndpointId, int], now_s: float
    ) -> Iterable[Decision]:
        """Take in which endpoints take new work, and their slots."""
        for endpoint, slots in list(self._slots.items()):
            slots.is_open = endpoint in counts
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        for endpoint, count in counts.items():
            slots = self._slots.setdefault(endpoint, _Slots(endpoint, count))
            slots.count = count
        return list(self._serve_queues(now_s))

    def hold(self, ticket: Ticket, endpoint: EndpointId, now_s: float) -> None:
        """Take in a ticket that another table granted."""
        slots = self._slots.setdefault(endpoint, _Slots(endpoint, 0))
        self._assign(ticket, slots, now_s)

    def ask(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant a slot, queue the ticket or refuse it; may revoke a batch item."""
        if ticket.id in self._place or ticket.id in self._waiting:
            return []
        if ticket.work is Work.ONLINE:
            wait_s = self._expected_wait_s()
            if now_s + wait_s > ticket.latest_s:
                return [Refused(ticket.id, wait_s)]
        self._waiting[ticket.id] = ticket
        self._order += 1
        entry = (ticket.due_s, self._order, ticket)
        heapq.heappush(self._queues[ticket.work], entry)
        return list(self._serve_queues(now_s))

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Free a ticket's slot or take it out of the queue."""
        self._waiting.pop(ticket_id, None)
        self._revoked.discard(ticket_id)
        endpoint = self._place.pop(ticket_id, None)
        if endpoint is not None:
            slots = self._slots[endpoint]
            ticket = slots.running.pop(ticket_id)
            held_s = now_s - slots.since_s.pop(ticket_id)
            if ticket.work is Work.ONLINE:
                self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        return list(self._serve_queues(now_s))

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiting online tickets whose time is up."""
        late = [
            t
            for t in self._waiting.values()
            if t.work is Work.ONLINE and t.latest_s <= now_s
        ]
        for ticket in late:
            del self._waiting[ticket.id]
        refusals: list[Decision] = [
            Refused(ticket.id, self._expected_wait_s()) for ticket in late
        ]
        return refusals + list(self._serve_queues(now_s))

    def _expected_wait_s(self) -> float:
        """Estimate when a new online ticket would get a slot."""
        total = sum(s.count for s in self._slots.values() if s.is_open)
        if not total:
            return 0.0
        batch = sum(
            1
            for s in self._slots.values()
            for t in s.running.values()
            if t.work is Work.BATCH
        )
        free = sum(s.free for s in self._slots.values() if s.is_open) + batch
        ahead = sum(1 for t in self._waiting.values() if t.work is Work.ONLINE)
        if ahead < free:
            return 0.0
        return (ahead - free + 1) * self._hold_s / total

    def _serve_queues(self, now_s: float) -> Iterable[Decision]:
        for work in (Work.ONLINE, Work.BATCH):
            yield from self._serve_queue(work, now_s)
        yield from self._revoke_for_online()

    def _serve_queue(self, work: Work, now_s: float) -> Iterable[Decision]:
        queue = self._queues[work]
        unplaced = []
        while queue:
            entry = heapq.heappop(queue)
            ticket = entry[2]
            if self._waiting.get(ticket.id) is not ticket:
                continue
            slots = self._choose(ticket)
            if slots is None:
                unplaced.append(entry)
                if not ticket.avoid:
                    break
                continue
            del self._waiting[ticket.id]
            self._assign(ticket, slots, now_s)
            yield Granted(ticket.id, slots.endpoint)
        for entry in unplaced:
            heapq.heappush(queue, entry)

    def _choose(self, ticket: Ticket) -> _Slots | None:
        """Choose the emptiest endpoint, or the prefix's home if it is no fuller
        than half."""
        usable = [
            s
            for s in self._slots.values()
            if s.is_open and s.free > 0 and s.endpoint not in ticket.avoid
        ]
        if not usable:
            return None
        home = self._homes.get(ticket.prefix)
        for slots in usable:
            if slots.endpoint == home and slots.free * 2 >= slots.count:
                return slots
        most = max(s.free / s.count for s in usable)
        slots = self._random.choice([s for s in usable if s.free / s.count == most])
        if ticket.prefix:
            self._homes[ticket.prefix] = slots.endpoint
        return slots

    def _revoke_for_online(self) -> Iterable[Decision]:
        """Revoke as many batch items as there are online tickets without a slot."""
        wanting = sum(1 for t in self._waiting.values() if t.work is Work.ONLINE)
        missing = wanting - len(self._revoked)
        if missing <= 0:
            return
        running = [
            ticket
            for slots in self._slots.values()
            if slots.is_open
            for ticket in slots.running.values()
            if ticket.work is Work.BATCH and ticket.id not in self._revoked
        ]
        running.sort(key=lambda ticket: -ticket.due_s)
        for ticket in running[:missing]:
            self._revoked.add(ticket.id)
            yield Revoked(ticket.id)

    def _assign(self, ticket: Ticket, slots: _Slots, now_s: float) -> None:
        slots.running[ticket.id] = ticket
        slots.since_s[ticket.id] = now_s
        self._place[ticket.id] = slots.endpoint
