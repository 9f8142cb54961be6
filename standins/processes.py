"""Runs event-loop daemons and the platform's stand-ins as processes on loopback.

Used by the soak test and the demo. Each process has its own host; a proxy forwards
the connections of each daemon to the store and of all daemons to each server. Only
processes started here are signalled, by process id.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from .addresses import ADMIN_PORT, PEER_PORT, SERVER_PORT, Address, AddressAllocator
from .proxy import FaultProxy

SHUTDOWN_GRACE_S = 8.0


class Process:
    """A process that this harness starts, restarts and signals by its id."""

    def __init__(
        self, name: str, args: list[str], output_path: Path, env: dict
    ) -> None:
        self.name: str = name
        self.output_path: Path = output_path
        # The source tree of the release that the next start runs; None for this one.
        self.release_dir: Path | None = None
        self._args: list[str] = args
        self._env: dict = {**os.environ, **env}
        self._popen: subprocess.Popen | None = None
        self._output_start: int = 0

    @property
    def pid(self) -> int:
        """Id of the process that was started last."""
        return self._popen.pid

    def start(self) -> None:
        """Start the process; its output is appended to a file."""
        with self.output_path.open("ab") as output:
            self._output_start = output.tell()
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._args],
                stdout=output,
                stderr=output,
                env=self._env,
                cwd=self.release_dir,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process that was started last has not ended."""
        return self._popen.poll() is None

    async def is_listening(self) -> bool:
        """Whether a store or server has printed its port since it was started."""
        return b'{"port": ' in self.output_path.read_bytes()[self._output_start :]

    def send_signal(self, signum: int) -> None:
        """Send a signal if the process runs."""
        if self._popen.poll() is None:
            self._popen.send_signal(signum)

    async def stop_and_start(self, timeout_s: float) -> bool:
        """Stop the process gracefully and restart it; return whether it ended in time.

        Faults that overlap may stop or kill the same process: only one of them
        restarts it.
        """
        stopped = self._popen
        self.send_signal(signal.SIGTERM)
        deadline_s = time.monotonic() + timeout_s
        while stopped.poll() is None and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        in_time = stopped.poll() is not None
        if self._popen is stopped:
            self.kill()
            self.start()
        return in_time

    async def kill_and_start(self, delay_s: float) -> None:
        """Kill the process and restart it after a delay."""
        killed = self._popen
        self.kill()
        await asyncio.sleep(delay_s)
        if self._popen is killed:
            self.start()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self._popen.wait()

    def read_json_lines(self) -> list[dict]:
        """Return the JSON lines of the output; other lines are skipped."""
        lines = []
        for line in self.output_path.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


def zone_of_server(number: int) -> str:
    """Return the availability zone of a model server: every second is in z1."""
    return f"z{number % 2}"


class PlatformProcesses:
    """A store, model servers and event-loop daemons, each in its own process.

    The servers have so many software `versions` in turn. Daemons serve their metrics
    at `metrics`, a port and a path, if it is set; `limits` are those of their VMs.
    """

    def __init__(
        self,
        daemons: int,
        servers: int,
        step_s: float,
        crashing_part: str = "",
        versions: int = 1,
        metrics: str = "",
        limits: dict[str, int] | None = None,
    ) -> None:
        self._metrics: str = metrics
        self._limits: dict[str, int] = limits or {}
        self.output_dir = Path(tempfile.mkdtemp(prefix="apricotquay-"))
        self.proxy = FaultProxy()
        self.proxy_listeners: list[str] = []
        self.caller_addresses: list[Address] = []
        self._step_s: float = step_s
        self._crashing_part: str = crashing_part
        self._versions: int = versions
        self._allocator = AddressAllocator()
        self._listeners: list[tuple[str, Address, Address]] = []
        self._store_address = self._allocator.allocate_address()
        listen = _listen_args(self._store_address)
        self.store = self._make_process(
            "store", ["standins.platform", "store", *listen]
        )
        self.daemons = [self._make_daemon(number) for number in range(daemons)]
        self.servers = [self._make_server(number) for number in range(servers)]

    @property
    def store_address(self) -> str:
        """The store's direct address, without a proxy; the operator uses it."""
        return _format_address(self._store_address)

    def start_store(self) -> None:
        """Start the proxy and the store; a configuration must be written next."""
        self.proxy.start()
        for name, listen, target in self._listeners:
            self.proxy.open_listener(name, listen, target)
            self.proxy_listeners.append(name)
        self.store.start()

    def start(self) -> None:
        """Start servers and daemons."""
        for process in (*self.servers, *self.daemons):
            process.start()

    def close(self) -> None:
        """Kill all processes and close the proxy."""
        for process in (*self.daemons, *self.servers, self.store):
            process.kill()
        self.proxy.close()

    def _make_process(self, name: str, args: list[str], **env: str) -> Process:
        return Process(name, args, self.output_dir / f"{name}.out", env)

    def _make_daemon(self, number: int) -> Process:
        store = self._allocator.allocate_address()
        self._listeners.append((f"store-{number}", store, self._store_address))
        host = self._allocator.allocate_host()
        self.caller_addresses.append(Address(host, SERVER_PORT))
        boot = {
            "node": f"d{number}",
            "ip": host,
            "listen": {
                "front": f"{host}:{SERVER_PORT}",
                "ready": f"{host}:{ADMIN_PORT}",
                "control": f"{host}:{PEER_PORT}",
            },
            "platform": {"address": _format_address(store), "parts": 12},
            "bootstrap": True,
            "bounds": {"grace_s": SHUTDOWN_GRACE_S},
        }
        if self._limits:
            boot["limits"] = self._limits
        path = self.output_dir / f"d{number}.json"
        path.write_text(json.dumps(boot))
        args = ["apricotquay.platform"]
        if self._metrics:
            args += ["--metrics", self._metrics]
        return self._make_process(f"d{number}", args, APRICOTQUAY_BOOT=str(path))

    def _make_server(self, number: int) -> Process:
        proxied, listen = (
            self._allocator.allocate_address(),
            self._allocator.allocate_address(),
        )
        self._listeners.append((f"server-{number}", proxied, listen))
        args = ["standins.platform", "server", "--name", f"i-{number}"]
        args += ["--store", self.store_address, *_listen_args(listen)]
        args += ["--shown", _format_address(proxied), "--step-s", str(self._step_s)]
        args += ["--version", f"v{number % self._versions}"]
        args += ["--zone", zone_of_server(number)]
        if self._crashing_part:
            args += ["--crashing-part", self._crashing_part]
        return self._make_process(f"i{number}", args)


def _format_address(address: Address) -> str:
    return f"{address.host}:{address.port}"


def _listen_args(address: Address) -> list[str]:
    return ["--host", address.host, "--port", str(address.port)]
