"""Decoding of the platform's records."""

import json

from parameterized import parameterized

from apricotquay.platform.store import decode_records, encode_record
from apricotquay.platform.wire import (
    PlatformDirectory,
    decode_limit,
    decode_load,
    decode_prompt_parts,
)
from apricotquay.serving.catalog import RouteKind
from apricotquay.serving.crashes.promptparts import MAX_PARTS_PER_REQUEST
from apricotquay.serving.engine import (
    NO_LIMIT,
    NO_LOAD,
    EndpointLimit,
    EndpointLoad,
)
from apricotquay.serving.fleet.keyedlog import KeyedRecord
from apricotquay.serving.fleet.view import RecordUnreadableError

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
    """Return the record of a small configuration with the given fields changed."""
    value = {"version": 7, "routes": [ROUTE], "services": [{"name": "llm"}]}
    value.update(changes)
    return KeyedRecord(b"config", json.dumps(value).encode(), 3)


def server(**changes) -> KeyedRecord:
    """Return the record of a server with changed fields; None omits a field."""
    value = {k: v for k, v in (SERVER | changes).items() if v is not None}
    return KeyedRecord(b"i-1", json.dumps(value).encode(), 4)


class ConfigurationTest(ApricotTest):
    """Records of the operator's configuration."""

    def test_routes_teams_and_limits_are_decoded(self):
        """Unknown limits are ignored, and routes match by host and path prefix."""
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

    def test_longest_prefix_matches(self):
        """The routes of a host are compared."""
        longer = ROUTE | {"name": "r2", "path_prefix": "/x/y/"}
        decoded = PlatformDirectory().decode_configuration(
            config(routes=[ROUTE, longer])
        )
        self.assertEqual("r2", decoded.find_route("a.example", "/x/y/z").name)
        self.assertEqual("r1", decoded.find_route("a.example", "/x/z").name)

    @parameterized.expand(
        [
            ("not JSON", b"\xff"),
            ("a list", b"[]"),
            ("version missing", b'{"routes":[]}'),
            ("version of wrong type", b'{"version":"x","routes":[]}'),
            (
                "route without service",
                json.dumps(
                    {"version": 1, "routes": [{**ROUTE, "service": None}]}
                ).encode(),
            ),
        ]
    )
    def test_invalid_configuration_raises(self, _name, value):
        """An invalid record must not replace the current configuration."""
        record = KeyedRecord(b"config", value, 1)
        with self.assertRaises(RecordUnreadableError):
            PlatformDirectory().decode_configuration(record)

    def test_unknown_route_kind_is_unsafe(self):
        """A request that may not be idempotent must run at most once."""
        decoded = PlatformDirectory().decode_configuration(
            config(routes=[ROUTE | {"kind": "new"}])
        )
        route = decoded.find_route("a.example", "/x/")
        self.assertIs(RouteKind.UNSAFE, route.kind)

    def test_records_of_other_keys_are_ignored(self):
        """The operator may write other records to the topic."""
        record = KeyedRecord(b"other", b"{}", 1)
        self.assertIsNone(PlatformDirectory().decode_configuration(record))


class ServerTest(ApricotTest):
    """Records of servers."""

    def test_server_is_decoded(self):
        """It has its start time, which distinguishes restarts under the same id."""
        endpoint_id, endpoint = PlatformDirectory().decode_endpoint(server())
        self.assertEqual("i-1", endpoint_id)
        self.assertEqual(("10.0.0.1", 80, 8, 5), endpoint_fields(endpoint))
        self.assertFalse(endpoint.is_leaving)

    def test_draining_server_is_leaving(self):
        """A leaving endpoint gets no new work."""
        _, endpoint = PlatformDirectory().decode_endpoint(server(state="draining"))
        self.assertTrue(endpoint.is_leaving)

    @parameterized.expand(
        [
            ("service missing", {"service": None}),
            ("address missing", {"address": None}),
            ("address without port", {"address": "10.0.0.1"}),
            ("address of wrong type", {"address": 5}),
            ("state unknown", {"state": "resting"}),
            ("slots of wrong type", {"slots": "many"}),
            ("start time with a fraction", {"born": 1.5}),
        ]
    )
    def test_invalid_server_record_raises(self, _name, changes):
        """Records of other programs may hold anything."""
        with self.assertRaises(RecordUnreadableError):
            PlatformDirectory().decode_endpoint(server(**changes))


class RecordTest(ApricotTest):
    """Framing of records in the store's responses."""

    def test_encoded_records_decode_unchanged(self):
        """This includes a deletion, which has no value."""
        records = [KeyedRecord(b"a", b"1"), KeyedRecord(b"b", None)]
        data = b"".join(encode_record(record) for record in records)
        decoded = decode_records(data, 10)
        self.assertEqual(
            [(b"a", b"1", 10), (b"b", None, 11)], list(map(record_fields, decoded))
        )

    @parameterized.expand(
        [
            ("empty content", b"\x00\x00\x00\x00"),
            ("key longer than content", b"\x00\x00\x00\x02\x05a"),
            ("truncated", b"\x00\x00\x00\x09\x01a"),
        ]
    )
    def test_malformed_record_keeps_its_offset(self, _name, data):
        """Otherwise the records after it would get wrong offsets."""
        self.assertEqual(3, decode_records(data, 3)[0].offset)


def endpoint_fields(endpoint) -> tuple:
    """Return the fields that the tests compare."""
    return endpoint.host, endpoint.port, endpoint.slots, endpoint.started_ms


