"""Which item of the open jobs runs next: fair between teams. Pure.

Jobs are walked lazily, so that 66,000 items cost a cursor and not a queue.
"""

import collections

import msgspec

from .ids import JobId, TeamId
from .jobs import Job, PartitionState

EXPECTED_ITEM_TOKENS = 64.0
# Runners must renew an item within this time or it goes to another runner.
ITEM_LEASE_S = 4.0


class Handed(msgspec.Struct):
    """An item that a runner has: until when, and under which attempt."""

    runner: str
    until_s: float
    attempt: str = ""


class PartialResult(msgspec.Struct, frozen=True):
    """What a runner got of an item before it gave it back."""

    text: str
    tokens: int


class ChosenItem(msgspec.Struct, frozen=True):
    """An item chosen to run."""

    job: Job
    index: int


class Backlog:
    """The items of one partition that wait or run. Used by its holder only.

    Nothing of it is lasting: a new holder starts with every item waiting.
    """

    def __init__(self) -> None:
        self.assigned: dict[tuple[JobId, int], Handed] = {}
        self.failures: collections.Counter = collections.Counter()
        self.reported: set[tuple[JobId, int]] = set()
        self._returned: dict[JobId, collections.deque[int]] = {}
        self._partials: dict[tuple[JobId, int], PartialResult] = {}
        self._cursors: dict[JobId, int] = {}
        self._served: dict[TeamId, float] = {}
        self._floor: float = 0.0

    def choose(
        self,
        fold: PartitionState,
        routes: set[str],
        count: int,
        weights: dict[TeamId, float],
    ) -> list[ChosenItem]:
        """Choose items whose job's route is wanted, the least served team first."""
        chosen: list[ChosenItem] = []
        by_team = self._jobs_by_team(fold, routes)
        while len(chosen) < count and by_team:
            team = min(by_team, key=lambda t: (self._served_of(t), t))
            item = self._next_of(by_team[team])
            if item is None:
                del by_team[team]
                continue
            self._floor = self._served_of(team)
            cost = EXPECTED_ITEM_TOKENS / weights.get(team, 1.0)
            self._served[team] = self._floor + cost
            chosen.append(item)
        return chosen

    def assign(
        self, job: JobId, index: int, runner: str, now_s: float, attempt: str = ""
    ) -> PartialResult | None:
        """Note that a runner has an item; return what was got of it before."""
        self.assigned[(job, index)] = Handed(runner, now_s + ITEM_LEASE_S, attempt)
        return self._partials.pop((job, index), None)

    def renew(self, job: JobId, index: int, runner: str, now_s: float) -> bool:
        """Renew a runner's item; return whether it still has it."""
        assigned = self.assigned.get((job, index))
        if assigned is None or assigned.runner != runner:
            return False
        assigned.until_s = now_s + ITEM_LEASE_S
        return True

    def release(
        self, job: JobId, index: int, partial: PartialResult | None = None
    ) -> None:
        """Let an item wait again."""
        self.assigned.pop((job, index), None)
        if partial is not None and partial.tokens:
            self._partials[(job, index)] = partial
        self._returned.setdefault(job, collections.deque()).append(index)

    def record_outcome(self, job: JobId, index: int) -> bool:
        """Note that an outcome waits for the log; False where one does already."""
        self.assigned.pop((job, index), None)
        if (job, index) in self.reported:
            return False
        self.reported.add((job, index))
        return True

    def expired(self, now_s: float) -> list[tuple[JobId, int, str]]:
        """Return the items whose runner was not heard of in time."""
        return [
            (job, index, assigned.attempt)
            for (job, index), assigned in self.assigned.items()
            if now_s >= assigned.until_s
        ]

    def forget_job(self, job: Job) -> None:
        """Forget a job that has ended."""
        self._returned.pop(job.id, None)
        self._cursors.pop(job.id, None)
        for table in (self.assigned, self._partials, self.failures):
            for name in [n for n in table if n[0] == job.id]:
                del table[name]
        self.reported = {n for n in self.reported if n[0] != job.id}

    def _jobs_by_team(
        self, fold: PartitionState, routes: set[str]
    ) -> dict[TeamId, collections.deque[Job]]:
        by_team: dict[TeamId, collections.deque[Job]] = {}
        for job in fold.jobs.values():
            if job.route in routes and job.finished_at_ms == 0:
                by_team.setdefault(job.team, collections.deque()).append(job)
        return by_team

    def _served_of(self, team: TeamId) -> float:
        # A team that was idle starts level with the least served of the others.
        return max(self._served.get(team, 0.0), self._floor)

    def _next_of(self, jobs: collections.deque[Job]) -> ChosenItem | None:
        while jobs:
            job = jobs[0]
            index = self._next_index(job)
            if index is not None:
                return ChosenItem(job, index)
            jobs.popleft()
        return None

    def _next_index(self, job: Job) -> int | None:
        returned = self._returned.get(job.id)
        while returned:
            index = returned.popleft()
            if job.state_of(index) == "pending":
                return index
        start = self._cursors.get(job.id, 0)
        for index in job.pending_indexes(start):
            self._cursors[job.id] = index + 1
            if (job.id, index) not in self.assigned:
                return index
        self._cursors[job.id] = job.item_count
        return None
