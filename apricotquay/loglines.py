"""Reads daemons' log lines: what became of one id, and a day at a glance."""

import datetime
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

# Shown first, in this order; the other fields follow.
HEAD_FIELDS = ("at_ms", "vm", "number", "event")


def read_lines(paths: Iterable[str]) -> Iterator[dict]:
    """Yield the JSON lines of files; other lines are passed over."""
    for path in paths:
        with Path(path).open("rb") as file:
            yield from _decoded(file)


def _decoded(lines: Iterable[bytes]) -> Iterator[dict]:
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            value = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # A line of another program, or one cut short by a kill.
            continue
        if isinstance(value, dict) and "number" in value and "at_ms" in value:
            yield value


def find_lines(lines: Iterable[dict], wanted: str) -> list[dict]:
    """Return the lines in which a field is an id, in the order of their times."""
    found = [line for line in lines if wanted in _ids_of(line)]
    return sorted(found, key=lambda line: line["at_ms"])


def format_line(line: dict) -> str:
    """Return a line for a person: time, VM, event, and the other fields."""
    moment = datetime.datetime.fromtimestamp(line["at_ms"] / 1000, datetime.UTC)
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in HEAD_FIELDS and value not in (None, "", [], {})
    )
    time = moment.strftime("%H:%M:%S.%f")[:-3]
    return f"{time} {line['vm']} {line['number']} {line['event']}: {fields}"


def count_events(lines: Iterable[dict], slot_s: int) -> Iterator[str]:
    """Yield a row a slot of time: how many lines of each event there were."""
    slots: dict[int, Counter] = {}
    for line in lines:
        name = f"{line['number']} {line['event']}"
        slot = line["at_ms"] // (slot_s * 1000) * slot_s
        slots.setdefault(slot, Counter())[name] += 1
    for slot, counts in sorted(slots.items()):
        moment = datetime.datetime.fromtimestamp(slot, datetime.UTC)
        shown = ", ".join(f"{count} x {name}" for name, count in sorted(counts.items()))
        yield f"{moment:%H:%M:%S} {shown}"


def _ids_of(line: dict) -> set[str]:
    ids = {value for value in line.values() if isinstance(value, str)}
    suspects = line.get("suspects")
    return ids | set(suspects) if isinstance(suspects, dict) else ids
