"""Server-sent events: splits a byte stream into whole events. Pure."""

from collections.abc import Iterator

import msgspec


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event: its bytes, its id (-1 without one) and its data."""

    raw: bytes
    id: int
    data: str


class EventSplitter:
    """Collects bytes and yields the events that are whole."""

    def __init__(self) -> None:
        self._rest: bytes = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event are left."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and yield the events that they complete."""
        self._rest += data
        while True:
            end = _end_of_event(self._rest)
            if end < 0:
                return
            raw, self._rest = self._rest[:end], self._rest[end:]
            yield parse_event(raw)


def parse_event(raw: bytes) -> StreamEvent:
    """Read an event's id and data; data lines are joined by line feeds."""
    event_id = -1
    data: list[str] = []
    for line in raw.decode("utf-8", "surrogateescape").splitlines():
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id" and value.isdigit():
            event_id = int(value)
        elif field == "data":
            data.append(value)
    return StreamEvent(raw, event_id, "\n".join(data))


def _end_of_event(data: bytes) -> int:
    ends = [
        place + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (place := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)
