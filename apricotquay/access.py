"""Access control of the threaded daemon: callers' keys, teams, routes, deadlines."""

import msgspec

from .clocks import Clock
from .configuration import Configuration
from .document import Route, RouteKind
from .environment import EnvironmentConfig
from .errors import ErrorKind, RequestError
from .fleet import Fleet
from .ids import KeyHash, RouteName, TeamId, hash_key
from .settings import Settings
from .web import HttpRequest

DEADLINE_HEADER = "x-deadline-ms"
BEARER_PREFIX = "bearer "


class Caller(msgspec.Struct, frozen=True):
    """An authenticated caller; `key` is kept only while its request is parsed."""

    team: TeamId
    key_hash: KeyHash
    key: str
    configuration: Configuration


class AccessControl:
    """Checks callers against the configuration in force. Used by request handlers."""

    def __init__(
        self,
        settings: Settings,
        environment: EnvironmentConfig,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._settings: Settings = settings
        self._environment: EnvironmentConfig = environment
        self._fleet: Fleet = fleet
        self._clock: Clock = clock

    def authenticate(self, http: HttpRequest) -> Caller:
        """Return the caller or raise KEY_MISSING, KEY_REJECTED or KEY_WITHDRAWN."""
        configuration = self._require_configuration()
        key = _read_key(http)
        if not key:
            raise RequestError(
                ErrorKind.KEY_MISSING,
                "the Authorization header holds no key",
                param="authorization",
            )
        key_hash = hash_key(key)
        team = configuration.keys.find_team(key_hash)
        return Caller(team, key_hash, key, configuration)

    def authorize(
        self, http: HttpRequest, name: RouteName, kind: RouteKind
    ) -> tuple[Caller, Route]:
        """Return the caller and a route that it may use; open routes need no key."""
        configuration = self._require_configuration()
        route = configuration.document.routes.get(name)
        if route is not None and route.open and not _read_key(http):
            team = configuration.document.open_team
            caller = Caller(team, KeyHash(""), "", configuration)
        else:
            caller = self.authenticate(http)
        if route is None or route.kind is not kind:
            raise RequestError(
                ErrorKind.ROUTE_UNKNOWN, f"no route is named {name!r}", param="model"
            )
        allowed = route.teams is None or caller.team in route.teams
        if not allowed and not route.open:
            raise RequestError(
                ErrorKind.TEAM_FORBIDDEN,
                f"the route {name!r} is not open to team {caller.team}",
            )
        return caller, route

    def parse_deadline(self, http: HttpRequest) -> float:
        """Return the deadline in seconds on the daemon's monotonic clock."""
        text = http.header(DEADLINE_HEADER)
        if not text:
            timeout_ms = self._settings.default_deadline_ms
        elif text.isdigit() and int(text) > 0:
            timeout_ms = min(int(text), self._settings.max_deadline_ms)
        else:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                f"{DEADLINE_HEADER} must be a whole number of milliseconds",
                param=DEADLINE_HEADER,
            )
        return self._clock.now_s() + timeout_ms / 1000

    def _require_configuration(self) -> Configuration:
        freshness = self._fleet.freshness()
        if not freshness.is_usable:
            raise RequestError(
                ErrorKind.VIEW_STALE,
                "this daemon is cut off and cannot confirm which keys are valid",
            )
        return self._environment.require_current()


def check_key_absent(caller: Caller, *texts: bytes | str) -> None:
    """Reject a request that would forward the caller's key to an endpoint."""
    if not caller.key:
        return
    for text in texts:
        raw = text.encode() if isinstance(text, str) else text
        if caller.key.encode() in raw:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                "the key may stand in the Authorization header only",
                param="body",
            )


def _read_key(http: HttpRequest) -> str:
    value = http.header("authorization")
    if value.lower().startswith(BEARER_PREFIX):
        return value[len(BEARER_PREFIX) :].strip()
    return ""
