"""Leases: two members must never act as holder of a resource at the same time."""

import heapq
import itertools
import random

from hypothesis import given, strategies as st
from parameterized import parameterized
from returns.result import Success

from apricotquay.buckets import ShardBuckets
from apricotquay.charts import load_chart
from apricotquay.ids import Incarnation, MemberId, ResourceName
from apricotquay.leases import (
    LatestClaim,
    LeaseState,
    LeaseStateMachine,
    LeaseTable,
    successor_change_delay_s,
)
from apricotquay.records import Claim

from .base import PROPERTY_SETTINGS, ApricotTest

LEASE_S = 2.0
RATE = 3.0
BURST = 5
RESOURCE = ResourceName("rate-0")
CHART = load_chart("lease")


def make_claim(holder: str, *successors: str) -> Claim:
    """Return a claim of the resource by a member's first process."""
    return Claim(
        RESOURCE,
        -1,
        MemberId(holder),
        Incarnation(f"{holder}/0"),
        [MemberId(s) for s in successors],
        0,
    )


def make_machine(member: str) -> LeaseStateMachine:
    """Return the state machine of a member's first process."""
    return LeaseStateMachine(
        RESOURCE, MemberId(member), Incarnation(f"{member}/0"), LEASE_S, CHART
    )


class LeaseStateMachineTest(ApricotTest):
    """Single transitions of the state machine."""

    def holder(self) -> LeaseStateMachine:
        """Return a's machine, active since time 0, with successors b and c."""
        machine = make_machine("a")
        machine.apply_claim(
            LatestClaim(0, make_claim("a", "b", "c")), 0.0, no_predecessor=True
        )
        machine.confirm_read(0.0)
        return machine

    def test_first_claim_ever_is_active_at_once(self):
        """No member can have been the holder before."""
        self.assertTrue(self.holder().may_act(0.1))

    def test_no_competing_claims_before_the_first_claim(self):
        """A daemon checks this at each tick, also before its first read."""
        self.assertEqual([], make_machine("a").competing_claims(0.0))

    def test_older_claim_whose_successor_never_acted_still_competes(self):
        """Its holder's lease may be valid, though the newer claimer has ended."""
        machine = make_machine("c")
        machine.apply_claim(
            LatestClaim(0, make_claim("a", "b", "c")), 0.0, no_predecessor=True
        )
        machine.apply_claim(
            LatestClaim(1, make_claim("b", "c", "a")), 1.0, no_predecessor=False
        )
        machine.apply_claim(
            LatestClaim(2, make_claim("c", "a", "b")), 1.5, no_predecessor=False
        )
        self.assertEqual(["a", "b"], [c.holder for c in machine.competing_claims(1.6)])
        self.assertEqual(["b"], [c.holder for c in machine.competing_claims(3.2)])

    def test_later_claim_waits_longer_than_a_lease(self):
        """The earlier holder may act for one lease after its last read."""
        machine = make_machine("b")
        machine.apply_claim(
            LatestClaim(0, make_claim("a", "b")), 0.0, no_predecessor=True
        )
        machine.apply_claim(
            LatestClaim(1, make_claim("b", "a")), 1.0, no_predecessor=False
        )
        machine.confirm_read(3.0)
        self.assertFalse(machine.may_act(1.0 + LEASE_S))
        self.assertTrue(machine.may_act(1.0 + LEASE_S * 1.06))

    def test_lease_expires_without_reads(self):
        """A holder that gets neither reads nor promises stops after one lease."""
        machine = self.holder()
        self.assertTrue(machine.may_act(LEASE_S - 0.01))
        self.assertFalse(machine.may_act(LEASE_S))
        self.assertIs(LeaseState.LAPSED, machine.state)

    def test_promises_of_all_successors_extend_the_lease(self):
        """A log outage does not stop a holder that reaches its successors."""
        machine = self.holder()
        machine.record_promise(MemberId("b"), 0, 3.0, 1.5)
        machine.record_promise(MemberId("c"), 0, 2.5, 1.5)
        self.assertTrue(machine.may_act(2.4))
        self.assertFalse(machine.may_act(2.5))

    def test_one_missing_promise_extends_nothing(self):
        """The successor that does not answer may be the one that claims."""
        machine = self.holder()
        machine.record_promise(MemberId("b"), 0, 9.0, 1.5)
        self.assertFalse(machine.may_act(LEASE_S))

    def test_successor_that_is_gone_needs_no_promise(self):
        """A process that has ended makes no claim."""
        machine = self.holder()
        machine.record_promise(MemberId("b"), 0, 3.0, 1.5)
        machine.record_ended(MemberId("c"), 1.6)
        self.assertTrue(machine.may_act(2.9))

    def test_promise_does_not_renew_an_expired_lease(self):
        """Another member may have acted in between."""
        machine = self.holder()
        self.assertFalse(machine.may_act(LEASE_S + 0.1))
        machine.record_promise(MemberId("b"), 0, 9.0, LEASE_S + 0.2)
        machine.record_promise(MemberId("c"), 0, 9.0, LEASE_S + 0.2)
        self.assertFalse(machine.may_act(LEASE_S + 0.3))

    def test_read_without_newer_claim_renews_an_expired_lease(self):
        """No member has claimed, so none has acted in between."""
        machine = self.holder()
        self.assertFalse(machine.may_act(5.0))
        machine.confirm_read(6.0)
        self.assertTrue(machine.may_act(6.1))

    def test_promise_for_another_fencing_number_is_ignored(self):
        """It was made for another claim."""
        machine = self.holder()
        machine.record_promise(MemberId("b"), 7, 9.0, 1.0)
        machine.record_promise(MemberId("c"), 7, 9.0, 1.0)
        self.assertFalse(machine.may_act(LEASE_S))

    def test_newer_claim_of_another_member_ends_the_lease(self):
        """The writer of the newest claim in the log is the holder."""
        machine = self.holder()
        machine.apply_claim(
            LatestClaim(5, make_claim("b", "a")), 0.5, no_predecessor=False
        )
        self.assertFalse(machine.may_act(0.6))

    def test_renewed_claim_keeps_the_lease(self):
        """The same process stays the holder under the newer fencing number."""
        machine = self.holder()
        machine.apply_claim(
            LatestClaim(5, make_claim("a", "d")), 0.5, no_predecessor=False
        )
        machine.confirm_read(0.6)
        self.assertTrue(machine.may_act(0.7))
        self.assertEqual(5, machine.fencing)

    @parameterized.expand([("handed over", True), ("kept", False)])
    def test_hand_over_ends_the_lease_for_good(self, _name, handed_over):
        """No read makes it valid again under this claim."""
        machine = self.holder()
        if handed_over:
            machine.hand_over()
        machine.confirm_read(1.0)
        self.assertEqual(not handed_over, machine.may_act(1.1))


