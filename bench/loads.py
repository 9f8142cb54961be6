"""Loads of the queueing model: made up in a steady beat, or read from logs."""

import random
from collections.abc import Iterable, Iterator

import msgspec

from apricotquay.events import Event

PERIOD_S, CALM_S = 5.8, 3.4
CALM_SHARE, PEAK_SHARE = 0.383, 1.87
MIN_ONLINE_HOLD_S, MIN_ITEM_HOLD_S = 0.1, 1.0


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


class Trouble(msgspec.Struct, frozen=True):
    """What happens in the middle of a made-up load, from a third to two thirds.

    `hung_share` is the share of online attempts whose endpoint never answers.
    """

    name: str
    online_x: float = 1.0
    jobs_x: float = 1.0
    engines_lost: int = 0
    hung_share: float = 0.0


class OnlineArrival(msgspec.Struct, frozen=True):
    """An online request: when it comes and how long it holds a slot."""

    at_s: float
    hold_s: float
    hangs: bool = False


class JobArrival(msgspec.Struct, frozen=True):
    """A batch job: when it comes, when it is due, and how long its items run."""

    at_s: float
    due_s: float
    holds_s: tuple[float, ...]


class EngineCount(msgspec.Struct, frozen=True):
    """From a time on, this many engines take work."""

    at_s: float
    engines: int


class Load(msgspec.Struct, frozen=True):
    """All that comes to a deployment in a run."""

    length_s: float
    online: list[OnlineArrival]
    jobs: list[JobArrival]
    engines: list[EngineCount]


def steady_load(deployment: Deployment, trouble: Trouble, seed: int) -> Load:
    """Return a load in a beat of calm and peak, with trouble in its middle."""
    rng = random.Random(seed)
    d = deployment
    third_s = d.length_s / 3
    return Load(
        d.length_s,
        list(_online(d, trouble, rng)),
        list(_jobs(d, trouble, rng)),
        [
            EngineCount(0.0, d.engines),
            EngineCount(third_s, d.engines - trouble.engines_lost),
            EngineCount(2 * third_s, d.engines),
        ],
    )


def _online(
    d: Deployment, trouble: Trouble, rng: random.Random
) -> Iterator[OnlineArrival]:
    for at_s in _arrivals(d, d.online_per_s, trouble.online_x, rng, beat=True):
        hold_s = rng.gauss(d.online_hold_s, d.online_hold_s / 4)
        hangs = _is_troubled(d, at_s) and rng.random() < trouble.hung_share
        yield OnlineArrival(at_s, max(MIN_ONLINE_HOLD_S, hold_s), hangs)


def _jobs(d: Deployment, trouble: Trouble, rng: random.Random) -> Iterator[JobArrival]:
    for at_s in _arrivals(d, d.jobs_per_s, trouble.jobs_x, rng, beat=False):
        holds_s = tuple(
            max(MIN_ITEM_HOLD_S, rng.gauss(d.item_hold_s, d.item_hold_s / 4))
            for _ in range(d.items_per_job)
        )
        yield JobArrival(at_s, at_s + d.item_due_s, holds_s)


def _arrivals(
    d: Deployment, per_s: float, x: float, rng: random.Random, *, beat: bool
) -> Iterator[float]:
    now_s = 0.0
    while now_s < d.length_s:
        share = 1.0
        if beat:
            share = CALM_SHARE if now_s % PERIOD_S < CALM_S else PEAK_SHARE
        if _is_troubled(d, now_s):
            share *= x
        now_s += rng.expovariate(per_s * share)
        yield now_s


def _is_troubled(d: Deployment, now_s: float) -> bool:
    return d.length_s / 3 <= now_s < 2 * d.length_s / 3


def recorded_load(lines: Iterable[dict]) -> Load:
    """Return the load that a fleet's log lines tell of.

    An attempt of a caller counts as an online request of its own, also where it
    is the return of one that was refused.
    """
    lines = sorted(lines, key=lambda line: line["at_ms"])
    online = list(_recorded_online(lines))
    jobs = list(_recorded_jobs(lines))
    begun_s = min(arrival.at_s for arrival in (*online, *jobs))
    ended_s = max(arrival.at_s for arrival in (*online, *jobs))
    return Load(
        ended_s - begun_s,
        [msgspec.structs.replace(a, at_s=a.at_s - begun_s) for a in online],
        [JobArrival(a.at_s - begun_s, a.due_s - begun_s, a.holds_s) for a in jobs],
        list(_recorded_engines(lines, begun_s)),
    )


def _is(line: dict, event: Event) -> bool:
    return line["number"] == event.number


def recorded_requests(lines: Iterable[dict]) -> Iterator[dict]:
    """Yield the lines of the teams' online requests that endpoints answered."""
    for line in lines:
        if _is(line, Event.REQUEST_ENDED) and line["team"] and line["endpoint"]:
            yield line


def recorded_items(lines: Iterable[dict]) -> dict[str, dict[str, float]]:
    """Return how long each item that was done ran, by job, in seconds."""
    ran_s: dict[str, dict[str, float]] = {}
    done: set[tuple[str, str]] = set()
    for line in lines:
        if _is(line, Event.ITEM_ATTEMPT_ENDED):
            items = ran_s.setdefault(line["job"], {})
            items[line["item"]] = items.get(line["item"], 0.0) + line["ran_ms"] / 1000
        elif _is(line, Event.ITEM_COMPLETED):
            done.add((line["job"], line["item"]))
    return {
        job: {item: s for item, s in items.items() if (job, item) in done}
        for job, items in ran_s.items()
    }


def _recorded_online(lines: list[dict]) -> Iterator[OnlineArrival]:
    for line in recorded_requests(lines):
        held_ms = line["took_ms"] - line["slot_wait_ms"]
        at_ms = line["at_ms"] - line["took_ms"]
        yield OnlineArrival(at_ms / 1000, max(0.0, held_ms / 1000))


def _recorded_jobs(lines: list[dict]) -> Iterator[JobArrival]:
    items = recorded_items(lines)
    due_s = {
        line["job"]: (line["at_ms"] - line["late_ms"]) / 1000
        for line in lines
        if _is(line, Event.ITEM_COMPLETED)
    }
    seen: set[str] = set()
    for line in lines:
        job = line.get("job")
        if not _is(line, Event.JOB_ACCEPTED) or job in seen or job not in due_s:
            continue
        seen.add(job)
        holds_s = tuple(items[job].values())
        yield JobArrival(line["at_ms"] / 1000, due_s[job], holds_s)


def _recorded_engines(lines: list[dict], begun_s: float) -> Iterator[EngineCount]:
    """Yield how many endpoints any daemon lists as taking work."""
    listed: set[str] = set()
    last = 0
    for line in lines:
        if _is(line, Event.ENDPOINT_LISTED):
            listed.add(line["endpoint"])
        elif _is(line, Event.ENDPOINT_UNLISTED) or _is(line, Event.ENDPOINT_LEAVING):
            listed.discard(line["endpoint"])
        if len(listed) != last:
            last = len(listed)
            yield EngineCount(max(0.0, line["at_ms"] / 1000 - begun_s), last)
