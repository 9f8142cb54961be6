"""The HTML page of a fleet's activity over time."""

from parameterized import parameterized

from apricotquay.events import Event
from apricotquay.fleetpage import render_fleet_page, summarize_fleet

from .base import ApricotTest


def make_line(event: Event, at_ms: int, **fields) -> dict:
    """Return a log line."""
    return {"number": event.number, "at_ms": at_ms, "vm": "a", **fields}


def make_request(at_ms: int, took_ms: int, wait_ms: int = 0, **changes) -> dict:
    """Return the log line of an online request that ended."""
    fields = {
        "endpoint": "e1",
        "outcome": "answered",
        "took_ms": took_ms,
        "slot_wait_ms": wait_ms,
        "first_event_ms": wait_ms + 60,
    }
    return make_line(Event.REQUEST_ENDED, at_ms, **(fields | changes))


class SummarizeFleetTest(ApricotTest):
    """Log lines summarized by time interval."""

    def test_online_slot_counts_for_as_long_as_it_is_held(self):
        """A request holds its slot for 1.5 s after waiting 0.5 s for it."""
        lines = [make_line(Event.DAEMON_STARTED, 0), make_request(3_000, 2_000, 500)]
        intervals = summarize_fleet(lines, 1.0)
        self.assertEqual([0.0, 0.5, 1.0, 0.0], [i.online_slots for i in intervals])

    def test_item_slot_counts_for_each_attempt(self):
        """Each attempt counts, whatever its outcome."""
        lines = [
            make_line(Event.DAEMON_STARTED, 0),
            make_line(Event.ITEM_ATTEMPT_ENDED, 1_000, ran_ms=500),
            make_line(Event.ITEM_ATTEMPT_ENDED, 2_000, ran_ms=1_000),
        ]
        intervals = summarize_fleet(lines, 1.0)
        self.assertEqual([0.5, 1.0, 0.0], [i.item_slots for i in intervals])

    @parameterized.expand(
        [
            ("answered", make_request(100, 50), (1, 0, 0)),
            ("failed", make_request(100, 50, outcome="endpoint_failed"), (0, 1, 0)),
            ("refused", make_request(100, 50, endpoint=""), (0, 0, 1)),
            ("refused early", make_line(Event.REQUEST_REFUSED, 100), (0, 0, 1)),
        ]
    )
    def test_requests_are_counted_by_outcome(self, _name, ended, counts):
        """Each request is counted exactly once."""
        interval = summarize_fleet([ended], 1.0)[0]
        self.assertEqual(counts, (interval.answered, interval.failed, interval.refused))

    def test_no_lines_give_no_intervals(self):
        """A page can still be rendered."""
        self.assertEqual([], summarize_fleet([], 1.0))
        self.assertIn("<svg", render_fleet_page([]))


class FleetPageTest(ApricotTest):
    """The rendered page."""

    def test_page_has_all_series_and_events(self):
        """It loads nothing over the network."""
        lines = [
            make_line(Event.DAEMON_STARTED, 0),
            make_line(Event.DAEMON_STARTED, 10),
            make_request(1_500, 700),
            make_line(Event.ITEM_COMPLETED, 2_000, late_ms=-5),
            make_line(Event.ENDPOINT_EJECTED, 2_500),
        ]
        page = render_fleet_page(summarize_fleet(lines, 1.0))
        self.assertEqual(8, page.count("<polyline"))
        self.assertIn("2 x daemons started", page)
        self.assertIn("1 x endpoints ejected", page)
        self.assertNotIn("http", page)
