"""Chooses the peer that makes an attempt for this daemon. Pure."""

import random
from collections.abc import Container, Mapping

# A peer is chosen for so long after it last reached an endpoint.
REACHED_VALID_S = 5.0
# A peer that failed to relay is not chosen for so long, one that was silent last.
FAILURE_PAUSE_S = 1.0


class RelayPool:
    """The peers that reached endpoints lately. Used by `RoutedEngineClient`."""

    def __init__(self, seed: int | None = None) -> None:
        self._reached_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        self._random = random.Random(seed)

    def usable_count(self, now_s: float) -> int:
        """Return how many peers may be chosen."""
        self._expire(now_s)
        return len(self._reached_s)

    def record_reached(self, address: str, now_s: float) -> None:
        """Record that a peer reached an endpoint."""
        self._reached_s[address] = now_s

    def record_failed(self, address: str, now_s: float) -> None:
        """Record that a peer could not relay a request."""
        self._reached_s.pop(address, None)
        self._paused_until_s[address] = now_s + FAILURE_PAUSE_S

    def record_silent(self, address: str, now_s: float) -> None:
        """Record that nothing came of an attempt of a peer, which may be at fault."""
        self._silent_until_s[address] = now_s + FAILURE_PAUSE_S

    def choose(
        self, excluded: Container[str], running: Mapping[str, int], now_s: float
    ) -> str | None:
        """Return a usable peer with the fewest running attempts, None if there is
        none.
        """
        self._expire(now_s)
        usable = [
            address
            for address in self._reached_s
            if address not in excluded and address not in self._paused_until_s
        ]
        if not usable:
            return None
        usable = [a for a in usable if a not in self._silent_until_s] or usable
        fewest = min(running.get(address, 0) for address in usable)
        return self._random.choice(
            [address for address in usable if running.get(address, 0) == fewest]
        )

    def _expire(self, now_s: float) -> None:
        self._reached_s = {
            address: reached_s
            for address, reached_s in self._reached_s.items()
            if now_s - reached_s < REACHED_VALID_S
        }
        self._paused_until_s = _later_than(now_s, self._paused_until_s)
        self._silent_until_s = _later_than(now_s, self._silent_until_s)


def _later_than(now_s: float, times_s: dict[str, float]) -> dict[str, float]:
    return {address: at_s for address, at_s in times_s.items() if at_s > now_s}
