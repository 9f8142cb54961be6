"""Who owns which shard, as the store's group membership deals them."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..clocks import Clock
from ..events import Event
from ..ids import stable_hash
from .backoff import Backoff
from .keyedlog import KeyedLog, LogError, MemberName, Shard
from .partition import JOBS
from .reporting import Reporter
from .tasks import start_task

GROUP = "daemons"
TTL_MS = 1_500
JOIN_INTERVAL_S = 0.4
JOIN_RETRY_S = 0.1
OWNERS_INTERVAL_S = 1.0


def shard_number(name: str, count: int) -> int:
    """Return the shard that a team or a service belongs to."""
    return stable_hash("shard", name) % count


class Shards:
    """Keeps this daemon in the group and knows all owners. One a daemon.

    A member's name is its peer address and a part that differs at each start,
    so that a restarted daemon is not taken for its predecessor.
    """

    def __init__(
        self,
        log: KeyedLog,
        address: str,
        incarnation: str,
        count: int,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self.owned: frozenset[int] = frozenset()
        self.on_change: Callable[[], None] = lambda: None
        self.count: int = count
        self.address: str = address
        self._member = MemberName(f"{address}/{incarnation}")
        self._log: KeyedLog = log
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._owners: dict[int, str] = {}
        self._generation: int = 0
        self._joined_s: float = float("-inf")
        self._read_s: float = float("-inf")
        self._peer_s: float = float("-inf")
        self._is_leaving: bool = False
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Join the group."""
        self._tasks = [
            start_task("join", self._join_loop, self._reporter),
            start_task("owners", self._owners_loop, self._reporter),
        ]

    async def close(self) -> None:
        """Stop without leaving."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def leave(self) -> None:
        """Hand all shards on at once."""
        self._is_leaving = True
        self._own(frozenset())
        try:
            await self._log.leave(GROUP, self._member, self._generation)
        except LogError as exc:
            self._reporter.report_lost("group", str(exc))

    def owner(self, number: int) -> str | None:
        """Return the peer address of a shard's owner; this daemon's own too.

        It is the last one that is known: while a shard changes hands, the owner
        before goes on to answer.
        """
        return self.address if number in self.owned else self._owners.get(number)

    @property
    def is_confirmed(self) -> bool:
        """Whether the store knows of this daemon."""
        return self._clock.now_s() - self._joined_s < TTL_MS / 1000

    @property
    def has_recent_contact(self) -> bool:
        """Whether this daemon may go on with its shards' work.

        Cut off from the store and from all peers it cannot know who has them now,
        and could not write what comes of the work.
        """
        heard_s = max(self._joined_s, self._peer_s)
        return self._clock.now_s() - heard_s < TTL_MS / 1000

    def see_peer(self) -> None:
        """A peer answered, and told of no later owners than it did."""
        self._peer_s = self._clock.now_s()

    def known_owners(self) -> tuple[dict[str, str], float]:
        """Return all owners by shard, and how long ago the store gave them."""
        owners = {str(number): owner for number, owner in self._owners.items()}
        return owners, self._clock.now_s() - self._read_s

    def take_owners(self, owners: dict[str, str], age_s: float) -> None:
        """Take in owners that a peer read from the store `age_s` ago, if that is
        later than this daemon did; shards that others have got are dropped.
        """
        read_s = self._clock.now_s() - age_s
        if read_s <= self._read_s:
            return
        self._read_s = read_s
        current = {int(n): o for n, o in owners.items() if n.isdigit()}
        if read_s > self._joined_s:
            lost = {
                n for n in self.owned if current.get(n, self.address) != self.address
            }
            self._own(self.owned - lost)
        if current.items() - self._owners.items():
            self._owners.update(current)
            self.on_change()

    def addresses(self) -> list[str]:
        """Return the other daemons that own a shard."""
        return sorted(set(self._owners.values()) - {self.address})

    async def _join_loop(self) -> None:
        backoff = Backoff(JOIN_RETRY_S, JOIN_INTERVAL_S, random.Random())
        while not self._is_leaving:
            sent_s = self._clock.now_s()
            try:
                assignment = await self._log.join(
                    GROUP, self._member, [JOBS], TTL_MS, self._generation
                )
            except LogError as exc:
                # Nothing is dropped for that: while the store is away nobody else
                # gets the shards, and if it serves others, peers tell of it.
                self._reporter.report_lost("group", str(exc))
            else:
                backoff.reset()
                self._reporter.report_recovered("group")
                self._joined_s = sent_s
                self._generation = assignment.generation
                if not self._is_leaving:
                    self._own(frozenset(s.number for s in assignment.shards))
                await asyncio.sleep(JOIN_INTERVAL_S * random.uniform(0.8, 1.2))
                continue
            await asyncio.sleep(backoff.next_s())

    async def _owners_loop(self) -> None:
        while True:
            sent_s = self._clock.now_s()
            try:
                owners = await self._log.read_owners(GROUP)
            except LogError as exc:
                self._reporter.report_lost("owners", str(exc))
            else:
                self._reporter.report_recovered("owners")
                self._read_s = max(self._read_s, sent_s)
                self._take(owners)
            await asyncio.sleep(OWNERS_INTERVAL_S * random.uniform(0.8, 1.2))

    def _take(self, owners: dict[Shard, MemberName]) -> None:
        current = {
            shard.number: member.partition("/")[0]
            for shard, member in owners.items()
            if shard.topic == JOBS
        }
        if current.items() - self._owners.items():
            self._owners.update(current)
            self.on_change()

    def _own(self, numbers: frozenset[int]) -> None:
        if numbers == self.owned:
            return
        gained = sorted(numbers - self.owned)
        lost = sorted(self.owned - numbers)
        self.owned = numbers
        self._reporter.write(
            Event.SHARDS_OWNED,
            gained=gained,
            lost=lost,
            generation=self._generation,
        )
        self.on_change()
