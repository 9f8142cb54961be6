"""Evacuated zones: records in any order, from the store and from peers."""

import asyncio
import random

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.platform.wire import MAX_ZONE_BYTES, PlatformDirectory
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import Endpoint, EndpointTable
from apricotquay.serving.fleet.evacuations import (
    MAX_ZONES,
    EvacuationRecord,
    Evacuations,
)
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Page
from apricotquay.serving.fleet.view import View
from apricotquay.serving.slots.eligibility import Eligibility, Ineligible
from apricotquay.serving.slots.tickets import Restriction, before_send

from .base import ApricotTest
from .test_platform_wire import config, server
from .test_serving_jobs import quiet_reporter
from .test_serving_shards import ManualClock
from .test_serving_viewexchange import DirectPeers, ViewExchangeTest

LLM = ServiceName("llm")
KEY = b"evacuate/z"
OPERATOR_TOPIC = PlatformDirectory.configuration_topic


def record(offset: int, value: bytes | None = b"{}", key: bytes = KEY) -> KeyedRecord:
    """Return a record of the operator, by default one that evacuates a zone."""
    return KeyedRecord(key, value, offset)


def view_of(*records: KeyedRecord) -> View:
    """Return a view with one server in zone z and the operator's records."""
    view = View(None, PlatformDirectory(), ManualClock(), quiet_reporter())
    view.apply_records([config(), *records], [server()])
    return view


def serving(view: View) -> list[str]:
    """Return the endpoints that get new work."""
    return [endpoint.id for endpoint in view.endpoints.serving(LLM)]


class EvacuationTest(ApricotTest):
    """Which zones a view knows as evacuated."""

    @parameterized.expand(
        [
            ("nothing", [], False),
            ("evacuated", [record(5)], True),
            ("taken back", [record(5), record(6, None)], False),
            ("again", [record(5), record(6, None), record(7)], True),
            ("older end arrives late", [record(6), record(5, None)], True),
            ("older word arrives late", [record(6, None), record(5)], False),
            ("read again", [record(5), record(5)], True),
            ("another zone", [record(5, key=b"evacuate/y")], False),
            ("no zone", [record(5, key=b"evacuate/")], False),
            ("another key", [record(5, key=b"evacuation/z")], False),
            ("zone without end", [record(5, key=b"evacuate/" + b"z" * 300)], False),
            ("no text", [record(5, key=b"evacuate/\xff")], False),
            ("value with content", [record(5, b'{"a": 1}')], False),
            ("value of another type", [record(5, b"[]")], False),
            ("value that is no JSON", [record(5, b"{")], False),
            ("value without end", [record(5, b"[" * 100_000)], False),
            ("malformed after the word", [record(5), record(6, b"x")], True),
        ]
    )
    def test_records(self, _name, records, is_evacuated):
        """A zone that is left in use is lost with its requests, and the reverse."""
        view = view_of(*records)
        self.assertEqual([] if is_evacuated else ["i-1"], serving(view))
        self.assertEqual(7, view.configuration.version)

    @parameterized.expand([(size,) for size in (1, MAX_ZONE_BYTES)])
    def test_zone_names_up_to_the_limit_are_known(self, size):
        """A limit must not be met by a name that operators use."""
        decoded = PlatformDirectory().decode_evacuation(
            record(1, key=b"evacuate/" + b"z" * size)
        )
        self.assertEqual(EvacuationRecord("z" * size, True), decoded)

    @parameterized.expand(
        [
            ("key is gone", [config()], 10, False),
            ("key is there", [config(), record(5)], 10, True),
            ("page older than the word", [config()], 5, True),
        ]
    )
    def test_reading_the_newest_records_again(self, _name, records, end, is_evacuated):
        """The removal of a record may have been compacted away."""
        view = view_of(record(5))
        view._apply_newest(OPERATOR_TOPIC, Page(records, end))
        self.assertEqual(is_evacuated, view.evacuations.is_evacuated("z"))

    def test_change_is_passed_on_at_once(self):
        """Slot tables and waiting requests must not wait for another change."""
        view = view_of()
        changes = []
        view.on_change = lambda: changes.append(serving(view))
        view.apply_records([record(5)], [])
        view.apply_records([record(5)], [])
        view._apply_newest(OPERATOR_TOPIC, Page([], 9))
        self.assertEqual([[], ["i-1"]], changes)

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_order_of_arrival_changes_nothing(self, seed):
        """Records come from the store and from several peers, in any order."""
        rng = random.Random(seed)
        records = [record(n, rng.choice((b"{}", None))) for n in range(12)]
        newest = records[-1].value is not None
        shuffled = [*records, *rng.sample(records, 6)]
        rng.shuffle(shuffled)
        self.assertEqual(newest, view_of(*shuffled).evacuations.is_evacuated("z"))

    def test_zones_without_end_fill_no_memory(self):
        """Evacuations that have ended are forgotten first."""
        evacuations = Evacuations()
        for number in range(2 * MAX_ZONES):
            zone = f"z{number}"
            for offset, is_evacuated in ((2 * number, True), (2 * number + 1, False)):
                value = b"{}" if is_evacuated else None
                evacuations.apply(
                    EvacuationRecord(zone, is_evacuated),
                    record(offset, value, f"evacuate/{zone}".encode()),
                )
        self.assertLessEqual(len(evacuations.records()), MAX_ZONES)
        self.assertEqual(frozenset(), evacuations.zones)


