"""Starts the project's programs for the scripts of the second review, on loopback.

Daemons are started with the `run` line of the deploy file, the store is that of
`store2.py`, and model servers are those of `model_server2.py`. Only processes that are
started here are signalled, by their ids.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.platform import write_configuration  # noqa: E402

START_TIMEOUT_S = 20.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played."""


def free_address(host: str) -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, case: str) -> None:
        self._file = (ROOT / "review" / case / "record.txt").open("w")
        self._started_s = time.monotonic()
        self.write(f"disruption: {'yes' if HAS_TROUBLE else 'no (TROUBLE=0)'}")

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


class Program:
    """A process that is started here."""

    def __init__(self, name: str, args: list[str], folder: Path, **env: str) -> None:
        self.name: str = name
        self._args: list[str] = args
        self._output: Path = folder / f"{name}.out"
        path = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self._env: dict[str, str] = {**kept, "PYTHONPATH": path, **env}
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process at the repository's root."""
        with self._output.open("ab") as output:
            self._popen = subprocess.Popen(
                self._args, cwd=ROOT, env=self._env, stdout=output, stderr=output
            )

    @property
    def pid(self) -> int:
        """The id of the process that was started last."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process that was started last has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()

    def send_signal(self, signum: int) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            self._popen.send_signal(signum)

    def memory_kb(self) -> int:
        """Return how much memory the process has in use."""
        return self._status_kb("VmRSS:")

    def peak_memory_kb(self) -> int:
        """Return how much memory the process has had in use at most."""
        return self._status_kb("VmHWM:")

    def _status_kb(self, name: str) -> int:
        with contextlib.suppress(OSError, IndexError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith(name):
                    return int(line.split()[1])
        return 0


class Daemon(Program):
    """A daemon of the deploy file on a VM of its own."""

    def __init__(self, number: int, store: str, folder: Path, memory_mb: int) -> None:
        host = f"127.61.{number + 1}.1"
        listen = {n: free_address(host) for n in ("front", "ready", "control")}
        metrics_port = split_address(free_address(host))[1]
        self.front: str = listen["front"]
        self.ready: str = listen["ready"]
        self.memory_mb: int = memory_mb
        settings = _settings(number, host, listen, store, memory_mb)
        path = folder / f"node-{number}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        args = deploy["roles"]["daemon"]["run"].split()
        # The port of the metrics is any free one here.
        args = [f"{metrics_port}/metrics" if "/metrics" in a else a for a in args]
        super().__init__(f"daemon-{number}", args, folder, APRICOTQUAY_BOOT=str(path))


def _settings(
    number: int, host: str, listen: dict[str, str], store: str, memory_mb: int
) -> dict:
    zone = f"zone-{number % 2}"
    return {
        "node": f"front-{zone}-{number}",
        "role": "daemon",
        "machine_class": "front",
        "serves": ["front", "control"],
        "ip": host,
        "zone": zone,
        "region": "region",
        "zones": {"zone-0": "region", "zone-1": "region"},
        "listen": listen,
        "port_range": [7360, 7375],
        "seeds": [],
        "bootstrap": True,
        "in_fault_budget": False,
        "limits": {
            "cpu_share": 0.717,
            "cores": 3,
            "memory_mb": memory_mb,
            "max_fds": 8200,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "heartbeat_ms": 1200,
        "bounds": {"contact_ms": 3000, "grace_s": 8, "status_s": 120},
        "platform": {"address": store, "form": "log", "parts": 12},
    }


class Fleet:
    """A store, model servers and daemons."""

    def __init__(self, daemons: int, memory_mb: int = 320) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="apricotquay-review-"))
        self.store_address: str = free_address("127.61.100.1")
        host, port = split_address(self.store_address)
        args = [str(ROOT / "review" / "store2.py"), host, str(port)]
        self.store = Program("store", [sys.executable, *args], self.folder)
        self.daemons = [
            Daemon(n, self.store_address, self.folder, memory_mb)
            for n in range(daemons)
        ]
        self.servers: list[Program] = []

    async def start(self, configuration: dict, servers: list[list[str]]) -> None:
        """Start everything; `servers` holds further arguments of each server."""
        self.store.start()
        await wait_until_listening(self.store_address)
        await write_configuration(self.store_address, configuration)
        for further in servers:
            await self.start_server(*further)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await wait_until_ready(daemon)

    async def start_server(self, *further: str) -> Program:
        """Start one more model server, which registers in the store."""
        number = len(self.servers)
        address = free_address(f"127.61.{number + 1}.2")
        args = [sys.executable, str(ROOT / "review" / "model_server2.py")]
        args += [address, self.store_address, f"i-{number}", *further]
        server = Program(f"server-{number}", args, self.folder)
        server.start()
        self.servers.append(server)
        await wait_until_listening(address)
        return server

    def close(self) -> None:
        """End all processes and remove their files."""
        for program in (*self.daemons, *self.servers, self.store):
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until_listening(address: str) -> None:
    """Wait until something listens at an address."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            _, writer = await asyncio.open_connection(*split_address(address))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return
    raise CouldNotRunError(f"nothing listens at {address}")


async def wait_until_ready(daemon: Daemon) -> None:
    """Wait until a daemon says that it is ready."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                if await is_ready(daemon):
                    return
        await asyncio.sleep(0.05)
    raise CouldNotRunError(f"{daemon.name} is not ready")


async def is_ready(daemon: Daemon) -> bool:
    """Ask a daemon once whether it is ready, as the platform does."""
    reader, writer = await asyncio.open_connection(*split_address(daemon.ready))
    try:
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
        return b" 200 " in await reader.readline()
    finally:
        writer.close()


def request_head(method: str, path: str, attempt: str, *further: str) -> bytes:
    """Return the head of a client's request, up to its last header."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", "Key: key-of-tenant"]
    lines += [f"Attempt-Id: {attempt}", *further]
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


async def _play_until_stopped(play, record: Record) -> bool:
    """Play a case; SIGTERM ends it, with all processes that it started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await play(record)


def run_case(case: str, play) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, or 2."""
    record = Record(case)
    try:
        is_broken = asyncio.run(_play_until_stopped(play, record))
    except (Exception, asyncio.CancelledError) as exc:
        # Only a check that was made may say that the rule was broken.
        record.write(f"the case could not run: {exc!r}")
        sys.exit(COULD_NOT_RUN)
    record.write("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)
