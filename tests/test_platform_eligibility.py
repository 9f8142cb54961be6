"""The platform's names for what decides which endpoints may get work."""

from parameterized import parameterized

from apricotquay.platform.wire import MAX_COLD_LEFT_MS, PlatformDirectory

from .base import ApricotTest
from .test_platform_wire import config, server


class ColdFieldsTest(ApricotTest):
    """Cold times of entries, and the limits of services."""

    @parameterized.expand(
        [
            ("time", 1500, 1.5),
            ("fraction", 0.5, 0.0005),
            ("warm", 0, 0.0),
            ("missing", None, None),
            ("text", "1500", None),
            ("list", [1500], None),
            ("truth value", True, None),
            ("negative", -1, None),
            ("absurd", MAX_COLD_LEFT_MS + 1, None),
        ]
    )
    def test_entry_stays_usable(self, _name, value, expected_s):
        """A field of another type must not take the endpoint out of service."""
        record = server(cold_left_ms=value)
        _, endpoint = PlatformDirectory().decode_endpoint(record)
        self.assertEqual(expected_s, endpoint.cold_left_s)
        self.assertEqual(8, endpoint.slots)

    @parameterized.expand(
        [
            ("none", {}, (0.0, 0.0)),
            ("service", {"cold_start_s": 3.0, "cold_per_s": 6.1}, (3.0, 6.1)),
            ("engine", {"engine": {"cold_start_s": 3, "cold_per_s": 6}}, (3, 6)),
            ("text", {"cold_start_s": "3", "cold_per_s": "6.1"}, (0.0, 0.0)),
            ("negative", {"cold_start_s": -3, "cold_per_s": -6.1}, (0.0, 0.0)),
            ("absurd", {"cold_start_s": 1e9, "cold_per_s": 1e300}, (0.0, 0.0)),
        ]
    )
    def test_service_limits(self, _name, fields, expected):
        """An invalid limit counts as none, and the configuration stays usable."""
        record = config(services=[{"name": "llm", **fields}])
        service = PlatformDirectory().decode_configuration(record).services["llm"]
        self.assertEqual(expected, (service.cold_start_s, service.cold_per_s))