class EvacuationExchangeTest(ApricotTest):
    """Daemons that learn of evacuations from peers."""

    def pull(self, *records: KeyedRecord, known: list[KeyedRecord]) -> View:
        """Return the view of a daemon with some known records after a pull from one
        with others.
        """
        peers = DirectPeers()
        teller = ViewExchangeTest.exchange(self, "a:1", peers)
        teller._view.apply_records([config(), *records], [server()])
        asker = ViewExchangeTest.exchange(self, "b:1", peers)
        asker._view.apply_records([config(), *known], [server()])
        asyncio.run(asker._pull("a:1"))
        return asker._view

    @parameterized.expand(
        [
            ("evacuated", [record(5)], [], True),
            ("taken back", [record(5), record(6, None)], [record(5)], False),
            ("peer knows less", [record(5)], [record(5), record(6, None)], False),
            ("peer knows nothing", [], [record(5)], True),
        ]
    )
    def test_daemon_cut_off_from_the_store(self, _name, told, known, is_evacuated):
        """The configuration of both is the same, so nothing else is newer."""
        view = self.pull(*told, known=known)
        self.assertEqual(is_evacuated, view.evacuations.is_evacuated("z"))

    def test_previous_release_skips_the_records(self):
        """It decodes each record of the list as a configuration."""
        self.assertIsNone(PlatformDirectory().decode_configuration(record(5)))
        self.assertIsNone(PlatformDirectory().decode_configuration(record(5, None)))


class EligibilityTest(ApricotTest):
    """The check directly before a send."""

    @parameterized.expand(
        [
            ("fits", {}, "", None),
            ("fits its version", {}, "v1", None),
            ("other version", {}, "v2", Ineligible.OTHER_VERSION),
            ("leaving", {"is_leaving": True}, "", Ineligible.LEAVING),
            ("evacuated", {"zone": "bad"}, "", Ineligible.EVACUATED),
            ("unlisted", None, "", Ineligible.UNLISTED),
        ]
    )
    def test_reason(self, _name, fields, version, reason):
        """A slot may have been granted before the endpoint changed."""
        table = EndpointTable(lambda zone: zone == "bad")
        endpoint_id = EndpointId("e")
        if fields is not None:
            endpoint = Endpoint(endpoint_id, LLM, "h", 1, version="v1", **fields)
            table.apply(endpoint_id, endpoint, 1, 0.0)
        needs = before_send(version, frozenset())
        checked = Eligibility(table).check(endpoint_id, needs)
        self.assertEqual(reason or table.get(endpoint_id), checked)

    def test_endpoint_where_work_failed_is_no_choice_of_a_table(self):
        """A retry there would most likely fail again."""
        table = EndpointTable()
        table.apply(EndpointId("e"), Endpoint(EndpointId("e"), LLM, "h", 1), 1, 0.0)
        needs = Restriction("", frozenset({"e"}), True, frozenset())
        checked = Eligibility(table).check(EndpointId("e"), needs)
        self.assertIs(Ineligible.FAILED_BEFORE, checked)
