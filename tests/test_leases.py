"""Leases: at no moment may two members act as the holder of one resource."""

import heapq
import itertools
import random

from hypothesis import given, strategies as st
from parameterized import parameterized
from returns.result import Success

from apricotquay.buckets import ShardBuckets
from apricotquay.charts import load_chart
from apricotquay.ids import Incarnation, MemberId, ResourceName
from apricotquay.leases import LatestClaim, LeaseKeeper, LeaseState, LeaseTable
from apricotquay.records import Claim

from .base import PROPERTY, ApricotTest

LEASE_S = 2.0
RATE = 3.0
BURST = 5
RESOURCE = ResourceName("rate-0")
CHART = load_chart("lease")


def claim_of(holder: str, *successors: str) -> Claim:
    """Return a claim of the resource by a member's first process."""
    return Claim(
        RESOURCE,
        -1,
        MemberId(holder),
        Incarnation(f"{holder}/0"),
        [MemberId(s) for s in successors],
        0,
    )


def keeper_of(member: str) -> LeaseKeeper:
    """Return the keeper of a member's first process."""
    return LeaseKeeper(
        RESOURCE, MemberId(member), Incarnation(f"{member}/0"), LEASE_S, CHART
    )


class LeaseKeeperTest(ApricotTest):
    """Single steps of a keeper."""

    def holder(self) -> LeaseKeeper:
        """Return a keeper that holds with successors b and c, since time 0."""
        keeper = keeper_of("a")
        keeper.see_claim(
            LatestClaim(0, claim_of("a", "b", "c")), 0.0, no_predecessor=True
        )
        keeper.confirm_read(0.0)
        return keeper

    def test_first_claim_ever_acts_at_once(self):
        """Nobody can have held before."""
        self.assertTrue(self.holder().may_act(0.1))

    def test_nobody_rivals_before_the_first_claim(self):
        """A daemon asks that at each tick, also before it has read anything."""
        self.assertEqual([], keeper_of("a").rivals(0.0))

    def test_older_claim_whose_successor_never_acted_is_a_rival(self):
        """Its holder may still act by its lease, though the newer one is gone."""
        keeper = keeper_of("c")
        keeper.see_claim(
            LatestClaim(0, claim_of("a", "b", "c")), 0.0, no_predecessor=True
        )
        keeper.see_claim(
            LatestClaim(1, claim_of("b", "c", "a")), 1.0, no_predecessor=False
        )
        keeper.see_claim(
            LatestClaim(2, claim_of("c", "a", "b")), 1.5, no_predecessor=False
        )
        self.assertEqual(["a", "b"], [c.holder for c in keeper.rivals(1.6)])
        self.assertEqual(["b"], [c.holder for c in keeper.rivals(3.2)])

    def test_claim_after_another_waits_longer_than_a_lease(self):
        """The earlier holder may act for one lease after its last read."""
        keeper = keeper_of("b")
        keeper.see_claim(LatestClaim(0, claim_of("a", "b")), 0.0, no_predecessor=True)
        keeper.see_claim(LatestClaim(1, claim_of("b", "a")), 1.0, no_predecessor=False)
        keeper.confirm_read(3.0)
        self.assertFalse(keeper.may_act(1.0 + LEASE_S))
        self.assertTrue(keeper.may_act(1.0 + LEASE_S * 1.06))

    def test_right_ends_without_reads(self):
        """A holder that hears nothing stops after one lease."""
        keeper = self.holder()
        self.assertTrue(keeper.may_act(LEASE_S - 0.01))
        self.assertFalse(keeper.may_act(LEASE_S))
        self.assertIs(LeaseState.LAPSED, keeper.state)

    def test_promises_of_all_successors_extend_the_right(self):
        """A log outage stops no holder that reaches its successors."""
        keeper = self.holder()
        keeper.take_promise(MemberId("b"), 0, 3.0, 1.5)
        keeper.take_promise(MemberId("c"), 0, 2.5, 1.5)
        self.assertTrue(keeper.may_act(2.4))
        self.assertFalse(keeper.may_act(2.5))

    def test_one_missing_promise_extends_nothing(self):
        """The silent successor may be the one that claims."""
        keeper = self.holder()
        keeper.take_promise(MemberId("b"), 0, 9.0, 1.5)
        self.assertFalse(keeper.may_act(LEASE_S))

    def test_successor_that_is_gone_needs_no_promise(self):
        """A process that ended claims nothing."""
        keeper = self.holder()
        keeper.take_promise(MemberId("b"), 0, 3.0, 1.5)
        keeper.see_gone(MemberId("c"), 1.6)
        self.assertTrue(keeper.may_act(2.9))

    def test_promise_does_not_revive_a_right_that_ended(self):
        """Another may have acted in between."""
        keeper = self.holder()
        self.assertFalse(keeper.may_act(LEASE_S + 0.1))
        keeper.take_promise(MemberId("b"), 0, 9.0, LEASE_S + 0.2)
        keeper.take_promise(MemberId("c"), 0, 9.0, LEASE_S + 0.2)
        self.assertFalse(keeper.may_act(LEASE_S + 0.3))

    def test_read_without_newer_claim_revives(self):
        """Nobody has claimed, so nobody has acted in between."""
        keeper = self.holder()
        self.assertFalse(keeper.may_act(5.0))
        keeper.confirm_read(6.0)
        self.assertTrue(keeper.may_act(6.1))

    def test_promise_for_another_fencing_number_counts_not(self):
        """It was made for an older claim."""
        keeper = self.holder()
        keeper.take_promise(MemberId("b"), 7, 9.0, 1.0)
        keeper.take_promise(MemberId("c"), 7, 9.0, 1.0)
        self.assertFalse(keeper.may_act(LEASE_S))

    def test_newer_claim_of_another_ends_the_right(self):
        """The newest claim in the log holds."""
        keeper = self.holder()
        keeper.see_claim(LatestClaim(5, claim_of("b", "a")), 0.5, no_predecessor=False)
        self.assertFalse(keeper.may_act(0.6))

    def test_renewed_claim_keeps_the_right(self):
        """The same process stays the holder under its newer number."""
        keeper = self.holder()
        keeper.see_claim(LatestClaim(5, claim_of("a", "d")), 0.5, no_predecessor=False)
        keeper.confirm_read(0.6)
        self.assertTrue(keeper.may_act(0.7))
        self.assertEqual(5, keeper.fencing)

    @parameterized.expand([("handed over", True), ("kept", False)])
    def test_hand_over_ends_the_right_for_good(self, _name, handed_over):
        """No read and no promise brings it back under this claim."""
        keeper = self.holder()
        if handed_over:
            keeper.hand_over()
        keeper.confirm_read(1.0)
        self.assertEqual(not handed_over, keeper.may_act(1.1))


