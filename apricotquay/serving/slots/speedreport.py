"""Reports which endpoints are slower than the others, for operators."""

from collections.abc import Callable, Iterable, Mapping

from ...events import Event
from ...ids import EndpointId
from ..reporting import Reporter
from .speeds import USUAL, USUAL_MAX

# An endpoint between the two values stays what it was reported as.
SLOW_MIN = 1.5
CHECK_INTERVAL_S = 1.0
LINES_PER_S = 1


class SpeedReporter:
    """Writes a line when an endpoint is found slow, and when it is no longer. Used by
    `SlotTables` for the services that its daemon owns.
    """

    def __init__(self, reporter: Reporter) -> None:
        self._reporter: Reporter = reporter
        self._checked_s: float = float("-inf")
        self._slow: set[EndpointId] = set()

    def check(
        self,
        slowness: Mapping[EndpointId, float],
        is_open: Callable[[EndpointId], bool],
        now_s: float,
    ) -> None:
        """Report what changed, at most once in CHECK_INTERVAL_S; `slowness` holds the
        endpoints that are not as usual. One that has left is not reported.
        """
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        for endpoint, value in slowness.items():
            is_new = value >= SLOW_MIN and endpoint not in self._slow
            if is_new and is_open(endpoint):
                self._slow.add(endpoint)
                self._write(Event.ENDPOINT_SLOW, endpoint, value)
        for endpoint in list(self._slow):
            value = slowness.get(endpoint, USUAL)
            if not is_open(endpoint):
                self._slow.discard(endpoint)
            elif value <= USUAL_MAX:
                self._slow.discard(endpoint)
                self._write(Event.ENDPOINT_SPEED_USUAL, endpoint, value)

    def _write(self, event: Event, endpoint: EndpointId, slowness: float) -> None:
        self._reporter.write_limited(
            event,
            lines_per_s=LINES_PER_S,
            endpoint=endpoint,
            slowness=round(slowness, 2),
        )


class SpeedSummary:
    """The speeds of all endpoints as a few figures, for metrics."""

    def __init__(self, slowness: Iterable[float]) -> None:
        values = list(slowness) or [USUAL]
        self.slowest: float = round(max(values), 2)
        self.fastest: float = round(min(values), 2)
        self.spread: float = round(max(values) / min(values), 2)
        self.slow_count: int = sum(1 for value in values if value >= SLOW_MIN)
