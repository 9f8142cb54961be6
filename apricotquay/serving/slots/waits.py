"""Estimates how long tickets wait for slots, and when refused callers return. Pure.

Under more load than the endpoints can take, a request that cannot get a slot before
its deadline is refused at once, and the retries of refused callers are spread over
what the endpoints can serve.
"""

from collections.abc import Collection, Iterable

from ...ids import TeamId
from .endpointslots import EndpointSlots
from .tickets import Ticket, Work

# Initial estimate of how long an online request holds its slot. The estimate is
# updated when slots are released.
DEFAULT_SERVICE_TIME_S = 0.7
SERVICE_TIME_SMOOTHING = 0.05
# Classes and teams whose refused callers are remembered, of more those that were last
# refused one most recently, and how many callers of each.
MAX_CALLERS = 512
MAX_RETRY_TIMES = 1000
# A retry delay at most. Shortages change within that time, and callers of a team with
# a very small share would otherwise be sent away for hours.
MAX_RETRY_AFTER_S = 60.0

_Caller = tuple[int, TeamId]


class WaitEstimator:
    """What a slot table knows of the pace at which its slots come free.

    Used by `Dispatcher`.
    """

    def __init__(self) -> None:
        self._service_time_s: float = DEFAULT_SERVICE_TIME_S
        # Of the refused callers of each class and team, the last refused at the end.
        self._retry_times_s: dict[_Caller, list[float]] = {}

    def record_service_time(self, held_s: float) -> None:
        """Record how long an online request held its slot."""
        self._service_time_s += SERVICE_TIME_SMOOTHING * (held_s - self._service_time_s)

    def expected_slot_s(self, ticket: Ticket) -> float:
        """Return how long a ticket is expected to hold its slot."""
        if ticket.work is Work.ONLINE:
            return self._service_time_s
        return max(0.0, ticket.expected_duration_s) or self._service_time_s

    def throughput_per_s(self, slots: Iterable[EndpointSlots], now_s: float) -> float:
        """Return how many online requests a second the endpoints can begin."""
        total = sum(
            s.throughput_per_s(self._service_time_s, now_s) for s in slots if s.is_open
        )
        return total or 1 / self._service_time_s

    def expected_wait_s(
        self, slots: Collection[EndpointSlots], ahead: int, now_s: float
    ) -> float:
        """Estimate the wait of an online ticket that is served after `ahead` others;
        batch items can be preempted.
        """
        free = sum(s.online_capacity(now_s) for s in slots)
        if ahead < free or not slots:
            return 0.0
        return (ahead - free + 1) / self.throughput_per_s(slots, now_s)

    def hopeless(
        self,
        slots: Collection[EndpointSlots],
        in_order: Iterable[Ticket],
        now_s: float,
    ) -> list[Ticket]:
        """Return the waiting online tickets that would be granted a slot too late, of
        those given in the order of service.
        """
        interval_s = 1 / self.throughput_per_s(slots, now_s)
        hopeless = []
        ahead = 0
        for ticket in in_order:
            if ticket.holds_slot:
                continue
            if now_s + ahead * interval_s > ticket.slot_deadline_s:
                hopeless.append(ticket)
            else:
                ahead += 1
        return hopeless

    def retry_after_s(
        self,
        ticket: Ticket,
        wait_s: float,
        share: float,
        slots: Collection[EndpointSlots],
        now_s: float,
    ) -> float:
        """Return a refused caller's retry delay, spread over what can be served of its
        class and team, which get `share` of the slots.
        """
        caller = (ticket.priority, ticket.team)
        remembered_s = self._retry_times_s.pop(caller, [])
        times_s = [at_s for at_s in remembered_s if at_s > now_s]
        spread_s = len(times_s) / (self.throughput_per_s(slots, now_s) * share)
        after_s = min(wait_s + spread_s, MAX_RETRY_AFTER_S)
        if len(times_s) < MAX_RETRY_TIMES:
            times_s.append(now_s + after_s)
        self._retry_times_s[caller] = times_s
        if len(self._retry_times_s) > MAX_CALLERS:
            del self._retry_times_s[next(iter(self._retry_times_s))]
        return after_s
