"""Exponential backoff with jitter, so that a fleet's retries never overload the
platform.
"""

import random

GROWTH_FACTOR = 2.0
# Jitter factors of a delay, so that daemons that failed together do not retry
# together.
MIN_JITTER, MAX_JITTER = 0.5, 1.5


class Backoff:
    """The increasing delays of one loop. Used by the loops that follow the platform."""

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s: float = first_s
        self._max_s: float = max_s
        self._rng: random.Random = rng
        self._base_delay_s: float = first_s

    def next_s(self) -> float:
        """Return the delay after another failure."""
        delay_s = self._base_delay_s * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._base_delay_s = min(self._max_s, self._base_delay_s * GROWTH_FACTOR)
        return delay_s

    def reset(self) -> None:
        """Start from the first delay again, after a call succeeded."""
        self._base_delay_s = self._first_s
