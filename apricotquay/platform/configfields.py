"""Fields of the platform's configuration, and faults of their names and types.

`wire.py` declares the fields that a daemon decodes. Declared here in addition are
those that the platform defines and a daemon may ignore, so that they are not taken
for misspelt ones.
"""

import difflib
import types
import typing
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from ..serving.catalog import Limits
from . import wire
from .configfindings import Code, DocumentPath, Finding, show

TYPE_NAMES = {
    dict: "an object",
    list: "a list",
    str: "a text",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
}


class CheckedRoute(wire._Route, kw_only=True):
    """A route with the fields that only some daemons decode."""

    sticky: Any = None
    allowed_regions: list[str] = []

    def names_service(self) -> bool:
        """Whether any service is named."""
        return self.service is not None or bool(self.weighted_services)

    def service_names(self) -> list[str]:
        """Return the services that the route's requests go to."""
        if self.service is not None:
            return [self.service]
        return [entry.service for entry in self.weighted_services]


class CheckedEngine(wire._Engine, kw_only=True):
    """Figures of a service's endpoints."""

    kv_cache_tokens: int = 0


class CheckedService(wire._Service, kw_only=True):
    """A service with the fields that only some daemons decode."""

    engine: CheckedEngine | None = None
    health_path: Any = None
    max_conns: Any = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    protocol: Any = None
    tls: Any = None


class CheckedTeam(wire._Tenant, kw_only=True):
    """A team with the fields that only some daemons decode."""

    allowed_regions: list[str] = []


class CheckedConfiguration(wire._Configuration, kw_only=True):
    """The whole document."""

    routes: list[CheckedRoute]
    services: list[CheckedService] = []
    tenants: list[CheckedTeam] | None = None


def find_field_faults(
    value: Any, expected: Any, path: DocumentPath = ()
) -> Iterator[Finding]:
    """Yield wrong types, missing fields and unknown ones in a value and below it."""
    expected = _without_none(expected, value)
    if expected is None or expected is Any:
        return
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        yield from _find_object_faults(value, expected, path)
    elif typing.get_origin(expected) is list:
        yield from _find_list_faults(value, expected, path)
    elif typing.get_origin(expected) is dict:
        yield from _find_limit_faults(value, path)
    elif not _converts(value, expected):
        yield _value_fault(value, path, expected)


def convert_valid(value: Any, expected: type, path: DocumentPath) -> Any:
    """Return the value as the type, or None if a daemon could not decode it."""
    faults = find_field_faults(value, expected, path)
    if any(fault.code is not Code.UNKNOWN_FIELD for fault in faults):
        return None
    return msgspec.convert(value, expected)


def _without_none(expected: Any, value: Any) -> Any:
    """Return the type that a value must have, None if null is allowed and given."""
    if typing.get_origin(expected) not in (types.UnionType, typing.Union):
        return expected
    if value is None:
        return None
    return next(t for t in typing.get_args(expected) if t is not types.NoneType)


def _find_object_faults(value: Any, expected: type, path: DocumentPath):
    if not isinstance(value, dict):
        yield _wrong_type(path, dict)
        return
    fields = {field.name: field for field in msgspec.structs.fields(expected)}
    for name in value.keys() - fields.keys():
        yield _unknown_field((*path, name), list(fields))
    for name, field in fields.items():
        if name in value:
            yield from find_field_faults(value[name], field.type, (*path, name))
        elif field.required:
            yield Finding(Code.MISSING_FIELD, path, f"field {name} is missing")


def _find_list_faults(value: Any, expected: Any, path: DocumentPath):
    if not isinstance(value, list):
        yield _wrong_type(path, list)
        return
    (entry_type,) = typing.get_args(expected)
    for index, entry in enumerate(value):
        yield from find_field_faults(entry, entry_type, (*path, index))


def _find_limit_faults(value: Any, path: DocumentPath) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _wrong_type(path, dict)
        return
    for name, limit in value.items():
        if name not in Limits.__struct_fields__:
            yield _unknown_field((*path, name), list(Limits.__struct_fields__))
        elif isinstance(limit, bool) or not isinstance(limit, int | float):
            yield _wrong_type((*path, name), float)
        elif not 0 <= limit <= wire.MAX_CONFIGURED:
            yield _out_of_range((*path, name))


def _value_fault(value: Any, path: DocumentPath, expected: Any) -> Finding:
    """Return what is wrong with a value that does not convert: its type or range."""
    if typing.get_origin(expected) is not Annotated:
        return _wrong_type(path, expected)
    base = typing.get_args(expected)[0]
    # Some integers are too large for a float.
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if _converts(value, base) or (is_number and base is float):
        return _out_of_range(path)
    return _wrong_type(path, base)


def _out_of_range(path: DocumentPath) -> Finding:
    return Finding(Code.OUT_OF_RANGE, path, "is out of range")


def _wrong_type(path: DocumentPath, expected: type) -> Finding:
    return Finding(Code.WRONG_TYPE, path, f"must be {TYPE_NAMES[expected]}")


def _unknown_field(path: DocumentPath, known: list[str]) -> Finding:
    name = str(path[-1])
    similar = difflib.get_close_matches(name, known, 1)
    hint = f"; is {similar[0]} meant?" if similar else ""
    message = f"field {show(name)} is not known and has no effect{hint}"
    return Finding(Code.UNKNOWN_FIELD, path, message)


def _converts(value: Any, expected: Any) -> bool:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError:
        return False
    return True
