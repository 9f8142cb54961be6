"""The interface to endpoints: calls, responses, and errors of an attempt."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from ..errors import ApricotquayError
from ..ids import TeamId
from .endpoints import Endpoint
from .http1 import HeaderList
from .promptparts import PartKey


class EngineCall(msgspec.Struct, frozen=True):
    """The request of one attempt. `resume_after` is the id of the last event received
    so far, and `timeout_ms` how long the endpoint may work. `prompt_parts` are the
    parts of its prompt that other requests may share."""

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    team: TeamId | None
    timeout_ms: int
    resume_after: int | None = None
    prompt_parts: list[PartKey] = []


class EndpointLimit(msgspec.Struct, frozen=True):
    """What an endpoint's answer says of the requests a second that it takes from all
    daemons together: `rate_per_s`, None for no limit. A `malformed` value names none
    and says nothing of an earlier one.
    """

    rate_per_s: float | None = None
    malformed: str = ""


NO_LIMIT = EndpointLimit()


class RequestNotRunError(ApricotquayError):
    """The endpoint certainly did not run the request.

    `unreachable` means that no connection could be opened. `limit` and `is_leaving`
    are what the endpoint's refusal says.
    """

    def __init__(
        self,
        reason: str,
        *,
        unreachable: bool = False,
        limit: EndpointLimit = NO_LIMIT,
        is_leaving: bool = False,
    ) -> None:
        super().__init__(reason)
        self.unreachable: bool = unreachable
        self.limit: EndpointLimit = limit
        self.is_leaving: bool = is_leaving

    @property
    def is_failure(self) -> bool:
        """Whether the endpoint failed, rather than being in need or leaving."""
        return self.limit.rate_per_s is None and not self.is_leaving


class AttemptFailedError(ApricotquayError):
    """The attempt failed after the request may have run.

    `reset` means that the connection ended, `timed_out` that no data came in time,
    `is_leaving` that the endpoint's response says so.
    """

    def __init__(
        self,
        reason: str,
        *,
        reset: bool = False,
        timed_out: bool = False,
        is_leaving: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reset: bool = reset
        self.timed_out: bool = timed_out
        self.is_leaving: bool = is_leaving


class EngineResponse(Protocol):
    """An endpoint's response whose headers were read and match the call.

    If it `ends_with_connection`, it has no other sign of its end, so that a crash may
    look like the end. `is_leaving` means that the endpoint says it takes no new work.
    """

    status: int
    headers: HeaderList
    ends_with_connection: bool
    limit: EndpointLimit
    is_leaving: bool

    def body(self) -> AsyncIterator[bytes]:
        """Yield the body; raise AttemptFailedError if it is incomplete."""

    def close(self) -> None:
        """Close the connection, which also stops the endpoint's work."""


class EngineClient(Protocol):
    """Sends calls to endpoints. Implemented by the platform's `ServerClient`."""

    async def send(self, call: EngineCall, endpoint: Endpoint) -> EngineResponse:
        """Send a call and wait for the headers of its response."""

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's port refuses connections."""
