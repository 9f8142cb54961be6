"""Limits on the requests a second that cold endpoints take from all daemons. Pure.

Handles the load of a rolling replacement of endpoints: an endpoint that has just
started is empty, so every daemon would choose it, and it crashes well above a rate
that the service's configuration gives. One daemon keeps the rate for all, the owner
of the service's slots; a daemon without an owner keeps to its share. No second may
have more than 1.5 times the rate and 5 requests, so that owners and shares leave
room for each other, and for grants that arrive late.
"""

from collections.abc import Iterable

from ...ids import EndpointId
from ..endpoints import Endpoint
from .sendlimits import SharedPace

# What was not used at once may follow: half a request more than one keeps the pace of
# an owner that decides every 50 ms near the rate.
MAX_SAVED_SENDS = 1.5
# All daemons choose alone while an owner is silent, also beside some that still hear
# it, and their sends fall at random times. A mean of an eighth of the rate keeps the
# sum of owner and shares below the bound.
COLD_SHARED_PORTION = 0.125
COLD_SHARE_VALID_S = 0.1
# The fewest daemons that are assumed to share a rate: few know how many there are.
MIN_SHARING_DAEMONS = 100
# An owner that was appointed so recently, or that the store does not confirm, may not
# be alone, and grants this part of the rate.
TAKEOVER_S = 2.0
DOUBTFUL_OWNER_PORTION = 0.5
# A grant for a cold endpoint is not used if it may be older: those of a second would
# arrive with those of the next.
MAX_GRANT_AGE_S = 0.3

# An endpoint that is ejected after failures may be starting again, and the entry of
# its new start is seen so late. Until then it gets no more than a cold one.
ENTRY_DELAY_S = 2.0


class ColdLimit(SharedPace):
    """The sends that one start of an endpoint may get while it is cold. Used by the
    slot table of the endpoint's service.
    """

    shared_portion = COLD_SHARED_PORTION
    share_valid_s = COLD_SHARE_VALID_S

    def __init__(self, started_ms: int, rate_per_s: float, now_s: float) -> None:
        super().__init__(started_ms, now_s)
        self.cold_per_s: float = rate_per_s
        self._is_doubtful: bool = False

    def set_doubtful(self, is_doubtful: bool) -> None:
        """Set whether another daemon may grant for the whole fleet as well."""
        self._is_doubtful = is_doubtful

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate that the endpoint may get from all daemons now."""
        portion = DOUBTFUL_OWNER_PORTION if self._is_doubtful else 1.0
        return self.cold_per_s * portion

    def _max_tokens(self, now_s: float) -> float:
        return MAX_SAVED_SENDS


class ColdLimits:
    """The limits of the endpoints that are cold now. Used by `SlotTables`."""

    def __init__(self) -> None:
        self._limits: dict[EndpointId, ColdLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def find(self, endpoint_id: EndpointId) -> ColdLimit | None:
        """Return the limit of an endpoint, None if it is warm."""
        return self._limits.get(endpoint_id)

    def all(self) -> Iterable[EndpointId]:
        """Return the endpoints that are cold."""
        return self._limits.keys()

    def begin(
        self, endpoint: Endpoint, rate_per_s: float, now_s: float
    ) -> tuple[ColdLimit, bool]:
        """Return the limit of a cold endpoint, and whether it begins now."""
        limit = self._limits.get(endpoint.id)
        if limit is not None and limit.started_ms == endpoint.started_ms:
            limit.cold_per_s = rate_per_s
            return limit, False
        limit = ColdLimit(endpoint.started_ms, rate_per_s, now_s)
        self._limits[endpoint.id] = limit
        return limit, True

    def end(self, endpoint_id: EndpointId) -> bool:
        """Record that an endpoint is warm or gone; return whether it was cold."""
        return self._limits.pop(endpoint_id, None) is not None


def sharing_daemons(told: int) -> int:
    """Return how many daemons share a rate, of the number that an owner told."""
    return max(MIN_SHARING_DAEMONS, told)
