"""Leases on the tickets of peers at a service's owner, renewed when peers are heard."""

from collections.abc import Hashable, Iterable

# Peers with tickets list them every second, so three lists are missing.
LEASE_S = 3.0
# The most that counts as silence between two checks. In a longer time this process
# did not run, so that it could not hear anybody.
MAX_STEP_S = 1.5


class PeerLeases:
    """How long each peer with tickets has been silent. Used by `SlotTables`.

    A VM that is gone releases nothing, and its connections need not close.
    """

    def __init__(self) -> None:
        self._silent_s: dict[Hashable, float] = {}
        self._checked_s: float | None = None

    def renew(self, peer: Hashable) -> None:
        """Record that a peer was heard."""
        self._silent_s[peer] = 0.0

    def end(self, peer: Hashable) -> None:
        """Forget a peer."""
        self._silent_s.pop(peer, None)

    def expire(self, holders: Iterable[Hashable], now_s: float) -> list[Hashable]:
        """Return those of `holders`, the peers with tickets, that have been silent for
        too long; the others need not be heard.
        """
        last_s = now_s if self._checked_s is None else self._checked_s
        step_s = min(now_s - last_s, MAX_STEP_S)
        self._checked_s = now_s
        self._silent_s = {p: self._silent_s.get(p, 0.0) + step_s for p in holders}
        return [p for p, silent_s in self._silent_s.items() if silent_s > LEASE_S]
