"""A daemon's process that stands still while servers of a new version join."""

import asyncio
import contextlib
import signal
import time

from apricotquay.serving.http.http1 import HttpError, HttpRequest
from apricotquay.serving.http.httpclient import open_client
from apricotquay.serving.streams.streamversions import MIN_LIFETIME_S
from standins.platform import make_configuration, write_configuration
from standins.processes import PlatformProcesses

from .base import ApricotTest

STEP_S = 0.02
EVENTS = 20
EVENTS_BEFORE_LEAVING = 4
STREAMS = 24
# Shorter than the age at which a view counts as old.
FROZEN_S = 1.5
TIMEOUT_S = 30.0


class FrozenDaemonTest(ApricotTest):
    """It knows one version only when it goes on."""

    def test_frozen_daemon_joins_no_streams_of_a_version_that_joined_meanwhile(self):
        """Take-ups wait in its sockets while it stands still."""
        asyncio.run(self.run_with_processes())

    async def run_with_processes(self) -> None:
        """Start the processes and run the scenario."""
        self.processes = PlatformProcesses(3, 2, STEP_S, versions=2)
        try:
            async with asyncio.timeout(3 * TIMEOUT_S):
                await self.start()
                await self.run_scenario()
        finally:
            self.processes.close()

    async def start(self) -> None:
        """Start all but the server of the newer version; wait for long enough that
        daemons trust what they know of versions.
        """
        self.processes.start_store()
        await self.wait_until(self.configure)
        self.processes.servers[0].start()
        for daemon in self.processes.daemons:
            daemon.start()
        for number in range(len(self.processes.daemons)):
            await self.wait_until(lambda n=number: self.serves(n))
        await asyncio.sleep(MIN_LIFETIME_S + 1.0)

    async def run_scenario(self) -> None:
        """Freeze a daemon, begin streams elsewhere, and take them up there."""
        frozen, newer = self.processes.daemons[0], self.processes.servers[1]
        frozen.send_signal(signal.SIGSTOP)
        frozen_s = time.monotonic()
        newer.start()
        await self.wait_until(self.begins_at_newer_version)
        begun = [self.begin(f"s{number}") for number in range(STREAMS)]
        last_ids = await asyncio.gather(*begun)
        taken_up = [
            asyncio.ensure_future(self.take_up(f"s{number}", last_id))
            for number, last_id in enumerate(last_ids)
        ]
        await asyncio.sleep(max(0.0, frozen_s + FROZEN_S - time.monotonic()))
        frozen.send_signal(signal.SIGCONT)
        statuses = await asyncio.gather(*taken_up)
        self.assertLessEqual(set(statuses), {0, 200, 503})
        versions = [self.versions_of(f"s{number}") for number in range(STREAMS)]
        self.assertIn({"v1"}, versions)
        self.assertEqual([], [v for v in versions if len(v) != 1])

    async def begins_at_newer_version(self) -> bool:
        """Whether a stream that begins now may begin at the newer version."""
        await self.begin("probe")
        return "v1" in self.versions_of("probe")

    async def begin(self, stream: str) -> int:
        """Begin a stream at a running daemon and leave; return the last event's id."""
        connection = await self.send(1, f"{stream}.0", [])
        data = b""
        with contextlib.closing(connection):
            await connection.read_head()
            async for part in connection.read_body():
                data += part
                if data.count(b"\n\n") >= EVENTS_BEFORE_LEAVING:
                    break
        return data.count(b"\n\n") - 1

    async def take_up(self, stream: str, last_id: int) -> int:
        """Take a stream up at the frozen daemon; return the status, 0 for none."""
        headers = [
            (b"resumes", f"{stream}.0".encode()),
            (b"last-event-id", str(last_id).encode()),
        ]
        try:
            connection = await self.send(0, f"{stream}.1", headers)
            with contextlib.closing(connection):
                return (await connection.read_response()).status
        except HttpError:
            return 0

    async def send(self, daemon: int, attempt: str, headers: list):
        """Send a request to a daemon; return its connection."""
        address = self.processes.caller_addresses[daemon]
        connection = await open_client(address.host, address.port, TIMEOUT_S)
        fields = [
            (b"host", b"a.example"),
            (b"key", b"k1"),
            (b"attempt-id", attempt.encode()),
            *headers,
        ]
        body = b"events=%d" % EVENTS
        connection.send(HttpRequest("POST", "/s/1", fields, body))
        return connection

    def versions_of(self, stream: str) -> set[str]:
        """Return the versions of the servers that ran a stream's attempts."""
        return {
            line["version"]
            for server in self.processes.servers
            if server.output_path.exists()
            for line in server.read_json_lines()
            if line.get("ran", "").partition(".")[0] == stream
        }

    async def configure(self) -> bool:
        """Write the configuration; return whether the store took it."""
        configuration = make_configuration(1, {"small": ["k1"]})
        try:
            await write_configuration(self.processes.store_address, configuration)
        except Exception:
            # The store has not started to listen.
            return False
        return True

    async def serves(self, daemon: int) -> bool:
        """Whether a daemon serves a request."""
        try:
            connection = await self.send(daemon, f"ready{daemon}", [])
            with contextlib.closing(connection):
                return (await connection.read_response()).status == 200
        except HttpError:
            return False

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.05)
