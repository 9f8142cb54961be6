"""Which tickets are refused when slots are short, and when their callers return."""

import msgspec
from parameterized import parameterized

from apricotquay.events import Event
from apricotquay.ids import EndpointId, TeamId
from apricotquay.serving.messages import AskSlot
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.slotowner import SlotTables
from apricotquay.serving.slots.ticketmessages import (
    MAX_PRIORITY,
    held_slot_message,
    held_ticket,
    requested_ticket,
)
from apricotquay.serving.slots.tickets import RefusalReason, Refused, Ticket, Work
from apricotquay.serving.slots.waits import (
    MAX_CALLERS,
    MAX_RETRY_AFTER_S,
    WaitEstimator,
)

from .base import ApricotTest
from .test_serving_dispatch import online, table
from .test_serving_fairshares import serve_all
from .test_serving_slots import (
    ENDPOINTS,
    SERVICE,
    SLOTS as SLOTS_PER_ENDPOINT,
    FixedView,
    SteppedClock,
)

SLOTS = 4
# So many requests of one team wait that its next cannot be served within 1.8 s.
MANY = 40


def request(name: str, team: str, deadline_s: float = 1.8, **fields) -> Ticket:
    """Return a ticket that can wait until a time."""
    return online(name, 0.3, deadline_s, team=TeamId(team), **fields)


def full_table(team: str, **fields) -> Dispatcher:
    """Return a table whose slots and line are full of one team's requests."""
    dispatcher = table(a=SLOTS)
    for number in range(SLOTS + MANY):
        dispatcher.request_slot(request(f"w{number}", team, 100.0, **fields), 0.0)
    return dispatcher


