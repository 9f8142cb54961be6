"""The slot table of a service: order, revocation, refusal, random loads."""

import random

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.dispatch import (
    MAX_UNPLACED,
    Dispatcher,
    Granted,
    Refused,
    Revoked,
    Standing,
    Ticket,
    TicketId,
    Work,
)
from bench.loads import Deployment, Trouble, steady_load
from bench.queueing import Model, Policy

from .base import ApricotTest


def online(name: str, due_s: float = 0.3, latest_s: float = 5.0, **fields) -> Ticket:
    """Return an online ticket."""
    return Ticket(TicketId(name), Work.ONLINE, due_s, latest_s, **fields)


def batch(name: str, due_s: float) -> Ticket:
    """Return a batch ticket."""
    return Ticket(TicketId(name), Work.BATCH, due_s, due_s + 3600)


def table(**slots: int) -> Dispatcher:
    """Return a dispatcher with endpoints by name."""
    dispatcher = Dispatcher(seed=1)
    dispatcher.set_endpoints({EndpointId(k): v for k, v in slots.items()}, 0.0)
    return dispatcher


class DispatcherTest(ApricotTest):
    """Single decisions."""

    def test_requests_spread_over_the_emptiest_endpoints(self):
        """Four requests at two endpoints: two each."""
        dispatcher = table(a=4, b=4)
        for number in range(4):
            dispatcher.request_slot(online(f"t{number}"), 0.0)
        self.assertEqual(2, dispatcher.running_at(EndpointId("a")))
        self.assertEqual(2, dispatcher.running_at(EndpointId("b")))

    def test_online_goes_before_batch_that_waits_longer(self):
        """A free slot goes to the online request."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("first"), 0.0)
        dispatcher.request_slot(batch("item", 1.0), 0.0)
        dispatcher.request_slot(online("second", due_s=0.9), 0.1)
        decisions = dispatcher.release(TicketId("first"), 0.5)
        self.assertEqual([Granted(TicketId("second"), EndpointId("a"))], decisions)

    def test_batch_yields_the_latest_due_first(self):
        """An online request that finds no slot takes that of one batch item."""
        dispatcher = table(a=2)
        dispatcher.request_slot(batch("early", 5.0), 0.0)
        dispatcher.request_slot(batch("late", 9.0), 0.0)
        self.assertEqual(
            [Revoked(TicketId("late"))],
            dispatcher.request_slot(online("now", due_s=1.3), 1.0),
        )
        self.assertEqual(
            [Granted(TicketId("now"), EndpointId("a"))],
            dispatcher.release(TicketId("late"), 1.01),
        )

    def test_batch_is_granted_by_due_time(self):
        """The earliest due goes first."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("busy"), 0.0)
        dispatcher.request_slot(batch("late", 9.0), 0.0)
        dispatcher.request_slot(batch("early", 5.0), 0.0)
        decisions = dispatcher.release(TicketId("busy"), 1.0)
        self.assertEqual([Granted(TicketId("early"), EndpointId("a"))], decisions)

    def test_failed_endpoints_are_avoided(self):
        """A retry goes elsewhere, or waits, and does not hold up others."""
        dispatcher = table(a=1, b=1)
        dispatcher.request_slot(online("t1", avoid=frozenset({"a"})), 0.0)
        self.assertEqual(
            [], dispatcher.request_slot(online("t2", avoid=frozenset("b")), 0.0)[1:]
        )
        self.assertEqual(1, dispatcher.running_at(EndpointId("b")))
        dispatcher.release(TicketId("t2"), 0.1)
        self.assertEqual(
            [], dispatcher.request_slot(online("t3", avoid=frozenset("a")), 0.2)
        )
        decisions = dispatcher.request_slot(online("t4"), 0.2)
        self.assertEqual([Granted(TicketId("t4"), EndpointId("a"))], decisions)

    def test_hopeless_request_is_refused_at_once(self):
        """With a long queue the wait is told instead of waited out."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        for number in range(10):
            dispatcher.request_slot(online(f"w{number}", latest_s=100.0), 0.0)
        decisions = dispatcher.request_slot(online("late", latest_s=1.0), 0.0)
        self.assertIsInstance(decisions[0], Refused)
        self.assertGreater(decisions[0].wait_s, 1.0)

    def test_waiting_request_is_refused_when_its_time_is_up(self):
        """Not kept until its caller gives up."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        dispatcher.request_slot(online("waiting", latest_s=1.0), 0.0)
        self.assertEqual([], dispatcher.tick(0.9))
        self.assertIsInstance(dispatcher.tick(1.0)[0], Refused)

    def test_leaving_endpoint_gets_nothing_new(self):
        """What runs there ends there."""
        dispatcher = table(a=2)
        dispatcher.request_slot(online("t1"), 0.0)
        dispatcher.set_endpoints({}, 0.1)
        self.assertEqual([], dispatcher.request_slot(online("t2"), 0.2))
        self.assertEqual([], dispatcher.release(TicketId("t1"), 0.3))

    def test_slots_granted_by_another_table_count(self):
        """A new owner is told what runs already."""
        dispatcher = table(a=1, b=1)
        dispatcher.hold(online("held"), EndpointId("a"), 0.0)
        decisions = dispatcher.request_slot(online("t1"), 0.1)
        self.assertEqual([Granted(TicketId("t1"), EndpointId("b"))], decisions)


