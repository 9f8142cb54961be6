"""Speeds of the queueing model's engines: lasting differences, and noise in time."""

import random

NOISE_PERIOD_S = 0.6


class EngineSpeed:
    """How long work takes at an engine over time. Used by `QueueingModel`."""

    def __init__(
        self, slowness: float, noise_share: float, noise_factor: float, seed: int
    ) -> None:
        self.slowness: float = slowness
        self._noise_share: float = noise_share
        self._noise_factor: float = noise_factor
        self._rng = random.Random(seed)
        self._offset_s: float = self._rng.random() * NOISE_PERIOD_S
        self._is_noisy: list[bool] = []

    def end_s(self, start_s: float, work_s: float) -> float:
        """Return when work that begins at a time ends; `work_s` is its usual time."""
        if not self._noise_share:
            return start_s + work_s * self.slowness
        now_s = start_s
        while True:
            period = int((now_s + self._offset_s) / NOISE_PERIOD_S)
            period_end_s = (period + 1) * NOISE_PERIOD_S - self._offset_s
            slowness = self._slowness_in(period)
            end_s = now_s + work_s * slowness
            if end_s <= period_end_s:
                return end_s
            work_s -= (period_end_s - now_s) / slowness
            now_s = period_end_s + 1e-9

    def _slowness_in(self, period: int) -> float:
        while len(self._is_noisy) <= period:
            self._is_noisy.append(self._rng.random() < self._noise_share)
        factor = self._noise_factor if self._is_noisy[period] else 1.0
        return self.slowness * factor
