"""Runs batch items on the endpoints whose batch this daemon is in charge of."""

import contextlib
import math
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

import msgspec

from .clocks import Clock
from .document import Route, RouteKind
from .engineclient import Ending, EndpointError, EngineClient, Token
from .environment import Environment
from .errors import PeerUnavailableError, Ran
from .events import Event, EventLog
from .fleet import Fleet
from .follow import Ticker
from .ids import EndpointId, JobId, MemberId, RequestId
from .jobstore import JobStore
from .membership import VmEntry
from .messages import (
    EndpointLoads,
    ItemReport,
    KeepItems,
    OnlineLoad,
    PulledItems,
    PullItems,
    ReportItems,
    StopItems,
    WorkItem,
)
from .poison import PoisonWatch
from .quarantine import Standing, fingerprint_of
from .spare import BatchAllowance
from .submission import SERVICE_URL_PREFIX, ItemLine

TICK_S = 0.05
KEEP_S = 1.0
REPEAT_S = 0.5
LOAD_POLL_S = 0.25
PULL_PAUSE_S = 0.1
AHEAD_SHARE = 0.25
MAX_THREADS = 160
CALL_TIMEOUT_S = 3.0
SHORT_TIMEOUT_S = 0.5
DEFAULT_MAX_TOKENS = 64

_LINE_DECODER = msgspec.json.Decoder(ItemLine)


class PausedError(Exception):
    """The item was paused for online requests."""


class StoppedError(Exception):
    """The item was cancelled or is no longer this runner's."""


