"""A model of engines, callers and dispatchers in virtual time.

Engines run a fixed number of requests at once, first come first served, whose
steps do not slow each other. Callers leave after their patience, and come back
once after a refusal. Online requests ask for a first event within an objective,
batch items for their end by a due time. The result is the worth of what was
served as a share of what was asked, by class.
"""

import collections
import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from apricotquay.ids import EndpointId
from apricotquay.serving.dispatch import (
    Decision,
    Dispatcher,
    Granted,
    Rank,
    Refused,
    Revoked,
    Ticket,
    TicketId,
    Work,
)

from .workloads import Deployment, JobArrival, OnlineArrival, Workload

# A stopped item is free again after the connection's end has reached its engine.
STOP_S = 0.005
RESUME_S = 0.02
TICK_S = 0.05
MIN_NEEDS_S = 0.3
# What a caller's patience leaves for the way back.
PATIENCE_MARGIN_S = 0.1
FIRST_EVENT_TIMEOUT_S = 0.9


class SlotTable(Protocol):
    """What the model asks of a dispatcher; `Dispatcher` is one."""

    def set_endpoints(
        self, counts: dict[EndpointId, int], now_s: float
    ) -> list[Decision]:
        """Take in which endpoints take new work, and their slots."""

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant a slot, queue the ticket or refuse it."""

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Free a slot or leave the queue."""

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse what waits too long."""

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Whether a ticket waits for a slot."""


class EarliestDueDispatcher(Dispatcher):
    """The baseline: online first, each class by its due times, late or not."""

    def _rank(self, ticket: Ticket, now_s: float) -> Rank:
        online = ticket.work is Work.ONLINE
        return Rank.ONLINE_IN_TIME if online else Rank.BATCH_IN_TIME


