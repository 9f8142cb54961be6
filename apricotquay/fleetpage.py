"""A fleet's day drawn from its daemons' log lines: one self-contained HTML page."""

import datetime
import html
from collections.abc import Iterable, Iterator

import msgspec

from .events import Event

WIDTH, HEIGHT = 900, 120
MARGIN = 40
REFUSED_NUMBERS = (Event.REQUEST_REFUSED.number, Event.JOB_REFUSED.number)
ANSWERED = "answered"
COLOURS = ("#2b6cb0", "#dd9b3c")


class FleetInterval(msgspec.Struct):
    """What a fleet did in one slot of time.

    `online_slots` and `item_slots` are the endpoints' slots in use on average;
    waits are those of the online requests that ended in the slot, in ms.
    """

    at_s: float
    online_slots: float = 0.0
    item_slots: float = 0.0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    items_in_time: int = 0
    items_late: int = 0
    waits_ms: list[int] = []
    first_events_ms: list[int] = []
    marks: list[str] = []


class LineChart(msgspec.Struct, frozen=True):
    """One chart of the page: its title and one or two named series."""

    title: str
    series: list[tuple[str, list[float]]]


MARKED = {
    Event.DAEMON_STARTED.number: "daemons started",
    Event.DAEMON_DRAINING.number: "daemons draining",
    Event.ENDPOINT_CRASHED.number: "endpoints died",
    Event.ENDPOINT_EJECTED.number: "endpoints ejected",
    Event.DEPENDENCY_LOST.number: "dependencies lost",
    Event.CONFIG_IN_FORCE.number: "configurations",
}


def summarize_fleet(lines: Iterable[dict], slot_s: float) -> list[FleetInterval]:
    """Return what a fleet did, slot by slot, from the first line to the last."""
    lines = sorted(lines, key=lambda line: line["at_ms"])
    if not lines:
        return []
    begun_s = lines[0]["at_ms"] / 1000
    count = int((lines[-1]["at_ms"] / 1000 - begun_s) / slot_s) + 1
    slots = [FleetInterval(begun_s + n * slot_s) for n in range(count)]
    for line in lines:
        at_s = line["at_ms"] / 1000 - begun_s
        _take(slots, line, at_s, slot_s)
    return slots


def _take(slots: list[FleetInterval], line: dict, at_s: float, slot_s: float) -> None:
    slot = slots[int(at_s / slot_s)]
    number = line["number"]
    if number == Event.REQUEST_ENDED.number:
        _take_request(slots, slot, line, at_s, slot_s)
    elif number == Event.ITEM_ATTEMPT_ENDED.number:
        for index, share in _overlaps(at_s, line.get("ran_ms", 0) / 1000, slot_s):
            slots[index].item_slots += share
    elif number == Event.ITEM_COMPLETED.number:
        slot.items_late += line["late_ms"] > 0
        slot.items_in_time += line["late_ms"] <= 0
    elif number in REFUSED_NUMBERS:
        slot.refused += 1
    elif number in MARKED:
        slot.marks.append(MARKED[number])


def _take_request(
    slots: list[FleetInterval],
    slot: FleetInterval,
    line: dict,
    at_s: float,
    slot_s: float,
) -> None:
    if not line.get("endpoint"):
        slot.refused += 1
        return
    slot.answered += line["outcome"] == ANSWERED
    slot.failed += line["outcome"] != ANSWERED
    slot.waits_ms.append(line["slot_wait_ms"])
    if line["first_event_ms"] is not None:
        slot.first_events_ms.append(line["first_event_ms"])
    held_s = (line["took_ms"] - line["slot_wait_ms"]) / 1000
    for index, share in _overlaps(at_s, held_s, slot_s):
        slots[index].online_slots += share


