"""A randomized soak: real programs, faults from outside, a judge that watches.

    python -m standins.soak --seed 1 --seconds 20

A store, model servers and daemons run as separate processes; a loopback proxy
stands before the store of each daemon and before each server. Faults come one
after the other and overlap. Callers keep their connections. The judge checks
what callers got against what the servers say that they ran. It prints each
broken promise and ends with 1 if there is one. Processes are ended by the ids
that this program started.
"""

import asyncio
import base64
import contextlib
import json
import random
import signal
import sys
import time

import fire
import msgspec

from apricotquay.serving.http1 import HttpError, HttpRequest, HttpResponse, find_header
from apricotquay.serving.httpclient import open_client

from .platform import make_configuration, write_configuration
from .processes import GRACE_S, PlatformProcesses

# Where connections that are not bound come from.
SOURCE_HOST = "127.0.0.1"
EVENTS = 12
STEP_S = 0.02
SETTLE_S = 25.0
LONGEST_PAUSE_S = 3.0
# Within this time after the store has taken it, a withdrawn key stops.
REVOKE_S = 7.0
KEYS = {"small": ["k-small"], "large": ["k-large"]}
REFUSALS = (429, 503)


class Sent(msgspec.Struct):
    """One attempt of a caller, and how it ended: status 0 for a broken one."""

    id: str
    kind: str
    team: str
    key: str
    at_s: float
    status: int = 0
    body: bytes = b""
    ended_s: float = 0.0


