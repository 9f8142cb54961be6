"""Exchange of load data: online counts with batch runners, reports of endpoints."""

from .clocks import Clock
from .engineclient import EndpointError, EngineClient
from .errors import PeerUnavailableError
from .fleet import Fleet
from .ids import EndpointId, MemberId
from .membership import VmEntry
from .messages import EndpointLoads, OnlineLoad
from .tasks import WorkerPool

REPORT_REPEAT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 0.5


def runner_resource(endpoint_id: EndpointId) -> str:
    """Return the name whose hash selects the member that runs an endpoint's batch."""
    return f"batch-{endpoint_id}"


class LoadExchange:
    """Reports this daemon's online requests to the endpoints' batch runners, which
    reply with the totals of all daemons. Used by the batch runner at each tick.
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
        self._reported_counts: dict[EndpointId, int] = {}
        self._last_repeat_s: float = 0.0

    def report_online_counts(self) -> None:
        """Report changed online counts to the endpoints' batch runners at once.

        Unchanged counts above zero are repeated at an interval.
        """
        now_s = self._clock.now_s()
        counts = self._fleet.online_counts()
        repeat = now_s - self._last_repeat_s >= REPORT_REPEAT_INTERVAL_S
        if repeat:
            self._last_repeat_s = now_s
        by_member: dict[MemberId, dict[str, int]] = {}
        for endpoint_id in {*counts, *self._reported_counts}:
            count = counts.get(endpoint_id, 0)
            if self._reported_counts.get(endpoint_id, 0) == count and not (
                repeat and count
            ):
                continue
            if count:
                self._reported_counts[endpoint_id] = count
            else:
                self._reported_counts.pop(endpoint_id, None)
            preferred = self._fleet.preferred(runner_resource(endpoint_id))
            if preferred:
                by_member.setdefault(preferred[0], {})[endpoint_id] = count
        for member, changed in by_member.items():
            self._calls.submit(self._report_to_member, member, changed)

    def _report_to_member(self, member: MemberId, counts: dict[str, int]) -> None:
        message = OnlineLoad(self._fleet.me, counts)
        try:
            if member == self._fleet.me:
                reply = self._fleet.handle_online_load(message)
            else:
                reply = self._fleet.call(member, message, REPORT_TIMEOUT_S)
        except PeerUnavailableError:
            # Not retried, since probes carry the same counts.
            return
        if not isinstance(reply, EndpointLoads):
            return
        now_s = self._clock.now_s()
        with self._fleet.lock:
            for endpoint_id, total in reply.totals.items():
                self._fleet.endpoints.record_online_total(
                    endpoint_id, total, counts[endpoint_id], now_s
                )

    def poll_load_reports(self, owned: list[EndpointId]) -> None:
        """Fetch the load reports of endpoints that this daemon uses or runs batch on.

        The latter are passed in as `owned`.
        """
        with self._fleet.lock:
            targets = {e.serves for e in self._fleet.endpoints.all()}
            used = [e for t in targets for e in self._fleet.endpoints.subset(t)]
            used += [e for e in map(self._fleet.endpoints.get, owned) if e]
            entries = {e.id: e.entry for e in used}
        for endpoint_id, entry in entries.items():
            self._calls.submit(self._fetch_load_report, endpoint_id, entry)

    def _fetch_load_report(self, endpoint_id: EndpointId, entry: VmEntry) -> None:
        try:
            report = self._engines.fetch_load(entry)
        except EndpointError:
            return
        with self._fleet.lock:
            self._fleet.endpoints.record_load_report(
                endpoint_id, report.slots, report.model
            )
