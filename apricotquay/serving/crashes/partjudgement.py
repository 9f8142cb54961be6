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
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .promptparts import PartKey, parts_by_name

CRASHES_TO_CONCLUDE = 3
REQUESTS_TO_CONCLUDE = 3
# From this many crashes on, a tie does not prevent a conclusion.
CRASHES_DESPITE_TIE = 5
# A rival that shares fewer crashes with a part is explained by chance.
SHARED_CRASHES_OF_TIE = 2
FIRST_QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 24 * 3600.0
MAX_REQUESTS_PER_CRASH = 64
MAX_PATTERNS = 32


class Pattern(NamedTuple):
    """A request that ran at a crash: its parts that have not completed, by name."""

    fingerprint: str
    held: dict[PartKey, PartKey]

    def holds(self, group: frozenset[PartKey]) -> bool:
        """Whether the request holds all parts of a group."""
        return group <= self.held.keys()


class PartCrash:
    """A crash of an endpoint and the parts that may have caused it."""

    def __init__(self, start: str, at_s: float) -> None:
        self.start: str = start
        self.at_s: float = at_s
        self._requests: set[tuple[str, frozenset[PartKey]]] = set()
        self._patterns: list[Pattern] | None = None

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

    def patterns(self) -> list[Pattern]:
        """Return its requests, in the same order at all daemons."""
        if self._patterns is None:
            self._patterns = [
                Pattern(fingerprint, parts_by_name(parts))
                for fingerprint, parts in sorted(
                    self._requests, key=lambda r: (r[0], sorted(r[1]))
                )
            ]
        return self._patterns


def crash_moment(crash: PartCrash) -> tuple[float, str]:
    """Return the sort key of crashes, the same at all daemons."""
    return crash.at_s, crash.start


def crash_usefulness(crash: PartCrash) -> tuple[bool, float, str]:
    """Return the sort key in which crashes are forgotten when there are too many."""
    return crash.size > 0, crash.at_s, crash.start


class Conclusion:
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

    def copy(self) -> "Conclusion":
        """Return a copy without the crashes, which are counted anew."""
        copy = Conclusion(self.group, self.at_s, self.until_s, self.times)
        copy.evidence_s = self.evidence_s
        copy.is_own = self.is_own
        return copy

    def add(self, crash: PartCrash) -> None:
        """Count a crash; conclude again if the quarantine had ended."""
        self.crashes.add(crash.start)
        self.evidence_s = max(self.evidence_s, crash.at_s)
        if crash.at_s >= self.until_s:
            self.times += 1
            self.is_own = True
            self.at_s = crash.at_s
            self.until_s = crash.at_s + quarantine_s(self.times)


def quarantine_s(times: int) -> float:
    """Return how long a group is refused when it is concluded for the nth time."""
    return min(FIRST_QUARANTINE_S * 2.0 ** min(times - 1, 20), MAX_QUARANTINE_S)


def times_concluded(quarantine_s: float) -> int:
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


class Judgement:
    """Judges crashes one after the other, in the order in which they happened.

    `seen` holds the crashes at which a part may have been the cause, `open` those of
    them that no conclusion without this part explains.
    """

    def __init__(
        self,
        earlier: Iterable[Conclusion],
        completed_s: Callable[[PartKey], float],
        refuted: dict[frozenset[PartKey], tuple[float, str]],
    ) -> None:
        self.conclusions: dict[frozenset[PartKey], Conclusion] = {
            conclusion.group: conclusion.copy()
            for conclusion in earlier
            if conclusion.group not in refuted
        }
        # Groups that crashes up to a moment were found not to speak against.
        self.refuted: dict[frozenset[PartKey], tuple[float, str]] = refuted
        self.open: dict[PartKey, set[str]] = {}
        self._seen: dict[PartKey, set[str]] = {}
        self._crashes: dict[str, PartCrash] = {}
        self._completed_s: Callable[[PartKey], float] = completed_s
        # Whether a conclusion was refuted that earlier crashes were judged by.
        self.is_revised: bool = False

    def add(self, crash: PartCrash) -> None:
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

    def _known_causes(self, crash: PartCrash) -> list[Conclusion]:
        return [
            conclusion
            for conclusion in self.conclusions.values()
            if conclusion.at_s <= crash.at_s
            and any(self._explains(conclusion, p) for p in crash.patterns())
        ]

    def _explains(self, conclusion: Conclusion, pattern: Pattern) -> bool:
        return pattern.holds(conclusion.group) and not any(
            self._completed_s(pattern.held[name]) > conclusion.evidence_s
            for name in conclusion.group
        )

    def _judge(self, part: PartKey, crash: PartCrash) -> None:
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

    def _is_refuted(self, group: frozenset[PartKey], crash: PartCrash) -> bool:
        return group in self.refuted and crash_moment(crash) <= self.refuted[group]

    def _refute(self, crash: PartCrash) -> None:
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

    def _refute_twins(self, conclusion: Conclusion, crash: PartCrash) -> None:
        """Refute what tied with a conclusion when a further crash tells them apart."""
        for other in list(self.conclusions.values()):
            if other.at_s == conclusion.at_s and other.crashes < conclusion.crashes:
                self._refute_one(other, crash)

    def _refute_one(self, conclusion: Conclusion, crash: PartCrash) -> None:
        del self.conclusions[conclusion.group]
        self.refuted[conclusion.group] = crash_moment(crash)
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
        self, group: frozenset[PartKey], starts: set[str], crash: PartCrash
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
        self, group: frozenset[PartKey], starts: set[str], crash: PartCrash
    ) -> None:
        if self._is_refuted(group, crash):
            return
        for other in list(self.conclusions.values()):
            if group < other.group:
                del self.conclusions[other.group]
        conclusion = self.conclusions.get(group)
        if conclusion is None:
            until_s = crash.at_s + quarantine_s(1)
            conclusion = Conclusion(group, crash.at_s, until_s, 1)
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
