"""Team rates over the whole fleet: never exceeded, and no wrong refusals."""

import concurrent.futures
import signal
import time

from parameterized import parameterized

from apricotquay.ids import stable_hash
from standins.fleet import FleetSpec, TeamSpec

from .base import ClosedLoopGenerator, FleetTest

RATE_PER_S = 20.0
BURST = 10


class RateTest(FleetTest):
    """Base class: sends load above the rate and checks what was admitted."""

    fleet_per_test = True
    spec = FleetSpec(
        daemons=5,
        engines=4,
        step_ms=2.0,
        teams={
            "small": TeamSpec(rate_per_s=RATE_PER_S, burst=BURST),
            "large": TeamSpec(rate_per_s=RATE_PER_S, burst=BURST),
        },
        proxied=True,
    )

    def shard(self, team: str = "small") -> str:
        """Return the shard of a team."""
        return f"rate-{stable_hash('team-shard', team) % 16}"

    def holder(self, team: str = "small") -> int:
        """Return the index of the daemon that holds a team's shard."""
        name = self.fleet.find_shard_holder(self.shard(team))
        return int(name.removeprefix("entry-"))

    def make_load(
        self, indexes: list[int], threads: int = 12, team: str = "small"
    ) -> ClosedLoopGenerator:
        """Return a load that sends a request as soon as the last has its response."""

        def send(number: int):
            sent_s = time.monotonic()
            try:
                response = self.chat(indexes[number % len(indexes)], "rate", 1, team)
                return response.status, sent_s, time.monotonic(), response
            finally:
                time.sleep(0.02)

        return ClosedLoopGenerator(send, threads)

    def send_over_rate(self, indexes, fault=None, seconds: float = 8.0) -> list:
        """Send more than the rate for a while, with a fault after two seconds."""
        load = self.make_load(indexes)
        load.start()
        time.sleep(2.0)
        if fault is not None:
            fault()
        time.sleep(seconds - 2.0)
        load.close()
        return [outcome for outcome in load.outcomes if isinstance(outcome, tuple)]

    def check_rate_not_exceeded(self, outcomes: list) -> list:
        """Check that no window has more admissions than rate and burst allow.

        A request is admitted between its sending and its response, so a window
        counts only requests with both in it.
        """
        admitted = sorted(
            (outcome[1], outcome[2]) for outcome in outcomes if outcome[0] == 200
        )
        starts = [sent_s for sent_s, _ in admitted]
        for first in range(0, len(starts), 5):
            ends = sorted(end for _, end in admitted[first:])
            for count, end_s in enumerate(ends, start=1):
                allowed = BURST + RATE_PER_S * (end_s - starts[first])
                self.assertLessEqual(count, allowed + 1e-6)
        return admitted

    def check_rate_is_used(self, admitted: list) -> None:
        """Check that at least 80 % of what the rate allows was admitted."""
        duration_s = admitted[-1][1] - admitted[0][0]
        self.assertGreater(len(admitted), RATE_PER_S * duration_s * 0.8)

    def refusal_kinds(self, outcomes: list) -> set[str]:
        """Return the error kinds of all refused requests."""
        return {outcome[3].error()["type"] for outcome in outcomes if outcome[0] != 200}


class RateWithoutFailureTest(RateTest):
    """The log and all daemons are available."""

    fleet_per_test = False
    spec = FleetSpec(
        daemons=5, engines=4, step_ms=2.0, teams=RateTest.spec.teams, proxied=False
    )

    @parameterized.expand([("balanced", [0, 1, 2, 3, 4]), ("skewed", [3])])
    def test_burst_of_several_times_the_rate(self, _name, indexes):
        """Rate and burst are admitted, whichever daemons receive the requests."""
        time.sleep(BURST / RATE_PER_S + 0.2)
        outcomes = self.send_over_rate(indexes, seconds=6.0)
        admitted = self.check_rate_not_exceeded(outcomes)
        self.check_rate_is_used(admitted)
        self.assertEqual({"rate_exceeded"}, self.refusal_kinds(outcomes))

    def test_no_refusal_within_the_rate(self):
        """A steady load just below the rate, at alternating daemons."""
        time.sleep(BURST / RATE_PER_S + 0.2)
        refused = []
        for number in range(60):
            response = self.chat(number % 5, "inside", 1, "large")
            if response.status != 200:
                refused.append(response.error())
            time.sleep(1 / RATE_PER_S)
        self.assertEqual([], refused)

    def test_whole_burst_at_once_is_within_the_rate(self):
        """Sent to all daemons at the same time."""
        time.sleep(BURST / RATE_PER_S + 0.2)
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            responses = list(
                pool.map(lambda n: self.chat(n % 5, "rate", 1, "small"), range(BURST))
            )
        self.assertEqual([200] * BURST, [r.status for r in responses])

    def test_refusal_says_when_to_retry(self):
        """It also says that the request was not run."""
        time.sleep(BURST / RATE_PER_S + 0.2)
        outcomes = self.send_over_rate([0], seconds=2.5)
        error = next(outcome[3].error() for outcome in outcomes if outcome[0] == 429)
        self.assertEqual("not_run", error["ran"])
        self.assertGreater(error["retry_after_ms"], 0)
        self.assertLessEqual(error["retry_after_ms"], 1000 / RATE_PER_S * 2 + 1)


