"""A slot table split by endpoints among several owners, in the queueing model.

Daemons choose among two random owners by what each told them last of its room. With
`moves`, waiting online requests go to owners with free slots at each tick.
"""

import random

from apricotquay.ids import EndpointId
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.tickets import (
    Decision,
    Granted,
    Refused,
    Ticket,
    TicketId,
    Work,
)

DAEMON_COUNT = 195


class _Owner:
    """One owner's table and the endpoints that it has."""

    def __init__(self, seed: int) -> None:
        self.table = Dispatcher(seed)
        self.endpoints: list[EndpointId] = []

    def free_slots(self) -> int:
        """Return how many slots nobody holds."""
        table = self.table
        return sum(table.slot_count(e) - table.running_at(e) for e in self.endpoints)

    def room(self) -> int:
        """Return what the owner tells daemons: free slots less waiting tickets."""
        return self.free_slots() - self.table.waiting_count


class SplitTables:
    """The tables of several owners; implements `SlotTable`."""

    def __init__(self, owners: int, seed: int, *, moves: bool = False) -> None:
        self._owners = [_Owner(seed + n) for n in range(owners)]
        self._moves: bool = moves
        self._rng = random.Random(seed)
        self._owner_of: dict[TicketId, _Owner] = {}
        self._waiting: dict[TicketId, Ticket] = {}
        # What each daemon was told last of each owner's room.
        self._told: list[list[float]] = [
            [float("inf")] * owners for _ in range(DAEMON_COUNT)
        ]

    def set_endpoints(
        self, counts: dict[EndpointId, int], now_s: float
    ) -> list[Decision]:
        """Deal the endpoints out to the owners."""
        decisions = []
        for number, owner in enumerate(self._owners):
            owner.endpoints = sorted(counts)[number :: len(self._owners)]
            own = {endpoint: counts[endpoint] for endpoint in owner.endpoints}
            decisions += owner.table.set_endpoints(own, now_s)
        return self._record(decisions)

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Request a slot from the better of two random owners."""
        told = self._rng.choice(self._told)
        numbers = self._rng.sample(range(len(self._owners)), min(2, len(self._owners)))
        number = max(numbers, key=lambda n: told[n])
        decisions = self._request(self._owners[number], ticket, now_s)
        told[number] = self._owners[number].room()
        return decisions

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Release a ticket at its owner."""
        self._waiting.pop(ticket_id, None)
        return self._record(self._owner_of[ticket_id].table.release(ticket_id, now_s))

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse tickets that have waited too long, and move waiting ones."""
        decisions = []
        for owner in self._owners:
            decisions += owner.table.tick(now_s)
        decisions = self._record(decisions)
        if self._moves:
            decisions += self._move_waiting(now_s)
        return decisions

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Return whether a ticket waits at its owner."""
        return self._owner_of[ticket_id].table.is_waiting(ticket_id)

    def _request(self, owner: _Owner, ticket: Ticket, now_s: float) -> list[Decision]:
        self._owner_of[ticket.id] = owner
        if ticket.work is Work.ONLINE:
            self._waiting[ticket.id] = ticket
        return self._record(owner.table.request_slot(ticket, now_s))

    def _move_waiting(self, now_s: float) -> list[Decision]:
        decisions = []
        for ticket in sorted(self._waiting.values(), key=lambda t: t.due_s):
            if not self.is_waiting(ticket.id):
                continue
            target = max(self._owners, key=_Owner.free_slots)
            if target is self._owner_of[ticket.id] or not target.free_slots():
                break
            decisions += self.release(ticket.id, now_s)
            decisions += self._request(target, ticket, now_s)
        return decisions

    def _record(self, decisions: list[Decision]) -> list[Decision]:
        """Forget the tickets that wait no longer."""
        for decision in decisions:
            if isinstance(decision, Granted | Refused):
                self._waiting.pop(decision.ticket, None)
        return decisions
