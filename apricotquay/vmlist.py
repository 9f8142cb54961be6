"""Client of the VM list. Only this module changes for another platform's list."""

from typing import Protocol

import msgspec
import urllib3

from .errors import ApricotquayError
from .membership import VmEntry

REQUEST_TIMEOUT_S = 2.0


class VmListUnavailableError(ApricotquayError):
    """The VM list gave no usable response."""


class VmList(Protocol):
    """Interface of the VM list, which lags behind the real state."""

    def fetch(self) -> list[VmEntry]:
        """Return the listed VMs, live and leaving."""


class _ListResponse(msgspec.Struct):
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
            response = self._pool.request("GET", self._url, timeout=REQUEST_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as exc:
            raise VmListUnavailableError(str(exc)) from exc
        if response.status != 200:
            raise VmListUnavailableError(f"status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=_ListResponse).vms
        except msgspec.DecodeError as exc:
            raise VmListUnavailableError(str(exc)) from exc

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()
