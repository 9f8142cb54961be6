"""The order of service between priority classes and teams: single decisions."""

import random
from functools import partial
from unittest import mock

import msgspec
from hypothesis import given, settings, strategies as st
from parameterized import parameterized

from apricotquay.ids import EndpointId, TeamId
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.fairshares import FairShares
from apricotquay.serving.slots.teamaccounts import PriorityClass
from apricotquay.serving.slots.tickets import Granted, Refused, Ticket, TicketId, Work
from apricotquay.serving.slots.waitingline import SPARE_ENTRIES

from .base import ApricotTest
from .test_serving_dispatch import batch, online, table

FAR_S = 1000.0


def of_team(name: str, team: str, due_s: float = FAR_S, **fields) -> Ticket:
    """Return an online ticket of a team that can wait for long."""
    return online(name, due_s, 2 * FAR_S, team=TeamId(team), **fields)


def serve_all(dispatcher: Dispatcher, running: list[str], held_s=0.7) -> list[str]:
    """Release one slot after another; return the tickets in the order of service."""
    order: list[str] = []
    now_s = 0.0
    running = list(running)
    while running:
        now_s += held_s
        for decision in dispatcher.release(TicketId(running.pop(0)), now_s):
            if isinstance(decision, Granted):
                order.append(decision.ticket)
                running.append(decision.ticket)
    return order


