"""The event-loop daemon: its components, peer messages, and draining on SIGTERM."""

import asyncio
import contextlib
import inspect
import secrets
import signal
from collections.abc import Awaitable, Callable

import msgspec

from ..clocks import Clock, SystemClock
from ..events import Event
from ..quarantine import Quarantine
from .batch.jobs import Jobs
from .batch.runner import BatchRunner
from .catalog import Limits
from .crashes.crashlog import CrashLog
from .crashes.detector import CrashDetector
from .crashes.partquarantine import PartQuarantine
from .engine import DirectEngineClient
from .fleet.keyedlog import KeyedLog
from .fleet.peerchecks import PeerChecks
from .fleet.peers import PeerConnection, Peers
from .fleet.relayclient import RelayClient
from .fleet.relayserver import RelayServer
from .fleet.routedclient import RoutedEngineClient
from .fleet.shards import Shards
from .fleet.view import Directory, View
from .fleet.viewexchange import ViewExchange
from .guard import ResourceGuard
from .http.http1 import HttpResponse
from .http.httpserver import Exchange, HttpServer, ServerLimits
from .http.resourcelimits import ResourceLimits
from .messages import (
    AskSlot,
    CallNotServed,
    CancelJob,
    CancelRelay,
    CheckEndpoint,
    CrashSeen,
    FindStream,
    HeldSlot,
    LeavingList,
    LimitList,
    LimitSeen,
    Message,
    PullView,
    ReadBody,
    ReadJob,
    RelayCall,
    RelayCredit,
    RelayedData,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotRevoked,
    StreamBegan,
    SubmitJob,
    TakeToken,
    TicketList,
)
from .metrics import ServingMetrics
from .online.attempts import AttemptRunner
from .online.handler import OnlineRequestHandler
from .online.ratelimiter import RateLimiter
from .reporting import Reporter
from .slots.allocator import SlotAllocator
from .streams.streamkeeper import StreamKeeper
from .streams.streamlog import StreamLog
from .tasks import start_task

LOG_FLUSH_INTERVAL_S = 0.1
# Priority classes with a gauge of their own.
SHOWN_PRIORITIES = 4
# The load balancer stops opening connections after two failed checks, 1 s apart.
BALANCER_REMOVAL_S = 2.6
DRAIN_POLL_INTERVAL_S = 0.05
# Share of a drain after which new requests are refused, as they may not end in time.
NEW_REQUESTS_SHARE = 0.4
# Remaining grace period at which running requests are aborted.
SHUTDOWN_MARGIN_S = 0.5

SLOT_MESSAGES = (
    AskSlot,
    ReleaseSlot,
    HeldSlot,
    TicketList,
    LimitSeen,
    LimitList,
    LeavingList,
    SlotQueued,
    SlotGranted,
    SlotRefused,
    SlotRevoked,
)
RELAY_MESSAGES = (RelayCall, RelayCredit, CancelRelay)
RELAYED_MESSAGES = (RelayedHead, RelayedData, RelayedEnd, RelayedFailure)
JOB_MESSAGES = (SubmitJob, ReadJob, ReadBody, CancelJob)

