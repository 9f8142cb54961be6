"""Counters and latency histograms (`hdrhistogram`) of the threaded daemon.

The exports of several daemons can be merged.
"""

import threading
import time

import msgspec
from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 600_000_000
HISTOGRAM_DIGITS = 2
INTERVAL_S = 60
RETAINED_INTERVALS = 6 * 60


class IntervalCounts(msgspec.Struct):
    """Requests of one team and route in one interval: all, and those not good."""

    total: int = 0
    bad: int = 0


class Metrics:
    """Metrics of one daemon. Used by `OnlineRequestHandler` and the reports."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._first_token: dict[tuple[str, str], HdrHistogram] = {}
        self._intervals: dict[tuple[str, str], dict[int, IntervalCounts]] = {}
        self._counters: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        with self._lock:
            self._counters[name] = self._counters.get(name, 0) + amount

    def record_request(
        self, team: str, route: str, good: bool, first_token_ms: float | None
    ) -> None:
        """Record whether a finished request met its service-level objective."""
        series = (team, route)
        interval = int(time.time()) // INTERVAL_S
        with self._lock:
            if first_token_ms is not None:
                histogram = self._first_token.get(series)
                if histogram is None:
                    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
                    self._first_token[series] = histogram
                histogram.record_value(max(1, int(first_token_ms * 1000)))
            intervals = self._intervals.setdefault(series, {})
            counts = intervals.setdefault(interval, IntervalCounts())
            counts.total += 1
            counts.bad += 0 if good else 1
            for old in [s for s in intervals if s <= interval - RETAINED_INTERVALS]:
                del intervals[old]

    def export(self) -> dict:
        """Return all metrics in a form that can be merged over daemons."""
        with self._lock:
            return {
                "counters": dict(self._counters),
                "series": [
                    {
                        "team": team,
                        "route": route,
                        "slots": {
                            str(interval): [c.total, c.bad]
                            for interval, c in intervals.items()
                        },
                        "first_token_us": self._encode_histogram((team, route)),
                    }
                    for (team, route), intervals in self._intervals.items()
                ],
            }

    def _encode_histogram(self, series: tuple[str, str]) -> str:
        histogram = self._first_token.get(series)
        return histogram.encode().decode() if histogram is not None else ""
