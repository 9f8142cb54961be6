"""Batch items that cannot run, beside others that can."""

import base64
import json

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.events import Event
from apricotquay.serving.batch import (
    itemprogress as itemprogress_module,
    itemschedule,
    runner as runner_module,
)
from apricotquay.serving.batch.itemprogress import AttemptResult, ItemProgress, Outcome
from apricotquay.serving.batch.itemschedule import (
    MAX_ITEMS_PER_SERVICE,
    WaitingItem,
    choose_items,
)
from apricotquay.serving.batch.runningitems import ItemWait
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.reporting import Reporter
from standins.platform import ModelServer, make_configuration, write_configuration

from .base import ApricotTest
from .test_platform_callers import RecordingLines
from .test_platform_fleet import HOST, PlatformFleet, PlatformTest

# More than a daemon starts of one service at a time.
STUCK_ITEMS = MAX_ITEMS_PER_SERVICE + 12
TEAMS = {"small": ["k1"], "large": ["k2"], "third": ["k3"]}


class BatchFleet:
    """Submits batch jobs for several services to a fleet."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet

    async def configure(self, services: list[str]) -> None:
        """Add a batch route for each further service."""
        configuration = make_configuration(2, TEAMS)
        batch = configuration["routes"][1]
        for service in services:
            route = {"name": service, "path_prefix": f"/{service}/", "service": service}
            configuration["routes"].append(batch | route)
        await write_configuration(self._fleet.store_address, configuration)
        for daemon in self._fleet.daemons:
            await self._fleet.wait_until(
                lambda d=daemon: d.view.configuration.version == 2
            )

    async def add_servers(self, service: str, **behaviour) -> None:
        """Start two servers of a service that behave in some way."""
        for number in range(2):
            server = ModelServer(f"{service}-{number}", 0.001, self._fleet.runs.append)
            server.service = service
            for name, value in behaviour.items():
                setattr(server, name, value)
            await server.start(HOST, 0, self._fleet.store_address)
            self._fleet.servers.append(server)

    async def submit(self, service: str, job: str, body: str, count: int, key: str):
        """Submit a job of equal items."""
        encoded = base64.b64encode(body.encode()).decode()
        items = [
            {
                "id": f"{job}-{n}",
                "path": f"/{service}/{n}",
                "headers": {"Model": "m"},
                "body": encoded,
                "tokens": 10,
            }
            for n in range(count)
        ]
        response = await self._fleet.call(
            self._fleet.daemons[0],
            "POST",
            f"/{service}/job",
            json.dumps({"items": items}).encode(),
            attempt_id=job,
            key=key,
        )
        return response.status


class SharedBoundTest(PlatformTest):
    """A whole fleet; a sound job comes after items that cannot run."""

    @parameterized.expand(
        [
            ("no servers", ["lost"], None),
            ("no servers of many services", ["lost", "gone", "none", "away"], None),
            ("hanging servers", ["lost"], {"is_holding": True}),
            ("refusing servers", ["lost"], {"refuses_all": True}),
            ("failing servers", ["lost"], {"fails_all_with": 502}),
        ]
    )
    def test_items_of_a_service_that_cannot_run_hold_up_no_other_service(
        self, _name, services, behaviour
    ):
        """Each team has such a job, and all teams' shards have few owners."""

        async def scenario(fleet):
            jobs = BatchFleet(fleet)
            await jobs.configure(services)
            for service in services if behaviour else ():
                await jobs.add_servers(service, **behaviour)
            for service in services:
                for team, (key,) in TEAMS.items():
                    stuck = await jobs.submit(
                        service, f"{team}-{service}", "events=2", STUCK_ITEMS, key
                    )
                    self.assertEqual(202, stuck)
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", ["", ""]))
            results = await fleet.wait_for_results(fleet.daemons[0], "j")
            self.assertEqual({"done"}, {state for state, _ in results.values()})

        self.run_scenario(scenario)

    def test_items_that_hang_hold_up_no_later_items_of_their_service(self):
        """They are due first, and there are more of them than slots."""

        async def scenario(fleet):
            jobs = BatchFleet(fleet)
            await jobs.configure([])
            stuck = await jobs.submit("b", "stuck", "hang=1", STUCK_ITEMS, "k1")
            self.assertEqual(202, stuck)
            await fleet.wait_until(lambda: len(fleet.runs) > 20)
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", ["", ""]))
            results = await fleet.wait_for_results(fleet.daemons[0], "j")
            self.assertEqual({"done"}, {state for state, _ in results.values()})

        self.patch(itemprogress_module, "EVENT_TIMEOUT_S", 0.2)
        self.run_scenario(scenario)

    def test_item_whose_servers_are_slow_to_begin_is_done(self):
        """The first event comes later than a first attempt waits."""

        async def scenario(fleet):
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", [""]))
            results = await fleet.wait_for_results(fleet.daemons[0], "j")
            self.assertEqual({"done"}, {state for state, _ in results.values()})

        self.patch(itemprogress_module, "EVENT_TIMEOUT_S", 0.1)
        self.run_scenario(scenario, step_s=0.6)


