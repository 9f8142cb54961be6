"""Rate limits of teams over a fleet of threaded daemons, with a lease per shard."""

import time

from returns.result import Result, Success

from .buckets import RateRefusal, ShardBuckets
from .clocks import Clock
from .environment import EnvironmentConfig
from .errors import ErrorKind, PeerUnavailableError, RequestError
from .fleet import Fleet
from .ids import MemberId, ResourceName, TeamId, stable_hash
from .leasemanager import PEER_CALL_TIMEOUT_S, LeaseManager
from .leases import LatestClaim
from .leaseuser import BucketLevels
from .messages import TakeToken, TokenReply
from .settings import Settings

REQUEST_INTERVAL_S = 0.02
MIN_TAKEOVER_WAIT_S = 2.0
MAX_RECOVERY_WAITERS_PER_TEAM = 16


class RateShard:
    """The buckets of one shard of teams while this daemon holds its lease."""

    def __init__(self) -> None:
        self.buckets: ShardBuckets | None = None

    def begin_term(
        self, started_s: float, first_ever: bool, handed_over: BucketLevels | None
    ) -> None:
        """Open buckets with only tokens that the earlier holder cannot have granted."""
        if handed_over is None:
            self.buckets = ShardBuckets(started_s, first_ever)
        else:
            self.buckets = ShardBuckets(started_s, handed_over.full, handed_over.levels)

    def end_term(self) -> BucketLevels:
        """Close the buckets and return their levels."""
        buckets, self.buckets = self.buckets, None
        if buckets is None:
            return BucketLevels()
        return BucketLevels(buckets.levels(), buckets.starts_full())


class RateLimiter:
    """Admits requests within their team's rate. Used by `OnlineRequestHandler`.

    The daemon that receives a request asks the holder of the team's shard for one
    token. Only the holder keeps buckets, so no tokens lie unused in local shares.
    """

    def __init__(
        self,
        settings: Settings,
        leases: LeaseManager,
        environment: EnvironmentConfig,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._lease_s: float = settings.lease_ms / 1000
        self._leases: LeaseManager = leases
        self._environment: EnvironmentConfig = environment
        self._fleet: Fleet = fleet
        self._clock: Clock = clock
        self._recovery_waiters: dict[TeamId, int] = {}
        self._shards: dict[ResourceName, RateShard] = {}
        for number in range(settings.rate_shards):
            name = ResourceName(f"rate-{number}")
            self._shards[name] = RateShard()
            leases.add(name, self._shards[name])

    def shard_of(self, team: TeamId) -> ResourceName:
        """Return the shard that a team's bucket belongs to."""
        number = stable_hash("team-shard", team) % len(self._shards)
        return ResourceName(f"rate-{number}")

    def admit(self, team: TeamId, deadline_s: float) -> None:
        """Take one token or raise RATE_EXCEEDED or LIMIT_UNAVAILABLE.

        While the shard has no reachable holder, or a new one that started with an
        empty bucket, the request waits, but no longer than a takeover takes and
        not if many others of its team are waiting.
        """
        resource = self.shard_of(team)
        wait_s = max(MIN_TAKEOVER_WAIT_S, self._lease_s * 3)
        wait_deadline_s = min(deadline_s, self._clock.now_s() + wait_s)
        decision = self._request_until_decided(resource, team, wait_deadline_s)
        if not isinstance(decision, Success) and decision.failure().recovering:
            decision = self._wait_for_recovery(
                resource, team, wait_deadline_s, decision
            )
        if isinstance(decision, Success):
            return
        refusal: RateRefusal = decision.failure()
        raise RequestError(
            ErrorKind.RATE_EXCEEDED,
            f"team {team} is over its rate",
            retry_after_ms=max(1, int(refusal.wait_s * 1000) + 1),
        )

    def _request_until_decided(
        self, resource: ResourceName, team: TeamId, wait_deadline_s: float
    ) -> Result[float, RateRefusal]:
        """Ask until a holder decides; raise LIMIT_UNAVAILABLE if none does in time."""
        while True:
            decision = self._request_token(resource, team, wait_deadline_s)
            if decision is not None:
                return decision
            if self._clock.now_s() + REQUEST_INTERVAL_S >= wait_deadline_s:
                raise RequestError(
                    ErrorKind.LIMIT_UNAVAILABLE,
                    f"the rate of team {team} cannot be checked at the moment",
                )
            time.sleep(REQUEST_INTERVAL_S)

    def _wait_for_recovery(
        self,
        resource: ResourceName,
        team: TeamId,
        wait_deadline_s: float,
        decision: Result[float, RateRefusal],
    ) -> Result[float, RateRefusal]:
        """Ask again when the new holder will have a token, if that is in time."""
        with self._leases.lock:
            waiting = self._recovery_waiters.get(team, 0)
            if waiting >= MAX_RECOVERY_WAITERS_PER_TEAM:
                return decision
            self._recovery_waiters[team] = waiting + 1
        try:
            while not isinstance(decision, Success):
                refusal = decision.failure()
                wait_s = refusal.wait_s + REQUEST_INTERVAL_S
                too_late = self._clock.now_s() + wait_s >= wait_deadline_s
                if too_late or not refusal.recovering:
                    break
                time.sleep(wait_s)
                decision = self._request_until_decided(resource, team, wait_deadline_s)
            return decision
        finally:
            with self._leases.lock:
                self._recovery_waiters[team] -= 1

    def handle_take_token(self, message: TakeToken) -> TokenReply:
        """Decide a request of another daemon as the holder of a shard."""
        decision = self._take_locally(message.resource, message.fencing, message.team)
        if decision is None:
            return TokenReply(held=False)
        if isinstance(decision, Success):
            return TokenReply(held=True, granted=True)
        refusal = decision.failure()
        return TokenReply(
            held=True, wait_s=refusal.wait_s, recovering=refusal.recovering
        )

    def _request_token(
        self, resource: ResourceName, team: TeamId, wait_deadline_s: float
    ) -> Result[float, RateRefusal] | None:
        """Ask the possible holders once; None means that none decided."""
        latest = self._leases.known_holder(resource)
        if latest is None:
            return None
        for member in self._leases.possible_holders(latest.claim):
            if member == self._fleet.me:
                decision = self._take_locally(resource, latest.offset, team)
            else:
                decision = self._request_from_member(
                    member, latest, team, wait_deadline_s
                )
            if decision is not None:
                return decision
        return None

    def _request_from_member(
        self,
        member: MemberId,
        latest: LatestClaim,
        team: TeamId,
        wait_deadline_s: float,
    ) -> Result[float, RateRefusal] | None:
        resource = latest.claim.resource
        left_s = max(0.01, wait_deadline_s - self._clock.now_s())
        message = TakeToken(resource, latest.offset, team)
        try:
            reply = self._fleet.call(member, message, min(PEER_CALL_TIMEOUT_S, left_s))
        except PeerUnavailableError:
            return None
        if not isinstance(reply, TokenReply) or not reply.held:
            return None
        newest = self._leases.known_holder(resource)
        if newest.offset != latest.offset and newest.claim.holder != member:
            # The claim under which the reply was made is no longer the newest.
            return None
        if reply.granted:
            return Success(0.0)
        return Result.from_failure(RateRefusal(reply.wait_s, reply.recovering))

    def _take_locally(
        self, resource: ResourceName, fencing: int, team: TeamId
    ) -> Result[float, RateRefusal] | None:
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
