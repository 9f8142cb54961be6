"""Converts tickets to messages between daemons and back.

Messages hold relative times, since the daemons' clocks differ.
"""

from ...ids import EndpointId
from ..catalog import ServiceName
from ..messages import AskSlot, HeldSlot
from .tickets import Ticket, TicketId

MS_PER_S = 1000
# Priorities of peers are limited to this magnitude: events and messages hold integers
# of 64 bits at most.
MAX_PRIORITY = 1_000_000


def ask_slot_message(service: ServiceName, ticket: Ticket, now_s: float) -> AskSlot:
    """Return the message that requests a slot for a ticket."""
    return AskSlot(
        service,
        ticket.id,
        ticket.work,
        _to_ms(ticket.due_s - now_s),
        _to_ms(ticket.slot_deadline_s - now_s),
        _to_ms(ticket.expected_duration_s),
        ticket.prefix,
        sorted(ticket.avoid),
        ticket.may_repeat,
        ticket.holds_slot,
        ticket.version,
        ticket.team,
        ticket.priority,
        ticket.weight,
        ticket.tokens,
        ticket.zone,
        sorted(ticket.regions),
        ticket.prefix_tokens,
    )


def requested_ticket(message: AskSlot, now_s: float) -> Ticket:
    """Return the ticket for which a peer requests a slot."""
    return Ticket(
        TicketId(message.ticket),
        message.work,
        now_s + message.due_in_ms / MS_PER_S,
        now_s + message.latest_in_ms / MS_PER_S,
        message.needs_ms / MS_PER_S,
        message.prefix,
        frozenset(message.avoid),
        message.may_repeat,
        message.holds_slot,
        message.version,
        message.team,
        _usable_priority(message.priority),
        message.weight,
        message.tokens,
        message.zone,
        frozenset(message.regions),
        message.prefix_tokens,
    )


def held_slot_message(
    service: ServiceName, ticket: Ticket, endpoint: EndpointId, now_s: float
) -> HeldSlot:
    """Return the message that reports a held slot to a new owner."""
    return HeldSlot(
        service,
        ticket.id,
        ticket.work,
        endpoint,
        _to_ms(ticket.due_s - now_s),
        _to_ms(ticket.expected_duration_s),
        ticket.team,
        ticket.tokens,
        ticket.priority,
        ticket.weight,
    )


def held_ticket(message: HeldSlot, now_s: float) -> Ticket:
    """Return the ticket whose slot a peer reports."""
    due_s = now_s + message.due_in_ms / MS_PER_S
    return Ticket(
        TicketId(message.ticket),
        message.work,
        due_s,
        due_s,
        message.needs_ms / MS_PER_S,
        team=message.team,
        priority=_usable_priority(message.priority),
        weight=message.weight,
        tokens=message.tokens,
    )


def _usable_priority(priority: int) -> int:
    return min(max(priority, -MAX_PRIORITY), MAX_PRIORITY)


def _to_ms(time_s: float) -> int:
    return int(time_s * MS_PER_S)
