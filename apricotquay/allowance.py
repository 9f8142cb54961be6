"""How many batch items an endpoint may run beside online requests. Pure: no I/O.

One daemon at a time runs an endpoint's batch items, so it knows their number
exactly. The number of online requests comes from the daemons' counts, which arrive
within a tenth of a second, and from the endpoint's report, which lags behind.
"""

ONLINE_PEAK_DECAY_S = 0.5
GROWTH_ITEMS_PER_S = 8.0


class BatchAllowance:
    """The allowance of one endpoint. Used by the batch runner at each tick.

    It falls at once when online requests increase and grows back gradually. Room
    is kept for the recent peak of online requests, so that the next request of a
    burst finds a free slot and no batch item has to be paused first.
    """

    def __init__(self) -> None:
        self.allowed: float = 0.0
        self._peak: float = 0.0
        self._peak_s: float = float("-inf")
        self._updated_s: float | None = None

    def update(self, slots: int, online: int, now_s: float) -> int:
        """Return how many batch items may run now, given the known online count."""
        self._record_online(online, now_s)
        expected = max(float(online), self._decayed_peak(now_s))
        limit = max(0.0, slots - expected)
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        grown = self.allowed + elapsed_s * GROWTH_ITEMS_PER_S * max(1.0, slots / 16)
        self.allowed = min(limit, grown)
        return int(self.allowed)

    def _record_online(self, online: int, now_s: float) -> None:
        if online >= self._decayed_peak(now_s):
            self._peak = float(online)
            self._peak_s = now_s

    def _decayed_peak(self, now_s: float) -> float:
        age_s = now_s - self._peak_s
        if age_s >= ONLINE_PEAK_DECAY_S:
            return 0.0
        return self._peak * (1.0 - age_s / ONLINE_PEAK_DECAY_S)
