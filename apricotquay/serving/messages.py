"""Messages between event-loop daemons: CBOR over `websockets`.

A frame is an array of a number and a message. A call has a positive number, its
reply the same number negated, and a message without a reply has 0. The owner of
a team, a service or a job is the daemon that owns its shard.
"""

import cbor2
import msgspec

from ..ids import JobId, TeamId
from .batch.jobrecords import JobItem
from .catalog import ServiceName
from .endpoints import LeavingNotice
from .engine import EndpointLoad, Reachability
from .fleet.keyedlog import KeyedRecord
from .slots.outliers import SlotOutcome
from .slots.sendlimits import LimitNotice
from .slots.slotuse import UseReport
from .slots.tickets import Work
from .streams.streamversions import MIN_LIFETIME_S

MAX_ERROR_CHARS = 200


class AskSlot(msgspec.Struct, frozen=True, omit_defaults=True, tag="ask_slot"):
    """Requests a slot from a service's owner.

    Times are relative, since the daemons' clocks differ.
    """

    service: ServiceName
    ticket: str
    work: Work
    due_in_ms: int
    latest_in_ms: int
    needs_ms: int
    prefix: str
    avoid: list[str]
    may_repeat: bool = True
    holds_slot: bool = False
    version: str = ""
    team: TeamId = TeamId("")
    priority: int = 0
    weight: float = 1.0
    tokens: int = 0
    zone: str = ""
    regions: list[str] = []
    prefix_tokens: int = 0


class SlotQueued(msgspec.Struct, frozen=True, tag="slot_queued"):
    """The ticket is queued."""

    ticket: str


class SlotGranted(msgspec.Struct, frozen=True, omit_defaults=True, tag="slot_granted"):
    """The ticket was granted a slot. If the owner knows that the endpoint `is_cold`,
    it also tells how long the ticket waited there.
    """

    ticket: str
    endpoint: str
    is_cold: bool = False
    waited_ms: int = 0


class SlotRefused(msgspec.Struct, frozen=True, tag="slot_refused"):
    """The ticket cannot be granted a slot in time."""

    ticket: str
    wait_ms: int


class SlotRevoked(msgspec.Struct, frozen=True, tag="slot_revoked"):
    """A batch item must release its slot."""

    ticket: str


class ReleaseSlot(msgspec.Struct, frozen=True, omit_defaults=True, tag="release_slot"):
    """The ticket's slot is free, or the ticket no longer waits.

    `use` tells how the attempt there ended, `measurements` what it showed of the
    endpoint's speed and load.
    """

    service: ServiceName
    ticket: str
    use: SlotOutcome = SlotOutcome.UNKNOWN
    measurements: UseReport | None = None


class HeldSlot(msgspec.Struct, frozen=True, omit_defaults=True, tag="held_slot"):
    """Reports to a new owner a slot that another slot table granted."""

    service: ServiceName
    ticket: str
    work: Work
    endpoint: str
    due_in_ms: int
    needs_ms: int
    team: TeamId = TeamId("")
    tokens: int = 0
    priority: int = 0
    weight: float = 1.0


class LimitSeen(msgspec.Struct, frozen=True, tag="limit_seen"):
    """Reports to a service's owner what the answer to a request in a slot says of the
    endpoint's limit; no `rate_per_s` means that it names none.
    """

    service: ServiceName
    ticket: str
    endpoint: str
    started_ms: int
    rate_per_s: float | None


class LimitList(msgspec.Struct, frozen=True, tag="limit_list"):
    """Endpoints' limits that the sender knows. An owner also tells how many `daemons`
    ask it for slots; 0 from others.
    """

    limits: list[LimitNotice]
    daemons: int = 0


class LeavingList(msgspec.Struct, frozen=True, tag="leaving_list"):
    """Endpoints whose answers said that they leave."""

    endpoints: list[LeavingNotice]


class TicketList(msgspec.Struct, frozen=True, tag="ticket_list"):
    """All tickets of the sender that hold slots of the owner or wait for them.

    Sent as a call, so that the sender learns of a connection that went silent; earlier
    releases send it as a message without a reply.
    """

    service: ServiceName
    tickets: list[str]


