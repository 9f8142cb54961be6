"""Configurations and listings that take away what requests wait for or run on."""

import asyncio

from parameterized import parameterized

from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic
from standins.platform import SLOTS_PER_SERVER, make_configuration, write_configuration

from .test_platform_fleet import PlatformTest

EVENTS = 40
KEYS = {"small": ["k1"], "large": ["k2"]}


def change_configuration(version: int, change: str) -> dict:
    """Return a configuration in which something is gone or smaller."""
    keys = {"large": ["k2"]} if change == "team" else KEYS
    configuration = make_configuration(version, keys)
    if change == "routes":
        configuration["routes"] = []
    elif change == "key":
        configuration["tenants"][0]["api_keys"] = ["k9"]
    elif change == "rate":
        configuration["tenants"][0] |= {"rate_per_s": 0.1, "burst": 1}
    elif change == "service":
        configuration["services"] = [{"name": "other"}]
        for route in configuration["routes"]:
            route["service"] = "other"
    elif change == "slots":
        configuration["services"][0]["engine"]["slots"] = 1
    elif change == "time limit":
        for route in configuration["routes"]:
            route["timeout_ms"] = 100
    elif change == "limits":
        configuration["limits"] = {
            "max_header_bytes": 100,
            "max_body_bytes": 1,
            "header_timeout_ms": 50,
            "idle_timeout_ms": 50,
        }
    return configuration


class ConfigurationChangeTest(PlatformTest):
    """Each request that was read before the change gets an answer after it."""

    async def start_calls(self, fleet) -> tuple[list, list, list]:
        """Start streams, requests that wait for slots, and reads of a job that wait.

        The slots are all taken by the streams.
        """
        self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", ["events=900"]))
        await fleet.wait_until(lambda: fleet.runs)

        def call(number: int, path: str):
            daemon = fleet.daemons[number % len(fleet.daemons)]
            body = b"events=%d" % EVENTS
            return asyncio.ensure_future(
                fleet.call(daemon, "POST", path, body, attempt_id=f"{path}{number}")
            )

        streams = [call(n, "/s/1") for n in range(SLOTS_PER_SERVER)]
        server = fleet.servers[0]
        online = {f"/s/1{n}" for n in range(SLOTS_PER_SERVER)}
        await fleet.wait_until(lambda: online <= server.running_ids)
        waiting = [call(n, path) for n in range(4) for path in ("/s/2", "/u/1")]
        reads = [
            asyncio.ensure_future(
                fleet.call(daemon, "GET", "/-/lots/j?after=0", wait_ms="1000")
            )
            for daemon in fleet.daemons
        ]
        await asyncio.sleep(0.15)
        return streams, waiting, reads

    @parameterized.expand(
        [
            (change,)
            for change in (
                "routes",
                "team",
                "key",
                "rate",
                "service",
                "slots",
                "time limit",
                "limits",
            )
        ]
    )
    def test_configuration_leaves_no_request_unanswered(self, change):
        """Streams end whole; what waits is answered or refused."""

        async def scenario(fleet):
            streams, waiting, reads = await self.start_calls(fleet)
            value = change_configuration(2, change)
            await write_configuration(fleet.store_address, value)
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: d.view.configuration.version == 2
                )
            await self.check_answers(streams, waiting, reads)

        self.run_scenario(scenario, servers=1, step_s=0.02)

    @parameterized.expand([("removed", None), ("draining", "draining")])
    def test_unlisted_endpoint_leaves_no_request_unanswered(self, _name, state):
        """It goes on with what it has; what waits for it is refused."""

        async def scenario(fleet):
            streams, waiting, reads = await self.start_calls(fleet)
            record = KeyedRecord(b"i-0", None)
            if state is not None:
                topic = Topic("keyed.servers")
                (listed,) = (await fleet.store.log.read_newest(topic, 0)).records
                value = listed.value.replace(b'"ready"', b'"draining"')
                record = KeyedRecord(b"i-0", value)
            await fleet.store.log.append(Topic("keyed.servers"), 0, [record], None)
            await self.check_answers(streams, waiting, reads)

        self.run_scenario(scenario, servers=1, step_s=0.02)

    async def check_answers(self, streams: list, waiting: list, reads: list) -> None:
        """Check the answers; a call that gets none raises."""
        for response in await asyncio.gather(*streams):
            events = response.body.count(b"data: ")
            self.assertEqual((200, EVENTS), (response.status, events))
        for response in await asyncio.gather(*waiting):
            self.assertIn(response.status, (200, 503))
            if response.status == 200:
                self.assertEqual(EVENTS, response.body.count(b"data: "))
        for response in await asyncio.gather(*reads):
            self.assertIn(response.status, (200, 401, 503))
