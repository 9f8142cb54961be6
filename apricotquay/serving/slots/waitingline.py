"""The tickets that wait for slots, in the order of service. Pure.

Waiting work is served in the order of `Rank`: requests that can still be in time go
before late ones, because serving late ones first would make all of them late. This
absorbs bursts of online traffic and of batch jobs, and the loss of endpoints.
"""

import heapq
from collections.abc import Callable, Iterable, ValuesView

from .tickets import UNRESTRICTED, Rank, Restriction, Ticket, TicketId, Work

_QueueEntry = tuple[float, int, Ticket]


class WaitingLine:
    """The waiting tickets of one slot table. Used by `Dispatcher`.

    `rank` returns the rank of a ticket at a time in seconds.
    """

    def __init__(self, rank: Callable[[Ticket, float], Rank]) -> None:
        self._rank: Callable[[Ticket, float], Rank] = rank
        # A queue for each restriction, so that tickets for endpoints without free
        # slots hold no others up. Queues keep entries of tickets that have left.
        self._queues: dict[Rank, dict[Restriction, list[_QueueEntry]]] = {
            rank: {} for rank in Rank
        }
        self._tickets: dict[TicketId, Ticket] = {}
        # The online tickets of `_tickets`, kept apart because every event scans them.
        self._online: dict[TicketId, Ticket] = {}
        self._sequence: int = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def __contains__(self, ticket_id: TicketId) -> bool:
        return ticket_id in self._tickets

    def all(self) -> ValuesView[Ticket]:
        """Return all waiting tickets."""
        return self._tickets.values()

    def online(self) -> ValuesView[Ticket]:
        """Return the waiting tickets of online requests."""
        return self._online.values()

    def add(self, ticket: Ticket, now_s: float) -> None:
        """Add a ticket."""
        self._tickets[ticket.id] = ticket
        if ticket.work is Work.ONLINE:
            self._online[ticket.id] = ticket
        self._sequence += 1
        entry = (ticket.due_s, self._sequence, ticket)
        heapq.heappush(self._queue(self._rank(ticket, now_s), ticket), entry)

    def remove(self, ticket_id: TicketId) -> None:
        """Remove a ticket if it waits."""
        self._tickets.pop(ticket_id, None)
        self._online.pop(ticket_id, None)

    def wanted_versions(self) -> set[str]:
        """Return the software versions that waiting tickets need."""
        wanted = {r.version for queues in self._queues.values() for r in queues}
        return wanted - {""}

    def next(
        self, rank: Rank, blocked: set[Restriction], now_s: float
    ) -> Ticket | None:
        """Return the ticket of a rank that comes next, of those whose restrictions are
        not blocked; move tickets that have changed their rank.
        """
        while (queue := self._next_queue(rank, blocked)) is not None:
            entry = queue[0]
            ticket = entry[2]
            if self._tickets.get(ticket.id) is not ticket:
                heapq.heappop(queue)
                continue
            current_rank = self._rank(ticket, now_s)
            if current_rank is rank:
                return ticket
            heapq.heappop(queue)
            heapq.heappush(self._queue(current_rank, ticket), entry)
        return None

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
        open_queues: Iterable[list[_QueueEntry]] = (
            q for r, q in queues.items() if r not in blocked
        )
        return min(open_queues, key=lambda queue: queue[0][:2], default=None)

    def _queue(self, rank: Rank, ticket: Ticket) -> list[_QueueEntry]:
        return self._queues[rank].setdefault(ticket.restriction, [])
