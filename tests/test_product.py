"""Settings, documents, submissions, reports, the command line and the docs."""

import json
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from parameterized import parameterized

from apricotquay.burn import compute_burn_rows, render_burn_page, render_burn_table
from apricotquay.document import KeyIndex, parse_document
from apricotquay.errors import ErrorKind, RequestError
from apricotquay.events import Event
from apricotquay.ids import JobId, TeamId, hash_key
from apricotquay.metrics import Metrics
from apricotquay.settings import load_settings
from apricotquay.submission import check_submission, split_into_chunks
from standins.fleet import FleetSpec

from .base import ApricotTest, FleetTest

ROOT = Path(__file__).parent.parent


class DocsTest(ApricotTest):
    """Docs that must match the code."""

    def test_event_catalogue_is_complete(self):
        """It lists all numbers and messages in order; no number is used twice."""
        text = (ROOT / "docs" / "EVENTS.md").read_text()
        listed = re.findall(r"^\| (\d+) \| ([^|]+) \|", text, re.MULTILINE)
        expected = [(str(e.number), e.message) for e in Event]
        self.assertEqual(expected, listed)
        self.assertEqual(len(expected), len({number for number, _ in expected}))

    def test_every_error_kind_is_in_the_docs_for_callers(self):
        """Callers look up there what to do about an error."""
        text = (ROOT / "docs" / "CALLERS.md").read_text()
        for kind in ErrorKind:
            self.assertIn(f"`{kind.value}`", text)

    def test_known_red_entries_name_tests_that_exist(self):
        """An entry for a test that no longer exists has no effect and misleads."""
        text = (ROOT / "KNOWN-RED.txt").read_text()
        for path in re.findall(r"^(tests/\S+?)::", text, re.MULTILINE):
            self.assertTrue((ROOT / path).exists(), path)


