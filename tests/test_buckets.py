"""Token buckets: never over rate and burst in any window."""

from hypothesis import given, strategies as st
from parameterized import parameterized
from returns.result import Success

from apricotquay.buckets import ShardBuckets

from .base import PROPERTY, ApricotTest


def count_grants(buckets: ShardBuckets, times_s: list[float], rate, burst) -> list:
    """Return the times at which a token was granted."""
    granted = []
    for now_s in times_s:
        if isinstance(buckets.take("t", rate, burst, now_s), Success):
            granted.append(now_s)
    return granted


class ShardBucketsTest(ApricotTest):
    """One shard's buckets."""

    @PROPERTY
    @given(
        st.lists(st.floats(0, 30), min_size=1, max_size=200),
        st.floats(0.1, 50),
        st.integers(1, 30),
    )
    def test_no_window_exceeds_rate_and_burst(self, times_s, rate, burst):
        """The judge counts every window between two grants."""
        granted = count_grants(
            ShardBuckets(0.0, full=True), sorted(times_s), rate, burst
        )
        for first in range(len(granted)):
            for last in range(first, len(granted)):
                window_s = granted[last] - granted[first]
                self.assertLessEqual(last - first + 1, burst + rate * window_s + 1e-6)

    @parameterized.expand(
        [
            ("first holder", True, None, 5),
            ("after a loss", False, None, 0),
            ("handed over", False, {"t": 3.0}, 3),
            ("handed over above the burst", False, {"t": 9.0}, 5),
        ]
    )
    def test_first_level(self, _name, full, levels, expected):
        """A new holder starts with what the old one surely did not grant."""
        buckets = ShardBuckets(10.0, full, levels)
        granted = count_grants(buckets, [10.0] * 20, 1.0, 5)
        self.assertEqual(expected, len(granted))

    @parameterized.expand(
        [
            ("first holder", True, None, 0.1, False),
            ("just after a loss", False, None, 0.1, True),
            ("long after a loss", False, None, 9.0, False),
            ("handed over", False, {"t": 0.0}, 0.1, False),
        ]
    )
    def test_refusal_of_a_new_holder_is_told_from_others(
        self, _name, full, levels, now_s, expected
    ):
        """Until a whole burst could have accrued, it may be wrongful."""
        buckets = ShardBuckets(0.0, full, levels)
        count_grants(buckets, [now_s] * 5, 1.0, 5)
        self.assertEqual(
            expected, buckets.take("t", 1.0, 5, now_s).failure().recovering
        )

    def test_refusal_says_when_to_come_back(self):
        """The team has a token again exactly then."""
        buckets = ShardBuckets(0.0, full=True)
        count_grants(buckets, [0.0] * 5, 2.0, 5)
        refusal = buckets.take("t", 2.0, 5, 0.0).failure()
        self.assertAlmostEqual(0.5, refusal.wait_s)
        self.assertIsInstance(buckets.take("t", 2.0, 5, refusal.wait_s), Success)

    def test_hand_over_neither_adds_nor_loses_tokens(self):
        """Two holders in turn grant what one would."""
        first = ShardBuckets(0.0, full=True)
        before = count_grants(first, [0.0] * 3, 1.0, 5)
        second = ShardBuckets(0.0, first.is_full_start(), first.levels())
        after = count_grants(second, [0.0] * 10, 1.0, 5)
        self.assertEqual(5, len(before) + len(after))
