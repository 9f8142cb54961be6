"""Bounds the memory that the bodies of all requests of a daemon take. Pure.

Load: clients that send large bodies slowly, many at once. A request keeps its body
until it has ended, since an attempt may be repeated.
"""

from collections.abc import Callable

# Bodies up to this size also have room when larger ones have used up the budget.
SMALL_BODY_BYTES = 64 * 1024
# Beside the budget, for small bodies only.
SMALL_BODIES_SHARE = 1 / 4
# From this share on, large bodies that arrive slowly must make room.
SHORT_SHARE = 3 / 4


class RequestBodies:
    """The bytes of request bodies that a daemon holds. One per daemon, used by the
    connections of its `HttpServer`s. `on_refused` gets how much was received of
    a body that was refused.
    """

    def __init__(
        self, limit_bytes: int, on_refused: Callable[[int], None] = lambda size: None
    ) -> None:
        self.held_bytes: int = 0
        self.on_refused = on_refused
        self._limit_bytes: int = limit_bytes

    @property
    def is_short(self) -> bool:
        """Whether little of the budget is left."""
        return self.held_bytes > self._limit_bytes * SHORT_SHARE

    def has_room(self, body_bytes: int, by_bytes: int) -> bool:
        """Whether a body that has grown to `body_bytes` may have grown by so many."""
        limit_bytes = self._limit_bytes
        if body_bytes <= SMALL_BODY_BYTES:
            limit_bytes += int(limit_bytes * SMALL_BODIES_SHARE)
        return self.held_bytes + by_bytes <= limit_bytes


class HeldBody:
    """What one connection holds of the budget, until its request has ended."""

    def __init__(self, bodies: RequestBodies) -> None:
        self.held_bytes: int = 0
        self._bodies: RequestBodies = bodies

    @property
    def must_hurry(self) -> bool:
        """Whether the body is large and others need its room."""
        return self.is_large and self._bodies.is_short

    @property
    def is_large(self) -> bool:
        """Whether the body is larger than those that always have room."""
        return self.held_bytes > SMALL_BODY_BYTES

    def grow(self, by_bytes: int) -> bool:
        """Hold so many more bytes; return False, and hold no more, without room."""
        if not self._bodies.has_room(self.held_bytes + by_bytes, by_bytes):
            return False
        self.held_bytes += by_bytes
        self._bodies.held_bytes += by_bytes
        return True

    def release(self) -> None:
        """Give back what is held."""
        self._bodies.held_bytes -= self.held_bytes
        self.held_bytes = 0
