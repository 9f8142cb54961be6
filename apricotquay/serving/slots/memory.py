"""How much of an endpoint's memory requests need, and whether one more fits. Pure.

Absorbs requests of very unequal size: an endpoint that is sent more tokens than its
memory holds preempts streams or terminates.
"""

import msgspec

from ...ids import RouteName
from .tickets import Ticket, TicketId, Work

# The share of the output limit that all but one in so many streams stay below.
OUTPUT_QUANTILE = 0.95
OUTPUT_STEP = 0.02
MIN_OUTPUT_SHARE = 0.05
# Estimates are kept for so many routes.
MAX_ROUTES = 1_000


class TokenUsage(msgspec.Struct, frozen=True):
    """What a caller states of a request's size, in tokens; all 0 if it is unknown.

    `shared` is the part of the prompt that other requests may share.
    """

    prompt: int = 0
    max_output: int = 0
    shared: int = 0
    is_malformed: bool = False

    @property
    def total(self) -> int:
        """The most that the request may need."""
        return self.prompt + self.max_output


UNKNOWN_USAGE = TokenUsage()


class RequestSizes:
    """How many tokens requests hold, by what the streams of each route produced of
    their output limit.

    Used by the handlers of online requests and batch items. The estimate is a high
    quantile, so that few requests need more, and starts at the whole limit.
    """

    def __init__(self) -> None:
        self._share_of_route: dict[RouteName, float] = {}

    def record(self, route: RouteName, usage: TokenUsage, produced: int) -> None:
        """Record how many tokens a complete stream produced."""
        if not usage.max_output:
            return
        if len(self._share_of_route) >= MAX_ROUTES:
            self._share_of_route.clear()
        share = self._share_of_route.get(route, 1.0)
        step = OUTPUT_STEP * (OUTPUT_QUANTILE - (produced <= share * usage.max_output))
        self._share_of_route[route] = min(1.0, max(MIN_OUTPUT_SHARE, share + step))

    def needed_tokens(self, route: RouteName, usage: TokenUsage) -> int:
        """Return how many tokens a request will hold, 0 if that is unknown."""
        share = self._share_of_route.get(route, 1.0)
        return usage.prompt + round(usage.max_output * share)


def exceeds_memory(usage: TokenUsage, memory_tokens: int) -> bool:
    """Whether a request is larger than an endpoint's memory, if that is known."""
    return 0 < memory_tokens < usage.total


class MemoryUse:
    """The tokens that the running tickets of one endpoint hold.

    Used by `EndpointSlots`. A shared prefix is kept once.
    """

    def __init__(self) -> None:
        self.tokens: int = 0
        self._users_of_prefix: dict[str, dict[TicketId, int]] = {}

    def needed(self, ticket: Ticket) -> int:
        """Return how many more tokens the endpoint would hold with a ticket."""
        shared = _shared_tokens(ticket)
        return ticket.tokens - shared + max(0, shared - self._kept(ticket.prefix))

    def add(self, ticket: Ticket) -> None:
        """Add a ticket that runs now."""
        self.tokens += self.needed(ticket)
        shared = _shared_tokens(ticket)
        if shared:
            self._users_of_prefix.setdefault(ticket.prefix, {})[ticket.id] = shared

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that ran."""
        shared = _shared_tokens(ticket)
        if shared:
            users = self._users_of_prefix[ticket.prefix]
            del users[ticket.id]
            if not users:
                del self._users_of_prefix[ticket.prefix]
        self.tokens -= self.needed(ticket)

    def _kept(self, prefix: str) -> int:
        return max(self._users_of_prefix.get(prefix, {}).values(), default=0)


class Reservation(msgspec.Struct, frozen=True):
    """Memory of an endpoint that is kept for a waiting ticket."""

    ticket: TicketId
    work: Work
    tokens: int


def _shared_tokens(ticket: Ticket) -> int:
    """Return how many of a ticket's tokens others with its prefix share."""
    return min(ticket.prefix_tokens, ticket.tokens) if ticket.prefix else 0
