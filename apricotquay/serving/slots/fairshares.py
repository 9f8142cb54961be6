"""Fair shares of slot time between teams, by weight. Pure.

Absorbs a team that sends several times its usual rate while slots are short: the
others get their slots as before.
"""

import collections
from collections.abc import Callable, Iterator
from functools import partial

import msgspec

from ...ids import TeamId
from .teamaccounts import PriorityClass, usable_weight
from .tickets import Ticket, TicketId, Work

# What a release may correct a team's share by, in slot time. Clients wait about as
# long, so that a long stream does not keep its team out for longer.
MAX_CORRECTION_S = 5.0


class _Charge(msgspec.Struct, frozen=True):
    """What the grant of a ticket's slot added to its team's account."""

    ticket: Ticket
    cost_s: float


class FairShares:
    """How much slot time each team has used, relative to its weight.

    Used by `WaitingLine` for the order between teams and by `Dispatcher`, which
    reports grants and releases.
    """

    def __init__(self) -> None:
        self._classes: dict[tuple[Work, int], PriorityClass] = {}
        self._charges: dict[TicketId, _Charge] = {}
        # Expected slot time of the slots that a team holds, whatever their priority.
        self._held_s: dict[Work, collections.Counter[TeamId]] = {
            work: collections.Counter() for work in Work
        }

    def team_count(self) -> int:
        """Return how many accounts are kept, to check that their number is bounded."""
        return sum(len(c.accounts) for c in self._classes.values())

    def add_waiting(self, ticket: Ticket) -> None:
        """Record that a ticket waits."""
        priority_class = self._class_of(ticket)
        account = priority_class.account(ticket)
        priority_class.set_weight(account, usable_weight(ticket.weight))
        if not account.queued:
            account.tag = priority_class.start(account)
        priority_class.change_waiting(account, ticket, 1)

    def remove_waiting(self, ticket: Ticket) -> None:
        """Record that a ticket waits no longer."""
        priority_class = self._class_of(ticket)
        priority_class.change_waiting(priority_class.account(ticket), ticket, -1)
        self._forget(ticket)

    def grant(self, ticket: Ticket, cost_s: float) -> None:
        """Charge a ticket's team for a slot, with the slot time that it may use."""
        priority_class = self._class_of(ticket)
        account = priority_class.account(ticket)
        held_s = self._held_s[ticket.work]
        priority_class.cost_s = cost_s
        if account.is_charged:
            start = priority_class.start(account)
            priority_class.advance(account, held_s[ticket.share_team])
            account.tag = start + cost_s / account.weight
        priority_class.change_held(account, 1)
        self._charges[ticket.id] = _Charge(ticket, cost_s)
        held_s[ticket.share_team] += cost_s
        priority_class.forget_idle()

    def release(self, ticket_id: TicketId, held_s: float) -> None:
        """Correct a ticket's charge to the slot time that it used."""
        charge = self._charges.pop(ticket_id, None)
        if charge is None:
            return
        ticket = charge.ticket
        priority_class = self._class_of(ticket)
        account = priority_class.account(ticket)
        excess_s = min(held_s - charge.cost_s, MAX_CORRECTION_S)
        if account.is_charged:
            account.tag += excess_s / account.weight
        priority_class.change_held(account, -1)
        held_of_teams_s = self._held_s[ticket.work]
        held_of_teams_s[ticket.share_team] -= charge.cost_s
        if not self._holds_slots(ticket.work, ticket.share_team):
            del held_of_teams_s[ticket.share_team]
        self._forget(ticket)

    def order_keys(self, work: Work, priority: int) -> Callable[[TeamId], float]:
        """Return a function of the teams' sort keys in the order of service of a
        class, valid while tickets of the class wait.
        """
        priority_class = self._classes.get((work, priority), PriorityClass())
        return partial(priority_class.key, held_s=self._held_s[work])

    def ahead(self, ticket: Ticket) -> int:
        """Return how many waiting tickets a new one would be served after.

        That is the work of higher classes and of its own team, and what other teams
        of its class get until the own team's turn comes so many times.
        """
        higher = sum(
            priority_class.waiting
            for (work, priority), priority_class in self._classes.items()
            if work is ticket.work and priority < ticket.priority_class
        )
        return higher + self._ahead_in_class(ticket)

    def share(self, ticket: Ticket) -> float:
        """Return the share of all slots that a ticket's team can count on: of what
        higher classes do not hold, by weight among the teams of its class that have
        work, or what it holds of its class's slots now if that is more.
        """
        priority_class = self._classes.get((ticket.work, ticket.priority_class))
        if priority_class is None:
            return self.class_share(ticket)
        own = priority_class.accounts.get(ticket.share_team)
        is_busy = own is not None and own.is_busy
        weight = own.weight if is_busy else usable_weight(ticket.weight)
        own_busy_weight = weight if is_busy else 0.0
        others_weight = max(0.0, priority_class.busy_weight - own_busy_weight)
        held = own.held if own else 0
        of_held = held / priority_class.held if priority_class.held else 0.0
        in_class = max(weight / (weight + others_weight), of_held)
        return in_class * self.class_share(ticket)

    def class_share(self, ticket: Ticket) -> float:
        """Return the share of the held slots that higher classes leave to a ticket's
        class, at least one slot's.
        """
        held_of_class = {
            priority: priority_class.held
            for (work, priority), priority_class in self._classes.items()
            if work is ticket.work
        }
        held = sum(held_of_class.values())
        higher = sum(n for p, n in held_of_class.items() if p < ticket.priority_class)
        return max(held - higher, 1) / held if held else 1.0

    def _ahead_in_class(self, ticket: Ticket) -> int:
        priority_class = self._classes.get((ticket.work, ticket.priority_class))
        if priority_class is None:
            return 0
        accounts = priority_class.accounts
        own = accounts.get(ticket.share_team)
        own_waiting = own.waiting if own else 0
        if not ticket.share_team:
            return priority_class.waiting
        if priority_class.waiting == own_waiting:
            return own_waiting
        weight = own.weight if own else usable_weight(ticket.weight)
        held_s = self._held_s[ticket.work]
        tag = own.tag if own else priority_class.virtual_time
        position = tag + held_s.get(ticket.share_team, 0.0) / weight
        position += own_waiting * priority_class.cost_s / weight
        others = (
            t for t, a in accounts.items() if a.waiting and t != ticket.share_team
        )
        return own_waiting + sum(
            priority_class.served_before(position, team, held_s) for team in others
        )

    def expected_keys(self, work: Work, priority: int, team: TeamId) -> Iterator[float]:
        """Yield the keys at which a team's waiting tickets will probably go."""
        priority_class = self._classes[work, priority]
        account = priority_class.accounts[team]
        position = priority_class.position(team, self._held_s[work])
        while True:
            is_allowed = not account.is_charged or position <= priority_class.allowed(
                account
            )
            yield priority_class.virtual_time if is_allowed else position
            position += priority_class.cost_s / account.weight

    def _holds_slots(self, work: Work, team: TeamId) -> bool:
        return any(
            priority_class.accounts[team].held
            for (kind, _), priority_class in self._classes.items()
            if kind is work and team in priority_class.accounts
        )

    def _class_of(self, ticket: Ticket) -> PriorityClass:
        return self._classes.setdefault(
            (ticket.work, ticket.priority_class), PriorityClass()
        )

    def _forget(self, ticket: Ticket) -> None:
        """Forget what an idle team or class leaves; a debt ends with the shortage."""
        priority_class = self._class_of(ticket)
        priority_class.forget_if_idle(ticket.share_team)
        if not priority_class.has_work():
            del self._classes[ticket.work, ticket.priority_class]