class OrderTest(ApricotTest):
    """Who gets the next free slot."""

    @parameterized.expand(
        [
            ("a higher class first", "low", {"priority": 1}, "high", {}),
            ("the class before the deadline", "low", {"priority": 2}, "high", {}),
        ]
    )
    def test_lower_class_does_not_go_first(self, _name, low, fields, high, other):
        """The lower class waits longer and is due earlier."""
        dispatcher = table(a=1)
        dispatcher.request_slot(of_team("running", "x"), 0.0)
        dispatcher.request_slot(of_team(low, "x", 500.0, **fields), 0.0)
        dispatcher.request_slot(of_team(high, "y", 900.0, **other), 0.0)
        self.assertEqual([high, low], serve_all(dispatcher, ["running"]))

    def test_late_request_of_a_high_class_does_not_go_before_one_in_time(self):
        """Serving the late one first would make both late."""
        dispatcher = table(a=1)
        dispatcher.request_slot(of_team("running", "x"), 0.0)
        dispatcher.request_slot(of_team("late", "x", due_s=0.3), 0.0)
        dispatcher.request_slot(of_team("low", "x", due_s=90.0, priority=5), 0.0)
        self.assertEqual(["low", "late"], serve_all(dispatcher, ["running"]))

    def test_high_class_of_batch_items_does_not_go_before_online_requests(self):
        """The class orders within the kind of work."""
        dispatcher = table(a=1)
        dispatcher.request_slot(of_team("running", "x"), 0.0)
        dispatcher.request_slot(batch("item", 90.0), 0.0)
        dispatcher.request_slot(of_team("low", "x", priority=7), 0.0)
        self.assertEqual(["low", "item"], serve_all(dispatcher, ["running"]))

    def test_batch_items_of_a_low_class_are_served_beside_steady_higher_ones(self):
        """Batch items are not refused, so they would wait without an end."""
        dispatcher = table(a=1)
        dispatcher.request_slot(batch("high0", 900.0), 0.0)
        low = msgspec.structs.replace(batch("low", 900.0), priority=1)
        dispatcher.request_slot(low, 0.0)
        for number in range(1, 300):
            due_s = 900.0 + number
            dispatcher.request_slot(batch(f"high{number}", due_s), float(number))
            running = "low" if dispatcher.endpoint_of(low.id) else f"high{number - 1}"
            dispatcher.release(TicketId(running), number + 0.5)
        self.assertFalse(dispatcher.is_waiting(low.id))

    @parameterized.expand([("one class", 0), ("another class", 1)])
    def test_batch_items_are_served_by_due_time_whatever_their_teams(
        self, _name, priority
    ):
        """With shares all jobs that compete end late, where some could be in time."""
        dispatcher = table(a=1)
        dispatcher.request_slot(batch("r", 900.0), 0.0)
        for number in range(20):
            for team, weight, due_s in (("a", 3.0, 9_500.0), ("b", 1.0, 9_000.0)):
                ticket = msgspec.structs.replace(
                    batch(f"{team}{number}", due_s + number),
                    team=TeamId(team),
                    weight=weight,
                    priority=priority if team == "b" else 0,
                )
                dispatcher.request_slot(ticket, 0.0)
        order = serve_all(dispatcher, ["r"])[:40]
        expected = [f"b{n}" for n in range(20)] + [f"a{n}" for n in range(20)]
        self.assertEqual(expected, order)

    def test_team_that_sends_much_does_not_keep_the_next_slots(self):
        """It waits longer and is due earlier, and holds all slots."""
        dispatcher = table(a=4)
        for number in range(4):
            dispatcher.request_slot(of_team(f"r{number}", "large"), 0.0)
        for number in range(20):
            dispatcher.request_slot(of_team(f"l{number}", "large", 100.0), 0.0)
        for number in range(2):
            dispatcher.request_slot(of_team(f"s{number}", "small", 900.0), 0.0)
        order = serve_all(dispatcher, [f"r{n}" for n in range(4)])
        self.assertEqual(["s0", "s1"], order[:2])

    def test_single_team_is_served_by_deadline(self):
        """Its shares change nothing in the order among its own requests."""
        rng = random.Random(1)
        dispatcher = table(a=2)
        for name in ("r0", "r1"):
            dispatcher.request_slot(of_team(name, "x"), 0.0)
        due_s = {f"t{n}": rng.uniform(200.0, 900.0) for n in range(50)}
        for name, at_s in due_s.items():
            dispatcher.request_slot(of_team(name, "x", at_s), 0.0)
        self.assertEqual(
            sorted(due_s, key=due_s.get), serve_all(dispatcher, ["r0", "r1"])
        )

    @parameterized.expand([("equal", 1.0, 0.5), ("three to one", 3.0, 0.75)])
    def test_saturated_teams_get_slots_by_weight(self, _name, weight, share):
        """Neither gets more than its weight while both wait."""
        dispatcher = table(a=4)
        for number in range(4):
            dispatcher.request_slot(of_team(f"r{number}", "other"), 0.0)
        for number in range(300):
            dispatcher.request_slot(of_team(f"a{number}", "a", weight=weight), 0.0)
            dispatcher.request_slot(of_team(f"b{number}", "b"), 0.0)
        order = serve_all(dispatcher, [f"r{n}" for n in range(4)])[:200]
        of_a = sum(1 for name in order if name.startswith("a"))
        self.assertAlmostEqual(share, of_a / len(order), delta=0.05)

    def test_shares_are_of_slot_time_and_not_of_requests(self):
        """A team whose streams take three times as long gets a third as many."""
        dispatcher = table(a=8)
        for number in range(400):
            dispatcher.request_slot(of_team(f"l{number}", "long"), 0.0)
            dispatcher.request_slot(of_team(f"s{number}", "short"), 0.0)
        length_s = {"l": 3.0, "s": 1.0}
        used_s = dict.fromkeys(length_s, 0.0)
        running = [
            (length_s[name[0]], name)
            for name in (f"{kind}{n}" for kind in "ls" for n in range(400))
            if dispatcher.endpoint_of(TicketId(name)) is not None
        ]
        while max(used_s.values()) < 400.0:
            running.sort()
            now_s, name = running.pop(0)
            used_s[name[0]] += length_s[name[0]]
            for decision in dispatcher.release(TicketId(name), now_s):
                end_s = now_s + length_s[decision.ticket[0]]
                running.append((end_s, decision.ticket))
        self.assertAlmostEqual(1.0, used_s["l"] / used_s["s"], delta=0.15)

    @parameterized.expand(
        [("many teams", 80, 1), ("two teams", 2, 1), ("several endpoints", 5, 3)]
    )
    def test_tickets_without_a_team_are_neither_shut_out_nor_preferred(
        self, _name, teams, endpoints
    ):
        """They count as one team in an upgrade, when half of all have none."""
        slots = 8 // endpoints
        dispatcher = table(**{f"e{n}": slots for n in range(endpoints)})
        running = [f"r{number}" for number in range(slots * endpoints)]
        for name in running:
            dispatcher.request_slot(of_team(name, "x"), 0.0)
        for number in range(400):
            team = f"team{number % teams}"
            due_s = 500.0 + number / 10
            dispatcher.request_slot(of_team(f"n{number}", team, due_s), 0.0)
            dispatcher.request_slot(of_team(f"o{number}", "", due_s), 0.0)
        order = serve_all(dispatcher, running, held_s=0.1)[:400]
        without = sum(1 for name in order if name.startswith("o"))
        self.assertAlmostEqual(200, without, delta=20)

    def test_restricted_tickets_of_the_first_team_hold_no_others_up(self):
        """The team that would be next can only use the other endpoint."""
        dispatcher = table(a=1, b=1)
        a, b = EndpointId("a"), EndpointId("b")
        dispatcher.record_grant(of_team("ra", "large"), a, 0.0)
        dispatcher.record_grant(of_team("rb", "large"), b, 0.0)
        picky = of_team("picky", "small", avoid=frozenset({"a"}))
        dispatcher.request_slot(picky, 0.0)
        dispatcher.request_slot(of_team("any", "large"), 0.0)
        self.assertEqual(
            [Granted(TicketId("any"), a)], dispatcher.release(TicketId("ra"), 0.5)
        )
        self.assertEqual(
            [Granted(TicketId("picky"), b)], dispatcher.release(TicketId("rb"), 0.6)
        )

    def test_slots_known_from_peers_count_as_held(self):
        """A new owner is told what runs; its holder does not go first."""
        dispatcher = table(a=4)
        for number in range(4):
            ticket = of_team(f"held{number}", "large")
            dispatcher.record_grant(ticket, EndpointId("a"), 0.0)
        dispatcher.request_slot(of_team("l", "large", 100.0), 0.0)
        dispatcher.request_slot(of_team("s", "small", 900.0), 0.0)
        [decision] = dispatcher.release(TicketId("held0"), 0.5)
        self.assertEqual("s", decision.ticket)

    @parameterized.expand([(0.0,), (-3.0,), (float("nan"),), (float("inf"),)])
    def test_invalid_weight_of_a_peer_counts_as_the_default(self, weight):
        """It neither ends the process nor the service of others."""
        dispatcher = table(a=1)
        dispatcher.request_slot(of_team("r", "x"), 0.0)
        for number in range(10):
            dispatcher.request_slot(of_team(f"a{number}", "a", weight=weight), 0.0)
            dispatcher.request_slot(of_team(f"b{number}", "b"), 0.0)
        order = serve_all(dispatcher, ["r"])
        self.assertEqual(20, len(order))
        of_a = sum(1 for name in order[:10] if name.startswith("a"))
        self.assertAlmostEqual(5, of_a, delta=1)


