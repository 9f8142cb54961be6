"""Memory that is kept for large requests while smaller ones pass them. Pure."""

from collections.abc import Iterable

from .endpointslots import EndpointSlots
from .memory import Reservation
from .tickets import Ticket, TicketId, Work

# A request whose turn it is but that finds no memory is passed by smaller ones for so
# long; of the 0.3 s to its first event the larger part remains for the reservation.
RESERVE_AFTER_S = 0.1


class MemoryReservations:
    """Keeps memory for a large ticket that smaller ones would pass for ever.

    One ticket has a reservation at a time. Smaller ones still use what its endpoint
    has left beside it. Used by `Dispatcher`.
    """

    def __init__(self) -> None:
        self._ticket: Ticket | None = None
        self._slots: EndpointSlots | None = None
        self._blocked_since_s: dict[TicketId, float] = {}

    def record_blocked(
        self, ticket: Ticket, slots_of_all: Iterable[EndpointSlots], now_s: float
    ) -> None:
        """Record that a ticket whose turn it is finds no memory; reserve some for it
        once it has been passed for long enough.
        """
        since_s = self._blocked_since_s.setdefault(ticket.id, now_s)
        if now_s - since_s < RESERVE_AFTER_S or not self._may_reserve(ticket):
            return
        roomy = [s for s in slots_of_all if s.could_hold(ticket)]
        if roomy:
            self._end_current()
            self._ticket = ticket
            self._slots = min(roomy, key=lambda slots: slots.memory.tokens)
            self._slots.reservation = Reservation(ticket.id, ticket.tokens)

    def end(self, ticket_id: TicketId) -> None:
        """End a ticket's reservation, since it was served or has left."""
        self._blocked_since_s.pop(ticket_id, None)
        if self._ticket is not None and self._ticket.id == ticket_id:
            self._end_current()

    def check_endpoint(self) -> None:
        """End the reservation at an endpoint that takes no more work."""
        if self._slots is not None and not self._slots.is_open:
            self._end_current()

    def _may_reserve(self, ticket: Ticket) -> bool:
        """Whether no ticket has the reservation, or a batch item that can wait."""
        if self._ticket is None:
            return True
        return self._ticket.work is Work.BATCH and ticket.work is Work.ONLINE

    def _end_current(self) -> None:
        if self._slots is not None:
            self._slots.reservation = None
        self._ticket = self._slots = None
