"""Acquires slots at endpoints, from the service's owner or from the local table."""

import asyncio
import contextlib
import itertools
import weakref
from collections.abc import Callable
from functools import partial

from ...clocks import Clock
from ...errors import PeerUnavailableError
from ...events import Event
from ...ids import EndpointId
from ..catalog import ServiceName
from ..endpoints import LeavingNotice
from ..engine import EndpointLimit, found_path_failure
from ..fleet.peers import PeerConnection, Peers
from ..fleet.shards import Shards, shard_number
from ..fleet.view import View
from ..messages import (
    LeavingList,
    LimitSeen,
    Message,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotRevoked,
    TicketList,
    TicketsKnown,
)
from ..reporting import Reporter
from ..tasks import start_task
from .coldlimits import MAX_GRANT_AGE_S
from .eligibility import Ineligible
from .exclusions import Exclusions
from .outliers import SlotOutcome
from .slotleases import LEASE_S
from .slotowner import SlotTables
from .slotrequests import (
    SlotLease,
    SlotRequest,
    SlotUnavailableError,
    TicketOutdatedError,
    Waiter,
)
from .slotuse import UseReport
from .ticketmessages import MS_PER_S, ask_slot_message, held_slot_message
from .tickets import Decision, Granted, Refused, Revoked, Ticket, TicketId

# The owner answers within two network round trips unless it is overloaded or gone.
OWNER_ANSWER_TIMEOUT_S = 0.15
# An owner that did not answer in time is not asked again for this long.
OWNER_RETRY_DELAY_S = 1.0
# How often an owner whose connection closes is asked before the local table decides.
MAX_OWNER_ASKS = 3
# As long as the owner's lease on the tickets.
LIST_ANSWER_TIMEOUT_S = LEASE_S
TICK_INTERVAL_S = 0.05
LIST_INTERVAL_S = 1.0

DECISION_MESSAGES = (SlotQueued, SlotGranted, SlotRefused, SlotRevoked)


