"""Plays the load of a fleet's logs on the model, and states the difference.

    python -m bench.compare DEPLOYMENT FILES

The logs are those of the daemons of one day without faults of their own: the
model knows no lost daemons, cut links or endpoints that fail.
"""

import sys
from collections.abc import Iterator

from apricotquay.events import Event
from apricotquay.loglines import read_lines
from apricotquay.serving.dispatch import Work

from .clairvoyant import best_shares
from .loads import DEPLOYMENTS, Deployment, recorded_load, recorded_requests
from .queueing import Model, Policy
from .results import Row, percentile, table

SHARES = (0.5, 0.9, 0.99)


def compare(deployment: Deployment, lines: list[dict]) -> Iterator[Row]:
    """Yield the model's figures with those of the logs as their baseline."""
    load = recorded_load(lines)
    model = Model(deployment, load, Policy("in time first"), 1)
    model.play()
    best = best_shares(deployment, load)
    requests = list(recorded_requests(lines))
    objective_ms = deployment.objective_s * 1000
    in_time = [
        line["first_event_ms"] is not None and line["first_event_ms"] <= objective_ms
        for line in requests
    ]
    listed = [line for line in lines if line["number"] == Event.ITEM_COMPLETED.number]
    items_in_time = [line["late_ms"] <= 0 for line in listed]
    played = {
        Work.ONLINE: sum(in_time) / len(in_time),
        Work.BATCH: sum(items_in_time) / len(items_in_time),
    }
    for work in Work:
        name = f"{work.value}, {sum(r.work is work for r in model.requests)}"
        yield Row(name, "share in time", model.in_time(work), "", played[work])
        yield Row(name, "share in time, future known", best[work], "", played[work])
    waits_ms = [line["slot_wait_ms"] for line in requests]
    modelled_ms = [wait_s * 1000 for wait_s in model.slot_waits_s(Work.ONLINE)]
    for share in SHARES:
        yield Row(
            "online",
            f"wait for a slot, p{share * 100:g}",
            percentile(modelled_ms, share),
            "ms",
            percentile(waits_ms, share),
        )


def main() -> None:
    """Print the comparison as a table: value is the model's, baseline the logs'."""
    name, *files = sys.argv[1:]
    print(table(compare(DEPLOYMENTS[name], list(read_lines(files)))))


if __name__ == "__main__":
    main()
