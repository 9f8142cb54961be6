"""Starts threaded daemons and stand-ins as processes and injects faults.

Used by the tests, the demo and the bench. Daemons and the command line start no
processes; this harness does, and it ends only those that it started.
"""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import urllib3

from apricotquay.clocks import SystemClock
from apricotquay.ids import hash_key
from apricotquay.logclient import HttpLog
from apricotquay.operations import ConfigClient

from .addresses import ADMIN_PORT, PEER_PORT, SERVER_PORT, Address, AddressAllocator
from .proxy import FaultProxy

WAIT_TIMEOUT_S = float(os.environ.get("FLEET_WAIT_S", "60"))
POLL_INTERVAL_S = 0.05
ENVIRONMENT = "production"


class TeamSpec(msgspec.Struct, frozen=True):
    """A team in the document of the fleet's environment."""

    rate_per_s: float = 1000.0
    burst: int = 1000
    weight: float = 1.0


class FleetSpec(msgspec.Struct):
    """Size, models, teams and settings of a fleet."""

    daemons: int = 3
    engines: int = 2
    services: int = 0
    teams: dict[str, TeamSpec] = msgspec.field(
        default_factory=lambda: {"small": TeamSpec(), "large": TeamSpec()}
    )
    zones: list[str] = msgspec.field(
        default_factory=lambda: ["plateau", "almadies", "rufisque", "thies"]
    )
    region: str = "sn-ouest"
    model: str = "quay-llm"
    slots: int = 16
    step_ms: float = 10.0
    checks_fencing: bool = False
    proxied: bool = False
    settings: dict = {}
    retention_ms: int = 24 * 3_600_000
    service_idempotent: bool = False


