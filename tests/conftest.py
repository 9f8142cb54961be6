"""Passes over the tests that KNOWN-RED.txt lists, and prints them.

An entry is a line: node id | command and seed | what was seen | issue.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the entries by the test's node id."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("tests/"):
            entries[line.split("|")[0].strip()] = line
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run listed tests without letting their failure count."""
    entries = known_red()
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason="known red", strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the entries, so that a run shows what it passed over."""
    for line in known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {line}")
