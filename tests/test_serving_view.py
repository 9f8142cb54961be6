"""Configuration and endpoints: newest wins, outages have a grace, faults are told."""

import json

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import (
    EJECT_AFTER_FAILURES,
    RETURN_GRACE_S,
    Endpoint,
    EndpointTable,
)
from apricotquay.serving.keyedlog import KeyedRecord, Page
from apricotquay.serving.view import View

from .base import ApricotTest
from .test_platform_wire import SERVER, config
from .test_serving_jobs import quiet_reporter
from .test_serving_shards import StepClock

LLM = ServiceName("llm")


def entry(name: str, **changes) -> Endpoint:
    """Return an endpoint."""
    return Endpoint(EndpointId(name), LLM, "10.0.0.1", 80, **changes)


class EndpointTableTest(ApricotTest):
    """Which endpoints get new work."""

    def table(self, count: int = 1) -> EndpointTable:
        """Return a table of endpoints e0, e1 and so on."""
        table = EndpointTable()
        for number in range(count):
            table.apply(EndpointId(f"e{number}"), entry(f"e{number}"), number, 0.0)
        return table

    def names(self, table: EndpointTable) -> list[str]:
        """Return the endpoints that may get new work."""
        return [e.id for e in table.serving(LLM)]

    def test_leaving_and_removed_endpoints_get_nothing(self):
        """At once while the list is in reach."""
        table = self.table(2)
        table.apply(EndpointId("e0"), entry("e0", is_leaving=True), 10, 1.0)
        table.apply(EndpointId("e1"), None, 11, 1.0)
        self.assertEqual([], self.names(table))

    def test_older_entry_never_replaces_a_newer_one(self):
        """A stale list may come after an outage."""
        table = self.table()
        table.apply(EndpointId("e0"), None, 10, 1.0)
        self.assertFalse(table.apply(EndpointId("e0"), entry("e0"), 9, 2.0))
        self.assertEqual([], self.names(table))

    def test_entry_that_went_in_an_outage_has_its_grace(self):
        """Living endpoints are back within it; the others are gone."""
        table = self.table(2)
        table.see_away(5.0)
        table.see_back(8.0)
        for name in ("e0", "e1"):
            table.apply(EndpointId(name), None, 10, 8.5)
        self.assertEqual(["e0", "e1"], self.names(table))
        table.apply(EndpointId("e0"), entry("e0"), 12, 9.0)
        later_s = 8.0 + RETURN_GRACE_S
        self.assertEqual([], table.expire(later_s - 0.1))
        self.assertEqual(["e1"], table.expire(later_s))
        self.assertEqual(["e0"], self.names(table))

    @parameterized.expand(
        [
            ("long after the return", 8.0, None, 8.0 + RETURN_GRACE_S + 0.1, True),
            ("soon after the return", 8.0, None, 8.9, False),
            ("away for this daemon alone", 8.0, 7.5, 8.9, True),
            ("others read it before", 8.0, 5.5, 8.9, False),
            ("others lost it as well since", 12.0, 7.5, 12.9, False),
            ("still away, read elsewhere", None, 7.5, 8.0, True),
            ("still away for all", None, None, 8.0, False),
        ]
    )
    def test_removal_is_believed_at_once_unless_it_may_be_a_lapse(
        self, _name, back_s, read_elsewhere_s, removed_s, is_believed
    ):
        """Work to an endpoint that leaves has to end within two seconds."""
        table = self.table(1)
        table.see_away(5.0)
        if read_elsewhere_s is not None:
            table.see_read_elsewhere(read_elsewhere_s)
        if back_s is not None:
            table.see_back(back_s)
        table.apply(EndpointId("e0"), None, 10, removed_s)
        self.assertEqual([] if is_believed else ["e0"], self.names(table))

    def test_failing_endpoint_is_ejected_and_comes_back(self):
        """After some failures in a row, for longer each time."""
        table = self.table(4)
        spans = []
        now_s = 0.0
        for _ in range(2):
            for _ in range(EJECT_AFTER_FAILURES):
                table.see_failure(EndpointId("e0"), False, now_s)
            self.assertIn("e0", table.ejected(LLM, now_s))
            begun_s = now_s
            while "e0" in table.ejected(LLM, now_s):
                now_s += 0.1
            spans.append(now_s - begun_s)
        self.assertGreater(spans[1], spans[0])

    def test_unreachable_endpoint_is_ejected_at_once(self):
        """Nothing can be sent there."""
        table = self.table(2)
        self.assertTrue(table.see_failure(EndpointId("e0"), True, 0.0))

    def test_most_endpoints_stay_when_all_fail(self):
        """A fault that all share is not theirs."""
        table = self.table(5)
        for number in range(5):
            for _ in range(EJECT_AFTER_FAILURES):
                table.see_failure(EndpointId(f"e{number}"), False, 0.0)
        self.assertEqual(2, len(table.ejected(LLM, 0.1)))

    def test_new_start_under_the_same_id_is_not_blamed(self):
        """It knows nothing of before."""
        table = self.table()
        table.see_failure(EndpointId("e0"), True, 0.0)
        table.apply(EndpointId("e0"), entry("e0", started_ms=9), 10, 0.1)
        self.assertEqual(frozenset(), table.ejected(LLM, 0.1))


class ViewTest(ApricotTest):
    """Records of the platform as they are taken in."""

    def view(self) -> View:
        """Return a view without a log."""
        return View(None, PlatformDirectory(), StepClock(), quiet_reporter())

    def server(self, name: str, offset: int, value: dict | None) -> KeyedRecord:
        """Return a record of a server's entry."""
        data = json.dumps(value).encode() if value is not None else None
        return KeyedRecord(name.encode(), data, offset)

    def test_version_only_rises(self):
        """Whether from the store or from a peer."""
        view = self.view()
        view.take_records([config(version=7)], [])
        view.take_records([config(version=5)], [])
        self.assertEqual(7, view.configuration.version)
        view.take_records([config(version=9)], [])
        self.assertEqual(9, view.configuration.version)

    @parameterized.expand(
        [
            ("configuration", [KeyedRecord(b"config", b"\xff", 9)], []),
            ("server", [], [KeyedRecord(b"i-9", b"[1]", 9)]),
        ]
    )
    def test_unreadable_record_leaves_the_rest_in_force(
        self, _name, configuration, servers
    ):
        """The last good view holds."""
        view = self.view()
        view.take_records([config()], [self.server("i-1", 1, SERVER)])
        view.take_records(configuration, servers)
        self.assertEqual(7, view.configuration.version)
        self.assertEqual(["i-1"], [e.id for e in view.endpoints.serving(LLM)])

    def test_server_whose_entry_becomes_unreadable_is_not_used(self):
        """It names no server to use any more."""
        view = self.view()
        view.take_records([], [self.server("i-1", 1, SERVER)])
        view.take_records([], [self.server("i-1", 2, {**SERVER, "state": 5})])
        self.assertEqual([], list(view.endpoints.serving(LLM)))

    def test_server_that_a_whole_list_lacks_is_gone(self):
        """Unless the list is older than the entry."""
        view = self.view()
        topic = PlatformDirectory.endpoint_topic
        view.take_records([], [self.server("i-1", 10, SERVER)])
        view._take_newest(topic, Page([], 5))
        self.assertEqual(["i-1"], [e.id for e in view.endpoints.serving(LLM)])
        view._take_newest(topic, Page([], 20))
        self.assertEqual([], list(view.endpoints.serving(LLM)))