class SettingsTest(ApricotTest):
    """The settings file of a daemon."""

    VALID = {
        "vm_id": "entry-0",
        "region": "sn-ouest",
        "availability_zone": "plateau",
        "environment": "trial",
        "log_url": "http://127.0.0.1:1",
        "vm_list_url": "http://127.0.0.1:2",
    }

    def load(self, text: str):
        """Load settings from a text."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            return load_settings(file.name)

    def test_comments_are_allowed(self):
        """Trailing commas are allowed too."""
        text = json.dumps(self.VALID)[:-1] + ', // the zone\n "lease_ms": 900,}'
        self.assertEqual(900, self.load(text).lease_ms)

    @parameterized.expand(
        [
            ("wrong type", {"lease_ms": "soon"}, "lease_ms"),
            ("unknown field", {"leese_ms": 1}, "leese_ms"),
            ("not above zero", {"lease_ms": 0}, "lease_ms"),
            ("missing", {"vm_id": None}, "vm_id"),
        ]
    )
    def test_error_names_the_field(self, _name, change, field):
        """No invalid or missing value is replaced by a guess."""
        values = {**self.VALID, **change}
        with self.assertRaises(RequestError) as caught:
            self.load(json.dumps(values))
        self.assertIs(ErrorKind.SETTINGS_INVALID, caught.exception.kind)
        self.assertIn(field, caught.exception.message)

    def test_error_names_the_line(self):
        """In malformed JSON, this is the line of the first error."""
        with self.assertRaises(RequestError) as caught:
            self.load('{\n"vm_id": "x",\n"region" 1}')
        self.assertIn(".json:3", caught.exception.message)


class DocumentTest(ApricotTest):
    """The document of an environment."""

    @parameterized.expand(
        [
            ("rate", {"teams": {"a": {"rate_per_s": 0, "burst": 1}}}, "teams.a.rate"),
            ("burst", {"teams": {"a": {"rate_per_s": 1, "burst": 0}}}, "teams.a.burst"),
            ("type", {"teams": {"a": {"rate_per_s": "x", "burst": 1}}}, "rate_per_s"),
            (
                "key",
                {
                    "teams": {
                        "a": {"rate_per_s": 1, "burst": 1, "keys": [{"hash": "x"}]}
                    }
                },
                "teams.a.keys[0].hash",
            ),
            ("model", {"routes": {"r": {"kind": "model", "target": "x"}}}, "routes.r"),
            (
                "open",
                {"routes": {"r": {"kind": "service", "target": "x", "open": True}}},
                "routes.r.open",
            ),
            ("unknown", {"colour": 1}, "colour"),
        ]
    )
    def test_error_names_the_path(self, _name, change, path):
        """The error also names the source of the document."""
        with self.assertRaises(RequestError) as caught:
            parse_document(json.dumps(self.document(**change)), "doc.json")
        self.assertIn("doc.json", caught.exception.message)
        self.assertIn(path, caught.exception.message)

    def test_key_of_two_teams_is_an_error(self):
        """A request with it could belong to either team."""
        document = self.document()
        document["teams"]["large"]["keys"] = document["teams"]["small"]["keys"]
        with self.assertRaises(RequestError) as caught:
            parse_document(json.dumps(document))
        self.assertIn("already belongs to team small", caught.exception.message)

    def test_withdrawn_key_is_distinguished_from_an_unknown_one(self):
        """The caller learns whether its key was withdrawn or never existed."""
        document = self.document()
        document["teams"]["small"]["keys"][0]["withdrawn"] = True
        keys = KeyIndex(parse_document(json.dumps(document)))
        for key, kind in (("sk-small", "key_withdrawn"), ("x", "key_rejected")):
            with self.assertRaises(RequestError) as caught:
                keys.find_team(hash_key(key))
            self.assertEqual(kind, caught.exception.kind.value)
            self.assertEqual("not_run", caught.exception.ran.value)


class SubmissionTest(ApricotTest):
    """The lines of a job."""

    def test_chunks_hold_every_line_once_in_order(self):
        """This holds for lines of any size."""
        document = parse_document(json.dumps(self.document()))
        lines = [
            json.dumps(
                {
                    "custom_id": f"i{n}",
                    "url": "/v1/chat/completions",
                    "body": {
                        "model": "quay-llm",
                        "messages": [
                            {"role": "user", "content": "x" * (n * 37 % 9000)}
                        ],
                    },
                }
            ).encode()
            for n in range(1300)
        ]
        team = TeamId("small")
        submission = check_submission(document, team, b"\n".join(lines))
        chunks = list(split_into_chunks(JobId("j"), team, submission))
        self.assertEqual(lines, [line for chunk in chunks for line in chunk.items])
        firsts = [sum(len(c.items) for c in chunks[:n]) for n in range(len(chunks))]
        self.assertEqual(firsts, [chunk.first for chunk in chunks])
        self.assertLess(max(sum(map(len, c.items)) for c in chunks), 300_000)


class BurnTest(ApricotTest):
    """The report on the burn rate of service-level objectives."""

    def rows(self, good: int, bad: int) -> list:
        """Return the report on two daemons with the same counts."""
        exports = []
        for _ in range(2):
            metrics = Metrics()
            for number in range(good + bad):
                metrics.record_request("small", "quay-llm", number < good, 20.0)
            exports.append(metrics.export())
        objectives = {"quay-llm": {"good_share": 0.9, "first_token_ms": 650}}
        text = json.dumps(self.document(objectives=objectives))
        return list(compute_burn_rows(exports, parse_document(text), time.time()))

    def test_burn_rate_is_the_bad_share_over_the_error_budget(self):
        """The counts of all daemons are merged first."""
        row = self.rows(8, 2)[0]
        self.assertEqual((20, 4), (row.total, row.bad))
        self.assertAlmostEqual(2.0, row.burn_rates[0])
        self.assertEqual("", row.alarm)
        self.assertAlmostEqual(20.0, row.p99_ms, delta=0.5)

    def test_fast_burn_raises_an_alarm(self):
        """The table and the HTML page show it."""
        rows = self.rows(0, 10)
        self.assertEqual("ticket", rows[0].alarm)
        self.assertIn("ticket", "\n".join(render_burn_table(rows)))
        page = render_burn_page(rows, "<now>")
        self.assertIn("&lt;now&gt;", page)
        self.assertNotIn("http", page.replace("charset=utf-8", ""))


class CommandLineTest(FleetTest):
    """The command line with a running fleet."""

    spec = FleetSpec(daemons=2, engines=1)

    def run_command(self, *args: str) -> subprocess.CompletedProcess:
        """Run the command line as an operator would."""
        return subprocess.run(
            [sys.executable, "-m", "apricotquay.cmdline", *args],
            capture_output=True,
            text=True,
            timeout=120,
            cwd=ROOT,
            check=False,
        )

    def write_file(self, name: str, text: str) -> str:
        """Write a file that is removed after the test."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / name
        path.write_text(text)
        return str(path)

    def test_publish_promote_and_conflict(self):
        """From trial to production; an outdated base or source version is an error."""
        document = self.fleet.document()
        path = self.write_file("trial.json", json.dumps(document))
        log = f"--log={self.fleet.log_address.url}"
        trial = "--environment=trial"
        result = self.run_command("publish", path, log, trial, "--base_version=0")
        self.assertIn("trial: version 1 is in force", result.stdout, result.stderr)
        outdated = self.run_command("publish", path, log, trial, "--base_version=0")
        self.assertEqual(1, outdated.returncode)
        self.assertIn("version_conflict", outdated.stderr)
        mismatched = self.run_command(
            "promote", "trial", "production", log, "--source_version=7"
        )
        self.assertIn("version_conflict", mismatched.stderr)
        result = self.run_command(
            "promote", "trial", "production", log, "--source_version=1"
        )
        self.assertIn("production: version 2 is in force", result.stdout, result.stderr)
        unchanged = self.run_command("diff", path, log, "--environment=production")
        self.assertEqual("", unchanged.stdout)

    def test_validate_names_the_path(self):
        """The error names the path; nothing is published."""
        document = self.fleet.document()
        document["teams"]["small"]["burst"] = 0
        path = self.write_file("bad.json", json.dumps(document))
        result = self.run_command("validate", path)
        self.assertEqual(1, result.returncode)
        self.assertIn("teams.small.burst", result.stderr)

    def test_submit_follow_explain_and_report(self):
        """All commands for a job, then the burn report."""
        path = self.write_file(
            "items.jsonl", "\n".join(self.make_item_lines("cli", 10))
        )
        url = f"--url={self.fleet.daemons[0].caller.url}"
        key = f"--key={self.fleet.keys['small']}"
        job = self.run_command("submit", path, url, key, "--job_key=cli").stdout.strip()
        followed = self.run_command("follow", job, url, key)
        self.assertIn("completed: 10 of 10", followed.stdout, followed.stderr)
        admin = f"--admin={self.fleet.daemons[1].admin.url}"
        explained = self.run_command("explain", admin, f"--job={job}", "--index=3")
        self.assertIn("item 3: done", explained.stdout, explained.stderr)
        self.chat(0, "burn", 2)
        admins = ",".join(vm.admin.url for vm in self.fleet.daemons)
        page = self.write_file("burn.html", "")
        report = self.run_command(
            "report",
            "burn",
            f"--admin={admins}",
            f"--log={self.fleet.log_address.url}",
            "--environment=production",
            f"--page={page}",
        )
        self.assertIn("quay-llm", report.stdout, report.stderr)
        self.assertIn("<table>", Path(page).read_text())

    def test_daemon_with_invalid_settings_names_the_field(self):
        """It exits instead of starting."""
        path = self.write_file("bad.json", '{"vm_id": 3}')
        result = subprocess.run(
            [sys.executable, "-m", "apricotquay.daemon", "--settings", path],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            check=False,
        )
        self.assertEqual(1, result.returncode)
        self.assertIn("vm_id", result.stderr)
