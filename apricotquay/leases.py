"""Leases by claims in a stream, and when a holder may act. Pure: no I/O.

A claim's offset is its fencing number: the writer of the newest claim of a
resource in log order is its holder. A holder may act without asking anyone only
while no other member can have become the holder. `LeaseStateMachine` decides this.
"""

import enum
from collections.abc import Collection

import msgspec

from .charts import StateChart, load_chart
from .ids import Incarnation, MemberId, ResourceName
from .records import Claim

# A claimer waits longer than the holder's lease by this share of it, so that
# clocks which drift apart by up to this share cannot make two holders.
CLOCK_DRIFT_MARGIN = 0.05
# Members that come and go for less than this do not change the successors.
SUCCESSOR_CHANGE_DELAY_S = 5.0


def successor_change_delay_s(
    named: Collection[MemberId], running: Collection[MemberId]
) -> float:
    """Return after how long a holder names the running members as its successors.

    At once if it named none of them: no one could take over if it hung.
    """
    if running and not set(named) & set(running):
        return 0.0
    return SUCCESSOR_CHANGE_DELAY_S


class LatestClaim(msgspec.Struct, frozen=True):
    """The newest claim of a resource and its fencing number."""

    offset: int
    claim: Claim


class LeaseTable:
    """The newest valid claim of each resource. Used by stream followers."""

    def __init__(self) -> None:
        self._latest: dict[ResourceName, LatestClaim] = {}

    def apply(self, offset: int, claim: Claim) -> bool:
        """Apply a claim; return whether it is valid and newer than the known one.

        A reader that starts after older entries were dropped knows no claim
        before the first one it reads, which the holder renewed in time.
        """
        latest = self._latest.get(claim.resource)
        if latest is not None and claim.follows != latest.offset:
            return False
        if latest is not None and latest.offset >= offset:
            return False
        self._latest[claim.resource] = LatestClaim(offset, claim)
        return True

    def replace(self, offset: int, claim: Claim) -> None:
        """Store a newer claim from a peer, whatever claim it follows."""
        latest = self._latest.get(claim.resource)
        if latest is None or latest.offset < offset:
            self._latest[claim.resource] = LatestClaim(offset, claim)

    def get(self, resource: ResourceName) -> LatestClaim | None:
        """Return the newest claim of a resource."""
        return self._latest.get(resource)

    def all(self) -> list[LatestClaim]:
        """Return the newest claim of every resource."""
        return list(self._latest.values())


class LeaseState(enum.Enum):
    """State of one resource's lease on this member; the chart is lease.json."""

    IDLE = "idle"
    WAITING = "waiting"
    ACTIVE = "active"
    LAPSED = "lapsed"
    RELEASED = "released"
    INTERIM = "interim"


