"""Team rates over the whole fleet: one holder a shard of teams, by lease."""

import time

from returns.result import Result, Success

from .buckets import Overdrawn, ShardBuckets
from .clocks import Clock
from .environment import Environment
from .errors import ErrorKind, PeerUnavailableError, RequestError
from .fleet import Fleet
from .ids import MemberId, ResourceName, TeamId, stable_hash
from .leasemanager import PEER_CALL_TIMEOUT_S, LeaseManager
from .leases import LatestClaim
from .leaseuser import BucketLevels
from .messages import TakeToken, TokenReply
from .settings import Settings

ASK_PAUSE_S = 0.02
MIN_TAKEOVER_WAIT_S = 2.0
MAX_RECOVERING = 16


class Shard:
    """The buckets of one shard of teams, while this daemon holds its lease."""

    def __init__(self) -> None:
        self.buckets: ShardBuckets | None = None

    def begin_term(
        self, started_s: float, first_ever: bool, handed_over: BucketLevels | None
    ) -> None:
        """Open buckets that hold what the earlier holder surely did not grant."""
        if handed_over is None:
            self.buckets = ShardBuckets(started_s, first_ever)
        else:
            self.buckets = ShardBuckets(started_s, handed_over.full, handed_over.levels)

    def end_term(self) -> BucketLevels:
        """Close the buckets and return their levels."""
        buckets, self.buckets = self.buckets, None
        if buckets is None:
            return BucketLevels()
        return BucketLevels(buckets.levels(), buckets.is_full_start())


class RateLimiter:
    """Admits requests against their team's rate. Used by the online path.

    The daemon that a request reaches asks the holder of the team's shard for
    one token. Only the holder counts, so no token is stranded in shares.
    """

    def __init__(
        self,
        settings: Settings,
        leases: LeaseManager,
        environment: Environment,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._lease_s: float = settings.lease_ms / 1000
        self._leases: LeaseManager = leases
        self._environment: Environment = environment
        self._fleet: Fleet = fleet
        self._clock: Clock = clock
        self._recovering: dict[TeamId, int] = {}
        self._shards: dict[ResourceName, Shard] = {}
        for number in range(settings.rate_shards):
            name = ResourceName(f"rate-{number}")
            self._shards[name] = Shard()
            leases.add(name, self._shards[name])

    def shard_of(self, team: TeamId) -> ResourceName:
        """Return the shard that a team's bucket belongs to."""
        number = stable_hash("team-shard", team) % len(self._shards)
        return ResourceName(f"rate-{number}")

    def admit(self, team: TeamId, deadline_s: float) -> None:
        """Take one token or raise RATE_EXCEEDED or LIMIT_UNAVAILABLE.

        While the shard has no holder that can be reached, or a new one that
        starts from an empty bucket, the request waits, but no longer than a
        takeover lasts and not behind many others of its team.
        """
        resource = self.shard_of(team)
        wait_s = max(MIN_TAKEOVER_WAIT_S, self._lease_s * 3)
        limit_s = min(deadline_s, self._clock.now_s() + wait_s)
        decision = self._ask_until_decided(resource, team, limit_s)
        if not isinstance(decision, Success) and decision.failure().recovering:
            decision = self._wait_for_recovery(resource, team, limit_s, decision)
        if isinstance(decision, Success):
            return
        refusal: Overdrawn = decision.failure()
        raise RequestError(
            ErrorKind.RATE_EXCEEDED,
            f"team {team} is over its rate",
            retry_after_ms=max(1, int(refusal.wait_s * 1000) + 1),
        )

    def _ask_until_decided(
        self, resource: ResourceName, team: TeamId, limit_s: float
    ) -> Result[float, Overdrawn]:
        """Ask until a holder decides; raise LIMIT_UNAVAILABLE if none does."""
        while True:
            decision = self._ask(resource, team, limit_s)
            if decision is not None:
                return decision
            if self._clock.now_s() + ASK_PAUSE_S >= limit_s:
                raise RequestError(
                    ErrorKind.LIMIT_UNAVAILABLE,
                    f"the rate of team {team} cannot be checked at the moment",
                )
            time.sleep(ASK_PAUSE_S)

    def _wait_for_recovery(
        self,
        resource: ResourceName,
        team: TeamId,
        limit_s: float,
        decision: Result[float, Overdrawn],
    ) -> Result[float, Overdrawn]:
        """Ask again when the new holder will have a token, while that is in time."""
        with self._leases.lock:
            waiting = self._recovering.get(team, 0)
            if waiting >= MAX_RECOVERING:
                return decision
            self._recovering[team] = waiting + 1
        try:
            while not isinstance(decision, Success):
                refusal = decision.failure()
                wait_s = refusal.wait_s + ASK_PAUSE_S
                late = self._clock.now_s() + wait_s >= limit_s
                if late or not refusal.recovering:
                    break
                time.sleep(wait_s)
                decision = self._ask_until_decided(resource, team, limit_s)
            return decision
        finally:
            with self._leases.lock:
                self._recovering[team] -= 1

    def handle_take_token(self, message: TakeToken) -> TokenReply:
        """Decide as the holder of a shard."""
        decision = self._take_here(message.resource, message.fencing, message.team)
        if decision is None:
            return TokenReply(held=False)
        if isinstance(decision, Success):
            return TokenReply(held=True, granted=True)
        refusal = decision.failure()
        return TokenReply(
            held=True, wait_s=refusal.wait_s, recovering=refusal.recovering
        )

    def _ask(
        self, resource: ResourceName, team: TeamId, limit_s: float
    ) -> Result[float, Overdrawn] | None:
        """Ask the holder once; None means that no holder decided."""
        held = self._leases.known_holder(resource)
        if held is None:
            return None
        for member in self._leases.possible_holders(held.claim):
            if member == self._fleet.me:
                decision = self._take_here(resource, held.offset, team)
            else:
                decision = self._ask_member(member, held, team, limit_s)
            if decision is not None:
                return decision
        return None

    def _ask_member(
        self, member: MemberId, held: LatestClaim, team: TeamId, limit_s: float
    ) -> Result[float, Overdrawn] | None:
        resource = held.claim.resource
        left_s = max(0.01, limit_s - self._clock.now_s())
        message = TakeToken(resource, held.offset, team)
        try:
            reply = self._fleet.call(member, message, min(PEER_CALL_TIMEOUT_S, left_s))
        except PeerUnavailableError:
            return None
        if not isinstance(reply, TokenReply) or not reply.held:
            return None
        newest = self._leases.known_holder(resource)
        if newest.offset != held.offset and newest.claim.holder != member:
            # The reply came under a claim that is no longer the newest.
            return None
        if reply.granted:
            return Success(0.0)
        return Result.from_failure(Overdrawn(reply.wait_s, reply.recovering))

    def _take_here(
        self, resource: ResourceName, fencing: int, team: TeamId
    ) -> Result[float, Overdrawn] | None:
        current = self._environment.current
        limits = current.document.teams.get(team) if current else None
        shard = self._shards.get(resource)
        if limits is None or shard is None:
            return None
        with self._leases.lock:
            now_s = self._clock.now_s()
            if not self._leases.may_act(resource, fencing) or shard.buckets is None:
                return None
            return shard.buckets.take(team, limits.rate_per_s, limits.burst, now_s)
