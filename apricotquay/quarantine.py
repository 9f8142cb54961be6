"""Finds requests that crash endpoints and keeps them from running again. Pure.

Each death of an endpoint raises suspicion on the fingerprints that ran there.
A suspect runs with no other suspect beside it, so a second death singles it
out; a fingerprint seen at two deaths is refused everywhere. A suspect that
completes is cleared.
"""

import enum
import hashlib

DEATHS_TO_QUARANTINE = 2
SUSPICION_S = 600.0
QUARANTINE_S = 24 * 3600.0
# Several daemons may report the same death a little apart.
SAME_DEATH_S = 3.0


class Standing(enum.Enum):
    """What may be done with a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def fingerprint_of(body: bytes) -> str:
    """Return the fingerprint of a request: the same for a resend of its body."""
    return hashlib.blake2b(body, digest_size=12).hexdigest()


class _Suspicion:
    """Deaths counted against one fingerprint."""

    def __init__(self) -> None:
        self.deaths: list[tuple[str, float]] = []
        self.until_s: float = 0.0

    def count(self, endpoint: str, now_s: float) -> int:
        """Add a death unless it is one already counted; return the total."""
        repeated = any(
            e == endpoint and abs(now_s - at_s) < SAME_DEATH_S
            for e, at_s in self.deaths
        )
        if not repeated:
            self.deaths.append((endpoint, now_s))
        return len(self.deaths)


class Quarantine:
    """Keeps suspicions and quarantined fingerprints. Used by online and batch."""

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}
        self._quarantined: dict[str, float] = {}

    def see_death(
        self, endpoint: str, fingerprints: list[str], now_s: float
    ) -> list[str]:
        """Count an endpoint's death; return fingerprints now to be quarantined."""
        convicted = []
        for fingerprint in fingerprints:
            suspicion = self._suspicions.setdefault(fingerprint, _Suspicion())
            deaths = suspicion.count(endpoint, now_s)
            suspicion.until_s = now_s + SUSPICION_S
            if deaths >= DEATHS_TO_QUARANTINE:
                self.mark(fingerprint, now_s + QUARANTINE_S)
                convicted.append(fingerprint)
        return convicted

    def mark(self, fingerprint: str, until_s: float) -> None:
        """Quarantine a fingerprint, found here or reported by another daemon."""
        self._quarantined[fingerprint] = until_s
        self._suspicions.pop(fingerprint, None)

    def clear(self, fingerprint: str) -> None:
        """A request completed, so its fingerprint crashes no endpoint."""
        self._suspicions.pop(fingerprint, None)

    def standing(self, fingerprint: str, now_s: float) -> Standing:
        """Return what may be done with a fingerprint."""
        if self._quarantined.get(fingerprint, 0.0) > now_s:
            return Standing.QUARANTINED
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.until_s > now_s:
            return Standing.SUSPECT
        return Standing.CLEAR

    def tick(self, now_s: float) -> None:
        """Forget what has expired."""
        for fingerprint in [f for f, u in self._quarantined.items() if u <= now_s]:
            del self._quarantined[fingerprint]
        for fingerprint in [
            f for f, s in self._suspicions.items() if s.until_s <= now_s
        ]:
            del self._suspicions[fingerprint]
