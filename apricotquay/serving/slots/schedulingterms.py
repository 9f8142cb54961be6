"""On what terms a request competes for slots, from the configuration. Pure."""

import msgspec

from ...ids import TeamId
from ..catalog import Route, Team
from .teamaccounts import DEFAULT_WEIGHT


class SchedulingTerms(msgspec.Struct, frozen=True):
    """The team of a request, its priority class and the team's weight.

    Used by the handlers of online requests and batch items to fill `SlotRequest`.
    """

    team: TeamId = TeamId("")
    priority: int = 0
    weight: float = DEFAULT_WEIGHT


def scheduling_terms(route: Route | None, team: Team | None) -> SchedulingTerms:
    """Return the terms of a request of a team, None if it has none, on a route. A
    team's priority takes precedence over its route's.
    """
    priority = route.priority if route else 0
    if team is None:
        return SchedulingTerms(priority=priority)
    if team.priority is not None:
        priority = team.priority
    weight = team.rate_per_s if team.rate_per_s > 0 else DEFAULT_WEIGHT
    return SchedulingTerms(team.id, priority, weight)
