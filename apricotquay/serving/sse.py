"""Splits a byte stream into server-sent events. Does no I/O."""

import re
from collections.abc import Iterator

import msgspec

EVENT_ID = re.compile(r"[0-9]{1,18}", re.ASCII)


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event: its bytes, its id (-1 if it has none) and its data."""

    raw: bytes
    id: int
    data: str


class EventSplitter:
    """Buffers bytes and yields complete events."""

    def __init__(self) -> None:
        self._buffer: bytes = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an event."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """The size of the part of an event that the buffer holds."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Buffer bytes and yield the events that are complete."""
        self._buffer += data
        while True:
            end = _find_event_end(self._buffer)
            if end < 0:
                return
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            yield parse_event(raw)


def parse_event(raw: bytes) -> StreamEvent:
    """Parse the id and data of an event; data lines are joined by line feeds."""
    event_id = -1
    data: list[str] = []
    for line in raw.decode("utf-8", "surrogateescape").splitlines():
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id" and EVENT_ID.fullmatch(value):
            event_id = int(value)
        elif field == "data":
            data.append(value)
    return StreamEvent(raw, event_id, "\n".join(data))


def _find_event_end(data: bytes) -> int:
    event_ends = [
        index + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(separator)) >= 0
    ]
    return min(event_ends, default=-1)
