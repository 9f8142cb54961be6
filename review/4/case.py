"""Long streams outlive the listing of their version and are taken up at another one."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

STREAMS = 8
EVENTS = 64
PAUSE_S = 0.4
RELEASE_AT_S = 1.0
LINGER_S = 17.0
DEADLINE_MS = 30_000
MAX_MIXED_STREAMS = 2
KEY = "k1f4n73hh2b9wu3fexd9"

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "answers",
            "host": "desk.example",
            "path_prefix": "/ask/",
            "kind": "streaming",
            "resumable": True,
            "service": "llm",
            "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 300,
            "gap_aim_ms": 1000,
            "priority": 0,
            "max_attempts": 3,
        }
    ],
    "services": [{"name": "llm", "engine": {"slots": 8}}],
    "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [{"name": "pharmacy", "api_keys": [KEY]}],
}


def make_event(server, attempt: str, number: int) -> bytes | None:
    """Return the data of an event, which names the software version."""
    return f"v{server.version}-{number}".encode() if number < EVENTS else None


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Return the id and data of the complete events of a stream."""
    events = []
    for block in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.decode().split("\n"))
        events.append((int(fields["id"]), fields["data"]))
    return events


async def follow_stream(fleet: harness.Fleet, number: int) -> list[tuple[int, str]]:
    """Ask for a stream, and take it up each time that it breaks off."""
    record, events = fleet.record, []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DEADLINE_MS / 1000
    first_attempt = f"stream{number}a0"
    for attempt in range(6):
        left_ms = int((end_s - loop.time()) * 1000)
        attempt_id = f"stream{number}a{attempt}"
        headers = [
            ("Host", "desk.example"),
            ("Key", KEY),
            ("Attempt-Id", attempt_id),
            ("Deadline-Ms", str(left_ms)),
        ]
        if events:
            headers.append(("Last-Event-Id", str(events[-1][0])))
            headers.append(("Resumes", first_attempt))
        daemon = random.choice(fleet.daemons)
        try:
            answer = await harness.call(
                daemon.host,
                harness.FRONT_PORT,
                "POST",
                f"/ask/{number}",
                headers,
                b"prompt",
                left_ms / 1000,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            record.write("no_answer", attempt=attempt_id, error=type(exc).__name__)
            continue
        got = events_of(answer.body) if answer.status == 200 else []
        record.write(
            "answered",
            attempt=attempt_id,
            daemon=daemon.number,
            after=events[-1][0] if events else None,
            status=answer.status,
            whole=answer.is_whole,
            first=got[0] if got else None,
            last=got[-1] if got else None,
        )
        events += got
        if answer.status == 200 and answer.is_whole:
            break
        await asyncio.sleep(0.3)
    return events


async def case(record: harness.Record, trouble: bool) -> list[str]:
    """Play the case."""
    fleet = harness.Fleet(3, record)
    old, new = (
        [
            harness.Server(
                fleet.store,
                record,
                fleet.network.host(),
                f"i-v{version}-{n}",
                "llm",
                make_event,
                pause_s=PAUSE_S,
                version=version,
            )
            for n in range(2)
        ]
        for version in ("1", "2")
    )
    try:
        await fleet.start(CONFIGURATION, old)
        # The daemons have seen the servers' list for a while, as in a usual day.
        await asyncio.sleep(16)
        streams = [
            asyncio.ensure_future(follow_stream(fleet, n)) for n in range(STREAMS)
        ]
        await asyncio.sleep(RELEASE_AT_S)
        if trouble:
            for server in new:
                await server.start()
            await asyncio.sleep(0.5)
            for server in old:
                server.unlist()
            await asyncio.sleep(LINGER_S)
            for server in old:
                server.stop()
                record.write("server_exited", server=server.name)
        mixed = []
        for number, events in enumerate(await asyncio.gather(*streams)):
            versions = sorted({data.partition("-")[0] for _, data in events})
            record.write("stream", number=number, events=len(events), versions=versions)
            if len(versions) > 1:
                mixed.append(f"stream {number}: {' and '.join(versions)}")
        if len(mixed) <= MAX_MIXED_STREAMS:
            return []
        return [f"ORDER: {len(mixed)} streams hold events of two versions", *mixed]
    finally:
        fleet.close()


if __name__ == "__main__":
    harness.run_case(case, Path(__file__).resolve().parent)
