"""The slot table of a service: order, revocation, refusal and random loads."""

import random

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.endpointslots import EndpointProfile, EndpointStatus
from apricotquay.serving.slots.tickets import (
    Granted,
    Refused,
    Revoked,
    Ticket,
    TicketId,
    Work,
)
from bench.queueing import Policy, QueueingModel
from bench.workloads import Deployment, Disturbance, generate_workload

from .base import ApricotTest

MANY_TICKETS = 16


def online(
    name: str, due_s: float = 0.3, slot_deadline_s: float = 5.0, **fields
) -> Ticket:
    """Return an online ticket."""
    return Ticket(TicketId(name), Work.ONLINE, due_s, slot_deadline_s, **fields)


def batch(name: str, due_s: float) -> Ticket:
    """Return a batch ticket."""
    return Ticket(TicketId(name), Work.BATCH, due_s, due_s + 3600)


def table(**slots: int) -> Dispatcher:
    """Return a dispatcher with endpoints by name."""
    dispatcher = Dispatcher(seed=1)
    dispatcher.set_endpoints({EndpointId(k): v for k, v in slots.items()}, 0.0)
    return dispatcher


class DispatcherTest(ApricotTest):
    """Single decisions of a dispatcher."""

    def test_requests_spread_over_the_emptiest_endpoints(self):
        """Four requests and two endpoints: two requests each."""
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

    def test_batch_item_with_most_slack_is_revoked_first(self):
        """An online request without a free slot preempts one batch item."""
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
        """The item that is due first is granted first."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("busy"), 0.0)
        dispatcher.request_slot(batch("late", 9.0), 0.0)
        dispatcher.request_slot(batch("early", 5.0), 0.0)
        decisions = dispatcher.release(TicketId("busy"), 1.0)
        self.assertEqual([Granted(TicketId("early"), EndpointId("a"))], decisions)

    def test_failed_endpoints_are_avoided(self):
        """A retry uses another endpoint or waits, without blocking other tickets."""
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

    def test_request_that_cannot_be_in_time_is_refused_at_once(self):
        """With a long queue the caller is told the wait instead of kept waiting."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        for number in range(10):
            dispatcher.request_slot(online(f"w{number}", slot_deadline_s=100.0), 0.0)
        decisions = dispatcher.request_slot(online("late", slot_deadline_s=1.0), 0.0)
        self.assertIsInstance(decisions[0], Refused)
        self.assertGreater(decisions[0].wait_s, 1.0)

    def test_requests_that_would_hand_their_slot_over_lengthen_no_wait(self):
        """Each of them frees a slot when it gets one, so no one is refused for them."""
        dispatcher = table(a=2, b=2)
        for number in range(4):
            dispatcher.request_slot(online(f"t{number}"), 0.0)
        for number in range(40):
            ticket = online(f"h{number}", holds_slot=True)
            self.assertEqual([], dispatcher.request_slot(ticket, 1.0))
        new = online("new", due_s=2.0, slot_deadline_s=2.8)
        self.assertEqual([], dispatcher.request_slot(new, 1.0))

    def test_waiting_request_is_refused_at_its_slot_deadline(self):
        """The request is not kept waiting until its caller gives up."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        dispatcher.request_slot(online("waiting", slot_deadline_s=1.0), 0.0)
        self.assertEqual([], dispatcher.tick(0.9))
        self.assertIsInstance(dispatcher.tick(1.0)[0], Refused)

    def test_leaving_endpoint_gets_no_new_work(self):
        """Requests that already run there finish there."""
        dispatcher = table(a=2)
        dispatcher.request_slot(online("t1"), 0.0)
        dispatcher.set_endpoints({}, 0.1)
        self.assertEqual([], dispatcher.request_slot(online("t2"), 0.2))
        self.assertEqual([], dispatcher.release(TicketId("t1"), 0.3))

    def test_slots_granted_by_another_table_are_counted(self):
        """A new owner is told which requests already run."""
        dispatcher = table(a=1, b=1)
        dispatcher.record_grant(online("held"), EndpointId("a"), 0.0)
        decisions = dispatcher.request_slot(online("t1"), 0.1)
        self.assertEqual([Granted(TicketId("t1"), EndpointId("b"))], decisions)


class OverloadTest(ApricotTest):
    """What is served when there are too few slots."""

    def test_request_that_can_be_in_time_goes_before_one_that_is_late(self):
        """Serving the late one first would make both late."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        dispatcher.request_slot(online("old", due_s=0.3), 0.0)
        dispatcher.request_slot(online("new", due_s=0.9), 0.6)
        decisions = dispatcher.release(TicketId("running"), 0.7)
        self.assertEqual([Granted(TicketId("new"), EndpointId("a"))], decisions)

    def test_item_that_can_be_in_time_goes_before_one_that_cannot(self):
        """The late item runs when a slot is free."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        for name, due_s in (("hopeless", 3.0), ("feasible", 9.0)):
            dispatcher.request_slot(
                Ticket(
                    TicketId(name), Work.BATCH, due_s, 3600.0, expected_duration_s=4.0
                ),
                0.0,
            )
        decisions = dispatcher.release(TicketId("running"), 0.7)
        self.assertEqual([Granted(TicketId("feasible"), EndpointId("a"))], decisions)
        decisions = dispatcher.release(TicketId("feasible"), 4.7)
        self.assertEqual([Granted(TicketId("hopeless"), EndpointId("a"))], decisions)

    def test_late_item_is_revoked_first(self):
        """The item with the most slack follows."""
        dispatcher = table(a=3)
        for name, due_s in (("late", 2.0), ("tight", 5.0), ("loose", 9.0)):
            dispatcher.request_slot(
                Ticket(
                    TicketId(name), Work.BATCH, due_s, 3600.0, expected_duration_s=4.0
                ),
                0.0,
            )
        first = dispatcher.request_slot(online("o1"), 0.1)
        self.assertEqual([Revoked(TicketId("late"))], first)
        second = dispatcher.request_slot(online("o2"), 0.1)
        self.assertEqual([Revoked(TicketId("loose"))], second)

    def test_refused_callers_get_staggered_retry_times(self):
        """Equal retry times would make them compete for the same slot."""
        dispatcher = table(a=1)
        dispatcher.request_slot(online("running"), 0.0)
        dispatcher.request_slot(online("waiting"), 0.0)
        waits = [
            dispatcher.request_slot(online(f"r{n}", slot_deadline_s=1.0), 0.0)[0].wait_s
            for n in range(3)
        ]
        self.assertEqual(sorted(set(waits)), waits)

    @parameterized.expand([("x2.5", 2.5, 0.8), ("x1.6", 1.6, 0.95)])
    def test_burst_beyond_the_slots_is_mostly_served_in_time(self, _name, x, share):
        """Measured as the value of the answers in the model of engines and callers."""
        disturbance = Disturbance("burst", online_factor=x)
        load = generate_workload(Deployment(), disturbance, 1)
        model = QueueingModel(Deployment(), load, Policy("in time first"), 1)
        model.run()
        self.assertGreater(model.value_share(Work.ONLINE), share)

    def test_jobs_beyond_the_slots_use_all_slots_for_items_in_time(self):
        """Four times the jobs: three quarters of the items' value, not half."""
        load = generate_workload(Deployment(), Disturbance("jobs", jobs_factor=4.0), 1)
        model = QueueingModel(Deployment(), load, Policy("in time first"), 1)
        model.run()
        self.assertGreater(model.value_share(Work.BATCH), 0.7)
        self.assertGreater(model.value_share(Work.ONLINE), 0.99)


