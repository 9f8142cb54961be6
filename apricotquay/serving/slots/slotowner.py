"""The owner's side of slot allocation: a table per service, with peers' tickets."""

import asyncio
import collections
from collections.abc import Callable

import msgspec

from ...clocks import Clock
from ...events import Event
from ...ids import EndpointId
from ..catalog import Service, ServiceName
from ..endpoints import Endpoint, LeavingNotice
from ..engine import EndpointLimit
from ..fleet.peers import PeerConnection
from ..fleet.view import View
from ..messages import (
    AskSlot,
    HeldSlot,
    LeavingList,
    LimitList,
    LimitSeen,
    Message,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotRevoked,
    TicketList,
    TicketsKnown,
)
from ..reporting import Reporter
from .coldlimits import (
    ENTRY_DELAY_S,
    MIN_SHARING_DAEMONS,
    TAKEOVER_S,
    ColdLimit,
    ColdLimits,
    sharing_daemons,
)
from .dispatch import Dispatcher
from .endpointslots import EndpointProfile, EndpointStatus
from .outliers import OutlierDetector, SlotOutcome
from .sendlimits import (
    DEFAULT_DAEMONS,
    MAX_LIMITS,
    LimitNotice,
    SendLimit,
    SendLimits,
)
from .slotleases import PeerLeases
from .slotuse import UseReport
from .speedreport import SpeedReporter, SpeedSummary
from .ticketmessages import MS_PER_S, held_ticket, requested_ticket
from .tickets import (
    Decision,
    Granted,
    RefusalReason,
    Refused,
    Ticket,
    TicketId,
)

DEFAULT_SLOTS = 8
# A newer ticket may have been requested after its peer compiled its ticket list.
LIST_GRACE_S = 0.5
PROBATION_SLOTS = 1
# Changes of limits are told to peers together, at most this often.
LIMITS_INTERVAL_S = 0.5
# How often it is checked whether cold endpoints have become warm.
COLD_INTERVAL_S = 0.25


class PeerTicket(msgspec.Struct):
    """A ticket of a peer, and the connection that its decisions are sent to."""

    connection: PeerConnection
    service: ServiceName
    requested_s: float


