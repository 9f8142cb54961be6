"""Weighted fair queueing over teams by estimated tokens. Pure.

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
    """A refusal: the team has `length` requests waiting already."""

    length: int


class _Lane(Generic[T]):
    """The waiting work of one team."""

    def __init__(self) -> None:
        self.work: collections.deque[tuple[float, T]] = collections.deque()
        self.finish_tag: float = 0.0


class FairQueue(Generic[T]):
    """Orders work so that saturated teams get tokens in proportion to weight.

    Used for online requests that wait for room and for the items of a
    partition. A team that was idle starts at the present virtual time, so it
    neither saves up nor owes anything.
    """

    def __init__(self, limit_per_team: int) -> None:
        self._limit: int = limit_per_team
        self._lanes: dict[TeamId, _Lane[T]] = {}
        self._heads: list[tuple[float, int, TeamId]] = []
        self._virtual: float = 0.0
        self._count: int = 0
        self._order: int = 0

    def __len__(self) -> int:
        return self._count

    def push(
        self, team: TeamId, weight: float, cost: float, work: T
    ) -> Result[int, QueueFull]:
        """Queue work of an estimated cost in tokens; return the team's length."""
        lane = self._lanes.setdefault(team, _Lane())
        if len(lane.work) >= self._limit:
            return Failure(QueueFull(len(lane.work)))
        start_tag = max(self._virtual, lane.finish_tag)
        lane.finish_tag = start_tag + cost / weight
        self._order += 1
        heapq.heappush(self._heads, (start_tag, self._order, team))
        lane.work.append((cost, work))
        self._count += 1
        return Success(len(lane.work))

    def pop(self) -> T | None:
        """Take the work that is due next."""
        if not self._heads:
            return None
        start_tag, _, team = heapq.heappop(self._heads)
        self._virtual = max(self._virtual, start_tag)
        lane = self._lanes[team]
        cost, work = lane.work.popleft()
        self._count -= 1
        if not lane.work and lane.finish_tag <= self._virtual:
            del self._lanes[team]
        return work

    def push_back(self, team: TeamId, cost: float, work: T) -> None:
        """Return work that was just popped but cannot be done yet to the front."""
        lane = self._lanes.setdefault(team, _Lane())
        lane.work.appendleft((cost, work))
        heapq.heappush(self._heads, (self._virtual, 0, team))
        self._count += 1

    def team_count(self) -> int:
        """Return how many teams have work waiting."""
        return sum(1 for lane in self._lanes.values() if lane.work)

    def length_of(self, team: TeamId) -> int:
        """Return how much work of a team waits."""
        lane = self._lanes.get(team)
        return len(lane.work) if lane else 0

    def drain(self) -> Iterator[T]:
        """Yield and remove all work in order."""
        while self._heads:
            yield self.pop()
