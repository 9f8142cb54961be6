"""The queueing model, its loads and the bound that knows the future."""

import math

from parameterized import parameterized

from apricotquay.events import Event
from apricotquay.serving.dispatch import Work
from bench.policies import POLICIES, compute_margin, measure_policies
from bench.queueing import LocalTables, Policy, QueueingModel
from bench.upperbound import compute_upper_bound
from bench.workloads import (
    Deployment,
    Disturbance,
    EngineCount,
    JobArrival,
    OnlineArrival,
    Workload,
    extract_workload,
    generate_workload,
)

from .base import ApricotTest

SHORT = Deployment(duration_s=20.0)


def line(event: Event, at_ms: int, **fields) -> dict:
    """Return a log line."""
    return {"number": event.number, "at_ms": at_ms, "vm": "a", **fields}


class ModelTest(ApricotTest):
    """Single runs whose outcome can be worked out."""

    def run_model(self, load: Workload, policy: Policy, **changes) -> QueueingModel:
        """Play a load on one engine with one slot."""
        model = QueueingModel(
            Deployment(engines=1, slots=1, **changes), load, policy, 1
        )
        model.run()
        return model

    def test_second_request_waits_for_the_first(self):
        """And is late by that."""
        arrivals = [OnlineArrival(0.0, 1.0), OnlineArrival(0.1, 0.2)]
        load = Workload(2.0, arrivals, [], [EngineCount(0.0, 1)])
        model = self.run_model(load, Policy("table"))
        self.assertAlmostEqual(0.5, model.in_time_share(Work.ONLINE))
        self.assertAlmostEqual(0.9, model.slot_waits_s(Work.ONLINE)[-1])

    def test_item_that_gives_way_goes_on_from_where_it_was(self):
        """Its parts add up to its length."""
        job = JobArrival(0.0, 9.0, (3.0,))
        load = Workload(9.0, [OnlineArrival(1.0, 0.5)], [job], [EngineCount(0.0, 1)])
        model = self.run_model(load, Policy("table"))
        self.assertEqual((1.0, 1.0), tuple(model.in_time_share(work) for work in Work))
        self.assertAlmostEqual(3.02, model.busy_slot_s[Work.BATCH], places=2)

    @parameterized.expand([("soon", 0.2, 1.0), ("late", 0.9, 0.0)])
    def test_attempt_that_hangs_is_given_up(self, _name, limit_s, in_time):
        """Early enough, the second one is still in time."""
        arrivals = [OnlineArrival(0.0, 0.2, hangs=True)]
        load = Workload(2.0, arrivals, [], [EngineCount(0.0, 1)])
        policy = Policy("limit", first_event_timeout_s=limit_s)
        self.assertEqual(
            in_time, self.run_model(load, policy).in_time_share(Work.ONLINE)
        )

    def test_engine_that_several_tables_fill_makes_requests_wait(self):
        """Each table knows only its own."""
        arrivals = [OnlineArrival(0.001 * n, 1.0) for n in range(2)]
        load = Workload(2.0, arrivals, [], [EngineCount(0.0, 1)])
        policy = Policy("own", lambda seed: LocalTables(2, seed))
        model = self.run_model(load, policy)
        self.assertLessEqual(model.in_time_share(Work.ONLINE), 0.5)

    def test_policies_are_compared_over_the_same_loads(self):
        """With a margin for each mean; nothing beats the bound."""
        rows = list(
            measure_policies(
                1,
                POLICIES[:2],
                {"short": SHORT},
                [Disturbance("jobs", jobs_factor=4.0)],
                2,
            )
        )
        values = {(row.scenario, row.figure): row.value for row in rows}
        best = values["short, jobs: knows the future", "batch worth"]
        self.assertEqual(6, len(rows))
        self.assertTrue(all(row.margin is not None for row in rows[:4]))
        self.assertLess(0.0, best)

    def test_margin_of_equal_values_is_nothing(self):
        """And one value has none."""
        self.assertEqual(0.0, compute_margin([0.5] * 8))
        self.assertIsNone(compute_margin([0.5]))
        self.assertTrue(math.isfinite(compute_margin([0.1, 0.9])))


class ClairvoyantTest(ApricotTest):
    """The upper bound."""

    def test_bound_leaves_out_what_is_worth_least(self):
        """One slot, an online request and an item at the same time."""
        deployment = Deployment(engines=1, slots=1)
        job = JobArrival(0.0, 0.9, (0.9,))
        load = Workload(2.0, [OnlineArrival(0.0, 0.6)], [job], [EngineCount(0.0, 1)])
        best = compute_upper_bound(deployment, load)
        self.assertAlmostEqual(1.0, best[Work.BATCH], places=1)

    @parameterized.expand(
        [(t.name, t) for t in (Disturbance("jobs", jobs_factor=4.0),)]
    )
    def test_no_policy_beats_the_bound(self, _name, disturbance):
        """In the worth of both classes together."""
        load = generate_workload(SHORT, disturbance, 1)
        best = compute_upper_bound(SHORT, load)
        model = QueueingModel(SHORT, load, POLICIES[0], 1)
        model.run()
        items = sum(len(job.item_service_times_s) for job in load.jobs)
        worths = {
            Work.ONLINE: len(load.online) * SHORT.online_value,
            Work.BATCH: items * SHORT.item_value,
        }
        reached = sum(worths[work] * model.in_time_share(work) for work in Work)
        bound = sum(worths[work] * best[work] for work in Work)
        self.assertLessEqual(reached, bound * 1.01)


class RecordedLoadTest(ApricotTest):
    """A load read from log lines."""

    def test_arrivals_lengths_and_engines_are_read(self):
        """Whatever the order of the lines."""
        attempt = {"job": "j", "item": "i", "outcome": "done"}
        lines = [
            line(Event.ITEM_COMPLETED, 9_000, job="j", item="i", late_ms=-10_000),
            line(Event.ITEM_ATTEMPT_ENDED, 8_000, ran_ms=1_500, **attempt),
            line(Event.ITEM_ATTEMPT_ENDED, 5_000, ran_ms=500, **attempt),
            line(Event.JOB_ACCEPTED, 2_000, job="j"),
            line(Event.JOB_ACCEPTED, 2_100, job="j"),
            line(Event.ENDPOINT_LISTED, 500, endpoint="e1"),
            line(Event.ENDPOINT_LISTED, 600, endpoint="e1"),
            line(Event.ENDPOINT_LISTED, 2_500, endpoint="e2"),
            line(Event.ENDPOINT_UNLISTED, 7_000, endpoint="e1"),
            line(
                Event.REQUEST_ENDED,
                1_900,
                team="t",
                endpoint="e1",
                took_ms=900,
                slot_wait_ms=100,
            ),
        ]
        load = extract_workload(lines)
        self.assertEqual([OnlineArrival(0.0, 0.8)], load.online)
        self.assertEqual([JobArrival(1.0, 18.0, (2.0,))], load.jobs)
        counts = [EngineCount(0.0, 1), EngineCount(1.5, 2), EngineCount(6.0, 1)]
        self.assertEqual(counts, load.engines)
