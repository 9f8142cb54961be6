"""The platform's settings file, translated into the product's settings."""

import os
from pathlib import Path

import msgspec

from ..errors import ErrorKind, RequestError
from ..serving.daemon import Address, ServingSettings
from ..settings import convert_checked

PATH_VARIABLE = "APRICOTQUAY_BOOT"
READY_PATH = "/-/readyz"
# Clocks differ between VMs, and callers read a little after their time.
KEPT_MARGIN = 2.0


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # How long after its submission a batch job's results must be readable.
    status_s: float = 120.0


class _Store(msgspec.Struct):
    address: str
    parts: int = 12


class _Boot(msgspec.Struct):
    node: str
    ip: str
    platform: _Store
    listen: dict[str, str]
    zone: str = ""
    seeds: list[str] = []
    # True only at the first start of the whole fleet.
    bootstrap: bool = False
    bounds: _Bounds = _Bounds()


def load_boot(metrics: str | None) -> ServingSettings:
    """Read the file that the environment names; `metrics` is "PORT/PATH"."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        raw = msgspec.json.decode(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        message = f"{PATH_VARIABLE}={path!r}: cannot be read: {exc}"
        raise RequestError(ErrorKind.SETTINGS_INVALID, message) from exc
    boot = convert_checked(raw, _Boot, path, ErrorKind.SETTINGS_INVALID)
    try:
        return _translate(boot, metrics)
    except (KeyError, ValueError) as exc:
        message = f"{path}: an address is missing or not IP:PORT: {exc}"
        raise RequestError(ErrorKind.SETTINGS_INVALID, message) from exc


def _translate(boot: _Boot, metrics: str | None) -> ServingSettings:
    metrics_port, _, metrics_path = (metrics or "").partition("/")
    return ServingSettings(
        boot.node,
        boot.zone,
        _address(boot.platform.address),
        _address(boot.listen["front"]),
        _address(boot.listen["ready"]),
        _address(boot.listen["control"]),
        Address(boot.ip, int(metrics_port)) if metrics_port else None,
        "/" + metrics_path,
        boot.seeds,
        boot.platform.parts,
        boot.bootstrap,
        boot.bounds.grace_s,
        boot.bounds.status_s * KEPT_MARGIN,
        READY_PATH,
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
