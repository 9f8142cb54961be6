"""Team rates over the whole fleet: exact at one owner, by shares without it. Pure.

A daemon asks the owner of the team's shard for each request. While the owner is
silent it admits from its share of the team's bucket, and tells the owner later.
An owner that is new believes the lowest level that it is told, so that neither
a move of the shard nor a restart gives a burst twice.
"""

import msgspec

from ..ids import TeamId

# What a daemon that knows nothing takes for the fleet's level. A restart must
# not give a burst twice, and a few requests are within every operator's margin.
UNKNOWN_LEVEL = 6.0
# The share of a daemon that does not know how many there are.
UNKNOWN_SHARE = 0.02
# An owner that is new, or was not asked for so long and so may have been done
# without, believes for so long the lowest level that it is told.
LEARNING_S = 1.0
# Absorbs rounding when a bucket has refilled to exactly one token.
TOLERANCE = 1e-9


class Allowance(msgspec.Struct, frozen=True):
    """A team's rate and burst."""

    rate_per_s: float
    burst: float


class Bucket:
    """A level at a time; it may fall below zero when counts come late."""

    __slots__ = ("at_s", "tokens")

    def __init__(self, tokens: float, at_s: float) -> None:
        self.tokens: float = tokens
        self.at_s: float = at_s

    def refill(self, rate_per_s: float, most: float, now_s: float) -> None:
        """Add what accrued since the last refill."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.tokens = min(most, self.tokens + elapsed_s * rate_per_s)
        self.at_s = max(self.at_s, now_s)

    def take(self) -> bool:
        """Take one token if there is one."""
        if self.tokens + TOLERANCE < 1.0:
            return False
        self.tokens -= 1.0
        return True


class _TeamMemory:
    """What a daemon remembers of one team."""

    def __init__(self, bucket: Bucket) -> None:
        self.fleet: Bucket = bucket
        self.own: Bucket | None = None
        self.untold: int = 0


class DaemonRates:
    """A daemon's side: what it was told, and its share while nobody tells it."""

    def __init__(self, starts_full: bool) -> None:
        self.share: float = UNKNOWN_SHARE
        self._starts_full: bool = starts_full
        self._teams: dict[TeamId, _TeamMemory] = {}

    def known_level(self, team: TeamId, allowance: Allowance, now_s: float) -> float:
        """Return the fleet's level as this daemon would guess it."""
        memory = self._memory(team, allowance, now_s)
        memory.fleet.refill(allowance.rate_per_s, allowance.burst, now_s)
        return memory.fleet.tokens

    def take_untold(self, team: TeamId) -> int:
        """Return how many requests were admitted without the owner."""
        memory = self._teams.get(team)
        if memory is None:
            return 0
        untold, memory.untold = memory.untold, 0
        return untold

    def put_back_untold(self, team: TeamId, untold: int) -> None:
        """The owner did not hear of them."""
        self._teams[team].untold += untold

    def take_answer(self, team: TeamId, level: float, now_s: float) -> None:
        """Take in the fleet's level as the owner gave it."""
        memory = self._teams[team]
        memory.fleet = Bucket(level, now_s)
        memory.own = None

    def admit_alone(self, team: TeamId, allowance: Allowance, now_s: float) -> float:
        """Admit from the share; return 0, or after how many seconds to come back."""
        memory = self._memory(team, allowance, now_s)
        rate_per_s = allowance.rate_per_s * self.share
        if memory.own is None:
            level = self.known_level(team, allowance, now_s)
            memory.own = Bucket(max(0.0, level) * self.share, now_s)
        most = max(1.0, allowance.burst * self.share)
        memory.own.refill(rate_per_s, most, now_s)
        if not memory.own.take():
            return (1.0 - memory.own.tokens) / rate_per_s
        memory.untold += 1
        return 0.0

    def _memory(self, team: TeamId, allowance: Allowance, now_s: float) -> _TeamMemory:
        memory = self._teams.get(team)
        if memory is None:
            tokens = allowance.burst
            if not self._starts_full:
                tokens = min(tokens, UNKNOWN_LEVEL)
            memory = self._teams[team] = _TeamMemory(Bucket(tokens, now_s))
        return memory


class OwnerRates:
    """The owner's side: one bucket a team."""

    def __init__(self) -> None:
        self._buckets: dict[TeamId, Bucket] = {}
        self._learns_until_s: dict[TeamId, float] = {}
        self._asked_s: dict[TeamId, float] = {}

    def take(
        self,
        team: TeamId,
        admitted_alone: int,
        known_level: float,
        allowance: Allowance,
        now_s: float,
    ) -> tuple[bool, float]:
        """Decide on one request; return whether it is admitted, and the level."""
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = Bucket(min(known_level, allowance.burst), now_s)
            self._buckets[team] = bucket
        if now_s - self._asked_s.get(team, float("-inf")) > LEARNING_S:
            self._learns_until_s[team] = now_s + LEARNING_S
        self._asked_s[team] = now_s
        bucket.refill(allowance.rate_per_s, allowance.burst, now_s)
        if now_s < self._learns_until_s[team]:
            bucket.tokens = min(bucket.tokens, known_level)
        bucket.tokens -= admitted_alone
        admitted = bucket.take()
        return admitted, bucket.tokens
