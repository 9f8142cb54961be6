"""An online request on its way: what was asked, by whom, and what it has got so far."""

from typing import Protocol

import msgspec

from ..errors import RequestError
from ..ids import EndpointId
from .catalog import Route, Team
from .engine import AttemptFailedError
from .http1 import HeaderList
from .sse import StreamEvent


class OnlineRequest(msgspec.Struct):
    """A caller's request. `headers` go to the endpoint as they are.

    `caller_timeout_ms` is how long the caller waits, `resume_after` the last event
    that it has of an earlier answer, `prefix` the name of the prompt's shared
    part. Times in seconds are the clock's.
    """

    id: str
    method: str
    target: str
    path: str
    host: str
    headers: HeaderList
    body: bytes
    key: str | None
    caller_timeout_ms: int
    arrived_s: float
    resume_after: int | None = None
    prefix: str = ""


class ResponseWriter(Protocol):
    """Where the answer goes. Implemented by the adapter."""

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of an endpoint's answer."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Complete the answer."""

    def abort(self) -> None:
        """Break the answer off, visibly."""

    async def refuse(self, error: RequestError) -> None:
        """Answer with an error of the closed list."""


class Admission(msgspec.Struct, frozen=True):
    """What admission found: the route, the team and the version that said so."""

    route: Route
    team: Team | None
    version: int


class Progress:
    """What an online request has got so far."""

    def __init__(self, request: OnlineRequest) -> None:
        self.slot_by: str = ""
        self.slot_wait_ms: int = 0
        self.last_id: int | None = request.resume_after
        self.started: bool = False
        self.attempts: int = 0
        self.not_run: int = 0
        self.may_have_run: bool = False
        self.failed_at: set[EndpointId] = set()
        self.final: tuple[int, HeaderList, bytes] | None = None
        self.reasons: list[str] = []
        self.first_event_s: float | None = None
        self.last_event_s: float | None = None
        self.longest_pause_s: float = 0.0
        self.endpoint: str = ""
        self.offered: bool = False

    def see_failure(
        self, endpoint: EndpointId, reason: str, *, may_have_run: bool
    ) -> None:
        """Note a failed send."""
        self.failed_at.add(endpoint)
        self.reasons.append(reason)
        if may_have_run:
            self.attempts += 1
            self.may_have_run = True
        else:
            self.not_run += 1

    def see_events_at(self, now_s: float) -> None:
        """Note when events came that are passed on."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self.last_event_s is not None:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    def see_event(self, event: StreamEvent) -> None:
        """Note an event that is passed on; a gap before it breaks the attempt."""
        if self.last_id is not None and event.id != self.last_id + 1:
            raise AttemptFailedError(f"event {event.id} came after {self.last_id}")
        self.last_id = event.id
