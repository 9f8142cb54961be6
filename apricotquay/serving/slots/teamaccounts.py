"""The accounts of teams in the work of one priority class. Pure.

Source: start-time fair queueing, Goyal, Vin and Cheng, 1996.
"""

import math
from collections.abc import Mapping

import msgspec

from ...ids import TeamId
from .tickets import Ticket

DEFAULT_WEIGHT = 1.0
# The range of weights that are told apart. Quotients of weights outside of it can
# overflow, and a team of a smaller weight would hardly ever be served.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100_000.0
# How many requests a team may be ahead of its share before others precede it. Between
# teams below that the deadline decides, which puts more requests in time.
ALLOWED_REQUESTS = 2
# How far, in slot time, a waiting team may hold the virtual time back that is served
# later than its turn because no free endpoint suits it.
MAX_LAG_S = 5.0


class Account(msgspec.Struct):
    """A team's part in the work of one class.

    `tag` is the virtual time from which its next ticket is served. `queued` counts
    its waiting tickets, `waiting` those of them that need a slot of their own, and
    `held` the tickets with a slot. Tickets without a team have an account that is not
    charged.
    """

    tag: float
    weight: float = DEFAULT_WEIGHT
    queued: int = 0
    waiting: int = 0
    held: int = 0
    is_charged: bool = True

    @property
    def is_busy(self) -> bool:
        """Whether tickets need or have slots."""
        return self.waiting > 0 or self.held > 0


class PriorityClass:
    """The teams' accounts in one kind of work of one priority.

    `cost_s` is the slot time that one more ticket is expected to use. `waiting`,
    `held` and `busy_weight` are the sums of all accounts, the last of those that are
    busy: refusals read them, and a walk over thousands of teams for each takes long.
    """

    def __init__(self) -> None:
        self.accounts: dict[TeamId, Account] = {}
        self.virtual_time: float = 0.0
        self.cost_s: float = 1.0
        self.waiting: int = 0
        self.held: int = 0
        self.busy_weight: float = 0.0
        self._busy_count: int = 0
        self._grants_since_sweep: int = 0

    def account(self, ticket: Ticket) -> Account:
        """Return the account of a ticket's team; create it at first use."""
        account = self.accounts.get(ticket.share_team)
        if account is None:
            weight = usable_weight(ticket.weight)
            account = Account(
                self.virtual_time, weight, is_charged=bool(ticket.share_team)
            )
            self.accounts[ticket.share_team] = account
        return account

    def set_weight(self, account: Account, weight: float) -> None:
        """Set the weight of a team."""
        if account.is_busy:
            self.busy_weight += weight - account.weight
        account.weight = weight

    def change_waiting(self, account: Account, ticket: Ticket, by: int) -> None:
        """Record that a ticket of a team waits, or waits no longer."""
        was_busy = account.is_busy
        account.queued += by
        if not ticket.holds_slot:
            account.waiting += by
            self.waiting += by
        self._count_busy(account, was_busy)

    def change_held(self, account: Account, by: int) -> None:
        """Record that a ticket of a team holds a slot, or holds it no longer."""
        was_busy = account.is_busy
        account.held += by
        self.held += by
        self._count_busy(account, was_busy)

    def _count_busy(self, account: Account, was_busy: bool) -> None:
        change = account.is_busy - was_busy
        if not change:
            return
        self._busy_count += change
        self.busy_weight += change * account.weight
        if not self._busy_count:
            # Ends the rounding errors of the sum.
            self.busy_weight = 0.0

    def start(self, account: Account) -> float:
        """Return the virtual time from which a team's next ticket is served."""
        return max(account.tag, self.virtual_time)

    def allowed(self, account: Account) -> float:
        """Return the virtual time up to which a team is not ahead of its share."""
        return self.virtual_time + ALLOWED_REQUESTS * self.cost_s / account.weight

    def forget_if_idle(self, team: TeamId) -> None:
        """Forget a team that has neither work nor a debt."""
        account = self.accounts[team]
        is_idle = not account.queued and not account.held
        if is_idle and account.tag <= self.virtual_time:
            del self.accounts[team]

    def key(self, team: TeamId, held_s: Mapping[TeamId, float]) -> float:
        """Return a team's sort key in the order of service, lowest first. It is the
        same for all teams that are not ahead of their share, whatever the virtual time.
        """
        account = self.accounts.get(team)
        if account is None:
            return -math.inf
        position = account.tag + held_s.get(team, 0.0) / account.weight
        is_allowed = position <= self.allowed(account)
        return -math.inf if is_allowed else position

    def position(self, team: TeamId, held_s: Mapping[TeamId, float]) -> float:
        """Return how far a team is, with the slots that it holds now."""
        account = self.accounts[team]
        return account.tag + held_s.get(team, 0.0) / account.weight

    def advance(self, served: Account, held_s: float) -> None:
        """Advance the virtual time to the team that is furthest behind, when a ticket
        of `served`, which holds `held_s` of slot time, gets its slot.
        """
        start = self.start(served)
        lag_s = max(MAX_LAG_S, held_s)
        accounts = self.accounts.values()
        tags = (a.tag for a in accounts if a.queued and a.is_charged)
        behind = min(tags, default=start)
        lowest = start - lag_s / served.weight
        self.virtual_time = max(self.virtual_time, lowest, min(start, behind))

    def served_before(
        self, position: float, team: TeamId, held_s: Mapping[TeamId, float]
    ) -> int:
        """Return how many of a team's waiting tickets are served before a position."""
        account = self.accounts[team]
        if not account.is_charged:
            return account.waiting
        end = max(position, self.allowed(account))
        lead = end - self.position(team, held_s)
        if lead < 0:
            return 0
        turns = 1 + math.floor(lead * account.weight / self.cost_s)
        return min(account.waiting, turns)

    def forget_idle(self) -> None:
        """Forget all teams that have neither work nor a debt, once in a while."""
        self._grants_since_sweep += 1
        if self._grants_since_sweep < len(self.accounts):
            return
        self._grants_since_sweep = 0
        for team in list(self.accounts):
            self.forget_if_idle(team)

    def has_work(self) -> bool:
        """Whether any ticket waits or holds a slot."""
        return any(a.queued or a.held for a in self.accounts.values())


def usable_weight(weight: float) -> float:
    """Return a weight within the range, or the default for one that a peer could not
    mean.
    """
    if not math.isfinite(weight) or weight <= 0:
        return DEFAULT_WEIGHT
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT)
