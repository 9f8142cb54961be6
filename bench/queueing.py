"""Discrete-event simulation of engines, callers and slot tables in virtual time.

The slot table is that of the event-loop daemon or a baseline. An engine runs a fixed
number of requests at once, in order of arrival; running requests do not slow each
other. A caller gives up after its timeout and retries once after a refusal. Online
requests are due by their first event, batch items by their end. The result is, for
each class, the value of the requests served as a share of the value of all requests.
"""

import collections
import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from apricotquay.ids import EndpointId, TeamId
from apricotquay.serving.engine import EndpointLoad
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.endpointslots import EndpointProfile
from apricotquay.serving.slots.slotuse import MS_PER_S, US_PER_S, UseReport
from apricotquay.serving.slots.tickets import (
    Decision,
    Granted,
    Rank,
    Refused,
    Revoked,
    Ticket,
    TicketId,
    Work,
)

from .enginespeeds import EngineSpeed
from .workloads import Deployment, JobArrival, OnlineArrival, Workload

# Time until the engine notices that a preempted item's connection was closed.
PREEMPTION_DELAY_S = 0.005
RESUME_OVERHEAD_S = 0.02
TICK_INTERVAL_S = 0.05
MIN_EXPECTED_DURATION_S = 0.3
# Part of the caller's timeout that is left for sending the response.
RESPONSE_MARGIN_S = 0.1
FIRST_EVENT_TIMEOUT_S = 0.9
# Events of a request whose service time is as usual.
EVENT_COUNT = 40
EVENT_GAP_S = 0.015


class SlotTable(Protocol):
    """The part of `Dispatcher`'s interface that the model uses."""

    def set_endpoints(
        self, counts: dict[EndpointId, int], now_s: float
    ) -> list[Decision]:
        """Set which endpoints accept new work, and how many slots each has."""

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant a slot, queue the ticket or refuse it."""

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Release a ticket's slot or remove the ticket from the queue."""

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse tickets that have waited too long."""

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Return whether a ticket waits for a slot."""


class EarliestDueDispatcher(Dispatcher):
    """Baseline: online before batch, each by due time; late ones keep their rank."""

    def _rank(self, ticket: Ticket, now_s: float) -> Rank:
        online = ticket.work is Work.ONLINE
        return Rank.ONLINE_IN_TIME if online else Rank.BATCH_IN_TIME