def record_fields(record: KeyedRecord) -> tuple:
    """Return the fields that the tests compare."""
    return record.key, record.value, record.offset


class PromptPartsTest(ApricotTest):
    """Parts of prompts as requests list them; other programs write these headers."""

    @parameterized.expand(
        [
            ("none", None, []),
            ("empty", "", []),
            ("own part only", "1a:5", []),
            ("shared parts", "1a:5,2b:7,3c:9", ["1a@m", "2b@m"]),
            ("upper case and spaces", " 1A:5 , 2b:7,3c", ["1a@m", "2b@m"]),
            ("without tokens", "1a,2b:,3c:x", ["1a@m", "2b@m"]),
            ("without an id", ":5,,2b:7,3c:9", ["2b@m"]),
            ("repeated", "1a:5,1a:5,3c:9", ["1a@m"]),
            ("own part missing", "1a:5,", ["1a@m"]),
        ]
    )
    def test_parts_but_the_last_are_shared(self, _name, value, parts):
        """Malformed entries do not hide the others."""
        headers = [(b"model", b"m")]
        if value is not None:
            headers.append((b"prompt-prefix", value.encode()))
        self.assertEqual(parts, decode_prompt_parts(headers))

    def test_invented_parts_are_bounded(self):
        """A caller may list any number, with ids and models of any length."""
        value = ",".join(f"{n:x}{'f' * 1000}:1" for n in range(500))
        headers = [(b"model", b"m" * 9000), (b"prompt-prefix", value.encode())]
        parts = decode_prompt_parts(headers)
        self.assertEqual(MAX_PARTS_PER_REQUEST, len(parts))
        self.assertLess(max(map(len, parts)), 200)


class LimitHeaderTest(ApricotTest):
    """The limit on requests that a response names."""

    @parameterized.expand(
        [
            ("no header", [], NO_LIMIT),
            ("a number", [b"4.25"], EndpointLimit(4.25)),
            ("spaces around it", [b" 3 "], EndpointLimit(3.0)),
            ("nothing at all", [b"0"], EndpointLimit(0.0)),
            ("less than one", [b"0.3"], EndpointLimit(0.3)),
            ("no bound in practice", [b"1e9"], EndpointLimit(1e9)),
            ("a word", [b"many"], EndpointLimit(malformed="many")),
            ("negative", [b"-2"], EndpointLimit(malformed="-2")),
            ("not a number", [b"nan"], EndpointLimit(malformed="nan")),
            ("infinite", [b"inf"], EndpointLimit(malformed="inf")),
            ("too large for a float", [b"1e999"], EndpointLimit(malformed="1e999")),
            ("empty", [b""], EndpointLimit(malformed="(empty)")),
            ("two headers", [b"2", b"9"], EndpointLimit(malformed="2,9")),
            ("very long", [b"9" * 99], EndpointLimit(malformed="9" * 40)),
        ]
    )
    def test_limit_is_read_or_told_as_malformed(self, _name, values, expected):
        """Other programs write the header, so it may hold anything."""
        headers = [(b"server-limit", value) for value in values]
        self.assertEqual(expected, decode_limit(headers))


class LoadHeaderTest(ApricotTest):
    """The load that a response states."""

    @parameterized.expand(
        [
            ("no header", [], NO_LOAD),
            ("three figures", [b"3,0,8"], EndpointLoad(3, 0, 8)),
            ("spaces", [b" 3, 1 ,8 "], EndpointLoad(3, 1, 8)),
            ("with the time", [b"8,2,8,250"], EndpointLoad(8, 2, 8, 250.0)),
            ("time with a fraction", [b"8,2,8,99.5"], EndpointLoad(8, 2, 8, 99.5)),
            ("slowest", [b"1,0,8,100000"], EndpointLoad(1, 0, 8, 100_000.0)),
            ("most slots", [b"0,0,100000"], EndpointLoad(0, 0, 100_000)),
        ]
    )
    def test_load_is_read(self, _name, values, expected):
        """Of a response with one header."""
        headers = [(b"server-load", value) for value in values]
        self.assertEqual(expected, decode_load(headers))

    @parameterized.expand(
        [
            ("empty", [b""]),
            ("a word", [b"busy"]),
            ("not a number", [b"nan,0,8"]),
            ("negative", [b"-1,0,8"]),
            ("a fraction", [b"1.5,0,8"]),
            ("a million", [b"1000000,0,8"]),
            ("a million waiting", [b"1,1000000,8"]),
            ("two figures", [b"3,0"]),
            ("no slots", [b"0,0,0"]),
            ("other digits", ["٣,0,8".encode()]),
            ("no time", [b"3,0,8,"]),
            ("time of zero", [b"3,0,8,0"]),
            ("negative time", [b"3,0,8,-100"]),
            ("infinite time", [b"3,0,8,inf"]),
            ("time beyond all", [b"3,0,8,100001"]),
            ("time too large for a float", [b"3,0,8,1e999"]),
            ("five figures", [b"3,0,8,100,7"]),
            ("two headers", [b"3,0,8", b"4,0,8"]),
            ("very long", [b"9" * 99]),
        ]
    )
    def test_absurd_load_states_nothing(self, _name, values):
        """Other programs write the header, so it may hold anything."""
        load = decode_load([(b"server-load", value) for value in values])
        self.assertTrue(load.malformed)
        self.assertEqual((0, 0, 0), (load.running, load.waiting, load.slots))
        self.assertFalse(load.is_full)
