"""Detects crashes of endpoints and reports the requests that ran there."""

import asyncio
from collections import Counter

from ..clocks import Clock
from ..errors import PeerUnavailableError
from ..events import Event
from ..ids import EndpointId
from ..quarantine import QUARANTINE_S, Quarantine, QuarantineStatus
from .endpoints import Endpoint
from .engine import EngineClient
from .messages import CrashSeen
from .peers import Peers
from .reporting import Reporter
from .shards import Shards

RECHECK_DELAY_S = 0.1


class CrashDetector:
    """Shared by online and batch work. Reports each crash to the shards' owners."""

    def __init__(
        self,
        quarantine: Quarantine,
        engines: EngineClient,
        shards: Shards,
        peers: Peers,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._quarantine: Quarantine = quarantine
        self._engines: EngineClient = engines
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._running: dict[EndpointId, Counter] = {}
        self._tasks: set[asyncio.Task] = set()

    def begin_attempt(self, endpoint: EndpointId, fingerprint: str) -> None:
        """Record that a request is sent to an endpoint."""
        self._running.setdefault(endpoint, Counter())[fingerprint] += 1

    def end_attempt(self, endpoint: EndpointId, fingerprint: str) -> None:
        """Record that a request no longer runs at an endpoint."""
        counter = self._running[endpoint]
        counter[fingerprint] -= 1
        if counter[fingerprint] <= 0:
            del counter[fingerprint]
        if not counter:
            del self._running[endpoint]

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not run again."""
        status = self._quarantine.status(fingerprint, self._clock.now_s())
        return status is QuarantineStatus.QUARANTINED

    def record_completion(self, fingerprint: str) -> None:
        """Record that a request completed."""
        self._quarantine.record_completion(fingerprint, self._clock.now_s())

    def handle_connection_reset(self, endpoint: Endpoint, fingerprint: str) -> None:
        """Check whether an endpoint crashed after a connection ended mid-response."""
        running_here = self._running.get(endpoint.id, Counter())
        suspects = sorted({fingerprint, *running_here})
        task = asyncio.ensure_future(self._check_crash(endpoint, suspects))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle_crash_seen(self, message: CrashSeen) -> None:
        """Record a crash that a peer reported."""
        self._record_crash(EndpointId(message.endpoint), message.fingerprints)

    async def _check_crash(self, endpoint: Endpoint, suspects: list[str]) -> None:
        if not await self._has_crashed(endpoint):
            self._reporter.write(
                Event.CRASH_NOT_CONFIRMED, endpoint=endpoint.id, suspects=suspects
            )
            return
        suspects = self._quarantine.without_recent_completion(
            suspects, self._clock.now_s()
        )
        self._record_crash(endpoint.id, suspects)
        message = CrashSeen(endpoint.id, suspects)
        for address in self._shards.addresses():
            try:
                (await self._peers.connect(address)).send(message)
            except PeerUnavailableError:
                # Peers logs the failure; that daemon detects later crashes itself.
                continue

    async def _has_crashed(self, endpoint: Endpoint) -> bool:
        """Check twice: a process that is exiting may still accept a connection."""
        if await self._engines.refuses_connections(endpoint):
            return True
        await asyncio.sleep(RECHECK_DELAY_S)
        return await self._engines.refuses_connections(endpoint)

    def _record_crash(self, endpoint: EndpointId, suspects: list[str]) -> None:
        now_s = self._clock.now_s()
        self._quarantine.tick(now_s)
        quarantined = self._quarantine.record_crash(endpoint, suspects, now_s)
        self._reporter.write(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint,
            suspects=self._quarantine.crash_counts(suspects),
        )
        for fingerprint in quarantined:
            self._reporter.write(
                Event.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                endpoint=endpoint,
                for_s=QUARANTINE_S,
            )
