"""Decoding of the platform's records and settings."""

import json

from parameterized import parameterized

from apricotquay.platform.store import decode_records, encode_record
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.catalog import RouteKind
from apricotquay.serving.keyedlog import KeyedRecord
from apricotquay.serving.view import RecordUnreadableError

from .base import ApricotTest

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "path_prefix": "/x/",
    "kind": "streaming",
    "service": "llm",
}
SERVER = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "state": "ready",
    "slots": 8,
    "born": 5,
    "zone": "z",
}


def config(**changes) -> KeyedRecord:
    """Return a record of a small configuration with changes."""
    value = {"version": 7, "routes": [ROUTE], "services": [{"name": "llm"}]}
    value.update(changes)
    return KeyedRecord(b"config", json.dumps(value).encode(), 3)


def server(**changes) -> KeyedRecord:
    """Return a record of a server's entry with changes."""
    value = {k: v for k, v in (SERVER | changes).items() if v is not None}
    return KeyedRecord(b"i-1", json.dumps(value).encode(), 4)


class ConfigurationTest(ApricotTest):
    """The operator's records."""

    def test_routes_teams_and_limits_are_decoded(self):
        """Into the product's types."""
        decoded = PlatformDirectory().decode_configuration(
            config(
                tenants=[{"name": "t", "api_keys": ["k"], "rate_per_s": 3, "burst": 4}],
                limits={"max_body_bytes": 9, "new_limit": 1},
            )
        )
        route = decoded.find_route("a.example", "/x/y")
        self.assertIs(RouteKind.STREAMING, route.kind)
        self.assertFalse(route.is_idempotent)
        self.assertEqual("t", decoded.team_of("k").id)
        self.assertEqual(9, decoded.limits.max_body_bytes)
        self.assertIsNone(decoded.find_route("a.example", "/xy"))
        self.assertIsNone(decoded.find_route("b.example", "/x/y"))

    def test_longest_prefix_wins(self):
        """Among the routes of a host."""
        longer = ROUTE | {"name": "r2", "path_prefix": "/x/y/"}
        decoded = PlatformDirectory().decode_configuration(
            config(routes=[ROUTE, longer])
        )
        self.assertEqual("r2", decoded.find_route("a.example", "/x/y/z").name)
        self.assertEqual("r1", decoded.find_route("a.example", "/x/z").name)

    @parameterized.expand(
        [
            ("no JSON", b"\xff"),
            ("a list", b"[]"),
            ("version missing", b'{"routes":[]}'),
            ("version of another type", b'{"version":"x","routes":[]}'),
            (
                "route without service",
                json.dumps(
                    {"version": 1, "routes": [{**ROUTE, "service": None}]}
                ).encode(),
            ),
        ]
    )
    def test_unreadable_configuration_is_told_with_its_reason(self, _name, value):
        """It never replaces the one in force."""
        record = KeyedRecord(b"config", value, 1)
        with self.assertRaises(RecordUnreadableError):
            PlatformDirectory().decode_configuration(record)

    def test_unknown_kind_may_not_be_repeated(self):
        """What is not known to be idempotent runs once at most."""
        decoded = PlatformDirectory().decode_configuration(
            config(routes=[ROUTE | {"kind": "new"}])
        )
        route = decoded.find_route("a.example", "/x/")
        self.assertIs(RouteKind.UNSAFE, route.kind)

    def test_other_keys_are_no_configuration(self):
        """The operator may write more."""
        record = KeyedRecord(b"other", b"{}", 1)
        self.assertIsNone(PlatformDirectory().decode_configuration(record))


class ServerTest(ApricotTest):
    """The servers' entries."""

    def test_entry_is_decoded(self):
        """With the time of its start, which tells starts under one id apart."""
        endpoint_id, entry = PlatformDirectory().decode_endpoint(server())
        self.assertEqual("i-1", endpoint_id)
        self.assertEqual(("10.0.0.1", 80, 8, 5), entry_fields(entry))
        self.assertFalse(entry.is_leaving)

    def test_draining_entry_is_leaving(self):
        """It gets no new work."""
        _, entry = PlatformDirectory().decode_endpoint(server(state="draining"))
        self.assertTrue(entry.is_leaving)

    @parameterized.expand(
        [
            ("service missing", {"service": None}),
            ("address missing", {"address": None}),
            ("address without port", {"address": "10.0.0.1"}),
            ("address of another type", {"address": 5}),
            ("state unknown", {"state": "resting"}),
            ("slots of another type", {"slots": "many"}),
            ("start as a fraction", {"born": 1.5}),
        ]
    )
    def test_entry_of_another_writer_names_no_server(self, _name, changes):
        """The reason is for the log."""
        with self.assertRaises(RecordUnreadableError):
            PlatformDirectory().decode_endpoint(server(**changes))


class RecordTest(ApricotTest):
    """The store's framing."""

    def test_records_come_back_as_they_went(self):
        """Keys, values and dropped keys."""
        records = [KeyedRecord(b"a", b"1"), KeyedRecord(b"b", None)]
        data = b"".join(encode_record(record) for record in records)
        decoded = decode_records(data, 10)
        self.assertEqual(
            [(b"a", b"1", 10), (b"b", None, 11)], list(map(parts, decoded))
        )

    @parameterized.expand(
        [
            ("empty content", b"\x00\x00\x00\x00"),
            ("key longer than content", b"\x00\x00\x00\x02\x05a"),
            ("cut short", b"\x00\x00\x00\x09\x01a"),
        ]
    )
    def test_unreadable_record_keeps_its_place(self, _name, data):
        """Offsets after it still hold."""
        self.assertEqual(3, decode_records(data, 3)[0].offset)


def entry_fields(entry) -> tuple:
    """Return the fields that the tests compare."""
    return entry.host, entry.port, entry.slots, entry.started_ms


def parts(record: KeyedRecord) -> tuple:
    """Return a record's parts."""
    return record.key, record.value, record.offset
