"""Jobs on real processes: every accepted item completes once, whatever fails."""

import signal
import time

from apricotquay.ids import stable_hash
from standins.engine import generate_text
from standins.fleet import FleetSpec

from .base import FleetTest


class JobTest(FleetTest):
    """Base of the tests of jobs."""

    fleet_per_test = True

    def check_each_item_once(
        self, indexes: list[int], job: str, name: str, count: int, tokens: int = 8
    ) -> None:
        """Compare the results with the submitted items and the engine's responses."""
        batch = self.wait_for_job(indexes, job)
        self.assertEqual("completed", batch["status"])
        lines = self.fetch_results(indexes, batch)
        expected = {
            f"{name}-{n}": generate_text(f"{name} item {n}", tokens)
            for n in range(count)
        }
        self.assertEqual(count, len(lines))
        got = {
            line["custom_id"]: line["response"]["body"]["choices"][0]["message"][
                "content"
            ]
            for line in lines
        }
        self.assertEqual(expected, got)

    def find_holder_of_open_jobs(self, indexes: list[int]) -> int:
        """Return the index of a daemon that holds a partition with open jobs."""
        for index in indexes:
            for text in self.fleet.status(index)["partitions"].values():
                if text.startswith("held") and " 0 open jobs" not in text:
                    return index
        raise LookupError("no daemon holds an open job")


class ExactlyOnceTest(JobTest):
    """Daemons fail with items in flight."""

    spec = FleetSpec(daemons=4, engines=2, slots=8)

    def test_daemon_killed_right_after_acknowledging_the_job(self):
        """A resend to another daemon returns the same job."""
        lines = self.make_item_lines("ack", 60)
        batch = self.submit(0, "ack", lines).json()
        self.fleet.kill_daemon(0)
        again = self.submit_until_accepted([1, 2, 3], "ack", lines)
        self.assertEqual(batch["id"], again["id"])
        self.check_each_item_once([1, 2, 3], batch["id"], "ack", 60)

    def test_holder_killed_twice_with_items_in_flight(self):
        """Each new holder continues from the state in the log."""
        batch = self.submit(0, "kill", self.make_item_lines("kill", 300, 20)).json()
        alive = [0, 1, 2, 3]
        for _ in range(2):
            time.sleep(1.0)
            holder = self.find_holder_of_open_jobs(alive)
            self.fleet.kill_daemon(holder)
            alive.remove(holder)
        self.check_each_item_once(alive, batch["id"], "kill", 300, 20)

    def test_holder_suspended_past_its_lease_and_resumed(self):
        """Records that it writes under its old claim are ignored."""
        batch = self.submit(0, "freeze", self.make_item_lines("freeze", 300, 20)).json()
        self.fleet.wait_until(
            lambda: self.find_holder_of_open_jobs([0, 1, 2, 3]) >= 0, "work"
        )
        holder = self.find_holder_of_open_jobs([0, 1, 2, 3])
        process = self.fleet.daemons[holder].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(6.0)
        process.send_signal(signal.SIGCONT)
        self.check_each_item_once([0, 1, 2, 3], batch["id"], "freeze", 300, 20)

    def test_graceful_shutdown_of_the_holder(self):
        """On SIGTERM the holder hands its partitions over."""
        batch = self.submit(0, "leave", self.make_item_lines("leave", 300, 20)).json()
        self.fleet.wait_until(
            lambda: self.find_holder_of_open_jobs([0, 1, 2, 3]) >= 0, "work"
        )
        holder = self.find_holder_of_open_jobs([0, 1, 2, 3])
        self.fleet.daemons[holder].process.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.fleet.daemons[holder].process.wait())
        rest = [n for n in range(4) if n != holder]
        self.check_each_item_once(rest, batch["id"], "leave", 300, 20)


class LogFaultTest(JobTest):
    """The log loses responses or is unavailable."""

    spec = FleetSpec(daemons=3, engines=2)

    def test_responses_of_appends_are_lost(self):
        """The append took effect; its retry changes nothing."""
        self.fleet.set_log_faults(lose_append_answers=15)
        lines = self.make_item_lines("lost", 80)
        batch = self.submit_until_accepted([0, 1, 2], "lost", lines)
        self.check_each_item_once([0, 1, 2], batch["id"], "lost", 80)

    def test_log_is_down_while_items_run(self):
        """Results wait until the log is back; none is lost or duplicated."""
        batch = self.submit(0, "outage", self.make_item_lines("outage", 200, 20)).json()
        time.sleep(0.5)
        self.fleet.set_log_faults(outage=True)
        time.sleep(5.0)
        self.fleet.set_log_faults(outage=False)
        self.check_each_item_once([0, 1, 2], batch["id"], "outage", 200, 20)

    def test_job_is_not_acknowledged_without_the_log(self):
        """The error says that the outcome is unknown; the caller may resend the job."""
        self.fleet.set_log_faults(append_outage=True)
        response = self.submit(0, "down", self.make_item_lines("down", 3))
        self.assertEqual("log_unavailable", response.error()["type"])
        self.assertEqual("unknown", response.error()["ran"])
        self.fleet.set_log_faults(append_outage=False)
        batch = self.submit(1, "down", self.make_item_lines("down", 3)).json()
        self.check_each_item_once([0, 1, 2], batch["id"], "down", 3)

    def test_same_job_key_with_other_items_is_a_conflict(self):
        """The first job keeps its items."""
        first = self.submit(0, "key", self.make_item_lines("key", 3)).json()
        other = self.submit(1, "key", self.make_item_lines("other", 4))
        self.assertEqual("job_key_conflict", other.error()["type"])
        self.check_each_item_once([2], first["id"], "key", 3)


