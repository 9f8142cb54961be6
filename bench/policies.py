"""Compares policies on the queueing model, with repeats and confidence."""

import math
import statistics
from collections.abc import Iterator, Sequence

from apricotquay.serving.dispatch import Work

from .queueing import EarliestDueDispatcher, LocalTables, Policy, QueueingModel
from .results import Row
from .upperbound import compute_upper_bound
from .workloads import DEPLOYMENTS, Deployment, Disturbance, generate_workload

REPEATS = 8
# Student's t at 95 % for 7 degrees of freedom, since there are eight repeats.
T_95 = 2.365
DAEMONS = 10

DISTURBANCES = (
    Disturbance("calm"),
    Disturbance("online x1.6", online_factor=1.6),
    Disturbance("online x2.5", online_factor=2.5),
    Disturbance("jobs x4", jobs_factor=4.0),
    Disturbance("two engines lost", engines_lost=2),
    Disturbance("all three", online_factor=1.6, jobs_factor=3.0, engines_lost=1),
    Disturbance("a tenth of attempts hang", hanging_share=0.1),
)

POLICIES = (
    Policy("in time first"),
    Policy("in arrival order", EarliestDueDispatcher),
    Policy("own counts of ten daemons", lambda seed: LocalTables(DAEMONS, seed)),
    Policy("lengths of items known", item_lengths_known=True),
    Policy("attempts given up after 0.2 s", first_event_timeout_s=0.2),
)


def measure_policies(
    seed: int,
    policies: Sequence[Policy] = POLICIES,
    deployments: dict[str, Deployment] = DEPLOYMENTS,
    disturbances: Sequence[Disturbance] = DISTURBANCES,
    repeats: int = REPEATS,
) -> Iterator[Row]:
    """Yield the worth by class of each policy over the same loads, and what a
    scheduler that knew the future could get of them; the first is the baseline.
    """
    for name, deployment in deployments.items():
        for disturbance in disturbances:
            loads = [
                generate_workload(deployment, disturbance, seed + n)
                for n in range(repeats)
            ]
            scenario = f"{name}, {disturbance.name}"
            base = None
            for policy in policies:
                shares = _shares_of(policy, deployment, loads, seed)
                yield from _rows(f"{scenario}: {policy.name}", shares, base)
                base = base or shares
            best = [compute_upper_bound(deployment, loads[0])]
            yield from _rows(f"{scenario}: knows the future", best, base)


def _shares_of(
    policy: Policy, deployment: Deployment, loads: list, seed: int
) -> list[dict[Work, float]]:
    shares = []
    for number, load in enumerate(loads):
        model = QueueingModel(deployment, load, policy, seed + number)
        model.run()
        shares.append({work: model.value_share(work) for work in Work})
    return shares


def _rows(
    scenario: str,
    shares: list[dict[Work, float]],
    base: list[dict[Work, float]] | None,
) -> Iterator[Row]:
    """Yield a row a class; its margin is that of the difference to the baseline,
    load by load, since all policies play the same loads.
    """
    for work in Work:
        values = [share[work] for share in shares]
        before = [share[work] for share in base] if base else None
        spread = values
        if before and len(before) == len(values):
            spread = [v - b for v, b in zip(values, before, strict=True)]
        yield Row(
            scenario,
            f"{work.value} worth",
            statistics.fmean(values),
            "",
            statistics.fmean(before) if before else None,
            compute_margin(spread),
        )


def compute_margin(values: list[float]) -> float | None:
    """Return half the width of the 95 % interval of a mean; None of one value."""
    if len(values) < 2:
        return None
    return T_95 * statistics.stdev(values) / math.sqrt(len(values))
