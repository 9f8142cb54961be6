"""Splits a byte stream into server-sent events. Does no I/O."""

import re
from collections.abc import Iterator

import msgspec

EVENT_ID = re.compile(rb"[0-9]{1,18}")
# The only ends of lines in event streams; `splitlines` knows many more.
LINE_END = re.compile(rb"\r\n|\n|\r")
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
MAX_EVENT_END_BYTES = 4
# Readers break off a stream with a longer event.
MAX_EVENT_BYTES = 1024 * 1024


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event: its bytes, its id (-1 if it has none) and its data, in which
    bytes that are no UTF-8 are replaced; `is_text` tells whether there were none.
    """

    raw: bytes
    id: int
    data: str
    is_text: bool = True


class EventSplitter:
    """Buffers bytes and yields complete events.

    Each byte is copied and searched once, however small the parts are that it is fed.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # No event ends before this position of the buffer.
        self._searched_bytes: int = 0

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
        while match := EVENT_END.search(self._buffer, self._searched_bytes):
            raw = bytes(self._buffer[: match.end()])
            del self._buffer[: match.end()]
            self._searched_bytes = 0
            yield parse_event(raw)
        # An end may have arrived in part.
        unsearched = len(self._buffer) - MAX_EVENT_END_BYTES + 1
        self._searched_bytes = max(0, unsearched)


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