class UnwalkableDict(dict):
    """A dictionary that allows look-ups only."""

    def __iter__(self):
        raise AssertionError("walked")

    items = values = keys = __iter__


class OrderCostTest(ApricotTest):
    """How much work the order of service takes."""

    @parameterized.expand(
        [
            ("late tickets", 600.0, lambda number: {}),
            ("restrictions", 0.5, lambda n: {"avoid": frozenset({"a", f"x{n}"})}),
        ]
    )
    def test_work_of_one_release_is_not_quadratic_in_the_teams(
        self, _name, now_s, fields_of
    ):
        """Sorting all teams for each ticket delayed all requests for seconds."""
        small = self._keys_computed(50, now_s, fields_of)
        large = self._keys_computed(200, now_s, fields_of)
        self.assertLess(large, 6 * small)

    def _keys_computed(self, teams: int, now_s: float, fields_of) -> int:
        dispatcher = table(a=1, b=1)
        endpoint_of = {}
        for name in ("r0", "r1"):
            [granted] = dispatcher.request_slot(of_team(name, "x"), 0.0)
            endpoint_of[granted.endpoint] = granted.ticket
        for number in range(teams):
            ticket = of_team(f"t{number}", f"t{number}", 500.0, **fields_of(number))
            dispatcher.request_slot(ticket, 0.0)
        key = PriorityClass.key
        with mock.patch.object(
            PriorityClass, "key", autospec=True, side_effect=key
        ) as keys:
            dispatcher.release(endpoint_of[EndpointId("a")], now_s)
        return keys.call_count

    @parameterized.expand([("of the class", 0), ("of a lower class", 1)])
    def test_refusal_does_not_walk_all_teams_for_its_share(self, _name, priority):
        """With thousands of teams each refusal delayed the others."""
        shares = FairShares()
        for number in range(9):
            ticket = of_team(f"t{number}", f"team{number}")
            (shares.add_waiting if number % 2 else partial(shares.grant, cost_s=0.7))(
                ticket
            )
        new = of_team("new", "team1", priority=priority)
        expected = shares.share(new)
        priority_class = shares._classes[Work.ONLINE, 0]
        priority_class.accounts = UnwalkableDict(priority_class.accounts)
        self.assertEqual(expected, shares.share(new))
        if priority:
            self.assertEqual(4, shares.ahead(new))

    def test_teams_are_served_by_deadline_after_all_became_late(self):
        """Moving tickets to the rank of the late ones does not change their order."""
        dispatcher = table(a=1)
        dispatcher.request_slot(of_team("r", "x"), 0.0)
        names = [f"t{number}" for number in range(9)]
        for number, name in enumerate(names):
            ticket = of_team(name, name, 0.5 - number / 100)
            dispatcher.request_slot(ticket, 0.0)
        self.assertEqual(names[::-1], serve_all(dispatcher, ["r"]))


