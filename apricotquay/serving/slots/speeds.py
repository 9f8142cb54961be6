"""Estimates how slow each endpoint of a service is, from attempts there. Pure.

Slowness is how long work takes as a multiple of what is usual in the service, so 1.0
is as usual and 2.5 two and a half times as slow. This handles a machine
that is slower for good, or for part of a second since others use it, while answers
arrive late and some of them are far from the rest.
"""

import collections
import enum
import itertools
import statistics
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from ...ids import EndpointId
from .slotuse import MIN_GAPS, US_PER_S, UseReport

# Noise of machines changes about every 0.6 s, and reports arrive that much later.
RECENT_S = 2.0
REMEMBERED_S = 10.0
MAX_SAMPLES = 10
# The median of fewer samples would follow a single outlier.
MIN_SAMPLES = 3
MAX_RECENT_SAMPLES = 5
# Values within these count as 1.0, and more if attempts at one endpoint differ more: a
# median of five must not leave the range by chance, as with 4 deviations.
USUAL_MIN, USUAL_MAX = 0.87, 1.15
USUAL_DEVIATIONS = 5.0
# The median deviation of fewer samples is mostly too small.
MIN_DEVIATION_SAMPLES = 5
SLOWNESS_MIN, SLOWNESS_MAX = 0.25, 8.0
# Longer times are those of an attempt that hung, or not of this kind.
MAX_GAP_S = 10.0
REFRESH_S = 1.0
# Steps of a refresh in one call, two for each endpoint: all 600 endpoints of a service
# in one piece would hold up other requests for 14 ms.
REFRESH_STEPS = 100
USUAL = 1.0


class SampleKind(enum.Enum):
    """What a sample was measured by, the better one first."""

    GAP = "gap"
    STATED = "stated"


class Sample(NamedTuple):
    """One attempt's measure: seconds, or the stated slowness."""

    at_s: float
    kind: SampleKind
    value: float


class Typical:
    """What is usual in a service: the median over its endpoints, None if unknown."""

    def __init__(self) -> None:
        self.values: dict[SampleKind, float] = {SampleKind.STATED: 1.0}
        # The largest slowness that counts as usual.
        self.usual_max: float = USUAL_MAX
        # Without it gaps show no slowness: any difference may be chance.
        self._has_deviation: bool = False

    def set_deviation(self, deviation: float) -> None:
        """Set by what share attempts at one endpoint deviate from their median."""
        self._has_deviation = True
        self.usual_max = max(USUAL_MAX, 1 + USUAL_DEVIATIONS * deviation)

    def is_usual(self, slowness: float) -> bool:
        """Whether an endpoint's slowness may be chance."""
        return min(USUAL_MIN, 1 / self.usual_max) <= slowness <= self.usual_max

    def slowness_of(self, sample: Sample) -> float | None:
        """Return the slowness that a sample shows."""
        usual = self.values.get(sample.kind)
        is_known = self._has_deviation or sample.kind is not SampleKind.GAP
        if not usual or not is_known:
            return None
        slowness = sample.value / usual
        return min(SLOWNESS_MAX, max(SLOWNESS_MIN, slowness))


class SpeedEstimate:
    """The recent samples of one start of an endpoint. Used by `ServiceSpeeds`."""

    def __init__(self) -> None:
        self._samples: collections.deque[Sample] = collections.deque(maxlen=MAX_SAMPLES)
        self._is_measured: bool = False
        # Of the gaps, when they were measured last.
        self.median: float | None = None
        self.deviation: float | None = None

    def add(self, sample: Sample) -> None:
        """Add the newest sample."""
        self._samples.append(sample)
        self._is_measured = False

    def expire(self, now_s: float) -> bool:
        """Forget old samples; return whether some are left."""
        while self._samples and now_s - self._samples[0].at_s > REMEMBERED_S:
            self._samples.popleft()
            self._is_measured = False
        return bool(self._samples)

    def measure(self) -> None:
        """Set the median of the gaps and their median deviation from it, as a share,
        if samples were added or removed.
        """
        if self._is_measured:
            return
        self._is_measured = True
        values = [s.value for s in self._samples if s.kind is SampleKind.GAP]
        self.median = statistics.median(values) if values else None
        self.deviation = None
        if self.median is not None and len(values) >= MIN_DEVIATION_SAMPLES:
            differences = [abs(value - self.median) for value in values]
            self.deviation = statistics.median(differences) / self.median

    def slowness(self, typical: Typical, now_s: float) -> float:
        """Return the slowness now; 1.0 exactly if it is about as usual."""
        recent: list[float] = []
        older: list[float] = []
        for sample in reversed(self._samples):
            age_s = now_s - sample.at_s
            slowness = typical.slowness_of(sample)
            if slowness is None or age_s > REMEMBERED_S:
                continue
            is_recent = age_s <= RECENT_S and len(recent) < MAX_RECENT_SAMPLES
            (recent if is_recent else older).append(slowness)
        value = _median_with(recent, lambda: _median_with(older, lambda: USUAL))
        return USUAL if typical.is_usual(value) else value


