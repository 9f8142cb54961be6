"""Whether an endpoint may take work now, and why not. Pure.

The one place that decides it, for online requests, batch items, resumed streams,
retries, handovers and relayed attempts: slot tables ask it which endpoints suit a
ticket, and daemons ask it again directly before they send, since the endpoint may have
changed after the slot was granted.
"""

import enum
from typing import Protocol

from ...ids import EndpointId
from ..endpoints import Endpoint, EndpointTable


class Ineligible(enum.Enum):
    """Why an endpoint may not take work now; the values are for logs."""

    UNLISTED = "no longer listed"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    COLD = "cold"
    OTHER_REGION = "other region"
    OTHER_VERSION = "other version"
    FAILED_BEFORE = "failed before"


class Needs(Protocol):
    """What work needs of its endpoint; see `Ticket` and `Restriction`."""

    version: str
    avoid: frozenset[str]
    regions: frozenset[str]


def find_mismatch(
    endpoint_id: EndpointId, version: str, region: str, needs: Needs
) -> Ineligible | None:
    """Return why an endpoint does not fit what work needs, None if it does."""
    if endpoint_id in needs.avoid:
        return Ineligible.FAILED_BEFORE
    if needs.version and version != needs.version:
        return Ineligible.OTHER_VERSION
    if needs.regions and region not in needs.regions:
        return Ineligible.OTHER_REGION
    return None


class Eligibility:
    """Decides by what a daemon knows of the listed endpoints. Used before a send."""

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints: EndpointTable = endpoints

    def check(self, endpoint_id: EndpointId, needs: Needs) -> Endpoint | Ineligible:
        """Return an endpoint that may be sent work, or why it may not."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return Ineligible.UNLISTED
        if endpoint.is_leaving:
            return Ineligible.LEAVING
        if self._endpoints.is_evacuated(endpoint.zone):
            return Ineligible.EVACUATED
        region = self._endpoints.region_of(endpoint.zone)
        mismatch = find_mismatch(endpoint_id, endpoint.version, region, needs)
        return endpoint if mismatch is None else mismatch
