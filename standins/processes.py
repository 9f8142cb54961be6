"""The platform's stand-ins and daemons as separate processes on loopback hosts.

Used by the soak and by the demo. Each process has a host of its own; a proxy may
stand before the store of each daemon and before each server. Processes are ended by
the ids that this program started.
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

GRACE_S = 8.0


class Program:
    """A process that the soak started; ended by its id alone."""

    def __init__(self, name: str, args: list[str], out: Path, env: dict) -> None:
        self.name: str = name
        self.out: Path = out
        self._args: list[str] = args
        self._env: dict = {**os.environ, **env}
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it; its output is appended to a file."""
        with self.out.open("ab") as out:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._args],
                stdout=out,
                stderr=out,
                env=self._env,
            )

    def signal(self, number: int) -> None:
        """Send a signal if it runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    async def stop_and_start(self, limit_s: float) -> bool:
        """Stop it gracefully and start it again; return whether it ended in time.

        Other faults may stop or kill it meanwhile: only one starts it again.
        """
        stopped = self._process
        self.signal(signal.SIGTERM)
        limit = time.monotonic() + limit_s
        while stopped.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        in_time = stopped.poll() is not None
        if self._process is stopped:
            self.kill()
            self.start()
        return in_time

    async def kill_and_start(self, pause_s: float) -> None:
        """Kill it and start it again after a pause."""
        killed = self._process
        self.kill()
        await asyncio.sleep(pause_s)
        if self._process is killed:
            self.start()

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()

    def lines(self) -> list[dict]:
        """Return the JSON lines of its output."""
        lines = []
        for line in self.out.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class PlatformProcesses:
    """A store, servers and daemons."""

    def __init__(self, daemons: int, servers: int, step_s: float) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="apricotquay-"))
        self.proxy = FaultProxy()
        self.links: list[str] = []
        self.callers: list[Address] = []
        self._step_s: float = step_s
        self._book = AddressAllocator()
        self._proxied: list[tuple[str, Address, Address]] = []
        self._store_address = self._book.allocate_address()
        listen = _listen_args(self._store_address)
        self.store = self._program("store", ["standins.platform", "store", *listen])
        self.daemons = [self._daemon(number) for number in range(daemons)]
        self.servers = [self._server(number) for number in range(servers)]

    @property
    def store_address(self) -> str:
        """The store's own address, which the operator uses."""
        return _text(self._store_address)

    def start_store(self) -> None:
        """Start the proxy and the store; the operator writes next."""
        self.proxy.start()
        for name, listen, target in self._proxied:
            self.proxy.open_listener(name, listen, target)
            self.links.append(name)
        self.store.start()

    def start(self) -> None:
        """Start servers and daemons."""
        for program in (*self.servers, *self.daemons):
            program.start()

    def close(self) -> None:
        """End everything that was started."""
        for program in (*self.daemons, *self.servers, self.store):
            program.kill()
        self.proxy.close()

    def _program(self, name: str, args: list[str], **env: str) -> Program:
        return Program(name, args, self.folder / f"{name}.out", env)

    def _daemon(self, number: int) -> Program:
        store = self._book.allocate_address()
        self._proxied.append((f"store-{number}", store, self._store_address))
        host = self._book.allocate_host()
        self.callers.append(Address(host, SERVER_PORT))
        boot = {
            "node": f"d{number}",
            "ip": host,
            "listen": {
                "front": f"{host}:{SERVER_PORT}",
                "ready": f"{host}:{ADMIN_PORT}",
                "control": f"{host}:{PEER_PORT}",
            },
            "platform": {"address": _text(store), "parts": 12},
            "bootstrap": True,
            "bounds": {"grace_s": GRACE_S},
        }
        path = self.folder / f"d{number}.json"
        path.write_text(json.dumps(boot))
        args = ["apricotquay.platform"]
        return self._program(f"d{number}", args, APRICOTQUAY_BOOT=str(path))

    def _server(self, number: int) -> Program:
        shown, real = self._book.allocate_address(), self._book.allocate_address()
        self._proxied.append((f"server-{number}", shown, real))
        args = ["standins.platform", "server", "--name", f"i-{number}"]
        args += ["--store", self.store_address, *_listen_args(real)]
        args += ["--shown", _text(shown), "--step-s", str(self._step_s)]
        return self._program(f"i{number}", args)


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"


def _listen_args(address: Address) -> list[str]:
    return ["--host", address.host, "--port", str(address.port)]