class RejectionTest(ApricotTest):
    """What is refused at once."""

    @parameterized.expand(
        [
            ("the team whose line is long", "large", 0, True),
            ("a team below its share", "small", 0, False),
            ("a higher class of the same team", "large", -1, False),
            ("a lower class of another team", "small", 1, True),
        ]
    )
    def test_only_requests_that_come_too_late_in_the_order_are_refused(
        self, _name, team, priority, is_refused
    ):
        """A line of requests that are served later is no reason."""
        dispatcher = full_table("large")
        decisions = dispatcher.request_slot(
            request("new", team, priority=priority), 0.01
        )
        self.assertEqual(is_refused, any(isinstance(d, Refused) for d in decisions))

    def test_refused_request_of_a_team_counts_no_tickets_of_lower_classes(self):
        """Its wait is that of its own class."""
        low = full_table("large", priority=1)
        waits_s = [
            self._wait_s(low, request("n0", "x", 0.02)),
            self._wait_s(low, request("n1", "large", 0.02, priority=1)),
        ]
        self.assertLess(waits_s[0] * 10, waits_s[1])

    def test_callers_of_a_small_team_return_before_those_of_a_large_one(self):
        """Their delay is spread over what is served of their own team."""
        dispatcher = full_table("large")
        for number in range(30):
            self._wait_s(dispatcher, request(f"l{number}", "large"))
        for number in range(3):
            ticket = request(f"s{number}", "small", 100.0)
            dispatcher.request_slot(ticket, 0.0)
        small_s = self._wait_s(dispatcher, request("small", "small", 0.02))
        large_s = self._wait_s(dispatcher, request("large", "large", 0.02))
        self.assertLess(small_s, large_s / 4)

    def test_retry_times_of_equal_callers_differ(self):
        """Callers that return together would compete for the same slots."""
        dispatcher = full_table("large")
        waits_s = [
            self._wait_s(dispatcher, request(f"r{n}", "large")) for n in range(5)
        ]
        self.assertEqual(sorted(set(waits_s)), waits_s)

    @parameterized.expand([("over time", 1.0), ("at one instant", 0.0)])
    def test_memory_of_refused_callers_is_bounded(self, _name, interval_s):
        """Many teams are refused once each."""
        estimator = WaitEstimator()
        for number in range(4 * MAX_CALLERS):
            ticket = request("t", f"team{number}")
            estimator.retry_after_s(ticket, 0.1, 1.0, [], number * interval_s)
        self.assertLessEqual(len(estimator._retry_times_s), MAX_CALLERS)

    def test_callers_of_the_team_refused_last_are_remembered(self):
        """Beyond the bound, those of the team refused longest ago are forgotten."""
        estimator = WaitEstimator()
        first_s = estimator.retry_after_s(request("t", "busy"), 0.1, 1.0, [], 0.0)
        for number in range(2 * MAX_CALLERS):
            ticket = request("t", f"team{number}")
            estimator.retry_after_s(ticket, 0.1, 1.0, [], 0.0)
            next_s = estimator.retry_after_s(request("t", "busy"), 0.1, 1.0, [], 0.0)
            self.assertGreater(next_s, first_s)

    @parameterized.expand(
        [
            (weight, priority)
            for weight in (5e-324, 1e-320, 1e-9, 1e9, 1e308)
            for priority in (0, -(2**63), 2**63)
        ]
    )
    def test_extreme_terms_of_a_peer_raise_no_error_and_name_no_endless_delay(
        self, weight, priority
    ):
        """Quotients of such weights overflow in the requests of other teams."""
        dispatcher = table(a=1)
        dispatcher.request_slot(request("r", "x", 20.0), 0.0)
        decisions = []
        for number in range(6):
            terms = {"weight": weight, "priority": priority}
            extreme = request(f"e{number}", "extreme", **terms)
            decisions += dispatcher.request_slot(extreme, 0.0)
            other = request(f"o{number}", "other")
            decisions += dispatcher.request_slot(other, 0.0)
        decisions += dispatcher.tick(1.9)
        refused = [d for d in decisions if isinstance(d, Refused)]
        self.assertEqual(12, len(refused))
        self.assertLessEqual(max(d.wait_s for d in refused), MAX_RETRY_AFTER_S)

    def test_new_owner_counts_reported_slots_in_their_classes(self):
        """In class 0 they leave callers of others the share of a single slot."""
        running = [
            request(f"r{n}", f"t{n % 2}", 100.0, priority=2, weight=5.0)
            for n in range(SLOTS)
        ]
        waits_s = []
        for is_reported in (False, True):
            dispatcher = table(a=SLOTS)
            for ticket in running:
                message = held_slot_message(SERVICE, ticket, EndpointId("a"), 0.0)
                known = held_ticket(message, 0.0) if is_reported else ticket
                dispatcher.record_grant(known, EndpointId("a"), 0.0)
            waits_s.append(
                [
                    self._wait_s(dispatcher, request(f"n{n}", "t0", 0.02, priority=2))
                    for n in range(10)
                ]
            )
        self.assertEqual(waits_s[0], waits_s[1])

    @parameterized.expand([("low", -(10**400)), ("high", 10**400), ("usual", 3)])
    def test_priority_of_a_peer_does_not_exceed_what_an_event_can_hold(
        self, _name, priority
    ):
        """The event of its refusal would raise an error in the owner."""
        message = AskSlot(SERVICE, "t", Work.ONLINE, 1, 1, 1, "", [], priority=priority)
        ticket = requested_ticket(message, 0.0)
        expected = priority if abs(priority) < MAX_PRIORITY else MAX_PRIORITY
        self.assertEqual(expected, abs(ticket.priority))
        msgspec.json.encode(ticket.priority)

    @parameterized.expand([(1e-320,), (1e308,)])
    def test_extreme_weight_of_a_team_does_not_end_the_service_of_others(self, weight):
        """The line is served to its end, whoever is due first."""
        dispatcher = table(a=1)
        dispatcher.request_slot(request("r", "x", 900.0), 0.0)
        for number in range(20):
            extreme = request(f"e{number}", "extreme", 900.0, weight=weight)
            dispatcher.request_slot(extreme, 0.0)
            dispatcher.request_slot(request(f"o{number}", "other", 900.0), 0.0)
        self.assertEqual(40, len(serve_all(dispatcher, ["r"])))

    def _wait_s(self, dispatcher: Dispatcher, ticket: Ticket) -> float:
        [refused] = dispatcher.request_slot(ticket, 0.01)
        self.assertIsInstance(refused, Refused)
        return refused.wait_s


