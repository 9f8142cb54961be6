"""Outlier detection of endpoints whose health is good but whose requests fail."""

import random

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.slots.outliers import (
    EJECTION_BASE_S,
    EJECTION_MAX_S,
    MAX_EJECTED_SHARE,
    MIN_FAILURES,
    PROBATION_S,
    PROBATION_SUCCESSES,
    OutlierDetector,
    SlotOutcome,
)

from .base import ApricotTest


def endpoint(number: int, started_ms: int = 0) -> Endpoint:
    """Return an endpoint of the service."""
    name = EndpointId(f"e{number}")
    return Endpoint(name, ServiceName("llm"), "10.0.0.1", 80, started_ms=started_ms)


class OutlierDetectorTest(ApricotTest):
    """When a detector ejects an endpoint and when it returns."""

    def setUp(self) -> None:
        super().setUp()
        self.detector = OutlierDetector()
        self.endpoints = [endpoint(n) for n in range(10)]

    def record_failures(self, number: int, times: int, now_s: float) -> float:
        """Record failed attempts; return how long the endpoint is ejected for them."""
        ejections_s = [
            self.detector.record_attempt(
                self.endpoints[number], SlotOutcome.FAILED, now_s
            )
            for _ in range(times)
        ]
        return max(ejections_s)

    def ejected(self, now_s: float) -> set[str]:
        """Return which endpoints are ejected."""
        return self.detector.ejected(self.endpoints, now_s)

    def test_fewer_failures_than_the_minimum_do_not_eject(self):
        """Any endpoint fails occasionally."""
        self.assertEqual(0.0, self.record_failures(0, MIN_FAILURES - 1, 0.0))
        self.assertEqual(set(), self.ejected(0.1))

    def test_third_failure_ejects_the_endpoint(self):
        """The endpoint returns on probation and gets little work then."""
        self.assertEqual(EJECTION_BASE_S, self.record_failures(0, MIN_FAILURES, 0.0))
        self.assertEqual({"e0"}, self.ejected(EJECTION_BASE_S - 0.1))
        return_s = EJECTION_BASE_S + 0.1
        self.assertEqual(set(), self.ejected(return_s))
        self.assertEqual({"e0"}, self.detector.on_probation(self.endpoints, return_s))
        for _ in range(PROBATION_SUCCESSES):
            self.detector.record_attempt(
                self.endpoints[0], SlotOutcome.SUCCEEDED, return_s
            )
        self.assertEqual(set(), self.detector.on_probation(self.endpoints, return_s))

    def test_probation_without_attempts_ends(self):
        """An endpoint does not stay on probation just because it gets no work."""
        self.record_failures(0, MIN_FAILURES, 0.0)
        after_s = EJECTION_BASE_S + PROBATION_S + 0.1
        self.assertEqual(set(), self.detector.on_probation(self.endpoints, after_s))

    def test_failure_on_probation_ejects_for_longer(self):
        """The ejection time doubles up to a limit."""
        now_s = 0.0
        ejection_s = self.record_failures(0, MIN_FAILURES, now_s)
        for _ in range(6):
            now_s += ejection_s + 0.01
            next_ejection_s = self.record_failures(0, 1, now_s)
            self.assertEqual(min(EJECTION_MAX_S, ejection_s * 2), next_ejection_s)
            ejection_s = next_ejection_s

    def test_low_failure_rate_does_not_eject(self):
        """The network alone can fail a tenth of the attempts."""
        for number in range(60):
            outcome = SlotOutcome.FAILED if number % 10 == 0 else SlotOutcome.SUCCEEDED
            now_s = number * 0.1
            self.assertEqual(
                0.0, self.detector.record_attempt(self.endpoints[0], outcome, now_s)
            )

    def test_most_endpoints_stay_in_use_when_all_fail(self):
        """A failure that all endpoints have is not caused by one of them."""
        for number in range(10):
            self.record_failures(number, MIN_FAILURES, 0.0)
        self.assertEqual(int(10 * MAX_EJECTED_SHARE), len(self.ejected(0.1)))

    def test_most_endpoints_stay_off_probation_after_all_were_silent(self):
        """Requests that may not repeat get no slot on probation."""
        for number in range(10):
            self.record_failures(number, MIN_FAILURES, 0.0)
        return_s = EJECTION_BASE_S + 0.1
        on_probation = self.detector.on_probation(self.endpoints, return_s)
        self.assertEqual(int(10 * MAX_EJECTED_SHARE), len(on_probation))

    def test_restarted_endpoint_starts_with_empty_history(self):
        """A restarted server is not judged by the failures of its predecessor."""
        self.record_failures(0, MIN_FAILURES, 0.0)
        self.endpoints[0] = endpoint(0, started_ms=7)
        self.assertEqual(set(), self.ejected(0.1))

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_endpoint_failing_two_in_five_is_ejected_within_seconds(self, seed):
        """Five attempts a second, as in a fleet; healthy endpoints stay in use."""
        rng = random.Random(seed)
        detected_s = None
        for step in range(50):
            now_s = step * 0.2
            for number in range(10):
                is_failure = number == 3 and rng.random() < 0.4
                outcome = SlotOutcome.FAILED if is_failure else SlotOutcome.SUCCEEDED
                self.detector.record_attempt(self.endpoints[number], outcome, now_s)
            if detected_s is None and "e3" in self.ejected(now_s + 0.01):
                detected_s = now_s
            self.assertEqual(set(), self.ejected(now_s + 0.01) - {"e3"})
        self.assertLess(detected_s, 6.0)