class TeamBlindDispatcher(Dispatcher):
    """Baseline: the order of service before teams and priorities."""

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Request a slot for a ticket like any other."""
        ticket = msgspec.structs.replace(
            ticket, team=TeamId(""), priority=0, weight=1.0, tokens=0
        )
        return super().request_slot(ticket, now_s)


class LocalTables:
    """One slot table per daemon; each counts only the requests of its daemon."""

    def __init__(self, daemons: int, seed: int) -> None:
        self._tables = [Dispatcher(seed + n) for n in range(daemons)]
        for table in self._tables:
            table.set_alone(is_alone=True)
        self._table_by_ticket: dict[TicketId, Dispatcher] = {}
        self._rng = random.Random(seed)

    def set_endpoints(
        self, counts: dict[EndpointId, int], now_s: float
    ) -> list[Decision]:
        """Set the endpoints of all daemons."""
        return self._call_all(lambda table: table.set_endpoints(counts, now_s))

    def request_slot(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Request a slot from the table of a random daemon."""
        table = self._table_by_ticket[ticket.id] = self._rng.choice(self._tables)
        return table.request_slot(ticket, now_s)

    def release(self, ticket_id: TicketId, now_s: float) -> list[Decision]:
        """Release a ticket at its daemon."""
        return self._table_by_ticket[ticket_id].release(ticket_id, now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse tickets that have waited too long at any daemon."""
        return self._call_all(lambda table: table.tick(now_s))

    def table_of(self, ticket_id: TicketId) -> Dispatcher:
        """Return the table of a ticket's daemon."""
        return self._table_by_ticket[ticket_id]

    def is_waiting(self, ticket_id: TicketId) -> bool:
        """Return whether a ticket waits at its daemon."""
        return self._table_by_ticket[ticket_id].is_waiting(ticket_id)

    def _call_all(self, call: Callable[[Dispatcher], list[Decision]]) -> list[Decision]:
        return [decision for table in self._tables for decision in call(table)]


class Policy(msgspec.Struct, frozen=True):
    """A configuration to compare: how slots are granted, whether the service times
    of items are known in advance, and when an attempt without a first event is
    abandoned, and whether the table is told what attempts show of engines."""

    name: str
    make_table: Callable[[int], SlotTable] = Dispatcher
    item_service_times_known: bool = False
    first_event_timeout_s: float = FIRST_EVENT_TIMEOUT_S
    reports_use: bool = False


class Request(msgspec.Struct):
    """A caller's request or a batch item, with all its attempts.

    `arrived_s` is when it was first sent and `sent_s` when it was last sent.
    `service_time_s` is how long it holds a slot in all, of which `served_s` were
    spent before it was preempted. `value_share` is the part of its value that was
    reached.
    """

    number: int
    work: Work
    arrived_s: float
    due_s: float
    service_time_s: float
    hangs: bool = False
    sent_s: float = 0.0
    started_s: float = 0.0
    refused_early: bool = False
    team: TeamId = TeamId("")
    priority: int = 0
    weight: float = 1.0
    tokens: int = 0
    served_s: float = 0.0
    ticket_count: int = 0
    send_count: int = 0
    value_share: float = 0.0
    slot_wait_s: float | None = None
    first_event_s: float | None = None
    slowness: float = 0.0
    is_in_time: bool = False
    is_finished: bool = False


class _Engine:
    """An engine's running requests, and those that wait in order of arrival."""

    def __init__(self, endpoint: EndpointId, slots: int, speed: EngineSpeed) -> None:
        self.endpoint: EndpointId = endpoint
        self.speed: EngineSpeed = speed
        # Work done, in seconds of the usual speed, and how often none was free.
        self.work_s: float = 0.0
        self.arrivals: int = 0
        self.full_arrivals: int = 0
        self.slots: int = slots
        self.tokens: int = 0
        self.running: set[TicketId] = set()
        self.waiting: collections.deque[TicketId] = collections.deque()


class QueueingModel:
    """Simulates one workload under one policy."""

    def __init__(
        self, deployment: Deployment, workload: Workload, policy: Policy, seed: int
    ) -> None:
        self.requests: list[Request] = []
        # Requests sent to an engine without memory for them while another had it.
        self.overfull_grants: int = 0
        self.busy_slot_s: dict[Work, float] = dict.fromkeys(Work, 0.0)
        self._deployment: Deployment = deployment
        self._workload: Workload = workload
        self._policy: Policy = policy
        self._table: SlotTable = policy.make_table(seed)
        self._engines: dict[EndpointId, _Engine] = {}
        self._engine_by_ticket: dict[TicketId, _Engine] = {}
        self._tickets: dict[TicketId, Request] = {}
        self._events: list = []
        self._sequence = itertools.count()

    def run(self) -> None:
        """Run to the end of the workload and of the requests still waiting then."""
        for change in self._workload.engines:
            self._schedule(
                change.at_s, lambda s, n=change.engines: self._set_engines(s, n)
            )
        for arrival in self._workload.online:
            self._schedule(
                arrival.at_s, lambda s, a=arrival: self._handle_online_arrival(s, a)
            )
        for job in self._workload.jobs:
            self._schedule(job.at_s, lambda s, j=job: self._handle_job_arrival(s, j))
        for tick in range(int(self._workload.duration_s * 2 / TICK_INTERVAL_S)):
            self._schedule(tick * TICK_INTERVAL_S, self._tick)
        while self._events:
            now_s, _, call = heapq.heappop(self._events)
            call(now_s)

    def value_share(self, work: Work) -> float:
        """Return the value reached as a share of the value of all requests."""
        return _mean(r.value_share for r in self.requests if r.work is work)

    def in_time_share(self, work: Work) -> float:
        """Return the share of requests that were served in time."""
        return _mean(r.is_in_time for r in self.requests if r.work is work)

    def slot_waits_s(self, work: Work) -> list[float]:
        """Return how long requests waited for their first slot, sorted."""
        waits = (r.slot_wait_s for r in self.requests if r.work is work)
        return sorted(wait for wait in waits if wait is not None)

    def _schedule(self, at_s: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), call))

    def _tick(self, now_s: float) -> None:
        self._apply_decisions(self._table.tick(now_s), now_s)

    def _set_engines(self, now_s: float, count: int) -> None:
        """Let only the first `count` engines accept work; the others finish theirs."""
        ids = [EndpointId(f"e{n}") for n in range(count)]
        for endpoint in ids:
            if endpoint not in self._engines:
                self._engines[endpoint] = self._new_engine(endpoint)
        counts = dict.fromkeys(ids, self._deployment.slots)
        known = {}
        if self._deployment.memory_tokens:
            profile = EndpointProfile(memory_tokens=self._deployment.memory_tokens)
            known = {"profiles": dict.fromkeys(ids, profile)}
        decisions = self._table.set_endpoints(counts, now_s, **known)
        self._apply_decisions(decisions, now_s)

    def _new_engine(self, endpoint: EndpointId) -> _Engine:
        d = self._deployment
        number = len(self._engines)
        slowness = d.engine_slowness[number % len(d.engine_slowness)]
        speed = EngineSpeed(slowness, d.noise_share, d.noise_factor, number)
        return _Engine(endpoint, d.slots, speed)

    @property
    def engines(self) -> list[_Engine]:
        """All engines."""
        return list(self._engines.values())

    def _handle_online_arrival(self, now_s: float, arrival: OnlineArrival) -> None:
        due_s = now_s + self._deployment.objective_s
        request = Request(
            len(self.requests),
            Work.ONLINE,
            now_s,
            due_s,
            arrival.service_time_s,
            arrival.hangs,
            team=arrival.team,
            priority=arrival.priority,
            weight=arrival.weight,
            tokens=arrival.tokens,
        )
        self.requests.append(request)
        self._send_online(request, now_s)

    def _send_online(self, request: Request, now_s: float) -> None:
        """Send a caller's request, for the first time or after a refusal."""
        d = self._deployment
        request.sent_s = now_s
        request.send_count += 1
        send_count = request.send_count
        self._schedule(
            now_s + d.caller_timeout_s,
            lambda s: self._handle_caller_timeout(request, send_count, s),
        )
        self._request_online_slot(request, now_s)

    def _request_online_slot(self, request: Request, now_s: float) -> None:
        d = self._deployment
        request.ticket_count += 1
        ticket = Ticket(
            _ticket_id(request),
            Work.ONLINE,
            request.sent_s + d.objective_s,
            request.sent_s + d.caller_timeout_s - RESPONSE_MARGIN_S,
            team=request.team,
            priority=request.priority,
            weight=request.weight,
            tokens=request.tokens,
        )
        self._tickets[ticket.id] = request
        self._apply_decisions(self._table.request_slot(ticket, now_s), now_s)

    def _handle_caller_timeout(
        self, request: Request, send_count: int, now_s: float
    ) -> None:
        """Remove a request whose caller timed out while it waited for a slot."""
        ticket_id = _ticket_id(request)
        is_waiting = self._table.is_waiting(ticket_id)
        if request.send_count == send_count and not request.is_finished and is_waiting:
            request.is_finished = True
            self._apply_decisions(self._table.release(ticket_id, now_s), now_s)

    def _handle_job_arrival(self, now_s: float, job: JobArrival) -> None:
        for service_time_s in job.item_service_times_s:
            number = len(self.requests)
            item = Request(
                number, Work.BATCH, now_s, job.due_s, service_time_s, sent_s=now_s
            )
            self.requests.append(item)
            self._request_batch_slot(item, now_s)

    def _request_batch_slot(self, item: Request, now_s: float) -> None:
        item.ticket_count += 1
        item.sent_s = now_s
        estimate_s = self._deployment.item_service_time_s
        if self._policy.item_service_times_known:
            estimate_s = item.service_time_s
        expected_duration_s = max(MIN_EXPECTED_DURATION_S, estimate_s - item.served_s)
        ticket = Ticket(
            _ticket_id(item), Work.BATCH, item.due_s, now_s + 3600, expected_duration_s
        )
        self._tickets[ticket.id] = item
        self._apply_decisions(self._table.request_slot(ticket, now_s), now_s)

    def _apply_decisions(self, decisions: Iterable[Decision], now_s: float) -> None:
        for decision in decisions:
            request = self._tickets[decision.ticket]
            if isinstance(decision, Granted):
                self._enqueue(decision, now_s)
            elif isinstance(decision, Refused):
                self._handle_refusal(request, decision.wait_s, now_s)
            elif isinstance(decision, Revoked):
                self._schedule(
                    now_s + PREEMPTION_DELAY_S,
                    lambda s, t=decision.ticket, r=request: self._preempt(r, t, s),
                )

    def _enqueue(self, granted: Granted, now_s: float) -> None:
        """Queue a request at its engine, which starts it when a slot is free."""
        engine = self._engines[granted.endpoint]
        self._engine_by_ticket[granted.ticket] = engine
        engine.arrivals += 1
        engine.full_arrivals += len(engine.running) >= engine.slots
        self._count_overfull(engine, self._tickets[granted.ticket])
        engine.tokens += self._tickets[granted.ticket].tokens
        engine.waiting.append(granted.ticket)
        self._start_queued(engine, now_s)

    def _count_overfull(self, engine: _Engine, request: Request) -> None:
        memory_tokens = self._deployment.memory_tokens
        has_room = [
            e.tokens + request.tokens <= memory_tokens for e in self._engines.values()
        ]
        is_overfull = engine.tokens + request.tokens > memory_tokens
        if memory_tokens and is_overfull and any(has_room):
            self.overfull_grants += 1

    def _start_queued(self, engine: _Engine, now_s: float) -> None:
        while engine.waiting and len(engine.running) < engine.slots:
            ticket_id = engine.waiting.popleft()
            engine.running.add(ticket_id)
            self._start(self._tickets[ticket_id], ticket_id, now_s)

    def _start(self, request: Request, ticket_id: TicketId, now_s: float) -> None:
        request.started_s = now_s
        if request.slot_wait_s is None:
            request.slot_wait_s = now_s - request.sent_s
        if request.work is Work.ONLINE:
            timeout_s = self._policy.first_event_timeout_s
            if request.hangs:
                request.hangs = False
                self._schedule(
                    now_s + timeout_s,
                    lambda s: self._handle_attempt_timeout(ticket_id, s),
                )
                return
            self._record_first_event(request, ticket_id, now_s)
        remaining_s = request.service_time_s - request.served_s
        if request.served_s:
            remaining_s += RESUME_OVERHEAD_S
        engine = self._engine_by_ticket[ticket_id]
        end_s = engine.speed.end_s(now_s, remaining_s)
        load = EndpointLoad(len(engine.running), len(engine.waiting), engine.slots)
        self._report_use(ticket_id, UseReport(load=load), now_s, at_owner=False)
        self._schedule(
            end_s,
            lambda s: self._end_run(
                request, ticket_id, load, now_s, (end_s - now_s) / remaining_s, s
            ),
        )

    def _end_run(
        self,
        request: Request,
        ticket_id: TicketId,
        load: EndpointLoad,
        started_s: float,
        slowness: float,
        now_s: float,
    ) -> None:
        """End a run unless it was preempted, and tell the table what it showed."""
        engine = self._engine_by_ticket.get(ticket_id)
        if engine is not None and ticket_id in engine.running:
            engine.work_s += (now_s - started_s) / slowness
            shown = UseReport(
                0,
                int(self._deployment.time_to_first_event_s * slowness * MS_PER_S),
                int(EVENT_GAP_S * slowness * US_PER_S),
                EVENT_COUNT,
                load,
                int((now_s - started_s) * MS_PER_S),
            )
            self._report_use(ticket_id, shown, now_s)
        self._finish(request, ticket_id, now_s)

    def _report_use(
        self,
        ticket_id: TicketId,
        shown: UseReport,
        now_s: float,
        *,
        at_owner: bool = True,
    ) -> None:
        """Tell the table what a run shows; an owner hears of it at the release only."""
        if not self._policy.reports_use:
            return
        endpoint = self._engine_by_ticket[ticket_id].endpoint
        if isinstance(self._table, LocalTables):
            self._table.table_of(ticket_id).record_use(endpoint, shown, now_s)
        elif at_owner and isinstance(self._table, Dispatcher):
            self._table.record_use(endpoint, shown, now_s)

    def _handle_attempt_timeout(self, ticket_id: TicketId, now_s: float) -> None:
        """Abandon an attempt that hangs and request another slot."""
        request = self._tickets[ticket_id]
        self._free_slot(ticket_id, now_s)
        self._request_online_slot(request, now_s)

    def _record_first_event(
        self, request: Request, ticket_id: TicketId, now_s: float
    ) -> None:
        """Set an online request's value at its first event.

        A first event in time after an early refusal is worth the mean of one in
        time and a late one.
        """
        d = self._deployment
        speed = self._engine_by_ticket[ticket_id].speed
        first_s = speed.end_s(now_s, d.time_to_first_event_s)
        request.first_event_s = first_s - request.sent_s
        request.slowness = speed.slowness
        late_share = d.online_late_value / d.online_value
        request.value_share = late_share
        if first_s > request.sent_s + d.objective_s:
            return
        if request.send_count == 1:
            request.value_share = 1.0
            request.is_in_time = True
        elif request.refused_early:
            request.value_share = (1.0 + late_share) / 2

    def _finish(self, request: Request, ticket_id: TicketId, now_s: float) -> None:
        if ticket_id not in self._engine_by_ticket or request.is_finished:
            return
        request.is_finished = True
        if request.work is Work.BATCH:
            d = self._deployment
            request.is_in_time = now_s <= request.due_s
            late_share = d.item_late_value / d.item_value
            request.value_share = 1.0 if request.is_in_time else late_share
        self._free_slot(ticket_id, now_s)

    def _preempt(self, item: Request, ticket_id: TicketId, now_s: float) -> None:
        """Release a batch item's slot and request another for the rest of it."""
        engine = self._engine_by_ticket.get(ticket_id)
        if engine is None:
            return
        if ticket_id in engine.running:
            item.served_s += now_s - item.started_s
        self._free_slot(ticket_id, now_s)
        self._request_batch_slot(item, now_s)

    def _free_slot(self, ticket_id: TicketId, now_s: float) -> None:
        engine = self._engine_by_ticket.pop(ticket_id)
        engine.tokens -= self._tickets[ticket_id].tokens
        if ticket_id in engine.running:
            engine.running.discard(ticket_id)
            request = self._tickets[ticket_id]
            self.busy_slot_s[request.work] += now_s - request.started_s
        else:
            engine.waiting.remove(ticket_id)
        self._apply_decisions(self._table.release(ticket_id, now_s), now_s)
        self._start_queued(engine, now_s)

    def _handle_refusal(self, request: Request, wait_s: float, now_s: float) -> None:
        d = self._deployment
        if request.send_count >= 2 or request.started_s:
            request.is_finished = True
            return
        request.refused_early = now_s - request.arrived_s <= d.objective_s / 4
        remaining_s = request.arrived_s + d.total_timeout_s - now_s
        at_s = now_s + max(0.1, min(wait_s, remaining_s / 3))
        self._schedule(at_s, lambda s: self._send_online(request, s))


def _ticket_id(request: Request) -> TicketId:
    return TicketId(f"{request.number}/{request.ticket_count}")


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return statistics.fmean(listed) if listed else 1.0
