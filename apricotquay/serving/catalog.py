"""Configuration of the event-loop daemon: routes, services, teams and keys. Pure."""

import enum
from typing import NewType

import msgspec

from ..ids import RouteName, TeamId

ServiceName = NewType("ServiceName", str)


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated, and how they are answered.

    The values are those of the platform's configuration.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    BATCH = "batch"


class WeightedService(msgspec.Struct, frozen=True):
    """One of a route's services; its weight sets its share of the requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route of the platform: which requests go to which services, and on what terms.

    `timeout_ms` is how long a request may wait, `objective_ms` the operator's
    target for the time to the first token. `max_token_backlog` limits the tokens
    that a team may have waiting on a batch route, 0 for no limit. A batch job's
    results are due `due_after_ms` after it was first sent and may be abandoned
    after `give_up_after_s`. Its requests reach endpoints in the `regions` only, empty
    for all.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: int = 60_000
    objective_ms: int = 1_000
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_objective_ms: int = 1_000
    due_after_ms: int = 60_000
    give_up_after_s: float = 600.0
    max_token_backlog: int = 0
    regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        return self.kind is RouteKind.SAFE or self.is_resumable

    def has_service(self, service: ServiceName) -> bool:
        """Whether some of the route's requests go to a service."""
        has_weights = any(entry.weight > 0 for entry in self.services)
        return any(
            entry.service == service and (entry.weight > 0 or not has_weights)
            for entry in self.services
        )

    def service_for(self, point: float) -> ServiceName:
        """Return the service at a point between 0 and 1 of the summed weights."""
        left = point * sum(entry.weight for entry in self.services)
        for entry in self.services:
            left -= entry.weight
            if left < 0:
                return entry.service
        return self.services[-1].service


class Service(msgspec.Struct, frozen=True):
    """A service; `slots` is the default of its endpoints, 0 if unset, and
    `memory_tokens` how many tokens the memory of each holds, 0 if unknown.

    An endpoint that is cold takes `cold_per_s` requests a second from all daemons, 0
    for no limit, and is taken to be cold for `cold_start_s` if its entry does not say.
    """

    name: ServiceName
    slots: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: int = 0


class Team(msgspec.Struct, frozen=True):
    """A team with its keys and its rate over the whole fleet, 0 for no limit. Its
    requests reach endpoints in the `regions` only, empty for all.
    """

    id: TeamId
    keys: frozenset[str]
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    regions: frozenset[str] = frozenset()


def allowed_regions(route: Route, team: Team | None) -> frozenset[str] | None:
    """Return the regions that a team's requests on a route may reach, empty for all;
    None if route and team have none in common.
    """
    of_team = team.regions if team else frozenset()
    if not route.regions or not of_team:
        return route.regions or of_team
    return (route.regions & of_team) or None


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration:
    """One version of the platform's configuration, indexed for look-ups.

    A newer version replaces it as a whole.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        teams: list[Team] | None,
        limits: Limits,
    ) -> None:
        self.version: int = version
        self.limits: Limits = limits
        self.services: dict[ServiceName, Service] = {s.name: s for s in services}
        self.teams: dict[TeamId, Team] = {t.id: t for t in teams or []}
        self.needs_keys: bool = teams is not None
        self._team_of_key: dict[str, Team] = {
            key: team for team in teams or [] for key in team.keys
        }
        self._routes_of_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_of_host.setdefault(route.host, []).append(route)
        self.longest_stream_s: float = max(
            (r.timeout_ms / 1000 for r in routes if r.is_resumable), default=0.0
        )
        for host_routes in self._routes_of_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix of the path is longest, if any matches."""
        for route in self._routes_of_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._team_of_key.get(key)
