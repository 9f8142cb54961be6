"""Chooses the endpoint of a ticket among those that have a free slot. Pure."""

import random
from collections.abc import Callable, Sequence

from ...ids import EndpointId
from .endpointslots import EndpointSlots, EndpointStatus
from .tickets import Ticket, Work

MAX_PREFIXES = 10_000


class Placement:
    """Chooses endpoints, and remembers where shared prompt prefixes were read last.

    Used by `Dispatcher`. `can_revoke` tells at a time in seconds whether a batch item
    can be revoked in favour of an online request.
    """

    def __init__(self, seed: int, can_revoke: Callable[[float], bool]) -> None:
        self._random = random.Random(seed)
        self._can_revoke: Callable[[float], bool] = can_revoke
        self._endpoint_of_prefix: dict[str, EndpointId] = {}

    def choose(
        self, ticket: Ticket, available: Sequence[EndpointSlots], now_s: float
    ) -> EndpointSlots | None:
        """Choose the least loaded endpoint, or the one that served the prefix last
        if at least half of its slots are free.
        """
        usable = self._usable_endpoints(ticket, available, now_s)
        if not usable:
            return None
        usable = _preferred_by_limit(usable, ticket.work, now_s)
        preferred = self._endpoint_of_prefix.get(ticket.prefix)
        for slots in usable:
            if slots.endpoint == preferred and slots.free * 2 >= slots.count:
                return slots
        highest_share = max(s.free / s.count for s in usable)
        slots = self._random.choice(
            [s for s in usable if s.free / s.count == highest_share]
        )
        self._remember_prefix(ticket.prefix, slots.endpoint)
        return slots

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
