"""Limits on requests that endpoints name: what a fleet of daemons may send."""

import random

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.slots import sendlimits
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.sendlimits import LimitNotice, SendLimit, SendLimits
from apricotquay.serving.slots.tickets import Granted, Refused, Revoked, TicketId

from .base import ApricotTest
from .test_serving_dispatch import batch, online

ENDPOINT = EndpointId("a")
STARTED_MS = 5
# The users' rule: one and a half times the limit in any four seconds, and five more.
WINDOW_S = 4.0
STEP_S = 0.02


def allowed(rate_per_s: float) -> float:
    """Return the most requests of a window that keep the rule."""
    return 1.5 * rate_per_s * WINDOW_S + 5


def most_in_window(sent_s: list[float]) -> int:
    """Return the most sends within one window."""
    return max(
        (sum(1 for t in sent_s if at_s <= t < at_s + WINDOW_S) for at_s in sent_s),
        default=0,
    )


def limits(rate_per_s: float, now_s: float = 0.0) -> SendLimits:
    """Return limits with that of one endpoint."""
    known = SendLimits()
    known.name(ENDPOINT, STARTED_MS, rate_per_s, now_s)
    return known


def find(known: SendLimits, started_ms: int = STARTED_MS) -> SendLimit | None:
    """Return the limit of the endpoint."""
    return known.find(Endpoint(ENDPOINT, "llm", "h", 1, started_ms=started_ms))


class FleetOfSenders:
    """Daemons that all have requests for one endpoint; one of them may own it."""

    def __init__(self, count: int, rate_per_s: float) -> None:
        self.sent_s: list[float] = []
        self.now_s: float = 100.0
        self.owner: int | None = 0
        self._daemons = [
            SendLimit(STARTED_MS, rate_per_s, 0.0, self.now_s) for _ in range(count)
        ]

    def run(self, duration_s: float) -> None:
        """Send whatever may be sent."""
        end_s = self.now_s + duration_s
        for number, limit in enumerate(self._daemons):
            is_shared = number != self.owner
            limit.share_among(len(self._daemons), self.now_s, is_shared=is_shared)
        while self.now_s < end_s:
            for number, limit in enumerate(self._daemons):
                can_send = self.owner is None or number == self.owner
                if can_send and limit.may_send(self.now_s):
                    limit.take(self.now_s)
                    self.sent_s.append(self.now_s)
            self.now_s += STEP_S


