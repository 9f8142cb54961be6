"""Adaptive timeouts: after how long a silent attempt times out."""

from parameterized import parameterized

from apricotquay.serving.timeouts import (
    MIN_SAMPLES,
    MIN_TIMEOUT_S,
    TIMEOUT_FACTOR,
    WINDOW_SAMPLES,
    AdaptiveTimeout,
)

from .base import ApricotTest


class AdaptiveTimeoutTest(ApricotTest):
    """The timeout learned from recent waits."""

    def timeout(self, waits_s: list[float]) -> AdaptiveTimeout:
        """Return an adaptive timeout with recorded waits."""
        timeout = AdaptiveTimeout(0.9)
        for wait_s in waits_s:
            timeout.record_wait(wait_s)
        return timeout

    @parameterized.expand(
        [
            ("nothing known", [], 0.9),
            ("too little known", [0.05] * (MIN_SAMPLES - 1), 0.9),
            ("usual", [0.06] * 40, 0.06 * TIMEOUT_FACTOR),
            ("very fast", [0.01] * 40, MIN_TIMEOUT_S),
            ("slow", [0.8] * 40, 0.9),
        ]
    )
    def test_timeout_is_a_multiple_of_typical_waits(self, _name, waits_s, timeout_s):
        """The timeout stays between its bounds."""
        self.assertAlmostEqual(timeout_s, self.timeout(waits_s).timeout_s())

    def test_hanging_attempts_do_not_raise_the_timeout(self):
        """This holds as long as few attempts hang."""
        timeout = self.timeout([0.06] * WINDOW_SAMPLES)
        for _ in range(WINDOW_SAMPLES // 8):
            timeout.record_wait(timeout.timeout_s())
        self.assertAlmostEqual(0.06 * TIMEOUT_FACTOR, timeout.timeout_s())

    def test_timeout_rises_when_all_attempts_are_slow(self):
        """A wait that timed out is recorded with its timeout."""
        timeout = self.timeout([0.06] * WINDOW_SAMPLES)
        for _ in range(WINDOW_SAMPLES):
            timeout.record_wait(timeout.timeout_s())
        self.assertAlmostEqual(0.9, timeout.timeout_s())
