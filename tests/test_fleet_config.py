"""Configuration in force everywhere, and keys that stop working, under faults."""

import copy
import json
import threading
import time

from apricotquay.errors import RequestError
from apricotquay.ids import hash_key, stable_hash
from apricotquay.operations import withdraw_key
from standins.fleet import FleetSpec

from .base import FleetTest, stream_events

IN_FORCE_S = 5.0


class ConfigTest(FleetTest):
    """Base of the tests of configuration."""

    fleet_per_test = True
    spec = FleetSpec(daemons=4, engines=2, proxied=True)

    def versions(self) -> list[int]:
        """Return the version in force at each running daemon."""
        return [
            self.fleet.status(n)["config_version"]
            for n, vm in enumerate(self.fleet.daemons)
            if vm.process.is_running()
        ]

    def publish_weight(self, weight: float) -> int:
        """Publish a document that can be told by a weight."""
        document = copy.deepcopy(self.fleet.document())
        document["teams"]["small"]["weight"] = weight
        return self.fleet.publish(document)

    def wait_in_force(self, version: int) -> float:
        """Wait until a version is in force everywhere."""
        return self.fleet.wait_until(
            lambda: set(self.versions()) == {version}, f"version {version} in force"
        )


class InForceTest(ConfigTest):
    """Published documents."""

    def test_in_force_everywhere_within_the_target(self):
        """Ten changes in a row."""
        for number in range(10):
            version = self.publish_weight(2.0 + number)
            self.assertLess(self.wait_in_force(version), IN_FORCE_S)

    def test_racing_operators_get_one_winner(self):
        """Each other gets one clear error and has changed nothing."""
        outcomes = []

        def publish(number: int) -> None:
            history = self.fleet.config_client()
            history.refresh()
            barrier.wait()
            document = self.fleet.document()
            document["teams"]["small"]["weight"] = float(number + 2)
            try:
                outcomes.append(history.publish(json.dumps(document), 1, f"op{number}"))
            except RequestError as exc:
                outcomes.append(exc.kind.value)

        barrier = threading.Barrier(4)
        threads = [threading.Thread(target=publish, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(3, outcomes.count("version_conflict"), outcomes)
        self.wait_in_force(2)

    def test_answer_of_a_publish_is_lost(self):
        """The operator learns that it took effect, once."""
        self.fleet.set_log_faults(lose_append_answers=2)
        self.assertEqual(2, self.publish_weight(3.0))
        self.wait_in_force(2)

    def test_daemon_cut_off_from_the_log_gets_it_from_its_peers(self):
        """Within the same target."""
        self.fleet.block_traffic(0, "log")
        time.sleep(1.0)
        version = self.publish_weight(4.0)
        self.assertLess(self.wait_in_force(version), IN_FORCE_S)

    def test_daemon_that_starts_in_an_outage_takes_the_newest_from_peers(self):
        """And serves."""
        self.publish_weight(5.0)
        self.wait_in_force(2)
        self.fleet.set_log_faults(outage=True)
        self.fleet.kill_daemon(3)
        time.sleep(0.5)
        self.fleet.restart_daemon(3)
        self.fleet.wait_until(lambda: self.fleet.status(3)["config_version"] == 2, "2")
        self.fleet.wait_until(lambda: self.chat(3, "served", 2).status == 200, "served")

    def test_daemon_killed_in_a_total_outage_takes_no_shard_along(self):
        """A successor acts in its place, by the promises of the others."""
        self.fleet.set_log_faults(outage=True)
        time.sleep(2.0)
        team_shard = f"rate-{stable_hash('team-shard', 'small') % 16}"
        holder = int(self.fleet.find_shard_holder(team_shard).removeprefix("entry-"))
        self.fleet.kill_daemon(holder)
        rest = [n for n in range(4) if n != holder]
        time.sleep(IN_FORCE_S)
        for index in rest:
            self.assertEqual(200, self.chat(index, "outage", 2).status)
        self.fleet.set_log_faults(outage=False)
        time.sleep(IN_FORCE_S)
        for index in rest:
            self.assertEqual(200, self.chat(index, "after", 2).status)

    def test_total_outage_of_the_log_stops_no_one(self):
        """For longer than the view may be unconfirmed."""
        self.fleet.set_log_faults(outage=True)
        time.sleep(6.0)
        for index in range(4):
            self.assertEqual(200, self.chat(index, "outage", 2).status)


class RetentionOfConfigTest(ConfigTest):
    """The log keeps records for seconds."""

    spec = FleetSpec(daemons=3, engines=1, retention_ms=9_000)

    def test_configuration_outlives_the_retention(self):
        """For a daemon that starts afterwards, and for the next operator."""
        self.publish_weight(6.0)
        self.wait_in_force(2)
        time.sleep(25.0)
        self.fleet.kill_daemon(2)
        self.fleet.restart_daemon(2)
        self.fleet.wait_until(lambda: self.fleet.status(2)["config_version"] == 2, "2")
        self.assertEqual(3, self.publish_weight(7.0))
        self.wait_in_force(3)


class WithdrawnKeyTest(ConfigTest):
    """Keys that stop working."""

    def withdraw(self) -> float:
        """Withdraw the key of a team; return when that was accepted."""
        withdraw_key(self.fleet.config_client(), self.fleet.keys["small"], "operator")
        return time.monotonic()

    def test_new_requests_and_open_streams_stop(self):
        """At every daemon within the target; other teams' streams go on."""
        streams = [self.open_stream(n, "withdrawn", 3000) for n in range(4)]
        other = self.open_stream(0, "other", 600, "large")
        ends: dict[int, tuple[float, bytes]] = {}

        def follow(number: int) -> None:
            last = b""
            for event in stream_events(streams[number]):
                last = event
            ends[number] = (time.monotonic(), last)

        threads = [threading.Thread(target=follow, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        withdrawn_s = self.withdraw()
        for thread in threads:
            thread.join()
        for ended_s, last in ends.values():
            self.assertLess(ended_s - withdrawn_s, IN_FORCE_S)
            self.assertEqual("key_withdrawn", json.loads(last)["error"]["type"])
        for index in range(4):
            answer = self.chat(index, "again")
            self.assertEqual("key_withdrawn", answer.error()["type"])
        self.assertEqual(b"[DONE]", list(stream_events(other))[-1])

    def test_daemon_cut_off_from_log_and_peers_stops_taking_requests(self):
        """It cannot know that the key was withdrawn, and says so."""
        self.fleet.isolate(0)
        self.withdraw()
        time.sleep(IN_FORCE_S)
        answer = self.chat(0, "stale")
        self.assertEqual("view_stale", answer.error()["type"])
        self.assertEqual("not_run", answer.error()["ran"])
        ready = self.fleet.http.request(
            "GET", self.fleet.daemons[0].admin.url + "/ready"
        )
        self.assertEqual(503, ready.status)
        for index in (1, 2, 3):
            self.assertEqual(401, self.chat(index, "known").status)
        self.fleet.proxy.clear_faults()
        self.fleet.wait_until(lambda: self.chat(0, "healed").status == 401, "healed")

    def test_key_that_moves_to_another_team(self):
        """It runs for its new team only, and sees nothing of the old one."""
        batch = self.submit(0, "mine", self.item_lines("mine", 2)).json()
        self.wait_for_job([0], batch["id"])
        document = self.fleet.document()
        moved = {"hash": hash_key(self.fleet.keys["small"])}
        document["teams"]["small"]["keys"] = []
        document["teams"]["large"]["keys"].append(moved)
        self.wait_in_force(self.fleet.publish(document))
        answer = self.call(1, "GET", f"/v1/batches/{batch['id']}")
        self.assertEqual(404, answer.status)
