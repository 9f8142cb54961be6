"""A short soak test, and the seeds that violated a guarantee in the past."""

import subprocess
import sys
from pathlib import Path

from parameterized import parameterized

from .base import ApricotTest

ROOT = Path(__file__).parent.parent


class SoakTest(ApricotTest):
    """Real event-loop daemons keep their guarantees under external faults."""

    @parameterized.expand(
        [
            ("short", 1, 5),
            ("two software versions", 2, 8, 2),
            # Two SIGTERMs overlapped, and the soak test waited for the wrong process.
            ("overlapping stops", 14, 8),
            # Killed servers quarantined a request that all callers had sent.
            ("killed servers", 101, 10),
            # Servers were silent for a while, and their streams were cut off.
            ("silent servers", 2003, 8),
        ]
    )
    def test_no_guarantee_is_violated(self, _name, seed, seconds, versions=1):
        """The soak test finds no violation, whichever faults are injected."""
        args = ["standins.soak", "--seed", str(seed), "--seconds", str(seconds)]
        args += ["--servers", str(3 * versions), "--versions", str(versions)]
        result = subprocess.run(
            [sys.executable, "-m", *args],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stdout + result.stderr)
