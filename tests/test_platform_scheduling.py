"""Priority and fair shares of teams, from configuration to endpoint."""

import asyncio
import json

from parameterized import parameterized

from apricotquay.ids import RouteName, TeamId
from apricotquay.serving.catalog import Route, RouteKind, Team
from apricotquay.serving.slots.schedulingterms import scheduling_terms
from standins.platform import (
    SLOTS_PER_SERVER,
    make_configuration,
    write_configuration,
)

from .base import ApricotTest
from .test_platform_fleet import PlatformFleet, PlatformTest

WAITING_OF_LARGE = 8
LONG_MS = 60_000


def team(**fields) -> Team:
    """Return a team."""
    return Team(TeamId("t"), frozenset(), **fields)


class TermsTest(ApricotTest):
    """The fields that requests for slots get."""

    @parameterized.expand(
        [
            ("of the route", 3, team(), 3, 1.0),
            ("of the team", 3, team(priority=1), 1, 1.0),
            ("of the team, 0", 3, team(priority=0), 0, 1.0),
            ("weight", 0, team(rate_per_s=12.5), 0, 12.5),
            ("rate without a limit", 0, team(rate_per_s=0.0), 0, 1.0),
            ("invalid rate", 0, team(rate_per_s=-1.0), 0, 1.0),
            ("no team", 2, None, 2, 1.0),
        ]
    )
    def test_priority_and_weight_follow_the_configuration(
        self, _name, route_priority, of_team, priority, weight
    ):
        """The values were read and never used."""
        kind = RouteKind.SAFE
        route = Route(RouteName("r"), "h", "/", kind, (), priority=route_priority)
        terms = scheduling_terms(route, of_team)
        self.assertEqual((priority, weight), (terms.priority, terms.weight))
        self.assertEqual("t" if of_team else "", terms.team)


class SchedulingFleetTest(PlatformTest):
    """Who gets the slots of a server that all want."""

    def test_small_team_and_high_class_pass_a_large_team_that_waits(self):
        """By deadline alone they would be served after all of its requests."""

        async def scenario(fleet):
            await self.configure(fleet)
            server = fleet.servers[0]
            calls = [self.start_call(fleet, n, "k2") for n in range(SLOTS_PER_SERVER)]
            await fleet.wait_until(
                lambda: server.sent_event_count >= 2 * SLOTS_PER_SERVER
            )
            server.is_holding = True
            first = SLOTS_PER_SERVER
            for number in range(WAITING_OF_LARGE):
                calls.append(self.start_call(fleet, first + number, "k2"))
            await fleet.wait_until(lambda: waiting(fleet) == WAITING_OF_LARGE)
            calls.append(self.start_call(fleet, 100, "k1"))
            calls.append(self.start_call(fleet, 101, "k3"))
            await fleet.wait_until(lambda: waiting(fleet) == WAITING_OF_LARGE + 2)
            server.is_holding = False
            for response in await asyncio.gather(*calls):
                self.assertEqual(200, response.status)
            next_teams = [run["tenant"] for run in fleet.runs[SLOTS_PER_SERVER:]][:4]
            self.assertIn("vip", next_teams)
            self.assertIn("small", next_teams)

        self.run_scenario(scenario, servers=1, step_s=0.02)

    async def configure(self, fleet: PlatformFleet) -> None:
        """Write a configuration with a team of each kind; wait until it is known."""
        keys = {"small": ["k1"], "large": ["k2"], "vip": ["k3"]}
        value = make_configuration(2, keys, target_latency_ms=LONG_MS, priority=1)
        for tenant in value["tenants"]:
            if tenant["name"] == "vip":
                tenant["priority"] = 0
        await write_configuration(fleet.store_address, value)
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)

    def start_call(self, fleet: PlatformFleet, number: int, key: str) -> asyncio.Future:
        """Send a request to a daemon."""
        daemon = fleet.daemons[number % len(fleet.daemons)]
        call = fleet.call(
            daemon,
            "POST",
            f"/s/{number}",
            b"events=20",
            key=key,
            attempt_id=f"r{number}",
        )
        return asyncio.ensure_future(call)


