"""Settings of the event-loop daemon, read from the platform's settings file."""

import os
from pathlib import Path
from typing import Any

import msgspec

from ..errors import ErrorKind, RequestError
from ..serving.daemon import Address, ServingSettings
from ..serving.http.resourcelimits import (
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_MB,
    DEFAULT_WRITE_STALL_S,
    ResourceLimits,
)
from ..settings import convert_checked

SETTINGS_PATH_VARIABLE = "APRICOTQUAY_BOOT"
READY_PATH = "/-/readyz"
# Results are kept longer than promised: clocks differ between VMs, and callers read
# a little after the promised time.
RETENTION_FACTOR = 2.0


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # How long after a batch job's submission its results must be readable.
    status_s: float = 120.0


class _Limits(msgspec.Struct, frozen=True):
    """The size of the VM; 0 stands for unknown."""

    memory_mb: float = 0
    max_fds: int = 0
    write_stall_ms: float = 0


class _Store(msgspec.Struct):
    address: str
    parts: int = 12


class _SettingsFile(msgspec.Struct):
    node: str
    ip: str
    platform: _Store
    listen: dict[str, str]
    zone: str = ""
    seeds: list[str] = []
    # True only when the whole fleet starts for the first time.
    bootstrap: bool = False
    bounds: _Bounds = _Bounds()
    # The region of each zone; entries of other types are ignored.
    zones: Any = None
    region: Any = None
    limits: _Limits = _Limits()


def load_settings(metrics: str | None) -> ServingSettings:
    """Read the file at the path in the environment; `metrics` is "PORT/PATH"."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        raw = msgspec.json.decode(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        message = f"{SETTINGS_PATH_VARIABLE}={path!r}: cannot be read: {exc}"
        raise RequestError(ErrorKind.SETTINGS_INVALID, message) from exc
    file = convert_checked(raw, _SettingsFile, path, ErrorKind.SETTINGS_INVALID)
    try:
        return _convert_settings(file, metrics)
    except (KeyError, ValueError) as exc:
        message = f"{path}: an address is missing or not IP:PORT: {exc}"
        raise RequestError(ErrorKind.SETTINGS_INVALID, message) from exc


def _convert_settings(file: _SettingsFile, metrics: str | None) -> ServingSettings:
    metrics_port, _, metrics_path = (metrics or "").partition("/")
    return ServingSettings(
        file.node,
        file.zone,
        _parse_address(file.platform.address),
        _parse_address(file.listen["front"]),
        _parse_address(file.listen["ready"]),
        _parse_address(file.listen["control"]),
        Address(file.ip, int(metrics_port)) if metrics_port else None,
        "/" + metrics_path,
        file.seeds,
        file.platform.parts,
        file.bootstrap,
        file.bounds.grace_s,
        file.bounds.status_s * RETENTION_FACTOR,
        READY_PATH,
        file.region if isinstance(file.region, str) else "",
        _convert_zones(file.zones),
        _convert_limits(file.limits),
    )


def _convert_limits(limits: _Limits) -> ResourceLimits:
    stall_s = limits.write_stall_ms / 1000
    return ResourceLimits(
        int(limits.memory_mb) if limits.memory_mb >= 1 else DEFAULT_MEMORY_MB,
        limits.max_fds if limits.max_fds > 0 else DEFAULT_MAX_FDS,
        stall_s if stall_s > 0 else DEFAULT_WRITE_STALL_S,
    )


def _convert_zones(value: Any) -> dict[str, str]:
    if not isinstance(value, dict):
        return {}
    return {
        zone: region
        for zone, region in value.items()
        if isinstance(zone, str) and isinstance(region, str)
    }


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
