"""Pauses between repeated calls to the platform, so that a fleet never floods it."""

import random

GROWTH = 2.0
# Pauses are spread this much around their middle, so that daemons that failed
# together do not come back together.
MIN_SPREAD, MAX_SPREAD = 0.5, 1.5


class Backoff:
    """The growing pauses of one loop. Used by whatever follows the platform."""

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s: float = first_s
        self._max_s: float = max_s
        self._rng: random.Random = rng
        self._middle_s: float = first_s

    def next_s(self) -> float:
        """Return how long to pause after one more failure."""
        pause_s = self._middle_s * self._rng.uniform(MIN_SPREAD, MAX_SPREAD)
        self._middle_s = min(self._max_s, self._middle_s * GROWTH)
        return pause_s

    def reset(self) -> None:
        """A call succeeded."""
        self._middle_s = self._first_s
