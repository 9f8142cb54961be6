"""Workloads of the queueing model: generated with periodic peaks or read from logs."""

import random
from collections.abc import Iterable, Iterator

import msgspec

from apricotquay.events import Event
from apricotquay.ids import TeamId

PEAK_PERIOD_S, CALM_DURATION_S = 5.8, 3.4
CALM_RATE_FACTOR, PEAK_RATE_FACTOR = 0.383, 1.87
MIN_ONLINE_SERVICE_TIME_S, MIN_ITEM_SERVICE_TIME_S = 0.1, 1.0


class Deployment(msgspec.Struct, frozen=True):
    """Size of a deployment, its workload, and the values of its requests.

    `objective_s` is the time limit for an online request's first event, which
    comes `time_to_first_event_s` after the engine started the request. A caller
    gives up a try after `caller_timeout_s`; its delay before a retry is at most a
    third of what is left of `total_timeout_s`, but at least 0.1 s. Items are due
    `item_time_limit_s` after their job's arrival.
    """

    engines: int = 6
    slots: int = 8
    online_per_s: float = 27.0
    online_service_time_s: float = 0.65
    objective_s: float = 0.3
    time_to_first_event_s: float = 0.06
    caller_timeout_s: float = 2.0
    total_timeout_s: float = 5.0
    online_value: float = 5.7
    online_late_value: float = 0.86
    jobs_per_s: float = 0.343
    items_per_job: int = 10
    item_service_time_s: float = 4.7
    item_time_limit_s: float = 18.0
    item_value: float = 35.0
    item_late_value: float = 3.5
    duration_s: float = 60.0
    # How long work takes at the engines in turn, as a multiple of the usual.
    engine_slowness: tuple[float, ...] = (1.0,)
    # An engine takes so many times longer for this share of the time.
    noise_share: float = 0.0
    noise_factor: float = 2.5
    memory_tokens: int = 0


DEPLOYMENTS = {
    "pelletier": Deployment(),
    "teranga": Deployment(
        online_value=2.9,
        online_late_value=0.44,
        online_service_time_s=0.7,
        time_to_first_event_s=0.03,
        item_value=18.0,
        item_late_value=1.8,
    ),
}


class Disturbance(msgspec.Struct, frozen=True):
    """A change in the middle third of a generated workload.

    `online_factor` and `jobs_factor` multiply the arrival rates. `hanging_share`
    is the share of online attempts whose endpoint never responds.
    """

    name: str
    online_factor: float = 1.0
    jobs_factor: float = 1.0
    engines_lost: int = 0
    hanging_share: float = 0.0


class OnlineArrival(msgspec.Struct, frozen=True):
    """An online request's arrival and how long it holds a slot.

    The other fields are those of its ticket.
    """

    at_s: float
    service_time_s: float
    hangs: bool = False
    team: TeamId = TeamId("")
    priority: int = 0
    weight: float = 1.0
    tokens: int = 0


class JobArrival(msgspec.Struct, frozen=True):
    """A batch job's arrival, due time, and how long each item holds a slot."""

    at_s: float
    due_s: float
    item_service_times_s: tuple[float, ...]


class EngineCount(msgspec.Struct, frozen=True):
    """How many engines accept work from a time on."""

    at_s: float
    engines: int


class Workload(msgspec.Struct, frozen=True):
    """Everything that a deployment has to serve in one run."""

    duration_s: float
    online: list[OnlineArrival]
    jobs: list[JobArrival]
    engines: list[EngineCount]


def generate_workload(
    deployment: Deployment, disturbance: Disturbance, seed: int
) -> Workload:
    """Return a workload of alternating calm and peak phases, with a disturbance."""
    rng = random.Random(seed)
    d = deployment
    third_s = d.duration_s / 3
    return Workload(
        d.duration_s,
        list(_generate_online(d, disturbance, rng)),
        list(_generate_jobs(d, disturbance, rng)),
        [
            EngineCount(0.0, d.engines),
            EngineCount(third_s, d.engines - disturbance.engines_lost),
            EngineCount(2 * third_s, d.engines),
        ],
    )


def _generate_online(
    d: Deployment, disturbance: Disturbance, rng: random.Random
) -> Iterator[OnlineArrival]:
    for at_s in _generate_arrivals(
        d, d.online_per_s, disturbance.online_factor, rng, has_peaks=True
    ):
        service_time_s = rng.gauss(d.online_service_time_s, d.online_service_time_s / 4)
        hangs = _is_disturbed(d, at_s) and rng.random() < disturbance.hanging_share
        yield OnlineArrival(at_s, max(MIN_ONLINE_SERVICE_TIME_S, service_time_s), hangs)