class RetentionTest(JobTest):
    """The log retains records for a few seconds."""

    spec = FleetSpec(daemons=3, engines=2, retention_ms=8_000)

    def test_results_stay_readable_past_the_retention(self):
        """They are also readable from a daemon that claims the partition afterwards."""
        batch = self.submit(0, "keep", self.make_item_lines("keep", 40)).json()
        self.check_each_item_once([0, 1, 2], batch["id"], "keep", 40)
        time.sleep(20.0)
        self.check_each_item_once([0, 1, 2], batch["id"], "keep", 40)
        holder = self.find_holder_of_job(batch["id"])
        self.fleet.kill_daemon(holder)
        rest = [n for n in range(3) if n != holder]
        self.check_each_item_once(rest, batch["id"], "keep", 40)

    def find_holder_of_job(self, job: str) -> int:
        """Return the daemon that holds the job's partition."""
        name = f"jobs-{stable_hash('partition', job) % 8}"
        for index in range(3):
            text = self.fleet.status(index)["partitions"].get(name, "")
            if text.startswith("held"):
                return index
        raise LookupError(name)


class CancelTest(JobTest):
    """Cancellation of jobs."""

    spec = FleetSpec(daemons=3, engines=2, slots=4)

    def test_cancelled_job_stops_running(self):
        """A few seconds later, engines generate no more tokens for it."""
        batch = self.submit(
            0, "cancel", self.make_item_lines("cancel", 400, 100)
        ).json()
        time.sleep(1.5)
        response = self.call(1, "POST", f"/v1/batches/{batch['id']}/cancel")
        self.assertEqual("cancelled", response.json()["status"])
        done = response.json()["request_counts"]["completed"]
        time.sleep(3.0)
        before = self.tokens()
        time.sleep(1.0)
        self.assertEqual(before, self.tokens())
        after = self.fetch_batch([2], batch["id"])["request_counts"]["completed"]
        self.assertEqual(done, after)

    def test_cancellation_persists_if_the_holder_is_killed_at_once(self):
        """The cancellation is in the log before it is acknowledged."""
        batch = self.submit(
            0, "cancel2", self.make_item_lines("cancel2", 400, 100)
        ).json()
        time.sleep(1.0)
        holder = self.find_holder_of_open_jobs([0, 1, 2])
        self.call(0, "POST", f"/v1/batches/{batch['id']}/cancel")
        self.fleet.kill_daemon(holder)
        rest = [n for n in range(3) if n != holder]
        self.assertEqual("cancelled", self.fetch_batch(rest, batch["id"])["status"])

    def tokens(self) -> int:
        """Return how many tokens all engines have generated."""
        return sum(
            self.fleet.get(vm.address, "/stats")["tokens"]
            for vm in self.fleet.endpoints
        )


class NonIdempotentTest(JobTest):
    """Non-idempotent calls run at most once."""

    spec = FleetSpec(daemons=3, engines=1, services=2)

    def setUp(self):
        super().setUp()
        self.services = self.fleet.endpoints[-2:]

    def executed(self) -> list[str]:
        """Return the bodies that the services executed."""
        return [
            entry["body"]
            for vm in self.services
            for entry in self.fleet.get(vm.address, "/seen")["seen"]
        ]

    def set_faults(self, **faults) -> None:
        """Set faults on both services, since a retry may go to either."""
        for vm in self.services:
            self.fleet.post(vm.address, "/faults", faults)

    def check_at_most_once(self, batch: dict, indexes: list[int], count: int) -> dict:
        """Check the results against the calls that the services recorded."""
        batch = self.wait_for_job(indexes, batch["id"])
        executed = self.executed()
        self.assertEqual(len(executed), len(set(executed)))
        lines = self.fetch_results(indexes, batch)
        self.assertEqual(
            count, len({line["custom_id"] or line["id"] for line in lines})
        )
        succeeded = [line for line in lines if line["response"]]
        self.assertLessEqual(len(succeeded), len(executed))
        return batch

    def test_each_call_runs_once_without_faults(self):
        """Every call completes."""
        batch = self.submit(0, "calls", self.make_service_lines("calls", 30)).json()
        batch = self.check_at_most_once(batch, [0, 1, 2], 30)
        self.assertEqual(30, batch["request_counts"]["completed"])

    def test_daemons_killed_between_record_and_result(self):
        """An attempt without a recorded end is not repeated."""
        self.set_faults(delay_ms=500)
        batch = self.submit(0, "killed", self.make_service_lines("killed", 200)).json()
        time.sleep(1.2)
        holder = self.find_holder_of_open_jobs([0, 1, 2])
        self.fleet.kill_daemon(holder)
        rest = [n for n in range(3) if n != holder]
        self.check_at_most_once(batch, rest, 200)

    def test_responses_of_the_service_are_lost(self):
        """The job reports the items' outcomes as unknown."""
        self.set_faults(lose_answers=3)
        batch = self.submit(0, "lose", self.make_service_lines("lose", 20)).json()
        batch = self.check_at_most_once(batch, [0, 1, 2], 20)
        self.assertEqual("6", batch["metadata"]["unknown_items"])

    def test_online_call_whose_response_is_lost_is_not_repeated(self):
        """The error says that the call may have run."""
        self.set_faults(lose_answers=1)
        response = self.call(0, "POST", "/services/filing/x", body=b"once")
        self.assertEqual("unknown", response.error()["ran"])
        self.assertEqual(1, self.executed().count("once"))

    def test_refused_call_is_not_run(self):
        """The service refuses it, so the error says that it did not run."""
        self.set_faults(refuse=True)
        response = self.call(0, "POST", "/services/filing/x", body=b"never")
        self.assertEqual("not_run", response.error()["ran"])
        self.assertEqual([], self.executed())
