"""State charts, loaded from files and compiled into a transition table.

A table lookup takes well under a microsecond, so the same chart format serves a
lease with one transition a minute and replaying the records of 66,000 items.
"""

from collections.abc import Iterator
from importlib import resources

import msgspec


class Transition(
    msgspec.Struct, frozen=True, rename={"source": "from", "target": "to"}
):
    """One transition of a chart."""

    event: str
    source: str
    target: str


class ChartFile(msgspec.Struct, frozen=True):
    """The contents of a chart file."""

    name: str
    initial: str
    states: list[str]
    transitions: list[Transition]


class StateChart:
    """A compiled chart. Shared by all objects that use the same chart."""

    def __init__(self, file: ChartFile) -> None:
        self.name: str = file.name
        self.initial: str = file.initial
        self.states: tuple[str, ...] = tuple(file.states)
        self._targets: dict[tuple[str, str], str] = {
            (t.source, t.event): t.target for t in file.transitions
        }

    def step(self, state: str, event: str) -> str | None:
        """Return the next state, or None if there is no such transition."""
        return self._targets.get((state, event))

    def iter_transitions(self) -> Iterator[tuple[str, str, str]]:
        """Yield each transition as source, event and target."""
        for (source, event), target in self._targets.items():
            yield source, event, target


def load_chart(name: str) -> StateChart:
    """Load a chart of this package and check that all states it names exist."""
    path = resources.files(__package__).joinpath("charts", f"{name}.json")
    file = msgspec.json.decode(path.read_bytes(), type=ChartFile)
    states = set(file.states)
    for transition in file.transitions:
        if not {transition.source, transition.target} <= states:
            raise ValueError(f"chart {name}: {transition} names an unknown state")
    if file.initial not in states:
        raise ValueError(f"chart {name}: the initial state is unknown")
    return StateChart(file)
