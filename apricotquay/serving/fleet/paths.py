"""Which endpoints this daemon reaches by connections of its own. Pure.

A daemon may lose its links to some or all endpoints while other daemons still reach
them. A failed connection alone doesn't tell that from a lost endpoint; one that a
peer reaches meanwhile does.
"""

import itertools
from collections.abc import Iterable

from ...ids import EndpointId

# With this many endpoints out of reach, and none reached since, all count as such.
MIN_LOST_ENDPOINTS = 2
# Probes that must succeed in a row before requests use a returned link.
MIN_PROBE_SUCCESSES = 1
MAX_PROBE_SUCCESSES = 4
# Links that are lost again so soon after their return count as unsteady.
RELAPSE_S = 30.0
MAX_PROBES_AT_ONCE = 4


class _LostPath:
    """An endpoint out of this daemon's reach."""

    def __init__(self, lost_s: float) -> None:
        self.lost_s: float = lost_s
        self.probed_s: float = float("-inf")
        self.successes: int = 0


class PathTable:
    """The endpoints out of reach. Used by `RoutedEngineClient` and `PeerChecks`."""

    def __init__(self) -> None:
        self._lost: dict[EndpointId, _LostPath] = {}
        # When the links to each endpoint returned after a loss.
        self._returned_s: dict[EndpointId, list[float]] = {}
        self._reached_s: float = float("-inf")

    @property
    def lost_count(self) -> int:
        """Number of endpoints out of reach."""
        return len(self._lost)

    def is_lost(self, endpoint: EndpointId) -> bool:
        """Whether an endpoint is out of reach: because requests to it failed, or
        because this daemon seems to reach none at all.
        """
        return endpoint in self._lost or self.is_cut_off

    @property
    def is_cut_off(self) -> bool:
        """Whether no endpoint has been reached since several were lost."""
        since_reached = [p for p in self._lost.values() if p.lost_s > self._reached_s]
        return len(since_reached) >= MIN_LOST_ENDPOINTS

    def record_reached(self, now_s: float) -> None:
        """Record that a connection to some endpoint was opened."""
        self._reached_s = now_s

    def record_lost(self, endpoint: EndpointId, now_s: float) -> None:
        """Record that a peer reaches an endpoint and this daemon does not."""
        if endpoint not in self._lost:
            self._lost[endpoint] = _LostPath(now_s)

    def next_probes(self, listed: Iterable[EndpointId]) -> list[EndpointId]:
        """Return the lost endpoints to probe now, the least recently probed first;
        forget those that are not listed any more.
        """
        known = set(listed)
        for endpoint in [e for e in self._lost if e not in known]:
            del self._lost[endpoint]
        for endpoint in [e for e in self._returned_s if e not in known]:
            del self._returned_s[endpoint]
        ordered = sorted(self._lost, key=lambda e: self._lost[e].probed_s)
        return list(itertools.islice(ordered, MAX_PROBES_AT_ONCE))

    def record_probe(
        self, endpoint: EndpointId, is_reached: bool, now_s: float
    ) -> bool:
        """Record a probe; return whether requests use the link from now on."""
        path = self._lost.get(endpoint)
        if path is None:
            return False
        path.probed_s = now_s
        path.successes = path.successes + 1 if is_reached else 0
        if path.successes < self._needed_successes(endpoint, now_s):
            return False
        del self._lost[endpoint]
        self._returned_s.setdefault(endpoint, []).append(now_s)
        self.record_reached(now_s)
        return True

    def _needed_successes(self, endpoint: EndpointId, now_s: float) -> int:
        """Return how many probes must succeed: more after links that flapped."""
        returned_s = [
            at_s
            for at_s in self._returned_s.get(endpoint, ())
            if now_s - at_s < RELAPSE_S
        ]
        if returned_s:
            self._returned_s[endpoint] = returned_s
        return min(MAX_PROBE_SUCCESSES, MIN_PROBE_SUCCESSES + len(returned_s))
