"""Online requests of the event-loop daemon: admission, progress, response writer."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

import msgspec

from ...errors import ErrorKind, Ran, RequestError
from ...ids import EndpointId
from ..catalog import Route, Team
from ..crashes.promptparts import PartKey
from ..engine import AttemptFailedError
from ..http.bodybudget import BodyReservation
from ..http.http1 import HeaderList
from ..http.sse import StreamEvent
from ..slots.memory import UNKNOWN_USAGE, TokenUsage

INTERRUPTION_RETRY_AFTER_MS = 300


class OnlineRequest(msgspec.Struct):
    """A caller's request to the event-loop daemon. `headers` are forwarded unchanged.

    `caller_timeout_ms` is how long the caller waits, `resume_after` the id of the
    last event that it received from an earlier response, `prefix` identifies the
    prompt's shared prefix, `prompt_parts` are its parts without the last. `resumes`
    is the id of the request that brought the first event of the stream, `usage` the
    size that the caller states. Times in
    seconds are read from the daemon's clock.
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
    prompt_parts: list[PartKey] = []
    resumes: str = ""
    usage: TokenUsage = UNKNOWN_USAGE


class ResponseWriter(Protocol):
    """Sends a response to the caller. Implemented by the platform's adapter.

    `caller_left` tells whether the caller has closed its connection.
    """

    caller_left: bool

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the status and headers of an endpoint's response."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """End the response so that the caller sees it is incomplete."""

    async def refuse(self, error: RequestError) -> None:
        """Respond with an error of one of the kinds in ErrorKind."""


class Admission(msgspec.Struct, frozen=True):
    """The route and team of a request, and the configuration version they come from."""

    route: Route
    team: Team | None
    version: int


class RequestProgress:
    """The attempts of an online request, and the events forwarded to its caller.

    `failure_response` is an idempotent request's last response with a status of
    500 or more, which the caller gets if no other attempt succeeds.
    """

    def __init__(self, request: OnlineRequest, reservation: BodyReservation) -> None:
        self.slot_granted_by: str = ""
        self.slot_wait_ms: int = 0
        self.last_event_id: int | None = request.resume_after
        self.response_started: bool = False
        self.failed_attempts: int = 0
        self.not_run_count: int = 0
        self.may_have_run: bool = False
        self.failed_endpoints: set[EndpointId] = set()
        self.failure_response: tuple[int, HeaderList, bytes] | None = None
        self.reasons: list[str] = []
        self.first_event_s: float | None = None
        self.last_event_s: float | None = None
        self.longest_pause_s: float = 0.0
        self.endpoint: str = ""
        self.was_sent: bool = False
        self.is_at_endpoint: bool = False
        # The software version of the endpoint that began the stream, if it has begun.
        self.version: str = ""
        # Of the memory for answers that are read whole; released with the request.
        self.reservation: BodyReservation = reservation

    def record_failure(
        self, endpoint: EndpointId, reason: str, *, may_have_run: bool
    ) -> None:
        """Record a failed send."""
        self.is_at_endpoint = False
        self.failed_endpoints.add(endpoint)
        self.reasons.append(reason)
        if may_have_run:
            self.failed_attempts += 1
            self.may_have_run = True
        else:
            self.not_run_count += 1

    def record_event_time(self, now_s: float) -> None:
        """Record when forwarded events arrived."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self.last_event_s is not None:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    def record_events(self, events: Sequence[StreamEvent]) -> None:
        """Record events that will be forwarded; raise AttemptFailedError, and record
        none, if ids are missing.
        """
        last_id = self.last_event_id
        for event in events:
            if last_id is not None and event.id != last_id + 1:
                raise AttemptFailedError(f"event {event.id} came after {last_id}")
            last_id = event.id
        self.last_event_id = last_id


def interruption_error(reason: str, *, may_have_run: bool) -> RequestError:
    """Return the error of a request that ends for a failure inside the daemon."""
    if may_have_run:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)
    return RequestError(
        ErrorKind.INTERNAL,
        reason,
        ran=Ran.NOT_RUN,
        retry_after_ms=INTERRUPTION_RETRY_AFTER_MS,
    )


def acknowledge_cancellation() -> None:
    """Let the current task go on after a cancellation that it handles."""
    task = asyncio.current_task()
    while task.cancelling():
        task.uncancel()
