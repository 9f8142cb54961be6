"""Upper bound on the value of a workload, by a scheduler that knows the future.

Time is divided into steps. A request may use at most one slot in each step
between its arrival and its latest end, and earns its value in proportion to the
work done. Requests may be split into parts at no cost, so no real scheduler can
earn more. Solved as a linear program.
"""

import numpy
from scipy.optimize import linprog
from scipy.sparse import coo_array

from apricotquay.serving.slots.tickets import Work

from .workloads import Deployment, Workload

STEP_S = 0.2


def compute_upper_bound(
    deployment: Deployment, workload: Workload
) -> dict[Work, float]:
    """Return the share of its value that each class earns when the sum is highest."""
    tasks = list(_make_tasks(deployment, workload))
    step_count = int((workload.duration_s + deployment.item_time_limit_s) / STEP_S) + 2
    task_rows, step_rows, step_values = [], [], []
    for index, (work, first, last, needed_steps) in enumerate(tasks):
        for step in range(first, min(last, step_count - 1) + 1):
            task_rows.append(index)
            step_rows.append(step)
            step_values.append(_get_value(deployment, work) / needed_steps)
    columns = numpy.arange(len(step_values))
    rows = numpy.concatenate([task_rows, numpy.array(step_rows) + len(tasks)])
    matrix = coo_array(
        (
            numpy.ones(2 * len(step_values)),
            (rows, numpy.concatenate([columns, columns])),
        )
    )
    limits = [needed_steps for *_, needed_steps in tasks]
    limits += [
        _count_slots(deployment, workload, step * STEP_S) for step in range(step_count)
    ]
    solution = linprog(
        -numpy.array(step_values),
        A_ub=matrix.tocsr(),
        b_ub=limits[: matrix.shape[0]],
        bounds=(0, 1),
        method="highs",
    )
    steps_done = numpy.bincount(task_rows, weights=solution.x, minlength=len(tasks))
    return {
        work: _compute_completed_share(work, tasks, steps_done)
        if any(t[0] is work for t in tasks)
        else 1.0
        for work in Work
    }


def _compute_completed_share(
    work: Work, tasks: list, steps_done: numpy.ndarray
) -> float:
    shares = [
        min(1.0, done / task[3])
        for task, done in zip(tasks, steps_done, strict=True)
        if task[0] is work
    ]
    return float(numpy.mean(shares))


def _make_tasks(deployment: Deployment, workload: Workload):
    """Yield each request's class, first and last step, and needed number of steps."""
    for arrival in workload.online:
        last_s = arrival.at_s + deployment.objective_s + arrival.service_time_s
        yield _make_task(Work.ONLINE, arrival.at_s, last_s, arrival.service_time_s)
    for job in workload.jobs:
        for service_time_s in job.item_service_times_s:
            yield _make_task(Work.BATCH, job.at_s, job.due_s, service_time_s)


def _make_task(
    work: Work, first_s: float, last_s: float, service_time_s: float
) -> tuple[Work, int, int, float]:
    needed_steps = max(service_time_s, STEP_S / 10) / STEP_S
    return work, int(first_s / STEP_S), int(last_s / STEP_S), needed_steps


def _get_value(deployment: Deployment, work: Work) -> float:
    if work is Work.ONLINE:
        return deployment.online_value
    return deployment.item_value


def _count_slots(deployment: Deployment, workload: Workload, at_s: float) -> int:
    count = 0
    for change in workload.engines:
        if change.at_s <= at_s:
            count = change.engines
    return count * deployment.slots
