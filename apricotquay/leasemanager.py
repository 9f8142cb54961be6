"""Holds leases of the fleet stream: claims, promises, hand-overs, for its users."""

import threading
from collections.abc import Callable

from .clocks import Clock
from .errors import LogUnavailableError, PeerUnavailableError
from .events import Event, EventLog
from .fleet import Fleet
from .ids import MemberId, ResourceName, StreamName
from .leases import LatestClaim, LeaseKeeper, LeaseState, LeaseTable
from .leaseuser import HandedOver, Lease, LeaseUser, Levels
from .logclient import Appender, Log, ReadPage
from .membership import MemberState
from .messages import (
    Ack,
    AskPromises,
    FetchLeases,
    HandOver,
    LeasesReply,
    PromisesReply,
)
from .records import Claim, QuarantineMarked, decode_envelope
from .settings import Settings
from .tasks import StreamFollower, Ticker, WorkerPool

FLEET_STREAM = StreamName("fleet")
TICK_S = 0.1
WORKERS = 8
MAX_SUCCESSORS = 8
ASK_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 1.5
CLAIM_PAUSE_S = 1.0
# A member that ranks behind others for a free resource lets them claim first.
RANK_PAUSE_S = 0.7
RENEW_PAUSE_S = 5.0
RENEW_SHARE = 1 / 3
REBALANCE_AFTER_S = 4.0
HAND_OVER_LIMIT_S = 2.0
INTERIM_ASKED = 2


