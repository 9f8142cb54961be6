"""What a lease's holder and whoever acts under the lease tell each other."""

from typing import Protocol

import msgspec

from .ids import MemberId, TeamId
from .leases import LatestClaim, LeaseKeeper


class Levels(msgspec.Struct, frozen=True):
    """What a holder that leaves hands to its successor: bucket levels by team.

    `full` says that a team without a level has its whole burst.
    """

    levels: dict[TeamId, float] = {}
    full: bool = False


class HandedOver(msgspec.Struct, frozen=True):
    """A hand-over to this daemon, and the claim under which it was made."""

    fencing: int
    state: Levels


class LeaseUser(Protocol):
    """Whoever acts under a lease and keeps something in memory for its term."""

    def begin_term(
        self, started_s: float, first_ever: bool, given: Levels | None
    ) -> None:
        """The right to act began anew; `given` comes from a hand-over."""

    def end_term(self) -> Levels:
        """The right to act was given up; return what the next holder needs."""


class Lease:
    """One resource, its keeper and its user."""

    def __init__(self, keeper: LeaseKeeper, user: LeaseUser) -> None:
        self.keeper: LeaseKeeper = keeper
        self.user: LeaseUser = user
        self.term: int = 0
        self.handed_over: HandedOver | None = None
        self.claim_after_s: float = 0.0
        self.free_since_s: float | None = None
        self.preferred_since_s: tuple[MemberId, float] | None = None
        self.was_active: bool = False

    @property
    def held(self) -> LatestClaim | None:
        """The newest claim of the resource."""
        return self.keeper.held
