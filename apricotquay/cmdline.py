"""The command line `apricotquay`. Parses arguments and prints; see `operations`."""

import getpass
import json
import sys
import time
from pathlib import Path
from typing import NoReturn

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
from .platform.configcommand import CheckOptions, ConfigCommandError, run_check
from .replay import Replayer, load_trace

HTTP_TIMEOUT_S = 30.0
FOLLOW_POLL_INTERVAL_S = 0.5
# As fire exits for wrong arguments.
MISUSED_EXIT_STATUS = 2


class Report:
    """Reports on all daemons of a fleet."""

    def fleet(self, *logs: str, page: str, slot_s: float = 1.0) -> None:
        """Draw a fleet's activity from its daemons' logs as a self-contained HTML page.

        Args:
            logs: paths of the daemons' log files.
            page: path to write the page to.
            slot_s: length of the time intervals that are drawn, in seconds.
        """
        intervals = summarize_fleet(read_lines(logs), slot_s)
        Path(page).write_text(render_fleet_page(intervals))
        print(
            f"{page}: {len(intervals)} intervals of {slot_s:g} s from {len(logs)} files"
        )

    def burn(self, admin: str, log: str, environment: str, page: str = "") -> None:
        """Show how fast teams use up their error budgets.

        Args:
            admin: the daemons' admin addresses, separated by commas.
            log: address of the log service.
            environment: the environment whose objectives apply.
            page: path to write a self-contained HTML page to as well.
        """
        current = _make_client(log, environment).refresh()
        if current is None:
            raise _make_unpublished_error(environment)
        exports = [_get_json(url, "/metrics") for url in _split_list(admin)]
        rows = list(compute_burn_rows(exports, current.document, time.time()))
        for line in render_burn_table(rows):
            print(line)
        if page:
            made_at = time.strftime("%Y-%m-%d %H:%M:%S")
            Path(page).write_text(render_burn_page(rows, made_at))


class Config:
    """Checks of the event-loop daemon's configuration."""

    # Fire would run the command before it rejects arguments that are left over.
    def check(
        self,
        file: str,
        *more: str,
        against: str = "",
        format: str = "text",
        memory_mb: float = 0.0,
        **unknown: str,
    ) -> None:
        """Check a configuration before it is sent; needs no network.

        Exits with 0 if nothing is found, 1 with findings, 2 if a file cannot be read
        or is invalid.

        Args:
            file: path of the configuration, as JSON.
            against: path of another version, to say what differs from it.
            format: text or json.
            memory_mb: memory of a VM, to compare limits with.
        """
        if more or unknown:
            _exit_misused(f"not known here: {', '.join(map(str, (*more, *unknown)))}")
        try:
            options = CheckOptions.parse(str(file), str(against), format, memory_mb)
            report = run_check(options)
        except ConfigCommandError as exc:
            _exit_misused(str(exc))
        print(report.text)
        sys.exit(report.status)


