"""The endpoints that the platform lists, and which of them take new work. Pure."""

from collections.abc import Iterator

import msgspec

from ..ids import EndpointId
from .catalog import ServiceName

# How long after the return of the platform's list an entry is still used that went
# while it was away: living endpoints are listed again by then. Less than the time
# in which work to an endpoint that leaves has to end.
RETURN_GRACE_S = 1.9
# A list that others have read so long after this daemon lost it, and not too long
# ago, is away for this daemon alone.
AWAY_ALONE_S = 1.0
READ_ELSEWHERE_FRESH_S = 3.0
EJECT_BASE_S = 0.4
EJECT_MAX_S = 3.0
EJECT_AFTER_FAILURES = 3
# At most this share of a service's endpoints is ejected for failed answers.
EJECT_CAP_SHARE = 0.4


class Endpoint(msgspec.Struct, frozen=True):
    """One start of a server, as the platform lists it. `slots` is 0 if unknown."""

    id: EndpointId
    service: ServiceName
    host: str
    port: int
    zone: str = ""
    slots: int = 0
    is_leaving: bool = False
    started_ms: int = 0


class Health:
    """What this daemon saw of an endpoint."""

    def __init__(self) -> None:
        self.failures: int = 0
        self.ejections: int = 0
        self.ejected_until_s: float = 0.0


class EndpointTable:
    """All listed endpoints. Used by the feed, the slots and the senders."""

    def __init__(self) -> None:
        self._entries: dict[EndpointId, Endpoint] = {}
        self._offsets: dict[EndpointId, int] = {}
        self._gone_at_s: dict[EndpointId, float] = {}
        self._health: dict[EndpointId, Health] = {}
        self._away_since_s: float | None = None
        self._returned_s: float = float("-inf")
        self._read_elsewhere_s: float = float("-inf")
        self._was_away_alone: bool = False

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return an endpoint that may still be used."""
        return self._entries.get(endpoint_id)

    def see_away(self, now_s: float) -> None:
        """The list cannot be read; what it drops meanwhile may come back."""
        if self._away_since_s is None:
            self._away_since_s = now_s

    def see_back(self, now_s: float) -> None:
        """The list can be read."""
        if self._away_since_s is not None:
            self._was_away_alone = self._is_away_alone(now_s)
            self._away_since_s = None
            self._returned_s = now_s

    def see_read_elsewhere(self, read_s: float) -> None:
        """Another daemon read from the platform at a time. While it serves others
        endpoints can renew their entries, so one that goes is gone.
        """
        self._read_elsewhere_s = max(self._read_elsewhere_s, read_s)

    def apply(
        self, endpoint_id: EndpointId, entry: Endpoint | None, offset: int, now_s: float
    ) -> bool:
        """Take in a newer entry; return whether the table changed."""
        if offset <= self._offsets.get(endpoint_id, -1):
            return False
        self._offsets[endpoint_id] = offset
        if entry is None:
            return self._remove(endpoint_id, now_s)
        self._gone_at_s.pop(endpoint_id, None)
        known = self._entries.get(endpoint_id)
        if known is not None and known.started_ms != entry.started_ms:
            self._health.pop(endpoint_id, None)
        self._entries[endpoint_id] = entry
        return known != entry

    def expire(self, now_s: float) -> list[EndpointId]:
        """Remove entries whose grace has ended; return them."""
        gone = [e for e, at_s in self._gone_at_s.items() if at_s <= now_s]
        for endpoint_id in gone:
            del self._gone_at_s[endpoint_id]
            self._entries.pop(endpoint_id, None)
        return gone

    def serving(self, service: ServiceName) -> Iterator[Endpoint]:
        """Yield the endpoints of a service that may get new work."""
        return (
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.is_leaving
        )

    def ejected(self, service: ServiceName, now_s: float) -> frozenset[EndpointId]:
        """Return the endpoints of a service that are out of use here."""
        return frozenset(
            entry.id
            for entry in self.serving(service)
            if self._health_of(entry.id).ejected_until_s > now_s
        )

    def see_success(self, endpoint_id: EndpointId) -> None:
        """An endpoint answered soundly."""
        health = self._health_of(endpoint_id)
        health.failures = 0
        health.ejections = 0

    def see_failure(
        self, endpoint_id: EndpointId, unreachable: bool, now_s: float
    ) -> bool:
        """An endpoint failed; return whether it is ejected for that."""
        entry = self._entries.get(endpoint_id)
        health = self._health_of(endpoint_id)
        health.failures += 1
        if entry is None or health.ejected_until_s > now_s:
            return False
        if not unreachable and not self._may_eject(entry, health, now_s):
            return False
        pause_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + pause_s
        return True

    def _may_eject(self, entry: Endpoint, health: Health, now_s: float) -> bool:
        if health.failures < EJECT_AFTER_FAILURES:
            return False
        total = sum(1 for _ in self.serving(entry.service))
        ejected = len(self.ejected(entry.service, now_s))
        return ejected + 1 <= total * EJECT_CAP_SHARE

    def _remove(self, endpoint_id: EndpointId, now_s: float) -> bool:
        if endpoint_id not in self._entries:
            return False
        kept_until_s = self._kept_until_s(now_s)
        if now_s < kept_until_s:
            self._gone_at_s[endpoint_id] = kept_until_s
            return False
        del self._entries[endpoint_id]
        return True

    def _is_away_alone(self, now_s: float) -> bool:
        read_s = self._read_elsewhere_s
        is_later = read_s > self._away_since_s + AWAY_ALONE_S
        return is_later and now_s - read_s < READ_ELSEWHERE_FRESH_S

    def _kept_until_s(self, now_s: float) -> float:
        """Return until when an entry that goes now is kept, since it may only have
        lapsed.
        """
        if self._away_since_s is None:
            returned_s = self._returned_s
            return now_s if self._was_away_alone else returned_s + RETURN_GRACE_S
        return now_s if self._is_away_alone(now_s) else now_s + RETURN_GRACE_S

    def _health_of(self, endpoint_id: EndpointId) -> Health:
        return self._health.setdefault(endpoint_id, Health())
