"""Assigns the slots of a service's endpoints and queues the work that waits. Pure.

Engines admit requests as they arrive and know no priorities, so the queue is
kept here and an engine is never sent more requests than it has slots. An online
request without a free slot preempts a batch item. This absorbs bursts of online
traffic and of batch jobs, and the loss of endpoints.
"""

import collections
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from ...ids import EndpointId
from .coldlimits import ColdLimit
from .endpointslots import (
    UNKNOWN_PROFILE,
    EndpointProfile,
    EndpointSlots,
    EndpointStatus,
)
from .fairshares import FairShares
from .placement import Placement
from .reservations import MemoryReservations
from .revocation import choose_revocations, revocable
from .sendlimits import SendLimit
from .slotuse import MS_PER_S, UseReport
from .speeds import USUAL, ServiceSpeeds
from .statedload import LINGER_S, StatedLoad
from .tickets import (
    Decision,
    Granted,
    Rank,
    RefusalReason,
    Refused,
    Restriction,
    Revoked,
    Ticket,
    TicketId,
    Work,
)
from .waitingline import WaitingLine, WantedVersion
from .waits import WaitEstimator


class Dispatcher:
    """The slot table of one service. Used by the service's owner, and by every
    daemon for its own requests while the owner does not answer.
    """

    def __init__(self, seed: int = 0) -> None:
        self._slots: dict[EndpointId, EndpointSlots] = {}
        self._endpoint_of: dict[TicketId, EndpointId] = {}
        self._shares = FairShares()
        self._line = WaitingLine(self._rank, self._shares)
        self._waits = WaitEstimator()
        self._reservations = MemoryReservations()
        self._placement = Placement(seed, self._can_revoke)
        self._batch_running: set[TicketId] = set()
        self._revoked: set[TicketId] = set()
        self._has_limits: bool = False
        self._speeds: ServiceSpeeds = ServiceSpeeds()

    @property
    def waiting_count(self) -> int:
        """Number of waiting tickets."""
        return len(self._line)

    def waiting_by_priority(self) -> collections.Counter[int]:
        """Return how many online tickets of each priority wait."""
        return collections.Counter(t.priority for t in self._line.online())

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Whether a ticket waits for a slot."""
        return ticket_id in self._line

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
        profiles: Mapping[EndpointId, EndpointProfile] = MappingProxyType({}),
        cold: Mapping[EndpointId, ColdLimit] = MappingProxyType({}),
    ) -> list[Decision]:
        """Set which endpoints take new work, and what the table knows of them."""
        for endpoint, slots in list(self._slots.items()):
            slots.is_open = endpoint in counts
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        for endpoint, count in counts.items():
            slots = self._slots.setdefault(endpoint, EndpointSlots(endpoint, count))
            slots.count = count
            slots.status = statuses.get(endpoint, EndpointStatus.NORMAL)
            slots.limit = limits.get(endpoint)
            self._set_profile(slots, profiles.get(endpoint, UNKNOWN_PROFILE))
            slots.cold = cold.get(endpoint)
        self._reservations.check_endpoints()
        self._has_limits = bool(limits) or bool(cold)
        return list(self._serve_line(now_s))

    def set_alone(self, *, is_alone: bool) -> None:
        """Set whether other tables grant slots of the same endpoints."""
        self._placement.is_alone = is_alone

    @property
    def slowness(self) -> Mapping[EndpointId, float]:
        """How slow the endpoints are that are not as fast as usual."""
        return self._speeds.slowness

    def all_slowness(self) -> list[float]:
        """Return how slow each endpoint is, also those as fast as usual."""
        return [s.slowness for s in self._slots.values() if s.is_open]

    def is_open(self, endpoint: EndpointId) -> bool:
        """Whether an endpoint takes new work."""
        slots = self._slots.get(endpoint)
        return slots is not None and slots.is_open

    def record_use(self, endpoint: EndpointId, report: UseReport, now_s: float) -> bool:
        """Record what an attempt showed of its endpoint, before its slot is released;
        return whether the endpoint is left out now because it is full.
        """
        slots = self._slots.get(endpoint)
        if slots is None or report.started_ms != slots.profile.started_ms:
            return False
        self._speeds.record(endpoint, report, now_s)
        self._apply_changed_slowness()
        if report.was_abandoned:
            self.record_abandoned(endpoint, now_s)
        load = report.load
        if load is None or not 0 < load.slots:
            return False
        self._placement.has_loads = True
        return slots.record_load(
            load,
            1 / self._waits.throughput_per_s((slots,), now_s),
            now_s - max(0, report.load_age_ms) / MS_PER_S,
            now_s,
            is_refusal=report.was_refused,
        )

    def record_abandoned(self, endpoint: EndpointId, now_s: float) -> None:
        """Record that an endpoint may run a request on whose slot is released."""
        slots = self._slots.get(endpoint)
        if slots is not None and slots.load.record_abandoned(now_s):
            self._placement.lingering_until_s = now_s + LINGER_S

    def _refresh_speeds(self, now_s: float) -> None:
        self._speeds.refresh(now_s)
        self._apply_changed_slowness()

    def _apply_changed_slowness(self) -> None:
        for endpoint in self._speeds.take_changed():
            if endpoint in self._slots:
                self._apply_slowness(self._slots[endpoint])
        self._placement.is_uneven = bool(self._speeds.slowness)

    def _apply_slowness(self, slots: EndpointSlots) -> None:
        slots.slowness = self._speeds.slowness.get(slots.endpoint, USUAL)

    def _set_profile(self, slots: EndpointSlots, profile: EndpointProfile) -> None:
        """Set an endpoint's profile; what was learnt of an earlier start is dropped."""
        if slots.profile.started_ms != profile.started_ms:
            self._speeds.forget(slots.endpoint)
            slots.load = StatedLoad()
        self._apply_slowness(slots)
        self._placement.is_uneven = bool(self._speeds.slowness)
        slots.profile = profile

    def record_grant(self, ticket: Ticket, endpoint: EndpointId, now_s: float) -> None:
        """Record a slot that another daemon's table granted, unless it is known."""
        if ticket.id in self._endpoint_of:
            return
        slots = self._slots.setdefault(endpoint, EndpointSlots(endpoint, 0))
        self._assign(ticket, slots, now_s)

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant a slot, queue the ticket or refuse it; may revoke a batch item."""
        if ticket.id in self._endpoint_of or ticket.id in self._line:
            return []
        self._refresh_speeds(now_s)
        refusal = self._refuse_if_too_late(ticket, now_s)
        if refusal is not None:
            return [refusal]
        self._line.add(ticket, now_s)
        return list(self._serve_line(now_s))

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Release a ticket's slot or remove the ticket from the queue."""
        self._remove_waiting(ticket_id)
        self._revoked.discard(ticket_id)
        self._batch_running.discard(ticket_id)
        endpoint = self._endpoint_of.pop(ticket_id, None)
        if endpoint is not None:
            slots = self._slots[endpoint]
            ticket, held_s = slots.release(ticket_id, now_s)
            self._shares.release(ticket_id, held_s)
            if ticket.work is Work.ONLINE:
                self._waits.record_service_time(held_s / slots.slowness)
            if not slots.is_open and not slots.running:
                del self._slots[endpoint]
        return list(self._serve_line(now_s))

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiting online tickets that are past their slot deadline, or cannot
        get a slot before it because endpoints have named limits.
        """
        late = [
            (ticket, RefusalReason.WAITED_TOO_LONG)
            for ticket in self._line.online()
            if ticket.slot_deadline_s <= now_s
        ]
        if self._has_limits:
            hopeless = self._hopeless_tickets(now_s)
            late += [(ticket, RefusalReason.OVERTAKEN) for ticket in hopeless]
        for ticket, _ in late:
            self._remove_waiting(ticket.id)
        refusals: list[Decision] = [
            self._refuse(ticket, reason, self._shares.ahead(ticket), now_s)
            for ticket, reason in late
        ]
        refusals += self._refuse_missing_versions()
        return refusals + list(self._serve_line(now_s))

    def _remove_waiting(self, ticket_id: TicketId) -> None:
        self._line.remove(ticket_id)
        self._reservations.end(ticket_id)

    def _refuse_if_too_late(self, ticket: Ticket, now_s: float) -> Refused | None:
        """Refuse an online ticket that cannot get a slot before its deadline."""
        if ticket.work is not Work.ONLINE or self._is_soon(ticket, now_s):
            return None
        ahead = self._shares.ahead(ticket)
        wait_s = self._expected_wait_s(ahead, now_s)
        if not wait_s or now_s + wait_s <= ticket.slot_deadline_s:
            return None
        return self._refuse(ticket, RefusalReason.LINE_TOO_LONG, ahead, now_s)

    def _is_soon(self, ticket: Ticket, now_s: float) -> bool:
        """Whether a ticket gets a slot in time even after all that wait; this spares
        the estimate by team for most tickets.
        """
        wait_s = self._expected_wait_s(len(self._line.online()), now_s)
        return now_s + wait_s <= ticket.slot_deadline_s

    def _refuse(
        self, ticket: Ticket, reason: RefusalReason, ahead: int, now_s: float
    ) -> Refused:
        """Return the refusal of a ticket that does not wait, behind `ahead` others."""
        share = self._shares.share(ticket)
        wait_s = self._expected_wait_s(ahead, now_s)
        after_s = self._waits.retry_after_s(
            ticket, wait_s, share, self._slots.values(), now_s
        )
        return Refused(
            ticket.id, after_s, reason, ticket.team, ticket.priority, ahead, share
        )

    def _refuse_missing_versions(self) -> Iterable[Refused]:
        """Refuse waiting tickets that need a version which no endpoint has any more in
        the regions that they may reach.
        """
        open_profiles = [s.profile for s in self._slots.values() if s.is_open]
        if not open_profiles:
            return
        listed = {(p.version, p.region) for p in open_profiles}
        missing = {
            wanted
            for wanted in self._line.wanted_versions()
            if not any(wanted.is_met_by(*found) for found in listed)
        }
        if not missing:
            return
        for ticket in list(self._line.all()):
            if WantedVersion(ticket.version, ticket.regions) in missing:
                self._remove_waiting(ticket.id)
                yield Refused(
                    ticket.id,
                    0.0,
                    RefusalReason.VERSION_MISSING,
                    ticket.team,
                    ticket.priority,
                )

    def _hopeless_tickets(self, now_s: float) -> list[Ticket]:
        """Return the waiting online tickets that would be granted a slot too late."""
        order = self._line.expected_order(now_s)
        waiting = [t for t in order if t.slot_deadline_s > now_s]
        return self._waits.hopeless(self._slots.values(), waiting, now_s)

    def _expected_wait_s(self, ahead: int, now_s: float) -> float:
        """Estimate the wait of an online ticket that is served after `ahead` others."""
        return self._waits.expected_wait_s(self._slots.values(), ahead, now_s)

    def _rank(self, ticket: Ticket, now_s: float) -> Rank:
        """Return a ticket's rank; overridden to compare other orders."""
        return ticket.rank(now_s)

    def _serve_line(self, now_s: float) -> Iterable[Decision]:
        available = [s for s in self._slots.values() if s.is_available(now_s)]
        for rank in Rank:
            if available:
                yield from self._serve_rank(rank, available, now_s)
        yield from self._revoke_for_online(now_s)

    def _serve_rank(
        self, rank: Rank, available: list[EndpointSlots], now_s: float
    ) -> Iterable[Decision]:
        """Grant slots to the tickets of a rank. Endpoints that take no more are
        removed from `available`.
        """
        blocked: set[Restriction] = set()
        for ticket in self._line.in_order(rank, blocked, now_s):
            slots = self._placement.choose(ticket, available, now_s)
            if slots is None:
                blocked.add(ticket.restriction)
                self._reserve_memory(ticket, available, now_s)
                continue
            self._line.remove(ticket.id)
            self._assign(ticket, slots, now_s)
            slots.count_send(now_s)
            yield Granted(ticket.id, slots.endpoint)
            if not slots.is_available(now_s):
                available.remove(slots)
            if not available:
                break

    def _reserve_memory(
        self, ticket: Ticket, available: list[EndpointSlots], now_s: float
    ) -> None:
        """Reserve memory if a ticket only lacks memory and has been passed for long."""
        if not ticket.tokens:
            return
        if any(
            s.accepts(ticket, now_s) and not s.has_memory(ticket) for s in available
        ):
            self._reservations.record_blocked(ticket, self._slots.values(), now_s)

    def _can_revoke(self, now_s: float) -> bool:
        """Whether a batch item can be revoked in favour of an online request."""
        if not self._has_limits:
            return len(self._batch_running) > len(self._revoked)
        return any(True for _ in self._revocable(now_s))

    def _revocable(self, now_s: float) -> Iterable[tuple[Ticket, EndpointSlots]]:
        return revocable(self._slots.values(), self._revoked, now_s)

    def _revoke_for_online(self, now_s: float) -> Iterable[Decision]:
        """Revoke one batch item for each waiting online ticket that can be in time."""
        if not self._line.online() or len(self._batch_running) == len(self._revoked):
            return
        wanted = collections.Counter(
            (t.version, t.regions)
            for t in self._line.online()
            if self._rank(t, now_s) is Rank.ONLINE_IN_TIME
        )
        missing = wanted.total() - len(self._revoked) - self._held_back_slots(now_s)
        if missing <= 0:
            return
        candidates = self._revocable(now_s)
        for ticket_id in choose_revocations(wanted, candidates, missing, now_s):
            self._revoked.add(ticket_id)
            yield Revoked(ticket_id)

    def _held_back_slots(self, now_s: float) -> int:
        """Return how many free slots come into use again without a revocation."""
        return sum(
            s.free
            for s in self._slots.values()
            if s.is_open and s.is_held_back(now_s) and s.free > 0
        )

    def _assign(self, ticket: Ticket, slots: EndpointSlots, now_s: float) -> None:
        if ticket.work is Work.BATCH:
            self._batch_running.add(ticket.id)
        self._reservations.end(ticket.id)
        slots.assign(ticket, now_s)
        self._shares.grant(ticket, self._waits.expected_slot_s(ticket))
        self._endpoint_of[ticket.id] = slots.endpoint