class Job(msgspec.Struct):
    """A batch job: all its answers, and the results as they were first read."""

    id: str
    items: list[str]
    answers: list[int] = []
    is_cancelled: bool = False
    results: list[tuple[str, str, str]] = []


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, seconds: float, daemons: int, servers: int) -> None:
        self.broken: list[str] = []
        self._rng = random.Random(seed)
        self._seconds: float = seconds
        self._fleet = PlatformProcesses(daemons, servers, STEP_S)
        self._proxy = self._fleet.proxy
        self._callers = self._fleet.callers
        self._daemons = self._fleet.daemons
        self._sent: list[Sent] = []
        self._jobs: list[Job] = []
        self._stopping: bool = False
        self._version: int = 1
        self._withdrawn: dict[str, float] = {}

    async def run(self) -> list[str]:
        """Play the run; return the broken promises."""
        try:
            await self._start()
            callers = [asyncio.create_task(self._call_often(n)) for n in range(8)]
            batch = [asyncio.create_task(self._batch_often(n)) for n in range(2)]
            await self._make_trouble()
            self._stopping = True
            await asyncio.gather(*callers, *batch)
            await self._settle()
            self._judge_runs()
        finally:
            self._fleet.close()
        return self.broken

    async def _start(self) -> None:
        self._fleet.start_store()
        await self._until(self._configure)
        self._fleet.start()
        for number in range(len(self._daemons)):
            await self._until(lambda n=number: self._serves(n))

    async def _configure(self) -> bool:
        keys = {
            t: [k for k in ks if k not in self._withdrawn] for t, ks in KEYS.items()
        }
        keys["small"] = [*keys["small"], f"k-{self._version}"]
        try:
            value = make_configuration(self._version, keys)
            await write_configuration(self._fleet.store_address, value)
        except Exception:
            # The store is being paused or starts; the operator tries again.
            return False
        return True

    async def _serves(self, number: int) -> bool:
        sent = self._new("stream", "large")
        await self._send(sent, number, None)
        return sent.status == 200

    async def _until(self, condition) -> None:
        async with asyncio.timeout(SETTLE_S):
            while not await condition():
                await asyncio.sleep(0.1)

    def _new(self, kind: str, team: str) -> Sent:
        number = f"{kind[0]}{len(self._sent)}"
        sent = Sent(number, kind, team, KEYS[team][0], time.time())
        self._sent.append(sent)
        return sent

    async def _call(self, connection, method, target, body, **headers) -> HttpResponse:
        listed = [(b"host", b"a.example")]
        listed += [
            (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
        ]
        connection.send(HttpRequest(method, target, listed, body))
        async with asyncio.timeout(6.5):
            return await connection.read_response()

    async def _send(self, sent: Sent, number: int, connection) -> object | None:
        """Send one attempt; return a connection that may be used again."""
        path = "/s/1" if sent.kind == "stream" else "/u/1"
        try:
            if connection is None or not connection.is_reusable:
                address = self._callers[number]
                connection = await open_client(address.host, address.port, 1.0)
            answer = await self._call(
                connection,
                "POST",
                path,
                f"events={EVENTS}".encode(),
                key=sent.key,
                attempt_id=sent.id,
                deadline_ms="5000",
            )
        except (HttpError, TimeoutError):
            if connection is not None:
                connection.close()
            sent.ended_s = time.time()
            return None
        sent.status, sent.body = answer.status, answer.body
        sent.ended_s = time.time()
        closes = find_header(answer.headers, b"connection") == "close"
        return None if closes else connection

    async def _call_often(self, number: int) -> None:
        """A caller that keeps its connection for as long as it is open."""
        rng = random.Random(f"{number}{self._seconds}")
        connection = None
        while not self._stopping:
            sent = self._new(rng.choice(["stream", "unsafe"]), rng.choice(list(KEYS)))
            daemon = number % len(self._daemons)
            if connection is None:
                daemon = rng.randrange(len(self._daemons))
            connection = await self._send(sent, daemon, connection)
            await asyncio.sleep(rng.uniform(0.01, 0.2))

    async def _batch_often(self, number: int) -> None:
        rng = random.Random(f"b{number}")
        while not self._stopping:
            job = Job(f"j{number}-{len(self._jobs)}", [], [], False, [])
            job.items = [f"{job.id}-{n}" for n in range(rng.randint(1, 6))]
            self._jobs.append(job)
            for _ in range(8):
                status = await self._submit(job, rng.randrange(len(self._daemons)))
                job.answers.append(status)
                if status == 202:
                    break
                await asyncio.sleep(0.4)
            if rng.random() < 0.15 and 202 in job.answers:
                job.is_cancelled = True
                await self._read(job, "DELETE", rng.randrange(len(self._daemons)))
            await asyncio.sleep(rng.uniform(0.1, 0.8))

    async def _submit(self, job: Job, number: int) -> int:
        body = base64.b64encode(f"events={EVENTS}".encode()).decode()
        items = [
            {"id": item, "path": "/b/1", "headers": {}, "body": body, "tokens": 9}
            for item in job.items
        ]
        answer = await self._ask(
            number, "POST", "/b/1", json.dumps({"items": items}).encode(), job.id
        )
        return answer.status if answer else 0

    async def _read(self, job: Job, method: str, number: int) -> HttpResponse | None:
        return await self._ask(number, method, f"/-/lots/{job.id}?after=0", b"", job.id)

    async def _ask(self, number, method, target, body, job) -> HttpResponse | None:
        address = self._callers[number]
        try:
            connection = await open_client(address.host, address.port, 1.0)
        except HttpError:
            return None
        try:
            return await self._call(
                connection,
                method,
                target,
                body,
                key=KEYS["large"][0],
                attempt_id=job,
                deadline_ms="4000",
            )
        except (HttpError, TimeoutError):
            return None
        finally:
            connection.close()

    async def _make_trouble(self) -> None:
        """Faults in series that overlap, then all is healed."""
        limit = time.monotonic() + self._seconds
        kinds = [
            self._kill_daemon,
            self._stop_daemon,
            self._pause_daemon,
            self._kill_server,
            self._pause_store,
            self._harm_link,
            self._harm_link,
            self._new_version,
        ]
        running: set[asyncio.Task] = set()
        while time.monotonic() < limit:
            running.add(asyncio.create_task(self._rng.choice(kinds)()))
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await asyncio.gather(*running)
        self._proxy.clear_faults()

    async def _kill_daemon(self) -> None:
        program = self._rng.choice(self._daemons)
        await program.kill_and_start(self._rng.uniform(0.0, 0.5))

    async def _stop_daemon(self) -> None:
        program = self._rng.choice(self._daemons)
        if not await program.stop_and_start(GRACE_S + LONGEST_PAUSE_S):
            self.broken.append(f"{program.name} did not end in its grace")

    async def _pause_daemon(self) -> None:
        program = self._rng.choice(self._daemons)
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, LONGEST_PAUSE_S))
        program.signal(signal.SIGCONT)

    async def _kill_server(self) -> None:
        program = self._rng.choice(self._fleet.servers)
        await program.kill_and_start(self._rng.uniform(0.2, 2.0))

    async def _pause_store(self) -> None:
        self._fleet.store.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        self._fleet.store.signal(signal.SIGCONT)

    async def _harm_link(self) -> None:
        name = self._rng.choice(self._fleet.links)
        fault = self._proxy.get_fault(SOURCE_HOST, name)
        kind = self._rng.choice(["delay", "reset", "one way", "silence"])
        if kind == "delay":
            fault.delay_s = self._rng.uniform(0.01, 0.3)
        elif kind == "reset":
            self._proxy.reset_connections(name)
        elif kind == "one way":
            fault.responses_blocked = True
        else:
            self._proxy.blackhole_connections(name)
        await asyncio.sleep(self._rng.uniform(0.3, 2.5))
        fault.delay_s = 0.0
        fault.responses_blocked = False

    async def _new_version(self) -> None:
        self._version += 1
        withdrawn = f"k-{self._version - 1}"
        with contextlib.suppress(TimeoutError):
            await self._until(self._configure)
            self._withdrawn[withdrawn] = time.time()

    async def _settle(self) -> None:
        """After the trouble: everything is served, and all jobs are read twice."""
        for number in range(len(self._daemons)):
            try:
                await self._until(lambda n=number: self._serves(n))
            except TimeoutError:
                self.broken.append(f"d{number} does not serve after the trouble")
        await asyncio.sleep(REVOKE_S if self._withdrawn else 0.0)
        for key in self._withdrawn:
            sent = msgspec.structs.replace(self._new("stream", "small"), key=key)
            await self._send(sent, 0, None)
            if sent.status != 401:
                self.broken.append(f"withdrawn key {key} got {sent.status}")
        for job in self._jobs:
            await self._judge_job(job)

    async def _judge_job(self, job: Job) -> None:
        if 202 not in job.answers:
            return
        seen = []
        for number in range(len(self._daemons)):
            limit = time.monotonic() + SETTLE_S
            page = None
            while time.monotonic() < limit:
                answer = await self._read(job, "GET", number)
                if answer is not None and answer.status == 200:
                    page = json.loads(answer.body)
                    if page["next"] == len(job.items) or job.is_cancelled:
                        break
                await asyncio.sleep(0.2)
            if page is None:
                self.broken.append(f"job {job.id} cannot be read at d{number}")
                return
            seen.append([(r["id"], r["state"], r["text"]) for r in page["results"]])
        if any(rows != seen[0] for rows in seen) and not job.is_cancelled:
            self.broken.append(f"job {job.id} differs between daemons")
        self._judge_results(job, seen[0])

    def _judge_results(self, job: Job, rows: list) -> None:
        ids = [item for item, _, _ in rows]
        if len(set(ids)) != len(ids):
            self.broken.append(f"job {job.id} lists an item twice")
        if not job.is_cancelled and sorted(ids) != sorted(job.items):
            self.broken.append(f"job {job.id} lists {len(ids)} of {len(job.items)}")
        for item, state, text in rows:
            whole = "\n".join(f"{item}-{n}" for n in range(EVENTS))
            if state == "done" and text != whole:
                self.broken.append(f"item {item} is done with another text")
            if state != "done" and not job.is_cancelled:
                self.broken.append(f"item {item} was given up")

    def _judge_runs(self) -> None:
        """Compare what callers got with what servers ran."""
        runs: dict[str, list[dict]] = {}
        for program in self._fleet.servers:
            for line in program.lines():
                if "ran" in line:
                    runs.setdefault(line["ran"], []).append(line)
        known = {sent.id: sent for sent in self._sent}
        items = {item: job for job in self._jobs for item in job.items}
        for name, ran in runs.items():
            if name not in known and name not in items:
                self.broken.append(f"{name} was run, and nobody asked for it")
            if any(run["key"] is not None for run in ran):
                self.broken.append(f"{name} reached a server with its key")
            team = known[name].team if name in known else "large"
            if any(run["tenant"] != team for run in ran):
                self.broken.append(f"{name} was run for another team")
            answers = items[name].answers if name in items else []
            if answers and all(status in REFUSALS for status in answers):
                self.broken.append(f"{name} of a refused job was run")
        for sent in self._sent:
            self._judge_answer(sent, runs.get(sent.id, []))

    def _judge_answer(self, sent: Sent, ran: list[dict]) -> None:
        if sent.kind == "unsafe" and len(ran) > 1:
            self.broken.append(f"{sent.id} may run once and ran {len(ran)} times")
        if sent.kind == "unsafe" and ran and sent.status in REFUSALS:
            self.broken.append(f"{sent.id} was answered {sent.status} and has run")
        whole = b"".join(
            f"id: {n}\ndata: {sent.id}-{n}\n\n".encode() for n in range(EVENTS)
        )
        if sent.status == 200 and sent.body != whole:
            self.broken.append(f"{sent.id} got another body than its own")
        if sent.status in (401, 403, 404) and sent.key in ("k-small", "k-large"):
            self.broken.append(f"{sent.id} is allowed and was answered {sent.status}")

    def summary(self) -> str:
        """Return what was sent and how it ended."""
        by_status: dict[int, int] = {}
        for sent in self._sent:
            by_status[sent.status] = by_status.get(sent.status, 0) + 1
        accepted = sum(1 for job in self._jobs if 202 in job.answers)
        return (
            f"requests by status {dict(sorted(by_status.items()))}, "
            f"jobs accepted {accepted} of {len(self._jobs)}, "
            f"logs in {self._fleet.folder}"
        )


def main(
    seed: int = 1, seconds: float = 20.0, daemons: int = 4, servers: int = 3
) -> None:
    """Play one seed and print what was broken."""
    soak = Soak(seed, seconds, daemons, servers)
    broken = asyncio.run(soak.run())
    print(f"seed {seed}: {soak.summary()}")
    for line in broken:
        print(f"seed {seed}: BROKEN {line}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