def _generate_jobs(
    d: Deployment, disturbance: Disturbance, rng: random.Random
) -> Iterator[JobArrival]:
    for at_s in _generate_arrivals(
        d, d.jobs_per_s, disturbance.jobs_factor, rng, has_peaks=False
    ):
        item_service_times_s = tuple(
            max(
                MIN_ITEM_SERVICE_TIME_S,
                rng.gauss(d.item_service_time_s, d.item_service_time_s / 4),
            )
            for _ in range(d.items_per_job)
        )
        yield JobArrival(at_s, at_s + d.item_time_limit_s, item_service_times_s)


def _generate_arrivals(
    d: Deployment,
    rate_per_s: float,
    disturbance_factor: float,
    rng: random.Random,
    *,
    has_peaks: bool,
) -> Iterator[float]:
    now_s = 0.0
    while now_s < d.duration_s:
        rate_factor = 1.0
        if has_peaks:
            rate_factor = (
                CALM_RATE_FACTOR
                if now_s % PEAK_PERIOD_S < CALM_DURATION_S
                else PEAK_RATE_FACTOR
            )
        if _is_disturbed(d, now_s):
            rate_factor *= disturbance_factor
        now_s += rng.expovariate(rate_per_s * rate_factor)
        yield now_s


def _is_disturbed(d: Deployment, now_s: float) -> bool:
    return d.duration_s / 3 <= now_s < 2 * d.duration_s / 3


def extract_workload(lines: Iterable[dict]) -> Workload:
    """Return the workload that a fleet's log lines describe.

    A caller's retry after a refusal counts as an online request of its own.
    """
    lines = sorted(lines, key=lambda line: line["at_ms"])
    online = list(_extract_online(lines))
    jobs = list(_extract_jobs(lines))
    started_s = min(arrival.at_s for arrival in (*online, *jobs))
    ended_s = max(arrival.at_s for arrival in (*online, *jobs))
    return Workload(
        ended_s - started_s,
        [msgspec.structs.replace(a, at_s=a.at_s - started_s) for a in online],
        [
            JobArrival(a.at_s - started_s, a.due_s - started_s, a.item_service_times_s)
            for a in jobs
        ],
        list(_extract_engines(lines, started_s)),
    )


def _has_event(line: dict, event: Event) -> bool:
    return line["number"] == event.number


def iter_endpoint_requests(lines: Iterable[dict]) -> Iterator[dict]:
    """Yield the log lines of teams' online requests that an endpoint was used for."""
    for line in lines:
        if _has_event(line, Event.REQUEST_ENDED) and line["team"] and line["endpoint"]:
            yield line


def compute_item_run_times(lines: Iterable[dict]) -> dict[str, dict[str, float]]:
    """Return each completed item's total run time in seconds, by job."""
    run_times_s: dict[str, dict[str, float]] = {}
    completed: set[tuple[str, str]] = set()
    for line in lines:
        if _has_event(line, Event.ITEM_ATTEMPT_ENDED):
            items = run_times_s.setdefault(line["job"], {})
            items[line["item"]] = items.get(line["item"], 0.0) + line["ran_ms"] / 1000
        elif _has_event(line, Event.ITEM_COMPLETED):
            completed.add((line["job"], line["item"]))
    return {
        job: {item: s for item, s in items.items() if (job, item) in completed}
        for job, items in run_times_s.items()
    }


def _extract_online(lines: list[dict]) -> Iterator[OnlineArrival]:
    for line in iter_endpoint_requests(lines):
        service_time_ms = line["took_ms"] - line["slot_wait_ms"]
        at_ms = line["at_ms"] - line["took_ms"]
        yield OnlineArrival(at_ms / 1000, max(0.0, service_time_ms / 1000))


def _extract_jobs(lines: list[dict]) -> Iterator[JobArrival]:
    items = compute_item_run_times(lines)
    due_s = {
        line["job"]: (line["at_ms"] - line["late_ms"]) / 1000
        for line in lines
        if _has_event(line, Event.ITEM_COMPLETED)
    }
    seen: set[str] = set()
    for line in lines:
        job = line.get("job")
        if not _has_event(line, Event.JOB_ACCEPTED) or job in seen or job not in due_s:
            continue
        seen.add(job)
        item_service_times_s = tuple(items[job].values())
        yield JobArrival(line["at_ms"] / 1000, due_s[job], item_service_times_s)


def _extract_engines(lines: list[dict], started_s: float) -> Iterator[EngineCount]:
    """Yield how many endpoints accept work according to any daemon."""
    listed: set[str] = set()
    last = 0
    for line in lines:
        if _has_event(line, Event.ENDPOINT_LISTED):
            listed.add(line["endpoint"])
        elif _has_event(line, Event.ENDPOINT_UNLISTED) or _has_event(
            line, Event.ENDPOINT_LEAVING
        ):
            listed.discard(line["endpoint"])
        if len(listed) != last:
            last = len(listed)
            yield EngineCount(max(0.0, line["at_ms"] / 1000 - started_s), last)
