"""Burn rates: how fast each team and route uses its error budget. No I/O, no clock.

Computed from the exported metrics of threaded daemons.

Source: multi-window burn-rate alerts, "The Site Reliability Workbook", ch. 5.
"""

import html
from collections.abc import Iterator

import msgspec
from hdrh.histogram import HdrHistogram

from .document import Document, Objective
from .metrics import HISTOGRAM_DIGITS, HISTOGRAM_MAX_US, INTERVAL_S

WINDOWS_S = (5 * 60, 60 * 60, 6 * 60 * 60)
# An alarm is raised if both its short and its long window reach this burn rate.
PAGE_BURN_RATE = 14.4
TICKET_BURN_RATE = 6.0


class BurnRow(msgspec.Struct, frozen=True):
    """One team and route: burn rates by window, counts and latencies."""

    team: str
    route: str
    good_share: float
    burn_rates: list[float]
    total: int
    bad: int
    p50_ms: float
    p99_ms: float
    alarm: str


class _Series:
    """The counts of all daemons for one team and route."""

    def __init__(self) -> None:
        self.intervals: dict[int, list[int]] = {}
        self.histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)

    def add(self, exported: dict) -> None:
        """Merge one daemon's counts."""
        for interval, (total, bad) in exported["slots"].items():
            counts = self.intervals.setdefault(int(interval), [0, 0])
            counts[0] += total
            counts[1] += bad
        if exported["first_token_us"]:
            self.histogram.decode_and_add(exported["first_token_us"])

    def count_window(self, now_s: float, length_s: int) -> tuple[int, int]:
        """Return the numbers of all and of bad requests in a window that ends now."""
        first = int(now_s - length_s) // INTERVAL_S
        counts = [c for interval, c in self.intervals.items() if interval > first]
        return sum(c[0] for c in counts), sum(c[1] for c in counts)


def compute_burn_rows(
    exports: list[dict], document: Document, now_s: float
) -> Iterator[BurnRow]:
    """Yield a row for each team and route for which a daemon has counts."""
    merged: dict[tuple[str, str], _Series] = {}
    for export in exports:
        for exported in export["series"]:
            key = (exported["team"], exported["route"])
            merged.setdefault(key, _Series()).add(exported)
    for (team, route), series in sorted(merged.items()):
        objective = document.objectives.get(route, Objective())
        budget = 1.0 - objective.good_share
        counts = [series.count_window(now_s, length_s) for length_s in WINDOWS_S]
        burn_rates = [bad / total / budget if total else 0.0 for total, bad in counts]
        total, bad = counts[-1]
        yield BurnRow(
            team=team,
            route=route,
            good_share=objective.good_share,
            burn_rates=burn_rates,
            total=total,
            bad=bad,
            p50_ms=series.histogram.get_value_at_percentile(50) / 1000,
            p99_ms=series.histogram.get_value_at_percentile(99) / 1000,
            alarm=_choose_alarm(burn_rates),
        )


def render_burn_table(rows: list[BurnRow]) -> Iterator[str]:
    """Yield the lines of a text table."""
    yield (
        f"{'team':16} {'route':16} {'burn 5m':>8} {'1h':>8} {'6h':>8} "
        f"{'requests':>9} {'bad':>6} {'p50 ms':>8} {'p99 ms':>8} alarm"
    )
    for row in rows:
        burn_rates = " ".join(f"{burn:8.2f}" for burn in row.burn_rates)
        yield (
            f"{row.team:16} {row.route:16} {burn_rates} {row.total:9} {row.bad:6} "
            f"{row.p50_ms:8.1f} {row.p99_ms:8.1f} {row.alarm}"
        )


def render_burn_page(rows: list[BurnRow], made_at: str) -> str:
    """Return a self-contained HTML page."""
    head = "".join(
        f"<th>{name}</th>"
        for name in (
            *("team", "route", "5 min", "1 h", "6 h"),
            *("requests", "bad", "p50 ms", "p99 ms", "alarm"),
        )
    )
    body = "".join(_render_row(row) for row in rows)
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        "<title>Error budget burn rates</title><style>"
        "body{font:15px sans-serif;margin:2em}table{border-collapse:collapse}"
        "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}"
        "td:first-child,td:nth-child(2){text-align:left}"
        ".page{background:#f8c8c0}.ticket{background:#fbe8b8}"
        "</style><h1>Error budget burn rates</h1>"
        f"<p>Made at {html.escape(made_at)}. A burn rate of 1 uses up the error budget "
        "exactly at the end of its period.</p>"
        f"<table><tr>{head}</tr>{body}</table></html>"
    )


def _render_row(row: BurnRow) -> str:
    cells = [
        html.escape(row.team),
        html.escape(row.route),
        *(f"{burn:.2f}" for burn in row.burn_rates),
        str(row.total),
        str(row.bad),
        f"{row.p50_ms:.1f}",
        f"{row.p99_ms:.1f}",
        row.alarm,
    ]
    inner = "".join(f"<td>{cell}</td>" for cell in cells)
    return f'<tr class="{row.alarm}">{inner}</tr>'


def _choose_alarm(burn_rates: list[float]) -> str:
    short, middle, long = burn_rates
    if short >= PAGE_BURN_RATE and middle >= PAGE_BURN_RATE:
        return "page"
    if middle >= TICKET_BURN_RATE and long >= TICKET_BURN_RATE:
        return "ticket"
    return ""
