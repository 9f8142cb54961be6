"""Compares policies for the event-loop daemon's slots in the queueing model.

Policies run on several workloads; each mean has a confidence interval.
"""

import math
import statistics
from collections.abc import Iterator, Sequence

import msgspec

from apricotquay.serving.slots.tickets import Work

from .queueing import (
    EarliestDueDispatcher,
    LocalTables,
    Policy,
    QueueingModel,
    Request,
    TeamBlindDispatcher,
)
from .results import Row
from .splittables import SplitTables
from .teamloads import LARGE_REQUESTS, LARGE_TOKENS, SCENARIOS, TeamScenario
from .upperbound import compute_upper_bound
from .workloads import DEPLOYMENTS, Deployment, Disturbance, generate_workload

REPEATS = 8
# Student's t at 95 % for 7 degrees of freedom, one less than the repeats.
T_95_DF_7 = 2.365
DAEMON_COUNT = 10
TEAM_REPEATS = 3

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
    Policy("own counts of ten daemons", lambda seed: LocalTables(DAEMON_COUNT, seed)),
    Policy("lengths of items known", item_service_times_known=True),
    Policy("attempts given up after 0.2 s", first_event_timeout_s=0.2),
)

# The first is the baseline.
TEAM_POLICIES = (
    Policy("teams and classes unknown", TeamBlindDispatcher),
    Policy("fair shares and classes"),
)

# The users' large deployment: 39 engines before 195 daemons.
LARGE = Deployment(
    engines=39,
    online_per_s=178.7,
    online_service_time_s=0.7,
    objective_s=0.308,
    time_to_first_event_s=0.04,
    online_value=1.5,
    online_late_value=0.22,
    jobs_per_s=2.23,
    item_value=9.0,
    item_late_value=0.9,
    duration_s=30.0,
)
LARGE_DISTURBANCES = (
    Disturbance("calm"),
    Disturbance("online x1.6", online_factor=1.6),
    Disturbance("nine engines lost", engines_lost=9),
)
OWNER_POLICIES = (
    Policy("one table"),
    *(
        Policy(
            f"{count} owners{', requests move' if moves else ''}",
            lambda seed, count=count, moves=moves: SplitTables(
                count, seed, moves=moves
            ),
        )
        for count in (3, 13, 39)
        for moves in (False, True)
    ),
)


def measure_owner_counts(seed: int) -> Iterator[Row]:
    """Yield what it costs to split the slot table of a large service by endpoints."""
    yield from measure_policies(
        seed, OWNER_POLICIES, {"large": LARGE}, LARGE_DISTURBANCES
    )


def measure_team_policies(seed: int, repeats: int = TEAM_REPEATS) -> Iterator[Row]:
    """Yield what each group of teams gets with and without shares and priorities. The
    baseline is the table that knows neither.
    """
    for scenario in SCENARIOS:
        blind, shared = (
            simulate_teams(scenario, policy, seed, repeats) for policy in TEAM_POLICIES
        )
        for group, requests in sorted(shared.items()):
            for figure, share_of in TEAM_FIGURES.items():
                yield Row(
                    f"{scenario.name}: {group}",
                    figure,
                    share_of(requests),
                    "",
                    share_of(blind[group]),
                )


def measure_large_requests(seed: int) -> Iterator[Row]:
    """Yield what large requests get, and how many of all are sent to endpoints without
    the memory for them while another had it. The baseline knows no sizes.
    """
    blind, sized = (
        simulate_sizes(policy, seed, TEAM_REPEATS) for policy in TEAM_POLICIES
    )
    name = LARGE_REQUESTS.name
    for group, requests in sized.groups.items():
        before = blind.groups[group]
        for figure, share_of in TEAM_FIGURES.items():
            value, baseline = share_of(requests), share_of(before)
            yield Row(f"{name}: {group}", figure, value, "", baseline)
    figure = "sent without memory"
    yield Row(name, figure, sized.overfull_grants, "", blind.overfull_grants)


