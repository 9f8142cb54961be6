"""Numbered events on standard output that never block, and dependencies' states."""

import collections
import os
import sys

import msgspec
import structlog

from ..clocks import Clock
from ..events import Event

MAX_LINES = 4_000
MAX_BATCH_BYTES = 65_536


class LineWriter:
    """A bounded queue of lines before a descriptor that is never waited for.

    Lines that do not fit are dropped and counted. Used by structlog as logger.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped: int = 0
        self._descriptor: int = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest: bytes = b""
        os.set_blocking(descriptor, False)

    @property
    def has_room(self) -> bool:
        """Whether the next line would be queued."""
        return len(self._lines) < MAX_LINES

    def info(self, line: bytes) -> None:
        """Queue one line."""
        if self.has_room:
            self._lines.append(line)
        else:
            self.dropped += 1

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take_batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except OSError:
                # Nobody reads, or the reader is slow: the lines wait or drop.
                return
            self._rest = self._rest[written:]

    def _take_batch(self) -> bytes:
        batch = []
        size = 0
        while self._lines and size < MAX_BATCH_BYTES:
            line = self._lines.popleft()
            size += len(line) + 1
            batch.append(line)
        return b"\n".join(batch) + b"\n"


def _render(_logger, _name: str, fields: dict) -> str:
    return msgspec.json.encode(fields)


class Reporter:
    """Writes events with the time, the VM and typed fields. One a daemon."""

    def __init__(self, vm: str, clock: Clock, writer: LineWriter | None = None) -> None:
        self._clock: Clock = clock
        self._writer: LineWriter = writer or LineWriter(sys.stdout.fileno())
        self._lost: dict[str, float] = {}
        self._dropped_told: int = 0
        self._logger = structlog.wrap_logger(
            self._writer,
            processors=[_render],
            wrapper_class=structlog.make_filtering_bound_logger(0),
            vm=vm,
        )

    @property
    def dropped(self) -> int:
        """How many lines were dropped since the start."""
        return self._writer.dropped

    def write(self, event: Event, **fields: object) -> None:
        """Queue one event."""
        self._logger.info(
            event.message,
            number=event.number,
            at_ms=self._clock.wall_ms(),
            **fields,
        )

    def report_lost(self, dependency: str, reason: str, **fields: object) -> None:
        """Report that a dependency does not answer, once until it does again."""
        name = f"{dependency}{sorted(fields.items())}"
        if name not in self._lost:
            self._lost[name] = self._clock.now_s()
            self.write(
                Event.DEPENDENCY_LOST, dependency=dependency, reason=reason, **fields
            )

    def report_recovered(self, dependency: str, **fields: object) -> None:
        """Report that a dependency answers again, if it was lost."""
        lost_s = self._lost.pop(f"{dependency}{sorted(fields.items())}", None)
        if lost_s is not None:
            away_ms = int((self._clock.now_s() - lost_s) * 1000)
            self.write(
                Event.DEPENDENCY_REGAINED,
                dependency=dependency,
                away_ms=away_ms,
                **fields,
            )

    def flush(self) -> None:
        """Hand queued lines to the system; called by the daemon's ticker."""
        self._writer.flush()
        dropped = self._writer.dropped
        if dropped > self._dropped_told and self._writer.has_room:
            self.write(Event.LOG_LINES_DROPPED, dropped=dropped)
            self._dropped_told = dropped
