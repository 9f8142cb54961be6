"""Replaces daemons of one release by those of another, one by one, under load.

    python -m standins.rolling --previous DIR --seed 1

DIR is a source tree of the previous release. The daemons start with that release, are
replaced by this one, and back again; half of them are stopped, the others killed.
Meanwhile callers stream, take streams up at other daemons, send requests that may not
be repeated, and submit batch jobs. Each violated guarantee is printed; the exit code
is 1 if there is any.
"""

import asyncio
import base64
import collections
import json
import random
import sys
from pathlib import Path

import fire

from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import ClientConnection, open_client

from .platform import make_configuration, write_configuration
from .processes import SHUTDOWN_GRACE_S, PlatformProcesses

STEP_S = 0.03
EVENTS = 12
EVENTS_BEFORE_LEAVING = 4
ITEMS = 12
CALLER_TIMEOUT_S = 7.0
START_TIMEOUT_S = 30.0
SETTLE_S = 2.0
FINISH_S = 40.0
NOT_SERVED = (0, 429, 502, 503, 504)
NOT_RUN = (429, 503)


class RollingTest:
    """The processes, their load, and what callers got."""

    def __init__(self, previous: Path, seed: int, daemons: int) -> None:
        self.violations: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._previous: Path = previous
        self._random = random.Random(seed)
        self._processes = PlatformProcesses(daemons, 4, STEP_S, versions=2)
        self._statuses: dict[str, int] = {}
        self._jobs: list[str] = []
        self._is_over: bool = False

    async def run(self) -> None:
        """Play the scenario and check what callers and servers saw."""
        try:
            await self._start()
            load = [
                asyncio.ensure_future(send())
                for send in (self._stream, self._take_up, self._send_once, self._submit)
            ]
            for release in (None, self._previous):
                await self._replace_all(release)
            self._is_over = True
            await asyncio.gather(*load)
            await self._check_jobs()
            self._check_runs()
        finally:
            self._processes.close()

    async def _start(self) -> None:
        self._processes.start_store()
        await self._retry(self._configure)
        for daemon in self._processes.daemons:
            daemon.release_dir = self._previous
        self._processes.start()
        for number in range(len(self._processes.daemons)):
            await self._retry(lambda n=number: self._serves(n))
        await asyncio.sleep(SETTLE_S)

    async def _replace_all(self, release: Path | None) -> None:
        """Replace each daemon by one of a release; None stands for this one."""
        for number, daemon in enumerate(self._processes.daemons):
            daemon.release_dir = release
            if number % 2:
                await daemon.kill_and_start(self._random.uniform(0.0, 1.0))
            elif not await daemon.stop_and_start(SHUTDOWN_GRACE_S + 1.0):
                self.violations.append(f"daemon {number} outlasted its grace period")
            await self._retry(lambda n=number: self._serves(n))
            await asyncio.sleep(self._random.uniform(0.5, 1.5))

    async def _stream(self) -> None:
        number = 0
        while not self._is_over:
            number += 1
            response = await self._call("POST", "/s/1", f"s{number}", b"events=12")
            self.outcomes[f"stream {response.status}"] += 1
            if response.status == 200 and response.body.count(b"data: ") != EVENTS:
                self.violations.append(f"stream s{number} is not whole")
            if response.status not in (200, *NOT_SERVED):
                self.violations.append(f"stream s{number}: {response.status}")
            await asyncio.sleep(0.02)

    async def _take_up(self) -> None:
        number = 0
        while not self._is_over:
            number += 1
            last_id = await self._begin(f"t{number}.0")
            if last_id is None:
                continue
            headers = [
                (b"resumes", b"t%d.0" % number),
                (b"last-event-id", b"%d" % last_id),
            ]
            response = await self._call(
                "POST", "/s/1", f"t{number}.1", b"events=12", headers
            )
            self.outcomes[f"take-up {response.status}"] += 1

    async def _begin(self, attempt: str) -> int | None:
        """Begin a stream and leave; return the last event's id, None if it failed."""
        data = b""
        try:
            connection = await self._open("POST", "/s/1", attempt, b"events=12", [])
        except HttpError:
            return None
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await connection.read_head()
                async for part in connection.read_body():
                    data += part
                    if data.count(b"\n\n") >= EVENTS_BEFORE_LEAVING:
                        break
        except (HttpError, TimeoutError):
            return None
        finally:
            connection.close()
        return data.count(b"\n\n") - 1 if data.count(b"\n\n") else None

    async def _send_once(self) -> None:
        number = 0
        while not self._is_over:
            number += 1
            name = f"u{number}"
            response = await self._call("POST", "/u/1", name, b"events=6")
            self._statuses[name] = response.status
            self.outcomes[f"sent once {response.status}"] += 1
            await asyncio.sleep(0.03)

    async def _submit(self) -> None:
        while not self._is_over:
            job = f"j{len(self._jobs)}"
            items = [
                {
                    "id": f"{job}-{n}",
                    "path": f"/b/{n}",
                    "headers": {"Model": "m"},
                    "body": base64.b64encode(b"events=20").decode(),
                    "tokens": 10,
                }
                for n in range(ITEMS)
            ]
            body = json.dumps({"items": items}).encode()
            response = await self._call("POST", "/b/job", job, body)
            while response.status != 202 and not self._is_over:
                await asyncio.sleep(0.3)
                response = await self._call("POST", "/b/job", job, body)
            if response.status == 202:
                self._jobs.append(job)
            await asyncio.sleep(0.5)

    async def _check_jobs(self) -> None:
        """All jobs are complete, and the same at each daemon."""
        async with asyncio.timeout(FINISH_S):
            for job in self._jobs:
                pages = [
                    await self._read_whole(job, number)
                    for number in range(len(self._processes.daemons))
                ]
                if any(page != pages[0] for page in pages):
                    self.violations.append(f"job {job} differs between daemons")
                texts = {r["id"]: r["text"] for r in pages[0]}
                expected = {
                    f"{job}-{n}": "\n".join(f"{job}-{n}-{e}" for e in range(20))
                    for n in range(ITEMS)
                }
                if texts != expected or len(pages[0]) != ITEMS:
                    self.violations.append(f"job {job} is not whole")
        self.outcomes["jobs"] = len(self._jobs)

    async def _read_whole(self, job: str, daemon: int) -> list[dict]:
        while True:
            response = await self._call(
                "GET", f"/-/lots/{job}?after=0", "", b"", [], daemon
            )
            if response.status == 404:
                self.violations.append(f"job {job} is unknown to daemon {daemon}")
                return []
            if response.status == 200:
                page = json.loads(response.body)
                if page["next"] == page["total"]:
                    return page["results"]
            await asyncio.sleep(0.1)

    def _check_runs(self) -> None:
        """What may not be repeated ran once at most, and not if it was refused; each
        stream ran at servers of one version.
        """
        runs: collections.Counter[str] = collections.Counter()
        versions = collections.defaultdict(set)
        for server in self._processes.servers:
            for line in server.read_json_lines():
                runs[line.get("ran", "")] += 1
                stream = line.get("ran", "").partition(".")[0]
                versions[stream].add(line.get("version"))
        for name, status in self._statuses.items():
            if runs[name] > 1:
                self.violations.append(f"{name} ran {runs[name]} times")
            if status in NOT_RUN and runs[name]:
                self.violations.append(f"{name} ran, and was answered {status}")
        mixed = [s for s, seen in versions.items() if s[:1] == "t" and len(seen) > 1]
        self.outcomes["streams of two versions"] = len(mixed)
        self.violations += [f"stream {s} has events of two versions" for s in mixed]

    async def _call(
        self,
        method: str,
        target: str,
        attempt: str,
        body: bytes,
        headers: list | None = None,
        daemon: int | None = None,
    ) -> HttpResponse:
        """Send a request, to any daemon if none is named; status 0 without a whole
        answer.
        """
        try:
            connection = await self._open(
                method, target, attempt, body, headers or [], daemon
            )
        except HttpError:
            return HttpResponse(0, [])
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return await connection.read_response()
        except (HttpError, TimeoutError):
            return HttpResponse(0, [])
        finally:
            connection.close()

    async def _open(
        self,
        method: str,
        target: str,
        attempt: str,
        body: bytes,
        headers: list,
        daemon: int | None = None,
    ) -> ClientConnection:
        addresses = self._processes.caller_addresses
        if daemon is None:
            daemon = self._random.randrange(len(addresses))
        address = addresses[daemon]
        connection = await open_client(address.host, address.port, 1.0)
        fields = [
            (b"host", b"a.example"),
            (b"key", b"k1"),
            (b"attempt-id", attempt.encode()),
            *headers,
        ]
        connection.send(HttpRequest(method, target, fields, body))
        return connection

    async def _configure(self) -> bool:
        configuration = make_configuration(1, {"small": ["k1"]})
        await write_configuration(self._processes.store_address, configuration)
        return True

    async def _serves(self, daemon: int) -> bool:
        response = await self._call("POST", "/s/1", "ready", b"events=1", [], daemon)
        return response.status == 200

    async def _retry(self, condition) -> None:
        """Wait until a condition holds; errors count as that it does not."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if await condition():
                        return
                except Exception as exc:
                    # Processes that start refuse connections; the last error is shown.
                    self.outcomes[f"retry after {type(exc).__name__}"] += 1
                await asyncio.sleep(0.1)


def main(previous: str, seed: int = 1, daemons: int = 4) -> None:
    """Run the test with a seed and print what was seen."""
    test = RollingTest(Path(previous).resolve(), seed, daemons)
    asyncio.run(test.run())
    print(json.dumps(dict(sorted(test.outcomes.items()))))
    for violation in test.violations:
        print("violation:", violation)
    sys.exit(1 if test.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
