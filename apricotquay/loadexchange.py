"""Exchange of load facts: online counts with the runners, reports of endpoints."""

from .clocks import Clock
from .engineclient import EndpointError, EngineClient
from .errors import PeerUnavailableError
from .fleet import Fleet
from .ids import EndpointId, MemberId
from .membership import VmEntry
from .messages import EndpointLoads, OnlineLoad
from .tasks import WorkerPool

REPEAT_S = 0.5
TELL_TIMEOUT_S = 0.5


def runner_resource(endpoint_id: EndpointId) -> str:
    """Return the name by whose hash an endpoint's batch runner is chosen."""
    return f"batch-{endpoint_id}"


class LoadExchange:
    """Tells the endpoints' runners of this daemon's online requests and hears the
    totals of all daemons from them. Used by the batch runner at each tick.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        calls: WorkerPool,
        clock: Clock,
    ) -> None:
        self._fleet: Fleet = fleet
        self._engines: EngineClient = engines
        self._calls: WorkerPool = calls
        self._clock: Clock = clock
        self._told: dict[EndpointId, int] = {}
        self._repeated_s: float = 0.0

    def report_online_counts(self) -> None:
        """Tell the endpoints' runners of this daemon's online requests at once."""
        now_s = self._clock.now_s()
        counts = self._fleet.online_counts()
        repeat = now_s - self._repeated_s >= REPEAT_S
        if repeat:
            self._repeated_s = now_s
        by_member: dict[MemberId, dict[str, int]] = {}
        for endpoint_id in {*counts, *self._told}:
            count = counts.get(endpoint_id, 0)
            if self._told.get(endpoint_id, 0) == count and not (repeat and count):
                continue
            if count:
                self._told[endpoint_id] = count
            else:
                self._told.pop(endpoint_id, None)
            order = self._fleet.preferred(runner_resource(endpoint_id))
            if order:
                by_member.setdefault(order[0], {})[endpoint_id] = count
        for member, changed in by_member.items():
            self._calls.submit(self._tell_member, member, changed)

    def _tell_member(self, member: MemberId, counts: dict[str, int]) -> None:
        message = OnlineLoad(self._fleet.me, counts)
        try:
            if member == self._fleet.me:
                reply = self._fleet.handle_online_load(message)
            else:
                reply = self._fleet.call(member, message, TELL_TIMEOUT_S)
        except PeerUnavailableError:
            # Probes carry the same counts.
            return
        if not isinstance(reply, EndpointLoads):
            return
        now_s = self._clock.now_s()
        with self._fleet.lock:
            for endpoint_id, total in reply.totals.items():
                self._fleet.endpoints.record_online_total(
                    endpoint_id, total, counts[endpoint_id], now_s
                )

    def poll_load_reports(self, charged: list[EndpointId]) -> None:
        """Fetch the reports of endpoints used here or in this daemon's charge."""
        with self._fleet.lock:
            targets = {e.serves for e in self._fleet.endpoints.all()}
            used = [e for t in targets for e in self._fleet.endpoints.subset(t)]
            used += [e for e in map(self._fleet.endpoints.get, charged) if e]
            entries = {e.id: e.entry for e in used}
        for endpoint_id, entry in entries.items():
            self._calls.submit(self._poll_load, endpoint_id, entry)

    def _poll_load(self, endpoint_id: EndpointId, entry: VmEntry) -> None:
        try:
            report = self._engines.load(entry)
        except EndpointError:
            return
        with self._fleet.lock:
            self._fleet.endpoints.record_load_report(
                endpoint_id, report.slots, report.model
            )
