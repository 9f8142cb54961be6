"""After how long a silent attempt is given up."""

from parameterized import parameterized

from apricotquay.serving.timeouts import (
    MIN_LIMIT_S,
    MIN_SAMPLES,
    USUAL_TIMES,
    WINDOW,
    AdaptiveTimeout,
)

from .base import ApricotTest


class PaceTest(ApricotTest):
    """The limit learned from waits."""

    def pace(self, waits_s: list[float]) -> AdaptiveTimeout:
        """Return a pace that saw waits."""
        pace = AdaptiveTimeout(0.9)
        for wait_s in waits_s:
            pace.see(wait_s)
        return pace

    @parameterized.expand(
        [
            ("nothing known", [], 0.9),
            ("too little known", [0.05] * (MIN_SAMPLES - 1), 0.9),
            ("usual", [0.06] * 40, 0.06 * USUAL_TIMES),
            ("very fast", [0.01] * 40, MIN_LIMIT_S),
            ("slow", [0.8] * 40, 0.9),
        ]
    )
    def test_limit_is_a_multiple_of_what_is_usual(self, _name, waits_s, limit_s):
        """Between its bounds."""
        self.assertAlmostEqual(limit_s, self.pace(waits_s).limit_s())

    def test_attempts_that_hang_do_not_raise_it(self):
        """As long as they are a few."""
        pace = self.pace([0.06] * WINDOW)
        for _ in range(WINDOW // 8):
            pace.see(pace.limit_s())
        self.assertAlmostEqual(0.06 * USUAL_TIMES, pace.limit_s())

    def test_limit_rises_when_all_have_become_slow(self):
        """Waits that are given up count as long as they were."""
        pace = self.pace([0.06] * WINDOW)
        for _ in range(WINDOW):
            pace.see(pace.limit_s())
        self.assertAlmostEqual(0.9, pace.limit_s())
