"""Claims and keeps the threaded daemon's leases, with promises and hand-overs.

Claims are records of the fleet stream.
"""

import threading
from collections.abc import Callable

from .clocks import Clock
from .errors import LogUnavailableError, PeerUnavailableError
from .events import Event, EventLog
from .fleet import Fleet
from .ids import MemberId, ResourceName, StreamName
from .leases import (
    LatestClaim,
    LeaseState,
    LeaseStateMachine,
    LeaseTable,
    successor_change_delay_s,
)
from .leaseuser import BucketLevels, Lease, LeaseUser, ReceivedHandOver
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
TICK_INTERVAL_S = 0.1
WORKER_THREADS = 8
MAX_SUCCESSORS = 8
PEER_CALL_TIMEOUT_S = 0.5
APPEND_TIMEOUT_S = 1.5
MIN_CLAIM_INTERVAL_S = 1.0
# For each rank in the order of preference, so that the first member claims first.
CLAIM_DELAY_PER_RANK_S = 0.7
RENEW_AT_RETENTION_SHARE = 1 / 3
REBALANCE_DELAY_S = 4.0
HAND_OVER_TIMEOUT_S = 2.0
MAX_INTERIM_CANDIDATES = 2


class LeaseManager:
    """Claims and keeps the leases of its resources. Used by the rate limiter and
    the placement of models.

    `lock` guards all state machines. Users check `may_act` and act while they
    hold the lock, so that another member's claim is not applied in between.
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
        # Claims learned from a peer while this daemon has not read the log. They
        # are used to find holders, never to act as one.
        self._peer_claims = LeaseTable()
        self._has_whole_stream: bool = False
        self._has_read: bool = False
        self._last_read_s: float = float("-inf")
        self._leases: dict[ResourceName, Lease] = {}
        self._follower = StreamFollower(
            log, FLEET_STREAM, self._apply_page, clock, events, wait_ms=500
        )
        self._ticker = Ticker("leases", TICK_INTERVAL_S, self._tick, events)
        self._workers = WorkerPool("lease", WORKER_THREADS, events)

    def add(self, resource: ResourceName, user: LeaseUser) -> None:
        """Add a resource; to be called before `start`."""
        machine = LeaseStateMachine(
            resource,
            self._fleet.me,
            self._fleet.incarnation,
            self._lease_s,
            started_s=self._clock.now_s(),
        )
        self._leases[resource] = Lease(machine, user)

    def start(self) -> None:
        """Start to follow the fleet stream and to claim leases."""
        self._follower.start()
        self._ticker.start()

    def close(self) -> None:
        """Stop; leases that were not handed over expire."""
        self._ticker.close()
        self._follower.close()
        self._workers.close()

    def may_act(self, resource: ResourceName, fencing: int | None = None) -> bool:
        """Return whether this daemon may act as holder now; needs `lock`.

        `fencing` is the number that the sender of a request knows. It may be older than
        this holder's newest claim, since claims are renewed, but not newer.
        """
        lease = self._leases.get(resource)
        if lease is None:
            return False
        known = fencing is None or fencing <= lease.machine.fencing
        now_s = self._clock.now_s()
        acts = known and lease.machine.may_act(now_s)
        if acts:
            self._update_activity(lease, now_s)
        return acts

    def valid_for_s(self, resource: ResourceName) -> float:
        """Return after how long the lease expires if it is not extended."""
        return self._leases[resource].machine.valid_until_s() - self._clock.now_s()

    def fencing(self, resource: ResourceName) -> int:
        """Return the newest known fencing number of a resource."""
        return self._leases[resource].machine.fencing

    def known_holder(self, resource: ResourceName) -> LatestClaim | None:
        """Return the newest claim read from the log, or else learned from a peer."""
        with self.lock:
            return self._table.get(resource) or self._peer_claims.get(resource)

    def possible_holders(self, claim: Claim) -> list[MemberId]:
        """Return the holder, or successors of it if its process has ended."""
        if not self._fleet.has_process_ended(claim.holder, claim.incarnation):
            return [claim.holder]
        return [
            member
            for member in claim.successors
            if self._fleet.state_of(member) is not MemberState.GONE
        ][:MAX_INTERIM_CANDIDATES]

    def append_quarantine_mark(self, mark: QuarantineMarked) -> None:
        """Record a quarantined fingerprint for daemons that start later."""

        def append() -> None:
            try:
                self._appender.append(FLEET_STREAM, mark, APPEND_TIMEOUT_S * 4)
            except LogUnavailableError:
                return

        self._workers.submit(append)

    def handle_ask_promises(self, message: AskPromises) -> PromisesReply:
        """Promise not to act on the sender's resources, where that is possible."""
        promised = []
        with self.lock:
            now_s = self._clock.now_s()
            for resource, fencing in message.fencings.items():
                machine = self._leases[resource].machine
                if machine.grant_promise(message.sender, fencing, now_s):
                    promised.append(resource)
        return PromisesReply(promised, self._lease_s)

    def handle_hand_over(self, message: HandOver) -> Ack:
        """Claim a resource that its holder handed over to this daemon."""
        with self.lock:
            lease = self._leases[message.resource]
            state = BucketLevels(message.levels, message.full)
            lease.handed_over = ReceivedHandOver(message.fencing, state)
            lease.claim_after_s = 0.0
        self._events.write(Event.LEASE_ACCEPTED, resource=message.resource)
        self._submit_claim(message.resource)
        return Ack()

    def hand_over_all(self) -> None:
        """Hand over every held resource to the member preferred for it."""
        with self.lock:
            resources = [
                name
                for name, lease in self._leases.items()
                if lease.machine.is_own(lease.latest)
            ]
        for name in resources:
            self._hand_over(name, self._fleet.preferred(name))

    def holders(self) -> dict[str, str]:
        """Return holder and local state of each resource, for status pages."""
        with self.lock:
            return {
                name: f"{lease.latest.claim.holder if lease.latest else '-'} "
                f"({lease.machine.state.value}, fencing {lease.machine.fencing})"
                for name, lease in self._leases.items()
            }

    def _apply_page(self, page: ReadPage, sent_s: float) -> None:
        with self.lock:
            if not self._has_read:
                self._has_read = True
                self._has_whole_stream = page.first_offset == 0
            for entry in page.entries:
                envelope = decode_envelope(entry.data)
                record = envelope.record if envelope else None
                if isinstance(record, Claim):
                    self._apply_claim(entry.offset, record)
                elif isinstance(record, QuarantineMarked):
                    self.on_quarantine_mark(record)
            if page.reaches_tail:
                self._last_read_s = max(self._last_read_s, sent_s)
                for lease in self._leases.values():
                    lease.machine.confirm_read(sent_s)

    def _apply_claim(self, offset: int, claim: Claim) -> None:
        lease = self._leases.get(claim.resource)
        predecessor = self._table.get(claim.resource)
        if lease is None or not self._table.apply(offset, claim):
            return
        now_s = self._clock.now_s()
        latest = LatestClaim(offset, claim)
        first_ever = predecessor is None and self._has_whole_stream
        lease.machine.apply_claim(latest, now_s, no_predecessor=first_ever)
        lease.claimable_since_s = None
        if lease.machine.is_own(latest):
            self._finish_wait_if_possible(lease, predecessor, now_s)
        elif lease.was_active:
            self._events.write(Event.LEASE_SUPERSEDED, resource=claim.resource)
        self._update_activity(lease, now_s)

    def _finish_wait_if_possible(
        self, lease: Lease, predecessor: LatestClaim | None, now_s: float
    ) -> None:
        """Skip the wait if the earlier holder handed over or its process ended."""
        handed_over = lease.handed_over
        is_hand_over = handed_over is not None and predecessor is not None
        if is_hand_over and handed_over.fencing == predecessor.offset:
            lease.machine.finish_wait(now_s)
            self._begin_term(lease, handed_over.state)
        elif self._have_competitors_ended(lease.machine, now_s):
            lease.machine.record_competitors_ended(now_s)

    def _have_competitors_ended(self, machine: LeaseStateMachine, now_s: float) -> bool:
        """Return whether all other processes that could act have ended."""
        return all(
            self._fleet.has_process_ended(claim.holder, claim.incarnation)
            for claim in machine.competing_claims(now_s)
        )

    def _update_activity(self, lease: Lease, now_s: float) -> None:
        """Start the user's term when it begins; log when the lease changes state."""
        machine = lease.machine
        active = machine.may_act(now_s)
        if active:
            self._begin_term(lease, None)
        if active != lease.was_active and active:
            self._events.write(
                Event.LEASE_ACTIVE,
                resource=machine.resource,
                fencing=machine.fencing,
                interim=machine.state is LeaseState.INTERIM,
            )
        elif active != lease.was_active:
            self._events.write(
                Event.LEASE_LAPSED, resource=machine.resource, fencing=machine.fencing
            )
        lease.was_active = active

    def _update_candidacy(self, lease: Lease, now_s: float) -> None:
        """Decide whether to be a candidate for interim holder.

        One is needed when the holder's process has ended and the log cannot be
        reached. The first running successor is the candidate; the others promise.
        """
        machine = lease.machine
        if machine.latest is None or machine.is_own(machine.latest):
            return
        running = [
            m
            for m in machine.latest.claim.successors
            if self._fleet.state_of(m) is not MemberState.GONE
        ]
        log_unreachable = now_s - self._last_read_s > self._lease_s
        first = running[:1] == [self._fleet.me] and not self._fleet.leaving
        machine.set_candidate(
            log_unreachable and first and self._have_competitors_ended(machine, now_s),
            now_s,
        )

    def _tick(self) -> None:
        now_s = self._clock.now_s()
        requests: dict[MemberId, dict[ResourceName, int]] = {}
        for name, lease in self._leases.items():
            preferred = self._fleet.preferred(name)
            with self.lock:
                lease.machine.tick(now_s)
                if self._have_competitors_ended(lease.machine, now_s):
                    lease.machine.record_competitors_ended(now_s)
                self._update_candidacy(lease, now_s)
                self._collect_promise_requests(lease, now_s, requests)
                self._update_activity(lease, now_s)
                should_claim = self._should_claim(lease, preferred, now_s)
            if should_claim:
                self._submit_claim(name)
            elif not self._fleet.leaving:
                self._rebalance(lease, preferred, now_s)
        for member, fencings in requests.items():
            self._workers.submit(self._request_promises, member, fencings)
        if not self._has_read:
            self._workers.submit(self._fetch_peer_claims)

    def _fetch_peer_claims(self) -> None:
        """Fetch the newest claims from a peer after a start in a log outage."""
        for member in self._fleet.preferred("leases")[:2]:
            if member == self._fleet.me:
                continue
            try:
                reply = self._fleet.call(member, FetchLeases(), PEER_CALL_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            with self.lock:
                for offset, claim in sorted(reply.claims, key=lambda c: c[0]):
                    self._peer_claims.replace(offset, claim)
            return

    def handle_fetch_leases(self, message: FetchLeases) -> LeasesReply:
        """Return the newest claims to a daemon that cannot read the log."""
        with self.lock:
            return LeasesReply(
                [(latest.offset, latest.claim) for latest in self._table.all()]
            )

    def _collect_promise_requests(
        self,
        lease: Lease,
        now_s: float,
        requests: dict[MemberId, dict[ResourceName, int]],
    ) -> None:
        machine = lease.machine
        if not machine.needs_promises(now_s):
            return
        for member in machine.promisers():
            if self._fleet.state_of(member) is MemberState.GONE:
                machine.record_ended(member, now_s)
            else:
                machine.record_running(member)
                requests.setdefault(member, {})[machine.resource] = machine.fencing

    def _request_promises(
        self, member: MemberId, fencings: dict[ResourceName, int]
    ) -> None:
        sent_s = self._clock.now_s()
        message = AskPromises(self._fleet.me, fencings)
        try:
            reply = self._fleet.call(member, message, PEER_CALL_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if not isinstance(reply, PromisesReply):
            return
        with self.lock:
            now_s = self._clock.now_s()
            until_s = sent_s + min(reply.lease_s, self._lease_s)
            for resource in reply.promised:
                machine = self._leases[resource].machine
                machine.record_promise(member, fencings[resource], until_s, now_s)

    def _should_claim(
        self, lease: Lease, preferred: list[MemberId], now_s: float
    ) -> bool:
        machine = lease.machine
        if self._fleet.leaving or now_s < lease.claim_after_s or not self._has_read:
            return False
        if machine.is_own(lease.latest):
            return self._should_renew(lease, preferred, now_s)
        handed_over = lease.handed_over
        if handed_over is not None and handed_over.fencing == machine.fencing:
            return True
        if lease.latest is not None:
            claim = lease.latest.claim
            state = self._fleet.state_of(claim.holder)
            ended = self._fleet.has_process_ended(claim.holder, claim.incarnation)
            if not ended and state in (MemberState.ALIVE, MemberState.LEAVING):
                lease.claimable_since_s = None
                return False
            if not self._is_allowed_to_claim(claim, ended):
                return False
        if lease.claimable_since_s is None:
            lease.claimable_since_s = now_s
        rank = preferred.index(self._fleet.me) if self._fleet.me in preferred else 99
        return now_s - lease.claimable_since_s >= rank * CLAIM_DELAY_PER_RANK_S

    def _is_allowed_to_claim(self, claim: Claim, holder_ended: bool) -> bool:
        """Return whether this daemon may claim after `claim`.

        A successor may; any other member only when all successors are gone.
        """
        if self._fleet.me in claim.successors:
            return True
        if claim.holder == self._fleet.me:
            return True
        gone = (self._fleet.state_of(m) is MemberState.GONE for m in claim.successors)
        return holder_ended and all(gone)

    def _should_renew(
        self, lease: Lease, preferred: list[MemberId], now_s: float
    ) -> bool:
        """Return whether to renew, as the claim is old or the successors changed.

        The log drops claims after its retention.
        """
        if lease.machine.state is LeaseState.RELEASED:
            # No member took the resource over in time, so it is claimed again.
            return True
        if lease.machine.state is not LeaseState.ACTIVE:
            return False
        age_ms = self._clock.wall_ms() - lease.latest.claim.at_ms
        if age_ms > self._retention_ms * RENEW_AT_RETENTION_SHARE:
            return True
        wanted = set(self._successors(preferred))
        named = set(lease.latest.claim.successors)
        if wanted == named:
            lease.claimable_since_s = None
            return False
        if lease.claimable_since_s is None:
            lease.claimable_since_s = now_s
        delay_s = successor_change_delay_s(named, wanted)
        return now_s - lease.claimable_since_s >= delay_s

    def _successors(self, preferred: list[MemberId]) -> list[MemberId]:
        return [m for m in preferred if m != self._fleet.me][:MAX_SUCCESSORS]

    def _rebalance(self, lease: Lease, preferred: list[MemberId], now_s: float) -> None:
        """Hand over to the preferred member once the preference is stable."""
        best = preferred[0] if preferred else self._fleet.me
        seen = lease.preferred_member_since_s
        if seen is None or seen[0] != best:
            lease.preferred_member_since_s = (best, now_s)
            return
        active = lease.machine.state is LeaseState.ACTIVE
        stable = now_s - seen[1] >= REBALANCE_DELAY_S
        is_successor = active and best in lease.latest.claim.successors
        if active and stable and is_successor and best != self._fleet.me:
            self._hand_over(lease.machine.resource, [best])

    def _hand_over(self, name: ResourceName, preferred: list[MemberId]) -> None:
        lease = self._leases[name]
        with self.lock:
            if not lease.machine.may_act(self._clock.now_s()):
                return
            lease.machine.hand_over()
            lease.claim_after_s = self._clock.now_s() + HAND_OVER_TIMEOUT_S
            state = lease.user.end_term()
            message = HandOver(
                self._fleet.me,
                name,
                lease.machine.fencing,
                state.levels,
                state.full,
            )
        for member in [m for m in preferred if m != self._fleet.me][:2]:
            try:
                self._fleet.call(member, message, PEER_CALL_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            self._events.write(Event.LEASE_HANDED_OVER, resource=name, to=member)
            return

    def _submit_claim(self, name: ResourceName) -> None:
        lease = self._leases[name]
        lease.claim_after_s = self._clock.now_s() + MIN_CLAIM_INTERVAL_S
        preferred = self._fleet.preferred(name)
        claim = Claim(
            name,
            lease.machine.fencing,
            self._fleet.me,
            self._fleet.incarnation,
            self._claim_successors(lease, preferred),
            self._clock.wall_ms(),
        )
        self._workers.submit(self._append_claim, claim)

    def _claim_successors(
        self, lease: Lease, preferred: list[MemberId]
    ) -> list[MemberId]:
        """Return the successors to name in a claim.

        Until this daemon is the active holder these are the earlier ones. The
        earlier holder may still act by the promises of its successors, and members
        that have promised nothing must not become able to claim.
        """
        own = lease.machine.is_own(lease.latest)
        if lease.latest is None or (own and lease.machine.state is LeaseState.ACTIVE):
            return self._successors(preferred)
        claim = lease.latest.claim
        inherited = [*claim.successors, claim.holder]
        return [m for m in inherited if m != self._fleet.me]

    def _append_claim(self, claim: Claim) -> None:
        try:
            offset = self._appender.append(FLEET_STREAM, claim, APPEND_TIMEOUT_S)
        except LogUnavailableError:
            return
        self._events.write(Event.LEASE_CLAIMED, resource=claim.resource, fencing=offset)

    @staticmethod
    def _begin_term(lease: Lease, handed_over: BucketLevels | None) -> None:
        machine = lease.machine
        if lease.term != machine.term:
            lease.term = machine.term
            lease.user.begin_term(
                machine.active_since_s, machine.is_first_ever, handed_over
            )
