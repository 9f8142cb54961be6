"""The settings file of the platform: the size of the VM."""

import json
import os
import tempfile
from pathlib import Path
from unittest import mock

from parameterized import parameterized

from apricotquay.errors import RequestError
from apricotquay.platform.settings import SETTINGS_PATH_VARIABLE, load_settings
from apricotquay.serving.http.resourcelimits import ResourceLimits

from .base import ApricotTest

VALID = {
    "node": "d0",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "control": "a:3"},
    "platform": {"address": "127.0.0.1:4"},
}


class VmLimitsTest(ApricotTest):
    """The limits that a daemon keeps."""

    def load(self, **changes) -> ResourceLimits:
        """Return the limits of a settings file with changes."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "boot.json")
            path.write_text(json.dumps(VALID | changes))
            with mock.patch.dict(os.environ, {SETTINGS_PATH_VARIABLE: str(path)}):
                return load_settings(None).resources

    @parameterized.expand(
        [
            ("no limits", {}, ResourceLimits()),
            ("empty", {"limits": {}}, ResourceLimits()),
            (
                "not known",
                {"limits": {"memory_mb": 0, "max_fds": -1}},
                ResourceLimits(),
            ),
            ("other fields", {"limits": {"cores": 0.387}}, ResourceLimits()),
            (
                "small VM",
                {"limits": {"memory_mb": 160.5, "max_fds": 1638}},
                ResourceLimits(160, 1638, 30.0),
            ),
            (
                "own stall time",
                {"limits": {"write_stall_ms": 1500}},
                ResourceLimits(write_stall_s=1.5),
            ),
        ]
    )
    def test_limits_are_those_of_the_vm(self, _name, changes, expected):
        """A daemon that assumes a larger VM is terminated there."""
        self.assertEqual(expected, self.load(**changes))

    def test_malformed_limits_are_named(self):
        """A daemon that guessed would be terminated later."""
        with self.assertRaises(RequestError) as caught:
            self.load(limits={"max_fds": "many"})
        self.assertIn("max_fds", caught.exception.message)
