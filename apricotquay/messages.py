"""Messages between threaded daemons, and their encoding: CBOR over `websockets`.

A frame is an array of a call number and a message. Every call has one reply.
"""

import cbor2
import msgspec

from .ids import Incarnation, JobId, MemberId, ResourceName, TeamId
from .membership import MemberUpdate
from .records import Claim

CallNumber = int


class MemberStatus(msgspec.Struct, frozen=True):
    """A member's own status, and the updates about other members that it forwards.

    `view_age_ms` is how long ago the log confirmed its view of the configuration;
    `online_load` counts its online requests by endpoint.
    """

    sender: MemberId
    incarnation: Incarnation
    leaving: bool
    config_version: int
    view_age_ms: int
    online_load: dict[str, int]
    news: list[MemberUpdate] = []


class Probe(MemberStatus, frozen=True, tag="probe"):
    """Asks whether a member is alive."""


class ProbeReply(MemberStatus, frozen=True, tag="probe_reply"):
    """The reply to a probe, with the status of the probed member."""


class FetchConfig(msgspec.Struct, frozen=True, tag="fetch_config"):
    """Asks for the configuration in force if it is newer than `known_version`."""

    known_version: int


class ConfigReply(msgspec.Struct, frozen=True, tag="config_reply"):
    """A configuration; `text` is empty if there is no newer one."""

    version: int
    text: str


class TakeToken(msgspec.Struct, frozen=True, tag="take_token"):
    """Asks the holder of a shard for one token of a team's bucket."""

    resource: ResourceName
    fencing: int
    team: TeamId


class TokenReply(msgspec.Struct, frozen=True, tag="token_reply"):
    """The holder's decision.

    `held` is false if the called daemon may not act under that fencing number; the
    calling daemon then looks for the holder again. `wait_s` is the time until a refused
    team has a token again; `recovering` means that the holder is new and had to
    start with an empty bucket.
    """

    held: bool
    granted: bool = False
    wait_s: float = 0.0
    recovering: bool = False


class AskPromises(msgspec.Struct, frozen=True, tag="ask_promises"):
    """Asks a successor not to claim resources, given with their fencing numbers."""

    sender: MemberId
    fencings: dict[ResourceName, int]


class PromisesReply(msgspec.Struct, frozen=True, tag="promises_reply"):
    """The resources that the successor promises not to claim.

    The promise lasts `lease_s` from the time the successor sent it.
    """

    promised: list[ResourceName]
    lease_s: float


class HandOver(msgspec.Struct, frozen=True, tag="hand_over"):
    """A holder has stopped acting; the receiver is its successor.

    Carries the bucket levels.
    """

    sender: MemberId
    resource: ResourceName
    fencing: int
    levels: dict[TeamId, float]
    full: bool


class FetchLeases(msgspec.Struct, frozen=True, tag="fetch_leases"):
    """Asks for the claims of all shards; sent by a daemon that cannot read the log."""


class LeasesReply(msgspec.Struct, frozen=True, tag="leases_reply"):
    """The offsets and claims that the replying member knows."""

    claims: list[tuple[int, Claim]]


class OnlineLoad(msgspec.Struct, frozen=True, tag="online_load"):
    """The sender's online requests by endpoint, for the endpoints' batch runners."""

    sender: MemberId
    counts: dict[str, int]


class EndpointLoads(msgspec.Struct, frozen=True, tag="endpoint_loads"):
    """The reply of an endpoint's batch runner: the totals of all members."""

    totals: dict[str, int]


class QuarantineNotice(msgspec.Struct, frozen=True, tag="quarantine_notice"):
    """Fingerprints that ran when an endpoint crashed, or that are quarantined."""

    endpoint: str
    suspects: list[str]
    quarantined: list[str]


class PullItems(msgspec.Struct, frozen=True, tag="pull_items"):
    """A batch runner asks for items that an endpoint's target can serve."""

    sender: MemberId
    target: str
    room: int


class WorkItem(msgspec.Struct, frozen=True):
    """One item to run.

    `text` and `tokens` hold the partial response of an earlier runner that paused.
    """

    resource: ResourceName
    claim: int
    job: JobId
    index: int
    team: TeamId
    line: bytes
    attempt: str = ""
    text: str = ""
    tokens: int = 0


