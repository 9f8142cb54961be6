"""Workloads of many teams that compete for too few slots, for the queueing model."""

import random
from collections.abc import Iterable, Iterator

import msgspec

from apricotquay.ids import TeamId

from .workloads import (
    CALM_DURATION_S,
    CALM_RATE_FACTOR,
    MIN_ONLINE_SERVICE_TIME_S,
    PEAK_PERIOD_S,
    PEAK_RATE_FACTOR,
    Deployment,
    EngineCount,
    OnlineArrival,
    Workload,
)

# How far a team's rate may rise above its usual one.
MAX_RATE_FACTOR = PEAK_RATE_FACTOR
LARGE_SHARE = 0.1


class TeamLoad(msgspec.Struct, frozen=True):
    """What one team sends.

    Between `burst_from_s` and `burst_to_s` its rate is `burst_factor` times the usual.
    A tenth of its requests need `large_tokens` of memory, if set, the others `tokens`.
    """

    team: TeamId
    rate_per_s: float
    priority: int = 0
    weight: float = 1.0
    burst_factor: float = 1.0
    burst_from_s: float = 0.0
    burst_to_s: float = 0.0
    tokens: int = 0
    large_tokens: int = 0

    def rate_at(self, at_s: float) -> float:
        """Return the team's rate at a time."""
        in_burst = self.burst_from_s <= at_s < self.burst_to_s
        return self.rate_per_s * (self.burst_factor if in_burst else 1.0)


def team_workload(
    deployment: Deployment,
    loads: Iterable[TeamLoad],
    seed: int,
    engines: Iterable[EngineCount] = (),
    has_peaks: bool = False,
) -> Workload:
    """Return the arrivals of all teams; a team's do not depend on the other teams."""
    online = [
        arrival
        for load in loads
        for arrival in _arrivals(
            deployment, load, random.Random(f"{seed} {load.team}"), has_peaks
        )
    ]
    return Workload(
        deployment.duration_s,
        sorted(online, key=lambda arrival: arrival.at_s),
        [],
        list(engines) or [EngineCount(0.0, deployment.engines)],
    )


def _arrivals(
    d: Deployment, load: TeamLoad, rng: random.Random, has_peaks: bool
) -> Iterator[OnlineArrival]:
    """Yield a team's arrivals, thinned from a Poisson process of its highest rate."""
    highest_per_s = load.rate_per_s * max(1.0, load.burst_factor) * MAX_RATE_FACTOR
    for at_s in _poisson(highest_per_s, d.duration_s, rng):
        rate_per_s = load.rate_at(at_s) * _wave(at_s, has_peaks)
        service_time_s = rng.gauss(d.online_service_time_s, d.online_service_time_s / 4)
        if rng.random() * highest_per_s < rate_per_s:
            yield OnlineArrival(
                at_s,
                max(MIN_ONLINE_SERVICE_TIME_S, service_time_s),
                team=load.team,
                priority=load.priority,
                weight=load.weight,
                tokens=_tokens(load, rng),
            )


def _tokens(load: TeamLoad, rng: random.Random) -> int:
    if load.large_tokens and rng.random() < LARGE_SHARE:
        return load.large_tokens
    return load.tokens


def _poisson(rate_per_s: float, end_s: float, rng: random.Random) -> Iterator[float]:
    at_s = rng.expovariate(rate_per_s)
    while at_s < end_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


def _wave(at_s: float, has_peaks: bool) -> float:
    if not has_peaks:
        return 1.0
    is_calm = at_s % PEAK_PERIOD_S < CALM_DURATION_S
    return CALM_RATE_FACTOR if is_calm else PEAK_RATE_FACTOR


class TeamScenario(msgspec.Struct, frozen=True):
    """A load of several teams; results are given for each group of teams."""

    name: str
    deployment: Deployment
    loads: tuple[TeamLoad, ...]
    group_of: dict[TeamId, str]
    engines: tuple[EngineCount, ...] = ()
    has_peaks: bool = False

    def workload(self, seed: int) -> Workload:
        """Return the workload of a seed."""
        return team_workload(
            self.deployment, self.loads, seed, self.engines, self.has_peaks
        )


