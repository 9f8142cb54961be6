"""Settings of the threaded daemon; each option is declared here and nowhere else."""

import re
from pathlib import Path
from typing import TypeVar

import msgspec
import pyjson5

from .errors import ErrorKind, RequestError

T = TypeVar("T")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of a threaded daemon's settings file, which is JSON with comments."""

    vm_id: str
    region: str
    availability_zone: str
    environment: str
    log_url: str
    vm_list_url: str
    host: str = "127.0.0.1"
    caller_port: int = 0
    peer_port: int = 0
    admin_port: int = 0
    caller_threads: int = 96
    max_body_bytes: int = 64 * 1024 * 1024
    max_online_body_bytes: int = 1024 * 1024
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    online_queue_per_team: int = 256
    endpoint_subset: int = 8
    job_partitions: int = 8
    rate_shards: int = 16
    lease_ms: int = 1_500
    probe_interval_ms: int = 300
    suspect_after_ms: int = 1_200
    view_stale_after_ms: int = 3_000
    append_linger_ms: int = 100
    log_retention_ms: int = 24 * 3_600_000
    result_retention_ms: int = 7 * 24 * 3_600_000
    drain_announce_ms: int = 300
    drain_limit_ms: int = 120_000
    item_attempts: int = 4
    record_cache_bytes: int = 16 * 1024 * 1024
    trace: bool = False


def find_non_positive_fields(settings: Settings) -> list[str]:
    """Return the names of integer options that must be above zero and are not."""
    may_be_zero = {"caller_port", "peer_port", "admin_port", "drain_announce_ms"}
    return [
        field
        for field in settings.__struct_fields__
        if type(getattr(settings, field)) is int
        and field not in may_be_zero
        and getattr(settings, field) <= 0
    ]


def parse_commented_json(text: str, source: str, kind: ErrorKind) -> object:
    """Parse JSON with comments; the error names the source and the line."""
    try:
        return pyjson5.loads(text)
    except pyjson5.Json5DecoderException as exc:
        line_suffix = _find_line(str(exc), text)
        raise RequestError(
            kind, f"{source}{line_suffix}: not valid JSON: {exc}"
        ) from exc


def convert_checked(value: object, to: type[T], source: str, kind: ErrorKind) -> T:
    """Convert parsed JSON to a typed value; the error names the path."""
    try:
        return msgspec.convert(value, to)
    except msgspec.ValidationError as exc:
        raise RequestError(kind, f"{source}: {exc}", param=_find_path(exc)) from exc


def load_settings(path: str | Path) -> Settings:
    """Read and validate a settings file."""
    source = str(path)
    kind = ErrorKind.SETTINGS_INVALID
    try:
        text = Path(path).read_text()
    except OSError as exc:
        raise RequestError(kind, f"{source}: cannot be read: {exc.strerror}") from exc
    raw = parse_commented_json(text, source, kind)
    settings = convert_checked(raw, Settings, source, kind)
    for field in find_non_positive_fields(settings):
        raise RequestError(kind, f"{source}: {field} must be above 0", param=field)
    return settings


def _find_line(message: str, text: str) -> str:
    """Return ":LINE" for a parser message that contains a character offset."""
    found = re.search(r"near (\d+)", message)
    if found is None:
        return ""
    line = text.count("\n", 0, int(found.group(1))) + 1
    return f":{line}"


def _find_path(exc: msgspec.ValidationError) -> str | None:
    """Return the JSON path that a validation message names."""
    found = re.search(r"at `\$?\.?([^`]*)`", str(exc))
    return found.group(1) if found else None
