"""Team rates over the whole fleet, admitted here and counted at one owner. Pure.

A daemon admits from its estimate of a team's level and tells the owner of the
team's shard at once; the owner's answer is the fleet's level. No request waits
for another daemon; what is admitted too much is what arrives within one such
exchange. Without an answer a daemon lives on a share of the rate.
"""

import msgspec

from ..ids import TeamId

# What a daemon that knows nothing may admit at once. A restart must not give a
# burst twice, and a few requests too many are within every operator's margin.
UNKNOWN_LEVEL = 6.0
# Without answers for so long, a daemon lives on its share.
SILENCE_S = 0.5
# A new owner believes the lowest level that it is told in this time.
LEARNING_S = 1.0


class Allowance(msgspec.Struct, frozen=True):
    """A team's rate and burst."""

    rate_per_s: float
    burst: float


class Level:
    """A bucket's level at a time; it may fall below zero."""

    __slots__ = ("at_s", "tokens")

    def __init__(self, tokens: float, at_s: float) -> None:
        self.tokens: float = tokens
        self.at_s: float = at_s

    def refill(self, rate_per_s: float, most: float, now_s: float) -> None:
        """Add what accrued since the last refill."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.tokens = min(most, self.tokens + elapsed_s * rate_per_s)
        self.at_s = max(self.at_s, now_s)


class _TeamEstimate:
    """What a daemon believes of one team."""

    def __init__(self, level: Level) -> None:
        self.level: Level = level
        self.untold: int = 0
        self.in_flight: int = 0
        self.asked_s: float | None = None


class RateEstimates:
    """A daemon's side: admits requests. `share` is its part of the fleet."""

    def __init__(self, starts_full: bool) -> None:
        self.share: float = 0.25
        self._starts_full: bool = starts_full
        self._teams: dict[TeamId, _TeamEstimate] = {}

    def admit(self, team: TeamId, allowance: Allowance, now_s: float) -> float:
        """Take one token; return 0, or after how many seconds to come back."""
        if allowance.rate_per_s <= 0:
            return 0.0
        estimate = self._estimate(team, allowance, now_s)
        rate_per_s = allowance.rate_per_s
        if self._is_silent(estimate, now_s):
            rate_per_s *= self.share
        estimate.level.refill(rate_per_s, allowance.burst, now_s)
        if estimate.level.tokens < 1.0:
            return (1.0 - estimate.level.tokens) / rate_per_s
        estimate.level.tokens -= 1.0
        estimate.untold += 1
        return 0.0

    def take_untold(self, team: TeamId, now_s: float) -> tuple[int, float] | None:
        """Return what to tell the owner now: the count, and the level before it."""
        estimate = self._teams.get(team)
        if estimate is None or not estimate.untold or estimate.in_flight:
            return None
        estimate.in_flight = estimate.untold
        estimate.untold = 0
        estimate.asked_s = estimate.asked_s or now_s
        return estimate.in_flight, estimate.level.tokens + estimate.in_flight

    def take_answer(self, team: TeamId, tokens: float, now_s: float) -> None:
        """Take in the fleet's level as the owner gave it."""
        estimate = self._teams[team]
        estimate.level = Level(tokens - estimate.untold, now_s)
        estimate.in_flight = 0
        estimate.asked_s = None

    def take_failure(self, team: TeamId) -> None:
        """The owner did not answer; the count is told again."""
        estimate = self._teams[team]
        estimate.untold += estimate.in_flight
        estimate.in_flight = 0

    def _is_silent(self, estimate: _TeamEstimate, now_s: float) -> bool:
        return estimate.asked_s is not None and now_s - estimate.asked_s > SILENCE_S

    def _estimate(
        self, team: TeamId, allowance: Allowance, now_s: float
    ) -> _TeamEstimate:
        estimate = self._teams.get(team)
        if estimate is None:
            tokens = allowance.burst
            if not self._starts_full:
                tokens = min(tokens, UNKNOWN_LEVEL)
            estimate = _TeamEstimate(Level(tokens, now_s))
            self._teams[team] = estimate
        return estimate


class RateCounts:
    """The owner's side: counts what all daemons admitted."""

    def __init__(self) -> None:
        self._levels: dict[TeamId, Level] = {}
        self._opened_s: dict[TeamId, float] = {}

    def count(
        self,
        team: TeamId,
        admitted: int,
        told_level: float,
        allowance: Allowance,
        now_s: float,
    ) -> float:
        """Deduct what a daemon admitted; return the fleet's level."""
        level = self._levels.get(team)
        if level is None:
            level = Level(min(told_level, allowance.burst), now_s)
            self._levels[team] = level
            self._opened_s[team] = now_s
        level.refill(allowance.rate_per_s, allowance.burst, now_s)
        if now_s - self._opened_s[team] < LEARNING_S:
            level.tokens = min(level.tokens, told_level)
        level.tokens -= admitted
        return level.tokens
