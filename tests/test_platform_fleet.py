"""Whole event-loop daemons and the platform's stand-ins in one process."""

import asyncio
import base64
import itertools
import json
import time
from collections.abc import Callable, Sequence

import msgspec
from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.platform.callers import CallerApi
from apricotquay.platform.engines import ServerClient
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.daemon import Address, Daemon, ServingSettings
from apricotquay.serving.fleet import shards as shards_module
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic
from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import open_client
from standins.addresses import ADMIN_PORT, PEER_PORT, SERVER_PORT, AddressAllocator
from standins.links import CuttableStore, Link
from standins.platform import (
    ModelServer,
    StoreServer,
    make_configuration,
    write_configuration,
)

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

HOST = "127.0.0.1"
ADDRESSES = AddressAllocator()
TIMEOUT_S = 20.0
# Between requests of a load that a whole fleet gets.
REQUEST_INTERVAL_S = 0.02


class PlatformFleet:
    """A store, servers and daemons; `runs` lists the requests that servers ran."""

    def __init__(self) -> None:
        self.runs: list[dict] = []
        self.daemons: list[Daemon] = []
        # The links of each daemon to the servers.
        self.links: dict[Daemon, Link] = {}
        self.store_links: dict[Daemon, CuttableStore] = {}
        self.servers: list[ModelServer] = []
        self.store = StoreServer()

    async def start(
        self,
        daemons: int,
        servers: int,
        step_s: float,
        versions: Sequence[str] = ("v1",),
    ) -> None:
        """Start everything and wait until all daemons are ready. The servers have the
        versions in turn.
        """
        self.store_address = f"{HOST}:{await self.store.start(HOST, 0)}"
        await self.configure(1, small=["k1"], large=["k2"])
        for number in range(servers):
            version = versions[number % len(versions)]
            await self.add_server(f"i-{number}", step_s, version=version)
        for number in range(daemons):
            await self.add_daemon(f"d{number}")
        for daemon in self.daemons:
            await self.wait_until(lambda d=daemon: self.is_ready(d, servers))

    def is_ready(self, daemon: Daemon, servers: int) -> bool:
        """Whether a daemon knows the configuration, all servers and all owners."""
        listed = sum(1 for _ in daemon.view.endpoints.serving("llm"))
        owners = daemon.shards.known_owners()[0]
        return (
            daemon.view.configuration is not None
            and listed == servers
            and len(owners) == daemon.shards.count
        )

    async def configure(self, version: int, **keys: list[str]) -> None:
        """Write a configuration with the keys of each team."""
        await write_configuration(self.store_address, make_configuration(version, keys))

    async def add_server(self, name: str, step_s: float, **fields) -> ModelServer:
        """Start a server with the given attributes and add it to the fleet."""
        server = ModelServer(name, step_s, self.runs.append)
        for field, value in fields.items():
            setattr(server, field, value)
        await server.start(HOST, 0, self.store_address)
        self.servers.append(server)
        return server

    async def add_daemon(self, name: str, **fields) -> Daemon:
        """Start a daemon with the given settings changed, and add it to the fleet."""
        host, _, port = self.store_address.rpartition(":")
        vm_host = ADDRESSES.allocate_host()
        settings = ServingSettings(
            name,
            "z",
            Address(host, int(port)),
            Address(vm_host, SERVER_PORT),
            Address(vm_host, ADMIN_PORT),
            Address(vm_host, PEER_PORT),
            None,
            "/metrics",
            [],
            12,
            True,
            8.0,
        )
        settings = msgspec.structs.replace(settings, **fields)
        link = Link()
        store = CuttableStore(host, int(port))
        daemon = Daemon(
            settings,
            store,
            PlatformDirectory(),
            ServerClient(link.open),
            lambda *args: CallerApi(*args).handle,
            clock=SystemClock(),
            reporter=quiet_reporter(),
        )
        await daemon.start()
        self.daemons.append(daemon)
        self.links[daemon] = link
        self.store_links[daemon] = store
        return daemon

    async def unlist(self, server: ModelServer) -> None:
        """Stop a server and remove its entry, as when it has left."""
        await server.close()
        record = KeyedRecord(server.name.encode(), None)
        await self.store.log.append(Topic("keyed.servers"), 0, [record], None)
        self.servers.remove(server)

    async def close(self) -> None:
        """Stop everything."""
        for component in (*self.daemons, *self.servers, self.store):
            await component.close()

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self, daemon: Daemon, method: str, target: str, body: bytes = b"", **headers
    ) -> HttpResponse:
        """Send a request to a daemon on a new connection."""
        fields = {"host": "a.example", "key": "k1"} | headers
        address = daemon.settings.callers
        connection = await open_client(address.host, address.port, 2.0)
        header_list = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in fields.items()
            if value
        ]
        try:
            connection.send(HttpRequest(method, target, header_list, body))
            async with asyncio.timeout(TIMEOUT_S):
                return await connection.read_response()
        finally:
            connection.close()

    async def submit(self, daemon: Daemon, job: str, bodies: list[str]) -> int:
        """Submit a job and return the status of the response."""
        items = [
            {
                "id": f"{job}-{n}",
                "path": f"/b/{n}",
                "headers": {"Model": "m"},
                "body": base64.b64encode(body.encode()).decode(),
                "tokens": 10,
            }
            for n, body in enumerate(bodies)
        ]
        data = json.dumps({"items": items}).encode()
        response = await self.call(daemon, "POST", "/b/job", data, attempt_id=job)
        return response.status

    async def wait_for_results(self, daemon: Daemon, job: str) -> dict:
        """Wait until a job is done and return all its results."""
        while True:
            response = await self.call(daemon, "GET", f"/-/lots/{job}?after=0")
            if response.status == 200:
                page = json.loads(response.body)
                if page["next"] == page["total"]:
                    return {r["id"]: (r["state"], r["text"]) for r in page["results"]}
            await asyncio.sleep(0.05)


