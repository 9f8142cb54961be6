"""Keeps the decision on crashing parts of prompts in step over all daemons.

Crash reports carry the parts that ran; this module adds the completions that clear
parts, and marks of conclusions, to the crash log. Used by `CrashDetector`.
"""

import asyncio
import random
from collections.abc import Iterable, Mapping, Sequence

from ...clocks import Clock
from ...events import Event
from ..reporting import Reporter
from .crashlog import CrashLog, CrashRecord, CrashReport, PartsCompletion, PartsMark
from .partquarantine import COMPLETION_VALID_S, CRASHES_TO_STOP_RETRIES, PartQuarantine
from .promptparts import PartKey, PartsAtCrash

# Bounds the size of a report; requests with the most parts are left out first.
MAX_PARTS_PER_REPORT = 400
MAX_PARTS_PER_COMPLETION = 400
# Completions of many parts are told together; the delay of each daemon is random, so
# that one daemon tells and the others hear of it.
MIN_TELL_DELAY_S, MAX_TELL_DELAY_S = 0.02, 0.12
MAX_UNTOLD_PARTS = 4_000
MAX_PARTS_LOGGED = 16
# At most this share of the time is spent on judgements, which take longer the more
# crashes are known.
MAX_JUDGEMENT_SHARE = 0.1


