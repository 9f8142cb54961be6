"""Token buckets: no window has more grants than rate and burst allow."""

from hypothesis import given, strategies as st
from parameterized import parameterized
from returns.result import Success

from apricotquay.buckets import ShardBuckets

from .base import PROPERTY_SETTINGS, ApricotTest


def find_grant_times(buckets: ShardBuckets, times_s: list[float], rate, burst) -> list:
    """Take a token at each time; return the times at which it was granted."""
    grant_times_s = []
    for now_s in times_s:
        if isinstance(buckets.take("t", rate, burst, now_s), Success):
            grant_times_s.append(now_s)
    return grant_times_s


class ShardBucketsTest(ApricotTest):
    """The buckets of one shard."""

    @PROPERTY_SETTINGS
    @given(
        st.lists(st.floats(0, 30), min_size=1, max_size=200),
        st.floats(0.1, 50),
        st.integers(1, 30),
    )
    def test_no_window_exceeds_rate_and_burst(self, times_s, rate, burst):
        """This is checked for every window between two grants."""
        grant_times_s = find_grant_times(
            ShardBuckets(0.0, full=True), sorted(times_s), rate, burst
        )
        for first in range(len(grant_times_s)):
            for last in range(first, len(grant_times_s)):
                window_s = grant_times_s[last] - grant_times_s[first]
                self.assertLessEqual(last - first + 1, burst + rate * window_s + 1e-6)

    @parameterized.expand(
        [
            ("first holder", True, None, 5),
            ("after a loss", False, None, 0),
            ("handed over", False, {"t": 3.0}, 3),
            ("handed over above the burst", False, {"t": 9.0}, 5),
        ]
    )
    def test_initial_level(self, _name, full, levels, expected):
        """A new holder starts with tokens that the old one cannot have granted."""
        buckets = ShardBuckets(10.0, full, levels)
        grant_times_s = find_grant_times(buckets, [10.0] * 20, 1.0, 5)
        self.assertEqual(expected, len(grant_times_s))

    @parameterized.expand(
        [
            ("first holder", True, None, 0.1, False),
            ("just after a loss", False, None, 0.1, True),
            ("long after a loss", False, None, 9.0, False),
            ("handed over", False, {"t": 0.0}, 0.1, False),
        ]
    )
    def test_refusal_of_a_new_holder_is_marked_as_recovering(
        self, _name, full, levels, now_s, expected
    ):
        """It may be wrong until a whole burst could have accrued."""
        buckets = ShardBuckets(0.0, full, levels)
        find_grant_times(buckets, [now_s] * 5, 1.0, 5)
        self.assertEqual(
            expected, buckets.take("t", 1.0, 5, now_s).failure().recovering
        )

    def test_refusal_has_the_time_until_the_next_token(self):
        """A token can be taken exactly then."""
        buckets = ShardBuckets(0.0, full=True)
        find_grant_times(buckets, [0.0] * 5, 2.0, 5)
        refusal = buckets.take("t", 2.0, 5, 0.0).failure()
        self.assertAlmostEqual(0.5, refusal.wait_s)
        self.assertIsInstance(buckets.take("t", 2.0, 5, refusal.wait_s), Success)

    def test_hand_over_neither_adds_nor_loses_tokens(self):
        """Two holders in sequence grant as many tokens as one would."""
        first = ShardBuckets(0.0, full=True)
        before = find_grant_times(first, [0.0] * 3, 1.0, 5)
        second = ShardBuckets(0.0, first.starts_full(), first.levels())
        after = find_grant_times(second, [0.0] * 10, 1.0, 5)
        self.assertEqual(5, len(before) + len(after))
