"""Finds requests that crash endpoints and keeps them from running again. Pure.

Used by both the threaded and the event-loop daemon.

Endpoints crash for many reasons, so one crash says little about the requests that
ran there. A request is quarantined at its third crash, and only if no other
request that ran at that crash has as many: a harmless request that ran beside the
cause each time ties with it, and the next crash tells them apart. Crashes whose
cause is quarantined do not count against other requests. A request that completes
is cleared, and for a while no crash counts against it: many callers may send the
same request, and some of those run beside unrelated crashes by chance.
"""

import collections
import enum
import hashlib
from collections.abc import Iterable

CRASHES_TO_QUARANTINE = 3
# From this many crashes on, a tie does not prevent quarantine.
CRASHES_DESPITE_TIE = 5
SUSPECT_RETENTION_S = 600.0
QUARANTINE_S = 24 * 3600.0
# How long a completion clears a fingerprint, and how many are remembered.
COMPLETION_VALID_S = 600.0
MAX_COMPLETIONS = 20_000
# Suspects are placed elsewhere for this long after an endpoint crashed.
CRASHED_AVOIDED_S = 5.0
# Reports of several daemons this close together are about the same crash.
SAME_CRASH_S = 3.0


class QuarantineStatus(enum.Enum):
    """Whether a request with a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def fingerprint_of(body: bytes) -> str:
    """Return the fingerprint of a request, equal for requests with the same body."""
    return hashlib.blake2b(body, digest_size=12).hexdigest()


class _Crash:
    """A crash of an endpoint and the fingerprints reported to have run there."""

    def __init__(self, endpoint: str, at_s: float) -> None:
        self.endpoint: str = endpoint
        self.at_s: float = at_s
        self.suspects: set[str] = set()


class Quarantine:
    """Tracks crashes and quarantined fingerprints. Used by online and batch work."""

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []
        self._quarantined: dict[str, float] = {}
        self._quarantined_here: set[str] = set()
        self._completed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def without_recent_completion(
        self, fingerprints: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the fingerprints that have not completed recently."""
        oldest_s = now_s - COMPLETION_VALID_S
        return [
            f for f in fingerprints if self._completed_s.get(f, oldest_s) <= oldest_s
        ]

    def completed_s(self, fingerprint: str) -> float:
        """Return when a request last completed, -inf if that is not known."""
        return self._completed_s.get(fingerprint, float("-inf"))

    def record_crash(
        self, endpoint: str, fingerprints: list[str], now_s: float
    ) -> list[str]:
        """Count a crash of an endpoint; return fingerprints quarantined for it."""
        self.add_suspects(endpoint, fingerprints, now_s)
        return self.conclude(endpoint, now_s)

    def add_suspects(
        self, endpoint: str, fingerprints: list[str], now_s: float
    ) -> None:
        """Record what a daemon reports to have run at a crash. What other daemons
        report of it may change the conclusion.
        """
        crash = self._find_or_add_crash(endpoint, now_s)
        crash.suspects.update(self.without_recent_completion(fingerprints, now_s))

    def conclude(self, endpoint: str, now_s: float) -> list[str]:
        """Quarantine the cause of an endpoint's crash, as far as it is known; return
        the fingerprints that are quarantined for it.
        """
        crash = self._find_or_add_crash(endpoint, now_s)
        if self._has_known_cause(crash):
            return []
        self._release_tied(crash)
        cause = self._find_cause(crash)
        if cause is None:
            return []
        self.add_quarantined(cause, now_s + QUARANTINE_S)
        self._quarantined_here.add(cause)
        return [cause]

    def add_quarantined(self, fingerprint: str, until_s: float) -> None:
        """Quarantine a fingerprint, identified here or by another daemon."""
        self._quarantined[fingerprint] = until_s

    def release(self, fingerprint: str) -> None:
        """End the quarantine of a request that has completed at an endpoint."""
        self._quarantined.pop(fingerprint, None)
        self._quarantined_here.discard(fingerprint)

    def quarantined_here(self) -> dict[str, float]:
        """Return when the quarantines that this daemon concluded end."""
        return {f: self._quarantined[f] for f in sorted(self._quarantined_here)}

    def record_completion(self, fingerprint: str, now_s: float) -> None:
        """Clear the fingerprint of a request that completed: it crashes no endpoint."""
        known_s = self._completed_s.get(fingerprint, now_s)
        self._completed_s[fingerprint] = max(known_s, now_s)
        self._completed_s.move_to_end(fingerprint)
        if len(self._completed_s) > MAX_COMPLETIONS:
            self._completed_s.popitem(last=False)
        for crash in self._crashes:
            crash.suspects.discard(fingerprint)

    def crash_counts(self, fingerprints: list[str]) -> dict[str, int]:
        """Return the number of crashes at which each fingerprint ran, for the log."""
        return {f: self._crash_count(f) for f in fingerprints}

    def status(self, fingerprint: str, now_s: float) -> QuarantineStatus:
        """Return the status of a fingerprint."""
        if self._quarantined.get(fingerprint, 0.0) > now_s:
            return QuarantineStatus.QUARANTINED
        if any(
            fingerprint in crash.suspects
            and now_s - crash.at_s < SUSPECT_RETENTION_S
            and not self._has_known_cause(crash)
            for crash in self._crashes
        ):
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def suspects(self, now_s: float) -> list[str]:
        """Return all suspect fingerprints, in the same order at all daemons."""
        fingerprints = {f for crash in self._crashes for f in crash.suspects}
        return sorted(
            f for f in fingerprints if self.status(f, now_s) is QuarantineStatus.SUSPECT
        )

    def crashed_endpoints(self, now_s: float) -> frozenset[str]:
        """Return the endpoints that crashed within CRASHED_AVOIDED_S."""
        return frozenset(
            c.endpoint for c in self._crashes if now_s - c.at_s < CRASHED_AVOIDED_S
        )

    def tick(self, now_s: float) -> None:
        """Remove expired entries."""
        for fingerprint in [f for f, u in self._quarantined.items() if u <= now_s]:
            del self._quarantined[fingerprint]
            self._quarantined_here.discard(fingerprint)
        self._crashes = [
            c for c in self._crashes if now_s - c.at_s < SUSPECT_RETENTION_S
        ]

    def _find_or_add_crash(self, endpoint: str, now_s: float) -> _Crash:
        for crash in self._crashes:
            if crash.endpoint == endpoint and abs(now_s - crash.at_s) < SAME_CRASH_S:
                return crash
        crash = _Crash(endpoint, now_s)
        self._crashes.append(crash)
        return crash

    def _has_known_cause(self, crash: _Crash) -> bool:
        """Whether a request that is quarantined for other crashes ran there."""
        return any(
            fingerprint in self._quarantined
            and self._crash_count(fingerprint) > 1
            and not self._has_tie(fingerprint, crash)
            for fingerprint in crash.suspects
        )

    def _crash_count(self, fingerprint: str) -> int:
        return sum(1 for crash in self._crashes if fingerprint in crash.suspects)

    def _has_tie(self, fingerprint: str, crash: _Crash) -> bool:
        count = self._crash_count(fingerprint)
        return count < CRASHES_DESPITE_TIE and any(
            other != fingerprint and self._crash_count(other) >= count
            for other in crash.suspects
        )

    def _release_tied(self, crash: _Crash) -> None:
        """Undo quarantines concluded before all reports of a crash had arrived."""
        for fingerprint in crash.suspects & self._quarantined_here:
            if self._has_tie(fingerprint, crash):
                self.release(fingerprint)

    def _find_cause(self, crash: _Crash) -> str | None:
        """Return the fingerprint to quarantine for a crash, if it is unambiguous."""
        for fingerprint in sorted(crash.suspects):
            if fingerprint in self._quarantined:
                continue
            if self._crash_count(fingerprint) < CRASHES_TO_QUARANTINE:
                continue
            if not self._has_tie(fingerprint, crash):
                return fingerprint
        return None