class World:
    """Members, a log and messages in virtual time, driven by one seed.

    Members read with delay, lose answers, pause, die and start again, are cut
    off from the log or from each other, and their clocks run a little apart.
    """

    NAMES = ("a", "b", "c", "d")

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.log: list[Claim] = []
        self.events: list = []
        self.order = itertools.count()
        self.actors = {name: Actor(name, 0, self) for name in self.NAMES}
        self.grants_s: list[float] = []
        self.acted = 0
        self.interim = 0

    def later(self, delay_s: float, task) -> None:
        """Do something later."""
        at_s = self.now_s + delay_s
        heapq.heappush(self.events, (at_s, next(self.order), task))

    def run(self, until_s: float) -> None:
        """Run, and check after each event that one member acts at most.

        Who acts grants all it can; the judge counts the grants of all.
        """
        for actor in self.actors.values():
            actor.tick()
        self.later(0.0, self.fault)
        while self.events and self.now_s < until_s:
            at_s, _, task = heapq.heappop(self.events)
            self.now_s = max(self.now_s, at_s)
            task()
            acting = [a for a in self.actors.values() if a.acts()]
            self.acted += len(acting)
            interim = [a for a in acting if a.keeper.state is LeaseState.INTERIM]
            self.interim += len(interim)
            names = [a.name for a in acting]
            assert len(acting) <= 1, f"{names} act at {self.now_s}: {self.log}"
            for actor in acting:
                self.grant_all(actor)

    def grant_all(self, actor: "Actor") -> None:
        """Grant until the actor's bucket is empty; count against the promise."""
        while True:
            now_s = actor.clock_s()
            if not isinstance(actor.buckets.take("t", RATE, BURST, now_s), Success):
                return
            self.grants_s.append(self.now_s)
            for back in (BURST + 1, 2 * BURST, 5 * BURST, 20 * BURST):
                self.check_window(back)

    def check_window(self, count: int) -> None:
        """No window of so many grants is too short for rate and burst."""
        if len(self.grants_s) < count:
            return
        window_s = self.now_s - self.grants_s[-count]
        # The members' clocks are allowed to run 2 in 100 fast.
        allowed = BURST + RATE * 1.02 * window_s
        assert count <= allowed + 1e-6, f"{count} grants in {window_s} s: {self.log}"

    def runs(self, name: str) -> bool:
        """Whether a member's VM has a process at all."""
        return self.actors[name].paused_until_s != float("inf")

    def fault(self) -> None:
        """Let something go wrong, now and then for several members at once."""
        self.later(self.rng.random() * 2 * LEASE_S, self.fault)
        kind = self.rng.choices(("cut", "pause", "die"), (6, 3, 1))[0]
        count = 1 if kind == "die" else self.rng.randint(1, 3)
        for name in self.rng.sample(self.NAMES, count):
            getattr(self.actors[name], kind)()


