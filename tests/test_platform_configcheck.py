"""The check of a configuration before it is sent."""

import json
import random
import subprocess
import sys
import tempfile
from pathlib import Path

from hypothesis import given, strategies
from parameterized import parameterized

from apricotquay.platform.configcheck import check_configuration
from apricotquay.platform.configdiff import find_differences
from apricotquay.platform.configfindings import Code, Severity, show_path
from apricotquay.platform.configreport import (
    ReportFormat,
    build_report,
    render_report,
)
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.fleet.keyedlog import KeyedRecord
from apricotquay.serving.fleet.view import RecordUnreadableError
from standins.platform import make_configuration

from .base import PROPERTY_SETTINGS, ApricotTest

ROOT = Path(__file__).parent.parent

DOCUMENT = """{
 "version": 4,
 "routes": [
  {"name": "s", "host": "a.example", "path_prefix": "/s/", "kind": "streaming",
   "service": "llm",
   "timeout_ms": 5000, "target_latency_ms": 1000,
   "priority": 1,
   "max_attempts": 3,
   "allowed_regions": ["west", "east"]},
  {"name": "b", "host": "a.example", "path_prefix": "/b/", "kind": "batch",
   "weighted_services": [{"service": "llm", "weight": 3},
    {"service": "small", "weight": 1}],
   "result_deadline_ms": 20000,
   "retention_s": 60}
 ],
 "services": [
  {"name": "llm", "engine": {"slots": 8, "kv_cache_tokens": 147261},
   "cold_start_s": 3.0,
   "cold_per_s": 6.1},
  {"name": "small"}
 ],
 "limits": {
  "max_body_bytes": 4194304
 },
 "tenants": [
  {"name": "alpha", "api_keys": ["key-of-alpha"],
   "rate_per_s": 3.5, "burst": 5,
   "allowed_regions": ["east"]},
  {"name": "beta",
   "api_keys": ["key-of-beta", "other-key-of-beta"]}
 ]
}
"""

