"""Token buckets of the threaded daemon, kept by a shard's holder. Pure: no I/O."""

import msgspec
from returns.result import Failure, Result, Success

from .ids import TeamId

# Absorbs rounding when a bucket has refilled to exactly one token.
LEVEL_TOLERANCE = 1e-9


class RateRefusal(msgspec.Struct, frozen=True):
    """A refusal; the bucket has a token again after `wait_s`.

    `recovering` means that the holder is new and may refuse requests within the
    rate, since it had to assume that the lost holder had granted all tokens.
    """

    wait_s: float
    recovering: bool = False


class Bucket:
    """One team's bucket, with `level` tokens at the time `at_s`."""

    __slots__ = ("at_s", "level")

    def __init__(self, level: float, at_s: float) -> None:
        self.level: float = level
        self.at_s: float = at_s

    def refill(self, rate_per_s: float, burst: int, now_s: float) -> None:
        """Add the tokens accrued since the last refill, up to the burst."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.level = min(float(burst), self.level + elapsed_s * rate_per_s)
        self.at_s = max(self.at_s, now_s)


class ShardBuckets:
    """All buckets of one shard. Used by the rate limiter for each lease it holds.

    A team's initial level depends on how the lease was gained: the full burst if
    there was no earlier holder; the level handed over; or else the tokens accrued
    since the earlier holder can no longer act, as it may have granted all others.
    """

    def __init__(
        self, started_s: float, full: bool, levels: dict[TeamId, float] | None = None
    ) -> None:
        self._started_s: float = started_s
        self._starts_full: bool = full
        self._levels: dict[TeamId, float] = levels or {}
        self._buckets: dict[TeamId, Bucket] = {}

    def take(
        self, team: TeamId, rate_per_s: float, burst: int, now_s: float
    ) -> Result[float, RateRefusal]:
        """Take one token; return the remaining level, or when to retry."""
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = Bucket(self._initial_level(team, burst), self._started_s)
            self._buckets[team] = bucket
        bucket.refill(rate_per_s, burst, now_s)
        if bucket.level + LEVEL_TOLERANCE < 1.0:
            wait_s = (1.0 - bucket.level) / rate_per_s
            return Failure(
                RateRefusal(wait_s, self._is_recovering(rate_per_s, burst, now_s))
            )
        bucket.level -= 1.0
        return Success(bucket.level)

    def levels(self) -> dict[TeamId, float]:
        """Return the levels to hand over; the receiver refills from its own clock."""
        levels = dict(self._levels)
        levels.update({team: bucket.level for team, bucket in self._buckets.items()})
        return levels

    def starts_full(self) -> bool:
        """Return whether a team without a bucket starts with its whole burst."""
        return self._starts_full

    def _is_recovering(self, rate_per_s: float, burst: int, now_s: float) -> bool:
        """Return whether a whole burst cannot have accrued since the start."""
        has_known_levels = self._starts_full or bool(self._levels)
        return not has_known_levels and now_s - self._started_s < burst / rate_per_s

    def _initial_level(self, team: TeamId, burst: int) -> float:
        handed_over = self._levels.get(team)
        if handed_over is not None:
            return min(handed_over, float(burst))
        return float(burst) if self._starts_full else 0.0
