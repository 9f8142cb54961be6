"""The command `config check`: reads the files and builds the report.

Called by the command line, which prints the report and exits with its status.
"""

import math
from pathlib import Path

import msgspec

from .configcheck import CheckResult, check_configuration
from .configdiff import find_differences
from .configfindings import Difference
from .configreport import ExitStatus, ReportFormat, build_report, render_report


class ConfigCommandError(Exception):
    """A file cannot be read, or an argument is wrong."""


class CheckOptions(msgspec.Struct, frozen=True):
    """Arguments of the command; `against` may be empty, `memory_mb` 0."""

    file: str
    against: str
    format: ReportFormat
    memory_mb: float

    @classmethod
    def parse(
        cls, file: str, against: str, format: object, memory_mb: object
    ) -> "CheckOptions":
        """Return the options, as fire parsed them; raise ConfigCommandError."""
        return cls(file, against, _parse_format(format), _parse_memory(memory_mb))


class CheckOutput(msgspec.Struct, frozen=True):
    """What the command prints, and its exit status."""

    text: str
    status: ExitStatus


def run_check(options: CheckOptions) -> CheckOutput:
    """Check the file; raise ConfigCommandError if a file cannot be read or compared."""
    result = check_configuration(_read(options.file), options.memory_mb)
    keys = result.keys
    differences = None
    if options.against:
        other = check_configuration(_read(options.against))
        keys |= other.keys
        differences = _compare(options.against, other, result)
    report = build_report(options.file, result, differences, keys)
    return CheckOutput(render_report(report, options.format), report.status)


def _compare(
    against: str, other: CheckResult, result: CheckResult
) -> list[Difference] | None:
    if other.configuration is None:
        raise ConfigCommandError(f"{against}: invalid; check it alone to see why")
    if result.configuration is None:
        return None
    return list(find_differences(other.configuration, result.configuration))


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except (OSError, ValueError) as exc:
        raise ConfigCommandError(f"{path!r}: cannot be read: {exc}") from exc


def _parse_format(value: object) -> ReportFormat:
    try:
        return ReportFormat(value)
    except ValueError as exc:
        known = " or ".join(known.value for known in ReportFormat)
        raise ConfigCommandError(f"--format must be {known}") from exc


def _parse_memory(value: object) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise ConfigCommandError("--memory_mb must be a number of 0 or more")
    return float(value)