class OverloadTest(ApricotTest):
    """What is served when not all can be."""

    def test_request_that_can_be_in_time_goes_before_one_that_is_late(self):
        """Serving the late one first would make both late."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        dispatcher.request_slot(online("old", due_s=0.3), 0.0)
        dispatcher.request_slot(online("new", due_s=0.9), 0.6)
        decisions = dispatcher.release(TicketId("running"), 0.7)
        self.assertEqual([Granted(TicketId("new"), EndpointId("a"))], decisions)

    def test_item_that_can_be_in_time_goes_before_one_that_cannot(self):
        """The late one is run when there is room."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        for name, due_s in (("hopeless", 3.0), ("feasible", 9.0)):
            dispatcher.request_slot(
                Ticket(TicketId(name), Work.BATCH, due_s, 3600.0, needs_s=4.0), 0.0
            )
        decisions = dispatcher.release(TicketId("running"), 0.7)
        self.assertEqual([Granted(TicketId("feasible"), EndpointId("a"))], decisions)
        decisions = dispatcher.release(TicketId("feasible"), 4.7)
        self.assertEqual([Granted(TicketId("hopeless"), EndpointId("a"))], decisions)

    def test_item_that_is_late_anyway_yields_first(self):
        """Then the one with the most time left."""
        dispatcher = table(a=3)
        for name, due_s in (("late", 2.0), ("tight", 5.0), ("loose", 9.0)):
            dispatcher.request_slot(
                Ticket(TicketId(name), Work.BATCH, due_s, 3600.0, needs_s=4.0), 0.0
            )
        first = dispatcher.request_slot(online("o1"), 0.1)
        self.assertEqual([Revoked(TicketId("late"))], first)
        second = dispatcher.request_slot(online("o2"), 0.1)
        self.assertEqual([Revoked(TicketId("loose"))], second)

    def test_callers_are_told_to_come_back_one_after_the_other(self):
        """So that they find slots instead of each other."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        dispatcher.request_slot(online("waiting"), 0.0)
        waits = [
            dispatcher.request_slot(online(f"r{n}", latest_s=1.0), 0.0)[0].wait_s
            for n in range(3)
        ]
        self.assertEqual(sorted(set(waits)), waits)

    @parameterized.expand([("x2.5", 2.5, 0.8), ("x1.6", 1.6, 0.95)])
    def test_burst_beyond_the_slots_is_still_served_in_time(self, _name, x, share):
        """The worth of what callers get, by the model of engines and callers."""
        trouble = Trouble("burst", online_x=x)
        load = steady_load(Deployment(), trouble, 1)
        model = Model(Deployment(), load, Policy("in time first"), 1)
        model.play()
        self.assertGreater(model.shares(Work.ONLINE), share)

    def test_jobs_beyond_the_slots_are_done_in_time_as_far_as_slots_go(self):
        """Four times the jobs: three quarters of the items' worth, not half."""
        load = steady_load(Deployment(), Trouble("jobs", jobs_x=4.0), 1)
        model = Model(Deployment(), load, Policy("in time first"), 1)
        model.play()
        self.assertGreater(model.shares(Work.BATCH), 0.7)
        self.assertGreater(model.shares(Work.ONLINE), 0.99)