# Name, text that is replaced, its replacement, code, path. The finding's line is the
# last one of the replacement.
FAULTS = [
    ("not_json", '"version": 4', '"version" 4', "not_json", "(document)"),
    ("nested", "4194304", "[" * 100_000, "not_json", "(document)"),
    (
        "twice",
        '"priority": 1',
        '"priority": 1,\n"priority": 2',
        "duplicate_field",
        "routes[0].priority",
    ),
    ("list", '"service": "llm",', '"service": [],', "wrong_type", "routes[0].service"),
    ("text", "5000", '"5 s"', "wrong_type", "routes[0].timeout_ms"),
    ("true", '"max_attempts": 3', '"max_attempts": true', "wrong_type", None),
    ("null", '"priority": 1', '"priority": null', "wrong_type", "routes[0].priority"),
    ("range", "5000", "1e300", "out_of_range", "routes[0].timeout_ms"),
    ("digits", "5000", "9" * 401, "out_of_range", "routes[0].timeout_ms"),
    ("large", '"priority": 1', f'"priority": {10**20}', "out_of_range", None),
    ("large_limit", "4194304", "1e300", "out_of_range", "limits.max_body_bytes"),
    ("regions", '["east"]', '"east"', "wrong_type", "tenants[0].allowed_regions"),
    ("limit", "4194304", '"4 MB"', "wrong_type", "limits.max_body_bytes"),
    (
        "key_type",
        '["key-of-beta", "other-key-of-beta"]',
        '[{"key-of-beta": "other-key-of-beta"}]',
        "wrong_type",
        "tenants[1].api_keys[0]",
    ),
    (
        "missing",
        '"host": "a.example", "path_prefix": "/s/"',
        '"path_prefix": "/s/"',
        "missing_field",
        "routes[0]",
    ),
    ("version", '"version": 4,', "", "missing_field", "(document)"),
    ("misspelt", '"priority"', '"prioritiy"', "unknown_field", "routes[0].prioritiy"),
    ("odd_name", '"priority"', '"a b\\n"', "unknown_field", "routes[0]['a b\\n']"),
    (
        "unknown_limit",
        '"max_body_bytes"',
        '"max_body_byte"',
        "unknown_field",
        "limits.max_body_byte",
    ),
    (
        "priority",
        '"priority": 1',
        '"priority": -1',
        "negative_value",
        "routes[0].priority",
    ),
    ("rate", "3.5", "-3.5", "negative_value", "tenants[0].rate_per_s"),
    ("memory", "147261", "-1", "negative_value", "services[0].engine.kv_cache_tokens"),
    ("same_route", '"name": "b"', '"name": "s"', "duplicate_route", "routes[1].name"),
    ("same_prefix", '"/b/"', '"/s/"', "shadowed_route", "routes[1].path_prefix"),
    (
        "no_first_slash",
        '"/b/"',
        '"b/"',
        "prefix_without_slashes",
        "routes[1].path_prefix",
    ),
    (
        "no_last_slash",
        '"/b/"',
        '"/b"',
        "prefix_without_slashes",
        "routes[1].path_prefix",
    ),
    ("kind", '"streaming"', '"stream"', "unknown_kind", "routes[0].kind"),
    ("no_service", '"service": "llm",\n', "\n", "route_without_service", "routes[0]"),
    (
        "undeclared",
        '"service": "llm",\n',
        '"service": "llm2",\n',
        "undeclared_service",
        "routes[0].service",
    ),
    (
        "undeclared_weighted",
        '"service": "small"',
        '"service": "tiny"',
        "undeclared_service",
        "routes[1].weighted_services[1].service",
    ),
    (
        "service_and_weights",
        '"service": "llm",\n',
        '"weighted_services": [{"service": "llm", "weight": 1}], "service": "llm",\n',
        "unused_weights",
        "routes[0].weighted_services",
    ),
    (
        "negative_weight",
        '"weight": 1',
        '"weight": -1',
        "negative_weight",
        "routes[1].weighted_services[1].weight",
    ),
    (
        "zero_weights",
        '"weight": 3},\n    {"service": "small", "weight": 1}',
        '"weight": 0}, {"service": "small", "weight": 0}',
        "zero_weights",
        "routes[1].weighted_services",
    ),
    ("timeout", "5000", "999", "timeout_below_target", "routes[0].timeout_ms"),
    (
        "attempts",
        '"max_attempts": 3',
        '"max_attempts": 6',
        "attempts_exceed_timeout",
        "routes[0].max_attempts",
    ),
    (
        "no_deadline",
        '"result_deadline_ms": 20000,',
        "",
        "batch_without_deadline",
        "routes[1]",
    ),
    (
        "retention",
        '"retention_s": 60',
        '"retention_s": 19.9',
        "retention_below_deadline",
        "routes[1].retention_s",
    ),
    (
        "same_service",
        '{"name": "small"}',
        '{"name": "small"},\n{"name": "small"}',
        "duplicate_service",
        "services[2].name",
    ),
    (
        "unused_service",
        '{"name": "small"}',
        '{"name": "small"},\n{"name": "unused"}',
        "service_without_routes",
        "services[2]",
    ),
    (
        "cold_rate",
        '"cold_start_s": 3.0,\n   "cold_per_s": 6.1',
        '"cold_per_s": 6.1',
        "cold_rate_without_time",
        "services[0].cold_per_s",
    ),
    ("same_team", '"beta"', '"alpha"', "duplicate_team", "tenants[1].name"),
    (
        "key",
        '"key-of-beta"',
        '"key-of-alpha"',
        "duplicate_key",
        "tenants[1].api_keys[0]",
    ),
    (
        "key_twice",
        '"other-key-of-beta"',
        '"key-of-beta"',
        "duplicate_key",
        "tenants[1].api_keys[1]",
    ),
    (
        "no_key",
        '{"name": "beta",\n   "api_keys": ["key-of-beta", "other-key-of-beta"]}',
        '{"name": "beta"}',
        "team_without_keys",
        "tenants[1]",
    ),
    ("no_rate", '"rate_per_s": 3.5,', "", "burst_without_rate", "tenants[0].burst"),
    (
        "small_burst",
        '"burst": 5',
        '"burst": 0.5',
        "burst_below_request",
        "tenants[0].burst",
    ),
    ("no_burst", ', "burst": 5', "", "burst_below_request", "tenants[0].rate_per_s"),
    (
        "regions_apart",
        '["west", "east"]',
        '["west"]',
        "regions_without_common",
        "routes[0].allowed_regions",
    ),
    ("body", "4194304", "600000000", "body_exceeds_memory", "limits.max_body_bytes"),
]

# Line of the finding, where it is that of the entry around the replaced text.
ENTRY_LINES = {
    "nested": 1,
    "missing": 4,
    "version": 1,
    "no_service": 4,
    "no_deadline": 10,
}
MEMORY_MB = 552

