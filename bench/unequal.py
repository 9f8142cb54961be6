"""Compares choices of endpoints of unequal and changing speed in the queueing model."""

from collections.abc import Iterator

import msgspec

from apricotquay.serving.slots.tickets import Work

from .policies import LARGE
from .queueing import LocalTables, Policy, QueueingModel, Request
from .results import Row
from .workloads import Deployment, Disturbance, generate_workload

# 0.55 and 1.2 of the usual speed, every third engine as usual.
SLOWNESSES = (1 / 0.55, 1 / 1.2, 1.0)
NOISE_SHARE = 0.15
CALM = msgspec.structs.replace(
    LARGE, online_per_s=110.0, jobs_per_s=0.8, duration_s=20.0
)
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
        workload = generate_workload(deployment, Disturbance("calm"), seed)
        for policy in POLICIES:
            model = QueueingModel(deployment, workload, policy, seed)
            model.run()
            yield from _rows(f"{name}: {policy.name}", model, deployment)


def _rows(scenario: str, model: QueueingModel, deployment: Deployment) -> Iterator[Row]:
    served = [r for r in model.requests if r.first_event_s is not None]
    yield Row(scenario, "first event p99", _p99([r.first_event_s for r in served]), "s")
    if len(deployment.engine_slowness) > 1:
        yield from _rows_by_speed(scenario, served)
    yield Row(scenario, "in time", model.in_time_share(Work.ONLINE), "")
    yield Row(scenario, "busiest over mean by speed", _busiest(model), "")
    arrivals = sum(engine.arrivals for engine in model.engines)
    full = sum(engine.full_arrivals for engine in model.engines)
    yield Row(scenario, "arrivals at full engines", full / arrivals, "")


def _rows_by_speed(scenario: str, served: list[Request]) -> Iterator[Row]:
    slowest, fastest = max(SLOWNESSES), min(SLOWNESSES)
    for kind, slowness in (("slow", slowest), ("fast", fastest)):
        waits = [r.slot_wait_s for r in served if r.slowness == slowness]
        mean_s = sum(waits) / max(1, len(waits))
        yield Row(scenario, f"mean wait at {kind} engines", mean_s, "s")


def _busiest(model: QueueingModel) -> float:
    """Return the most work done at an engine over the mean, by the engines' speeds."""
    shares = [engine.work_s * engine.speed.slowness for engine in model.engines]
    return max(shares) * len(shares) / sum(shares)


def _p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)] if values else 0.0
