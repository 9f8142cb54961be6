"""Runs batch items in the threaded daemon, on the endpoints assigned to it."""

import math
import threading

from .allowance import BatchAllowance
from .clocks import Clock
from .engineclient import EngineClient
from .environment import EnvironmentConfig
from .errors import PeerUnavailableError
from .events import Event, EventLog
from .execution import (
    ItemExecutor,
    PausedError,
    RunningItem,
    StoppedError,
    error_line,
    item_report,
)
from .fleet import Fleet
from .ids import EndpointId, JobId, MemberId
from .jobstore import JobStore
from .loadexchange import LoadExchange, runner_resource
from .membership import VmEntry
from .messages import (
    ItemReport,
    PulledItems,
    PullItems,
    RenewItems,
    ReportItems,
    StopItems,
    WorkItem,
)
from .poison import PoisonDetector
from .tasks import Ticker, WorkerPool

TICK_INTERVAL_S = 0.05
RENEW_INTERVAL_S = 1.0
LOAD_POLL_INTERVAL_S = 1.0
PULL_DELAY_S = 0.1
MAX_PULL_DELAY_S = 1.0
MEMBERS_PER_PULL = 8
PREFETCH_SHARE = 0.25
MAX_THREADS = 160
CALL_THREADS = 16
CALL_TIMEOUT_S = 3.0


class EndpointBatch:
    """The batch items of one endpoint on this daemon. Used by `BatchRunner`."""

    def __init__(self, entry: VmEntry) -> None:
        self.entry: VmEntry = entry
        self.target: str = entry.serves
        self.allowance = BatchAllowance()
        self.running: list[RunningItem] = []
        self.paused: list[RunningItem] = []
        self.pulling: bool = False
        self.closed: bool = False
        self.pull_after_s: float = 0.0
        self.pull_delay_s: float = PULL_DELAY_S
        self.last_source: MemberId | None = None


