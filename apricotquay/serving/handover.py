"""Gives what half-run batch items have produced to the next owner of their job."""

import asyncio

import msgspec

from ..clocks import Clock
from ..errors import PeerUnavailableError
from .messages import HandOverItem
from .peers import Peers
from .shards import Shards

# A shard that was lost has its next owner within the time after which members
# are taken for gone; what is older is of no use to anybody.
KEPT_S = 4.0


class ItemProgress:
    """What is known of an item's output, kept over its attempts."""

    def __init__(self, last_id: int = -1, data: list[str] | None = None) -> None:
        self.data: list[str] = data or []
        self.last_id: int = last_id
        self.failures: int = 0
        self.ran_s: float = 0.0
        self._failed_at: str = ""

    def avoid(self) -> frozenset[str]:
        """Return the endpoint of the last attempt if that failed."""
        return frozenset((self._failed_at,)) if self._failed_at else frozenset()

    def see_attempt(self, endpoint: str, failed: bool, ran_s: float) -> None:
        """Note where and how long an attempt ran."""
        self.ran_s += ran_s
        self._failed_at = endpoint if failed else ""


class _Given(msgspec.Struct, frozen=True):
    """Progress that waits to be sent."""

    shard: int
    message: HandOverItem
    since_s: float


class Handovers:
    """Used by the batch runner when shards are lost and when the daemon leaves."""

    def __init__(self, shards: Shards, peers: Peers, clock: Clock) -> None:
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._given: list[_Given] = []
        self._taken: dict[tuple[str, int], ItemProgress] = {}
        self._tasks: set[asyncio.Task] = set()

    def give(self, shard: int, job_key: str, item: int, progress: ItemProgress) -> None:
        """Keep an item's progress until the next owner of its shard is known."""
        if progress.last_id < 0:
            return
        message = HandOverItem(job_key, item, progress.last_id, progress.data)
        self._given.append(_Given(shard, message, self._clock.now_s()))

    def take(self, message: HandOverItem) -> None:
        """Take in what an owner before has given."""
        progress = ItemProgress(message.last_id, list(message.data))
        self._taken[(message.job_key, message.item)] = progress

    def progress_of(self, job_key: str, item: int) -> ItemProgress:
        """Return what is known of an item, nothing if it has not been run."""
        return self._taken.pop((job_key, item), None) or ItemProgress()

    def send(self) -> None:
        """Send what has found its next owner, and forget what is too old."""
        oldest_s = self._clock.now_s() - KEPT_S
        kept = []
        for given in self._given:
            owner = self._shards.owner(given.shard)
            if given.shard in self._shards.owned:
                self.take(given.message)
            elif owner is not None and owner != self._shards.address:
                task = asyncio.ensure_future(self._send(owner, given.message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            elif given.since_s > oldest_s:
                kept.append(given)
        self._given = kept

    async def _send(self, owner: str, message: HandOverItem) -> None:
        try:
            link = await self._peers.link(owner)
        except PeerUnavailableError:
            # Peers reports the loss; the item then runs from its start.
            return
        link.send(message)
