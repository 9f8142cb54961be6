"""Reads daemons' log lines, finds those about an id and counts events.

Only lines with the field `at_ms` are read, which event-loop daemons write.
"""

import datetime
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

# Printed first, in this order; the other fields follow.
LEADING_FIELDS = ("at_ms", "vm", "number", "event")


def read_lines(paths: Iterable[str]) -> Iterator[dict]:
    """Yield the log lines of files; lines of other formats are skipped."""
    for path in paths:
        with Path(path).open("rb") as file:
            yield from _decode_lines(file)


def _decode_lines(lines: Iterable[bytes]) -> Iterator[dict]:
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            value = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # A line of another program, or one truncated when its process was killed.
            continue
        if isinstance(value, dict) and "number" in value and "at_ms" in value:
            yield value


def find_lines(lines: Iterable[dict], wanted_id: str) -> list[dict]:
    """Return the lines that contain an id in a field, sorted by time."""
    matches = [line for line in lines if wanted_id in _collect_ids(line)]
    return sorted(matches, key=lambda line: line["at_ms"])


def format_line(line: dict) -> str:
    """Return a line as readable text: time, VM, event, and the other fields."""
    moment = datetime.datetime.fromtimestamp(line["at_ms"] / 1000, datetime.UTC)
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in LEADING_FIELDS and value not in (None, "", [], {})
    )
    time = moment.strftime("%H:%M:%S.%f")[:-3]
    return f"{time} {line['vm']} {line['number']} {line['event']}: {fields}"


def count_events(lines: Iterable[dict], interval_s: int) -> Iterator[str]:
    """Yield a row for each interval: the number of lines of each event."""
    intervals: dict[int, Counter] = {}
    for line in lines:
        name = f"{line['number']} {line['event']}"
        start_s = line["at_ms"] // (interval_s * 1000) * interval_s
        intervals.setdefault(start_s, Counter())[name] += 1
    for start_s, counts in sorted(intervals.items()):
        moment = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
        counted = ", ".join(
            f"{count} x {name}" for name, count in sorted(counts.items())
        )
        yield f"{moment:%H:%M:%S} {counted}"


def _collect_ids(line: dict) -> set[str]:
    ids = {value for value in line.values() if isinstance(value, str)}
    suspects = line.get("suspects")
    return ids | set(suspects) if isinstance(suspects, dict) else ids
