"""Counters and latency histograms of one daemon, as text for a metrics collector."""

from hdrh.histogram import HdrHistogram

HIGHEST_MS = 600_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


class ServingMetrics:
    """Counts by name, and times in milliseconds by name. Used by all parts."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._times: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def record_ms(self, name: str, value_ms: float) -> None:
        """Add a time to a histogram."""
        histogram = self._times.get(name)
        if histogram is None:
            histogram = self._times[name] = HdrHistogram(1, HIGHEST_MS, DIGITS)
        histogram.record_value(max(1, int(value_ms)))

    def render(self) -> str:
        """Return everything, one value a line."""
        lines = [
            f"apricotquay_{name} {value}"
            for name, value in sorted((self._counters | self._gauges).items())
        ]
        for name, histogram in sorted(self._times.items()):
            lines += [
                f'apricotquay_{name}_ms{{quantile="{q / 100}"}} '
                f"{histogram.get_value_at_percentile(q)}"
                for q in QUANTILES
            ]
            lines.append(f"apricotquay_{name}_ms_count {histogram.total_count}")
        return "\n".join(lines) + "\n"
