"""Runs threaded daemons with stand-ins, for the demo or for manual use."""

import argparse
import json
import signal
import threading
import time
from collections.abc import Iterator

import urllib3

from .fleet import Fleet, FleetSpec

DEMO_ITEM_COUNT = 120


def run_demo(fleet: Fleet) -> None:
    """Stream a chat completion and run a small job, through two daemons."""
    first, second = fleet.daemons[0].caller.url, fleet.daemons[1].caller.url
    print(f"\n1. A streamed completion through {first}")
    started_s = time.monotonic()
    count, first_ms = _stream_completion(fleet, first)
    duration_ms = (time.monotonic() - started_s) * 1000
    print(f"\n   first token after {first_ms:.0f} ms, {count} in {duration_ms:.0f} ms")
    print(f"\n2. A job of {DEMO_ITEM_COUNT} items through {second}, submitted twice")
    batch = _submit_job(fleet, second)
    again = _submit_job(fleet, first)
    same = "the same job" if batch["id"] == again["id"] else "ANOTHER JOB"
    print(f"   accepted as {batch['id']}; the second submission is {same}")
    batch = _wait_for_job(fleet, first, batch)
    lines = _fetch_results(fleet, first, batch)
    ids = [json.loads(line)["custom_id"] for line in lines]
    counts = batch["request_counts"]
    print("\nSummary")
    print(f"   tokens streamed        : {count}")
    print(f"   job                    : {batch['status']}")
    print(f"   items completed        : {counts['completed']} of {counts['total']}")
    print(f"   result lines           : {len(ids)}, {len(set(ids))} of them distinct")


def _auth_headers(fleet: Fleet) -> dict[str, str]:
    return {"authorization": f"Bearer {fleet.keys['small']}"}


def _stream_completion(fleet: Fleet, url: str) -> tuple[int, float]:
    body = {
        "model": fleet.spec.model,
        "stream": True,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": "Sort this mail notice, please."}],
    }
    started_s = time.monotonic()
    response = fleet.http.request(
        "POST",
        f"{url}/v1/chat/completions",
        json=body,
        headers=_auth_headers(fleet),
        preload_content=False,
    )
    count, first_ms = 0, 0.0
    print("   ", end="")
    for line in _read_event_lines(response):
        text = json.loads(line[6:])["choices"][0]["delta"].get("content")
        if text:
            count += 1
            first_ms = first_ms or (time.monotonic() - started_s) * 1000
            print(text, end="", flush=True)
    return count, first_ms


def _read_event_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield each event of a stream on arrival, except the final [DONE]."""
    partial = b""
    for chunk in response.stream():
        *lines, partial = (partial + chunk).split(b"\n\n")
        yield from (line for line in lines if line.startswith(b"data: {"))


def _submit_job(fleet: Fleet, url: str) -> dict:
    lines = "\n".join(
        json.dumps(
            {
                "custom_id": f"summary-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": fleet.spec.model,
                    "max_tokens": 16,
                    "messages": [{"role": "user", "content": f"registry {number}"}],
                },
            }
        )
        for number in range(DEMO_ITEM_COUNT)
    )
    headers = {
        **_auth_headers(fleet),
        "content-type": "application/jsonl",
        "x-job-key": "evening-summaries",
    }
    response = fleet.http.request(
        "POST", f"{url}/v1/batches", headers=headers, body=lines
    )
    return response.json()


def _wait_for_job(fleet: Fleet, url: str, batch: dict) -> dict:
    while batch["status"] == "in_progress":
        time.sleep(0.3)
        response = fleet.http.request(
            "GET", f"{url}/v1/batches/{batch['id']}", headers=_auth_headers(fleet)
        )
        batch = response.json()
        counts = batch["request_counts"]
        print(f"   {counts['completed']:4} of {counts['total']} items completed")
    return batch


def _fetch_results(fleet: Fleet, url: str, batch: dict) -> list[bytes]:
    path = f"/v1/files/{batch['output_file_id']}/content"
    response = fleet.http.request("GET", url + path, headers=_auth_headers(fleet))
    return response.data.splitlines()


def print_fleet(fleet: Fleet) -> None:
    """Print the addresses, a key for each team and an example command."""
    print(f"log service  {fleet.log_address.url}")
    print(f"VM list      {fleet.vms_address.url}")
    for vm in fleet.daemons:
        print(f"{vm.id:12} callers {vm.caller.url}   operators {vm.admin.url}")
    for vm in fleet.endpoints:
        print(f"{vm.id:12} {vm.address.url}")
    for team, key in fleet.keys.items():
        print(f"key of {team:8} {key}")
    body = {
        "model": fleet.spec.model,
        "stream": True,
        "messages": [{"role": "user", "content": "hello"}],
    }
    key = next(iter(fleet.keys.values()))
    print(
        f"\ncurl -N {fleet.daemons[0].caller.url}/v1/chat/completions "
        f"-H 'Authorization: Bearer {key}' -d '{json.dumps(body)}'"
    )


def main() -> None:
    """Run the demo, or run a fleet until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["demo", "fleet"])
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=2)
    args = parser.parse_args()
    spec = FleetSpec(daemons=args.daemons, engines=args.endpoints, services=1)
    fleet = Fleet(spec)
    print(f"Starting {args.daemons} daemons and {args.endpoints} engines …")
    fleet.start()
    try:
        print_fleet(fleet)
        if args.what == "demo":
            run_demo(fleet)
            return
        stop = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: stop.set())
        signal.signal(signal.SIGINT, lambda *_: stop.set())
        print("\nRunning until interrupted.")
        stop.wait()
    except urllib3.exceptions.HTTPError as exc:
        print(f"The fleet does not respond: {exc}")
    finally:
        fleet.close()
        print("Stopped.")


if __name__ == "__main__":
    main()
