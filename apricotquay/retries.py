"""Retry budgets: limit retries to a share of a team's requests. Pure."""

from .ids import TeamId

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Keeps one balance per team. Used by `OnlineRequestHandler` before each retry.

    A request adds `RETRY_SHARE` to the balance and a retry takes 1, so retries
    cannot multiply the load on endpoints during an outage of all of them.
    """

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share: float = share
        self._reserve: float = reserve
        self._balances: dict[TeamId, float] = {}

    def record_request(self, team: TeamId) -> None:
        """Add a first attempt's share to the balance."""
        balance = self._balances.get(team, self._reserve)
        self._balances[team] = min(self._reserve, balance + self._share)

    def take(self, team: TeamId) -> bool:
        """Take one retry from the budget unless it is exhausted."""
        balance = self._balances.get(team, self._reserve)
        if balance < 1.0:
            return False
        self._balances[team] = balance - 1.0
        return True
