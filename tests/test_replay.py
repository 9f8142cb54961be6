"""Replays of recorded traces that resemble the two deployments."""

import tempfile
from pathlib import Path

from apricotquay.errors import RequestError
from apricotquay.operations import withdraw_key
from apricotquay.replay import Replayer, load_trace
from standins.fleet import Fleet, FleetSpec, TeamSpec

from .base import ApricotTest

TRACES = Path(__file__).parent.parent / "traces"
STEADY_TEAM = TeamSpec(rate_per_s=40.0, burst=40)
BURSTING_TEAM = TeamSpec(rate_per_s=10.0, burst=20)


class TraceTest(ApricotTest):
    """Full traces against real processes; the `expect` lines of a trace are checked."""

    def replay(self, name: str, model: str, daemons: int, teams: dict) -> list:
        """Replay a trace and return the results of its expectations."""
        spec = FleetSpec(daemons=daemons, engines=6, model=model, teams=teams)
        fleet = Fleet(spec)
        fleet.start()
        self.addCleanup(fleet.close)
        faults = {
            "lose_vm": lambda target: fleet.kill_daemon(int(target)),
            "withdraw_key": lambda team: withdraw_key(
                fleet.config_client(), fleet.keys[team], "operator"
            ),
        }
        urls = [vm.caller.url for vm in fleet.daemons]
        replayer = Replayer(urls, fleet.keys, faults)
        return replayer.run(load_trace(str(TRACES / f"{name}.jsonl")))

    def assert_all_met(self, results: list) -> None:
        """Assert that every expectation was met."""
        self.assertEqual([], [result for result in results if not result.met])

    def test_teranga_trace(self):
        """Four availability zones, an evening batch, a burst and the loss of a VM."""
        names = ("registry", "filings", "portal", "reception", "accounts", "couriers")
        teams = {name: STEADY_TEAM for name in (*names, "notary")}
        results = self.replay(
            "teranga", "quay-llm", 5, {**teams, "bulk": BURSTING_TEAM}
        )
        self.assert_all_met(results)

    def test_pelletier_trace(self):
        """Three availability zones, a job of route sheets, a burst, a withdrawn key."""
        names = ("routes", "pharmacy", "stock", "seafood", "labs", "caterers")
        teams = {name: STEADY_TEAM for name in (*names, "office")}
        teams = {**teams, "dispatch": BURSTING_TEAM}
        self.assert_all_met(self.replay("pelletier", "desk-assist", 5, teams))

    def test_error_names_the_malformed_line(self):
        """The message contains the file and the number of the line."""
        path = Path(self.temporary_directory()) / "bad.jsonl"
        path.write_text('{"at_ms": 0}\n{"at": 1}\n')
        with self.assertRaises(RequestError) as caught:
            load_trace(str(path))
        self.assertIn("bad.jsonl:2", caught.exception.message)

    def temporary_directory(self) -> str:
        """Return a directory that is removed after the test."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return directory.name