class RateUnderFailureTest(RateTest):
    """The holder or the log fails while a team sends several times its rate."""

    def others(self, holder: int) -> list[int]:
        """Return the daemons that do not hold the shard."""
        return [n for n in range(5) if n != holder]

    def count_admitted_after(self, admitted: list, at_s: float) -> int:
        """Return how many were sent and admitted after a time."""
        return sum(1 for sent_s, _ in admitted if sent_s >= at_s)

    def test_holder_killed(self):
        """The next holder grants no tokens that the killed one may have granted."""
        holder = self.holder()
        outcomes = self.send_over_rate(
            self.others(holder), lambda: self.fleet.kill_daemon(holder)
        )
        admitted = self.check_rate_not_exceeded(outcomes)
        self.assertGreater(self.count_admitted_after(admitted, admitted[0][0] + 7), 5)

    def test_holder_killed_twice(self):
        """The second holder is killed after it took over."""
        first = self.holder()
        self.fleet.kill_daemon(first)
        self.fleet.wait_until(lambda: self.holder() != first, "a takeover")
        second = self.holder()
        others = [n for n in range(5) if n not in (first, second)]
        outcomes = self.send_over_rate(others, lambda: self.fleet.kill_daemon(second))
        self.check_rate_not_exceeded(outcomes)

    def test_holder_paused_past_its_lease_and_resumed(self):
        """It grants no tokens after it resumes."""
        holder = self.holder()
        process = self.fleet.daemons[holder].process

        def pause() -> None:
            process.send_signal(signal.SIGSTOP)
            time.sleep(5.0)
            process.send_signal(signal.SIGCONT)

        indexes = self.others(holder)
        outcomes = self.send_over_rate(indexes, pause, seconds=9.0)
        admitted = self.check_rate_not_exceeded(outcomes)
        self.assertGreater(self.count_admitted_after(admitted, admitted[0][0] + 8), 5)

    def test_total_outage_of_the_log(self):
        """No request is refused because of it."""
        self.fleet.set_log_faults(outage=True)
        outcomes = self.send_over_rate([0, 1, 2, 3, 4], seconds=9.0)
        admitted = self.check_rate_not_exceeded(outcomes)
        self.check_rate_is_used(admitted)
        self.assertEqual({"rate_exceeded"}, self.refusal_kinds(outcomes))

    def test_slow_log(self):
        """Reads take most of a lease; no request is refused because of it."""
        self.fleet.set_log_faults(slow_ms=1200)
        outcomes = self.send_over_rate([0, 1, 2, 3, 4], seconds=9.0)
        admitted = self.check_rate_not_exceeded(outcomes)
        self.check_rate_is_used(admitted)
        self.assertEqual({"rate_exceeded"}, self.refusal_kinds(outcomes))

    def test_holder_killed_in_a_total_outage_of_the_log(self):
        """A successor acts as interim holder and does not exceed the rate."""
        self.fleet.set_log_faults(outage=True)
        time.sleep(3.0)
        holder = self.holder()
        outcomes = self.send_over_rate(
            self.others(holder), lambda: self.fleet.kill_daemon(holder), seconds=9.0
        )
        admitted = self.check_rate_not_exceeded(outcomes)
        self.assertGreater(self.count_admitted_after(admitted, admitted[0][0] + 7), 5)

    def test_holder_cut_off_from_the_log_alone(self):
        """Its successors' promises extend its lease; no second holder appears."""
        holder = self.holder()
        outcomes = self.send_over_rate(
            [0, 1, 2, 3, 4],
            lambda: self.fleet.block_traffic(holder, "log"),
            seconds=9.0,
        )
        admitted = self.check_rate_not_exceeded(outcomes)
        self.check_rate_is_used(admitted)

    def test_holder_cut_off_from_everything(self):
        """It stops before the next holder starts."""
        holder = self.holder()
        outcomes = self.send_over_rate(
            [0, 1, 2, 3, 4], lambda: self.fleet.isolate(holder), seconds=10.0
        )
        admitted = self.check_rate_not_exceeded(outcomes)
        self.assertGreater(self.count_admitted_after(admitted, admitted[0][0] + 9), 3)

    def test_graceful_leave_of_the_holder_refuses_no_request(self):
        """Bucket levels are handed over; requests within the rate are admitted."""
        holder = self.holder("large")
        others = self.others(holder)
        refused = []

        def send_slowly() -> None:
            for number in range(100):
                response = self.chat(others[number % 4], "leave", 1, "large")
                if response.status != 200:
                    refused.append(response.error())
                time.sleep(0.06)
                if number == 20:
                    self.fleet.daemons[holder].process.send_signal(signal.SIGTERM)

        send_slowly()
        self.assertEqual([], refused)

    def test_takeover_within_five_seconds(self):
        """Meanwhile requests within the rate wait instead of being refused."""
        holder = self.holder("large")
        others = self.others(holder)
        self.fleet.kill_daemon(holder, unlist=False)
        started_s = time.monotonic()
        response = self.retry(others, lambda n: self.chat(n, "gap", 1, "large"))
        self.assertEqual(200, response.status)
        self.assertLess(time.monotonic() - started_s, 5.0)