class LocalTables:
    """A table a daemon, each of which knows only what it sent itself."""

    def __init__(self, daemons: int, seed: int) -> None:
        self._tables = [Dispatcher(seed + n) for n in range(daemons)]
        self._table_of: dict[TicketId, Dispatcher] = {}
        self._rng = random.Random(seed)

    def set_endpoints(
        self, counts: dict[EndpointId, int], now_s: float
    ) -> list[Decision]:
        """Tell all daemons."""
        return self._all(lambda table: table.set_endpoints(counts, now_s))

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Ask the daemon that the request came to."""
        table = self._table_of[ticket.id] = self._rng.choice(self._tables)
        return table.request_slot(ticket, now_s)

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Tell the daemon that has the ticket."""
        return self._table_of[ticket_id].release(ticket_id, now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse what waits too long anywhere."""
        return self._all(lambda table: table.tick(now_s))

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Whether a ticket waits at its daemon."""
        return self._table_of[ticket_id].is_waiting(ticket_id)

    def _all(self, call: Callable[[Dispatcher], list[Decision]]) -> list[Decision]:
        return [decision for table in self._tables for decision in call(table)]


class Policy(msgspec.Struct, frozen=True):
    """What is compared: how slots are given, what is known of items' lengths, and
    after how long without a first event an attempt is given up."""

    name: str
    make_table: Callable[[int], SlotTable] = Dispatcher
    item_lengths_known: bool = False
    first_event_timeout_s: float = FIRST_EVENT_TIMEOUT_S


class Request(msgspec.Struct):
    """One caller's request or one batch item, over its attempts."""

    number: int
    work: Work
    first_s: float
    due_s: float
    hold_s: float
    hangs: bool = False
    sent_s: float = 0.0
    begun_s: float = 0.0
    refused_fast: bool = False
    done_part_s: float = 0.0
    ticket_count: int = 0
    attempt: int = 0
    worth_share: float = 0.0
    slot_wait_s: float | None = None
    is_in_time: bool = False
    is_over: bool = False


class _Engine:
    """One engine: what runs there, and what waits in order of arrival."""

    def __init__(self, slots: int) -> None:
        self.slots: int = slots
        self.running: set[TicketId] = set()
        self.waiting: collections.deque[TicketId] = collections.deque()


class QueueingModel:
    """Plays one load against one policy."""

    def __init__(
        self, deployment: Deployment, load: Workload, policy: Policy, seed: int
    ) -> None:
        self.requests: list[Request] = []
        self.busy_slot_s: dict[Work, float] = dict.fromkeys(Work, 0.0)
        self._deployment: Deployment = deployment
        self._load: Workload = load
        self._policy: Policy = policy
        self._table: SlotTable = policy.make_table(seed)
        self._engines: dict[EndpointId, _Engine] = {}
        self._place: dict[TicketId, _Engine] = {}
        self._tickets: dict[TicketId, Request] = {}
        self._events: list = []
        self._order = itertools.count()

    def run(self) -> None:
        """Run to the end of the load and of what it left waiting."""
        for change in self._load.engines:
            self._at(change.at_s, lambda s, n=change.engines: self._set_engines(s, n))
        for arrival in self._load.online:
            self._at(arrival.at_s, lambda s, a=arrival: self._online_arrives(s, a))
        for job in self._load.jobs:
            self._at(job.at_s, lambda s, j=job: self._job_arrives(s, j))
        for tick in range(int(self._load.duration_s * 2 / TICK_S)):
            self._at(tick * TICK_S, self._tick)
        while self._events:
            now_s, _, call = heapq.heappop(self._events)
            call(now_s)

    def value_share(self, work: Work) -> float:
        """Return the worth of what was served over what was asked."""
        return _mean(r.worth_share for r in self.requests if r.work is work)

    def in_time_share(self, work: Work) -> float:
        """Return the share that was served in time."""
        return _mean(r.is_in_time for r in self.requests if r.work is work)

    def slot_waits_s(self, work: Work) -> list[float]:
        """Return how long requests waited for their first slot, sorted."""
        waits = (r.slot_wait_s for r in self.requests if r.work is work)
        return sorted(wait for wait in waits if wait is not None)

    def _at(self, at_s: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), call))

    def _tick(self, now_s: float) -> None:
        self._carry_out(self._table.tick(now_s), now_s)

    def _set_engines(self, now_s: float, count: int) -> None:
        """Let so many engines take work; the others end what they run."""
        ids = [EndpointId(f"e{n}") for n in range(count)]
        for endpoint in ids:
            self._engines.setdefault(endpoint, _Engine(self._deployment.slots))
        counts = dict.fromkeys(ids, self._deployment.slots)
        self._carry_out(self._table.set_endpoints(counts, now_s), now_s)

    def _online_arrives(self, now_s: float, arrival: OnlineArrival) -> None:
        due_s = now_s + self._deployment.objective_s
        request = Request(
            len(self.requests),
            Work.ONLINE,
            now_s,
            due_s,
            arrival.hold_s,
            arrival.hangs,
        )
        self.requests.append(request)
        self._send_online(request, now_s)

    def _send_online(self, request: Request, now_s: float) -> None:
        """A caller sends a request, for the first time or after a refusal."""
        d = self._deployment
        request.sent_s = now_s
        request.attempt += 1
        attempt = request.attempt
        self._at(now_s + d.caller_timeout_s, lambda s: self._leave(request, attempt, s))
        self._ask_online(request, now_s)

    def _ask_online(self, request: Request, now_s: float) -> None:
        d = self._deployment
        request.ticket_count += 1
        ticket = Ticket(
            _ticket_id(request),
            Work.ONLINE,
            request.sent_s + d.objective_s,
            request.sent_s + d.caller_timeout_s - PATIENCE_MARGIN_S,
        )
        self._tickets[ticket.id] = request
        self._carry_out(self._table.request_slot(ticket, now_s), now_s)

    def _leave(self, request: Request, attempt: int, now_s: float) -> None:
        """The caller's patience ends before a first event."""
        ticket_id = _ticket_id(request)
        is_waiting = self._table.is_waiting(ticket_id)
        if request.attempt == attempt and not request.is_over and is_waiting:
            request.is_over = True
            self._carry_out(self._table.release(ticket_id, now_s), now_s)

    def _job_arrives(self, now_s: float, job: JobArrival) -> None:
        for hold_s in job.holds_s:
            number = len(self.requests)
            item = Request(number, Work.BATCH, now_s, job.due_s, hold_s, sent_s=now_s)
            self.requests.append(item)
            self._ask_batch(item, now_s)

    def _ask_batch(self, item: Request, now_s: float) -> None:
        item.ticket_count += 1
        item.sent_s = now_s
        length_s = self._deployment.item_hold_s
        if self._policy.item_lengths_known:
            length_s = item.hold_s
        needs_s = max(MIN_NEEDS_S, length_s - item.done_part_s)
        ticket = Ticket(_ticket_id(item), Work.BATCH, item.due_s, now_s + 3600, needs_s)
        self._tickets[ticket.id] = item
        self._carry_out(self._table.request_slot(ticket, now_s), now_s)

    def _carry_out(self, decisions: Iterable[Decision], now_s: float) -> None:
        for decision in decisions:
            request = self._tickets[decision.ticket]
            if isinstance(decision, Granted):
                self._arrive(decision, now_s)
            elif isinstance(decision, Refused):
                self._refuse(request, decision.wait_s, now_s)
            elif isinstance(decision, Revoked):
                self._at(
                    now_s + STOP_S,
                    lambda s, t=decision.ticket, r=request: self._stop(r, t, s),
                )

    def _arrive(self, granted: Granted, now_s: float) -> None:
        """A request reaches its engine and waits there while that is full."""
        engine = self._engines[granted.endpoint]
        self._place[granted.ticket] = engine
        engine.waiting.append(granted.ticket)
        self._start_waiting(engine, now_s)

    def _start_waiting(self, engine: _Engine, now_s: float) -> None:
        while engine.waiting and len(engine.running) < engine.slots:
            ticket_id = engine.waiting.popleft()
            engine.running.add(ticket_id)
            self._begin(self._tickets[ticket_id], ticket_id, now_s)

    def _begin(self, request: Request, ticket_id: TicketId, now_s: float) -> None:
        request.begun_s = now_s
        if request.slot_wait_s is None:
            request.slot_wait_s = now_s - request.sent_s
        if request.work is Work.ONLINE:
            limit_s = self._policy.first_event_timeout_s
            if request.hangs:
                request.hangs = False
                self._at(now_s + limit_s, lambda s: self._try_other(ticket_id, s))
                return
            self._see_first_event(request, now_s)
        left_s = request.hold_s - request.done_part_s
        if request.done_part_s:
            left_s += RESUME_S
        self._at(now_s + left_s, lambda s: self._end(request, ticket_id, s))

    def _try_other(self, ticket_id: TicketId, now_s: float) -> None:
        """Give up an attempt that hangs."""
        request = self._tickets[ticket_id]
        self._free(ticket_id, now_s)
        self._ask_online(request, now_s)

    def _see_first_event(self, request: Request, now_s: float) -> None:
        """Value a first event: one in time after a refusal at once is half way
        between in time and late."""
        d = self._deployment
        late_share = d.online_late_value / d.online_value
        request.worth_share = late_share
        if now_s + d.time_to_first_event_s > request.sent_s + d.objective_s:
            return
        if request.attempt == 1:
            request.worth_share = 1.0
            request.is_in_time = True
        elif request.refused_fast:
            request.worth_share = (1.0 + late_share) / 2

    def _end(self, request: Request, ticket_id: TicketId, now_s: float) -> None:
        if ticket_id not in self._place or request.is_over:
            return
        request.is_over = True
        if request.work is Work.BATCH:
            d = self._deployment
            request.is_in_time = now_s <= request.due_s
            late_share = d.item_late_value / d.item_value
            request.worth_share = 1.0 if request.is_in_time else late_share
        self._free(ticket_id, now_s)

    def _stop(self, item: Request, ticket_id: TicketId, now_s: float) -> None:
        """A batch item gives its slot up and asks for another."""
        engine = self._place.get(ticket_id)
        if engine is None:
            return
        if ticket_id in engine.running:
            item.done_part_s += now_s - item.begun_s
        self._free(ticket_id, now_s)
        self._ask_batch(item, now_s)

    def _free(self, ticket_id: TicketId, now_s: float) -> None:
        engine = self._place.pop(ticket_id)
        if ticket_id in engine.running:
            engine.running.discard(ticket_id)
            request = self._tickets[ticket_id]
            self.busy_slot_s[request.work] += now_s - request.begun_s
        else:
            engine.waiting.remove(ticket_id)
        self._carry_out(self._table.release(ticket_id, now_s), now_s)
        self._start_waiting(engine, now_s)

    def _refuse(self, request: Request, wait_s: float, now_s: float) -> None:
        d = self._deployment
        if request.attempt >= 2 or request.begun_s:
            request.is_over = True
            return
        request.refused_fast = now_s - request.first_s <= d.objective_s / 4
        left_s = request.first_s + d.deadline_s - now_s
        at_s = now_s + max(0.1, min(wait_s, left_s / 3))
        self._at(at_s, lambda s: self._send_online(request, s))


def _ticket_id(request: Request) -> TicketId:
    return TicketId(f"{request.number}/{request.ticket_count}")


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return statistics.fmean(listed) if listed else 1.0
