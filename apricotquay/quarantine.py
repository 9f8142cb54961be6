"""Finds requests that crash endpoints and keeps them from running again. Pure.

Endpoints die for many reasons, so one death says little of what ran there. A
request is convicted at its third death, and only if nothing else that ran at
that death has as many: an innocent one that ran beside the culprit each time
ties with it, and the next death tells them apart. Deaths that a convicted
request explains do not count against others. A request that completes is
cleared, and for a while no death counts against it: many callers may send the
same request, and those of them that run beside unrelated deaths prove nothing.
"""

import collections
import enum
import hashlib
from collections.abc import Iterable

DEATHS_TO_QUARANTINE = 3
# With so many deaths a tie no longer protects.
DEATHS_WITHOUT_DOUBT = 5
SUSPICION_S = 600.0
QUARANTINE_S = 24 * 3600.0
# How long a completion speaks for a fingerprint, and how many are remembered.
PROVEN_S = 600.0
MAX_PROVEN = 20_000
# Several daemons may report the same death a little apart.
SAME_DEATH_S = 3.0


class QuarantineStatus(enum.Enum):
    """What may be done with a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def fingerprint_of(body: bytes) -> str:
    """Return the fingerprint of a request: the same for a resend of its body."""
    return hashlib.blake2b(body, digest_size=12).hexdigest()


class _Death:
    """One death of an endpoint, and all that is reported to have run there."""

    def __init__(self, endpoint: str, at_s: float) -> None:
        self.endpoint: str = endpoint
        self.at_s: float = at_s
        self.suspects: set[str] = set()


class Quarantine:
    """Keeps deaths and quarantined fingerprints. Used by online and batch work."""

    def __init__(self) -> None:
        self._deaths: list[_Death] = []
        self._quarantined: dict[str, float] = {}
        self._found_here: set[str] = set()
        self._proven: collections.OrderedDict[str, float] = collections.OrderedDict()

    def unproven(self, fingerprints: Iterable[str], now_s: float) -> list[str]:
        """Return the fingerprints that have not completed lately."""
        oldest_s = now_s - PROVEN_S
        return [f for f in fingerprints if self._proven.get(f, oldest_s) <= oldest_s]

    def see_death(
        self, endpoint: str, fingerprints: list[str], now_s: float
    ) -> list[str]:
        """Count an endpoint's death; return fingerprints now to be quarantined."""
        death = self._death_of(endpoint, now_s)
        death.suspects.update(self.unproven(fingerprints, now_s))
        if self._is_explained(death):
            return []
        self._acquit_tied(death)
        convicted = self._most_suspect(death)
        if convicted is None:
            return []
        self.mark(convicted, now_s + QUARANTINE_S)
        self._found_here.add(convicted)
        return [convicted]

    def mark(self, fingerprint: str, until_s: float) -> None:
        """Quarantine a fingerprint, found here or reported by another daemon."""
        self._quarantined[fingerprint] = until_s

    def record_completion(self, fingerprint: str, now_s: float) -> None:
        """A request completed, so its fingerprint crashes no endpoint."""
        self._proven[fingerprint] = now_s
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)
        for death in self._deaths:
            death.suspects.discard(fingerprint)

    def counts(self, fingerprints: list[str]) -> dict[str, int]:
        """Return at how many deaths each fingerprint has run, for the log."""
        return {f: self._count(f) for f in fingerprints}

    def status(self, fingerprint: str, now_s: float) -> QuarantineStatus:
        """Return what may be done with a fingerprint."""
        if self._quarantined.get(fingerprint, 0.0) > now_s:
            return QuarantineStatus.QUARANTINED
        if any(
            fingerprint in death.suspects
            and now_s - death.at_s < SUSPICION_S
            and not self._is_explained(death)
            for death in self._deaths
        ):
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def suspects(self, now_s: float) -> list[str]:
        """Return all fingerprints that are suspects, in an order that daemons share."""
        named = {f for death in self._deaths for f in death.suspects}
        return sorted(
            f for f in named if self.status(f, now_s) is QuarantineStatus.SUSPECT
        )

    def tick(self, now_s: float) -> None:
        """Forget what has expired."""
        for fingerprint in [f for f, u in self._quarantined.items() if u <= now_s]:
            del self._quarantined[fingerprint]
            self._found_here.discard(fingerprint)
        self._deaths = [d for d in self._deaths if now_s - d.at_s < SUSPICION_S]

    def _death_of(self, endpoint: str, now_s: float) -> _Death:
        for death in self._deaths:
            if death.endpoint == endpoint and abs(now_s - death.at_s) < SAME_DEATH_S:
                return death
        death = _Death(endpoint, now_s)
        self._deaths.append(death)
        return death

    def _is_explained(self, death: _Death) -> bool:
        """Whether a request that is convicted for other deaths ran there."""
        return any(
            fingerprint in self._quarantined
            and self._count(fingerprint) > 1
            and not self._has_tie(fingerprint, death)
            for fingerprint in death.suspects
        )

    def _count(self, fingerprint: str) -> int:
        return sum(1 for death in self._deaths if fingerprint in death.suspects)

    def _has_tie(self, fingerprint: str, death: _Death) -> bool:
        count = self._count(fingerprint)
        return count < DEATHS_WITHOUT_DOUBT and any(
            other != fingerprint and self._count(other) >= count
            for other in death.suspects
        )

    def _acquit_tied(self, death: _Death) -> None:
        """Take back what was concluded before all reports of a death were in."""
        for fingerprint in death.suspects & self._found_here:
            if self._has_tie(fingerprint, death):
                self._found_here.discard(fingerprint)
                self._quarantined.pop(fingerprint, None)

    def _most_suspect(self, death: _Death) -> str | None:
        """Return what is to be convicted for a death, if that is clear."""
        for fingerprint in sorted(death.suspects):
            if fingerprint in self._quarantined:
                continue
            if self._count(fingerprint) < DEATHS_TO_QUARANTINE:
                continue
            if not self._has_tie(fingerprint, death):
                return fingerprint
        return None
