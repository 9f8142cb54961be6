"""A part of prompts that crashes the servers that begin to run it, in whole fleets."""

import asyncio
import contextlib
import itertools
import random

from parameterized import parameterized

from apricotquay.serving.crashes.crashlog import CRASHES
from apricotquay.serving.fleet.keyedlog import Shard

from .test_platform_crashes import CrashingFleet
from .test_platform_fleet import PlatformFleet, PlatformTest

# Requests with such a part that may still reach servers after the fifth crash.
MAX_SENDS_AFTER = 3
FIFTH_CRASH = 5
MAX_SENDS_BEFORE = 12
LEARN_TIMEOUT_S = 10.0
SERVERS = 8
# More daemons than the group has shards, so that some own none.
MANY_DAEMONS = 20


class PartCallers:
    """Sends sound and crashing requests, of which no two are alike.

    `shared_parts` begin the prompts of both; a crashing request has its part at
    `position` among them.
    """

    def __init__(
        self, fleet: PlatformFleet, crashing: CrashingFleet, position: int
    ) -> None:
        self.crashing: CrashingFleet = crashing
        self.sound_statuses: list[int] = []
        self._fleet: PlatformFleet = fleet
        self._position: int = position
        self._numbers = itertools.count(1)
        self._shared_parts: list[str] = ["aa", "bb"]
        self._rng = random.Random(0)

    async def send_crashing(self, daemon, part: str) -> int:
        """Send a request with the part; return its status, 0 if it has none."""
        parts = list(self._shared_parts)
        parts.insert(self._position, part)
        with contextlib.suppress(Exception):
            return await self._send(daemon, parts)
        return 0

    async def send_sound(self, daemon) -> None:
        """Send a request with the other parts and keep its status."""
        self.sound_statuses.append(await self._send(daemon, self._shared_parts))

    async def _send(self, daemon, parts: list[str]) -> int:
        number = next(self._numbers)
        response = await self._fleet.call(
            daemon,
            "POST",
            f"/s/{number}",
            f"events=2&x={number}".encode(),
            attempt_id=f"r{number}",
            model="m",
            prompt_prefix=",".join(f"{p}:100" for p in [*parts, f"{number:x}"]),
        )
        return response.status

    async def send_round(self, daemon, parts: list[str], at_a_time: int = 1) -> None:
        """Send a crashing request for each part at once, and two sound ones."""
        await self.send_sound(daemon)
        sends = (
            self.send_crashing(daemon, part) for part in parts for _ in range(at_a_time)
        )
        await asyncio.gather(*sends)
        await self.crashing.settle()
        await self.send_sound(daemon)

    async def send_until_fifth_crash(self, parts: list[str], at_a_time: int) -> None:
        """Send rounds to random daemons until each part has crashed five servers."""
        for _ in range(MAX_SENDS_BEFORE):
            daemon = self._rng.choice(self._fleet.daemons)
            await self.send_round(daemon, parts, at_a_time)
            if min(self.reached(part) for part in parts) >= FIFTH_CRASH:
                return

    def reached(self, part: str) -> int:
        """Return how many requests with a crashing part have reached servers."""
        return sum(1 for run in self._fleet.runs if part in run["parts"][:-1])


class CrashingPartTest(PlatformTest):
    """Requests with a part that still reach servers after the fifth crash."""

    def run_crashes(
        self,
        position: int,
        *,
        parts: tuple[str, ...] = ("dead",),
        daemons: int = 3,
        at_a_time: int = 1,
        events_before_crash: int = 0,
        change=None,
    ) -> None:
        """Crash five servers for each part; change the fleet; send to each daemon."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.crashing_parts = frozenset(parts)
                server.events_before_crash = events_before_crash
            callers = PartCallers(fleet, CrashingFleet(fleet), position)
            for daemon in fleet.daemons:
                await callers.send_sound(daemon)
            await callers.send_until_fifth_crash(list(parts), at_a_time)
            if change is not None:
                await change(fleet)
            await self.wait_until_all_read(fleet)
            before = {p: max(FIFTH_CRASH, callers.reached(p)) for p in parts}
            for daemon in fleet.daemons:
                await callers.send_round(daemon, list(parts), at_a_time)
                sent_after = max(callers.reached(p) - before[p] for p in parts)
                self.assertLessEqual(sent_after, MAX_SENDS_AFTER)
            self.assertEqual({200}, set(callers.sound_statuses))

        self.run_scenario(scenario, daemons=daemons, servers=SERVERS)

    async def wait_until_all_read(self, fleet) -> None:
        """Wait until all daemons have read all crash records."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEARN_TIMEOUT_S):
                while not all(self.has_read_all(fleet, d) for d in fleet.daemons):
                    await asyncio.sleep(0.02)

    def has_read_all(self, fleet, daemon) -> bool:
        """Whether a daemon has read all crash records and has none to append."""
        records = fleet.store.log._partitions.get(Shard(CRASHES, 0), [])
        newest = {record.key: record.value for record in records}
        stored = {key for key, value in newest.items() if value}
        crash_log = daemon.crash_log
        return stored <= crash_log._known.keys() and not crash_log._pending

    @parameterized.expand([("first", 0), ("in the middle", 1), ("last shared", 2)])
    def test_part_that_crashes_servers_is_refused(self, _name, position):
        """No two requests are alike, and sound ones share all other parts."""
        self.run_crashes(position)

    @parameterized.expand([("first", 0), ("in the middle", 1)])
    def test_daemons_that_own_no_shard_learn_of_the_part(self, _name, position):
        """The part comes at any daemon of a fleet larger than its shards."""
        self.run_crashes(position, daemons=MANY_DAEMONS)

    @parameterized.expand([("first", 0), ("in the middle", 1)])
    def test_three_parts_at_once_are_refused(self, _name, position):
        """Each of three parts crashes servers at the same time."""
        self.run_crashes(position, parts=("dead1", "dead2", "dead3"))

    @parameterized.expand([("first", 0), ("in the middle", 1)])
    def test_part_that_comes_three_at_a_time_is_refused(self, _name, position):
        """Requests that have only the crashing part in common run at a time."""
        self.run_crashes(position, at_a_time=3)

    def test_part_that_crashes_servers_in_their_streams_is_refused(self):
        """The response begins before the server ends."""
        self.run_crashes(1, events_before_crash=2)

    def test_retries_of_one_request_end_two_servers_at_most(self):
        """The route allows three attempts."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.crashing_parts = frozenset(["dead"])
            callers = PartCallers(fleet, CrashingFleet(fleet), 1)
            for sends in (2, 1, 1, 1, 1):
                before = callers.reached("dead")
                await callers.send_round(fleet.daemons[0], ["dead"])
                await self.wait_until_all_read(fleet)
                self.assertLessEqual(callers.reached("dead") - before, sends)
            self.assertLessEqual(callers.reached("dead"), FIFTH_CRASH)
            self.assertEqual({200}, set(callers.sound_statuses))

        self.run_scenario(scenario, servers=SERVERS)

    @parameterized.expand([("first", 0), ("in the middle", 1)])
    def test_replaced_daemons_learn_of_the_part(self, _name, position):
        """All daemons that saw the crashes are gone when the part comes again."""

        async def change(fleet):
            for daemon in fleet.daemons:
                await daemon.close()
            count = len(fleet.daemons)
            fleet.daemons.clear()
            fleet.store.log._members.clear()
            for number in range(count):
                daemon = await fleet.add_daemon(f"n{number}")
                await fleet.wait_until(lambda d=daemon: fleet.is_ready(d, SERVERS))

        self.run_crashes(position, change=change)
