"""Crashing parts of prompts in the crash log: who learns of them, and for how long."""

import asyncio
import contextlib
import time

import cbor2
from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.crashes import crashlog as crashlog_module
from apricotquay.serving.crashes.crashlog import (
    ALL_RECORDS,
    CrashReport,
    PartsCompletion,
    PartsMark,
    decode_crash_record,
    encode_crash_record,
)
from apricotquay.serving.crashes.partjudgement import FIRST_QUARANTINE_S
from apricotquay.serving.crashes.partquarantine import (
    CRASH_RETENTION_S,
    PROBATION_S,
    PartQuarantine,
)
from apricotquay.serving.crashes.promptparts import PartsAtCrash, part_key
from apricotquay.serving.engine import (
    NO_LIMIT,
    NO_LOAD,
    AttemptFailedError,
    EngineCall,
    RequestNotRunError,
)
from apricotquay.serving.fleet.view import View
from apricotquay.serving.http.bodybudget import BodyBudget
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.online.attempts import AttemptRunner, read_body
from standins.keyedlog import MemoryLog

from .test_serving_crashlog import (
    DaemonUnderTest,
    SharedLogTest,
    started,
    stored_records,
)
from .test_serving_jobs import quiet_reporter

BAD, SHARED = part_key("m", "bad"), part_key("m", "shared")
MAX_RECORD_BYTES = 262_144


def report_crash(daemon: DaemonUnderTest, number: int, *parts: str) -> None:
    """Report that a request with these parts ran at a crashed endpoint."""
    requests = [PartsAtCrash(f"request-{number}", list(parts or [BAD]))]
    at_ms = daemon._clock.wall_ms()
    report = CrashReport(EndpointId(f"e{number}"), 1, [], at_ms, requests)
    daemon.crash_log.add(report)


def refuses(daemon: DaemonUnderTest, *parts: str) -> bool:
    """Whether a daemon refuses requests with these parts."""
    return bool(daemon.detector.find_causes(list(parts or [BAD])))


def stored(log: MemoryLog, kind: type) -> list:
    """Return the stored records of a kind."""
    decoded = [decode_crash_record(record.value) for record in stored_records(log)]
    return [record for record in decoded if isinstance(record, kind)]


async def read_whole(response) -> bytes:
    """Read a response that is not a stream."""
    return await read_body(response, BodyBudget().reserve())


