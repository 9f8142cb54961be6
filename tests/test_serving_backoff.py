"""Backoff between calls that the platform refuses."""

import random

from parameterized import parameterized

from apricotquay.serving.backoff import MAX_JITTER, Backoff

from .base import ApricotTest

DAEMONS = 370
MAX_STORE_READS_PER_S = 2_000


class BackoffTest(ApricotTest):
    """The delays of one loop, and the calls of a whole fleet."""

    def test_delays_grow_up_to_their_limit_and_reset(self):
        """After a success the next failure counts as the first one."""
        backoff = Backoff(0.2, 0.8, random.Random(1))
        delays_s = [backoff.next_s() for _ in range(50)]
        self.assertLessEqual(delays_s[0], 0.2 * MAX_JITTER)
        self.assertGreater(max(delays_s), 0.8)
        self.assertLessEqual(max(delays_s), 0.8 * MAX_JITTER)
        backoff.reset()
        self.assertLessEqual(backoff.next_s(), 0.2 * MAX_JITTER)

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_refused_fleet_stays_within_the_read_limit_of_the_store(self, seed):
        """Each daemon of the specified fleet reads two topics. All start at once, so
        the limit is checked from second 2 on."""
        rng = random.Random(seed)
        calls: dict[int, int] = {}
        for _ in range(DAEMONS * 2):
            backoff = Backoff(0.2, 0.8, rng)
            at_s = 0.0
            while at_s < 10.0:
                calls[int(at_s)] = calls.get(int(at_s), 0) + 1
                at_s += backoff.next_s()
        self.assertLess(max(calls[n] for n in range(2, 10)), MAX_STORE_READS_PER_S)
