"""The owner's side of slots: one table a service, and the tickets of peers in it."""

import msgspec

from ..clocks import Clock
from ..events import Event
from ..ids import EndpointId
from .catalog import ServiceName
from .dispatch import (
    Decision,
    Dispatcher,
    Granted,
    Refused,
    Standing,
    Ticket,
    TicketId,
)
from .messages import (
    AskSlot,
    HeldSlot,
    Message,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotRevoked,
    TicketList,
)
from .outliers import Outliers, SlotOutcome
from .peers import PeerConnection
from .reporting import Reporter
from .view import View

DEFAULT_SLOTS = 8
SECONDS_TO_MS = 1000
# A ticket that is younger may have been asked for after its peer made its list.
LIST_LAG_S = 0.5
TRIAL_SLOTS = 1


class PeerTicket(msgspec.Struct):
    """A ticket of a peer, and the link that its decisions go to."""

    link: PeerConnection
    service: ServiceName
    since_s: float


class SlotTables:
    """The tables of all services, with this daemon's own tickets and its peers'.

    A peer's tickets end when it releases them, when its link ends, when its list
    of tickets does not name them, or when this daemon is no longer the owner; so
    no lost message keeps a slot for good.
    """

    def __init__(self, view: View, clock: Clock, reporter: Reporter) -> None:
        # Of the endpoints that rest or are on trial, since they failed too often.
        self.standings: dict[EndpointId, Standing] = {}
        self._view: View = view
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._outliers = Outliers()
        self._tables: dict[ServiceName, Dispatcher] = {}
        self._peers: dict[TicketId, PeerTicket] = {}
        self._tickets_of: dict[PeerConnection, set[TicketId]] = {}
        self.on_own_decision = lambda decision: None

    @property
    def peer_ticket_count(self) -> int:
        """How many tickets of peers are known."""
        return len(self._peers)

    def table(self, service: ServiceName) -> Dispatcher:
        """Return the table of a service."""
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = Dispatcher()
            self._set_endpoints(service, table)
        return table

    def request_slot(self, service: ServiceName, ticket: Ticket) -> None:
        """Ask for a slot for this daemon."""
        self._carry_out(self.table(service).request_slot(ticket, self._clock.now_s()))

    def hold(self, service: ServiceName, ticket: Ticket, endpoint: EndpointId) -> None:
        """Count a slot that another daemon's table granted."""
        self.table(service).hold(ticket, endpoint, self._clock.now_s())

    def release(self, service: ServiceName, ticket_id: TicketId) -> None:
        """Free a slot or take a ticket out of the queue."""
        decisions = self.table(service).release(ticket_id, self._clock.now_s())
        self._carry_out(decisions)

    def see_use(self, endpoint_id: EndpointId, use: SlotOutcome) -> None:
        """Judge an endpoint by how an attempt there ended."""
        endpoint = self._view.endpoints.get(endpoint_id)
        if endpoint is None or use is SlotOutcome.UNKNOWN:
            return
        now_s = self._clock.now_s()
        failures, seen = self._outliers.counts(endpoint, now_s)
        rest_s = self._outliers.see(endpoint, use, now_s)
        if rest_s:
            self._reporter.write(
                Event.ENDPOINT_EJECTED,
                endpoint=endpoint_id,
                reason=f"{failures + 1} of {seen + 1} attempts of all daemons failed",
                for_s=rest_s,
            )

    def refresh(self) -> None:
        """Take in which endpoints take new work."""
        for service, table in self._tables.items():
            self._carry_out(self._set_endpoints(service, table))

    def drop_peers(self, services: set[ServiceName]) -> None:
        """Forget the slots that peers hold in services that others own now."""
        for ticket_id, peer in list(self._peers.items()):
            table = self.table(peer.service)
            if peer.service in services and not table.is_waiting(ticket_id):
                self._drop(ticket_id)

    def services(self) -> set[ServiceName]:
        """Return the services that have a table."""
        return set(self._tables)

    def tick(self) -> None:
        """Refuse waiting tickets whose time is up, and set endpoints aside that
        fail too often.
        """
        now_s = self._clock.now_s()
        standings = {
            endpoint_id: standing
            for service in self._tables
            for endpoint_id, standing in self._standings_of(service, now_s).items()
        }
        if standings != self.standings:
            self.standings = standings
            self.refresh()
        for table in self._tables.values():
            if table.waiting_count:
                self._carry_out(table.tick(now_s))

    def handle(self, link: PeerConnection, message: Message) -> None:
        """Take in a message of a peer that takes this daemon for the owner."""
        if isinstance(message, AskSlot):
            self._answer_ask(link, message)
        elif isinstance(message, HeldSlot):
            self._take_held(link, message)
        elif isinstance(message, ReleaseSlot):
            self._take_release(message)
        elif isinstance(message, TicketList):
            self._take_list(link, message)

    def _answer_ask(self, link: PeerConnection, message: AskSlot) -> None:
        now_s = self._clock.now_s()
        ticket = Ticket(
            TicketId(message.ticket),
            message.work,
            now_s + message.due_in_ms / SECONDS_TO_MS,
            now_s + message.latest_in_ms / SECONDS_TO_MS,
            message.needs_ms / SECONDS_TO_MS,
            message.prefix,
            frozenset(message.avoid),
            message.may_repeat,
        )
        self._remember(link, message.service, ticket.id)
        decisions = self.table(message.service).request_slot(ticket, now_s)
        self._carry_out(decisions)
        if all(decision.ticket != ticket.id for decision in decisions):
            link.send(SlotQueued(ticket.id))

    def _take_release(self, message: ReleaseSlot) -> None:
        ticket_id = TicketId(message.ticket)
        endpoint_id = self.table(message.service).place_of(ticket_id)
        self._drop(ticket_id)
        if endpoint_id is not None:
            self.see_use(endpoint_id, message.use)

    def _take_held(self, link: PeerConnection, message: HeldSlot) -> None:
        now_s = self._clock.now_s()
        due_s = now_s + message.due_in_ms / SECONDS_TO_MS
        needs_s = message.needs_ms / SECONDS_TO_MS
        ticket = Ticket(TicketId(message.ticket), message.work, due_s, due_s, needs_s)
        self._remember(link, message.service, ticket.id)
        self.hold(message.service, ticket, EndpointId(message.endpoint))

    def _take_list(self, link: PeerConnection, message: TicketList) -> None:
        named = set(message.tickets)
        latest_s = self._clock.now_s() - LIST_LAG_S
        for ticket_id in self._tickets_of.get(link, set()) - named:
            peer = self._peers[ticket_id]
            if peer.service == message.service and peer.since_s < latest_s:
                self._drop(ticket_id)

    def _remember(
        self, link: PeerConnection, service: ServiceName, ticket: TicketId
    ) -> None:
        self._forget_ticket(ticket)
        self._peers[ticket] = PeerTicket(link, service, self._clock.now_s())
        if link not in self._tickets_of:
            self._tickets_of[link] = set()
            link.on_close.append(lambda: self._forget(link))
        self._tickets_of[link].add(ticket)

    def _forget(self, link: PeerConnection) -> None:
        for ticket_id in self._tickets_of.pop(link, set()):
            self._drop(ticket_id)

    def _drop(self, ticket_id: TicketId) -> None:
        peer = self._forget_ticket(ticket_id)
        if peer is not None:
            self.release(peer.service, ticket_id)

    def _forget_ticket(self, ticket_id: TicketId) -> PeerTicket | None:
        peer = self._peers.pop(ticket_id, None)
        if peer is not None:
            self._tickets_of.get(peer.link, set()).discard(ticket_id)
        return peer

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            peer = self._peers.get(decision.ticket)
            if peer is None:
                self.on_own_decision(decision)
                continue
            peer.link.send(_as_message(decision))
            if isinstance(decision, Refused):
                self._forget_ticket(decision.ticket)

    def _standings_of(
        self, service: ServiceName, now_s: float
    ) -> dict[EndpointId, Standing]:
        listed = list(self._view.endpoints.serving(service))
        resting = self._outliers.resting(listed, now_s)
        on_trial = self._outliers.on_trial(listed, now_s)
        return dict.fromkeys(resting, Standing.RESTS) | dict.fromkeys(
            on_trial, Standing.ON_TRIAL
        )

    def _set_endpoints(self, service: ServiceName, table: Dispatcher) -> list[Decision]:
        """Tell a table which endpoints take new work, and how much."""
        now_s = self._clock.now_s()
        standings = self._standings_of(service, now_s)
        default = self._default_slots(service)
        counts = {
            entry.id: TRIAL_SLOTS
            if standings.get(entry.id) is Standing.ON_TRIAL
            else entry.slots or default
            for entry in self._view.endpoints.serving(service)
        }
        return table.set_endpoints(counts, now_s, standings)

    def _default_slots(self, service: ServiceName) -> int:
        configuration = self._view.configuration
        known = configuration.services.get(service) if configuration else None
        return known.slots if known and known.slots else DEFAULT_SLOTS


def _as_message(decision: Decision) -> Message:
    if isinstance(decision, Granted):
        return SlotGranted(decision.ticket, decision.endpoint)
    if isinstance(decision, Refused):
        return SlotRefused(decision.ticket, int(decision.wait_s * SECONDS_TO_MS))
    return SlotRevoked(decision.ticket)
