"""Choice of the items of open jobs to run next, fair between teams. Pure: no I/O.

A job's items are iterated lazily, so that 66,000 items need a cursor, not a queue.
"""

import collections

import msgspec

from .ids import JobId, TeamId
from .jobs import Job, PartitionState

ESTIMATED_ITEM_TOKENS = 64.0
# Runners must renew an item within this time, or it is assigned to another runner.
ITEM_LEASE_S = 4.0


class ItemAssignment(msgspec.Struct):
    """The assignment of an item to a runner, with its expiry and attempt."""

    runner: str
    until_s: float
    attempt: str = ""


class PartialResult(msgspec.Struct, frozen=True):
    """The part of an item's result that a runner had when it released the item."""

    text: str
    tokens: int


class ChosenItem(msgspec.Struct, frozen=True):
    """An item chosen to run."""

    job: Job
    index: int


class Backlog:
    """The waiting and running items of one partition. Used by its holder only.

    Nothing of it is persistent: a new holder starts with every item waiting.
    """

    def __init__(self) -> None:
        self.assigned: dict[tuple[JobId, int], ItemAssignment] = {}
        self.failures: collections.Counter = collections.Counter()
        self.reported: set[tuple[JobId, int]] = set()
        self._released: dict[JobId, collections.deque[int]] = {}
        self._partial_results: dict[tuple[JobId, int], PartialResult] = {}
        self._cursors: dict[JobId, int] = {}
        self._served_tokens: dict[TeamId, float] = {}
        self._min_served: float = 0.0

    def choose(
        self,
        state: PartitionState,
        routes: set[str],
        count: int,
        weights: dict[TeamId, float],
    ) -> list[ChosenItem]:
        """Choose items of jobs with the given routes, the least served team first."""
        chosen: list[ChosenItem] = []
        jobs_by_team = self._jobs_by_team(state, routes)
        while len(chosen) < count and jobs_by_team:
            team = min(jobs_by_team, key=lambda t: (self._served_tokens_of(t), t))
            item = self._next_item(jobs_by_team[team])
            if item is None:
                del jobs_by_team[team]
                continue
            self._min_served = self._served_tokens_of(team)
            cost = ESTIMATED_ITEM_TOKENS / weights.get(team, 1.0)
            self._served_tokens[team] = self._min_served + cost
            chosen.append(item)
        return chosen

    def assign(
        self, job: JobId, index: int, runner: str, now_s: float, attempt: str = ""
    ) -> PartialResult | None:
        """Assign an item to a runner; return the partial result of earlier runs."""
        self.assigned[(job, index)] = ItemAssignment(
            runner, now_s + ITEM_LEASE_S, attempt
        )
        return self._partial_results.pop((job, index), None)

    def renew(self, job: JobId, index: int, runner: str, now_s: float) -> bool:
        """Renew an assignment; return whether the item is still assigned to it."""
        assignment = self.assigned.get((job, index))
        if assignment is None or assignment.runner != runner:
            return False
        assignment.until_s = now_s + ITEM_LEASE_S
        return True

    def release(
        self, job: JobId, index: int, partial: PartialResult | None = None
    ) -> None:
        """Return an item to the waiting ones, with its partial result if any."""
        self.assigned.pop((job, index), None)
        if partial is not None and partial.tokens:
            self._partial_results[(job, index)] = partial
        self._released.setdefault(job, collections.deque()).append(index)

    def record_outcome(self, job: JobId, index: int) -> bool:
        """Record that an outcome is to be logged; return False if one already is."""
        self.assigned.pop((job, index), None)
        if (job, index) in self.reported:
            return False
        self.reported.add((job, index))
        return True

    def expired(self, now_s: float) -> list[tuple[JobId, int, str]]:
        """Return the items that their runners did not renew in time."""
        return [
            (job, index, assignment.attempt)
            for (job, index), assignment in self.assigned.items()
            if now_s >= assignment.until_s
        ]

    def forget_job(self, job: Job) -> None:
        """Remove all entries of a job that has ended."""
        self._released.pop(job.id, None)
        self._cursors.pop(job.id, None)
        for table in (self.assigned, self._partial_results, self.failures):
            for name in [n for n in table if n[0] == job.id]:
                del table[name]
        self.reported = {n for n in self.reported if n[0] != job.id}

    def _jobs_by_team(
        self, state: PartitionState, routes: set[str]
    ) -> dict[TeamId, collections.deque[Job]]:
        jobs_by_team: dict[TeamId, collections.deque[Job]] = {}
        for job in state.jobs.values():
            if job.route in routes and job.finished_at_ms == 0:
                jobs_by_team.setdefault(job.team, collections.deque()).append(job)
        return jobs_by_team

    def _served_tokens_of(self, team: TeamId) -> float:
        # A team that was idle starts at the level of the least served other team.
        return max(self._served_tokens.get(team, 0.0), self._min_served)

    def _next_item(self, jobs: collections.deque[Job]) -> ChosenItem | None:
        while jobs:
            job = jobs[0]
            index = self._next_index(job)
            if index is not None:
                return ChosenItem(job, index)
            jobs.popleft()
        return None

    def _next_index(self, job: Job) -> int | None:
        released = self._released.get(job.id)
        while released:
            index = released.popleft()
            if job.state_of(index) == "pending":
                return index
        start = self._cursors.get(job.id, 0)
        for index in job.pending_indexes(start):
            self._cursors[job.id] = index + 1
            if (job.id, index) not in self.assigned:
                return index
        self._cursors[job.id] = job.item_count
        return None
