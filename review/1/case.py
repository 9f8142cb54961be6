"""A VM that runs batch items is removed for good; its slots are never free again."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

FINISH_S = 18.0
ITEMS = 48
EVENTS = 40
PAUSE_S = 0.05
SERVICE = "llm"
KEY = "k1f4n73hh2b9wu3fexd9"


def configuration(tenant: str) -> dict:
    """Return the configuration."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "lots",
                "host": "desk.example",
                "path_prefix": "/lots/",
                "kind": "batch",
                "service": SERVICE,
                "timeout_ms": 15000,
                "target_latency_ms": 500,
                "priority": 2,
                "max_attempts": 3,
                "result_deadline_ms": 18000,
                "retention_s": 600,
                "cap": 690000,
            }
        ],
        "services": [{"name": SERVICE, "engine": {"slots": 8}}],
        "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
        "tenants": [{"name": tenant, "api_keys": [KEY]}],
    }


def make_event(server, attempt: str, number: int) -> bytes | None:
    """Return the data of an event."""
    return f"{attempt}-{number}".encode() if number < EVENTS else None


def tenant_of_other_owner(owners: dict[int, str]) -> str:
    """Return a tenant whose partition isn't owned by the owner of the service's."""
    slot_owner = owners[harness.shard_of(SERVICE)]
    names = (f"tenant{n}" for n in range(1000))
    return next(n for n in names if owners[harness.shard_of(n)] != slot_owner)


async def case(record: harness.Record, trouble: bool) -> list[str]:
    """Play the case."""
    fleet = harness.Fleet(3, record)
    servers = [
        harness.Server(
            fleet.store,
            record,
            fleet.network.host(),
            f"i-{n}",
            SERVICE,
            make_event,
            pause_s=PAUSE_S,
        )
        for n in range(2)
    ]
    try:
        await fleet.start(configuration("nobody"), servers)
        owners = fleet.store.owners()
        tenant = tenant_of_other_owner(owners)
        fleet.store.write("keyed.op", "config", configuration(tenant) | {"version": 8})
        await asyncio.sleep(3)
        caller = harness.Caller(fleet, "desk.example", KEY)
        items = [(f"lot-i{n}", f"/lots/lot/{n}", b"prompt", 940) for n in range(ITEMS)]
        if not await caller.submit("lot", "/lots/", harness.encode_job(items)):
            raise RuntimeError("the batch job was not accepted")
        await asyncio.sleep(1.0)
        (removed,) = [
            d
            for d in fleet.daemons
            if d.peer_address == owners[harness.shard_of(tenant)]
        ]
        if trouble:
            record.write("machine_removed", daemon=removed.number)
            removed.send_signal(signal.SIGSTOP)
            caller.daemons.remove(removed)
        results: list[dict] = []
        # The batch job was the end of the traffic; from here finish_s counts.
        await caller.follow("lot", results, time.monotonic() + FINISH_S)
        listed = {result["id"] for result in results}
        unlisted = [item for item, *_ in items if item not in listed]
        record.write("at_the_end", unlisted=unlisted)
        if not unlisted or not harness.are_left_lying(servers, unlisted):
            return []
        return [
            f"LOST: {len(unlisted)} of {ITEMS} items are not listed {FINISH_S:.0f} s "
            "after the end of the traffic, and all servers are idle"
        ]
    finally:
        fleet.close()


if __name__ == "__main__":
    harness.run_case(case, Path(__file__).resolve().parent)
