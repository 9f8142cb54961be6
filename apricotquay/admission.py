"""Admission of online requests in the threaded daemon, in weighted fair order."""

import random
import threading
from collections.abc import Callable

from returns.result import Success

from .clocks import Clock
from .errors import ErrorKind, RequestError
from .fairness import FairQueue
from .fleet import Fleet
from .ids import EndpointId, TeamId
from .routing import Endpoint, Suspicion

INITIAL_TOKENS_PER_S = 200.0
SPEED_EWMA_WEIGHT = 0.1
MIN_RETRY_AFTER_MS = 200


class Ticket:
    """One request that needs an endpoint. Created by `OnlineRequestHandler`.

    `decided` is set when a queued request gets an endpoint or fails. `suspicion`
    is set for a request that may crash endpoints.
    """

    def __init__(
        self,
        team: TeamId,
        weight: float,
        target: str,
        cost: float,
        prefix: str,
        deadline_s: float,
        suspicion: Suspicion | None = None,
    ) -> None:
        self.team: TeamId = team
        self.weight: float = weight
        self.target: str = target
        self.cost: float = cost
        self.prefix: str = prefix
        self.deadline_s: float = deadline_s
        self.suspicion: Suspicion | None = suspicion
        self.excluded: set[EndpointId] = set()
        self.endpoint: Endpoint | None = None
        self.abandoned: bool = False
        self.failed: bool = False
        self.decided = threading.Event()


class OnlineAdmission:
    """Assigns endpoints with room to online requests.

    Used by `OnlineRequestHandler` only, so batch items are never queued ahead of an
    online request.
    """

    def __init__(self, fleet: Fleet, limit_per_team: int, clock: Clock) -> None:
        # Called when an endpoint's number of online requests has changed.
        self.on_change: Callable[[], None] = lambda: None
        self._fleet: Fleet = fleet
        self._limit_per_team: int = limit_per_team
        self._clock: Clock = clock
        self._rng = random.Random(fleet.incarnation)
        self._queues: dict[tuple[str, bool], FairQueue[Ticket]] = {}
        self._tokens_per_s: dict[str, float] = {}

    def acquire(self, ticket: Ticket) -> Endpoint:
        """Return an endpoint for a request, after waiting in the queue if needed."""
        with self._fleet.lock:
            queue = self._queue_of(ticket.target, ticket.suspicion is not None)
            if not queue:
                self._try_assign(ticket)
            if ticket.endpoint is None:
                self._enqueue(queue, ticket)
        if ticket.endpoint is None:
            self._wait(ticket)
        return ticket.endpoint

    def release(self, ticket: Ticket, tokens: int, duration_s: float) -> None:
        """Release a ticket's endpoint and assign free room to waiting requests."""
        with self._fleet.lock:
            ticket.endpoint.online -= 1
            if ticket.suspicion is not None:
                ticket.endpoint.suspects.discard(ticket.suspicion.fingerprint)
            self._record_speed(ticket.target, tokens, duration_s)
            self._dispatch(ticket.target, is_suspect=True)
            self._dispatch(ticket.target, is_suspect=False)
        self.on_change()

    def dispatch_all(self) -> None:
        """Assign endpoints to waiting requests after load reports or the VM list
        have changed.
        """
        with self._fleet.lock:
            for target, is_suspect in list(self._queues):
                self._dispatch(target, is_suspect)

    def waiting(self) -> int:
        """Return how many requests are waiting."""
        return sum(len(queue) for queue in self._queues.values())

    def _queue_of(self, target: str, is_suspect: bool) -> FairQueue[Ticket]:
        """Return a target's queue; suspects have their own, so they block no others."""
        queue = self._queues.get((target, is_suspect))
        if queue is None:
            queue = FairQueue(self._limit_per_team)
            self._queues[(target, is_suspect)] = queue
        return queue

    def _try_assign(self, ticket: Ticket) -> bool:
        """Try to assign an endpoint; raise ENDPOINT_MISSING if none is live."""
        choice = self._fleet.endpoints.choose(
            ticket.target,
            ticket.prefix,
            ticket.excluded,
            self._clock.now_s(),
            self._rng,
            ticket.suspicion,
        )
        if isinstance(choice, Success):
            endpoint = choice.unwrap()
            endpoint.online += 1
            if ticket.suspicion is not None:
                endpoint.suspects.add(ticket.suspicion.fingerprint)
            ticket.endpoint = endpoint
            self.on_change()
            return True
        if choice.failure().known_count == 0:
            raise RequestError(
                ErrorKind.ENDPOINT_MISSING, f"no endpoint serves {ticket.target} now"
            )
        return False

    def _enqueue(self, queue: FairQueue[Ticket], ticket: Ticket) -> None:
        wait_s = self._expected_wait_s(queue, ticket)
        if self._clock.now_s() + wait_s > ticket.deadline_s:
            raise RequestError(
                ErrorKind.DEADLINE_UNREACHABLE,
                "the requests that wait already take longer than the deadline",
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_s * 1000)),
            )
        pushed = queue.push(ticket.team, ticket.weight, ticket.cost, ticket)
        if not isinstance(pushed, Success):
            length = pushed.failure().length
            raise RequestError(
                ErrorKind.QUEUE_FULL,
                f"team {ticket.team} has {length} requests waiting",
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_s * 1000)),
            )

    def _wait(self, ticket: Ticket) -> None:
        ticket.decided.wait(max(0.0, ticket.deadline_s - self._clock.now_s()))
        with self._fleet.lock:
            if ticket.endpoint is not None:
                return
            ticket.abandoned = True
        if ticket.failed:
            raise RequestError(
                ErrorKind.ENDPOINT_MISSING, f"no endpoint serves {ticket.target} now"
            )
        raise RequestError(
            ErrorKind.DEADLINE_UNREACHABLE,
            "no endpoint had room before the deadline",
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )

    def _dispatch(self, target: str, is_suspect: bool) -> None:
        """Assign endpoints to waiting requests in fair order until none has room."""
        queue = self._queues.get((target, is_suspect))
        while queue:
            ticket = queue.pop()
            if ticket.abandoned:
                continue
            try:
                assigned = self._try_assign(ticket)
            except RequestError:
                ticket.failed = True
                ticket.decided.set()
                continue
            if not assigned:
                queue.push_front(ticket.team, ticket.cost, ticket)
                return
            ticket.decided.set()

    def _expected_wait_s(self, queue: FairQueue[Ticket], ticket: Ticket) -> float:
        """Estimate the wait from the team's own queue.

        Fair queueing keeps other teams' queues from delaying this team, so only
        its own work counts, done at an equal share of the measured speed.
        """
        speed = self._tokens_per_s.get(ticket.target, INITIAL_TOKENS_PER_S)
        own_cost = queue.team_length(ticket.team) * ticket.cost
        return own_cost * max(1, queue.team_count()) / speed

    def _record_speed(self, target: str, tokens: int, duration_s: float) -> None:
        if tokens <= 0 or duration_s <= 0:
            return
        running = sum(e.online for e in self._fleet.endpoints.serving(target)) + 1
        speed = tokens / duration_s * running
        known_speed = self._tokens_per_s.get(target, speed)
        self._tokens_per_s[target] = known_speed + SPEED_EWMA_WEIGHT * (
            speed - known_speed
        )
