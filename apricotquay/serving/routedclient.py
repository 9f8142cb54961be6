"""Sends calls to endpoints and finds out why one cannot be reached."""

from ..clocks import Clock
from ..events import Event
from .endpoints import Endpoint
from .engine import (
    DirectEngineClient,
    EndpointUnreachableError,
    EngineCall,
    EngineResponse,
    Reachability,
)
from .http1 import HeaderList
from .metrics import ServingMetrics
from .peerchecks import PeerChecks, PeerFindings
from .promptparts import PartKey
from .reporting import Reporter


class RoutedEngineClient:
    """Implements `EngineClient`. One per daemon."""

    def __init__(
        self,
        direct: DirectEngineClient,
        checks: PeerChecks,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._direct: DirectEngineClient = direct
        self._checks: PeerChecks = checks
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter

    async def send(self, call: EngineCall, endpoint: Endpoint) -> EngineResponse:
        """Send a call and return its response, whose head has been checked."""
        try:
            return await self._direct.send(call, endpoint)
        except EndpointUnreachableError as exc:
            self._metrics.count("connects_failed")
            await self._ask_peers(endpoint, str(exc))
            raise

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""
        return self._direct.prompt_parts(headers)

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether nothing listens at the endpoint's address."""
        return await self._direct.probe(endpoint) is Reachability.REFUSED

    async def has_lost_path(self, endpoint: Endpoint) -> bool:
        """Whether a peer reaches an endpoint that this VM does not reach."""
        return False

    async def _ask_peers(self, endpoint: Endpoint, reason: str) -> PeerFindings:
        findings = await self._checks.ask(endpoint)
        is_reached = bool(findings.reached_by)
        self._reporter.write_limited(
            Event.PATH_LOST if is_reached else Event.ENDPOINT_OUT_OF_REACH,
            endpoint=endpoint.id,
            reason=reason,
            reached_by=findings.reached_by,
            refused=findings.refused_count,
            silent=findings.silent_count,
        )
        return findings
