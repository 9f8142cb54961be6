"""Time per request of the event-loop daemon's slot table by endpoints and items."""

import collections
import itertools
import random
import time
from collections.abc import Iterator

from apricotquay.ids import EndpointId, TeamId
from apricotquay.serving.engine import EndpointLoad
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.slotuse import UseReport
from apricotquay.serving.slots.tickets import Granted, Ticket, TicketId, Work

from .results import Row

ENDPOINT_AND_ITEM_COUNTS = ((6, 100), (45, 500), (85, 1000))
SLOTS_PER_ENDPOINT = 8
REQUEST_COUNT = 2_000
ONLINE_SERVICE_TIME_S = 0.7
# Offered online load over capacity: requests fill all slots and half as many wait.
LOAD_FACTOR = 1.5
# Below capacity, each request is a choice among many endpoints with free slots.
CALM_LOAD_FACTOR = 0.7
CALM_ENDPOINT_COUNTS = (45, 600)
SLOWNESSES = (1.8, 0.83)
GAP_US = 10_000
# One team, and as many as the users have.
TEAM_COUNTS = (1, 86)


def measure_slot_table(seed: int) -> Iterator[Row]:
    """Yield the time to request and release an online request's slot while batch
    items wait, of which none, or half, avoid an endpoint that failed them.
    """
    cases = itertools.product(ENDPOINT_AND_ITEM_COUNTS, (0.0, 0.5), TEAM_COUNTS)
    for (endpoint_count, item_count), avoiding_share, teams in cases:
        table, now_s = _fill_table(endpoint_count, item_count, avoiding_share, seed)
        scenario = (
            f"{endpoint_count} endpoints, {item_count} items wait, "
            f"{avoiding_share:.0%} avoid some, {teams} teams"
        )
        value_us = _measure_request_s(table, endpoint_count, now_s, teams) * 1e6
        yield Row(scenario, "an online request's ask and release", value_us, "us")
    for endpoint_count in CALM_ENDPOINT_COUNTS:
        for speeds in (False, True):
            kind = "unequal speeds, reported" if speeds else "nothing reported"
            value_us = _measure_calm_s(endpoint_count, seed, speeds=speeds) * 1e6
            scenario = f"{endpoint_count} endpoints, most slots free, {kind}"
            yield Row(scenario, "an online request's ask and release", value_us, "us")


def _measure_calm_s(endpoint_count: int, seed: int, *, speeds: bool) -> float:
    """Return the mean time of a request's calls of a table with free slots."""
    table = Dispatcher(seed)
    ids = [EndpointId(f"e{n}") for n in range(endpoint_count)]
    table.set_endpoints(dict.fromkeys(ids, SLOTS_PER_ENDPOINT), 0.0)
    reports = {e: _report(SLOWNESSES[n % 2]) for n, e in enumerate(ids)}
    slots = endpoint_count * SLOTS_PER_ENDPOINT
    interval_s = ONLINE_SERVICE_TIME_S / (slots * CALM_LOAD_FACTOR)
    running: collections.deque[tuple[float, TicketId, EndpointId]] = collections.deque()
    now_s, started_s = 0.0, 0.0
    # The slots fill first, which is not measured.
    for number in range(-slots, REQUEST_COUNT):
        if number == 0:
            started_s = time.perf_counter()
        now_s += interval_s
        ticket = Ticket(TicketId(f"o{number}"), Work.ONLINE, now_s + 0.3, now_s + 1.8)
        granted = table.request_slot(ticket, now_s)[0]
        running.append((now_s + ONLINE_SERVICE_TIME_S, ticket.id, granted.endpoint))
        while running[0][0] <= now_s:
            _, ticket_id, endpoint = running.popleft()
            if speeds:
                table.record_use(endpoint, reports[endpoint], now_s)
            table.release(ticket_id, now_s)
    return (time.perf_counter() - started_s) / REQUEST_COUNT


def _report(slowness: float) -> UseReport:
    load = EndpointLoad(4, 0, SLOTS_PER_ENDPOINT)
    return UseReport(0, 60, int(GAP_US * slowness), 40, load, 600)


def _fill_table(
    endpoint_count: int, item_count: int, avoiding_share: float, seed: int
) -> tuple[Dispatcher, float]:
    rng = random.Random(seed)
    table = Dispatcher(seed)
    ids = [EndpointId(f"e{n}") for n in range(endpoint_count)]
    table.set_endpoints(dict.fromkeys(ids, SLOTS_PER_ENDPOINT), 0.0)
    for number in range(endpoint_count * SLOTS_PER_ENDPOINT + item_count):
        avoid = (
            frozenset({rng.choice(ids)})
            if rng.random() < avoiding_share
            else frozenset()
        )
        due_s = rng.uniform(5.0, 18.0)
        ticket = Ticket(
            TicketId(f"b{number}"), Work.BATCH, due_s, 3600.0, 4.0, avoid=avoid
        )
        table.request_slot(ticket, 0.0)
    return table, 1.0


def _measure_request_s(
    table: Dispatcher, endpoint_count: int, now_s: float, teams: int
) -> float:
    """Return the mean time of a request's two calls of the table, in seconds."""
    interval_s = ONLINE_SERVICE_TIME_S / (
        endpoint_count * SLOTS_PER_ENDPOINT * LOAD_FACTOR
    )
    running: list[tuple[float, TicketId]] = []
    started_s = time.perf_counter()
    for number in range(REQUEST_COUNT):
        now_s += interval_s
        ticket = Ticket(
            TicketId(f"o{number}"),
            Work.ONLINE,
            now_s + 0.3,
            now_s + 1.8,
            team=TeamId(f"team{number % teams}"),
        )
        decisions = list(table.request_slot(ticket, now_s))
        while running and running[0][0] <= now_s:
            decisions += table.release(running.pop(0)[1], now_s)
        for decision in decisions:
            if not isinstance(decision, Granted):
                # Releases a preempted batch item; a refused request has left already.
                decisions += table.release(decision.ticket, now_s)
            elif decision.ticket.startswith("o"):
                running.append((now_s + ONLINE_SERVICE_TIME_S, decision.ticket))
    return (time.perf_counter() - started_s) / REQUEST_COUNT
