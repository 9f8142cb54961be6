"""Compares choices of endpoints of unequal and changing speed in the queueing model."""

import statistics
from collections.abc import Iterator

import msgspec

from apricotquay.serving.slots.tickets import Work

from .policies import LARGE
from .queueing import LocalTables, Policy, QueueingModel, Request
from .results import Row
from .workloads import Deployment, Disturbance, Workload, generate_workload

# 0.55 and 1.2 of the usual speed, every third engine as usual.
SLOWNESSES = (1 / 0.55, 1 / 1.2, 1.0)
NOISE_SHARE = 0.15
CALM = msgspec.structs.replace(
    LARGE, online_per_s=110.0, jobs_per_s=0.8, duration_s=12.0
)
REPEATS = 3
DEPLOYMENTS = {
    "equal": CALM,
    "0.55 and 1.2 of the speed": msgspec.structs.replace(
        CALM, engine_slowness=SLOWNESSES
    ),
    "noise": msgspec.structs.replace(CALM, noise_share=NOISE_SHARE),
    "both": msgspec.structs.replace(
        CALM, engine_slowness=SLOWNESSES, noise_share=NOISE_SHARE
    ),
    "both, near the limit": msgspec.structs.replace(
        CALM, engine_slowness=SLOWNESSES, noise_share=NOISE_SHARE, online_per_s=150.0
    ),
}
DAEMON_COUNTS = (10, 80)
POLICIES = (
    Policy("one table, free share"),
    Policy("one table, expected time", reports_use=True),
    *(
        Policy(
            f"{count} own tables, {kind}",
            lambda seed, count=count: LocalTables(count, seed),
            reports_use=reports,
        )
        for count in DAEMON_COUNTS
        for kind, reports in (("free share", False), ("sampled", True))
    ),
)


def measure_unequal_engines(seed: int) -> Iterator[Row]:
    """Yield waits, first events and the spread of load for each policy."""
    for name, deployment in DEPLOYMENTS.items():
        workloads = [
            generate_workload(deployment, Disturbance("calm"), seed + n)
            for n in range(REPEATS)
        ]
        for policy in POLICIES:
            yield from _measure(f"{name}: {policy.name}", deployment, workloads, policy)


def _measure(
    scenario: str, deployment: Deployment, workloads: list[Workload], policy: Policy
) -> Iterator[Row]:
    """Yield the mean of each figure over the workloads."""
    figures: dict[str, list[float]] = {}
    for number, workload in enumerate(workloads):
        model = QueueingModel(deployment, workload, policy, number)
        model.run()
        for figure, value in _figures(model, deployment):
            figures.setdefault(figure, []).append(value)
    for figure, values in figures.items():
        yield Row(scenario, figure, statistics.fmean(values), "")


def _figures(
    model: QueueingModel, deployment: Deployment
) -> Iterator[tuple[str, float]]:
    """Yield the figures of a run; times are in seconds."""
    served = [r for r in model.requests if r.first_event_s is not None]
    first_s = [r.first_event_s for r in served]
    yield "first event, mean s", statistics.fmean(first_s)
    yield "first event, p99 s", sorted(first_s)[int(len(first_s) * 0.99)]
    if len(deployment.engine_slowness) > 1:
        yield from _waits_by_speed(served)
    yield "in time", model.in_time_share(Work.ONLINE)
    yield "busiest over mean by speed", _busiest(model)
    arrivals = sum(engine.arrivals for engine in model.engines)
    full = sum(engine.full_arrivals for engine in model.engines)
    yield "arrivals at full engines", full / arrivals


def _waits_by_speed(served: list[Request]) -> Iterator[tuple[str, float]]:
    for kind, slowness in (("slow", max(SLOWNESSES)), ("fast", min(SLOWNESSES))):
        waits = [r.slot_wait_s for r in served if r.slowness == slowness]
        yield f"wait at {kind} engines, mean s", statistics.fmean(waits or [0.0])


def _busiest(model: QueueingModel) -> float:
    """Return the most work done at an engine over the mean, by the engines' speeds."""
    shares = [engine.work_s * engine.speed.slowness for engine in model.engines]
    return max(shares) * len(shares) / sum(shares)
