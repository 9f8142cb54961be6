"""Replays a recorded trace against a fleet and checks the stated outcomes.

A trace is JSON Lines; docs/TRACES.md describes the lines. Each line but the
last ones is an action at a time; `expect` lines state outcomes.
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
JOB_POLL_S = 0.25


class Action(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a trace; which fields count depends on `do`."""

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


class Outcome(msgspec.Struct, frozen=True):
    """One expectation and what was measured."""

    name: str
    team: str
    limit: float
    measured: float
    met: bool


class Tally:
    """Counts what happened to the requests of a replay, by team."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.answered: collections.Counter = collections.Counter()
        self.refused: collections.Counter = collections.Counter()
        self.failed: collections.Counter = collections.Counter()
        self.first_token_ms: dict[str, list[float]] = collections.defaultdict(list)
        self.jobs: dict[tuple[str, str], dict] = {}

    def percentile_ms(self, team: str, share: float) -> float:
        """Return a percentile of a team's time to the first token."""
        values = sorted(self.first_token_ms[team])
        if not values:
            return float("inf")
        return values[min(len(values) - 1, int(share * len(values)))]


class Replayer:
    """Plays a trace. `urls` are the daemons' caller addresses in turn.

    `faults` maps the names of fault actions to functions of the target; a
    replay against a fleet without a harness has none and passes over them.
    """

    def __init__(
        self,
        urls: list[str],
        keys: dict[str, str],
        faults: dict[str, Callable[[str], None]] | None = None,
    ) -> None:
        self.tally = Tally()
        self._urls: list[str] = urls
        self._keys: dict[str, str] = keys
        self._faults: dict[str, Callable[[str], None]] = faults or {}
        self._http = urllib3.PoolManager(maxsize=64, retries=False)
        self._threads: list[threading.Thread] = []
        self._turn: int = 0

    def run(self, actions: list[Action]) -> list[Outcome]:
        """Play all actions at their times and return the outcomes."""
        start_s = time.monotonic()
        for action in sorted(
            (a for a in actions if a.do), key=lambda action: action.at_ms
        ):
            delay_s = start_s + action.at_ms / 1000 - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            self._play(action)
        for thread in self._threads:
            thread.join()
        return [self._judge(action) for action in actions if action.expect]

    def _play(self, action: Action) -> None:
        if action.do == "online":
            for number in range(action.count):
                delay_s = number * action.spread_ms / 1000 / max(1, action.count)
                self._start(self._online, action, number, delay_s)
        elif action.do == "batch":
            self._start(self._batch, action)
        elif action.do in self._faults:
            self._start(self._faults[action.do], action.target)

    def _start(self, task: Callable, *args) -> None:
        thread = threading.Thread(target=task, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _next_url(self) -> str:
        with self.tally.lock:
            self._turn += 1
            return self._urls[self._turn % len(self._urls)]

    def _online(self, action: Action, number: int, delay_s: float) -> None:
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
        whole = False
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
                # As a balancer would, try the next daemon when one is gone.
                continue
            except urllib3.exceptions.HTTPError:
                break
            status = response.status
            try:
                for chunk in response.stream():
                    if first_ms is None:
                        first_ms = (time.monotonic() - sent_s) * 1000
                    whole = whole or b"[DONE]" in chunk
            except urllib3.exceptions.HTTPError:
                whole = False
            break
        self._count(team, status, whole, first_ms)

    def _count(
        self, team: str, status: int, whole: bool, first_ms: float | None
    ) -> None:
        with self.tally.lock:
            if status == 200 and whole:
                self.tally.answered[team] += 1
                self.tally.first_token_ms[team].append(first_ms or 0.0)
            elif status == 429:
                self.tally.refused[team] += 1
            else:
                self.tally.failed[team] += 1

    def _batch(self, action: Action) -> None:
        team = action.team
        lines = b"\n".join(self._item_lines(action))
        headers = {
            **self._headers(team),
            "content-type": "application/jsonl",
            "x-job-key": action.job,
        }
        batch = self._until_ok("POST", "/v1/batches", headers=headers, body=lines)
        while batch["status"] == "in_progress":
            time.sleep(JOB_POLL_S)
            path = f"/v1/batches/{batch['id']}"
            batch = self._until_ok("GET", path, headers=self._headers(team))
        path = f"/v1/files/{batch['output_file_id']}/content"
        content = self._until_ok("GET", path, headers=self._headers(team), raw=True)
        ids = [msgspec.json.decode(x)["custom_id"] for x in content.splitlines()]
        with self.tally.lock:
            self.tally.jobs[(team, action.job)] = {
                **batch,
                "lines": len(ids),
                "distinct": len(set(ids)),
            }

    def _item_lines(self, action: Action) -> Iterator[bytes]:
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

    def _until_ok(self, method: str, path: str, raw: bool = False, **kwargs):
        """Repeat an idempotent call at the next daemon until it is answered."""
        limit_s = time.monotonic() + REQUEST_TIMEOUT_S
        while time.monotonic() < limit_s:
            try:
                response = self._http.request(
                    method, self._next_url() + path, timeout=30.0, **kwargs
                )
                if response.status == 200:
                    return response.data if raw else response.json()
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(JOB_POLL_S)
        raise TimeoutError(f"{method} {path} was not answered")

    def _headers(self, team: str) -> dict[str, str]:
        return {"authorization": f"Bearer {self._keys[team]}"}

    def _judge(self, action: Action) -> Outcome:
        tally, team = self.tally, action.team
        measures: dict[str, Callable[[], tuple[float, bool]]] = {
            "answered_at_least": lambda: _at_least(tally.answered[team], action.value),
            "answered_at_most": lambda: _at_most(tally.answered[team], action.value),
            "refused_at_most": lambda: _at_most(tally.refused[team], action.value),
            "failed_at_most": lambda: _at_most(tally.failed[team], action.value),
            "first_token_p95_ms_at_most": lambda: _at_most(
                tally.percentile_ms(team, 0.95), action.value
            ),
            "job_items_once": lambda: self._items_once(action),
        }
        measured, met = measures[action.expect]()
        return Outcome(action.expect, team, action.value, measured, met)

    def _items_once(self, action: Action) -> tuple[float, bool]:
        job = self.tally.jobs.get((action.team, action.job))
        if job is None:
            return 0.0, False
        once = job["lines"] == job["distinct"] == action.value
        return float(job["distinct"]), once


def load_trace(path: str) -> list[Action]:
    """Read a trace; the error names the line."""
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


def _at_least(measured: float, limit: float) -> tuple[float, bool]:
    return float(measured), measured >= limit


def _at_most(measured: float, limit: float) -> tuple[float, bool]:
    return float(measured), measured <= limit