class SendLimitTest(ApricotTest):
    """Sends over all daemons together."""

    @parameterized.expand(
        [
            (f"{rate_per_s} a second, {daemons} daemons", rate_per_s, daemons)
            for rate_per_s in (0.0, 0.3, 1.7, 5.2, 40.0)
            for daemons in (1, 9, 63, 370)
        ]
    )
    def test_fleet_keeps_the_limit_while_owners_die_and_change(
        self, _name, rate_per_s, daemons
    ):
        """No owner for a while, then another one, several times, with full demand."""
        random.seed(f"{rate_per_s} {daemons}")
        fleet = FleetOfSenders(daemons, rate_per_s)
        for owner, duration_s in ((0, 6.0), (None, 5.0), (daemons - 1, 3.0)) * 2:
            fleet.owner = owner
            fleet.run(duration_s)
        self.assertLessEqual(most_in_window(fleet.sent_s), allowed(rate_per_s))

    @parameterized.expand([(0.0,), (0.3,), (2.0,), (50.0,)])
    def test_owner_uses_the_limit(self, rate_per_s):
        """A limited endpoint gets what it takes, and never nothing at all."""
        fleet = FleetOfSenders(9, rate_per_s)
        fleet.run(20.0)
        expected = 20.0 * max(rate_per_s, sendlimits.MIN_RATE_PER_S)
        self.assertGreaterEqual(len(fleet.sent_s), 0.9 * expected - 1)

    def test_daemons_without_owner_use_half_of_the_limit_together(self):
        """Their shares add up."""
        random.seed(1)
        fleet = FleetOfSenders(9, 4.0)
        fleet.owner = None
        fleet.run(30.0)
        self.assertGreater(len(fleet.sent_s), 0.4 * 30 * 4.0)

    def test_load_returns_step_by_step_after_the_end_of_a_limit(self):
        """The endpoint never gets more than twice as much as a second before."""
        known = limits(2.0)
        limit = find(known)
        self.assertTrue(known.end(ENDPOINT, STARTED_MS, 1.0, 10.0))
        rates = [limit.rate_per_s(10.0 + second) for second in range(5)]
        self.assertEqual([2.0, 4.0, 8.0, 16.0, 32.0], rates)
        self.assertEqual([], known.forget({ENDPOINT}, 14.9))
        self.assertEqual([ENDPOINT], known.forget({ENDPOINT}, 15.0))
        self.assertIsNone(find(known))

    @parameterized.expand(
        [
            ("sent before the limit was named", -0.1, STARTED_MS, False),
            ("sent after it", 0.1, STARTED_MS, True),
            ("of an earlier start", 0.1, STARTED_MS - 1, False),
            ("at an unknown time", float("-inf"), STARTED_MS, False),
        ]
    )
    def test_late_answer_ends_no_limit(self, _name, sent_s, started_ms, ends):
        """An answer may have begun before the limit was named, or come late."""
        known = limits(2.0)
        self.assertEqual(ends, known.end(ENDPOINT, started_ms, sent_s, 1.0))
        self.assertEqual(ends, find(known).has_ended)

    def test_limit_that_is_named_again_ends_the_recovery(self):
        """The last word counts."""
        known = limits(2.0)
        known.end(ENDPOINT, STARTED_MS, 1.0, 1.1)
        self.assertTrue(known.name(ENDPOINT, STARTED_MS, 3.0, 2.0))
        self.assertEqual(3.0, find(known).rate_per_s(9.0))

    def test_new_start_of_an_endpoint_has_no_limit(self):
        """It has named none."""
        known = limits(2.0)
        self.assertIsNone(find(known, STARTED_MS + 1))
        self.assertFalse(
            known.merge(LimitNotice(ENDPOINT, STARTED_MS - 1, 1.0, False, 0), 1.0)
        )

    @parameterized.expand(
        [
            ("older", 2_000, 2.0),
            ("newer", 0, 8.0),
        ]
    )
    def test_newest_statement_of_any_daemon_counts(self, _name, age_ms, expected):
        """A new owner is told by many daemons."""
        known = limits(2.0, 10.0)
        known.merge(LimitNotice(ENDPOINT, STARTED_MS, 8.0, False, age_ms), 11.0)
        self.assertEqual(expected, find(known).rate_per_s(11.0))

    def test_other_daemons_are_told_material_changes_only(self):
        """An endpoint whose limit varies a little costs no message an answer."""
        known = limits(4.0)
        self.assertEqual(1, len(known.take_changes(0.0)))
        known.name(ENDPOINT, STARTED_MS, 4.3, 1.0)
        self.assertEqual([], known.take_changes(1.0))
        known.name(ENDPOINT, STARTED_MS, 6.0, 2.0)
        self.assertEqual(1, len(known.take_changes(2.0)))

    def test_limits_are_bounded(self):
        """Endpoints that are not listed are forgotten, and there are only so many."""
        known = SendLimits()
        for number in range(sendlimits.MAX_LIMITS + 10):
            known.name(EndpointId(f"e{number}"), 1, 1.0, 0.0)
        self.assertEqual(sendlimits.MAX_LIMITS, len(known))
        known.forget(set(), sendlimits.UNLISTED_S + 1)
        self.assertEqual(0, len(known))