class StalledItemTest(PlatformTest):
    """Items that make no progress are logged with what they wait for."""

    @parameterized.expand(
        [
            ("held by its server", {"is_holding": True}, ItemWait.OUTPUT),
            ("refused", {"refuses_all": True}, ItemWait.RETRY),
        ]
    )
    def test_item_that_makes_no_progress_is_logged(self, _name, behaviour, expected):
        """Without the line, an item that is left waiting shows nothing at all."""
        lines = RecordingLines()
        self.patch(runner_module, "MIN_STALL_S", 0.0)

        async def scenario(fleet):
            for daemon in fleet.daemons:
                daemon.runner._reporter = Reporter("vm", SystemClock(), lines)
            jobs = BatchFleet(fleet)
            await jobs.configure(["lost"])
            await jobs.add_servers("lost", **behaviour)
            self.assertEqual(202, await jobs.submit("lost", "j", "events=2", 3, "k1"))
            await fleet.wait_until(lambda: expected.value in stalls(lines))

        self.run_scenario(scenario)


def stalls(lines: RecordingLines) -> set[str]:
    """Return what the items that were logged waited for."""
    number = Event.ITEM_STALLED.number
    return {line["waits_for"] for line in lines.lines if line["number"] == number}


def waiting(service: str, number: int, due_s: float, fruitless: int = 0) -> WaitingItem:
    """Return an item that could start."""
    return WaitingItem((service, number), ServiceName(service), due_s, fruitless)


class ChooseItemsTest(ApricotTest):
    """The decision alone, with two items of a service at a time."""

    @parameterized.expand(
        [
            ("due first", [("a", 9, 0), ("a", 7, 0), ("a", 8, 0)], {}, [1, 2]),
            ("each service", [("a", 1, 0)] * 3 + [("b", 9, 0)], {}, [0, 1, 3]),
            ("places taken", [("a", 1, 0), ("b", 1, 0)], {"a": 2}, [1]),
            ("failed once", [("a", 1, 1), ("a", 2, 0), ("a", 3, 0)], {}, [0, 1]),
            ("keeps failing", [("a", 1, 2), ("a", 2, 0), ("a", 3, 0)], {}, [1, 2]),
            (
                "is not forgotten",
                [("a", 1, 99), ("a", 62, 0), ("a", 63, 0)],
                {},
                [0, 1],
            ),
        ]
    )
    def test_items_start_by_due_time_within_the_bound_of_their_service(
        self, _name, items, started, expected
    ):
        """Items that keep failing go behind those that are due a little later."""
        self.patch(itemschedule, "MAX_ITEMS_PER_SERVICE", 2)
        candidates = [
            waiting(service, n, float(due_s), fruitless)
            for n, (service, due_s, fruitless) in enumerate(items)
        ]
        counts = {ServiceName(service): n for service, n in started.items()}
        chosen = choose_items(candidates, counts)
        self.assertEqual(expected, sorted(item.key[1] for item in chosen))

    def test_wait_for_an_event_doubles_while_attempts_time_out_without_output(self):
        """Output shows that the endpoint is fast enough."""
        progress = ItemProgress(None)
        silent = AttemptResult(Outcome.RETRY, timed_out=True)
        waits_s = []
        for had_output in (False, False, False, True, False):
            progress.record_attempt("e0", silent, had_output, 1.0)
            waits_s.append(
                progress.event_timeout_s() / itemprogress_module.EVENT_TIMEOUT_S
            )
        self.assertEqual([1, 2, 4, 1, 1], waits_s)
