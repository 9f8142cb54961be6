"""Servers that name a limit on requests, beneath a whole fleet."""

import asyncio
import time

from parameterized import parameterized

from standins.platform import ModelServer

from .test_platform_fleet import PlatformTest

SERVERS = 4
LIMIT_PER_S = 2.0
# The users' rule: one and a half times the limit in any four seconds, and five more.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# The rule counts from then on; a daemon restarts within the users' bounds by then.
LEARN_S = 3.0
RUN_S = 9.0


def most_in_window(times_s: list[float], from_s: float) -> int:
    """Return the most of the times that lie within a window after `from_s`."""
    counted = sorted(at_s for at_s in times_s if at_s >= from_s)
    return max(
        (sum(1 for t in counted if at_s <= t < at_s + WINDOW_S) for at_s in counted),
        default=0,
    )


class LimitTest(PlatformTest):
    """A limit holds over all daemons together, and the rest is served elsewhere."""

    def check_limits(self, servers: list[ModelServer], named_s: float) -> None:
        """Check the users' rule."""
        for server in servers:
            most = most_in_window(server.arrived_s, named_s + LEARN_S)
            self.assertLessEqual(most, ALLOWED)

    @parameterized.expand([("half of the servers", 2), ("all servers", SERVERS)])
    def test_limited_servers_get_no_more_than_they_named(self, _name, limited):
        """The sum over all daemons keeps the limit."""

        async def scenario(fleet):
            for server in fleet.servers[:limited]:
                server.limit = str(LIMIT_PER_S)
            named_s = time.monotonic()
            statuses = await self.send_load(fleet, named_s + RUN_S)
            self.check_limits(fleet.servers[:limited], named_s)
            if limited < SERVERS:
                self.assertEqual({200}, set(statuses))
            else:
                self.assertEqual({200, 503}, set(statuses))

        self.run_scenario(scenario, daemons=3, servers=SERVERS, step_s=0.02)

    @parameterized.expand([("killed",), ("silent",), ("leaving",), ("replaced",)])
    def test_limit_holds_while_the_owner_is(self, change):
        """Daemons grant themselves slots, and a new owner starts without a burst."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.limit = str(LIMIT_PER_S)
            named_s = time.monotonic()
            load = asyncio.ensure_future(
                self.send_load(
                    fleet, named_s + RUN_S, lambda: [d for d in fleet.daemons if d]
                )
            )
            await asyncio.sleep(LEARN_S)
            owner = next(d for d in fleet.daemons if d.slots._is_owned("llm"))
            if change == "silent":
                owner.slots.handle_message = lambda connection, message: None
            else:
                fleet.daemons.remove(owner)
                if change == "leaving":
                    await owner.shards.leave()
                await owner.close()
            if change == "replaced":
                await fleet.add_daemon("d9")
            statuses = await load
            self.check_limits(fleet.servers, named_s)
            self.assertIn(200, statuses[-len(statuses) // 4 :])

        self.run_scenario(scenario, daemons=4, servers=SERVERS, step_s=0.02)

    def test_whole_load_returns_after_the_limit(self):
        """No daemon keeps to a limit that no server names any more."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.limit = "1"
            await self.send_load(fleet, time.monotonic() + 2.0)
            for server in fleet.servers:
                server.limit = ""
            await self.send_load(fleet, time.monotonic() + 6.0)
            self.assertEqual(
                [0, 0, 0], [len(d.slots.tables.limits) for d in fleet.daemons]
            )
            statuses = await self.send_load(fleet, time.monotonic() + 1.0)
            self.assertEqual({200}, set(statuses))

        self.run_scenario(scenario, daemons=3, servers=SERVERS, step_s=0.02)

    @parameterized.expand([("many",), ("-1",), ("1e9",), ("2,2",), ("nan",)])
    def test_limit_that_makes_no_sense_changes_nothing(self, limit):
        """All requests are served by a server that names it."""

        async def scenario(fleet):
            fleet.servers[0].limit = limit
            statuses = await self.send_load(fleet, time.monotonic() + 1.0)
            self.assertEqual({200}, set(statuses))

        self.run_scenario(scenario, daemons=2, servers=1)

    def test_batch_job_ends_at_limited_servers(self):
        """Its items wait for sends; each runs once."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.limit = "3"
            bodies = ["events=3"] * 6
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j1", bodies))
            results = await fleet.wait_for_results(fleet.daemons[1], "j1")
            self.assertEqual({"done"}, {state for state, _ in results.values()})
            self.assertEqual(6, len(fleet.runs))

        self.run_scenario(scenario)

    def test_server_that_refuses_for_its_limit_is_not_ejected(self):
        """It is in need, not failing; the requests go to the other one."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.limit = "100"
            fleet.servers[0].refuses_all = True
            load = asyncio.ensure_future(self.send_load(fleet, time.monotonic() + 1.5))
            ejected = set()
            while not load.done():
                for daemon in fleet.daemons:
                    now_s = daemon.clock.now_s()
                    ejected |= daemon.view.endpoints.ejected("llm", now_s)
                    ejected |= set(daemon.slots.tables.statuses)
                await asyncio.sleep(0.01)
            self.assertEqual({200}, set(load.result()))
            self.assertEqual(set(), ejected)
            self.assertGreater(len(fleet.servers[0].arrived_s), 5)

        self.run_scenario(scenario, servers=SERVERS)
