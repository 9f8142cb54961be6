"""Admits requests against team rates and keeps the counts of this daemon's shards."""

import asyncio

from ..clocks import Clock
from ..errors import PeerUnavailableError
from ..ids import TeamId
from .catalog import Team
from .messages import CountAdmitted, FleetLevel, Message, NotHere
from .peers import Peers
from .rates import Allowance, RateCounts, RateEstimates
from .shards import Shards, shard_number
from .view import View

ANSWER_TIMEOUT_S = 0.25
RETRY_PAUSE_S = 0.1


class RateKeeper:
    """Used by the online path before a request is given a slot."""

    def __init__(
        self, view: View, shards: Shards, peers: Peers, clock: Clock, starts_full: bool
    ) -> None:
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._estimates = RateEstimates(starts_full)
        self._counts: dict[int, RateCounts] = {}
        self._telling: dict[TeamId, asyncio.Task] = {}

    def admit(self, team: Team) -> float:
        """Take one token; return 0, or after how many seconds to come back."""
        wait_s = self._estimates.admit(
            team.id, _allowance(team), self._clock.now_s()
        )
        if not wait_s and team.rate_per_s and team.id not in self._telling:
            task = asyncio.ensure_future(self._tell(team.id))
            self._telling[team.id] = task
            task.add_done_callback(lambda _: self._telling.pop(team.id, None))
        return wait_s

    def forget_lost(self) -> None:
        """Drop the counts of shards that others own now."""
        for number in [n for n in self._counts if n not in self._shards.owned]:
            del self._counts[number]

    def answer(self, message: CountAdmitted) -> Message:
        """Count what a peer admitted."""
        level = self._count(message)
        if level is None:
            return NotHere("team unknown")
        return FleetLevel(level, self._peers.accepted_count + 1)

    async def _tell(self, team: TeamId) -> None:
        """Tell the owner until nothing is left to tell."""
        while (told := self._estimates.take_untold(team, self._clock.now_s())):
            message = CountAdmitted(team, *told)
            try:
                reply = await self._ask_owner(message)
            except PeerUnavailableError:
                self._estimates.take_failure(team)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if reply.daemons > 1:
                self._estimates.share = 1 / reply.daemons
            self._estimates.take_answer(team, reply.level, self._clock.now_s())

    async def _ask_owner(self, message: CountAdmitted) -> FleetLevel:
        owner = self._shards.owner(shard_number(message.team, self._shards.count))
        if owner is None:
            raise PeerUnavailableError("the team's shard has no known owner")
        if owner == self._shards.address:
            reply = self.answer(message)
        else:
            reply = await self._peers.call(owner, message, ANSWER_TIMEOUT_S)
        if not isinstance(reply, FleetLevel):
            raise PeerUnavailableError("the owner does not know the team")
        return reply

    def _count(self, message: CountAdmitted) -> float | None:
        configuration = self._view.configuration
        team = configuration.teams.get(message.team) if configuration else None
        if team is None:
            return None
        number = shard_number(message.team, self._shards.count)
        counts = self._counts.setdefault(number, RateCounts())
        return counts.count(
            message.team,
            message.admitted,
            message.level,
            _allowance(team),
            self._clock.now_s(),
        )


def _allowance(team: Team) -> Allowance:
    return Allowance(team.rate_per_s, max(1.0, team.burst))
