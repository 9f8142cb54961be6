"""Detects crashes of endpoints and reports the requests that ran there."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Coroutine, Iterable, Sequence

from ...clocks import Clock
from ...errors import PeerUnavailableError
from ...events import Event
from ...ids import EndpointId
from ...quarantine import (
    COMPLETION_VALID_S,
    QUARANTINE_S,
    Quarantine,
    QuarantineStatus,
)
from ..endpoints import Endpoint
from ..engine import EngineClient
from ..fleet.keyedlog import KeyedRecord
from ..fleet.peers import Peers
from ..fleet.shards import Shards, shard_number
from ..messages import CrashSeen
from ..reporting import Reporter
from ..tasks import start_task
from .crashlog import (
    CRASHES,
    CompletionReport,
    CrashLog,
    CrashRecord,
    CrashReport,
    PartsCompletion,
    PartsMark,
    QuarantineMark,
)
from .partcrashes import PartCrashes
from .partquarantine import PartQuarantine
from .promptparts import PartKey

RECHECK_DELAY_S = 0.1
UPKEEP_INTERVAL_S = 10.0
# Some endpoints go on with a request whose connection was closed.
ABANDONED_MAY_RUN_S = 3.0
# How long a request that may have crashed an endpoint waits for the check.
MAX_CHECK_WAIT_S = 0.6

# Fingerprints of requests, and the parts of their prompts without the last.
Suspects = dict[str, frozenset[PartKey]]


class _EndpointAttempts:
    """What this daemon runs, or ran a moment ago, at one start of an endpoint.

    `reported` holds what this daemon has reported for a crash of this start.
    """

    def __init__(self, endpoint: Endpoint, running: Counter, parts: Suspects) -> None:
        self.endpoint: Endpoint = endpoint
        self.running: Counter = running
        self.abandoned_s: dict[str, float] = {}
        self.reported: set[str] = set()
        self._parts: Suspects = parts

    def begin(self, fingerprint: str, parts: Iterable[PartKey]) -> None:
        """Record that a request is sent there."""
        self.running[fingerprint] += 1
        known = self._parts.get(fingerprint, frozenset())
        self._parts[fingerprint] = known.union(parts)

    def suspects(self, now_s: float) -> Suspects:
        """Return the requests that may run there now."""
        oldest_s = now_s - ABANDONED_MAY_RUN_S
        self.abandoned_s = {f: s for f, s in self.abandoned_s.items() if s > oldest_s}
        self._parts = {
            f: self._parts.get(f, frozenset())
            for f in (*self.running, *self.abandoned_s)
        }
        return dict(self._parts)

    def next_start(self, endpoint: Endpoint) -> "_EndpointAttempts":
        """Return the attempts at the next start of the endpoint."""
        return _EndpointAttempts(endpoint, self.running, self._parts)


class CrashDetector:
    """Counts crashes by request, over all daemons. Shared by online and batch work.

    What is known is derived from the crash log alone, so all daemons come to the same
    conclusion, also those that start later.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        part_quarantine: PartQuarantine,
        crash_log: CrashLog,
        engines: EngineClient,
        shards: Shards,
        peers: Peers,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._quarantine: Quarantine = quarantine
        self._crash_log: CrashLog = crash_log
        self._engines: EngineClient = engines
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._attempts: dict[EndpointId, _EndpointAttempts] = {}
        self._parts = PartCrashes(part_quarantine, crash_log, clock, reporter)
        self._suspects_of_check: dict[EndpointId, Suspects] = {}
        self._checks: dict[EndpointId, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._marked: set[str] = set()
        # When some daemon last told that a request completed.
        self._completion_told_s: dict[str, float] = {}
        self._upkeep: asyncio.Task | None = None
        crash_log.apply = self._apply

    def start(self) -> None:
        """Start the regular upkeep of the crash log."""
        self._upkeep = start_task("crash upkeep", self._upkeep_loop, self._reporter)

    async def close(self) -> None:
        """Stop."""
        self._parts.close()
        for task in (self._upkeep, *self._tasks):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    def begin_attempt(
        self,
        endpoint: Endpoint,
        fingerprint: str | None,
        parts: Iterable[PartKey] = (),
    ) -> None:
        """Record that a request is sent to an endpoint; None cannot be a suspect."""
        if fingerprint is not None:
            self._attempts_at(endpoint).begin(fingerprint, parts)

    def end_attempt(
        self, endpoint: Endpoint, fingerprint: str | None, *, was_abandoned: bool
    ) -> None:
        """Record that an attempt ended; an abandoned one may still run there."""
        if fingerprint is None:
            return
        attempts = self._attempts_at(endpoint)
        attempts.running[fingerprint] -= 1
        if attempts.running[fingerprint] <= 0:
            del attempts.running[fingerprint]
        if was_abandoned:
            attempts.abandoned_s[fingerprint] = self._clock.now_s()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not run again."""
        status = self._quarantine.status(fingerprint, self._clock.now_s())
        return status is QuarantineStatus.QUARANTINED

    def find_causes(self, parts: Sequence[PartKey]) -> list[PartKey]:
        """Return the parts for which a request must not run, empty if it may run."""
        return self._parts.find_causes(parts)

    async def may_send_again(
        self, endpoint: EndpointId, parts: Sequence[PartKey]
    ) -> bool:
        """Whether a request that failed at an endpoint may go to a further one.

        If its parts are suspected, the check for a crash there is awaited.
        """
        if not self._parts.are_unclear(parts):
            return True
        check = self._checks.get(endpoint)
        if check is not None:
            await asyncio.wait([check], timeout=MAX_CHECK_WAIT_S)
        return self._parts.may_send_again(parts)

    def record_completion(
        self, fingerprint: str | None, parts: Sequence[PartKey] = ()
    ) -> None:
        """Record that a request completed; report it if it is suspected."""
        self._parts.record_completion(parts)
        if fingerprint is None:
            return
        now_s = self._clock.now_s()
        is_suspect = (
            self._quarantine.status(fingerprint, now_s) is not QuarantineStatus.CLEAR
        )
        self._quarantine.record_completion(fingerprint, now_s)
        if is_suspect:
            self._report_completion(fingerprint)

    def check_completion(
        self, endpoint: Endpoint, fingerprint: str | None, parts: Sequence[PartKey]
    ) -> None:
        """Record a completion unless it turns out that the endpoint crashed."""
        self._start_task(self._check_completion(endpoint, fingerprint, parts))

    def check_endpoint(self, endpoint: Endpoint, fingerprint: str | None) -> None:
        """Check whether an endpoint crashed after an attempt was cut or timed out."""
        suspects = self._attempts_at(endpoint).suspects(self._clock.now_s())
        if fingerprint is not None:
            suspects.setdefault(fingerprint, frozenset())
        if suspects:
            self._begin_check(endpoint, suspects)

    def _begin_check(self, endpoint: Endpoint, suspects: Suspects) -> None:
        if endpoint.id in self._suspects_of_check:
            self._suspects_of_check[endpoint.id].update(suspects)
            return
        self._suspects_of_check[endpoint.id] = suspects
        self._checks[endpoint.id] = self._start_task(self._check_crash(endpoint))

    def _start_task(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def handle_crash_seen(self, message: CrashSeen) -> None:
        """Apply a record that a peer sent, which may not be in the log yet."""
        self._crash_log.apply_from_peer(
            [KeyedRecord(message.key, message.value)], is_complete=False
        )

    async def _check_crash(self, endpoint: Endpoint) -> None:
        has_crashed = await self._has_crashed(endpoint)
        requests = self._suspects_of_check.pop(endpoint.id)
        del self._checks[endpoint.id]
        fingerprints = sorted(requests)
        if not has_crashed:
            self._reporter.write(
                Event.CRASH_NOT_CONFIRMED, endpoint=endpoint.id, suspects=fingerprints
            )
            return
        suspects = self._quarantine.without_recent_completion(
            fingerprints, self._clock.now_s()
        )
        report = CrashReport(
            endpoint.id,
            endpoint.started_ms,
            suspects,
            self._clock.wall_ms(),
            self._parts.suspects_of(requests),
        )
        self._attempts_at(endpoint).reported.update(fingerprints)
        if not report.fingerprints and not report.requests:
            self._report_crash(report)
            return
        self._start_task(self._tell_owners(self._crash_log.add(report)))

    async def _check_completion(
        self, endpoint: Endpoint, fingerprint: str | None, parts: Sequence[PartKey]
    ) -> None:
        suspects = self._attempts_at(endpoint).suspects(self._clock.now_s())
        await asyncio.sleep(RECHECK_DELAY_S)
        if not await self._engines.refuses_connections(endpoint):
            self.record_completion(fingerprint, parts)
            return
        if fingerprint is not None:
            suspects[fingerprint] = frozenset(parts)
        if suspects:
            self._begin_check(endpoint, suspects)

    async def _tell_owners(self, keyed: KeyedRecord) -> None:
        """Send a record directly, in case the store is slow or away."""
        message = CrashSeen(keyed.key, keyed.value)
        for address in self._shards.addresses():
            try:
                (await self._peers.connect(address)).send(message)
            except PeerUnavailableError:
                # Peers logs the failure; that daemon learns of the crash from the log.
                continue

    async def _has_crashed(self, endpoint: Endpoint) -> bool:
        """Check twice: a process that is exiting may still accept a connection."""
        if await self._engines.refuses_connections(endpoint):
            return True
        await asyncio.sleep(RECHECK_DELAY_S)
        return await self._engines.refuses_connections(endpoint)

    def _apply(self, record: CrashRecord) -> None:
        """Apply a record of this or another daemon."""
        now_s = self._clock.now_s()
        age_s = max(0.0, (self._clock.wall_ms() - record.at_ms) / 1000)
        self._quarantine.tick(now_s)
        if isinstance(record, CrashReport):
            self._apply_crash(record, now_s - age_s)
        elif isinstance(record, CompletionReport):
            self._quarantine.record_completion(record.fingerprint, now_s - age_s)
            self._quarantine.release(record.fingerprint)
            self._completion_told_s[record.fingerprint] = now_s - age_s
            if self._keeps_log:
                self._crash_log.delete_marks(record.fingerprint)
        elif isinstance(record, PartsCompletion):
            self._parts.apply_completion(record, now_s - age_s)
        elif isinstance(record, PartsMark):
            until_s = now_s + (record.until_ms - self._clock.wall_ms()) / 1000
            self._parts.apply_mark(record, now_s - age_s, until_s)
        elif self._quarantine.without_recent_completion([record.fingerprint], now_s):
            until_s = now_s + (record.until_ms - self._clock.wall_ms()) / 1000
            self._quarantine.add_quarantined(record.fingerprint, until_s)
            self._marked.add(record.fingerprint)

    def _apply_crash(self, report: CrashReport, at_s: float) -> None:
        # An endpoint may start again under its id, so the start is part of the name.
        start = f"{report.endpoint}/{report.started_ms}"
        quarantined = self._quarantine.record_crash(start, report.fingerprints, at_s)
        self._parts.apply_crash(start, report, at_s)
        self._report_crash(report)
        for fingerprint in quarantined:
            self._reporter.write(
                Event.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                endpoint=report.endpoint,
                for_s=QUARANTINE_S,
            )
        self._clear_completed(report)
        self._add_own_suspects(report)

    def _clear_completed(self, report: CrashReport) -> None:
        """Tell the others which of the suspects have completed here lately."""
        for fingerprint in report.fingerprints:
            completed_s = self._quarantine.completed_s(fingerprint)
            if self._clock.now_s() - completed_s >= COMPLETION_VALID_S:
                continue
            told_s = self._completion_told_s.get(fingerprint, float("-inf"))
            if completed_s - told_s > COMPLETION_VALID_S / 2:
                self._report_completion(fingerprint)

    def _report_completion(self, fingerprint: str) -> None:
        age_s = self._clock.now_s() - self._quarantine.completed_s(fingerprint)
        at_ms = self._clock.wall_ms() - int(age_s * 1000)
        self._crash_log.add(CompletionReport(fingerprint, at_ms))

    def _add_own_suspects(self, report: CrashReport) -> None:
        """Check an endpoint that another daemon saw crash for what ran here.

        This daemon's attempts there may have been abandoned, or be silent.
        """
        attempts = self._attempts.get(report.endpoint)
        if attempts is None or attempts.endpoint.started_ms != report.started_ms:
            return
        suspects = attempts.suspects(self._clock.now_s())
        known = attempts.reported.union(report.fingerprints)
        known.update(request.fingerprint for request in report.requests)
        suspects = {f: parts for f, parts in suspects.items() if f not in known}
        if suspects:
            self._begin_check(attempts.endpoint, suspects)

    def _attempts_at(self, endpoint: Endpoint) -> _EndpointAttempts:
        attempts = self._attempts.get(endpoint.id)
        if attempts is None or attempts.endpoint.started_ms != endpoint.started_ms:
            if attempts is None:
                attempts = _EndpointAttempts(endpoint, Counter(), {})
            else:
                attempts = attempts.next_start(endpoint)
            self._attempts[endpoint.id] = attempts
        return attempts

    def _report_crash(self, report: CrashReport) -> None:
        self._reporter.write(
            Event.ENDPOINT_CRASHED,
            endpoint=report.endpoint,
            started_ms=report.started_ms,
            crashed_ms=report.at_ms,
            suspects=self._quarantine.crash_counts(report.fingerprints),
            parts=self._parts.crash_counts(report),
        )

    @property
    def _keeps_log(self) -> bool:
        """Whether this daemon is the one that deletes records and marks conclusions."""
        return shard_number(CRASHES, self._shards.count) in self._shards.owned

    async def _upkeep_loop(self) -> None:
        """Forget expired records; for all daemons, one of them updates the log."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            if self._keeps_log:
                self._mark_quarantined()
                self._parts.update_log()
                self._crash_log.delete_expired()
            self._crash_log.expire()
            self._forget_idle_endpoints()
            self._forget_old_completions()
            self._parts.tick()

    def _forget_old_completions(self) -> None:
        oldest_s = self._clock.now_s() - COMPLETION_VALID_S
        self._completion_told_s = {
            f: told_s
            for f, told_s in self._completion_told_s.items()
            if told_s > oldest_s
        }

    def _forget_idle_endpoints(self) -> None:
        now_s = self._clock.now_s()
        idle = [e for e, a in self._attempts.items() if not a.suspects(now_s)]
        for endpoint_id in idle:
            del self._attempts[endpoint_id]

    def _mark_quarantined(self) -> None:
        """Store conclusions, which outlive the reports that led to them."""
        now_s, now_ms = self._clock.now_s(), self._clock.wall_ms()
        quarantined = self._quarantine.quarantined_here()
        self._marked &= set(quarantined)
        for fingerprint in quarantined.keys() - self._marked:
            until_ms = now_ms + int((quarantined[fingerprint] - now_s) * 1000)
            self._crash_log.add(QuarantineMark(fingerprint, now_ms, until_ms))
        self._marked |= set(quarantined)
