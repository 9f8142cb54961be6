"""Servers that are all silent for a while and then go on, beneath a whole fleet."""

import asyncio

from parameterized import parameterized

from apricotquay.serving.online import timeouts
from standins.platform import make_configuration, write_configuration

from .test_platform_fleet import PlatformFleet, PlatformTest

SILENCE_LIMIT_S = 0.1
SILENCE_S = 0.5
EVENTS = 20
WHOLE = {"kind": "safe", "resumable": False}


class SilentServersTest(PlatformTest):
    """Silence is no failure: a caller gets the whole answer once a server goes on."""

    async def configure(self, fleet: PlatformFleet, **route) -> None:
        """Change the streaming route at all daemons."""
        configuration = make_configuration(2, {"small": ["k1"]}, **route)
        await write_configuration(fleet.store_address, configuration)
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)

    def start_call(self, fleet: PlatformFleet, number: int) -> asyncio.Task:
        """Start a request at one of the daemons."""
        daemon = fleet.daemons[number % len(fleet.daemons)]
        body = b"events=%d" % EVENTS
        return asyncio.ensure_future(
            fleet.call(daemon, "POST", "/s/1", body, attempt_id=f"a{number}")
        )

    async def hold_all_servers(self, fleet: PlatformFleet) -> None:
        """Silence all servers for longer than the limits of all attempts."""
        for server in fleet.servers:
            server.is_holding = True
        await asyncio.sleep(SILENCE_S)
        for server in fleet.servers:
            server.is_holding = False

    @parameterized.expand(
        [
            (f"{name}, {max_attempts} attempts", max_attempts, is_under_way, fields)
            for max_attempts in (1, 2)
            for name, is_under_way, fields in (
                ("stream before its first event", False, {}),
                ("stream under way", True, {}),
                ("whole answer", False, WHOLE),
            )
        ]
    )
    def test_answer_of_silent_servers_is_neither_cut_nor_replaced_by_502(
        self, _name, max_attempts, is_under_way, fields
    ):
        """No attempt is left that could replace the last one."""
        self.patch(timeouts, "MAX_FIRST_EVENT_TIMEOUT_S", SILENCE_LIMIT_S)
        self.patch(timeouts, "MAX_PAUSE_TIMEOUT_S", SILENCE_LIMIT_S)

        async def scenario(fleet):
            await self.configure(fleet, max_attempts=max_attempts, **fields)
            if is_under_way:
                calls = [self.start_call(fleet, n) for n in range(4)]
                await fleet.wait_until(lambda: sent_event_count(fleet) >= EVENTS)
                await self.hold_all_servers(fleet)
            else:
                holding = asyncio.ensure_future(self.hold_all_servers(fleet))
                await fleet.wait_until(lambda: fleet.servers[-1].is_holding)
                calls = [self.start_call(fleet, n) for n in range(4)]
                await holding
            for response in await asyncio.gather(*calls):
                self.assertEqual(200, response.status)
                self.assertEqual(EVENTS, response.body.count(b"data: "))

        self.run_scenario(scenario, step_s=0.02)


def sent_event_count(fleet: PlatformFleet) -> int:
    """Return how many events all servers have sent."""
    return sum(server.sent_event_count for server in fleet.servers)
