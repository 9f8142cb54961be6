"""Crashes of endpoints that several daemons report, at the threaded daemon."""

import contextlib
from unittest.mock import MagicMock, Mock

from apricotquay import online as online_module, poison as poison_module
from apricotquay.clocks import SystemClock
from apricotquay.engineclient import EndpointError
from apricotquay.errors import Ran
from apricotquay.ids import EndpointId, MemberId
from apricotquay.membership import VmEntry
from apricotquay.messages import QuarantineNotice
from apricotquay.online import OnlineRequestHandler
from apricotquay.poison import PoisonDetector
from apricotquay.quarantine import Quarantine, QuarantineStatus
from apricotquay.routing import EndpointTable

from .base import ApricotTest


class PoisonDetectorTest(ApricotTest):
    """A detector whose requests ran at endpoints beside those of other daemons."""

    def setUp(self) -> None:
        """Create a detector that notifies nobody; all endpoints refuse connections."""
        super().setUp()
        self.engines = Mock()
        self.fleet = MagicMock()
        self.engines.fetch_load.side_effect = EndpointError(
            "refused", Ran.NOT_RUN, refused=True
        )
        self.detector = PoisonDetector(
            Quarantine(), self.fleet, self.engines, SystemClock(), Mock()
        )
        self.detector._notify_all = lambda notice: None
        self.reports: list[QuarantineNotice] = []
        self.patch(poison_module.time, "sleep", lambda seconds: self.receive_reports())

    def receive_reports(self) -> None:
        """Receive what the other daemons report."""
        for report in self.reports:
            self.detector.handle_notice(report)
        self.reports.clear()

    def crash(self, endpoint: str, own: str, others: list[str]) -> None:
        """Let an endpoint crash under a request of this daemon and those of others."""
        self.reports = [QuarantineNotice(EndpointId(endpoint), others, [])]
        self.detector.check_crash(Mock(id=endpoint), own)

    def test_request_is_not_refused_before_all_daemons_reported_what_ran(self):
        """Two requests ran at the same three crashes, each at another daemon."""
        for number in range(3):
            self.crash(f"e{number}", "harmless", ["culprit"])
        for request in ("harmless", "culprit"):
            self.assertIs(QuarantineStatus.SUSPECT, self.detector.status(request))
        self.crash("e3", "culprit", [])
        self.assertIs(QuarantineStatus.CLEAR, self.detector.status("harmless"))
        self.assertIs(QuarantineStatus.QUARANTINED, self.detector.status("culprit"))

    def test_reports_of_other_daemons_alone_quarantine_nothing(self):
        """The daemon that reports concludes, once it knows all reports."""
        for number in range(3):
            report = QuarantineNotice(EndpointId(f"e{number}"), ["harmless"], [])
            self.detector.handle_notice(report)
        self.assertIs(QuarantineStatus.SUSPECT, self.detector.status("harmless"))

    def test_crashed_endpoint_is_ejected_by_every_daemon_that_hears_of_it(self):
        """Requests that are sent there would use up the team's retries."""
        table = EndpointTable(MemberId("d"), "z1", 8)
        names = [f"e{number}" for number in range(3)]
        entries = [
            VmEntry(name, "model", "127.0.0.1", 1, "z1", serves="m") for name in names
        ]
        table.apply_vm_list(entries, [MemberId("d")])
        self.fleet.endpoints = table
        self.crash("e0", "culprit", [])
        report = QuarantineNotice(EndpointId("e1"), ["culprit"], [])
        self.detector.handle_notice(report)
        now_s = SystemClock().now_s()
        ejected = [name for name in names if table.get(name).is_ejected(now_s)]
        self.assertEqual(["e0", "e1"], ejected)


class RetryTest(ApricotTest):
    """The retry of a request whose endpoint crashed."""

    def test_retry_is_placed_apart_from_suspects_reported_after_its_failure(self):
        """Suspects that do not know of each other share an endpoint again."""
        poison = MagicMock()
        poison.suspects.return_value = ["mine"]
        poison.status.return_value = QuarantineStatus.SUSPECT
        handler = OnlineRequestHandler(
            *[MagicMock() for _ in range(5)], poison, Mock(), SystemClock(), Mock()
        )

        def receive_report(seconds: float) -> None:
            poison.suspects.return_value = ["mine", "theirs"]

        self.patch(online_module.time, "sleep", receive_report)
        handler._engines.stream.side_effect = [
            EndpointError("reset", Ran.UNKNOWN),
            MagicMock(),
        ]
        handler._admission.acquire.return_value = Mock(id="e1")
        poison.track_running.return_value = contextlib.nullcontext()
        request = Mock(fingerprint="mine", arrived_s=0.0, deadline_s=1e9)
        tickets = handler._admission.acquire.call_args_list
        list(handler._stream_with_retries(request, online_module.Progress()))
        self.assertEqual(("mine", "theirs"), tickets[1].args[0].suspicion.all_suspects)
