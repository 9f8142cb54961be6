"""A request that crashes the servers that run it, in fleets of event-loop daemons."""

import asyncio
import contextlib
import random

from apricotquay.ids import TeamId
from apricotquay.quarantine import CRASHES_TO_QUARANTINE
from apricotquay.serving.online.attempts import fingerprint_of
from standins.platform import ModelServer

from .test_platform_fleet import HOST, PlatformFleet, PlatformTest

# Retries that may still reach servers after the third crash.
MAX_RETRIES_AFTER = 3
RESTART_DELAY_S = 0.3
LEARN_TIMEOUT_S = 20.0
CRASHING = b"crash=1"
CRASHES_BY_CHANCE = 5
# More daemons than the group has shards, so that some own none.
DAEMONS = 20


class CrashingFleet:
    """Restarts servers that a request crashed, and counts them."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.crashes: int = 0
        self._fleet: PlatformFleet = fleet
        self._tasks: set[asyncio.Task] = set()
        self._crashed: set[ModelServer] = set()
        for server in fleet.servers:
            self._watch(server)

    def _watch(self, server: ModelServer) -> None:
        server.on_crash = lambda: self.crash(server)

    def crash(self, server: ModelServer) -> None:
        """End a server at once, if it has not ended; it starts again after a delay."""
        if server in self._crashed:
            return
        self._crashed.add(server)
        self.crashes += 1
        task = asyncio.ensure_future(self._restart(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, server: ModelServer) -> None:
        await server.close()
        await asyncio.sleep(RESTART_DELAY_S)
        successor = ModelServer(server.name, 0.001, self._fleet.runs.append)
        successor.is_holding = server.is_holding
        successor.crashing_parts = server.crashing_parts
        successor.events_before_crash = server.events_before_crash
        self._watch(successor)
        await successor.start(HOST, 0, self._fleet.store_address)
        self._fleet.servers[self._fleet.servers.index(server)] = successor

    async def settle(self) -> None:
        """Wait until all crashed servers have started again."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def send(self, daemon, number: int) -> int:
        """Send the crashing request to a daemon and return the status."""
        with contextlib.suppress(Exception):
            response = await self._fleet.call(
                daemon, "POST", "/s/1", CRASHING, attempt_id=f"crash-{number}"
            )
            return response.status
        return 0

    async def send_to_all(self, round_number: int) -> None:
        """Send the crashing request to each daemon in turn."""
        for number, daemon in enumerate(self._fleet.daemons):
            await self.send(daemon, 1000 * (round_number + 1) + number)
            await self.settle()

    async def crash_three(self) -> None:
        """Send the request until three servers have crashed."""
        rng = random.Random(0)
        number = 0
        while self.crashes < CRASHES_TO_QUARANTINE:
            await self.send(rng.choice(self._fleet.daemons), number)
            await self.settle()
            number += 1


class CrashingRequestTest(PlatformTest):
    """Sends that still reach servers after the third crash, over the whole fleet."""

    def run_crashes(self, change, daemons: int = DAEMONS, rounds: int = 1) -> None:
        """Crash three servers; in rounds, change the fleet and send to each daemon."""

        async def scenario(fleet):
            crashing = CrashingFleet(fleet)
            await crashing.crash_three()
            before = crashing.crashes
            for round_number in range(rounds):
                await change(fleet)
                await self.wait_until_refused(fleet, crashing)
                await crashing.send_to_all(round_number)
            self.assertLessEqual(crashing.crashes - before, MAX_RETRIES_AFTER)
            await self.assert_serves(fleet)

        self.run_scenario(scenario, daemons=daemons, servers=6)

    async def wait_until_refused(self, fleet, crashing: CrashingFleet) -> None:
        """Wait until the whole fleet should know; the bound is checked afterwards."""
        await crashing.settle()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEARN_TIMEOUT_S):
                while not all(self.knows(daemon) for daemon in fleet.daemons):
                    await asyncio.sleep(0.02)

    def knows(self, daemon) -> bool:
        """Whether a daemon refuses the crashing request."""
        fingerprint = fingerprint_of("/s/1", TeamId("small"), CRASHING)
        return daemon.crashes.is_quarantined(fingerprint)

    async def assert_serves(self, fleet) -> None:
        """Check that another request is served by all daemons."""
        for number, daemon in enumerate(fleet.daemons):
            response = await fleet.call(
                daemon, "POST", "/s/1", b"events=2", attempt_id=f"sound-{number}"
            )
            self.assertEqual(200, response.status)

    def test_daemons_that_own_no_shard_learn_of_crashes(self):
        """The request comes again at any daemon of a fleet larger than its shards."""

        async def change(_fleet):
            pass

        self.run_crashes(change)

    def test_replaced_daemons_learn_of_earlier_crashes(self):
        """All daemons that saw the crashes are gone when the request comes again."""

        async def change(fleet):
            for daemon in fleet.daemons:
                await daemon.close()
            count = len(fleet.daemons)
            fleet.daemons.clear()
            fleet.store.log._members.clear()
            for number in range(count):
                daemon = await fleet.add_daemon(f"n{number}")
                await fleet.wait_until(lambda d=daemon: fleet.is_ready(d, 6))

        self.run_crashes(change, daemons=4, rounds=2)

    def test_failure_response_does_not_clear_a_crashing_request(self):
        """An endpoint that fails some of its requests answers without running them."""

        async def scenario(fleet):
            crashing = CrashingFleet(fleet)
            for server in fleet.servers:
                server.fails_all_with = 500
            for number, daemon in enumerate(fleet.daemons):
                self.assertEqual(500, await crashing.send(daemon, 50 + number))
            for server in fleet.servers:
                server.fails_all_with = 0
            await crashing.crash_three()
            before = crashing.crashes
            await crashing.send_to_all(0)
            self.assertLessEqual(crashing.crashes - before, MAX_RETRIES_AFTER)

        self.run_scenario(scenario, daemons=4, servers=6)


class ItemUnderCrashesTest(PlatformTest):
    """Batch items under which servers crashed by chance."""

    def test_item_under_which_servers_crashed_is_still_placed(self):
        """Items are never refused, however many servers end while they run."""

        async def scenario(fleet):
            crashing = CrashingFleet(fleet)
            for server in fleet.servers:
                server.is_holding = True
            bodies = ["events=20", "events=4", "events=5"]
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j1", bodies))
            for _ in range(CRASHES_BY_CHANCE):
                await fleet.wait_until(lambda: server_running(fleet, "j1-0"))
                crashing.crash(server_running(fleet, "j1-0"))
                await crashing.settle()
            for server in fleet.servers:
                server.is_holding = False
            results = await fleet.wait_for_results(fleet.daemons[0], "j1")
            self.assertEqual({"done"}, {state for state, _ in results.values()})
            text = "\n".join(f"j1-0-{e}" for e in range(20))
            self.assertEqual(text, results["j1-0"][1])

        self.run_scenario(scenario, servers=4, step_s=0.01)


def server_running(fleet: PlatformFleet, item: str) -> ModelServer | None:
    """Return the server that runs an item now, if any."""
    return next((s for s in fleet.servers if item in s.running_ids), None)
