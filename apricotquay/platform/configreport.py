"""Prints the findings about a configuration, and differences, as text or JSON.

Used by the command line. API keys are removed from all texts, since a name in the
document may be one by mistake.
"""

import enum
import re
from collections import Counter
from collections.abc import Callable, Iterator

import msgspec

from .configcheck import CheckResult
from .configfindings import Difference, Finding, Severity, show, show_path

# Shorter keys would remove parts of ordinary words from the texts.
MIN_REMOVED_KEY_LENGTH = 4
KEY_MARK = "(key)"


class ReportFormat(enum.Enum):
    """How a report is printed."""

    TEXT = "text"
    JSON = "json"


class ExitStatus(enum.IntEnum):
    """Exit status of the command."""

    NOTHING_FOUND = 0
    FINDINGS = 1
    INVALID = 2


class ReportedFinding(msgspec.Struct, frozen=True):
    """A finding as it is printed."""

    severity: str
    code: str
    path: str
    line: int
    message: str


class Report(msgspec.Struct, frozen=True):
    """What the command prints; `differences` is None if nothing was compared."""

    file: str
    status: ExitStatus
    findings: list[ReportedFinding]
    differences: list[str] | None = None


def build_report(
    file: str,
    result: CheckResult,
    differences: list[Difference] | None,
    keys: frozenset[str],
) -> Report:
    """Return the report on a check, without any of the keys."""
    remove_keys = _key_remover(keys)
    findings = [_convert_finding(finding, remove_keys) for finding in result.findings]
    sentences = None
    if differences is not None:
        sentences = [remove_keys(difference.message) for difference in differences]
    return Report(file, _find_status(result), findings, sentences)


def render_report(report: Report, to: ReportFormat) -> str:
    """Return the report in a format."""
    if to is ReportFormat.JSON:
        return msgspec.json.format(msgspec.json.encode(report), indent=2).decode()
    return "\n".join(_render_lines(report))


def _find_status(result: CheckResult) -> ExitStatus:
    if not result.is_valid:
        return ExitStatus.INVALID
    return ExitStatus.FINDINGS if result.findings else ExitStatus.NOTHING_FOUND


def _convert_finding(
    finding: Finding, remove_keys: Callable[[str], str]
) -> ReportedFinding:
    return ReportedFinding(
        finding.severity.value,
        finding.code.value,
        remove_keys(show_path(finding.path)),
        finding.line,
        remove_keys(finding.message),
    )


def _key_remover(keys: frozenset[str]) -> Callable[[str], str]:
    """Return a function that replaces the keys in a text."""
    forms = {form for key in keys for form in _printed_forms(key)}
    if not forms:
        return str
    # Longest first: a key may be part of another one.
    ordered = sorted(forms, key=len, reverse=True)
    pattern = re.compile("|".join(map(re.escape, ordered)))
    return lambda text: pattern.sub(KEY_MARK, text)


def _printed_forms(key: str) -> Iterator[str]:
    """Yield a key as it is, and as a name that is escaped and shortened."""
    if len(key) >= MIN_REMOVED_KEY_LENGTH:
        yield key
        yield show(key)[1:-1].removesuffix("…")


def _render_lines(report: Report) -> Iterator[str]:
    for finding in report.findings:
        yield (
            f"{report.file}:{finding.line}: {finding.severity}: {finding.code}: "
            f"{finding.path}: {finding.message}"
        )
    counts = Counter(finding.severity for finding in report.findings)
    if report.findings:
        errors, warnings = counts[Severity.ERROR.value], counts[Severity.WARNING.value]
        yield f"{report.file}: errors: {errors}, warnings: {warnings}"
    else:
        yield f"{report.file}: nothing found"
    if report.differences is not None:
        yield from _render_differences(report.differences)


def _render_differences(differences: list[str]) -> Iterator[str]:
    if not differences:
        yield "no differences"
    for difference in differences:
        yield f"difference: {difference}"
