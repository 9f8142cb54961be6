"""Batch items that wait for slots while the configuration or the time goes on."""

import asyncio
import json

from parameterized import parameterized

from standins.platform import SLOTS_PER_SERVER, make_configuration, write_configuration

from .test_platform_fleet import PlatformTest

ITEMS = 4
ZONES = {"zn": "north", "zs": "south"}
# Holds the slots for as long as a test takes.
LONG_TIMEOUT_MS = 120_000
# Items wait for slots well before it ends.
RETENTION_S = 4


def change_configuration(version: int, change: str = "") -> dict:
    """Return a configuration whose batch route is changed."""
    value = make_configuration(version, {"small": ["k1"]})
    for route in value["routes"]:
        route["timeout_ms"] = LONG_TIMEOUT_MS
        route["allowed_regions"] = ["north"]
    value["services"].append({"name": "other"})
    batch = value["routes"][1]
    if change == "service":
        batch |= {"service": "other"}
    elif change == "regions":
        batch |= {"allowed_regions": ["south"]}
    elif change == "no route":
        value["routes"].remove(batch)
    elif change == "retention":
        batch |= {"retention_s": RETENTION_S}
    return value


class ItemWaitTest(PlatformTest):
    """The slots of the only server that the items may use at first are all taken."""

    async def start(self, fleet, first_change: str) -> list[asyncio.Task]:
        """Start the fleet, and requests that hold the slots."""
        value = change_configuration(2, first_change)
        await write_configuration(fleet.store_address, value)
        await fleet.add_server("full", 0.001, zone="zn")
        await fleet.add_server("south", 0.001, zone="zs")
        await fleet.add_server("other", 0.001, zone="zn", service="other")
        for number in range(2):
            await fleet.add_daemon(
                f"r{number}", availability_zone="zn", region="north", zones=ZONES
            )
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: fleet.is_ready(d, 2))
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)
        holding = [
            asyncio.ensure_future(
                fleet.call(
                    fleet.daemons[0],
                    "POST",
                    "/u/1",
                    b"hang=1",
                    attempt_id=f"held-{number}",
                    deadline_ms=str(LONG_TIMEOUT_MS),
                )
            )
            for number in range(SLOTS_PER_SERVER)
        ]
        await fleet.wait_until(lambda: fleet.servers[0].running == SLOTS_PER_SERVER)
        return holding

    def count_waiting(self, fleet) -> int:
        """Return how many tickets wait for the slots of the first service."""
        tables = [daemon.slots.tables.table("llm") for daemon in fleet.daemons]
        return sum(table.waiting_count for table in tables)

    async def wait_until_listed(self, fleet) -> set[str]:
        """Wait until all items are listed and return their states."""
        daemon = fleet.daemons[0]
        while True:
            response = await fleet.call(daemon, "GET", "/-/lots/j?after=0")
            page = json.loads(response.body)
            if response.status == 200 and page["next"] == ITEMS:
                return {result["state"] for result in page["results"]}
            await asyncio.sleep(0.05)

    @parameterized.expand(
        [
            ("service", "", "service", {"done"}, {"other"}),
            ("regions", "", "regions", {"done"}, {"south"}),
            ("no route", "", "no route", {"dead_letter"}, set()),
            ("retention", "retention", "retention", {"dead_letter"}, set()),
        ]
    )
    def test_item_does_not_wait_for_a_slot_that_it_may_not_use_any_more(
        self, _name, first, change, states, servers
    ):
        """Once the configuration changes, or its time is over, it is not sent there."""

        async def scenario(fleet):
            holding = await self.start(fleet, first)
            self.assertEqual(
                202, await fleet.submit(fleet.daemons[0], "j", ["events=2"] * ITEMS)
            )
            await fleet.wait_until(lambda: self.count_waiting(fleet) == ITEMS)
            value = change_configuration(3, change)
            await write_configuration(fleet.store_address, value)
            self.assertEqual(states, await self.wait_until_listed(fleet))
            items = [run for run in fleet.runs if run["ran"].startswith("j-")]
            self.assertEqual(servers, {run["server"] for run in items})
            for call in holding:
                call.cancel()
            await asyncio.gather(*holding, return_exceptions=True)

        self.run_scenario(scenario, daemons=0, servers=0)
