"""A model of engines, callers and one dispatcher in virtual time.

Engines run a fixed number of requests at once, whose steps do not slow each
other; callers come in a steady beat of calm and peak, leave after their
patience, and come back once after a refusal. Online requests ask for a first
event within an objective, batch items for their end by a due time. Figures come
from a `Deployment`; the result is the worth of what was served as a share of
what was asked, by class.
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterator

import msgspec

from apricotquay.ids import EndpointId
from apricotquay.serving.dispatch import (
    Dispatcher,
    Granted,
    Rank,
    Refused,
    Revoked,
    Ticket,
    TicketId,
    Work,
)

from .results import Row

PERIOD_S, CALM_S = 5.8, 3.4
CALM_SHARE, PEAK_SHARE = 0.383, 1.87
# A stopped item is free again after the connection's end has reached its engine.
STOP_S = 0.005
RESUME_S = 0.02


class Deployment(msgspec.Struct, frozen=True):
    """Figures of a deployment and its load."""

    engines: int = 6
    slots: int = 8
    online_per_s: float = 27.0
    online_hold_s: float = 0.65
    objective_s: float = 0.3
    first_event_s: float = 0.06
    patience_s: float = 2.0
    deadline_s: float = 5.0
    online_worth: float = 5.7
    online_late_worth: float = 0.86
    jobs_per_s: float = 0.343
    items_per_job: int = 10
    item_hold_s: float = 4.7
    item_due_s: float = 18.0
    item_worth: float = 35.0
    item_late_worth: float = 3.5
    length_s: float = 60.0


class Trouble(msgspec.Struct, frozen=True):
    """What happens in the middle of the run, from a third to two thirds."""

    name: str
    online_x: float = 1.0
    jobs_x: float = 1.0
    engines_lost: int = 0


DEPLOYMENTS = {
    "pelletier": Deployment(),
    "teranga": Deployment(
        online_worth=2.9,
        online_late_worth=0.44,
        online_hold_s=0.7,
        first_event_s=0.03,
        item_worth=18.0,
        item_late_worth=1.8,
    ),
}

TROUBLES = (
    Trouble("calm"),
    Trouble("online x1.6", online_x=1.6),
    Trouble("online x2.5", online_x=2.5),
    Trouble("jobs x4", jobs_x=4.0),
    Trouble("two engines lost", engines_lost=2),
    Trouble("all three", online_x=1.6, jobs_x=3.0, engines_lost=1),
)


class ArrivalOrder(Dispatcher):
    """The baseline: online first, each class by its due times, late or not."""

    def _rank(self, ticket: Ticket, now_s: float) -> Rank:
        online = ticket.work is Work.ONLINE
        return Rank.ONLINE_IN_TIME if online else Rank.BATCH_IN_TIME


class Request(msgspec.Struct):
    """One caller's request or one batch item, over its attempts."""

    number: int
    work: Work
    first_s: float
    due_s: float
    hold_s: float
    sent_s: float = 0.0
    refused_fast: bool = False
    done_part_s: float = 0.0
    run: int = 0
    worth_share: float = 0.0
    is_over: bool = False


