"""Servers that name a limit on requests, beneath a whole fleet."""

import asyncio
import itertools
import time

from parameterized import parameterized

from .test_platform_fleet import PlatformFleet, PlatformTest

SERVERS = 4
LIMIT_PER_S = 2.0
# The users' rule: one and a half times the limit in any four seconds, and five more.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# The rule counts from then on; a daemon restarts within the users' bounds by then.
LEARN_S = 3.0
RUN_S = 9.0
REQUEST_INTERVAL_S = 0.02


def most_in_window(times_s: list[float], from_s: float) -> int:
    """Return the most of the times that lie within a window after `from_s`."""
    counted = sorted(at_s for at_s in times_s if at_s >= from_s)
    return max(
        (sum(1 for t in counted if at_s <= t < at_s + WINDOW_S) for at_s in counted),
        default=0,
    )


class LimitTest(PlatformTest):
    """A limit holds over all daemons together, and the rest is served elsewhere."""

    async def send_load(self, fleet: PlatformFleet, until_s: float) -> list[int]:
        """Send requests to all daemons in turn; return their statuses."""
        calls = []
        numbers = itertools.count()
        while time.monotonic() < until_s:
            number = next(numbers)
            daemon = fleet.daemons[number % len(fleet.daemons)]
            target = f"/s/{number}"
            calls.append(
                asyncio.ensure_future(
                    fleet.call(
                        daemon, "POST", target, b"events=4", attempt_id=f"r{number}"
                    )
                )
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return [response.status for response in await asyncio.gather(*calls)]

    @parameterized.expand([("half of the servers", 2), ("all servers", SERVERS)])
    def test_limited_servers_get_no_more_than_they_named(self, _name, limited):
        """The sum over all daemons keeps the limit."""

        async def scenario(fleet):
            for server in fleet.servers[:limited]:
                server.limit = str(LIMIT_PER_S)
            named_s = time.monotonic()
            statuses = await self.send_load(fleet, named_s + RUN_S)
            for server in fleet.servers[:limited]:
                most = most_in_window(server.arrived_s, named_s + LEARN_S)
                self.assertLessEqual(most, ALLOWED)
            if limited < SERVERS:
                self.assertEqual({200}, set(statuses))
            else:
                self.assertEqual({200, 503}, set(statuses))

        self.run_scenario(scenario, daemons=3, servers=SERVERS, step_s=0.02)
