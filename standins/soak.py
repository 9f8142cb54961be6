"""Randomized soak test of event-loop daemons: real processes, external faults.

    python -m standins.soak --seed 1 --seconds 20

A store, model servers and daemons run as separate processes. A loopback proxy
forwards the connections of each daemon to the store and of all daemons to each
server. Faults start one after the other and overlap; beside them, sound servers
fall silent and go on, zones of servers are evacuated for a while, and some callers
send requests ahead and read nothing. The other callers keep their connections. After
the run, the responses that callers got are compared with the runs that the servers
logged. Each violated guarantee is printed; the exit code is 1 if there is any. Only
processes started here are signalled, by process id.
"""

import asyncio
import base64
import collections
import contextlib
import json
import random
import signal
import sys
import time
from collections.abc import Iterator

import fire
import msgspec

from apricotquay.serving.http.http1 import (
    HttpError,
    HttpRequest,
    HttpResponse,
    find_header,
)
from apricotquay.serving.http.httpclient import open_client

from .platform import make_configuration, write_configuration, write_evacuation
from .processes import SHUTDOWN_GRACE_S, PlatformProcesses, zone_of_server

# Source address of connections that are not bound to a host.
SOURCE_HOST = "127.0.0.1"
EVENTS_PER_REQUEST = 12
EVENT_INTERVAL_S = 0.02
RECOVERY_TIMEOUT_S = 25.0
MAX_PAUSE_S = 3.0
# A sound server may be silent this long and go on.
SILENCE_S = (1.0, 1.6)
SILENCE_INTERVAL_S = (0.5, 3.0)
# A caller that reads nothing sends so many requests ahead, and stays for so long.
UNREAD_REQUESTS = 24
UNREAD_S = (0.5, 3.0)
# Nothing new reaches an evacuated zone so long after the operator's record.
EVACUATION_TIME_S = 5.0
EVACUATED_S = (6.0, 9.0)
EVACUATION_INTERVAL_S = (1.0, 3.0)
# A daemon is in touch if nothing disturbed it for so long.
CONTACT_S = 4.0
# A daemon may end a request at its time limit; callers wait longer than that.
TIME_LIMIT_S = 5.0
TIME_LIMIT_MARGIN_S = 0.1
CALLER_TIMEOUT_S = 6.5
# A withdrawn key is rejected within this time after the store has the record.
REVOCATION_TIME_S = 7.0
KEYS = {"small": ["k-small"], "large": ["k-large"]}
PATHS = {"stream": "/s/1", "two attempts": "/t/1", "unsafe": "/u/1"}
REFUSAL_STATUSES = (429, 503)


class SentRequest(msgspec.Struct):
    """A request of a caller and its outcome; status 0 if no response was read.

    `is_cut` tells that it was sent to a daemon and not answered in full.
    """

    id: str
    kind: str
    team: str
    key: str
    at_s: float
    status: int = 0
    body: bytes = b""
    ended_s: float = 0.0
    daemon: int = 0
    is_cut: bool = False


class Evacuation(msgspec.Struct):
    """An evacuation of a zone, from its acknowledgement to its end."""

    zone: str
    started_s: float
    ended_s: float


class Disturbance(msgspec.Struct):
    """A fault that may end the requests that a process serves meanwhile."""

    process: str
    started_s: float
    ended_s: float = float("inf")


class SubmittedJob(msgspec.Struct):
    """A batch job, with the status of each submission."""

    id: str
    items: list[str]
    statuses: list[int] = []
    is_cancelled: bool = False
    results: list[tuple[str, str, str]] = []


