"""The interface between `LeaseManager` and the components that use a lease."""

from typing import Protocol

import msgspec

from .ids import MemberId, TeamId
from .leases import LatestClaim, LeaseStateMachine


class BucketLevels(msgspec.Struct, frozen=True):
    """Bucket levels by team, handed over to the next holder.

    `full` means that a team without a level has its whole burst.
    """

    levels: dict[TeamId, float] = {}
    full: bool = False


class ReceivedHandOver(msgspec.Struct, frozen=True):
    """A hand-over to this daemon, with the fencing number of the earlier holder."""

    fencing: int
    state: BucketLevels


class LeaseUser(Protocol):
    """A component that acts under a lease and keeps state in memory for its term."""

    def begin_term(
        self, started_s: float, first_ever: bool, handed_over: BucketLevels | None
    ) -> None:
        """Start a term; `handed_over` is set if it began by a hand-over."""

    def end_term(self) -> BucketLevels:
        """End the term; return the state that the next holder needs."""


class Lease:
    """One resource's state machine, its user, and the times of pending decisions."""

    def __init__(self, machine: LeaseStateMachine, user: LeaseUser) -> None:
        self.machine: LeaseStateMachine = machine
        self.user: LeaseUser = user
        self.term: int = 0
        self.handed_over: ReceivedHandOver | None = None
        self.claim_after_s: float = 0.0
        self.claimable_since_s: float | None = None
        self.preferred_member_since_s: tuple[MemberId, float] | None = None
        self.was_active: bool = False

    @property
    def latest(self) -> LatestClaim | None:
        """The newest claim of the resource."""
        return self.machine.latest
