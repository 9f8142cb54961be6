"""Decides which online requests may run: access, rates, quarantine, and drains."""

from ...clocks import Clock
from ...errors import ErrorKind, RequestError
from ...ids import TeamId
from ..catalog import Configuration, Route, Team, allowed_regions
from ..fleet.view import View
from .attempts import AttemptRunner, fingerprint_of
from .ratelimiter import RateLimiter
from .requests import Admission, OnlineRequest, RequestProgress

MIN_RETRY_AFTER_MS = 100


class AdmissionControl:
    """Raises RequestError for requests that must not run. Used by
    `OnlineRequestHandler` and by the callers' HTTP handler.
    """

    def __init__(
        self, view: View, rates: RateLimiter, attempts: AttemptRunner, clock: Clock
    ) -> None:
        self._view: View = view
        self._rates: RateLimiter = rates
        self._attempts: AttemptRunner = attempts
        self._clock: Clock = clock
        # When a stop of this daemon cuts what still runs, and after which moment it
        # sends no request that could be cut.
        self._cut_s: float = float("inf")
        self._last_send_s: float = float("inf")

    def drain(self, last_send_s: float, cut_s: float) -> None:
        """Refuse requests that may outlast `cut_s`: at once those that may not be
        repeated, after `last_send_s` the others.
        """
        self._last_send_s = last_send_s
        self._cut_s = cut_s

    def authorize(self, host: str, path: str, key: str | None) -> Admission:
        """Return the route and the team; raise RequestError if access is denied."""
        configuration = self._known_configuration()
        route = configuration.find_route(host, path)
        if route is None:
            raise RequestError(ErrorKind.ROUTE_UNKNOWN, "no route matches")
        if not route.is_public:
            self.check_key(key)
        # Calls without a route find a job or a stream again by its caller's team.
        team = self.find_team(key)
        if allowed_regions(route, team) is None:
            raise RequestError(
                ErrorKind.ENDPOINT_MISSING, "route and team have no region in common"
            )
        return Admission(route, team, configuration.version)

    @property
    def version(self) -> int | None:
        """The version of the configuration that this daemon uses."""
        configuration = self._view.configuration
        return configuration.version if configuration else None

    def find_team(self, key: str | None) -> Team | None:
        """Return the team that a key belongs to, None if there is none."""
        return self._known_configuration().team_of(key) if key else None

    def check_key(self, key: str | None) -> None:
        """Raise RequestError unless a key is known or none is needed."""
        configuration = self._known_configuration()
        if not configuration.needs_keys or self.find_team(key) is not None:
            return
        if not key:
            raise RequestError(ErrorKind.KEY_MISSING, "a key is needed")
        raise RequestError(ErrorKind.KEY_REJECTED, "the key is not known")

    def _known_configuration(self) -> Configuration:
        configuration = self._view.configuration
        if configuration is None:
            raise RequestError(ErrorKind.VIEW_STALE, "no configuration is known yet")
        return configuration

    def check_quarantine(self, request: OnlineRequest, team: Team | None) -> None:
        team_id = TeamId(team.id) if team else None
        fingerprint = fingerprint_of(request.target, team_id, request.body)
        if self._attempts.is_quarantined(fingerprint):
            raise RequestError(
                ErrorKind.REQUEST_QUARANTINED, "this request crashes endpoints"
            )
        causes = self._attempts.find_causes(request.prompt_parts)
        if causes:
            raise RequestError(
                ErrorKind.REQUEST_QUARANTINED,
                f"prompts with {' and '.join(causes)} crash endpoints",
            )

    def check_drain(
        self, route: Route, progress: RequestProgress, deadline_s: float
    ) -> None:
        """Raise RequestError for a request that has not run if the stop of this daemon
        might cut it.
        """
        if progress.may_have_run or deadline_s <= self._cut_s:
            return
        if not route.is_idempotent or self._clock.now_s() > self._last_send_s:
            raise RequestError(ErrorKind.DRAINING, "the daemon is stopping")

    async def check_rate(self, team: Team | None) -> None:
        if team is None:
            return
        decision = await self._rates.admit(team)
        if decision.wait_s:
            raise RequestError(
                ErrorKind.RATE_EXCEEDED,
                f"{decision.level:.2f} tokens left of a burst of {team.burst:g} at "
                f"{team.rate_per_s:g} a second, by {decision.decided_by or 'share'}",
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(decision.wait_s * 1000)),
            )