class Soak:
    """One run of the soak test; the seed determines its faults."""

    def __init__(
        self, seed: int, seconds: float, daemons: int, servers: int, versions: int
    ) -> None:
        self.violations: list[str] = []
        self._rng = random.Random(seed)
        # Separate, so that the other faults of a seed stay as they are.
        self._silence_rng = random.Random(f"silence{seed}")
        self._unread_rng = random.Random(f"unread{seed}")
        self._seconds: float = seconds
        self._fleet = PlatformProcesses(
            daemons, servers, EVENT_INTERVAL_S, versions=versions
        )
        self._proxy = self._fleet.proxy
        self._caller_addresses = self._fleet.caller_addresses
        self._daemons = self._fleet.daemons
        self._requests: list[SentRequest] = []
        self._jobs: list[SubmittedJob] = []
        self._stopping: bool = False
        self._version: int = 1
        self._withdrawn: dict[str, float] = {}
        self._disturbances: list[Disturbance] = []
        self._evacuation_rng = random.Random(f"evacuation{seed}")
        self._evacuations: list[Evacuation] = []

    async def run(self) -> list[str]:
        """Execute the run and return the violated guarantees."""
        try:
            await self._start()
            callers = [asyncio.create_task(self._send_requests(n)) for n in range(8)]
            batch = [asyncio.create_task(self._submit_jobs(n)) for n in range(2)]
            await self._inject_faults()
            self._stopping = True
            await asyncio.gather(*callers, *batch)
            await self._check_recovery()
            self._check_runs()
        finally:
            self._fleet.close()
        return self.violations

    async def _start(self) -> None:
        self._fleet.start_store()
        await self._wait_until(self._configure)
        self._fleet.start()
        for number in range(len(self._daemons)):
            await self._wait_until(lambda n=number: self._serves(n))

    async def _configure(self) -> bool:
        keys = {
            t: [k for k in ks if k not in self._withdrawn] for t, ks in KEYS.items()
        }
        keys["small"] = [*keys["small"], f"k-{self._version}"]
        try:
            value = make_configuration(self._version, keys)
            two_attempts = {"name": "t", "path_prefix": "/t/", "max_attempts": 2}
            value["routes"].append({**value["routes"][0], **two_attempts})
            await write_configuration(self._fleet.store_address, value)
        except Exception:
            # The store is paused or starting; the caller retries.
            return False
        return True

    async def _serves(self, number: int) -> bool:
        request = self._new_request("stream", "large")
        await self._send_request(request, number, None)
        return request.status == 200

    async def _wait_until(self, condition) -> None:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.1)

    def _new_request(self, kind: str, team: str) -> SentRequest:
        request_id = f"{kind[0]}{len(self._requests)}"
        request = SentRequest(request_id, kind, team, KEYS[team][0], time.time())
        self._requests.append(request)
        return request

    async def _exchange(
        self, connection, method, target, body, **headers
    ) -> HttpResponse:
        header_list = [(b"host", b"a.example")]
        header_list += [
            (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
        ]
        connection.send(HttpRequest(method, target, header_list, body))
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return await connection.read_response()

    async def _send_request(
        self, request: SentRequest, number: int, connection
    ) -> object | None:
        """Send a request once; return the connection if it can be reused."""
        request.daemon = number
        try:
            if connection is None or not connection.is_reusable:
                address = self._caller_addresses[number]
                connection = await open_client(address.host, address.port, 1.0)
            response = await self._exchange(
                connection,
                "POST",
                PATHS[request.kind],
                f"events={EVENTS_PER_REQUEST}".encode(),
                key=request.key,
                attempt_id=request.id,
                deadline_ms="5000",
            )
        except (HttpError, TimeoutError) as exc:
            if connection is not None:
                connection.close()
            request.is_cut = not isinstance(exc, HttpError) or exc.sent
            request.ended_s = time.time()
            return None
        request.status, request.body = response.status, response.body
        request.ended_s = time.time()
        closes = find_header(response.headers, b"connection") == "close"
        return None if closes else connection

    async def _send_requests(self, number: int) -> None:
        """Send online requests, on one connection for as long as it is open."""
        rng = random.Random(f"{number}{self._seconds}")
        connection = None
        while not self._stopping:
            kind = rng.choice(["stream", "unsafe"])
            if kind == "stream" and number % 2:
                kind = "two attempts"
            request = self._new_request(kind, rng.choice(list(KEYS)))
            if connection is None:
                daemon = rng.randrange(len(self._daemons))
            connection = await self._send_request(request, daemon, connection)
            await asyncio.sleep(rng.uniform(0.01, 0.2))

    async def _submit_jobs(self, number: int) -> None:
        """Submit batch jobs; a few are cancelled once they are accepted."""
        rng = random.Random(f"b{number}")
        while not self._stopping:
            job = SubmittedJob(f"j{number}-{len(self._jobs)}", [], [], False, [])
            job.items = [f"{job.id}-{n}" for n in range(rng.randint(1, 6))]
            self._jobs.append(job)
            for _ in range(8):
                status = await self._submit(job, rng.randrange(len(self._daemons)))
                job.statuses.append(status)
                if status == 202:
                    break
                await asyncio.sleep(0.4)
            if rng.random() < 0.15 and 202 in job.statuses:
                job.is_cancelled = True
                await self._call_job(job, "DELETE", rng.randrange(len(self._daemons)))
            await asyncio.sleep(rng.uniform(0.1, 0.8))

    async def _submit(self, job: SubmittedJob, number: int) -> int:
        body = base64.b64encode(f"events={EVENTS_PER_REQUEST}".encode()).decode()
        items = [
            {"id": item, "path": "/b/1", "headers": {}, "body": body, "tokens": 9}
            for item in job.items
        ]
        response = await self._call_daemon(
            number, "POST", "/b/1", json.dumps({"items": items}).encode(), job.id
        )
        return response.status if response else 0

    async def _call_job(
        self, job: SubmittedJob, method: str, number: int
    ) -> HttpResponse | None:
        return await self._call_daemon(
            number, method, f"/-/lots/{job.id}?after=0", b"", job.id
        )

    async def _call_daemon(
        self, number, method, target, body, job_id
    ) -> HttpResponse | None:
        """Call a daemon on a new connection; return None if there is no response."""
        address = self._caller_addresses[number]
        try:
            connection = await open_client(address.host, address.port, 1.0)
        except HttpError:
            return None
        try:
            return await self._exchange(
                connection,
                method,
                target,
                body,
                key=KEYS["large"][0],
                attempt_id=job_id,
                deadline_ms="4000",
            )
        except (HttpError, TimeoutError):
            return None
        finally:
            connection.close()

    async def _inject_faults(self) -> None:
        """Start random faults that overlap, then clear all of them."""
        deadline_s = time.monotonic() + self._seconds
        faults = [
            self._kill_daemon,
            self._stop_daemon,
            self._pause_daemon,
            self._kill_server,
            self._pause_store,
            self._disturb_connections,
            self._disturb_connections,
            self._write_new_version,
        ]
        running = {
            asyncio.create_task(self._silence_servers(deadline_s)),
            asyncio.create_task(self._leave_responses_unread(deadline_s)),
            asyncio.create_task(self._evacuate_zones(deadline_s)),
        }
        while time.monotonic() < deadline_s:
            running.add(asyncio.create_task(self._rng.choice(faults)()))
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await asyncio.gather(*running)
        self._proxy.clear_faults()

    async def _silence_servers(self, deadline_s: float) -> None:
        """Stop one or all servers for a moment, time and again; they lose nothing."""
        rng = self._silence_rng
        while time.monotonic() < deadline_s:
            await asyncio.sleep(rng.uniform(*SILENCE_INTERVAL_S))
            servers = self._fleet.servers
            if rng.random() < 0.5:
                servers = [rng.choice(servers)]
            for process in servers:
                process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*SILENCE_S))
            for process in servers:
                process.send_signal(signal.SIGCONT)

    async def _leave_responses_unread(self, deadline_s: float) -> None:
        """Send requests ahead on a connection and read nothing, time and again."""
        rng = self._unread_rng
        while time.monotonic() < deadline_s:
            number = rng.randrange(len(self._daemons))
            requests = [
                self._new_request("stream", "large") for _ in range(UNREAD_REQUESTS)
            ]
            address = self._caller_addresses[number]
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(address.host, address.port)
                for request in requests:
                    request.daemon = number
                    writer.write(_encode_request(request))
                await asyncio.sleep(rng.uniform(*UNREAD_S))
                writer.transport.abort()

    async def _evacuate_zones(self, deadline_s: float) -> None:
        """Evacuate a zone and end that, time and again."""
        rng = self._evacuation_rng
        while time.monotonic() < deadline_s:
            await asyncio.sleep(rng.uniform(*EVACUATION_INTERVAL_S))
            zone = zone_of_server(rng.randrange(2))
            await self._wait_until(lambda z=zone: self._set_evacuated(z, True))
            started_s = time.time()
            await asyncio.sleep(rng.uniform(*EVACUATED_S))
            self._evacuations.append(Evacuation(zone, started_s, time.time()))
            await self._wait_until(lambda z=zone: self._set_evacuated(z, False))

    async def _set_evacuated(self, zone: str, is_evacuated: bool) -> bool:
        store = self._fleet.store_address
        try:
            await write_evacuation(store, zone, is_evacuated=is_evacuated)
        except Exception:
            # The store is paused or starting; the caller retries.
            return False
        return True

    @contextlib.contextmanager
    def _disturb(self, process: str) -> Iterator[None]:
        """Record a fault that may end what a process serves."""
        disturbance = Disturbance(process, time.time())
        self._disturbances.append(disturbance)
        yield
        disturbance.ended_s = time.time()

    async def _kill_daemon(self) -> None:
        process = self._rng.choice(self._daemons)
        with self._disturb(process.name):
            await process.kill_and_start(self._rng.uniform(0.0, 0.5))

    async def _stop_daemon(self) -> None:
        process = self._rng.choice(self._daemons)
        with self._disturb(process.name):
            in_time = await process.stop_and_start(SHUTDOWN_GRACE_S + MAX_PAUSE_S)
        if not in_time:
            self.violations.append(
                f"{process.name} did not stop within its grace period"
            )

    async def _pause_daemon(self) -> None:
        process = self._rng.choice(self._daemons)
        with self._disturb(process.name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.2, MAX_PAUSE_S))
            process.send_signal(signal.SIGCONT)

    async def _kill_server(self) -> None:
        process = self._rng.choice(self._fleet.servers)
        with self._disturb(process.name):
            await process.kill_and_start(self._rng.uniform(0.2, 2.0))
            await self._wait_until(process.is_listening)

    async def _pause_store(self) -> None:
        with self._disturb("store"):
            self._fleet.store.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.2, 2.5))
            self._fleet.store.send_signal(signal.SIGCONT)

    async def _disturb_connections(self) -> None:
        name = self._rng.choice(self._fleet.proxy_listeners)
        fault = self._proxy.get_fault(SOURCE_HOST, name)
        kind = self._rng.choice(["delay", "reset", "one way", "silence"])
        if kind == "delay":
            fault.delay_s = self._rng.uniform(0.01, 0.3)
            await asyncio.sleep(self._rng.uniform(0.3, 2.5))
            fault.delay_s = 0.0
            return
        with self._disturb(name.replace("server-", "i")):
            if kind == "reset":
                self._proxy.reset_connections(name)
            elif kind == "one way":
                fault.responses_blocked = True
            else:
                self._proxy.blackhole_connections(name)
            await asyncio.sleep(self._rng.uniform(0.3, 2.5))
            fault.responses_blocked = False

    async def _write_new_version(self) -> None:
        """Write a configuration version that replaces the key of the previous one."""
        self._version += 1
        withdrawn = f"k-{self._version - 1}"
        with contextlib.suppress(TimeoutError):
            await self._wait_until(self._configure)
            self._withdrawn[withdrawn] = time.time()

    async def _check_recovery(self) -> None:
        """Check after the faults: daemons serve, withdrawn keys fail, jobs are done."""
        for number in range(len(self._daemons)):
            try:
                await self._wait_until(lambda n=number: self._serves(n))
            except TimeoutError:
                self.violations.append(f"d{number} does not serve after the faults")
        await asyncio.sleep(REVOCATION_TIME_S if self._withdrawn else 0.0)
        for key in self._withdrawn:
            request = msgspec.structs.replace(
                self._new_request("stream", "small"), key=key
            )
            await self._send_request(request, 0, None)
            if request.status != 401:
                self.violations.append(f"withdrawn key {key} got {request.status}")
        for job in self._jobs:
            await self._check_job(job)

    async def _check_job(self, job: SubmittedJob) -> None:
        """Read the results of an accepted job from each daemon and check them."""
        if 202 not in job.statuses:
            return
        results = []
        for number in range(len(self._daemons)):
            deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
            page = None
            while time.monotonic() < deadline_s:
                response = await self._call_job(job, "GET", number)
                if response is not None and response.status == 200:
                    page = json.loads(response.body)
                    if page["next"] == len(job.items) or job.is_cancelled:
                        break
                await asyncio.sleep(0.2)
            if page is None:
                self.violations.append(f"job {job.id} cannot be read at d{number}")
                return
            results.append([(r["id"], r["state"], r["text"]) for r in page["results"]])
        if any(rows != results[0] for rows in results) and not job.is_cancelled:
            self.violations.append(f"job {job.id} differs between daemons")
        self._check_results(job, results[0])

    def _check_results(self, job: SubmittedJob, rows: list) -> None:
        ids = [item for item, _, _ in rows]
        if len(set(ids)) != len(ids):
            self.violations.append(f"job {job.id} lists an item twice")
        if not job.is_cancelled and sorted(ids) != sorted(job.items):
            self.violations.append(
                f"job {job.id} lists {len(ids)} of {len(job.items)} items"
            )
        for item, state, text in rows:
            expected = "\n".join(f"{item}-{n}" for n in range(EVENTS_PER_REQUEST))
            if state == "done" and text != expected:
                self.violations.append(f"item {item} is done with an unexpected text")
            if state != "done" and not job.is_cancelled:
                self.violations.append(f"item {item} was not completed")

    def _check_runs(self) -> None:
        """Compare the responses that callers got with the runs on servers."""
        runs_by_id: dict[str, list[dict]] = {}
        for process in self._fleet.servers:
            for line in process.read_json_lines():
                if "ran" in line:
                    runs_by_id.setdefault(line["ran"], []).append(line)
        requests = {request.id: request for request in self._requests}
        items = {item: job for job in self._jobs for item in job.items}
        for run_id, runs in runs_by_id.items():
            self._check_run(run_id, runs, requests.get(run_id), items.get(run_id))
        sent_to = self._read_attempts()
        for request in self._requests:
            runs = runs_by_id.get(request.id, [])
            self._check_response(request, runs)
            for run in runs:
                self._check_zone(request, run)
            servers = sent_to[request.daemon].get(request.id, set())
            self._check_end(request, servers | {run["server"] for run in runs})

    def _check_run(
        self,
        run_id: str,
        runs: list[dict],
        request: SentRequest | None,
        job: SubmittedJob | None,
    ) -> None:
        """Check the runs of one request or item on all servers."""
        if request is None and job is None:
            self.violations.append(f"{run_id} was run but never requested")
        if any(run["key"] is not None for run in runs):
            self.violations.append(f"{run_id} reached a server with its key")
        if _has_two_versions(runs):
            self.violations.append(f"{run_id} went on at another version")
        team = request.team if request is not None else "large"
        if any(run["tenant"] != team for run in runs):
            self.violations.append(f"{run_id} was run for another team")
        statuses = job.statuses if job is not None else []
        if statuses and all(status in REFUSAL_STATUSES for status in statuses):
            self.violations.append(f"{run_id} was run although its job was refused")

    def _read_attempts(self) -> list[dict[str, set[str]]]:
        """Return, by daemon and request, the servers that the daemon's log names."""
        attempts = []
        for process in self._daemons:
            servers_by_id: dict[str, set[str]] = collections.defaultdict(set)
            for line in process.read_json_lines():
                if line.get("endpoint") and "request" in line:
                    servers_by_id[line["request"]].add(line["endpoint"])
            attempts.append(servers_by_id)
        return attempts

    def _check_end(self, request: SentRequest, servers: set[str]) -> None:
        """Check that a request failed only beside a fault of what served it."""
        if not request.is_cut and request.status < 500 or request.status == 503:
            return
        took_s = request.ended_s - request.at_s
        if TIME_LIMIT_S - TIME_LIMIT_MARGIN_S <= took_s < CALLER_TIMEOUT_S:
            return
        processes = {f"d{request.daemon}", *(s.replace("-", "") for s in servers)}
        is_disturbed = any(
            fault.process in processes
            and fault.started_s <= request.ended_s
            and fault.ended_s >= request.at_s
            for fault in self._disturbances
        )
        if not is_disturbed:
            outcome = f"got status {request.status}" if request.status else "was cut"
            self.violations.append(
                f"{request.id} {outcome} after {took_s:.2f} s, though "
                f"{', '.join(sorted(processes))} were sound"
            )

    def _check_zone(self, request: SentRequest, run: dict) -> None:
        """Check that no daemon in touch sent a request to an evacuated zone."""
        zone = zone_of_server(int(run["server"].rpartition("-")[2]))
        for evacuation in self._evacuations:
            late_s = evacuation.started_s + EVACUATION_TIME_S
            if evacuation.zone != zone or not late_s < run["at"] < evacuation.ended_s:
                continue
            if self._was_in_touch(f"d{request.daemon}", run["at"]):
                since_s = run["at"] - evacuation.started_s
                self.violations.append(
                    f"{request.id} reached zone {zone} {since_s:.1f} s after its "
                    "evacuation"
                )

    def _was_in_touch(self, daemon: str, at_s: float) -> bool:
        """Whether nothing disturbed a daemon or the store for a while."""
        return not any(
            fault.process in (daemon, "store")
            and fault.started_s <= at_s
            and fault.ended_s >= at_s - CONTACT_S
            for fault in self._disturbances
        )

    def _check_response(self, request: SentRequest, runs: list[dict]) -> None:
        if request.kind == "unsafe" and len(runs) > 1:
            self.violations.append(
                f"{request.id} may run once and ran {len(runs)} times"
            )
        if request.kind == "unsafe" and runs and request.status in REFUSAL_STATUSES:
            self.violations.append(
                f"{request.id} was run and got status {request.status}"
            )
        expected = b"".join(
            f"id: {n}\ndata: {request.id}-{n}\n\n".encode()
            for n in range(EVENTS_PER_REQUEST)
        )
        if request.status == 200 and request.body != expected:
            self.violations.append(f"{request.id} got an unexpected body")
        if request.status in (401, 403, 404) and request.key in ("k-small", "k-large"):
            self.violations.append(
                f"{request.id} has a valid key and got status {request.status}"
            )

    def summary(self) -> str:
        """Return the counts of requests by status and of accepted jobs."""
        by_status: dict[int, int] = {}
        for request in self._requests:
            by_status[request.status] = by_status.get(request.status, 0) + 1
        accepted = sum(1 for job in self._jobs if 202 in job.statuses)
        return (
            f"requests by status {dict(sorted(by_status.items()))}, "
            f"jobs accepted {accepted} of {len(self._jobs)}, "
            f"logs in {self._fleet.output_dir}"
        )


def _encode_request(request: SentRequest) -> bytes:
    """Return the bytes of a request."""
    body = f"events={EVENTS_PER_REQUEST}"
    return (
        f"POST {PATHS[request.kind]} HTTP/1.1\r\nHost: a.example\r\n"
        f"Key: {request.key}\r\nAttempt-Id: {request.id}\r\nDeadline-Ms: 5000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def _has_two_versions(runs: list[dict]) -> bool:
    """Whether a run went on at another version than the run that began before it."""
    began = ""
    for run in sorted(runs, key=lambda run: run["at"]):
        if run["after"] < 0:
            began = run["version"]
        elif run["version"] != began:
            return True
    return False


def main(
    seed: int = 1,
    seconds: float = 20.0,
    daemons: int = 4,
    servers: int = 3,
    versions: int = 1,
) -> None:
    """Run the soak test with a seed and print the violated guarantees."""
    soak = Soak(seed, seconds, daemons, servers, versions)
    violations = asyncio.run(soak.run())
    print(f"seed {seed}: {soak.summary()}")
    for line in violations:
        print(f"seed {seed}: BROKEN {line}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