class RecordingReporter:
    """Keeps the events of a table."""

    def __init__(self) -> None:
        self.lines: list[tuple[Event, dict]] = []

    def write_limited(self, event: Event, **fields) -> None:
        """Keep an event that may come often."""
        self.lines.append((event, fields))


class RefusalReasonTest(ApricotTest):
    """What an operator learns of a refusal."""

    def test_each_refusal_has_a_line_and_a_count_of_its_reason(self):
        """Without the reason a class that waits looks like too few endpoints."""
        reporter, clock = RecordingReporter(), SteppedClock()
        tables = SlotTables(FixedView(), clock, reporter)
        now_s = clock.now_s()
        for number in range(ENDPOINTS * SLOTS_PER_ENDPOINT):
            ticket = request(f"w{number}", "large", now_s + 100.0)
            tables.request_slot(SERVICE, ticket)
        tables.request_slot(SERVICE, request("w", "large", now_s + 1.0, priority=2))
        tables.request_slot(SERVICE, request("new", "large", now_s + 0.01, priority=2))
        self.assertEqual({2: 1}, dict(tables.waiting_by_priority()))
        clock.at_s += 2.0
        tables.tick()
        self.assertEqual({Event.SLOT_REFUSED}, {event for event, _ in reporter.lines})
        reasons = [(f["ticket"], f["reason"], f["priority"]) for _, f in reporter.lines]
        self.assertEqual(
            [("new", "line_too_long", 2), ("w", "waited_too_long", 2)], reasons
        )
        self.assertEqual(2, sum(tables.refused_counts.values()))
        self.assertEqual({}, dict(tables.waiting_by_priority()))

    @parameterized.expand(
        [
            ("at once", 0.01, 0.0, RefusalReason.LINE_TOO_LONG),
            ("at its deadline", 1.0, 1.0, RefusalReason.WAITED_TOO_LONG),
        ]
    )
    def test_reason_follows_from_when_it_is_refused(
        self, _name, deadline_s, tick_s, reason
    ):
        """The first calls for a look at shares, the second at who overtook it."""
        dispatcher = table(a=1)
        dispatcher.request_slot(request("running", "x", 100.0), 0.0)
        decisions = dispatcher.request_slot(request("t", "x", deadline_s), 0.0)
        [refused] = decisions or dispatcher.tick(tick_s)
        self.assertEqual(reason, refused.reason)

    def test_missing_version_is_named(self):
        """No time is named, since none is known."""
        dispatcher = table(a=1)
        dispatcher.request_slot(request("t", "x", 100.0, version="v9"), 0.0)
        [refused] = dispatcher.tick(0.1)
        self.assertEqual(RefusalReason.VERSION_MISSING, refused.reason)


class OvertakenTest(ApricotTest):
    """Tickets that others overtake while they wait."""

    def test_overtaken_ticket_is_refused_at_its_deadline_and_not_kept(self):
        """A lower class waits as long as its caller allows and no longer."""
        dispatcher = table(a=1)
        dispatcher.request_slot(request("running", "x", 100.0), 0.0)
        dispatcher.request_slot(request("low", "x", 1.8, priority=1), 0.0)
        for number in range(10):
            ticket = request(f"h{number}", "x", 100.0)
            dispatcher.request_slot(ticket, 0.1)
        self.assertEqual([], dispatcher.tick(1.0))
        [refused] = dispatcher.tick(1.8)
        self.assertEqual("low", refused.ticket)
