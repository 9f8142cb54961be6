"""Detects crashes of endpoints in the threaded daemon and suspects what ran there."""

import contextlib
import threading
import time
from collections import Counter
from collections.abc import Iterator

from .clocks import Clock
from .engineclient import EndpointError, EngineClient
from .errors import PeerUnavailableError
from .events import Event, EventLog
from .fleet import Fleet
from .ids import EndpointId
from .membership import MemberState, VmEntry
from .messages import QuarantineNotice
from .quarantine import QUARANTINE_S, Quarantine, QuarantineStatus
from .records import QuarantineMarked

NOTICE_TIMEOUT_S = 0.6
PROBE_ATTEMPTS = 4
PROBE_INTERVAL_S = 0.05
# All daemons with requests at an endpoint that crashes report them at the same moment.
REPORTS_DELAY_S = 0.1


class PoisonDetector:
    """Quarantines requests that crash endpoints. Shared by online and batch work.

    `append_mark` appends a quarantine record to the log, for daemons that start
    later; running daemons are notified directly, so a log outage does not matter.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        fleet: Fleet,
        engines: EngineClient,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.append_mark = lambda record: None
        self._quarantine: Quarantine = quarantine
        self._fleet: Fleet = fleet
        self._engines: EngineClient = engines
        self._clock: Clock = clock
        self._events: EventLog = events
        self._lock = threading.Lock()
        self._running: dict[EndpointId, Counter] = {}

    @contextlib.contextmanager
    def track_running(self, endpoint: EndpointId, fingerprint: str) -> Iterator[None]:
        """Record that a request runs at an endpoint."""
        with self._lock:
            self._running.setdefault(endpoint, Counter())[fingerprint] += 1
        try:
            yield
        finally:
            with self._lock:
                counter = self._running[endpoint]
                counter[fingerprint] -= 1
                if counter[fingerprint] <= 0:
                    del counter[fingerprint]

    def status(self, fingerprint: str) -> QuarantineStatus:
        """Return the status of a fingerprint."""
        with self._lock:
            return self._quarantine.status(fingerprint, self._clock.now_s())

    def suspects(self) -> list[str]:
        """Return all suspect fingerprints, in the same order at all daemons."""
        with self._lock:
            return self._quarantine.suspects(self._clock.now_s())

    def crashed_endpoints(self) -> frozenset[str]:
        """Return the endpoints that crashed lately, as any daemon reported."""
        with self._lock:
            return self._quarantine.crashed_endpoints(self._clock.now_s())

    def record_completion(self, fingerprint: str) -> None:
        """Record that a request completed."""
        with self._lock:
            self._quarantine.record_completion(fingerprint, self._clock.now_s())

    def check_crash(self, entry: VmEntry, fingerprint: str) -> bool:
        """Check whether an endpoint crashed; if so, suspect its requests."""
        if not self._refuses_connections(entry):
            return False
        endpoint = EndpointId(entry.id)
        with self._lock:
            running_here = self._running.get(endpoint, Counter())
            suspects = sorted({fingerprint, *running_here})
        self._record_suspects(endpoint, suspects)
        self._notify_all(QuarantineNotice(endpoint, suspects, []))
        time.sleep(REPORTS_DELAY_S)
        self._conclude(endpoint)
        return True

    def handle_notice(self, notice: QuarantineNotice) -> None:
        """Apply the suspects and quarantines that another daemon reported."""
        until_s = self._clock.now_s() + QUARANTINE_S
        with self._lock:
            for fingerprint in notice.quarantined:
                self._quarantine.add_quarantined(fingerprint, until_s)
        if notice.suspects:
            self._record_suspects(EndpointId(notice.endpoint), notice.suspects)

    def apply_mark(self, record: QuarantineMarked) -> None:
        """Apply a quarantine record of the fleet stream."""
        remaining_s = (record.until_ms - self._clock.wall_ms()) / 1000
        if remaining_s > 0:
            with self._lock:
                until_s = self._clock.now_s() + remaining_s
                self._quarantine.add_quarantined(record.fingerprint, until_s)

    def tick(self) -> None:
        """Remove expired entries."""
        with self._lock:
            self._quarantine.tick(self._clock.now_s())

    def _refuses_connections(self, entry: VmEntry) -> bool:
        """Whether the endpoint's port refuses connections.

        A process that is exiting may still accept connections for a moment, so a
        connection that fails in another way is retried.
        """
        for _ in range(PROBE_ATTEMPTS):
            try:
                self._engines.fetch_load(entry)
            except EndpointError as exc:
                if exc.refused:
                    return True
                time.sleep(PROBE_INTERVAL_S)
            else:
                return False
        return False

    def _record_suspects(self, endpoint: EndpointId, suspects: list[str]) -> None:
        with self._lock:
            self._quarantine.add_suspects(endpoint, suspects, self._clock.now_s())
            crash_counts = self._quarantine.crash_counts(suspects)
        self._eject(endpoint)
        self._events.write(
            Event.ENDPOINT_CRASHED, endpoint=endpoint, suspects=crash_counts
        )

    def _eject(self, endpoint_id: EndpointId) -> None:
        """Eject a crashed endpoint: each request sent there would cost a retry."""
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(endpoint_id)
            if endpoint is not None:
                now_s = self._clock.now_s()
                self._fleet.endpoints.record_failure(endpoint, now_s, refused=True)

    def _conclude(self, endpoint: EndpointId) -> None:
        with self._lock:
            quarantined = self._quarantine.conclude(endpoint, self._clock.now_s())
        for fingerprint in quarantined:
            self._events.write(Event.REQUEST_QUARANTINED, fingerprint=fingerprint)
            now_ms = self._clock.wall_ms()
            until_ms = now_ms + int(QUARANTINE_S * 1000)
            self.append_mark(QuarantineMarked(fingerprint, 2, now_ms, until_ms))
        if quarantined:
            self._notify_all(QuarantineNotice(endpoint, [], quarantined))

    def _notify_all(self, notice: QuarantineNotice) -> None:
        """Notify all daemons and wait for them.

        Once the request's failure is reported, its caller may resend it to any of them.
        """
        with self._fleet.lock:
            members = self._fleet.members.in_state(
                MemberState.ALIVE, MemberState.LEAVING
            )
        threads = [
            threading.Thread(
                target=self._notify_member, args=(member, notice), daemon=True
            )
            for member in members
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _notify_member(self, member, notice: QuarantineNotice) -> None:
        try:
            self._fleet.call(member, notice, NOTICE_TIMEOUT_S)
        except PeerUnavailableError:
            # The member learns of the quarantine from the log.
            return
