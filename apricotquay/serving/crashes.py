"""Watches which requests run where, and what an endpoint's death says of them."""

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

SECOND_LOOK_S = 0.1


class CrashDetector:
    """Shared by online and batch work. Tells the shards' owners of each death."""

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

    def begin(self, endpoint: EndpointId, fingerprint: str) -> None:
        """Note that a request is sent to an endpoint."""
        self._running.setdefault(endpoint, Counter())[fingerprint] += 1

    def end(self, endpoint: EndpointId, fingerprint: str) -> None:
        """Note that it no longer runs there."""
        counter = self._running[endpoint]
        counter[fingerprint] -= 1
        if counter[fingerprint] <= 0:
            del counter[fingerprint]
        if not counter:
            del self._running[endpoint]

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request is not to be run again."""
        status = self._quarantine.status(fingerprint, self._clock.now_s())
        return status is QuarantineStatus.QUARANTINED

    def clear(self, fingerprint: str) -> None:
        """A request completed."""
        self._quarantine.record_completion(fingerprint, self._clock.now_s())

    def see_reset(self, endpoint: Endpoint, fingerprint: str) -> None:
        """A connection ended in the middle: find out whether the endpoint died."""
        beside = self._running.get(endpoint.id, Counter())
        suspects = sorted({fingerprint, *beside})
        task = asyncio.ensure_future(self._check(endpoint, suspects))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle_crash_seen(self, message: CrashSeen) -> None:
        """Take in what a peer saw."""
        self._see(EndpointId(message.endpoint), message.fingerprints)

    async def _check(self, endpoint: Endpoint, suspects: list[str]) -> None:
        if not await self._is_dead(endpoint):
            return
        suspects = self._quarantine.unproven(suspects, self._clock.now_s())
        self._see(endpoint.id, suspects)
        message = CrashSeen(endpoint.id, suspects)
        for address in self._shards.addresses():
            try:
                (await self._peers.connect(address)).send(message)
            except PeerUnavailableError:
                # Peers reports the loss; that daemon sees later deaths itself.
                continue

    async def _is_dead(self, endpoint: Endpoint) -> bool:
        """Ask twice: a process that is just ending may still accept a connection."""
        if await self._engines.refuses_connections(endpoint):
            return True
        await asyncio.sleep(SECOND_LOOK_S)
        return await self._engines.refuses_connections(endpoint)

    def _see(self, endpoint: EndpointId, suspects: list[str]) -> None:
        now_s = self._clock.now_s()
        self._quarantine.tick(now_s)
        convicted = self._quarantine.see_death(endpoint, suspects, now_s)
        self._reporter.write(
            Event.ENDPOINT_DIED,
            endpoint=endpoint,
            suspects=self._quarantine.counts(suspects),
        )
        for fingerprint in convicted:
            self._reporter.write(
                Event.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                endpoint=endpoint,
                for_s=QUARANTINE_S,
            )
