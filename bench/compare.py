"""Runs the workload of event-loop daemons' logs through the queueing model.

    python -m bench.compare DEPLOYMENT FILES

Compares the figures of both. The logs must come from the daemons on one day without
faults: the model has no daemon crashes, network partitions or failing endpoints.
"""

import sys
from collections.abc import Iterator

from apricotquay.events import Event
from apricotquay.loglines import read_lines
from apricotquay.serving.slots.tickets import Work

from .queueing import Policy, QueueingModel
from .results import Row, format_table, percentile
from .upperbound import compute_upper_bound
from .workloads import DEPLOYMENTS, Deployment, extract_workload, iter_endpoint_requests

PERCENTILES = (0.5, 0.9, 0.99)


def compare_with_logs(deployment: Deployment, lines: list[dict]) -> Iterator[Row]:
    """Yield the model's figures with those of the logs as their baseline."""
    workload = extract_workload(lines)
    model = QueueingModel(deployment, workload, Policy("in time first"), 1)
    model.run()
    best_shares = compute_upper_bound(deployment, workload)
    requests = list(iter_endpoint_requests(lines))
    objective_ms = deployment.objective_s * 1000
    online_in_time = [
        line["first_event_ms"] is not None and line["first_event_ms"] <= objective_ms
        for line in requests
    ]
    completed = [
        line for line in lines if line["number"] == Event.ITEM_COMPLETED.number
    ]
    items_in_time = [line["late_ms"] <= 0 for line in completed]
    logged_shares = {
        Work.ONLINE: sum(online_in_time) / len(online_in_time),
        Work.BATCH: sum(items_in_time) / len(items_in_time),
    }
    for work in Work:
        scenario = f"{work.value}, {sum(r.work is work for r in model.requests)}"
        yield Row(
            scenario,
            "share in time",
            model.in_time_share(work),
            "",
            logged_shares[work],
        )
        yield Row(
            scenario,
            "share in time, future known",
            best_shares[work],
            "",
            logged_shares[work],
        )
    logged_waits_ms = [line["slot_wait_ms"] for line in requests]
    model_waits_ms = [wait_s * 1000 for wait_s in model.slot_waits_s(Work.ONLINE)]
    for share in PERCENTILES:
        yield Row(
            "online",
            f"wait for a slot, p{share * 100:g}",
            percentile(model_waits_ms, share),
            "ms",
            percentile(logged_waits_ms, share),
        )


def main() -> None:
    """Print the comparison as a table: value is the model's, baseline the logs'."""
    name, *files = sys.argv[1:]
    print(format_table(compare_with_logs(DEPLOYMENTS[name], list(read_lines(files)))))


if __name__ == "__main__":
    main()
