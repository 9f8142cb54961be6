"""Gets slots at endpoints: from the owner of the service, or from the own table."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from ..clocks import Clock
from ..errors import ApricotquayError, PeerUnavailableError
from ..ids import EndpointId
from .catalog import ServiceName
from .dispatch import Decision, Granted, Refused, Revoked, Ticket, TicketId, Work
from .messages import (
    AskSlot,
    HeldSlot,
    Message,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotRevoked,
    TicketList,
)
from .outliers import SlotOutcome
from .peers import PeerConnection, Peers
from .reporting import Reporter
from .shards import Shards, shard_number
from .slotowner import SECONDS_TO_MS, SlotTables
from .tasks import start_task
from .view import View

# The owner answers within two network round trips unless it is in trouble.
ANSWER_TIMEOUT_S = 0.15
OWNER_PAUSE_S = 1.0
TICK_S = 0.05
LIST_INTERVAL_S = 1.0

DECISIONS = (SlotQueued, SlotGranted, SlotRefused, SlotRevoked)


class SlotUnavailableError(ApricotquayError):
    """No slot can be had in time; one may be free after `wait_s`."""

    def __init__(self, wait_s: float) -> None:
        super().__init__("no slot in time")
        self.wait_s: float = wait_s


class SlotRequest(msgspec.Struct, frozen=True):
    """What is asked for; the fields are those of a ticket."""

    work: Work
    due_s: float
    latest_s: float
    needs_s: float = 0.0
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    may_repeat: bool = True


class SlotLease(msgspec.Struct):
    """A slot that is held until it is released.

    `owner` is the peer whose table has it too, None for this daemon's alone. Its
    holder sets `outcome` before it gives the slot back.
    """

    service: ServiceName
    ticket: Ticket
    endpoint: EndpointId
    owner: str | None
    outcome: SlotOutcome = SlotOutcome.UNKNOWN
    on_revoke: Callable[[], None] = lambda: None


class _Waiter:
    """A ticket of this daemon that has no decision yet."""

    def __init__(self, service: ServiceName, owner: str | None) -> None:
        loop = asyncio.get_running_loop()
        self.service: ServiceName = service
        self.owner: str | None = owner
        self.first: asyncio.Future = loop.create_future()
        self.final: asyncio.Future = loop.create_future()

    def decide(self, decision: Decision | None) -> None:
        """Give the final decision; None when none will come."""
        for future in (self.first, self.final):
            if not future.done():
                future.set_result(decision)


class SlotAllocator:
    """Used by the online path and the batch runner."""

    def __init__(
        self,
        view: View,
        shards: Shards,
        peers: Peers,
        clock: Clock,
        name: str,
        reporter: Reporter,
    ) -> None:
        self._reporter: Reporter = reporter
        self.tables = SlotTables(view, clock, reporter)
        self.tables.on_own_decision = self._take_own_decision
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._name: str = name
        self._numbers = itertools.count(1)
        self._waiters: dict[TicketId, _Waiter] = {}
        self._leases: dict[TicketId, SlotLease] = {}
        self._owner_paused_s: dict[str, float] = {}
        self._known_owners: dict[ServiceName, str | None] = {}
        self._listed: set[tuple[ServiceName, str]] = set()
        self._tasks: list[asyncio.Task] = []

    @property
    def held_count(self) -> int:
        """How many slots this daemon holds."""
        return len(self._leases)

    def start(self) -> None:
        """Start to refuse late tickets and to tell owners what is held."""
        self._tasks = [
            start_task("late tickets", self._tick_loop, self._reporter),
            start_task("list tickets", self._list_loop, self._reporter),
        ]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    def refresh(self) -> None:
        """Take in changes of endpoints and owners."""
        self.tables.refresh()
        lost = {s for s in self.tables.services() if not self._is_owned(s)}
        self.tables.drop_peers(lost)
        for service in list(self._known_owners):
            self._see_owner(service, self._owner(service))

    async def acquire(self, service: ServiceName, wanted: SlotRequest) -> SlotLease:
        """Wait for a slot; raise SlotUnavailableError when none comes in time."""
        ticket = Ticket(
            self._new_id(),
            wanted.work,
            wanted.due_s,
            wanted.latest_s,
            wanted.needs_s,
            wanted.prefix,
            self._avoidable(service, wanted.avoid),
            wanted.may_repeat,
        )
        owner = self._owner(service)
        self._see_owner(service, owner)
        if owner is not None:
            lease = await self._acquire_from(owner, service, ticket)
            if lease is not None:
                return lease
            # A late answer of the owner must not be taken for one of the own table.
            ticket = msgspec.structs.replace(ticket, id=self._new_id())
        lease = await self._acquire_from(None, service, ticket)
        if lease is None:
            raise SlotUnavailableError(0.0)
        return lease

    def release(self, lease: SlotLease) -> None:
        """Give a slot back."""
        self._leases.pop(lease.ticket.id, None)
        if lease.owner is None:
            self.tables.see_use(lease.endpoint, lease.outcome)
        self._give_back(lease.service, lease.ticket.id, lease.owner, lease.outcome)

    def handle(self, link: PeerConnection, message: Message) -> None:
        """Take in a message of an owner, or of a peer that takes this for one."""
        if isinstance(message, DECISIONS):
            self._take_decision(message)
        else:
            self.tables.handle(link, message)

    def _is_owned(self, service: ServiceName) -> bool:
        return shard_number(service, self._shards.count) in self._shards.owned

    def _owner(self, service: ServiceName) -> str | None:
        """Return the peer to ask; None for the own table."""
        owner = self._shards.owner(shard_number(service, self._shards.count))
        if owner == self._shards.address:
            return None
        if owner is None or self._owner_paused_s.get(owner, 0) > self._clock.now_s():
            return None
        return owner

    def _new_id(self) -> TicketId:
        return TicketId(f"{self._name}#{next(self._numbers)}")

    def _avoidable(
        self, service: ServiceName, failed: frozenset[str]
    ) -> frozenset[str]:
        """Add the ejected endpoints, unless nothing would be left to use."""
        listed = {e.id for e in self._view.endpoints.serving(service)}
        ejected = self._view.endpoints.ejected(service, self._clock.now_s())
        if listed - failed - ejected:
            return failed | ejected
        return failed if listed - failed else frozenset()

    async def _acquire_from(
        self, owner: str | None, service: ServiceName, ticket: Ticket
    ) -> SlotLease | None:
        """Get a slot from an owner or the own table; None when it is silent."""
        waiter = self._waiters[ticket.id] = _Waiter(service, owner)
        lease = None
        try:
            if owner is None:
                self.tables.request_slot(service, ticket)
                decision = await waiter.final
            else:
                decision = await self._ask_owner(service, ticket, owner, waiter)
            if isinstance(decision, Refused):
                raise SlotUnavailableError(decision.wait_s)
            if isinstance(decision, Granted):
                lease = self._lease(service, ticket, decision.endpoint, owner)
            return lease
        finally:
            self._waiters.pop(ticket.id, None)
            if lease is None:
                self._give_back(service, ticket.id, owner)

    async def _ask_owner(
        self, service: ServiceName, ticket: Ticket, owner: str, waiter: _Waiter
    ) -> Decision | None:
        """Ask the owner; None when it does not answer or its link ends."""
        now_s = self._clock.now_s()
        message = AskSlot(
            service,
            ticket.id,
            ticket.work,
            int((ticket.due_s - now_s) * SECONDS_TO_MS),
            int((ticket.latest_s - now_s) * SECONDS_TO_MS),
            int(ticket.needs_s * SECONDS_TO_MS),
            ticket.prefix,
            sorted(ticket.avoid),
            ticket.may_repeat,
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                link = await self._peers.connect(owner)
                link.send(message)
                await waiter.first
        except (TimeoutError, PeerUnavailableError):
            self._owner_paused_s[owner] = self._clock.now_s() + OWNER_PAUSE_S
            return None
        give_up = _give_up_on(waiter)
        link.on_close.append(give_up)
        try:
            return await waiter.final
        finally:
            if give_up in link.on_close:
                link.on_close.remove(give_up)

    def _lease(
        self,
        service: ServiceName,
        ticket: Ticket,
        endpoint: EndpointId,
        owner: str | None,
    ) -> SlotLease:
        lease = SlotLease(service, ticket, endpoint, owner)
        self._leases[ticket.id] = lease
        if owner is not None:
            self.tables.hold(service, ticket, endpoint)
        if owner != self._known_owners.get(service):
            self._move([lease], self._known_owners.get(service))
        return lease

    def _give_back(
        self,
        service: ServiceName,
        ticket_id: TicketId,
        owner: str | None,
        use: SlotOutcome = SlotOutcome.UNKNOWN,
    ) -> None:
        self.tables.release(service, ticket_id)
        if owner is not None:
            self._send(owner, ReleaseSlot(service, ticket_id, use))

    def _send(self, owner: str, message: Message) -> None:
        """Send if the link is open: an owner whose link ended has forgotten."""
        link = self._peers.find_connection(owner)
        if link is not None:
            link.send(message)

    def _take_own_decision(self, decision: Decision) -> None:
        waiter = self._waiters.get(decision.ticket)
        if isinstance(decision, Revoked):
            self._revoke(decision.ticket)
        elif waiter is not None and waiter.owner is None:
            waiter.decide(decision)

    def _take_decision(self, message: Message) -> None:
        ticket_id = TicketId(message.ticket)
        waiter = self._waiters.get(ticket_id)
        if isinstance(message, SlotRevoked):
            self._revoke(ticket_id)
        elif waiter is None:
            return
        elif isinstance(message, SlotQueued):
            if not waiter.first.done():
                waiter.first.set_result(None)
        elif isinstance(message, SlotGranted):
            waiter.decide(Granted(ticket_id, EndpointId(message.endpoint)))
        elif isinstance(message, SlotRefused):
            waiter.decide(Refused(ticket_id, message.wait_ms / SECONDS_TO_MS))

    def _revoke(self, ticket_id: TicketId) -> None:
        lease = self._leases.get(ticket_id)
        if lease is not None:
            lease.on_revoke()

    def _see_owner(self, service: ServiceName, owner: str | None) -> None:
        """Move what is held to another owner's table when the owner changes."""
        if service in self._known_owners and self._known_owners[service] == owner:
            return
        self._known_owners[service] = owner
        held = [lease for lease in self._leases.values() if lease.service == service]
        self._move(held, owner)

    def _move(self, held: list[SlotLease], owner: str | None) -> None:
        for lease in held:
            if lease.owner is not None and lease.owner != owner:
                self._send(lease.owner, ReleaseSlot(lease.service, lease.ticket.id))
                lease.owner = None
        if held and owner is not None:
            asyncio.ensure_future(self._tell_held(held, owner))

    async def _tell_held(self, held: list[SlotLease], owner: str) -> None:
        try:
            link = await self._peers.connect(owner)
        except PeerUnavailableError:
            # Peers reports the loss; the owner then learns of new tickets only.
            return
        now_s = self._clock.now_s()
        for lease in held:
            if lease.ticket.id not in self._leases:
                continue
            lease.owner = owner
            due_in_ms = int((lease.ticket.due_s - now_s) * SECONDS_TO_MS)
            link.send(
                HeldSlot(
                    lease.service,
                    lease.ticket.id,
                    lease.ticket.work,
                    lease.endpoint,
                    due_in_ms,
                    int(lease.ticket.needs_s * SECONDS_TO_MS),
                )
            )

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.tables.tick()

    async def _list_loop(self) -> None:
        """Tell owners which tickets are alive, so that lost releases heal."""
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            tickets: dict[tuple[ServiceName, str], list[str]] = {}
            for ticket_id, entry in (*self._leases.items(), *self._waiters.items()):
                if entry.owner is not None:
                    place = (entry.service, entry.owner)
                    tickets.setdefault(place, []).append(ticket_id)
            for place in self._listed - set(tickets):
                tickets[place] = []
            self._listed = {place for place, named in tickets.items() if named}
            for (service, owner), named in tickets.items():
                self._send(owner, TicketList(service, named))


def _give_up_on(waiter: _Waiter) -> Callable[[], None]:
    """Return what ends the wait for a decision when the owner's link ends."""
    return lambda: waiter.decide(None)
