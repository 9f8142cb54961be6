"""Runs batch items on the endpoints whose batch this daemon is in charge of."""

import math
import threading

from .allowance import BatchAllowance
from .clocks import Clock
from .engineclient import EngineClient
from .environment import Environment
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

TICK_S = 0.05
KEEP_S = 1.0
LOAD_POLL_S = 1.0
PULL_PAUSE_S = 0.1
MAX_PULL_PAUSE_S = 1.0
PULL_ASKED = 8
AHEAD_SHARE = 0.25
MAX_THREADS = 160
CALL_THREADS = 16
CALL_TIMEOUT_S = 3.0


class Lane:
    """The batch of one endpoint at this daemon."""

    def __init__(self, entry: VmEntry) -> None:
        self.entry: VmEntry = entry
        self.target: str = entry.serves
        self.allowance = BatchAllowance()
        self.running: list[RunningItem] = []
        self.paused: list[RunningItem] = []
        self.pulling: bool = False
        self.closed: bool = False
        self.pull_after_s: float = 0.0
        self.pull_pause_s: float = PULL_PAUSE_S
        self.last_source: MemberId | None = None


class BatchRunner:
    """Keeps each endpoint's batch within its spare capacity.

    The daemon that an endpoint's id hashes to is in charge of it. Two daemons
    that both think so for a while only share the work, since the holder of an
    item's partition decides who runs it.
    """

    def __init__(
        self,
        environment: Environment,
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
        self._lanes: dict[EndpointId, Lane] = {}
        self._mine_at: tuple | None = None
        self._mine_ids: list[EndpointId] = []
        self._workers = WorkerPool("batch-item", MAX_THREADS, events)
        self._calls = WorkerPool("batch-call", CALL_THREADS, events)
        self._executor = ItemExecutor(environment, fleet, engines, poison, clock)
        self._loads = LoadExchange(fleet, engines, self._calls, clock)
        self._next_member: int = 0
        self._ticker = Ticker("batch", TICK_S, self._tick, events)
        self._tickers = [
            self._ticker,
            Ticker("batch-keep", KEEP_S, self._keep, events),
            Ticker("endpoint-load", LOAD_POLL_S, self._poll_reports, events),
        ]

    def start(self) -> None:
        """Start to run items."""
        for ticker in self._tickers:
            ticker.start()

    def close(self) -> None:
        """Give all items back and stop."""
        for ticker in self._tickers:
            ticker.close()
        for lane in list(self._lanes.values()):
            for running in [*lane.running, *lane.paused]:
                running.pause = True
        self._workers.close()
        self._calls.close()

    def wake(self) -> None:
        """Look again at once, since online requests came or went."""
        self._ticker.wake()

    def drain(self) -> None:
        """Give back everything that waits and pause what runs."""
        with self._lock:
            for lane in self._lanes.values():
                lane.closed = True
                self._give_back_paused(lane)
                for running in lane.running:
                    running.pause = not running.is_service

    def running_count(self) -> int:
        """Return how many items run here."""
        with self._lock:
            return sum(len(lane.running) for lane in self._lanes.values())

    def endpoint_status(self) -> dict[str, str]:
        """Return the state of each endpoint's batch, for status pages."""
        with self._lock:
            return {
                str(endpoint_id): f"{len(lane.running)} running, "
                f"{len(lane.paused)} paused, {int(lane.allowance.allowed)} allowed"
                for endpoint_id, lane in self._lanes.items()
            }

    def _tick(self) -> None:
        self._loads.report_online_counts()
        with self._fleet.lock:
            endpoints = [
                (e.id, e.entry, e.serves, e.slots, e.online)
                for e in map(self._fleet.endpoints.get, self._mine())
                if e is not None and not e.leaving
            ]
        for endpoint_id, entry, target, slots, online in endpoints:
            lane = self._lanes.get(endpoint_id)
            if lane is None or lane.entry.port != entry.port:
                lane = Lane(entry)
                with self._lock:
                    self._lanes[endpoint_id] = lane
            lane.target = target
            lane.closed = False
            total = online + self._fleet.online_elsewhere(endpoint_id)
            self._tend(lane, slots, total)
        self._drop_lanes({endpoint_id for endpoint_id, *_ in endpoints})

    def _mine(self) -> list[EndpointId]:
        """Return the endpoints in this daemon's charge, worked out on change."""
        table = self._fleet.endpoints
        leaving = self._fleet.leaving
        generation = (self._fleet.members.generation, table.generation, leaving)
        if generation != self._mine_at:
            self._mine_at = generation
            self._mine_ids = [
                e.id
                for e in table.all()
                if not leaving and not e.leaving and self._is_mine(e.id)
            ]
        return self._mine_ids

    def _poll_reports(self) -> None:
        self._loads.poll_load_reports(self._mine())

    def _is_mine(self, endpoint_id: EndpointId) -> bool:
        preferred = self._fleet.preferred(runner_resource(endpoint_id))
        return bool(preferred) and preferred[0] == self._fleet.me

    def _drop_lanes(self, mine: set[EndpointId]) -> None:
        with self._lock:
            for endpoint_id in [e for e in self._lanes if e not in mine]:
                lane = self._lanes[endpoint_id]
                lane.closed = True
                self._give_back_paused(lane)
                for running in lane.running:
                    running.pause = not running.is_service
                if not lane.running:
                    del self._lanes[endpoint_id]

    def _tend(self, lane: Lane, slots: int, online: int) -> None:
        now_s = self._clock.now_s()
        with self._lock:
            allowed = lane.allowance.update(slots, online, now_s)
            excess = len(lane.running) - allowed
            if excess > 0:
                self._pause(lane, excess)
                return
            self._fill(lane)
            room = allowed + self._ahead(allowed) - len(lane.running)
            room -= len(lane.paused)
            if room <= 0 or lane.pulling or now_s < lane.pull_after_s:
                return
            lane.pulling = True
        self._calls.submit(self._pull, lane, room)

    @staticmethod
    def _ahead(allowed: int) -> int:
        """Return how many items to keep at hand, so that no slot waits for a pull."""
        return math.ceil(allowed * AHEAD_SHARE)

    def _pause(self, lane: Lane, count: int) -> None:
        """Stop the newest items; what they got is kept and they go on later."""
        able = [r for r in lane.running if not r.is_service and not r.pause]
        already = sum(1 for r in lane.running if r.pause)
        for running in able[::-1][: max(0, count - already)]:
            running.pause = True
            self._calls.submit(self._engines.cancel, lane.entry, running.request_id)
            self._events.write(
                Event.ITEM_PREEMPTED,
                job=running.item.job,
                index=running.item.index,
                tokens=running.tokens,
            )

    def _fill(self, lane: Lane) -> None:
        """Launch items at hand while the allowance has room."""
        while lane.paused and len(lane.running) < int(lane.allowance.allowed):
            self._launch(lane, lane.paused.pop(0))

    def _launch(self, lane: Lane, running: RunningItem) -> None:
        running.pause = False
        lane.running.append(running)
        self._workers.submit(self._run, lane, running)

    def _pull(self, lane: Lane, room: int) -> None:
        """Ask members in turn for items until the room is filled.

        The one that had items last is asked first. While nobody has any, the
        rounds get rarer, since idle fleets should cost little.
        """
        found = 0
        try:
            for member in self._members_in_turn(lane):
                message = PullItems(self._fleet.me, lane.target, room - found)
                items = self._pull_from(member, message)
                if not items:
                    continue
                lane.last_source = member
                found += len(items)
                with self._lock:
                    lane.paused += [RunningItem(item, member) for item in items]
                    self._fill(lane)
                if found >= room:
                    break
        finally:
            longer_s = min(MAX_PULL_PAUSE_S, lane.pull_pause_s * 2)
            lane.pull_pause_s = PULL_PAUSE_S if found else longer_s
            pause_s = 0.0 if found >= room else lane.pull_pause_s
            lane.pull_after_s = self._clock.now_s() + pause_s
            lane.pulling = False

    def _members_in_turn(self, lane: Lane) -> list[MemberId]:
        members = self._fleet.preferred("pull")
        self._next_member += PULL_ASKED
        turn = self._next_member % max(1, len(members))
        asked = (members[turn:] + members[:turn])[:PULL_ASKED]
        if lane.last_source in members:
            asked = [lane.last_source, *(m for m in asked if m != lane.last_source)]
        return asked

    def _pull_from(self, member: MemberId, message: PullItems) -> list[WorkItem]:
        if member == self._fleet.me:
            return self._jobs.handle_pull_items(message).items
        try:
            reply = self._fleet.call(member, message, CALL_TIMEOUT_S)
        except PeerUnavailableError:
            return []
        return reply.items if isinstance(reply, PulledItems) else []

    def _run(self, lane: Lane, running: RunningItem) -> None:
        endpoint_id = EndpointId(lane.entry.id)
        self._count(endpoint_id, 1)
        report = None
        try:
            report = self._executor.run(lane.entry, running)
        except PausedError:
            with self._lock:
                lane.paused.insert(0, running)
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
            self._count(endpoint_id, -1)
            with self._lock:
                lane.running.remove(running)
                if not lane.closed:
                    self._fill(lane)
            self.wake()
        if report is not None:
            self._report(running.holder, report)

    def _count(self, endpoint_id: EndpointId, change: int) -> None:
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
            # The holder lets the item expire and gives it to another runner.
            return

    def _give_back_paused(self, lane: Lane) -> None:
        for running in lane.paused:
            report = item_report(running, "", b"", ran="not_run")
            self._calls.submit(self._report, running.holder, report)
        lane.paused.clear()

    def _keep(self) -> None:
        """Renew all items at their holders and stop those that must stop."""
        by_holder: dict[MemberId, list[RunningItem]] = {}
        with self._lock:
            for lane in self._lanes.values():
                for running in [*lane.running, *lane.paused]:
                    by_holder.setdefault(running.holder, []).append(running)
        for holder, items in by_holder.items():
            self._calls.submit(self._keep_at, holder, items)

    def _keep_at(self, holder: MemberId, items: list[RunningItem]) -> None:
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
            self._stop({(job, index) for job, index in reply.items}, holder)

    def _stop(self, names: set[tuple[JobId, int]], holder: MemberId) -> None:
        with self._lock:
            for lane in self._lanes.values():
                lane.paused = [
                    r for r in lane.paused if r.name not in names or r.holder != holder
                ]
                for running in lane.running:
                    if running.name in names and running.holder == holder:
                        running.stop = True
                        self._calls.submit(
                            self._engines.cancel, lane.entry, running.request_id
                        )