class MemoryFleetTest(PlatformTest):
    """Requests and items whose size is stated, at a server of known memory."""

    MEMORY = 1_000

    @parameterized.expand(
        [
            ("fits", "400,600", 200),
            ("larger than the memory", "400,601", 421),
            ("malformed", "401;600", 200),
        ]
    )
    def test_request_larger_than_the_memory_reaches_no_server(
        self, _name, usage, status
    ):
        """It has not run, and no time is named at which it could."""

        async def scenario(fleet):
            await self.configure(fleet)
            response = await fleet.call(
                fleet.daemons[0], "POST", "/s/1", b"", attempt_id="a", token_usage=usage
            )
            self.assertEqual(status, response.status)
            self.assertEqual(status == 200, bool(fleet.runs))
            names = [name for name, _ in response.headers]
            self.assertNotIn(b"retry-after", names)
            metrics = fleet.daemons[0].metrics.render()
            self.assertEqual(status == 421, "memory_exceeded 1" in metrics)
            is_counted = "token_usage_malformed 1" in metrics
            self.assertEqual(";" in usage, is_counted)

        self.run_scenario(scenario, daemons=1, servers=1)

    def test_item_larger_than_the_memory_reaches_no_server_and_others_run(self):
        """It would be sent for ever, or listed as given up though it is still owed."""

        async def scenario(fleet):
            await self.configure(fleet)
            daemon = fleet.daemons[0]
            await self.submit_sized(fleet, ["900,200", "100,200", "oops"])
            listed = {}
            while set(listed) != {"j-1", "j-2"}:
                page = await fleet.call(daemon, "GET", "/-/lots/j?after=0")
                results = json.loads(page.body)["results"]
                listed = {r["id"]: r["state"] for r in results}
                self.assertNotIn("j-0", listed)
                await asyncio.sleep(0.05)
            self.assertEqual({"done"}, set(listed.values()))
            await fleet.wait_until(
                lambda: "apricotquay_memory_exceeded" in daemon.metrics.render()
            )
            self.assertNotIn("j-0", [run["ran"] for run in fleet.runs])

        self.run_scenario(scenario, daemons=1, servers=1)

    def test_item_larger_than_the_memory_ends_with_its_time(self):
        """Its job would stay open for ever."""

        async def scenario(fleet):
            await self.configure(fleet, retention_s=1)
            await self.submit_sized(fleet, ["900,200"])
            results = await fleet.wait_for_results(fleet.daemons[0], "j")
            self.assertEqual("dead_letter", results["j-0"][0])
            self.assertEqual([], fleet.runs)

        self.run_scenario(scenario, daemons=1, servers=1)

    async def submit_sized(self, fleet: PlatformFleet, usages: list[str]) -> None:
        """Submit the job j whose items state these sizes."""
        items = [
            {
                "id": f"j-{n}",
                "path": "/b/1",
                "headers": {"Token-Usage": usage},
                "body": "",
                "tokens": 1,
            }
            for n, usage in enumerate(usages)
        ]
        data = json.dumps({"items": items}).encode()
        response = await fleet.call(
            fleet.daemons[0], "POST", "/b/job", data, attempt_id="j"
        )
        self.assertEqual(202, response.status)

    async def configure(self, fleet: PlatformFleet, **batch_route) -> None:
        """Write a configuration with a memory; wait until it is known."""
        value = make_configuration(2, {"small": ["k1"]})
        value["routes"][1] |= batch_route
        value["services"][0]["engine"]["kv_cache_tokens"] = self.MEMORY
        await write_configuration(fleet.store_address, value)
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)


def waiting(fleet: PlatformFleet) -> int:
    """Return how many tickets wait at the owner of the slots."""
    return sum(d.slots.tables.table("llm").waiting_count for d in fleet.daemons)
