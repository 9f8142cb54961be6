"""One server of three sends a body without end in small chunks."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as harness  # noqa: E402

ROUTE_TIMEOUT_S = 5.0
# An answer may come so long after the route's timeout.
LATE_S = 0.5
MIN_LATE_REQUESTS = 8
MAX_LATE_SHARE = 0.25
CLIENT_PATIENCE_S = 12.0
CLIENT_DEADLINE_MS = 10_000
SERVERS = 3
DAEMONS = 2
TROUBLE_AFTER_S = 8.0
REQUESTS = 150
INTERVAL_S = 0.2
READY_INTERVAL_S = 1.0

ROUTE = {
    "name": "s",
    "host": "a.example",
    "path_prefix": "/s/",
    "service": "llm",
    "kind": "streaming",
    "resumable": True,
    "max_attempts": 2,
    "timeout_ms": int(ROUTE_TIMEOUT_S * 1000),
    "target_latency_ms": 300,
    "gap_aim_ms": 250,
}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "llm", "engine": {"slots": 8}}],
    "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
    "tenants": [{"name": "tenant", "api_keys": ["key-of-tenant"]}],
}


async def request(record, daemon, number: int) -> float | None:
    """Send a request; return after how long it had its final answer, None if never."""
    attempt = f"attempt-{number}"
    sent_s = time.monotonic()
    record.write(f"{attempt} sent to {daemon.name}")
    answer = b""
    try:
        async with asyncio.timeout(CLIENT_PATIENCE_S):
            address = harness.split_address(daemon.front)
            reader, writer = await asyncio.open_connection(*address)
            deadline = f"Deadline-Ms: {CLIENT_DEADLINE_MS}"
            writer.write(
                harness.request_head(
                    "POST", "/s/1", attempt, deadline, "Content-Length: 2"
                )
                + b"{}"
            )
            while not is_complete(answer):
                data = await reader.read(65_536)
                if not data:
                    break
                answer += data
            writer.close()
    except (OSError, TimeoutError) as exc:
        if not isinstance(exc, OSError) or isinstance(exc, TimeoutError):
            record.write(f"{attempt} has no final answer, the client leaves")
            return None
    took_s = time.monotonic() - sent_s
    status = answer[9:12].decode("latin-1") or "closed"
    events = answer.count(b"data: ")
    record.write(f"{attempt} ended after {took_s:.3f} s: {status}, {events} events")
    return took_s


def is_complete(answer: bytes) -> bool:
    """Whether an answer has come to its end."""
    head, separator, body = answer.partition(b"\r\n\r\n")
    if not separator:
        return False
    if b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    return True


async def ask_readiness(record, daemon) -> None:
    """Ask once a second whether a daemon is ready, as the platform does."""
    while True:
        began_s = time.monotonic()
        with contextlib.suppress(OSError):
            is_ready = await harness.is_ready(daemon)
            took_s = time.monotonic() - began_s
            if took_s > READY_INTERVAL_S:
                record.write(
                    f"{daemon.name} took {took_s:.3f} s to say that it is "
                    f"{'ready' if is_ready else 'not ready'}"
                )
        await asyncio.sleep(READY_INTERVAL_S)


async def play(record) -> bool:
    """Return whether the rule was broken."""
    fleet = harness.Fleet(DAEMONS)
    try:
        endless = ["--endless-after", str(TROUBLE_AFTER_S), "--chunk", "32"]
        trouble = endless if harness.HAS_TROUBLE else []
        await fleet.start(CONFIGURATION, [[], [], trouble][:SERVERS])
        watchers = [
            asyncio.ensure_future(ask_readiness(record, d)) for d in fleet.daemons
        ]
        requests = []
        for number in range(REQUESTS):
            daemon = fleet.daemons[number % DAEMONS]
            requests.append(asyncio.ensure_future(request(record, daemon, number)))
            await asyncio.sleep(INTERVAL_S)
        times = await asyncio.gather(*requests)
        for watcher in watchers:
            watcher.cancel()
    finally:
        fleet.close()
    lasting = [t for t in times if t is None or t > ROUTE_TIMEOUT_S]
    late = [t for t in lasting if t is None or t > ROUTE_TIMEOUT_S + LATE_S]
    record.write(
        f"{len(times)} requests, {len(lasting)} unanswered at the route's timeout, "
        f"{len(late)} of them without a final answer {LATE_S} s later"
    )
    return len(late) >= MIN_LATE_REQUESTS and len(late) > MAX_LATE_SHARE * len(lasting)


if __name__ == "__main__":
    harness.run_case("8", play)
