"""Access to the platform's VM list. Another platform changes this file only."""

from typing import Protocol

import msgspec
import urllib3

from .errors import ApricotquayError
from .membership import VmEntry

TIMEOUT_S = 2.0


class VmListUnavailableError(ApricotquayError):
    """The VM list gave no usable answer."""


class VmList(Protocol):
    """The VM list as the rest of the package sees it; it lags."""

    def fetch(self) -> list[VmEntry]:
        """Return the VMs listed, live and leaving."""


class _Answer(msgspec.Struct):
    vms: list[VmEntry]


class HttpVmList:
    """The VM list over HTTP."""

    def __init__(self, url: str, source_host: str | None = None) -> None:
        source = (source_host, 0) if source_host else None
        self._url: str = f"{url.rstrip('/')}/vms"
        self._pool = urllib3.PoolManager(
            maxsize=2, retries=False, source_address=source
        )

    def fetch(self) -> list[VmEntry]:
        try:
            response = self._pool.request("GET", self._url, timeout=TIMEOUT_S)
        except urllib3.exceptions.HTTPError as exc:
            raise VmListUnavailableError(str(exc)) from exc
        if response.status != 200:
            raise VmListUnavailableError(f"status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=_Answer).vms
        except msgspec.DecodeError as exc:
            raise VmListUnavailableError(str(exc)) from exc

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()
