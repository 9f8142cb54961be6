"""The exchange of views between daemons while the store is unreachable."""

import asyncio
import json

from apricotquay.ids import EndpointId
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.batch.partition import JOBS
from apricotquay.serving.crashes.crashlog import ALL_RECORDS, CrashLog, CrashReport
from apricotquay.serving.fleet import viewexchange
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Shard
from apricotquay.serving.fleet.shards import Shards
from apricotquay.serving.fleet.view import View
from apricotquay.serving.fleet.viewexchange import ViewExchange
from apricotquay.serving.messages import PullView
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_platform_wire import SERVER, config
from .test_serving_jobs import quiet_reporter
from .test_serving_shards import ManualClock


class DirectPeers:
    """Calls other daemons' exchanges without a network, and counts sent records."""

    def __init__(self) -> None:
        self.exchanges: dict[str, ViewExchange] = {}
        self.records_sent: int = 0

    async def call(self, address: str, message: PullView, _timeout_s: float):
        """Return the answer of the exchange at an address."""
        reply = self.exchanges[address].handle_pull_view(message)
        self.records_sent += len(reply.endpoints)
        await asyncio.sleep(0)
        return reply


class ViewExchangeTest(ApricotTest):
    """Daemons that get no answer from the store."""

    def exchange(self, address: str, peers: DirectPeers) -> ViewExchange:
        """Return the exchange of a daemon without any view."""
        clock = ManualClock()
        view = View(None, PlatformDirectory(), clock, quiet_reporter())
        shards = Shards(None, address, "x", 12, clock, quiet_reporter())
        seeds = ["a:1", "b:1", "c:1", "d:1"]
        crash_log = CrashLog(MemoryLog(), address, clock, quiet_reporter())
        exchange = ViewExchange(view, shards, peers, seeds, crash_log, quiet_reporter())
        peers.exchanges[address] = exchange
        return exchange

    def fill(self, exchange: ViewExchange, count: int) -> None:
        """Give an exchange a configuration, endpoints and owners."""
        value = json.dumps(SERVER).encode()
        servers = [KeyedRecord(f"i-{n}".encode(), value, n) for n in range(count)]
        exchange._view.apply_records([config()], servers)
        exchange._shards._owners_read_s = exchange._shards._clock.now_s()
        exchange._shards._apply_owners({Shard(JOBS, 0): "b:1/x"})

    def test_daemon_without_a_view_fetches_it_once(self):
        """When a whole fleet starts at once, each view must not be sent three times."""
        peers = DirectPeers()
        for address in ("a:1", "b:1", "c:1"):
            self.fill(self.exchange(address, peers), 50)
        newcomer = self.exchange("d:1", peers)

        async def run() -> None:
            newcomer.start()
            while newcomer._view.configuration is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            await newcomer.close()

        self.patch(viewexchange, "PULL_INTERVAL_S", 0.01)
        asyncio.run(run())
        self.assertEqual(50, peers.records_sent)
        self.assertEqual(50, len(newcomer._view.endpoint_records))
        self.assertEqual("b:1", newcomer._shards.owner(0))

    def test_daemon_that_starts_in_an_outage_gets_crash_reports_from_a_peer(self):
        """It would otherwise send requests that are known to crash endpoints."""
        peers = DirectPeers()
        peer = self.exchange("a:1", peers)
        self.fill(peer, 1)
        peer._crash_log.add(CrashReport(EndpointId("e1"), 1, ["bad"], 100_000))
        peer._crash_log.apply_from_peer([], is_complete=True)
        newcomer = self.exchange("d:1", peers)
        asyncio.run(newcomer._pull("a:1"))
        self.assertTrue(newcomer._crash_log.is_known)
        self.assertEqual(1, len(newcomer._crash_log.records_since(ALL_RECORDS)))

    def test_only_newer_records_are_sent(self):
        """A peer gets only the records that its view lacks."""
        peers = DirectPeers()
        exchange = self.exchange("a:1", peers)
        self.fill(exchange, 10)
        reply = exchange.handle_pull_view(PullView(7, 7))
        self.assertEqual([], reply.configuration)
        self.assertEqual([b"i-8", b"i-9"], [r.key for r in reply.endpoints])
