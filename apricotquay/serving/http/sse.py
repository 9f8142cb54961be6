"""Splits a byte stream into server-sent events. Does no I/O."""

import re
from collections.abc import Iterator

import msgspec

EVENT_ID = re.compile(rb"[0-9]{1,18}")
# The only ends of lines in event streams; `splitlines` knows many more.
LINE_END = re.compile(rb"\r\n|\n|\r")


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event: its bytes, its id (-1 if it has none) and its data, in which
    bytes that are no UTF-8 are replaced; `is_text` tells whether there were none.
    """

    raw: bytes
    id: int
    data: str
    is_text: bool = True


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
    lines: list[bytes] = []
    for line in LINE_END.split(raw):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id" and EVENT_ID.fullmatch(value):
            event_id = int(value)
        elif field == b"data":
            lines.append(value)
    data = b"\n".join(lines)
    try:
        return StreamEvent(raw, event_id, data.decode())
    except UnicodeDecodeError:
        return StreamEvent(raw, event_id, data.decode("utf-8", "replace"), False)


def _find_event_end(data: bytes) -> int:
    event_ends = [
        index + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(separator)) >= 0
    ]
    return min(event_ends, default=-1)
