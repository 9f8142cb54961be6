"""Follows an environment's configuration stream for the threaded daemon."""

import threading
from collections.abc import Callable

from .clocks import Clock
from .configuration import ApplyResult, ConfigState, Configuration
from .errors import ErrorKind, LogUnavailableError, RequestError
from .events import Event, EventLog
from .ids import StreamName
from .logclient import Appender, Log, ReadPage
from .records import ConfigCheckpoint, ConfigPublished, compress_text, decode_envelope
from .tasks import StreamFollower

CHECKPOINT_RETENTION_FRACTION = 1 / 3
APPEND_TIMEOUT_S = 3.0

Listener = Callable[[Configuration], None]


def config_stream(environment: str) -> StreamName:
    """Return the name of an environment's configuration stream."""
    return StreamName(f"config-{environment}")


class EnvironmentConfig:
    """Holds the configuration in force at this daemon. Read by every request."""

    def __init__(
        self,
        log: Log,
        appender: Appender,
        name: str,
        retention_ms: int,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._log_confirmed_s: float = float("-inf")
        self._recorded_s: float = clock.now_s()
        self._retention_s: float = retention_ms / 1000
        self._appender: Appender = appender
        self._clock: Clock = clock
        self._events: EventLog = events
        self._stream: StreamName = config_stream(name)
        self._state = ConfigState()
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []
        self._follower = StreamFollower(
            log, self._stream, self._handle_page, clock, events
        )

    @property
    def current(self) -> Configuration | None:
        """The configuration in force."""
        return self._state.current

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one."""
        return self._state.version

    def require_current(self) -> Configuration:
        """Return the configuration in force, or raise VIEW_STALE if there is none."""
        current = self._state.current
        if current is None:
            raise RequestError(ErrorKind.VIEW_STALE, "no configuration is known yet")
        return current

    def start(self) -> None:
        """Read the stream to its tail if the log is reachable, then follow it."""
        try:
            self._follower.read_to_tail()
        except LogUnavailableError as exc:
            self._events.write(
                Event.LOG_UNREACHABLE, stream=self._stream, error=str(exc)[:200]
            )
        self._follower.start()

    def close(self) -> None:
        """Stop following."""
        self._follower.close()

    def add_listener(self, listener: Listener) -> None:
        """Register a function to be called with each configuration put in force."""
        self._listeners.append(listener)

    def log_age_s(self) -> float:
        """Return the time since a read of the log last confirmed the configuration."""
        return self._clock.now_s() - self._log_confirmed_s

    def apply_from_peer(self, version: int, text: str) -> None:
        """Apply a peer's configuration if it is newer."""
        with self._lock:
            result = self._state.apply_from_peer(version, text)
        self._report_result(result, "peer")

    def checkpoint_if_due(self) -> None:
        """Append a checkpoint before the log drops the configuration's record."""
        current = self._state.current
        age_s = self._clock.now_s() - self._recorded_s
        if current is None or age_s < self._retention_s * CHECKPOINT_RETENTION_FRACTION:
            return
        record = ConfigCheckpoint(
            current.version, compress_text(current.text), self._clock.wall_ms()
        )
        try:
            self._appender.append(self._stream, record, APPEND_TIMEOUT_S)
        except LogUnavailableError:
            return
        self._recorded_s = self._clock.now_s()
        self._events.write(Event.CONFIG_CHECKPOINTED, version=current.version)

    def _handle_page(self, page: ReadPage, sent_s: float) -> None:
        for entry in page.entries:
            envelope = decode_envelope(entry.data)
            if envelope is None:
                self._events.write(
                    Event.RECORD_SKIPPED, stream=self._stream, offset=entry.offset
                )
                continue
            with self._lock:
                result = self._state.apply(entry.offset, envelope)
            self._update_recorded_time(envelope.record, result, entry.age_ms)
            self._report_result(result, "log")
        if page.reaches_tail:
            self._log_confirmed_s = max(self._log_confirmed_s, sent_s)

    def _update_recorded_time(
        self, record: object, result: ApplyResult, age_ms: int
    ) -> None:
        is_current = isinstance(record, ConfigCheckpoint) and (
            record.version == self._state.version
        )
        is_published = isinstance(record, ConfigPublished)
        if is_current or (is_published and result is ApplyResult.IN_FORCE):
            self._recorded_s = self._clock.now_s() - age_ms / 1000

    def _report_result(self, result: ApplyResult, source: str) -> None:
        if result in (ApplyResult.CONFLICT, ApplyResult.INVALID):
            self._events.write(
                Event.CONFIG_REJECTED, verdict=result.value, version=self.version
            )
        if result is not ApplyResult.IN_FORCE:
            return
        self._events.write(Event.CONFIG_IN_FORCE, version=self.version, source=source)
        for listener in self._listeners:
            listener(self._state.current)