DIFFERENCES = [
    ("none", "", "", []),
    ("version", '"version": 4', '"version": 5', ["version changed from 4 to 5"]),
    (
        "timeout",
        "5000",
        "4000.5",
        ["route 's': timeout_ms changed from 5000 to 4000.5"],
    ),
    (
        "moved",
        '"service": "llm",\n',
        '"service": "small",\n',
        ["route 's' moved from service 'llm' to service 'small'"],
    ),
    (
        "weights",
        '"weight": 1',
        '"weight": 2',
        [
            "route 'b' moved from services 'llm' (weight 3), 'small' (weight 1) "
            "to services 'llm' (weight 3), 'small' (weight 2)"
        ],
    ),
    (
        "renamed_route",
        '"name": "s"',
        '"name": "t"',
        [
            "route 's' removed (to service 'llm')",
            "route 't' added (to service 'llm')",
        ],
    ),
    (
        "engine",
        '"slots": 8',
        '"slots": 4',
        ["service 'llm': engine: slots changed from 8 to 4"],
    ),
    (
        "service",
        '{"name": "small"}',
        '{"name": "small"}, {"name": "new"}',
        ["service 'new' added"],
    ),
    (
        "limit",
        "4194304",
        '1000, "idle_timeout_ms": 5',
        [
            "limit 'idle_timeout_ms' changed from unset to 5",
            "limit 'max_body_bytes' changed from 4194304 to 1000",
        ],
    ),
    (
        "rate",
        '"rate_per_s": 3.5, "burst": 5',
        '"rate_per_s": 4, "burst": 6',
        [
            "team 'alpha': rate_per_s changed from 3.5 to 4",
            "team 'alpha': burst changed from 5 to 6",
        ],
    ),
    (
        "keys",
        '["key-of-beta", "other-key-of-beta"]',
        '["new-key-of-beta"]',
        ["team 'beta': 1 key added", "team 'beta': 2 keys removed"],
    ),
    (
        "renamed_team",
        '"beta"',
        '"gamma"',
        ["team 'beta' removed (with 2 keys)", "team 'gamma' added (with 2 keys)"],
    ),
    (
        "open",
        '"tenants": [',
        '"unused": [',
        [
            "no keys are needed any more: the document has no field tenants",
            "team 'alpha' removed (with 1 key)",
            "team 'beta' removed (with 2 keys)",
        ],
    ),
    (
        "regions",
        '["east"]',
        '["east", "west"]',
        ["team 'alpha': allowed_regions changed from 'east' to 'east', 'west'"],
    ),
]


def replace_once(old: str, new: str) -> str:
    """Return the document with the first occurrence of a text replaced."""
    if old not in DOCUMENT:
        raise ValueError(old)
    return DOCUMENT.replace(old, new, 1)


class ConfigCheckTest(ApricotTest):
    """Findings about one document."""

    @parameterized.expand(FAULTS)
    def test_fault_is_found_at_its_place(self, name, old, new, code, path):
        """A check that misses a fault, or names another place, misleads operators."""
        text = replace_once(old, new)
        found = check_configuration(text.encode(), MEMORY_MB).findings
        matching = [finding for finding in found if finding.code is Code(code)]
        self.assertEqual(1, len(matching), found)
        if path is not None:
            self.assertEqual(path, show_path(matching[0].path))
        start = DOCUMENT.index(old)
        line = (DOCUMENT[:start] + new.rstrip("\n")).count("\n") + 1
        self.assertEqual(ENTRY_LINES.get(name, line), matching[0].line)

    def test_every_code_has_a_fault(self):
        """A code without a fault in the table has an untested check."""
        codes = {Code(fault[3]) for fault in FAULTS}
        self.assertEqual(set(Code) - {Code.REJECTED}, codes)

    @parameterized.expand(
        [
            ("table", DOCUMENT),
            ("stand_in", json.dumps(make_configuration(1, {"t": ["k1"]}))),
            (
                "public",
                replace_once('"kind": "streaming"', '"kind": "safe", "public": true'),
            ),
            ("no_teams", '{"version": 1, "routes": [], "tenants": null}'),
        ]
    )
    def test_document_without_a_fault_has_no_finding(self, _name, text):
        """Operators ignore a check that reports sound documents."""
        result = check_configuration(text.encode(), MEMORY_MB)
        self.assertEqual([], result.findings)
        self.assertTrue(result.is_valid)

    def test_team_without_keys_is_no_finding_beside_a_public_route(self):
        """Requests of public routes carry no key."""
        text = replace_once('"kind": "streaming"', '"kind": "safe", "public": true')
        text = text.replace('["key-of-alpha"]', "[]")
        self.assertEqual([], check_configuration(text.encode()).findings)

    @parameterized.expand(
        [("", "every path"), ("b/", "no path"), ("/b", "longer names")]
    )
    def test_prefix_without_slashes_says_what_matches(self, prefix, expected):
        """The same code stands for a route without requests and one with too many."""
        text = replace_once('"/b/"', json.dumps(prefix))
        (finding,) = check_configuration(text.encode()).findings
        self.assertIn(expected, finding.message)

    def test_unknown_field_suggests_the_known_one(self):
        """The operator need not search for the right name."""
        text = replace_once('"priority"', '"prioritiy"')
        (finding,) = check_configuration(text.encode()).findings
        self.assertIn("is priority meant?", finding.message)
        self.assertIs(Severity.WARNING, finding.severity)

    @parameterized.expand(
        [(b"\xff",), (b"",), (b'\n{"a":\n\x80"}',), (b"[1]",), (b"3",)]
    )
    def test_data_of_another_kind_is_invalid(self, data):
        """A file that is no configuration gives a finding and no traceback."""
        result = check_configuration(data)
        self.assertFalse(result.is_valid)
        self.assertNotEqual([], result.findings)


