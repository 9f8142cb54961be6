"""Adaptive timeouts: after how long a silent attempt times out."""

from parameterized import parameterized

from apricotquay.ids import RouteName
from apricotquay.serving.catalog import Route, RouteKind, ServiceName, WeightedService
from apricotquay.serving.online.timeouts import (
    MAX_FIRST_EVENT_TIMEOUT_S,
    MAX_PAUSE_TIMEOUT_S,
    MIN_SAMPLES,
    MIN_TIMEOUT_S,
    TIMEOUT_FACTOR,
    WINDOW_SAMPLES,
    AdaptiveTimeout,
    AdaptiveTimeouts,
    SilenceLimits,
)

from .base import ApricotTest

SERVICE = ServiceName("llm")
FAST_WAIT_S = 0.06
FAST = SilenceLimits(FAST_WAIT_S * TIMEOUT_FACTOR, FAST_WAIT_S * TIMEOUT_FACTOR)
FULL = SilenceLimits(MAX_FIRST_EVENT_TIMEOUT_S, MAX_PAUSE_TIMEOUT_S)
FULL_WHOLE = SilenceLimits(MAX_FIRST_EVENT_TIMEOUT_S, None)
UNLIMITED = SilenceLimits(None, None)


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


class SilenceLimitsTest(ApricotTest):
    """How long an attempt may be silent, by its route and the attempts before it."""

    @parameterized.expand(
        [
            ("stream, only attempt", RouteKind.STREAMING, True, 1, 0, UNLIMITED),
            ("stream, first of two", RouteKind.STREAMING, True, 2, 0, FAST),
            ("stream, second of two", RouteKind.STREAMING, True, 2, 1, UNLIMITED),
            ("stream, second of three", RouteKind.STREAMING, True, 3, 1, FULL),
            ("stream, third of three", RouteKind.STREAMING, True, 3, 2, UNLIMITED),
            ("safe, only attempt", RouteKind.SAFE, False, 1, 0, UNLIMITED),
            ("safe, first of two", RouteKind.SAFE, False, 2, 0, FULL_WHOLE),
            ("safe, second of two", RouteKind.SAFE, False, 2, 1, UNLIMITED),
            ("unsafe", RouteKind.UNSAFE, False, 2, 0, UNLIMITED),
            ("stream not resumable", RouteKind.STREAMING, False, 2, 0, UNLIMITED),
        ]
    )
    def test_last_attempt_is_not_abandoned_for_silence(
        self, _name, kind, is_resumable, max_attempts, failed_attempts, limits
    ):
        """No other endpoint could serve the request after it."""
        timeouts = AdaptiveTimeouts()
        for _ in range(WINDOW_SAMPLES):
            timeouts.record_stream(SERVICE, FAST_WAIT_S, FAST_WAIT_S)
        route = Route(
            RouteName("r"),
            "h",
            "/x/",
            kind,
            (WeightedService(SERVICE, 1.0),),
            max_attempts=max_attempts,
            is_resumable=is_resumable,
        )
        self.assertEqual(
            limits, timeouts.silence_limits(route, SERVICE, failed_attempts)
        )