class SlotAllocator:
    """Acquires and releases slots for this daemon's requests.

    Used by `OnlineRequestHandler` and `BatchRunner`.
    """

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
        self.tables.on_local_decision = self._handle_local_decision
        self.tables.is_owned = self._is_owned
        self.tables.is_confirmed = lambda: shards.is_confirmed
        self._exclusions = Exclusions(
            view.endpoints, lambda endpoint: self.tables.is_cold(endpoint), clock
        )
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._daemon_name: str = name
        self._ticket_numbers = itertools.count(1)
        self._waiters: dict[TicketId, Waiter] = {}
        self._leases: dict[TicketId, SlotLease] = {}
        self._retry_owner_at_s: dict[str, float] = {}
        self._last_owners: dict[ServiceName, str | None] = {}
        self._listed_keys: set[tuple[ServiceName, str]] = set()
        self._introduced: weakref.WeakSet[PeerConnection] = weakref.WeakSet()
        # Grants of owners that did not count for cold endpoints.
        self.unused_grant_count: int = 0
        # Tickets that excluded an endpoint which could be used again.
        self.replaced_count: int = 0
        self._tasks: list[asyncio.Task] = []

    @property
    def held_count(self) -> int:
        """Number of slots that this daemon holds."""
        return len(self._leases)

    def start(self) -> None:
        """Start to refuse late tickets and to list live tickets to owners."""
        self._tasks = [
            start_task("late tickets", self._tick_loop, self._reporter),
            start_task("list tickets", self._list_loop, self._reporter),
        ]

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    def refresh(self) -> None:
        """Apply changes of endpoints and owners."""
        self.tables.refresh()
        self._refuse_without_endpoints()
        self._end_outdated_waits()
        lost = {s for s in self.tables.services() if not self._is_owned(s)}
        self.tables.release_peer_tickets(lost)
        for service in list(self._last_owners):
            self._update_owner(service, self._owner(service))
        self._leave_former_owners()

    def _refuse_without_endpoints(self) -> None:
        """Refuse the waiting tickets of services whose endpoints have all left."""
        for ticket_id, waiter in self._waiters.items():
            serving = self._view.endpoints.serving
            if not any(serving(waiter.service, regions=waiter.regions)):
                waiter.resolve(Refused(ticket_id, 0.0))

    def _leave_former_owners(self) -> None:
        """End the waits for decisions of daemons that are no longer the owner."""
        for waiter in self._waiters.values():
            number = shard_number(waiter.service, self._shards.count)
            owner = self._shards.owner(number)
            if waiter.owner is not None and owner not in (None, waiter.owner):
                waiter.resolve(None)

    def _end_outdated_waits(self) -> None:
        """End the waits of tickets that exclude an endpoint which could be used now."""
        # Most tickets of a service exclude the same endpoints.
        checked: dict[tuple, bool] = {}
        for waiter in self._waiters.values():
            if waiter.request is None or not waiter.excluded:
                continue
            request = waiter.request
            key = (
                waiter.service,
                request.version,
                request.regions,
                request.avoid,
                waiter.unusable,
                waiter.excluded,
            )
            if key not in checked:
                checked[key] = self._exclusions.are_outdated(
                    waiter.service, request, waiter.unusable, waiter.excluded
                )
            if checked[key] and waiter.mark_outdated():
                self.replaced_count += 1

    async def acquire(self, service: ServiceName, request: SlotRequest) -> SlotLease:
        """Wait for a slot; raise SlotUnavailableError when none comes in time."""
        unusable: set[EndpointId] = set()
        asked_count = 0
        while True:
            owner = self._owner(service)
            self._update_owner(service, owner)
            is_late = self._clock.now_s() > request.slot_deadline_s
            if asked_count >= MAX_OWNER_ASKS or (asked_count and is_late):
                owner = None
            try:
                lease = await self._acquire_from(owner, service, request, unusable)
            except TicketOutdatedError:
                continue
            if lease is not None:
                return lease
            if owner is None:
                raise SlotUnavailableError(0.0)
            asked_count += 1

    def release(self, lease: SlotLease) -> None:
        """Release a slot, once it is known whether its endpoint failed."""
        check = lease.path_check
        if check is not None and not check.done():
            check.add_done_callback(lambda _: self.release(lease))
            return
        if check is not None and found_path_failure(check):
            lease.outcome = SlotOutcome.UNKNOWN
        self._leases.pop(lease.ticket.id, None)
        if lease.owner is None:
            self.tables.record_outcome(lease.endpoint, lease.outcome)
        measurements = lease.use.report(self._clock.now_s())
        self.tables.record_use(lease.service, lease.endpoint, measurements)
        self._release_ticket(
            lease.service, lease.ticket.id, lease.owner, lease.outcome, measurements
        )

    def _record_use(self, lease: SlotLease) -> None:
        """Record a load that was stated now, for choices without an owner."""
        measurements = lease.use.report(self._clock.now_s(), is_released=False)
        self.tables.record_use(lease.service, lease.endpoint, measurements)

    def record_limit(self, lease: SlotLease, limit: EndpointLimit) -> None:
        """Record what the answer to the request in a slot says of its endpoint's
        limit, and tell the owner.
        """
        granted_s = lease.granted_s
        if not self.tables.record_limit(lease.endpoint, limit, granted_s):
            return
        endpoint = self._view.endpoints.get(lease.endpoint)
        # A new owner learns of an older slot as if it had just been granted.
        has_moved = lease.owner != lease.granted_by
        if endpoint is None or lease.owner is None:
            return
        if limit.rate_per_s is None and has_moved:
            return
        report = LimitSeen(
            lease.service,
            lease.ticket.id,
            endpoint.id,
            endpoint.started_ms,
            limit.rate_per_s,
        )
        self._send_if_connected(lease.owner, report)

    def tell_leaving(self, notices: list[LeavingNotice], is_answer: bool) -> None:
        """Tell peers which endpoints leave: those that ask this daemon for slots, and
        the owners if an answer to this daemon said so.
        """
        self.tables.tell_leaving(notices)
        if not is_answer:
            return
        found = (self._view.endpoints.get(notice.endpoint) for notice in notices)
        owners = {self._owner(endpoint.service) for endpoint in found if endpoint}
        for owner in owners - {None}:
            self._send_if_connected(owner, LeavingList(notices))

    def handle_message(
        self, connection: PeerConnection, message: Message
    ) -> Message | None:
        """Handle a message of an owner, or of a peer that considers this the owner."""
        if isinstance(message, DECISION_MESSAGES):
            self._handle_decision(message)
            return None
        return self.tables.handle_message(connection, message)

    def _is_owned(self, service: ServiceName) -> bool:
        return shard_number(service, self._shards.count) in self._shards.owned

    def _owner(self, service: ServiceName) -> str | None:
        """Return the peer to ask; None for the local table."""
        owner = self._shards.owner(shard_number(service, self._shards.count))
        if owner == self._shards.address:
            return None
        if owner is None or self._retry_owner_at_s.get(owner, 0) > self._clock.now_s():
            return None
        return owner

    def _new_id(self) -> TicketId:
        return TicketId(f"{self._daemon_name}#{next(self._ticket_numbers)}")

    def _new_ticket(
        self,
        service: ServiceName,
        request: SlotRequest,
        excluded: frozenset[EndpointId],
    ) -> Ticket:
        """Return a ticket with an id of its own: a late answer of an owner must not be
        mistaken for another decision.
        """
        return Ticket(
            self._new_id(),
            request.work,
            request.due_s,
            request.slot_deadline_s,
            request.expected_duration_s,
            request.prefix,
            excluded,
            request.may_repeat,
            request.holds_slot,
            request.version,
            request.team,
            request.priority,
            request.weight,
            request.tokens,
            request.zone,
            request.regions,
            request.prefix_tokens,
        )

    async def _acquire_from(
        self,
        owner: str | None,
        service: ServiceName,
        request: SlotRequest,
        unusable: set[EndpointId],
    ) -> SlotLease | None:
        """Get a slot from an owner or the local table; None if the owner is silent or
        its grant does not count, whose endpoint is added to `unusable` then. Raises
        TicketOutdatedError if the wait ends for another ticket.
        """
        excluded = self._exclusions.find(service, request, unusable)
        ticket = self._new_ticket(service, request, excluded)
        waiter = Waiter(service, owner, request, frozenset(unusable), excluded)
        self._waiters[ticket.id] = waiter
        lease = None
        try:
            if owner is None:
                self.tables.request_slot(service, ticket)
                decision = await waiter.decision
            else:
                decision = await self._ask_owner(service, ticket, owner, waiter)
            if waiter.is_outdated:
                raise TicketOutdatedError
            if isinstance(decision, Refused):
                raise SlotUnavailableError(decision.wait_s)
            if isinstance(decision, Granted):
                if self._may_use(decision, waiter):
                    lease = self._add_lease(service, ticket, decision.endpoint, waiter)
                else:
                    unusable.add(decision.endpoint)
            return lease
        finally:
            self._waiters.pop(ticket.id, None)
            if lease is None:
                self._release_ticket(service, ticket.id, owner)

    def _may_use(self, granted: Granted, waiter: Waiter) -> bool:
        """Whether a grant counts now: a cold endpoint gets only what its owner counted
        as sent to a cold one a moment ago. The local table counts by itself.
        """
        if waiter.owner is None or not self.tables.is_cold(granted.endpoint):
            return True
        age_s = self._clock.now_s() - waiter.asked_s - waiter.grant_waited_s
        if waiter.grant_is_cold and age_s <= MAX_GRANT_AGE_S:
            return True
        self.unused_grant_count += 1
        self._reporter.write_limited(
            Event.GRANT_NOT_USED,
            endpoint=granted.endpoint,
            reason=Ineligible.COLD.value,
            owner=waiter.owner,
            age_ms=int(age_s * MS_PER_S),
        )
        return False

    async def _ask_owner(
        self, service: ServiceName, ticket: Ticket, owner: str, waiter: Waiter
    ) -> Decision | None:
        """Request a slot; None if the owner does not answer or disconnects."""
        now_s = self._clock.now_s()
        message = ask_slot_message(service, ticket, now_s)
        try:
            async with asyncio.timeout(OWNER_ANSWER_TIMEOUT_S):
                connection = await self._peers.connect(owner)
                self._introduce(connection)
                waiter.connection = connection
                waiter.asked_s = self._clock.now_s()
                connection.send(message)
                await waiter.first_reply
        except (TimeoutError, PeerUnavailableError):
            # A busy loop handles the answer and the timeout in one round.
            if not _has_result(waiter.first_reply):
                retry_at_s = self._clock.now_s() + OWNER_RETRY_DELAY_S
                self._retry_owner_at_s[owner] = retry_at_s
                return None
        return await self._wait_for_decision(connection, ticket, waiter)

    def _introduce(self, connection: PeerConnection) -> None:
        """Tell an owner at first which endpoints have limits or leave: it may have
        started just now.
        """
        if connection in self._introduced:
            return
        self._introduced.add(connection)
        leaving = self._view.endpoints.leaving_notices()
        if leaving:
            connection.send(LeavingList(leaving))
        if self.tables.limited_count:
            connection.send(self.tables.limit_list())

    async def _wait_for_decision(
        self, connection: PeerConnection, ticket: Ticket, waiter: Waiter
    ) -> Decision | None:
        """Wait for the owner's decision on a queued ticket; None if none will come."""
        end_wait = _end_wait_of(waiter)
        connection.on_close.append(end_wait)
        if not connection.is_open:
            # It closed before `end_wait` was added, which is then never called.
            end_wait()
        remaining_s = max(0.0, ticket.slot_deadline_s - self._clock.now_s())
        try:
            async with asyncio.timeout(remaining_s + OWNER_ANSWER_TIMEOUT_S):
                return await waiter.decision
        except TimeoutError:
            # The owner refuses late tickets itself unless it is overloaded or hangs.
            return waiter.decision.result() if _has_result(waiter.decision) else None
        finally:
            if end_wait in connection.on_close:
                connection.on_close.remove(end_wait)

    def _add_lease(
        self,
        service: ServiceName,
        ticket: Ticket,
        endpoint: EndpointId,
        waiter: Waiter,
    ) -> SlotLease:
        owner = waiter.owner
        lease = SlotLease(
            service,
            ticket,
            endpoint,
            owner,
            granted_by=owner,
            known_over=waiter.connection,
            granted_s=self._clock.now_s(),
        )
        self._leases[ticket.id] = lease
        lease.use.on_load = partial(self._record_use, lease)
        if owner is not None:
            self.tables.record_grant(service, ticket, endpoint)
        if owner != self._last_owners.get(service):
            self._reassign([lease], self._last_owners.get(service))
        return lease

    def _release_ticket(
        self,
        service: ServiceName,
        ticket_id: TicketId,
        owner: str | None,
        outcome: SlotOutcome = SlotOutcome.UNKNOWN,
        measurements: UseReport | None = None,
    ) -> None:
        self.tables.release(service, ticket_id)
        if owner is not None:
            message = ReleaseSlot(service, ticket_id, outcome, measurements)
            self._send_if_connected(owner, message)

    def _send_if_connected(self, owner: str, message: Message) -> None:
        """Send if connected; an owner releases tickets of closed connections."""
        connection = self._peers.find_connection(owner)
        if connection is not None:
            connection.send(message)

    def _handle_local_decision(self, decision: Decision) -> None:
        waiter = self._waiters.get(decision.ticket)
        if isinstance(decision, Revoked):
            self._handle_revocation(decision.ticket)
        elif waiter is not None and waiter.owner is None:
            waiter.resolve(decision)

    def _handle_decision(self, message: Message) -> None:
        ticket_id = TicketId(message.ticket)
        waiter = self._waiters.get(ticket_id)
        if isinstance(message, SlotRevoked):
            self._handle_revocation(ticket_id)
        elif waiter is None:
            return
        elif isinstance(message, SlotQueued):
            if not waiter.first_reply.done():
                waiter.first_reply.set_result(None)
        elif isinstance(message, SlotGranted):
            waiter.grant_is_cold = message.is_cold
            waiter.grant_waited_s = message.waited_ms / MS_PER_S
            waiter.resolve(Granted(ticket_id, EndpointId(message.endpoint)))
        elif isinstance(message, SlotRefused):
            waiter.resolve(Refused(ticket_id, message.wait_ms / MS_PER_S))

    def _handle_revocation(self, ticket_id: TicketId) -> None:
        lease = self._leases.get(ticket_id)
        if lease is not None:
            lease.on_revoke()

    def _update_owner(self, service: ServiceName, owner: str | None) -> None:
        """When the owner changes, move the leases to the new owner's table."""
        if service in self._last_owners and self._last_owners[service] == owner:
            return
        self._last_owners[service] = owner
        held = [lease for lease in self._leases.values() if lease.service == service]
        self._reassign(held, owner)

    def _reassign(self, held: list[SlotLease], owner: str | None) -> None:
        for lease in held:
            if lease.owner is not None and lease.owner != owner:
                self._send_if_connected(
                    lease.owner, ReleaseSlot(lease.service, lease.ticket.id)
                )
                lease.owner = None
        if held and owner is not None:
            asyncio.ensure_future(self._report_held(held, owner))

    async def _report_held(self, held: list[SlotLease], owner: str) -> None:
        try:
            connection = await self._peers.connect(owner)
        except PeerUnavailableError:
            # Peers logs the failure; the owner then learns of new tickets only.
            return
        now_s = self._clock.now_s()
        for lease in held:
            is_known = lease.owner == owner and lease.known_over is connection
            if is_known or lease.ticket.id not in self._leases:
                continue
            lease.owner = owner
            lease.known_over = connection
            connection.send(
                held_slot_message(lease.service, lease.ticket, lease.endpoint, now_s)
            )

    async def _tick_loop(self) -> None:
        while True:
            await self.tables.needs_tick.wait()
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tables.tick()

    async def _list_loop(self) -> None:
        """List live tickets to owners, which release those whose release was lost, and
        release the tickets of peers that list theirs no more. Ejections end by time.
        """
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            self._end_outdated_waits()
            self._report_unknown()
            self._list_tickets()
            self.tables.expire_silent_peers()

    def _report_unknown(self) -> None:
        """Report the slots that their owner does not know, since it was silent or the
        connection over which it learned of them has closed.
        """
        for service in {lease.service for lease in self._leases.values()}:
            self._update_owner(service, self._owner(service))
        unknown: dict[str, list[SlotLease]] = {}
        for lease in self._leases.values():
            owner = self._last_owners.get(lease.service)
            connection = lease.known_over
            is_known = connection is not None and connection.is_open
            if owner is not None and not (lease.owner == owner and is_known):
                unknown.setdefault(owner, []).append(lease)
        for owner, leases in unknown.items():
            asyncio.ensure_future(self._report_held(leases, owner))

    def _list_tickets(self) -> None:
        tickets: dict[tuple[ServiceName, str], list[str]] = {}
        asked = {t: w for t, w in self._waiters.items() if w.connection is not None}
        for ticket_id, entry in (*self._leases.items(), *asked.items()):
            if entry.owner is not None:
                key = (entry.service, entry.owner)
                tickets.setdefault(key, []).append(ticket_id)
        for key in self._listed_keys - set(tickets):
            tickets[key] = []
        self._listed_keys = {key for key, ticket_ids in tickets.items() if ticket_ids}
        for (service, owner), ticket_ids in tickets.items():
            connection = self._peers.find_connection(owner)
            if connection is not None:
                message = TicketList(service, ticket_ids)
                asyncio.ensure_future(self._renew_leases(connection, message))

    async def _renew_leases(
        self, connection: PeerConnection, message: TicketList
    ) -> None:
        """List tickets to their owner. The connection closes if the owner is silent,
        and what it does not know is reported or requested again.
        """
        with contextlib.suppress(PeerUnavailableError):
            reply = await connection.call(message, LIST_ANSWER_TIMEOUT_S)
            if isinstance(reply, TicketsKnown):
                self._forget_unknown([TicketId(t) for t in reply.unknown])

    def _forget_unknown(self, unknown: list[TicketId]) -> None:
        for ticket_id in unknown:
            if ticket_id in self._leases:
                self._leases[ticket_id].known_over = None
            if ticket_id in self._waiters:
                self._waiters[ticket_id].resolve(None)


def _has_result(future: asyncio.Future) -> bool:
    return future.done() and not future.cancelled()


def _end_wait_of(waiter: Waiter) -> Callable[[], None]:
    """Return a callback that ends the wait when the owner's connection closes."""
    return lambda: waiter.resolve(None)
