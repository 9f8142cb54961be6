"""Watches which requests run where, and what an endpoint's death says of them."""

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
GONE_TRIES = 4
GONE_PAUSE_S = 0.05


class PoisonDetector:
    """Shared by online and batch work.

    `append_mark` appends a quarantine record to the log, for daemons that start later;
    the running ones are told directly, so that a log outage does not matter.
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
        """Note that a request runs at an endpoint."""
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
        """Return what may be done with a fingerprint."""
        with self._lock:
            return self._quarantine.status(fingerprint, self._clock.now_s())

    def suspects(self) -> list[str]:
        """Return all fingerprints that are suspects, in an order that daemons share."""
        with self._lock:
            return self._quarantine.suspects(self._clock.now_s())

    def record_completion(self, fingerprint: str) -> None:
        """A request completed."""
        with self._lock:
            self._quarantine.record_completion(fingerprint, self._clock.now_s())

    def check_crash(self, entry: VmEntry, fingerprint: str) -> bool:
        """Find out whether an endpoint died, and suspect what ran there."""
        if not self._is_gone(entry):
            return False
        endpoint = EndpointId(entry.id)
        with self._lock:
            beside = self._running.get(endpoint, Counter())
            suspects = sorted({fingerprint, *beside})
        self._see_death(endpoint, suspects)
        self._tell(QuarantineNotice(endpoint, suspects, []))
        return True

    def handle_notice(self, notice: QuarantineNotice) -> None:
        """Take in what another daemon saw."""
        until_s = self._clock.now_s() + QUARANTINE_S
        with self._lock:
            for fingerprint in notice.quarantined:
                self._quarantine.mark(fingerprint, until_s)
        if notice.suspects:
            self._see_death(EndpointId(notice.endpoint), notice.suspects)

    def apply_mark(self, record: QuarantineMarked) -> None:
        """Take in a quarantine record of the fleet stream."""
        left_s = (record.until_ms - self._clock.wall_ms()) / 1000
        if left_s > 0:
            with self._lock:
                until_s = self._clock.now_s() + left_s
                self._quarantine.mark(record.fingerprint, until_s)

    def tick(self) -> None:
        """Forget what has expired."""
        with self._lock:
            self._quarantine.tick(self._clock.now_s())

    def _is_gone(self, entry: VmEntry) -> bool:
        """Whether the endpoint's port refuses connections.

        A process that is just ending may still accept one for a moment, so a
        connection that fails otherwise is tried again.
        """
        for _ in range(GONE_TRIES):
            try:
                self._engines.load(entry)
            except EndpointError as exc:
                if exc.refused:
                    return True
                time.sleep(GONE_PAUSE_S)
            else:
                return False
        return False

    def _see_death(self, endpoint: EndpointId, suspects: list[str]) -> None:
        with self._lock:
            convicted = self._quarantine.see_death(
                endpoint, suspects, self._clock.now_s()
            )
            counts = self._quarantine.counts(suspects)
        self._events.write(Event.ENDPOINT_DIED, endpoint=endpoint, suspects=counts)
        for fingerprint in convicted:
            self._events.write(Event.REQUEST_QUARANTINED, fingerprint=fingerprint)
            now_ms = self._clock.wall_ms()
            until_ms = now_ms + int(QUARANTINE_S * 1000)
            self.append_mark(QuarantineMarked(fingerprint, 2, now_ms, until_ms))
        if convicted:
            self._tell(QuarantineNotice(endpoint, [], convicted))

    def _tell(self, notice: QuarantineNotice) -> None:
        """Tell all daemons, and wait until they know: the request may be sent to
        any of them as soon as its failure is reported.
        """
        with self._fleet.lock:
            members = self._fleet.members.in_state(
                MemberState.ALIVE, MemberState.LEAVING
            )
        threads = [
            threading.Thread(
                target=self._tell_member, args=(member, notice), daemon=True
            )
            for member in members
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _tell_member(self, member, notice: QuarantineNotice) -> None:
        try:
            self._fleet.call(member, notice, NOTICE_TIMEOUT_S)
        except PeerUnavailableError:
            # The member learns of it from the log.
            return
