"""Crash reports in the log: who learns of them, and for how long they are kept."""

import asyncio
import contextlib

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.quarantine import (
    COMPLETION_VALID_S,
    QUARANTINE_S,
    SUSPECT_RETENTION_S,
    Quarantine,
)
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.crashes import detector as crashes_module
from apricotquay.serving.crashes.crashlog import (
    ALL_RECORDS,
    CRASHES,
    CompletionReport,
    CrashLog,
    CrashReport,
    decode_crash_record,
)
from apricotquay.serving.crashes.detector import CrashDetector
from apricotquay.serving.crashes.partquarantine import PartQuarantine
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.engine import AttemptFailedError, EngineCall
from apricotquay.serving.fleet.keyedlog import KeyedRecord, LogRefusedError, Shard
from apricotquay.serving.fleet.view import View
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.online.attempts import AttemptRunner, fingerprint_of
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter
from .test_serving_shards import ManualClock

BAD = "bad"
TIMEOUT_S = 20.0


def stored_records(log: MemoryLog) -> list[KeyedRecord]:
    """Return the newest record of each key of the topic."""
    records = log._partitions.get(Shard(CRASHES, 0), [])
    newest = {record.key: record for record in records}
    return [record for record in newest.values() if record.value]


def stored_reports(log: MemoryLog) -> list[KeyedRecord]:
    """Return the crash reports that the log keeps."""
    decoded = [decode_crash_record(record.value) for record in stored_records(log)]
    return [record for record in decoded if isinstance(record, CrashReport)]


class GatedLog:
    """A log that can turn one daemon away."""

    def __init__(self, log: MemoryLog) -> None:
        self.is_closed: bool = False
        self.refused: int = 0
        self._log = log

    async def read_newest(self, *args):
        """Read unless the gate is closed."""
        self._check()
        return await self._log.read_newest(*args)

    async def read(self, *args):
        """Read unless the gate is closed."""
        self._check()
        page = await self._log.read(*args)
        self._check()
        return page

    def _check(self) -> None:
        if self.is_closed:
            self.refused += 1
            raise LogRefusedError("turned away")


class OwnedShards:
    """Shards of a daemon that owns all of them."""

    count = 12
    owned = frozenset(range(12))

    def addresses(self) -> list[str]:
        """Return no other daemon."""
        return []


