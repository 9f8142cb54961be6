"""Graceful shutdown, leaving endpoints and batch items that pause, with processes."""

import signal
import threading
import time

from standins.engine import generate_text
from standins.fleet import FleetSpec

from .base import ClosedLoopGenerator, FleetTest, stream_events

LEAVE_NOTICE_S = 3.0


class ShutdownTest(FleetTest):
    """SIGTERM under load."""

    fleet_per_test = True
    spec = FleetSpec(daemons=3, engines=3)

    def test_graceful_shutdown_cuts_no_request(self):
        """Running streams end completely; the readiness check fails before that."""
        last_events: list[bytes] = []

        def follow(number: int) -> None:
            response = self.open_stream(0, f"long {number}", 300)
            events = list(stream_events(response))
            last_events.append(events[-1])

        threads = [threading.Thread(target=follow, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        process = self.fleet.daemons[0].process
        process.send_signal(signal.SIGTERM)
        self.fleet.wait_until(lambda: self.fleet.status(0)["draining"], "draining")
        ready = self.fleet.http.request(
            "GET", self.fleet.daemons[0].admin.url + "/ready"
        )
        self.assertEqual(503, ready.status)
        for thread in threads:
            thread.join()
        self.assertEqual([b"[DONE]"] * 12, last_events)
        self.assertEqual(0, process.wait())

    def test_request_that_arrives_while_draining_is_answered_completely(self):
        """The load balancer may not have noticed the failed readiness check yet."""
        events = stream_events(self.open_stream(0, "long", 300))
        next(events)
        self.fleet.daemons[0].process.send_signal(signal.SIGTERM)
        self.fleet.wait_until(lambda: self.fleet.status(0)["draining"], "draining")
        response = self.chat(0, "late", 10)
        self.assertEqual(generate_text("late", 10), self.extract_text(response))
        self.assertEqual(b"[DONE]", list(events)[-1])

    def test_second_signal_ends_the_wait(self):
        """The log then has the number of requests that were cut."""
        events = stream_events(self.open_stream(0, "long", 16_000))
        next(events)
        process = self.fleet.daemons[0].process
        process.send_signal(signal.SIGTERM)
        self.fleet.wait_until(lambda: self.fleet.status(0)["draining"], "draining")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(30))
        events.close()
        self.assertIn('"requests_cut": 1', process.read_log())


class LeavingEndpointTest(FleetTest):
    """Endpoints that the platform removes."""

    fleet_per_test = True
    spec = FleetSpec(daemons=2, engines=3)

    def test_leaving_endpoint_gets_no_new_work(self):
        """Checked a few seconds after the platform lists the endpoint as leaving."""
        load = ClosedLoopGenerator(lambda n: self.chat(n % 2, f"leaving {n}", 10), 8)
        load.start()
        self.submit(0, "leaving", self.make_item_lines("leaving", 200))
        time.sleep(1.0)
        self.fleet.mark_endpoint_leaving(0)
        time.sleep(LEAVE_NOTICE_S)
        before = len(self.received_requests())
        time.sleep(2.0)
        after = len(self.received_requests())
        load.close()
        self.assertEqual(before, after)
        self.assertEqual({200}, {response.status for response in load.outcomes})

    def received_requests(self) -> list:
        """Return the requests that the leaving engine has received."""
        return self.fleet.get(self.fleet.endpoints[0].address, "/seen")["seen"]


class BatchPauseTest(FleetTest):
    """Batch items that pause for online requests."""

    fleet_per_test = True
    spec = FleetSpec(daemons=3, engines=2, slots=8, step_ms=20.0)

    def test_batch_pauses_for_a_burst_and_resumes_from_its_last_token(self):
        """No token of a batch item is generated twice."""
        batch = self.submit(
            0, "give way", self.make_item_lines("give way", 40, 60)
        ).json()
        self.fleet.wait_until(
            lambda: self.count_running_batch_items() >= 10, "batch fills up"
        )
        load = ClosedLoopGenerator(lambda n: self.chat(n % 3, f"burst {n}", 20), 14)
        load.start()
        time.sleep(0.8)
        self.assertLessEqual(self.count_running_batch_items(), 6)
        time.sleep(2.0)
        load.close()
        self.assertEqual({200}, {response.status for response in load.outcomes})
        batch = self.wait_for_job([0, 1, 2], batch["id"])
        self.assertEqual(40, batch["request_counts"]["completed"])
        online_tokens = len(load.outcomes) * 20
        generated_tokens = sum(
            self.fleet.get(vm.address, "/stats")["tokens"]
            for vm in self.fleet.endpoints
        )
        # When an item is paused, the engine may be a token ahead of the runner.
        paused = self.fleet.read_logs().count('"number": 1704')
        self.assertGreater(paused, 0)
        self.assertLessEqual(generated_tokens, online_tokens + 40 * 60 + 3 * paused)
        for line in self.fetch_results([0], batch):
            number = line["custom_id"].rpartition("-")[2]
            content = line["response"]["body"]["choices"][0]["message"]["content"]
            self.assertEqual(generate_text(f"give way item {number}", 60), content)

    def test_batch_fills_idle_capacity_again(self):
        """The allowance grows back in two seconds after the peak has decayed."""
        self.submit(0, "refill", self.make_item_lines("refill", 300, 60))
        self.fleet.wait_until(
            lambda: self.count_running_batch_items() >= 10, "batch fills up"
        )
        load = ClosedLoopGenerator(lambda n: self.chat(n % 3, f"burst {n}", 20), 14)
        load.start()
        time.sleep(1.0)
        load.close()
        self.fleet.wait_until(
            lambda: self.count_running_batch_items() >= 10, "batch is back", 10
        )

    def count_running_batch_items(self) -> int:
        """Return how many batch items run in the whole fleet."""
        return sum(
            endpoint["batch"]
            for index in range(3)
            for endpoint in self.fleet.status(index)["endpoints"].values()
        )