class CountingDispatcher(Dispatcher):
    """Counts how often a ticket is ranked."""

    rank_calls = 0

    def _rank(self, ticket, now_s):
        self.rank_calls += 1
        return super()._rank(ticket, now_s)


class DispatcherCostTest(ApricotTest):
    """The cost of an event: the owner of a large service has thousands a second."""

    def test_waiting_items_are_not_scanned_while_all_slots_are_taken(self):
        """This also holds for items that avoid an endpoint."""
        dispatcher = CountingDispatcher(seed=1)
        names = [EndpointId(f"e{n}") for n in range(4)]
        dispatcher.set_endpoints(dict.fromkeys(names, 2), 0.0)
        for number in range(200):
            item = batch(f"b{number}", 50.0)
            item.avoid = frozenset({names[number % 4]})
            dispatcher.request_slot(item, 0.0)
        before = dispatcher.rank_calls
        dispatcher.request_slot(online("o"), 0.1)
        self.assertLess(dispatcher.rank_calls - before, 10)

    def test_skipped_items_are_limited(self):
        """Only some items that avoid the free endpoint are skipped at each event."""
        dispatcher = CountingDispatcher(seed=1)
        dispatcher.set_endpoints({EndpointId("a"): 1, EndpointId("b"): 0}, 0.0)
        for number in range(500):
            item = batch(f"b{number}", 50.0)
            item.avoid = frozenset({"a"})
            dispatcher.request_slot(item, 0.0)
        before = dispatcher.rank_calls
        decisions = dispatcher.request_slot(online("o"), 0.1)
        self.assertEqual([Granted(TicketId("o"), EndpointId("a"))], decisions)
        self.assertLess(dispatcher.rank_calls - before, 2 * MANY_TICKETS)

    @parameterized.expand(
        [
            ("one endpoint", [{"a"}] * 40),
            ("many sets", [{"a", f"x{n}"} for n in range(40)]),
        ]
    )
    def test_items_that_avoid_the_free_endpoint_hold_up_none_behind_them(
        self, _name, avoided
    ):
        """They are due first, and the other endpoint takes no items."""
        dispatcher = Dispatcher(seed=1)
        counts = {EndpointId("a"): 1, EndpointId("b"): 1}
        statuses = {EndpointId("b"): EndpointStatus.EJECTED}
        dispatcher.set_endpoints(counts, 0.0, statuses)
        for number, avoid in enumerate(avoided):
            item = batch(f"b{number}", 50.0)
            item.avoid = frozenset(avoid)
            self.assertEqual([], dispatcher.request_slot(item, 0.0))
        decisions = dispatcher.request_slot(batch("last", 60.0), 0.0)
        self.assertEqual([Granted(TicketId("last"), EndpointId("a"))], decisions)

    @parameterized.expand([(EndpointStatus.PROBATION,), (EndpointStatus.EJECTED,)])
    def test_endpoint_ejected_or_on_probation_gets_online_requests_last(self, status):
        """Free slots elsewhere and slots of revocable batch items go first."""
        dispatcher = table(a=1, b=1, c=1)
        a, b, c = (EndpointId(name) for name in "abc")
        dispatcher.request_slot(Ticket(TicketId("i"), Work.BATCH, 9.0, 99.0), 0.0)
        dispatcher.request_slot(Ticket(TicketId("i2"), Work.BATCH, 9.0, 99.0), 0.0)
        free = {a, b, c} - {dispatcher.endpoint_of(TicketId(n)) for n in ("i", "i2")}
        counts = dict.fromkeys((a, b, c), 1)
        dispatcher.set_endpoints(counts, 0.0, dict.fromkeys(free, status))
        for name in ("o1", "o2"):
            decisions = dispatcher.request_slot(online(name), 0.0)
            self.assertIsInstance(decisions[0], Revoked)
        third = dispatcher.request_slot(online("o3"), 0.0)
        # The longest-waiting request takes the free slot; the others get revoked ones.
        self.assertEqual([Granted(TicketId("o1"), *free)], third)

    @parameterized.expand([(EndpointStatus.PROBATION,), (EndpointStatus.EJECTED,)])
    def test_non_repeatable_request_waits_for_a_normal_endpoint(self, status):
        """A failure at another endpoint would lose the request."""
        dispatcher = table(a=1)
        a = EndpointId("a")
        dispatcher.set_endpoints({a: 1}, 0.0, {a: status})
        self.assertEqual(
            [], dispatcher.request_slot(online("once", may_repeat=False), 0.0)
        )
        granted = dispatcher.set_endpoints({a: 1}, 0.1)
        self.assertEqual([Granted(TicketId("once"), a)], granted)

    def test_ejected_endpoint_gets_no_batch_items(self):
        """Batch items can wait."""
        dispatcher = table(a=1)
        ejected = {EndpointId("a"): EndpointStatus.EJECTED}
        dispatcher.set_endpoints({EndpointId("a"): 1}, 0.0, ejected)
        self.assertEqual([], dispatcher.request_slot(batch("i", 9.0), 0.0))