class SizedResult(msgspec.Struct):
    """The requests of a run by size, and how many were sent without memory."""

    groups: dict[str, list[Request]]
    overfull_grants: int = 0


def simulate_sizes(policy: Policy, seed: int, repeats: int) -> SizedResult:
    """Return what happens to requests of two sizes."""
    result = SizedResult({"small requests": [], "large requests": []})
    for number in range(repeats):
        workload = LARGE_REQUESTS.workload(seed + number)
        deployment = LARGE_REQUESTS.deployment
        model = QueueingModel(deployment, workload, policy, seed + number)
        model.run()
        result.overfull_grants += model.overfull_grants
        for request in model.requests:
            is_large = request.tokens == LARGE_TOKENS
            group = "large requests" if is_large else "small requests"
            result.groups[group].append(request)
    return result


def simulate_teams(
    scenario: TeamScenario, policy: Policy, seed: int, repeats: int
) -> dict[str, list[Request]]:
    """Return the requests of each group of teams."""
    groups: dict[str, list[Request]] = {}
    for number in range(repeats):
        workload = scenario.workload(seed + number)
        model = QueueingModel(scenario.deployment, workload, policy, seed + number)
        model.run()
        for request in model.requests:
            groups.setdefault(scenario.group_of[request.team], []).append(request)
    return groups


def in_time_share(requests: Sequence[Request]) -> float:
    """Return the share of requests that were served in time."""
    return statistics.fmean(r.is_in_time for r in requests)


def served_share(requests: Sequence[Request]) -> float:
    """Return the share of requests that got a slot."""
    return statistics.fmean(r.slot_wait_s is not None for r in requests)


TEAM_FIGURES = {"in time": in_time_share, "served": served_share}


def measure_policies(
    seed: int,
    policies: Sequence[Policy] = POLICIES,
    deployments: dict[str, Deployment] = DEPLOYMENTS,
    disturbances: Sequence[Disturbance] = DISTURBANCES,
    repeats: int = REPEATS,
) -> Iterator[Row]:
    """Yield each policy's value by class for the same workloads, and the upper bound
    of a scheduler that knows the future. The first policy is the baseline.
    """
    for name, deployment in deployments.items():
        for disturbance in disturbances:
            workloads = [
                generate_workload(deployment, disturbance, seed + n)
                for n in range(repeats)
            ]
            scenario = f"{name}, {disturbance.name}"
            baseline = None
            for policy in policies:
                value_shares = _simulate(policy, deployment, workloads, seed)
                yield from _make_rows(
                    f"{scenario}: {policy.name}", value_shares, baseline
                )
                baseline = baseline or value_shares
            best = [compute_upper_bound(deployment, workloads[0])]
            yield from _make_rows(f"{scenario}: knows the future", best, baseline)


def _simulate(
    policy: Policy, deployment: Deployment, workloads: list, seed: int
) -> list[dict[Work, float]]:
    value_shares = []
    for number, workload in enumerate(workloads):
        model = QueueingModel(deployment, workload, policy, seed + number)
        model.run()
        value_shares.append({work: model.value_share(work) for work in Work})
    return value_shares


def _make_rows(
    scenario: str,
    value_shares: list[dict[Work, float]],
    baseline: list[dict[Work, float]] | None,
) -> Iterator[Row]:
    """Yield a row for each class.

    All policies get the same workloads, so the margin is that of the paired
    differences to the baseline.
    """
    for work in Work:
        values = [share[work] for share in value_shares]
        baseline_values = [share[work] for share in baseline] if baseline else None
        samples = values
        if baseline_values and len(baseline_values) == len(values):
            samples = [v - b for v, b in zip(values, baseline_values, strict=True)]
        yield Row(
            scenario,
            f"{work.value} worth",
            statistics.fmean(values),
            "",
            statistics.fmean(baseline_values) if baseline_values else None,
            compute_margin(samples),
        )


def compute_margin(values: list[float]) -> float | None:
    """Return half the width of a mean's 95 % interval, or None for a single value."""
    if len(values) < 2:
        return None
    return T_95_DF_7 * statistics.stdev(values) / math.sqrt(len(values))
