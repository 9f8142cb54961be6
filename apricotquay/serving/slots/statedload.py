"""What an endpoint stated of its load, and how long that is used. Pure.

Handles many daemons that choose at the same moment from old information,
and of runs that a slot table does not know of.
"""

import collections
import math

from ..engine import NO_LOAD, EndpointLoad

# Runs that a table does not know of have mostly ended after this time.
FADE_S = 0.3
FORGET_S = 3.0
# A statement that is repeated has an age in whole milliseconds.
SAME_S = 0.002
# How long an endpoint may run a request whose connection was closed.
LINGER_S = 0.3
MAX_LINGERING = 64
# Endpoints count a run for a moment after its last event was read.
RELEASE_DELAY_S = 0.05
MAX_RELEASES = 256
MIN_HOLD_S = 0.02
MAX_HOLD_S = 0.5


class StatedLoad:
    """The last stated load of an endpoint. Used by `EndpointSlots`.

    `others` is how many runs it stated beyond those that the table knew of then.
    """

    def __init__(self) -> None:
        self.others: int = 0
        self.at_s: float = float("-inf")
        self.held_until_s: float = float("-inf")
        self._refusals: int = 0
        # When each run that was abandoned has certainly ended.
        self._lingering_s: collections.deque[float] = collections.deque(
            maxlen=MAX_LINGERING
        )
        # When each of the last runs was granted and released.
        self._releases: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_RELEASES
        )

    def record_release(self, granted_s: float, now_s: float) -> None:
        """Record that the table knew of a run between two times."""
        self._releases.append((granted_s, now_s))

    def released_since(self, at_s: float) -> int | None:
        """Return how many runs of `at_s` were released since; None if not known."""
        since_s = at_s - RELEASE_DELAY_S
        is_full = len(self._releases) == MAX_RELEASES
        if is_full and self._releases[0][1] >= since_s:
            return None
        return sum(
            1
            for granted_s, end_s in self._releases
            if granted_s <= at_s and end_s >= since_s
        )

    def record(self, load: EndpointLoad, running: int, at_s: float) -> None:
        """Record a statement of `at_s`; the table knows of `running` runs now, and knew
        then of those that were released since.
        """
        if at_s <= self.at_s + SAME_S or load == NO_LOAD:
            return
        released = self.released_since(at_s)
        if released is None:
            return
        known = running + released
        self.at_s = at_s
        self.others = max(0, load.running + load.waiting - known)

    def hold(
        self, load: EndpointLoad, slot_time_s: float, at_s: float, now_s: float
    ) -> bool:
        """Leave out an endpoint that is full until a slot is likely free, with a slot
        freed every `slot_time_s`; return whether it is left out now.
        """
        ahead = max(1, load.running + load.waiting - load.slots + 1)
        hold_s = min(MAX_HOLD_S, max(MIN_HOLD_S, ahead * slot_time_s))
        return self._hold_until(at_s + hold_s, now_s)

    def record_refusal(
        self, load: EndpointLoad, slot_time_s: float, now_s: float
    ) -> bool:
        """Leave out an endpoint that refused, longer with each refusal in a row."""
        if now_s < self.held_until_s:
            # The request was under way when the endpoint was found full.
            return True
        self._refusals += 1
        # A run that ends makes room for a waiting one first.
        factor = 2 ** min(self._refusals - 1, 8)
        return self.hold(load, slot_time_s * factor, now_s, now_s)

    def record_acceptance(self) -> None:
        """Record that the endpoint has run a request."""
        self._refusals = 0

    def record_abandoned(self, now_s: float) -> bool:
        """Record that a run was abandoned, which may hold its slot a little longer;
        return whether this counts: only at an endpoint that states its load.
        """
        if self.at_s == float("-inf"):
            return False
        self._lingering_s.append(now_s + LINGER_S)
        return True

    def lingering(self, now_s: float) -> int:
        """Return how many abandoned runs may still hold slots."""
        while self._lingering_s and self._lingering_s[0] <= now_s:
            self._lingering_s.popleft()
        return len(self._lingering_s)

    def is_fresh(self, now_s: float) -> bool:
        """Whether the last statement says anything of the load now."""
        return now_s - self.at_s <= FORGET_S

    def others_now(self, mean: float, now_s: float) -> float:
        """Estimate the runs of others now: what was stated fades to the `mean`."""
        age_s = now_s - self.at_s
        if not self.is_fresh(now_s):
            return mean
        return mean + (self.others - mean) * math.exp(-age_s / FADE_S)

    def _hold_until(self, until_s: float, now_s: float) -> bool:
        self.held_until_s = max(self.held_until_s, until_s)
        return self.held_until_s > now_s
