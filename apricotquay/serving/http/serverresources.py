"""What the connections of all HTTP servers of a daemon share."""

import sys
from collections.abc import Callable

from .requestbodies import RequestBodies
from .unread import UnreadResponses, UnreadWatch


class ServerResources:
    """The budgets of an `HttpServer`. A daemon's servers share `bodies` and `unread`.

    Beyond `max_connections` a new connection is closed or, if `replaces_oldest` is
    set, the one that was opened first; `on_full` is told of it.
    """

    def __init__(
        self,
        bodies: RequestBodies,
        unread: UnreadWatch,
        max_connections: int,
        replaces_oldest: bool = False,
        on_full: Callable[[], None] = lambda: None,
    ) -> None:
        self.bodies: RequestBodies = bodies
        self.unread: UnreadWatch = unread
        self.max_connections: int = max_connections
        self.replaces_oldest: bool = replaces_oldest
        self.on_full = on_full


def unlimited_resources() -> ServerResources:
    """Return resources that limit nothing, for servers outside a daemon."""
    unread = UnreadWatch(UnreadResponses(float("inf"), sys.maxsize))
    return ServerResources(RequestBodies(sys.maxsize), unread, sys.maxsize)
