"""The page of a fleet's day."""

from parameterized import parameterized

from apricotquay.events import Event
from apricotquay.fleetpage import render_fleet_page, summarize_fleet

from .base import ApricotTest


def line(event: Event, at_ms: int, **fields) -> dict:
    """Return a log line."""
    return {"number": event.number, "at_ms": at_ms, "vm": "a", **fields}


def request(at_ms: int, took_ms: int, wait_ms: int = 0, **changes) -> dict:
    """Return the line of an online request."""
    fields = {
        "endpoint": "e1",
        "outcome": "answered",
        "took_ms": took_ms,
        "slot_wait_ms": wait_ms,
        "first_event_ms": wait_ms + 60,
    }
    return line(Event.REQUEST_ENDED, at_ms, **(fields | changes))


class FleetSlotsTest(ApricotTest):
    """Log lines as slots of time."""

    def test_slot_in_use_is_counted_for_as_long_as_it_is_held(self):
        """A request of a second and a half that waited half a second before."""
        lines = [line(Event.DAEMON_STARTED, 0), request(3_000, 2_000, 500)]
        slots = summarize_fleet(lines, 1.0)
        self.assertEqual([0.0, 0.5, 1.0, 0.0], [s.online_slots for s in slots])

    def test_items_hold_slots_by_their_attempts(self):
        """Each attempt counts, however it ended."""
        lines = [
            line(Event.DAEMON_STARTED, 0),
            line(Event.ITEM_ATTEMPT_ENDED, 1_000, ran_ms=500),
            line(Event.ITEM_ATTEMPT_ENDED, 2_000, ran_ms=1_000),
        ]
        slots = summarize_fleet(lines, 1.0)
        self.assertEqual([0.5, 1.0, 0.0], [s.item_slots for s in slots])

    @parameterized.expand(
        [
            ("answered", request(100, 50), (1, 0, 0)),
            ("failed", request(100, 50, outcome="endpoint_failed"), (0, 1, 0)),
            ("refused", request(100, 50, endpoint=""), (0, 0, 1)),
            ("refused early", line(Event.REQUEST_REFUSED, 100), (0, 0, 1)),
        ]
    )
    def test_requests_are_counted_by_their_end(self, _name, ended, counts):
        """Each once."""
        slot = summarize_fleet([ended], 1.0)[0]
        self.assertEqual(counts, (slot.answered, slot.failed, slot.refused))

    def test_no_lines_are_no_slots(self):
        """And still a page."""
        self.assertEqual([], summarize_fleet([], 1.0))
        self.assertIn("<svg", render_fleet_page([]))


class FleetPageTest(ApricotTest):
    """The page itself."""

    def test_page_draws_series_and_tells_what_happened(self):
        """Self-contained."""
        lines = [
            line(Event.DAEMON_STARTED, 0),
            line(Event.DAEMON_STARTED, 10),
            request(1_500, 700),
            line(Event.ITEM_COMPLETED, 2_000, late_ms=-5),
            line(Event.ENDPOINT_EJECTED, 2_500),
        ]
        page = render_fleet_page(summarize_fleet(lines, 1.0))
        self.assertEqual(8, page.count("<polyline"))
        self.assertIn("2 x daemons started", page)
        self.assertIn("1 x endpoints ejected", page)
        self.assertNotIn("http", page)