class SlotTables:
    """The slot tables of all services, with the tickets of this daemon and of peers.

    A peer's ticket ends when the peer releases it, when the connection closes,
    when the peer's ticket list omits it, when the peer has not been heard for the
    time of a lease, or when this daemon is no longer the owner, so neither a lost
    message nor a lost VM leaks a slot. Used by `SlotAllocator`.
    """

    def __init__(self, view: View, clock: Clock, reporter: Reporter) -> None:
        # Holds only endpoints that are ejected or on probation after failures.
        self.statuses: dict[EndpointId, EndpointStatus] = {}
        # Set while the passing of time may change a table.
        self.needs_tick = asyncio.Event()
        self._view: View = view
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._outlier_detector = OutlierDetector()
        self._tables: dict[ServiceName, Dispatcher] = {}
        self.limits = SendLimits()
        self.cold_limits = ColdLimits()
        self._speed_reporters: dict[ServiceName, SpeedReporter] = {}
        # How often endpoints were left out for a moment because they were full.
        self.full_count: int = 0
        self._malformed: dict[EndpointId, str] = {}
        # How many daemons share limits, as owners told; 0 if none has.
        self._known_daemons: int = 0
        self._limits_told_s: float = float("-inf")
        self.is_owned: Callable[[ServiceName], bool] = lambda service: True
        # Whether the store confirms what this daemon owns.
        self.is_confirmed: Callable[[], bool] = lambda: True
        self._owned_since_s: dict[ServiceName, float] = {}
        self._cold_checked_s: float = float("-inf")
        # Until when endpoints that failed may have started again without an entry.
        self._may_be_new_until_s: dict[EndpointId, float] = {}
        # How many daemons were told that they share a rate.
        self._told_sharing: int = MIN_SHARING_DAEMONS
        self._peer_tickets: dict[TicketId, PeerTicket] = {}
        self._tickets_of_connection: dict[PeerConnection, set[TicketId]] = {}
        self._peer_leases = PeerLeases()
        self.refused_counts = dict.fromkeys(RefusalReason, 0)
        self.on_local_decision = lambda decision: None

    @property
    def limited_count(self) -> int:
        """Number of endpoints that do not take the whole load."""
        return len(self.limits)

    @property
    def peer_ticket_count(self) -> int:
        """Number of known tickets of peers."""
        return len(self._peer_tickets)

    def waiting_by_priority(self) -> collections.Counter[int]:
        """Return how many online requests of each priority wait in all tables."""
        waiting: collections.Counter[int] = collections.Counter()
        for table in self._tables.values():
            waiting += table.waiting_by_priority()
        return waiting

    def table(self, service: ServiceName) -> Dispatcher:
        """Return the slot table of a service; create it at first use."""
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = Dispatcher()
            self._set_endpoints(service, table)
        return table

    def request_slot(self, service: ServiceName, ticket: Ticket) -> None:
        """Request a slot for this daemon."""
        self._deliver(self.table(service).request_slot(ticket, self._clock.now_s()))
        self._tick_if_waiting(service)

    def record_grant(
        self, service: ServiceName, ticket: Ticket, endpoint: EndpointId
    ) -> None:
        """Record a slot that another daemon's table granted."""
        self.table(service).record_grant(ticket, endpoint, self._clock.now_s())

    def release(self, service: ServiceName, ticket_id: TicketId) -> None:
        """Release a slot or remove a ticket from the queue."""
        decisions = self.table(service).release(ticket_id, self._clock.now_s())
        self._deliver(decisions)

    def record_use(
        self, service: ServiceName, endpoint_id: EndpointId, report: UseReport | None
    ) -> None:
        """Record what an attempt showed of an endpoint, before its slot is released."""
        if report is None:
            return
        now_s = self._clock.now_s()
        table = self.table(service)
        if table.record_use(endpoint_id, report, now_s):
            self.full_count += 1
        if self.is_owned(service):
            self._speed_reporters.setdefault(
                service, SpeedReporter(self._reporter)
            ).check(table.slowness, table.is_open, now_s)

    def speed_summary(self) -> SpeedSummary:
        """Return what the tables know of the endpoints' speeds."""
        tables = self._tables.values()
        return SpeedSummary(v for table in tables for v in table.all_slowness())

    def record_outcome(self, endpoint_id: EndpointId, outcome: SlotOutcome) -> None:
        """Feed the outcome of an attempt at an endpoint to outlier detection."""
        endpoint = self._view.endpoints.get(endpoint_id)
        if endpoint is None or outcome is SlotOutcome.UNKNOWN:
            return
        now_s = self._clock.now_s()
        failures, total = self._outlier_detector.failure_counts(endpoint, now_s)
        ejection_s = self._outlier_detector.record_attempt(endpoint, outcome, now_s)
        if ejection_s:
            settings = self._settings(endpoint.service)
            if settings is not None and settings.cold_per_s:
                until_s = now_s + ejection_s + ENTRY_DELAY_S
                self._may_be_new_until_s[endpoint_id] = until_s
            self.needs_tick.set()
            self._reporter.write(
                Event.ENDPOINT_EJECTED,
                endpoint=endpoint_id,
                reason=f"{failures + 1} of {total + 1} attempts of all daemons failed",
                for_s=ejection_s,
            )

    def record_limit(
        self, endpoint_id: EndpointId, limit: EndpointLimit, sent_s: float
    ) -> bool:
        """Record what an answer to a request that was sent at `sent_s` says of its
        endpoint's limit; return whether the owner of the service should know.
        """
        endpoint = self._view.endpoints.get(endpoint_id)
        if endpoint is None or limit.malformed:
            self._report_malformed(endpoint_id, limit)
            return False
        was_limited = self.limits.find(endpoint) is not None
        self._apply_limit(endpoint, limit.rate_per_s, sent_s)
        return was_limited or limit.rate_per_s is not None

    def _report_malformed(self, endpoint_id: EndpointId, limit: EndpointLimit) -> None:
        if self._malformed.get(endpoint_id, "") == limit.malformed:
            return
        if len(self._malformed) >= MAX_LIMITS:
            self._malformed.clear()
        self._malformed[endpoint_id] = limit.malformed
        self._reporter.write(
            Event.LIMIT_MALFORMED, endpoint=endpoint_id, value=limit.malformed
        )

    def _apply_limit(
        self, endpoint: Endpoint, rate_per_s: float | None, sent_s: float
    ) -> None:
        now_s = self._clock.now_s()
        limits = self.limits
        if rate_per_s is None:
            changed = limits.end(endpoint.id, endpoint.started_ms, sent_s, now_s)
        else:
            changed = limits.name(endpoint.id, endpoint.started_ms, rate_per_s, now_s)
        if changed:
            self._handle_limit_change(endpoint.id, rate_per_s, "an answer")

    def _handle_limit_change(
        self, endpoint_id: EndpointId, rate_per_s: float | None, reason: str
    ) -> None:
        self._reporter.write(
            Event.LIMIT_CHANGED,
            endpoint=endpoint_id,
            rate_per_s=rate_per_s,
            reason=reason,
        )
        self.refresh()

    def limit_list(self) -> LimitList:
        """Return all limits that this daemon knows, for a daemon that may not."""
        return LimitList(self.limits.notices(self._clock.now_s()))

    def refresh(self) -> None:
        """Update the tables with the endpoints that take new work."""
        self.needs_tick.set()
        for service, table in self._tables.items():
            self._deliver(self._set_endpoints(service, table))

    def is_cold(self, endpoint_id: EndpointId) -> bool:
        """Whether an endpoint is known to be cold and takes a limited rate then."""
        endpoint = self._view.endpoints.get(endpoint_id)
        settings = self._settings(endpoint.service) if endpoint else None
        if settings is None or not settings.cold_per_s:
            return False
        return self._cold_left_s(endpoint) > 0

    def release_peer_tickets(self, services: set[ServiceName]) -> None:
        """Release the slots that peers hold in services that others own now."""
        for ticket_id, peer in list(self._peer_tickets.items()):
            table = self.table(peer.service)
            if peer.service in services and not table.is_waiting(ticket_id):
                self._release_peer_ticket(ticket_id)

    def services(self) -> set[ServiceName]:
        """Return the services that have a table."""
        return set(self._tables)

    def tick(self) -> None:
        """Refuse waiting tickets that are past their deadline, and update which
        endpoints are ejected or on probation.
        """
        now_s = self._clock.now_s()
        statuses = {
            endpoint_id: status
            for service in self._tables
            for endpoint_id, status in self._statuses_of(service, now_s).items()
        }
        if statuses != self.statuses:
            self.statuses = statuses
            self.refresh()
        if len(self.limits):
            self._forget_limits(now_s)
            self._tell_limits(now_s)
        if len(self.cold_limits) and now_s - self._cold_checked_s >= COLD_INTERVAL_S:
            self._cold_checked_s = now_s
            self._forget_cold(now_s)
            self._tell_sharing()
            self.refresh()
        waiting = [table for table in self._tables.values() if table.waiting_count]
        for table in waiting:
            self._deliver(table.tick(now_s))
        is_limited = len(self.limits) or len(self.cold_limits)
        if not waiting and not self.statuses and not is_limited:
            self.needs_tick.clear()

    def _tick_if_waiting(self, service: ServiceName) -> None:
        if self.table(service).waiting_count:
            self.needs_tick.set()

    def expire_silent_peers(self) -> None:
        """End the tickets of peers that have been silent for the time of a lease.

        The connection is closed, so that a peer that is back opens another one and
        reports the slots that it still holds.
        """
        holders = [c for c, tickets in self._tickets_of_connection.items() if tickets]
        for connection in self._peer_leases.expire(holders, self._clock.now_s()):
            self._reporter.write(
                Event.SLOT_LEASES_EXPIRED,
                address=connection.address,
                tickets=len(self._tickets_of_connection[connection]),
            )
            connection.close()
            self._release_tickets_of(connection)

    def handle_message(
        self, connection: PeerConnection, message: Message
    ) -> Message | None:
        """Handle a message of a peer that considers this daemon the owner; return the
        reply to a ticket list.
        """
        self._peer_leases.renew(connection)
        if isinstance(message, AskSlot):
            self._handle_ask_slot(connection, message)
        elif isinstance(message, HeldSlot):
            self._handle_held_slot(connection, message)
        elif isinstance(message, ReleaseSlot):
            self._handle_release_slot(message)
        elif isinstance(message, TicketList):
            return self._handle_ticket_list(connection, message)
        elif isinstance(message, LimitSeen):
            self._handle_limit_seen(message)
        elif isinstance(message, LimitList):
            self._handle_limit_list(message)
        elif isinstance(message, LeavingList):
            self._view.record_leaving(message.endpoints, is_answer=False)
        return None

    def tell_leaving(self, notices: list[LeavingNotice]) -> None:
        """Tell peers that ask this daemon for slots which endpoints leave."""
        for connection in self._tickets_of_connection:
            connection.send(LeavingList(notices))

    def _handle_ask_slot(self, connection: PeerConnection, message: AskSlot) -> None:
        now_s = self._clock.now_s()
        ticket = requested_ticket(message, now_s)
        self._add_peer_ticket(connection, message.service, ticket.id)
        decisions = self.table(message.service).request_slot(ticket, now_s)
        self._deliver(decisions)
        self._tick_if_waiting(message.service)
        if all(decision.ticket != ticket.id for decision in decisions):
            connection.send(SlotQueued(ticket.id))

    def _handle_release_slot(self, message: ReleaseSlot) -> None:
        ticket_id = TicketId(message.ticket)
        endpoint_id = self.table(message.service).endpoint_of(ticket_id)
        if endpoint_id is not None:
            self.record_use(message.service, endpoint_id, message.measurements)
        self._release_peer_ticket(ticket_id)
        if endpoint_id is not None:
            self.record_outcome(endpoint_id, message.use)

    def _handle_held_slot(self, connection: PeerConnection, message: HeldSlot) -> None:
        ticket = held_ticket(message, self._clock.now_s())
        self._add_peer_ticket(connection, message.service, ticket.id)
        self.record_grant(message.service, ticket, EndpointId(message.endpoint))

    def _handle_ticket_list(
        self, connection: PeerConnection, message: TicketList
    ) -> TicketsKnown:
        listed = set(message.tickets)
        requested_before_s = self._clock.now_s() - LIST_GRACE_S
        for ticket_id in self._tickets_of_connection.get(connection, set()) - listed:
            peer = self._peer_tickets[ticket_id]
            if (
                peer.service == message.service
                and peer.requested_s < requested_before_s
            ):
                self._release_peer_ticket(ticket_id)
        unknown = [t for t in message.tickets if t not in self._peer_tickets]
        return TicketsKnown(message.service, unknown)

    def _handle_limit_seen(self, message: LimitSeen) -> None:
        endpoint = self._view.endpoints.get(EndpointId(message.endpoint))
        if message.rate_per_s is not None:
            notice = LimitNotice(
                message.endpoint, message.started_ms, message.rate_per_s, False, 0
            )
            self._merge_limits([notice], "a peer's answer")
        elif endpoint is not None and endpoint.started_ms == message.started_ms:
            granted_s = self.table(message.service).granted_s(TicketId(message.ticket))
            self._apply_limit(endpoint, None, granted_s)

    def _handle_limit_list(self, message: LimitList) -> None:
        if message.daemons:
            # A new owner may not have been asked by all daemons yet.
            self._known_daemons = max(message.daemons, self._known_daemons // 2)
        self._merge_limits(message.limits, "a peer")

    def _merge_limits(self, notices: list[LimitNotice], reason: str) -> None:
        now_s = self._clock.now_s()
        for notice in notices:
            if self.limits.merge(notice, now_s):
                rate_per_s = None if notice.has_ended else notice.rate_per_s
                self._handle_limit_change(
                    EndpointId(notice.endpoint), rate_per_s, reason
                )

    def _tell_limits(self, now_s: float) -> None:
        """Tell peers that ask this daemon for slots which limits have changed."""
        if now_s - self._limits_told_s < LIMITS_INTERVAL_S:
            return
        self._limits_told_s = now_s
        changes = self.limits.take_changes(now_s)
        if not changes:
            return
        message = LimitList(changes, self._told_daemons())
        for connection in self._tickets_of_connection:
            connection.send(message)

    def _asking_daemons(self) -> int:
        return len(self._tickets_of_connection) + 1

    def _told_daemons(self) -> int:
        """Return the number of daemons to tell peers, 0 if this one owns nothing."""
        owns_service = any(self.is_owned(service) for service in self._tables)
        return self._asking_daemons() if owns_service else 0

    def _forget_limits(self, now_s: float) -> None:
        services = self._tables
        listed = {e.id for s in services for e in self._view.endpoints.serving(s)}
        if self.limits.forget(listed, now_s):
            self.refresh()

    def _add_peer_ticket(
        self, connection: PeerConnection, service: ServiceName, ticket: TicketId
    ) -> None:
        self._remove_peer_ticket(ticket)
        self._peer_tickets[ticket] = PeerTicket(
            connection, service, self._clock.now_s()
        )
        if connection not in self._tickets_of_connection:
            self._tickets_of_connection[connection] = set()
            connection.on_close.append(lambda: self._release_tickets_of(connection))
            if len(self.limits):
                notices = self.limits.notices(self._clock.now_s())
                connection.send(LimitList(notices, self._told_daemons()))
            leaving = self._view.endpoints.leaving_notices()
            if leaving:
                connection.send(LeavingList(leaving))
        self._tickets_of_connection[connection].add(ticket)

    def _release_tickets_of(self, connection: PeerConnection) -> None:
        self._peer_leases.end(connection)
        for ticket_id in self._tickets_of_connection.pop(connection, set()):
            self._record_lost(ticket_id)
            self._release_peer_ticket(ticket_id)

    def _record_lost(self, ticket_id: TicketId) -> None:
        """Record that the holder of a slot is gone; its run may go on for a moment."""
        table = self.table(self._peer_tickets[ticket_id].service)
        endpoint_id = table.endpoint_of(ticket_id)
        if endpoint_id is not None:
            table.record_abandoned(endpoint_id, self._clock.now_s())

    def _release_peer_ticket(self, ticket_id: TicketId) -> None:
        peer = self._remove_peer_ticket(ticket_id)
        if peer is not None:
            self.release(peer.service, ticket_id)

    def _remove_peer_ticket(self, ticket_id: TicketId) -> PeerTicket | None:
        peer = self._peer_tickets.pop(ticket_id, None)
        if peer is not None:
            self._tickets_of_connection.get(peer.connection, set()).discard(ticket_id)
        return peer

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Refused):
                self._report_refusal(decision)
            peer = self._peer_tickets.get(decision.ticket)
            if peer is None:
                self.on_local_decision(decision)
                continue
            peer.connection.send(self._message_for(decision, peer))
            if isinstance(decision, Refused):
                self._remove_peer_ticket(decision.ticket)

    def _report_refusal(self, refused: Refused) -> None:
        self.refused_counts[refused.reason] += 1
        self._reporter.write_limited(
            Event.SLOT_REFUSED,
            ticket=refused.ticket,
            reason=refused.reason.value,
            team=refused.team,
            priority=refused.priority,
            ahead=refused.ahead,
            share=round(refused.share, 3),
            wait_ms=int(refused.wait_s * MS_PER_S),
        )

    def _message_for(self, decision: Decision, peer: PeerTicket) -> Message:
        if isinstance(decision, Refused):
            return SlotRefused(decision.ticket, int(decision.wait_s * MS_PER_S))
        if not isinstance(decision, Granted):
            return SlotRevoked(decision.ticket)
        if self.cold_limits.find(decision.endpoint) is None:
            return SlotGranted(decision.ticket, decision.endpoint)
        waited_ms = int((self._clock.now_s() - peer.requested_s) * MS_PER_S)
        return SlotGranted(
            decision.ticket, decision.endpoint, is_cold=True, waited_ms=waited_ms
        )

    def _statuses_of(
        self, service: ServiceName, now_s: float
    ) -> dict[EndpointId, EndpointStatus]:
        endpoints = list(self._view.endpoints.serving(service))
        ejected = self._outlier_detector.ejected(endpoints, now_s)
        on_probation = self._outlier_detector.on_probation(endpoints, now_s)
        return dict.fromkeys(ejected, EndpointStatus.EJECTED) | dict.fromkeys(
            on_probation, EndpointStatus.PROBATION
        )

    def _set_endpoints(self, service: ServiceName, table: Dispatcher) -> list[Decision]:
        """Set which endpoints take new work, and their slot counts, in a table."""
        now_s = self._clock.now_s()
        statuses = self._statuses_of(service, now_s)
        default = self._default_slots(service)
        slot_counts = {
            entry.id: PROBATION_SLOTS
            if statuses.get(entry.id) is EndpointStatus.PROBATION
            else entry.slots or default
            for entry in self._view.endpoints.serving(service)
        }
        limits = self._limits_of(service, now_s)
        memory_tokens = self._memory_tokens(service)
        profiles = {
            e.id: EndpointProfile(
                e.version,
                e.zone,
                self._view.endpoints.region_of(e.zone),
                memory_tokens=memory_tokens,
                started_ms=e.started_ms,
            )
            for e in self._view.endpoints.serving(service)
        }
        cold = self._cold_limits_of(service, now_s)
        table.set_alone(is_alone=not self.is_owned(service))
        return table.set_endpoints(slot_counts, now_s, statuses, limits, profiles, cold)

    def _cold_limits_of(
        self, service: ServiceName, now_s: float
    ) -> dict[EndpointId, ColdLimit]:
        """Return the limits of a service's cold endpoints, see `_limits_of`."""
        is_owned = self.is_owned(service)
        if is_owned:
            self._owned_since_s.setdefault(service, now_s)
        else:
            self._owned_since_s.pop(service, None)
        settings = self._settings(service)
        if settings is None or not settings.cold_per_s:
            return {}
        is_new = is_owned and now_s - self._owned_since_s[service] < TAKEOVER_S
        is_doubtful = is_new or not self.is_confirmed()
        found = {}
        for endpoint in self._view.endpoints.serving(service):
            limit = self._cold_limit(endpoint, settings, now_s)
            if limit is not None:
                limit.set_doubtful(is_owned and is_doubtful)
                daemons = sharing_daemons(self._known_daemons)
                limit.share_among(daemons, now_s, is_shared=not is_owned)
                found[endpoint.id] = limit
        return found

    def _tell_sharing(self) -> None:
        """Tell peers how many daemons share a rate if they are more than assumed."""
        daemons = self._told_daemons()
        if daemons <= self._told_sharing:
            return
        self._told_sharing = daemons
        for connection in self._tickets_of_connection:
            connection.send(LimitList([], daemons))

    def _forget_cold(self, now_s: float) -> None:
        """End the limits of endpoints that are warm, gone or limited no more."""
        for endpoint_id in list(self.cold_limits.all()):
            endpoint = self._view.endpoints.get(endpoint_id)
            settings = self._settings(endpoint.service) if endpoint else None
            if settings is None or not settings.cold_per_s:
                self.cold_limits.end(endpoint_id)
                self._may_be_new_until_s.pop(endpoint_id, None)
            else:
                self._cold_limit(endpoint, settings, now_s)

    def _cold_limit(
        self, endpoint: Endpoint, settings: Service, now_s: float
    ) -> ColdLimit | None:
        left_s = self._cold_left_s(endpoint)
        if not left_s:
            if self.cold_limits.end(endpoint.id):
                self._reporter.write(Event.ENDPOINT_WARM, endpoint=endpoint.id)
            return None
        limit, begins = self.cold_limits.begin(endpoint, settings.cold_per_s, now_s)
        if begins:
            self._reporter.write(
                Event.ENDPOINT_COLD,
                endpoint=endpoint.id,
                started_ms=endpoint.started_ms,
                left_ms=int(left_s * MS_PER_S),
                rate_per_s=settings.cold_per_s,
            )
        return limit

    def _limits_of(
        self, service: ServiceName, now_s: float
    ) -> dict[EndpointId, SendLimit]:
        """Return the limits of a service's endpoints, for all daemons together if this
        daemon owns the service.
        """
        if not len(self.limits):
            return {}
        is_owned = self.is_owned(service)
        daemons = (
            self._asking_daemons()
            if is_owned
            else self._known_daemons or DEFAULT_DAEMONS
        )
        found = {}
        for endpoint in self._view.endpoints.serving(service):
            limit = self.limits.find(endpoint)
            if limit is not None:
                limit.share_among(daemons, now_s, is_shared=not is_owned)
                found[endpoint.id] = limit
        return found

    def _cold_left_s(self, endpoint: Endpoint) -> float:
        now_s = self._clock.now_s()
        left_s = self._view.endpoints.cold_left_s(
            endpoint, self._view.configuration, now_s
        )
        may_be_new_until_s = self._may_be_new_until_s.get(endpoint.id, now_s)
        if may_be_new_until_s <= now_s:
            self._may_be_new_until_s.pop(endpoint.id, None)
        return max(left_s, may_be_new_until_s - now_s)

    def _memory_tokens(self, service: ServiceName) -> int:
        settings = self._settings(service)
        return settings.memory_tokens if settings else 0

    def _settings(self, service: ServiceName) -> Service | None:
        configuration = self._view.configuration
        return configuration.services.get(service) if configuration else None

    def _default_slots(self, service: ServiceName) -> int:
        settings = self._settings(service)
        return settings.slots if settings and settings.slots else DEFAULT_SLOTS
