"""Another writer's odd entries stop the daemons from following the servers' list."""

import asyncio
import base64
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as harness  # noqa: E402

from apricotquay.platform.store import StoreClient  # noqa: E402
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic  # noqa: E402

SERVERS = Topic("keyed.servers")
DAEMONS = 2
OLD_SERVERS = 2
NEW_SERVERS = 2
# Entries of another writer, each written again in the interval of a heartbeat.
ODD_ENTRIES = 6
HEARTBEAT_S = 1.2
# A whole number, but larger than any clock shows.
ODD_BORN = 10**400
ODD_FROM_S = 3.0
RELEASE_AT_S = 25.0
# `drain_ms` of the site, and a little longer.
DRAIN_S = 4.0
SUBMIT_AT_S = 30.0
# `finish_s` of the site, counted from the 202, and what the rule calls calm after it.
FINISH_S = 18.0
CALM_S = 5.0
READ_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 4.0

ITEMS_PER_JOB = 10
ITEM_BODY_BYTES = 1_500
TOKENS_PER_ITEM = 545

BATCH_ROUTE = {
    "name": "b",
    "host": "a.example",
    "path_prefix": "/b/",
    "service": "llm",
    "kind": "batch",
    "priority": 2,
    "max_attempts": 3,
    "timeout_ms": 15_000,
    "target_latency_ms": 1_219,
    "result_deadline_ms": 18_000,
    "retention_s": 60,
    "cap": 4_100_000,
}
CONFIGURATION = {
    "version": 1,
    "routes": [BATCH_ROUTE],
    "services": [{"name": "llm", "engine": {"slots": 8}}],
    "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
    "tenants": [{"name": "tenant", "api_keys": ["key-of-tenant"]}],
}


def encode_job(job: str) -> bytes:
    """Return the body of a submission."""
    body = base64.b64encode(job.encode().ljust(ITEM_BODY_BYTES, b".")).decode()
    items = [
        {
            "id": f"{job}-{n}",
            "path": f"/b/{job}/{n}",
            "headers": {"Model": "m", "Token-Usage": "350,195"},
            "body": body,
            "tokens": TOKENS_PER_ITEM,
        }
        for n in range(ITEMS_PER_JOB)
    ]
    return json.dumps({"items": items}).encode()


async def call(daemon, head: bytes, body: bytes = b"") -> tuple[int, bytes]:
    """Send a request on a new connection; return the status, 0 for none, and body."""
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            address = harness.split_address(daemon.front)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head + body)
            line = await reader.readline()
            length = 0
            while (header := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = header.partition(b":")
                if name.strip().lower() == b"content-length":
                    length = int(value)
            return int(line[9:12]), await reader.readexactly(length)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def submit(record, daemon, job: str) -> bool:
    """Submit a job; return whether it was accepted."""
    body = encode_job(job)
    headers = ("Deadline-Ms: 4000", f"Content-Length: {len(body)}")
    head = harness.request_head("POST", f"/b/{job}", job, *headers)
    status, _ = await call(daemon, head, body)
    record.write(f"{job} submitted to {daemon.name}: {status}")
    return status == 202


async def read(daemon, job: str) -> int:
    """Return how many items of a job are listed, -1 if it can't be read."""
    head = harness.request_head("GET", f"/-/lots/{job}?after=0", "read")
    status, body = await call(daemon, head)
    return len(json.loads(body)["results"]) if status == 200 else -1


def odd_entry() -> bytes:
    """Return an entry whose `born` is too large."""
    entry = {
        "service": "other",
        "address": "127.61.200.1:9",
        "zone": "zone-0",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": ODD_BORN,
    }
    return json.dumps(entry).encode()


async def write_odd_entries(record, store: StoreClient) -> None:
    """Write the odd entries again and again, spread over the interval."""
    record.write(f"{ODD_ENTRIES} odd entries are written every {HEARTBEAT_S} s")
    while True:
        for number in range(ODD_ENTRIES):
            odd = KeyedRecord(b"other-%d" % number, odd_entry())
            await store.append(SERVERS, 0, [odd], None)
            await asyncio.sleep(HEARTBEAT_S / ODD_ENTRIES)


async def replace_servers(record, fleet, store: StoreClient) -> None:
    """Start the new servers, then take the old ones away."""
    for _ in range(NEW_SERVERS):
        server = await fleet.start_server()
        record.write(f"{server.name} has started and is listed")
    for number in range(OLD_SERVERS):
        gone = KeyedRecord(b"i-%d" % number, None)
        await store.append(SERVERS, 0, [gone], None)
        record.write(f"the entry of server-{number} is removed")
    await asyncio.sleep(DRAIN_S)
    for server in fleet.servers[:OLD_SERVERS]:
        server.kill()
        record.write(f"{server.name} has ended")


async def play(record) -> bool:
    """Return whether the rule was broken."""
    fleet = harness.Fleet(DAEMONS)
    store = StoreClient(*harness.split_address(fleet.store_address))
    tasks = []
    try:
        await fleet.start(CONFIGURATION, [[] for _ in range(OLD_SERVERS)])
        first = await submit_and_read(record, fleet, "job-0", FINISH_S)
        if first < ITEMS_PER_JOB:
            raise harness.CouldNotRunError("the first job is not listed whole")
        await asyncio.sleep(max(0.0, ODD_FROM_S - record.now_s()))
        if harness.HAS_TROUBLE:
            tasks.append(asyncio.ensure_future(write_odd_entries(record, store)))
        await asyncio.sleep(RELEASE_AT_S - record.now_s())
        own_store = StoreClient(*harness.split_address(fleet.store_address))
        await replace_servers(record, fleet, own_store)
        await asyncio.sleep(max(0.0, SUBMIT_AT_S - record.now_s()))
        listed = await submit_and_read(record, fleet, "job-1", FINISH_S + CALM_S)
        for task in tasks:
            task.cancel()
    finally:
        fleet.close()
    return listed < ITEMS_PER_JOB


async def submit_and_read(record, fleet, job: str, for_s: float) -> int:
    """Submit a job and read it for so long; return how many items are listed."""
    for daemon in fleet.daemons:
        if await submit(record, daemon, job):
            break
    else:
        raise harness.CouldNotRunError(f"{job} is not accepted")
    end_s = record.now_s() + for_s
    listed = 0
    while listed < ITEMS_PER_JOB and record.now_s() < end_s:
        for daemon in fleet.daemons:
            listed = max(listed, await read(daemon, job))
        await asyncio.sleep(READ_INTERVAL_S)
    record.write(f"{job}: {listed} of {ITEMS_PER_JOB} items listed")
    return listed


if __name__ == "__main__":
    harness.run_case("9", play)
