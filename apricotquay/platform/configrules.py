"""Checks of the entries of a platform's configuration, beyond names and types. Pure.

Each check is a generator of findings with one job. It sees only the entries that a
daemon could decode; `configfields` reports the others.
"""

from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import msgspec

from ..serving.catalog import Limits, RouteKind
from .configfields import CheckedRoute, CheckedService, CheckedTeam
from .configfindings import Code, DocumentPath, Finding, show, show_number

BYTES_PER_MB = 1_000_000
MS_PER_S = 1_000
MAX_NAMED_TEAMS = 5

T = TypeVar("T")


class Entry(msgspec.Struct, Generic[T], frozen=True):
    """A decoded entry of a list of the document; `raw` shows which fields it has."""

    path: DocumentPath
    value: T
    raw: dict[str, Any]


class Document(msgspec.Struct, frozen=True):
    """The entries that a daemon could decode, and the size of the VM if given."""

    routes: list[Entry[CheckedRoute]]
    services: list[Entry[CheckedService]]
    teams: list[Entry[CheckedTeam]]
    limits: dict[str, Any]
    memory_mb: float = 0.0


def _find_duplicate_routes(document: Document) -> Iterator[Finding]:
    for entry, first in _find_repeated(document.routes, lambda r: r.name):
        message = f"{_show_place(first)} has the name {show(entry.value.name)} already"
        yield Finding(Code.DUPLICATE_ROUTE, (*entry.path, "name"), message)


def _find_shadowed_routes(document: Document) -> Iterator[Finding]:
    for entry, first in _find_repeated(
        document.routes, lambda r: (r.host, r.path_prefix)
    ):
        message = (
            f"route {show(entry.value.name)} gets no request: route "
            f"{show(first.value.name)} before it has the same host and prefix"
        )
        yield Finding(Code.SHADOWED_ROUTE, (*entry.path, "path_prefix"), message)


def _find_prefixes_without_slashes(document: Document) -> Iterator[Finding]:
    for entry in document.routes:
        path = (*entry.path, "path_prefix")
        if not entry.value.path_prefix:
            message = "is empty, so every path matches"
            yield Finding(Code.PREFIX_WITHOUT_SLASHES, path, message)
        elif not entry.value.path_prefix.startswith("/"):
            message = "does not begin with a slash, so no path matches"
            yield Finding(Code.PREFIX_WITHOUT_SLASHES, path, message)
        elif not entry.value.path_prefix.endswith("/"):
            message = "does not end with a slash, so longer names match too"
            yield Finding(Code.PREFIX_WITHOUT_SLASHES, path, message)


def _find_unknown_kinds(document: Document) -> Iterator[Finding]:
    kinds = [kind.value for kind in RouteKind]
    for entry in document.routes:
        if entry.value.kind not in kinds:
            message = f"is none of {', '.join(kinds)}, so it counts as unsafe"
            yield Finding(Code.UNKNOWN_KIND, (*entry.path, "kind"), message)


def _find_routes_without_service(document: Document) -> Iterator[Finding]:
    for entry in document.routes:
        if not entry.value.names_service():
            message = f"route {show(entry.value.name)} names no service"
            yield Finding(Code.ROUTE_WITHOUT_SERVICE, entry.path, message)


def _find_undeclared_services(document: Document) -> Iterator[Finding]:
    declared = {entry.value.name for entry in document.services}
    for entry in document.routes:
        for path, name in _service_places(entry):
            if name not in declared:
                message = f"service {show(name)} is not declared"
                yield Finding(Code.UNDECLARED_SERVICE, path, message)


def _service_places(entry: Entry[CheckedRoute]) -> Iterator[tuple[DocumentPath, str]]:
    route = entry.value
    if route.service is not None:
        yield (*entry.path, "service"), route.service
        return
    for index, weighted in enumerate(route.weighted_services):
        path = (*entry.path, "weighted_services", index, "service")
        yield path, weighted.service