class CountingTable(Dispatcher):
    """Counts how often a ticket is looked at."""

    looked_at = 0

    def _rank(self, ticket, now_s):
        self.looked_at += 1
        return super()._rank(ticket, now_s)


class WorkOfATableTest(ApricotTest):
    """What an event costs: the owner of a large service has thousands a second."""

    def test_items_that_wait_are_not_looked_at_while_all_is_full(self):
        """Also where they avoid endpoints, of which none has room either."""
        dispatcher = CountingTable(seed=1)
        names = [EndpointId(f"e{n}") for n in range(4)]
        dispatcher.set_endpoints(dict.fromkeys(names, 2), 0.0)
        for number in range(200):
            item = batch(f"b{number}", 50.0)
            item.avoid = frozenset({names[number % 4]})
            dispatcher.request_slot(item, 0.0)
        before = dispatcher.looked_at
        dispatcher.request_slot(online("o"), 0.1)
        self.assertLess(dispatcher.looked_at - before, 10)

    def test_items_that_avoid_what_is_free_are_passed_over_up_to_a_limit(self):
        """The others behind them wait for the next slot."""
        dispatcher = CountingTable(seed=1)
        dispatcher.set_endpoints({EndpointId("a"): 1, EndpointId("b"): 0}, 0.0)
        for number in range(500):
            item = batch(f"b{number}", 50.0)
            item.avoid = frozenset({"a"})
            dispatcher.request_slot(item, 0.0)
        before = dispatcher.looked_at
        decisions = dispatcher.request_slot(online("o"), 0.1)
        self.assertEqual([Granted(TicketId("o"), EndpointId("a"))], decisions)
        self.assertLess(dispatcher.looked_at - before, 2 * MAX_UNPLACED)

    @parameterized.expand([(Standing.ON_TRIAL,), (Standing.RESTS,)])
    def test_endpoint_that_failed_gets_online_requests_last(self, standing):
        """After the others' room and that of items that can give way."""
        dispatcher = table(a=1, b=1, c=1)
        a, b, c = (EndpointId(name) for name in "abc")
        dispatcher.request_slot(Ticket(TicketId("i"), Work.BATCH, 9.0, 99.0), 0.0)
        dispatcher.request_slot(Ticket(TicketId("i2"), Work.BATCH, 9.0, 99.0), 0.0)
        free = {a, b, c} - {dispatcher.place_of(TicketId(n)) for n in ("i", "i2")}
        counts = dict.fromkeys((a, b, c), 1)
        dispatcher.set_endpoints(counts, 0.0, dict.fromkeys(free, standing))
        for name in ("o1", "o2"):
            decisions = dispatcher.request_slot(online(name), 0.0)
            self.assertIsInstance(decisions[0], Revoked)
        third = dispatcher.request_slot(online("o3"), 0.0)
        # The one that waits longest takes it; the others get what items give up.
        self.assertEqual([Granted(TicketId("o1"), *free)], third)

    @parameterized.expand([(Standing.ON_TRIAL,), (Standing.RESTS,)])
    def test_request_that_may_not_be_repeated_waits_for_a_sound_endpoint(
        self, standing
    ):
        """If it failed there, it would be lost."""
        dispatcher = table(a=1)
        a = EndpointId("a")
        dispatcher.set_endpoints({a: 1}, 0.0, {a: standing})
        self.assertEqual(
            [], dispatcher.request_slot(online("once", may_repeat=False), 0.0)
        )
        granted = dispatcher.set_endpoints({a: 1}, 0.1)
        self.assertEqual([Granted(TicketId("once"), a)], granted)

    def test_endpoint_that_rests_gets_no_items(self):
        """They can wait."""
        dispatcher = table(a=1)
        rests = {EndpointId("a"): Standing.RESTS}
        dispatcher.set_endpoints({EndpointId("a"): 1}, 0.0, rests)
        self.assertEqual([], dispatcher.request_slot(batch("i", 9.0), 0.0))


