"""Messages between daemons on the serving loop: CBOR over `websockets`.

A frame is an array of a number and a message: a call has a positive number, its
reply the same number negated, a message without a reply has 0.
"""

import cbor2
import msgspec

from ..ids import JobId, TeamId
from .catalog import ServiceName
from .dispatch import Work
from .jobrecords import JobItem
from .keyedlog import KeyedRecord
from .outliers import SlotOutcome


class AskSlot(msgspec.Struct, frozen=True, tag="ask_slot"):
    """Asks for a slot; times are relative, since clocks differ."""

    service: ServiceName
    ticket: str
    work: Work
    due_in_ms: int
    latest_in_ms: int
    needs_ms: int
    prefix: str
    avoid: list[str]
    may_repeat: bool = True


class SlotQueued(msgspec.Struct, frozen=True, tag="slot_queued"):
    """The ticket waits."""

    ticket: str


class SlotGranted(msgspec.Struct, frozen=True, tag="slot_granted"):
    """The ticket got a slot."""

    ticket: str
    endpoint: str


class SlotRefused(msgspec.Struct, frozen=True, tag="slot_refused"):
    """The ticket cannot get a slot in time."""

    ticket: str
    wait_ms: int


class SlotRevoked(msgspec.Struct, frozen=True, tag="slot_revoked"):
    """A batch item has to give back its slot."""

    ticket: str


class ReleaseSlot(msgspec.Struct, frozen=True, tag="release_slot"):
    """The ticket's slot is free, or the ticket no longer waits.

    `use` tells how the attempt there ended.
    """

    service: ServiceName
    ticket: str
    use: SlotOutcome = SlotOutcome.UNKNOWN


class HeldSlot(msgspec.Struct, frozen=True, tag="held_slot"):
    """Tells a new owner of a slot that another table granted."""

    service: ServiceName
    ticket: str
    work: Work
    endpoint: str
    due_in_ms: int
    needs_ms: int


class TicketList(msgspec.Struct, frozen=True, tag="ticket_list"):
    """All tickets of the sender that hold or wait for slots in an owner's table."""

    service: ServiceName
    tickets: list[str]


class TakeToken(msgspec.Struct, frozen=True, tag="take_token"):
    """Asks a team's owner to admit one request.

    `admitted_alone` were admitted while no owner answered, and `known_level` is
    the fleet's level as the sender would guess it.
    """

    team: TeamId
    admitted_alone: int
    known_level: float


class TokenAnswer(msgspec.Struct, frozen=True, tag="token_answer"):
    """The owner's decision, the fleet's level, and how many daemons it hears."""

    admitted: bool
    level: float
    daemons: int


class SubmitJob(msgspec.Struct, frozen=True, tag="submit_job"):
    """Hands a job to its owner."""

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
    """The end of a submission or a cancel: "done", "over_cap", "refused",
    "unknown_job" or "outcome_unknown"."""

    outcome: str


class ReadJob(msgspec.Struct, frozen=True, tag="read_job"):
    """Asks a job's owner for results from a position on."""

    team: TeamId
    job: JobId
    after: int
    wait_ms: int


class ResultItem(msgspec.Struct, frozen=True):
    """One listed result."""

    id: str
    is_done: bool
    text: str


class JobPage(msgspec.Struct, frozen=True, tag="job_page"):
    """Results from a position on; `total` is -1 for a job that does not exist."""

    total: int
    results: list[ResultItem]


class ReadBody(msgspec.Struct, frozen=True, tag="read_body"):
    """Asks a job's owner for an item's body."""

    team: TeamId
    job: JobId
    item: str


class ItemBody(msgspec.Struct, frozen=True, tag="item_body"):
    """An item's body; `found` is false where there is none to give."""

    found: bool
    body: bytes


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Asks a job's owner to cancel it."""

    team: TeamId
    job: JobId


class PullView(msgspec.Struct, frozen=True, tag="pull_view"):
    """Asks a peer for what is newer than the sender's view."""

    version: int
    endpoint_mark: int


class ViewRecords(msgspec.Struct, frozen=True, tag="view_records"):
    """Records of the platform that are newer, and who owned which shards when the
    sender last read that from the store; the age is -1 if it never did.
    """

    configuration: list[KeyedRecord]
    endpoints: list[KeyedRecord]
    owners: dict[str, str]
    owners_age_ms: int


class CrashSeen(msgspec.Struct, frozen=True, tag="crash_seen"):
    """An endpoint died while these fingerprints ran there."""

    endpoint: str
    fingerprints: list[str]


class CallNotServed(msgspec.Struct, frozen=True, tag="not_here"):
    """The call could not be served by this daemon; `reason` is for logs."""

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
    | CallNotServed
)


def encode_frame(number: int, message: Message) -> bytes:
    """Encode one frame."""
    value = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([number, value])


def decode_frame(data: bytes) -> tuple[int, Message]:
    """Decode one frame; raise ValueError where it is malformed."""
    try:
        number, value = cbor2.loads(data)
        return number, msgspec.convert(value, Message, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, TypeError) as exc:
        raise ValueError(f"malformed frame: {exc}") from exc