class TicketsKnown(msgspec.Struct, frozen=True, tag="tickets_known"):
    """The owner has renewed the leases on the tickets of a list, but for those that it
    does not know.

    Owners of earlier releases reply with `CallNotServed`.
    """

    service: ServiceName
    unknown: list[str]


class TakeToken(msgspec.Struct, frozen=True, tag="take_token"):
    """Asks a team's owner to admit one request of the team.

    `admitted_alone` is the number of requests that the sender admitted while no
    owner answered, `known_level` its estimate of the fleet's bucket level.
    """

    team: TeamId
    admitted_alone: int
    known_level: float


class TokenAnswer(msgspec.Struct, frozen=True, tag="token_answer"):
    """The owner's decision, the fleet's bucket level, and the number of daemons
    connected to the owner, including itself."""

    admitted: bool
    level: float
    daemons: int


class SubmitJob(msgspec.Struct, frozen=True, tag="submit_job"):
    """Submits a job to its owner."""

    id: JobId
    team: TeamId
    host: str
    path: str
    path_prefix: str
    items: list[JobItem]
    submitted_ms: int
    due_ms: int
    give_up_ms: int
    max_token_backlog: int
    wait_ms: int


class JobAnswer(msgspec.Struct, frozen=True, tag="job_answer"):
    """The outcome of a submission or a cancellation: "done", "over_cap", "refused",
    "unknown_job" or "outcome_unknown"."""

    outcome: str


class ReadJob(msgspec.Struct, frozen=True, tag="read_job"):
    """Requests results from a job's owner, starting at a position."""

    team: TeamId
    job: JobId
    after: int
    wait_ms: int


class ResultItem(msgspec.Struct, frozen=True):
    """One item's result."""

    id: str
    is_done: bool
    text: str


class JobPage(msgspec.Struct, frozen=True, tag="job_page"):
    """Results starting at a position; `total` is -1 for a job that does not exist."""

    total: int
    results: list[ResultItem]


class ReadBody(msgspec.Struct, frozen=True, tag="read_body"):
    """Requests an item's body from the job's owner."""

    team: TeamId
    job: JobId
    item: str


class ItemBody(msgspec.Struct, frozen=True, tag="item_body"):
    """An item's body; `found` is false if the item or job does not exist."""

    found: bool
    body: bytes


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Asks a job's owner to cancel it."""

    team: TeamId
    job: JobId


class PullView(msgspec.Struct, frozen=True, tag="pull_view"):
    """Requests from a peer all records that are newer than the sender's view.

    `version` is the sender's configuration, `endpoint_mark` its newest offset of the
    endpoint topic; both are -1 for none. Crash records are requested that the peer
    received in the last `crashes_ms`; -1 requests all.
    """

    version: int
    endpoint_mark: int
    crashes_ms: int = -1


class ViewRecords(msgspec.Struct, frozen=True, tag="view_records"):
    """Newer records of the platform, and the shard owners that the sender knows.

    `owners_age_ms` is the time since the store returned them, -1 if it never did.
    `are_crashes_known` tells whether the sender itself knows all crash records.
    """

    configuration: list[KeyedRecord]
    endpoints: list[KeyedRecord]
    owners: dict[str, str]
    owners_age_ms: int
    crashes: list[KeyedRecord] = []
    are_crashes_known: bool = False


class CrashSeen(msgspec.Struct, frozen=True, tag="crash_seen"):
    """A record of the crash log that may not be in the store yet."""

    key: bytes
    value: bytes


class StreamBegan(msgspec.Struct, frozen=True, tag="stream_began"):
    """Tells the software versions that began streams, by the streams' keys. One of a
    stream's keepers also keeps it in the store: those whom `must_store` tells.
    """

    streams: list[tuple[bytes, str]]
    must_store: bool = False


class FindStream(msgspec.Struct, frozen=True, tag="find_stream"):
    """Asks which version began a stream of a service."""

    service: ServiceName
    key: bytes


class StreamFound(msgspec.Struct, frozen=True, tag="stream_found"):
    """A stream's versions, none if it is unknown. `listed` are the service's versions
    that the sender has observed lately, `is_complete` whether for the lifetime of a
    stream, which the sender takes to be `lifetime_s`.
    """

    versions: list[str]
    listed: list[str]
    is_complete: bool
    lifetime_s: float = MIN_LIFETIME_S


