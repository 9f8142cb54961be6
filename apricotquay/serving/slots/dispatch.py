"""Assigns the slots of a service's endpoints and queues the work that waits. Pure.

Engines admit requests as they arrive and know no priorities, so the queue is
kept here and an engine is never sent more requests than it has slots. Waiting
work is served in the order of `Rank`: requests that can still be in time go
before late ones, because serving late ones first would make all of them late.
An online request without a free slot preempts a batch item: a late item first,
then the one with the most slack. This absorbs bursts of online traffic and of
batch jobs, and the loss of endpoints.
"""

import collections
import enum
import heapq
import random
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple, NewType

import msgspec

from ...ids import EndpointId
from .sendlimits import SendLimit

TicketId = NewType("TicketId", str)

# Initial estimate of how long an online request holds its slot. The estimate is
# updated when slots are released.
DEFAULT_SERVICE_TIME_S = 0.7
SERVICE_TIME_SMOOTHING = 0.05
# From the grant of a slot to the first event at the caller.
FIRST_EVENT_DELAY_S = 0.08
MAX_PREFIXES = 10_000


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


class EndpointStatus(enum.Enum):
    """Result of outlier detection for an endpoint.

    An EJECTED endpoint gets no batch items and one on PROBATION few. Repeatable
    online requests use either only if no other endpoint has a free slot and no
    batch item can be preempted.
    """

    NORMAL = "usual"
    PROBATION = "on_trial"
    EJECTED = "rests"


class Restriction(NamedTuple):
    """Which endpoints a ticket may use; the fields are those of `Ticket`."""

    version: str
    avoid: frozenset[str]
    may_repeat: bool


UNRESTRICTED = Restriction("", frozenset(), True)


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

    @property
    def restriction(self) -> Restriction:
        """Which endpoints the ticket may use."""
        return Restriction(self.version, self.avoid, self.may_repeat)

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


class Refused(msgspec.Struct, frozen=True):
    """A ticket cannot get a slot in time; one may be free after `wait_s`."""

    ticket: TicketId
    wait_s: float


class Revoked(msgspec.Struct, frozen=True):
    """A batch item must release its slot."""

    ticket: TicketId


Decision = Granted | Refused | Revoked


class _EndpointSlots:
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
        self.version: str = ""

    @property
    def free(self) -> int:
        return self.count - len(self.running)

    def may_send(self, now_s: float) -> bool:
        """Whether the endpoint's limit allows a request now."""
        return self.limit is None or self.limit.may_send(now_s)

    def is_available(self, now_s: float) -> bool:
        """Whether some ticket could be granted a slot now."""
        return self.is_open and self.count > len(self.running) and self.may_send(now_s)

    def suits(self, ticket: Ticket, now_s: float) -> bool:
        """Whether a ticket may use the endpoint, which is available."""
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


_QueueEntry = tuple[float, int, Ticket]


