"""Token buckets of a shard of teams, kept by the shard's holder. Pure."""

import msgspec
from returns.result import Failure, Result, Success

from .ids import TeamId

# Absorbs rounding when a bucket has refilled to exactly one token.
LEVEL_TOLERANCE = 1e-9


class Overdrawn(msgspec.Struct, frozen=True):
    """A refusal: the bucket holds a token again after `wait_s`.

    `recovering` tells that the holder is new and may refuse what is inside the
    rate, since it had to assume that the lost one had granted everything.
    """

    wait_s: float
    recovering: bool = False


class Bucket:
    """One team's bucket: `level` tokens at the time `at_s`."""

    __slots__ = ("at_s", "level")

    def __init__(self, level: float, at_s: float) -> None:
        self.level: float = level
        self.at_s: float = at_s

    def refill(self, rate_per_s: float, burst: int, now_s: float) -> None:
        """Add what accrued since the last refill, up to the burst."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.level = min(float(burst), self.level + elapsed_s * rate_per_s)
        self.at_s = max(self.at_s, now_s)


class ShardBuckets:
    """All buckets of one shard. Used by the rate limiter for each lease it holds.

    A team's first bucket depends on how the lease was gained: full when there
    was no earlier holder; the handed-over level; or what has accrued since the
    earlier holder surely stopped, since it may have granted everything.
    """

    def __init__(
        self, started_s: float, full: bool, levels: dict[TeamId, float] | None = None
    ) -> None:
        self._started_s: float = started_s
        self._full: bool = full
        self._levels: dict[TeamId, float] = levels or {}
        self._buckets: dict[TeamId, Bucket] = {}

    def take(
        self, team: TeamId, rate_per_s: float, burst: int, now_s: float
    ) -> Result[float, Overdrawn]:
        """Take one token; return the level left or when to come back."""
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = Bucket(self._first_level(team, burst), self._started_s)
            self._buckets[team] = bucket
        bucket.refill(rate_per_s, burst, now_s)
        if bucket.level + LEVEL_TOLERANCE < 1.0:
            wait_s = (1.0 - bucket.level) / rate_per_s
            return Failure(Overdrawn(wait_s, self._recovers(rate_per_s, burst, now_s)))
        bucket.level -= 1.0
        return Success(bucket.level)

    def levels(self) -> dict[TeamId, float]:
        """Return the levels to hand over; a receiver counts from its own now."""
        known = dict(self._levels)
        known.update({team: bucket.level for team, bucket in self._buckets.items()})
        return known

    def is_full_start(self) -> bool:
        """Whether a team without a bucket starts with its whole burst."""
        return self._full

    def _recovers(self, rate_per_s: float, burst: int, now_s: float) -> bool:
        """Whether the whole burst could not have accrued since the start."""
        known = self._full or bool(self._levels)
        return not known and now_s - self._started_s < burst / rate_per_s

    def _first_level(self, team: TeamId, burst: int) -> float:
        handed_over = self._levels.get(team)
        if handed_over is not None:
            return min(handed_over, float(burst))
        return float(burst) if self._full else 0.0