class SuccessorChangeTest(ApricotTest):
    """When a holder names other successors."""

    @parameterized.expand(
        [
            ("started alone", "", "bc", False),
            ("all named are gone", "b", "c", False),
            ("one named still runs", "b", "bc", True),
            ("one named is gone", "bc", "c", True),
            ("no other member runs", "bc", "", True),
        ]
    )
    def test_holder_that_hangs_has_a_running_successor(
        self, _name, named, running, is_delayed
    ):
        """Without one its resource stays with it until its process ends."""
        delay_s = successor_change_delay_s(list(named), list(running))
        self.assertEqual(is_delayed, delay_s > 0)


class Simulation:
    """Members, a log and messages in virtual time, driven by one seed.

    Members read with delay, lose replies, pause, crash and restart, lose the
    connection to the log or to each other, and their clocks drift apart a little.
    """

    MEMBER_NAMES = ("a", "b", "c", "d")

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.log: list[Claim] = []
        self.events: list = []
        self.event_order = itertools.count()
        self.members = {
            name: SimulatedMember(name, 0, self) for name in self.MEMBER_NAMES
        }
        self.grants_s: list[float] = []
        self.acting_count = 0
        self.interim_count = 0

    def schedule(self, delay_s: float, task) -> None:
        """Run a task after a delay."""
        at_s = self.now_s + delay_s
        heapq.heappush(self.events, (at_s, next(self.event_order), task))

    def run(self, until_s: float) -> None:
        """Run, and check after each event that at most one member acts.

        A member that acts grants all tokens it can; grants are counted over all.
        """
        for member in self.members.values():
            member.tick()
        self.schedule(0.0, self.inject_fault)
        while self.events and self.now_s < until_s:
            at_s, _, task = heapq.heappop(self.events)
            self.now_s = max(self.now_s, at_s)
            task()
            acting_members = [m for m in self.members.values() if m.is_acting()]
            self.acting_count += len(acting_members)
            interim = [
                m for m in acting_members if m.machine.state is LeaseState.INTERIM
            ]
            self.interim_count += len(interim)
            names = [m.name for m in acting_members]
            assert len(acting_members) <= 1, f"{names} act at {self.now_s}: {self.log}"
            for member in acting_members:
                self.grant_all_tokens(member)

    def grant_all_tokens(self, member: "SimulatedMember") -> None:
        """Grant until the member's bucket is empty, checking the rate limit."""
        while True:
            now_s = member.clock_s()
            if not isinstance(member.buckets.take("t", RATE, BURST, now_s), Success):
                return
            self.grants_s.append(self.now_s)
            for count in (BURST + 1, 2 * BURST, 5 * BURST, 20 * BURST):
                self.check_window(count)

    def check_window(self, count: int) -> None:
        """Check that the last `count` grants took as long as rate and burst demand."""
        if len(self.grants_s) < count:
            return
        window_s = self.now_s - self.grants_s[-count]
        # The members' clocks are allowed to run 2 in 100 fast.
        allowed = BURST + RATE * 1.02 * window_s
        assert count <= allowed + 1e-6, f"{count} grants in {window_s} s: {self.log}"

    def has_process(self, name: str) -> bool:
        """Return whether a member's VM runs a process."""
        return self.members[name].paused_until_s != float("inf")

    def inject_fault(self) -> None:
        """Inject a fault, sometimes into several members at once."""
        self.schedule(self.rng.random() * 2 * LEASE_S, self.inject_fault)
        kind = self.rng.choices(("disconnect_log", "pause", "crash"), (6, 3, 1))[0]
        count = 1 if kind == "crash" else self.rng.randint(1, 3)
        for name in self.rng.sample(self.MEMBER_NAMES, count):
            getattr(self.members[name], kind)()


