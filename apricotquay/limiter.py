"""Team rates over the whole fleet: one holder a shard of teams, by lease."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from returns.result import Result, Success

from .buckets import Overdrawn, ShardBuckets
from .clocks import Clock
from .environment import Environment
from .errors import (
    ErrorKind,
    LogUnavailableError,
    PeerUnavailableError,
    RequestError,
)
from .events import Event, EventLog
from .fleet import Fleet
from .follow import StreamFollower, Ticker
from .ids import MemberId, ResourceName, StreamName, TeamId, stable_hash
from .leases import Held, LeaseKeeper, LeaseState, LeaseTable
from .logclient import Appender, Log, ReadPage
from .membership import MemberState
from .messages import (
    AskPromises,
    Done,
    FetchLeases,
    HandOver,
    LeasesReply,
    PromisesReply,
    TakeToken,
    TokenReply,
)
from .quarantine import Quarantine
from .records import Claim, QuarantineMarked, decode_envelope
from .settings import Settings

FLEET_STREAM = StreamName("fleet")
TICK_S = 0.1
MAX_SUCCESSORS = 8
ASK_TIMEOUT_S = 0.5
ASK_PAUSE_S = 0.02
CLAIM_TIMEOUT_S = 1.5
CLAIM_PAUSE_S = 1.0
# A member that ranks behind others for a free shard lets them claim first.
RANK_PAUSE_S = 0.7
RENEW_PAUSE_S = 5.0
RENEW_SHARE = 1 / 3
REBALANCE_AFTER_S = 4.0
HAND_OVER_LIMIT_S = 2.0
INTERIM_ASKED = 2
MAX_RECOVERING = 16
MIN_TAKEOVER_WAIT_S = 2.0


class HandedOver(msgspec.Struct, frozen=True):
    """What a holder that leaves told its successor."""

    fencing: int
    levels: dict[TeamId, float]
    full: bool


class Shard:
    """One shard of teams: its lease and, while this daemon holds it, its buckets."""

    def __init__(self, keeper: LeaseKeeper) -> None:
        self.keeper: LeaseKeeper = keeper
        self.buckets: ShardBuckets | None = None
        self.term: int = 0
        self.handed_over: HandedOver | None = None
        self.claim_after_s: float = 0.0
        self.free_since_s: float | None = None
        self.preferred_since_s: tuple[MemberId, float] | None = None
        self.was_active: bool = False

    @property
    def held(self) -> Held | None:
        """The newest claim of the shard."""
        return self.keeper.held


class RateLimiter:
    """Admits requests against their team's rate. Used by the online path.

    The daemon that a request reaches asks the holder of the team's shard for
    one token. Only the holder counts, so no token is stranded in shares.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        appender: Appender,
        environment: Environment,
        fleet: Fleet,
        quarantine: Quarantine,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._lease_s: float = settings.lease_ms / 1000
        self._retention_ms: int = settings.log_retention_ms
        self._appender: Appender = appender
        self._environment: Environment = environment
        self._fleet: Fleet = fleet
        self._quarantine: Quarantine = quarantine
        self._clock: Clock = clock
        self._events: EventLog = events
        self._lock = threading.RLock()
        self._table = LeaseTable()
        # What peers said while this daemon could not read the log itself; good
        # for asking, never for acting.
        self._hints = LeaseTable()
        self._recovering: dict[TeamId, int] = {}
        self._whole_stream: bool = False
        self._read_any: bool = False
        self._read_s: float = float("-inf")
        self._shards: dict[ResourceName, Shard] = {}
        for number in range(settings.rate_shards):
            name = ResourceName(f"rate-{number}")
            keeper = LeaseKeeper(
                name,
                fleet.me,
                fleet.incarnation,
                self._lease_s,
                started_s=clock.now_s(),
            )
            self._shards[name] = Shard(keeper)
        self._follower = StreamFollower(
            log, FLEET_STREAM, self._on_page, clock, events, wait_ms=250
        )
        self._ticker = Ticker("rate-leases", TICK_S, self._tick, events)
        self._workers = ThreadPoolExecutor(8, "rate-lease")

    def start(self) -> None:
        """Follow the fleet stream and start to claim."""
        self._follower.start()
        self._ticker.start()

    def close(self) -> None:
        """Stop; leases not handed over lapse."""
        self._ticker.close()
        self._follower.close()
        self._workers.shutdown(wait=False, cancel_futures=True)

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
        with self._lock:
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
            with self._lock:
                self._recovering[team] -= 1

    def answer_take(self, message: TakeToken) -> TokenReply:
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

    def answer_promises(self, message: AskPromises) -> PromisesReply:
        """Promise not to act on what the asking member holds, as far as known."""
        promised = []
        with self._lock:
            now_s = self._clock.now_s()
            for resource, fencing in message.fencings.items():
                keeper = self._shards[resource].keeper
                if keeper.give_promise(message.sender, fencing, now_s):
                    promised.append(resource)
        return PromisesReply(promised, self._lease_s)

    def take_over(self, message: HandOver) -> Done:
        """Claim a shard that its holder handed to this daemon."""
        with self._lock:
            shard = self._shards[message.resource]
            shard.handed_over = HandedOver(
                message.fencing, message.levels, message.full
            )
            shard.claim_after_s = 0.0
        self._events.write(Event.LEASE_ACCEPTED, resource=message.resource)
        self._submit_claim(message.resource)
        return Done()

    def hand_over_all(self) -> None:
        """Hand every shard to the member that should hold it next."""
        with self._lock:
            names = [n for n, s in self._shards.items() if s.keeper.is_own(s.held)]
        for name in names:
            self._hand_over(name, self._fleet.preferred(name))

    def holders(self) -> dict[str, str]:
        """Return each shard's holder and this daemon's state, for status pages."""
        with self._lock:
            return {
                name: f"{s.held.claim.holder if s.held else '-'} "
                f"({s.keeper.state.value}, fencing {s.keeper.fencing})"
                for name, s in self._shards.items()
            }

    def mark_quarantined(self, mark: QuarantineMarked) -> None:
        """Record a quarantined fingerprint for daemons that start later."""

        def append() -> None:
            try:
                self._appender.append(FLEET_STREAM, mark, CLAIM_TIMEOUT_S * 4)
            except LogUnavailableError:
                return

        self._workers.submit(append)

    def _ask(
        self, resource: ResourceName, team: TeamId, limit_s: float
    ) -> Result[float, Overdrawn] | None:
        """Ask the holder once; None means that no holder decided."""
        held = self._known_holder(resource)
        if held is None:
            return None
        for member in self._who_may_act(held.claim):
            if member == self._fleet.me:
                decision = self._take_here(resource, held.offset, team)
            else:
                decision = self._ask_member(member, held, team, limit_s)
            if decision is not None:
                return decision
        return None

    def _known_holder(self, resource: ResourceName) -> Held | None:
        """Return the newest claim known from the log, else from a peer."""
        with self._lock:
            return self._table.get(resource) or self._hints.get(resource)

    def _who_may_act(self, claim: Claim) -> list[MemberId]:
        """Return the holder, or its successors if its process ended."""
        if not self._fleet.process_ended(claim.holder, claim.incarnation):
            return [claim.holder]
        return [
            member
            for member in claim.successors
            if self._fleet.state_of(member) is not MemberState.GONE
        ][:INTERIM_ASKED]

    def _ask_member(
        self, member: MemberId, held: Held, team: TeamId, limit_s: float
    ) -> Result[float, Overdrawn] | None:
        resource = held.claim.resource
        left_s = max(0.01, limit_s - self._clock.now_s())
        message = TakeToken(resource, held.offset, team)
        try:
            reply = self._fleet.call(member, message, min(ASK_TIMEOUT_S, left_s))
        except PeerUnavailableError:
            return None
        if not isinstance(reply, TokenReply) or not reply.held:
            return None
        newest = self._known_holder(resource)
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
        with self._lock:
            now_s = self._clock.now_s()
            keeper = shard.keeper
            # An older number of this same holder is good: it renewed its claim.
            known = fencing <= keeper.fencing
            if not known or not keeper.may_act(now_s) or shard.buckets is None:
                return None
            return shard.buckets.take(team, limits.rate_per_s, limits.burst, now_s)

    def _on_page(self, page: ReadPage, sent_s: float) -> None:
        with self._lock:
            if not self._read_any:
                self._read_any = True
                self._whole_stream = page.first_offset == 0
            for entry in page.entries:
                envelope = decode_envelope(entry.data)
                record = envelope.record if envelope else None
                if isinstance(record, Claim):
                    self._see_claim(entry.offset, record)
                elif isinstance(record, QuarantineMarked):
                    self._see_mark(record)
            if page.reaches_tail:
                self._read_s = max(self._read_s, sent_s)
                for shard in self._shards.values():
                    shard.keeper.confirm_read(sent_s)

    def _see_mark(self, record: QuarantineMarked) -> None:
        left_s = (record.until_ms - self._clock.wall_ms()) / 1000
        if left_s > 0:
            self._quarantine.mark(record.fingerprint, self._clock.now_s() + left_s)

    def _see_claim(self, offset: int, claim: Claim) -> None:
        shard = self._shards.get(claim.resource)
        predecessor = self._table.get(claim.resource)
        if shard is None or not self._table.apply(offset, claim):
            return
        now_s = self._clock.now_s()
        held = Held(offset, claim)
        first_ever = predecessor is None and self._whole_stream
        shard.keeper.see_claim(held, now_s, no_predecessor=first_ever)
        shard.free_since_s = None
        if shard.keeper.is_own(held):
            self._end_predecessor_if_known(shard, predecessor, now_s)
        elif shard.was_active:
            self._events.write(Event.LEASE_SUPERSEDED, resource=claim.resource)
        self._note_state(shard, now_s)

    def _end_predecessor_if_known(
        self, shard: Shard, predecessor: Held | None, now_s: float
    ) -> None:
        """Start at once where the earlier holder handed over or is gone."""
        given = shard.handed_over
        handed = given is not None and predecessor is not None
        if handed and given.fencing == predecessor.offset:
            shard.keeper.end_predecessor(now_s)
            if shard.term != shard.keeper.term:
                shard.term = shard.keeper.term
                shard.buckets = ShardBuckets(now_s, given.full, given.levels)
        elif self._is_alone(shard.keeper, now_s):
            shard.keeper.see_predecessor_gone(now_s)

    def _is_alone(self, keeper: LeaseKeeper, now_s: float) -> bool:
        """Whether every other process that may act under a claim has ended."""
        return all(
            self._fleet.process_ended(claim.holder, claim.incarnation)
            for claim in keeper.rivals(now_s)
        )

    def _note_state(self, shard: Shard, now_s: float) -> None:
        """Open new buckets when a term begins; log when a lease becomes active."""
        keeper = shard.keeper
        active = keeper.may_act(now_s)
        if active and shard.term != keeper.term:
            shard.term = keeper.term
            shard.buckets = ShardBuckets(keeper.active_since_s, keeper.is_first_ever)
        if active != shard.was_active and active:
            self._events.write(
                Event.LEASE_ACTIVE,
                resource=keeper.resource,
                fencing=keeper.fencing,
                interim=keeper.state is LeaseState.INTERIM,
            )
        elif active != shard.was_active:
            self._events.write(
                Event.LEASE_LAPSED, resource=keeper.resource, fencing=keeper.fencing
            )
        shard.was_active = active

    def _seek_interim(self, shard: Shard, now_s: float) -> None:
        """Act in place of a holder that is gone while the log cannot be reached.

        The first successor whose process runs seeks; the others promise.
        """
        keeper = shard.keeper
        if keeper.held is None or keeper.is_own(keeper.held):
            return
        running = [
            m
            for m in keeper.held.claim.successors
            if self._fleet.state_of(m) is not MemberState.GONE
        ]
        blind = now_s - self._read_s > self._lease_s
        first = running[:1] == [self._fleet.me] and not self._fleet.leaving
        keeper.seek(blind and first and self._is_alone(keeper, now_s), now_s)

    def _tick(self) -> None:
        now_s = self._clock.now_s()
        asks: dict[MemberId, dict[ResourceName, int]] = {}
        for name, shard in self._shards.items():
            preferred = self._fleet.preferred(name)
            with self._lock:
                shard.keeper.tick(now_s)
                if self._is_alone(shard.keeper, now_s):
                    shard.keeper.see_predecessor_gone(now_s)
                self._seek_interim(shard, now_s)
                self._collect_asks(shard, now_s, asks)
                self._note_state(shard, now_s)
                claims = self._should_claim(shard, preferred, now_s)
            if claims:
                self._submit_claim(name)
            elif not self._fleet.leaving:
                self._rebalance(shard, preferred, now_s)
        for member, fencings in asks.items():
            self._workers.submit(self._ask_promises, member, fencings)
        if not self._read_any:
            self._workers.submit(self._fetch_hints)

    def _fetch_hints(self) -> None:
        """Learn the holders from a peer when started in an outage of the log."""
        for member in self._fleet.preferred("leases")[:2]:
            if member == self._fleet.me:
                continue
            try:
                reply = self._fleet.call(member, FetchLeases(), ASK_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            with self._lock:
                for offset, claim in sorted(reply.claims, key=lambda c: c[0]):
                    self._hints.replace(offset, claim)
            return

    def answer_leases(self, message: FetchLeases) -> LeasesReply:
        """Tell a daemon that cannot read the log who holds what."""
        with self._lock:
            return LeasesReply([(h.offset, h.claim) for h in self._table.all()])

    def _collect_asks(
        self, shard: Shard, now_s: float, asks: dict[MemberId, dict[ResourceName, int]]
    ) -> None:
        keeper = shard.keeper
        if not keeper.needs_promises(now_s):
            return
        for member in keeper.promisers():
            if self._fleet.state_of(member) is MemberState.GONE:
                keeper.see_gone(member, now_s)
            else:
                keeper.see_alive(member)
                asks.setdefault(member, {})[keeper.resource] = keeper.fencing

    def _ask_promises(
        self, member: MemberId, fencings: dict[ResourceName, int]
    ) -> None:
        sent_s = self._clock.now_s()
        message = AskPromises(self._fleet.me, fencings)
        try:
            reply = self._fleet.call(member, message, ASK_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if not isinstance(reply, PromisesReply):
            return
        with self._lock:
            now_s = self._clock.now_s()
            until_s = sent_s + min(reply.lease_s, self._lease_s)
            for resource in reply.promised:
                keeper = self._shards[resource].keeper
                keeper.take_promise(member, fencings[resource], until_s, now_s)

    def _should_claim(
        self, shard: Shard, preferred: list[MemberId], now_s: float
    ) -> bool:
        keeper = shard.keeper
        if self._fleet.leaving or now_s < shard.claim_after_s or not self._read_any:
            return False
        if keeper.is_own(shard.held):
            return self._should_renew(shard, preferred, now_s)
        given = shard.handed_over
        if given is not None and given.fencing == keeper.fencing:
            return True
        if shard.held is not None:
            claim = shard.held.claim
            state = self._fleet.state_of(claim.holder)
            ended = self._fleet.process_ended(claim.holder, claim.incarnation)
            if not ended and state in (MemberState.ALIVE, MemberState.LEAVING):
                shard.free_since_s = None
                return False
            if not self._may_succeed(claim, ended):
                return False
        if shard.free_since_s is None:
            shard.free_since_s = now_s
        rank = preferred.index(self._fleet.me) if self._fleet.me in preferred else 99
        return now_s - shard.free_since_s >= rank * RANK_PAUSE_S

    def _may_succeed(self, claim: Claim, holder_ended: bool) -> bool:
        """A successor may claim; any other only when all of them are gone."""
        if self._fleet.me in claim.successors:
            return True
        if claim.holder == self._fleet.me:
            return True
        gone = (self._fleet.state_of(m) is MemberState.GONE for m in claim.successors)
        return holder_ended and all(gone)

    def _should_renew(
        self, shard: Shard, preferred: list[MemberId], now_s: float
    ) -> bool:
        """Renew before the log drops the claim, or to name other successors."""
        if shard.keeper.state is LeaseState.RELEASED:
            # Nobody took the shard over in time, so it is claimed back.
            return True
        if shard.keeper.state is not LeaseState.ACTIVE:
            return False
        age_ms = self._clock.wall_ms() - shard.held.claim.at_ms
        if age_ms > self._retention_ms * RENEW_SHARE:
            return True
        wanted = set(self._successors(preferred))
        if wanted == set(shard.held.claim.successors):
            shard.free_since_s = None
            return False
        if shard.free_since_s is None:
            shard.free_since_s = now_s
        return now_s - shard.free_since_s >= RENEW_PAUSE_S

    def _successors(self, preferred: list[MemberId]) -> list[MemberId]:
        return [m for m in preferred if m != self._fleet.me][:MAX_SUCCESSORS]

    def _rebalance(self, shard: Shard, preferred: list[MemberId], now_s: float) -> None:
        """Hand a shard to the member that should hold it, once that is stable."""
        best = preferred[0] if preferred else self._fleet.me
        seen = shard.preferred_since_s
        if seen is None or seen[0] != best:
            shard.preferred_since_s = (best, now_s)
            return
        active = shard.keeper.state is LeaseState.ACTIVE
        stable = now_s - seen[1] >= REBALANCE_AFTER_S
        is_successor = active and best in shard.held.claim.successors
        if active and stable and is_successor and best != self._fleet.me:
            self._hand_over(shard.keeper.resource, [best])

    def _hand_over(self, name: ResourceName, preferred: list[MemberId]) -> None:
        shard = self._shards[name]
        with self._lock:
            if shard.buckets is None or not shard.keeper.may_act(self._clock.now_s()):
                return
            shard.keeper.hand_over()
            shard.claim_after_s = self._clock.now_s() + HAND_OVER_LIMIT_S
            buckets = shard.buckets
            shard.buckets = None
            levels = buckets.levels(self._clock.now_s())
            message = HandOver(
                self._fleet.me,
                name,
                shard.keeper.fencing,
                levels,
                buckets.is_full_start(),
            )
        for member in [m for m in preferred if m != self._fleet.me][:2]:
            try:
                self._fleet.call(member, message, ASK_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            self._events.write(Event.LEASE_HANDED_OVER, resource=name, to=member)
            return

    def _submit_claim(self, name: ResourceName) -> None:
        shard = self._shards[name]
        shard.claim_after_s = self._clock.now_s() + CLAIM_PAUSE_S
        preferred = self._fleet.preferred(name)
        claim = Claim(
            name,
            shard.keeper.fencing,
            self._fleet.me,
            self._fleet.incarnation,
            self._claim_successors(shard, preferred),
            self._clock.wall_ms(),
        )
        self._workers.submit(self._append_claim, claim)

    def _claim_successors(
        self, shard: Shard, preferred: list[MemberId]
    ) -> list[MemberId]:
        """Keep the earlier successors until this daemon surely is the holder.

        The earlier holder may still act by the promises of its own successors;
        were others allowed to claim after this one, they would have promised
        nothing.
        """
        own = shard.keeper.is_own(shard.held)
        if shard.held is None or (own and shard.keeper.state is LeaseState.ACTIVE):
            return self._successors(preferred)
        claim = shard.held.claim
        inherited = [*claim.successors, claim.holder]
        return [m for m in inherited if m != self._fleet.me]

    def _append_claim(self, claim: Claim) -> None:
        try:
            offset = self._appender.append(FLEET_STREAM, claim, CLAIM_TIMEOUT_S)
        except LogUnavailableError:
            return
        self._events.write(Event.LEASE_CLAIMED, resource=claim.resource, fencing=offset)
