"""The command line `apricotquay`: parsing and printing over `operations`."""

import getpass
import json
import sys
import time
from pathlib import Path

import fire
import urllib3

from .burn import compute_burn_rows, render_burn_page, render_burn_table
from .clocks import SystemClock
from .document import parse_document
from .errors import ErrorKind, LogUnavailableError, RequestError
from .fleetpage import render_fleet_page, summarize_fleet
from .ids import hash_key
from .logclient import HttpLog
from .loglines import count_events, find_lines, format_line, read_lines
from .operations import ConfigClient, diff_lines, promote, withdraw_key
from .replay import Replayer, load_trace

HTTP_TIMEOUT_S = 30.0
FOLLOW_POLL_S = 0.5


class Report:
    """Reports over all daemons."""

    def fleet(self, *logs: str, page: str, slot_s: float = 1.0) -> None:
        """Draw a fleet's day from its daemons' logs as one self-contained HTML page.

        Args:
            logs: the daemons' log files.
            page: path of the page.
            slot_s: length of the slots of time that are drawn, in seconds.
        """
        slots = summarize_fleet(read_lines(logs), slot_s)
        Path(page).write_text(render_fleet_page(slots))
        print(f"{page}: {len(slots)} slots of {slot_s:g} s from {len(logs)} files")

    def burn(self, admin: str, log: str, environment: str, page: str = "") -> None:
        """Show how fast teams use their error budgets.

        Args:
            admin: the daemons' operators' addresses, separated by commas.
            log: address of the log service.
            environment: the environment whose objectives apply.
            page: write one self-contained HTML page to this path as well.
        """
        current = _history(log, environment).refresh()
        if current is None:
            raise _nothing_published(environment)
        exports = [_get(url, "/metrics") for url in _split(admin)]
        rows = list(compute_burn_rows(exports, current.document, time.time()))
        for line in render_burn_table(rows):
            print(line)
        if page:
            made_at = time.strftime("%Y-%m-%d %H:%M:%S")
            Path(page).write_text(render_burn_page(rows, made_at))