class RandomHistoryTest(ApricotTest):
    """Random sequences of requests, releases and revocations."""

    @parameterized.expand([(seed,) for seed in range(30)])
    def test_no_endpoint_gets_more_than_its_slots(self, seed):
        """This holds for any order of requests, releases and revocations."""
        rng = random.Random(seed)
        dispatcher = Dispatcher(seed)
        counts = {EndpointId(f"e{n}"): rng.randint(1, 4) for n in range(4)}
        dispatcher.set_endpoints(counts, 0.0)
        granted: dict[TicketId, EndpointId] = {}
        asked: dict[TicketId, Ticket] = {}
        to_release: set[TicketId] = set()
        now_s = 0.0
        for step in range(400):
            now_s += rng.random() * 0.1
            if rng.random() < 0.55:
                make_ticket = online if rng.random() < 0.7 else batch
                ticket = make_ticket(f"t{step}", now_s + rng.random())
                ticket.slot_deadline_s = now_s + 3
                asked[ticket.id] = ticket
                decisions = dispatcher.request_slot(ticket, now_s)
            elif granted or to_release:
                ticket_id = rng.choice(sorted(to_release or granted))
                to_release.discard(ticket_id)
                granted.pop(ticket_id, None)
                decisions = dispatcher.release(ticket_id, now_s)
            else:
                decisions = dispatcher.tick(now_s)
            for decision in decisions:
                if isinstance(decision, Granted):
                    granted[decision.ticket] = decision.endpoint
                elif isinstance(decision, Revoked):
                    self.assertIs(Work.BATCH, asked[decision.ticket].work)
                    to_release.add(decision.ticket)
            for endpoint, count in counts.items():
                used = sum(1 for e in granted.values() if e == endpoint)
                self.assertLessEqual(used, count)
                self.assertEqual(used, dispatcher.running_at(endpoint))

    def test_online_burst_beside_batch_is_served_within_its_objective(self):
        """A burst of twice the usual load gets slots, since batch items are revoked."""
        dispatcher = table(**{f"e{n}": 8 for n in range(6)})
        waits = simulate_burst(
            dispatcher, online_per_s=60.0, hold_s=0.7, batch_items=40
        )
        self.assertLess(max(waits), 0.3)


