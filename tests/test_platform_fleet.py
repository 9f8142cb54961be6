"""Whole daemons on the platform's stand-ins, in one process over loopback."""

import asyncio
import base64
import json

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.platform.callers import CallerApi
from apricotquay.platform.engines import ServerClient
from apricotquay.platform.store import StoreClient
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving import shards as shards_module
from apricotquay.serving.daemon import Address, Daemon, ServingSettings
from apricotquay.serving.http1 import HttpRequest, HttpResponse
from apricotquay.serving.httpclient import open_client
from standins.addresses import ADMIN_PORT, PEER_PORT, SERVER_PORT, AddressBook
from standins.platform import (
    ModelServer,
    StoreServer,
    configuration,
    write_configuration,
)

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

HOST = "127.0.0.1"
BOOK = AddressBook()
WAIT_S = 20.0


class PlatformFleet:
    """A store, servers and daemons; what the servers ran is in `runs`."""

    def __init__(self) -> None:
        self.runs: list[dict] = []
        self.daemons: list[Daemon] = []
        self.servers: list[ModelServer] = []
        self.store = StoreServer()

    async def start(self, daemons: int, servers: int, step_s: float) -> None:
        """Start everything and wait until all daemons are ready."""
        self.store_address = f"{HOST}:{await self.store.start(HOST, 0)}"
        await self.configure(1, small=["k1"], large=["k2"])
        for number in range(servers):
            server = ModelServer(f"i-{number}", step_s, self.runs.append)
            await server.start(HOST, 0, self.store_address)
            self.servers.append(server)
        for number in range(daemons):
            await self.add_daemon(f"d{number}")
        for daemon in self.daemons:
            await self.until(lambda d=daemon: self.is_up(d, servers))

    def is_up(self, daemon: Daemon, servers: int) -> bool:
        """Whether a daemon knows the configuration, servers and owners."""
        listed = sum(1 for _ in daemon.view.endpoints.serving("llm"))
        owners = daemon.shards.known_owners()[0]
        return (
            daemon.view.configuration is not None
            and listed == servers
            and len(owners) == daemon.shards.count
        )

    async def configure(self, version: int, **keys: list[str]) -> None:
        """Write a configuration."""
        await write_configuration(self.store_address, configuration(version, keys))

    async def add_daemon(self, name: str) -> Daemon:
        """Start a daemon."""
        host, _, port = self.store_address.rpartition(":")
        vm_host = BOOK.host()
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
        daemon = Daemon(
            settings,
            StoreClient(host, int(port)),
            PlatformDirectory(),
            ServerClient(),
            lambda *parts: CallerApi(*parts).handle,
            clock=SystemClock(),
            reporter=quiet_reporter(),
        )
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def close(self) -> None:
        """Stop everything."""
        for part in (*self.daemons, *self.servers, self.store):
            await part.close()

    async def until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self, daemon: Daemon, method: str, target: str, body: bytes = b"", **headers
    ) -> HttpResponse:
        """Send a request to a daemon on a connection of its own."""
        fields = {"host": "a.example", "key": "k1"} | headers
        address = daemon.settings.callers
        connection = await open_client(address.host, address.port, 2.0)
        listed = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in fields.items()
            if value
        ]
        try:
            connection.send(HttpRequest(method, target, listed, body))
            async with asyncio.timeout(WAIT_S):
                return await connection.read_response()
        finally:
            connection.close()

    async def submit(self, daemon: Daemon, job: str, bodies: list[str]) -> int:
        """Hand in a job; return the status."""
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
        answer = await self.call(daemon, "POST", "/b/job", data, attempt_id=job)
        return answer.status

    async def results(self, daemon: Daemon, job: str) -> dict:
        """Return all results of a job that is done."""
        while True:
            answer = await self.call(daemon, "GET", f"/-/lots/{job}?after=0")
            if answer.status == 200:
                page = json.loads(answer.body)
                if page["next"] == page["total"]:
                    return {r["id"]: (r["state"], r["text"]) for r in page["results"]}
            await asyncio.sleep(0.05)


class PlatformTest(ApricotTest):
    """Base class of tests on a fleet."""

    def play(self, scenario, daemons=2, servers=2, step_s=0.001) -> None:
        """Run a scenario on a fleet of its own."""
        self.patch(shards_module, "JOIN_INTERVAL_S", 0.05)
        self.patch(shards_module, "OWNERS_INTERVAL_S", 0.05)

        async def run() -> None:
            fleet = PlatformFleet()
            try:
                async with asyncio.timeout(3 * WAIT_S):
                    await fleet.start(daemons, servers, step_s)
                    await scenario(fleet)
            finally:
                await fleet.close()

        asyncio.run(run())


