"""A server in trouble spoils one byte of an answer; the batch job can't be read."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

FINISH_S = 18.0
ITEMS = 50
EVENTS = 20
SPOILED_ITEM = "lot-i7"
SPOILED_EVENT = 5

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "lots",
            "host": "desk.example",
            "path_prefix": "/lots/",
            "kind": "batch",
            "service": "llm",
            "timeout_ms": 15000,
            "target_latency_ms": 500,
            "priority": 2,
            "max_attempts": 3,
            "result_deadline_ms": 18000,
            "retention_s": 60,
            "cap": 690000,
        }
    ],
    "services": [{"name": "llm", "engine": {"slots": 8}}],
    "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [{"name": "pharmacy", "api_keys": ["k1f4n73hh2b9wu3fexd9"]}],
}


async def case(record: harness.Record, trouble: bool) -> list[str]:
    """Play the case."""
    fleet = harness.Fleet(3, record)
    spoiled: list[str] = []

    def make_event(server, attempt: str, number: int) -> bytes | None:
        if number >= EVENTS:
            return None
        data = f"{attempt}-{number}".encode()
        is_due = attempt == SPOILED_ITEM and number == SPOILED_EVENT and not spoiled
        if trouble and is_due:
            spoiled.append(server.name)
            record.write("spoiled", server=server.name, item=attempt, event_id=number)
            return data[:-1] + b"\xff"
        return data

    servers = [
        harness.Server(
            fleet.store, record, fleet.network.host(), f"i-{n}", "llm", make_event
        )
        for n in range(2)
    ]
    try:
        await fleet.start(CONFIGURATION, servers)
        caller = harness.Caller(fleet, "desk.example", "k1f4n73hh2b9wu3fexd9")
        items = [(f"lot-i{n}", f"/lots/lot/{n}", b"prompt", 940) for n in range(ITEMS)]
        if not await caller.submit("lot", "/lots/", harness.encode_job(items)):
            raise RuntimeError("the batch job was not accepted")
        results: list[dict] = []
        await caller.follow("lot", results, time.monotonic() + FINISH_S + 7)
        # "At the end of the day": each read is tried again after a failure.
        read_again: list[dict] = []
        await caller.follow("lot", read_again, time.monotonic() + 10)
        for position, result in enumerate(read_again):
            record.write("result", position=position, **result)
        if len(read_again) == ITEMS:
            return []
        return [
            f"LOST: at the end of the day only {len(read_again)} of {ITEMS} results "
            f"can be read, and every daemon refuses to give the rest"
        ]
    finally:
        fleet.close()


if __name__ == "__main__":
    harness.run_case(case, Path(__file__).resolve().parent)
