"""Results of measurements: a row for each figure, printed and saved as JSON."""

import json
import platform
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One measured figure, with its baseline if it has one.

    Value and baseline are measured in the same run. `margin` is half the width of
    the 95 % interval of a figure with repeats.
    """

    scenario: str
    figure: str
    value: float
    unit: str
    baseline: float | None = None
    margin: float | None = None

    @property
    def ratio(self) -> float | None:
        """The value divided by the baseline."""
        return self.value / self.baseline if self.baseline else None


def format_table(rows: Iterable[Row]) -> str:
    """Format rows as a Markdown table."""
    lines = [
        "| scenario | figure | value | baseline | ratio |",
        "| --- | --- | ---: | ---: | ---: |",
    ]
    for row in rows:
        baseline = f"{row.baseline:,.4g} {row.unit}" if row.baseline is not None else ""
        ratio = f"{row.ratio:.3f}" if row.ratio is not None else ""
        value = f"{row.value:,.4g} {row.unit}"
        if row.margin is not None:
            value += f" ± {row.margin:.2g}"
        lines.append(
            f"| {row.scenario} | {row.figure} | {value} | {baseline} | {ratio} |"
        )
    return "\n".join(lines)


def save_results(rows: list[Row], path: Path, seed: int) -> None:
    """Write rows as JSON, with the seed and version needed to reproduce them."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {
        "made_at": time.strftime("%Y-%m-%dT%H:%M:%S"),
        "python": platform.python_version(),
        "seed": seed,
        "rows": [msgspec.to_builtins(row) for row in rows],
    }
    path.write_text(json.dumps(document, indent=1))


def percentile(values: list[float], share: float) -> float:
    """Return the percentile at a share from 0 to 1, by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
