"""How many batch items an endpoint may run beside its online requests. Pure.

One daemon at a time runs the batch of an endpoint, so it knows the batch share
exactly; the online share comes from the daemons' own counts, which arrive
within a tenth of a second, and from the endpoint's report, which lags.
"""

ONLINE_MEMORY_S = 0.5
GROWTH_PER_S = 8.0


class BatchAllowance:
    """The allowance of one endpoint. Used by the batch runner at each tick.

    It falls at once when online requests rise and grows back step by step. Room
    is kept for the online peak of the last moments, so that the next request of
    a burst finds a free slot without anything having to be paused first.
    """

    def __init__(self) -> None:
        self.allowed: float = 0.0
        self._peak: float = 0.0
        self._peak_s: float = float("-inf")
        self._ticked_s: float | None = None

    def update(self, slots: int, online: int, now_s: float) -> int:
        """Return how many batch items may run now, for the online count known."""
        self._see_online(online, now_s)
        expected = max(float(online), self._decayed_peak(now_s))
        ceiling = max(0.0, slots - expected)
        elapsed_s = 0.0 if self._ticked_s is None else now_s - self._ticked_s
        self._ticked_s = now_s
        grown = self.allowed + elapsed_s * GROWTH_PER_S * max(1.0, slots / 16)
        self.allowed = min(ceiling, grown)
        return int(self.allowed)

    def _see_online(self, online: int, now_s: float) -> None:
        if online >= self._decayed_peak(now_s):
            self._peak = float(online)
            self._peak_s = now_s

    def _decayed_peak(self, now_s: float) -> float:
        age_s = now_s - self._peak_s
        if age_s >= ONLINE_MEMORY_S:
            return 0.0
        return self._peak * (1.0 - age_s / ONLINE_MEMORY_S)
