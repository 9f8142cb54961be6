"""A short run of the soak, and each seed that ever broke a promise."""

import subprocess
import sys
from pathlib import Path

from parameterized import parameterized

from .base import ApricotTest

ROOT = Path(__file__).parent.parent


class SoakTest(ApricotTest):
    """Real processes, faults from outside, and the judge's word."""

    @parameterized.expand(
        [
            ("short", 1, 5),
            # Two SIGTERMs overlapped: the soak waited for the wrong process.
            ("overlapping stops", 14, 8),
            # Servers that were killed convicted a request that all callers sent.
            ("killed servers", 101, 10),
        ]
    )
    def test_no_promise_is_broken(self, _name, seed, seconds):
        """Whatever the faults, the judge finds nothing."""
        args = ["standins.soak", "--seed", str(seed), "--seconds", str(seconds)]
        result = subprocess.run(
            [sys.executable, "-m", *args],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stdout + result.stderr)
