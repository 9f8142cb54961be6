"""The batch items that a daemon runs."""

import asyncio
import enum
from collections.abc import Iterable

import msgspec

from ..catalog import ServiceName
from .itemprogress import ItemProgress
from .jobtable import Job
from .partition import Partition


class ItemState(enum.Enum):
    """Whether an item runs or requests a slot, waits for its next attempt, or has a
    result that is being written.
    """

    STARTED = "started"
    WAITING = "waiting"
    ENDED = "ended"


class ItemWait(enum.Enum):
    """What an item waits for; the values are for logs."""

    SLOT = "a slot"
    OUTPUT = "an event of its endpoint"
    RETRY = "its next attempt"
    RESULT = "its result in the log"


class RunningItem(msgspec.Struct):
    """A batch item that this event-loop daemon runs, and the task of its attempt.

    An item that waits is not started before `retry_at_s`. It has made no progress
    since `waits_since_s`, and waits at `endpoint` if that is not empty. The slot that
    it requested last is one of `service` in the `regions`, empty for all, None if route
    and team have none in common.
    """

    partition: Partition
    job: Job
    index: int
    service: ServiceName
    progress: ItemProgress
    state: ItemState = ItemState.WAITING
    retry_at_s: float = float("-inf")
    task: asyncio.Task | None = None
    wait: ItemWait = ItemWait.RETRY
    waits_since_s: float = float("inf")
    endpoint: str = ""
    regions: frozenset[str] | None = frozenset()

    def begin_wait(self, wait: ItemWait, now_s: float, endpoint: str = "") -> None:
        """Record what the item waits for from now on."""
        self.wait = wait
        self.waits_since_s = now_s
        self.endpoint = endpoint


def find_stalled(
    items: Iterable[RunningItem], now_s: float, min_wait_s: float
) -> list[RunningItem]:
    """Return the items that have waited for so long, the longest wait first."""
    stalled = [item for item in items if now_s - item.waits_since_s >= min_wait_s]
    return sorted(stalled, key=lambda item: item.waits_since_s)
