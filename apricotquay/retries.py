"""Retry budgets: retries may be only a share of a team's requests. Pure."""

from .ids import TeamId

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Keeps one balance a team. Used by the online path before each retry.

    A request adds `RETRY_SHARE` to the balance and a retry takes one, so an
    outage of all endpoints cannot multiply the load that reaches them.
    """

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share: float = share
        self._reserve: float = reserve
        self._balances: dict[TeamId, float] = {}

    def record_request(self, team: TeamId) -> None:
        """Count a first attempt."""
        balance = self._balances.get(team, self._reserve)
        self._balances[team] = min(self._reserve, balance + self._share)

    def take(self, team: TeamId) -> bool:
        """Take one retry from the budget if it is not used up."""
        balance = self._balances.get(team, self._reserve)
        if balance < 1.0:
            return False
        self._balances[team] = balance - 1.0
        return True
