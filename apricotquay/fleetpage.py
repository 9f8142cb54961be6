"""Draws a fleet's activity from its daemons' logs as a self-contained HTML page.

The log lines are those of event-loop daemons, see `loglines`.
"""

import datetime
import html
from collections.abc import Iterable, Iterator

import msgspec

from .events import Event

WIDTH_PX, HEIGHT_PX = 900, 120
LEFT_MARGIN_PX = 40
REFUSED_NUMBERS = (Event.REQUEST_REFUSED.number, Event.JOB_REFUSED.number)
ANSWERED = "answered"
LINE_COLORS = ("#2b6cb0", "#dd9b3c")


class FleetInterval(msgspec.Struct):
    """What a fleet did in one time interval.

    `online_slots` and `item_slots` are the average numbers of endpoint slots in
    use; `waits_ms` are the slot waits of the online requests that ended in it.
    """

    start_s: float
    online_slots: float = 0.0
    item_slots: float = 0.0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    items_in_time: int = 0
    items_late: int = 0
    waits_ms: list[int] = []
    first_events_ms: list[int] = []
    event_labels: list[str] = []


class LineChart(msgspec.Struct, frozen=True):
    """A line chart of the page: its title and its named series, at most two."""

    title: str
    series: list[tuple[str, list[float]]]


EVENT_LABELS = {
    Event.DAEMON_STARTED.number: "daemons started",
    Event.DAEMON_DRAINING.number: "daemons draining",
    Event.ENDPOINT_CRASHED.number: "endpoints crashed",
    Event.ENDPOINT_EJECTED.number: "endpoints ejected",
    Event.DEPENDENCY_LOST.number: "dependencies unavailable",
    Event.CONFIG_IN_FORCE.number: "configurations applied",
}


def summarize_fleet(lines: Iterable[dict], interval_s: float) -> list[FleetInterval]:
    """Return what a fleet did in each interval, from the first line to the last."""
    lines = sorted(lines, key=lambda line: line["at_ms"])
    if not lines:
        return []
    first_s = lines[0]["at_ms"] / 1000
    count = int((lines[-1]["at_ms"] / 1000 - first_s) / interval_s) + 1
    intervals = [FleetInterval(first_s + n * interval_s) for n in range(count)]
    for line in lines:
        at_s = line["at_ms"] / 1000 - first_s
        _add_line(intervals, line, at_s, interval_s)
    return intervals


def _add_line(
    intervals: list[FleetInterval], line: dict, at_s: float, interval_s: float
) -> None:
    interval = intervals[int(at_s / interval_s)]
    number = line["number"]
    if number == Event.REQUEST_ENDED.number:
        _add_online_request(intervals, interval, line, at_s, interval_s)
    elif number == Event.ITEM_ATTEMPT_ENDED.number:
        for index, share in _split_by_interval(
            at_s, line.get("ran_ms", 0) / 1000, interval_s
        ):
            intervals[index].item_slots += share
    elif number == Event.ITEM_COMPLETED.number:
        interval.items_late += line["late_ms"] > 0
        interval.items_in_time += line["late_ms"] <= 0
    elif number in REFUSED_NUMBERS:
        interval.refused += 1
    elif number in EVENT_LABELS:
        interval.event_labels.append(EVENT_LABELS[number])


def _add_online_request(
    intervals: list[FleetInterval],
    interval: FleetInterval,
    line: dict,
    at_s: float,
    interval_s: float,
) -> None:
    if not line.get("endpoint"):
        interval.refused += 1
        return
    interval.answered += line["outcome"] == ANSWERED
    interval.failed += line["outcome"] != ANSWERED
    interval.waits_ms.append(line["slot_wait_ms"])
    if line["first_event_ms"] is not None:
        interval.first_events_ms.append(line["first_event_ms"])
    slot_held_s = (line["took_ms"] - line["slot_wait_ms"]) / 1000
    for index, share in _split_by_interval(at_s, slot_held_s, interval_s):
        intervals[index].online_slots += share