class PulledItems(msgspec.Struct, frozen=True, tag="pulled_items"):
    """Items assigned to a runner, which must report or release each."""

    items: list[WorkItem]


class ItemReport(msgspec.Struct, frozen=True):
    """The outcome of one item, or an empty outcome if the item is released.

    `text` and `tokens` hold a partial response that another runner may continue.
    """

    resource: ResourceName
    claim: int
    job: JobId
    index: int
    attempt: str
    outcome: str
    body: bytes
    text: str = ""
    tokens: int = 0
    ran: str = "unknown"

    def with_lost_outcome(self) -> "ItemReport":
        """Return a report that the outcome of the attempt was lost."""
        return ItemReport(
            self.resource,
            self.claim,
            self.job,
            self.index,
            self.attempt,
            "outcome_lost",
            b"",
        )


class ReportItems(msgspec.Struct, frozen=True, tag="report_items"):
    """A runner reports items to the holder of their partition."""

    reports: list[ItemReport]


class RenewItems(msgspec.Struct, frozen=True, tag="keep_items"):
    """Renews a runner's items; the reply lists those that must stop."""

    sender: MemberId
    items: list[tuple[ResourceName, JobId, int]]


class StopItems(msgspec.Struct, frozen=True, tag="stop_items"):
    """Items that a runner must stop: cancelled, done elsewhere or unknown."""

    items: list[tuple[JobId, int]]


class QueryJob(msgspec.Struct, frozen=True, tag="query_job"):
    """Asks the holder of a partition for a team's job."""

    resource: ResourceName
    job: JobId
    team: TeamId


class JobReply(msgspec.Struct, frozen=True, tag="job_reply"):
    """A job's state; `known` is false if the team has no such job."""

    held: bool
    known: bool = False
    job_key: str = ""
    digest: str = ""
    accepted_at_ms: int = 0
    finished_at_ms: int = 0
    cancelled_at_ms: int = 0
    total: int = 0
    open: int = 0
    done: int = 0
    failed: int = 0
    cancelled: int = 0
    unknown: int = 0


class QueryResults(msgspec.Struct, frozen=True, tag="query_results"):
    """Asks for the result lines of `count` items, starting at `first`."""

    resource: ResourceName
    job: JobId
    team: TeamId
    first: int
    count: int


class ResultsReply(msgspec.Struct, frozen=True, tag="results_reply"):
    """Result lines in item order; `next_first` is -1 after the last item."""

    held: bool
    lines: list[bytes] = []
    next_first: int = -1


class ExplainItem(msgspec.Struct, frozen=True, tag="explain_item"):
    """Asks for a description of an item's state."""

    resource: ResourceName
    job: JobId
    index: int


class TextReply(msgspec.Struct, frozen=True, tag="text_reply"):
    """Lines of text for an operator."""

    lines: list[str]


class Ack(msgspec.Struct, frozen=True, tag="done"):
    """A reply without content."""


class ErrorReply(msgspec.Struct, frozen=True, tag="failed"):
    """The called daemon failed to handle the call."""

    message: str


Message = (
    Probe
    | ProbeReply
    | FetchConfig
    | ConfigReply
    | TakeToken
    | TokenReply
    | AskPromises
    | PromisesReply
    | HandOver
    | FetchLeases
    | LeasesReply
    | OnlineLoad
    | EndpointLoads
    | QuarantineNotice
    | PullItems
    | PulledItems
    | ReportItems
    | RenewItems
    | StopItems
    | QueryJob
    | JobReply
    | QueryResults
    | ResultsReply
    | ExplainItem
    | TextReply
    | Ack
    | ErrorReply
)


def encode_frame(number: CallNumber, message: Message) -> bytes:
    """Encode one frame."""
    value = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([number, value])


def decode_frame(data: bytes) -> tuple[CallNumber, Message]:
    """Decode one frame; raise ValueError if it is malformed."""
    try:
        number, value = cbor2.loads(data)
        message = msgspec.convert(value, Message, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, TypeError) as exc:
        raise ValueError(f"malformed frame: {exc}") from exc
    return number, message
