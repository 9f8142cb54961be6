"""Reading log lines of daemons."""

import json
import tempfile

from apricotquay.loglines import count_events, find_lines, format_line, read_lines

from .base import ApricotTest

LINES = [
    {
        "vm": "b",
        "number": 1601,
        "at_ms": 5_200,
        "event": "request ended",
        "request": "r1",
    },
    {"vm": "a", "number": 1605, "at_ms": 5_100, "event": "attempt", "request": "r1"},
    {
        "vm": "a",
        "number": 1601,
        "at_ms": 9_000,
        "event": "request ended",
        "request": "r2",
    },
    {"vm": "a", "number": 1506, "at_ms": 9_100, "event": "died", "suspects": {"f": 1}},
]


class LogLinesTest(ApricotTest):
    """Reading, filtering, formatting and counting."""

    def write_log(self) -> str:
        """Return the path of a file with LINES and with lines that are no log lines."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = f"{folder.name}/d.log"
        with open(path, "w") as file:
            file.write("Traceback of another program\n{cut short\n[1]\n")
            for line in LINES:
                file.write(f"  5.1 front-1 {json.dumps(line)}\n")
        return path

    def test_lines_about_an_id_are_sorted_by_time(self):
        """The lines of all daemons are merged; other lines are skipped."""
        found = find_lines(read_lines([self.write_log()]), "r1")
        self.assertEqual([5_100, 5_200], [line["at_ms"] for line in found])
        self.assertEqual([9_100], [x["at_ms"] for x in find_lines(LINES, "f")])

    def test_line_is_formatted_with_its_fields(self):
        """Time and VM come first."""
        self.assertEqual(
            "00:00:05.200 b 1601 request ended: request=r1", format_line(LINES[0])
        )

    def test_events_are_counted_by_interval(self):
        """One row for each interval that has lines."""
        self.assertEqual(
            [
                "00:00:04 1 x 1601 request ended, 1 x 1605 attempt",
                "00:00:08 1 x 1506 died, 1 x 1601 request ended",
            ],
            list(count_events(LINES, 2)),
        )