def _split_by_interval(
    end_s: float, length_s: float, interval_s: float
) -> Iterator[tuple[int, float]]:
    """Yield the intervals that a time span overlaps, and the share of each covered."""
    start_s = max(0.0, end_s - length_s)
    index = int(start_s / interval_s)
    while index * interval_s < end_s:
        overlap_start_s = max(start_s, index * interval_s)
        overlap_end_s = min(end_s, (index + 1) * interval_s)
        yield index, (overlap_end_s - overlap_start_s) / interval_s
        index += 1


def render_fleet_page(intervals: list[FleetInterval]) -> str:
    """Return the HTML page: a chart for each measure, and a table of events."""
    charts = (
        LineChart(
            "endpoint slots in use",
            [
                ("online requests", [i.online_slots for i in intervals]),
                ("batch items", [i.item_slots for i in intervals]),
            ],
        ),
        LineChart(
            "online requests ended",
            [
                ("answered", [float(i.answered) for i in intervals]),
                ("refused or failed", [float(i.refused + i.failed) for i in intervals]),
            ],
        ),
        LineChart(
            "time to the first event (ms)",
            [
                (
                    "median",
                    [_percentile(i.first_events_ms, 0.5) for i in intervals],
                ),
                (
                    "95th percentile",
                    [_percentile(i.first_events_ms, 0.95) for i in intervals],
                ),
            ],
        ),
        LineChart(
            "batch items completed",
            [
                ("in time", [float(i.items_in_time) for i in intervals]),
                ("late", [float(i.items_late) for i in intervals]),
            ],
        ),
    )
    body = "".join(_render_chart(chart, intervals) for chart in charts)
    return (
        "<!doctype html><html lang=en><meta charset=utf-8><title>Fleet activity</title>"
        "<style>body{font:15px sans-serif;margin:2em}td{padding:.2em .8em}"
        "svg text{font-size:11px}</style><h1>Fleet activity</h1>"
        f"{body}<h2>Events</h2><table>{_render_event_rows(intervals)}</table></html>"
    )


def _percentile(values: list[int], fraction: float) -> float:
    """Return a percentile by nearest rank, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))])


def _render_chart(chart: LineChart, intervals: list[FleetInterval]) -> str:
    maximum = max((v for _, values in chart.series for v in values), default=0.0) or 1.0
    polylines = "".join(
        f'<polyline fill="none" stroke="{color}" '
        f'points="{_format_points(values, maximum)}"/>'
        for color, (_, values) in zip(LINE_COLORS, chart.series, strict=True)
    )
    legend = ", ".join(
        f'<span style="color:{color}">{html.escape(name)}</span>'
        for color, (name, _) in zip(LINE_COLORS, chart.series, strict=True)
    )
    ends = (intervals[0].start_s, intervals[-1].start_s) if intervals else (0.0, 0.0)
    return (
        f"<h2>{html.escape(chart.title)}</h2><p>{legend}</p>"
        f'<svg width="{WIDTH_PX + LEFT_MARGIN_PX}" height="{HEIGHT_PX + 20}">'
        f'<text x="0" y="10">{maximum:.4g}</text><text x="0" y="{HEIGHT_PX}">0</text>'
        f'<text x="{LEFT_MARGIN_PX}" y="{HEIGHT_PX + 15}">'
        f"{_format_time(ends[0])}</text>"
        f'<text x="{WIDTH_PX - LEFT_MARGIN_PX}" y="{HEIGHT_PX + 15}">'
        f"{_format_time(ends[1])}</text>"
        f"{polylines}</svg>"
    )


def _format_points(values: list[float], maximum: float) -> str:
    step = WIDTH_PX / max(1, len(values) - 1)
    return " ".join(
        f"{LEFT_MARGIN_PX + n * step:.1f},{HEIGHT_PX * (1 - value / maximum):.1f}"
        for n, value in enumerate(values)
    )


def _render_event_rows(intervals: list[FleetInterval]) -> str:
    rows = []
    for interval in intervals:
        counts = {
            label: interval.event_labels.count(label) for label in interval.event_labels
        }
        if counts:
            events = ", ".join(f"{n} x {html.escape(m)}" for m, n in counts.items())
            rows.append(
                f"<tr><td>{_format_time(interval.start_s)}</td><td>{events}</td></tr>"
            )
    return "".join(rows)


def _format_time(at_s: float) -> str:
    return datetime.datetime.fromtimestamp(at_s, datetime.UTC).strftime("%H:%M:%S")
