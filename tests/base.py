"""Base classes of all tests, and helpers."""

import json
import threading
import time
from collections.abc import Callable, Iterator

import msgspec
import testtools
import urllib3
from hypothesis import HealthCheck, settings

from apricotquay.ids import hash_key
from standins.fleet import Fleet, FleetSpec

# Examples are the same in each run, so that CI results are reproducible.
PROPERTY_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class ApricotTest(testtools.TestCase):
    """Base class of all tests."""

    def document(self, **changes) -> dict:
        """Return a small valid document with changes at its top level."""
        value = {
            "teams": {
                "small": {
                    "rate_per_s": 10,
                    "burst": 5,
                    "keys": [{"hash": hash_key("sk-small")}],
                },
                "large": {
                    "rate_per_s": 100,
                    "burst": 50,
                    "keys": [{"hash": hash_key("sk-large")}],
                },
            },
            "models": {"quay-llm": {}},
            "routes": {"quay-llm": {"kind": "model", "target": "quay-llm"}},
        }
        value.update(changes)
        return value


class Response(msgspec.Struct):
    """Response of a daemon to a caller."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> dict:
        """Return the decoded JSON body."""
        return json.loads(self.body)

    def error(self) -> dict:
        """Return the error object, which is of one of the kinds in `ErrorKind`."""
        return self.json()["error"]


class FleetTest(ApricotTest):
    """Base class of tests against a fleet of threaded daemons and stand-ins.

    A class starts one fleet for all its tests. With `fleet_per_test`, each test
    starts its own, for tests that leave faults behind.
    """

    spec = FleetSpec()
    fleet_per_test = False
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet of the class."""
        super().setUpClass()
        if not cls.fleet_per_test:
            cls.fleet = Fleet(cls.spec)
            cls.fleet.start()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the fleet of the class."""
        if not cls.fleet_per_test:
            cls.fleet.close()
        super().tearDownClass()

    def setUp(self) -> None:
        """Start a fleet for this test alone if the class sets `fleet_per_test`."""
        super().setUp()
        if self.fleet_per_test:
            self.fleet = Fleet(self.spec)
            self.fleet.start()
            self.addCleanup(self.fleet.close)

    def call(
        self,
        index: int,
        method: str,
        path: str,
        team: str | None = "small",
        headers: dict[str, str] | None = None,
        body: bytes | str | None = None,
        timeout_s: float = 60.0,
    ) -> Response:
        """Send a request to a daemon, with the key of a team."""
        sent_headers = dict(headers or {})
        if team is not None:
            sent_headers.setdefault("authorization", f"Bearer {self.fleet.keys[team]}")
        response = self.fleet.http.request(
            method,
            self.fleet.daemons[index].caller.url + path,
            headers=sent_headers,
            body=body,
            timeout=timeout_s,
        )
        lower_headers = {
            name.lower(): value for name, value in response.headers.items()
        }
        return Response(response.status, response.data, lower_headers)

    def chat(
        self,
        index: int,
        prompt: str,
        tokens: int = 8,
        team: str | None = "small",
        headers: dict[str, str] | None = None,
        **fields,
    ) -> Response:
        """Request a chat completion without streaming."""
        body = {
            "model": "quay-llm",
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
            **fields,
        }
        path = "/v1/chat/completions"
        return self.call(index, "POST", path, team, headers, json.dumps(body))

    def extract_text(self, response: Response) -> str:
        """Return the text of a chat completion."""
        return response.json()["choices"][0]["message"]["content"]

    def open_stream(
        self, index: int, prompt: str, tokens: int, team: str = "small"
    ) -> urllib3.BaseHTTPResponse:
        """Open a streamed chat completion."""
        body = {
            "model": "quay-llm",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        return self.fleet.http.request(
            "POST",
            self.fleet.daemons[index].caller.url + "/v1/chat/completions",
            headers={"authorization": f"Bearer {self.fleet.keys[team]}"},
            json=body,
            preload_content=False,
            timeout=120.0,
        )

    def make_item_lines(self, name: str, count: int, tokens: int = 8) -> list[str]:
        """Return the lines of a job of chat completions."""
        return [
            json.dumps(
                {
                    "custom_id": f"{name}-{number}",
                    "method": "POST",
                    "url": "/v1/chat/completions",
                    "body": {
                        "model": "quay-llm",
                        "max_tokens": tokens,
                        "messages": [
                            {"role": "user", "content": f"{name} item {number}"}
                        ],
                    },
                }
            )
            for number in range(count)
        ]

    def make_service_lines(self, name: str, count: int) -> list[str]:
        """Return the lines of a job of calls that are not idempotent."""
        return [
            json.dumps(
                {
                    "custom_id": f"{name}-{number}",
                    "method": "POST",
                    "url": "/services/filing/file",
                    "body": {"call": f"{name}-{number}"},
                }
            )
            for number in range(count)
        ]

    def submit(
        self, index: int, job_key: str, lines: list[str], team: str = "small"
    ) -> Response:
        """Submit a job."""
        headers = {"content-type": "application/jsonl", "x-job-key": job_key}
        body = "\n".join(lines)
        return self.call(index, "POST", "/v1/batches", team, headers, body)

    def submit_until_accepted(
        self, indexes: list[int], job_key: str, lines: list[str]
    ) -> dict:
        """Submit a job to one daemon after another until one accepts it."""
        return self.retry(
            indexes, lambda index: self.submit(index, job_key, lines)
        ).json()

    def fetch_batch(self, indexes: list[int], job: str) -> dict:
        """Fetch the batch object of a job from the first daemon that responds."""
        path = f"/v1/batches/{job}"
        return self.retry(indexes, lambda index: self.call(index, "GET", path)).json()

    def wait_for_job(self, indexes: list[int], job: str, timeout_s: float = 90) -> dict:
        """Wait until a job has ended."""
        self.fleet.wait_until(
            lambda: self.fetch_batch(indexes, job)["status"] != "in_progress",
            f"job {job} ends",
            timeout_s,
        )
        return self.fetch_batch(indexes, job)

    def fetch_results(self, indexes: list[int], batch: dict) -> list[dict]:
        """Fetch the results of a job from the first daemon that responds."""
        path = f"/v1/files/{batch['output_file_id']}/content"
        response = self.retry(indexes, lambda index: self.call(index, "GET", path))
        return [json.loads(line) for line in response.body.splitlines()]

    def retry(
        self,
        indexes: list[int],
        call: Callable[[int], Response],
        timeout_s: float = 60.0,
    ) -> Response:
        """Repeat an idempotent call at one daemon after another until it succeeds."""
        deadline_s = time.monotonic() + timeout_s
        last_outcome: object = None
        attempts = 0
        while time.monotonic() < deadline_s:
            index = indexes[attempts % len(indexes)]
            attempts += 1
            try:
                response = call(index)
            except urllib3.exceptions.HTTPError as exc:
                last_outcome = exc
            else:
                if response.status == 200:
                    return response
                last_outcome = response
            time.sleep(0.1)
        raise TimeoutError(f"no success within {timeout_s} s; last: {last_outcome}")


class ClosedLoopGenerator:
    """Repeats a call in each of several threads until closed; collects the outcomes.

    A thread calls again once its last call has ended.
    """

    def __init__(self, call: Callable[[int], object], threads: int) -> None:
        self.outcomes: list[object] = []
        self._call: Callable[[int], object] = call
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop and wait for the calls in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join(120)

    def _run(self, number: int) -> None:
        while not self._stop.is_set():
            try:
                outcome = self._call(number)
            except Exception as exc:
                outcome = exc
            with self._lock:
                self.outcomes.append(outcome)


def stream_events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the data of each server-sent event of a response."""
    partial = b""
    for chunk in response.stream():
        *events, partial = (partial + chunk).split(b"\n\n")
        yield from (event[6:] for event in events if event.startswith(b"data: "))