class Commands:
    """Commands for operators and callers of an apricotquay fleet."""

    def __init__(self) -> None:
        self.report = Report()
        self.config = Config()

    def trace(self, wanted: str, *logs: str) -> None:
        """Show the log lines about an id from all daemons, sorted by time.

        Args:
            wanted: id of a request, job, item or endpoint, or a fingerprint.
            logs: paths of files with the daemons' output.
        """
        lines = find_lines(read_lines(logs), str(wanted))
        for line in lines:
            print(format_line(line))
        if not lines:
            print(f"no log line about {wanted} in {len(logs)} files")

    def timeline(self, *logs: str, slot_s: int = 2) -> None:
        """Show the number of events of each kind by time interval."""
        for row in count_events(read_lines(logs), slot_s):
            print(row)

    def validate(self, document: str) -> None:
        """Check a document and report what is wrong with it."""
        checked = parse_document(Path(document).read_text(), document)
        print(f"{document}: {len(checked.teams)} teams, {len(checked.routes)} routes")

    def diff(self, document: str, log: str, environment: str) -> None:
        """Show what publishing a document would change."""
        current = _make_client(log, environment).refresh()
        text = Path(document).read_text()
        parse_document(text, document)
        for line in diff_lines(current.text if current else "", text):
            print(line)

    def publish(
        self, document: str, log: str, environment: str, base_version: int
    ) -> None:
        """Publish a document, given the version that it is based on."""
        text = Path(document).read_text()
        parse_document(text, document)
        client = _make_client(log, environment)
        published = client.publish(text, base_version, getpass.getuser())
        print(f"{environment}: version {published.version} is in force")

    def promote(
        self, source: str, target: str, log: str, source_version: int = 0
    ) -> None:
        """Publish the document in force in one environment to another."""
        published = promote(
            _make_client(log, source),
            _make_client(log, target),
            getpass.getuser(),
            source_version,
        )
        print(f"{target}: version {published.version} is in force")

    def withdraw_key(self, key: str, log: str, environment: str) -> None:
        """Withdraw an API key, given as the key itself or as its hash."""
        client = _make_client(log, environment)
        published = withdraw_key(client, str(key), getpass.getuser())
        print(f"{environment}: version {published.version} is in force")

    def hash_key(self, key: str) -> None:
        """Print the hash of an API key, to put into the document."""
        print(hash_key(str(key)))

    def show(self, log: str, environment: str) -> None:
        """Print the version and the document in force."""
        current = _make_client(log, environment).refresh()
        if current is None:
            raise _make_unpublished_error(environment)
        print(f"// {environment}, version {current.version}")
        print(current.text)

    def status(self, admin: str) -> None:
        """Print a daemon's view of the fleet, its leases and its work as JSON."""
        print(json.dumps(_get_json(admin, "/status"), indent=2))

    def explain(self, admin: str, job: str, index: int) -> None:
        """Explain what happened to an item of a job."""
        for line in _get_json(admin, f"/explain/{job}/{index}")["lines"]:
            print(line)

    def submit(self, items: str, url: str, key: str, job_key: str) -> None:
        """Submit a JSON Lines file as a job; resubmitting it returns the same job."""
        headers = {"content-type": "application/jsonl", "x-job-key": str(job_key)}
        body = Path(items).read_bytes()
        batch = _request_json("POST", url, "/v1/batches", key, headers, body)
        print(batch["id"])

    def follow(self, job: str, url: str, key: str) -> None:
        """Show the progress of a job until it ends."""
        while True:
            batch = _request_json("GET", url, f"/v1/batches/{job}", key)
            counts = batch["request_counts"]
            done = counts["completed"] + counts["failed"]
            print(f"{batch['status']}: {done} of {counts['total']}", flush=True)
            if batch["status"] != "in_progress":
                return
            time.sleep(FOLLOW_POLL_INTERVAL_S)

    def cancel(self, job: str, url: str, key: str) -> None:
        """Cancel a job."""
        batch = _request_json("POST", url, f"/v1/batches/{job}/cancel", key)
        print(batch["status"])

    def replay(self, trace: str, urls: str, keys: str) -> None:
        """Replay a trace against a fleet and check the outcomes that it expects.

        Args:
            trace: path of the trace.
            urls: the daemons' caller addresses, separated by commas.
            keys: path of a JSON file with an API key for each team.
        """
        actions = load_trace(trace)
        replayer = Replayer(_split_list(urls), json.loads(Path(keys).read_text()))
        outcomes = replayer.run(actions)
        for outcome in outcomes:
            result = "met" if outcome.met else "MISSED"
            print(
                f"{result:7} {outcome.name} {outcome.team}: "
                f"{outcome.measured:g} (expected {outcome.limit:g})"
            )
        if not all(outcome.met for outcome in outcomes):
            sys.exit(1)


def _exit_misused(message: str) -> NoReturn:
    print(f"apricotquay: {message}", file=sys.stderr)
    sys.exit(MISUSED_EXIT_STATUS)


def _make_client(log: str, environment: str) -> ConfigClient:
    return ConfigClient(HttpLog(log), environment, SystemClock())


def _make_unpublished_error(environment: str) -> RequestError:
    return RequestError(
        ErrorKind.DOCUMENT_INVALID, f"{environment}: nothing is published"
    )


def _split_list(value: str | tuple | list) -> list[str]:
    # fire parses "a,b" as a tuple.
    if isinstance(value, (tuple, list)):
        return [str(v) for v in value]
    return str(value).split(",")


def _get_json(url: str, path: str) -> dict:
    return _request_json("GET", url, path)


def _request_json(
    method: str,
    url: str,
    path: str,
    key: str = "",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> dict:
    all_headers = dict(headers or {})
    if key:
        all_headers["authorization"] = f"Bearer {key}"
    response = urllib3.request(
        method,
        url.rstrip("/") + path,
        headers=all_headers,
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
    """Run the command line."""
    try:
        fire.Fire(Commands, name="apricotquay")
    except RequestError as exc:
        sys.exit(f"apricotquay: {exc.kind.value}: {exc.message}")
    except LogUnavailableError as exc:
        sys.exit(f"apricotquay: the log service cannot be reached: {exc}")
    except urllib3.exceptions.HTTPError as exc:
        sys.exit(f"apricotquay: no answer: {exc}")
    except OSError as exc:
        sys.exit(f"apricotquay: {exc}")


if __name__ == "__main__":
    main()
