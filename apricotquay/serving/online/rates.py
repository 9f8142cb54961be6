"""Token buckets that limit a team's rate over the whole fleet. Pure.

A daemon asks the owner of the team's shard to admit each request, so the limit is
exact. While the owner does not answer, the daemon admits from its share of the
team's bucket and reports these requests later. A new owner uses the lowest level
that daemons report to it, so that neither a change of the shard's owner nor a
restart allows a burst twice.
"""

import msgspec

from ...ids import TeamId

# Level of a team's bucket over the whole fleet, in requests, as assumed by a daemon
# that has not been told it yet. A restart must not allow a burst twice, and a few
# requests are within every operator's margin.
INITIAL_LEVEL = 6.0
# The share of a daemon that does not know the number of daemons.
INITIAL_SHARE = 0.02
# For this long a new owner uses the lowest level that it is told. An owner that was
# not asked for this long counts as new, since daemons may have admitted without it.
LEARNING_PERIOD_S = 1.0
# Absorbs rounding when a bucket has refilled to exactly one token.
ROUNDING_TOLERANCE = 1e-9


class Allowance(msgspec.Struct, frozen=True):
    """A team's rate and burst."""

    rate_per_s: float
    burst: float


class Bucket:
    """A token bucket of a team; its level may be negative after late reports."""

    __slots__ = ("updated_s", "tokens")

    def __init__(self, tokens: float, updated_s: float) -> None:
        self.tokens: float = tokens
        self.updated_s: float = updated_s

    def refill(self, rate_per_s: float, max_tokens: float, now_s: float) -> None:
        """Add the tokens that accrued since the last refill."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(max_tokens, self.tokens + elapsed_s * rate_per_s)
        self.updated_s = max(self.updated_s, now_s)

    def take(self) -> bool:
        """Take one token if there is one."""
        if self.tokens + ROUNDING_TOLERANCE < 1.0:
            return False
        self.tokens -= 1.0
        return True


class _TeamState:
    """The state of one team at a daemon."""

    def __init__(self, bucket: Bucket) -> None:
        self.fleet: Bucket = bucket
        self.local: Bucket | None = None
        self.unreported: int = 0


class DaemonRates:
    """A daemon's side: the reported levels, and its share while no owner answers."""

    def __init__(self, starts_full: bool) -> None:
        self.share: float = INITIAL_SHARE
        self._starts_full: bool = starts_full
        self._teams: dict[TeamId, _TeamState] = {}

    def estimate_level(self, team: TeamId, allowance: Allowance, now_s: float) -> float:
        """Return this daemon's estimate of the fleet's level."""
        state = self._state(team, allowance, now_s)
        state.fleet.refill(allowance.rate_per_s, allowance.burst, now_s)
        return state.fleet.tokens

    def take_unreported(self, team: TeamId) -> int:
        """Return and reset the count of requests admitted without the owner."""
        state = self._teams.get(team)
        if state is None:
            return 0
        unreported, state.unreported = state.unreported, 0
        return unreported

    def restore_unreported(self, team: TeamId, unreported: int) -> None:
        """Add back a count that did not reach the owner."""
        self._teams[team].unreported += unreported

    def apply_answer(self, team: TeamId, level: float, now_s: float) -> None:
        """Apply the fleet's level from the owner's answer."""
        state = self._teams[team]
        state.fleet = Bucket(level, now_s)
        state.local = None

    def admit_locally(self, team: TeamId, allowance: Allowance, now_s: float) -> float:
        """Admit from the local share; return 0, or the seconds until a retry."""
        state = self._state(team, allowance, now_s)
        rate_per_s = allowance.rate_per_s * self.share
        if state.local is None:
            level = self.estimate_level(team, allowance, now_s)
            state.local = Bucket(max(0.0, level) * self.share, now_s)
        max_tokens = max(1.0, allowance.burst * self.share)
        state.local.refill(rate_per_s, max_tokens, now_s)
        if not state.local.take():
            return (1.0 - state.local.tokens) / rate_per_s
        state.unreported += 1
        return 0.0

    def _state(self, team: TeamId, allowance: Allowance, now_s: float) -> _TeamState:
        state = self._teams.get(team)
        if state is None:
            tokens = allowance.burst
            if not self._starts_full:
                tokens = min(tokens, INITIAL_LEVEL)
            state = self._teams[team] = _TeamState(Bucket(tokens, now_s))
        return state


class OwnerRates:
    """The owner's side: one bucket per team."""

    def __init__(self) -> None:
        self._buckets: dict[TeamId, Bucket] = {}
        self._learning_until_s: dict[TeamId, float] = {}
        self._last_request_s: dict[TeamId, float] = {}

    def take(
        self,
        team: TeamId,
        admitted_locally: int,
        estimated_level: float,
        allowance: Allowance,
        now_s: float,
    ) -> tuple[bool, float]:
        """Decide on one request; return whether it is admitted, and the level."""
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = Bucket(min(estimated_level, allowance.burst), now_s)
            self._buckets[team] = bucket
        if now_s - self._last_request_s.get(team, float("-inf")) > LEARNING_PERIOD_S:
            self._learning_until_s[team] = now_s + LEARNING_PERIOD_S
        self._last_request_s[team] = now_s
        bucket.refill(allowance.rate_per_s, allowance.burst, now_s)
        if now_s < self._learning_until_s[team]:
            bucket.tokens = min(bucket.tokens, estimated_level)
        bucket.tokens -= admitted_locally
        admitted = bucket.take()
        return admitted, bucket.tokens
