"""The tickets that wait for slots, in the order of service. Pure.

Waiting work is served in the order of `Rank`: requests that can still be in time go
before late ones, because serving late ones first would make all of them late. Within
a rank the higher priority class goes first, then the team that is furthest below its
fair share, then the earliest deadline. Tickets without a team compete by deadline with
the team whose turn it is. This absorbs bursts of online traffic, of
batch jobs and of single teams, and the loss of endpoints.
"""

import heapq
from collections.abc import Callable, Iterator, Set, ValuesView
from functools import partial
from operator import itemgetter
from typing import NamedTuple

from ...ids import TeamId
from .fairshares import FairShares
from .tickets import UNRESTRICTED, Rank, Restriction, Ticket, TicketId, Work

_QueueEntry = tuple[float, int, Ticket]
# A queue for each restriction, so that tickets for endpoints without free slots hold
# no others up. Queues keep entries of tickets that have left.
_TeamQueues = dict[Restriction, list[_QueueEntry]]
# Entries of tickets that have left are removed when they are more than the waiting
# tickets and so many: otherwise a class that is never served keeps them.
SPARE_ENTRIES = 64


class _Head(NamedTuple):
    """The place in the order of service of a queue's first entry."""

    key: float
    due_s: float
    sequence: int
    team: TeamId
    restriction: Restriction


