"""The threaded daemon: starts and stops its components, and drains on SIGTERM."""

import faulthandler
import os
import signal
import sys
import threading
import time
import traceback
import uuid

import fire

from .access import AccessControl
from .admin import AdminHandlers
from .admission import OnlineAdmission
from .batches import BatchHandlers
from .chat import ChatHandlers
from .clocks import Clock, SystemClock
from .engineclient import EngineClient
from .environment import EnvironmentConfig
from .errors import RequestError
from .events import Event, EventLog, open_event_log
from .fleet import Fleet
from .ids import Incarnation, WriterId
from .jobstore import JobStore
from .leasemanager import LeaseManager
from .librarylogs import LibraryLogs
from .limiter import RateLimiter
from .logclient import Appender, HttpLog
from .messages import (
    Ack,
    AskPromises,
    ErrorReply,
    ExplainItem,
    FetchConfig,
    FetchLeases,
    HandOver,
    Message,
    OnlineLoad,
    Probe,
    PullItems,
    QuarantineNotice,
    QueryJob,
    QueryResults,
    RenewItems,
    ReportItems,
    TakeToken,
)
from .metrics import Metrics
from .online import OnlineRequestHandler
from .peers import PeerPool, PeerServer, TrafficCounter
from .placer import ModelPlacer
from .poison import PoisonDetector
from .quarantine import Quarantine
from .runner import BatchRunner
from .settings import Settings, load_settings
from .tasks import Ticker
from .vmlist import HttpVmList
from .web import Application, HttpServer

DISPATCH_INTERVAL_S = 0.05
HOUSEKEEPING_INTERVAL_S = 5.0
DRAIN_POLL_INTERVAL_S = 0.02
ADMIN_THREADS = 4