class PlatformTest(ApricotTest):
    """Base class of tests with a fleet."""

    def run_scenario(
        self, scenario, daemons=2, servers=2, step_s=0.001, versions=("v1",)
    ) -> None:
        """Run a scenario with a new fleet."""
        self.patch(shards_module, "JOIN_INTERVAL_S", 0.05)
        self.patch(shards_module, "OWNERS_INTERVAL_S", 0.05)

        async def run() -> None:
            fleet = PlatformFleet()
            try:
                async with asyncio.timeout(3 * TIMEOUT_S):
                    await fleet.start(daemons, servers, step_s, versions)
                    await scenario(fleet)
            finally:
                await fleet.close()

        asyncio.run(run())

    async def send_load(
        self,
        fleet: PlatformFleet,
        until_s: float,
        daemons: Callable[[], list[Daemon]] | None = None,
    ) -> list[int]:
        """Send requests to the daemons in turn; return their statuses, 0 for none."""
        calls = []
        for number in itertools.count():
            if time.monotonic() >= until_s:
                break
            targets = daemons() if daemons else fleet.daemons
            daemon = targets[number % len(targets)]
            calls.append(asyncio.ensure_future(self.send(fleet, daemon, number)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return await asyncio.gather(*calls)

    async def send(self, fleet: PlatformFleet, daemon: Daemon, number: int) -> int:
        """Send a request; return its status, 0 if it has none."""
        try:
            response = await fleet.call(
                daemon, "POST", f"/s/{number}", b"events=4", attempt_id=f"r{number}"
            )
        except HttpError:
            return 0
        return response.status


class PlatformFleetTest(PlatformTest):
    """Responses that callers get, and what reaches the servers."""

    def test_every_daemon_serves_streams(self):
        """Streams are complete and signed by the server; the key reaches no server."""

        async def scenario(fleet):
            for number, daemon in enumerate(fleet.daemons):
                response = await fleet.call(
                    daemon, "POST", "/s/1", b"events=4", attempt_id=f"a{number}"
                )
                self.assertEqual(200, response.status)
                self.assertEqual(4, response.body.count(b"data: "))
                names = [name for name, _ in response.headers]
                self.assertIn(b"response-stamp", names)
            self.assertEqual({"small"}, {run["tenant"] for run in fleet.runs})
            self.assertEqual({None}, {run["key"] for run in fleet.runs})

        self.run_scenario(scenario)

    @parameterized.expand(
        [
            ("unknown route", "/zz/1", "k1", 404),
            ("unknown key", "/s/1", "kx", 401),
            ("no key", "/s/1", "", 401),
        ]
    )
    def test_unauthorized_request_reaches_no_server(self, _name, path, key, status):
        """The status tells the caller why it is refused."""

        async def scenario(fleet):
            response = await fleet.call(
                fleet.daemons[0], "POST", path, b"", key=key, attempt_id="a"
            )
            self.assertEqual(status, response.status)
            self.assertEqual([], fleet.runs)

        self.run_scenario(scenario, daemons=1)

    def test_withdrawn_key_is_rejected(self):
        """Every daemon rejects it once it has read the new configuration."""

        async def scenario(fleet):
            await fleet.configure(2, small=["k9"])
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: d.view.configuration.version == 2
                )
                response = await fleet.call(daemon, "POST", "/s/1", b"", attempt_id="a")
                self.assertEqual(401, response.status)

        self.run_scenario(scenario)

    def test_job_can_be_submitted_and_read_at_any_daemon(self):
        """The job runs once though both daemons get it; failed items are reported.

        An item that fails with 422 is not repeated; one that fails with 500 is
        tried three times.
        """

        async def scenario(fleet):
            bodies = ["events=5", "events=3", "fail=422", "fail=500", ""]
            for daemon in (*fleet.daemons, fleet.daemons[0]):
                self.assertEqual(202, await fleet.submit(daemon, "j1", bodies))
            expected = {
                f"j1-{n}": ("done", "\n".join(f"j1-{n}-{e}" for e in range(events)))
                for n, events in ((0, 5), (1, 3), (4, 5))
            } | {"j1-2": ("dead_letter", ""), "j1-3": ("dead_letter", "")}
            for daemon in fleet.daemons:
                self.assertEqual(expected, await fleet.wait_for_results(daemon, "j1"))
            ran = [run["ran"] for run in fleet.runs]
            self.assertEqual(1, ran.count("j1-2"))
            self.assertEqual(3, ran.count("j1-3"))

        self.run_scenario(scenario)

    def test_job_survives_the_loss_of_all_daemons(self):
        """A new daemon continues the job from the log."""

        async def scenario(fleet):
            bodies = ["events=30"] * 12
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j1", bodies))
            for daemon in fleet.daemons:
                await daemon.close()
            fleet.daemons.clear()
            fleet.store.log._members.clear()
            daemon = await fleet.add_daemon("new")
            results = await fleet.wait_for_results(daemon, "j1")
            self.assertEqual({"done"}, {state for state, _ in results.values()})
            text = "\n".join(f"j1-3-{e}" for e in range(30))
            self.assertEqual(text, results["j1-3"][1])

        self.run_scenario(scenario, step_s=0.02)

    def test_cancelled_job_stops(self):
        """No further item is sent to a server."""

        async def scenario(fleet):
            bodies = ["events=50"] * 60
            await fleet.submit(fleet.daemons[0], "j1", bodies)
            await fleet.wait_until(lambda: fleet.runs)
            response = await fleet.call(fleet.daemons[1], "DELETE", "/-/lots/j1")
            self.assertEqual(200, response.status)
            await fleet.wait_until(lambda: not any(s.running for s in fleet.servers))
            count = len(fleet.runs)
            await asyncio.sleep(0.5)
            self.assertEqual(count, len(fleet.runs))

        self.run_scenario(scenario, step_s=0.02)

    def test_item_body_can_be_read(self):
        """Every daemon returns it unchanged; another team's job is not found."""

        async def scenario(fleet):
            await fleet.submit(fleet.daemons[0], "j1", ["events=40"])
            for daemon in fleet.daemons:
                response = await fleet.call(daemon, "GET", "/-/items/j1?id=j1-0")
                self.assertEqual((200, b"events=40"), (response.status, response.body))
                response = await fleet.call(
                    daemon, "GET", "/-/items/j1?id=j1-0", key="k2"
                )
                self.assertEqual(404, response.status)
                response = await fleet.call(daemon, "GET", "/-/lots/none?after=0")
                self.assertEqual(404, response.status)

        self.run_scenario(scenario, step_s=0.02)

    def test_caller_disconnect_cancels_the_request_at_the_server(self):
        """The request is cancelled long before the stream would end."""

        async def scenario(fleet):
            call = asyncio.ensure_future(
                fleet.call(
                    fleet.daemons[0], "POST", "/s/1", b"events=900", attempt_id="a"
                )
            )
            await fleet.wait_until(lambda: any(s.running for s in fleet.servers))
            call.cancel()
            await fleet.wait_until(lambda: not any(s.running for s in fleet.servers))

        self.run_scenario(scenario, step_s=0.02)

    def test_graceful_shutdown_aborts_no_request(self):
        """Running requests end, and later ones are still served."""

        async def scenario(fleet):
            leaving = fleet.daemons[0]
            call = asyncio.ensure_future(
                fleet.call(leaving, "POST", "/s/1", b"events=60", attempt_id="a")
            )
            await fleet.wait_until(lambda: any(s.running for s in fleet.servers))
            drain = asyncio.ensure_future(leaving.drain())
            await asyncio.sleep(0.05)
            later = await fleet.call(
                leaving, "POST", "/s/1", b"events=5", attempt_id="b"
            )
            self.assertEqual((200, 5), (later.status, later.body.count(b"data: ")))
            response = await call
            self.assertEqual(
                (200, 60), (response.status, response.body.count(b"data: "))
            )
            await drain

        self.run_scenario(scenario, step_s=0.01)

    def test_streams_survive_the_crash_of_a_server(self):
        """Resumable streams are resumed at another server."""

        async def scenario(fleet):
            calls = [
                asyncio.ensure_future(
                    fleet.call(
                        fleet.daemons[n % 2],
                        "POST",
                        "/s/1",
                        b"events=40",
                        attempt_id=f"a{n}",
                    )
                )
                for n in range(6)
            ]
            await fleet.wait_until(lambda: all(s.running >= 2 for s in fleet.servers))
            await fleet.servers[0].close()
            for response in await asyncio.gather(*calls):
                self.assertEqual(40, response.body.count(b"data: "))

        self.run_scenario(scenario, step_s=0.01)
