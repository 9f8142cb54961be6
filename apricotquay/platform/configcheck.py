"""Checks a configuration of the platform before it is sent to a fleet. Pure.

Runs the checks of the JSON text, of fields and types and of the entries, and looks
up the lines of their findings. Called by the command line.
"""

import re
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from ..serving.fleet.keyedlog import KeyedRecord
from ..serving.fleet.view import RecordUnreadableError
from .configfields import (
    CheckedConfiguration,
    CheckedRoute,
    CheckedService,
    CheckedTeam,
    convert_valid,
    find_field_faults,
)
from .configfindings import Code, DocumentPath, Finding, show_number
from .configrules import CHECKS, Document, Entry
from .jsonpositions import Position, find_positions
from .wire import CONFIGURATION_KEY, PlatformDirectory

# Fields of which a daemon makes no sense below 0, whichever object has them.
NON_NEGATIVE_FIELDS = frozenset(
    """
    burst cap cold_per_s cold_start_s gap_aim_ms header_timeout_ms idle_timeout_ms
    kv_cache_tokens max_attempts max_body_bytes max_header_bytes priority rate_per_s
    result_deadline_ms retention_s slots target_latency_ms timeout_ms
    """.split()
)
# Deepest path of a known field: routes, index, weighted_services, index, weight.
MAX_FIELD_DEPTH = 5
NESTED_TOO_DEEPLY = "objects or lists are nested too deeply"

T = TypeVar("T")


class CheckResult(msgspec.Struct, frozen=True):
    """The findings in the order of their lines.

    `configuration` is None if a daemon would reject the document and keep its
    previous one, or if a field is of a wrong type.
    """

    findings: list[Finding]
    configuration: CheckedConfiguration | None = None
    # Keys of the document, which must not be printed.
    keys: frozenset[str] = frozenset()

    @property
    def is_valid(self) -> bool:
        """Whether the document could be decoded."""
        return self.configuration is not None


def check_configuration(data: bytes, memory_mb: float = 0.0) -> CheckResult:
    """Return what is wrong with a configuration; 0 MB means an unknown size."""
    try:
        raw = msgspec.json.decode(data)
    except RecursionError:
        return CheckResult([Finding(Code.NOT_JSON, (), NESTED_TOO_DEEPLY, line=1)])
    except msgspec.DecodeError as exc:
        line = _find_error_line(data, str(exc))
        return CheckResult([Finding(Code.NOT_JSON, (), str(exc), line)])
    positions = list(find_positions(data.decode()))
    findings = [*_find_duplicate_fields(positions), *_find_faults(raw, memory_mb)]
    rejection = _find_rejection(data)
    if rejection and not findings:
        findings.append(Finding(Code.REJECTED, (), rejection))
    keys = frozenset(_find_keys(raw))
    configuration = None if rejection else _convert(raw)
    return CheckResult(_locate(findings, positions), configuration, keys)


def _convert(raw: Any) -> CheckedConfiguration | None:
    try:
        return msgspec.convert(raw, CheckedConfiguration)
    except msgspec.ValidationError:
        return None


def _find_error_line(data: bytes, message: str) -> int:
    """Return the line of the byte that the decoder names, else the last line."""
    found = re.search(r"\(byte (\d+)\)", message)
    end = int(found.group(1)) if found else len(data.rstrip())
    return data.count(b"\n", 0, end) + 1


def _find_rejection(data: bytes) -> str:
    """Return why a daemon would not take the document, or an empty text."""
    record = KeyedRecord(CONFIGURATION_KEY, data)
    try:
        PlatformDirectory().decode_configuration(record)
    except (RecordUnreadableError, RecursionError, ValueError, OverflowError) as exc:
        return str(exc) or repr(exc)
    return ""


def _find_keys(raw: Any) -> Iterator[str]:
    teams = raw.get("tenants") if isinstance(raw, dict) else None
    for team in teams if isinstance(teams, list) else ():
        if isinstance(team, dict):
            yield from _find_texts(team.get("api_keys"))


def _find_texts(value: Any) -> Iterator[str]:
    """Yield the texts in a value, also in one of a wrong type."""
    waiting = [value]
    while waiting:
        current = waiting.pop()
        if isinstance(current, str):
            yield current
        elif isinstance(current, list):
            waiting.extend(current)
        elif isinstance(current, dict):
            waiting.extend((*current.keys(), *current.values()))


def _locate(findings: list[Finding], positions: list[Position]) -> list[Finding]:
    lines = {position.path: position.line for position in positions}
    located = [
        finding
        if finding.line
        else msgspec.structs.replace(finding, line=_find_line(finding.path, lines))
        for finding in findings
    ]
    return sorted(located, key=lambda f: (f.line, f.code.value, f.message))


def _find_line(path: DocumentPath, lines: dict[DocumentPath, int]) -> int:
    """Return the line of the value or of the next one around it."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _find_duplicate_fields(positions: list[Position]) -> Iterator[Finding]:
    for position in positions:
        if position.earlier_line:
            yield Finding(
                Code.DUPLICATE_FIELD,
                position.path,
                f"the field stands in line {position.earlier_line} already, "
                "which has no effect",
                position.line,
            )


def _find_faults(raw: Any, memory_mb: float) -> Iterator[Finding]:
    yield from find_field_faults(raw, CheckedConfiguration)
    yield from _find_negative_values(raw, ())
    if isinstance(raw, dict):
        document = _build_document(raw, memory_mb)
        for check in CHECKS:
            yield from check(document)


def _build_document(raw: dict[str, Any], memory_mb: float) -> Document:
    limits = raw.get("limits")
    return Document(
        _convert_entries(raw, "routes", CheckedRoute),
        _convert_entries(raw, "services", CheckedService),
        _convert_entries(raw, "tenants", CheckedTeam),
        limits if isinstance(limits, dict) else {},
        memory_mb,
    )


def _convert_entries(raw: dict[str, Any], name: str, to: type[T]) -> list[Entry[T]]:
    values = raw.get(name)
    entries = []
    for index, value in enumerate(values if isinstance(values, list) else ()):
        path = (name, index)
        converted = convert_valid(value, to, path)
        if converted is not None:
            entries.append(Entry(path, converted, value))
    return entries


def _find_negative_values(raw: Any, path: DocumentPath) -> Iterator[Finding]:
    if len(path) == MAX_FIELD_DEPTH:
        return
    if isinstance(raw, dict):
        steps = list(raw.items())
    elif isinstance(raw, list):
        steps = list(enumerate(raw))
    else:
        return
    for step, value in steps:
        if step in NON_NEGATIVE_FIELDS and _is_negative(value):
            message = f"must be 0 or more, not {show_number(value)}"
            yield Finding(Code.NEGATIVE_VALUE, (*path, step), message)
        yield from _find_negative_values(value, (*path, step))


def _is_negative(value: Any) -> bool:
    return isinstance(value, int | float) and value < 0
