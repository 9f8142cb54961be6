"""Finds the parts of prompts that crash endpoints. Pure.

Requests list the parts of their prompts; requests share parts, and one part may crash
each endpoint that begins an answer on it, whatever else the request holds. Whole
requests are judged by `quarantine`; here the parts that different requests share are.

A crash is named by the start of the endpoint. All reports of it, by any daemon, in any
order and any number of times, are merged. The crashes known are judged anew, in the
order in which they happened, whenever one of them changes, so daemons that know the
same reports and completions come to the same conclusions.

- A part that completed lately is no suspect, at crashes before and after. This holds
  for the model that it completed under; crashes under other models add up.
- A part is concluded at the third crash, if three different requests with it ran
  there, and nothing else explains the crashes as well. A request that was sent again
  counts once; if one request ran at all the crashes, its own quarantine ends them.
- Parts that only ever came together in one request cannot be told apart. They are
  concluded together: requests that hold all of them are refused, and requests that
  hold some of them go on. A crash of such a request, or a completion, shrinks the
  group.
- Other ties, by requests that ran beside each crash by chance, wait until the fifth
  crash. Then each pattern of parts that explains all crashes is concluded by itself,
  and two different requests are enough.
- Crashes at which a concluded group ran do not count against other parts, except that
  a part that ran at five is concluded at the next crash that no conclusion explains.
- A conclusion is refuted when others leave fewer than three crashes to it. All crashes
  are then judged again without it.
- A conclusion lasts ten minutes. For a day after that, one crash is enough to conclude
  it again, for twice as long, up to a day.
"""

import collections
import hashlib
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple, NewType

import msgspec

PartKey = NewType("PartKey", str)

CRASHES_TO_CONCLUDE = 3
REQUESTS_TO_CONCLUDE = 3
# From this many crashes on, a tie does not prevent a conclusion.
CRASHES_DESPITE_TIE = 5
# A rival that shares fewer crashes with a part is explained by chance.
SHARED_CRASHES_OF_TIE = 2
CRASH_RETENTION_S = 600.0
FIRST_QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 24 * 3600.0
# For how long after its end a conclusion needs only one crash.
PROBATION_S = 24 * 3600.0
COMPLETION_VALID_S = 600.0
MAX_COMPLETIONS = 50_000
MAX_CRASHES = 200
# All suspects of all crashes: bounds memory and the time of a judgement.
MAX_SUSPECTS = 4_000
MAX_REQUESTS_PER_CRASH = 64
MAX_PARTS_PER_REQUEST = 32
MAX_PART_ID_LENGTH = 64
MAX_CONCLUSIONS = 500
MAX_PATTERNS = 32
# Each costs as much as a judgement, in the event loop that serves requests.
MAX_REVISIONS = 4
# A request cut by a crash is sent again while its parts ran at fewer crashes.
CRASHES_TO_STOP_RETRIES = 2


def part_key(model: str, part_id: str) -> PartKey:
    """Return the key of a part under a model; long ids are shortened to a digest."""
    if len(part_id) > MAX_PART_ID_LENGTH:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()
    return PartKey(f"{part_id}@{model}")


def _name(part: PartKey) -> PartKey:
    """Return the key of a part without its model, as conclusions hold it."""
    return PartKey(part[: part.rfind("@") + 1] or f"{part}@")


def _by_name(parts: Iterable[PartKey]) -> dict[PartKey, PartKey]:
    return {_name(part): part for part in parts}


class PartsAtCrash(msgspec.Struct, frozen=True):
    """One request that ran at a crashed endpoint: its parts without the last."""

    fingerprint: str
    parts: list[PartKey]


class _Pattern(NamedTuple):
    """A request that ran at a crash: its parts that have not completed, by name."""

    fingerprint: str
    held: dict[PartKey, PartKey]

    def holds(self, group: frozenset[PartKey]) -> bool:
        """Whether the request holds all parts of a group."""
        return group <= self.held.keys()