class ScriptedEngines:
    """Endpoints that raise an error; they have crashed if it is a failure."""

    def __init__(self, error: Exception) -> None:
        self._error = error

    async def send(self, call: EngineCall, endpoint):
        """Raise the error."""
        raise self._error

    async def refuses_connections(self, endpoint) -> bool:
        """Return that the endpoint is gone."""
        return True

    def is_out_of_reach(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False

    async def has_lost_path(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False


class EndedResponse:
    """A complete response without a body, with no sign of its end if so framed."""

    def __init__(self, status: int, ends_with_connection: bool) -> None:
        self.status = status
        self.headers = []
        self.ends_with_connection = ends_with_connection
        self.limit = NO_LIMIT
        self.load = NO_LOAD
        self.is_leaving = False

    async def body(self):
        """Yield nothing."""
        for part in ():
            yield part

    def close(self) -> None:
        """Do nothing."""


class AnsweringEngines:
    """Endpoints that answer; afterwards their ports refuse connections or not."""

    def __init__(self, response: EndedResponse, has_crashed: bool) -> None:
        self._response = response
        self._has_crashed = has_crashed

    async def send(self, call: EngineCall, endpoint) -> EndedResponse:
        """Return the response."""
        return self._response

    async def refuses_connections(self, endpoint) -> bool:
        """Return whether the endpoint is gone."""
        return self._has_crashed

    def is_out_of_reach(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False

    async def has_lost_path(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False


class PartCrashesTest(SharedLogTest):
    """Several daemons with one log."""

    @parameterized.expand([("running", False), ("started later", True)])
    def test_part_that_crashes_at_several_daemons_is_refused_by_all(
        self, _name, starts_later
    ):
        """Each daemon saw one of the three crashes."""

        async def scenario(log, clock, daemons):
            for number, daemon in enumerate(daemons[:3]):
                report_crash(daemon, number, BAD, f"own-{number}@m")
            learner = daemons[3]
            if starts_later:
                learner = DaemonUnderTest("late", log, clock)
                daemons.append(learner)
                learner.start()
            await self.wait_until(lambda: refuses(learner))
            self.assertFalse(refuses(learner, "own-1@m"))

        self.run_daemons(scenario, count=4)

    def test_peer_passes_on_crashing_parts_that_the_store_did_not_take(self):
        """A daemon that starts in an outage knows the crashes from its peer."""

        async def scenario(log, clock, daemons):
            log.is_down = True
            for number in range(3):
                report_crash(daemons[0], number)
            learner = DaemonUnderTest("late", log, clock)
            records = daemons[0].crash_log.records_since(ALL_RECORDS)
            learner.crash_log.apply_from_peer(records, is_complete=True)
            self.assertTrue(refuses(learner))

        self.run_daemons(scenario)

    def test_shared_part_that_completes_elsewhere_is_refused_by_none(self):
        """The daemon that saw the crashes has not served a sound request yet."""

        async def scenario(log, clock, daemons):
            daemons[1].detector.record_completion(None, [SHARED])
            for number in range(5):
                report_crash(daemons[0], number, SHARED, BAD)
            for daemon in daemons:
                await self.wait_until(lambda d=daemon: refuses(d, BAD))
                await self.wait_until(lambda d=daemon: not refuses(d, SHARED))

        self.run_daemons(scenario, count=3)

    def test_completion_after_a_wrong_conclusion_ends_it_everywhere(self):
        """Crashes of another cause fell on requests that share a part."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                report_crash(daemons[0], number, SHARED)
            for daemon in daemons:
                await self.wait_until(lambda d=daemon: refuses(d, SHARED))
            daemons[1].detector.record_completion(None, [SHARED])
            for daemon in daemons:
                await self.wait_until(lambda d=daemon: not refuses(d, SHARED))

        self.run_daemons(scenario, count=3)

    def test_only_completions_of_suspected_parts_are_told_and_only_once(self):
        """The log would grow with each request otherwise."""

        async def scenario(log, clock, daemons):
            report_crash(daemons[0], 0, SHARED)
            await self.wait_until(lambda: daemons[1].has_read(1))
            for number in range(1000):
                daemons[1].detector.record_completion(None, [SHARED, f"x-{number}@m"])
            await self.wait_until(lambda: stored(log, PartsCompletion))
            report_crash(daemons[0], 1, SHARED)
            await self.wait_until(lambda: daemons[1].has_read(3))
            await asyncio.sleep(0.3)
            told = stored(log, PartsCompletion)
            self.assertEqual([{SHARED}], [set(r.completed_ms) for r in told])

        self.run_daemons(scenario)

    def test_conclusion_on_parts_outlives_the_reports_that_led_to_it(self):
        """A daemon that starts later knows it, and one more crash concludes anew."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                report_crash(daemons[0], number)
            await self.wait_until(lambda: stored(log, PartsMark))
            clock.at_s += max(CRASH_RETENTION_S, FIRST_QUARANTINE_S) + 1
            await self.wait_until(lambda: not stored(log, CrashReport))
            learner = DaemonUnderTest("late", log, clock)
            daemons.append(learner)
            learner.start()
            await self.wait_until(lambda: learner.crash_log.is_known)
            self.assertFalse(refuses(learner))
            report_crash(daemons[0], 9)
            await self.wait_until(lambda: refuses(learner))
            clock.at_s += 2 * FIRST_QUARANTINE_S + PROBATION_S + 1
            await self.wait_until(lambda: not stored_records(log))

        self.run_daemons(scenario)

    def test_mark_of_a_withdrawn_conclusion_is_deleted(self):
        """Daemons that start later would refuse sound requests for it."""

        async def scenario(log, clock, daemons):
            for number in range(3):
                report_crash(daemons[0], number, SHARED)
            await self.wait_until(lambda: stored(log, PartsMark))
            daemons[1].detector.record_completion(None, [SHARED])
            await self.wait_until(lambda: not stored(log, PartsMark))

        self.run_daemons(scenario)

    def test_report_of_a_caller_that_invents_parts_is_bounded(self):
        """Requests with few parts still stand in it."""

        async def scenario(log, clock, daemons):
            endpoint = started("e")
            detector = daemons[0].detector
            for number in range(300):
                parts = [part_key("m" * 64, f"{number:x}-{n:060x}") for n in range(32)]
                detector.begin_attempt(endpoint, f"invented-{number}", parts)
            detector.begin_attempt(endpoint, "few", [BAD])
            detector.check_endpoint(endpoint, None)
            await self.wait_until(lambda: stored(log, CrashReport))
            [report] = stored(log, CrashReport)
            self.assertLess(len(encode_crash_record(report)), MAX_RECORD_BYTES)
            self.assertIn(PartsAtCrash("few", [BAD]), report.requests)

        self.run_daemons(scenario)

    def test_judgements_of_many_crashes_leave_time_for_requests(self):
        """Endpoints of a lost VM crash together, each with other requests."""
        judgements = 0

        def judge(quarantine):
            nonlocal judgements
            judgements += quarantine.needs_judgement
            time.sleep(0.01 * quarantine.needs_judgement)
            quarantine.needs_judgement = False
            return []

        self.patch(PartQuarantine, "judge_if_needed", judge)

        async def scenario(log, clock, daemons):
            clock = SystemClock()
            daemon = DaemonUnderTest("d", log, clock)
            started_s = clock.now_s()
            for number in range(200):
                report_crash(daemon, number)
            await asyncio.sleep(0.3)
            took_s = clock.now_s() - started_s
            await daemon.close()
            self.assertLessEqual(judgements, 2 + took_s / 0.1)
            self.assertGreaterEqual(judgements, 2)

        self.run_daemons(scenario, count=0)

    def test_memory_of_the_log_is_bounded_in_bytes(self):
        """The oldest records are forgotten first."""
        self.patch(crashlog_module, "MAX_KNOWN_BYTES", 10_000)

        async def scenario(log, clock, daemons):
            for number in range(200):
                report_crash(daemons[0], number, *(f"{n}@m" for n in range(32)))
            known = daemons[0].crash_log.records_since(ALL_RECORDS)
            self.assertLess(sum(len(record.value) for record in known), 10_000)
            self.assertEqual(known[-1].key.rpartition(b"/")[2], b"200")

        self.run_daemons(scenario)

    def test_record_of_an_older_build_has_no_parts(self):
        """Daemons of two builds share a log while they are replaced."""
        value = {
            "type": "crash",
            "endpoint": "e",
            "started_ms": 1,
            "fingerprints": ["f"],
            "at_ms": 5,
        }
        report = decode_crash_record(cbor2.dumps(value))
        self.assertEqual(CrashReport(EndpointId("e"), 1, ["f"], 5), report)

    @parameterized.expand(
        [
            ("cut by the crash", AttemptFailedError("cut", reset=True), True, 1),
            ("batch item", AttemptFailedError("cut", reset=True), False, 0),
            ("refused", RequestNotRunError("full"), True, 0),
            ("unreachable", RequestNotRunError("no", unreachable=True), True, 0),
        ]
    )
    def test_only_attempts_that_may_have_run_are_reported(
        self, _name, error, may_crash_endpoints, reports
    ):
        """Neither a misdirected or refused attempt nor an item is a suspect."""

        async def scenario(log, clock, daemons):
            view = View(log, PlatformDirectory(), clock, quiet_reporter())
            attempts = AttemptRunner(
                view,
                ScriptedEngines(error),
                daemons[0].detector,
                ServingMetrics(),
                clock,
                quiet_reporter(),
            )
            call = EngineCall(
                "a1", "POST", "/s/1", [], b"", None, 1000, prompt_parts=[BAD]
            )
            with contextlib.suppress(AttemptFailedError, RequestNotRunError):
                await attempts.run(
                    call,
                    started("e"),
                    1.0,
                    None,
                    may_crash_endpoints=may_crash_endpoints,
                )
            await daemons[0].detector.may_send_again(EndpointId("e"), [BAD])
            await asyncio.sleep(0.05)
            found = [r.requests[0].parts for r in stored(log, CrashReport)]
            self.assertEqual([[BAD]] * reports, found)

        self.run_daemons(scenario)

    @parameterized.expand(
        [
            ("ended with the endpoint", True, True, True),
            ("ended with its connection", True, False, False),
            ("had a length", False, True, False),
        ]
    )
    def test_response_that_ends_with_a_crash_is_no_completion(
        self, _name, ends_with_connection, has_crashed, is_crash
    ):
        """It has neither a length nor chunks, so that its cut looks like its end."""

        async def scenario(log, clock, daemons):
            response = EndedResponse(200, ends_with_connection)
            engines = AnsweringEngines(response, has_crashed)
            daemons[0].detector._engines = engines
            view = View(log, PlatformDirectory(), clock, quiet_reporter())
            attempts = AttemptRunner(
                view,
                engines,
                daemons[0].detector,
                ServingMetrics(),
                clock,
                quiet_reporter(),
            )
            for number in range(3):
                call = EngineCall(
                    "a1", "POST", f"/{number}", [], b"", None, 9, prompt_parts=[BAD]
                )
                await attempts.run(call, started(f"e{number}"), 1.0, read_whole)
            if is_crash:
                await self.wait_until(lambda: refuses(daemons[1]))
            else:
                await self.wait_until(
                    lambda: not daemons[0].detector._parts.are_unclear([BAD])
                )

        self.run_daemons(scenario)