class Dispatcher:
    """The slot table of one service. Used by the service's owner, and by every
    daemon for its own requests while the owner does not answer.
    """

    def __init__(self, seed: int = 0) -> None:
        self._slots: dict[EndpointId, _EndpointSlots] = {}
        self._endpoint_of: dict[TicketId, EndpointId] = {}
        # A queue for each restriction, so that tickets for endpoints without free
        # slots hold no others up.
        self._queues: dict[Rank, dict[Restriction, list[_QueueEntry]]] = {
            rank: {} for rank in Rank
        }
        self._waiting: dict[TicketId, Ticket] = {}
        # The online tickets of `_waiting`, kept apart because every event scans them.
        self._waiting_online: dict[TicketId, Ticket] = {}
        self._batch_running: set[TicketId] = set()
        self._revoked: set[TicketId] = set()
        self._retry_times_s: list[float] = []
        self._sequence: int = 0
        self._service_time_s: float = DEFAULT_SERVICE_TIME_S
        self._random = random.Random(seed)
        self._endpoint_of_prefix: dict[str, EndpointId] = {}
        self._has_limits: bool = False

    @property
    def waiting_count(self) -> int:
        """Number of waiting tickets."""
        return len(self._waiting)

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Whether a ticket waits for a slot."""
        return ticket_id in self._waiting

    def running_at(self, endpoint: EndpointId) -> int:
        """Return how many tickets hold a slot of an endpoint."""
        slots = self._slots.get(endpoint)
        return len(slots.running) if slots else 0

    def slot_count(self, endpoint: EndpointId) -> int:
        """Return how many slots of an endpoint may be used, 0 if it is unknown."""
        slots = self._slots.get(endpoint)
        return slots.count if slots else 0

    def endpoint_of(self, ticket_id: TicketId) -> EndpointId | None:
        """Return the endpoint where a ticket holds a slot."""
        return self._endpoint_of.get(ticket_id)

    def granted_s(self, ticket_id: TicketId) -> float:
        """Return when a ticket was granted its slot, minus infinity if it has none."""
        endpoint = self._endpoint_of.get(ticket_id)
        if endpoint is None:
            return float("-inf")
        return self._slots[endpoint].granted_s[ticket_id]

    def set_endpoints(
        self,
        counts: dict[EndpointId, int],
        now_s: float,
        statuses: Mapping[EndpointId, EndpointStatus] = MappingProxyType({}),
        limits: Mapping[EndpointId, SendLimit] = MappingProxyType({}),
        versions: Mapping[EndpointId, str] = MappingProxyType({}),
    ) -> list[Decision]:
        """Set which endpoints take new work, and what the table knows of them."""
        for endpoint, slots in list(self._slots.items()):
            slots.is_open = endpoint in counts
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        for endpoint, count in counts.items():
            slots = self._slots.setdefault(endpoint, _EndpointSlots(endpoint, count))
            slots.count = count
            slots.status = statuses.get(endpoint, EndpointStatus.NORMAL)
            slots.limit = limits.get(endpoint)
            slots.version = versions.get(endpoint, "")
        self._has_limits = bool(limits)
        return list(self._serve_queues(now_s))

    def record_grant(self, ticket: Ticket, endpoint: EndpointId, now_s: float) -> None:
        """Record a slot that another daemon's table granted, unless it is known."""
        if ticket.id in self._endpoint_of:
            return
        slots = self._slots.setdefault(endpoint, _EndpointSlots(endpoint, 0))
        self._assign(ticket, slots, now_s)

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant a slot, queue the ticket or refuse it; may revoke a batch item."""
        if ticket.id in self._endpoint_of or ticket.id in self._waiting:
            return []
        refusal = self._refuse_if_too_late(ticket, now_s)
        if refusal is not None:
            return [refusal]
        self._waiting[ticket.id] = ticket
        if ticket.work is Work.ONLINE:
            self._waiting_online[ticket.id] = ticket
        self._push(ticket, now_s)
        return list(self._serve_queues(now_s))

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Release a ticket's slot or remove the ticket from the queue."""
        self._stop_waiting(ticket_id)
        self._revoked.discard(ticket_id)
        self._batch_running.discard(ticket_id)
        endpoint = self._endpoint_of.pop(ticket_id, None)
        if endpoint is not None:
            slots = self._slots[endpoint]
            ticket = slots.running.pop(ticket_id)
            held_s = now_s - slots.granted_s.pop(ticket_id)
            if ticket.work is Work.ONLINE:
                slots.online_count -= 1
                self._service_time_s += SERVICE_TIME_SMOOTHING * (
                    held_s - self._service_time_s
                )
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        return list(self._serve_queues(now_s))

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiting online tickets that are past their slot deadline, or cannot
        get a slot before it because endpoints have named limits.
        """
        late = [t for t in self._waiting_online.values() if t.slot_deadline_s <= now_s]
        if self._has_limits:
            late += self._hopeless_tickets(now_s)
        for ticket in late:
            self._stop_waiting(ticket.id)
        refusals: list[Decision] = [
            Refused(ticket.id, self._retry_after_s(self._expected_wait_s(now_s), now_s))
            for ticket in late
        ]
        refusals += self._refuse_missing_versions()
        return refusals + list(self._serve_queues(now_s))

    def _refuse_if_too_late(self, ticket: Ticket, now_s: float) -> Refused | None:
        """Refuse an online ticket that cannot get a slot before its deadline."""
        if ticket.work is not Work.ONLINE:
            return None
        wait_s = self._expected_wait_s(now_s)
        if not wait_s or now_s + wait_s <= ticket.slot_deadline_s:
            return None
        return Refused(ticket.id, self._retry_after_s(wait_s, now_s))

    def _refuse_missing_versions(self) -> Iterable[Refused]:
        """Refuse waiting tickets that need a version which no endpoint has any more."""
        listed = {s.version for s in self._slots.values() if s.is_open}
        wanted = {r.version for queues in self._queues.values() for r in queues}
        wanted.discard("")
        if not listed or wanted <= listed:
            return
        for ticket in list(self._waiting.values()):
            if ticket.version and ticket.version not in listed:
                self._stop_waiting(ticket.id)
                yield Refused(ticket.id, 0.0)

    def _hopeless_tickets(self, now_s: float) -> list[Ticket]:
        """Return the waiting online tickets that would be granted a slot too late."""
        waiting = [
            t for t in self._waiting_online.values() if t.slot_deadline_s > now_s
        ]
        waiting.sort(key=lambda t: (self._rank(t, now_s), t.due_s))
        interval_s = 1 / self._throughput_per_s(now_s)
        hopeless = []
        ahead = 0
        for ticket in waiting:
            if ticket.holds_slot:
                continue
            if now_s + ahead * interval_s > ticket.slot_deadline_s:
                hopeless.append(ticket)
            else:
                ahead += 1
        return hopeless

    def _retry_after_s(self, wait_s: float, now_s: float) -> float:
        """Return a refused caller's retry delay, spread over what can be served."""
        self._retry_times_s = [at_s for at_s in self._retry_times_s if at_s > now_s]
        after_s = wait_s + len(self._retry_times_s) / self._throughput_per_s(now_s)
        self._retry_times_s.append(now_s + after_s)
        return after_s

    def _throughput_per_s(self, now_s: float) -> float:
        """Return how many online requests a second the endpoints can begin."""
        total = sum(
            s.throughput_per_s(self._service_time_s, now_s)
            for s in self._slots.values()
            if s.is_open
        )
        return total or 1 / self._service_time_s

    def _expected_wait_s(self, now_s: float) -> float:
        """Estimate a new online ticket's wait; batch items can be preempted."""
        free = sum(
            s.count - s.online_count
            for s in self._slots.values()
            if s.is_open and s.limit is None
        )
        free += sum(
            min(1, s.count - s.online_count)
            for s in self._slots.values()
            if s.is_open and s.limit is not None and s.may_send(now_s)
        )
        ahead = sum(1 for t in self._waiting_online.values() if not t.holds_slot)
        if ahead < free or not self._slots:
            return 0.0
        return (ahead - free + 1) / self._throughput_per_s(now_s)

    def _rank(self, ticket: Ticket, now_s: float) -> Rank:
        """Return a ticket's rank; overridden to compare other orders."""
        return ticket.rank(now_s)

    def _push(self, ticket: Ticket, now_s: float) -> None:
        self._sequence += 1
        entry = (ticket.due_s, self._sequence, ticket)
        heapq.heappush(self._queue(self._rank(ticket, now_s), ticket), entry)

    def _queue(self, rank: Rank, ticket: Ticket) -> list[_QueueEntry]:
        return self._queues[rank].setdefault(ticket.restriction, [])

    def _serve_queues(self, now_s: float) -> Iterable[Decision]:
        available = [s for s in self._slots.values() if s.is_available(now_s)]
        for rank in Rank:
            if available:
                yield from self._serve_rank(rank, available, now_s)
        yield from self._revoke_for_online(now_s)

    def _serve_rank(
        self, rank: Rank, available: list[_EndpointSlots], now_s: float
    ) -> Iterable[Decision]:
        """Grant slots to a rank's queues; move tickets that became late. Endpoints
        that take no more are removed from `available`.
        """
        blocked: set[Restriction] = set()
        while available:
            queue = self._next_queue(rank, blocked)
            if queue is None:
                break
            entry = queue[0]
            ticket = entry[2]
            if self._waiting.get(ticket.id) is not ticket:
                heapq.heappop(queue)
                continue
            current_rank = self._rank(ticket, now_s)
            if current_rank is not rank:
                heapq.heappop(queue)
                heapq.heappush(self._queue(current_rank, ticket), entry)
                continue
            slots = self._choose_endpoint(ticket, available, now_s)
            if slots is None:
                blocked.add(ticket.restriction)
                continue
            heapq.heappop(queue)
            self._stop_waiting(ticket.id)
            self._assign(ticket, slots, now_s)
            if slots.limit is not None:
                slots.limit.take(now_s)
            if not slots.is_available(now_s):
                available.remove(slots)
            yield Granted(ticket.id, slots.endpoint)

    def _next_queue(
        self, rank: Rank, blocked: set[Restriction]
    ) -> list[_QueueEntry] | None:
        """Return the queue whose first ticket comes next, of those not blocked."""
        if UNRESTRICTED in blocked:
            # Not even a ticket for any endpoint has one.
            return None
        queues = self._queues[rank]
        for restriction in [r for r, queue in queues.items() if not queue]:
            del queues[restriction]
        open_queues = [q for r, q in queues.items() if r not in blocked]
        return min(open_queues, key=lambda queue: queue[0][:2], default=None)

    def _choose_endpoint(
        self, ticket: Ticket, available: list[_EndpointSlots], now_s: float
    ) -> _EndpointSlots | None:
        """Choose the least loaded endpoint, or the one that served the prefix last
        if at least half of its slots are free."""
        usable = self._usable_endpoints(ticket, available, now_s)
        if not usable:
            return None
        if self._has_limits:
            usable = _preferred_by_limit(usable, ticket.work, now_s)
        preferred = self._endpoint_of_prefix.get(ticket.prefix)
        for slots in usable:
            if slots.endpoint == preferred and slots.free * 2 >= slots.count:
                return slots
        highest_share = max(s.free / s.count for s in usable)
        slots = self._random.choice(
            [s for s in usable if s.free / s.count == highest_share]
        )
        if ticket.prefix:
            if len(self._endpoint_of_prefix) >= MAX_PREFIXES:
                self._endpoint_of_prefix.clear()
            self._endpoint_of_prefix[ticket.prefix] = slots.endpoint
        return slots

    def _usable_endpoints(
        self, ticket: Ticket, available: list[_EndpointSlots], now_s: float
    ) -> list[_EndpointSlots]:
        """Return the available endpoints that a ticket may use now."""
        with_free_slots = [s for s in available if s.suits(ticket, now_s)]
        if ticket.work is Work.BATCH:
            return [
                s for s in with_free_slots if s.status is not EndpointStatus.EJECTED
            ]
        normal = [s for s in with_free_slots if s.status is EndpointStatus.NORMAL]
        if normal or not ticket.may_repeat or self._can_revoke(now_s):
            return normal
        return with_free_slots

    def _can_revoke(self, now_s: float) -> bool:
        """Whether a batch item can be revoked in favour of an online request."""
        if not self._has_limits:
            return len(self._batch_running) > len(self._revoked)
        return any(True for _ in self._revocable(now_s))

    def _revocable(self, now_s: float) -> Iterable[tuple[Ticket, _EndpointSlots]]:
        """Yield the batch items whose slots an online request could use."""
        for slots in self._slots.values():
            if not slots.is_open or not slots.may_send(now_s):
                continue
            for ticket in slots.running.values():
                if ticket.work is Work.BATCH and ticket.id not in self._revoked:
                    yield ticket, slots

    def _revoke_for_online(self, now_s: float) -> Iterable[Decision]:
        """Revoke one batch item for each waiting online ticket that can be in time."""
        if not self._waiting_online or len(self._batch_running) == len(self._revoked):
            return
        wanted = collections.Counter(
            t.version
            for t in self._waiting_online.values()
            if self._rank(t, now_s) is Rank.ONLINE_IN_TIME
        )
        missing = wanted.total() - len(self._revoked)
        if missing <= 0:
            return
        candidates = sorted(
            (self._revocation_key(ticket, slots, now_s), ticket.id, slots.version)
            for ticket, slots in self._revocable(now_s)
        )
        # Tickets that need a version come first: fewer items are of use to them.
        for version in sorted(wanted, reverse=True):
            for candidate in candidates:
                if missing <= 0 or wanted[version] <= 0:
                    break
                _, ticket_id, item_version = candidate
                if ticket_id in self._revoked or version not in ("", item_version):
                    continue
                missing -= 1
                wanted[version] -= 1
                self._revoked.add(ticket_id)
                yield Revoked(ticket_id)

    def _revocation_key(
        self, ticket: Ticket, slots: _EndpointSlots, now_s: float
    ) -> float:
        """Return the sort key for revocation, lowest first: the negated slack, or
        minus infinity for an item that is already late."""
        remaining_s = max(
            0.0, ticket.expected_duration_s - (now_s - slots.granted_s[ticket.id])
        )
        slack_s = ticket.due_s - now_s - remaining_s
        return float("-inf") if slack_s < 0 else -slack_s

    def _stop_waiting(self, ticket_id: TicketId) -> None:
        self._waiting.pop(ticket_id, None)
        self._waiting_online.pop(ticket_id, None)

    def _assign(self, ticket: Ticket, slots: _EndpointSlots, now_s: float) -> None:
        if ticket.work is Work.ONLINE:
            slots.online_count += 1
        else:
            self._batch_running.add(ticket.id)
        slots.running[ticket.id] = ticket
        slots.granted_s[ticket.id] = now_s
        self._endpoint_of[ticket.id] = slots.endpoint


def _preferred_by_limit(
    usable: list[_EndpointSlots], work: Work, now_s: float
) -> list[_EndpointSlots]:
    """Return the endpoints that work should go to: batch items, which use their slots
    for long, to those that take few requests, and online requests to the others.
    """
    if work is Work.BATCH:
        preferred = [s for s in usable if s.limit is not None]
    else:
        preferred = [s for s in usable if s.limit is None or s.limit.needs_check(now_s)]
    return preferred or usable
