"""Configuration and endpoints: newest record wins, grace period after outages."""

import json

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import (
    FAILURES_TO_EJECT,
    RELIST_GRACE_S,
    Endpoint,
    EndpointTable,
)
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Page
from apricotquay.serving.fleet.view import View

from .base import ApricotTest
from .test_platform_wire import SERVER, config
from .test_serving_jobs import quiet_reporter
from .test_serving_shards import ManualClock

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

    def test_leaving_and_removed_endpoints_get_no_work(self):
        """Both changes take effect at once while the list can be read."""
        table = self.table(2)
        table.apply(EndpointId("e0"), entry("e0", is_leaving=True), 10, 1.0)
        table.apply(EndpointId("e1"), None, 11, 1.0)
        self.assertEqual([], self.names(table))

    def test_older_entry_never_replaces_a_newer_one(self):
        """An outdated list may arrive after an outage."""
        table = self.table()
        table.apply(EndpointId("e0"), None, 10, 1.0)
        self.assertFalse(table.apply(EndpointId("e0"), entry("e0"), 9, 2.0))
        self.assertEqual([], self.names(table))

    def test_entry_removed_in_an_outage_has_a_grace_period(self):
        """Live endpoints are listed again within it; the others are removed."""
        table = self.table(2)
        table.record_list_unavailable(5.0)
        table.record_list_available(8.0)
        for name in ("e0", "e1"):
            table.apply(EndpointId(name), None, 10, 8.5)
        self.assertEqual(["e0", "e1"], self.names(table))
        table.apply(EndpointId("e0"), entry("e0"), 12, 9.0)
        later_s = 8.0 + RELIST_GRACE_S
        self.assertEqual([], table.expire(later_s - 0.1))
        self.assertEqual(["e1"], table.expire(later_s))
        self.assertEqual(["e0"], self.names(table))

    @parameterized.expand(
        [
            ("long after the return", 8.0, None, 8.0 + RELIST_GRACE_S + 0.1, True),
            ("soon after the return", 8.0, None, 8.9, False),
            ("unavailable to this daemon alone", 8.0, 7.5, 8.9, True),
            ("others read it only before", 8.0, 5.5, 8.9, False),
            ("others have lost access since then", 12.0, 7.5, 12.9, False),
            ("still unavailable, read by a peer", None, 7.5, 8.0, True),
            ("still unavailable to all", None, None, 8.0, False),
        ]
    )
    def test_removal_is_applied_at_once_unless_it_may_be_an_expiry(
        self, _name, available_s, peer_read_s, removed_s, is_removed
    ):
        """Work sent to a leaving endpoint has to end within two seconds."""
        table = self.table(1)
        table.record_list_unavailable(5.0)
        if peer_read_s is not None:
            table.record_peer_read(peer_read_s)
        if available_s is not None:
            table.record_list_available(available_s)
        table.apply(EndpointId("e0"), None, 10, removed_s)
        self.assertEqual([] if is_removed else ["e0"], self.names(table))

    def test_failing_endpoint_is_ejected_and_returns(self):
        """The ejection follows consecutive failures and is longer each time."""
        table = self.table(4)
        ejections_s = []
        now_s = 0.0
        for _ in range(2):
            for _ in range(FAILURES_TO_EJECT):
                table.record_failure(EndpointId("e0"), False, now_s)
            self.assertIn("e0", table.ejected(LLM, now_s))
            ejected_s = now_s
            while "e0" in table.ejected(LLM, now_s):
                now_s += 0.1
            ejections_s.append(now_s - ejected_s)
        self.assertGreater(ejections_s[1], ejections_s[0])

    def test_unreachable_endpoint_is_ejected_at_once(self):
        """Nothing can be sent to it."""
        table = self.table(2)
        self.assertTrue(table.record_failure(EndpointId("e0"), True, 0.0))

    def test_most_endpoints_stay_in_use_when_all_fail(self):
        """A failure that all endpoints share is not caused by one of them."""
        table = self.table(5)
        for number in range(5):
            for _ in range(FAILURES_TO_EJECT):
                table.record_failure(EndpointId(f"e{number}"), False, 0.0)
        self.assertEqual(2, len(table.ejected(LLM, 0.1)))

    def test_restarted_endpoint_starts_with_clean_health(self):
        """A restarted server is not judged by the failures of its predecessor."""
        table = self.table()
        table.record_failure(EndpointId("e0"), True, 0.0)
        table.apply(EndpointId("e0"), entry("e0", started_ms=9), 10, 0.1)
        self.assertEqual(frozenset(), table.ejected(LLM, 0.1))


class ViewTest(ApricotTest):
    """Applying the platform's records to a view."""

    def view(self) -> View:
        """Return a view without a log."""
        return View(None, PlatformDirectory(), ManualClock(), quiet_reporter())

    def server(self, name: str, offset: int, value: dict | None) -> KeyedRecord:
        """Return a record of a server's entry."""
        data = json.dumps(value).encode() if value is not None else None
        return KeyedRecord(name.encode(), data, offset)

    def test_configuration_version_only_rises(self):
        """Records may come from the store or from a peer."""
        view = self.view()
        view.apply_records([config(version=7)], [])
        view.apply_records([config(version=5)], [])
        self.assertEqual(7, view.configuration.version)
        view.apply_records([config(version=9)], [])
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
        """The last valid records stay in force."""
        view = self.view()
        view.apply_records([config()], [self.server("i-1", 1, SERVER)])
        view.apply_records(configuration, servers)
        self.assertEqual(7, view.configuration.version)
        self.assertEqual(["i-1"], [e.id for e in view.endpoints.serving(LLM)])

    def test_server_whose_entry_becomes_unreadable_is_not_used(self):
        """The entry no longer describes a usable server."""
        view = self.view()
        view.apply_records([], [self.server("i-1", 1, SERVER)])
        view.apply_records([], [self.server("i-1", 2, {**SERVER, "state": 5})])
        self.assertEqual([], list(view.endpoints.serving(LLM)))

    def test_server_missing_from_a_newer_list_is_removed(self):
        """A list that is older than the entry does not remove it."""
        view = self.view()
        topic = PlatformDirectory.endpoint_topic
        view.apply_records([], [self.server("i-1", 10, SERVER)])
        view._apply_newest(topic, Page([], 5))
        self.assertEqual(["i-1"], [e.id for e in view.endpoints.serving(LLM)])
        view._apply_newest(topic, Page([], 20))
        self.assertEqual([], list(view.endpoints.serving(LLM)))
