"""Exchanges the platform's records between daemons while the store is unreachable."""

import asyncio
import contextlib
import math
import random

from ...errors import PeerUnavailableError
from ..crashes.crashlog import CrashLog
from ..messages import Message, PullView, ViewRecords
from ..reporting import Reporter
from ..tasks import start_task
from .peers import Peers
from .shards import Shards
from .view import View

PULL_INTERVAL_S = 0.4
# Peers are asked once the store has not confirmed the view for this long.
PULL_VIEW_AGE_S = 1.4
PULL_TIMEOUT_S = 0.5
PEERS_PER_PULL = 3
# A whole view is large, so a daemon without any asks only one peer at a time.
PEERS_PER_FIRST_PULL = 1


class ViewExchange:
    """Pulls records newer than this daemon's view from peers, and answers their pulls.

    One per daemon. Asks the owners of shards and the `seeds`.
    """

    def __init__(
        self,
        view: View,
        shards: Shards,
        peers: Peers,
        seeds: list[str],
        crash_log: CrashLog,
        reporter: Reporter,
    ) -> None:
        self.seeds: list[str] = seeds
        self._view: View = view
        self._crash_log: CrashLog = crash_log
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._reporter: Reporter = reporter
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start pulling from peers whenever the store does not confirm the view."""
        self._task = start_task("pull", self._pull_loop, self._reporter)

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def handle_pull_view(self, message: PullView) -> Message:
        """Return the records that are newer than a peer's view, and known owners."""
        view = self._view
        configuration = []
        version = view.configuration.version if view.configuration else -1
        if version > message.version and view.configuration_record is not None:
            configuration = [view.configuration_record]
        # Peers of the previous release skip records with these keys.
        configuration += view.evacuations.records()
        endpoints = [
            record
            for record in view.endpoint_records.values()
            if record.offset > message.endpoint_mark
        ]
        owners, age_s = self._shards.known_owners()
        age_ms = int(age_s * 1000) if math.isfinite(age_s) else -1
        return ViewRecords(
            configuration,
            endpoints,
            owners,
            age_ms,
            self._crash_log.records_since(message.crashes_ms),
            self._crash_log.is_known,
        )

    async def _pull_loop(self) -> None:
        while True:
            await asyncio.sleep(PULL_INTERVAL_S * random.uniform(0.8, 1.2))
            if self._view.age_s() > PULL_VIEW_AGE_S or not self._shards.is_confirmed:
                await asyncio.gather(*map(self._pull, self._peers_to_ask()))

    def _peers_to_ask(self) -> list[str]:
        known = {*self._shards.addresses(), *self.seeds} - {self._shards.address}
        has_view = self._view.newest_endpoint_offset() >= 0
        count = PEERS_PER_PULL if has_view else PEERS_PER_FIRST_PULL
        return random.sample(sorted(known), min(count, len(known)))

    async def _pull(self, address: str) -> None:
        view = self._view
        version = view.configuration.version if view.configuration else -1
        message = PullView(
            version, view.newest_endpoint_offset(), self._crash_log.blind_ms()
        )
        try:
            reply = await self._peers.call(address, message, PULL_TIMEOUT_S)
        except PeerUnavailableError:
            # Peers logs the failure; other peers are asked in the next round.
            return
        if isinstance(reply, ViewRecords):
            self._shards.record_peer_answer()
            if reply.owners_age_ms >= 0:
                age_s = reply.owners_age_ms / 1000
                view.record_peer_read(age_s)
                self._shards.apply_owners(reply.owners, age_s)
            view.apply_records(reply.configuration, reply.endpoints)
            self._crash_log.apply_from_peer(reply.crashes, reply.are_crashes_known)
