"""Chooses the endpoint of a ticket among those that have a free slot. Pure.

Handles endpoints of unequal speed, and of many daemons that choose at the
same moment, each with a part of the information.
"""

import random
import statistics
from collections.abc import Callable, Sequence

from ...ids import EndpointId
from .endpointslots import EndpointSlots, EndpointStatus
from .tickets import Ticket, Work

MAX_PREFIXES = 10_000
# An endpoint of the usual speed with half of its slots taken costs three times as much
# as an idle one, so that among equal endpoints the free slots decide alone.
MAX_PREFIX_COST_FACTOR = 3.0
# Costs that differ by less are as good as equal: a quarter of one of eight slots.
EQUAL_COST = 0.03
# A daemon that chooses alone takes the best of half of the endpoints. If all took the
# best of all, all might take the same one; the best of two or three leaves out most of
# what a daemon knows of its own requests.
SAMPLED_SHARE = 0.5
MIN_SAMPLED = 3
# It has granted a small part of what runs at an endpoint, so that with the weight of
# an owner the slowness would outweigh its own counts, and all would fill the fast ones.
ALONE_SLOWNESS_WEIGHT = 0.06


class Placement:
    """Chooses endpoints, and remembers where shared prompt prefixes were read last.

    Used by `Dispatcher`. `can_revoke` tells at a time in seconds whether a batch item
    can be revoked in favour of an online request. `is_uneven` is set while endpoints
    differ in speed, `is_alone` while other tables grant slots of the same endpoints,
    and `has_loads` once an endpoint has stated its load. Until `lingering_until_s` an
    endpoint may run a request that was abandoned.
    """

    def __init__(self, seed: int, can_revoke: Callable[[float], bool]) -> None:
        self._random = random.Random(seed)
        self._can_revoke: Callable[[float], bool] = can_revoke
        self._endpoint_of_prefix: dict[str, EndpointId] = {}
        self.is_uneven: bool = False
        self.is_alone: bool = False
        self.has_loads: bool = False
        self.lingering_until_s: float = float("-inf")

    def choose(
        self, ticket: Ticket, available: Sequence[EndpointSlots], now_s: float
    ) -> EndpointSlots | None:
        """Choose the endpoint with the least cost, or the one that served the
        prefix last if at least half of its slots are free and it is not much slower.
        """
        usable = self._usable_endpoints(ticket, available, now_s)
        if not usable:
            return None
        usable = _preferred_by_limit(usable, ticket.work, now_s)
        preferred = self._find_preferred(ticket.prefix, usable, now_s)
        if preferred is not None:
            return preferred
        best = self._best_endpoints(usable, now_s)
        if not self.is_alone:
            # Daemons alone would all fill their own zone without seeing each other.
            best = _in_zone(best, ticket.zone)
        slots = self._random.choice(best)
        self._remember_prefix(ticket.prefix, slots.endpoint)
        return slots

    def _find_preferred(
        self, prefix: str, usable: list[EndpointSlots], now_s: float
    ) -> EndpointSlots | None:
        """Return the endpoint that served the prefix last, unless it is too full or
        costs too much.
        """
        preferred = self._endpoint_of_prefix.get(prefix)
        for slots in usable:
            if slots.endpoint == preferred and slots.free * 2 >= slots.count:
                return slots if self._is_cheap_enough(slots, usable, now_s) else None
        return None

    def _is_cheap_enough(
        self, slots: EndpointSlots, usable: list[EndpointSlots], now_s: float
    ) -> bool:
        """Whether an endpoint costs little enough to be preferred for its prefix."""
        if not self.is_uneven:
            return True
        least = min(s.cost(now_s) for s in usable)
        return slots.cost(now_s) <= MAX_PREFIX_COST_FACTOR * least

    def _best_endpoints(
        self, usable: list[EndpointSlots], now_s: float
    ) -> list[EndpointSlots]:
        """Return the endpoints that are as good as equal and better than the others."""
        if self.is_alone and (self.is_uneven or self.has_loads):
            return self._best_of_sample(usable, now_s)
        if not self.is_uneven and now_s >= self.lingering_until_s:
            highest_share = max(s.free / s.count for s in usable)
            return [s for s in usable if s.free / s.count == highest_share]
        costs = [s.cost(now_s) for s in usable]
        limit = min(costs) + EQUAL_COST
        return [s for s, cost in zip(usable, costs, strict=True) if cost <= limit]

    def _best_of_sample(
        self, usable: list[EndpointSlots], now_s: float
    ) -> list[EndpointSlots]:
        """Return the best of a few endpoints; if all daemons took the best of all, they
        would take the same one until its load is known.
        """
        stated = [s.load.others for s in usable if s.load.is_fresh(now_s)]
        mean_others = statistics.fmean(stated or [0.0])
        count = max(MIN_SAMPLED, round(SAMPLED_SHARE * len(usable)))
        sampled = self._random.sample(usable, min(count, len(usable)))
        costs = [
            s.cost(now_s, s.load.others_now(mean_others, now_s), ALONE_SLOWNESS_WEIGHT)
            for s in sampled
        ]
        limit = min(costs) + EQUAL_COST
        return [s for s, cost in zip(sampled, costs, strict=True) if cost <= limit]

    def _remember_prefix(self, prefix: str, endpoint: EndpointId) -> None:
        if not prefix:
            return
        if len(self._endpoint_of_prefix) >= MAX_PREFIXES:
            self._endpoint_of_prefix.clear()
        self._endpoint_of_prefix[prefix] = endpoint

    def _usable_endpoints(
        self, ticket: Ticket, available: Sequence[EndpointSlots], now_s: float
    ) -> list[EndpointSlots]:
        """Return the available endpoints that a ticket may use now."""
        with_free_slots = [s for s in available if s.suits(ticket, now_s)]
        if ticket.work is Work.BATCH:
            return [
                s for s in with_free_slots if s.status is not EndpointStatus.EJECTED
            ]
        normal = [s for s in with_free_slots if s.status is EndpointStatus.NORMAL]
        if normal or not ticket.may_repeat or self._can_revoke(now_s):
            return normal
        return with_free_slots


def _in_zone(best: list[EndpointSlots], zone: str) -> list[EndpointSlots]:
    """Return those of equally good endpoints that are in a zone, else all."""
    if not zone or len(best) == 1:
        return best
    return [s for s in best if s.profile.zone == zone] or best


def _preferred_by_limit(
    usable: list[EndpointSlots], work: Work, now_s: float
) -> list[EndpointSlots]:
    """Return the endpoints that work should go to: batch items, which use their slots
    for long, to those that take few requests, and online requests to the others.
    """
    if all(s.limit is None for s in usable):
        return usable
    if work is Work.BATCH:
        preferred = [s for s in usable if s.limit is not None]
    else:
        preferred = [s for s in usable if s.limit is None or s.limit.needs_check(now_s)]
    return preferred or usable
