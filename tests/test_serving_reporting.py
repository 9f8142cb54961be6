"""The log writer, which never blocks and reports dropped lines, and the metrics."""

import json
import os

from apricotquay.clocks import SystemClock
from apricotquay.events import Event
from apricotquay.serving import reporting
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.reporting import LineWriter, Reporter

from .base import ApricotTest


class ReporterTest(ApricotTest):
    """Log lines written to a pipe that may be full."""

    def setUp(self):
        super().setUp()
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.reporter = Reporter("vm-1", SystemClock(), LineWriter(self.write_end))

    def lines(self) -> list[dict]:
        """Return the lines written so far."""
        os.set_blocking(self.read_end, False)
        data = b""
        try:
            while chunk := os.read(self.read_end, 1 << 20):
                data += chunk
                self.reporter.flush()
        except BlockingIOError:
            pass
        return [json.loads(line) for line in data.splitlines()]

    def test_event_is_written_as_json_line(self):
        """The line has the event's number and fields."""
        self.reporter.write(Event.JOB_ACCEPTED, job="j1", items=3)
        self.reporter.flush()
        (line,) = self.lines()
        self.assertEqual(
            ("vm-1", 1701, "j1", 3),
            (line["vm"], line["number"], line["job"], line["items"]),
        )

    def test_lines_that_callers_cause_at_will_are_limited(self):
        """The next line that is written counts those left out."""
        limit = reporting.LineLimit()
        admitted = [limit.admit(5.0 + n / 100) for n in range(30)]
        self.assertEqual([0] * 10 + [None] * 20, admitted)
        self.assertEqual(20, limit.admit(6.0))

    def test_blocked_reader_drops_lines_without_blocking(self):
        """Lines beyond the queue are dropped, counted and reported."""
        self.patch(reporting, "MAX_QUEUED_LINES", 50)
        for number in range(5_000):
            self.reporter.write(Event.JOB_ACCEPTED, job="x" * 200, items=number)
            self.reporter.flush()
        dropped = self.reporter.dropped
        self.assertGreater(dropped, 0)
        lines = self.lines()
        self.reporter.flush()
        lines += self.lines()
        reported = [x["dropped"] for x in lines if x["number"] == 1207]
        self.assertEqual([dropped], reported)

    def test_lost_dependency_is_reported_once_until_it_recovers(self):
        """One line for the loss and one for the recovery."""
        for _ in range(3):
            self.reporter.report_lost("store", "no answer", topic="t")
        self.reporter.report_recovered("store", topic="t")
        self.reporter.report_recovered("store", topic="t")
        self.reporter.flush()
        self.assertEqual([1204, 1205], [line["number"] for line in self.lines()])


class MetricsTest(ApricotTest):
    """The text for a metrics collector."""

    def test_counters_gauges_and_quantiles(self):
        """One value per line."""
        metrics = ServingMetrics()
        metrics.count("items_done", 2)
        metrics.set_gauge("shards_owned", 3)
        for value in range(1, 101):
            metrics.record_ms("first_event", value)
        text = metrics.render()
        self.assertIn("apricotquay_items_done 2\n", text)
        self.assertIn("apricotquay_shards_owned 3\n", text)
        self.assertIn('apricotquay_first_event_ms{quantile="0.5"} 50\n', text)
        self.assertIn("apricotquay_first_event_ms_count 100\n", text)