class RunningItem:
    """One item at this runner, running or paused."""

    def __init__(self, item: WorkItem, holder: MemberId) -> None:
        self.item: WorkItem = item
        self.holder: MemberId = holder
        self.text: str = item.text
        self.tokens: int = item.tokens
        self.request_id: RequestId = RequestId(f"item-{uuid.uuid4().hex}")
        self.pause: bool = False
        self.stop: bool = False
        self.is_service: bool = False

    @property
    def name(self) -> tuple[JobId, int]:
        """The job and the item's index."""
        return self.item.job, self.item.index


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
        poison: PoisonWatch,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._environment: Environment = environment
        self._fleet: Fleet = fleet
        self._jobs: JobStore = jobs
        self._engines: EngineClient = engines
        self._poison: PoisonWatch = poison
        self._clock: Clock = clock
        self._events: EventLog = events
        self._lock = threading.RLock()
        self._lanes: dict[EndpointId, Lane] = {}
        self._told: dict[EndpointId, int] = {}
        self._repeated_s: float = 0.0
        self._mine_at: tuple | None = None
        self._mine_ids: list[EndpointId] = []
        self._workers = ThreadPoolExecutor(MAX_THREADS, "batch-item")
        self._calls = ThreadPoolExecutor(16, "batch-call")
        self._next_member: int = 0
        self._ticker = Ticker("batch", TICK_S, self._tick, events)
        self._tickers = [
            self._ticker,
            Ticker("batch-keep", KEEP_S, self._keep, events),
            Ticker("endpoint-load", LOAD_POLL_S, self._poll_loads, events),
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
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._calls.shutdown(wait=False, cancel_futures=True)

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

    def lanes(self) -> dict[str, str]:
        """Return the state of each endpoint's batch, for status pages."""
        with self._lock:
            return {
                str(endpoint_id): f"{len(lane.running)} running, "
                f"{len(lane.paused)} paused, {int(lane.allowance.allowed)} allowed"
                for endpoint_id, lane in self._lanes.items()
            }

    def _tick(self) -> None:
        self._tell_online_load()
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

    def _is_mine(self, endpoint_id: EndpointId) -> bool:
        preferred = self._fleet.preferred(f"batch-{endpoint_id}")
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
        """Ask the members in turn for items until the room is filled."""
        try:
            members = self._members_in_turn()
            for member in members:
                message = PullItems(self._fleet.me, lane.target, room)
                items = self._pull_from(member, message)
                with self._lock:
                    lane.paused += [RunningItem(item, member) for item in items]
                    self._fill(lane)
                room -= len(items)
                if room <= 0:
                    return
            lane.pull_after_s = self._clock.now_s() + PULL_PAUSE_S
        finally:
            lane.pulling = False

    def _members_in_turn(self) -> list[MemberId]:
        members = self._fleet.preferred("pull")
        self._next_member += 1
        turn = self._next_member % max(1, len(members))
        return members[turn:] + members[:turn]

    def _pull_from(self, member: MemberId, message: PullItems) -> list[WorkItem]:
        if member == self._fleet.me:
            return self._jobs.answer_pull(message).items
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
            report = self._run_once(lane.entry, running)
        except PausedError:
            with self._lock:
                lane.paused.insert(0, running)
        except StoppedError:
            pass
        except Exception as exc:
            self._events.write(
                Event.THREAD_FAILED, task="batch-item", error=repr(exc)[:300]
            )
            report = _report(running, "", _error_line(running, "internal", repr(exc)))
        finally:
            self._count(endpoint_id, -1)
            with self._lock:
                lane.running.remove(running)
                if not lane.closed:
                    self._fill(lane)
            self.wake()
        if report is not None:
            self._report(running.holder, report)

    def _run_once(self, entry: VmEntry, running: RunningItem) -> ItemReport:
        line = _LINE_DECODER.decode(running.item.line)
        route = self._route_of(line)
        if route is None:
            return _report(
                running, "failed", _error_line(running, "route_unknown", "no route")
            )
        fingerprint = fingerprint_of(msgspec.json.encode(line.body, order="sorted"))
        if self._poison.standing(fingerprint) is Standing.QUARANTINED:
            body = _error_line(
                running, "request_quarantined", "this request made endpoints fail"
            )
            return _report(running, "failed", body)
        if route.kind is RouteKind.SERVICE:
            return self._run_service(entry, running, line, route)
        with self._alone_if_suspect(entry, fingerprint) as may_run:
            if not may_run:
                return _report(running, "", b"", ran="not_run")
            return self._run_chat(entry, running, line, route, fingerprint)

    def _run_chat(
        self,
        entry: VmEntry,
        running: RunningItem,
        line: ItemLine,
        route: Route,
        fingerprint: str,
    ) -> ItemReport:
        running.request_id = RequestId(f"item-{uuid.uuid4().hex}")
        body = {"max_tokens": DEFAULT_MAX_TOKENS, **line.body}
        stream = self._engines.stream(
            entry, running.request_id, route.target, body, running.tokens
        )
        try:
            with self._poison.running(EndpointId(entry.id), fingerprint):
                ending = self._consume(stream, running)
        except EndpointError as exc:
            return self._chat_failed(entry, running, fingerprint, exc)
        finally:
            stream.close()
        self._poison.clear(fingerprint)
        return _report(running, "succeeded", _chat_line(running, line, route, ending))

    def _consume(self, stream, running: RunningItem) -> Ending:
        for part in stream:
            if running.stop:
                raise StoppedError
            if isinstance(part, Ending):
                return part
            if isinstance(part, Token):
                running.text += part.text
                running.tokens += 1
            if running.pause:
                raise PausedError
        raise EndpointError("the answer ended early", Ran.RAN, broken=True)

    def _chat_failed(
        self,
        entry: VmEntry,
        running: RunningItem,
        fingerprint: str,
        exc: EndpointError,
    ) -> ItemReport:
        """Give the item back; only failures that may be its own are counted."""
        if running.stop:
            raise StoppedError
        if running.pause:
            raise PausedError
        died = False
        if exc.ran is not Ran.NOT_RUN:
            died = self._poison.check_death(entry, fingerprint)
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(EndpointId(entry.id))
            if endpoint is not None:
                self._fleet.endpoints.see_failure(
                    endpoint, self._clock.now_s(), exc.refused or died
                )
        ran = "not_run" if exc.ran is Ran.NOT_RUN and exc.status != 400 else "failed"
        if died:
            # Whether the item is at fault is the quarantine's to say.
            ran = "unknown"
        return _report(
            running, "", _error_line(running, "endpoint_failed", str(exc)), ran=ran
        )

    @contextlib.contextmanager
    def _alone_if_suspect(self, entry: VmEntry, fingerprint: str):
        """Let a suspect run only where no other suspect runs."""
        if self._poison.standing(fingerprint) is not Standing.SUSPECT:
            yield True
            return
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(EndpointId(entry.id))
            may_run = endpoint is not None and not endpoint.suspects
            if may_run:
                endpoint.suspects.add(fingerprint)
        try:
            yield may_run
        finally:
            if may_run:
                with self._fleet.lock:
                    endpoint.suspects.discard(fingerprint)

    def _run_service(
        self, entry: VmEntry, running: RunningItem, line: ItemLine, route: Route
    ) -> ItemReport:
        running.is_service = True
        if running.stop:
            raise StoppedError
        path = "/" + line.url.removeprefix(SERVICE_URL_PREFIX).partition("/")[2]
        try:
            answer = self._engines.call_service(
                entry,
                running.request_id,
                "POST",
                path,
                {"content-type": "application/json"},
                msgspec.json.encode(line.body),
            )
        except EndpointError as exc:
            ran = exc.ran.value
            if route.idempotent and exc.ran is not Ran.NOT_RUN:
                ran = "failed"
            body = _error_line(running, "endpoint_failed", str(exc))
            return _report(running, "", body, ran=ran)
        text = answer.body.decode(errors="replace")
        response = {"status_code": answer.status, "body": text}
        outcome = "succeeded" if answer.status < 400 else "failed"
        return _report(running, outcome, _line(running, line.custom_id, response))

    def _route_of(self, line: ItemLine) -> Route | None:
        current = self._environment.current
        if current is None:
            return None
        if line.url.startswith(SERVICE_URL_PREFIX):
            return current.document.routes.get(line.url.split("/")[2])
        return current.document.routes.get(line.body.get("model", ""))

    def _count(self, endpoint_id: EndpointId, change: int) -> None:
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(endpoint_id)
            if endpoint is not None:
                endpoint.batch = max(0, endpoint.batch + change)

    def _report(self, holder: MemberId, report: ItemReport) -> None:
        message = ReportItems([report])
        if holder == self._fleet.me:
            self._jobs.answer_report(message)
            return
        try:
            self._fleet.call(holder, message, CALL_TIMEOUT_S)
        except PeerUnavailableError:
            # The holder lets the item expire and gives it to another runner.
            return

    def _give_back_paused(self, lane: Lane) -> None:
        for running in lane.paused:
            report = _report(running, "", b"", ran="not_run")
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
        message = KeepItems(
            self._fleet.me, [(r.item.resource, r.item.job, r.item.index) for r in items]
        )
        if holder == self._fleet.me:
            reply = self._jobs.answer_keep(message)
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

    def _tell_online_load(self) -> None:
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
            order = self._fleet.preferred(f"batch-{endpoint_id}")
            if order:
                by_member.setdefault(order[0], {})[endpoint_id] = count
        for member, changed in by_member.items():
            self._calls.submit(self._tell, member, changed)

    def _tell(self, member: MemberId, counts: dict[str, int]) -> None:
        message = OnlineLoad(self._fleet.me, counts)
        try:
            if member == self._fleet.me:
                reply = self._fleet.take_online_load(message)
            else:
                reply = self._fleet.call(member, message, SHORT_TIMEOUT_S)
        except PeerUnavailableError:
            # Probes carry the same counts.
            return
        if not isinstance(reply, EndpointLoads):
            return
        now_s = self._clock.now_s()
        with self._fleet.lock:
            for endpoint_id, total in reply.totals.items():
                self._fleet.endpoints.see_total(
                    endpoint_id, total, counts[endpoint_id], now_s
                )

    def _poll_loads(self) -> None:
        """Fetch the load reports of the endpoints that this daemon uses."""
        with self._fleet.lock:
            targets = {e.serves for e in self._fleet.endpoints.all()}
            used = [e for t in targets for e in self._fleet.endpoints.subset(t)]
            used += [e for e in map(self._fleet.endpoints.get, self._mine()) if e]
            entries = {e.id: e.entry for e in used}
        for endpoint_id, entry in entries.items():
            self._calls.submit(self._poll_load, endpoint_id, entry)

    def _poll_load(self, endpoint_id: EndpointId, entry: VmEntry) -> None:
        try:
            report = self._engines.load(entry)
        except EndpointError:
            return
        with self._fleet.lock:
            self._fleet.endpoints.see_report(endpoint_id, report.slots, report.model)


def _report(
    running: RunningItem, outcome: str, body: bytes, ran: str = "ran"
) -> ItemReport:
    item = running.item
    return ItemReport(
        item.resource,
        item.claim,
        item.job,
        item.index,
        item.attempt,
        outcome,
        body,
        running.text,
        running.tokens,
        ran,
    )


def _line(running: RunningItem, custom_id: str, response: dict) -> bytes:
    value = {
        "id": f"{running.item.job}-{running.item.index}",
        "custom_id": custom_id,
        "response": {"request_id": running.request_id, **response},
        "error": None,
    }
    return msgspec.json.encode(value)


def _chat_line(
    running: RunningItem, line: ItemLine, route: Route, ending: Ending
) -> bytes:
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": running.text},
        "finish_reason": ending.finish_reason,
    }
    usage = {
        "prompt_tokens": ending.prompt_tokens,
        "completion_tokens": running.tokens,
        "total_tokens": ending.prompt_tokens + running.tokens,
    }
    body = {
        "id": running.request_id,
        "object": "chat.completion",
        "model": line.body["model"],
        "choices": [choice],
        "usage": usage,
    }
    return _line(running, line.custom_id, {"status_code": 200, "body": body})


def _error_line(running: RunningItem, code: str, message: str) -> bytes:
    try:
        custom_id = _LINE_DECODER.decode(running.item.line).custom_id
    except msgspec.DecodeError:
        custom_id = ""
    value = {
        "id": f"{running.item.job}-{running.item.index}",
        "custom_id": custom_id,
        "response": None,
        "error": {"code": code, "message": message},
    }
    return msgspec.json.encode(value)
