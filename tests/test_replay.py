"""Recorded traces in the shape of the two deployments, and their outcomes."""

import tempfile
from pathlib import Path

from apricotquay.errors import RequestError
from apricotquay.operations import withdraw_key
from apricotquay.replay import Replayer, load_trace
from standins.fleet import Fleet, FleetSpec, TeamSpec

from .base import ApricotTest

TRACES = Path(__file__).parent.parent / "traces"
STEADY = TeamSpec(rate_per_s=40.0, burst=40)
BURSTING = TeamSpec(rate_per_s=10.0, burst=20)


class TraceTest(ApricotTest):
    """Whole traces against processes; the stated outcomes are the judge."""

    def replay(self, name: str, model: str, daemons: int, teams: dict) -> list:
        """Replay a trace and return its outcomes."""
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

    def check(self, outcomes: list) -> None:
        """Every stated outcome was met."""
        self.assertEqual([], [outcome for outcome in outcomes if not outcome.met])

    def test_teranga(self):
        """Four zones, an evening batch, a burst, a VM lost."""
        names = ("registry", "filings", "portal", "reception", "accounts", "couriers")
        teams = {name: STEADY for name in (*names, "notary")}
        outcomes = self.replay("teranga", "quay-llm", 5, {**teams, "bulk": BURSTING})
        self.check(outcomes)

    def test_pelletier(self):
        """Three zones, route sheets, a burst, a key withdrawn."""
        names = ("routes", "pharmacy", "stock", "seafood", "labs", "caterers")
        teams = {name: STEADY for name in (*names, "office")}
        teams = {**teams, "dispatch": BURSTING}
        self.check(self.replay("pelletier", "desk-assist", 5, teams))

    def test_malformed_line_is_named(self):
        """The error says which line."""
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
