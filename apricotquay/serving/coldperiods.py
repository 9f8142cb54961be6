"""When endpoints are cold: slow after a start, as their entries state it. Pure."""

import msgspec

from ..ids import EndpointId

# An entry without a usable time counts as that of a new start if the start that it
# names is not older than this and the service's `cold_start_s`: clocks differ.
MAX_CLOCK_DIFFERENCE_S = 10.0
MAX_PERIODS = 4_096


class ColdPeriod(msgspec.Struct, frozen=True):
    """What the newest entry of a start says: cold for `left_s` from `stated_s` on,
    for the time that its service takes to warm up if `left_s` is None.
    """

    started_ms: int
    stated_s: float
    left_s: float | None


class ColdPeriods:
    """The cold periods of all endpoints. Used by `EndpointTable`."""

    def __init__(self) -> None:
        self._periods: dict[EndpointId, ColdPeriod] = {}

    def record(
        self,
        endpoint_id: EndpointId,
        started_ms: int,
        left_s: float | None,
        started_ago_s: float,
        now_s: float,
    ) -> bool:
        """Record an entry; return whether its endpoint became cold or warm by it.

        Without a time the entry says nothing of a start that is known.
        """
        known = self._periods.get(endpoint_id)
        is_known = known is not None and known.started_ms == started_ms
        if left_s is None and (is_known or started_ago_s > MAX_CLOCK_DIFFERENCE_S):
            return False
        was_cold = is_known and _may_be_cold(known, now_s)
        if known is None and len(self._periods) >= MAX_PERIODS:
            del self._periods[next(iter(self._periods))]
        self._periods[endpoint_id] = ColdPeriod(started_ms, now_s, left_s)
        return was_cold != _may_be_cold(self._periods[endpoint_id], now_s)

    def left_s(
        self,
        endpoint_id: EndpointId,
        started_ms: int,
        cold_start_s: float,
        now_s: float,
    ) -> float:
        """Return how long a start is still cold, 0 if it is warm."""
        period = self._periods.get(endpoint_id)
        if period is None or period.started_ms != started_ms:
            return 0.0
        length_s = cold_start_s if period.left_s is None else period.left_s
        return max(0.0, period.stated_s + length_s - now_s)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint that is not listed any more."""
        self._periods.pop(endpoint_id, None)


def _may_be_cold(period: ColdPeriod, now_s: float) -> bool:
    return period.left_s is None or now_s < period.stated_s + period.left_s
