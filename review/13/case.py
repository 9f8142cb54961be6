"""A version of the configuration adds a public batch route, and a job is sent there."""

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness3 import (
    CaseError,
    Fleet,
    configuration,
    has_trouble,
    make_job,
    read_job,
    run_case,
    submit_job,
)

ITEMS = 10
CONFIG_S = 2.0
SETTLE_S = 1.0
FINISH_S = 18.0


def with_public_route() -> dict:
    """Return the next version: one more batch route, which is public."""
    changed = configuration(2)
    batch = next(r for r in changed["routes"] if r["kind"] == "batch")
    added = copy.deepcopy(batch)
    added.update(name="r-p", path_prefix="/p/", public=True)
    changed["routes"].append(added)
    return changed


async def main(case: Path, holder: list[Fleet]) -> bool:
    fleet = Fleet(case, daemons=3, servers=2)
    holder.append(fleet)
    await fleet.start(configuration())
    record = fleet.record
    await asyncio.sleep(2.0)
    prefix = "/b/"
    if has_trouble():
        await fleet.write_record("keyed.op", "config", with_public_route())
        record.add("the store acknowledges version 2, which adds the route /p/")
        prefix = "/p/"
    await asyncio.sleep(CONFIG_S + 1.0)
    job, items = make_job(fleet, ITEMS, prefix=prefix)
    if await submit_job(fleet, fleet.daemons[0], job, items, prefix) != 202:
        raise CaseError("the batch job wasn't accepted")
    await asyncio.sleep(SETTLE_S + 0.5)
    statuses: dict[int, int] = {}
    listed = 0
    until_s = record.now_s() + FINISH_S
    while record.now_s() < until_s and listed < ITEMS:
        for daemon in fleet.daemons:
            status, _, results = await read_job(fleet, daemon, job)
            statuses[status] = statuses.get(status, 0) + 1
            listed = max(listed, len(results))
        await asyncio.sleep(0.5)
    missing = statuses.get(404, 0) + statuses.get(410, 0)
    runs = sum(len(server.runs) for server in fleet.servers)
    if missing:
        record.add(f"LOST: {missing} reads of the accepted job {job} got 404 or 410")
    print(
        f"accepted with 202; {runs} runs of its {ITEMS} items at servers; reads by "
        f"status, later than {SETTLE_S} s after the 202: {statuses}; {listed} results"
    )
    return bool(missing)


run_case(__file__, main)