class SimulatedMember:
    """One member's process in the simulation."""

    def __init__(
        self, name: str, incarnation_number: int, simulation: Simulation
    ) -> None:
        self.name = name
        self.simulation = simulation
        self.incarnation_number = incarnation_number
        self.incarnation = Incarnation(f"{name}/{incarnation_number}")
        # Clocks run up to 2 in 100 fast or slow, within the allowed drift.
        self.clock_rate = 1.0 + simulation.rng.uniform(-0.02, 0.02)
        self.machine = LeaseStateMachine(
            RESOURCE, MemberId(name), self.incarnation, LEASE_S, CHART, self.clock_s()
        )
        self.buckets: ShardBuckets | None = None
        self.term = 0
        self.table = LeaseTable()
        self.position = 0
        self.has_read = False
        self.paused_until_s = 0.0
        self.log_unreachable_until_s = 0.0

    def tick(self) -> None:
        """Read, request promises and sometimes claim, while this process runs."""
        if self.simulation.members[self.name] is not self:
            return
        self.simulation.schedule(0.2 + self.simulation.rng.random() * 0.2, self.tick)
        if self.is_running():
            self.read()
            self.apply_ended_processes()
            self.request_promises()
            if self.simulation.rng.random() < 0.1:
                self.claim()

    def has_ended(self, claim: Claim) -> bool:
        """Return whether the process that made a claim has ended."""
        return self.simulation.members[claim.holder].incarnation != claim.incarnation

    def apply_ended_processes(self) -> None:
        """Skip the wait after a holder that ended, or become a candidate."""
        latest = self.table.get(RESOURCE)
        if latest is None:
            return
        competitors_ended = all(
            self.has_ended(c) for c in self.machine.competing_claims(self.clock_s())
        )
        if competitors_ended:
            self.machine.record_competitors_ended(self.clock_s())
        first = [n for n in latest.claim.successors if self.simulation.has_process(n)][
            :1
        ]
        is_candidate = competitors_ended and first == [self.name]
        self.machine.set_candidate(
            is_candidate and self.simulation.rng.random() < 0.9, self.clock_s()
        )
        for name in self.machine.promisers():
            if self.simulation.has_process(name):
                self.machine.record_running(name)
            else:
                self.machine.record_ended(name, self.clock_s())

    def clock_s(self) -> float:
        """Return the time by this member's clock."""
        return self.simulation.now_s * self.clock_rate

    def is_running(self) -> bool:
        """Return whether this is the VM's current process and not paused."""
        current = self.simulation.members[self.name] is self
        return current and self.simulation.now_s >= self.paused_until_s

    def run_when_running(self, task) -> None:
        """Run a task as soon as the process is not paused; never after a crash."""
        if self.simulation.members[self.name] is not self:
            return
        if self.is_running():
            task()
            return
        self.simulation.schedule(
            self.paused_until_s - self.simulation.now_s + 0.001, task
        )

    def is_acting(self) -> bool:
        """Return whether the member acts as holder now; open buckets for a term."""
        if not self.is_running():
            return False
        is_acting = self.machine.may_act(self.clock_s())
        if is_acting and self.term != self.machine.term:
            self.term = self.machine.term
            self.buckets = ShardBuckets(
                self.machine.active_since_s, self.machine.is_first_ever
            )
        return is_acting

    def read(self) -> None:
        """Read the log; the page is made and arrives after delays."""
        if (
            not self.is_running()
            or self.simulation.now_s < self.log_unreachable_until_s
        ):
            return
        sent_s = self.clock_s()
        delay_s = self.simulation.rng.random() * 0.3

        def send_page() -> None:
            entries = list(enumerate(self.simulation.log))[self.position :]
            self.simulation.schedule(
                self.simulation.rng.random() * 0.3,
                lambda: self.run_when_running(lambda: self.apply_page(entries, sent_s)),
            )

        self.simulation.schedule(delay_s, send_page)

    def apply_page(self, entries: list, sent_s: float) -> None:
        """Apply a page of the log."""
        for offset, claim in entries:
            if offset < self.position:
                continue
            before = self.table.get(RESOURCE)
            self.position = offset + 1
            if not self.table.apply(offset, claim):
                continue
            self.machine.apply_claim(
                LatestClaim(offset, claim),
                self.clock_s(),
                no_predecessor=before is None,
            )
        self.has_read = True
        self.machine.confirm_read(sent_s)

    def claim(self) -> None:
        """Claim as `LeaseManager` does: as a successor, inheriting successors."""
        if (
            not self.is_running()
            or not self.has_read
            or self.simulation.now_s < self.log_unreachable_until_s
        ):
            return
        latest = self.table.get(RESOURCE)
        if self.machine.is_own(latest):
            return
        if latest is None:
            successors = [n for n in self.simulation.MEMBER_NAMES if n != self.name][:2]
        elif self.name in latest.claim.successors or latest.claim.holder == self.name:
            inherited = [*latest.claim.successors, latest.claim.holder]
            successors = [n for n in inherited if n != self.name]
        else:
            return
        fencing = latest.offset if latest else -1
        claim = Claim(RESOURCE, fencing, self.name, self.incarnation, successors, 0)
        # The append may reach the log late, even after its writer crashed.
        self.simulation.schedule(
            self.simulation.rng.random() * 1.0,
            lambda: self.simulation.log.append(claim),
        )

    def request_promises(self) -> None:
        """Ask all promisers, as a candidate or a holder whose lease expires soon."""
        latest = self.table.get(RESOURCE)
        if not self.is_running() or latest is None:
            return
        if not self.machine.needs_promises(self.clock_s()):
            return
        sent_s = self.clock_s()
        for name in self.machine.promisers():
            if self.simulation.rng.random() < 0.1:
                continue
            peer = self.simulation.members[name]
            self.simulation.schedule(
                self.simulation.rng.random() * 0.2,
                lambda peer=peer: peer.run_when_running(
                    lambda: self.grant_promise_to_self(peer, latest.offset, sent_s)
                ),
            )

    def grant_promise_to_self(
        self, peer: "SimulatedMember", fencing: int, sent_s: float
    ) -> None:
        """Let a peer grant a promise if it may, and record it here later."""
        if not peer.machine.grant_promise(self.name, fencing, peer.clock_s()):
            return
        self.simulation.schedule(
            self.simulation.rng.random() * 0.2,
            lambda: self.run_when_running(
                lambda: self.machine.record_promise(
                    peer.name, fencing, sent_s + LEASE_S, self.clock_s()
                )
            ),
        )

    def pause(self) -> None:
        """Pause for a while, often for longer than a lease."""
        self.paused_until_s = (
            self.simulation.now_s + self.simulation.rng.random() * 3 * LEASE_S
        )

    def disconnect_log(self) -> None:
        """Lose the connection to the log for a while."""
        self.log_unreachable_until_s = (
            self.simulation.now_s + self.simulation.rng.random() * 3 * LEASE_S
        )

    def crash(self) -> None:
        """End, as seen by the others; a new process may start on the VM."""
        restarted = SimulatedMember(
            self.name, self.incarnation_number + 1, self.simulation
        )
        self.simulation.members[self.name] = restarted
        if self.simulation.rng.random() < 0.5:
            restarted.paused_until_s = float("inf")
        else:
            restarted.tick()


class SingleHolderTest(ApricotTest):
    """Random interleavings; the simulation itself counts the members that act."""

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_at_most_one_member_acts(self, seed):
        """This holds whatever is delayed, paused, disconnected or crashed."""
        simulation = Simulation(seed)
        simulation.run(until_s=60.0)

    def test_interim_holders_act_in_simulations(self):
        """The property test would not cover interim holders if none ever acted."""
        simulations = [Simulation(seed) for seed in range(60)]
        for simulation in simulations:
            simulation.run(until_s=60.0)
        self.assertGreater(sum(s.interim_count for s in simulations), 100)

    def test_members_act_in_simulations(self):
        """The property test would check nothing if no member ever acted."""
        simulations = [Simulation(seed) for seed in range(20)]
        for simulation in simulations:
            simulation.run(until_s=60.0)
        self.assertGreater(sum(s.acting_count for s in simulations), 1000)
