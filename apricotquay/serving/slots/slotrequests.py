"""Requests for slots of this daemon, and the slots that it holds."""

import asyncio
from collections.abc import Callable

import msgspec

from ...errors import ApricotquayError
from ...ids import EndpointId, TeamId
from ..catalog import ServiceName
from ..fleet.peers import PeerConnection
from .outliers import SlotOutcome
from .slotuse import SlotUse
from .tickets import Decision, Ticket, Work


class SlotUnavailableError(ApricotquayError):
    """No slot can be had in time; one may be free after `wait_s`."""

    def __init__(self, wait_s: float) -> None:
        super().__init__("no slot in time")
        self.wait_s: float = wait_s


class SlotRequest(msgspec.Struct, frozen=True):
    """A request for a slot; the fields are those of `Ticket`."""

    work: Work
    due_s: float
    slot_deadline_s: float
    expected_duration_s: float = 0.0
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    may_repeat: bool = True
    holds_slot: bool = False
    version: str = ""
    team: TeamId = TeamId("")
    priority: int = 0
    weight: float = 1.0
    tokens: int = 0
    zone: str = ""
    regions: frozenset[str] = frozenset()
    prefix_tokens: int = 0


class SlotLease(msgspec.Struct):
    """A slot that is held until it is released.

    `owner` is the peer whose table also records the slot, None if only the table of
    this daemon does. It records it for as long as the connection `known_over` is open.
    The holder records in `use` what the attempt shows, and sets `outcome` before it
    releases the slot. `granted_by` is the owner that granted the slot, at `granted_s`.
    The `outcome` counts only once `path_check`, if set, has found that the way to the
    endpoint did not fail.
    """

    service: ServiceName
    ticket: Ticket
    endpoint: EndpointId
    owner: str | None
    outcome: SlotOutcome = SlotOutcome.UNKNOWN
    on_revoke: Callable[[], None] = lambda: None
    granted_by: str | None = None
    known_over: PeerConnection | None = None
    path_check: asyncio.Task[bool] | None = None
    granted_s: float = float("-inf")
    use: SlotUse = msgspec.field(default_factory=SlotUse)


class TicketOutdatedError(ApricotquayError):
    """A ticket waits for others while an endpoint that it excludes could be used."""


class Waiter:
    """A ticket of this daemon that has no decision yet.

    The ticket was made of `request`, and excludes the endpoints `excluded`, among them
    those of `unusable` grants.
    """

    def __init__(
        self,
        service: ServiceName,
        owner: str | None,
        request: SlotRequest | None = None,
        unusable: frozenset[EndpointId] = frozenset(),
        excluded: frozenset[EndpointId] = frozenset(),
    ) -> None:
        loop = asyncio.get_running_loop()
        self.service: ServiceName = service
        self.owner: str | None = owner
        self.request: SlotRequest | None = request
        self.unusable: frozenset[EndpointId] = unusable
        self.excluded: frozenset[EndpointId] = excluded
        self.is_outdated: bool = False
        self.connection: PeerConnection | None = None
        # When the owner was asked, and what it said with its grant.
        self.asked_s: float = float("-inf")
        self.grant_is_cold: bool = False
        self.grant_waited_s: float = 0.0
        self.first_reply: asyncio.Future = loop.create_future()
        self.decision: asyncio.Future = loop.create_future()

    @property
    def regions(self) -> frozenset[str]:
        """The regions that the ticket may reach, empty for all."""
        return self.request.regions if self.request else frozenset()

    def mark_outdated(self) -> bool:
        """End the wait so that another ticket is made, unless it is decided; return
        whether it ended.
        """
        if self.decision.done():
            return False
        self.is_outdated = True
        self.resolve(None)
        return True

    def resolve(self, decision: Decision | None) -> None:
        """Set the final decision; None if none will come."""
        for future in (self.first_reply, self.decision):
            if not future.done():
                future.set_result(decision)
