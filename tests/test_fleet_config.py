"""Distribution of configurations and withdrawal of keys, under faults."""

import copy
import json
import threading
import time

from apricotquay.errors import RequestError
from apricotquay.ids import hash_key, stable_hash
from apricotquay.operations import withdraw_key
from standins.fleet import FleetSpec

from .base import FleetTest, stream_events

IN_FORCE_LIMIT_S = 5.0


class ConfigTest(FleetTest):
    """Base of the configuration tests."""

    fleet_per_test = True
    spec = FleetSpec(daemons=4, engines=2, proxied=True)

    def versions(self) -> list[int]:
        """Return the configuration version in force at each running daemon."""
        return [
            self.fleet.status(n)["config_version"]
            for n, vm in enumerate(self.fleet.daemons)
            if vm.process.is_running()
        ]

    def publish_weight(self, weight: float) -> int:
        """Publish a document that is identified by a weight."""
        document = copy.deepcopy(self.fleet.document())
        document["teams"]["small"]["weight"] = weight
        return self.fleet.publish(document)

    def wait_in_force(self, version: int) -> float:
        """Wait until a version is in force everywhere."""
        return self.fleet.wait_until(
            lambda: set(self.versions()) == {version}, f"version {version} in force"
        )


class InForceTest(ConfigTest):
    """Published documents come into force at every daemon."""

    def test_in_force_everywhere_within_the_target(self):
        """Ten changes in a row, each within IN_FORCE_LIMIT_S."""
        for number in range(10):
            version = self.publish_weight(2.0 + number)
            self.assertLess(self.wait_in_force(version), IN_FORCE_LIMIT_S)

    def test_one_of_several_concurrent_operators_succeeds(self):
        """The others each get a version conflict and change nothing."""
        outcomes = []

        def publish(number: int) -> None:
            client = self.fleet.config_client()
            client.refresh()
            barrier.wait()
            document = self.fleet.document()
            document["teams"]["small"]["weight"] = float(number + 2)
            try:
                outcomes.append(client.publish(json.dumps(document), 1, f"op{number}"))
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

    def test_publish_succeeds_if_its_response_is_lost(self):
        """The operator sees that the document was published exactly once."""
        self.fleet.set_log_faults(lose_append_answers=2)
        self.assertEqual(2, self.publish_weight(3.0))
        self.wait_in_force(2)

    def test_daemon_without_log_access_gets_the_configuration_from_peers(self):
        """It applies a new version within the same time limit."""
        self.fleet.block_traffic(0, "log")
        time.sleep(1.0)
        version = self.publish_weight(4.0)
        self.assertLess(self.wait_in_force(version), IN_FORCE_LIMIT_S)

    def test_daemon_that_starts_in_an_outage_takes_the_newest_from_peers(self):
        """It then serves requests."""
        self.publish_weight(5.0)
        self.wait_in_force(2)
        self.fleet.set_log_faults(outage=True)
        self.fleet.kill_daemon(3)
        time.sleep(0.5)
        self.fleet.restart_daemon(3)
        self.fleet.wait_until(lambda: self.fleet.status(3)["config_version"] == 2, "2")
        self.fleet.wait_until(lambda: self.chat(3, "served", 2).status == 200, "served")

    def test_shards_of_a_daemon_killed_in_a_total_outage_stay_available(self):
        """A successor takes over on the promises of the other daemons."""
        self.fleet.set_log_faults(outage=True)
        time.sleep(2.0)
        team_shard = f"rate-{stable_hash('team-shard', 'small') % 16}"
        holder = int(self.fleet.find_shard_holder(team_shard).removeprefix("entry-"))
        self.fleet.kill_daemon(holder)
        remaining = [n for n in range(4) if n != holder]
        time.sleep(IN_FORCE_LIMIT_S)
        for index in remaining:
            self.assertEqual(200, self.chat(index, "outage", 2).status)
        self.fleet.set_log_faults(outage=False)
        time.sleep(IN_FORCE_LIMIT_S)
        for index in remaining:
            self.assertEqual(200, self.chat(index, "after", 2).status)

    def test_total_outage_of_the_log_stops_no_one(self):
        """The outage lasts longer than a view may otherwise stay unconfirmed."""
        self.fleet.set_log_faults(outage=True)
        time.sleep(6.0)
        for index in range(4):
            self.assertEqual(200, self.chat(index, "outage", 2).status)


class ConfigRetentionTest(ConfigTest):
    """The log's retention is 9 seconds."""

    spec = FleetSpec(daemons=3, engines=1, retention_ms=9_000)

    def test_configuration_outlives_the_retention(self):
        """A daemon that starts later and the next operator still find it."""
        self.publish_weight(6.0)
        self.wait_in_force(2)
        time.sleep(25.0)
        self.fleet.kill_daemon(2)
        self.fleet.restart_daemon(2)
        self.fleet.wait_until(lambda: self.fleet.status(2)["config_version"] == 2, "2")
        self.assertEqual(3, self.publish_weight(7.0))
        self.wait_in_force(3)


class WithdrawnKeyTest(ConfigTest):
    """Withdrawn and moved API keys."""

    def withdraw(self) -> float:
        """Withdraw a team's key and return the time at which it was accepted."""
        withdraw_key(self.fleet.config_client(), self.fleet.keys["small"], "operator")
        return time.monotonic()

    def test_requests_are_rejected_and_open_streams_end(self):
        """All daemons do so within the limit; streams of other teams continue."""
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
            self.assertLess(ended_s - withdrawn_s, IN_FORCE_LIMIT_S)
            self.assertEqual("key_withdrawn", json.loads(last)["error"]["type"])
        for index in range(4):
            response = self.chat(index, "again")
            self.assertEqual("key_withdrawn", response.error()["type"])
        self.assertEqual(b"[DONE]", list(stream_events(other))[-1])

    def test_daemon_isolated_from_log_and_peers_rejects_requests(self):
        """It cannot know whether the key was withdrawn, and reports view_stale."""
        self.fleet.isolate(0)
        self.withdraw()
        time.sleep(IN_FORCE_LIMIT_S)
        response = self.chat(0, "stale")
        self.assertEqual("view_stale", response.error()["type"])
        self.assertEqual("not_run", response.error()["ran"])
        ready = self.fleet.http.request(
            "GET", self.fleet.daemons[0].admin.url + "/ready"
        )
        self.assertEqual(503, ready.status)
        for index in (1, 2, 3):
            self.assertEqual(401, self.chat(index, "known").status)
        self.fleet.proxy.clear_faults()
        self.fleet.wait_until(lambda: self.chat(0, "healed").status == 401, "healed")

    def test_key_moved_to_another_team_has_no_access_to_the_former_team(self):
        """Its requests run for the new team, and jobs of the former are not found."""
        batch = self.submit(0, "mine", self.make_item_lines("mine", 2)).json()
        self.wait_for_job([0], batch["id"])
        document = self.fleet.document()
        moved = {"hash": hash_key(self.fleet.keys["small"])}
        document["teams"]["small"]["keys"] = []
        document["teams"]["large"]["keys"].append(moved)
        self.wait_in_force(self.fleet.publish(document))
        response = self.call(1, "GET", f"/v1/batches/{batch['id']}")
        self.assertEqual(404, response.status)
