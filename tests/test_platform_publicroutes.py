"""Calls that find their team by the key, on routes that are public or become so."""

import base64
import json

from parameterized import parameterized

from standins.platform import make_configuration, write_configuration

from .test_platform_fleet import PlatformFleet, PlatformTest

KEYS = {"small": ["k1"], "large": ["k2"]}
UNKNOWN_KEY = "k7"
NO_KEY = ""
ITEMS = 3
EVENTS = 4
BURST = 2


def public_configuration(version: int, *, is_public: bool) -> dict:
    """Return a configuration whose routes are all public, or none of them."""
    value = make_configuration(version, KEYS)
    for route in value["routes"]:
        route["public"] = is_public
    return value


class PublicRouteTest(PlatformTest):
    """Whole fleets of two daemons."""

    async def configure(
        self, fleet: PlatformFleet, version: int, *, is_public: bool
    ) -> None:
        """Write a configuration and wait until all daemons use it."""
        value = public_configuration(version, is_public=is_public)
        await write_configuration(fleet.store_address, value)
        for daemon in fleet.daemons:
            await fleet.wait_until(
                lambda d=daemon: d.view.configuration.version == version
            )

    async def submit(self, fleet: PlatformFleet, key: str) -> int:
        """Submit a job with a key, or without one, and return the status."""
        items = [
            {
                "id": f"j-{number}",
                "path": f"/b/{number}",
                "headers": {"Model": "m"},
                "body": base64.b64encode(b"events=%d" % EVENTS).decode(),
                "tokens": 10,
            }
            for number in range(ITEMS)
        ]
        data = json.dumps({"items": items}).encode()
        daemon = fleet.daemons[0]
        response = await fleet.call(
            daemon, "POST", "/b/job", data, attempt_id="j", key=key
        )
        return response.status

    async def call_job(self, fleet: PlatformFleet, key: str) -> list[int]:
        """Read the job and a body, and end the job, at each daemon; return the
        statuses, each once.
        """
        calls = [
            ("GET", "/-/lots/j?after=0"),
            ("GET", "/-/items/j?id=j-0"),
            ("DELETE", "/-/lots/j"),
        ]
        responses = [
            await fleet.call(daemon, method, target, key=key)
            for method, target in calls
            for daemon in fleet.daemons
        ]
        return sorted({response.status for response in responses})

    async def wait_until_run(self, fleet: PlatformFleet) -> None:
        """Wait until the items have run."""
        await fleet.wait_until(lambda: len(fleet.runs) >= ITEMS)

    @parameterized.expand(
        [
            ("public", True, "k1", True, "k1", 200),
            ("public, closed later", True, "k1", False, "k1", 200),
            ("made public later", False, "k1", True, "k1", 200),
            ("made public later, no key", False, "k1", True, NO_KEY, 401),
            ("public, another team", True, "k1", True, "k2", 404),
            ("public, job of a team, no key", True, "k1", True, NO_KEY, 401),
            ("public, job of a team, bad key", True, "k1", True, UNKNOWN_KEY, 401),
            ("public, no key", True, NO_KEY, True, NO_KEY, 200),
            ("public, no key, then one", True, NO_KEY, True, "k1", 200),
            ("public, no key, closed later", True, NO_KEY, False, NO_KEY, 200),
            ("public, no key, closed, then one", True, NO_KEY, False, "k1", 200),
            ("public, bad key", True, UNKNOWN_KEY, True, UNKNOWN_KEY, 200),
        ]
    )
    def test_accepted_job_is_found_by_the_key_it_came_with(
        self, _name, was_public, key, is_public, later_key, expected
    ):
        """Whatever the route says at the time of the call."""

        async def scenario(fleet):
            await self.configure(fleet, 2, is_public=was_public)
            self.assertEqual(202, await self.submit(fleet, key))
            await self.wait_until_run(fleet)
            await self.configure(fleet, 3, is_public=is_public)
            self.assertEqual([expected], await self.call_job(fleet, later_key))
            tenants = {run["tenant"] for run in fleet.runs}
            self.assertEqual({"small" if key == "k1" else None}, tenants)

        self.run_scenario(scenario)

    @parameterized.expand([("made public", False), ("closed", True)])
    def test_repeated_job_is_accepted_once_although_its_route_changed(
        self, _name, was_public
    ):
        """The team of the key owns it before and after."""

        async def scenario(fleet):
            await self.configure(fleet, 2, is_public=was_public)
            self.assertEqual(202, await self.submit(fleet, "k1"))
            await fleet.wait_for_results(fleet.daemons[0], "j")
            await self.configure(fleet, 3, is_public=not was_public)
            self.assertEqual(202, await self.submit(fleet, "k1"))
            await fleet.wait_for_results(fleet.daemons[1], "j")
            ran = sorted(run["ran"] for run in fleet.runs)
            self.assertEqual([f"j-{number}" for number in range(ITEMS)], ran)

        self.run_scenario(scenario)

    def test_job_of_a_team_is_found_when_the_configuration_names_teams_no_more(self):
        """Its caller still sends the key that it came with."""

        async def scenario(fleet):
            await self.configure(fleet, 2, is_public=False)
            self.assertEqual(202, await self.submit(fleet, "k1"))
            await self.wait_until_run(fleet)
            value = public_configuration(3, is_public=False)
            del value["tenants"]
            await write_configuration(fleet.store_address, value)
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: d.view.configuration.version == 3
                )
            self.assertEqual([200], await self.call_job(fleet, "k1"))

        self.run_scenario(scenario)

    def test_job_sent_again_with_a_key_that_was_not_known_is_accepted_once(self):
        """The first one is of no team, and so are those of the previous release."""

        async def scenario(fleet):
            await self.configure(fleet, 2, is_public=True)
            self.assertEqual(202, await self.submit(fleet, UNKNOWN_KEY))
            await self.wait_until_run(fleet)
            value = public_configuration(3, is_public=True)
            value["tenants"][0]["api_keys"] = [*KEYS["small"], UNKNOWN_KEY]
            await write_configuration(fleet.store_address, value)
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: d.view.configuration.version == 3
                )
            self.assertEqual(202, await self.submit(fleet, UNKNOWN_KEY))
            await fleet.wait_for_results(fleet.daemons[0], "j")
            tenants = {run["tenant"] for run in fleet.runs}
            self.assertEqual({None}, tenants)

        self.run_scenario(scenario)

    @parameterized.expand(
        [
            ("a team's", "k1", "small"),
            ("unknown", UNKNOWN_KEY, None),
            ("none", NO_KEY, None),
        ]
    )
    def test_request_on_a_public_route_is_its_teams(self, _name, key, team):
        """Its server learns the team, and it counts against the team's rate."""

        async def scenario(fleet):
            value = public_configuration(2, is_public=True)
            value["tenants"][0] |= {"rate_per_s": 0.001, "burst": BURST}
            await write_configuration(fleet.store_address, value)
            for daemon in fleet.daemons:
                await fleet.wait_until(
                    lambda d=daemon: d.view.configuration.version == 2
                )
            statuses = []
            for number in range(3 * BURST):
                response = await fleet.call(
                    fleet.daemons[0],
                    "POST",
                    f"/s/{number}",
                    b"events=2",
                    attempt_id=f"a{number}",
                    key=key,
                )
                statuses.append(response.status)
            self.assertEqual({team}, {run["tenant"] for run in fleet.runs})
            self.assertEqual(team is not None, 429 in statuses)
            self.assertEqual(len(fleet.runs), statuses.count(200))

        self.run_scenario(scenario)

    @parameterized.expand(
        [
            ("made public", False, "k1", "k1"),
            ("closed", True, "k1", "k1"),
            ("closed, begun without a key", True, NO_KEY, "k1"),
        ]
    )
    def test_stream_is_taken_up_although_its_route_changed(
        self, _name, was_public, key, later_key
    ):
        """It goes on at the software version that began it, of two."""

        async def scenario(fleet):
            await self.configure(fleet, 2, is_public=was_public)
            first, second = fleet.daemons
            body = b"events=%d" % EVENTS
            began = await fleet.call(
                first, "POST", "/s/1", body, attempt_id="a1", key=key
            )
            self.assertEqual(200, began.status)
            await self.configure(fleet, 3, is_public=not was_public)
            taken_up = await fleet.call(
                second,
                "POST",
                "/s/1",
                body,
                attempt_id="a2",
                key=later_key,
                last_event_id="1",
                resumes="a1",
            )
            self.assertEqual(200, taken_up.status)
            self.assertEqual(1, len({run["version"] for run in fleet.runs}))

        self.run_scenario(scenario, versions=("v1", "v2"))
