"""Load of fleets of threaded daemons: measured online requests, and batch jobs."""

import json
import threading
import time

import msgspec
import urllib3

from standins.fleet import Fleet


class Sample(msgspec.Struct):
    """The outcome of one online request; the status is -1 if its connection failed."""

    team: str
    status: int
    sent_s: float
    first_token_ms: float = 0.0
    gaps_ms: list[float] = []


class OpenLoopGenerator:
    """Open-loop load of one team: sends at a fixed rate, whatever the responses."""

    def __init__(
        self,
        fleet: Fleet,
        team: str,
        rate_per_s: float,
        tokens: int,
        daemon_indexes=None,
    ) -> None:
        self.samples: list[Sample] = []
        self._fleet: Fleet = fleet
        self._team: str = team
        self._interval_s: float = 1.0 / rate_per_s
        self._tokens: int = tokens
        self._daemon_indexes: list[int] = daemon_indexes or list(
            range(len(fleet.daemons))
        )
        self._http = urllib3.PoolManager(maxsize=128, retries=False, timeout=60.0)
        self._stopped = threading.Event()
        self._send_thread = threading.Thread(target=self._run, daemon=True)
        self._request_threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start sending requests."""
        self._send_thread.start()

    def close(self) -> None:
        """Stop sending and wait for the responses."""
        self._stopped.set()
        self._send_thread.join()
        for thread in self._request_threads:
            thread.join()

    def _run(self) -> None:
        next_s = time.monotonic()
        number = 0
        while not self._stopped.is_set():
            thread = threading.Thread(target=self._send, args=(number,), daemon=True)
            thread.start()
            self._request_threads.append(thread)
            number += 1
            next_s += self._interval_s
            self._stopped.wait(max(0.0, next_s - time.monotonic()))

    def _send(self, number: int) -> None:
        vm = self._fleet.daemons[
            self._daemon_indexes[number % len(self._daemon_indexes)]
        ]
        body = {
            "model": self._fleet.spec.model,
            "stream": True,
            "max_tokens": self._tokens,
            "messages": [{"role": "user", "content": f"{self._team} {number}"}],
        }
        sample = Sample(self._team, 0, time.monotonic(), gaps_ms=[])
        try:
            response = self._http.request(
                "POST",
                vm.caller.url + "/v1/chat/completions",
                body=json.dumps(body),
                headers={"authorization": f"Bearer {self._fleet.keys[self._team]}"},
                preload_content=False,
            )
            sample.status = response.status
            self._read_stream(response, sample)
        except urllib3.exceptions.HTTPError:
            sample.status = -1
        self.samples.append(sample)

    @staticmethod
    def _read_stream(response: urllib3.BaseHTTPResponse, sample: Sample) -> None:
        last_chunk_s = 0.0
        for _ in response.stream():
            now_s = time.monotonic()
            if not last_chunk_s:
                sample.first_token_ms = (now_s - sample.sent_s) * 1000
            else:
                sample.gaps_ms.append((now_s - last_chunk_s) * 1000)
            last_chunk_s = now_s


def submit_job(fleet: Fleet, index: int, team: str, name: str, count: int, tokens: int):
    """Submit a job of `count` chat completions and return its batch object."""
    lines = "\n".join(
        json.dumps(
            {
                "custom_id": f"{name}-{n}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": fleet.spec.model,
                    "max_tokens": tokens,
                    "messages": [{"role": "user", "content": f"{name} {n}"}],
                },
            }
        )
        for n in range(count)
    )
    headers = {
        "authorization": f"Bearer {fleet.keys[team]}",
        "content-type": "application/jsonl",
        "x-job-key": name,
    }
    url = fleet.daemons[index].caller.url + "/v1/batches"
    return fleet.http.request("POST", url, headers=headers, body=lines).json()


def cancel_job(fleet: Fleet, index: int, team: str, job: str) -> None:
    """Cancel a job."""
    headers = {"authorization": f"Bearer {fleet.keys[team]}"}
    url = fleet.daemons[index].caller.url + f"/v1/batches/{job}/cancel"
    fleet.http.request("POST", url, headers=headers)


def count_engine_tokens(fleet: Fleet) -> int:
    """Return how many tokens all engines together have generated."""
    return sum(
        fleet.get(vm.address, "/stats")["tokens"]
        for vm in fleet.endpoints
        if vm.kind == "model"
    )
