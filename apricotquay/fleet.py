"""The threaded daemon's view of its fleet: VM list, probes, configuration."""

import random
import threading
from collections.abc import Callable

from .clocks import Clock
from .environment import EnvironmentConfig
from .errors import PeerUnavailableError
from .events import Event, EventLog
from .freshness import Freshness, PeerView, assess_view
from .ids import Incarnation, MemberId
from .membership import Member, MemberState, MemberView, VmEntry
from .messages import (
    ConfigReply,
    EndpointLoads,
    FetchConfig,
    MemberStatus,
    Message,
    OnlineLoad,
    Probe,
    ProbeReply,
)
from .peers import PeerPool
from .routing import EndpointTable
from .settings import Settings
from .tasks import Ticker, WorkerPool
from .vmlist import VmList, VmListUnavailableError

VM_LIST_INTERVAL_S = 0.4
PROBES_PER_ROUND = 3
PROBE_TIMEOUT_S = 0.6
PROBE_THREADS = 12
FETCH_TIMEOUT_S = 2.0
MAX_VIEW_AGE_MS = 2**31
CUT_OFF_AFTER_S = 4.0
FRESHNESS_CACHE_S = 0.1


class Fleet:
    """The other members and the endpoints. Used by all components of the daemon.

    `lock` guards the member view and the endpoint table, which are pure.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        vm_list: VmList,
        environment: EnvironmentConfig,
        peers: PeerPool,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.me: MemberId = MemberId(settings.vm_id)
        self.incarnation: Incarnation = incarnation
        self.lock = threading.RLock()
        self.members = MemberView(self.me, settings.suspect_after_ms / 1000)
        self.endpoints = EndpointTable(
            self.me, settings.availability_zone, settings.endpoint_subset
        )
        self.leaving: bool = False
        # Called when another member has reported its online requests.
        self.on_online_load: Callable[[], None] = lambda: None
        self._settings: Settings = settings
        self._vm_list: VmList = vm_list
        self._environment: EnvironmentConfig = environment
        self._peers: PeerPool = peers
        self._clock: Clock = clock
        self._events: EventLog = events
        self._rng = random.Random(incarnation)
        self._was_usable: bool = True
        self._cut_off: frozenset[MemberId] = frozenset()
        self._assessed: tuple[float, Freshness] = (float("-inf"), Freshness.STALE)
        self._workers = WorkerPool("probe", PROBE_THREADS, events)
        self._tickers = [
            Ticker("vm-list", VM_LIST_INTERVAL_S, self.poll_vm_list, events),
            Ticker("probe", settings.probe_interval_ms / 1000, self._probe, events),
        ]

    def start(self) -> None:
        """Fetch the VM list once and start the background tasks."""
        self.poll_vm_list()
        for ticker in self._tickers:
            ticker.start()

    def close(self) -> None:
        """Stop the background tasks."""
        for ticker in self._tickers:
            ticker.close()
        self._workers.close()

    def poll_vm_list(self) -> None:
        """Fetch and apply the VM list; keep the last one if it is unavailable."""
        try:
            entries = self._vm_list.fetch()
        except VmListUnavailableError:
            return
        with self.lock:
            joined = self.members.apply_vm_list(entries, self._clock.now_s())
            self._sync_endpoints(entries)
            addresses = {
                MemberId(e.id): (e.host, e.port) for e in entries if e.kind == "entry"
            }
        self._peers.set_addresses(addresses)
        for member in joined:
            self._events.write(Event.MEMBER_JOINED, member=member)

    def preferred(self, resource: str) -> list[MemberId]:
        """Return the eligible members in a resource's order of preference."""
        with self.lock:
            return self.members.preferred(resource, self.leaving)

    def preferred_with_log_access(self, resource: str) -> list[MemberId]:
        """Return the preferred members that have read the log recently.

        A member that is cut off from the log cannot do work that is stored in it.
        If no member reaches the log, all are returned.
        """
        order = self.preferred(resource)
        cut_off = self._cut_off
        if not cut_off:
            return order
        connected = [m for m in order if m not in cut_off]
        return connected or order

    def is_cut_off(self, member: MemberId) -> bool:
        """Return whether a member was cut off from the log at its last probe."""
        return member in self._cut_off

    def state_of(self, member: MemberId) -> MemberState:
        """Return a member's state; this daemon counts as alive."""
        if member == self.me:
            return MemberState.ALIVE
        with self.lock:
            return self.members.state_of(member)

    def has_process_ended(self, member: MemberId, incarnation: Incarnation) -> bool:
        """Return whether a process is known to have ended."""
        if member == self.me:
            return incarnation != self.incarnation
        with self.lock:
            known = self.members.get(member)
            if known is None:
                return False
            if known.state == MemberState.GONE.value:
                return True
            return known.incarnation not in ("", incarnation)

    def freshness(self) -> Freshness:
        """Assess this daemon's view of the configuration.

        A usable result is cached for a tenth of a second.
        """
        now_s = self._clock.now_s()
        assessed_s, known = self._assessed
        if known.is_usable and now_s - assessed_s < FRESHNESS_CACHE_S:
            return known
        with self.lock:
            neighbours = [
                self.members.get(m)
                for m in self.members.neighbours()
                if self.members.state_of(m) is not MemberState.GONE
            ]
        views = [self._peer_view(member, now_s) for member in neighbours]
        freshness = assess_view(
            self._environment.log_age_s(),
            self._environment.version,
            views,
            len(views),
            self._settings.view_stale_after_ms / 1000,
        )
        self._assessed = (now_s, freshness)
        self._report_freshness(freshness)
        return freshness

    def online_counts(self) -> dict[str, int]:
        """Return this daemon's online requests by endpoint."""
        with self.lock:
            return {e.id: e.online for e in self.endpoints.all() if e.online}

    def online_elsewhere(self, endpoint_id: str) -> int:
        """Return the other members' online requests at an endpoint."""
        with self.lock:
            alive = self.members.in_state(MemberState.ALIVE, MemberState.LEAVING)
            return sum(
                self.members.get(m).online_load.get(endpoint_id, 0) for m in alive
            )

    def handle_probe(self, probe: Probe) -> ProbeReply:
        """Answer another member's probe and apply the status in it."""
        self._apply_status(probe)
        return ProbeReply(*self._own_status())

    def handle_online_load(self, load: OnlineLoad) -> EndpointLoads:
        """Record a member's online requests; return the totals of all members."""
        with self.lock:
            member = self.members.get(load.sender)
            if member is not None:
                member.online_load = {**member.online_load, **load.counts}
            self.on_online_load()
            own = self.online_counts()
            return EndpointLoads(
                {e: own.get(e, 0) + self.online_elsewhere(e) for e in load.counts}
            )

    def handle_fetch_config(self, message: FetchConfig) -> ConfigReply:
        """Return the configuration to a member that has an older one."""
        current = self._environment.current
        if current is None or current.version <= message.known_version:
            return ConfigReply(self._environment.version, "")
        return ConfigReply(current.version, current.text)

    def call(self, member: MemberId, message: Message, timeout_s: float) -> Message:
        """Call a member; record it as gone if it refuses the connection."""
        try:
            return self._peers.call(member, message, timeout_s)
        except PeerUnavailableError as exc:
            if exc.refused:
                self._record_refused(member)
            raise

    def announce_leave(self) -> None:
        """Tell every member that this daemon is leaving."""
        self.leaving = True
        with self.lock:
            others = self.members.in_state(MemberState.ALIVE, MemberState.LEAVING)
        for member in others:
            self._probe_member(member)

    def _sync_endpoints(self, entries: list[VmEntry]) -> None:
        zone = self._settings.availability_zone
        zone_members = [
            MemberId(e.id) for e in entries if e.kind == "entry" and e.zone == zone
        ]
        before = {e.id for e in self.endpoints.all() if e.leaving}
        self.endpoints.apply_vm_list(entries, zone_members)
        for endpoint in self.endpoints.all():
            if endpoint.leaving and endpoint.id not in before:
                self._events.write(Event.ENDPOINT_LEAVING, endpoint=endpoint.id)

    def _update_cut_off(self) -> None:
        with self.lock:
            cut_off = {
                m
                for m in self.members.in_state(MemberState.ALIVE)
                if self.members.get(m).cut_off
            }
        if self._environment.log_age_s() > CUT_OFF_AFTER_S:
            cut_off.add(self.me)
        self._cut_off = frozenset(cut_off)

    def _probe(self) -> None:
        self._update_cut_off()
        with self.lock:
            suspected = self.members.tick(self._clock.now_s())
            targets = self.members.probe_targets(PROBES_PER_ROUND, self._rng)
        for member in suspected:
            self._events.write(Event.MEMBER_SUSPECTED, member=member)
            targets.append(member)
        for member in targets:
            self._workers.submit(self._probe_member, member)

    def _probe_member(self, member: MemberId) -> None:
        try:
            reply = self.call(member, Probe(*self._own_status()), PROBE_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if isinstance(reply, ProbeReply):
            self._apply_status(reply)

    def _own_status(self) -> tuple:
        age_ms = self._environment.log_age_s() * 1000
        with self.lock:
            news = self.members.updates_to_send(self._clock.now_s())
        return (
            self.me,
            self.incarnation,
            self.leaving,
            self._environment.version,
            int(min(age_ms, MAX_VIEW_AGE_MS)),
            self.online_counts(),
            news,
        )

    def _apply_status(self, status: MemberStatus) -> None:
        with self.lock:
            member = self.members.get(status.sender)
            if member is None:
                return
            now_s = self._clock.now_s()
            self.members.record_answer(status.sender, status.incarnation, now_s)
            self.members.record_cut_off(
                status.sender, status.view_age_ms > CUT_OFF_AFTER_S * 1000, now_s
            )
            self.members.apply_updates(status.news, now_s)
            member.config_version = status.config_version
            member.view_age_ms = status.view_age_ms
            member.online_load = status.online_load
            before = self.members.state_of(status.sender)
            if status.leaving:
                self.members.record_leave(status.sender, now_s)
        if status.leaving and before is not MemberState.LEAVING:
            self._events.write(Event.MEMBER_LEAVING, member=status.sender)
        if status.config_version > self._environment.version:
            self._fetch_config(status.sender)

    def _fetch_config(self, member: MemberId) -> None:
        def fetch() -> None:
            message = FetchConfig(self._environment.version)
            try:
                reply = self.call(member, message, FETCH_TIMEOUT_S)
            except PeerUnavailableError:
                return
            if isinstance(reply, ConfigReply) and reply.text:
                self._environment.apply_from_peer(reply.version, reply.text)

        # In the background, as the probe may have come on the connection on which
        # the reply to this fetch would arrive.
        self._workers.submit(fetch)

    def _record_refused(self, member: MemberId) -> None:
        with self.lock:
            before = self.members.state_of(member)
            self.members.record_refused(member, self._clock.now_s())
            after = self.members.state_of(member)
        if before is not after:
            self._events.write(Event.MEMBER_GONE, member=member)

    def _peer_view(self, member: Member, now_s: float) -> PeerView:
        answered_age_s = now_s - member.answered_s
        if not member.incarnation:
            answered_age_s = float("inf")
        return PeerView(
            answered_age_s=answered_age_s,
            log_age_s=answered_age_s + member.view_age_ms / 1000,
            config_version=member.config_version,
        )

    def _report_freshness(self, freshness: Freshness) -> None:
        if freshness.is_usable == self._was_usable:
            return
        self._was_usable = freshness.is_usable
        event = Event.VIEW_FRESH if freshness.is_usable else Event.VIEW_STALE
        self._events.write(event, freshness=freshness.value)