class BoundedStateTest(ApricotTest):
    """What is kept of teams."""

    def test_idle_teams_are_forgotten(self):
        """A thousand teams came and went; one has work."""
        shares = FairShares()
        for number in range(1000):
            ticket = of_team(f"t{number}", f"team{number}")
            shares.add_waiting(ticket)
            shares.remove_waiting(ticket)
            shares.grant(ticket, 0.7)
            shares.release(ticket.id, 0.7)
        for number in range(100):
            ticket = of_team(f"u{number}", "busy")
            shares.grant(ticket, 0.7)
            shares.release(ticket.id, 0.7)
        self.assertLess(shares.team_count(), 100)

    def test_entries_of_departed_tickets_in_a_class_that_is_not_served_are_removed(
        self,
    ):
        """A class below one that takes all slots kept them for ever."""
        dispatcher = table(a=1)
        dispatcher.request_slot(of_team("running", "x"), 0.0)
        dispatcher.request_slot(of_team("first", "x"), 0.0)
        for number in range(500):
            low = of_team(f"l{number}", f"team{number % 9}", priority=1)
            dispatcher.request_slot(low, 0.0)
            dispatcher.release(low.id, 0.0)
        entries = [
            entry
            for classes in dispatcher._line._queues.values()
            for teams in classes.values()
            for queues in teams.values()
            for queue in queues.values()
            for entry in queue
        ]
        self.assertLessEqual(len(entries), 2 * dispatcher.waiting_count + SPARE_ENTRIES)
        self.assertEqual(["first"], serve_all(dispatcher, ["running"]))


