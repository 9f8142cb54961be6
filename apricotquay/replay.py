"""Replays a trace against a fleet of threaded daemons and checks its expectations.

A trace is a JSON Lines file; docs/TRACES.md describes the lines. Each line is an
action at a given time, except the `expect` lines at the end.
"""

import collections
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import urllib3

from .errors import ErrorKind, RequestError

REQUEST_TIMEOUT_S = 120.0
JOB_POLL_INTERVAL_S = 0.25


class Action(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a trace; `do` or `expect` determines which fields are used."""

    at_ms: int = 0
    do: str = ""
    team: str = ""
    model: str = ""
    count: int = 1
    spread_ms: int = 0
    tokens: int = 16
    job: str = ""
    target: str = ""
    expect: str = ""
    value: float = 0.0


class ExpectationResult(msgspec.Struct, frozen=True):
    """An expectation, the measured value and whether it was met."""

    name: str
    team: str
    limit: float
    measured: float
    met: bool


class ReplayStats:
    """Counts and latencies of the requests of a replay by team, and its jobs."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.answered: collections.Counter = collections.Counter()
        self.refused: collections.Counter = collections.Counter()
        self.failed: collections.Counter = collections.Counter()
        self.first_token_ms: dict[str, list[float]] = collections.defaultdict(list)
        self.jobs: dict[tuple[str, str], dict] = {}

    def percentile_ms(self, team: str, fraction: float) -> float:
        """Return a percentile of a team's times to the first token."""
        values = sorted(self.first_token_ms[team])
        if not values:
            return float("inf")
        return values[min(len(values) - 1, int(fraction * len(values)))]


class Replayer:
    """Replays a trace. Calls are spread over `urls`, the daemons' caller addresses.

    `faults` maps the name of each fault action to a function that takes the
    target. Without a test harness there are none, and fault actions are skipped.
    """

    def __init__(
        self,
        urls: list[str],
        keys: dict[str, str],
        faults: dict[str, Callable[[str], None]] | None = None,
    ) -> None:
        self.stats = ReplayStats()
        self._urls: list[str] = urls
        self._keys: dict[str, str] = keys
        self._faults: dict[str, Callable[[str], None]] = faults or {}
        self._http = urllib3.PoolManager(maxsize=64, retries=False)
        self._threads: list[threading.Thread] = []
        self._call_count: int = 0

    def run(self, actions: list[Action]) -> list[ExpectationResult]:
        """Run all actions at their times and return the results of the expectations."""
        start_s = time.monotonic()
        for action in sorted(
            (a for a in actions if a.do), key=lambda action: action.at_ms
        ):
            delay_s = start_s + action.at_ms / 1000 - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            self._run_action(action)
        for thread in self._threads:
            thread.join()
        return [self._check_expectation(action) for action in actions if action.expect]

    def _run_action(self, action: Action) -> None:
        if action.do == "online":
            for number in range(action.count):
                delay_s = number * action.spread_ms / 1000 / max(1, action.count)
                self._start_thread(self._send_online, action, number, delay_s)
        elif action.do == "batch":
            self._start_thread(self._run_job, action)
        elif action.do in self._faults:
            self._start_thread(self._faults[action.do], action.target)

    def _start_thread(self, task: Callable, *args) -> None:
        thread = threading.Thread(target=task, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _next_url(self) -> str:
        with self.stats.lock:
            self._call_count += 1
            return self._urls[self._call_count % len(self._urls)]

    def _send_online(self, action: Action, number: int, delay_s: float) -> None:
        time.sleep(delay_s)
        team = action.team
        body = {
            "model": action.model,
            "stream": True,
            "max_tokens": action.tokens,
            "messages": [{"role": "user", "content": f"{team} {number} notice"}],
        }
        sent_s = time.monotonic()
        first_ms = None
        is_complete = False
        status = 0
        for _ in self._urls:
            try:
                response = self._http.request(
                    "POST",
                    f"{self._next_url()}/v1/chat/completions",
                    json=body,
                    headers=self._headers(team),
                    timeout=REQUEST_TIMEOUT_S,
                    preload_content=False,
                )
            except urllib3.exceptions.NewConnectionError:
                # Try the next daemon if this one is down, as a load balancer would.
                continue
            except urllib3.exceptions.HTTPError:
                break
            status = response.status
            try:
                for chunk in response.stream():
                    if first_ms is None:
                        first_ms = (time.monotonic() - sent_s) * 1000
                    is_complete = is_complete or b"[DONE]" in chunk
            except urllib3.exceptions.HTTPError:
                is_complete = False
            break
        self._count_request(team, status, is_complete, first_ms)

    def _count_request(
        self, team: str, status: int, is_complete: bool, first_ms: float | None
    ) -> None:
        with self.stats.lock:
            if status == 200 and is_complete:
                self.stats.answered[team] += 1
                self.stats.first_token_ms[team].append(first_ms or 0.0)
            elif status == 429:
                self.stats.refused[team] += 1
            else:
                self.stats.failed[team] += 1

    def _run_job(self, action: Action) -> None:
        team = action.team
        lines = b"\n".join(self._encode_items(action))
        headers = {
            **self._headers(team),
            "content-type": "application/jsonl",
            "x-job-key": action.job,
        }
        batch = self._call_until_ok("POST", "/v1/batches", headers=headers, body=lines)
        while batch["status"] == "in_progress":
            time.sleep(JOB_POLL_INTERVAL_S)
            path = f"/v1/batches/{batch['id']}"
            batch = self._call_until_ok("GET", path, headers=self._headers(team))
        path = f"/v1/files/{batch['output_file_id']}/content"
        content = self._call_until_ok(
            "GET", path, headers=self._headers(team), raw=True
        )
        ids = [msgspec.json.decode(line)["custom_id"] for line in content.splitlines()]
        with self.stats.lock:
            self.stats.jobs[(team, action.job)] = {
                **batch,
                "lines": len(ids),
                "distinct": len(set(ids)),
            }

    def _encode_items(self, action: Action) -> Iterator[bytes]:
        for number in range(action.count):
            content = f"{action.team} {action.job} item {number}"
            yield msgspec.json.encode(
                {
                    "custom_id": f"{action.job}-{number}",
                    "method": "POST",
                    "url": "/v1/chat/completions",
                    "body": {
                        "model": action.model,
                        "max_tokens": action.tokens,
                        "messages": [{"role": "user", "content": content}],
                    },
                }
            )

    def _call_until_ok(self, method: str, path: str, raw: bool = False, **kwargs):
        """Repeat an idempotent call at one daemon after the other until it succeeds."""
        deadline_s = time.monotonic() + REQUEST_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                response = self._http.request(
                    method, self._next_url() + path, timeout=30.0, **kwargs
                )
                if response.status == 200:
                    return response.data if raw else response.json()
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(JOB_POLL_INTERVAL_S)
        raise TimeoutError(f"{method} {path} did not succeed in time")

    def _headers(self, team: str) -> dict[str, str]:
        return {"authorization": f"Bearer {self._keys[team]}"}

    def _check_expectation(self, action: Action) -> ExpectationResult:
        stats, team = self.stats, action.team
        checks: dict[str, Callable[[], tuple[float, bool]]] = {
            "answered_at_least": lambda: _check_at_least(
                stats.answered[team], action.value
            ),
            "answered_at_most": lambda: _check_at_most(
                stats.answered[team], action.value
            ),
            "refused_at_most": lambda: _check_at_most(
                stats.refused[team], action.value
            ),
            "failed_at_most": lambda: _check_at_most(stats.failed[team], action.value),
            "first_token_p95_ms_at_most": lambda: _check_at_most(
                stats.percentile_ms(team, 0.95), action.value
            ),
            "job_items_once": lambda: self._check_items_once(action),
        }
        measured, met = checks[action.expect]()
        return ExpectationResult(action.expect, team, action.value, measured, met)

    def _check_items_once(self, action: Action) -> tuple[float, bool]:
        job = self.stats.jobs.get((action.team, action.job))
        if job is None:
            return 0.0, False
        met = job["lines"] == job["distinct"] == action.value
        return float(job["distinct"]), met


def load_trace(path: str) -> list[Action]:
    """Read a trace; raise an error that names the line if one is malformed."""
    actions = []
    for number, line in enumerate(Path(path).read_bytes().splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith(b"//"):
            continue
        try:
            actions.append(msgspec.json.decode(line, type=Action))
        except msgspec.DecodeError as exc:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"{path}:{number}: {exc}", param=str(number)
            ) from exc
    return actions


def _check_at_least(measured: float, limit: float) -> tuple[float, bool]:
    return float(measured), measured >= limit


def _check_at_most(measured: float, limit: float) -> tuple[float, bool]:
    return float(measured), measured <= limit
