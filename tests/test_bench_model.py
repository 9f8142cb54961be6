"""Tests of the queueing model, its workloads and the upper bound."""

import math

from parameterized import parameterized

from apricotquay.events import Event
from apricotquay.serving.slots.tickets import Work
from bench.policies import POLICIES, compute_margin, measure_policies
from bench.queueing import TICK_INTERVAL_S, LocalTables, Policy, QueueingModel
from bench.splittables import SplitTables
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

SHORT_DEPLOYMENT = Deployment(duration_s=20.0)


def make_log_line(event: Event, at_ms: int, **fields) -> dict:
    """Return a log line."""
    return {"number": event.number, "at_ms": at_ms, "vm": "a", **fields}


class QueueingModelTest(ApricotTest):
    """Small workloads whose outcome is known."""

    def run_model(self, workload: Workload, policy: Policy, **changes) -> QueueingModel:
        """Run a workload on one engine with one slot."""
        model = QueueingModel(
            Deployment(engines=1, slots=1, **changes), workload, policy, 1
        )
        model.run()
        return model

    def test_second_request_waits_for_the_first(self):
        """Its wait makes it late."""
        arrivals = [OnlineArrival(0.0, 1.0), OnlineArrival(0.1, 0.2)]
        workload = Workload(2.0, arrivals, [], [EngineCount(0.0, 1)])
        model = self.run_model(workload, Policy("table"))
        self.assertAlmostEqual(0.5, model.in_time_share(Work.ONLINE))
        self.assertAlmostEqual(0.9, model.slot_waits_s(Work.ONLINE)[-1])

    def test_preempted_item_resumes_where_it_stopped(self):
        """Its parts add up to its service time and the overhead of resuming."""
        job = JobArrival(0.0, 9.0, (3.0,))
        workload = Workload(
            9.0, [OnlineArrival(1.0, 0.5)], [job], [EngineCount(0.0, 1)]
        )
        model = self.run_model(workload, Policy("table"))
        self.assertEqual((1.0, 1.0), tuple(model.in_time_share(work) for work in Work))
        self.assertAlmostEqual(3.02, model.busy_slot_s[Work.BATCH], places=2)

    @parameterized.expand([("soon", 0.2, 1.0), ("late", 0.9, 0.0)])
    def test_hanging_attempt_is_abandoned(self, _name, timeout_s, in_time):
        """With a short timeout, the second attempt is still in time."""
        arrivals = [OnlineArrival(0.0, 0.2, hangs=True)]
        workload = Workload(2.0, arrivals, [], [EngineCount(0.0, 1)])
        policy = Policy("limit", first_event_timeout_s=timeout_s)
        self.assertEqual(
            in_time, self.run_model(workload, policy).in_time_share(Work.ONLINE)
        )

    def test_requests_wait_at_an_engine_that_several_tables_fill(self):
        """Each table counts only its own requests."""
        arrivals = [OnlineArrival(0.001 * n, 1.0) for n in range(2)]
        workload = Workload(2.0, arrivals, [], [EngineCount(0.0, 1)])
        policy = Policy("own", lambda seed: LocalTables(2, seed))
        model = self.run_model(workload, policy)
        self.assertLessEqual(model.in_time_share(Work.ONLINE), 0.5)

    @parameterized.expand([("stays", False), ("moves", True)])
    def test_request_that_waits_at_a_full_owner_moves_to_a_free_slot(self, _, moves):
        """Two requests, two owners of an engine with one slot each, ten seeds."""
        arrivals = [OnlineArrival(0.0, 1.0), OnlineArrival(0.01, 1.0)]
        workload = Workload(3.0, arrivals, [], [EngineCount(0.0, 2)])
        longest_s = []
        for seed in range(10):
            policy = Policy("split", lambda _, n=seed: SplitTables(2, n, moves=moves))
            model = QueueingModel(Deployment(engines=2, slots=1), workload, policy, 1)
            model.run()
            longest_s.append(model.slot_waits_s(Work.ONLINE)[-1])
        self.assertEqual(moves, max(longest_s) <= TICK_INTERVAL_S)

    def test_policies_are_compared_on_the_same_workloads(self):
        """Each mean has a margin, and the upper bound is reported."""
        rows = list(
            measure_policies(
                1,
                POLICIES[:2],
                {"short": SHORT_DEPLOYMENT},
                [Disturbance("jobs", jobs_factor=4.0)],
                2,
            )
        )
        values = {(row.scenario, row.figure): row.value for row in rows}
        upper_bound = values["short, jobs: knows the future", "batch worth"]
        self.assertEqual(6, len(rows))
        self.assertTrue(all(row.margin is not None for row in rows[:4]))
        self.assertLess(0.0, upper_bound)

    def test_margin_of_equal_values_is_zero(self):
        """A single value has no margin."""
        self.assertEqual(0.0, compute_margin([0.5] * 8))
        self.assertIsNone(compute_margin([0.5]))
        self.assertTrue(math.isfinite(compute_margin([0.1, 0.9])))