class Commands:
    """Serves operators and callers of an apricotquay fleet."""

    def __init__(self) -> None:
        self.report = Report()

    def trace(self, wanted: str, *logs: str) -> None:
        """Show all log lines about an id, over all daemons, in their order.

        Args:
            wanted: a request's, job's, item's or endpoint's id, or a fingerprint.
            logs: files of daemons' standard output.
        """
        found = find_lines(read_lines(logs), str(wanted))
        for line in found:
            print(format_line(line))
        if not found:
            print(f"no line about {wanted} in {len(logs)} files")

    def timeline(self, *logs: str, slot_s: int = 2) -> None:
        """Show how many events of each kind there were, by slots of time."""
        for row in count_events(read_lines(logs), slot_s):
            print(row)

    def validate(self, document: str) -> None:
        """Check a document and say what is wrong with it."""
        checked = parse_document(Path(document).read_text(), document)
        print(f"{document}: {len(checked.teams)} teams, {len(checked.routes)} routes")

    def diff(self, document: str, log: str, environment: str) -> None:
        """Show what publishing a document would change."""
        current = _history(log, environment).refresh()
        text = Path(document).read_text()
        parse_document(text, document)
        for line in diff_lines(current.text if current else "", text):
            print(line)

    def publish(
        self, document: str, log: str, environment: str, base_version: int
    ) -> None:
        """Publish a document against the version that it changes."""
        text = Path(document).read_text()
        parse_document(text, document)
        history = _history(log, environment)
        published = history.publish(text, base_version, getpass.getuser())
        print(f"{environment}: version {published.version} is in force")

    def promote(
        self, source: str, target: str, log: str, source_version: int = 0
    ) -> None:
        """Publish the document of one environment in another."""
        published = promote(
            _history(log, source),
            _history(log, target),
            getpass.getuser(),
            source_version,
        )
        print(f"{target}: version {published.version} is in force")

    def withdraw_key(self, key: str, log: str, environment: str) -> None:
        """Withdraw a key, given as the key or as its hash."""
        history = _history(log, environment)
        published = withdraw_key(history, str(key), getpass.getuser())
        print(f"{environment}: version {published.version} is in force")

    def hash_key(self, key: str) -> None:
        """Print the hash of a key, for the document."""
        print(hash_key(str(key)))

    def show(self, log: str, environment: str) -> None:
        """Print the version and the document in force."""
        current = _history(log, environment).refresh()
        if current is None:
            raise _nothing_published(environment)
        print(f"// {environment}, version {current.version}")
        print(current.text)

    def status(self, admin: str) -> None:
        """Print what a daemon knows, holds and runs."""
        print(json.dumps(_get(admin, "/status"), indent=2))

    def explain(self, admin: str, job: str, index: int) -> None:
        """Say what happened to an item of a job."""
        for line in _get(admin, f"/explain/{job}/{index}")["lines"]:
            print(line)

    def submit(self, items: str, url: str, key: str, job_key: str) -> None:
        """Submit a file of JSON lines as a job; a resend is the same job."""
        headers = {"content-type": "application/jsonl", "x-job-key": str(job_key)}
        body = Path(items).read_bytes()
        batch = _call("POST", url, "/v1/batches", key, headers, body)
        print(batch["id"])

    def follow(self, job: str, url: str, key: str) -> None:
        """Show a job's progress until it has ended."""
        while True:
            batch = _call("GET", url, f"/v1/batches/{job}", key)
            counts = batch["request_counts"]
            done = counts["completed"] + counts["failed"]
            print(f"{batch['status']}: {done} of {counts['total']}", flush=True)
            if batch["status"] != "in_progress":
                return
            time.sleep(FOLLOW_POLL_S)

    def cancel(self, job: str, url: str, key: str) -> None:
        """Cancel a job."""
        batch = _call("POST", url, f"/v1/batches/{job}/cancel", key)
        print(batch["status"])

    def replay(self, trace: str, urls: str, keys: str) -> None:
        """Replay a trace against a fleet and check its stated outcomes.

        Args:
            trace: path of the trace.
            urls: the daemons' callers' addresses, separated by commas.
            keys: path of a JSON file with a caller's key for each team.
        """
        actions = load_trace(trace)
        replayer = Replayer(_split(urls), json.loads(Path(keys).read_text()))
        outcomes = replayer.run(actions)
        for outcome in outcomes:
            verdict = "met" if outcome.met else "MISSED"
            print(
                f"{verdict:7} {outcome.name} {outcome.team}: "
                f"{outcome.measured:g} (stated {outcome.limit:g})"
            )
        if not all(outcome.met for outcome in outcomes):
            sys.exit(1)


def _history(log: str, environment: str) -> ConfigClient:
    return ConfigClient(HttpLog(log), environment, SystemClock())


def _nothing_published(environment: str) -> RequestError:
    return RequestError(
        ErrorKind.DOCUMENT_INVALID, f"{environment}: nothing is published"
    )


def _split(value: str | tuple | list) -> list[str]:
    # fire turns "a,b" into a tuple of its own accord.
    if isinstance(value, (tuple, list)):
        return [str(v) for v in value]
    return str(value).split(",")


def _get(url: str, path: str) -> dict:
    return _call("GET", url, path)


def _call(
    method: str,
    url: str,
    path: str,
    key: str = "",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> dict:
    sent = dict(headers or {})
    if key:
        sent["authorization"] = f"Bearer {key}"
    response = urllib3.request(
        method,
        url.rstrip("/") + path,
        headers=sent,
        body=body,
        timeout=HTTP_TIMEOUT_S,
        retries=False,
    )
    value = response.json()
    if response.status != 200:
        error = value["error"]
        sys.exit(f"apricotquay: {error['code']}: {error['message']}")
    return value


def main() -> None:
    """Entry point of `apricotquay`."""
    try:
        fire.Fire(Commands, name="apricotquay")
    except RequestError as exc:
        sys.exit(f"apricotquay: {exc.kind.value}: {exc.message}")
    except LogUnavailableError as exc:
        sys.exit(f"apricotquay: the log cannot be reached: {exc}")
    except urllib3.exceptions.HTTPError as exc:
        sys.exit(f"apricotquay: no answer: {exc}")
    except OSError as exc:
        sys.exit(f"apricotquay: {exc}")


if __name__ == "__main__":
    main()