class CheckEndpoint(msgspec.Struct, frozen=True, tag="check_endpoint"):
    """Asks a peer to open a connection to a start of an endpoint."""

    endpoint: str
    started_ms: int


class EndpointChecked(msgspec.Struct, frozen=True, tag="endpoint_checked"):
    """What became of the connection; None if the peer cannot tell. `peers` are some
    of the daemons that the peer is connected to.
    """

    reachability: Reachability | None
    peers: list[str] = []


class RelayCall(msgspec.Struct, frozen=True, tag="relay_call"):
    """Asks a peer to make an attempt at a start of an endpoint, for a request that the
    sender has admitted and holds a slot for; see `EngineCall`. The sender chooses the
    `number`, which all messages about the attempt hold.
    """

    number: int
    endpoint: str
    started_ms: int
    request_id: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    team: TeamId | None
    timeout_ms: int
    resume_after: int | None


class RelayedHead(msgspec.Struct, frozen=True, omit_defaults=True, tag="relayed_head"):
    """The head of the endpoint's response; see `EngineResponse`."""

    number: int
    status: int
    headers: list[tuple[bytes, bytes]]
    ends_with_connection: bool
    rate_per_s: float | None
    malformed_limit: str
    is_leaving: bool
    load: EndpointLoad | None = None


class RelayedData(msgspec.Struct, frozen=True, tag="relayed_data"):
    """A part of the response's body."""

    number: int
    data: bytes


class RelayedEnd(msgspec.Struct, frozen=True, tag="relayed_end"):
    """The response is complete."""

    number: int


class RelayedFailure(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="relayed_failure"
):
    """The attempt failed; see `RequestNotRunError` for one that has not run, else
    `AttemptFailedError`.
    """

    number: int
    reason: str
    may_have_run: bool
    unreachable: bool = False
    reset: bool = False
    timed_out: bool = False
    is_leaving: bool = False
    rate_per_s: float | None = None
    malformed_limit: str = ""
    is_path_failure: bool = False
    load: EndpointLoad | None = None
    is_refusal: bool = False


class RelayCredit(msgspec.Struct, frozen=True, tag="relay_credit"):
    """The sender of the call has consumed so much of the body."""

    number: int
    size_bytes: int


class CancelRelay(msgspec.Struct, frozen=True, tag="cancel_relay"):
    """The sender of the call does not need the attempt any more."""

    number: int


class CallNotServed(msgspec.Struct, frozen=True, tag="not_here"):
    """This daemon could not serve the call; `reason` is for logs."""

    reason: str


Message = (
    AskSlot
    | SlotQueued
    | SlotGranted
    | SlotRefused
    | SlotRevoked
    | ReleaseSlot
    | HeldSlot
    | TicketList
    | TicketsKnown
    | LimitSeen
    | LimitList
    | LeavingList
    | TakeToken
    | TokenAnswer
    | SubmitJob
    | JobAnswer
    | ReadJob
    | JobPage
    | ReadBody
    | ItemBody
    | CancelJob
    | PullView
    | ViewRecords
    | CrashSeen
    | StreamBegan
    | FindStream
    | StreamFound
    | CheckEndpoint
    | EndpointChecked
    | RelayCall
    | RelayedHead
    | RelayedData
    | RelayedEnd
    | RelayedFailure
    | RelayCredit
    | CancelRelay
    | CallNotServed
)


def encode_frame(number: int, message: Message) -> bytes:
    """Encode one frame."""
    value = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([number, value])


def decode_frame(data: bytes) -> tuple[int, Message]:
    """Decode one frame; raise ValueError if it is malformed."""
    try:
        number, value = cbor2.loads(data)
        message = msgspec.convert(value, Message, builtin_types=(bytes,))
        return msgspec.convert(number, int), message
    except Exception as exc:
        # The decoders raise errors of many kinds for bytes of another writer.
        raise ValueError(f"malformed frame: {exc!r}"[:MAX_ERROR_CHARS]) from exc