class ConfigDifferencesTest(ApricotTest):
    """Differences from another version."""

    @parameterized.expand(DIFFERENCES)
    def test_difference_is_said_in_words(self, _name, old, new, expected):
        """An operator who overlooks a change sends what was not meant."""
        before = check_configuration(DOCUMENT.encode()).configuration
        after = check_configuration(replace_once(old, new).encode()).configuration
        found = [d.message for d in find_differences(before, after)]
        self.assertEqual(expected, found)


def mutate(source: random.Random, value: object) -> object:
    """Return a JSON value with a part replaced, removed or added at random."""
    odd = [None, -1, 0, 10**400, 1e308, "", "x", [], {}, True, [{}], {"name": 1}]
    if isinstance(value, dict) and value and source.random() < 0.9:
        name = source.choice(list(value))
        kept = {k: v for k, v in value.items() if k != name}
        if source.random() < 0.1:
            return kept
        new_name = name + "x" if source.random() < 0.1 else name
        return {**kept, new_name: mutate(source, value[name])}
    if isinstance(value, list) and value and source.random() < 0.9:
        index = source.randrange(len(value))
        changed = [*value]
        changed[index] = mutate(source, value[index])
        return changed + [value[index]] * source.randrange(2)
    return source.choice(odd)


def is_taken_by_daemons(data: bytes) -> bool:
    """Whether a daemon would decode a configuration."""
    try:
        PlatformDirectory().decode_configuration(KeyedRecord(b"config", data))
    except (RecordUnreadableError, OverflowError, ValueError):
        return False
    return True


class ConfigMutationTest(ApricotTest):
    """Documents with random faults."""

    KEYS = frozenset(("key-of-alpha", "key-of-beta", "other-key-of-beta"))

    def check_report(self, data: bytes) -> None:
        """Check and print a document; a key in the output fails the test."""
        result = check_configuration(data, MEMORY_MB)
        before = check_configuration(DOCUMENT.encode())
        differences = None
        if result.is_valid:
            self.assertTrue(is_taken_by_daemons(data))
            differences = [
                *find_differences(before.configuration, result.configuration),
                *find_differences(result.configuration, before.configuration),
            ]
        else:
            self.assertNotEqual([], result.findings)
        for to in ReportFormat:
            keys = before.keys | result.keys
            report = build_report("f.json", result, differences, keys)
            text = render_report(report, to)
            for key in self.KEYS:
                self.assertNotIn(key, text)

    @PROPERTY_SETTINGS
    @given(strategies.randoms(use_true_random=False))
    def test_random_mutation_never_raises_nor_shows_a_key(self, source):
        """A traceback, or a key in the output, on a document with several faults."""
        value = json.loads(DOCUMENT)
        for _ in range(source.randrange(1, 6)):
            value = mutate(source, value)
        self.check_report(json.dumps(value).encode())

    @PROPERTY_SETTINGS
    @given(strategies.integers(0, len(DOCUMENT) - 1), strategies.binary(max_size=3))
    def test_random_bytes_never_raise_nor_show_a_key(self, start, inserted):
        """A document that is truncated or damaged is reported."""
        data = DOCUMENT.encode()
        self.check_report(data[:start] + inserted + data[start + len(inserted) :])
        self.check_report(data[:start])

    @parameterized.expand(
        [
            ("team", '"name": "beta"', '"name": "key-of-beta"'),
            ("field", '"rate_per_s": 3.5', '"key-of-alpha": 3.5'),
            ("service", '"service": "llm",\n', '"service": "key-of-beta",\n'),
            ("object", '["key-of-alpha"]', '{"key-of-alpha": "key-of-beta"}'),
        ]
    )
    def test_key_in_a_wrong_place_is_not_shown(self, _name, old, new):
        """A report is copied into tickets; names in it may be keys by mistake."""
        self.check_report(replace_once(old, new).encode())

    @parameterized.expand(
        [("long", "k-" + "0123456789" * 9), ("escaped", "k\x07\nx'é")]
    )
    def test_key_as_a_name_is_not_shown_in_another_form(self, _name, key):
        """Names are printed escaped and shortened, which hides a key from a search."""
        value = json.loads(DOCUMENT)
        value["tenants"][1] = {"name": key, "api_keys": [key, key]}
        result = check_configuration(json.dumps(value).encode())
        (finding,) = build_report("f.json", result, None, result.keys).findings
        self.assertEqual(
            "the key belongs to team '(key)' already",
            finding.message.replace("…", "").replace('"', "'"),
        )


