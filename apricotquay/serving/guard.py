"""Creates what bounds a daemon's connections and buffers, and reports its decisions."""

from ..events import Event
from .fleet.peerqueues import PeerQueues
from .http.requestbodies import RequestBodies
from .http.resourcelimits import SERVICE_CONNECTIONS, ResourceLimits
from .http.serverresources import ServerResources
from .http.unread import CloseReason, UnreadResponses, UnreadWatch
from .metrics import ServingMetrics
from .reporting import Reporter


class ResourceGuard:
    """The budgets that all connections of a daemon share. One per daemon."""

    def __init__(
        self, limits: ResourceLimits, metrics: ServingMetrics, reporter: Reporter
    ) -> None:
        self.peer_queues = PeerQueues(limits.peer_queue_bytes, self._report_peer)
        self._limits: ResourceLimits = limits
        self._metrics: ServingMetrics = metrics
        self._reporter: Reporter = reporter
        self._bodies = RequestBodies(limits.request_body_bytes, self._report_body)
        responses = UnreadResponses(limits.write_stall_s, limits.unsent_response_bytes)
        self._unread = UnreadWatch(responses, self._report_unread)

    def client_resources(self, server: str) -> ServerResources:
        """Return the resources of the server that clients connect to."""
        return self._resources(server, self._limits.client_connections)

    def service_resources(self, server: str) -> ServerResources:
        """Return the resources of a server for the platform and the operator only.

        A new connection replaces the oldest: their requests are short, and they must
        get through while others keep connections open.
        """
        return self._resources(server, SERVICE_CONNECTIONS, replaces_oldest=True)

    def set_gauges(self) -> None:
        """Set the gauges of what is held now."""
        self._metrics.set_gauge("request_bodies_bytes", self._bodies.held_bytes)
        self._metrics.set_gauge("responses_unsent_bytes", self._unread.unsent_bytes)
        self._metrics.set_gauge("peers_queued_bytes", self.peer_queues.queued_bytes)

    def _resources(
        self, server: str, max_connections: int, replaces_oldest: bool = False
    ) -> ServerResources:
        return ServerResources(
            self._bodies,
            self._unread,
            max_connections,
            replaces_oldest,
            lambda: self._report_full(server, max_connections),
        )

    def _report_full(self, server: str, max_connections: int) -> None:
        self._metrics.count("connections_refused")
        self._reporter.write_limited(
            Event.CONNECTION_REFUSED, server=server, limit=max_connections
        )

    def _report_unread(self, reason: CloseReason, unsent_bytes: int) -> None:
        self._metrics.count("connections_unread")
        self._reporter.write_limited(
            Event.CLIENT_UNREAD, reason=reason.value, unsent_bytes=unsent_bytes
        )

    def _report_body(self, body_bytes: int) -> None:
        self._metrics.count("bodies_refused")
        self._reporter.write_limited(
            Event.BODY_REFUSED,
            body_bytes=body_bytes,
            held_bytes=self._bodies.held_bytes,
        )

    def _report_peer(self, address: str, queued_bytes: int) -> None:
        self._metrics.count("peers_unread")
        self._reporter.write_limited(
            Event.PEER_UNREAD, address=address, queued_bytes=queued_bytes
        )
