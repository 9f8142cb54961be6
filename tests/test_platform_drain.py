"""SIGTERM and SIGHUP beside requests on kept connections."""

import asyncio

from parameterized import parameterized

from apricotquay.serving import daemon as daemon_module
from apricotquay.serving.batch.runner import BatchRunner
from apricotquay.serving.fleet.shards import Shards
from apricotquay.serving.http.http1 import HttpError, HttpRequest
from apricotquay.serving.http.httpclient import open_client
from standins.platform import SLOTS_PER_SERVER

from .test_platform_fleet import PlatformTest

# Of the 8 s between SIGTERM and SIGKILL, the drain uses what this leaves.
LONG_MARGIN_S = 7.0


class KeptConnectionCaller:
    """Sends requests on one connection until a response says that it closes.

    `unanswered` lists the requests that got no whole response.
    """

    def __init__(self, daemon, name: str) -> None:
        self.answered = 0
        self.unanswered: list[str] = []
        self._address = daemon.settings.callers
        self._name = name

    async def run(self) -> None:
        """Send requests."""
        connection = await open_client(self._address.host, self._address.port, 2.0)
        number = 0
        while connection.is_reusable:
            request_id = f"{self._name}-{number}"
            headers = [
                (b"host", b"a.example"),
                (b"key", b"k1"),
                (b"attempt-id", request_id.encode()),
            ]
            connection.send(HttpRequest("POST", "/s/1", headers, b"events=3"))
            try:
                response = await connection.read_response()
            except HttpError:
                self.unanswered.append(request_id)
                break
            if response.status != 200 or response.body.count(b"data: ") != 3:
                self.unanswered.append(request_id)
            self.answered += 1
            number += 1
        connection.close()