class LeaseStateMachine:
    """Decides whether this member may act as the holder of one resource.

    Used by `LeaseManager` for each resource. The holder may act until the later
    of two times:

    - one lease after it sent a read of the log that showed no newer claim; a
      claimer waits longer than that after its own claim;
    - the earliest end of the promises not to claim that it has from all
      successors, except those whose process has ended. So a log outage does not
      stop a holder that reaches its successors.

    Promises only extend a lease that is still valid. An expired lease becomes
    valid again only by a read of the log.

    When the holder's process has ended and the log cannot be reached, a successor
    may act in its place as the interim holder: it needs the promises of all other
    successors and of a new process on the holder's VM. A member promises to one
    other member at a time and to none while it is a candidate itself, and does
    not act on its own claim before its promise has expired.
    """

    def __init__(
        self,
        resource: ResourceName,
        member: MemberId,
        incarnation: Incarnation,
        lease_s: float,
        chart: StateChart | None = None,
        started_s: float = float("-inf"),
    ) -> None:
        self.resource: ResourceName = resource
        self.latest: LatestClaim | None = None
        # Counts the periods in which this member may act: what the holder keeps
        # in memory, such as buckets, belongs to one term.
        self.term: int = 0
        self.active_since_s: float = 0.0
        self.is_first_ever: bool = False
        self._member: MemberId = member
        self._incarnation: Incarnation = incarnation
        self._lease_s: float = lease_s
        self._chart: StateChart = chart or load_chart("lease")
        self._state: str = self._chart.initial
        self._read_valid_until_s: float = 0.0
        self._promises_valid_until_s: float = 0.0
        self._promise_ends_s: dict[MemberId, float] = {}
        self._ended: set[MemberId] = set()
        self._wait_until_s: float = 0.0
        self._is_candidate: bool = False
        self._recent_claims: list[tuple[float, Claim]] = []
        self._promised_to: MemberId | None = None
        # Before this process started, another member may have counted the VM's
        # process as ended, and may act on that. So this one starts as if bound by
        # a promise: it acts on the end of other processes only after all leases
        # of that time have expired.
        self._own_promise_until_s: float = started_s + self._claim_wait_s

    @property
    def _claim_wait_s(self) -> float:
        return self._lease_s * (1.0 + CLOCK_DRIFT_MARGIN)

    @property
    def state(self) -> LeaseState:
        """The current state."""
        return LeaseState(self._state)

    @property
    def fencing(self) -> int:
        """The fencing number of the newest known claim; -1 if there is none."""
        return self.latest.offset if self.latest else -1

    def is_own(self, latest: LatestClaim | None) -> bool:
        """Return whether a claim was made by this process."""
        return (
            latest is not None
            and latest.claim.holder == self._member
            and latest.claim.incarnation == self._incarnation
        )

    def apply_claim(
        self, latest: LatestClaim, now_s: float, no_predecessor: bool
    ) -> None:
        """Apply the newest claim of the resource.

        `no_predecessor` is true when the stream was read from its very first
        entry and has no earlier claim, so that no other member can be acting.
        """
        was_own = self.is_own(self.latest)
        self.latest = latest
        self._recent_claims.append((now_s, latest.claim))
        if not self.is_own(latest):
            self._transition("superseded")
            self._is_candidate = False
            self._clear_promises()
            return
        if was_own and self.state in (LeaseState.ACTIVE, LeaseState.LAPSED):
            # The holder renewed its claim, so its term continues, but the promises
            # came from the successors of the older claim.
            self._clear_promises()
            return
        self.tick(now_s)
        self._transition("claim_seen")
        self._is_candidate = False
        self._clear_promises()
        self._wait_until_s = now_s + self._claim_wait_s
        if no_predecessor:
            self.finish_wait(now_s)
            self.is_first_ever = True

    def finish_wait(self, now_s: float) -> None:
        """Become active if waiting: the earlier holder can no longer act.

        Its process has ended, it has handed over, or its lease has expired.
        """
        if self.state is LeaseState.WAITING:
            self._transition("predecessor_ended")
            self._begin_term(now_s)

    def competing_claims(self, now_s: float) -> list[Claim]:
        """Return the claims under which another process may act now.

        Besides the newest claim this can be an older one, since the member that
        claimed after it may have ended while still waiting. An older claim's
        lease expires within the claimer's wait after the next claim was seen.
        """
        if not self._recent_claims:
            return []
        ends_s = [seen_s + self._claim_wait_s for seen_s, _ in self._recent_claims[1:]]
        ends_s.append(float("inf"))
        paired = zip(self._recent_claims, ends_s, strict=True)
        self._recent_claims = [entry for entry, end_s in paired if now_s < end_s]
        claims = [claim for _, claim in self._recent_claims]
        return [c for c in claims if c.incarnation != self._incarnation]

    def record_competitors_ended(self, now_s: float) -> None:
        """Become active if waiting, unless bound by a promise.

        To be called when the processes of all competing claims have ended.
        """
        if now_s >= self._own_promise_until_s:
            self.finish_wait(now_s)

    def set_candidate(self, wanted: bool, now_s: float) -> None:
        """Start or stop being a candidate for interim holder."""
        if not wanted:
            self._is_candidate = False
            return
        if self.state is LeaseState.IDLE and now_s >= self._own_promise_until_s:
            if not self._is_candidate:
                self._clear_promises()
            self._is_candidate = True

    def grant_promise(self, asker: MemberId, fencing: int, now_s: float) -> bool:
        """Promise not to act for one lease; return whether this was possible.

        It is not when a newer claim is known or this member may act itself, is
        a candidate, or has promised to another.
        """
        if self.fencing > fencing or self._is_candidate:
            return False
        if self.may_act(now_s):
            return False
        has_promised = now_s < self._own_promise_until_s
        if has_promised and self._promised_to not in (None, asker):
            return False
        self._promised_to = asker
        until_s = now_s + self._claim_wait_s
        self._own_promise_until_s = max(self._own_promise_until_s, until_s)
        return True

    def confirm_read(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` reached the tail.

        Claims that it showed have been applied before.
        """
        self._read_valid_until_s = max(self._read_valid_until_s, sent_s + self._lease_s)
        if self.is_own(self.latest):
            self._transition("read_confirmed")

    def record_promise(
        self, successor: MemberId, fencing: int, until_s: float, now_s: float
    ) -> None:
        """Record a promise not to claim before `until_s` by this member's clock."""
        if fencing == self.fencing and (self._is_candidate or self.may_act(now_s)):
            self._promise_ends_s[successor] = until_s
            self._extend_by_promises(now_s)

    def record_ended(self, successor: MemberId, now_s: float) -> None:
        """Record that a successor's process has ended, so it will not claim."""
        self._ended.add(successor)
        if self._is_candidate or self.may_act(now_s):
            self._extend_by_promises(now_s)

    def record_running(self, successor: MemberId) -> None:
        """Record that a successor runs, so that its promise is needed."""
        self._ended.discard(successor)

    def may_act(self, now_s: float) -> bool:
        """Return whether this member may act now, as holder or interim holder."""
        self.tick(now_s)
        return self.state in (LeaseState.ACTIVE, LeaseState.INTERIM)

    def tick(self, now_s: float) -> None:
        """Apply the transitions that are due by time."""
        if self.state is LeaseState.WAITING and now_s >= self._wait_until_s:
            self.finish_wait(now_s)
        if self.state is LeaseState.ACTIVE and now_s >= self.valid_until_s():
            self._transition("validity_ended")
        if self.state is LeaseState.INTERIM and now_s >= self._promises_valid_until_s:
            self._transition("validity_ended")
            self._is_candidate = False

    def valid_until_s(self) -> float:
        """Return when the lease expires unless it is extended."""
        return max(self._read_valid_until_s, self._promises_valid_until_s)

    def needs_promises(self, now_s: float) -> bool:
        """Return whether the lease would expire soon without promises."""
        if self._is_candidate:
            return True
        left_s = self.valid_until_s() - now_s
        return self.state is LeaseState.ACTIVE and left_s < self._lease_s * 0.6

    def promisers(self) -> list[MemberId]:
        """Return the members whose promises extend this member's lease."""
        claim = self.latest.claim
        if self.is_own(self.latest):
            return list(claim.successors)
        others = [m for m in claim.successors if m != self._member]
        return [*others, claim.holder]

    def hand_over(self) -> None:
        """Stop acting under this claim for good.

        `LeaseManager` notifies the successor.
        """
        self._transition("handed_over")

    def _extend_by_promises(self, now_s: float) -> None:
        needed = [m for m in self.promisers() if m not in self._ended]
        # If no member is left that could claim, extend by one lease.
        ends_s = [self._promise_ends_s.get(m, 0.0) for m in needed]
        until_s = min(ends_s, default=now_s + self._lease_s)
        self._promises_valid_until_s = max(self._promises_valid_until_s, until_s)
        if self.state is LeaseState.IDLE and now_s < self._promises_valid_until_s:
            self._transition("promises_complete")
            self._begin_term(now_s)

    def _begin_term(self, now_s: float) -> None:
        self.term += 1
        self.active_since_s = now_s
        self.is_first_ever = False

    def _clear_promises(self) -> None:
        self._promise_ends_s.clear()
        self._ended.clear()
        self._promises_valid_until_s = 0.0

    def _transition(self, event: str) -> None:
        target = self._chart.step(self._state, event)
        if target is not None:
            self._state = target