class Model:
    """Plays one load against one dispatcher."""

    def __init__(
        self, deployment: Deployment, trouble: Trouble, seed: int, make: Callable
    ) -> None:
        self.deployment: Deployment = deployment
        self.trouble: Trouble = trouble
        self.requests: list[Request] = []
        self._rng = random.Random(seed)
        self._dispatcher = make(seed)
        self._events: list = []
        self._order = itertools.count()
        self._tickets: dict[TicketId, Request] = {}

    def play(self) -> None:
        """Run to the end of the load."""
        d = self.deployment
        self._set_engines(0.0, d.engines)
        third_s = d.length_s / 3
        lost = d.engines - self.trouble.engines_lost
        self._at(third_s, lambda now_s: self._set_engines(now_s, lost))
        self._at(2 * third_s, lambda now_s: self._set_engines(now_s, d.engines))
        for at_s in self._arrivals(d.online_per_s, self.trouble.online_x, beat=True):
            self._at(at_s, self._online_arrives)
        for at_s in self._arrivals(d.jobs_per_s, self.trouble.jobs_x, beat=False):
            self._at(at_s, self._job_arrives)
        for tick in range(int(d.length_s * 2 / 0.05)):
            self._at(tick * 0.05, lambda now_s: self._decide(self._dispatcher.tick, []))
        while self._events:
            self._now_s, _, call = heapq.heappop(self._events)
            call(self._now_s)

    def shares(self, work: Work) -> float:
        """Return the worth of what was served over what was asked."""
        asked = [r for r in self.requests if r.work is work]
        return statistics.fmean(r.worth_share for r in asked) if asked else 1.0

    def _arrivals(self, per_s: float, x: float, beat: bool) -> Iterator[float]:
        now_s = 0.0
        length_s = self.deployment.length_s
        while now_s < length_s:
            share = 1.0
            if beat:
                share = CALM_SHARE if now_s % PERIOD_S < CALM_S else PEAK_SHARE
            if length_s / 3 <= now_s < 2 * length_s / 3:
                share *= x
            now_s += self._rng.expovariate(per_s * share)
            yield now_s

    def _at(self, at_s: float, call: Callable) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), call))

    def _set_engines(self, now_s: float, count: int) -> None:
        counts = {EndpointId(f"e{n}"): self.deployment.slots for n in range(count)}
        self._carry_out(self._dispatcher.set_endpoints(counts, now_s), now_s)

    def _online_arrives(self, now_s: float) -> None:
        d = self.deployment
        hold_s = max(0.1, self._rng.gauss(d.online_hold_s, d.online_hold_s / 4))
        request = Request(
            len(self.requests),
            Work.ONLINE,
            now_s,
            now_s + d.objective_s,
            hold_s,
            now_s,
        )
        self.requests.append(request)
        self._ask_online(request, now_s)

    def _ask_online(self, request: Request, now_s: float) -> None:
        d = self.deployment
        request.sent_s = now_s
        request.run += 1
        ticket = Ticket(
            TicketId(f"{request.number}/{request.run}"),
            Work.ONLINE,
            now_s + d.objective_s,
            now_s + d.patience_s - 0.1,
        )
        self._tickets[ticket.id] = request
        run = request.run
        self._at(now_s + d.patience_s, lambda at_s: self._leave(request, run, at_s))
        self._carry_out(self._dispatcher.ask(ticket, now_s), now_s)

    def _leave(self, request: Request, run: int, now_s: float) -> None:
        """The caller's patience ends before a first event."""
        ticket_id = TicketId(f"{request.number}/{run}")
        if not request.is_over and self._dispatcher.is_waiting(ticket_id):
            request.is_over = True
            self._carry_out(self._dispatcher.release(ticket_id, now_s), now_s)

    def _job_arrives(self, now_s: float) -> None:
        d = self.deployment
        for _ in range(d.items_per_job):
            hold_s = max(1.0, self._rng.gauss(d.item_hold_s, d.item_hold_s / 4))
            due_s = now_s + d.item_due_s
            item = Request(len(self.requests), Work.BATCH, now_s, due_s, hold_s)
            self.requests.append(item)
            self._ask_batch(item, now_s)

    def _ask_batch(self, item: Request, now_s: float) -> None:
        item.run += 1
        needs_s = max(0.3, self.deployment.item_hold_s - item.done_part_s)
        ticket = Ticket(
            TicketId(f"{item.number}/{item.run}"),
            Work.BATCH,
            item.due_s,
            now_s + 3600,
            needs_s,
        )
        self._tickets[ticket.id] = item
        self._carry_out(self._dispatcher.ask(ticket, now_s), now_s)

    def _decide(self, call: Callable, args: list) -> None:
        self._carry_out(call(self._now_s, *args), self._now_s)

    def _carry_out(self, decisions, now_s: float) -> None:
        for decision in decisions:
            request = self._tickets[decision.ticket]
            if isinstance(decision, Granted):
                self._begin(request, decision.ticket, now_s)
            elif isinstance(decision, Refused):
                self._refuse(request, decision.wait_s, now_s)
            elif isinstance(decision, Revoked):
                self._stop(request, decision.ticket, now_s)

    def _begin(self, request: Request, ticket_id: TicketId, now_s: float) -> None:
        left_s = request.hold_s - request.done_part_s
        if request.work is Work.ONLINE:
            request.worth_share = self._online_share(request, now_s)
        elif request.done_part_s:
            left_s += RESUME_S
        request.sent_s = now_s if request.work is Work.BATCH else request.sent_s
        run = request.run
        self._at(now_s + left_s, lambda at_s: self._end(request, ticket_id, run, at_s))

    def _online_share(self, request: Request, now_s: float) -> float:
        """Return what a first event is worth: one in time after a refusal at once
        is half way between in time and late."""
        d = self.deployment
        late_share = d.online_late_worth / d.online_worth
        if now_s + d.first_event_s > request.sent_s + d.objective_s:
            return late_share
        if request.run == 1:
            return 1.0
        return (1.0 + late_share) / 2 if request.refused_fast else late_share

    def _end(self, request: Request, ticket_id, run: int, now_s: float) -> None:
        if request.run != run or request.is_over:
            return
        request.is_over = True
        if request.work is Work.BATCH:
            d = self.deployment
            is_late = now_s > request.due_s
            request.worth_share = d.item_late_worth / d.item_worth if is_late else 1.0
        self._carry_out(self._dispatcher.release(ticket_id, now_s), now_s)

    def _stop(self, item: Request, ticket_id: TicketId, now_s: float) -> None:
        item.done_part_s += now_s - item.sent_s
        item.run += 1

        def again(at_s: float) -> None:
            self._carry_out(self._dispatcher.release(ticket_id, at_s), at_s)
            self._ask_batch(item, at_s)

        self._at(now_s + STOP_S, again)

    def _refuse(self, request: Request, wait_s: float, now_s: float) -> None:
        d = self.deployment
        if request.run >= 2:
            request.is_over = True
            return
        request.refused_fast = now_s - request.first_s <= d.objective_s / 4
        left_s = request.first_s + d.deadline_s - now_s
        at_s = now_s + max(0.1, min(wait_s, left_s / 3))
        self._at(at_s, lambda back_s: self._ask_online(request, back_s))


def measure_policies(
    seed: int, policies: dict[str, Callable], deployments: dict[str, Deployment]
) -> Iterator[Row]:
    """Yield the worth by class of each policy; the first is the baseline."""
    for (name, deployment), trouble in itertools.product(deployments.items(), TROUBLES):
        base: dict[Work, float] = {}
        for policy, make in policies.items():
            for work in Work:
                shares = []
                for repeat in range(3):
                    model = Model(deployment, trouble, seed + repeat, make)
                    model.play()
                    shares.append(model.shares(work))
                value = statistics.fmean(shares)
                scenario = f"{name}, {trouble.name}: {policy}"
                figure = f"{work.value} worth"
                yield Row(scenario, figure, value, "", base.get(work))
                base.setdefault(work, value)
