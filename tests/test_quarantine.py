"""The quarantine of requests that crash endpoints, and where suspects run."""

import random

from parameterized import parameterized
from returns.result import Success

from apricotquay.ids import MemberId
from apricotquay.membership import VmEntry
from apricotquay.quarantine import PROVEN_S, Quarantine, QuarantineStatus
from apricotquay.routing import Endpoint, EndpointTable, Suspicion

from .base import ApricotTest


class QuarantineTest(ApricotTest):
    """Requests that crash endpoints."""

    def test_third_death_quarantines_the_culprit_alone(self):
        """What ran beside it is only suspected, and cleared when it ends."""
        quarantine = Quarantine()
        quarantine.see_death("e1", ["bad", "good"], 0.0)
        self.assertIs(QuarantineStatus.SUSPECT, quarantine.status("good", 1.0))
        quarantine.record_completion("good", 2.0)
        self.assertEqual([], quarantine.see_death("e2", ["bad", "other"], 10.0))
        convicted = quarantine.see_death("e3", ["bad", "third"], 20.0)
        self.assertEqual(["bad"], convicted)
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("good", 21.0))
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("other", 21.0))
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("third", 21.0))
        self.assertIs(QuarantineStatus.QUARANTINED, quarantine.status("bad", 21.0))

    def test_request_that_completes_elsewhere_is_no_culprit(self):
        """Many callers send the same; some of them run beside unrelated deaths."""
        quarantine = Quarantine()
        quarantine.record_completion("popular", 0.0)
        for number in range(6):
            quarantine.see_death(f"e{number}", ["popular"], number * 10.0)
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("popular", 61.0))

    def test_completion_speaks_for_a_request_only_for_a_while(self):
        """Endpoints change."""
        quarantine = Quarantine()
        quarantine.record_completion("old", 0.0)
        for number in range(3):
            quarantine.see_death(f"e{number}", ["old"], PROVEN_S + number * 10.0)
        status = quarantine.status("old", PROVEN_S + 31.0)
        self.assertIs(QuarantineStatus.QUARANTINED, status)

    def test_two_deaths_convict_nobody(self):
        """An innocent request that ran beside two unrelated deaths goes on."""
        quarantine = Quarantine()
        quarantine.see_death("e1", ["innocent", "a"], 0.0)
        quarantine.see_death("e2", ["innocent", "b"], 10.0)
        self.assertIs(QuarantineStatus.SUSPECT, quarantine.status("innocent", 11.0))

    @parameterized.expand(
        [
            ("one report", [["bad", "beside"]]),
            ("culprit first", [["bad"], ["beside"]]),
            ("innocent first", [["beside"], ["bad"]]),
        ]
    )
    def test_what_always_ran_beside_the_culprit_ties_with_it(self, _name, reports):
        """The next death, where only one of them ran, tells them apart."""
        quarantine = Quarantine()
        for number in range(3):
            for report in reports:
                quarantine.see_death(f"e{number}", report, number * 10.0)
        if reports[0] != ["bad"]:
            self.assertIs(QuarantineStatus.SUSPECT, quarantine.status("beside", 21.0))
        quarantine.see_death("e9", ["bad"], 40.0)
        self.assertIs(QuarantineStatus.QUARANTINED, quarantine.status("bad", 41.0))
        self.assertIsNot(
            QuarantineStatus.QUARANTINED, quarantine.status("beside", 41.0)
        )

    @parameterized.expand([(seed,) for seed in range(40)])
    def test_random_histories_convict_the_guilty_and_no_innocent(self, seed):
        """Many unrelated crashes, several daemons that hear of each in any order."""
        rng = random.Random(seed)
        daemons = [Quarantine() for _ in range(4)]
        guilty_deaths = 0
        now_s = 0.0
        for step in range(60):
            now_s += rng.uniform(4.0, 8.0)
            beside = [f"i{step}-{n}" for n in range(rng.randint(0, 6))]
            # Runs beside two deaths, and completes at its third attempt.
            suspects = [*beside, f"r{step // 2}"]
            is_guilty = rng.random() < 0.3 and all(
                d.status("guilty", now_s) is not QuarantineStatus.QUARANTINED
                for d in daemons
            )
            if is_guilty:
                guilty_deaths += 1
                suspects.append("guilty")
            parts = [[s for s in suspects if rng.random() < 0.6], suspects]
            for daemon in daemons:
                for part in rng.sample(parts, 2):
                    daemon.see_death(f"e{step}", part, now_s)
        self.assertLessEqual(guilty_deaths, 3)
        for daemon in daemons:
            convicted = [f for f in daemon._quarantined if f != "guilty"]
            self.assertEqual([], convicted)

    def test_one_death_reported_by_two_daemons_counts_once(self):
        """The reports come a little apart."""
        quarantine = Quarantine()
        quarantine.see_death("e1", ["bad"], 0.0)
        self.assertEqual([], quarantine.see_death("e1", ["bad"], 1.0))

    def test_suspicion_and_quarantine_expire(self):
        """Neither lasts for ever."""
        quarantine = Quarantine()
        quarantine.see_death("e1", ["x"], 0.0)
        quarantine.mark("y", 100.0)
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("x", 10_000.0))
        self.assertIs(QuarantineStatus.CLEAR, quarantine.status("y", 101.0))


