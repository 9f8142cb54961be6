"""Quarantine of requests that crash endpoints, and the placement of suspects."""

import random

from parameterized import parameterized
from returns.result import Success

from apricotquay.ids import MemberId
from apricotquay.membership import VmEntry
from apricotquay.quarantine import COMPLETION_VALID_S, Quarantine, QuarantineStatus
from apricotquay.routing import Endpoint, EndpointTable, Suspicion

from .base import ApricotTest


class QuarantineTest(ApricotTest):
    """Requests that crash endpoints."""

    def test_third_crash_quarantines_only_the_culprit(self):
        """Requests that ran beside it are suspects until they complete."""
        quarantine = Quarantine()
        quarantine.record_crash("e1", ["bad", "good"], 0.0)
        self.assertIs(QuarantineStatus.SUSPECT, quarantine.status("good", 1.0))
        quarantine.record_completion("good", 2.0)
        self.assertEqual([], quarantine.record_crash("e2", ["bad", "other"], 10.0))
        quarantined = quarantine.record_crash("e3", ["bad", "third"], 20.0)
        self.assertEqual(["bad"], quarantined)
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("good", 21.0))
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("other", 21.0))
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("third", 21.0))
        self.assertIs(QuarantineStatus.QUARANTINED, quarantine.status("bad", 21.0))

    def test_completed_request_is_not_suspected(self):
        """Many callers send the same request; some run beside unrelated crashes."""
        quarantine = Quarantine()
        quarantine.record_completion("popular", 0.0)
        for number in range(6):
            quarantine.record_crash(f"e{number}", ["popular"], number * 10.0)
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("popular", 61.0))

    def test_completion_clears_a_request_only_for_a_while(self):
        """Endpoints change, so an old completion proves little."""
        quarantine = Quarantine()
        quarantine.record_completion("old", 0.0)
        for number in range(3):
            quarantine.record_crash(
                f"e{number}", ["old"], COMPLETION_VALID_S + number * 10.0
            )
        status = quarantine.status("old", COMPLETION_VALID_S + 31.0)
        self.assertIs(QuarantineStatus.QUARANTINED, status)

    def test_two_crashes_quarantine_nothing(self):
        """A harmless request that ran beside two unrelated crashes may still run."""
        quarantine = Quarantine()
        quarantine.record_crash("e1", ["harmless", "a"], 0.0)
        quarantine.record_crash("e2", ["harmless", "b"], 10.0)
        self.assertIs(QuarantineStatus.SUSPECT, quarantine.status("harmless", 11.0))

    @parameterized.expand(
        [
            ("one report", [["bad", "beside"]]),
            ("culprit first", [["bad"], ["beside"]]),
            ("harmless first", [["beside"], ["bad"]]),
        ]
    )
    def test_request_that_always_ran_beside_the_culprit_ties_with_it(
        self, _name, reports
    ):
        """The next crash, where only one of them ran, tells them apart."""
        quarantine = Quarantine()
        for number in range(3):
            for report in reports:
                quarantine.record_crash(f"e{number}", report, number * 10.0)
        if reports[0] != ["bad"]:
            self.assertIs(QuarantineStatus.SUSPECT, quarantine.status("beside", 21.0))
        quarantine.record_crash("e9", ["bad"], 40.0)
        self.assertIs(QuarantineStatus.QUARANTINED, quarantine.status("bad", 41.0))
        self.assertIsNot(
            QuarantineStatus.QUARANTINED, quarantine.status("beside", 41.0)
        )

    @parameterized.expand([(seed,) for seed in range(40)])
    def test_random_histories_quarantine_only_the_culprit(self, seed):
        """Many unrelated crashes, reported to several daemons in any order."""
        rng = random.Random(seed)
        daemons = [Quarantine() for _ in range(4)]
        culprit_crashes = 0
        now_s = 0.0
        for step in range(60):
            now_s += rng.uniform(4.0, 8.0)
            running_there = [f"i{step}-{n}" for n in range(rng.randint(0, 6))]
            # Runs beside two crashes and completes at its third attempt.
            suspects = [*running_there, f"r{step // 2}"]
            runs_culprit = rng.random() < 0.3 and all(
                d.status("culprit", now_s) is not QuarantineStatus.QUARANTINED
                for d in daemons
            )
            if runs_culprit:
                culprit_crashes += 1
                suspects.append("culprit")
            parts = [[s for s in suspects if rng.random() < 0.6], suspects]
            for daemon in daemons:
                for part in rng.sample(parts, 2):
                    daemon.record_crash(f"e{step}", part, now_s)
        self.assertLessEqual(culprit_crashes, 3)
        for daemon in daemons:
            quarantined = [f for f in daemon._quarantined if f != "culprit"]
            self.assertEqual([], quarantined)

    def test_crash_reported_by_two_daemons_counts_once(self):
        """The reports arrive at slightly different times."""
        quarantine = Quarantine()
        quarantine.record_crash("e1", ["bad"], 0.0)
        self.assertEqual([], quarantine.record_crash("e1", ["bad"], 1.0))

    def test_suspicion_and_quarantine_expire(self):
        """Neither is permanent."""
        quarantine = Quarantine()
        quarantine.record_crash("e1", ["x"], 0.0)
        quarantine.add_quarantined("y", 100.0)
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("x", 10_000.0))
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("y", 101.0))


