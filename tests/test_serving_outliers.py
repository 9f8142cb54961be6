"""Endpoints that fail a part of their requests while their health is good."""

import random

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.outliers import (
    MIN_FAILURES,
    REST_BASE_S,
    REST_CAP_SHARE,
    REST_MAX_S,
    TRIAL_S,
    TRIAL_SOUND,
    Outliers,
    SlotOutcome,
)

from .base import ApricotTest


def endpoint(number: int, started_ms: int = 0) -> Endpoint:
    """Return an endpoint of the service."""
    name = EndpointId(f"e{number}")
    return Endpoint(name, ServiceName("llm"), "10.0.0.1", 80, started_ms=started_ms)


class OutliersTest(ApricotTest):
    """Single judgements."""

    def setUp(self) -> None:
        super().setUp()
        self.outliers = Outliers()
        self.endpoints = [endpoint(n) for n in range(10)]

    def fail(self, number: int, times: int, now_s: float) -> float:
        """Let attempts at an endpoint fail; return for how long it rests then."""
        rests_s = [
            self.outliers.see(self.endpoints[number], SlotOutcome.FAILED, now_s)
            for _ in range(times)
        ]
        return max(rests_s)

    def resting(self, now_s: float) -> set[str]:
        """Return which endpoints rest."""
        return self.outliers.resting(self.endpoints, now_s)

    def test_single_failures_are_no_reason(self):
        """Any endpoint has one now and then."""
        self.assertEqual(0.0, self.fail(0, MIN_FAILURES - 1, 0.0))
        self.assertEqual(set(), self.resting(0.1))

    def test_third_failure_of_a_few_lets_it_rest(self):
        """And it returns on trial, with little work."""
        self.assertEqual(REST_BASE_S, self.fail(0, MIN_FAILURES, 0.0))
        self.assertEqual({"e0"}, self.resting(REST_BASE_S - 0.1))
        back_s = REST_BASE_S + 0.1
        self.assertEqual(set(), self.resting(back_s))
        self.assertEqual({"e0"}, self.outliers.on_trial(self.endpoints, back_s))
        for _ in range(TRIAL_SOUND):
            self.outliers.see(self.endpoints[0], SlotOutcome.SUCCEEDED, back_s)
        self.assertEqual(set(), self.outliers.on_trial(self.endpoints, back_s))

    def test_trial_that_nobody_uses_ends(self):
        """An endpoint is not kept out for want of work."""
        self.fail(0, MIN_FAILURES, 0.0)
        after_s = REST_BASE_S + TRIAL_S + 0.1
        self.assertEqual(set(), self.outliers.on_trial(self.endpoints, after_s))

    def test_failure_on_trial_lets_it_rest_longer(self):
        """Up to a limit."""
        now_s = 0.0
        rest_s = self.fail(0, MIN_FAILURES, now_s)
        for _ in range(6):
            now_s += rest_s + 0.01
            again_s = self.fail(0, 1, now_s)
            self.assertEqual(min(REST_MAX_S, rest_s * 2), again_s)
            rest_s = again_s

    def test_failures_among_many_sound_attempts_are_no_reason(self):
        """A tenth of them is what the network does too."""
        for number in range(60):
            use = SlotOutcome.FAILED if number % 10 == 0 else SlotOutcome.SUCCEEDED
            now_s = number * 0.1
            self.assertEqual(0.0, self.outliers.see(self.endpoints[0], use, now_s))

    def test_most_endpoints_go_on_when_all_fail(self):
        """What all do is no one's fault."""
        for number in range(10):
            self.fail(number, MIN_FAILURES, 0.0)
        self.assertEqual(int(10 * REST_CAP_SHARE), len(self.resting(0.1)))

    def test_new_start_is_not_blamed(self):
        """It knows nothing of the one before."""
        self.fail(0, MIN_FAILURES, 0.0)
        self.endpoints[0] = endpoint(0, started_ms=7)
        self.assertEqual(set(), self.resting(0.1))

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_endpoint_that_fails_two_in_five_rests_within_seconds(self, seed):
        """As a fleet's load finds it: five attempts a second; sound ones go on."""
        rng = random.Random(seed)
        found_s = None
        for step in range(50):
            now_s = step * 0.2
            for number in range(10):
                fails = number == 3 and rng.random() < 0.4
                use = SlotOutcome.FAILED if fails else SlotOutcome.SUCCEEDED
                self.outliers.see(self.endpoints[number], use, now_s)
            if found_s is None and "e3" in self.resting(now_s + 0.01):
                found_s = now_s
            self.assertEqual(set(), self.resting(now_s + 0.01) - {"e3"})
        self.assertLess(found_s, 6.0)
