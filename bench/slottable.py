"""Costs of a service's slot table as endpoints and waiting items grow."""

import random
import time
from collections.abc import Iterator

from apricotquay.ids import EndpointId
from apricotquay.serving.dispatch import Dispatcher, Granted, Ticket, TicketId, Work

from .results import Row

SHAPES = ((6, 100), (45, 500), (85, 1000))
SLOTS = 8
EVENTS = 2_000
ONLINE_SERVICE_TIME_S = 0.7
# Of a peak in which online requests take all slots and half as many again wait.
LOAD = 1.5


def measure_slot_table(seed: int) -> Iterator[Row]:
    """Yield the time of an online request's ask and release beside waiting items,
    of which none, or half, avoid an endpoint that failed them.
    """
    for endpoints, items in SHAPES:
        for avoiding in (0.0, 0.5):
            table, now_s = _full_table(endpoints, items, avoiding, seed)
            scenario = (
                f"{endpoints} endpoints, {items} items wait, {avoiding:.0%} avoid some"
            )
            value_us = _play(table, endpoints, now_s) * 1e6
            yield Row(scenario, "an online request's ask and release", value_us, "us")


def _full_table(
    endpoints: int, items: int, avoiding: float, seed: int
) -> tuple[Dispatcher, float]:
    rng = random.Random(seed)
    table = Dispatcher(seed)
    ids = [EndpointId(f"e{n}") for n in range(endpoints)]
    table.set_endpoints(dict.fromkeys(ids, SLOTS), 0.0)
    for number in range(endpoints * SLOTS + items):
        avoid = frozenset({rng.choice(ids)}) if rng.random() < avoiding else frozenset()
        due_s = rng.uniform(5.0, 18.0)
        ticket = Ticket(
            TicketId(f"b{number}"), Work.BATCH, due_s, 3600.0, 4.0, avoid=avoid
        )
        table.request_slot(ticket, 0.0)
    return table, 1.0


def _play(table: Dispatcher, endpoints: int, now_s: float) -> float:
    """Return the mean time of a request's two calls, in seconds."""
    step_s = ONLINE_SERVICE_TIME_S / (endpoints * SLOTS * LOAD)
    running: list[tuple[float, TicketId]] = []
    started_s = time.perf_counter()
    for number in range(EVENTS):
        now_s += step_s
        ticket = Ticket(TicketId(f"o{number}"), Work.ONLINE, now_s + 0.3, now_s + 1.8)
        decisions = list(table.request_slot(ticket, now_s))
        while running and running[0][0] <= now_s:
            decisions += table.release(running.pop(0)[1], now_s)
        for decision in decisions:
            if not isinstance(decision, Granted):
                # A batch item that gives way; a refused request is gone already.
                decisions += table.release(decision.ticket, now_s)
            elif decision.ticket.startswith("o"):
                running.append((now_s + ONLINE_SERVICE_TIME_S, decision.ticket))
    return (time.perf_counter() - started_s) / EVENTS
