"""The interface to endpoints: calls, responses, and errors of an attempt."""

import asyncio
import enum
from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from ..errors import ApricotquayError
from ..ids import TeamId
from .crashes.promptparts import PartKey
from .endpoints import Endpoint
from .http.http1 import HeaderList
from .slots.memory import TokenUsage


class EngineCall(msgspec.Struct, frozen=True):
    """The request of one attempt. `resume_after` is the id of the last event received
    so far, and `timeout_ms` how long the endpoint may work. `prompt_parts` are the
    parts of its prompt that other requests may share. It may pass through `regions`
    only, empty for all."""

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    team: TeamId | None
    timeout_ms: int
    resume_after: int | None = None
    prompt_parts: list[PartKey] = []
    regions: frozenset[str] = frozenset()


class EndpointLimit(msgspec.Struct, frozen=True):
    """What an endpoint's answer says of the requests a second that it takes from all
    daemons together: `rate_per_s`, None for no limit. A `malformed` value names none
    and says nothing of an earlier one.
    """

    rate_per_s: float | None = None
    malformed: str = ""


NO_LIMIT = EndpointLimit()


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint's answer says of its load: requests `running` and `waiting`
    there, its `slots` (0: nothing is stated), and how long work takes there now as a
    percentage of the usual (0: not stated). A `malformed` value states nothing.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    time_percent: float = 0.0
    malformed: str = ""

    @property
    def is_full(self) -> bool:
        """Whether the endpoint says that it has no free slot."""
        return 0 < self.slots <= self.running + self.waiting


NO_LOAD = EndpointLoad()


class Reachability(enum.Enum):
    """What became of a connection that was tried: SILENT proves nothing about the
    endpoint, since the network or this daemon may be the cause.
    """

    REACHED = "reached"
    REFUSED = "refused"
    SILENT = "silent"


def found_path_failure(check: "asyncio.Task[bool]") -> bool:
    """Whether a check that has ended found the way to an endpoint at fault, or could
    not find that out.
    """
    if check.cancelled() or check.exception() is not None:
        return True
    return check.result()


class RequestNotRunError(ApricotquayError):
    """The endpoint certainly did not run the request.

    `unreachable` means that no connection could be opened. `limit`, `load` and
    `is_leaving` are what the endpoint's refusal says, and `is_refusal` means that the
    endpoint itself answered. A failure of the path says nothing of the
    endpoint, which other daemons may reach. `path_check`, if set, is still finding
    out whether it is one.
    """

    def __init__(
        self,
        reason: str,
        *,
        unreachable: bool = False,
        limit: EndpointLimit = NO_LIMIT,
        load: EndpointLoad = NO_LOAD,
        is_refusal: bool = False,
        is_leaving: bool = False,
        is_path_failure: bool = False,
    ) -> None:
        super().__init__(reason)
        self.unreachable: bool = unreachable
        self.limit: EndpointLimit = limit
        self.load: EndpointLoad = load
        self.is_refusal: bool = is_refusal
        self.is_leaving: bool = is_leaving
        self.is_path_failure: bool = is_path_failure
        self.path_check: asyncio.Task[bool] | None = None

    @property
    def is_failure(self) -> bool:
        """Whether the endpoint failed, rather than being in need, full or leaving."""
        is_excused = self.is_leaving or self.is_path_failure or self.load.is_full
        return self.limit.rate_per_s is None and not is_excused


class EndpointUnreachableError(RequestNotRunError):
    """No connection to the endpoint could be opened from this VM."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, unreachable=True)


class AttemptFailedError(ApricotquayError):
    """The attempt failed after the request may have run.

    `reset` means that the connection ended, `timed_out` that no data came in time,
    `is_leaving` that the endpoint's response says so. `is_path_failure` means that
    the way to the endpoint failed, which says nothing of the endpoint, and
    `was_relayed` that a peer made the attempt, `was_cold` that the endpoint is slow
    because it has started a moment ago. `path_check`, if set, is still finding
    out whether the way failed.
    """

    def __init__(
        self,
        reason: str,
        *,
        reset: bool = False,
        timed_out: bool = False,
        is_leaving: bool = False,
        is_path_failure: bool = False,
        was_relayed: bool = False,
        was_cold: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reset: bool = reset
        self.timed_out: bool = timed_out
        self.is_leaving: bool = is_leaving
        self.is_path_failure: bool = is_path_failure
        self.was_relayed: bool = was_relayed
        self.was_cold: bool = was_cold
        self.path_check: asyncio.Task[bool] | None = None

    @property
    def is_failure(self) -> bool:
        """Whether the endpoint failed, rather than the way to it, or was only slow
        because it is cold.
        """
        return not self.is_path_failure and not (self.timed_out and self.was_cold)


class EngineResponse(Protocol):
    """An endpoint's response whose headers were read and match the call.

    If it `ends_with_connection`, it has no other sign of its end, so that a crash may
    look like the end. `is_leaving` means that the endpoint says it takes no new work.
    """

    status: int
    headers: HeaderList
    ends_with_connection: bool
    limit: EndpointLimit
    load: EndpointLoad
    is_leaving: bool

    def body(self) -> AsyncIterator[bytes]:
        """Yield the body; raise AttemptFailedError if it is incomplete."""

    def close(self) -> None:
        """Close the connection, which also stops the endpoint's work."""


class DirectEngineClient(Protocol):
    """Sends calls to endpoints over this VM's own connections. Implemented by the
    platform's `ServerClient`, used by `RoutedEngineClient`.
    """

    async def send(self, call: EngineCall, endpoint: Endpoint) -> EngineResponse:
        """Send a call and wait for the headers of its response; raise
        EndpointUnreachableError when no connection can be opened.
        """

    async def probe(self, endpoint: Endpoint) -> Reachability:
        """Open and close a connection to an endpoint."""

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""

    def token_usage(self, headers: HeaderList) -> TokenUsage:
        """Return the size that a caller states of a request."""

    def forwarded_headers(self, headers: HeaderList) -> HeaderList:
        """Return the headers of a caller that endpoints may get: no key is left."""


class EngineClient(Protocol):
    """Sends calls to endpoints, whatever the way. Implemented by
    `RoutedEngineClient`.
    """

    async def send(self, call: EngineCall, endpoint: Endpoint) -> EngineResponse:
        """Send a call and wait for the headers of its response."""

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's port refuses connections, as far as can be told."""

    def is_out_of_reach(self, endpoint: Endpoint) -> bool:
        """Whether this VM is known not to reach an endpoint that a peer reaches."""

    async def has_lost_path(self, endpoint: Endpoint) -> bool:
        """Find out whether a peer reaches an endpoint that this VM does not reach."""
