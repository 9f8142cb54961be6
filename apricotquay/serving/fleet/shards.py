"""Ownership of shards, which the store assigns to the members of a group."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ...clocks import Clock
from ...events import Event
from ...ids import stable_hash
from ..backoff import Backoff
from ..batch.partition import JOBS
from ..reporting import Reporter
from ..tasks import start_task
from .keyedlog import KeyedLog, LogError, MemberName, Shard

GROUP = "daemons"
MEMBER_TTL_MS = 1_500
JOIN_INTERVAL_S = 0.4
JOIN_RETRY_DELAY_S = 0.1
OWNERS_INTERVAL_S = 1.0


def shard_number(name: str, count: int) -> int:
    """Return the shard that a team or a service belongs to."""
    return stable_hash("shard", name) % count


class Shards:
    """Keeps this daemon in the group and tracks all owners. One per daemon.

    A member's name is its peer address and a part that differs at each start, so
    that a restarted daemon is not mistaken for its predecessor.
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
        self._last_join_s: float = float("-inf")
        self._owners_read_s: float = float("-inf")
        self._last_peer_answer_s: float = float("-inf")
        self._is_leaving: bool = False
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start joining the group and reading its owners."""
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
        """Give up all shards and leave the group, so that others get them at once."""
        self._is_leaving = True
        self._set_owned(frozenset())
        try:
            await self._log.leave(GROUP, self._member, self._generation)
        except LogError as exc:
            self._reporter.report_lost("group", str(exc))

    def owner(self, number: int) -> str | None:
        """Return the peer address of a shard's owner, which may be this daemon.

        It is the last known owner: while a shard changes owners, the previous one
        continues to answer.
        """
        return self.address if number in self.owned else self._owners.get(number)

    @property
    def is_confirmed(self) -> bool:
        """Whether the store confirmed this daemon's membership within its TTL."""
        return self._clock.now_s() - self._last_join_s < MEMBER_TTL_MS / 1000

    @property
    def has_recent_contact(self) -> bool:
        """Whether the store or a peer answered within the TTL.

        Without contact a daemon must suspend its shards' work: it cannot know who owns
        them now, and could not store the results.
        """
        last_contact_s = max(self._last_join_s, self._last_peer_answer_s)
        return self._clock.now_s() - last_contact_s < MEMBER_TTL_MS / 1000

    def record_peer_answer(self) -> None:
        """Record that a peer answered; any newer owners it knows are in its answer."""
        self._last_peer_answer_s = self._clock.now_s()

    def known_owners(self) -> tuple[dict[str, str], float]:
        """Return all owners by shard, and how long ago the store returned them."""
        owners = {str(number): owner for number, owner in self._owners.items()}
        return owners, self._clock.now_s() - self._owners_read_s

    def apply_owners(self, owners: dict[str, str], age_s: float) -> None:
        """Apply owners that a peer read from the store `age_s` ago, if this daemon's
        are older; give up shards that other daemons own now.
        """
        read_s = self._clock.now_s() - age_s
        if read_s <= self._owners_read_s:
            return
        self._owners_read_s = read_s
        names = {str(number): number for number in range(self.count)}
        current = {names[n]: owner for n, owner in owners.items() if n in names}
        if read_s > self._last_join_s:
            lost = {
                n for n in self.owned if current.get(n, self.address) != self.address
            }
            self._set_owned(self.owned - lost)
        if current.items() - self._owners.items():
            self._owners.update(current)
            self.on_change()

    def addresses(self) -> list[str]:
        """Return the other daemons that own a shard."""
        return sorted(set(self._owners.values()) - {self.address})

    async def _join_loop(self) -> None:
        backoff = Backoff(JOIN_RETRY_DELAY_S, JOIN_INTERVAL_S, random.Random())
        while not self._is_leaving:
            sent_s = self._clock.now_s()
            try:
                assignment = await self._log.join(
                    GROUP, self._member, [JOBS], MEMBER_TTL_MS, self._generation
                )
            except LogError as exc:
                # The shards are kept: while the store is unavailable nobody else gets
                # them, and if it serves other daemons, peers report the new owners.
                self._reporter.report_lost("group", str(exc))
            else:
                backoff.reset()
                self._reporter.report_recovered("group")
                self._last_join_s = sent_s
                self._generation = assignment.generation
                if not self._is_leaving:
                    self._set_owned(frozenset(s.number for s in assignment.shards))
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
                self._owners_read_s = max(self._owners_read_s, sent_s)
                self._apply_owners(owners)
            await asyncio.sleep(OWNERS_INTERVAL_S * random.uniform(0.8, 1.2))

    def _apply_owners(self, owners: dict[Shard, MemberName]) -> None:
        current = {
            shard.number: member.partition("/")[0]
            for shard, member in owners.items()
            if shard.topic == JOBS
        }
        if current.items() - self._owners.items():
            self._owners.update(current)
            self.on_change()

    def _set_owned(self, numbers: frozenset[int]) -> None:
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
