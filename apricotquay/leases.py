"""Leases by claims in a stream, and when a holder may act. Pure: no I/O.

A claim's offset is its fencing number: the newest claim of a resource in log
order holds it. A holder may act without asking anyone only while no other
member can have become the holder, which `LeaseKeeper` decides.
"""

import enum

import msgspec

from .charts import Chart, load_chart
from .ids import Incarnation, MemberId, ResourceName
from .records import Claim

# The share of a lease that the claimer waits beyond the holder's own limit, so
# that clocks which drift apart by up to this share cannot make two holders.
CLOCK_DRIFT_SHARE = 0.05


class LatestClaim(msgspec.Struct, frozen=True):
    """The newest claim of a resource and its fencing number."""

    offset: int
    claim: Claim


class LeaseTable:
    """Folds claims into the holder of each resource. Used by stream followers."""

    def __init__(self) -> None:
        self._held: dict[ResourceName, LatestClaim] = {}

    def apply(self, offset: int, claim: Claim) -> bool:
        """Fold a claim in; return whether it is valid and newer than the one known.

        A reader that starts behind the first kept offset knows no claim before
        the first that it meets, which was renewed in time by its holder.
        """
        held = self._held.get(claim.resource)
        if held is not None and claim.follows != held.offset:
            return False
        if held is not None and held.offset >= offset:
            return False
        self._held[claim.resource] = LatestClaim(offset, claim)
        return True

    def replace(self, offset: int, claim: Claim) -> None:
        """Take a newer claim from a peer, without what stood in between."""
        held = self._held.get(claim.resource)
        if held is None or held.offset < offset:
            self._held[claim.resource] = LatestClaim(offset, claim)

    def get(self, resource: ResourceName) -> LatestClaim | None:
        """Return the newest claim of a resource."""
        return self._held.get(resource)

    def all(self) -> list[LatestClaim]:
        """Return the newest claim of every resource."""
        return list(self._held.values())


class LeaseState(enum.Enum):
    """Where a member stands with one resource; the chart is lease.json."""

    IDLE = "idle"
    WAITING = "waiting"
    ACTIVE = "active"
    LAPSED = "lapsed"
    RELEASED = "released"
    INTERIM = "interim"


