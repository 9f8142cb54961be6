"""The endpoints that the platform lists, and which of them take new work. Pure."""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from ..ids import EndpointId
from .catalog import Configuration, ServiceName
from .coldperiods import ColdPeriods

# After an outage of the platform's list, entries that it dropped are still used for
# this long: live endpoints are listed again by then. Must be less than the time in
# which work sent to a leaving endpoint has to end.
RELIST_GRACE_S = 1.9
# The list is unavailable to this daemon alone if a peer read it this long after this
# daemon lost access to it, and recently.
LOCAL_OUTAGE_MIN_S = 1.0
PEER_READ_MAX_AGE_S = 3.0
EJECTION_BASE_S = 0.4
EJECTION_MAX_S = 3.0
FAILURES_TO_EJECT = 3
# At most this share of a service's endpoints is ejected for failed responses.
MAX_EJECTED_SHARE = 0.4
# How many endpoints that said they leave are remembered.
MAX_LEAVING = 4_096


class Endpoint(msgspec.Struct, frozen=True):
    """One start of a server, as the platform lists it.

    `slots` is 0 if unknown, `version` that of its software. It `is_leaving` if the
    platform or an answer of the endpoint says so. `cold_left_s` is how long it stays
    cold as of its entry, None if the entry does not tell; see `ColdPeriods`.
    `EndpointTable` holds the state at this daemon.
    """

    id: EndpointId
    service: ServiceName
    host: str
    port: int
    zone: str = ""
    slots: int = 0
    is_leaving: bool = False
    started_ms: int = 0
    version: str = ""
    cold_left_s: float | None = None


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells others of an endpoint whose answer said that it leaves. It
    holds for the start of the endpoint at `started_ms`.
    """

    endpoint: EndpointId
    started_ms: int


class LocalHealth:
    """The health of an endpoint as this daemon observes it."""

    def __init__(self) -> None:
        self.failures: int = 0
        self.ejections: int = 0
        self.ejected_until_s: float = 0.0


class EndpointTable:
    """The endpoints that the platform lists, with their health at this daemon.

    Used by `View`, `SlotAllocator` and `AttemptRunner`.
    """

    def __init__(
        self, is_evacuated: Callable[[str], bool] = lambda zone: False
    ) -> None:
        # Whether the operator evacuates a zone.
        self.is_evacuated: Callable[[str], bool] = is_evacuated
        # The region of a zone, empty if unknown.
        self.region_of: Callable[[str], str] = lambda zone: ""
        self.cold = ColdPeriods()
        self._entries: dict[EndpointId, Endpoint] = {}
        self._offsets: dict[EndpointId, int] = {}
        self._removal_due_s: dict[EndpointId, float] = {}
        self._health: dict[EndpointId, LocalHealth] = {}
        # The latest start of each endpoint whose answer said that it leaves.
        self._leaving_start_ms: dict[EndpointId, int] = {}
        self._unavailable_since_s: float | None = None
        self._available_again_s: float = float("-inf")
        self._last_peer_read_s: float = float("-inf")
        self._was_local_outage: bool = False

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return an endpoint that may still be used."""
        return self._entries.get(endpoint_id)

    def all(self) -> Iterable[Endpoint]:
        """Return all endpoints that may still be used, leaving ones included."""
        return self._entries.values()

    def record_list_unavailable(self, now_s: float) -> None:
        """Record that the list cannot be read; entries it drops may return."""
        if self._unavailable_since_s is None:
            self._unavailable_since_s = now_s

    def record_list_available(self, now_s: float) -> None:
        """Record that the list can be read."""
        if self._unavailable_since_s is not None:
            self._was_local_outage = self._is_local_outage(now_s)
            self._unavailable_since_s = None
            self._available_again_s = now_s

    def record_peer_read(self, read_s: float) -> None:
        """Record when another daemon last read from the platform. While the platform
        serves others, endpoints can renew their entries, so one whose entry is
        removed has ended.
        """
        self._last_peer_read_s = max(self._last_peer_read_s, read_s)

    def apply(
        self,
        endpoint_id: EndpointId,
        entry: Endpoint | None,
        offset: int,
        now_s: float,
        started_ago_s: float = 0.0,
    ) -> bool:
        """Apply an entry if it is newer; return whether the table changed. The clocks
        of VMs tell that its endpoint started `started_ago_s` ago.
        """
        if offset <= self._offsets.get(endpoint_id, -1):
            return False
        self._offsets[endpoint_id] = offset
        if entry is None:
            return self._remove(endpoint_id, now_s)
        self._removal_due_s.pop(endpoint_id, None)
        previous = self._entries.get(endpoint_id)
        if previous is not None and previous.started_ms != entry.started_ms:
            self._health.pop(endpoint_id, None)
        temperature_changed = self.cold.record(
            endpoint_id, entry.started_ms, entry.cold_left_s, started_ago_s, now_s
        )
        # An entry is written again and again with another rest of its cold time.
        entry = msgspec.structs.replace(entry, cold_left_s=None)
        entry = self._with_what_answers_said(entry)
        self._entries[endpoint_id] = entry
        return previous != entry or temperature_changed

    def cold_left_s(
        self, entry: Endpoint, configuration: Configuration | None, now_s: float
    ) -> float:
        """Return how long an endpoint is still slow because it has started a moment
        ago, 0 if it is warm.
        """
        services = configuration.services if configuration else {}
        service = services.get(entry.service)
        cold_start_s = service.cold_start_s if service else 0.0
        return self.cold.left_s(entry.id, entry.started_ms, cold_start_s, now_s)

    def record_leaving(self, notice: LeavingNotice) -> bool:
        """Record that an answer of an endpoint said that it leaves; return whether
        this was not known. The list may call it ready long after.
        """
        known_ms = self._leaving_start_ms.get(notice.endpoint, -1)
        if notice.started_ms <= known_ms:
            return False
        if known_ms < 0 and len(self._leaving_start_ms) >= MAX_LEAVING:
            del self._leaving_start_ms[next(iter(self._leaving_start_ms))]
        self._leaving_start_ms[notice.endpoint] = notice.started_ms
        entry = self._entries.get(notice.endpoint)
        if entry is not None:
            self._entries[notice.endpoint] = self._with_what_answers_said(entry)
        return True

    def leaving_notices(self) -> list[LeavingNotice]:
        """Return the listed endpoints whose answers said that they leave."""
        listed = (self._entries.get(e) for e in self._leaving_start_ms)
        return [
            LeavingNotice(entry.id, entry.started_ms)
            for entry in listed
            if entry is not None and self._said_to_leave(entry)
        ]

    def _with_what_answers_said(self, entry: Endpoint) -> Endpoint:
        """Return an entry as leaving if an answer of the same start said so."""
        if not self._said_to_leave(entry):
            return entry
        return msgspec.structs.replace(entry, is_leaving=True)

    def _said_to_leave(self, entry: Endpoint) -> bool:
        return entry.started_ms <= self._leaving_start_ms.get(entry.id, -1)

    @property
    def has_pending_removals(self) -> bool:
        """Whether an entry that the list dropped is kept for a grace period."""
        return bool(self._removal_due_s)

    def expire(self, now_s: float) -> list[EndpointId]:
        """Remove entries whose grace period has ended; return them."""
        expired = [e for e, at_s in self._removal_due_s.items() if at_s <= now_s]
        for endpoint_id in expired:
            del self._removal_due_s[endpoint_id]
            self._entries.pop(endpoint_id, None)
            self.cold.forget(endpoint_id)
        return expired

    def serving(
        self,
        service: ServiceName,
        version: str = "",
        regions: frozenset[str] = frozenset(),
    ) -> Iterator[Endpoint]:
        """Yield the endpoints of a service, and of a version and in regions if these
        are not empty, that may get new work.
        """
        return (
            entry
            for entry in self._entries.values()
            if entry.service == service
            and not entry.is_leaving
            and not self.is_evacuated(entry.zone)
            and version in ("", entry.version)
            and (not regions or self.region_of(entry.zone) in regions)
        )

    def ejected(self, service: ServiceName, now_s: float) -> frozenset[EndpointId]:
        """Return the endpoints of a service that this daemon has ejected."""
        return frozenset(
            entry.id
            for entry in self.serving(service)
            if self._health_of(entry.id).ejected_until_s > now_s
        )

    def record_success(self, endpoint_id: EndpointId) -> None:
        """Record that an endpoint answered without failure."""
        health = self._health_of(endpoint_id)
        health.failures = 0
        health.ejections = 0

    def record_failure(
        self, endpoint_id: EndpointId, unreachable: bool, now_s: float
    ) -> bool:
        """Record that an endpoint failed; return whether this ejects it."""
        entry = self._entries.get(endpoint_id)
        health = self._health_of(endpoint_id)
        health.failures += 1
        if entry is None or health.ejected_until_s > now_s:
            return False
        if not unreachable and not self._may_eject(entry, health, now_s):
            return False
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + ejection_s
        return True

    def _may_eject(self, entry: Endpoint, health: LocalHealth, now_s: float) -> bool:
        if health.failures < FAILURES_TO_EJECT:
            return False
        total = sum(1 for _ in self.serving(entry.service))
        ejected = len(self.ejected(entry.service, now_s))
        return ejected + 1 <= total * MAX_EJECTED_SHARE

    def _remove(self, endpoint_id: EndpointId, now_s: float) -> bool:
        if endpoint_id not in self._entries:
            return False
        kept_until_s = self._kept_until_s(now_s)
        if now_s < kept_until_s:
            self._removal_due_s[endpoint_id] = kept_until_s
            return False
        del self._entries[endpoint_id]
        self.cold.forget(endpoint_id)
        return True

    def _is_local_outage(self, now_s: float) -> bool:
        read_s = self._last_peer_read_s
        is_later = read_s > self._unavailable_since_s + LOCAL_OUTAGE_MIN_S
        return is_later and now_s - read_s < PEER_READ_MAX_AGE_S

    def _kept_until_s(self, now_s: float) -> float:
        """Return until when an entry that is removed now is kept, because it may only
        have expired during an outage.
        """
        if self._unavailable_since_s is None:
            available_again_s = self._available_again_s
            return (
                now_s if self._was_local_outage else available_again_s + RELIST_GRACE_S
            )
        return now_s if self._is_local_outage(now_s) else now_s + RELIST_GRACE_S

    def _health_of(self, endpoint_id: EndpointId) -> LocalHealth:
        return self._health.setdefault(endpoint_id, LocalHealth())
