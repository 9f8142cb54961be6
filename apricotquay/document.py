"""The document of an environment of the threaded daemon.

It declares teams, keys, rates, routes, models and objectives.
"""

import enum
import re
from collections.abc import Iterator

import msgspec

from .errors import ErrorKind, Ran, RequestError
from .ids import KeyHash, ModelName, RouteName, TeamId
from .settings import convert_checked, parse_commented_json

KEY_HASH_LENGTH = 64
_ROUTE_NAME = re.compile(r"[\w.-]+")
MIN_TEAM_RATE_PER_S = 0.001


class RouteKind(enum.Enum):
    """What a route leads to: a model or a plain service."""

    MODEL = "model"
    SERVICE = "service"


class KeyEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One caller key, stored as its SHA-256; a withdrawn key stays listed."""

    hash: KeyHash
    withdrawn: bool = False


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team's limits over the whole fleet and its keys.

    `rate_per_s` and `burst` count requests; `weight` is the team's share of
    tokens when the fleet is saturated.
    """

    rate_per_s: float
    burst: int
    weight: float = 1.0
    keys: list[KeyEntry] = []


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where requests for a model or a plain service go.

    `teams` lists the teams that may use the route; None admits every team.
    An `open` route needs no key.
    """

    kind: RouteKind
    target: str
    open: bool = False
    teams: list[TeamId] | None = None
    idempotent: bool = True
    affinity_prefix_chars: int = 256


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and how its endpoints handle model orders.

    `checks_fencing` tells whether the engines reject an outdated fencing number.
    """

    checks_fencing: bool = False
    replicas: int | None = None


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service-level objective: the share of requests that must be good.

    A request is good when it succeeds and its first token comes within
    `first_token_ms`.
    """

    good_share: float = 0.99
    first_token_ms: float = 650.0


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that operators declare for one environment."""

    teams: dict[TeamId, Team]
    routes: dict[RouteName, Route]
    models: dict[ModelName, Model] = {}
    objectives: dict[RouteName, Objective] = {}
    open_team: TeamId | None = None


def parse_document(text: str, source: str = "document") -> Document:
    """Parse and validate a document; the error names the path and the problem."""
    kind = ErrorKind.DOCUMENT_INVALID
    raw = parse_commented_json(text, source, kind)
    document = convert_checked(raw, Document, source, kind)
    for path, problem in find_problems(document):
        raise RequestError(kind, f"{source}: {problem} - at `$.{path}`", param=path)
    return document


def find_problems(document: Document) -> Iterator[tuple[str, str]]:
    """Yield the path and description of each problem that types do not rule out."""
    yield from _find_team_problems(document)
    yield from _find_route_problems(document)
    for name, objective in document.objectives.items():
        path = f"objectives.{name}"
        if name not in document.routes:
            yield path, "names no declared route"
        if not 0.0 < objective.good_share < 1.0:
            yield f"{path}.good_share", "must be between 0 and 1"
    if document.open_team is not None and document.open_team not in document.teams:
        yield "open_team", "names no declared team"


def _find_team_problems(document: Document) -> Iterator[tuple[str, str]]:
    owners: dict[KeyHash, TeamId] = {}
    for team_id, team in document.teams.items():
        path = f"teams.{team_id}"
        if team.rate_per_s < MIN_TEAM_RATE_PER_S:
            yield f"{path}.rate_per_s", f"must be at least {MIN_TEAM_RATE_PER_S}"
        if team.burst < 1:
            yield f"{path}.burst", "must be at least 1"
        if team.weight <= 0:
            yield f"{path}.weight", "must be above 0"
        for i, key in enumerate(team.keys):
            if not _is_key_hash(key.hash):
                yield f"{path}.keys[{i}].hash", "must be 64 lower-case hex digits"
            if owners.setdefault(key.hash, team_id) != team_id:
                owner = owners[key.hash]
                yield f"{path}.keys[{i}].hash", f"already belongs to team {owner}"


def _find_route_problems(document: Document) -> Iterator[tuple[str, str]]:
    for name, route in document.routes.items():
        path = f"routes.{name}"
        if _ROUTE_NAME.fullmatch(name) is None:
            yield path, "a route's name holds letters, digits, dots, dashes only"
        if route.kind is RouteKind.MODEL and route.target not in document.models:
            yield f"{path}.target", f"names no declared model: {route.target}"
        for team_id in route.teams or ():
            if team_id not in document.teams:
                yield f"{path}.teams", f"names no declared team: {team_id}"
        if route.open and document.open_team is None:
            yield f"{path}.open", "an open route needs open_team, which bounds its rate"


def _is_key_hash(text: str) -> bool:
    return len(text) == KEY_HASH_LENGTH and set(text) <= set("0123456789abcdef")


class KeyIndex:
    """Maps keys to teams. Built once for each configuration in force."""

    def __init__(self, document: Document) -> None:
        self._owners: dict[KeyHash, tuple[TeamId, bool]] = {
            key.hash: (team_id, key.withdrawn)
            for team_id, team in document.teams.items()
            for key in team.keys
        }

    def find_team(self, key_hash: KeyHash) -> TeamId:
        """Return the key's team or raise KEY_REJECTED or KEY_WITHDRAWN."""
        entry = self._owners.get(key_hash)
        if entry is None:
            raise RequestError(ErrorKind.KEY_REJECTED, "the key is not known")
        team_id, withdrawn = entry
        if withdrawn:
            # Keys are checked before a request starts, so none of it ran.
            raise RequestError(
                ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", ran=Ran.NOT_RUN
            )
        return team_id


def encode_document(document: Document) -> str:
    """Return the canonical JSON text of a document."""
    return msgspec.json.encode(document, order="sorted").decode()