class Actor:
    """One member's process in the world."""

    def __init__(self, name: str, number: int, world: World) -> None:
        self.name = name
        self.world = world
        self.number = number
        self.incarnation = Incarnation(f"{name}/{number}")
        # Clocks run apart by up to 2 in 100, under the drift that is allowed.
        self.rate = 1.0 + world.rng.uniform(-0.02, 0.02)
        self.keeper = LeaseKeeper(
            RESOURCE, MemberId(name), self.incarnation, LEASE_S, CHART, self.clock_s()
        )
        self.buckets: ShardBuckets | None = None
        self.term = 0
        self.table = LeaseTable()
        self.position = 0
        self.read_any = False
        self.paused_until_s = 0.0
        self.cut_until_s = 0.0

    def tick(self) -> None:
        """Read, ask for promises, and claim now and then; as long as this runs."""
        if self.world.actors[self.name] is not self:
            return
        self.world.later(0.2 + self.world.rng.random() * 0.2, self.tick)
        if self.awake():
            self.read()
            self.use_proofs()
            self.ask()
            if self.world.rng.random() < 0.1:
                self.claim()

    def ended(self, claim: Claim) -> bool:
        """Whether a claim's process surely runs no more."""
        return self.world.actors[claim.holder].incarnation != claim.incarnation

    def use_proofs(self) -> None:
        """Start at once after a holder that ended, or seek to act in its place."""
        held = self.table.get(RESOURCE)
        if held is None:
            return
        alone = all(self.ended(c) for c in self.keeper.rivals(self.clock_s()))
        if alone:
            self.keeper.see_predecessor_gone(self.clock_s())
        first = [n for n in held.claim.successors if self.world.runs(n)][:1]
        wanted = alone and first == [self.name]
        self.keeper.seek(wanted and self.world.rng.random() < 0.9, self.clock_s())
        for name in self.keeper.promisers():
            if self.world.runs(name):
                self.keeper.see_alive(name)
            else:
                self.keeper.see_gone(name, self.clock_s())

    def clock_s(self) -> float:
        """Return this member's own time."""
        return self.world.now_s * self.rate

    def awake(self) -> bool:
        """Whether this process is the current one and runs."""
        current = self.world.actors[self.name] is self
        return current and self.world.now_s >= self.paused_until_s

    def when_awake(self, task) -> None:
        """Do something as soon as the process runs; never if it died."""
        if self.world.actors[self.name] is not self:
            return
        if self.awake():
            task()
            return
        self.world.later(self.paused_until_s - self.world.now_s + 0.001, task)

    def acts(self) -> bool:
        """Whether the member would act as holder now, with buckets as it keeps."""
        if not self.awake():
            return False
        acts = self.keeper.may_act(self.clock_s())
        if acts and self.term != self.keeper.term:
            self.term = self.keeper.term
            self.buckets = ShardBuckets(
                self.keeper.active_since_s, self.keeper.is_first_ever
            )
        return acts

    def read(self) -> None:
        """Read the log; the answer is made and arrives a little later."""
        if not self.awake() or self.world.now_s < self.cut_until_s:
            return
        sent_s = self.clock_s()
        delay_s = self.world.rng.random() * 0.3

        def make_answer() -> None:
            entries = list(enumerate(self.world.log))[self.position :]
            self.world.later(
                self.world.rng.random() * 0.3,
                lambda: self.when_awake(lambda: self.take(entries, sent_s)),
            )

        self.world.later(delay_s, make_answer)

    def take(self, entries: list, sent_s: float) -> None:
        """Take in an answer of the log."""
        for offset, claim in entries:
            if offset < self.position:
                continue
            before = self.table.get(RESOURCE)
            self.position = offset + 1
            if not self.table.apply(offset, claim):
                continue
            self.keeper.see_claim(
                LatestClaim(offset, claim),
                self.clock_s(),
                no_predecessor=before is None,
            )
        self.read_any = True
        self.keeper.confirm_read(sent_s)

    def claim(self) -> None:
        """Claim as the limiter does: as a successor, with inherited successors."""
        if not self.awake() or not self.read_any or self.world.now_s < self.cut_until_s:
            return
        held = self.table.get(RESOURCE)
        if self.keeper.is_own(held):
            return
        if held is None:
            successors = [n for n in self.world.NAMES if n != self.name][:2]
        elif self.name in held.claim.successors or held.claim.holder == self.name:
            inherited = [*held.claim.successors, held.claim.holder]
            successors = [n for n in inherited if n != self.name]
        else:
            return
        fencing = held.offset if held else -1
        claim = Claim(RESOURCE, fencing, self.name, self.incarnation, successors, 0)
        # The append may land late, also after its writer has died.
        self.world.later(
            self.world.rng.random() * 1.0, lambda: self.world.log.append(claim)
        )

    def ask(self) -> None:
        """Ask every successor for a promise, as a holder whose right ends soon."""
        held = self.table.get(RESOURCE)
        if not self.awake() or held is None:
            return
        if not self.keeper.needs_promises(self.clock_s()):
            return
        sent_s = self.clock_s()
        for name in self.keeper.promisers():
            if self.world.rng.random() < 0.1:
                continue
            peer = self.world.actors[name]
            self.world.later(
                self.world.rng.random() * 0.2,
                lambda peer=peer: peer.when_awake(
                    lambda: self.answer(peer, held.offset, sent_s)
                ),
            )

    def answer(self, peer: "Actor", fencing: int, sent_s: float) -> None:
        """Let a peer promise, if it may."""
        if not peer.keeper.give_promise(self.name, fencing, peer.clock_s()):
            return
        self.world.later(
            self.world.rng.random() * 0.2,
            lambda: self.when_awake(
                lambda: self.keeper.take_promise(
                    peer.name, fencing, sent_s + LEASE_S, self.clock_s()
                )
            ),
        )

    def pause(self) -> None:
        """Freeze for a while, often for longer than a lease."""
        self.paused_until_s = self.world.now_s + self.world.rng.random() * 3 * LEASE_S

    def cut(self) -> None:
        """Be cut off from the log for a while."""
        self.cut_until_s = self.world.now_s + self.world.rng.random() * 3 * LEASE_S

    def die(self) -> None:
        """End; the others see it, and a new process may start on the VM."""
        fresh = Actor(self.name, self.number + 1, self.world)
        self.world.actors[self.name] = fresh
        if self.world.rng.random() < 0.5:
            fresh.paused_until_s = float("inf")
        else:
            fresh.tick()


class OneHolderTest(ApricotTest):
    """Random interleavings; the judge counts who acts, not what the code thinks."""

    @PROPERTY
    @given(st.integers(0, 2**32))
    def test_at_most_one_member_acts(self, seed):
        """Whatever is delayed, paused, cut off or killed."""
        world = World(seed)
        world.run(until_s=60.0)

    def test_interim_holders_do_act(self):
        """The search would miss them if none ever acted."""
        worlds = [World(seed) for seed in range(60)]
        for world in worlds:
            world.run(until_s=60.0)
        self.assertGreater(sum(world.interim for world in worlds), 100)

    def test_members_do_act(self):
        """The search would be empty if nobody ever held the lease."""
        worlds = [World(seed) for seed in range(20)]
        for world in worlds:
            world.run(until_s=60.0)
        self.assertGreater(sum(world.acted for world in worlds), 1000)
