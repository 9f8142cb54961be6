"""Metrics of the event-loop daemon: counters, gauges and latency histograms."""

from hdrh.histogram import HdrHistogram

MAX_RECORDABLE_MS = 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


class ServingMetrics:
    """Counters, gauges and times in milliseconds by name, for a metrics collector."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def record_ms(self, name: str, value_ms: float) -> None:
        """Record a time in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(
                1, MAX_RECORDABLE_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(max(1, int(value_ms)))

    def render(self) -> str:
        """Return all metrics as text with one value per line."""
        lines = [
            f"apricotquay_{name} {value}"
            for name, value in sorted((self._counters | self._gauges).items())
        ]
        for name, histogram in sorted(self._histograms.items()):
            lines += [
                f'apricotquay_{name}_ms{{quantile="{percentile / 100}"}} '
                f"{histogram.get_value_at_percentile(percentile)}"
                for percentile in PERCENTILES
            ]
            lines.append(f"apricotquay_{name}_ms_count {histogram.total_count}")
        return "\n".join(lines) + "\n"
