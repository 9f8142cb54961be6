"""Keeps the crashes and completions of prompts' parts, and refuses what crashes
endpoints. Pure.

`Judgement` draws the conclusions; this module bounds what is known and how long it
counts.
"""

import collections
from collections.abc import Iterable, Iterator, Sequence

from .partjudgement import (
    CRASHES_TO_CONCLUDE,
    FIRST_QUARANTINE_S,
    Conclusion,
    Judgement,
    PartCrash,
    crash_moment,
    crash_usefulness,
    times_concluded,
)
from .promptparts import (
    MAX_PARTS_PER_REQUEST,
    PartKey,
    PartsAtCrash,
    part_name,
    parts_by_name,
)

CRASH_RETENTION_S = 600.0
# For how long after its end a conclusion needs only one crash.
PROBATION_S = 24 * 3600.0
COMPLETION_VALID_S = 600.0
MAX_COMPLETIONS = 50_000
MAX_CRASHES = 200
# All suspects of all crashes: bounds memory and the time of a judgement.
MAX_SUSPECTS = 4_000
MAX_CONCLUSIONS = 500
# Each costs as much as a judgement, in the event loop that serves requests.
MAX_REVISIONS = 4
# A request cut by a crash is sent again while its parts ran at fewer crashes.
CRASHES_TO_STOP_RETRIES = 2