class RefusingEngines:
    """Endpoints that have all ended, and fall silent rather than close connections."""

    async def send(self, call: EngineCall, endpoint: Endpoint):
        """Never answer."""
        await asyncio.Event().wait()

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Return that the endpoint is gone."""
        return True

    def is_out_of_reach(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False

    async def has_lost_path(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False


def started(name: str, started_ms: int = 1) -> Endpoint:
    """Return one start of an endpoint."""
    return Endpoint(
        EndpointId(name), ServiceName("llm"), "127.0.0.1", 1, started_ms=started_ms
    )


class DaemonUnderTest:
    """The crash log and the detector of one daemon."""

    def __init__(self, name: str, log: MemoryLog, clock: ManualClock) -> None:
        reporter = quiet_reporter()
        self.crash_log = CrashLog(log, name, clock, reporter)
        self.detector = CrashDetector(
            Quarantine(),
            PartQuarantine(),
            self.crash_log,
            RefusingEngines(),
            OwnedShards(),
            None,
            clock,
            reporter,
        )
        self._clock = clock
        self.records_read = 0
        self._apply_record = self.crash_log.apply
        self.crash_log.apply = self._count_record

    def _count_record(self, record) -> None:
        self.records_read += 1
        self._apply_record(record)

    def start(self) -> None:
        """Start following the log."""
        self.crash_log.start()
        self.detector.start()

    async def close(self) -> None:
        """Stop."""
        await self.detector.close()
        await self.crash_log.close()

    def report_crash(self, endpoint: str, *fingerprints: str) -> None:
        """Report a crash that this daemon saw."""
        suspects = list(fingerprints)
        at_ms = self._clock.wall_ms()
        self.crash_log.add(CrashReport(EndpointId(endpoint), 1, suspects, at_ms))

    def abandon(self, endpoint: Endpoint, fingerprint: str) -> None:
        """Send a request to an endpoint and give up before its answer."""
        self.detector.begin_attempt(endpoint, fingerprint)
        self.detector.end_attempt(endpoint, fingerprint, was_abandoned=True)

    def has_read(self, count: int) -> bool:
        """Whether the daemon has read a number of records since its start."""
        return self.records_read >= count

    def refuses(self, fingerprint: str = BAD) -> bool:
        """Whether the daemon refuses a request."""
        return self.detector.is_quarantined(fingerprint)


class SharedLogTest(ApricotTest):
    """Base class of tests with several daemons and one log."""

    def run_daemons(self, scenario, count: int = 2) -> None:
        """Run a scenario with daemons that have started."""

        async def run() -> None:
            log, clock = MemoryLog(), ManualClock()
            daemons = [DaemonUnderTest(f"d{n}", log, clock) for n in range(count)]
            for daemon in daemons:
                daemon.start()
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await scenario(log, clock, daemons)
            finally:
                for daemon in daemons:
                    await daemon.close()

        self.patch(crashes_module, "UPKEEP_INTERVAL_S", 0.02)
        asyncio.run(run())

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.01)


class CrashLogTest(SharedLogTest):
    """Who learns of crashes under whole requests, and for how long."""

    @parameterized.expand([("running", False), ("started later", True)])
    def test_reports_of_several_daemons_add_up_at_each(self, _name, starts_later):
        """Each daemon saw one of the three crashes."""

        async def scenario(log, clock, daemons):
            for number, daemon in enumerate(daemons[:3]):
                daemon.report_crash(f"e{number}", BAD, f"beside-{number}")
            learner = daemons[3]
            if starts_later:
                learner = DaemonUnderTest("late", log, clock)
                daemons.append(learner)
                learner.start()
            await self.wait_until(learner.refuses)
            self.assertFalse(learner.refuses("beside-1"))

        self.run_daemons(scenario, count=4)

    @parameterized.expand([("refuse",), ("drop",), ("lose",)])
    def test_report_made_in_an_outage_reaches_all_afterwards(self, fault):
        """Reports wait for the store; one that was appended unseen counts once."""

        async def scenario(log, clock, daemons):
            log.choose_fault = lambda: fault
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            await asyncio.sleep(0.3)
            log.choose_fault = lambda: ""
            await self.wait_until(daemons[1].refuses)

        self.run_daemons(scenario)

    def test_daemon_that_was_cut_off_learns_when_it_is_back(self):
        """The store turns one daemon away while another reports crashes."""

        async def scenario(log, clock, daemons):
            gate = GatedLog(log)
            learner = DaemonUnderTest("cut-off", gate, clock)
            daemons.append(learner)
            learner.start()
            await self.wait_until(lambda: learner.crash_log.is_known)
            gate.is_closed = True
            await self.wait_until(lambda: gate.refused)
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            await self.wait_until(daemons[1].refuses)
            self.assertFalse(learner.refuses())
            gate.is_closed = False
            await self.wait_until(learner.refuses)

        self.run_daemons(scenario)

    def test_peer_passes_on_what_the_store_did_not_take(self):
        """A daemon that starts in an outage knows the crashes from its peer."""

        async def scenario(log, clock, daemons):
            log.is_down = True
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            records = daemons[0].crash_log.records_since(ALL_RECORDS)
            learner = DaemonUnderTest("late", log, clock)
            self.assertFalse(learner.crash_log.is_known)
            self.assertEqual(ALL_RECORDS, learner.crash_log.blind_ms())
            learner.crash_log.apply_from_peer(records, is_complete=True)
            self.assertTrue(learner.crash_log.is_known)
            self.assertTrue(learner.refuses())

        self.run_daemons(scenario)

    def test_only_records_that_a_peer_may_lack_are_sent(self):
        """A whole history would be sent at each pull of a long outage."""

        async def scenario(log, clock, daemons):
            daemons[0].report_crash("old", BAD)
            clock.at_s += 30.0
            daemons[0].report_crash("new", BAD)
            self.assertEqual(1, len(daemons[0].crash_log.records_since(10_000)))

        self.run_daemons(scenario)

    def test_completion_anywhere_ends_a_quarantine_everywhere(self):
        """A popular request ran beside unrelated crashes and completes elsewhere."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            for daemon in daemons:
                await self.wait_until(daemon.refuses)
            daemons[1].crash_log.add(CompletionReport(BAD, clock.wall_ms()))
            await self.wait_until(lambda: not daemons[0].refuses())
            learner = DaemonUnderTest("late", log, clock)
            daemons.append(learner)
            learner.start()
            await self.wait_until(lambda: learner.crash_log.is_known)
            self.assertFalse(learner.refuses())

        self.run_daemons(scenario)

    def test_request_that_completes_at_one_daemon_is_refused_by_none(self):
        """Many callers send it; other daemons saw it run beside unrelated crashes."""

        async def scenario(log, clock, daemons):
            daemons[1].detector.record_completion(BAD)
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            await self.wait_until(lambda: len(stored_reports(log)) == 3)
            await self.wait_until(lambda: daemons[1].has_read(3))
            for daemon in daemons:
                await self.wait_until(lambda d=daemon: not d.refuses())
            daemons[0].report_crash("e3", BAD)
            self.assertFalse(daemons[0].refuses())

        self.run_daemons(scenario, count=3)

    def test_old_completion_is_not_renewed_by_telling_of_it(self):
        """Otherwise daemons would keep each other from ever counting a crash."""

        async def scenario(log, clock, daemons):
            daemons[1].detector.record_completion(BAD)
            for number in range(4):
                clock.at_s += COMPLETION_VALID_S / 3
                daemons[0].report_crash(f"e{number}", BAD)
                await self.wait_until(lambda n=number: daemons[1].has_read(n + 1))
            for number in range(3):
                daemons[0].report_crash(f"late-{number}", BAD)
            for daemon in daemons:
                await self.wait_until(daemon.refuses)

        self.run_daemons(scenario)

    def test_quarantine_outlives_the_reports_that_led_to_it(self):
        """A daemon that starts an hour later still refuses; a day later it does not."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            await self.wait_until(lambda: len(stored_records(log)) >= 4)
            clock.at_s += SUSPECT_RETENTION_S + 1
            await self.wait_until(lambda: not stored_reports(log))
            learner = DaemonUnderTest("late", log, clock)
            daemons.append(learner)
            learner.start()
            await self.wait_until(learner.refuses)
            clock.at_s += QUARANTINE_S
            self.assertFalse(learner.refuses())
            await self.wait_until(lambda: not stored_records(log))

        self.run_daemons(scenario)

    @parameterized.expand([("same daemon", 0), ("other daemon", 1)])
    def test_request_abandoned_before_the_crash_is_a_suspect(self, _name, observer):
        """Another request, perhaps at another daemon, notices the crash."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                endpoint = started(f"e{number}")
                daemons[0].abandon(endpoint, BAD)
                detector = daemons[observer].detector
                detector.check_endpoint(endpoint, f"beside-{number}")
            for daemon in daemons:
                await self.wait_until(daemon.refuses)

        self.run_daemons(scenario)

    def test_endpoint_that_falls_silent_as_it_ends_counts_as_crashed(self):
        """Its connections time out instead of being reset."""

        async def scenario(log, clock, daemons):
            view = View(log, PlatformDirectory(), clock, quiet_reporter())
            attempts = AttemptRunner(
                view,
                RefusingEngines(),
                daemons[0].detector,
                ServingMetrics(),
                clock,
                quiet_reporter(),
            )
            call = EngineCall("a1", "POST", "/s/1", [], b"bad", None, 1000)
            for number in range(3):
                with contextlib.suppress(AttemptFailedError):
                    await attempts.run(call, started(f"e{number}"), 0.01, None)
            fingerprint = fingerprint_of("/s/1", None, b"bad")
            await self.wait_until(lambda: daemons[1].refuses(fingerprint))

        self.run_daemons(scenario)

    def test_request_abandoned_long_before_the_crash_is_no_suspect(self):
        """By then no endpoint still runs it."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                endpoint = started(f"e{number}")
                daemons[0].abandon(endpoint, BAD)
                clock.at_s += 10.0
                daemons[0].detector.check_endpoint(endpoint, "beside")
            await self.wait_until(lambda: daemons[1].refuses("beside"))
            self.assertFalse(daemons[1].refuses())

        self.run_daemons(scenario)

    def test_crashes_of_two_starts_of_an_endpoint_count_twice(self):
        """An endpoint may start again under its id within a second."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                endpoint = started("e", started_ms=number)
                daemons[0].detector.check_endpoint(endpoint, BAD)
                await self.wait_until(
                    lambda n=number: len(stored_reports(log)) == n + 1
                )
            await self.wait_until(daemons[1].refuses)

        self.run_daemons(scenario)

    def test_malformed_record_is_skipped(self):
        """Another build may write records of another form."""

        async def scenario(log, clock, daemons):
            records = [KeyedRecord(b"x", b"\xff"), KeyedRecord(b"y", b"\x01")]
            await log.append(CRASHES, 0, records, None)
            for number in range(3):
                daemons[0].report_crash(f"e{number}", BAD)
            await self.wait_until(daemons[1].refuses)

        self.run_daemons(scenario)
