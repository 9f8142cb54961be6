"""Chooses the batch items that give up their slots to online requests. Pure.

An online request without a free slot preempts a batch item: a late item first, then
the one with the most slack.
"""

import collections
from collections.abc import Iterable, Iterator

from .endpointslots import EndpointProfile, EndpointSlots
from .tickets import Ticket, TicketId, Work

# The version and the regions that an online ticket needs; empty for any.
Wanted = tuple[str, frozenset[str]]


def revocable(
    slots_of_all: Iterable[EndpointSlots], revoked: set[TicketId], now_s: float
) -> Iterator[tuple[Ticket, EndpointSlots]]:
    """Yield the batch items whose slots an online request could use."""
    for slots in slots_of_all:
        if not slots.is_open or slots.is_held_back(now_s):
            continue
        if not slots.may_send(now_s):
            continue
        for ticket in slots.running.values():
            if ticket.work is Work.BATCH and ticket.id not in revoked:
                yield ticket, slots


def choose_revocations(
    wanted: collections.Counter[Wanted],
    candidates: Iterable[tuple[Ticket, EndpointSlots]],
    missing: int,
    now_s: float,
) -> Iterator[TicketId]:
    """Yield the items to revoke: at most `missing`, and for each version and regions
    that online tickets need as many as `wanted` counts; empty ones stand for any.
    """
    wanted = wanted.copy()
    left = sorted(
        (
            (_revocation_key(ticket, slots, now_s), ticket.id, slots.profile)
            for ticket, slots in candidates
        ),
        key=lambda item: item[:2],
    )
    chosen: set[TicketId] = set()
    # Tickets that need a version come first: fewer items are of use to them.
    for need in sorted(wanted, key=_strictness, reverse=True):
        for _, ticket_id, profile in left:
            if missing <= 0 or wanted[need] <= 0:
                break
            if ticket_id in chosen or not _fits(need, profile):
                continue
            missing -= 1
            wanted[need] -= 1
            chosen.add(ticket_id)
            yield ticket_id


def _strictness(need: Wanted) -> tuple[str, list[str]]:
    version, regions = need
    return version, sorted(regions)


def _fits(need: Wanted, profile: EndpointProfile) -> bool:
    version, regions = need
    if version not in ("", profile.version):
        return False
    return not regions or profile.region in regions


def _revocation_key(ticket: Ticket, slots: EndpointSlots, now_s: float) -> float:
    """Return the sort key for revocation, lowest first: the negated slack, or minus
    infinity for an item that is already late.
    """
    ran_s = now_s - slots.granted_s[ticket.id]
    remaining_s = max(0.0, ticket.expected_duration_s - ran_s)
    slack_s = ticket.due_s - now_s - remaining_s
    return float("-inf") if slack_s < 0 else -slack_s