class BatchRunner:
    """Keeps each endpoint's batch work within its spare capacity.

    The daemon that an endpoint's id hashes to is its batch runner. Two daemons that
    both run an endpoint's batch for a while only share the work, since the holder
    of an item's partition decides who runs it.
    """

    def __init__(
        self,
        environment: EnvironmentConfig,
        fleet: Fleet,
        jobs: JobStore,
        engines: EngineClient,
        poison: PoisonDetector,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._fleet: Fleet = fleet
        self._jobs: JobStore = jobs
        self._engines: EngineClient = engines
        self._clock: Clock = clock
        self._events: EventLog = events
        self._lock = threading.RLock()
        self._batches: dict[EndpointId, EndpointBatch] = {}
        self._own_endpoints_generation: tuple | None = None
        self._own_endpoint_ids: list[EndpointId] = []
        self._workers = WorkerPool("batch-item", MAX_THREADS, events)
        self._calls = WorkerPool("batch-call", CALL_THREADS, events)
        self._executor = ItemExecutor(environment, fleet, engines, poison, clock)
        self._loads = LoadExchange(fleet, engines, self._calls, clock)
        self._pull_position: int = 0
        self._ticker = Ticker("batch", TICK_INTERVAL_S, self._tick, events)
        self._tickers = [
            self._ticker,
            Ticker("batch-keep", RENEW_INTERVAL_S, self._renew, events),
            Ticker(
                "endpoint-load", LOAD_POLL_INTERVAL_S, self._poll_load_reports, events
            ),
        ]

    def start(self) -> None:
        """Start running items."""
        for ticker in self._tickers:
            ticker.start()

    def close(self) -> None:
        """Pause all items and stop."""
        for ticker in self._tickers:
            ticker.close()
        for batch in list(self._batches.values()):
            for running in [*batch.running, *batch.paused]:
                running.pause = True
        self._workers.close()
        self._calls.close()

    def wake(self) -> None:
        """Run the next tick at once, since the number of online requests changed."""
        self._ticker.wake()

    def drain(self) -> None:
        """Release the paused items and pause the running ones."""
        with self._lock:
            for batch in self._batches.values():
                batch.closed = True
                self._release_paused(batch)
                for running in batch.running:
                    running.pause = not running.is_service

    def running_count(self) -> int:
        """Return the number of items that run here."""
        with self._lock:
            return sum(len(batch.running) for batch in self._batches.values())

    def endpoint_status(self) -> dict[str, str]:
        """Return the state of each endpoint's batch work, for status pages."""
        with self._lock:
            return {
                str(endpoint_id): f"{len(batch.running)} running, "
                f"{len(batch.paused)} paused, {int(batch.allowance.allowed)} allowed"
                for endpoint_id, batch in self._batches.items()
            }

    def _tick(self) -> None:
        self._loads.report_online_counts()
        with self._fleet.lock:
            endpoints = [
                (e.id, e.entry, e.serves, e.slots, e.online)
                for e in map(self._fleet.endpoints.get, self._own_endpoints())
                if e is not None and not e.leaving
            ]
        for endpoint_id, entry, target, slots, online in endpoints:
            batch = self._batches.get(endpoint_id)
            if batch is None or batch.entry.port != entry.port:
                batch = EndpointBatch(entry)
                with self._lock:
                    self._batches[endpoint_id] = batch
            batch.target = target
            batch.closed = False
            total = online + self._fleet.online_elsewhere(endpoint_id)
            self._update_batch(batch, slots, total)
        self._drop_batches({endpoint_id for endpoint_id, *_ in endpoints})

    def _own_endpoints(self) -> list[EndpointId]:
        """Return the endpoints whose batch runner is this daemon.

        The list is cached until the members or the endpoints change.
        """
        table = self._fleet.endpoints
        leaving = self._fleet.leaving
        generation = (self._fleet.members.generation, table.generation, leaving)
        if generation != self._own_endpoints_generation:
            self._own_endpoints_generation = generation
            self._own_endpoint_ids = [
                e.id
                for e in table.all()
                if not leaving and not e.leaving and self._is_own_endpoint(e.id)
            ]
        return self._own_endpoint_ids

    def _poll_load_reports(self) -> None:
        self._loads.poll_load_reports(self._own_endpoints())

    def _is_own_endpoint(self, endpoint_id: EndpointId) -> bool:
        preferred = self._fleet.preferred(runner_resource(endpoint_id))
        return bool(preferred) and preferred[0] == self._fleet.me

    def _drop_batches(self, own: set[EndpointId]) -> None:
        with self._lock:
            for endpoint_id in [e for e in self._batches if e not in own]:
                batch = self._batches[endpoint_id]
                batch.closed = True
                self._release_paused(batch)
                for running in batch.running:
                    running.pause = not running.is_service
                if not batch.running:
                    del self._batches[endpoint_id]

    def _update_batch(self, batch: EndpointBatch, slots: int, online: int) -> None:
        now_s = self._clock.now_s()
        with self._lock:
            allowed = batch.allowance.update(slots, online, now_s)
            excess = len(batch.running) - allowed
            if excess > 0:
                self._pause(batch, excess)
                return
            self._start_paused(batch)
            room = allowed + self._prefetch_count(allowed) - len(batch.running)
            room -= len(batch.paused)
            if room <= 0 or batch.pulling or now_s < batch.pull_after_s:
                return
            batch.pulling = True
        self._calls.submit(self._pull, batch, room)

    @staticmethod
    def _prefetch_count(allowed: int) -> int:
        """Return how many items to prefetch, so that no slot waits for a pull."""
        return math.ceil(allowed * PREFETCH_SHARE)

    def _pause(self, batch: EndpointBatch, count: int) -> None:
        """Pause the newest items; they resume later from their partial responses."""
        pausable = [r for r in batch.running if not r.is_service and not r.pause]
        pausing = sum(1 for r in batch.running if r.pause)
        for running in pausable[::-1][: max(0, count - pausing)]:
            running.pause = True
            self._calls.submit(self._engines.cancel, batch.entry, running.request_id)
            self._events.write(
                Event.ITEM_PREEMPTED,
                job=running.item.job,
                index=running.item.index,
                tokens=running.tokens,
            )

    def _start_paused(self, batch: EndpointBatch) -> None:
        """Start paused and prefetched items while the allowance has room."""
        while batch.paused and len(batch.running) < int(batch.allowance.allowed):
            self._start(batch, batch.paused.pop(0))

    def _start(self, batch: EndpointBatch, running: RunningItem) -> None:
        running.pause = False
        batch.running.append(running)
        self._workers.submit(self._run, batch, running)

    def _pull(self, batch: EndpointBatch, room: int) -> None:
        """Ask members in rotation for items until the room is filled.

        The member that last had items is asked first. While no member has any, the
        delay between rounds grows, so that an idle fleet costs little.
        """
        found = 0
        try:
            for member in self._pull_order(batch):
                message = PullItems(self._fleet.me, batch.target, room - found)
                items = self._pull_from(member, message)
                if not items:
                    continue
                batch.last_source = member
                found += len(items)
                with self._lock:
                    batch.paused += [RunningItem(item, member) for item in items]
                    self._start_paused(batch)
                if found >= room:
                    break
        finally:
            doubled_s = min(MAX_PULL_DELAY_S, batch.pull_delay_s * 2)
            batch.pull_delay_s = PULL_DELAY_S if found else doubled_s
            delay_s = 0.0 if found >= room else batch.pull_delay_s
            batch.pull_after_s = self._clock.now_s() + delay_s
            batch.pulling = False

    def _pull_order(self, batch: EndpointBatch) -> list[MemberId]:
        members = self._fleet.preferred("pull")
        self._pull_position += MEMBERS_PER_PULL
        start = self._pull_position % max(1, len(members))
        asked = (members[start:] + members[:start])[:MEMBERS_PER_PULL]
        if batch.last_source in members:
            asked = [batch.last_source, *(m for m in asked if m != batch.last_source)]
        return asked

    def _pull_from(self, member: MemberId, message: PullItems) -> list[WorkItem]:
        if member == self._fleet.me:
            return self._jobs.handle_pull_items(message).items
        try:
            reply = self._fleet.call(member, message, CALL_TIMEOUT_S)
        except PeerUnavailableError:
            return []
        return reply.items if isinstance(reply, PulledItems) else []

    def _run(self, batch: EndpointBatch, running: RunningItem) -> None:
        endpoint_id = EndpointId(batch.entry.id)
        self._change_batch_count(endpoint_id, 1)
        report = None
        try:
            report = self._executor.run(batch.entry, running)
        except PausedError:
            with self._lock:
                batch.paused.insert(0, running)
        except StoppedError:
            pass
        except Exception as exc:
            self._events.write(
                Event.THREAD_FAILED, task="batch-item", error=repr(exc)[:300]
            )
            report = item_report(
                running, "", error_line(running, "internal", repr(exc))
            )
        finally:
            self._change_batch_count(endpoint_id, -1)
            with self._lock:
                batch.running.remove(running)
                if not batch.closed:
                    self._start_paused(batch)
            self.wake()
        if report is not None:
            self._report(running.holder, report)

    def _change_batch_count(self, endpoint_id: EndpointId, change: int) -> None:
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(endpoint_id)
            if endpoint is not None:
                endpoint.batch = max(0, endpoint.batch + change)

    def _report(self, holder: MemberId, report: ItemReport) -> None:
        message = ReportItems([report])
        if holder == self._fleet.me:
            self._jobs.handle_report_items(message)
            return
        try:
            self._fleet.call(holder, message, CALL_TIMEOUT_S)
        except PeerUnavailableError:
            # The item expires at its holder, which assigns it to another runner.
            return

    def _release_paused(self, batch: EndpointBatch) -> None:
        for running in batch.paused:
            report = item_report(running, "", b"", ran="not_run")
            self._calls.submit(self._report, running.holder, report)
        batch.paused.clear()

    def _renew(self) -> None:
        """Renew all items at their holders; stop those that a holder says to stop."""
        by_holder: dict[MemberId, list[RunningItem]] = {}
        with self._lock:
            for batch in self._batches.values():
                for running in [*batch.running, *batch.paused]:
                    by_holder.setdefault(running.holder, []).append(running)
        for holder, items in by_holder.items():
            self._calls.submit(self._renew_at, holder, items)

    def _renew_at(self, holder: MemberId, items: list[RunningItem]) -> None:
        message = RenewItems(
            self._fleet.me, [(r.item.resource, r.item.job, r.item.index) for r in items]
        )
        if holder == self._fleet.me:
            reply = self._jobs.handle_renew_items(message)
        else:
            try:
                reply = self._fleet.call(holder, message, CALL_TIMEOUT_S)
            except PeerUnavailableError:
                return
        if isinstance(reply, StopItems):
            self._stop_items({(job, index) for job, index in reply.items}, holder)

    def _stop_items(self, keys: set[tuple[JobId, int]], holder: MemberId) -> None:
        with self._lock:
            for batch in self._batches.values():
                batch.paused = [
                    r for r in batch.paused if r.key not in keys or r.holder != holder
                ]
                for running in batch.running:
                    if running.key in keys and running.holder == holder:
                        running.stop = True
                        self._calls.submit(
                            self._engines.cancel, batch.entry, running.request_id
                        )
