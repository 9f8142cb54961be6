"""A server crashes while it runs items, and the other of its version is taken away."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness3 import (
    DRAIN_S,
    CaseError,
    Fleet,
    configuration,
    has_trouble,
    make_job,
    read_job,
    run_case,
    submit_job,
)

# The site's servers; two of them are of the first version.
SERVERS = 6
FIRST_VERSION_SERVERS = 2
ITEMS = 48
EVENTS, STEP_S = 60, 0.05
CRASH_AFTER_S = 1.0
DOWN_S = 2.0
DRAINING_AFTER_S = 2.0
FINISH_S = 18.0
# Longer than `retention_s`, after which an item may be given up.
RETENTION_S = 60.0
MARGIN_S = 6.0


async def main(case: Path, holder: list[Fleet]) -> bool:
    fleet = Fleet(case, daemons=3, servers=SERVERS)
    holder.append(fleet)
    await fleet.start(configuration())
    record = fleet.record
    for number, server in enumerate(fleet.servers):
        server.events, server.step_s = EVENTS, STEP_S
        server.version = "v1" if number < FIRST_VERSION_SERVERS else "v2"
        await server.write_entry()
    await asyncio.sleep(2.0)
    job, items = make_job(fleet, ITEMS)
    if await submit_job(fleet, fleet.daemons[0], job, items) != 202:
        raise CaseError("the batch job wasn't accepted")
    accepted_s = record.now_s()
    first, second, *_ = fleet.servers
    await asyncio.sleep(CRASH_AFTER_S)
    crash = None
    if has_trouble():
        crash = asyncio.create_task(first.crash(DOWN_S))
    await asyncio.sleep(DRAINING_AFTER_S - CRASH_AFTER_S)
    # The planned part: the second server is emptied, and then exits.
    second.state = "draining"
    await second.write_entry()
    record.add(f"{second.name} reports draining")
    await asyncio.sleep(DRAIN_S + EVENTS * STEP_S)
    await second.remove_entry()
    await second.exit()
    record.add(f"{second.name} exits")
    if crash is not None:
        await crash
    ended_s = record.now_s()
    until_s = max(ended_s + FINISH_S, accepted_s + RETENTION_S) + MARGIN_S
    while record.now_s() < until_s:
        status, total, results = await read_job(fleet, fleet.daemons[1], job)
        if status == 200 and len(results) == total:
            break
        await asyncio.sleep(0.5)
    status, total, results = await read_job(fleet, fleet.daemons[2], job)
    if status != 200:
        raise CaseError(f"the batch job can't be read: {status}")
    listed = {result["id"] for result in results}
    missing = [item["id"] for item in items if item["id"] not in listed]
    runs = [run for server in fleet.servers for run in server.runs]
    last_s = max(run.at_s for run in runs)
    for item in missing:
        at = [f"{run.at_s - accepted_s:.1f}" for run in runs if run.request == item]
        record.add(f"LOST: item {item} is not listed; runs began at {' '.join(at)} s")
    waited_s = record.now_s() - accepted_s
    print(
        f"{len(results)} of {total} items are listed {waited_s:.1f} s after the 202; "
        f"{len(missing)} are not; no run began in the last "
        f"{record.now_s() - last_s:.1f} s; all servers are idle"
    )
    return bool(missing)


run_case(__file__, main)