class HistoryTest(ApricotTest):
    """Any history of requests and releases."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32), st.integers(1, 4), st.integers(1, 5))
    def test_no_slot_idles_while_a_ticket_that_suits_waits(self, seed, slots, teams):
        """Whatever the classes, weights and restrictions of the others."""
        rng = random.Random(seed)
        names = [EndpointId("a"), EndpointId("b"), EndpointId("c")]
        dispatcher = Dispatcher(seed)
        dispatcher.set_endpoints(dict.fromkeys(names, slots), 0.0)
        running: list[TicketId] = []
        waiting: dict[TicketId, Ticket] = {}
        now_s = 0.0
        for number in range(120):
            now_s += rng.random() / 5
            if running and rng.random() < 0.45:
                gone = running.pop(rng.randrange(len(running)))
                decisions = dispatcher.release(gone, now_s)
            elif waiting and rng.random() < 0.1:
                gone = rng.choice(list(waiting))
                del waiting[gone]
                decisions = dispatcher.release(gone, now_s)
            else:
                ticket = self._random_ticket(rng, number, teams, now_s)
                waiting[ticket.id] = ticket
                decisions = dispatcher.request_slot(ticket, now_s)
            for decision in decisions + dispatcher.tick(now_s):
                waiting.pop(decision.ticket, None)
                if isinstance(decision, Granted):
                    running.append(decision.ticket)
            free = {n for n in names if dispatcher.running_at(n) < slots}
            idle_for = [t for t in waiting.values() if free - t.avoid]
            self.assertEqual([], idle_for)
            self.assertEqual(len(waiting), dispatcher.waiting_count)
            self._check_sums(dispatcher)

    def _check_sums(self, dispatcher: Dispatcher) -> None:
        for priority_class in dispatcher._shares._classes.values():
            accounts = priority_class.accounts.values()
            self.assertEqual(sum(a.waiting for a in accounts), priority_class.waiting)
            self.assertEqual(sum(a.held for a in accounts), priority_class.held)
            busy_weight = sum(a.weight for a in accounts if a.waiting or a.held)
            self.assertAlmostEqual(busy_weight, priority_class.busy_weight)

    def _random_ticket(self, rng, number, teams, now_s) -> Ticket:
        due_s = now_s + rng.uniform(0.0, 2.0)
        return Ticket(
            TicketId(f"t{number}"),
            rng.choice([Work.ONLINE, Work.ONLINE, Work.BATCH])
            if number % 2
            else Work.ONLINE,
            due_s,
            due_s + 1.5,
            team=TeamId(f"team{rng.randrange(teams)}"),
            priority=rng.randrange(3),
            weight=rng.choice([0.1, 1.0, 20.0]),
            avoid=frozenset(rng.sample("abc", rng.randrange(3))),
            holds_slot=rng.random() < 0.1,
        )

    @settings(max_examples=30, deadline=None)
    @given(st.integers(0, 2**32))
    def test_state_is_empty_after_all_work(self, seed):
        """No history leaks accounts of teams that have neither work nor a debt."""
        rng = random.Random(seed)
        dispatcher = table(a=2)
        live: list[TicketId] = []
        for number in range(60):
            ticket = self._random_ticket(rng, number, 5, 0.0)
            refused = dispatcher.request_slot(ticket, 0.0)
            if not any(isinstance(d, Refused) for d in refused):
                live.append(ticket.id)
        for ticket_id in live:
            dispatcher.release(ticket_id, 1.0)
        shares = dispatcher._shares
        self.assertEqual({}, shares._charges)
        self.assertFalse(any(shares._held_s.values()))
        accounts = [a for c in shares._classes.values() for a in c.accounts.values()]
        self.assertTrue(all(not (a.queued or a.held) for a in accounts))