class LeaseManager:
    """Claims and keeps the leases of its resources. Used by the rate limiter and
    the placement of models.

    `lock` guards all keepers; whoever acts under a lease checks `may_act` and
    acts under the lock, so that a claim of another cannot come in between.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        appender: Appender,
        fleet: Fleet,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.lock = threading.RLock()
        self.on_quarantine_mark: Callable[[QuarantineMarked], None] = lambda mark: None
        self._lease_s: float = settings.lease_ms / 1000
        self._retention_ms: int = settings.log_retention_ms
        self._appender: Appender = appender
        self._fleet: Fleet = fleet
        self._clock: Clock = clock
        self._events: EventLog = events
        self._table = LeaseTable()
        # What peers said while this daemon could not read the log itself; good
        # for asking, never for acting.
        self._hints = LeaseTable()
        self._whole_stream: bool = False
        self._read_any: bool = False
        self._read_s: float = float("-inf")
        self._leases: dict[ResourceName, Lease] = {}
        self._follower = StreamFollower(
            log, FLEET_STREAM, self._on_page, clock, events, wait_ms=500
        )
        self._ticker = Ticker("leases", TICK_S, self._tick, events)
        self._workers = WorkerPool("lease", WORKERS, events)

    def add(self, resource: ResourceName, user: LeaseUser) -> None:
        """Add a resource before the start."""
        keeper = LeaseKeeper(
            resource,
            self._fleet.me,
            self._fleet.incarnation,
            self._lease_s,
            started_s=self._clock.now_s(),
        )
        self._leases[resource] = Lease(keeper, user)

    def start(self) -> None:
        """Follow the fleet stream and start to claim."""
        self._follower.start()
        self._ticker.start()

    def close(self) -> None:
        """Stop; leases not handed over lapse."""
        self._ticker.close()
        self._follower.close()
        self._workers.close()

    def may_act(self, resource: ResourceName, fencing: int | None = None) -> bool:
        """Return whether this daemon may act as holder now; hold `lock`.

        An asker's older number of this same holder is good, since the holder
        renews its claim; a newer one than is known here is not.
        """
        lease = self._leases.get(resource)
        if lease is None:
            return False
        known = fencing is None or fencing <= lease.keeper.fencing
        now_s = self._clock.now_s()
        acts = known and lease.keeper.may_act(now_s)
        if acts:
            self._note_state(lease, now_s)
        return acts

    def valid_for_s(self, resource: ResourceName) -> float:
        """Return how much longer the present right lasts if it is not extended."""
        return self._leases[resource].keeper.valid_until_s() - self._clock.now_s()

    def fencing(self, resource: ResourceName) -> int:
        """Return the newest fencing number known of a resource."""
        return self._leases[resource].keeper.fencing

    def known_holder(self, resource: ResourceName) -> LatestClaim | None:
        """Return the newest claim known from the log, else from a peer."""
        with self.lock:
            return self._table.get(resource) or self._hints.get(resource)

    def who_may_act(self, claim: Claim) -> list[MemberId]:
        """Return the holder, or its successors if its process ended."""
        if not self._fleet.has_process_ended(claim.holder, claim.incarnation):
            return [claim.holder]
        return [
            member
            for member in claim.successors
            if self._fleet.state_of(member) is not MemberState.GONE
        ][:INTERIM_ASKED]

    def append_quarantine_mark(self, mark: QuarantineMarked) -> None:
        """Record a quarantined fingerprint for daemons that start later."""

        def append() -> None:
            try:
                self._appender.append(FLEET_STREAM, mark, CLAIM_TIMEOUT_S * 4)
            except LogUnavailableError:
                return

        self._workers.submit(append)

    def handle_ask_promises(self, message: AskPromises) -> PromisesReply:
        """Promise not to act on what the asking member holds, as far as known."""
        promised = []
        with self.lock:
            now_s = self._clock.now_s()
            for resource, fencing in message.fencings.items():
                keeper = self._leases[resource].keeper
                if keeper.give_promise(message.sender, fencing, now_s):
                    promised.append(resource)
        return PromisesReply(promised, self._lease_s)

    def handle_hand_over(self, message: HandOver) -> Ack:
        """Claim a shard that its holder handed to this daemon."""
        with self.lock:
            lease = self._leases[message.resource]
            state = Levels(message.levels, message.full)
            lease.handed_over = HandedOver(message.fencing, state)
            lease.claim_after_s = 0.0
        self._events.write(Event.LEASE_ACCEPTED, resource=message.resource)
        self._submit_claim(message.resource)
        return Ack()

    def hand_over_all(self) -> None:
        """Hand every shard to the member that should hold it next."""
        with self.lock:
            names = [n for n, s in self._leases.items() if s.keeper.is_own(s.held)]
        for name in names:
            self._hand_over(name, self._fleet.preferred(name))

    def holders(self) -> dict[str, str]:
        """Return each shard's holder and this daemon's state, for status pages."""
        with self.lock:
            return {
                name: f"{s.held.claim.holder if s.held else '-'} "
                f"({s.keeper.state.value}, fencing {s.keeper.fencing})"
                for name, s in self._leases.items()
            }

    def _on_page(self, page: ReadPage, sent_s: float) -> None:
        with self.lock:
            if not self._read_any:
                self._read_any = True
                self._whole_stream = page.first_offset == 0
            for entry in page.entries:
                envelope = decode_envelope(entry.data)
                record = envelope.record if envelope else None
                if isinstance(record, Claim):
                    self._see_claim(entry.offset, record)
                elif isinstance(record, QuarantineMarked):
                    self.on_quarantine_mark(record)
            if page.reaches_tail:
                self._read_s = max(self._read_s, sent_s)
                for lease in self._leases.values():
                    lease.keeper.confirm_read(sent_s)

    def _see_claim(self, offset: int, claim: Claim) -> None:
        lease = self._leases.get(claim.resource)
        predecessor = self._table.get(claim.resource)
        if lease is None or not self._table.apply(offset, claim):
            return
        now_s = self._clock.now_s()
        held = LatestClaim(offset, claim)
        first_ever = predecessor is None and self._whole_stream
        lease.keeper.see_claim(held, now_s, no_predecessor=first_ever)
        lease.free_since_s = None
        if lease.keeper.is_own(held):
            self._end_predecessor_if_known(lease, predecessor, now_s)
        elif lease.was_active:
            self._events.write(Event.LEASE_SUPERSEDED, resource=claim.resource)
        self._note_state(lease, now_s)

    def _end_predecessor_if_known(
        self, lease: Lease, predecessor: LatestClaim | None, now_s: float
    ) -> None:
        """Start at once where the earlier holder handed over or is gone."""
        given = lease.handed_over
        handed = given is not None and predecessor is not None
        if handed and given.fencing == predecessor.offset:
            lease.keeper.end_predecessor(now_s)
            self._begin_term(lease, given.state)
        elif self._is_alone(lease.keeper, now_s):
            lease.keeper.see_predecessor_gone(now_s)

    def _is_alone(self, keeper: LeaseKeeper, now_s: float) -> bool:
        """Whether every other process that may act under a claim has ended."""
        return all(
            self._fleet.has_process_ended(claim.holder, claim.incarnation)
            for claim in keeper.rivals(now_s)
        )

    def _note_state(self, lease: Lease, now_s: float) -> None:
        """Open new buckets when a term begins; log when a lease becomes active."""
        keeper = lease.keeper
        active = keeper.may_act(now_s)
        if active:
            self._begin_term(lease, None)
        if active != lease.was_active and active:
            self._events.write(
                Event.LEASE_ACTIVE,
                resource=keeper.resource,
                fencing=keeper.fencing,
                interim=keeper.state is LeaseState.INTERIM,
            )
        elif active != lease.was_active:
            self._events.write(
                Event.LEASE_LAPSED, resource=keeper.resource, fencing=keeper.fencing
            )
        lease.was_active = active

    def _seek_interim(self, lease: Lease, now_s: float) -> None:
        """Act in place of a holder that is gone while the log cannot be reached.

        The first successor whose process runs seeks; the others promise.
        """
        keeper = lease.keeper
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
        for name, lease in self._leases.items():
            preferred = self._fleet.preferred(name)
            with self.lock:
                lease.keeper.tick(now_s)
                if self._is_alone(lease.keeper, now_s):
                    lease.keeper.see_predecessor_gone(now_s)
                self._seek_interim(lease, now_s)
                self._collect_asks(lease, now_s, asks)
                self._note_state(lease, now_s)
                claims = self._should_claim(lease, preferred, now_s)
            if claims:
                self._submit_claim(name)
            elif not self._fleet.leaving:
                self._rebalance(lease, preferred, now_s)
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
            with self.lock:
                for offset, claim in sorted(reply.claims, key=lambda c: c[0]):
                    self._hints.replace(offset, claim)
            return

    def handle_fetch_leases(self, message: FetchLeases) -> LeasesReply:
        """Tell a daemon that cannot read the log who holds what."""
        with self.lock:
            return LeasesReply([(h.offset, h.claim) for h in self._table.all()])

    def _collect_asks(
        self, lease: Lease, now_s: float, asks: dict[MemberId, dict[ResourceName, int]]
    ) -> None:
        keeper = lease.keeper
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
        with self.lock:
            now_s = self._clock.now_s()
            until_s = sent_s + min(reply.lease_s, self._lease_s)
            for resource in reply.promised:
                keeper = self._leases[resource].keeper
                keeper.take_promise(member, fencings[resource], until_s, now_s)

    def _should_claim(
        self, lease: Lease, preferred: list[MemberId], now_s: float
    ) -> bool:
        keeper = lease.keeper
        if self._fleet.leaving or now_s < lease.claim_after_s or not self._read_any:
            return False
        if keeper.is_own(lease.held):
            return self._should_renew(lease, preferred, now_s)
        given = lease.handed_over
        if given is not None and given.fencing == keeper.fencing:
            return True
        if lease.held is not None:
            claim = lease.held.claim
            state = self._fleet.state_of(claim.holder)
            ended = self._fleet.has_process_ended(claim.holder, claim.incarnation)
            if not ended and state in (MemberState.ALIVE, MemberState.LEAVING):
                lease.free_since_s = None
                return False
            if not self._may_succeed(claim, ended):
                return False
        if lease.free_since_s is None:
            lease.free_since_s = now_s
        rank = preferred.index(self._fleet.me) if self._fleet.me in preferred else 99
        return now_s - lease.free_since_s >= rank * RANK_PAUSE_S

    def _may_succeed(self, claim: Claim, holder_ended: bool) -> bool:
        """A successor may claim; any other only when all of them are gone."""
        if self._fleet.me in claim.successors:
            return True
        if claim.holder == self._fleet.me:
            return True
        gone = (self._fleet.state_of(m) is MemberState.GONE for m in claim.successors)
        return holder_ended and all(gone)

    def _should_renew(
        self, lease: Lease, preferred: list[MemberId], now_s: float
    ) -> bool:
        """Renew before the log drops the claim, or to name other successors."""
        if lease.keeper.state is LeaseState.RELEASED:
            # Nobody took the shard over in time, so it is claimed back.
            return True
        if lease.keeper.state is not LeaseState.ACTIVE:
            return False
        age_ms = self._clock.wall_ms() - lease.held.claim.at_ms
        if age_ms > self._retention_ms * RENEW_SHARE:
            return True
        wanted = set(self._successors(preferred))
        if wanted == set(lease.held.claim.successors):
            lease.free_since_s = None
            return False
        if lease.free_since_s is None:
            lease.free_since_s = now_s
        return now_s - lease.free_since_s >= RENEW_PAUSE_S

    def _successors(self, preferred: list[MemberId]) -> list[MemberId]:
        return [m for m in preferred if m != self._fleet.me][:MAX_SUCCESSORS]

    def _rebalance(self, lease: Lease, preferred: list[MemberId], now_s: float) -> None:
        """Hand a shard to the member that should hold it, once that is stable."""
        best = preferred[0] if preferred else self._fleet.me
        seen = lease.preferred_since_s
        if seen is None or seen[0] != best:
            lease.preferred_since_s = (best, now_s)
            return
        active = lease.keeper.state is LeaseState.ACTIVE
        stable = now_s - seen[1] >= REBALANCE_AFTER_S
        is_successor = active and best in lease.held.claim.successors
        if active and stable and is_successor and best != self._fleet.me:
            self._hand_over(lease.keeper.resource, [best])

    def _hand_over(self, name: ResourceName, preferred: list[MemberId]) -> None:
        lease = self._leases[name]
        with self.lock:
            if not lease.keeper.may_act(self._clock.now_s()):
                return
            lease.keeper.hand_over()
            lease.claim_after_s = self._clock.now_s() + HAND_OVER_LIMIT_S
            state = lease.user.end_term()
            message = HandOver(
                self._fleet.me,
                name,
                lease.keeper.fencing,
                state.levels,
                state.full,
            )
        for member in [m for m in preferred if m != self._fleet.me][:2]:
            try:
                self._fleet.call(member, message, ASK_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            self._events.write(Event.LEASE_HANDED_OVER, resource=name, to=member)
            return

    def _submit_claim(self, name: ResourceName) -> None:
        lease = self._leases[name]
        lease.claim_after_s = self._clock.now_s() + CLAIM_PAUSE_S
        preferred = self._fleet.preferred(name)
        claim = Claim(
            name,
            lease.keeper.fencing,
            self._fleet.me,
            self._fleet.incarnation,
            self._claim_successors(lease, preferred),
            self._clock.wall_ms(),
        )
        self._workers.submit(self._append_claim, claim)

    def _claim_successors(
        self, lease: Lease, preferred: list[MemberId]
    ) -> list[MemberId]:
        """Keep the earlier successors until this daemon surely is the holder.

        The earlier holder may still act by the promises of its own successors;
        were others allowed to claim after this one, they would have promised
        nothing.
        """
        own = lease.keeper.is_own(lease.held)
        if lease.held is None or (own and lease.keeper.state is LeaseState.ACTIVE):
            return self._successors(preferred)
        claim = lease.held.claim
        inherited = [*claim.successors, claim.holder]
        return [m for m in inherited if m != self._fleet.me]

    def _append_claim(self, claim: Claim) -> None:
        try:
            offset = self._appender.append(FLEET_STREAM, claim, CLAIM_TIMEOUT_S)
        except LogUnavailableError:
            return
        self._events.write(Event.LEASE_CLAIMED, resource=claim.resource, fencing=offset)

    @staticmethod
    def _begin_term(lease: Lease, given: Levels | None) -> None:
        keeper = lease.keeper
        if lease.term != keeper.term:
            lease.term = keeper.term
            lease.user.begin_term(keeper.active_since_s, keeper.is_first_ever, given)
