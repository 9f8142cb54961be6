"""Memory that is kept for large requests while smaller ones pass them. Pure."""

from collections.abc import Iterable

from .endpointslots import EndpointSlots
from .memory import Reservation
from .tickets import Ticket, TicketId, Work

# A request whose turn it is but that finds no memory is passed by smaller ones for so
# long; of the 0.3 s to its first event the larger part remains for the reservation.
RESERVE_AFTER_S = 0.1
# The share of the endpoints that have reservations at most, so that smaller requests
# keep the others while large ones alone would need all.
MAX_RESERVED_SHARE = 0.5


class MemoryReservations:
    """Keeps memory for large tickets that smaller ones would pass for ever.

    An endpoint's memory is reserved for one ticket at a time. Smaller ones still use
    what it has left beside that. Used by `Dispatcher`.
    """

    def __init__(self) -> None:
        self._slots_of_ticket: dict[TicketId, EndpointSlots] = {}
        self._blocked_since_s: dict[TicketId, float] = {}

    def record_blocked(
        self, ticket: Ticket, slots_of_all: Iterable[EndpointSlots], now_s: float
    ) -> None:
        """Record that a ticket whose turn it is finds no memory; reserve some for it
        once it has been passed for long enough.
        """
        since_s = self._blocked_since_s.setdefault(ticket.id, now_s)
        is_due = now_s - since_s >= RESERVE_AFTER_S
        if not is_due or ticket.id in self._slots_of_ticket:
            return
        open_to = [
            s for s in self._reservable(list(slots_of_all)) if _may_reserve(s, ticket)
        ]
        if open_to:
            slots = min(open_to, key=lambda slots: slots.memory.tokens)
            self._end_at(slots)
            self._slots_of_ticket[ticket.id] = slots
            slots.reservation = Reservation(ticket.id, ticket.work, ticket.tokens)

    def _reservable(self, slots_of_all: list[EndpointSlots]) -> list[EndpointSlots]:
        """Return the endpoints among which a further ticket finds its reservation."""
        count = len(self._slots_of_ticket)
        if count < max(1, MAX_RESERVED_SHARE * len(slots_of_all)):
            return slots_of_all
        return [slots for slots in slots_of_all if slots.reservation is not None]

    def end(self, ticket_id: TicketId) -> None:
        """End a ticket's reservation, since it was served or has left."""
        self._blocked_since_s.pop(ticket_id, None)
        slots = self._slots_of_ticket.get(ticket_id)
        if slots is not None:
            self._end_at(slots)

    def check_endpoints(self) -> None:
        """End the reservations at endpoints that take no more work."""
        for slots in list(self._slots_of_ticket.values()):
            if not slots.is_open:
                self._end_at(slots)

    def _end_at(self, slots: EndpointSlots) -> None:
        if slots.reservation is not None:
            del self._slots_of_ticket[slots.reservation.ticket]
            slots.reservation = None


def _may_reserve(slots: EndpointSlots, ticket: Ticket) -> bool:
    """Whether an endpoint's memory can be reserved for a ticket: a batch item, which
    can wait, gives its reservation up to an online request.
    """
    kept = slots.reservation
    is_open = kept is None or (kept.work is Work.BATCH and ticket.work is Work.ONLINE)
    return is_open and slots.could_hold(ticket)
