"""Team rate limits with many daemons and one owner."""

import heapq
import itertools
import random

from parameterized import parameterized

from apricotquay.ids import TeamId
from apricotquay.serving.online.rates import Allowance, DaemonRates, OwnerRates

from .base import ApricotTest

TEAM = TeamId("t")
# The margins that the users specify for any window: a tenth, and twenty requests.
MARGIN_SHARE = 0.1
MARGIN_REQUESTS = 20
WINDOW_S = 5.0


class SimulatedFleet:
    """Daemons, one owner and network delays in virtual time."""

    def __init__(self, seed: int, daemons: int, starts_full: bool) -> None:
        self.rng = random.Random(seed)
        self.daemons = [DaemonRates(starts_full) for _ in range(daemons)]
        for daemon in self.daemons:
            daemon.share = 1 / daemons
        self.owner = OwnerRates()
        self.without_owner: set[int] = set()
        self.events: list = []
        self.sequence = itertools.count()
        self.admitted_s: list[float] = []
        self.refused_s: list[float] = []
        self.allowance = Allowance(20.0, 20.0)

    def schedule(self, at_s, call) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence), call))

    def run(self) -> None:
        while self.events:
            now_s, _, call = heapq.heappop(self.events)
            call(now_s)

    def add_load(self, per_s: float, from_s: float, until_s: float) -> None:
        now_s = from_s
        while now_s < until_s:
            now_s += self.rng.expovariate(per_s)
            self.schedule(now_s, self.handle_arrival)

    def handle_arrival(self, now_s: float) -> None:
        number = self.rng.randrange(len(self.daemons))
        daemon = self.daemons[number]
        unreported = daemon.take_unreported(TEAM)
        level = daemon.estimate_level(TEAM, self.allowance, now_s)
        if number in self.without_owner:
            daemon.restore_unreported(TEAM, unreported)
            self.schedule(now_s + 0.12, lambda at_s: self.admit_locally(daemon, at_s))
            return
        delay_s = self.rng.uniform(0.001, 0.004)
        self.schedule(
            now_s + delay_s,
            lambda at_s: self.ask_owner(daemon, unreported, level, at_s),
        )

    def admit_locally(self, daemon: DaemonRates, now_s: float) -> None:
        wait_s = daemon.admit_locally(TEAM, self.allowance, now_s)
        (self.refused_s if wait_s else self.admitted_s).append(now_s)

    def ask_owner(
        self, daemon: DaemonRates, unreported: int, level: float, now_s: float
    ) -> None:
        admitted, owner_level = self.owner.take(
            TEAM, unreported, level, self.allowance, now_s
        )

        def answer(at_s: float) -> None:
            daemon.apply_answer(TEAM, owner_level, at_s)
            (self.admitted_s if admitted else self.refused_s).append(at_s)

        self.schedule(now_s + self.rng.uniform(0.001, 0.004), answer)

    def max_admitted_in_window(self) -> int:
        """Return the largest number of requests admitted in any window."""
        max_admitted = 0
        for index, start_s in enumerate(self.admitted_s):
            count = sum(
                1 for at_s in self.admitted_s[index:] if at_s < start_s + WINDOW_S
            )
            max_admitted = max(max_admitted, count)
        return max_admitted

    def max_allowed(self) -> float:
        allowance = self.allowance
        allowed = allowance.rate_per_s * WINDOW_S + allowance.burst
        return allowed * (1 + MARGIN_SHARE) + MARGIN_REQUESTS


class FleetRatesTest(ApricotTest):
    """The rate that a team gets over all daemons."""

    @parameterized.expand(
        [(seed, daemons) for seed in range(4) for daemons in (1, 10, 63)]
    )
    def test_team_over_its_rate_gets_no_more_than_its_rate(self, seed, daemons):
        """The team sends eight times its rate, spread over the fleet."""
        fleet = SimulatedFleet(seed, daemons, True)
        fleet.add_load(160.0, 0.0, 12.0)
        fleet.run()
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.max_allowed())
        self.assertGreater(len(fleet.admitted_s), 12 * 20.0 * 0.95)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_team_inside_its_rate_is_not_refused(self, seed):
        """The team sends three quarters of its rate in small bursts."""
        fleet = SimulatedFleet(seed, 10, True)
        fleet.add_load(15.0, 0.0, 20.0)
        fleet.run()
        self.assertEqual([], fleet.refused_s)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_restart_does_not_allow_the_burst_twice(self, seed):
        """All daemons and the owner lose their state while the team sends."""
        fleet = SimulatedFleet(seed, 10, True)
        fleet.add_load(120.0, 0.0, 10.0)

        def restart(now_s: float) -> None:
            fleet.events = [e for e in fleet.events if e[2] == fleet.handle_arrival]
            heapq.heapify(fleet.events)
            fleet.owner = OwnerRates()
            fleet.daemons = [DaemonRates(False) for _ in fleet.daemons]
            for daemon in fleet.daemons:
                daemon.share = 0.1

        fleet.schedule(4.0, restart)
        fleet.run()
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.max_allowed())

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_daemons_admit_their_share_without_an_owner(self, seed):
        """No daemon reaches the owner for four seconds."""
        fleet = SimulatedFleet(seed, 10, True)
        fleet.add_load(120.0, 0.0, 12.0)
        fleet.schedule(4.0, lambda _: fleet.without_owner.update(range(10)))
        fleet.schedule(8.0, lambda _: fleet.without_owner.clear())
        fleet.run()
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.max_allowed())

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_new_owner_starts_from_reported_levels(self, seed):
        """The owner is replaced while the team exceeds its rate."""
        fleet = SimulatedFleet(seed, 10, True)
        fleet.add_load(120.0, 0.0, 10.0)

        def replace(_now_s: float) -> None:
            fleet.owner = OwnerRates()

        fleet.schedule(5.0, replace)
        fleet.run()
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.max_allowed())