class PartQuarantine:
    """Tracks crashes, completions and the groups of parts that are refused."""

    def __init__(self) -> None:
        self._crashes: dict[str, PartCrash] = {}
        self._crashes_of: dict[PartKey, set[str]] = {}
        self._completed_s: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )
        # Conclusions whose crashes are not known here, or no longer.
        self._earlier: dict[frozenset[PartKey], Conclusion] = {}
        self._concluded: dict[frozenset[PartKey], Conclusion] = {}
        self._concluded_of: dict[PartKey, list[Conclusion]] = {}
        self._open: dict[PartKey, set[str]] = {}
        self._now_s: float = float("-inf")
        self.needs_judgement: bool = False

    def record_crash(
        self, start: str, requests: Sequence[PartsAtCrash], at_s: float
    ) -> list[frozenset[PartKey]]:
        """Add a report of a crash; return the groups that are newly concluded."""
        self.add_crash(start, requests, at_s)
        return self.judge_if_needed()

    def record_completion(self, parts: Iterable[PartKey], now_s: float) -> None:
        """Clear the parts of a request that completed, under its model."""
        self.add_completion(parts, now_s)
        self.judge_if_needed()

    def judge_if_needed(self) -> list[frozenset[PartKey]]:
        """Judge what was added; return the groups that are newly concluded.

        A judgement of many crashes takes a while, so several additions share one.
        """
        if not self.needs_judgement:
            return []
        self.needs_judgement = False
        return self._judge()

    def add_crash(
        self, start: str, requests: Sequence[PartsAtCrash], at_s: float
    ) -> None:
        """Add a report of a crash, for a later judgement."""
        self.needs_judgement |= self._add_report(start, requests, at_s)
        while self._is_full():
            self._forget(min(self._crashes.values(), key=crash_usefulness))

    def add_completion(self, parts: Iterable[PartKey], now_s: float) -> None:
        """Clear the parts of a request that completed, for a later judgement."""
        for part in parts:
            known_s = self._completed_s.get(part, now_s)
            self._completed_s[part] = max(known_s, now_s)
            self._completed_s.move_to_end(part)
            if part in self._crashes_of:
                self.needs_judgement |= self._clear(part)
        while len(self._completed_s) > MAX_COMPLETIONS:
            self._completed_s.popitem(last=False)

    def without_recent_completion(
        self, parts: Iterable[PartKey], now_s: float
    ) -> list[PartKey]:
        """Return the parts that have not completed recently under their model."""
        oldest_s = now_s - COMPLETION_VALID_S
        return [p for p in parts if self._completed_s.get(p, oldest_s) <= oldest_s]

    def completed_s(self, part: PartKey) -> float:
        """Return when a part last completed, -inf if that is not known."""
        return self._completed_s.get(part, float("-inf"))

    def is_quarantined(self, parts: Sequence[PartKey], now_s: float) -> bool:
        """Whether a request with these parts is refused."""
        if not self._concluded_of:
            return False
        return any(c.until_s > now_s for c in self._conclusions_on(parts, now_s))

    def is_suspect(self, part: PartKey, now_s: float) -> bool:
        """Whether a completion of the part would tell something, also to others."""
        if part in self._crashes_of:
            return True
        return any(
            self.completed_s(part) <= conclusion.evidence_s
            for conclusion in self._concluded_of.get(part_name(part), ())
        )

    def suspicion(self, parts: Sequence[PartKey], now_s: float) -> int:
        """Return at how many unexplained crashes one of the parts may be the cause.

        A request that a crash cut is sent again below CRASHES_TO_STOP_RETRIES: with
        one retry a part ends two endpoints by its first request, and is concluded at
        the third, by the next one. Parts that are known cause count as concluded.
        """
        if self._concluded_of and any(True for _ in self._conclusions_on(parts, now_s)):
            return CRASHES_TO_CONCLUDE
        unclear = self.without_recent_completion(parts, now_s)
        counts = (len(self._open.get(part_name(part), ())) for part in unclear)
        return max(counts, default=0)

    def quarantined_here(self) -> dict[frozenset[PartKey], float]:
        """Return when the quarantines end that this daemon concluded, or extended."""
        return {
            group: self._concluded[group].until_s
            for group in sorted(self._concluded, key=sorted)
            if self._concluded[group].is_own
            and self._concluded[group].until_s > self._now_s
        }

    def add_quarantined(
        self,
        parts: frozenset[PartKey],
        until_s: float,
        at_s: float | None = None,
    ) -> None:
        """Quarantine a group that another daemon concluded.

        With `at_s`, when it did, the group keeps how often it was concluded.
        """
        group = frozenset(map(part_name, parts))
        known = self._earlier.get(group)
        if not group or (known is not None and known.until_s >= until_s):
            return
        at_s = until_s - FIRST_QUARANTINE_S if at_s is None else at_s
        times = times_concluded(until_s - at_s)
        self._keep(Conclusion(group, at_s, until_s, times))
        self._judge()

    def release(self, part: PartKey, now_s: float) -> None:
        """End the quarantine of a part under its model: it completed just now."""
        self.record_completion([part], now_s)

    def tick(self, now_s: float) -> None:
        """Remove expired entries."""
        self._now_s = max(self._now_s, now_s)
        oldest_s = now_s - CRASH_RETENTION_S
        expired = [c for c in self._crashes.values() if c.at_s <= oldest_s]
        for crash in expired:
            self._forget(crash)
        ended = [c for c in self._earlier.values() if c.until_s + PROBATION_S <= now_s]
        for conclusion in ended:
            del self._earlier[conclusion.group]
        if expired or ended:
            self._judge()

    def _conclusions_on(
        self, parts: Sequence[PartKey], now_s: float
    ) -> Iterator[Conclusion]:
        """Return the conclusions that a request with these parts falls under."""
        held = parts_by_name(parts)
        for name in held:
            for conclusion in self._concluded_of.get(name, ()):
                left = self._left_of(conclusion, held, now_s)
                if left and left <= held.keys():
                    yield conclusion

    def _left_of(
        self, conclusion: Conclusion, held: dict[PartKey, PartKey], now_s: float
    ) -> set[PartKey]:
        """Return the parts of a group that no completion clears for a request."""
        valid_from_s = min(conclusion.evidence_s, now_s - COMPLETION_VALID_S)
        return {
            name
            for name in conclusion.group
            if name not in held or self.completed_s(held[name]) <= valid_from_s
        }

    def _add_report(
        self, start: str, requests: Sequence[PartsAtCrash], at_s: float
    ) -> bool:
        """Add the suspects of a report to its crash; return whether that changed it."""
        # A crash without suspects is kept for its time, which orders the crashes.
        crash = self._crashes.setdefault(start, PartCrash(start, at_s))
        has_changed = at_s < crash.at_s
        crash.at_s = min(crash.at_s, at_s)
        for request in requests:
            suspects = self.without_recent_completion(request.parts, crash.at_s)
            suspects = suspects[:MAX_PARTS_PER_REQUEST]
            has_changed |= crash.add(request.fingerprint, suspects)
        for part in crash.parts():
            self._crashes_of.setdefault(part, set()).add(start)
        return has_changed

    def _is_full(self) -> bool:
        if len(self._crashes) > MAX_CRASHES:
            return True
        return sum(crash.size for crash in self._crashes.values()) > MAX_SUSPECTS

    def _clear(self, part: PartKey) -> bool:
        """Remove a part that completed from the crashes; return whether it was there.

        A completion says nothing on crashes long after it.
        """
        valid_until_s = self._completed_s[part] + COMPLETION_VALID_S
        cleared = [
            self._crashes[start]
            for start in self._crashes_of[part]
            if self._crashes[start].at_s < valid_until_s
        ]
        for crash in cleared:
            crash.discard(part)
            self._remove_start(part, crash.start)
        return bool(cleared)

    def _remove_start(self, part: PartKey, start: str) -> None:
        self._crashes_of[part].discard(start)
        if not self._crashes_of[part]:
            del self._crashes_of[part]

    def _forget(self, crash: PartCrash) -> None:
        """Forget a crash; what was concluded from it stays."""
        for conclusion in self._concluded.values():
            if crash.start in conclusion.crashes:
                self._keep(conclusion)
                conclusion.crashes.clear()
        for part in crash.parts():
            self._remove_start(part, crash.start)
        del self._crashes[crash.start]

    def _keep(self, conclusion: Conclusion) -> None:
        """Keep a conclusion without its crashes; the first to end yields."""
        self._earlier[conclusion.group] = conclusion
        if len(self._earlier) > MAX_CONCLUSIONS:
            ends_first = min(self._earlier.values(), key=lambda c: c.until_s)
            del self._earlier[ends_first.group]

    def _judge(self) -> list[frozenset[PartKey]]:
        """Judge all crashes anew; return the groups that are newly concluded."""
        judgement = self._judge_crashes()
        before, self._concluded = self._concluded, judgement.conclusions
        self._withdraw_refuted(before)
        self._open = judgement.open
        self._concluded_of = {}
        for conclusion in self._concluded.values():
            for name in conclusion.group:
                self._concluded_of.setdefault(name, []).append(conclusion)
        return [
            group
            for group in sorted(self._concluded, key=sorted)
            if self._is_new(self._concluded[group], before.get(group))
        ]

    def _judge_crashes(self) -> Judgement:
        """Judge the crashes, and again without what turns out to be refuted."""
        crashes = sorted(self._crashes.values(), key=crash_moment)
        refuted: dict[frozenset[PartKey], tuple[float, str]] = {}
        for revision in range(MAX_REVISIONS):
            judgement = Judgement(self._earlier.values(), self.completed_s, refuted)
            is_last = revision == MAX_REVISIONS - 1
            for crash in crashes:
                judgement.add(crash)
                if judgement.is_revised and not is_last:
                    break
            else:
                break
        for group in refuted:
            self._earlier.pop(group, None)
        return judgement

    def _withdraw_refuted(self, before: dict[frozenset[PartKey], Conclusion]) -> None:
        """Drop other daemons' word for what the same crashes no longer show."""
        for group, conclusion in before.items():
            now = self._concluded.get(group)
            if now is None:
                self._earlier.pop(group, None)
            elif conclusion.crashes and not now.crashes:
                self._earlier.pop(group, None)
                del self._concluded[group]

    def _is_new(self, conclusion: Conclusion, before: Conclusion | None) -> bool:
        if not conclusion.is_own:
            return False
        if before is None or not before.is_own:
            return True
        return conclusion.times > before.times