class LimitedTableTest(ApricotTest):
    """The slot table of a service with limited endpoints."""

    def table(self, now_s: float = 0.0, **rates_per_s: float | None) -> Dispatcher:
        """Return the owner's table, of endpoints with four slots each."""
        self.limits = {}
        for name, rate_per_s in rates_per_s.items():
            if rate_per_s is not None:
                limit = SendLimit(STARTED_MS, rate_per_s, now_s, now_s)
                limit.share_among(1, now_s, is_shared=False)
                self.limits[EndpointId(name)] = limit
        table = Dispatcher(seed=1)
        counts = {EndpointId(name): 4 for name in rates_per_s}
        table.set_endpoints(counts, now_s, limits=self.limits)
        return table

    def granted_at(self, decisions) -> list[str]:
        """Return the endpoints of grants."""
        return [d.endpoint for d in decisions if isinstance(d, Granted)]

    def test_load_goes_to_the_other_endpoints_at_once(self):
        """Nothing queues behind a limit while another endpoint has a slot."""
        table = self.table(a=1.0, b=None)
        for number in range(4):
            decisions = table.request_slot(online(f"t{number}"), 0.01)
            self.assertEqual(["b"], self.granted_at(decisions))
        self.assertEqual([], table.request_slot(online("t4"), 0.02))
        self.assertEqual(["a"], self.granted_at(table.tick(1.01)))

    def test_request_that_no_limit_leaves_time_for_is_refused_at_once(self):
        """All endpoints are limited; the delay told is the time it would take."""
        table = self.table(a=1.0, b=1.0)
        decisions = []
        for number in range(10):
            ticket = online(f"t{number}", slot_deadline_s=1.8)
            decisions += table.request_slot(ticket, 0.0)
        refused = [d for d in decisions if isinstance(d, Refused)]
        self.assertEqual(7, len(refused))
        self.assertGreaterEqual(refused[0].wait_s, 2.0)
        self.assertEqual(3, table.waiting_count)

    def test_waiting_requests_are_refused_once_a_limit_leaves_no_time(self):
        """They waited for slots when the limit was named."""
        table = self.table(a=None)
        for number in range(12):
            table.request_slot(online(f"t{number}", slot_deadline_s=1.8), 0.0)
        limit = SendLimit(STARTED_MS, 1.0, 0.1, 0.1)
        limit.share_among(1, 0.1, is_shared=False)
        table.set_endpoints({ENDPOINT: 4}, 0.1, limits={ENDPOINT: limit})
        decisions = table.tick(0.2)
        self.assertEqual(6, sum(isinstance(d, Refused) for d in decisions))

    def test_batch_gets_what_online_leaves(self):
        """A waiting online request gets the next send, an item a later one."""
        table = self.table(a=2.0)
        table.request_slot(batch("item", 9.0), 0.0)
        table.request_slot(online("t"), 0.1)
        self.assertEqual([Granted(TicketId("t"), ENDPOINT)], table.tick(0.6))
        self.assertEqual([], table.tick(0.9))
        self.assertEqual([Granted(TicketId("item"), ENDPOINT)], table.tick(2.2))

    def test_batch_goes_to_limited_endpoints_first(self):
        """An item uses a slot for long, so that it costs few requests."""
        table = self.table(a=2.0, b=None)
        decisions = table.request_slot(batch("item", 9.0), 5.0)
        self.assertEqual(["a"], self.granted_at(decisions))

    def test_no_item_is_revoked_where_no_request_may_be_sent(self):
        """The online request could not use the slot."""
        table = self.table(a=0.5)
        table.request_slot(batch("item", 9.0), 3.0)
        for number in range(3):
            decisions = table.request_slot(online(f"t{number}", 9.0, 9.0), 3.1)
            self.assertEqual([], [d for d in decisions if isinstance(d, Revoked)])

    def test_limited_endpoint_is_asked_again_after_a_while(self):
        """Only its answer tells that the limit has ended."""
        table = self.table(a=2.0, b=None)
        decisions = table.request_slot(online("t"), 0.9)
        self.assertEqual(["b"], self.granted_at(decisions))
        later_s = 1.5 + sendlimits.CHECK_INTERVAL_S
        decisions = table.request_slot(online("u", later_s + 1, 9.0), later_s)
        self.assertEqual(["a"], self.granted_at(decisions))

    def test_granted_time_is_that_of_the_grant(self):
        """It tells whether an answer may end a limit."""
        table = self.table(a=None)
        table.request_slot(online("t"), 0.2)
        self.assertEqual(0.2, table.granted_s(TicketId("t")))
        self.assertEqual(float("-inf"), table.granted_s(TicketId("u")))
