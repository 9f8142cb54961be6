"""The tickets that wait for slots, in the order of service. Pure.

Waiting work is served in the order of `Rank`: requests that can still be in time go
before late ones, because serving late ones first would make all of them late. Within
a rank the higher priority class goes first, then the team that is furthest below its
fair share, then the earliest deadline. This absorbs bursts of online traffic, of
batch jobs and of single teams, and the loss of endpoints.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator, ValuesView
from operator import itemgetter

from ...ids import TeamId
from .fairshares import FairShares
from .tickets import UNRESTRICTED, Rank, Restriction, Ticket, TicketId, Work

_QueueEntry = tuple[float, int, Ticket]
# A queue for each restriction, so that tickets for endpoints without free slots hold
# no others up. Queues keep entries of tickets that have left.
_TeamQueues = dict[Restriction, list[_QueueEntry]]


class WaitingLine:
    """The waiting tickets of one slot table. Used by `Dispatcher`.

    `rank` returns the rank of a ticket at a time in seconds, `shares` has what each
    team has used.
    """

    def __init__(
        self, rank: Callable[[Ticket, float], Rank], shares: FairShares
    ) -> None:
        self._rank: Callable[[Ticket, float], Rank] = rank
        self._shares: FairShares = shares
        self._queues: dict[Rank, dict[int, dict[TeamId, _TeamQueues]]] = {
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
        self.remove(ticket.id)
        self._tickets[ticket.id] = ticket
        if ticket.work is Work.ONLINE:
            self._online[ticket.id] = ticket
        self._shares.add_waiting(ticket)
        self._sequence += 1
        entry = (ticket.due_s, self._sequence, ticket)
        heapq.heappush(self._queue(self._rank(ticket, now_s), ticket), entry)

    def remove(self, ticket_id: TicketId) -> None:
        """Remove a ticket if it waits."""
        ticket = self._tickets.pop(ticket_id, None)
        self._online.pop(ticket_id, None)
        if ticket is not None:
            self._shares.remove_waiting(ticket)

    def wanted_versions(self) -> set[str]:
        """Return the software versions that waiting tickets need."""
        return {ticket.version for ticket in self._tickets.values()} - {""}

    def next(
        self, rank: Rank, blocked: set[Restriction], now_s: float
    ) -> Ticket | None:
        """Return the ticket of a rank that comes next, of those whose restrictions are
        not blocked; move tickets that have changed their rank.
        """
        while (queue := self._next_queue(rank, blocked)) is not None:
            entry = queue[0]
            ticket = entry[2]
            current_rank = self._rank(ticket, now_s)
            if current_rank is rank:
                return ticket
            heapq.heappop(queue)
            heapq.heappush(self._queue(current_rank, ticket), entry)
        return None

    def expected_order(self, now_s: float) -> list[Ticket]:
        """Return the waiting online tickets in the expected order of service."""
        by_place: dict[tuple[Rank, int, TeamId], list[Ticket]] = {}
        for ticket in self._online.values():
            place = (self._rank(ticket, now_s), ticket.priority, ticket.team)
            by_place.setdefault(place, []).append(ticket)
        keyed = [
            (*place[:2], key, ticket.due_s, ticket)
            for place, tickets in by_place.items()
            for key, ticket in self._expected_keys(place, tickets)
        ]
        keyed.sort(key=itemgetter(0, 1, 2, 3))
        return [entry[-1] for entry in keyed]

    def _expected_keys(
        self, place: tuple[Rank, int, TeamId], tickets: list[Ticket]
    ) -> Iterator[tuple[float, Ticket]]:
        """Yield a team's tickets with the keys at which they are expected to go."""
        _, priority, team = place
        tickets.sort(key=lambda ticket: ticket.due_s)
        keys = self._shares.expected_keys(Work.ONLINE, priority, team)
        return zip(keys, tickets, strict=False)

    def _next_queue(
        self, rank: Rank, blocked: set[Restriction]
    ) -> list[_QueueEntry] | None:
        """Return the queue whose first ticket comes next, of those not blocked."""
        if UNRESTRICTED in blocked:
            # Not even a ticket for any endpoint has one.
            return None
        classes = self._queues[rank]
        for priority in sorted(classes):
            queue = self._next_queue_of_class(rank, priority, blocked)
            if queue is not None:
                return queue
            if not classes[priority]:
                del classes[priority]
        return None

    def _next_queue_of_class(
        self, rank: Rank, priority: int, blocked: set[Restriction]
    ) -> list[_QueueEntry] | None:
        """Return the queue that is next in a priority class, of those not blocked."""
        teams = self._queues[rank][priority]
        best: list[_QueueEntry] | None = None
        best_key = 0.0
        for key, team in self._shares.in_order(_work_of(rank), priority, teams):
            if best is not None and key > best_key:
                break
            queue = self._next_queue_of_team(teams[team], blocked)
            if not teams[team]:
                del teams[team]
            if queue is None or (best is not None and best[0][:2] < queue[0][:2]):
                continue
            best, best_key = queue, key
        return best

    def _next_queue_of_team(
        self, queues: _TeamQueues, blocked: set[Restriction]
    ) -> list[_QueueEntry] | None:
        """Return the team's queue whose first ticket is due first, of those not
        blocked; discard entries of tickets that have left.
        """
        for restriction in list(queues):
            self._discard_gone(queues[restriction])
            if not queues[restriction]:
                del queues[restriction]
        open_queues: Iterable[list[_QueueEntry]] = (
            q for r, q in queues.items() if r not in blocked
        )
        return min(open_queues, key=lambda queue: queue[0][:2], default=None)

    def _discard_gone(self, queue: list[_QueueEntry]) -> None:
        """Remove entries of tickets that have left from the front of a queue."""
        while queue and self._tickets.get(queue[0][2].id) is not queue[0][2]:
            heapq.heappop(queue)

    def _queue(self, rank: Rank, ticket: Ticket) -> list[_QueueEntry]:
        teams = self._queues[rank].setdefault(ticket.priority, {})
        queues = teams.setdefault(ticket.team, {})
        return queues.setdefault(ticket.restriction, [])


def _work_of(rank: Rank) -> Work:
    """Return the work that has a rank."""
    is_online = rank in (Rank.ONLINE_IN_TIME, Rank.ONLINE_LATE)
    return Work.ONLINE if is_online else Work.BATCH