def _find_weight_faults(document: Document) -> Iterator[Finding]:
    for entry in document.routes:
        path = (*entry.path, "weighted_services")
        weights = [weighted.weight for weighted in entry.value.weighted_services]
        if weights and entry.value.service is not None:
            message = "has no effect, since the route has the field service too"
            yield Finding(Code.UNUSED_WEIGHTS, path, message)
        for index, weight in enumerate(weights):
            if weight < 0:
                place = (*path, index, "weight")
                message = f"must be 0 or more, not {show_number(weight)}"
                yield Finding(Code.NEGATIVE_WEIGHT, place, message)
        if weights and sum(weights) == 0:
            yield Finding(Code.ZERO_WEIGHTS, path, "the weights sum to 0")


def _find_timeout_faults(document: Document) -> Iterator[Finding]:
    for entry in document.routes:
        route = entry.value
        first_due = f"target_latency_ms is {show_number(route.target_latency_ms)}"
        if route.timeout_ms < route.target_latency_ms:
            message = f"timeout_ms is {show_number(route.timeout_ms)} and {first_due}"
            path = _field_path(entry, "timeout_ms", "target_latency_ms")
            yield Finding(Code.TIMEOUT_BELOW_TARGET, path, message)
        elif _has_too_many_attempts(route):
            message = (
                f"{show_number(route.max_attempts)} attempts do not fit into "
                f"{show_number(route.timeout_ms)} ms (timeout_ms) when each takes as "
                f"long as the first event may: {first_due}"
            )
            path = _field_path(entry, "max_attempts")
            yield Finding(Code.ATTEMPTS_EXCEED_TIMEOUT, path, message)


def _has_too_many_attempts(route: CheckedRoute) -> bool:
    if route.kind == RouteKind.BATCH.value or route.target_latency_ms <= 0:
        return False
    return route.max_attempts > route.timeout_ms / route.target_latency_ms


def _find_batch_faults(document: Document) -> Iterator[Finding]:
    for entry in document.routes:
        route = entry.value
        if route.kind != RouteKind.BATCH.value:
            continue
        if "result_deadline_ms" not in entry.raw:
            message = (
                f"batch route {show(route.name)} has no result_deadline_ms, so "
                f"{show_number(route.result_deadline_ms)} ms apply"
            )
            yield Finding(Code.BATCH_WITHOUT_DEADLINE, entry.path, message)
        if route.retention_s * MS_PER_S < route.result_deadline_ms:
            due_s = route.result_deadline_ms / MS_PER_S
            message = (
                f"jobs may be given up after {show_number(route.retention_s)} s and "
                f"their results are due after {show_number(due_s)} s"
            )
            path = _field_path(entry, "retention_s", "result_deadline_ms")
            yield Finding(Code.RETENTION_BELOW_DEADLINE, path, message)


def _find_service_faults(document: Document) -> Iterator[Finding]:
    for entry, first in _find_repeated(document.services, lambda s: s.name):
        message = f"{_show_place(first)} has the name {show(entry.value.name)} already"
        yield Finding(Code.DUPLICATE_SERVICE, (*entry.path, "name"), message)
    used = {name for r in document.routes for name in r.value.service_names()}
    for entry in document.services:
        if entry.value.name not in used:
            message = f"no route leads to service {show(entry.value.name)}"
            yield Finding(Code.SERVICE_WITHOUT_ROUTES, entry.path, message)


def _find_cold_faults(document: Document) -> Iterator[Finding]:
    for entry in document.services:
        if entry.value.cold_per_s > 0 and entry.value.cold_start_s == 0:
            message = "has no effect without cold_start_s above 0"
            path = (*entry.path, "cold_per_s")
            yield Finding(Code.COLD_RATE_WITHOUT_TIME, path, message)


def _find_team_faults(document: Document) -> Iterator[Finding]:
    for entry, first in _find_repeated(document.teams, lambda t: t.name):
        message = f"{_show_place(first)} has the name {show(entry.value.name)} already"
        yield Finding(Code.DUPLICATE_TEAM, (*entry.path, "name"), message)
    if any(entry.value.public for entry in document.routes):
        return
    for entry in document.teams:
        if not entry.value.api_keys:
            message = f"team {show(entry.value.name)} has no key and no route is public"
            yield Finding(Code.TEAM_WITHOUT_KEYS, entry.path, message)


