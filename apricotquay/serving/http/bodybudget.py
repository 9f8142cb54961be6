"""Bounds the memory that all answers of a daemon take while they are read whole."""

from ..engine import AttemptFailedError

# A single answer is cut off beyond this.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Answers up to this size are always read; a faulty endpoint's larger ones then hold up
# none of them.
SMALL_BODY_BYTES = 256 * 1024
# For all larger answers together, below what the smallest VMs have left.
MAX_LARGE_BYTES = 32 * 1024 * 1024


class BodyBudget:
    """The bytes of large answers that a daemon holds. One per daemon."""

    def __init__(self) -> None:
        self._large_bytes: int = 0

    @property
    def large_bytes(self) -> int:
        """The bytes of all large answers that are held."""
        return self._large_bytes

    def reserve(self) -> "BodyReservation":
        """Return a reservation for the answers to one request."""
        return BodyReservation(self)

    def change(self, by_bytes: int) -> None:
        """Add bytes to the large answers; raise AttemptFailedError without room."""
        if by_bytes > 0 and self._large_bytes + by_bytes > MAX_LARGE_BYTES:
            raise AttemptFailedError("no memory is left for a large answer")
        self._large_bytes += by_bytes


class BodyReservation:
    """What a request holds of the budget, until it has ended."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget: BodyBudget = budget
        self._held_bytes: int = 0
        self._reserved_bytes: int = 0

    def grow(self, by_bytes: int) -> None:
        """Hold so many more bytes of answers; raise AttemptFailedError when there is
        no room for them.
        """
        self._held_bytes += by_bytes
        if self._held_bytes > SMALL_BODY_BYTES:
            self._budget.change(self._held_bytes - self._reserved_bytes)
            self._reserved_bytes = self._held_bytes

    def release(self) -> None:
        """Give back what is held."""
        self._budget.change(-self._reserved_bytes)
        self._reserved_bytes = self._held_bytes = 0
