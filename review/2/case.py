"""A service loses all servers for good; another service's batch jobs are starved."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

FINISH_S = 18.0
ITEMS_OF_LOST = 60
ITEMS_OF_SOUND = 10
EVENTS = 20

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": f"lots-{service}",
            "host": "desk.example",
            "path_prefix": f"/{service}/",
            "kind": "batch",
            "service": service,
            "timeout_ms": 15000,
            "target_latency_ms": 500,
            "priority": 2,
            "max_attempts": 3,
            "result_deadline_ms": 18000,
            "retention_s": 600,
            "cap": 690000,
        }
        for service in ("llm-a", "llm-b")
    ],
    "services": [
        {"name": "llm-a", "engine": {"slots": 8}},
        {"name": "llm-b", "engine": {"slots": 8}},
    ],
    "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [{"name": "pharmacy", "api_keys": ["k1f4n73hh2b9wu3fexd9"]}],
}


def make_event(server, attempt: str, number: int) -> bytes | None:
    """Return the data of an event."""
    return f"{attempt}-{number}".encode() if number < EVENTS else None


def job_of(name: str, service: str, count: int) -> bytes:
    """Return a batch job's body."""
    return harness.encode_job(
        [
            (f"{name}-i{n}", f"/{service}/{name}/{n}", b"prompt", 940)
            for n in range(count)
        ]
    )


async def case(record: harness.Record, trouble: bool) -> list[str]:
    """Play the case."""
    fleet = harness.Fleet(3, record)
    servers = [
        harness.Server(
            fleet.store,
            record,
            fleet.network.host(),
            f"i-{service}-{n}",
            service,
            make_event,
        )
        for service in ("llm-a", "llm-b")
        for n in range(2)
    ]
    try:
        await fleet.start(CONFIGURATION, servers)
        caller = harness.Caller(fleet, "desk.example", "k1f4n73hh2b9wu3fexd9")
        if trouble:
            for server in servers:
                if server.service == "llm-a":
                    server.crash()
        lost = job_of("lost", "llm-a", ITEMS_OF_LOST)
        if not await caller.submit("lost", "/llm-a/", lost):
            raise RuntimeError("the first batch job was not accepted")
        await asyncio.sleep(2)
        sound = job_of("sound", "llm-b", ITEMS_OF_SOUND)
        if not await caller.submit("sound", "/llm-b/", sound):
            raise RuntimeError("the second batch job was not accepted")
        results: list[dict] = []
        # The last batch job was the end of the traffic; from here finish_s counts.
        await caller.follow("sound", results, time.monotonic() + FINISH_S)
        listed = {result["id"] for result in results}
        unlisted = [f"sound-i{n}" for n in range(ITEMS_OF_SOUND)]
        unlisted = [item for item in unlisted if item not in listed]
        record.write("at_the_end", unlisted=unlisted)
        its_servers = [server for server in servers if server.service == "llm-b"]
        if not unlisted or not harness.are_left_lying(its_servers, unlisted):
            return []
        return [
            f"LOST: {len(unlisted)} of {ITEMS_OF_SOUND} items of the batch job 'sound' "
            f"are not listed {FINISH_S:.0f} s after the end of the traffic, and all "
            "servers of their service are idle"
        ]
    finally:
        fleet.close()


if __name__ == "__main__":
    harness.run_case(case, Path(__file__).resolve().parent)
