"""Pauses between calls to a platform that refuses them."""

import random

from parameterized import parameterized

from apricotquay.serving.backoff import MAX_SPREAD, Backoff

from .base import ApricotTest

DAEMONS = 370
STORE_READS_PER_S = 2_000


class BackoffTest(ApricotTest):
    """The pauses of one loop, and of a whole fleet."""

    def test_pauses_grow_up_to_their_limit_and_begin_anew(self):
        """After a success the next failure is an early one again."""
        backoff = Backoff(0.2, 0.8, random.Random(1))
        pauses_s = [backoff.next_s() for _ in range(50)]
        self.assertLessEqual(pauses_s[0], 0.2 * MAX_SPREAD)
        self.assertGreater(max(pauses_s), 0.8)
        self.assertLessEqual(max(pauses_s), 0.8 * MAX_SPREAD)
        backoff.reset()
        self.assertLessEqual(backoff.next_s(), 0.2 * MAX_SPREAD)

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_fleet_that_is_refused_stays_within_the_stores_reads(self, seed):
        """Both topics of all daemons of the stated size, in each later second."""
        rng = random.Random(seed)
        calls: dict[int, int] = {}
        for _ in range(DAEMONS * 2):
            backoff = Backoff(0.2, 0.8, rng)
            at_s = 0.0
            while at_s < 10.0:
                calls[int(at_s)] = calls.get(int(at_s), 0) + 1
                at_s += backoff.next_s()
        self.assertLess(max(calls[n] for n in range(2, 10)), STORE_READS_PER_S)