# Four teams of 2 a second at two endpoints, and one that sends 30 a second for 12 s.
PAIR = Deployment(engines=2, online_service_time_s=0.7, duration_s=20.0)
SMALL_LOADS = tuple(TeamLoad(TeamId(f"small{n}"), 2.0) for n in range(4))
LARGE_LOAD = TeamLoad(
    TeamId("large"), 1.0, burst_factor=30.0, burst_from_s=4.0, burst_to_s=16.0
)

# 78 teams of unequal size and a large one, which sends 7.5 times its usual for 6.5 s.
FLEET = Deployment(duration_s=30.0)
UNEQUAL_RATES_PER_S = (0.1,) * 40 + (0.3,) * 30 + (1.0,) * 8
UNEQUAL_LOADS = tuple(
    TeamLoad(TeamId(f"team{n}"), rate_per_s)
    for n, rate_per_s in enumerate(UNEQUAL_RATES_PER_S)
)
BURSTING_LOAD = TeamLoad(
    TeamId("large"), 6.0, burst_factor=7.5, burst_from_s=8.0, burst_to_s=14.5
)

# 81 equal teams in three classes, and the loss of half the endpoints for 10 s.
CLASS_COUNT = 3
CLASS_LOADS = tuple(
    TeamLoad(TeamId(f"team{n}"), 0.525, priority=n % CLASS_COUNT) for n in range(81)
)
HALF_LOST = (EngineCount(0.0, 6), EngineCount(10.0, 3), EngineCount(20.0, 6))

# Requests of two sizes; the memory of the endpoints is short in the peaks.
MEMORY_TOKENS = 72_000
SMALL_TOKENS, LARGE_TOKENS = 5_000, 40_000
SIZED_FLEET = Deployment(duration_s=30.0, memory_tokens=MEMORY_TOKENS)
SIZED_LOADS = tuple(
    TeamLoad(TeamId(f"team{n}"), 4.5, tokens=SMALL_TOKENS, large_tokens=LARGE_TOKENS)
    for n in range(10)
)


def _by_size(loads: Iterable[TeamLoad]) -> dict[TeamId, str]:
    return {load.team: "large" if load.team == "large" else "small" for load in loads}


def _by_class(loads: Iterable[TeamLoad]) -> dict[TeamId, str]:
    return {load.team: f"class {load.priority}" for load in loads}


LARGE_REQUESTS = TeamScenario(
    "large requests, waves",
    SIZED_FLEET,
    SIZED_LOADS,
    {load.team: "all" for load in SIZED_LOADS},
    has_peaks=True,
)

SCENARIOS = (
    TeamScenario("small teams alone", PAIR, SMALL_LOADS, _by_size(SMALL_LOADS)),
    TeamScenario(
        "large team beside small ones",
        PAIR,
        (*SMALL_LOADS, LARGE_LOAD),
        _by_size((*SMALL_LOADS, LARGE_LOAD)),
    ),
    TeamScenario(
        "unequal teams, waves",
        FLEET,
        UNEQUAL_LOADS,
        _by_size(UNEQUAL_LOADS),
        has_peaks=True,
    ),
    TeamScenario(
        "unequal teams, waves, one at 7.5 times its usual",
        FLEET,
        (*UNEQUAL_LOADS, BURSTING_LOAD),
        _by_size((*UNEQUAL_LOADS, BURSTING_LOAD)),
        has_peaks=True,
    ),
    TeamScenario(
        "three classes, waves",
        FLEET,
        CLASS_LOADS,
        _by_class(CLASS_LOADS),
        has_peaks=True,
    ),
    TeamScenario(
        "three classes, waves, half the endpoints lost",
        FLEET,
        CLASS_LOADS,
        _by_class(CLASS_LOADS),
        HALF_LOST,
        has_peaks=True,
    ),
)