class PartCrashes:
    """Finds the parts of prompts that crash endpoints, from the crash log alone."""

    def __init__(
        self,
        quarantine: PartQuarantine,
        crash_log: CrashLog,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._quarantine: PartQuarantine = quarantine
        self._crash_log: CrashLog = crash_log
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        # When some daemon last told that a part completed.
        self._told_s: dict[PartKey, float] = {}
        self._untold: set[PartKey] = set()
        self._tell_timer: asyncio.TimerHandle | None = None
        self._next_judgement_s: float = float("-inf")
        self._judgement_timer: asyncio.TimerHandle | None = None
        # The endpoint and its start that reports since the last judgement name.
        self._newest_crash: tuple[str, int] = ("", 0)
        # Until when each group is marked in the log as quarantined.
        self._marked_until_s: dict[frozenset[PartKey], float] = {}

    def close(self) -> None:
        """Stop."""
        for timer in (self._tell_timer, self._judgement_timer):
            if timer is not None:
                timer.cancel()

    def find_causes(self, parts: Sequence[PartKey]) -> list[PartKey]:
        """Return the parts for which a request must not run, empty if it may run."""
        now_s = self._clock.now_s()
        if not self._quarantine.is_quarantined(parts, now_s):
            return []
        single = [p for p in parts if self._quarantine.is_quarantined([p], now_s)]
        return single or list(parts)

    def are_unclear(self, parts: Sequence[PartKey]) -> bool:
        """Whether one of the parts has not completed lately."""
        now_s = self._clock.now_s()
        return bool(self._quarantine.without_recent_completion(parts, now_s))

    def may_send_again(self, parts: Sequence[PartKey]) -> bool:
        """Whether a request that a crash cut may go to a further endpoint."""
        suspicion = self._quarantine.suspicion(parts, self._clock.now_s())
        return suspicion < CRASHES_TO_STOP_RETRIES

    def record_completion(self, parts: Iterable[PartKey]) -> None:
        """Record that a request completed; tell it of the parts that are suspected."""
        now_s = self._clock.now_s()
        suspected = [p for p in parts if self._quarantine.is_suspect(p, now_s)]
        self._quarantine.add_completion(parts, now_s)
        self._judge_soon()
        self._tell_soon(suspected)

    def suspects_of(
        self, requests: Mapping[str, Iterable[PartKey]]
    ) -> list[PartsAtCrash]:
        """Return requests, by fingerprint, with their parts that are not cleared."""
        now_s = self._clock.now_s()
        suspects = [
            PartsAtCrash(
                fingerprint,
                self._quarantine.without_recent_completion(sorted(parts), now_s),
            )
            for fingerprint, parts in sorted(requests.items())
        ]
        suspects = sorted((s for s in suspects if s.parts), key=lambda s: len(s.parts))
        return list(_take_parts(suspects, MAX_PARTS_PER_REPORT))

    def apply_crash(self, start: str, report: CrashReport, at_s: float) -> None:
        """Apply a crash report of this or another daemon."""
        if not report.requests:
            return
        self._quarantine.add_crash(start, report.requests, at_s)
        self._newest_crash = (report.endpoint, report.started_ms)
        self._judge_soon()
        named = {part for request in report.requests for part in request.parts}
        self._tell_soon(part for part in sorted(named) if self._is_news(part))

    def crash_counts(self, report: CrashReport) -> dict[PartKey, int]:
        """Return at how many unexplained crashes parts of a report ran, for the log."""
        now_s = self._clock.now_s()
        named = {part for request in report.requests for part in request.parts}
        counts = {p: self._quarantine.suspicion([p], now_s) for p in named}
        most = sorted(counts, key=lambda p: (-counts[p], p))[:MAX_PARTS_LOGGED]
        return {part: counts[part] for part in most}

    def apply_completion(self, record: PartsCompletion, at_s: float) -> None:
        """Apply that parts completed at this or another daemon."""
        for part, completed_ms in record.completed_ms.items():
            completed_s = at_s - (record.at_ms - completed_ms) / 1000
            self._quarantine.add_completion([part], completed_s)
            self._told_s[part] = max(completed_s, self._told_s.get(part, completed_s))
        self._judge_soon()

    def apply_mark(self, record: PartsMark, at_s: float, until_s: float) -> None:
        """Apply a conclusion of this or another daemon."""
        group = frozenset(record.parts)
        self._quarantine.add_quarantined(group, until_s, at_s)
        known_s = self._marked_until_s.get(group, until_s)
        self._marked_until_s[group] = max(until_s, known_s)

    def tick(self) -> None:
        """Forget what has expired."""
        now_s = self._clock.now_s()
        self._quarantine.tick(now_s)
        oldest_s = now_s - COMPLETION_VALID_S
        self._told_s = {p: s for p, s in self._told_s.items() if s > oldest_s}

    def update_log(self) -> None:
        """Mark conclusions in the log, and delete marks of those withdrawn.

        One daemon does this for all.
        """
        self._crash_log.delete_where(self._is_withdrawn)
        now_s, now_ms = self._clock.now_s(), self._clock.wall_ms()
        for group, until_s in self._quarantine.quarantined_here().items():
            if until_s <= self._marked_until_s.get(group, float("-inf")):
                continue
            self._marked_until_s[group] = until_s
            until_ms = now_ms + int((until_s - now_s) * 1000)
            self._crash_log.add(PartsMark(sorted(group), now_ms, until_ms))

    def _is_withdrawn(self, record: CrashRecord) -> bool:
        """Whether a record marks a group that is not quarantined any more."""
        if not isinstance(record, PartsMark):
            return False
        if record.until_ms <= self._clock.wall_ms():
            # It ended in its time, and a single crash concludes it again.
            return False
        if self._quarantine.is_quarantined(record.parts, self._clock.now_s()):
            return False
        self._marked_until_s.pop(frozenset(record.parts), None)
        return True

    def _is_news(self, part: PartKey) -> bool:
        """Whether a part completed here lately and the others may not know it."""
        completed_s = self._quarantine.completed_s(part)
        if self._clock.now_s() - completed_s >= COMPLETION_VALID_S:
            return False
        told_s = self._told_s.get(part, float("-inf"))
        return completed_s - told_s > COMPLETION_VALID_S / 2

    def _judge_soon(self) -> None:
        """Judge at once, or in a while if the last judgement took long."""
        if not self._quarantine.needs_judgement or self._judgement_timer is not None:
            return
        wait_s = self._next_judgement_s - self._clock.now_s()
        if wait_s <= 0:
            self._judge()
            return
        loop = asyncio.get_running_loop()
        self._judgement_timer = loop.call_later(wait_s, self._judge)

    def _judge(self) -> None:
        self._judgement_timer = None
        started_s = self._clock.now_s()
        concluded = self._quarantine.judge_if_needed()
        now_s = self._clock.now_s()
        self._next_judgement_s = now_s + (now_s - started_s) / MAX_JUDGEMENT_SHARE
        endpoint, started_ms = self._newest_crash
        for group in concluded:
            self._reporter.write(
                Event.PARTS_QUARANTINED,
                parts=sorted(group),
                endpoint=endpoint,
                started_ms=started_ms,
            )

    def _tell_soon(self, parts: Iterable[PartKey]) -> None:
        self._untold.update(parts)
        while len(self._untold) > MAX_UNTOLD_PARTS:
            self._untold.pop()
        if self._untold and self._tell_timer is None:
            delay_s = random.uniform(MIN_TELL_DELAY_S, MAX_TELL_DELAY_S)
            loop = asyncio.get_running_loop()
            self._tell_timer = loop.call_later(delay_s, self._tell)

    def _tell(self) -> None:
        """Tell the others which suspected parts have completed here."""
        self._tell_timer = None
        parts = sorted(part for part in self._untold if self._is_news(part))
        self._untold = set(parts[MAX_PARTS_PER_COMPLETION:])
        parts = parts[:MAX_PARTS_PER_COMPLETION]
        if parts:
            completed_ms = {part: self._completed_ms(part) for part in parts}
            at_ms = max(completed_ms.values())
            self._crash_log.add(PartsCompletion(completed_ms, at_ms))
        self._tell_soon([])

    def _completed_ms(self, part: PartKey) -> int:
        age_s = self._clock.now_s() - self._quarantine.completed_s(part)
        return self._clock.wall_ms() - int(age_s * 1000)


def _take_parts(
    requests: Iterable[PartsAtCrash], max_parts: int
) -> Iterable[PartsAtCrash]:
    """Yield requests as long as they hold at most `max_parts` parts together."""
    count = 0
    for request in requests:
        count += len(request.parts)
        if count > max_parts:
            return
        yield request
