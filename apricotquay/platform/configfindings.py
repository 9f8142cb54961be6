"""Findings about the platform's configuration, and the names of their kinds.

Created by the checks, sorted and printed by the command line.
"""

import enum

import msgspec

# Place of a value in a document: names of fields and indices into lists.
DocumentPath = tuple[str | int, ...]
MAX_SHOWN_LENGTH = 60


class Severity(enum.Enum):
    """Whether the document contradicts itself or only contains something unused."""

    ERROR = "error"
    WARNING = "warning"


class Code(enum.Enum):
    """Every kind of finding; the values are stable across releases."""

    NOT_JSON = "not_json"
    DUPLICATE_FIELD = "duplicate_field"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    MISSING_FIELD = "missing_field"
    UNKNOWN_FIELD = "unknown_field"
    REJECTED = "rejected"
    NEGATIVE_VALUE = "negative_value"
    DUPLICATE_ROUTE = "duplicate_route"
    SHADOWED_ROUTE = "shadowed_route"
    PREFIX_WITHOUT_SLASHES = "prefix_without_slashes"
    UNKNOWN_KIND = "unknown_kind"
    ROUTE_WITHOUT_SERVICE = "route_without_service"
    UNDECLARED_SERVICE = "undeclared_service"
    UNUSED_WEIGHTS = "unused_weights"
    NEGATIVE_WEIGHT = "negative_weight"
    ZERO_WEIGHTS = "zero_weights"
    TIMEOUT_BELOW_TARGET = "timeout_below_target"
    ATTEMPTS_EXCEED_TIMEOUT = "attempts_exceed_timeout"
    BATCH_WITHOUT_DEADLINE = "batch_without_deadline"
    RETENTION_BELOW_DEADLINE = "retention_below_deadline"
    DUPLICATE_SERVICE = "duplicate_service"
    SERVICE_WITHOUT_ROUTES = "service_without_routes"
    COLD_RATE_WITHOUT_TIME = "cold_rate_without_time"
    DUPLICATE_TEAM = "duplicate_team"
    DUPLICATE_KEY = "duplicate_key"
    TEAM_WITHOUT_KEYS = "team_without_keys"
    BURST_WITHOUT_RATE = "burst_without_rate"
    BURST_BELOW_REQUEST = "burst_below_request"
    REGIONS_WITHOUT_COMMON = "regions_without_common"
    BODY_EXCEEDS_MEMORY = "body_exceeds_memory"


WARNINGS = frozenset(
    (
        Code.UNKNOWN_FIELD,
        Code.UNKNOWN_KIND,
        Code.UNUSED_WEIGHTS,
        Code.ATTEMPTS_EXCEED_TIMEOUT,
        Code.BATCH_WITHOUT_DEADLINE,
        Code.SERVICE_WITHOUT_ROUTES,
        Code.TEAM_WITHOUT_KEYS,
        Code.REGIONS_WITHOUT_COMMON,
    )
)


class Finding(msgspec.Struct, frozen=True):
    """One fault of a document; `line` is 0 until the place has been looked up."""

    code: Code
    path: DocumentPath
    message: str
    line: int = 0

    @property
    def severity(self) -> Severity:
        """The severity, which the code determines."""
        return Severity.WARNING if self.code in WARNINGS else Severity.ERROR


class Difference(msgspec.Struct, frozen=True):
    """One difference between two versions of a document, as a sentence."""

    message: str


def show(name: str) -> str:
    """Return a name from the document, quoted, escaped and shortened for printing."""
    if len(name) > MAX_SHOWN_LENGTH:
        name = name[:MAX_SHOWN_LENGTH] + "…"
    return repr(name)


def show_number(value: float) -> str:
    """Return a number from the document, which may be of any size, for printing."""
    try:
        return f"{value:.12g}"
    except OverflowError:
        return "a number out of range"


def show_path(path: DocumentPath) -> str:
    """Return a path in the form `routes[3].path_prefix`."""
    text = "".join(_show_step(step) for step in path)
    return text.removeprefix(".") or "(document)"


def _show_step(step: str | int) -> str:
    if isinstance(step, str) and step.isidentifier():
        return "." + step[:MAX_SHOWN_LENGTH]
    return f"[{show(step) if isinstance(step, str) else step}]"
