"""The batch items that a daemon runs."""

import asyncio
import enum

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


class RunningItem(msgspec.Struct):
    """A batch item that this event-loop daemon runs, and the task of its attempt.

    An item that waits is not started before `retry_at_s`.
    """

    partition: Partition
    job: Job
    index: int
    service: ServiceName
    progress: ItemProgress
    state: ItemState = ItemState.WAITING
    retry_at_s: float = float("-inf")
    task: asyncio.Task | None = None
