"""Decides which endpoints a request for a slot must not get. Pure.

A choice of endpoints to leave out depends on which others there are to use, so that it
holds only until these change: an endpoint leaves or starts again, an ejection ends, a
zone is evacuated or used again, a cold endpoint becomes warm.
"""

from collections.abc import Callable, Set

from ...clocks import Clock
from ...ids import EndpointId
from ..catalog import ServiceName
from ..endpoints import EndpointTable
from .slotrequests import SlotRequest


class Exclusions:
    """The endpoints to leave out, by what a daemon knows now. Used by `SlotAllocator`.

    `is_cold` tells whether an endpoint takes a limited rate since it has just started.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        is_cold: Callable[[EndpointId], bool],
        clock: Clock,
    ) -> None:
        self._endpoints: EndpointTable = endpoints
        self._is_cold: Callable[[EndpointId], bool] = is_cold
        self._clock: Clock = clock

    def find(
        self,
        service: ServiceName,
        request: SlotRequest,
        unusable: Set[EndpointId] = frozenset(),
    ) -> frozenset[EndpointId]:
        """Return the endpoints that answers said to leave and those in evacuated zones,
        which the owner may not know yet, the failed and ejected ones, as far as
        others are left to use, and the cold ones whose grants were `unusable`.
        """
        leaving = self._leaving() | {e for e in unusable if self._is_cold(e)}
        failed = request.avoid
        listed = self._listed(service, request)
        ejected = self._endpoints.ejected(service, self._clock.now_s())
        if listed - failed - ejected:
            return failed | ejected | leaving
        return failed | leaving if listed - failed else frozenset(leaving)

    def are_outdated(
        self,
        service: ServiceName,
        request: SlotRequest,
        unusable: Set[EndpointId],
        excluded: frozenset[EndpointId],
    ) -> bool:
        """Whether an endpoint that was excluded could be used now."""
        if not excluded:
            return False
        released = excluded - self.find(service, request, unusable)
        return not released.isdisjoint(self._listed(service, request))

    def _leaving(self) -> frozenset[EndpointId]:
        endpoints = self._endpoints
        said = {notice.endpoint for notice in endpoints.leaving_notices()}
        evacuated = {e.id for e in endpoints.all() if endpoints.is_evacuated(e.zone)}
        return frozenset(said | evacuated)

    def _listed(
        self, service: ServiceName, request: SlotRequest
    ) -> frozenset[EndpointId]:
        serving = self._endpoints.serving(service, request.version, request.regions)
        return frozenset(entry.id for entry in serving)