def _median_with(values: list[float], earlier: Callable[[], float]) -> float:
    """Return the median; too few values are filled up with an earlier one."""
    missing = MIN_SAMPLES - len(values)
    if missing > 0:
        values = [*values, *[earlier()] * missing]
    return statistics.median(values)


class ServiceSpeeds:
    """The slowness of a service's endpoints. Used by `Dispatcher`, whose tables the
    owner of the slots feeds with all daemons' attempts, and a daemon with its own.
    """

    def __init__(self) -> None:
        # Holds only endpoints that are not as usual.
        self.slowness: dict[EndpointId, float] = {}
        self._typical = Typical()
        self._estimates: dict[EndpointId, SpeedEstimate] = {}
        self._refreshed_s: float = float("-inf")
        self._samples_recorded: int = 0
        self._samples_refreshed: int = 0
        # What is left of a refresh that has begun.
        self._steps: Iterator[None] = iter(())
        self._is_refreshing: bool = False
        self._now_s: float = 0.0
        self._changed: set[EndpointId] = set()

    def record(self, endpoint: EndpointId, report: UseReport, now_s: float) -> bool:
        """Record what an attempt showed; return whether it is a sample."""
        sample = _sample_of(report, now_s)
        if sample is None:
            return False
        estimate = self._estimates.setdefault(endpoint, SpeedEstimate())
        estimate.add(sample)
        self._samples_recorded += 1
        self.refresh(now_s)
        self._update(endpoint, estimate)
        return True

    def take_changed(self) -> set[EndpointId]:
        """Return the endpoints whose slowness changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that left or restarted."""
        self._estimates.pop(endpoint, None)
        self._set_slowness(endpoint, USUAL)

    def refresh(self, now_s: float) -> None:
        """Do a share of a refresh, which expires old samples and finds what is typical.
        One begins every REFRESH_S and whenever twice as many samples were recorded.
        """
        self._now_s = now_s
        if not self._is_refreshing and self._is_due(now_s):
            self._refreshed_s = now_s
            self._samples_refreshed = self._samples_recorded
            self._steps = self._refresh_steps()
        done = sum(1 for _ in itertools.islice(self._steps, REFRESH_STEPS))
        self._is_refreshing = done == REFRESH_STEPS

    def _is_due(self, now_s: float) -> bool:
        has_grown = self._samples_recorded >= max(1, 2 * self._samples_refreshed)
        return has_grown or now_s - self._refreshed_s >= REFRESH_S

    def _refresh_steps(self) -> Iterator[None]:
        for endpoint, estimate in list(self._estimates.items()):
            if estimate.expire(self._now_s):
                estimate.measure()
            elif self._estimates.get(endpoint) is estimate:
                self.forget(endpoint)
            yield
        self._refresh_typical()
        for endpoint, estimate in list(self._estimates.items()):
            if self._estimates.get(endpoint) is estimate:
                self._update(endpoint, estimate)
            yield

    def _update(self, endpoint: EndpointId, estimate: SpeedEstimate) -> None:
        self._set_slowness(endpoint, estimate.slowness(self._typical, self._now_s))

    def _set_slowness(self, endpoint: EndpointId, slowness: float) -> None:
        if slowness != self.slowness.get(endpoint, USUAL):
            self._changed.add(endpoint)
        if slowness == USUAL:
            self.slowness.pop(endpoint, None)
        else:
            self.slowness[endpoint] = slowness

    def _refresh_typical(self) -> None:
        usual = _median(e.median for e in self._estimates.values())
        if usual is not None:
            self._typical.values[SampleKind.GAP] = usual
        deviation = _median(e.deviation for e in self._estimates.values())
        if deviation is not None:
            self._typical.set_deviation(deviation)


def _median(values: Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else None


def _sample_of(report: UseReport, now_s: float) -> Sample | None:
    """Return the best measure in a report, which a peer sent; None if it has none. The
    wait for the first event is none: it varies with the prompt.
    """
    gap_s = report.gap_us / US_PER_S
    if report.events > MIN_GAPS and 0 < gap_s <= MAX_GAP_S:
        return Sample(now_s, SampleKind.GAP, gap_s)
    if report.load is not None and report.load.time_percent > 0:
        return Sample(now_s, SampleKind.STATED, report.load.time_percent / 100)
    return None