class SimulatedDaemon:
    """One daemon of the simulated fleet; it knows only its own placements."""

    def __init__(
        self, name: str, endpoint_ids: list[str], ejects_crashed: bool
    ) -> None:
        self.ejects_crashed = ejects_crashed
        self.table = EndpointTable(MemberId(name), "z1", 8)
        entries = [
            VmEntry(endpoint_id, "model", "127.0.0.1", 1, "z1", serves="m")
            for endpoint_id in endpoint_ids
        ]
        self.table.apply_vm_list(entries, [MemberId(name)])
        self.quarantine = Quarantine()

    def assign(self, request: str, rng: random.Random) -> Endpoint:
        """Assign a request to an endpoint."""
        suspects = self.quarantine.suspects(0.0)
        is_suspect = request in suspects
        crashed = self.quarantine.crashed_endpoints(0.0)
        suspicion = None
        if is_suspect:
            suspicion = Suspicion(request, tuple(suspects), crashed)
        choice = self.table.choose("m", "", set(), 0.0, rng, suspicion)
        self.assert_assigned(choice)
        endpoint = choice.unwrap()
        endpoint.online += 1
        if is_suspect:
            endpoint.suspects.add(request)
        return endpoint

    def record_crash(self, endpoint_id: str, running_there: list[str]) -> list[str]:
        """Record a crash; return the fingerprints quarantined for it."""
        endpoint = self.table.get(endpoint_id)
        endpoint.suspects.difference_update(running_there)
        self.table.record_failure(endpoint, 0.0, refused=self.ejects_crashed)
        return self.quarantine.record_crash(endpoint_id, running_there, 0.0)

    @staticmethod
    def assert_assigned(choice) -> None:
        """Fail if no endpoint is found for a request."""
        if not isinstance(choice, Success):
            raise AssertionError("no endpoint for a request")


class SimulatedFleetTest(ApricotTest):
    """A request that crashes every endpoint, among harmless ones in one fleet."""

    @parameterized.expand(
        [(seed, knows) for knows in (True, False) for seed in range(200)]
    )
    def test_third_crash_always_quarantines_the_culprit(self, seed, knows_refusal):
        """Harmless requests that failed beside it go elsewhere, whichever daemon
        retries them. None of them completes meanwhile, which would clear it. A daemon
        ejects the endpoint only if a connection to it was refused.
        """
        rng = random.Random(seed)
        endpoint_ids = [f"e{n}" for n in range(6)]
        daemons = [
            SimulatedDaemon(f"d{n}", endpoint_ids, knows_refusal) for n in range(3)
        ]
        daemon_of = {f"harmless{n}": daemons[n % 3] for n in range(6)}
        daemon_of["culprit"] = daemons[0]
        endpoint_of = {r: daemon.assign(r, rng).id for r, daemon in daemon_of.items()}
        for _ in range(2):
            crashed = endpoint_of["culprit"]
            running_there = sorted(
                r for r, place in endpoint_of.items() if place == crashed
            )
            for daemon in daemons:
                self.assertEqual([], daemon.record_crash(crashed, running_there))
            for request in rng.sample(running_there, len(running_there)):
                endpoint_of[request] = daemon_of[request].assign(request, rng).id
        crashed = endpoint_of["culprit"]
        running_there = sorted(
            r for r, place in endpoint_of.items() if place == crashed
        )
        for daemon in daemons:
            self.assertEqual(["culprit"], daemon.record_crash(crashed, running_there))