def simulate_burst(
    dispatcher: Dispatcher, online_per_s: float, hold_s: float, batch_items: int
) -> list[float]:
    """Simulate a burst of two seconds in virtual time; return the online waits."""
    waits = []
    releases: list[tuple[float, TicketId]] = []
    requested_s: dict[TicketId, float] = {}

    def apply(decisions, now_s):
        for decision in decisions:
            if isinstance(decision, Granted):
                if decision.ticket in requested_s:
                    waits.append(now_s - requested_s[decision.ticket])
                    releases.append((now_s + hold_s, decision.ticket))
            elif isinstance(decision, Revoked):
                releases.append((now_s + 0.01, decision.ticket))

    for number in range(batch_items):
        apply(dispatcher.request_slot(batch(f"b{number}", 10.0 + number), 0.0), 0.0)
    now_s = 0.0
    count = 0
    while now_s < 2.0:
        now_s += 1 / online_per_s
        for entry in [r for r in releases if r[0] <= now_s]:
            releases.remove(entry)
            apply(dispatcher.release(entry[1], entry[0]), entry[0])
        ticket = online(f"o{count}", now_s + 0.3, now_s + 5.0)
        requested_s[ticket.id] = now_s
        count += 1
        apply(dispatcher.request_slot(ticket, now_s), now_s)
    return waits


