"""What a scheduler that knows the future could get of a load: an upper bound.

The load is cut into steps of time. A request may use at most one slot of each
step between its arrival and its end, and gets its worth by the share of its
work that is done there. Requests may be cut into parts without loss, so no real
scheduler gets more. Solved as a linear program.
"""

import numpy
from scipy.optimize import linprog
from scipy.sparse import coo_array

from apricotquay.serving.dispatch import Work

from .workloads import Deployment, Workload

STEP_S = 0.2


def compute_upper_bound(deployment: Deployment, load: Workload) -> dict[Work, float]:
    """Return the share of each class's worth in the best schedule of the sum."""
    tasks = list(_tasks(deployment, load))
    steps = int((load.duration_s + deployment.item_due_s) / STEP_S) + 2
    task_rows, step_rows, gains = [], [], []
    for number, (work, first, last, units) in enumerate(tasks):
        for step in range(first, min(last, steps - 1) + 1):
            task_rows.append(number)
            step_rows.append(step)
            gains.append(_worth(deployment, work) / units)
    columns = numpy.arange(len(gains))
    rows = numpy.concatenate([task_rows, numpy.array(step_rows) + len(tasks)])
    matrix = coo_array(
        (numpy.ones(2 * len(gains)), (rows, numpy.concatenate([columns, columns])))
    )
    limits = [units for *_, units in tasks]
    limits += [_slots_at(deployment, load, step * STEP_S) for step in range(steps)]
    solved = linprog(
        -numpy.array(gains),
        A_ub=matrix.tocsr(),
        b_ub=limits[: matrix.shape[0]],
        bounds=(0, 1),
        method="highs",
    )
    done = numpy.bincount(task_rows, weights=solved.x, minlength=len(tasks))
    return {
        work: _share(work, tasks, done) if any(t[0] is work for t in tasks) else 1.0
        for work in Work
    }


def _share(work: Work, tasks: list, done: numpy.ndarray) -> float:
    shares = [
        min(1.0, part / task[3])
        for task, part in zip(tasks, done, strict=True)
        if task[0] is work
    ]
    return float(numpy.mean(shares))


def _tasks(deployment: Deployment, load: Workload):
    """Yield the class, first and last step, and steps of work of each request."""
    for arrival in load.online:
        last_s = arrival.at_s + deployment.objective_s + arrival.hold_s
        yield _task(Work.ONLINE, arrival.at_s, last_s, arrival.hold_s)
    for job in load.jobs:
        for hold_s in job.holds_s:
            yield _task(Work.BATCH, job.at_s, job.due_s, hold_s)


def _task(
    work: Work, first_s: float, last_s: float, hold_s: float
) -> tuple[Work, int, int, float]:
    units = max(hold_s, STEP_S / 10) / STEP_S
    return work, int(first_s / STEP_S), int(last_s / STEP_S), units


def _worth(deployment: Deployment, work: Work) -> float:
    if work is Work.ONLINE:
        return deployment.online_value
    return deployment.item_value


def _slots_at(deployment: Deployment, load: Workload, at_s: float) -> int:
    count = 0
    for change in load.engines:
        if change.at_s <= at_s:
            count = change.engines
    return count * deployment.slots