def _overlaps(
    end_s: float, length_s: float, slot_s: float
) -> Iterator[tuple[int, float]]:
    """Yield the slots that a span of time touches, and its share of each."""
    start_s = max(0.0, end_s - length_s)
    index = int(start_s / slot_s)
    while index * slot_s < end_s:
        begun_s = max(start_s, index * slot_s)
        ended_s = min(end_s, (index + 1) * slot_s)
        yield index, (ended_s - begun_s) / slot_s
        index += 1


def render_fleet_page(slots: list[FleetInterval]) -> str:
    """Return the page: a chart a measure, and what happened when."""
    charts = (
        LineChart(
            "slots of endpoints in use",
            [
                ("online requests", [s.online_slots for s in slots]),
                ("batch items", [s.item_slots for s in slots]),
            ],
        ),
        LineChart(
            "online requests ended",
            [
                ("answered", [float(s.answered) for s in slots]),
                ("refused or failed", [float(s.refused + s.failed) for s in slots]),
            ],
        ),
        LineChart(
            "ms to the first event",
            [
                (
                    "half of the requests",
                    [_share(s.first_events_ms, 0.5) for s in slots],
                ),
                ("95 in 100", [_share(s.first_events_ms, 0.95) for s in slots]),
            ],
        ),
        LineChart(
            "batch items listed",
            [
                ("in time", [float(s.items_in_time) for s in slots]),
                ("late", [float(s.items_late) for s in slots]),
            ],
        ),
    )
    body = "".join(_draw(chart, slots) for chart in charts)
    return (
        "<!doctype html><html lang=en><meta charset=utf-8><title>A fleet's day</title>"
        "<style>body{font:15px sans-serif;margin:2em}td{padding:.2em .8em}"
        "svg text{font-size:11px}</style><h1>A fleet's day</h1>"
        f"{body}<h2>What happened</h2><table>{_marks(slots)}</table></html>"
    )


def _share(values: list[int], share: float) -> float:
    """Return a percentile by nearest rank, 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(share * len(ordered)))])


def _draw(chart: LineChart, slots: list[FleetInterval]) -> str:
    highest = max((v for _, values in chart.series for v in values), default=0.0) or 1.0
    lines = "".join(
        f'<polyline fill="none" stroke="{colour}" points="{_points(values, highest)}"/>'
        for colour, (_, values) in zip(COLOURS, chart.series, strict=True)
    )
    names = ", ".join(
        f'<span style="color:{colour}">{html.escape(name)}</span>'
        for colour, (name, _) in zip(COLOURS, chart.series, strict=True)
    )
    ends = (slots[0].at_s, slots[-1].at_s) if slots else (0.0, 0.0)
    return (
        f"<h2>{html.escape(chart.title)}</h2><p>{names}</p>"
        f'<svg width="{WIDTH + MARGIN}" height="{HEIGHT + 20}">'
        f'<text x="0" y="10">{highest:.4g}</text><text x="0" y="{HEIGHT}">0</text>'
        f'<text x="{MARGIN}" y="{HEIGHT + 15}">{_clock(ends[0])}</text>'
        f'<text x="{WIDTH - MARGIN}" y="{HEIGHT + 15}">{_clock(ends[1])}</text>'
        f"{lines}</svg>"
    )


def _points(values: list[float], highest: float) -> str:
    step = WIDTH / max(1, len(values) - 1)
    return " ".join(
        f"{MARGIN + n * step:.1f},{HEIGHT * (1 - value / highest):.1f}"
        for n, value in enumerate(values)
    )


def _marks(slots: list[FleetInterval]) -> str:
    rows = []
    for slot in slots:
        counts = {mark: slot.marks.count(mark) for mark in slot.marks}
        if counts:
            told = ", ".join(f"{n} x {html.escape(m)}" for m, n in counts.items())
            rows.append(f"<tr><td>{_clock(slot.at_s)}</td><td>{told}</td></tr>")
    return "".join(rows)


def _clock(at_s: float) -> str:
    return datetime.datetime.fromtimestamp(at_s, datetime.UTC).strftime("%H:%M:%S")