class LeaseKeeper:
    """Decides whether this member may act as the holder of one resource.

    Used by the rate limiter for each shard of teams. The holder may act until
    the later of two times:

    - one lease after it sent a read of the log that showed no newer claim; a
      claimer waits longer than that after its own claim;
    - the earliest end of the promises not to claim that it has from every
      successor, where a successor whose process is gone needs none. So a log
      outage stops no holder that reaches its successors.

    Promises only extend a right that has not ended. A right that has ended
    comes back by a read of the log alone.

    When the holder's process ended and the log cannot be reached, a successor
    may act in its place, the interim holder: it needs the promises of all other
    successors and of a new process on the holder's VM. A member promises to one
    other at a time, none while it seeks to act itself, and does not act on its
    own claim before its promise has ended.
    """

    def __init__(
        self,
        resource: ResourceName,
        member: MemberId,
        incarnation: Incarnation,
        lease_s: float,
        chart: Chart | None = None,
        started_s: float = float("-inf"),
    ) -> None:
        self.resource: ResourceName = resource
        self.held: LatestClaim | None = None
        # Counts the times that the right to act began anew: what the holder
        # keeps in memory, like buckets, belongs to one term.
        self.term: int = 0
        self.active_since_s: float = 0.0
        self.is_first_ever: bool = False
        self._member: MemberId = member
        self._incarnation: Incarnation = incarnation
        self._lease_s: float = lease_s
        self._chart: Chart = chart or load_chart("lease")
        self._state: str = self._chart.initial
        self._log_until_s: float = 0.0
        self._promised_until_s: float = 0.0
        self._promises_s: dict[MemberId, float] = {}
        self._gone: set[MemberId] = set()
        self._wait_until_s: float = 0.0
        self._seeking: bool = False
        self._history: list[tuple[float, Claim]] = []
        self._promised_to: MemberId | None = None
        # A process may have started while another counted it as gone, so it
        # trusts no proof of an end before all rights of that time have ended.
        self._bound_until_s: float = started_s + self._claim_wait_s

    @property
    def _claim_wait_s(self) -> float:
        return self._lease_s * (1.0 + CLOCK_DRIFT_SHARE)

    @property
    def state(self) -> LeaseState:
        """The state of the chart."""
        return LeaseState(self._state)

    @property
    def fencing(self) -> int:
        """The fencing number of the claim known as newest; -1 if there is none."""
        return self.held.offset if self.held else -1

    def is_own(self, held: LatestClaim | None) -> bool:
        """Return whether a claim was made by this process."""
        return (
            held is not None
            and held.claim.holder == self._member
            and held.claim.incarnation == self._incarnation
        )

    def see_claim(self, held: LatestClaim, now_s: float, no_predecessor: bool) -> None:
        """Take in the newest claim of the resource.

        `no_predecessor` is true when the whole stream was read from its very
        first entry and holds no earlier claim, so that nobody can be acting.
        """
        was_own = self.is_own(self.held)
        self.held = held
        self._history.append((now_s, held.claim))
        if not self.is_own(held):
            self._step("superseded")
            self._seeking = False
            self._forget_promises()
            return
        if was_own and self.state in (LeaseState.ACTIVE, LeaseState.LAPSED):
            # The holder renewed its claim, so its right goes on unbroken, but
            # promises were made for the older claim's successors.
            self._forget_promises()
            return
        self.tick(now_s)
        self._step("claim_seen")
        self._seeking = False
        self._forget_promises()
        self._wait_until_s = now_s + self._claim_wait_s
        if no_predecessor:
            self.end_predecessor(now_s)
            self.is_first_ever = True

    def end_predecessor(self, now_s: float) -> None:
        """The earlier holder surely acts no more: it is gone or has handed over."""
        if self.state is LeaseState.WAITING:
            self._step("predecessor_ended")
            self._begin_term(now_s)

    def rivals(self, now_s: float) -> list[Claim]:
        """Return the claims under which another process may act now.

        The newest claim is one of them, but so is an older one: whoever claimed
        after it may have ended while it still waited. An older claim's right
        ends within the claimer's wait after the next claim was seen.
        """
        if not self._history:
            return []
        ends_s = [seen_s + self._claim_wait_s for seen_s, _ in self._history[1:]]
        ends_s.append(float("inf"))
        paired = zip(self._history, ends_s, strict=True)
        self._history = [entry for entry, end_s in paired if now_s < end_s]
        claims = [claim for _, claim in self._history]
        return [c for c in claims if c.incarnation != self._incarnation]

    def see_predecessor_gone(self, now_s: float) -> None:
        """All rivals' processes ended; start unless bound by a promise."""
        if now_s >= self._bound_until_s:
            self.end_predecessor(now_s)

    def seek(self, wanted: bool, now_s: float) -> None:
        """Seek to act in place of a holder that is gone, or stop seeking."""
        if not wanted:
            self._seeking = False
            return
        if self.state is LeaseState.IDLE and now_s >= self._bound_until_s:
            if not self._seeking:
                self._forget_promises()
            self._seeking = True

    def give_promise(self, asker: MemberId, fencing: int, now_s: float) -> bool:
        """Promise not to act for one lease, unless a newer claim is known."""
        if self.fencing > fencing or self._seeking:
            return False
        if self.may_act(now_s):
            return False
        bound = now_s < self._bound_until_s
        if bound and self._promised_to not in (None, asker):
            return False
        self._promised_to = asker
        until_s = now_s + self._claim_wait_s
        self._bound_until_s = max(self._bound_until_s, until_s)
        return True

    def confirm_read(self, sent_s: float) -> None:
        """A read sent at `sent_s` reached the tail and showed no newer claim."""
        self._log_until_s = max(self._log_until_s, sent_s + self._lease_s)
        if self.is_own(self.held):
            self._step("read_confirmed")

    def take_promise(
        self, successor: MemberId, fencing: int, until_s: float, now_s: float
    ) -> None:
        """A successor promised not to claim before `until_s` of this clock."""
        if fencing == self.fencing and (self._seeking or self.may_act(now_s)):
            self._promises_s[successor] = until_s
            self._extend(now_s)

    def see_gone(self, successor: MemberId, now_s: float) -> None:
        """A successor's process ended, so it will make no claim."""
        self._gone.add(successor)
        if self._seeking or self.may_act(now_s):
            self._extend(now_s)

    def see_alive(self, successor: MemberId) -> None:
        """A successor that was gone runs again and counts once more."""
        self._gone.discard(successor)

    def may_act(self, now_s: float) -> bool:
        """Return whether the holder may act at this moment."""
        self.tick(now_s)
        return self.state in (LeaseState.ACTIVE, LeaseState.INTERIM)

    def tick(self, now_s: float) -> None:
        """Let waits and rights end by time."""
        if self.state is LeaseState.WAITING and now_s >= self._wait_until_s:
            self.end_predecessor(now_s)
        if self.state is LeaseState.ACTIVE and now_s >= self.valid_until_s():
            self._step("validity_ended")
        if self.state is LeaseState.INTERIM and now_s >= self._promised_until_s:
            self._step("validity_ended")
            self._seeking = False

    def valid_until_s(self) -> float:
        """Return when the present right ends unless it is extended."""
        return max(self._log_until_s, self._promised_until_s)

    def needs_promises(self, now_s: float) -> bool:
        """Return whether the right would end soon without promises."""
        if self._seeking:
            return True
        left_s = self.valid_until_s() - now_s
        return self.state is LeaseState.ACTIVE and left_s < self._lease_s * 0.6

    def promisers(self) -> list[MemberId]:
        """Return the members whose promises extend this member's right."""
        claim = self.held.claim
        if self.is_own(self.held):
            return list(claim.successors)
        others = [m for m in claim.successors if m != self._member]
        return [*others, claim.holder]

    def hand_over(self) -> None:
        """Stop acting for good under this claim; the caller tells the next holder."""
        self._step("handed_over")

    def _extend(self, now_s: float) -> None:
        needed = [m for m in self.promisers() if m not in self._gone]
        # Without a member that could claim, the right lasts one lease.
        ends_s = [self._promises_s.get(m, 0.0) for m in needed]
        until_s = min(ends_s, default=now_s + self._lease_s)
        self._promised_until_s = max(self._promised_until_s, until_s)
        if self.state is LeaseState.IDLE and now_s < self._promised_until_s:
            self._step("promises_complete")
            self._begin_term(now_s)

    def _begin_term(self, now_s: float) -> None:
        self.term += 1
        self.active_since_s = now_s
        self.is_first_ever = False

    def _forget_promises(self) -> None:
        self._promises_s.clear()
        self._gone.clear()
        self._promised_until_s = 0.0

    def _step(self, event: str) -> None:
        target = self._chart.step(self._state, event)
        if target is not None:
            self._state = target