class RandomLoadTest(ApricotTest):
    """Whole histories."""

    @parameterized.expand([(seed,) for seed in range(30)])
    def test_no_endpoint_gets_more_than_its_slots(self, seed):
        """Over any order of asking, releasing, revoking and endpoints' changes."""
        rng = random.Random(seed)
        dispatcher = Dispatcher(seed)
        counts = {EndpointId(f"e{n}"): rng.randint(1, 4) for n in range(4)}
        dispatcher.set_endpoints(counts, 0.0)
        placed: dict[TicketId, EndpointId] = {}
        asked: dict[TicketId, Ticket] = {}
        to_release: set[TicketId] = set()
        now_s = 0.0
        for step in range(400):
            now_s += rng.random() * 0.1
            if rng.random() < 0.55:
                make = online if rng.random() < 0.7 else batch
                ticket = make(f"t{step}", now_s + rng.random())
                ticket.latest_s = now_s + 3
                asked[ticket.id] = ticket
                decisions = dispatcher.request_slot(ticket, now_s)
            elif placed or to_release:
                ticket_id = rng.choice(sorted(to_release or placed))
                to_release.discard(ticket_id)
                placed.pop(ticket_id, None)
                decisions = dispatcher.release(ticket_id, now_s)
            else:
                decisions = dispatcher.tick(now_s)
            for decision in decisions:
                if isinstance(decision, Granted):
                    placed[decision.ticket] = decision.endpoint
                elif isinstance(decision, Revoked):
                    self.assertIs(Work.BATCH, asked[decision.ticket].work)
                    to_release.add(decision.ticket)
            for endpoint, count in counts.items():
                used = sum(1 for e in placed.values() if e == endpoint)
                self.assertLessEqual(used, count)
                self.assertEqual(used, dispatcher.running_at(endpoint))

    def test_online_burst_beside_batch_is_served_within_its_objective(self):
        """A burst of twice the usual finds slots, since batch gives them up."""
        dispatcher = table(**{f"e{n}": 8 for n in range(6)})
        waits = play_load(dispatcher, online_per_s=60.0, hold_s=0.7, batch_items=40)
        self.assertLess(max(waits), 0.3)


def play_load(
    dispatcher: Dispatcher, online_per_s: float, hold_s: float, batch_items: int
) -> list[float]:
    """Play a burst of two seconds in virtual time; return the online waits."""
    waits = []
    releases: list[tuple[float, TicketId]] = []
    begun: dict[TicketId, float] = {}

    def take(decisions, now_s):
        for decision in decisions:
            if isinstance(decision, Granted):
                if decision.ticket in begun:
                    waits.append(now_s - begun[decision.ticket])
                    releases.append((now_s + hold_s, decision.ticket))
            elif isinstance(decision, Revoked):
                releases.append((now_s + 0.01, decision.ticket))

    for number in range(batch_items):
        take(dispatcher.request_slot(batch(f"b{number}", 10.0 + number), 0.0), 0.0)
    now_s = 0.0
    count = 0
    while now_s < 2.0:
        now_s += 1 / online_per_s
        for entry in [r for r in releases if r[0] <= now_s]:
            releases.remove(entry)
            take(dispatcher.release(entry[1], entry[0]), entry[0])
        ticket = online(f"o{count}", now_s + 0.3, now_s + 5.0)
        begun[ticket.id] = now_s
        count += 1
        take(dispatcher.request_slot(ticket, now_s), now_s)
    return waits
