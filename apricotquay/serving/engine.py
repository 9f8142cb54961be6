"""What the product asks of an endpoint, and the ways in which that can end."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from ..errors import ApricotquayError
from ..ids import TeamId
from .endpoints import Endpoint
from .http1 import HeaderList


class EngineCall(msgspec.Struct, frozen=True):
    """One attempt. `resume_after` is the id of the last event that is known, and
    `timeout_ms` how long the endpoint may work."""

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    team: TeamId | None
    timeout_ms: int
    resume_after: int | None = None


class RequestNotRunError(ApricotquayError):
    """The endpoint surely did not run the request.

    `unreachable` tells that no connection could be made.
    """

    def __init__(self, reason: str, *, unreachable: bool = False) -> None:
        super().__init__(reason)
        self.unreachable: bool = unreachable


class AttemptFailedError(ApricotquayError):
    """The attempt failed after the request may have run.

    `reset` tells that the connection ended, `timed_out` that nothing came in time.
    """

    def __init__(
        self, reason: str, *, reset: bool = False, timed_out: bool = False
    ) -> None:
        super().__init__(reason)
        self.reset: bool = reset
        self.timed_out: bool = timed_out


class EngineResponse(Protocol):
    """An endpoint's answer whose head has been read and belongs to the call."""

    status: int
    headers: HeaderList

    def body(self) -> AsyncIterator[bytes]:
        """Yield the body; raises AttemptFailedError unless it is whole."""

    def close(self) -> None:
        """End the connection, and with it the endpoint's work."""


class EngineClient(Protocol):
    """Sends calls to endpoints. Implemented by the adapter."""

    async def send(self, call: EngineCall, endpoint: Endpoint) -> EngineResponse:
        """Send a call and wait for the head of its answer."""

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's port refuses connections."""
