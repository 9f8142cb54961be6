"""Outlier detection: ejects endpoints by the failures that all daemons report.

Daemons report to the owner of a service's slots how each attempt ended. In a large
fleet one daemon uses an endpoint only every few seconds; the owner sees all
attempts, so an endpoint that fails some of its requests although its health is
good is found within a second or two. It is ejected for a while, longer each time,
and returns on probation. At most a share of a service is ejected, since a failure
that most endpoints have is not caused by one of them. Pure.
"""

import collections
import enum
from collections.abc import Iterable

from ...ids import EndpointId
from ..endpoints import Endpoint

WINDOW_ATTEMPTS = 12
WINDOW_S = 8.0
MIN_FAILURES = 3
MIN_FAILED_SHARE = 0.25
# On probation one failure is enough to eject again.
PROBATION_FAILURES = 1
PROBATION_S = 3.0
PROBATION_SUCCESSES = 2
EJECTION_BASE_S = 1.5
EJECTION_MAX_S = 8.0
# This many consecutive successes reset the ejection time to its base.
RESET_SUCCESSES = 12
MAX_EJECTED_SHARE = 0.3
# A service with at least this many endpoints may eject one, whatever the share.
MIN_ENDPOINTS_TO_EJECT = 3


class SlotOutcome(enum.Enum):
    """How an attempt in a slot ended; UNKNOWN says nothing about the endpoint."""

    SUCCEEDED = "sound"
    FAILED = "failed"
    UNKNOWN = "unknown"


class _EndpointHistory:
    """Recent attempts and ejections of one start of an endpoint."""

    def __init__(self, started_ms: int) -> None:
        self.started_ms: int = started_ms
        self.recent: collections.deque[tuple[float, bool]] = collections.deque(
            maxlen=WINDOW_ATTEMPTS
        )
        self.ejections: int = 0
        self.ejected_until_s: float = float("-inf")
        self.consecutive_successes: int = 0

    def is_ejected(self, now_s: float) -> bool:
        return now_s < self.ejected_until_s

    def is_on_probation(self, now_s: float) -> bool:
        has_returned = (
            self.ejected_until_s <= now_s < self.ejected_until_s + PROBATION_S
        )
        return has_returned and self.consecutive_successes < PROBATION_SUCCESSES

    def failures(self, now_s: float) -> tuple[int, int]:
        """Return how many recent attempts failed, and how many there were."""
        recent = [failed for at_s, failed in self.recent if now_s - at_s < WINDOW_S]
        return sum(recent), len(recent)


class OutlierDetector:
    """Ejects endpoints that fail too often. Used by the owner's slot tables."""

    def __init__(self) -> None:
        self._histories: dict[EndpointId, _EndpointHistory] = {}

    def record_attempt(
        self, endpoint: Endpoint, outcome: SlotOutcome, now_s: float
    ) -> float:
        """Count an attempt; return how long the endpoint is ejected for it, else 0."""
        if outcome is SlotOutcome.UNKNOWN:
            return 0.0
        history = self._history_of(endpoint)
        if history.is_ejected(now_s):
            return 0.0
        history.recent.append((now_s, outcome is SlotOutcome.FAILED))
        if outcome is SlotOutcome.SUCCEEDED:
            history.consecutive_successes += 1
            if history.consecutive_successes >= RESET_SUCCESSES:
                history.ejections = 0
            return 0.0
        was_on_probation = history.is_on_probation(now_s)
        history.consecutive_successes = 0
        failures, attempts = history.failures(now_s)
        needed = PROBATION_FAILURES if was_on_probation else MIN_FAILURES
        if failures < needed or failures < MIN_FAILED_SHARE * attempts:
            return 0.0
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**history.ejections)
        history.ejections += 1
        history.ejected_until_s = now_s + ejection_s
        history.recent.clear()
        return ejection_s

    def failure_counts(self, endpoint: Endpoint, now_s: float) -> tuple[int, int]:
        """Return the recent failures and attempts of an endpoint, for the log."""
        return self._history_of(endpoint).failures(now_s)

    def ejected(self, endpoints: Iterable[Endpoint], now_s: float) -> set[EndpointId]:
        """Return which of a service's endpoints get no work now."""
        listed = list(endpoints)
        ejected = [e for e in listed if self._history_of(e).is_ejected(now_s)]
        return self._latest_ejected(ejected, len(listed))

    def on_probation(
        self, endpoints: Iterable[Endpoint], now_s: float
    ) -> set[EndpointId]:
        """Return which of a service's endpoints get little work now: of those that
        have returned, as many as may be ejected.
        """
        listed = list(endpoints)
        returned = [e for e in listed if self._history_of(e).is_on_probation(now_s)]
        return self._latest_ejected(returned, len(listed))

    def _latest_ejected(
        self, endpoints: list[Endpoint], listed_count: int
    ) -> set[EndpointId]:
        """Return those that are ejected for longest, as many as may be ejected."""
        max_ejected = int(MAX_EJECTED_SHARE * listed_count)
        if listed_count >= MIN_ENDPOINTS_TO_EJECT:
            max_ejected = max(1, max_ejected)
        ordered = sorted((self._history_of(e).ejected_until_s, e.id) for e in endpoints)
        return {endpoint_id for _, endpoint_id in ordered[-max_ejected:] if max_ejected}

    def _history_of(self, endpoint: Endpoint) -> _EndpointHistory:
        history = self._histories.get(endpoint.id)
        if history is None or history.started_ms != endpoint.started_ms:
            history = self._histories[endpoint.id] = _EndpointHistory(
                endpoint.started_ms
            )
        return history