class _Crash:
    """A crash of an endpoint and the parts that may have caused it."""

    def __init__(self, start: str, at_s: float) -> None:
        self.start: str = start
        self.at_s: float = at_s
        self._requests: set[tuple[str, frozenset[PartKey]]] = set()
        self._patterns: list[_Pattern] | None = None

    def add(self, fingerprint: str, parts: Iterable[PartKey]) -> bool:
        """Add a request that ran there; return whether that is new."""
        request = (fingerprint, frozenset(parts))
        if not request[1] or request in self._requests:
            return False
        if len(self._requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        self._requests.add(request)
        self._patterns = None
        return True

    def discard(self, part: PartKey) -> None:
        """Remove a part that is not the cause."""
        requests, self._requests = self._requests, set()
        for fingerprint, parts in requests:
            self.add(fingerprint, parts - {part})
        self._patterns = None

    @property
    def size(self) -> int:
        """Number of suspects, counted for each request."""
        return sum(len(parts) for _, parts in self._requests)

    def parts(self) -> set[PartKey]:
        """Return the parts that may have caused it, by model."""
        return {part for _, parts in self._requests for part in parts}

    def patterns(self) -> list[_Pattern]:
        """Return its requests, in the same order at all daemons."""
        if self._patterns is None:
            self._patterns = [
                _Pattern(fingerprint, _by_name(parts))
                for fingerprint, parts in sorted(
                    self._requests, key=lambda r: (r[0], sorted(r[1]))
                )
            ]
        return self._patterns


def _moment(crash: _Crash) -> tuple[float, str]:
    """Return the sort key of crashes, the same at all daemons."""
    return crash.at_s, crash.start


def _usefulness(crash: _Crash) -> tuple[bool, float, str]:
    """Return the sort key in which crashes are forgotten when there are too many."""
    return crash.size > 0, crash.at_s, crash.start


class _Conclusion:
    """A group of parts that crashes endpoints, so requests with all of it are refused.

    `evidence_s` is the time of the last crash that counts for it.
    """

    def __init__(
        self, group: frozenset[PartKey], at_s: float, until_s: float, times: int
    ) -> None:
        self.group: frozenset[PartKey] = group
        self.at_s: float = at_s
        self.until_s: float = until_s
        self.times: int = times
        self.evidence_s: float = at_s
        self.crashes: set[str] = set()
        # Whether crashes known here led to it, not only another daemon's word.
        self.is_own: bool = False

    def copy(self) -> "_Conclusion":
        """Return a copy without the crashes, which are counted anew."""
        copy = _Conclusion(self.group, self.at_s, self.until_s, self.times)
        copy.evidence_s = self.evidence_s
        copy.is_own = self.is_own
        return copy

    def add(self, crash: _Crash) -> None:
        """Count a crash; conclude again if the quarantine had ended."""
        self.crashes.add(crash.start)
        self.evidence_s = max(self.evidence_s, crash.at_s)
        if crash.at_s >= self.until_s:
            self.times += 1
            self.is_own = True
            self.at_s = crash.at_s
            self.until_s = crash.at_s + _quarantine_s(self.times)


def _quarantine_s(times: int) -> float:
    """Return how long a group is refused when it is concluded for the nth time."""
    return min(FIRST_QUARANTINE_S * 2.0 ** min(times - 1, 20), MAX_QUARANTINE_S)


def _times_of(quarantine_s: float) -> int:
    """Return how many times a group was concluded that is refused for so long."""
    ratio = max(quarantine_s / FIRST_QUARANTINE_S, 1.0)
    return 1 + round(math.log2(ratio))


def _largest(groups: Iterable[frozenset[PartKey]]) -> set[frozenset[PartKey]]:
    """Return the groups that are part of no other, at most MAX_PATTERNS."""
    largest: list[frozenset[PartKey]] = []
    for group in sorted(groups, key=lambda g: (-len(g), sorted(g))):
        if group and not any(group <= other for other in largest):
            largest.append(group)
    return set(largest[:MAX_PATTERNS])


class _Judgement:
    """Judges crashes one after the other, in the order in which they happened.

    `seen` holds the crashes at which a part may have been the cause, `open` those of
    them that no conclusion without this part explains.
    """

    def __init__(
        self,
        earlier: Iterable[_Conclusion],
        completed_s: Callable[[PartKey], float],
        refuted: dict[frozenset[PartKey], tuple[float, str]],
    ) -> None:
        self.conclusions: dict[frozenset[PartKey], _Conclusion] = {
            conclusion.group: conclusion.copy()
            for conclusion in earlier
            if conclusion.group not in refuted
        }
        # Groups that crashes up to a moment were found not to speak against.
        self.refuted: dict[frozenset[PartKey], tuple[float, str]] = refuted
        self.open: dict[PartKey, set[str]] = {}
        self._seen: dict[PartKey, set[str]] = {}
        self._crashes: dict[str, _Crash] = {}
        self._completed_s: Callable[[PartKey], float] = completed_s
        # Whether a conclusion was refuted that earlier crashes were judged by.
        self.is_revised: bool = False

    def add(self, crash: _Crash) -> None:
        """Judge the next crash."""
        self._crashes[crash.start] = crash
        parts = {part for pattern in crash.patterns() for part in pattern.held}
        for part in parts:
            self._seen.setdefault(part, set()).add(crash.start)
            self.open.setdefault(part, set())
        known = self._known_causes(crash)
        for conclusion in known:
            conclusion.add(crash)
            parts = parts & conclusion.group
            self._refute_twins(conclusion, crash)
        for part in parts:
            self.open[part].add(crash.start)
        if not known:
            suspects = [p for p in parts if len(self._seen[p]) >= CRASHES_TO_CONCLUDE]
            for part in sorted(suspects, key=lambda p: (-len(self._seen[p]), p)):
                if crash.start in self.open[part]:
                    self._judge(part, crash)

    def _known_causes(self, crash: _Crash) -> list[_Conclusion]:
        return [
            conclusion
            for conclusion in self.conclusions.values()
            if conclusion.at_s <= crash.at_s
            and any(self._explains(conclusion, p) for p in crash.patterns())
        ]

    def _explains(self, conclusion: _Conclusion, pattern: _Pattern) -> bool:
        return pattern.holds(conclusion.group) and not any(
            self._completed_s(pattern.held[name]) > conclusion.evidence_s
            for name in conclusion.group
        )

    def _judge(self, part: PartKey, crash: _Crash) -> None:
        """Conclude a part, or the group that it came in, if that is clear."""
        starts = set(self.open[part])
        if len(starts) >= CRASHES_TO_CONCLUDE:
            groups = self._groups_at(starts, self._rivals(starts))
        elif len(self._seen[part]) >= CRASHES_DESPITE_TIE:
            # It shares crashes with a known cause, but that does not explain this one.
            starts = set(self._seen[part])
            groups = self._groups_at(starts, [part])
        else:
            return
        groups = [
            group
            for group in groups
            if self._has_several_requests(group, starts)
            and not self._is_refuted(group, crash)
        ]
        if not any(part in group for group in groups):
            return
        if len(starts) >= CRASHES_DESPITE_TIE:
            common = frozenset.intersection(*groups)
            for group in [common] if common else groups:
                self._conclude(group, starts, crash)
        elif len(groups) == 1 and not self._has_tie(groups[0], starts, crash):
            self._conclude(groups[0], starts, crash)

    def _is_refuted(self, group: frozenset[PartKey], crash: _Crash) -> bool:
        return group in self.refuted and _moment(crash) <= self.refuted[group]

    def _refute(self, crash: _Crash) -> None:
        """Refute conclusions, the oldest first, that others leave too few crashes."""
        ran = {group: self._crashes_with(group) for group in self.conclusions}
        for conclusion in sorted(self.conclusions.values(), key=lambda c: c.at_s):
            if conclusion.at_s == crash.at_s:
                continue
            others = set().union(
                *(
                    ran[other.group]
                    for other in self.conclusions.values()
                    if other.at_s != conclusion.at_s
                )
            )
            known = conclusion.crashes if conclusion.is_own else ran[conclusion.group]
            if known & others and len(known - others) < CRASHES_TO_CONCLUDE:
                self._refute_one(conclusion, crash)

    def _refute_twins(self, conclusion: _Conclusion, crash: _Crash) -> None:
        """Refute what tied with a conclusion when a further crash tells them apart."""
        for other in list(self.conclusions.values()):
            if other.at_s == conclusion.at_s and other.crashes < conclusion.crashes:
                self._refute_one(other, crash)

    def _refute_one(self, conclusion: _Conclusion, crash: _Crash) -> None:
        del self.conclusions[conclusion.group]
        self.refuted[conclusion.group] = _moment(crash)
        self.is_revised = True

    def _crashes_with(self, group: frozenset[PartKey]) -> set[str]:
        """Return the crashes at which a request with all parts of a group ran."""
        return {
            start
            for start in self._seen.get(min(group), ())
            if any(p.holds(group) for p in self._crashes[start].patterns())
        }

    def _rivals(self, starts: set[str]) -> list[PartKey]:
        """Return the parts that explain all the crashes."""
        any_start = min(starts)
        return [
            part
            for pattern in self._crashes[any_start].patterns()
            for part in pattern.held
            if starts <= self._seen[part]
        ]

    def _groups_at(
        self, starts: set[str], rivals: Iterable[PartKey]
    ) -> list[frozenset[PartKey]]:
        """Return the largest groups that came in one request at each crash."""
        groups = {frozenset(rivals)}
        for start in sorted(starts):
            patterns = self._crashes[start].patterns()
            groups = _largest(
                {g.intersection(p.held) for g in groups for p in patterns}
            )
        return sorted(groups, key=sorted)

    def _has_several_requests(
        self, group: frozenset[PartKey], starts: set[str]
    ) -> bool:
        """Whether different requests with a group ran at the crashes.

        A request that was sent again beneath a crash says little more the second time.
        """
        fingerprints = [
            {p.fingerprint for p in self._crashes[start].patterns() if p.holds(group)}
            for start in starts
        ]
        if len(starts) < CRASHES_DESPITE_TIE:
            return len(set.union(*fingerprints)) >= REQUESTS_TO_CONCLUDE
        return not set.intersection(*fingerprints)

    def _has_tie(
        self, group: frozenset[PartKey], starts: set[str], crash: _Crash
    ) -> bool:
        """Whether a part of another request explains as many crashes, partly these."""
        shared = collections.Counter(
            part
            for start in starts
            for part in {n for p in self._crashes[start].patterns() for n in p.held}
            if part not in group
        )
        return any(
            count >= SHARED_CRASHES_OF_TIE
            and len(self.open[part]) >= len(starts)
            and not self._is_refuted(frozenset([part]), crash)
            for part, count in shared.items()
        )

    def _conclude(
        self, group: frozenset[PartKey], starts: set[str], crash: _Crash
    ) -> None:
        if self._is_refuted(group, crash):
            return
        for other in list(self.conclusions.values()):
            if group < other.group:
                del self.conclusions[other.group]
        conclusion = self.conclusions.get(group)
        if conclusion is None:
            until_s = crash.at_s + _quarantine_s(1)
            conclusion = _Conclusion(group, crash.at_s, until_s, 1)
            self.conclusions[group] = conclusion
        conclusion.add(crash)
        conclusion.crashes |= starts
        conclusion.is_own = True
        self._refute(crash)
        for part in {
            name
            for start in starts
            for pattern in self._crashes[start].patterns()
            for name in pattern.held
        }:
            if part not in group:
                self.open[part] -= starts


class PartQuarantine:
    """Tracks crashes, completions and the groups of parts that are refused."""

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        self._crashes_of: dict[PartKey, set[str]] = {}
        self._completed_s: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )
        # Conclusions whose crashes are not known here, or no longer.
        self._earlier: dict[frozenset[PartKey], _Conclusion] = {}
        self._concluded: dict[frozenset[PartKey], _Conclusion] = {}
        self._concluded_of: dict[PartKey, list[_Conclusion]] = {}
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
            self._forget(min(self._crashes.values(), key=_usefulness))

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
            for conclusion in self._concluded_of.get(_name(part), ())
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
        counts = (len(self._open.get(_name(part), ())) for part in unclear)
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
        group = frozenset(map(_name, parts))
        known = self._earlier.get(group)
        if not group or (known is not None and known.until_s >= until_s):
            return
        at_s = until_s - FIRST_QUARANTINE_S if at_s is None else at_s
        times = _times_of(until_s - at_s)
        self._keep(_Conclusion(group, at_s, until_s, times))
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
    ) -> Iterator[_Conclusion]:
        """Return the conclusions that a request with these parts falls under."""
        held = _by_name(parts)
        for name in held:
            for conclusion in self._concluded_of.get(name, ()):
                left = self._left_of(conclusion, held, now_s)
                if left and left <= held.keys():
                    yield conclusion

    def _left_of(
        self, conclusion: _Conclusion, held: dict[PartKey, PartKey], now_s: float
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
        crash = self._crashes.setdefault(start, _Crash(start, at_s))
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

    def _forget(self, crash: _Crash) -> None:
        """Forget a crash; what was concluded from it stays."""
        for conclusion in self._concluded.values():
            if crash.start in conclusion.crashes:
                self._keep(conclusion)
                conclusion.crashes.clear()
        for part in crash.parts():
            self._remove_start(part, crash.start)
        del self._crashes[crash.start]

    def _keep(self, conclusion: _Conclusion) -> None:
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

    def _judge_crashes(self) -> _Judgement:
        """Judge the crashes, and again without what turns out to be refuted."""
        crashes = sorted(self._crashes.values(), key=_moment)
        refuted: dict[frozenset[PartKey], tuple[float, str]] = {}
        for revision in range(MAX_REVISIONS):
            judgement = _Judgement(self._earlier.values(), self.completed_s, refuted)
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

    def _withdraw_refuted(self, before: dict[frozenset[PartKey], _Conclusion]) -> None:
        """Drop other daemons' word for what the same crashes no longer show."""
        for group, conclusion in before.items():
            now = self._concluded.get(group)
            if now is None:
                self._earlier.pop(group, None)
            elif conclusion.crashes and not now.crashes:
                self._earlier.pop(group, None)
                del self._concluded[group]

    def _is_new(self, conclusion: _Conclusion, before: _Conclusion | None) -> bool:
        if not conclusion.is_own:
            return False
        if before is None or not before.is_own:
            return True
        return conclusion.times > before.times
