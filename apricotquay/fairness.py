"""Weighted fair queueing over teams by estimated tokens. Pure: no I/O.

Source: start-time fair queueing, Goyal, Vin and Cheng, 1996.
"""

import collections
import heapq
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from .ids import TeamId

T = TypeVar("T")


class QueueFull(msgspec.Struct, frozen=True):
    """A refusal: the team already has `length` requests waiting."""

    length: int


class _TeamQueue(Generic[T]):
    """The waiting work of one team, in order of arrival."""

    def __init__(self) -> None:
        self.work: collections.deque[tuple[float, T]] = collections.deque()
        self.finish_tag: float = 0.0


class FairQueue(Generic[T]):
    """Orders work so that saturated teams get tokens in proportion to weight.

    Used for online requests that wait for an endpoint with room. A team that was
    idle starts at the current virtual time, so it has neither credit nor debt.
    """

    def __init__(self, limit_per_team: int) -> None:
        self._limit_per_team: int = limit_per_team
        self._team_queues: dict[TeamId, _TeamQueue[T]] = {}
        self._heads: list[tuple[float, int, TeamId]] = []
        self._virtual_time: float = 0.0
        self._count: int = 0
        self._sequence: int = 0

    def __len__(self) -> int:
        return self._count

    def push(
        self, team: TeamId, weight: float, cost: float, work: T
    ) -> Result[int, QueueFull]:
        """Queue work with its estimated cost in tokens; return the team's length."""
        team_queue = self._team_queues.setdefault(team, _TeamQueue())
        if len(team_queue.work) >= self._limit_per_team:
            return Failure(QueueFull(len(team_queue.work)))
        start_tag = max(self._virtual_time, team_queue.finish_tag)
        team_queue.finish_tag = start_tag + cost / weight
        self._sequence += 1
        heapq.heappush(self._heads, (start_tag, self._sequence, team))
        team_queue.work.append((cost, work))
        self._count += 1
        return Success(len(team_queue.work))

    def pop(self) -> T | None:
        """Remove and return the next work, or None if the queue is empty."""
        if not self._heads:
            return None
        start_tag, _, team = heapq.heappop(self._heads)
        self._virtual_time = max(self._virtual_time, start_tag)
        team_queue = self._team_queues[team]
        cost, work = team_queue.work.popleft()
        self._count -= 1
        if not team_queue.work and team_queue.finish_tag <= self._virtual_time:
            del self._team_queues[team]
        return work

    def push_front(self, team: TeamId, cost: float, work: T) -> None:
        """Put work that was just popped, but cannot be done yet, back to the front."""
        team_queue = self._team_queues.setdefault(team, _TeamQueue())
        team_queue.work.appendleft((cost, work))
        heapq.heappush(self._heads, (self._virtual_time, 0, team))
        self._count += 1

    def team_count(self) -> int:
        """Return how many teams have waiting work."""
        return sum(1 for team_queue in self._team_queues.values() if team_queue.work)

    def team_length(self, team: TeamId) -> int:
        """Return the length of a team's queue."""
        team_queue = self._team_queues.get(team)
        return len(team_queue.work) if team_queue else 0

    def drain(self) -> Iterator[T]:
        """Remove and yield all work in order."""
        while self._heads:
            yield self.pop()
