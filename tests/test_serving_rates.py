"""Team rates admitted at many daemons and counted at one owner."""

import heapq
import itertools
import random

from parameterized import parameterized

from apricotquay.ids import TeamId
from apricotquay.serving.rates import Allowance, DaemonRates, OwnerRates

from .base import ApricotTest

TEAM = TeamId("t")
# The margins that the users state for any window: a tenth, and twenty requests.
OVER_SHARE = 0.1
OVER_REQUESTS = 20
WINDOW_S = 5.0


class Fleet:
    """Daemons, one owner and delays, in virtual time."""

    def __init__(self, seed: int, daemons: int, starts_full: bool) -> None:
        self.rng = random.Random(seed)
        self.daemons = [DaemonRates(starts_full) for _ in range(daemons)]
        for daemon in self.daemons:
            daemon.share = 1 / daemons
        self.owner = OwnerRates()
        self.silent: set[int] = set()
        self.events: list = []
        self.order = itertools.count()
        self.admitted_s: list[float] = []
        self.refused_s: list[float] = []
        self.allowance = Allowance(20.0, 20.0)

    def at(self, at_s, call) -> None:
        heapq.heappush(self.events, (at_s, next(self.order), call))

    def run(self) -> None:
        while self.events:
            now_s, _, call = heapq.heappop(self.events)
            call(now_s)

    def load(self, per_s: float, from_s: float, until_s: float) -> None:
        now_s = from_s
        while now_s < until_s:
            now_s += self.rng.expovariate(per_s)
            self.at(now_s, self.arrive)

    def arrive(self, now_s: float) -> None:
        number = self.rng.randrange(len(self.daemons))
        daemon = self.daemons[number]
        untold = daemon.take_untold(TEAM)
        level = daemon.known_level(TEAM, self.allowance, now_s)
        if number in self.silent:
            daemon.put_back_untold(TEAM, untold)
            self.at(now_s + 0.12, lambda at_s: self.admit_alone(daemon, at_s))
            return
        delay_s = self.rng.uniform(0.001, 0.004)
        self.at(now_s + delay_s, lambda at_s: self.ask(daemon, untold, level, at_s))

    def admit_alone(self, daemon: DaemonRates, now_s: float) -> None:
        wait_s = daemon.admit_alone(TEAM, self.allowance, now_s)
        (self.refused_s if wait_s else self.admitted_s).append(now_s)

    def ask(self, daemon: DaemonRates, untold: int, level: float, now_s: float) -> None:
        admitted, left = self.owner.take(TEAM, untold, level, self.allowance, now_s)

        def answer(at_s: float) -> None:
            daemon.take_answer(TEAM, left, at_s)
            (self.admitted_s if admitted else self.refused_s).append(at_s)

        self.at(now_s + self.rng.uniform(0.001, 0.004), answer)

    def worst_window(self) -> int:
        """Return the most that was admitted in any window."""
        most = 0
        for index, start_s in enumerate(self.admitted_s):
            count = sum(
                1 for at_s in self.admitted_s[index:] if at_s < start_s + WINDOW_S
            )
            most = max(most, count)
        return most

    def bound(self) -> float:
        allowance = self.allowance
        allowed = allowance.rate_per_s * WINDOW_S + allowance.burst
        return allowed * (1 + OVER_SHARE) + OVER_REQUESTS


class FleetRatesTest(ApricotTest):
    """What a team gets over all daemons."""

    @parameterized.expand(
        [(seed, daemons) for seed in range(4) for daemons in (1, 10, 63)]
    )
    def test_hot_team_gets_no_more_than_its_rate(self, seed, daemons):
        """Eight times the rate, spread over the fleet."""
        fleet = Fleet(seed, daemons, True)
        fleet.load(160.0, 0.0, 12.0)
        fleet.run()
        self.assertLessEqual(fleet.worst_window(), fleet.bound())
        self.assertGreater(len(fleet.admitted_s), 12 * 20.0 * 0.95)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_team_inside_its_rate_is_not_refused(self, seed):
        """Three quarters of the rate in small bursts."""
        fleet = Fleet(seed, 10, True)
        fleet.load(15.0, 0.0, 20.0)
        fleet.run()
        self.assertEqual([], fleet.refused_s)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_restart_does_not_give_the_burst_twice(self, seed):
        """All daemons and the owner forget everything in the middle."""
        fleet = Fleet(seed, 10, True)
        fleet.load(120.0, 0.0, 10.0)

        def restart(now_s: float) -> None:
            fleet.events = [e for e in fleet.events if e[2] == fleet.arrive]
            heapq.heapify(fleet.events)
            fleet.owner = OwnerRates()
            fleet.daemons = [DaemonRates(False) for _ in fleet.daemons]
            for daemon in fleet.daemons:
                daemon.share = 0.1

        fleet.at(4.0, restart)
        fleet.run()
        self.assertLessEqual(fleet.worst_window(), fleet.bound())

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_silent_owner_leaves_each_daemon_its_share(self, seed):
        """Nobody reaches the owner for four seconds."""
        fleet = Fleet(seed, 10, True)
        fleet.load(120.0, 0.0, 12.0)
        fleet.at(4.0, lambda _: fleet.silent.update(range(10)))
        fleet.at(8.0, lambda _: fleet.silent.clear())
        fleet.run()
        self.assertLessEqual(fleet.worst_window(), fleet.bound())

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_new_owner_starts_from_what_it_is_told(self, seed):
        """The owner is replaced under a hot load."""
        fleet = Fleet(seed, 10, True)
        fleet.load(120.0, 0.0, 10.0)

        def replace(_now_s: float) -> None:
            fleet.owner = OwnerRates()

        fleet.at(5.0, replace)
        fleet.run()
        self.assertLessEqual(fleet.worst_window(), fleet.bound())