class ConfigCommandTest(ApricotTest):
    """The command, in a process of its own."""

    def run_check(self, text: str | None, *args: str, against: str | None = None):
        """Run `config check` on a file with the text, None for no file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name) / "new.json"
        if text is not None:
            file.write_text(text)
        if against is not None:
            other = Path(folder.name) / "old.json"
            other.write_text(against)
            args = (*args, f"--against={other}")
        command = [sys.executable, "-m", "apricotquay.cmdline", "config", "check"]
        return subprocess.run(
            [*command, str(file), *args],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            check=False,
        )

    @parameterized.expand(
        [
            ("sound", DOCUMENT, (), 0),
            ("finding", replace_once("5000", "999"), (), 1),
            ("warning", replace_once('"priority"', '"prioritiy"'), (), 1),
            ("memory", DOCUMENT, ("--memory_mb=4",), 1),
            ("wrong_type", replace_once("5000", '"x"'), (), 2),
            ("not_json", "{", (), 2),
            ("no_file", None, (), 2),
            ("unknown_flag", DOCUMENT, ("--againts=x",), 2),
            ("second_file", DOCUMENT, ("x",), 2),
            ("unknown_format", DOCUMENT, ("--format=xml",), 2),
            ("memory_text", DOCUMENT, ("--memory_mb=much",), 2),
            ("memory_missing", DOCUMENT, ("--memory_mb",), 2),
            ("against_missing", DOCUMENT, ("--against=/nowhere/x",), 2),
        ]
    )
    def test_exit_status(self, _name, text, args, status):
        """A script sends the configuration only after status 0."""
        result = self.run_check(text, *args)
        self.assertEqual(status, result.returncode, result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_text_has_one_line_a_finding(self):
        """Editors and scripts read FILE:LINE."""
        result = self.run_check(replace_once("5000", "999"))
        finding, summary = result.stdout.splitlines()
        self.assertIn(
            "new.json:6: error: timeout_below_target: routes[0].timeout_ms: ", finding
        )
        self.assertIn("new.json: errors: 1, warnings: 0", summary)

    def test_json_holds_findings_and_differences(self):
        """Differences alone are no findings."""
        text = replace_once('"burst": 5', '"burst": 0.5')
        result = self.run_check(text, "--format=json", against=DOCUMENT)
        value = json.loads(result.stdout)
        self.assertEqual(1, value["status"])
        (finding,) = value["findings"]
        self.assertEqual(
            ("error", "burst_below_request", "tenants[0].burst", 27),
            tuple(finding[n] for n in ("severity", "code", "path", "line")),
        )
        self.assertEqual(
            ["team 'alpha': burst changed from 5 to 0.5"], value["differences"]
        )

    def test_differences_alone_are_no_findings(self):
        """A changed configuration would never pass otherwise."""
        text = replace_once('"version": 4', '"version": 5')
        result = self.run_check(text, against=DOCUMENT)
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn("difference: version changed from 4 to 5", result.stdout)

    def test_invalid_other_version_is_named(self):
        """Findings about FILE would be misread as those of the other one."""
        result = self.run_check(DOCUMENT, against="{")
        self.assertEqual(2, result.returncode)
        self.assertIn("old.json: invalid", result.stderr)
