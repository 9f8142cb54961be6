"""How soon endpoints usually answer, and when silence means that one hangs. Pure.

A request whose attempt hangs can still be in time if another endpoint is tried
soon. How soon differs by service and load, so the limit is a multiple of what
was seen lately. Only a caller's first attempt is held to it: where all endpoints
have become slow, the second one has the full time.
"""

import collections

WINDOW = 64
MIN_SAMPLES = 6
# Up to a fifth of attempts may hang before the limit takes them for usual.
USUAL_SHARE = 0.8
USUAL_TIMES = 3.0
MIN_LIMIT_S = 0.1


class Pace:
    """What one kind of wait at a service's endpoints has lately taken."""

    def __init__(self, max_limit_s: float) -> None:
        self._max_limit_s: float = max_limit_s
        self._waits_s: collections.deque[float] = collections.deque(maxlen=WINDOW)

    def see(self, wait_s: float) -> None:
        """A wait ended, or was given up after so long."""
        self._waits_s.append(wait_s)

    def limit_s(self) -> float:
        """Return after how long a wait is to be given up."""
        if len(self._waits_s) < MIN_SAMPLES:
            return self._max_limit_s
        ordered = sorted(self._waits_s)
        usual_s = ordered[int(USUAL_SHARE * len(ordered))]
        return min(self._max_limit_s, max(MIN_LIMIT_S, USUAL_TIMES * usual_s))


class ServicePace:
    """The waits for a first event and within a stream. Used by the online path."""

    def __init__(self, max_first_s: float, max_pause_s: float) -> None:
        self.first: Pace = Pace(max_first_s)
        self.pause: Pace = Pace(max_pause_s)
