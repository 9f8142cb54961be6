"""Each header, field and state of the platform is decoded or known not to be needed."""

import re
from pathlib import Path

from parameterized import parameterized

from apricotquay.platform import engines, wire
from apricotquay.serving.catalog import Limits, RouteKind
from apricotquay.serving.http import http1

from .base import ApricotTest

PAGE = Path(__file__).parent.parent / "docs" / "PLATFORM.md"
SECTION = "## The platform's headers, fields and states"

HEADERS = """
    Attempt-Id Connection Deadline-Ms Expect-Instance Expect-Version Hold Instance
    Keep-Alive Key Kv-Backup Kv-Fetch Kv-From Last-Event-Id Length-Hint Model Not-Run
    Pin-Ms Prompt-Prefix Response-Stamp Resumes Retry-After Server-Leaving Server-Limit
    Server-Load Tenant Token-Usage Wait-Ms Weight-Versions
""".split()
# Passed on as they are.
UNUSED_HEADERS = {"Length-Hint", "Weight-Versions", "Pin-Ms"}

# Fields of each record, with those that are not decoded.
RECORDS = [
    (
        "server",
        wire._Server,
        "service address zone version slots state cold_left_ms seq born",
        {"seq"},
    ),
    (
        "configuration",
        wire._Configuration,
        "version routes services limits tenants",
        set(),
    ),
    (
        "route",
        wire._Route,
        "name host path_prefix kind service weighted_services timeout_ms "
        "target_latency_ms priority max_attempts public sticky resumable gap_aim_ms "
        "result_deadline_ms retention_s cap allowed_regions",
        {"sticky"},
    ),
    (
        "tenant",
        wire._Tenant,
        "name api_keys rate_per_s burst priority allowed_regions",
        set(),
    ),
    (
        "service",
        wire._Service,
        "name engine health_path max_conns cold_start_s cold_per_s protocol tls",
        {"health_path", "max_conns", "protocol", "tls"},
    ),
    (
        "limits",
        Limits,
        "max_header_bytes max_body_bytes header_timeout_ms idle_timeout_ms",
        set(),
    ),
]


def named_on_page() -> set[str]:
    """Return the names that the page's table states a use or a reason for."""
    section = PAGE.read_text().partition(SECTION)[2].partition("\n## ")[0]
    return set(re.findall(r"`([^`]+)`", section))


class PlatformFieldsTest(ApricotTest):
    """A name that the adapter drops unseen has cost callers twice."""

    @parameterized.expand([(name,) for name in HEADERS])
    def test_header_is_known_to_the_adapter(self, name):
        """Its code names it, or it is passed on on purpose; the page says which."""
        self.assertIn(name, named_on_page())
        constants = {v for v in vars(wire).values() if isinstance(v, bytes)}
        constants |= wire.RESERVED_HEADERS | engines.INTERNAL_HEADERS
        constants |= http1.HOP_BY_HOP_HEADERS
        is_known = name.lower().encode() in constants
        self.assertEqual(name not in UNUSED_HEADERS, is_known)

    @parameterized.expand(RECORDS)
    def test_field_is_decoded_or_not_needed(self, _name, struct, fields, unused):
        """The page names it, too."""
        self.assertEqual(set(fields.split()) - unused, set(struct.__struct_fields__))
        self.assertEqual(set(), set(fields.split()) - named_on_page())

    @parameterized.expand([("safe",), ("unsafe",), ("streaming",), ("batch",)])
    def test_kind_of_route_is_decoded(self, kind):
        """Each has a meaning of its own."""
        self.assertEqual(kind, RouteKind(kind).value)
        self.assertIn(kind, named_on_page())