class WantedVersion(NamedTuple):
    """A software version that a ticket needs, in one of `regions`, empty for all."""

    version: str
    regions: frozenset[str]

    def is_met_by(self, version: str, region: str) -> bool:
        """Whether an endpoint of a version in a region has what the ticket needs."""
        return version == self.version and (not self.regions or region in self.regions)


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
        self._entry_count: int = 0

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
        self._entry_count += 1
        if self._entry_count > self._max_entries():
            self._rebuild_queues(now_s)

    def remove(self, ticket_id: TicketId) -> None:
        """Remove a ticket if it waits."""
        ticket = self._tickets.pop(ticket_id, None)
        self._online.pop(ticket_id, None)
        if ticket is not None:
            self._shares.remove_waiting(ticket)

    def wanted_versions(self) -> set[WantedVersion]:
        """Return the software versions that waiting tickets need, and where."""
        return {
            WantedVersion(ticket.version, ticket.regions)
            for ticket in self._tickets.values()
            if ticket.version
        }

    def in_order(
        self, rank: Rank, blocked: Set[Restriction], now_s: float
    ) -> Iterator[Ticket]:
        """Yield the tickets of a rank in the order of service; move tickets that have
        changed their rank.

        Before the next one, the caller removes a ticket from the line or adds its
        restriction to `blocked`. The teams are sorted once, and a team again when its
        turn comes: until the end, one that others overtake keeps its place.
        """
        for priority in sorted(self._queues[rank]):
            yield from self._in_order_of_class(rank, priority, blocked, now_s)
            if not self._queues[rank][priority]:
                del self._queues[rank][priority]

    def expected_order(self, now_s: float) -> list[Ticket]:
        """Return the waiting online tickets in the expected order of service."""
        by_place: dict[tuple[Rank, int, TeamId], list[Ticket]] = {}
        for ticket in self._online.values():
            place = (
                self._rank(ticket, now_s),
                ticket.priority_class,
                ticket.share_team,
            )
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

    def _in_order_of_class(
        self, rank: Rank, priority: int, blocked: Set[Restriction], now_s: float
    ) -> Iterator[Ticket]:
        """Yield the tickets of a priority class in the order of service."""
        teams = self._queues[rank][priority]
        order_key = self._shares.order_keys(_work_of(rank), priority)
        current_entry = partial(self._current_entry, rank, teams, order_key, now_s)
        heaps = _heads(teams, order_key)
        # If a ticket for any endpoint is blocked, no endpoint takes one.
        while UNRESTRICTED not in blocked:
            current = (current_entry(heap, blocked) for heap in heaps)
            entries = [entry for entry in current if entry is not None]
            if not entries:
                return
            yield min(entries)[-1]

    def _current_entry(
        self,
        rank: Rank,
        teams: dict[TeamId, _TeamQueues],
        order_key: Callable[[TeamId], float],
        now_s: float,
        heads: list[_Head],
        blocked: Set[Restriction],
    ) -> _QueueEntry | None:
        """Return the entry that comes next by a heap of heads, which is updated."""
        while heads:
            head = heads[0]
            entry = self._first_entry(rank, teams, head, now_s)
            if entry is None or head.restriction in blocked:
                heapq.heappop(heads)
                continue
            key = max(head.key, order_key(head.team)) if head.team else head.key
            if (key, entry[1]) == (head.key, head.sequence):
                return entry
            moved = _Head(key, *entry[:2], head.team, head.restriction)
            heapq.heapreplace(heads, moved)
        return None

    def _first_entry(
        self, rank: Rank, teams: dict[TeamId, _TeamQueues], head: _Head, now_s: float
    ) -> _QueueEntry | None:
        """Return the first entry of a queue; move those that have changed their rank,
        and remove the queue if none is left.
        """
        queue = teams[head.team][head.restriction]
        self._discard_gone(queue)
        while queue:
            current_rank = self._rank(queue[0][2], now_s)
            if current_rank is rank:
                return queue[0]
            entry = heapq.heappop(queue)
            heapq.heappush(self._queue(current_rank, entry[2]), entry)
            self._discard_gone(queue)
        del teams[head.team][head.restriction]
        if not teams[head.team]:
            del teams[head.team]
        return None

    def _discard_gone(self, queue: list[_QueueEntry]) -> None:
        """Remove entries of tickets that have left from the front of a queue."""
        while queue and not self._is_live(queue[0]):
            heapq.heappop(queue)
            self._entry_count -= 1

    def _max_entries(self) -> int:
        """Return the bound of the entries, with those of tickets that have left."""
        return 2 * len(self._tickets) + SPARE_ENTRIES

    def _rebuild_queues(self, now_s: float) -> None:
        """Remove the entries of all tickets that have left."""
        queues_of_all = [
            queue
            for classes in self._queues.values()
            for teams in classes.values()
            for queues in teams.values()
            for queue in queues.values()
        ]
        live = [
            entry for queue in queues_of_all for entry in queue if self._is_live(entry)
        ]
        self._queues = {rank: {} for rank in Rank}
        self._entry_count = len(live)
        for entry in live:
            heapq.heappush(self._queue(self._rank(entry[2], now_s), entry[2]), entry)

    def _is_live(self, entry: _QueueEntry) -> bool:
        return self._tickets.get(entry[2].id) is entry[2]

    def _queue(self, rank: Rank, ticket: Ticket) -> list[_QueueEntry]:
        teams = self._queues[rank].setdefault(ticket.priority_class, {})
        queues = teams.setdefault(ticket.share_team, {})
        return queues.setdefault(ticket.restriction, [])


def _heads(
    teams: dict[TeamId, _TeamQueues], order_key: Callable[[TeamId], float]
) -> tuple[list[_Head], list[_Head]]:
    """Return heaps of the queues' first entries, those of teams and those without."""
    of_teams: list[_Head] = []
    of_none: list[_Head] = []
    for team, queues in teams.items():
        key = order_key(team) if team else 0.0
        heads = of_teams if team else of_none
        for restriction, queue in queues.items():
            due_s, sequence, _ = queue[0]
            heads.append(_Head(key, due_s, sequence, team, restriction))
    heapq.heapify(of_teams)
    heapq.heapify(of_none)
    return of_teams, of_none


def _work_of(rank: Rank) -> Work:
    """Return the work that has a rank."""
    is_online = rank in (Rank.ONLINE_IN_TIME, Rank.ONLINE_LATE)
    return Work.ONLINE if is_online else Work.BATCH
