"""Decides which batch items of a daemon start next. Pure.

Every bound here is one of a service: the items of a service that has no endpoints, or
whose endpoints hang, take nothing from those of another.
"""

from collections.abc import Iterable, Mapping

import msgspec

from ..catalog import ServiceName

# Items of a service that request a slot or run; the owner of the service's slots
# decides which of them run.
MAX_ITEMS_PER_SERVICE = 48
# An item that failed at endpoints without any output goes after items that are due
# so much later, for each such attempt in a row but the first.
POSTPONEMENT_S = 5.0
MAX_POSTPONEMENT_S = 60.0

ItemKey = tuple[str, int]


class WaitingItem(msgspec.Struct, frozen=True):
    """An item that could start, and the service that is to run it."""

    key: ItemKey
    service: ServiceName
    due_s: float
    fruitless_attempts: int = 0

    @property
    def order_s(self) -> float:
        """The time by which items are ordered."""
        return self.due_s + postponement_s(self.fruitless_attempts)


def postponement_s(fruitless_attempts: int) -> float:
    """Return by how much an item is postponed that keeps failing without output."""
    return min(MAX_POSTPONEMENT_S, POSTPONEMENT_S * max(0, fruitless_attempts - 1))


def choose_items(
    waiting: Iterable[WaitingItem], started: Mapping[ServiceName, int]
) -> list[WaitingItem]:
    """Return the items to start, given how many of each service have started."""
    counts = dict(started)
    chosen = []
    for item in sorted(waiting, key=lambda item: item.order_s):
        count = counts.get(item.service, 0)
        if count < MAX_ITEMS_PER_SERVICE:
            counts[item.service] = count + 1
            chosen.append(item)
    return chosen
