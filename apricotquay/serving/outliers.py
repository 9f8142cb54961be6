"""Which endpoints fail more often than they should, by all daemons' reports. Pure.

Daemons tell the owner of a service's slots how each attempt ended. One daemon
sees an endpoint of a large fleet every few seconds only; the owner sees all, and
an endpoint that fails a part of its requests while its health is good shows
within a second or two. It rests for a while, longer each time, and comes back on
trial. At most a share of a service rests: what most of them do is no one's fault.
"""

import collections
import enum
from collections.abc import Iterable

from ..ids import EndpointId
from .endpoints import Endpoint

WINDOW = 12
MEMORY_S = 8.0
MIN_FAILURES = 3
FAILED_SHARE = 0.25
# On trial one failure is enough.
TRIAL_FAILURES = 1
TRIAL_S = 3.0
TRIAL_SOUND = 2
REST_BASE_S = 1.5
REST_MAX_S = 8.0
# So many sound attempts in a row let earlier rests be forgotten.
FORGET_SOUND = 12
REST_CAP_SHARE = 0.3
# One of so many endpoints may rest, whatever the share.
MIN_TO_REST = 3


class SlotOutcome(enum.Enum):
    """How an attempt in a slot ended, as far as the endpoint is to blame."""

    SUCCEEDED = "sound"
    FAILED = "failed"
    UNKNOWN = "unknown"


class _Record:
    """What is known of one start of an endpoint."""

    def __init__(self, started_ms: int) -> None:
        self.started_ms: int = started_ms
        self.recent: collections.deque[tuple[float, bool]] = collections.deque(
            maxlen=WINDOW
        )
        self.rests: int = 0
        self.rest_until_s: float = float("-inf")
        self.sound_in_row: int = 0

    def is_resting(self, now_s: float) -> bool:
        return now_s < self.rest_until_s

    def is_on_trial(self, now_s: float) -> bool:
        is_back = self.rest_until_s <= now_s < self.rest_until_s + TRIAL_S
        return is_back and self.sound_in_row < TRIAL_SOUND

    def failures(self, now_s: float) -> tuple[int, int]:
        """Return how many attempts failed lately, and of how many."""
        lately = [failed for at_s, failed in self.recent if now_s - at_s < MEMORY_S]
        return sum(lately), len(lately)


class Outliers:
    """Judges endpoints. Used by the owner's slot tables."""

    def __init__(self) -> None:
        self._records: dict[EndpointId, _Record] = {}

    def see(self, endpoint: Endpoint, use: SlotOutcome, now_s: float) -> float:
        """Count an attempt; return for how long the endpoint rests now, else 0."""
        if use is SlotOutcome.UNKNOWN:
            return 0.0
        record = self._record_of(endpoint)
        if record.is_resting(now_s):
            return 0.0
        record.recent.append((now_s, use is SlotOutcome.FAILED))
        if use is SlotOutcome.SUCCEEDED:
            record.sound_in_row += 1
            if record.sound_in_row >= FORGET_SOUND:
                record.rests = 0
            return 0.0
        was_on_trial = record.is_on_trial(now_s)
        record.sound_in_row = 0
        failures, seen = record.failures(now_s)
        needed = TRIAL_FAILURES if was_on_trial else MIN_FAILURES
        if failures < needed or failures < FAILED_SHARE * seen:
            return 0.0
        rest_s = min(REST_MAX_S, REST_BASE_S * 2**record.rests)
        record.rests += 1
        record.rest_until_s = now_s + rest_s
        record.recent.clear()
        return rest_s

    def counts(self, endpoint: Endpoint, now_s: float) -> tuple[int, int]:
        """Return how many attempts failed lately and of how many, for the log."""
        return self._record_of(endpoint).failures(now_s)

    def resting(self, endpoints: Iterable[Endpoint], now_s: float) -> set[EndpointId]:
        """Return which of a service's endpoints are to get no work now."""
        listed = list(endpoints)
        resting = [
            (self._record_of(e).rest_until_s, e.id)
            for e in listed
            if self._record_of(e).is_resting(now_s)
        ]
        most = int(REST_CAP_SHARE * len(listed))
        if len(listed) >= MIN_TO_REST:
            most = max(1, most)
        return {endpoint_id for _, endpoint_id in sorted(resting)[-most:] if most}

    def on_trial(self, endpoints: Iterable[Endpoint], now_s: float) -> set[EndpointId]:
        """Return which of a service's endpoints are to get little work now."""
        return {e.id for e in endpoints if self._record_of(e).is_on_trial(now_s)}

    def _record_of(self, endpoint: Endpoint) -> _Record:
        record = self._records.get(endpoint.id)
        if record is None or record.started_ms != endpoint.started_ms:
            record = self._records[endpoint.id] = _Record(endpoint.started_ms)
        return record
