"""Limits on the requests a second that endpoints take from all daemons. Pure.

An endpoint in need names a limit in its answers. The limit is over the whole fleet,
so one daemon keeps it for all: the owner of the service's slots, which grants every
send. A daemon that grants slots to itself while no owner answers keeps to its share.
Only answers tell that a limit has ended, so an endpoint is never left without any
requests, and after the end the load returns over some seconds.
"""

import random
from collections.abc import Iterator

import msgspec

from ...ids import EndpointId
from ..endpoints import Endpoint
from ..online.rates import Bucket

# An endpoint with a lower limit, which may be 0, is still asked this often.
MIN_RATE_PER_S = 0.25
# What an endpoint did not get for so long may follow at once, at least one request.
BURST_S = 1.0
# An endpoint whose last answer is older gets a request although others have room.
CHECK_INTERVAL_S = 1.0
# After the end of a limit the rate doubles in this time, from at least the minimum.
RECOVERY_DOUBLING_S = 1.0
RECOVERY_S = 5.0
RECOVERY_MIN_RATE_PER_S = 1.0
# A daemon's share is a send now and then; one that is not used at once is lost, so
# that many daemons do not save theirs for the same moment.
SHARE_VALID_S = 0.3
# The shares of all daemons fall at random times, so their sum varies.
SHARED_PORTION = 0.5
# Number of daemons that share a limit if no owner has told it.
DEFAULT_DAEMONS = 50
# A change by less than this share is not told to other daemons.
MATERIAL_CHANGE = 0.2
# The limits of endpoints that are not listed (any more) are forgotten after this time.
UNLISTED_S = 10.0
MAX_LIMITS = 4_096


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells others of an endpoint's limit; `age_ms` ago it was named,
    or found to have ended.
    """

    endpoint: str
    started_ms: int
    rate_per_s: float
    has_ended: bool
    age_ms: int


class SharedPace:
    """The sends that one start of an endpoint may get: all of them at the daemon that
    grants for the whole fleet, a share of them at each daemon without such an owner.

    Base of `SendLimit` and `ColdLimit`, which say at which rate.
    """

    shared_portion: float = SHARED_PORTION
    share_valid_s: float = SHARE_VALID_S

    def __init__(self, started_ms: int, now_s: float) -> None:
        self.started_ms: int = started_ms
        self._daemons: int = DEFAULT_DAEMONS
        self._is_shared: bool = True
        self._bucket = Bucket(0.0, now_s)
        # Spares the slot table, which asks for each decision, most computations.
        self._no_token_until_s: float = float("-inf")
        self._phase: float = random.random()
        self._used_share: int = -1

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate that the endpoint may get from all daemons now."""
        raise NotImplementedError

    def granted_per_s(self, now_s: float) -> float:
        """Return the rate at which this daemon grants sends."""
        rate_per_s = self.rate_per_s(now_s)
        if not self._is_shared:
            return rate_per_s
        return self.shared_portion * rate_per_s / self._daemons

    def share_among(self, daemons: int, now_s: float, *, is_shared: bool) -> None:
        """Set whether this daemon grants sends for all daemons or only its share."""
        if self._is_shared and not is_shared:
            # Others have granted sends until now.
            self._bucket = Bucket(0.0, now_s)
        self._daemons = max(1, daemons)
        self._is_shared = is_shared

    def may_send(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        if self._is_shared:
            return self._current_share(now_s) is not None
        if now_s < self._no_token_until_s:
            return False
        self._refill(now_s)
        missing = 1.0 - self._bucket.tokens
        if missing > 0:
            self._no_token_until_s = now_s + missing / self.rate_per_s(now_s)
        return missing <= 0

    def may_send_batch(self, now_s: float) -> bool:
        """Whether a batch item may be sent now: online requests have left sends."""
        if self._is_shared:
            return self.may_send(now_s)
        self._refill(now_s)
        return self._bucket.tokens >= self._max_tokens(now_s)

    def take(self, now_s: float) -> None:
        """Count a send."""
        if self._is_shared:
            share = self._current_share(now_s)
            self._used_share = self._used_share if share is None else share
            return
        self._refill(now_s)
        self._bucket.tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        self._bucket.refill(self.rate_per_s(now_s), self._max_tokens(now_s), now_s)

    def _max_tokens(self, now_s: float) -> float:
        return max(1.0, BURST_S * self.rate_per_s(now_s))

    def _current_share(self, now_s: float) -> int | None:
        """Return the number of this daemon's send that may be used now, if any."""
        interval_s = 1 / self.granted_per_s(now_s)
        elapsed = now_s / interval_s + self._phase
        number = int(elapsed)
        age_s = (elapsed - number) * interval_s
        if number == self._used_share or age_s >= self.share_valid_s:
            return None
        return number


class SendLimit(SharedPace):
    """The limit that one start of an endpoint named, and the sends that it still
    allows.

    Used by the slot table of the endpoint's service.
    """

    def __init__(
        self, started_ms: int, rate_per_s: float, stated_s: float, now_s: float
    ) -> None:
        super().__init__(started_ms, now_s)
        self.named_per_s: float = rate_per_s
        self.has_ended: bool = False
        self.stated_s: float = stated_s
        # What other daemons were told last.
        self.told: tuple[float, bool] | None = None

    def update(self, rate_per_s: float, stated_s: float, *, has_ended: bool) -> None:
        """Record what the endpoint says now."""
        self.named_per_s = rate_per_s
        self.stated_s = stated_s
        self.has_ended = has_ended
        self._no_token_until_s = float("-inf")

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate that the endpoint may get from all daemons now."""
        if not self.has_ended:
            return max(MIN_RATE_PER_S, self.named_per_s)
        ended_for_s = min(RECOVERY_S, max(0.0, now_s - self.stated_s))
        doublings = ended_for_s / RECOVERY_DOUBLING_S
        return max(RECOVERY_MIN_RATE_PER_S, self.named_per_s) * 2**doublings

    def needs_check(self, now_s: float) -> bool:
        """Whether no answer has told for a while whether the limit still holds."""
        return now_s - self.stated_s >= CHECK_INTERVAL_S

    def is_over(self, now_s: float) -> bool:
        """Whether the endpoint can get the whole load again."""
        return self.has_ended and now_s - self.stated_s >= RECOVERY_S


class SendLimits:
    """The limits of all endpoints that a daemon knows. Used by `SlotTables`."""

    def __init__(self) -> None:
        self._limits: dict[EndpointId, SendLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def find(self, endpoint: Endpoint) -> SendLimit | None:
        """Return the limit of an endpoint, None if it takes the whole load. That of
        an earlier start does not count.
        """
        limit = self._limits.get(endpoint.id)
        if limit is None or limit.started_ms < endpoint.started_ms:
            return None
        return limit

    def name(
        self, endpoint_id: EndpointId, started_ms: int, rate_per_s: float, now_s: float
    ) -> bool:
        """Record a limit that an answer names; return whether it changed much."""
        notice = LimitNotice(endpoint_id, started_ms, rate_per_s, False, 0)
        return self.merge(notice, now_s)

    def end(
        self, endpoint_id: EndpointId, started_ms: int, sent_s: float, now_s: float
    ) -> bool:
        """Record an answer without a limit to a request that was sent at `sent_s`;
        return whether it ends a limit. One that was sent before the limit was known
        may have been answered before it was named.
        """
        limit = self._limits.get(endpoint_id)
        if limit is None or limit.has_ended or limit.started_ms != started_ms:
            return False
        if sent_s <= limit.stated_s:
            return False
        limit.update(limit.named_per_s, now_s, has_ended=True)
        return True

    def merge(self, notice: LimitNotice, now_s: float) -> bool:
        """Record what another daemon tells; return whether that changed much."""
        endpoint_id = EndpointId(notice.endpoint)
        stated_s = now_s - max(0, notice.age_ms) / 1000
        known = self._limits.get(endpoint_id)
        if known is not None and known.started_ms > notice.started_ms:
            return False
        if known is None or known.started_ms < notice.started_ms:
            if notice.has_ended or len(self._limits) >= MAX_LIMITS:
                return False
            self._limits[endpoint_id] = SendLimit(
                notice.started_ms, notice.rate_per_s, stated_s, now_s
            )
            return True
        if stated_s < known.stated_s:
            return False
        changed = known.has_ended != notice.has_ended or _differ(
            known.named_per_s, notice.rate_per_s
        )
        known.update(notice.rate_per_s, stated_s, has_ended=notice.has_ended)
        return changed

    def notices(self, now_s: float) -> list[LimitNotice]:
        """Return all limits, for a daemon that may know none."""
        return [self._notice(e, limit, now_s) for e, limit in self._limits.items()]

    def take_changes(self, now_s: float) -> list[LimitNotice]:
        """Return the limits that changed much since this was last called."""
        return list(self._changes(now_s))

    def forget(self, listed: set[EndpointId], now_s: float) -> list[EndpointId]:
        """Forget limits that are over and those of endpoints that are gone; return
        the former.
        """
        over = [e for e, limit in self._limits.items() if limit.is_over(now_s)]
        gone = [
            e
            for e, limit in self._limits.items()
            if e not in listed and now_s - limit.stated_s > UNLISTED_S
        ]
        for endpoint_id in {*over, *gone}:
            del self._limits[endpoint_id]
        return over

    def _changes(self, now_s: float) -> Iterator[LimitNotice]:
        for endpoint_id, limit in self._limits.items():
            told = limit.told
            if told is not None and told[1] == limit.has_ended:
                if not _differ(told[0], limit.named_per_s):
                    continue
            limit.told = (limit.named_per_s, limit.has_ended)
            yield self._notice(endpoint_id, limit, now_s)

    def _notice(
        self, endpoint_id: EndpointId, limit: SendLimit, now_s: float
    ) -> LimitNotice:
        return LimitNotice(
            endpoint_id,
            limit.started_ms,
            limit.named_per_s,
            limit.has_ended,
            int((now_s - limit.stated_s) * 1000),
        )


def _differ(first_per_s: float, second_per_s: float) -> bool:
    return abs(first_per_s - second_per_s) > MATERIAL_CHANGE * max(
        MIN_RATE_PER_S, first_per_s
    )
