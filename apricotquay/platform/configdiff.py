"""Says in words how two versions of the platform's configuration differ. Pure.

Keys of teams are secrets: only their numbers appear in a difference.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from .configfields import (
    CheckedConfiguration,
    CheckedRoute,
    CheckedService,
    CheckedTeam,
)
from .configfindings import Difference, show, show_number

# Compared by sentences of their own.
SERVICE_FIELDS = ("service", "weighted_services")
KEY_FIELDS = ("api_keys",)
MAX_SHOWN_VALUE_LENGTH = 120

Compare = Callable[[str, Any, Any], Iterator[str]]


def find_differences(
    old: CheckedConfiguration, new: CheckedConfiguration
) -> Iterator[Difference]:
    """Yield what the new version changes."""
    for message in _compare_all(old, new):
        yield Difference(message)


def _compare_all(old: CheckedConfiguration, new: CheckedConfiguration) -> Iterator[str]:
    if old.version != new.version:
        yield _describe_change("version", old.version, new.version)
    yield from _compare_named("route", old.routes, new.routes, _compare_routes)
    yield from _compare_named("service", old.services, new.services, _compare_services)
    yield from _compare_key_checks(old, new)
    yield from _compare_named(
        "team", old.tenants or [], new.tenants or [], _compare_teams
    )
    yield from _compare_limits(old.limits, new.limits)


def _compare_named(
    label: str, old: list[Any], new: list[Any], compare: Compare
) -> Iterator[str]:
    """Yield the entries added, removed and changed; an entry is known by its name."""
    old_of_name = {entry.name: entry for entry in old}
    new_of_name = {entry.name: entry for entry in new}
    for name, entry in old_of_name.items():
        if name not in new_of_name:
            yield f"{label} {show(name)} removed{_describe_entry(entry)}"
    for name, entry in new_of_name.items():
        subject = f"{label} {show(name)}"
        if name not in old_of_name:
            yield f"{subject} added{_describe_entry(entry)}"
        else:
            yield from compare(subject, old_of_name[name], entry)


def _describe_entry(entry: Any) -> str:
    if isinstance(entry, CheckedRoute):
        return f" (to {_describe_services(entry)})"
    if isinstance(entry, CheckedTeam):
        return f" (with {_count_keys(len(entry.api_keys))})"
    return ""


def _compare_routes(
    subject: str, old: CheckedRoute, new: CheckedRoute
) -> Iterator[str]:
    old_services, new_services = _describe_services(old), _describe_services(new)
    if old_services != new_services:
        yield f"{subject} moved from {old_services} to {new_services}"
    yield from _compare_fields(subject, old, new, SERVICE_FIELDS)


def _describe_services(route: CheckedRoute) -> str:
    if route.service is not None:
        return f"service {show(route.service)}"
    shares = (
        f"{show(entry.service)} (weight {show_number(entry.weight)})"
        for entry in route.weighted_services
    )
    return f"services {', '.join(shares)}"


def _compare_services(
    subject: str, old: CheckedService, new: CheckedService
) -> Iterator[str]:
    yield from _compare_fields(subject, old, new, ())


def _compare_key_checks(
    old: CheckedConfiguration, new: CheckedConfiguration
) -> Iterator[str]:
    if old.tenants is None and new.tenants is not None:
        yield "keys are needed from now on: the document has the field tenants"
    if old.tenants is not None and new.tenants is None:
        yield "no keys are needed any more: the document has no field tenants"


def _compare_teams(subject: str, old: CheckedTeam, new: CheckedTeam) -> Iterator[str]:
    old_keys, new_keys = set(old.api_keys), set(new.api_keys)
    if added := len(new_keys - old_keys):
        yield f"{subject}: {_count_keys(added)} added"
    if removed := len(old_keys - new_keys):
        yield f"{subject}: {_count_keys(removed)} removed"
    yield from _compare_fields(subject, old, new, KEY_FIELDS)


def _count_keys(count: int) -> str:
    return "1 key" if count == 1 else f"{count} keys"


def _compare_limits(old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            change = _describe_change(show(name), old.get(name), new.get(name))
            yield f"limit {change}"


def _compare_fields(
    subject: str, old: msgspec.Struct, new: msgspec.Struct, skipped: tuple[str, ...]
) -> Iterator[str]:
    for name in old.__struct_fields__:
        old_value, new_value = getattr(old, name), getattr(new, name)
        if name in skipped or old_value == new_value:
            continue
        if isinstance(old_value, msgspec.Struct) and type(old_value) is type(new_value):
            yield from _compare_fields(f"{subject}: {name}", old_value, new_value, ())
        else:
            yield f"{subject}: {_describe_change(name, old_value, new_value)}"


def _describe_change(name: str, old: Any, new: Any) -> str:
    return f"{name} changed from {_show_value(old)} to {_show_value(new)}"


def _show_value(value: Any) -> str:
    if value is None:
        return "unset"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return show_number(value)
    if isinstance(value, str):
        return show(value)
    if isinstance(value, list):
        shown = ", ".join(_show_value(entry) for entry in value) or "none"
    elif isinstance(value, msgspec.Struct):
        fields = value.__struct_fields__
        shown = ", ".join(f"{n} {_show_value(getattr(value, n))}" for n in fields)
    else:
        shown = "an object"
    return shown[:MAX_SHOWN_VALUE_LENGTH]