class UpperBoundTest(ApricotTest):
    """Upper bound of a scheduler that knows the future."""

    def test_bound_favors_the_request_of_highest_value(self):
        """One slot, with an online request and a batch item at the same time."""
        deployment = Deployment(engines=1, slots=1)
        job = JobArrival(0.0, 0.9, (0.9,))
        workload = Workload(
            2.0, [OnlineArrival(0.0, 0.6)], [job], [EngineCount(0.0, 1)]
        )
        upper_bound = compute_upper_bound(deployment, workload)
        self.assertAlmostEqual(1.0, upper_bound[Work.BATCH], places=1)

    @parameterized.expand(
        [(t.name, t) for t in (Disturbance("jobs", jobs_factor=4.0),)]
    )
    def test_no_policy_exceeds_the_bound(self, _name, disturbance):
        """Measured as the total value of both classes."""
        workload = generate_workload(SHORT_DEPLOYMENT, disturbance, 1)
        upper_bound = compute_upper_bound(SHORT_DEPLOYMENT, workload)
        model = QueueingModel(SHORT_DEPLOYMENT, workload, POLICIES[0], 1)
        model.run()
        items = sum(len(job.item_service_times_s) for job in workload.jobs)
        total_values = {
            Work.ONLINE: len(workload.online) * SHORT_DEPLOYMENT.online_value,
            Work.BATCH: items * SHORT_DEPLOYMENT.item_value,
        }
        reached_value = sum(
            total_values[work] * model.in_time_share(work) for work in Work
        )
        bound_value = sum(total_values[work] * upper_bound[work] for work in Work)
        self.assertLessEqual(reached_value, bound_value * 1.01)


class ExtractWorkloadTest(ApricotTest):
    """Workload extracted from log lines."""

    def test_arrivals_service_times_and_engines_are_read(self):
        """The order of the lines does not matter."""
        attempt = {"job": "j", "item": "i", "outcome": "done"}
        lines = [
            make_log_line(
                Event.ITEM_COMPLETED, 9_000, job="j", item="i", late_ms=-10_000
            ),
            make_log_line(Event.ITEM_ATTEMPT_ENDED, 8_000, ran_ms=1_500, **attempt),
            make_log_line(Event.ITEM_ATTEMPT_ENDED, 5_000, ran_ms=500, **attempt),
            make_log_line(Event.JOB_ACCEPTED, 2_000, job="j"),
            make_log_line(Event.JOB_ACCEPTED, 2_100, job="j"),
            make_log_line(Event.ENDPOINT_LISTED, 500, endpoint="e1"),
            make_log_line(Event.ENDPOINT_LISTED, 600, endpoint="e1"),
            make_log_line(Event.ENDPOINT_LISTED, 2_500, endpoint="e2"),
            make_log_line(Event.ENDPOINT_UNLISTED, 7_000, endpoint="e1"),
            make_log_line(
                Event.REQUEST_ENDED,
                1_900,
                team="t",
                endpoint="e1",
                took_ms=900,
                slot_wait_ms=100,
            ),
        ]
        workload = extract_workload(lines)
        self.assertEqual([OnlineArrival(0.0, 0.8)], workload.online)
        self.assertEqual([JobArrival(1.0, 18.0, (2.0,))], workload.jobs)
        counts = [EngineCount(0.0, 1), EngineCount(1.5, 2), EngineCount(6.0, 1)]
        self.assertEqual(counts, workload.engines)
