"""Gets slots at endpoints: from the service's owner, or by this daemon's own table."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from ..clocks import Clock
from ..errors import ApricotquayError, PeerUnavailableError
from ..ids import EndpointId
from .catalog import ServiceName
from .dispatch import (
    Decision,
    Dispatcher,
    Granted,
    Refused,
    Revoked,
    Ticket,
    TicketId,
    Work,
)
from .messages import (
    AskSlot,
    HeldSlot,
    Message,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotRevoked,
)
from .peers import Link, Peers
from .shards import Shards, shard_number
from .view import View

# The owner answers within two network round trips unless it is in trouble.
ANSWER_TIMEOUT_S = 0.15
OWNER_PAUSE_S = 1.0
TICK_S = 0.05
DEFAULT_SLOTS = 8
SECONDS_TO_MS = 1000


class SlotUnavailableError(ApricotquayError):
    """No slot can be had in time; one may be free after `wait_s`."""

    def __init__(self, wait_s: float) -> None:
        super().__init__("no slot in time")
        self.wait_s: float = wait_s


class Lease(msgspec.Struct):
    """A slot that is held until it is released."""

    service: ServiceName
    ticket: Ticket
    endpoint: EndpointId
    owner: str | None
    on_revoke: Callable[[], None] = lambda: None


class _Waiter:
    """A ticket of this daemon that has no decision yet."""

    def __init__(self) -> None:
        self.first: asyncio.Future = asyncio.get_running_loop().create_future()
        self.final: asyncio.Future = asyncio.get_running_loop().create_future()

    def decide(self, decision: Decision) -> None:
        for future in (self.first, self.final):
            if not future.done():
                future.set_result(decision)


class Slots:
    """Used by the online path and the batch runner; answers peers as an owner."""

    def __init__(
        self, view: View, shards: Shards, peers: Peers, clock: Clock, name: str
    ) -> None:
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._name: str = name
        self._numbers = itertools.count(1)
        self._tables: dict[ServiceName, Dispatcher] = {}
        self._waiters: dict[TicketId, _Waiter] = {}
        self._leases: dict[TicketId, Lease] = {}
        self._remote: dict[TicketId, Link] = {}
        self._links: dict[Link, set[tuple[ServiceName, TicketId]]] = {}
        self._owner_paused_s: dict[str, float] = {}
        self._told_owner: dict[ServiceName, str | None] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to refuse tickets whose time is up."""
        self._task = asyncio.create_task(self._tick())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def refresh(self) -> None:
        """Take in changes of endpoints and owners."""
        for service, table in self._tables.items():
            decisions = table.set_endpoints(self._counts(service), self._clock.now_s())
            self._carry_out(decisions)
        for service, known in list(self._told_owner.items()):
            owner = self._owner(service)
            if owner != known:
                self._told_owner[service] = owner
                self._tell_held(service, owner)

    async def acquire(
        self,
        service: ServiceName,
        work: Work,
        due_s: float,
        latest_s: float,
        prefix: str,
        avoid: frozenset[str],
    ) -> Lease:
        """Wait for a slot; raise SlotUnavailableError when none comes in time."""
        avoid = self._avoidable(service, avoid)
        ticket = Ticket(self._new_id(), work, due_s, latest_s, prefix, avoid)
        owner = self._owner(service)
        self._told_owner[service] = owner
        if owner is not None and owner != self._shards.address:
            lease = await self._acquire_from(owner, service, ticket)
            if lease is not None:
                return lease
            # A late answer of the owner must not be taken for one of the own table.
            ticket = msgspec.structs.replace(ticket, id=self._new_id())
        lease = await self._acquire_from(None, service, ticket)
        if lease is None:
            raise SlotUnavailableError(0.0)
        return lease

    async def _acquire_from(
        self, owner: str | None, service: ServiceName, ticket: Ticket
    ) -> Lease | None:
        """Get a slot from an owner or the own table; None when it is silent."""
        waiter = self._waiters[ticket.id] = _Waiter()
        lease = None
        try:
            if owner is None:
                decision = await self._ask_here(service, ticket, waiter)
            else:
                decision = await self._ask_owner(service, ticket, owner, waiter)
            if isinstance(decision, Granted):
                lease = self._lease(service, ticket, decision.endpoint, owner)
            elif isinstance(decision, Refused):
                raise SlotUnavailableError(decision.wait_s)
            return lease
        finally:
            self._waiters.pop(ticket.id, None)
            if lease is None:
                self._give_back(service, ticket.id, owner)

    def release(self, lease: Lease) -> None:
        """Give a slot back."""
        self._leases.pop(lease.ticket.id, None)
        self._give_back(lease.service, lease.ticket.id, lease.owner)

    def handle(self, link: Link, message: Message) -> None:
        """Take in a message of an owner, or of a peer that takes this for one."""
        if isinstance(message, AskSlot):
            self._answer_ask(link, message)
        elif isinstance(message, ReleaseSlot):
            self._remote.pop(TicketId(message.ticket), None)
            self._links.get(link, set()).discard((message.service, message.ticket))
            self._release_here(message.service, TicketId(message.ticket))
        elif isinstance(message, HeldSlot):
            self._take_held(link, message)
        else:
            self._take_decision(message)

    def _new_id(self) -> TicketId:
        return TicketId(f"{self._name}#{next(self._numbers)}")

    def _owner(self, service: ServiceName) -> str | None:
        owner = self._shards.owner(shard_number(service, self._shards.count))
        if owner is None or self._owner_paused_s.get(owner, 0) > self._clock.now_s():
            return None
        return owner

    def _avoidable(
        self, service: ServiceName, failed: frozenset[str]
    ) -> frozenset[str]:
        """Add the ejected endpoints, unless nothing would be left to use."""
        listed = {e.id for e in self._view.endpoints.serving(service)}
        ejected = self._view.endpoints.ejected(service, self._clock.now_s())
        if listed - failed - ejected:
            return failed | ejected
        return failed if listed - failed else frozenset()

    async def _ask_owner(
        self, service: ServiceName, ticket: Ticket, owner: str, waiter: _Waiter
    ) -> Decision | None:
        """Ask the owner; None when it does not answer."""
        now_s = self._clock.now_s()
        message = AskSlot(
            service,
            ticket.id,
            ticket.work,
            int((ticket.due_s - now_s) * SECONDS_TO_MS),
            int((ticket.latest_s - now_s) * SECONDS_TO_MS),
            ticket.prefix,
            sorted(ticket.avoid),
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                link = await self._peers.link(owner)
                link.send(message)
                await waiter.first
        except (TimeoutError, PeerUnavailableError):
            self._owner_paused_s[owner] = self._clock.now_s() + OWNER_PAUSE_S
            return None

        def give_up() -> None:
            if not waiter.final.done():
                waiter.final.set_result(None)

        link.on_close.append(give_up)
        try:
            return await waiter.final
        finally:
            if give_up in link.on_close:
                link.on_close.remove(give_up)

    async def _ask_here(
        self, service: ServiceName, ticket: Ticket, waiter: _Waiter
    ) -> Decision | None:
        self._carry_out(self._table(service).ask(ticket, self._clock.now_s()))
        return await waiter.final

    def _lease(
        self,
        service: ServiceName,
        ticket: Ticket,
        endpoint: EndpointId,
        owner: str | None,
    ) -> Lease:
        lease = Lease(service, ticket, endpoint, owner)
        self._leases[ticket.id] = lease
        if owner is not None:
            self._table(service).hold(ticket, endpoint, self._clock.now_s())
        return lease

    def _give_back(
        self, service: ServiceName, ticket_id: TicketId, owner: str | None
    ) -> None:
        self._release_here(service, ticket_id)
        if owner is not None:
            self._send_release(owner, service, ticket_id)

    def _release_here(self, service: ServiceName, ticket_id: TicketId) -> None:
        now_s = self._clock.now_s()
        self._carry_out(self._table(service).release(ticket_id, now_s))

    def _send_release(
        self, owner: str, service: ServiceName, ticket_id: TicketId
    ) -> None:
        link = self._peers.open_link(owner)
        if link is not None:
            link.send(ReleaseSlot(service, ticket_id))

    def _table(self, service: ServiceName) -> Dispatcher:
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = Dispatcher()
            table.set_endpoints(self._counts(service), self._clock.now_s())
        return table

    def _counts(self, service: ServiceName) -> dict[EndpointId, int]:
        configuration = self._view.configuration
        known = configuration.services.get(service) if configuration else None
        default = known.slots if known and known.slots else DEFAULT_SLOTS
        return {
            entry.id: entry.slots or default
            for entry in self._view.endpoints.serving(service)
        }

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            waiter = self._waiters.get(decision.ticket)
            link = self._remote.get(decision.ticket)
            if link is not None:
                link.send(_as_message(decision))
            elif isinstance(decision, Revoked):
                self._revoke(decision.ticket)
            elif waiter is not None:
                waiter.decide(decision)

    def _revoke(self, ticket_id: TicketId) -> None:
        lease = self._leases.get(ticket_id)
        if lease is not None:
            lease.on_revoke()

    def _take_decision(self, message: Message) -> None:
        if isinstance(message, SlotRevoked):
            self._revoke(TicketId(message.ticket))
            return
        waiter = self._waiters.get(TicketId(message.ticket))
        if waiter is None:
            return
        if isinstance(message, SlotQueued):
            if not waiter.first.done():
                waiter.first.set_result(None)
        elif isinstance(message, SlotGranted):
            ticket = TicketId(message.ticket)
            waiter.decide(Granted(ticket, EndpointId(message.endpoint)))
        elif isinstance(message, SlotRefused):
            wait_s = message.wait_ms / SECONDS_TO_MS
            waiter.decide(Refused(TicketId(message.ticket), wait_s))

    def _answer_ask(self, link: Link, message: AskSlot) -> None:
        now_s = self._clock.now_s()
        ticket = Ticket(
            TicketId(message.ticket),
            message.work,
            now_s + message.due_in_ms / SECONDS_TO_MS,
            now_s + message.latest_in_ms / SECONDS_TO_MS,
            message.prefix,
            frozenset(message.avoid),
        )
        self._remember(link, message.service, ticket.id)
        decisions = self._table(message.service).ask(ticket, now_s)
        self._carry_out(decisions)
        if all(d.ticket != ticket.id for d in decisions):
            link.send(SlotQueued(ticket.id))

    def _take_held(self, link: Link, message: HeldSlot) -> None:
        now_s = self._clock.now_s()
        due_s = now_s + message.due_in_ms / SECONDS_TO_MS
        ticket = Ticket(TicketId(message.ticket), message.work, due_s, due_s)
        self._remember(link, message.service, ticket.id)
        endpoint = EndpointId(message.endpoint)
        self._table(message.service).hold(ticket, endpoint, now_s)

    def _remember(self, link: Link, service: ServiceName, ticket: TicketId) -> None:
        self._remote[ticket] = link
        if link not in self._links:
            self._links[link] = set()
            link.on_close.append(lambda: self._forget(link))
        self._links[link].add((service, ticket))

    def _forget(self, link: Link) -> None:
        """A peer's link ended: what it held or waited for is free again."""
        for service, ticket in self._links.pop(link, set()):
            self._remote.pop(ticket, None)
            self._release_here(service, ticket)

    def _tell_held(self, service: ServiceName, owner: str | None) -> None:
        if owner is None or owner == self._shards.address:
            return
        held = [x for x in self._leases.values() if x.service == service]
        if held:
            asyncio.ensure_future(self._send_held(held, owner))

    async def _send_held(self, held: list[Lease], owner: str) -> None:
        try:
            link = await self._peers.link(owner)
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
                )
            )

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for table in self._tables.values():
                if table.waiting_count:
                    self._carry_out(table.tick(self._clock.now_s()))


def _as_message(decision: Decision) -> Message:
    if isinstance(decision, Granted):
        return SlotGranted(decision.ticket, decision.endpoint)
    if isinstance(decision, Refused):
        return SlotRefused(decision.ticket, int(decision.wait_s * SECONDS_TO_MS))
    return SlotRevoked(decision.ticket)
