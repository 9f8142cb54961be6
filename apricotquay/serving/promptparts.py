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
- A part is concluded at the third crash, if no request with one fingerprint ran at all
  of them, and nothing else explains the crashes as well.
- Parts that only ever came together in one request cannot be told apart. They are
  concluded together: requests that hold all of them are refused, and requests that
  hold some of them go on. A crash of such a request, or a completion, shrinks the
  group.
- Other ties, by requests that ran beside each crash by chance, wait until the fifth
  crash. Then each pattern of parts that explains all crashes is concluded by itself.
- Crashes at which a concluded group ran do not count against other parts. A conclusion
  is released when a later one explains all its crashes.
- A conclusion lasts ten minutes. For a day after that, one crash is enough to conclude
  it again, for twice as long, up to a day.
"""

import collections
import hashlib
from collections.abc import Iterable, Iterator, Sequence
from typing import NewType

import msgspec

PartKey = NewType("PartKey", str)

CRASHES_TO_CONCLUDE = 3
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
MAX_REQUESTS_PER_CRASH = 64
MAX_PARTS_PER_REQUEST = 32
MAX_PART_ID_LENGTH = 64
MAX_CONCLUSIONS = 500
MAX_PATTERNS = 32
# A request cut by a crash is sent again while its parts ran at fewer crashes.
CRASHES_TO_STOP_RETRIES = 2

_ANY_MODEL = ""


def part_key(model: str, part_id: str) -> PartKey:
    """Return the key of a part under a model; long ids are shortened to a digest."""
    if len(part_id) > MAX_PART_ID_LENGTH:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()
    return PartKey(f"{part_id}@{model}")


def _any_model(part: PartKey) -> PartKey:
    """Return the key of the same part under any model, as groups hold them."""
    return PartKey(part[: part.rindex("@") + 1])


def _model_of(part: PartKey) -> str:
    return part[part.rindex("@") + 1 :]


class PartsAtCrash(msgspec.Struct, frozen=True):
    """One request that ran at a crashed endpoint: its parts without the last."""

    fingerprint: str
    parts: list[PartKey]


class _Crash:
    """A crash and what may have caused it: parts by model, of each request."""

    def __init__(self, start: str, at_s: float) -> None:
        self.start: str = start
        self.at_s: float = at_s
        self.requests: set[tuple[str, frozenset[PartKey]]] = set()

    def add(self, fingerprint: str, parts: Iterable[PartKey]) -> None:
        """Add a request that ran there."""
        request = (fingerprint, frozenset(parts))
        if request[1] and len(self.requests) < MAX_REQUESTS_PER_CRASH:
            self.requests.add(request)

    def discard(self, part: PartKey) -> None:
        """Remove a part that is not the cause."""
        requests, self.requests = self.requests, set()
        for fingerprint, parts in requests:
            self.add(fingerprint, parts - {part})

    def patterns(self) -> list[tuple[str, frozenset[PartKey]]]:
        """Return the fingerprints and parts under any model of its requests."""
        return [(f, frozenset(map(_any_model, parts))) for f, parts in self.requests]

    def parts(self) -> set[PartKey]:
        """Return the parts by model."""
        return {part for _, parts in self.requests for part in parts}


class _Conclusion:
    """A group of parts; requests that hold all of them are refused."""

    def __init__(self, group: frozenset[PartKey], until_s: float, times: int) -> None:
        self.group: frozenset[PartKey] = group
        self.until_s: float = until_s
        self.times: int = times
        self.crashes: set[str] = set()
        self.cleared: set[PartKey] = set()

    def renew(self, at_s: float) -> None:
        """Conclude again for a crash after the end."""
        if at_s >= self.until_s:
            self.times += 1
            self.until_s = at_s + _duration_s(self.times)


def _duration_s(times: int) -> float:
    return min(FIRST_QUARANTINE_S * 2.0 ** min(times - 1, 20), MAX_QUARANTINE_S)


class _Judgement:
    """Judges crashes one after the other, in the order in which they happened."""

    def __init__(self, earlier: Iterable[_Conclusion]) -> None:
        self.conclusions: dict[frozenset[PartKey], _Conclusion] = {}
        self.support: dict[PartKey, set[str]] = {}
        self._patterns: dict[str, list[tuple[str, frozenset[PartKey]]]] = {}
        for conclusion in earlier:
            copy = _Conclusion(conclusion.group, conclusion.until_s, conclusion.times)
            self.conclusions[copy.group] = copy

    def add(self, crash: _Crash) -> None:
        """Judge the next crash."""
        patterns = sorted(crash.patterns(), key=lambda p: (p[0], sorted(p[1])))
        self._patterns[crash.start] = patterns
        parts = {part for _, pattern in patterns for part in pattern}
        known = self._known_causes(patterns)
        for conclusion in known:
            conclusion.renew(crash.at_s)
            conclusion.crashes.add(crash.start)
            self._count(conclusion.group, crash)
        if known:
            return
        self._count(parts, crash)
        for part in sorted(parts, key=lambda p: (-len(self.support[p]), p)):
            if crash.start in self.support[part]:
                self._judge(part, crash)

    def _known_causes(
        self, patterns: list[tuple[str, frozenset[PartKey]]]
    ) -> list[_Conclusion]:
        return [
            conclusion
            for group, conclusion in self.conclusions.items()
            if any(group <= pattern for _, pattern in patterns)
        ]

    def _count(self, parts: Iterable[PartKey], crash: _Crash) -> None:
        for part in parts:
            self.support.setdefault(part, set()).add(crash.start)

    def _judge(self, part: PartKey, crash: _Crash) -> None:
        starts = self.support[part]
        if len(starts) < CRASHES_TO_CONCLUDE:
            return
        rivals = [p for p, s in self.support.items() if s >= starts]
        patterns = self._common_patterns(starts, rivals)
        patterns = [p for p in patterns if self._has_several_requests(p, starts)]
        if not any(part in pattern for pattern in patterns):
            return
        if len(starts) >= CRASHES_DESPITE_TIE:
            common = frozenset.intersection(*patterns)
            for pattern in [common] if common else patterns:
                self._conclude(pattern, starts, crash.at_s)
        elif len(patterns) == 1 and not self._has_tie(patterns[0], starts):
            self._conclude(patterns[0], starts, crash.at_s)

    def _common_patterns(
        self, starts: set[str], rivals: Iterable[PartKey]
    ) -> list[frozenset[PartKey]]:
        """Return the largest groups that came in one request at each crash."""
        groups = {frozenset(rivals)}
        for start in sorted(starts):
            groups = {
                group & pattern
                for group in groups
                for _, pattern in self._patterns[start]
            }
            groups = set(_largest(groups))
        return sorted(groups, key=sorted)

    def _has_several_requests(
        self, group: frozenset[PartKey], starts: set[str]
    ) -> bool:
        """Whether no request of one fingerprint explains all the crashes."""
        fingerprints = [
            {f for f, pattern in self._patterns[start] if group <= pattern}
            for start in starts
        ]
        return not set.intersection(*fingerprints)

    def _has_tie(self, group: frozenset[PartKey], starts: set[str]) -> bool:
        return any(
            part not in group
            and len(others) >= len(starts)
            and len(others & starts) >= SHARED_CRASHES_OF_TIE
            for part, others in self.support.items()
        )

    def _conclude(
        self, group: frozenset[PartKey], starts: set[str], at_s: float
    ) -> None:
        starts = set(starts)
        for other in list(self.conclusions.values()):
            if group < other.group or other.crashes < starts and other.crashes:
                del self.conclusions[other.group]
        conclusion = self.conclusions.get(group)
        if conclusion is None:
            conclusion = _Conclusion(group, at_s + _duration_s(1), 1)
            self.conclusions[group] = conclusion
        conclusion.crashes |= starts
        for part, others in self.support.items():
            if part not in group:
                others -= starts


def _largest(groups: Iterable[frozenset[PartKey]]) -> list[frozenset[PartKey]]:
    """Return the groups that are part of no other, at most MAX_PATTERNS."""
    largest: list[frozenset[PartKey]] = []
    for group in sorted(groups, key=lambda g: (-len(g), sorted(g))):
        if group and not any(group <= other for other in largest):
            largest.append(group)
    return largest[:MAX_PATTERNS]


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
        self._here: set[frozenset[PartKey]] = set()
        self._support: dict[PartKey, set[str]] = {}
        self._groups_of: dict[PartKey, list[_Conclusion]] = {}

    def record_crash(
        self, start: str, requests: Sequence[PartsAtCrash], at_s: float
    ) -> list[frozenset[PartKey]]:
        """Add a report of a crash; return the groups that are concluded by it."""
        crash = self._crashes.setdefault(start, _Crash(start, at_s))
        crash.at_s = min(crash.at_s, at_s)
        for request in requests:
            parts = request.parts[:MAX_PARTS_PER_REQUEST]
            crash.add(request.fingerprint, self.without_recent_completion(parts, at_s))
        for part in crash.parts():
            self._crashes_of.setdefault(part, set()).add(start)
        while len(self._crashes) > MAX_CRASHES:
            self._forget(min(self._crashes.values(), key=lambda c: (c.at_s, c.start)))
        return self._judge()

    def record_completion(self, parts: Iterable[PartKey], now_s: float) -> None:
        """Clear the parts of a request that completed, under its model."""
        has_changed = False
        for part in parts:
            known_s = self._completed_s.get(part, now_s)
            self._completed_s[part] = max(known_s, now_s)
            self._completed_s.move_to_end(part)
            if part in self._crashes_of or _any_model(part) in self._groups_of:
                has_changed |= self._clear(part)
        while len(self._completed_s) > MAX_COMPLETIONS:
            self._completed_s.popitem(last=False)
        if has_changed:
            self._judge()

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
        if not self._groups_of:
            return False
        return any(c.until_s > now_s for c in self._matching(parts, now_s))

    def is_suspect(self, part: PartKey, now_s: float) -> bool:
        """Whether a part may be the cause of a crash, so that its completion counts."""
        if part in self._crashes_of:
            return True
        return any(
            part not in conclusion.cleared
            for conclusion in self._groups_of.get(_any_model(part), [])
        )

    def suspicion(self, parts: Sequence[PartKey], now_s: float) -> int:
        """Return at how many crashes one of the parts ran that has not completed."""
        counts = [
            len(self._support.get(_any_model(part), ()))
            for part in self.without_recent_completion(parts, now_s)
        ]
        if self._groups_of and next(self._matching(parts, now_s), None):
            counts.append(CRASHES_TO_CONCLUDE)
        return max(counts, default=0)

    def quarantined_here(self) -> dict[frozenset[PartKey], float]:
        """Return when the quarantines that this daemon concluded end."""
        groups = sorted(self._here, key=sorted)
        return {group: self._concluded[group].until_s for group in groups}

    def add_quarantined(self, parts: frozenset[PartKey], until_s: float) -> None:
        """Quarantine a group of parts that was concluded by another daemon."""
        group = frozenset(map(_any_model, parts))
        known = self._earlier.get(group)
        if known is None or until_s > known.until_s:
            self._earlier[group] = _Conclusion(group, until_s, 1)
        self._judge()

    def release(self, part: PartKey, now_s: float) -> None:
        """End the quarantine of a part under its model."""
        self.record_completion([part], now_s)

    def tick(self, now_s: float) -> None:
        """Remove expired entries."""
        oldest_s = now_s - CRASH_RETENTION_S
        expired = [c for c in self._crashes.values() if c.at_s <= oldest_s]
        for crash in expired:
            self._forget(crash)
        ended = [c for c in self._earlier.values() if c.until_s + PROBATION_S <= now_s]
        for conclusion in ended:
            del self._earlier[conclusion.group]
        if expired or ended:
            self._judge()
        self._here = {g for g in self._here if self._concluded[g].until_s > now_s}

    def _matching(
        self, parts: Sequence[PartKey], now_s: float
    ) -> Iterator[_Conclusion]:
        """Return the conclusions that a request with these parts falls under."""
        held = {_any_model(part): part for part in parts}
        for name in held:
            for conclusion in self._groups_of.get(name, []):
                left = {
                    member
                    for member in conclusion.group
                    if member not in held
                    or held[member] not in conclusion.cleared
                    and self.without_recent_completion([held[member]], now_s)
                }
                if left and left <= held.keys():
                    yield conclusion

    def _clear(self, part: PartKey) -> bool:
        """Remove a part that completed from the crashes; return if that changed any."""
        valid_s = self._completed_s[part] + COMPLETION_VALID_S
        starts = [
            s for s in self._crashes_of.get(part, ()) if self._crashes[s].at_s < valid_s
        ]
        for start in starts:
            self._crashes[start].discard(part)
            self._crashes_of[part].discard(start)
        if not self._crashes_of.get(part, True):
            del self._crashes_of[part]
        for conclusion in self._groups_of.get(_any_model(part), []):
            conclusion.cleared.add(part)
        return bool(starts)

    def _forget(self, crash: _Crash) -> None:
        """Forget a crash; conclusions that it led to stay."""
        for conclusion in self._concluded.values():
            if crash.start in conclusion.crashes:
                self._earlier[conclusion.group] = conclusion
        del self._crashes[crash.start]
        for part in crash.parts():
            self._crashes_of[part].discard(crash.start)
            if not self._crashes_of[part]:
                del self._crashes_of[part]

    def _judge(self) -> list[frozenset[PartKey]]:
        """Judge all crashes anew; return the groups that are new."""
        judgement = _Judgement(self._earlier.values())
        for crash in sorted(self._crashes.values(), key=lambda c: (c.at_s, c.start)):
            judgement.add(crash)
        before, self._concluded = self._concluded, judgement.conclusions
        for group in before.keys() - self._concluded.keys():
            self._earlier.pop(group, None)
        for group, conclusion in self._concluded.items():
            earlier = before.get(group) or self._earlier.get(group)
            if earlier is not None:
                conclusion.cleared = earlier.cleared
        self._support = judgement.support
        self._groups_of = {}
        for conclusion in self._concluded.values():
            for part in conclusion.group:
                self._groups_of.setdefault(part, []).append(conclusion)
        new = [g for g in self._concluded if g not in before and g not in self._earlier]
        self._here = (self._here & self._concluded.keys()) | set(new)
        return sorted(new, key=sorted)