class PlatformFleetTest(PlatformTest):
    """What callers get."""

    def test_stream_is_served_by_every_daemon(self):
        """Whole, with the server's signature and without the caller's key."""

        async def scenario(fleet):
            for number, daemon in enumerate(fleet.daemons):
                answer = await fleet.call(
                    daemon, "POST", "/s/1", b"events=4", attempt_id=f"a{number}"
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(4, answer.body.count(b"data: "))
                names = [name for name, _ in answer.headers]
                self.assertIn(b"response-stamp", names)
            self.assertEqual({"small"}, {run["tenant"] for run in fleet.runs})
            self.assertEqual({None}, {run["key"] for run in fleet.runs})

        self.play(scenario)

    @parameterized.expand(
        [
            ("unknown route", "/zz/1", "k1", 404),
            ("unknown key", "/s/1", "kx", 401),
            ("no key", "/s/1", "", 401),
        ]
    )
    def test_request_that_is_not_allowed_reaches_no_server(
        self, _name, path, key, status
    ):
        """And is told so."""

        async def scenario(fleet):
            answer = await fleet.call(
                fleet.daemons[0], "POST", path, b"", key=key, attempt_id="a"
            )
            self.assertEqual(status, answer.status)
            self.assertEqual([], fleet.runs)

        self.play(scenario, daemons=1)

    def test_withdrawn_key_stops_working(self):
        """At every daemon, as soon as it has read the version."""

        async def scenario(fleet):
            await fleet.configure(2, small=["k9"])
            for daemon in fleet.daemons:
                await fleet.until(lambda d=daemon: d.view.configuration.version == 2)
                answer = await fleet.call(daemon, "POST", "/s/1", b"", attempt_id="a")
                self.assertEqual(401, answer.status)

        self.play(scenario)

    def test_job_is_accepted_anywhere_and_read_anywhere(self):
        """Once, though it is sent to both daemons; items that fail are told."""

        async def scenario(fleet):
            bodies = ["events=5", "events=3", "fail=422", "fail=500", ""]
            for daemon in (*fleet.daemons, fleet.daemons[0]):
                self.assertEqual(202, await fleet.submit(daemon, "j1", bodies))
            wanted = {
                f"j1-{n}": ("done", "\n".join(f"j1-{n}-{e}" for e in range(events)))
                for n, events in ((0, 5), (1, 3), (4, 5))
            } | {"j1-2": ("dead_letter", ""), "j1-3": ("dead_letter", "")}
            for daemon in fleet.daemons:
                self.assertEqual(wanted, await fleet.results(daemon, "j1"))
            ran = [run["ran"] for run in fleet.runs]
            self.assertEqual(1, ran.count("j1-2"))
            self.assertEqual(3, ran.count("j1-3"))

        self.play(scenario)

    def test_job_survives_the_loss_of_all_daemons(self):
        """A new daemon goes on with what the log has."""

        async def scenario(fleet):
            bodies = ["events=30"] * 12
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j1", bodies))
            for daemon in fleet.daemons:
                await daemon.close()
            fleet.daemons.clear()
            fleet.store.log._members.clear()
            daemon = await fleet.add_daemon("new")
            results = await fleet.results(daemon, "j1")
            self.assertEqual({"done"}, {state for state, _ in results.values()})
            text = "\n".join(f"j1-3-{e}" for e in range(30))
            self.assertEqual(text, results["j1-3"][1])

        self.play(scenario, step_s=0.02)

    def test_cancelled_job_stops(self):
        """Its items reach no server any more."""

        async def scenario(fleet):
            bodies = ["events=50"] * 60
            await fleet.submit(fleet.daemons[0], "j1", bodies)
            await fleet.until(lambda: fleet.runs)
            answer = await fleet.call(fleet.daemons[1], "DELETE", "/-/lots/j1")
            self.assertEqual(200, answer.status)
            await fleet.until(lambda: not any(s.running for s in fleet.servers))
            count = len(fleet.runs)
            await asyncio.sleep(0.5)
            self.assertEqual(count, len(fleet.runs))

        self.play(scenario, step_s=0.02)

    def test_body_of_an_item_is_given_back(self):
        """As it was sent, at any daemon; a job of another team is not found."""

        async def scenario(fleet):
            await fleet.submit(fleet.daemons[0], "j1", ["events=40"])
            for daemon in fleet.daemons:
                answer = await fleet.call(daemon, "GET", "/-/items/j1?id=j1-0")
                self.assertEqual((200, b"events=40"), (answer.status, answer.body))
                answer = await fleet.call(
                    daemon, "GET", "/-/items/j1?id=j1-0", key="k2"
                )
                self.assertEqual(404, answer.status)
                answer = await fleet.call(daemon, "GET", "/-/lots/none?after=0")
                self.assertEqual(404, answer.status)

        self.play(scenario, step_s=0.02)

    def test_caller_that_leaves_stops_the_server(self):
        """At once, before the stream would end."""

        async def scenario(fleet):
            call = asyncio.ensure_future(
                fleet.call(
                    fleet.daemons[0], "POST", "/s/1", b"events=900", attempt_id="a"
                )
            )
            await fleet.until(lambda: any(s.running for s in fleet.servers))
            call.cancel()
            await fleet.until(lambda: not any(s.running for s in fleet.servers))

        self.play(scenario, step_s=0.02)

    def test_graceful_shutdown_cuts_no_request(self):
        """The daemon answers what it has, and what comes on kept connections."""

        async def scenario(fleet):
            leaving = fleet.daemons[0]
            call = asyncio.ensure_future(
                fleet.call(leaving, "POST", "/s/1", b"events=60", attempt_id="a")
            )
            await fleet.until(lambda: any(s.running for s in fleet.servers))
            drain = asyncio.ensure_future(leaving.drain())
            await asyncio.sleep(0.05)
            later = await fleet.call(
                leaving, "POST", "/s/1", b"events=5", attempt_id="b"
            )
            self.assertEqual((200, 5), (later.status, later.body.count(b"data: ")))
            answer = await call
            self.assertEqual((200, 60), (answer.status, answer.body.count(b"data: ")))
            await drain

        self.play(scenario, step_s=0.01)

    def test_server_that_dies_is_done_without(self):
        """A resumable stream goes on at another."""

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
            await fleet.until(lambda: all(s.running >= 2 for s in fleet.servers))
            await fleet.servers[0].close()
            for answer in await asyncio.gather(*calls):
                self.assertEqual(40, answer.body.count(b"data: "))

        self.play(scenario, step_s=0.01)