class Daemon:
    """Creates and owns all components of one threaded daemon. Created by `run`."""

    def __init__(self, settings: Settings, clock: Clock, events: EventLog) -> None:
        incarnation = Incarnation(uuid.uuid4().hex)
        self.settings: Settings = settings
        self.clock: Clock = clock
        self.events: EventLog = events
        self.draining: bool = False
        self._log = HttpLog(settings.log_url, settings.host)
        appender = Appender(self._log, WriterId(f"{settings.vm_id}/{incarnation}"))
        self.traffic = TrafficCounter()
        self._peers = PeerPool(settings.host, self.traffic)
        self._engines = EngineClient(settings.host)
        quarantine = Quarantine()
        self.metrics = Metrics()
        self.environment = EnvironmentConfig(
            self._log,
            appender,
            settings.environment,
            settings.log_retention_ms,
            clock,
            events,
        )
        self.fleet = Fleet(
            settings,
            incarnation,
            HttpVmList(settings.vm_list_url, settings.host),
            self.environment,
            self._peers,
            clock,
            events,
        )
        self.poison = PoisonDetector(
            quarantine, self.fleet, self._engines, clock, events
        )
        self.leases = LeaseManager(
            settings, self._log, appender, self.fleet, clock, events
        )
        self.leases.on_quarantine_mark = self.poison.apply_mark
        self.poison.append_mark = self.leases.append_quarantine_mark
        self.limiter = RateLimiter(
            settings, self.leases, self.environment, self.fleet, clock
        )
        self.placer = ModelPlacer(
            self.leases, self.environment, self.fleet, self._engines, clock, events
        )
        self.admission = OnlineAdmission(
            self.fleet, settings.online_queue_per_team, clock
        )
        self.online = OnlineRequestHandler(
            self.environment,
            self.fleet,
            self.limiter,
            self.admission,
            self._engines,
            self.poison,
            self.metrics,
            clock,
            events,
        )
        self.jobs = JobStore(
            settings, self._log, appender, self.environment, self.fleet, clock, events
        )
        self.runner = BatchRunner(
            self.environment,
            self.fleet,
            self.jobs,
            self._engines,
            self.poison,
            clock,
            events,
        )
        self.admission.on_change = self.runner.wake
        self.fleet.on_online_load = self.runner.wake
        self._callers = Application(self._log_failure)
        self._admin = Application(self._log_failure)
        self._add_routes()
        self._caller_server = HttpServer(
            self._callers,
            settings.host,
            settings.caller_port,
            settings.caller_threads,
        )
        self._admin_server = HttpServer(
            self._admin, settings.host, settings.admin_port, ADMIN_THREADS
        )
        self._peer_server = PeerServer(
            settings.host, settings.peer_port, self._handle_message, self.traffic
        )
        self._tickers = [
            Ticker("pump", DISPATCH_INTERVAL_S, self.admission.dispatch_all, events),
            Ticker(
                "housekeeping", HOUSEKEEPING_INTERVAL_S, self._do_housekeeping, events
            ),
        ]

    @property
    def ports(self) -> dict[str, int]:
        """The ports that this daemon listens on, by setting."""
        return {
            "caller_port": self._caller_server.port,
            "peer_port": self._peer_server.port,
            "admin_port": self._admin_server.port,
        }

    def start(self) -> None:
        """Start all components; callers are served last."""
        self._peer_server.start()
        self.environment.start()
        self.fleet.start()
        self.leases.start()
        self.jobs.start()
        self.runner.start()
        self.placer.start()
        for ticker in self._tickers:
            ticker.start()
        self._admin_server.start()
        self._caller_server.start()
        self.events.write(
            Event.DAEMON_STARTED,
            zone=self.settings.availability_zone,
            environment=self.settings.environment,
            **self.ports,
        )

    def drain(self, abort: threading.Event) -> bool:
        """Leave without interrupting requests: announce, hand over leases, wait.

        `abort` ends the wait early, as does the limit in the settings. Returns
        whether all requests had ended.
        """
        self.draining = True
        self._callers.closing = True
        self.events.write(Event.DAEMON_DRAINING)
        deadline_s = self.clock.now_s() + self.settings.drain_limit_ms / 1000
        self.runner.drain()
        self.jobs.hand_over_all()
        self.fleet.announce_leave()
        self.leases.hand_over_all()
        abort.wait(self.settings.drain_announce_ms / 1000)
        while self._callers.count_active() or self.runner.running_count():
            if abort.is_set() or self.clock.now_s() >= deadline_s:
                active_requests = self._callers.count_active()
                self.events.write(
                    Event.DAEMON_STOP_FORCED, requests_cut=active_requests
                )
                return False
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return True

    def close(self) -> None:
        """Stop all components."""
        self._caller_server.close()
        self._admin_server.close()
        components = (self.placer, self.runner, self.jobs, self.leases, self.fleet)
        for component in (*self._tickers, *components):
            component.close()
        self.environment.close()
        self._peer_server.close()
        self._peers.close()
        self._engines.close()
        self._log.close()
        self.events.write(Event.DAEMON_STOPPED)

    def thread_stacks(self) -> dict[str, list[str]]:
        """Return the stack of each thread, for debugging."""
        names = {t.ident: t.name for t in threading.enumerate()}
        return {
            f"{names.get(ident, '?')}-{ident}": traceback.format_stack(frame)
            for ident, frame in sys._current_frames().items()
        }

    def _handle_message(self, message: Message) -> Message:
        """Handle another daemon's message and return the reply."""
        handler = self._PEER_HANDLERS.get(type(message))
        if handler is None:
            return ErrorReply(f"{type(message).__name__} is not answered here")
        return handler(self, message)

    def _handle_quarantine_notice(self, notice: QuarantineNotice) -> Ack:
        self.poison.handle_notice(notice)
        return Ack()

    def _handle_hand_over(self, message: HandOver) -> Ack:
        if message.resource.startswith("jobs-"):
            return self.jobs.handle_hand_over(message)
        return self.leases.handle_hand_over(message)

    _PEER_HANDLERS = {
        Probe: lambda self, m: self.fleet.handle_probe(m),
        FetchConfig: lambda self, m: self.fleet.handle_fetch_config(m),
        OnlineLoad: lambda self, m: self.fleet.handle_online_load(m),
        TakeToken: lambda self, m: self.limiter.handle_take_token(m),
        FetchLeases: lambda self, m: self.leases.handle_fetch_leases(m),
        AskPromises: lambda self, m: self.leases.handle_ask_promises(m),
        HandOver: _handle_hand_over,
        QuarantineNotice: _handle_quarantine_notice,
        PullItems: lambda self, m: self.jobs.handle_pull_items(m),
        ReportItems: lambda self, m: self.jobs.handle_report_items(m),
        RenewItems: lambda self, m: self.jobs.handle_renew_items(m),
        QueryJob: lambda self, m: self.jobs.handle_query_job(m),
        QueryResults: lambda self, m: self.jobs.handle_query_results(m),
        ExplainItem: lambda self, m: self.jobs.handle_explain_item(m),
    }

    def _add_routes(self) -> None:
        access = AccessControl(self.settings, self.environment, self.fleet, self.clock)
        chat = ChatHandlers(self.settings, access, self.online, self.clock)
        batches = BatchHandlers(self.settings, access, self.jobs, self.clock)
        admin = AdminHandlers(self)
        job = r"(?P<job>batch_[0-9a-f]{16})"
        add = self._callers.add
        add("GET", "/v1/models", chat.models)
        add("POST", "/v1/chat/completions", chat.chat)
        add("POST", "/v1/files", batches.upload)
        add(
            "GET",
            r"/v1/files/output-(?P<job>[0-9a-f]{16})/content",
            batches.content,
        )
        add("POST", "/v1/batches", batches.create)
        add("GET", f"/v1/batches/{job}", batches.retrieve)
        add("POST", f"/v1/batches/{job}/cancel", batches.cancel)
        add("*", r"/services/(?P<route>[\w.-]+)(/(?P<path>.*))?", chat.service)
        for app in (self._admin, self._callers):
            app.add("GET", "/ready", admin.ready)
        self._admin.add("GET", "/status", admin.status)
        self._admin.add("GET", "/metrics", admin.metrics)
        self._admin.add("GET", rf"/explain/{job}/(?P<index>\d+)", admin.explain)
        self._admin.add("GET", "/threads", admin.threads)

    def _do_housekeeping(self) -> None:
        if self.fleet.preferred("config-checkpoint")[:1] == [self.fleet.me]:
            self.environment.checkpoint_if_due()
        self.poison.tick()

    def _log_failure(self, exc: Exception) -> None:
        # The message may contain parts of a request, so only the location is logged.
        frames = traceback.extract_tb(exc.__traceback__)
        location = f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}"
        self.events.write(
            Event.THREAD_FAILED, task="request", error=type(exc).__name__, at=location
        )


def run(settings: str) -> None:
    """Run a daemon.

    Args:
        settings: path of the settings file, JSON with comments.
    """
    try:
        loaded = load_settings(settings)
    except RequestError as exc:
        sys.exit(f"apricotquayd: {exc.message}")
    faulthandler.enable()
    events = open_event_log(loaded.vm_id, loaded.trace)
    library_logs = LibraryLogs(events)
    library_logs.start()
    daemon = Daemon(loaded, SystemClock(), events)
    stop = threading.Event()
    abort = threading.Event()

    def on_signal(signum: int, frame: object) -> None:
        if stop.is_set():
            abort.set()
        stop.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon.start()
    stop.wait()
    if daemon.drain(abort):
        daemon.close()
        library_logs.close()
        return
    events.write(Event.DAEMON_STOPPED)
    sys.stderr.flush()
    # The HTTP library's threads would keep the process alive until the requests
    # that were just abandoned had ended by themselves.
    os._exit(0)


def main() -> None:
    """Entry point of `apricotquayd`."""
    fire.Fire(run, name="apricotquayd")


if __name__ == "__main__":
    main()
