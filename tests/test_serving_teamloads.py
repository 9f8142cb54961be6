"""Loads of many teams that compete for too few slots, in virtual time."""

from apricotquay.serving.slots.dispatch import Dispatcher
from bench.policies import (
    in_time_share,
    served_share,
    simulate_sizes,
    simulate_teams,
)
from bench.queueing import Policy, TeamBlindDispatcher
from bench.teamloads import SCENARIOS

from .base import ApricotTest

REPEATS = 2
SEED = 1
# What another team, or the loss of endpoints, may cost in requests on time.
MAX_LOSS = 0.02
# The least share of a team's requests served, of the share of all teams' requests.
MIN_SERVED_RATIO = 0.25
# The same for the largest tenth of requests.
MIN_LARGE_RATIO = 0.9
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def simulate(name: str, make_table=Dispatcher) -> dict:
    """Return the requests of each group in a scenario."""
    policy = Policy("shares", make_table)
    return simulate_teams(BY_NAME[name], policy, SEED, REPEATS)


class TeamLoadTest(ApricotTest):
    """What each team and class gets."""

    def test_large_team_costs_small_teams_few_requests_in_time(self):
        """Without shares it takes a quarter of them."""
        alone = in_time_share(simulate("small teams alone")["small"])
        beside = simulate("large team beside small ones")
        self.assertGreater(in_time_share(beside["small"]), alone - MAX_LOSS)
        blind = simulate("large team beside small ones", TeamBlindDispatcher)
        self.assertLess(in_time_share(blind["small"]), alone - 5 * MAX_LOSS)

    def test_burst_of_one_team_costs_unequal_teams_few_requests_in_time(self):
        """The load comes in waves, and the team sends 7.5 times its usual."""
        without = simulate("unequal teams, waves")
        beside = simulate("unequal teams, waves, one at 7.5 times its usual")
        least = in_time_share(without["small"]) - MAX_LOSS
        self.assertGreater(in_time_share(beside["small"]), least)

    def test_highest_class_keeps_its_requests_in_time_when_half_is_lost(self):
        """Lower classes wait or are rejected."""
        whole = simulate("three classes, waves")
        half = simulate("three classes, waves, half the endpoints lost")
        least = in_time_share(whole["class 0"]) - MAX_LOSS
        self.assertGreater(in_time_share(half["class 0"]), least)

    def test_no_team_is_served_much_less_often_than_all(self):
        """Neither the large team nor a small one of the same class starves."""
        for name in (
            "large team beside small ones",
            "unequal teams, waves, one at 7.5 times its usual",
        ):
            groups = simulate(name)
            everyone = [r for requests in groups.values() for r in requests]
            least = MIN_SERVED_RATIO * served_share(everyone)
            for team in {request.team for request in everyone}:
                of_team = [r for r in everyone if r.team == team]
                self.assertGreaterEqual(served_share(of_team), least, team)

    def test_large_requests_are_served_as_the_others_and_within_the_memory(self):
        """The memory is short in the peaks; small requests would pass large ones."""
        sized = simulate_sizes(Policy("sizes", Dispatcher), SEED, REPEATS)
        large = served_share(sized.groups["large requests"])
        small = served_share(sized.groups["small requests"])
        self.assertGreaterEqual(large, MIN_LARGE_RATIO * small)
        self.assertEqual(0, sized.overfull_grants)
        blind = simulate_sizes(Policy("none", TeamBlindDispatcher), SEED, REPEATS)
        self.assertGreater(blind.overfull_grants, 0)
