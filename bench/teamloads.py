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


class TeamLoad(msgspec.Struct, frozen=True):
    """What one team sends.

    Between `burst_from_s` and `burst_to_s` its rate is `burst_factor` times the usual.
    """

    team: TeamId
    rate_per_s: float
    priority: int = 0
    weight: float = 1.0
    burst_factor: float = 1.0
    burst_from_s: float = 0.0
    burst_to_s: float = 0.0
    tokens: int = 0

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
                tokens=load.tokens,
            )


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
