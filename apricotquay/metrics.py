"""Counts and latency histograms, by `hdrhistogram`; mergeable over daemons."""

import threading
import time

import msgspec
from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 600_000_000
HISTOGRAM_DIGITS = 2
INTERVAL_S = 60
SLOTS_KEPT = 6 * 60


class SlotCounts(msgspec.Struct):
    """Requests of one team and route in one minute: all of them and the bad."""

    total: int = 0
    bad: int = 0


class Metrics:
    """What the daemon counts. Used by the online path and the reports."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._first_token: dict[tuple[str, str], HdrHistogram] = {}
        self._slots: dict[tuple[str, str], dict[int, SlotCounts]] = {}
        self._counters: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counters[name] = self._counters.get(name, 0) + amount

    def record_request(
        self, team: str, route: str, good: bool, first_token_ms: float | None
    ) -> None:
        """Count a request that ended against its service-level objective."""
        series = (team, route)
        slot = int(time.time()) // INTERVAL_S
        with self._lock:
            if first_token_ms is not None:
                histogram = self._first_token.get(series)
                if histogram is None:
                    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
                    self._first_token[series] = histogram
                histogram.record_value(max(1, int(first_token_ms * 1000)))
            slots = self._slots.setdefault(series, {})
            counts = slots.setdefault(slot, SlotCounts())
            counts.total += 1
            counts.bad += 0 if good else 1
            for old in [s for s in slots if s <= slot - SLOTS_KEPT]:
                del slots[old]

    def export(self) -> dict:
        """Return everything in a form that merges with other daemons'."""
        with self._lock:
            return {
                "counters": dict(self._counters),
                "series": [
                    {
                        "team": team,
                        "route": route,
                        "slots": {
                            str(slot): [c.total, c.bad] for slot, c in slots.items()
                        },
                        "first_token_us": self._encoded((team, route)),
                    }
                    for (team, route), slots in self._slots.items()
                ],
            }

    def _encoded(self, series: tuple[str, str]) -> str:
        histogram = self._first_token.get(series)
        return histogram.encode().decode() if histogram is not None else ""