class VersionTest(ApricotTest):
    """Tickets of streams under way, which need endpoints of one software version."""

    def table(self) -> Dispatcher:
        """Return a table of two endpoints with two slots each."""
        dispatcher = Dispatcher(seed=1)
        counts = {EndpointId("a"): 2, EndpointId("b"): 2}
        profiles = {
            EndpointId("a"): EndpointProfile("v1"),
            EndpointId("b"): EndpointProfile("v2"),
        }
        dispatcher.set_endpoints(counts, 0.0, profiles=profiles)
        return dispatcher

    def test_stream_waits_for_its_version_and_holds_no_other_up(self):
        """A free slot of another version is of no use to it."""
        table = self.table()
        for name in ("t1", "t2"):
            decisions = table.request_slot(online(name, version="v1"), 0.0)
            self.assertEqual([Granted(TicketId(name), EndpointId("a"))], decisions)
        for number in range(2 * MANY_TICKETS):
            ticket = online(f"w{number}", version="v1", holds_slot=True)
            self.assertEqual([], table.request_slot(ticket, 0.0))
        for name in ("u1", "u2"):
            decisions = table.request_slot(online(name, due_s=0.9), 0.1)
            self.assertEqual([Granted(TicketId(name), EndpointId("b"))], decisions)
        decisions = table.release(TicketId("t1"), 0.2)
        self.assertEqual([Granted(TicketId("w0"), EndpointId("a"))], decisions)

    def test_items_are_revoked_at_the_version_that_is_waited_for(self):
        """A slot of another version would not help."""
        table = self.table()
        for name, version in (("i1", "v2"), ("i2", "v2"), ("i3", "v1"), ("i4", "v1")):
            ticket = Ticket(TicketId(name), Work.BATCH, 9.0, 3600.0, version=version)
            table.request_slot(ticket, 0.0)
        decisions = table.request_slot(online("t", 1.0, version="v1"), 0.1)
        self.assertIn(decisions, [[Revoked(TicketId("i3"))], [Revoked(TicketId("i4"))]])

    @parameterized.expand(
        [
            ("another version there", "v2", "south", "south", True),
            ("the version elsewhere", "v1", "north", "south", True),
            ("the version there", "v1", "south", "south", False),
            ("any region", "v1", "north", "", False),
        ]
    )
    def test_ticket_does_not_wait_for_a_version_that_its_regions_lack(
        self, _name, version, region, wanted_region, is_refused
    ):
        """Its endpoint has left; what is left are full ones in two regions."""
        table = Dispatcher(seed=1)
        left = {
            EndpointId("a"): EndpointProfile(version, region=region),
            EndpointId("b"): EndpointProfile("v2", region="south"),
        }
        own = {EndpointId("c"): EndpointProfile("v1", region="south")}
        counts = dict.fromkeys(left | own, 1)
        table.set_endpoints(counts, 0.0, profiles=left | own)
        for name in "abc":
            table.request_slot(Ticket(TicketId(name), Work.BATCH, 9.0, 3600.0), 0.0)
        regions = frozenset({wanted_region} - {""})
        waiting = Ticket(
            TicketId("t"), Work.BATCH, 9.0, 3600.0, version="v1", regions=regions
        )
        self.assertEqual([], table.request_slot(waiting, 0.0))
        table.set_endpoints(dict.fromkeys(left, 1), 1.0, profiles=left)
        self.assertEqual(is_refused, bool(table.tick(1.0)))

    def test_tickets_of_all_versions_are_served_by_due_time(self):
        """Ten random tables: no ticket is left waiting while its version has a slot."""
        for seed in range(10):
            rng = random.Random(seed)
            table = self.table()
            left = {f"t{n}": rng.choice(["", "v1", "v2"]) for n in range(60)}
            running = []
            for name, version in left.items():
                due_s = rng.uniform(50, 60)
                ticket = online(name, due_s, 1e6, version=version)
                running += table.request_slot(ticket, 0.0)
            while running:
                granted = running.pop(0)
                version = left.pop(granted.ticket)
                endpoint = {"v1": "a", "v2": "b"}.get(version, granted.endpoint)
                self.assertEqual(endpoint, granted.endpoint)
                running += table.release(granted.ticket, 0.0)
            self.assertEqual({}, left)