class DrainTest(PlatformTest):
    """A daemon that gets SIGTERM or SIGHUP."""

    def test_drain_leaves_no_request_on_a_kept_connection_unanswered(self):
        """Each connection ends with a response that says so."""
        self.patch(daemon_module, "BALANCER_REMOVAL_S", 0.5)

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            callers = [KeptConnectionCaller(daemon, f"c{n}") for n in range(6)]
            tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
            await fleet.wait_until(lambda: all(c.answered for c in callers))
            await daemon.drain()
            await daemon.close()
            await asyncio.gather(*tasks)
            self.assertEqual([], [r for c in callers for r in c.unanswered])

        self.run_scenario(scenario)

    def test_requests_that_wait_at_the_end_of_the_grace_period_are_refused(self):
        """They have not run, and their callers can go elsewhere at once."""
        self.patch(daemon_module, "SHUTDOWN_MARGIN_S", LONG_MARGIN_S)

        async def scenario(fleet):
            daemon = fleet.daemons[0]

            def call(name: str):
                return asyncio.ensure_future(
                    fleet.call(daemon, "POST", "/s/1", b"events=900", attempt_id=name)
                )

            streams = [call(f"s{n}") for n in range(SLOTS_PER_SERVER)]
            server = fleet.servers[0]
            await fleet.wait_until(lambda: server.running == SLOTS_PER_SERVER)
            waiting = [call(f"w{n}") for n in range(4)]
            await fleet.wait_until(
                lambda: daemon.callers.busy_count == SLOTS_PER_SERVER + 4
            )
            await daemon.drain()
            await daemon.close()
            for response in await asyncio.gather(*waiting):
                self.assertEqual(503, response.status)
            for outcome in await asyncio.gather(*streams, return_exceptions=True):
                self.assertIsInstance(outcome, HttpError)
            self.assertFalse(any(run["ran"].startswith("w") for run in fleet.runs))

        self.run_scenario(scenario, daemons=1, servers=1, step_s=0.02)

    def test_request_late_in_a_drain_is_refused_rather_than_cut(self):
        """It arrives on a kept connection while another request runs."""
        self.patch(daemon_module, "SHUTDOWN_MARGIN_S", LONG_MARGIN_S)

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            address = daemon.settings.callers
            connection = await open_client(address.host, address.port, 2.0)
            for server in fleet.servers:
                server.is_holding = True
            busy = asyncio.ensure_future(
                fleet.call(daemon, "POST", "/s/1", b"events=3", attempt_id="busy")
            )
            await fleet.wait_until(lambda: fleet.runs)
            drain = asyncio.ensure_future(daemon.drain())
            await fleet.wait_until(lambda: daemon.callers.refuses_requests)
            headers = [
                (b"host", b"a.example"),
                (b"key", b"k1"),
                (b"attempt-id", b"late"),
            ]
            connection.send(HttpRequest("POST", "/s/1", headers, b"events=3"))
            self.assertEqual(503, (await connection.read_response()).status)
            self.assertNotIn("late", [run["ran"] for run in fleet.runs])
            await drain
            await daemon.close()
            await asyncio.gather(busy, return_exceptions=True)

        self.run_scenario(scenario)

    @parameterized.expand(
        [("progress", BatchRunner, "stop"), ("group", Shards, "leave")]
    )
    def test_silent_store_does_not_make_a_drain_outlast_the_grace_period(
        self, _name, owner, method
    ):
        """Requests that still run then could not be refused."""
        self.patch(daemon_module, "SHUTDOWN_MARGIN_S", LONG_MARGIN_S)

        async def hang(_):
            await asyncio.get_running_loop().create_future()

        self.patch(owner, method, hang)

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            async with asyncio.timeout(daemon.settings.grace_s):
                await daemon.drain()
            self.assertTrue(daemon.callers.is_draining)

        self.run_scenario(scenario, daemons=1)

    def test_reload_of_settings_cuts_no_request(self):
        """Also if the settings cannot be read."""

        def fail():
            raise OSError("no settings")

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            settings = daemon.settings
            callers = [KeptConnectionCaller(daemon, f"c{n}") for n in range(4)]
            tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
            for reload in (lambda: settings, fail):
                daemon._reload = reload
                daemon._reload_settings()
                answered = [c.answered for c in callers]
                await fleet.wait_until(
                    lambda before=answered: all(
                        c.answered > n for c, n in zip(callers, before, strict=True)
                    )
                )
            daemon.callers.drain()
            await asyncio.gather(*tasks)
            self.assertEqual([], [r for c in callers for r in c.unanswered])

        self.run_scenario(scenario)

    @parameterized.expand(
        [
            (f"{servers} servers, {step_s} s an event", servers, step_s)
            for servers in (1, 3, 5)
            for step_s in (0.05, 0.25)
        ]
    )
    def test_request_that_may_not_be_repeated_is_served_whole_or_refused_in_a_drain(
        self, _name, servers, step_s
    ):
        """They come all the time, and some wait for slots until late in the grace."""
        self.patch(daemon_module, "SHUTDOWN_MARGIN_S", LONG_MARGIN_S - 1.0)
        self.patch(daemon_module, "BALANCER_REMOVAL_S", 60.0)

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            drain = None
            calls = {}
            for number in range(80):
                if number == 16:
                    drain = asyncio.ensure_future(daemon.drain())
                path, name = f"/u/{number}", f"r{number}"
                late = number >= 16
                calls[name] = asyncio.ensure_future(
                    fleet.call(
                        daemon,
                        "POST",
                        path if late else f"/s/{number}",
                        b"events=4",
                        attempt_id=name,
                    )
                )
                await asyncio.sleep(0.02)
            await drain
            await daemon.close()
            ran = {run["ran"] for run in fleet.runs}
            for name, call in calls.items():
                if int(name[1:]) < 16:
                    await asyncio.gather(call, return_exceptions=True)
                    continue
                response = await call
                if name in ran:
                    self.assertEqual(
                        (200, 4), (response.status, count_events(response))
                    )
                else:
                    self.assertEqual(503, response.status)

        self.run_scenario(scenario, daemons=1, servers=servers, step_s=step_s)


def count_events(response) -> int:
    """Return how many events a response holds."""
    return response.body.count(b"data: ")