class Process:
    """A process of the fleet; it can be restarted and appends to one log file."""

    def __init__(self, name: str, args: list[str], log_path: Path) -> None:
        self.name: str = name
        self.log_path: Path = log_path
        self._args: list[str] = args
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._args], stdout=out, stderr=out
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    def send_signal(self, signum: int) -> None:
        """Send a signal to this process."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signum)

    def wait(self, timeout_s: float = WAIT_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        return self._popen.wait(timeout_s)

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running():
            self._popen.send_signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait(WAIT_TIMEOUT_S)

    def read_log(self) -> str:
        """Return everything that the process logged."""
        return self.log_path.read_text(errors="replace")


class DaemonVm:
    """VM of a daemon: its addresses and its process."""

    def __init__(self, vm_id: str, zone: str, host: str) -> None:
        self.id: str = vm_id
        self.zone: str = zone
        self.host: str = host
        self.caller = Address(host, SERVER_PORT)
        self.peer = Address(host, PEER_PORT)
        self.admin = Address(host, ADMIN_PORT)
        self.settings_path: Path | None = None
        self.process: Process | None = None


class EndpointVm:
    """VM of an endpoint: its entry on the VM list and its process."""

    def __init__(self, vm_id: str, kind: str, serves: str, zone: str) -> None:
        self.id: str = vm_id
        self.kind: str = kind
        self.serves: str = serves
        self.zone: str = zone
        self.address: Address | None = None
        self.advertised_address: Address | None = None
        self.process: Process | None = None


class Fleet:
    """Processes of a fleet of threaded daemons, their stand-ins and faults.

    `start` returns when the fleet serves; `close` ends all processes. A daemon's own
    view of its fleet is `apricotquay.fleet.Fleet`.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self.spec: FleetSpec = spec
        self.http = urllib3.PoolManager(maxsize=64, retries=False, timeout=30.0)
        self.keys: dict[str, str] = {
            team: f"sk-{team}-{secrets.token_hex(16)}" for team in spec.teams
        }
        self.proxy = FaultProxy() if spec.proxied else None
        self.daemons: list[DaemonVm] = []
        self.endpoints: list[EndpointVm] = []
        self._allocator = AddressAllocator()
        self._advertised_peers: dict[str, Address] = {}
        self._output_dir = tempfile.TemporaryDirectory(prefix="apricotquay-")
        self.log_address: Address = self._allocator.allocate_address()
        self.vms_address: Address = self._allocator.allocate_address()
        self._processes: list[Process] = []

    def start(self) -> None:
        """Start all processes, publish the document and wait until all are ready."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """End all processes that were started."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGCONT)
            process.kill()
        if self.proxy is not None:
            self.proxy.close()
        self.http.clear()
        self._output_dir.cleanup()

    def document(self) -> dict:
        """Return the document that `start` publishes."""
        spec = self.spec
        routes = {spec.model: {"kind": "model", "target": spec.model}}
        if spec.services:
            routes["filing"] = {
                "kind": "service",
                "target": "filing",
                "idempotent": spec.service_idempotent,
            }
        return {
            "teams": {
                team: {
                    "rate_per_s": t.rate_per_s,
                    "burst": t.burst,
                    "weight": t.weight,
                    "keys": [{"hash": hash_key(self.keys[team])}],
                }
                for team, t in spec.teams.items()
            },
            "models": {spec.model: {"checks_fencing": spec.checks_fencing}},
            "routes": routes,
            "objectives": {spec.model: {"good_share": 0.95, "first_token_ms": 650.0}},
        }

    def config_client(self, environment: str = ENVIRONMENT) -> ConfigClient:
        """Return access to an environment's configuration stream."""
        return ConfigClient(HttpLog(self.log_address.url), environment, SystemClock())

    def publish(self, document: dict) -> int:
        """Publish a document and return its version."""
        client = self.config_client()
        client.refresh()
        text = json.dumps(document)
        return client.publish(text, client.state.version, "harness").version

    def post(self, address: Address, path: str, value: dict) -> dict:
        """Post JSON to a stand-in."""
        response = self.http.request("POST", address.url + path, json=value)
        return response.json()

    def get(self, address: Address, path: str) -> dict:
        """Get JSON from a stand-in or an admin port."""
        return self.http.request("GET", address.url + path).json()

    def set_log_faults(self, **faults) -> None:
        """Set faults of the log service."""
        self.post(self.log_address, "/faults", faults)

    def status(self, index: int) -> dict:
        """Return a daemon's status."""
        return self.get(self.daemons[index].admin, "/status")

    def put_vm(self, vm_id: str, entry: dict) -> None:
        """Add or change an entry of the platform's VM list."""
        self.http.request("PUT", f"{self.vms_address.url}/vms/{vm_id}", json=entry)

    def delete_vm(self, vm_id: str) -> None:
        """Remove an entry from the platform's VM list."""
        self.http.request("DELETE", f"{self.vms_address.url}/vms/{vm_id}")

    def kill_daemon(self, index: int, unlist: bool = True) -> None:
        """Kill a daemon, as at the loss of its VM; `unlist` deletes its list entry."""
        vm = self.daemons[index]
        vm.process.kill()
        if self.proxy is not None:
            self.proxy.close_listener(vm.id)
        if unlist:
            self.delete_vm(vm.id)

    def restart_daemon(self, index: int) -> None:
        """Restart a killed daemon on its VM."""
        vm = self.daemons[index]
        if self.proxy is not None:
            self._open_peer_proxy(vm)
        vm.process.start()
        self.put_vm(vm.id, self._daemon_entry(vm))

    def mark_endpoint_leaving(self, index: int) -> None:
        """Mark an endpoint as leaving on the VM list."""
        vm = self.endpoints[index]
        self.put_vm(vm.id, {**self._endpoint_entry(vm), "state": "leaving"})

    def block_traffic(self, source: int, target: str) -> None:
        """Block traffic of a daemon to a target: "log", "vms" or another VM's id."""
        fault = self.proxy.get_fault(self.daemons[source].host, target)
        fault.requests_blocked = True
        fault.responses_blocked = True

    def isolate(self, index: int) -> None:
        """Block traffic between a daemon and the log, VM list and other daemons."""
        vm = self.daemons[index]
        for target in ("log", "vms"):
            self.block_traffic(index, target)
        for other, other_vm in enumerate(self.daemons):
            if other != index:
                self.block_traffic(index, other_vm.id)
                self.block_traffic(other, vm.id)

    def start_relay(self) -> EndpointVm:
        """Start a bare relay to the first engine, a baseline for the bench."""
        vm = EndpointVm("relay", "relay", "", "")
        vm.address = self._allocator.allocate_address()
        target = self.endpoints[0].address.url
        vm.process = self._run("relay", "bench.relay", vm.address, "--target", target)
        self.wait_until(lambda: self._accepts_connections(vm.address), "relay runs")
        return vm

    @staticmethod
    def _accepts_connections(address: Address) -> bool:
        with socket.create_connection((address.host, address.port), 1.0):
            return True

    def wait_until(
        self,
        condition: Callable[[], bool],
        expected: str,
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> float:
        """Wait for a condition and return the seconds it took."""
        start_s = time.monotonic()
        while not _is_true(condition):
            if time.monotonic() - start_s > timeout_s:
                raise TimeoutError(f"{expected}: not within {timeout_s} s")
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    def wait_ready(self) -> None:
        """Wait until every running daemon serves and all leases are held."""
        self.wait_until(self._is_ready, "fleet is ready")

    def find_shard_holder(self, resource: str) -> str:
        """Return the holder of a rate shard, as the first running daemon sees it."""
        for index, vm in enumerate(self.daemons):
            if vm.process.is_running():
                return self.status(index)["rate_shards"][resource].split(" ")[0]
        raise LookupError("no daemon is running")

    def read_logs(self) -> str:
        """Return everything that the daemons logged."""
        return "".join(vm.process.read_log() for vm in self.daemons)

    def _start(self) -> None:
        if self.proxy is not None:
            self.proxy.start()
        self._run("log", "standins.log", self.log_address)
        self._run("vms", "standins.vms", self.vms_address)
        self._start_endpoints()
        self.wait_until(lambda: self.get(self.log_address, "/stats"), "log runs")
        self.wait_until(lambda: self.get(self.vms_address, "/vms"), "VM list runs")
        self.set_log_faults(retention_ms=self.spec.retention_ms)
        for vm in self.endpoints:
            self.put_vm(vm.id, self._endpoint_entry(vm))
        self._create_daemons()
        self.publish(self.document())
        for vm in self.daemons:
            self.put_vm(vm.id, self._daemon_entry(vm))
        time.sleep(0.4)
        for vm in self.daemons:
            vm.process.start()
        self.wait_ready()

    def _run(self, name: str, module: str, address: Address, *args: str) -> Process:
        log_path = Path(self._output_dir.name) / f"{name}.log"
        process = Process(
            name,
            [module, "--host", address.host, "--port", str(address.port), *args],
            log_path,
        )
        self._processes.append(process)
        process.start()
        return process

    def _start_endpoints(self) -> None:
        spec = self.spec
        kinds = [("engine", "model", spec.model)] * spec.engines
        kinds += [("service", "service", "filing")] * spec.services
        for number, (name, kind, serves) in enumerate(kinds):
            zone = spec.zones[number % len(spec.zones)]
            vm = EndpointVm(f"{name}-{number}", kind, serves, zone)
            vm.address = self._allocator.allocate_address()
            vm.advertised_address = self._advertise(vm.id, vm.address)
            args = []
            if kind == "model":
                args = ["--model", serves, "--slots", str(spec.slots)]
                args += ["--step-ms", str(spec.step_ms)]
                args += ["--checks-fencing"] if spec.checks_fencing else []
            vm.process = self._run(vm.id, f"standins.{name}", vm.address, *args)
            self.endpoints.append(vm)

    def _create_daemons(self) -> None:
        log = self._advertise("log", self.log_address)
        vms = self._advertise("vms", self.vms_address)
        for number in range(self.spec.daemons):
            zone = self.spec.zones[number % len(self.spec.zones)]
            vm = DaemonVm(f"entry-{number}", zone, self._allocator.allocate_host())
            values = {
                "vm_id": vm.id,
                "region": self.spec.region,
                "availability_zone": zone,
                "environment": ENVIRONMENT,
                "log_url": log.url,
                "vm_list_url": vms.url,
                "host": vm.host,
                "caller_port": vm.caller.port,
                "peer_port": vm.peer.port,
                "admin_port": vm.admin.port,
                "log_retention_ms": self.spec.retention_ms,
                **self.spec.settings,
            }
            vm.settings_path = Path(self._output_dir.name) / f"{vm.id}.json"
            vm.settings_path.write_text(json.dumps(values))
            log_path = Path(self._output_dir.name) / f"{vm.id}.log"
            args = ["apricotquay.daemon", "--settings", str(vm.settings_path)]
            vm.process = Process(vm.id, args, log_path)
            self._processes.append(vm.process)
            self.daemons.append(vm)
            if self.proxy is not None:
                self._advertised_peers[vm.id] = self._allocator.allocate_address()
                self._open_peer_proxy(vm)

    def _open_peer_proxy(self, vm: DaemonVm) -> None:
        self.proxy.open_listener(vm.id, self._advertised_peers[vm.id], vm.peer)

    def _advertise(self, name: str, address: Address) -> Address:
        """Return the address that daemons connect to: a proxy's if proxies are used."""
        if self.proxy is None:
            return address
        advertised = self._allocator.allocate_address()
        self.proxy.open_listener(name, advertised, address)
        return advertised

    def _daemon_entry(self, vm: DaemonVm) -> dict:
        peer = self._advertised_peers[vm.id] if self.proxy is not None else vm.peer
        return {
            "kind": "entry",
            "host": peer.host,
            "port": peer.port,
            "zone": vm.zone,
            "region": self.spec.region,
            "state": "live",
            "caller_port": vm.caller.port,
        }

    def _endpoint_entry(self, vm: EndpointVm) -> dict:
        return {
            "kind": vm.kind,
            "host": vm.advertised_address.host,
            "port": vm.advertised_address.port,
            "zone": vm.zone,
            "region": self.spec.region,
            "state": "live",
            "serves": vm.serves,
        }

    def _is_ready(self) -> bool:
        running = [i for i, vm in enumerate(self.daemons) if vm.process.is_running()]
        statuses = [self.status(i) for i in running]
        return (
            bool(statuses)
            and all(
                s["config_version"] > 0
                and s["view"] != "stale"
                and all(h.split(" ")[0] != "-" for h in s["rate_shards"].values())
                for s in statuses
            )
            and self._has_active_leases(statuses)
        )

    @staticmethod
    def _has_active_leases(statuses: list[dict]) -> bool:
        shards = statuses[0]["rate_shards"]
        active = sum(
            1
            for s in statuses
            for name, holder in s["rate_shards"].items()
            if "(active" in holder and holder.startswith(s["vm"] + " ")
        )
        held = {
            name
            for s in statuses
            for name, text in s["partitions"].items()
            if text.startswith("held")
        }
        return active == len(shards) and len(held) >= 1


def _is_true(condition: Callable[[], bool]) -> bool:
    try:
        return bool(condition())
    except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
        return False