PeerHandler = Callable[
    [PeerConnection, Message], Message | None | Awaitable[Message | None]
]


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ServingSettings(msgspec.Struct, frozen=True):
    """The settings of an event-loop daemon.

    `starts_full` means that the whole fleet starts for the first time, so that the
    teams' rate limits start with a full burst. `grace_s` is the time from SIGTERM
    to SIGKILL, and `job_retention_s` how long after its submission a job
    that has ended can be read. `region` is that of this VM, and `zones` has those of
    availability zones, as far as the settings name them. `resources` is the size of
    the VM.
    """

    vm_id: str
    availability_zone: str
    store: Address
    callers: Address
    ready: Address
    peers: Address
    metrics: Address | None
    metrics_path: str
    seeds: list[str]
    shards: int
    starts_full: bool
    grace_s: float
    job_retention_s: float = 240.0
    ready_path: str = "/readyz"
    region: str = ""
    zones: dict[str, str] = {}
    resources: ResourceLimits = ResourceLimits()

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, empty if it is not known."""
        if zone and zone == self.availability_zone and self.region:
            return self.region
        return self.zones.get(zone, "")


class Daemon:
    """All components of one event-loop daemon. Created by the platform's entry point.

    `interface` creates the callers' HTTP handler, `reload` reads the settings again.
    """

    def __init__(
        self,
        settings: ServingSettings,
        log: KeyedLog,
        directory: Directory,
        direct: DirectEngineClient,
        interface: Callable,
        reload: Callable[[], ServingSettings] | None = None,
        clock: Clock | None = None,
        reporter: Reporter | None = None,
    ) -> None:
        self.settings: ServingSettings = settings
        self.clock: Clock = clock or SystemClock()
        self.reporter: Reporter = reporter or Reporter(settings.vm_id, self.clock)
        self.metrics: ServingMetrics = ServingMetrics()
        self._reload = reload
        self._log: KeyedLog = log
        self._is_draining: bool = False
        self._stop = asyncio.Event()
        self._has_lines = asyncio.Event()
        self.reporter.on_line = self._has_lines.set
        self._tasks: list[asyncio.Task] = []
        incarnation = secrets.token_hex(4)
        address = str(settings.peers)
        self.view = View(log, directory, self.clock, self.reporter)
        self.view.endpoints.region_of = settings.region_of
        region = settings.region_of(settings.availability_zone)
        self.guard = ResourceGuard(settings.resources, self.metrics, self.reporter)
        self.peers = Peers(
            self._handle_peer_message, self.reporter, region, self.guard.peer_queues
        )
        self.shards = Shards(
            log, address, incarnation, settings.shards, self.clock, self.reporter
        )
        name = f"{address}/{incarnation}"
        self.crash_log = CrashLog(log, name, self.clock, self.reporter)
        self.exchange = ViewExchange(
            self.view,
            self.shards,
            self.peers,
            settings.seeds,
            self.crash_log,
            self.reporter,
        )
        self.slots = SlotAllocator(
            self.view, self.shards, self.peers, self.clock, name, self.reporter
        )
        self.streams = StreamKeeper(
            self.view,
            self.shards,
            self.peers,
            StreamLog(log, self.clock, self.reporter),
            self.clock,
            self.reporter,
        )
        self.rates = RateLimiter(
            self.view, self.shards, self.peers, self.clock, settings.starts_full
        )
        self.checks = PeerChecks(direct, self.view, self.shards, self.peers)
        self.relay_client = RelayClient(self.peers, direct.forwarded_headers)
        self.engines = engines = RoutedEngineClient(
            direct,
            self.checks,
            self.relay_client,
            self.view,
            self.metrics,
            self.clock,
            self.reporter,
        )
        self.relay_server = RelayServer(
            engines, self.view, self.metrics, self.clock, self.reporter
        )
        self.crashes = CrashDetector(
            Quarantine(),
            PartQuarantine(),
            self.crash_log,
            engines,
            self.shards,
            self.peers,
            self.clock,
            self.reporter,
        )
        self.jobs = Jobs(log, self.shards, self.peers, self.clock, self.reporter)
        attempts = AttemptRunner(
            self.view, engines, self.crashes, self.metrics, self.clock, self.reporter
        )
        components = (self.view, self.slots, attempts, self.metrics)
        self.runner = BatchRunner(
            self.jobs,
            *components,
            self.clock,
            self.reporter,
            settings.job_retention_s,
            settings.availability_zone,
        )
        self.online = OnlineRequestHandler(
            self.view,
            self.rates,
            self.slots,
            attempts,
            self.metrics,
            self.streams,
            self.clock,
            self.reporter,
            settings.availability_zone,
        )
        self._peer_handlers = self._create_peer_handlers()
        handler = interface(
            self.online, self.jobs, self.metrics, self.clock, self.reporter
        )
        self.callers = HttpServer(
            handler,
            self._server_limits,
            self._report_connection_failure,
            self.guard.client_resources("callers"),
        )
        self.ready = HttpServer(
            self._handle_ready,
            self._server_limits,
            resources=self.guard.service_resources("readiness"),
        )
        self.metrics_server = HttpServer(
            self._handle_metrics,
            self._server_limits,
            resources=self.guard.service_resources("metrics"),
        )

    async def start(self) -> None:
        """Start all components and listen for connections."""
        settings = self.settings
        await self.peers.start(settings.peers.host, settings.peers.port)
        await self.ready.start(settings.ready.host, settings.ready.port)
        if settings.metrics is not None:
            metrics = settings.metrics
            await self.metrics_server.start(metrics.host, metrics.port)
        self.view.on_change = self._on_view_change
        self.view.on_leaving = self.slots.tell_leaving
        self.shards.on_change = self._on_shards_change
        self.jobs.on_change = self.runner.wake
        self.view.start()
        self.shards.start()
        self.crash_log.start()
        self.engines.start()
        self.crashes.start()
        self.exchange.start()
        self.slots.start()
        self.streams.start()
        self.runner.start()
        await self.callers.start(settings.callers.host, settings.callers.port)
        self._tasks = [
            start_task("flush", self._flush_loop, self.reporter),
        ]
        self.reporter.write(
            Event.DAEMON_STARTED,
            callers=str(settings.callers),
            availability_zone=settings.availability_zone,
            starts_full=settings.starts_full,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        await self.start()
        await self._stop.wait()
        await self.drain()
        await self.close()

    async def drain(self) -> None:
        """Accept no new work, release the shards, and wait for running requests."""
        started_s = self.clock.now_s()
        self._is_draining = True
        self.callers.drain()
        self.relay_server.drain()
        self.reporter.write(
            Event.DAEMON_DRAINING, busy=self._busy_count, reason="signal"
        )
        grace_s = self.settings.grace_s - SHUTDOWN_MARGIN_S
        asyncio.get_running_loop().call_later(
            grace_s * NEW_REQUESTS_SHARE, self.callers.refuse_requests
        )
        self.online.admission.drain(
            started_s + grace_s * NEW_REQUESTS_SHARE, started_s + grace_s
        )
        # The store may be silent, and requests are still refused after the wait.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self.runner.stop()
                await self.shards.leave()
        deadline_s = started_s + grace_s
        while self.clock.now_s() < deadline_s:
            is_removed_by_balancer = self.clock.now_s() - started_s > BALANCER_REMOVAL_S
            if is_removed_by_balancer and not self._busy_count:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self.reporter.write(
            Event.DAEMON_STOPPED,
            cut=self._busy_count,
            took_ms=int((self.clock.now_s() - started_s) * 1000),
        )

    async def close(self) -> None:
        """Stop all components immediately."""
        await self.callers.close()
        await self.ready.close()
        await self.metrics_server.close()
        await self.runner.close()
        await self.jobs.close()
        self.slots.close()
        await self.streams.close()
        await self.exchange.close()
        self.relay_server.close()
        await self.engines.close()
        await self.crashes.close()
        await self.crash_log.close()
        await self.shards.close()
        await self.view.close()
        await self.peers.close()
        for task in self._tasks:
            task.cancel()
        self.reporter.flush()

    @property
    def _busy_count(self) -> int:
        """Number of requests that would be cut: of callers, and of peers."""
        return self.callers.busy_count + self.relay_server.busy_count

    def _server_limits(self) -> ServerLimits:
        configuration = self.view.configuration
        limits = configuration.limits if configuration else Limits()
        return ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )

    def _report_connection_failure(self, reason: str, status: int | None) -> None:
        self.metrics.count("connections_failed")
        self.reporter.write_limited(
            Event.CONNECTION_FAILED, reason=reason, status=status
        )

    def _on_view_change(self) -> None:
        self.slots.refresh()
        self.runner.wake()

    def _on_shards_change(self) -> None:
        self.slots.refresh()
        self.runner.wake()

    def _reload_settings(self) -> None:
        if self._reload is None:
            return
        try:
            self.exchange.seeds = self._reload().seeds
        except Exception as exc:
            # The previous settings stay in use: a bad file must not stop the daemon.
            self.reporter.write(Event.SETTINGS_RELOADED, error=str(exc))
            return
        self.reporter.write(Event.SETTINGS_RELOADED, seeds=self.exchange.seeds)

    async def _handle_ready(self, exchange: Exchange) -> None:
        knows_platform = self.view.configuration is not None and self.crash_log.is_known
        is_ready = knows_platform and not self._is_draining
        status = 200 if is_ready else 503
        if exchange.request.target != self.settings.ready_path:
            status = 404
        await exchange.respond(HttpResponse(status, []))

    async def _handle_metrics(self, exchange: Exchange) -> None:
        if exchange.request.target != self.settings.metrics_path:
            await exchange.respond(HttpResponse(404, []))
            return
        self.metrics.set_gauge("log_lines_dropped", self.reporter.dropped)
        self.metrics.set_gauge("view_age_s", round(self.view.age_s(), 3))
        self.metrics.set_gauge("store_calls", self._log.call_count)
        self.metrics.set_gauge("shards_owned", len(self.shards.owned))
        self.metrics.set_gauge("callers_busy", self.callers.busy_count)
        self.metrics.set_gauge("relays_busy", self.relay_server.busy_count)
        lost_count = self.engines.paths.lost_count
        self.metrics.set_gauge("endpoints_out_of_reach", lost_count)
        self.metrics.set_gauge("peer_tickets", self.slots.tables.peer_ticket_count)
        self.metrics.set_gauge("streams_kept", self.streams.kept_count)
        self.metrics.set_gauge("endpoints_limited", self.slots.tables.limited_count)
        cold_count = len(self.slots.tables.cold_limits)
        self.metrics.set_gauge("endpoints_cold", cold_count)
        unused_count = self.slots.unused_grant_count
        self.metrics.set_gauge("grants_not_used", unused_count)
        self.metrics.set_gauge("tickets_replaced", self.slots.replaced_count)
        zone_count = len(self.view.evacuations.zones)
        self.metrics.set_gauge("zones_evacuated", zone_count)
        self.metrics.set_gauge("connections_open", self.callers.connection_count)
        self.guard.set_gauges()
        leaving_count = len(self.view.endpoints.leaving_notices())
        self.metrics.set_gauge("endpoints_said_leaving", leaving_count)
        self._set_speed_gauges()
        self._set_slot_gauges()
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        body = self.metrics.render().encode()
        await exchange.respond(HttpResponse(200, headers, body))

    def _set_speed_gauges(self) -> None:
        summary = self.slots.tables.speed_summary()
        self.metrics.set_gauge("endpoints_slow", summary.slow_count)
        self.metrics.set_gauge("endpoint_slowness_max", summary.slowest)
        self.metrics.set_gauge("endpoint_slowness_min", summary.fastest)
        self.metrics.set_gauge("endpoint_slowness_spread", summary.spread)
        self.metrics.set_gauge("endpoints_left_out_full", self.slots.tables.full_count)

    def _set_slot_gauges(self) -> None:
        """Set what waits for slots here by class, and what was refused by reason."""
        tables = self.slots.tables
        waiting = tables.waiting_by_priority()
        for priority in range(SHOWN_PRIORITIES):
            name = f"slots_waiting_class_{priority}"
            self.metrics.set_gauge(name, waiting.pop(priority, 0))
        self.metrics.set_gauge("slots_waiting_class_other", waiting.total())
        for reason, count in tables.refused_counts.items():
            self.metrics.set_gauge(f"slots_refused_{reason.value}", count)

    def _create_peer_handlers(self) -> dict[type, PeerHandler]:
        """Return what handles each message of a peer; calls return their reply."""
        handlers: dict[type, PeerHandler] = {
            TakeToken: lambda _, message: self.rates.handle_take_token(message),
            CrashSeen: lambda _, message: self.crashes.handle_crash_seen(message),
            StreamBegan: lambda _, message: self.streams.handle_stream_began(message),
            FindStream: lambda _, message: self.streams.handle_find_stream(message),
            PullView: lambda _, message: self.exchange.handle_pull_view(message),
            CheckEndpoint: lambda _, message: self.checks.handle_check_endpoint(
                message
            ),
        }
        handlers |= dict.fromkeys(SLOT_MESSAGES, self.slots.handle_message)
        handlers |= dict.fromkeys(RELAY_MESSAGES, self.relay_server.handle_message)
        handlers |= dict.fromkeys(RELAYED_MESSAGES, self.relay_client.handle_message)
        handlers |= dict.fromkeys(
            JOB_MESSAGES, lambda _, message: self.jobs.handle_message(message)
        )
        return handlers

    async def _handle_peer_message(
        self, connection: PeerConnection, message: Message
    ) -> Message | None:
        handle = self._peer_handlers.get(type(message))
        if handle is None:
            return CallNotServed("not a call")
        reply = handle(connection, message)
        return await reply if inspect.isawaitable(reply) else reply

    async def _flush_loop(self) -> None:
        while True:
            await self._has_lines.wait()
            self._has_lines.clear()
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            self.reporter.flush()
            if self.reporter.has_unwritten:
                self._has_lines.set()