class Entry:
    """One daemon of the played fleet: what it knows, by its own decisions."""

    def __init__(self, name: str, endpoint_ids: list[str]) -> None:
        self.table = EndpointTable(MemberId(name), "z1", 8)
        entries = [
            VmEntry(endpoint_id, "model", "127.0.0.1", 1, "z1", serves="m")
            for endpoint_id in endpoint_ids
        ]
        self.table.apply_vm_list(entries, [MemberId(name)])
        self.quarantine = Quarantine()

    def place(self, request: str, rng: random.Random) -> Endpoint:
        """Give a request an endpoint."""
        suspects = self.quarantine.suspects(0.0)
        is_suspect = request in suspects
        suspicion = Suspicion(request, tuple(suspects)) if is_suspect else None
        choice = self.table.choose("m", "", set(), 0.0, rng, suspicion)
        self.assert_placed(choice)
        endpoint = choice.unwrap()
        endpoint.online += 1
        if is_suspect:
            endpoint.suspects.add(request)
        return endpoint

    def see_death(self, endpoint_id: str, beside: list[str]) -> list[str]:
        """Take in a death; return what is convicted for it."""
        endpoint = self.table.get(endpoint_id)
        endpoint.suspects.difference_update(beside)
        self.table.record_failure(endpoint, 0.0, refused=True)
        return self.quarantine.see_death(endpoint_id, beside, 0.0)

    @staticmethod
    def assert_placed(choice) -> None:
        """Fail where a request finds no endpoint at all."""
        if not isinstance(choice, Success):
            raise AssertionError("no endpoint for a request")


class PlayedFleetTest(ApricotTest):
    """A request that crashes each endpoint among innocent ones, in one fleet."""

    @parameterized.expand([(seed,) for seed in range(200)])
    def test_third_death_always_convicts_the_culprit(self, seed):
        """Innocent ones that failed beside it go elsewhere, whoever retries them.

        None of them completes meanwhile, which would clear it.
        """
        rng = random.Random(seed)
        endpoint_ids = [f"e{n}" for n in range(6)]
        entries = [Entry(f"d{n}", endpoint_ids) for n in range(3)]
        entry_of = {f"innocent{n}": entries[n % 3] for n in range(6)}
        entry_of["guilty"] = entries[0]
        places = {r: entry.place(r, rng).id for r, entry in entry_of.items()}
        for _ in range(2):
            dead = places["guilty"]
            beside = sorted(r for r, place in places.items() if place == dead)
            for entry in entries:
                self.assertEqual([], entry.see_death(dead, beside))
            for request in rng.sample(beside, len(beside)):
                places[request] = entry_of[request].place(request, rng).id
        dead = places["guilty"]
        beside = sorted(r for r, place in places.items() if place == dead)
        for entry in entries:
            self.assertEqual(["guilty"], entry.see_death(dead, beside))
