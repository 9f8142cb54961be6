"""Non-blocking output of numbered log events, and reports of lost dependencies."""

import collections
import os
import sys
from collections.abc import Callable

import msgspec
import structlog

from ..clocks import Clock
from ..events import Event

MAX_QUEUED_LINES = 4_000
WRITE_BATCH_BYTES = 65_536
# Lines a second of an event that callers can cause at will.
LIMITED_LINES_PER_S = 10


class LineWriter:
    """A bounded queue of lines for a non-blocking file descriptor.

    Lines that do not fit are dropped and counted. structlog uses it as its logger.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped: int = 0
        self._descriptor: int = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten: bytes = b""
        os.set_blocking(descriptor, False)

    @property
    def has_unwritten(self) -> bool:
        """Whether lines wait for the descriptor."""
        return bool(self._unwritten or self._lines)

    @property
    def has_room(self) -> bool:
        """Whether the queue accepts another line."""
        return len(self._lines) < MAX_QUEUED_LINES

    def info(self, line: bytes) -> None:
        """Queue a line."""
        if self.has_room:
            self._lines.append(line)
        else:
            self.dropped += 1

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # The reader is slow or gone. Lines wait; a full queue drops new ones.
                return
            self._unwritten = self._unwritten[written:]

    def _next_batch(self) -> bytes:
        batch = []
        size = 0
        while self._lines and size < WRITE_BATCH_BYTES:
            line = self._lines.popleft()
            size += len(line) + 1
            batch.append(line)
        return b"\n".join(batch) + b"\n"


class LineLimit:
    """Admits a number of lines a second. Pure."""

    def __init__(self, lines_per_s: int = LIMITED_LINES_PER_S) -> None:
        self._lines_per_s: int = lines_per_s
        self._second: int = -1
        self._admitted: int = 0
        self._suppressed: int = 0

    def admit(self, now_s: float) -> int | None:
        """Return how many lines were suppressed before this one; None suppresses it."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._admitted = 0
        if self._admitted >= self._lines_per_s:
            self._suppressed += 1
            return None
        self._admitted += 1
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


def _render(_logger, _name: str, fields: dict) -> str:
    return msgspec.json.encode(fields)


class Reporter:
    """Writes log events with the time, the VM and fields. One per daemon."""

    def __init__(self, vm: str, clock: Clock, writer: LineWriter | None = None) -> None:
        # Called when a line was queued, so that the daemon flushes soon.
        self.on_line: Callable[[], None] = lambda: None
        self._clock: Clock = clock
        self._writer: LineWriter = writer or LineWriter(sys.stdout.fileno())
        self._lost_since_s: dict[str, float] = {}
        self._dropped_reported: int = 0
        self._limits: dict[Event, LineLimit] = {}
        self._logger = structlog.wrap_logger(
            self._writer,
            processors=[_render],
            wrapper_class=structlog.make_filtering_bound_logger(0),
            vm=vm,
        )

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._writer.dropped

    @property
    def has_unwritten(self) -> bool:
        """Whether lines wait to be written."""
        return self._writer.has_unwritten

    def write(self, event: Event, **fields: object) -> None:
        """Queue an event."""
        self._logger.info(
            event.message,
            number=event.number,
            at_ms=self._clock.wall_ms(),
            **fields,
        )
        self.on_line()

    def write_limited(
        self, event: Event, lines_per_s: int = LIMITED_LINES_PER_S, **fields: object
    ) -> None:
        """Queue an event unless `lines_per_s` of it were queued this second."""
        limit = self._limits.setdefault(event, LineLimit(lines_per_s))
        suppressed = limit.admit(self._clock.now_s())
        if suppressed is not None:
            self.write(event, suppressed=suppressed, **fields)

    def report_lost(self, dependency: str, reason: str, **fields: object) -> None:
        """Report that a dependency fails to respond, once until it recovers."""
        key = f"{dependency}{sorted(fields.items())}"
        if key not in self._lost_since_s:
            self._lost_since_s[key] = self._clock.now_s()
            self.write(
                Event.DEPENDENCY_LOST, dependency=dependency, reason=reason, **fields
            )

    def report_recovered(self, dependency: str, **fields: object) -> None:
        """Report that a dependency responds again, if it was reported as lost."""
        lost_since_s = self._lost_since_s.pop(
            f"{dependency}{sorted(fields.items())}", None
        )
        if lost_since_s is not None:
            away_ms = int((self._clock.now_s() - lost_since_s) * 1000)
            self.write(
                Event.DEPENDENCY_RECOVERED,
                dependency=dependency,
                away_ms=away_ms,
                **fields,
            )

    def flush(self) -> None:
        """Write queued lines; the daemon calls this soon after lines were queued."""
        self._writer.flush()
        dropped = self._writer.dropped
        if dropped > self._dropped_reported and self._writer.has_room:
            self.write(Event.LOG_LINES_DROPPED, dropped=dropped)
            self._dropped_reported = dropped
