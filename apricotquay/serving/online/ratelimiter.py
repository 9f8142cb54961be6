"""Team rate limits of the event-loop daemon, decided by the owner of a team's shard."""

import msgspec

from ...clocks import Clock
from ...errors import PeerUnavailableError
from ...ids import TeamId
from ..catalog import Team
from ..fleet.peers import Peers
from ..fleet.shards import Shards, shard_number
from ..fleet.view import View
from ..messages import CallNotServed, Message, TakeToken, TokenAnswer
from .rates import Allowance, DaemonRates, OwnerRates

OWNER_ANSWER_TIMEOUT_S = 0.12
# An owner that did not answer in time is not asked again for this long.
OWNER_RETRY_DELAY_S = 0.5


class RateDecision(msgspec.Struct, frozen=True):
    """Whether a request is admitted, and which daemon decided it.

    `wait_s` is 0 for an admitted request, else the time until a retry; `level` is
    the bucket's tokens and `decided_by` the owner asked, or "" if this daemon's
    share decided.
    """

    wait_s: float
    level: float
    decided_by: str


ADMITTED = RateDecision(0.0, 0.0, "")


class RateLimiter:
    """Admits requests by team rate. Asks the owner of the team's shard, or admits from
    this daemon's share while the owner does not answer.

    Used by `OnlineRequestHandler` before it acquires a slot.
    """

    def __init__(
        self, view: View, shards: Shards, peers: Peers, clock: Clock, starts_full: bool
    ) -> None:
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._daemon_rates = DaemonRates(starts_full)
        self._owner_rates = OwnerRates()
        self._retry_owner_at_s: dict[str, float] = {}

    async def admit(self, team: Team) -> RateDecision:
        """Take one token from a team's bucket, if there is one."""
        if team.rate_per_s <= 0:
            return ADMITTED
        allowance = _allowance(team)
        unreported = self._daemon_rates.take_unreported(team.id)
        level = self._daemon_rates.estimate_level(
            team.id, allowance, self._clock.now_s()
        )
        try:
            answer = await self._request_token(TakeToken(team.id, unreported, level))
        except PeerUnavailableError:
            # Without the owner only this daemon's share is used.
            self._daemon_rates.restore_unreported(team.id, unreported)
            wait_s = self._daemon_rates.admit_locally(
                team.id, allowance, self._clock.now_s()
            )
            return RateDecision(wait_s, level * self._daemon_rates.share, "")
        self._daemon_rates.apply_answer(team.id, answer.level, self._clock.now_s())
        if answer.daemons:
            self._daemon_rates.share = 1 / answer.daemons
        wait_s = 0.0
        if not answer.admitted:
            wait_s = (1.0 - answer.level) / allowance.rate_per_s
        return RateDecision(wait_s, answer.level, self._owner(team.id) or "")

    def handle_take_token(self, message: TakeToken) -> Message:
        """Decide as the owner of a team's shard.

        Also decides if this daemon is not the owner: the asking daemon knows no newer
        owner than this one.
        """
        configuration = self._view.configuration
        team = configuration.teams.get(message.team) if configuration else None
        if team is None:
            return CallNotServed("the team is not known here")
        admitted, level = self._owner_rates.take(
            message.team,
            message.admitted_alone,
            message.known_level,
            _allowance(team),
            self._clock.now_s(),
        )
        return TokenAnswer(admitted, level, self._peers.accepted_count + 1)

    async def _request_token(self, message: TakeToken) -> TokenAnswer:
        owner = self._owner(message.team)
        if owner is None:
            raise PeerUnavailableError("the team's shard has no known owner")
        if owner == self._shards.address:
            reply = self.handle_take_token(message)
        else:
            reply = await self._request_token_from_peer(owner, message)
        if not isinstance(reply, TokenAnswer):
            raise PeerUnavailableError("the owner does not know the team")
        return reply

    async def _request_token_from_peer(self, owner: str, message: TakeToken) -> Message:
        now_s = self._clock.now_s()
        if now_s < self._retry_owner_at_s.get(owner, 0.0):
            raise PeerUnavailableError(f"{owner} did not answer a moment ago")
        try:
            return await self._peers.call(owner, message, OWNER_ANSWER_TIMEOUT_S)
        except PeerUnavailableError:
            self._retry_owner_at_s[owner] = now_s + OWNER_RETRY_DELAY_S
            raise

    def _owner(self, team: TeamId) -> str | None:
        return self._shards.owner(shard_number(team, self._shards.count))


def _allowance(team: Team) -> Allowance:
    return Allowance(team.rate_per_s, max(1.0, team.burst))