def _find_duplicate_keys(document: Document) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for entry in document.teams:
        for index, key in enumerate(entry.value.api_keys):
            owner = owners.setdefault(key, entry.value.name)
            if _is_repeated(key, owner, entry.value, index):
                path = (*entry.path, "api_keys", index)
                message = f"the key belongs to team {show(owner)} already"
                yield Finding(Code.DUPLICATE_KEY, path, message)


def _is_repeated(key: str, owner: str, team: CheckedTeam, index: int) -> bool:
    return owner != team.name or key in team.api_keys[:index]


def _find_rate_faults(document: Document) -> Iterator[Finding]:
    for entry in document.teams:
        team = entry.value
        path = _field_path(entry, "burst", "rate_per_s")
        if team.rate_per_s == 0 and team.burst > 0:
            message = "has no effect: a rate_per_s of 0 sets no limit"
            yield Finding(Code.BURST_WITHOUT_RATE, path, message)
        if team.rate_per_s > 0 and 0 <= team.burst < 1:
            message = f"{show_number(team.burst)} is below one request, so 1 applies"
            yield Finding(Code.BURST_BELOW_REQUEST, path, message)


def _find_disjoint_regions(document: Document) -> Iterator[Finding]:
    for entry in document.routes:
        route = entry.value
        if route.public or not route.allowed_regions:
            continue
        excluded = [
            team.value.name
            for team in document.teams
            if _excludes(team.value, route.allowed_regions)
        ]
        if excluded:
            message = f"no region is common with {_name_teams(excluded)}"
            path = (*entry.path, "allowed_regions")
            yield Finding(Code.REGIONS_WITHOUT_COMMON, path, message)


def _excludes(team: CheckedTeam, regions: list[str]) -> bool:
    return bool(team.allowed_regions) and not set(team.allowed_regions) & set(regions)


def _name_teams(names: list[str]) -> str:
    shown = ", ".join(show(name) for name in names[:MAX_NAMED_TEAMS])
    more = len(names) - MAX_NAMED_TEAMS
    label = "team" if len(names) == 1 else "teams"
    return f"{label} {shown} and {more} more" if more > 0 else f"{label} {shown}"


def _find_large_bodies(document: Document) -> Iterator[Finding]:
    limit = document.limits.get("max_body_bytes", Limits().max_body_bytes)
    if not document.memory_mb or not isinstance(limit, int | float):
        return
    if limit > document.memory_mb * BYTES_PER_MB:
        memory = f"{show_number(document.memory_mb)} MB"
        message = f"a body of {show_number(limit)} bytes exceeds {memory}"
        yield Finding(Code.BODY_EXCEEDS_MEMORY, ("limits", "max_body_bytes"), message)


def _find_repeated(
    entries: list[Entry[T]], identify: Callable[[T], Any]
) -> Iterator[tuple[Entry[T], Entry[T]]]:
    """Yield each entry whose identity an earlier one has, and the earlier one."""
    firsts: dict[Any, Entry[T]] = {}
    for entry in entries:
        first = firsts.setdefault(identify(entry.value), entry)
        if first is not entry:
            yield entry, first


def _field_path(entry: Entry[Any], *names: str) -> DocumentPath:
    """Return the path of the first of the fields that the entry has."""
    present = [name for name in names if name in entry.raw]
    return (*entry.path, *present[:1])


def _show_place(entry: Entry[Any]) -> str:
    name, index = entry.path
    return f"{name}[{index}]"


CHECKS: tuple[Callable[[Document], Iterator[Finding]], ...] = (
    _find_duplicate_routes,
    _find_shadowed_routes,
    _find_prefixes_without_slashes,
    _find_unknown_kinds,
    _find_routes_without_service,
    _find_undeclared_services,
    _find_weight_faults,
    _find_timeout_faults,
    _find_batch_faults,
    _find_service_faults,
    _find_cold_faults,
    _find_team_faults,
    _find_duplicate_keys,
    _find_rate_faults,
    _find_disjoint_regions,
    _find_large_bodies,
)
