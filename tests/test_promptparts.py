"""The decision which part of prompts crashes endpoints."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence

from parameterized import parameterized

from apricotquay.serving.crashes.partjudgement import (
    CRASHES_DESPITE_TIE,
    FIRST_QUARANTINE_S,
    MAX_QUARANTINE_S,
    MAX_REQUESTS_PER_CRASH,
)
from apricotquay.serving.crashes.partquarantine import (
    COMPLETION_VALID_S,
    CRASH_RETENTION_S,
    CRASHES_TO_STOP_RETRIES,
    MAX_COMPLETIONS,
    MAX_CONCLUSIONS,
    MAX_CRASHES,
    MAX_SUSPECTS,
    PROBATION_S,
    PartQuarantine,
)
from apricotquay.serving.crashes.promptparts import (
    MAX_PARTS_PER_REQUEST,
    PartKey,
    PartsAtCrash,
    part_key,
)

from .base import ApricotTest

MAX_ATTEMPTS = 3
SLOTS = 8
ENDPOINT_BACK_S = 1.0
MAX_DELAY_S = 0.3
# A daemon knows of a crash, or a completion, at most this long after it.
CONTACT_S = 1.0
# The users' bound on requests that reach endpoints later than that.
MAX_REACHES_LATER = 3


class _Request:
    """A request of the random histories."""

    def __init__(
        self, fingerprint: str, parts: list[PartKey], bad: PartKey | None
    ) -> None:
        self.fingerprint: str = fingerprint
        self.parts: list[PartKey] = parts
        self.bad: PartKey | None = bad
        self.attempts: int = 0


class _Endpoint:
    """An endpoint: the requests that run there, and the daemon of each."""

    def __init__(self, name: str) -> None:
        self.name: str = name
        self.starts: int = 0
        self.up_s: float = 0.0
        self.running: dict[_Request, int] = {}


class _Fleet:
    """Daemons that each judge by themselves, over endpoints that parts crash."""

    def __init__(
        self,
        seed: int,
        daemons: int,
        endpoints: int,
        bad: Sequence[int],
        bad_per_s: float,
        sound_per_s: float,
        lost_per_s: float,
        bad_from_s: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.daemons = [PartQuarantine() for _ in range(daemons)]
        self.told_s: list[dict[PartKey, float]] = [{} for _ in range(daemons)]
        self.endpoints = [_Endpoint(f"e{n}") for n in range(endpoints)]
        self.now_s = 0.0
        # What the daemons told each other: the method of the quarantine, its arguments.
        self.log: list[tuple[str, tuple]] = []
        self.bad = {
            part_key("m", f"bad{n}"): position for n, position in enumerate(bad)
        }
        self.crashes: dict[PartKey, list[float]] = {p: [] for p in self.bad}
        self.reaches: dict[PartKey, list[float]] = {p: [] for p in self.bad}
        # When each part first completed at any daemon.
        self.completed_s: dict[PartKey, float] = {}
        self.served: list[tuple[float, _Request]] = []
        self.refused: list[tuple[float, _Request]] = []
        self.given_up: list[tuple[float, _Request]] = []
        self._bad_per_s = bad_per_s
        self._sound_per_s = sound_per_s
        self._lost_per_s = lost_per_s
        self._bad_from_s = bad_from_s
        self._until_s = 0.0
        self._numbers = itertools.count()
        self._sessions = [self._new_session() for _ in range(20)]
        self._events: list = []

    def run(self, until_s: float) -> None:
        """Run the history until all has ended that was sent until then."""
        self._until_s = until_s
        self._repeat(self._sound_per_s, self._send_sound, 0.0)
        self._repeat(self._lost_per_s, self._lose, 0.0)
        for part in self.bad:
            self._repeat(
                self._bad_per_s, lambda p=part: self._send_bad(p), self._bad_from_s
            )
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            event()

    def _at(self, delay_s: float, event: Callable[[], None]) -> None:
        item = (self.now_s + delay_s, next(self._numbers), event)
        heapq.heappush(self._events, item)

    def _repeat(self, per_s: float, event: Callable[[], None], from_s: float) -> None:
        def again() -> None:
            if self.now_s >= self._until_s:
                return
            event()
            self._at(self.random.expovariate(per_s), again)

        if per_s > 0:
            self._at(from_s + self.random.expovariate(per_s), again)

    def _new_session(self) -> list[PartKey]:
        number = next(self._numbers)
        team = self.random.randrange(3)
        subject = self.random.randrange(6)
        names = [f"route{team % 2}", f"team{team}", f"sub{subject}", f"ses{number}"]
        return [part_key("m", name) for name in names]

    def _sound_parts(self) -> list[PartKey]:
        index = self.random.randrange(len(self._sessions))
        if self.random.random() < 0.2:
            self._sessions[index] = self._new_session()
        return self._sessions[index]

    def _send_sound(self) -> None:
        self._send(_Request(f"r{next(self._numbers)}", self._sound_parts(), None))

    def _send_bad(self, part: PartKey) -> None:
        parts = list(self._sound_parts())
        parts.insert(self.bad[part], part)
        self._send(_Request(f"r{next(self._numbers)}", parts, part))

    def _send(self, request: _Request) -> None:
        self._attempt(request, self.random.randrange(len(self.daemons)))

    def _attempt(self, request: _Request, daemon: int) -> None:
        if self.daemons[daemon].is_quarantined(request.parts, self.now_s):
            self.refused.append((self.now_s, request))
            return
        up = [
            e
            for e in self.endpoints
            if e.up_s <= self.now_s and len(e.running) < 2 * SLOTS
        ]
        if not up:
            self.given_up.append((self.now_s, request))
            return
        endpoint = self.random.choice(up)
        request.attempts += 1
        wait_s = 0.05 + 0.1 * max(0, len(endpoint.running) + 1 - SLOTS)
        endpoint.running[request] = daemon
        start = endpoint.starts
        if request.bad is not None:
            self.reaches[request.bad].append(self.now_s)
            self._at(wait_s, lambda: self._begin_bad(endpoint, start, request))
        else:
            wait_s += self.random.uniform(0.1, 3.0)
            self._at(wait_s, lambda: self._complete(endpoint, start, request, daemon))

    def _begin_bad(self, endpoint: _Endpoint, start: int, request: _Request) -> None:
        if endpoint.starts == start:
            self._crash(endpoint)

    def _lose(self) -> None:
        up = [e for e in self.endpoints if e.up_s <= self.now_s]
        if up:
            self._crash(self.random.choice(up))

    def _complete(
        self, endpoint: _Endpoint, start: int, request: _Request, daemon: int
    ) -> None:
        if endpoint.starts != start:
            return
        del endpoint.running[request]
        self.served.append((self.now_s, request))
        quarantine = self.daemons[daemon]
        suspects = [p for p in request.parts if quarantine.is_suspect(p, self.now_s)]
        quarantine.record_completion(request.parts, self.now_s)
        for part in request.parts:
            self.completed_s.setdefault(part, self.now_s)
        if suspects:
            self._tell(daemon, "record_completion", suspects, self.now_s)

    def _crash(self, endpoint: _Endpoint) -> None:
        name = f"{endpoint.name}/{endpoint.starts}"
        endpoint.starts += 1
        endpoint.up_s = self.now_s + ENDPOINT_BACK_S
        running, endpoint.running = endpoint.running, {}
        for part in {r.bad for r in running if r.bad is not None}:
            self.crashes[part].append(self.now_s)
        for daemon in set(running.values()):
            own = [r for r, d in running.items() if d == daemon]
            self._at(
                self.random.uniform(0.01, 0.1),
                lambda daemon=daemon, own=own: self._detect(daemon, name, own),
            )

    def _detect(self, daemon: int, name: str, own: list[_Request]) -> None:
        quarantine, at_s = self.daemons[daemon], self.now_s
        requests = [
            PartsAtCrash(
                r.fingerprint, quarantine.without_recent_completion(r.parts, at_s)
            )
            for r in own
        ]
        if any(r.parts for r in requests):
            requests = [r for r in requests if r.parts]
            self._tell(daemon, "record_crash", name, requests, at_s)
        for request in own:
            if request.attempts >= MAX_ATTEMPTS or (
                quarantine.suspicion(request.parts, at_s) >= CRASHES_TO_STOP_RETRIES
            ):
                self.given_up.append((at_s, request))
            else:
                self._attempt(request, daemon)

    def _tell(self, daemon: int, method: str, *arguments) -> None:
        self.log.append((method, arguments))
        self._receive(daemon, method, arguments)
        for other in range(len(self.daemons)):
            if other != daemon:
                delay_s = self.random.uniform(0.005, MAX_DELAY_S)
                self._at(
                    delay_s,
                    lambda other=other: self._receive(other, method, arguments),
                )

    def _receive(self, daemon: int, method: str, arguments: tuple) -> None:
        quarantine, told_s = self.daemons[daemon], self.told_s[daemon]
        getattr(quarantine, method)(*arguments)
        if method == "record_completion":
            parts, at_s = arguments
            told_s.update(dict.fromkeys(parts, at_s))
            return
        parts = {p for request in arguments[1] for p in request.parts}
        news = [p for p in sorted(parts) if self._is_news(daemon, p)]
        if news:
            self._tell(daemon, "record_completion", news, self.now_s)

    def _is_news(self, daemon: int, part: PartKey) -> bool:
        """Whether a part that others suspect completed here, and they don't know."""
        completed_s = self.daemons[daemon].completed_s(part)
        told_s = self.told_s[daemon].get(part, float("-inf"))
        return (
            self.now_s - completed_s < COMPLETION_VALID_S
            and completed_s - told_s > COMPLETION_VALID_S / 2
        )


def parts_of(names: str) -> list[PartKey]:
    """Return the keys of parts such as "a b@m2"; the model is "m" if none is given."""
    pairs = (name.partition("@") for name in names.split())
    return [part_key(model or "m", part) for part, _, model in pairs]


def record(
    quarantine: PartQuarantine, number: int, text: str, at_s: float | None = None
) -> list[str]:
    """Record a crash such as "r1: a b, r2: c"; return what it concludes."""
    requests = []
    for request in text.split(","):
        fingerprint, _, names = request.partition(":")
        requests.append(PartsAtCrash(fingerprint.strip(), parts_of(names)))
    at_s = 10.0 * number if at_s is None else at_s
    return named(quarantine.record_crash(f"e{number}", requests, at_s))


def named(groups: Iterable[frozenset[PartKey]]) -> list[str]:
    """Return groups as text, such as "a b"."""
    return sorted(" ".join(sorted(p.rstrip("@") for p in group)) for group in groups)


def refused(quarantine: PartQuarantine, names: str, now_s: float) -> bool:
    """Whether a request with parts is refused."""
    return quarantine.is_quarantined(parts_of(names), now_s)


class ConclusionTest(ApricotTest):
    """What is concluded from crashes alone."""

    @parameterized.expand(
        [
            ("two crashes", ["1: bad a", "2: bad b"], []),
            ("first part", ["1: bad a", "2: bad b", "3: bad c"], ["bad"]),
            ("middle part", ["1: a bad s", "2: b bad t", "3: c bad u"], ["bad"]),
            ("second to last part", ["1: a bad", "2: b bad", "3: c bad"], ["bad"]),
            ("one request", ["1: bad"] * 6, []),
            ("sent again counts once", ["1: bad a", "1: bad a", "2: bad b"], []),
            ("two requests", ["1: bad", "1: bad", "2: bad", "2: bad"], []),
            (
                "two requests, fifth crash",
                ["1: bad", "1: bad", "2: bad", "2: bad", "2: bad"],
                ["bad"],
            ),
            (
                "sent again, then others",
                ["1: bad a", "1: bad a", "2: bad b", "3: bad c"],
                ["bad"],
            ),
            ("always together", ["1: a b", "2: a b", "3: a b"], ["a b"]),
            ("together, once alone", ["1: a b", "2: a b", "3: a b", "4: a c"], ["a"]),
            (
                "together, shrunk twice",
                ["1: a b c", "2: a b c", "3: a b c", "4: a b", "5: a c"],
                ["a"],
            ),
            (
                "both requests at one crash",
                ["1: a x, 2: a y", "3: a x", "4: a z"],
                ["a"],
            ),
            (
                "other requests tie at the fourth crash",
                ["1: a, 9: s", "2: a, 8: s", "3: a, 7: s", "4: a, 6: s"],
                [],
            ),
            (
                "other requests tie at the fifth crash",
                ["1: a, 9: s", "2: a, 8: s", "3: a, 7: s", "4: a, 6: s", "5: a, 10: s"],
                ["a", "s"],
            ),
            (
                "tie that the fourth crash ends",
                ["1: a, 9: s", "2: a, 8: s", "3: a, 7: s", "4: a"],
                ["a"],
            ),
            (
                "tie that the sixth crash ends",
                [
                    "1: a, 9: s",
                    "2: a, 8: s",
                    "3: a, 7: s",
                    "4: a, 6: s",
                    "5: a, 10: s",
                    "11: a",
                ],
                ["a"],
            ),
            (
                "request beside each crash",
                ["1: a, 9: s", "2: a, 9: s", "3: a, 9: s", "4: a, 9: s", "5: a, 9: s"],
                ["a"],
            ),
            (
                "two bad parts in turn",
                ["1: a", "2: b", "3: a", "4: b", "5: a", "6: b"],
                ["a", "b"],
            ),
            (
                "beside a known cause",
                ["1: a", "2: a", "3: a", "4: a, 9: s", "5: a, 8: s", "6: a, 7: s"],
                ["a"],
            ),
            (
                "beside known causes and once alone",
                [
                    *("1: a", "2: a", "3: a", "4: a, 9: b", "5: a, 8: b"),
                    *("6: a, 7: b", "10: a, 11: b", "12: b"),
                ],
                ["a", "b"],
            ),
            (
                "later conclusions explain all its crashes",
                [
                    *("1: t a", "2: t b", "3: t c", "4: a", "5: b", "6: c"),
                    *("7: a", "8: b", "9: c", "10: a", "11: b", "12: c"),
                ],
                ["a", "b", "c"],
            ),
            (
                "later conclusions leave two crashes",
                [
                    *("1: t a", "2: t b", "3: t c", "13: t", "4: a", "5: b", "6: c"),
                    *("7: a", "8: b", "9: c", "10: a", "11: b", "12: c"),
                ],
                ["a", "b", "c"],
            ),
            (
                "refuted, which gives its crashes back",
                [
                    *("1: t a", "2: t b", "3: t c", "4: x, 20: t", "5: x, 21: t"),
                    *("6: x", "7: a", "8: b", "9: c", "10: a", "11: b", "12: c"),
                    *("13: a", "14: b", "15: c"),
                ],
                ["a", "b", "c", "x"],
            ),
            (
                "beside a known cause, twice alone",
                ["1: a", "2: a", "3: a", "4: a, 9: s", "6: s", "7: s"],
                ["a"],
            ),
            (
                "one request that ran at two of the crashes ties",
                ["1: a, 9: b", "2: a, 9: b", "9: b", "4: a"],
                [],
            ),
            (
                "part of the group in another request",
                ["1: a b, 9: b", "2: a b, 8: b", "3: a b, 7: b"],
                ["a b"],
            ),
            (
                "two requests with it at each crash",
                [f"{n}: a x, 1{n}: a y" for n in range(5)],
                ["a"],
            ),
            (
                "refuted by a part that shares crashes, and concluded again",
                [
                    *("1: y, 9: a", "2: y, 8: a", "3: y", "4: y", "5: a", "6: a"),
                    *("7: a", "10: y"),
                ],
                ["a", "y"],
            ),
            ("models add up", ["1: bad@m1", "2: bad@m2", "3: bad@m1"], ["bad"]),
            (
                "several at once by lost endpoints",
                ["1: a, 2: b, 3: c", "4: a, 5: d, 6: e", "7: f, 8: g, 9: c"],
                [],
            ),
        ]
    )
    def test_crashes(self, _name, crashes, groups):
        """Each crash is reported whole; the same holds for reports in any order."""
        for seed in range(4):
            rng = random.Random(seed)
            reports = [
                (number, request)
                for number, crash in enumerate(crashes)
                for request in crash.split(",")
            ]
            if seed:
                reports *= 2
                rng.shuffle(reports)
            quarantine = PartQuarantine()
            for number, request in reports:
                record(quarantine, number, request)
            self.assertEqual(groups, named(quarantine.quarantined_here()), str(seed))

    def test_conclusion_is_returned_once(self):
        """The daemon logs what is new."""
        quarantine = PartQuarantine()
        returned = [record(quarantine, n, f"r{n}: bad s{n}") for n in range(5)]
        self.assertEqual([[], [], ["bad"], [], []], returned)
        self.assertEqual([], record(quarantine, 2, "r2: bad s2"))

    def test_group_refuses_only_requests_with_all_of_it(self):
        """A sound request that holds one of the tied parts goes on."""
        quarantine = PartQuarantine()
        for number in range(3):
            record(quarantine, number, f"r{number}: a b s{number}")
        self.assertTrue(refused(quarantine, "a x b", 21.0))
        self.assertFalse(refused(quarantine, "a x", 21.0))
        self.assertFalse(refused(quarantine, "b", 21.0))

    @parameterized.expand(
        [
            ("nothing known", [], "bad", 0),
            ("one crash", ["1: bad a"], "bad", 1),
            ("two crashes", ["1: bad a", "2: bad a"], "x bad", 2),
            ("concluded", ["1: bad", "2: bad", "3: bad"], "bad x", 3),
            ("explained", ["1: bad", "2: bad", "3: bad, 4: s"], "s", 0),
        ]
    )
    def test_suspicion(self, _name, crashes, names, count):
        """A request that was cut is sent again while its parts ran at few crashes."""
        quarantine = PartQuarantine()
        for number, crash in enumerate(crashes):
            record(quarantine, number, crash)
        self.assertEqual(count, quarantine.suspicion(parts_of(names), 30.0))


class CompletionTest(ApricotTest):
    """Completions clear parts, before crashes and after them."""

    def test_part_that_completed_is_no_suspect(self):
        """Sound requests share it, and some run at each crash."""
        quarantine = PartQuarantine()
        quarantine.record_completion(parts_of("first"), 0.0)
        for number in range(8):
            record(quarantine, number, f"r{number}: first s{number}")
        self.assertEqual({}, quarantine.quarantined_here())
        self.assertFalse(quarantine.is_suspect(parts_of("first")[0], 80.0))
        self.assertEqual(0, quarantine.suspicion(parts_of("first"), 80.0))

    def test_old_completion_clears_no_crash(self):
        """Endpoints change, so an old completion proves little."""
        quarantine = PartQuarantine()
        quarantine.record_completion(parts_of("bad"), 0.0)
        for number in range(3):
            record(quarantine, number, f"r{number}: bad", COMPLETION_VALID_S + number)
        self.assertEqual(["bad"], named(quarantine.quarantined_here()))

    def test_completion_releases_a_quarantine(self):
        """A wrong conclusion ends with the first request that completes."""
        quarantine = PartQuarantine()
        for number in range(3):
            record(quarantine, number, f"r{number}: sound s{number}")
        self.assertTrue(refused(quarantine, "sound", 21.0))
        self.assertTrue(quarantine.is_suspect(parts_of("sound")[0], 21.0))
        quarantine.record_completion(parts_of("sound"), 22.0)
        self.assertFalse(refused(quarantine, "sound", 23.0))
        self.assertEqual({}, quarantine.quarantined_here())
        self.assertFalse(quarantine.is_suspect(parts_of("sound")[0], 23.0))

    def test_completion_leaves_the_rest_of_a_group(self):
        """The part that never completed stays the suspect."""
        quarantine = PartQuarantine()
        for number in range(3):
            record(quarantine, number, f"r{number}: first bad")
        quarantine.record_completion(parts_of("first"), 22.0)
        self.assertEqual(["bad"], named(quarantine.quarantined_here()))
        self.assertTrue(refused(quarantine, "other bad", 23.0))
        self.assertFalse(refused(quarantine, "first other", 23.0))

    def test_completion_counts_for_its_model_only(self):
        """A part may crash endpoints of one model and complete under another."""
        quarantine = PartQuarantine()
        quarantine.record_completion(parts_of("bad@m2"), 0.0)
        for number in range(3):
            record(quarantine, number, f"r{number}: bad@m1, q{number}: bad@m2")
        self.assertTrue(refused(quarantine, "bad@m1", 21.0))
        self.assertTrue(refused(quarantine, "bad@m3", 21.0))
        self.assertFalse(refused(quarantine, "bad@m2", 21.0))

    def test_completion_at_another_daemon_before_the_crash_report(self):
        """Reports and completions arrive in any order."""
        quarantine = PartQuarantine()
        quarantine.record_completion(parts_of("first"), 25.0)
        for number in range(3):
            record(quarantine, number, f"r{number}: first bad s{number}")
        self.assertEqual(["bad"], named(quarantine.quarantined_here()))

    def test_old_completion_does_not_clear_later_crashes(self):
        """It may be told, or read from the log, after them."""
        quarantine = PartQuarantine()
        for number in range(3):
            record(quarantine, number, f"r{number}: bad", COMPLETION_VALID_S + number)
        quarantine.record_completion(parts_of("bad"), 0.0)
        self.assertEqual(["bad"], named(quarantine.quarantined_here()))

    def test_completion_outlasts_a_long_quarantine(self):
        """A sound part that pauses is not refused again for the same crashes."""
        quarantine = PartQuarantine()
        quarantine.add_quarantined(frozenset(parts_of("a")), 7_200.0, 0.0)
        quarantine.record_completion(parts_of("a"), 2.0)
        self.assertFalse(refused(quarantine, "a", COMPLETION_VALID_S + 100.0))

    def test_replayed_completion_keeps_its_time(self):
        """An older record does not replace a newer one, nor extend it."""
        quarantine = PartQuarantine()
        quarantine.record_completion(parts_of("a"), 50.0)
        quarantine.record_completion(parts_of("a"), 20.0)
        self.assertEqual(50.0, quarantine.completed_s(parts_of("a")[0]))
        self.assertEqual([], quarantine.without_recent_completion(parts_of("a"), 60.0))

    def test_release_ends_a_quarantine(self):
        """Another daemon may know that the part completed."""
        quarantine = PartQuarantine()
        quarantine.add_quarantined(frozenset(parts_of("a")), 600.0, 0.0)
        self.assertTrue(refused(quarantine, "a", 1.0))
        quarantine.release(parts_of("a")[0], 2.0)
        self.assertFalse(refused(quarantine, "a", 3.0))


class ExpiryTest(ApricotTest):
    """Conclusions end, and are made again by one crash."""

    def _concluded(self) -> PartQuarantine:
        quarantine = PartQuarantine()
        for number in range(3):
            record(quarantine, number, f"r{number}: bad s{number}")
        return quarantine

    def test_quarantine_ends_and_one_crash_doubles_it(self):
        """A wrong conclusion is undone, a right one costs one endpoint."""
        quarantine = self._concluded()
        end_s = 20.0 + FIRST_QUARANTINE_S
        quarantine.tick(end_s - 1.0)
        self.assertTrue(refused(quarantine, "bad", end_s - 1.0))
        quarantine.tick(end_s + 1.0)
        self.assertFalse(refused(quarantine, "bad", end_s + 1.0))
        self.assertEqual({}, quarantine.quarantined_here())
        self.assertEqual(3, quarantine.suspicion(parts_of("bad"), end_s + 1.0))
        self.assertEqual(["bad"], record(quarantine, 9, "r9: bad s9", end_s + 5.0))
        until_s = end_s + 5.0 + 2 * FIRST_QUARANTINE_S
        self.assertTrue(refused(quarantine, "bad", until_s - 1.0))
        self.assertFalse(refused(quarantine, "bad", until_s))

    def test_quarantine_lasts_at_most_a_day(self):
        """Each crash after the end doubles it up to a day."""
        quarantine = self._concluded()
        now_s = 20.0
        for number in range(10, 25):
            until_s = max(quarantine.quarantined_here().values())
            self.assertLessEqual(until_s - now_s, MAX_QUARANTINE_S)
            now_s = until_s + 1.0
            quarantine.tick(now_s)
            record(quarantine, number, f"r{number}: bad s{number}", now_s)
        until_s = max(quarantine.quarantined_here().values())
        self.assertEqual(MAX_QUARANTINE_S, until_s - now_s)

    def test_probation_ends(self):
        """Long after the end, one crash says nothing again."""
        quarantine = self._concluded()
        now_s = 20.0 + FIRST_QUARANTINE_S + PROBATION_S + 1.0
        quarantine.tick(now_s)
        self.assertEqual([], record(quarantine, 9, "r9: bad s9", now_s))

    def test_part_that_completed_on_probation_is_not_concluded_by_one_crash(self):
        """A completion after the last crash refutes the conclusion."""
        quarantine = self._concluded()
        now_s = 20.0 + FIRST_QUARANTINE_S + 1.0
        quarantine.tick(now_s)
        quarantine.record_completion(parts_of("bad"), now_s)
        later_s = now_s + COMPLETION_VALID_S + 1.0
        self.assertEqual([], record(quarantine, 9, "r9: bad s9", later_s))

    def test_crash_later_than_its_retention_says_nothing(self):
        """Two crashes of an hour ago do not make the next one the third."""
        quarantine = PartQuarantine()
        record(quarantine, 0, "r0: a", 0.0)
        record(quarantine, 1, "r1: a", 1.0)
        quarantine.tick(CRASH_RETENTION_S + 2.0)
        self.assertEqual([], record(quarantine, 2, "r2: a", CRASH_RETENTION_S + 3.0))
        self.assertEqual(1, quarantine.suspicion(parts_of("a"), CRASH_RETENTION_S))

    def test_mark_of_another_daemon_refuses_until_its_end(self):
        """A daemon that starts later knows only the mark."""
        quarantine = PartQuarantine()
        group = frozenset(parts_of("a b"))
        quarantine.add_quarantined(group, 20.0 + 4 * FIRST_QUARANTINE_S, 20.0)
        self.assertTrue(refused(quarantine, "a b c", 30.0))
        self.assertFalse(refused(quarantine, "a c", 30.0))
        self.assertTrue(quarantine.is_suspect(parts_of("a")[0], 30.0))
        self.assertEqual({}, quarantine.quarantined_here())
        end_s = 20.0 + 4 * FIRST_QUARANTINE_S
        quarantine.tick(end_s)
        self.assertFalse(refused(quarantine, "a b c", end_s))
        self.assertEqual(["a b"], record(quarantine, 1, "r1: a b", end_s + 1.0))
        until_s = end_s + 1.0 + 8 * FIRST_QUARANTINE_S
        self.assertEqual([until_s], list(quarantine.quarantined_here().values()))

    def test_mark_that_the_same_crashes_refute_is_withdrawn(self):
        """The mark was made before all reports had arrived."""
        quarantine = self._concluded()
        quarantine.add_quarantined(frozenset(parts_of("bad")), 620.0, 20.0)
        quarantine.record_completion(parts_of("bad"), 25.0)
        self.assertFalse(refused(quarantine, "bad", 25.0 + COMPLETION_VALID_S - 1.0))
        self.assertEqual({}, quarantine.quarantined_here())
        self.assertFalse(refused(quarantine, "bad@m2", 26.0))


class BoundsTest(ApricotTest):
    """Callers may invent any number of parts."""

    def test_memory_is_bounded(self):
        """100,000 parts complete, and 30,000 more run at crashes."""
        quarantine = PartQuarantine()
        for start in range(0, 100_000, 10):
            parts = [part_key("m", f"c{start + n}") for n in range(10)]
            quarantine.record_completion(parts, 0.0)
        for number in range(300):
            requests = [
                PartsAtCrash(
                    f"r{number}/{r}",
                    [part_key("m", f"x{number}/{r}/{n}") for n in range(10)],
                )
                for r in range(10)
            ]
            quarantine.record_crash(f"e{number}", requests, float(number))
        self.assertLessEqual(len(quarantine._completed_s), MAX_COMPLETIONS)
        self.assertLessEqual(len(quarantine._crashes), MAX_CRASHES)
        self.assertLessEqual(len(quarantine._crashes_of), MAX_SUSPECTS)
        self.assertLessEqual(len(quarantine._open), MAX_SUSPECTS)
        quarantine.tick(300.0 + CRASH_RETENTION_S)
        self.assertEqual({}, quarantine._crashes)
        self.assertEqual({}, quarantine._crashes_of)
        self.assertEqual({}, quarantine._open)

    def test_crashes_are_bounded(self):
        """The oldest yield."""
        quarantine = PartQuarantine()
        for number in range(MAX_CRASHES + 50):
            record(quarantine, number, f"r{number}: s{number}", float(number))
        self.assertLessEqual(len(quarantine._crashes), MAX_CRASHES)
        self.assertFalse(quarantine.is_suspect(parts_of("s0")[0], 300.0))

    def test_one_crash_is_bounded(self):
        """A report with many requests of many parts."""
        quarantine = PartQuarantine()
        requests = [
            PartsAtCrash(f"r{r}", [part_key("m", f"x{r}/{n}") for n in range(300)])
            for r in range(300)
        ]
        quarantine.record_crash("e", requests, 0.0)
        most = MAX_REQUESTS_PER_CRASH * MAX_PARTS_PER_REQUEST
        self.assertLessEqual(len(quarantine._crashes_of), most)

    def test_marks_are_bounded(self):
        """Those that end first yield."""
        quarantine = PartQuarantine()
        for number in range(MAX_CONCLUSIONS + 50):
            group = frozenset(parts_of(f"p{number}"))
            quarantine.add_quarantined(group, 1_000.0 + number, 0.0)
        self.assertFalse(refused(quarantine, "p0", 1.0))
        self.assertTrue(refused(quarantine, f"p{MAX_CONCLUSIONS + 49}", 1.0))
        self.assertLessEqual(len(quarantine._earlier), MAX_CONCLUSIONS)

    def test_long_ids_are_shortened(self):
        """Ids that differ stay different."""
        one, other = part_key("m", "a" * 5_000 + "1"), part_key("m", "a" * 5_000 + "2")
        self.assertLess(len(one), 100)
        self.assertNotEqual(one, other)

    def test_completion_of_a_cleared_part_judges_nothing_anew(self):
        """Sound requests complete all the time."""
        quarantine = PartQuarantine()
        record(quarantine, 0, "r0: a b")
        quarantine.record_completion(parts_of("b c"), 1.0)
        quarantine._judge = None
        quarantine.record_completion(parts_of("b c d"), 2.0)


class RandomCrashesTest(ApricotTest):
    """Crashes by one bad part, reported whole, with sound requests beside."""

    @parameterized.expand([(seed,) for seed in range(60)])
    def test_bad_part_is_refused_by_its_fifth_crash(self, seed):
        """Up to 8 others ran beside each; the shared parts have completed once."""
        rng = random.Random(seed)
        quarantine = PartQuarantine()
        shared = [parts_of(f"route{n % 2} team{n % 3} sub{n}") for n in range(6)]
        for parts in shared:
            quarantine.record_completion(parts, 0.0)
        position = rng.randrange(5)
        for number in range(CRASHES_DESPITE_TIE):
            requests = self._sound(rng, shared, number, rng.randrange(9))
            bad = [*rng.choice(shared), *parts_of(f"new{number}")]
            bad.insert(position, part_key("m", "bad"))
            requests.append(PartsAtCrash(f"bad{number}", bad))
            rng.shuffle(requests)
            for request in requests:
                quarantine.record_crash(f"e{number}", [request], 1.0 + number)
        now_s = 1.0 + CRASHES_DESPITE_TIE
        for parts in shared:
            self.assertTrue(quarantine.is_quarantined(["bad@m", *parts], now_s))
            self.assertFalse(quarantine.is_quarantined(parts, now_s))

    def _sound(
        self,
        rng: random.Random,
        shared: list[list[PartKey]],
        number: int,
        count: int,
    ) -> list[PartsAtCrash]:
        sessions = [rng.randrange(8) for _ in range(count)]
        return [
            PartsAtCrash(
                f"sound{number}/{n}",
                [*rng.choice(shared), part_key("m", f"session{session}")],
            )
            for n, session in enumerate(sessions)
        ]


class RandomHistoryTest(ApricotTest):
    """Whole fleets, with retries, delays of reports, and endpoints lost beside."""

    @parameterized.expand(
        [
            ("first", 1, 9, [0], 0.2, 10.0),
            ("middle", 2, 24, [1], 0.2, 10.0),
            ("second to last", 3, 36, [4], 0.2, 10.0),
            ("two at once", 4, 9, [0, 3], 0.2, 10.0),
            ("three at once", 5, 24, [2, 4, 1], 0.2, 10.0),
            ("from the start", 6, 9, [2], 0.0, 0.0),
            ("no crash by parts", 7, 9, [], 1.0, 0.0),
            ("three at once, none served before", 42, 9, [4, 1, 3], 0.0, 0.0),
            ("three at once, endpoints lost", 52, 24, [0, 2, 4], 1.0, 0.0),
            ("three at once, ties", 106, 24, [1, 3, 0], 1.0, 0.0),
            ("a shared part explains most crashes", 114, 9, [2, 4, 1], 0.0, 0.0),
            ("a shared part is refuted late", 168, 9, [3, 0, 2], 0.0, 0.0),
        ]
    )
    def test_history(self, _name, seed, daemons, bad, lost_per_s, bad_from_s):
        """Bad parts are refused everywhere, sound ones served, and all agree."""
        fleet = _Fleet(seed, daemons, 12, bad, 2.0, 25.0, lost_per_s, bad_from_s)
        fleet.run(bad_from_s + 10.0)
        self._check(fleet)

    def test_many_requests_with_a_bad_part_at_few_endpoints(self):
        """Eight a second, so that several run at each crash, and none served before."""
        fleet = _Fleet(14, 9, 4, [4], 8.0, 25.0, 0.2)
        fleet.run(15.0)
        self._check(fleet)

    def _check(self, fleet: _Fleet) -> None:
        self._check_bad_parts(fleet)
        self._check_sound_requests(fleet)
        self._check_agreement(fleet)

    def _check_bad_parts(self, fleet: _Fleet) -> None:
        for part, crashes in fleet.crashes.items():
            known_s = sorted(crashes)[:CRASHES_DESPITE_TIE][-1] + CONTACT_S
            later = [at_s for at_s in fleet.reaches[part] if at_s > known_s]
            self.assertLessEqual(len(later), MAX_REACHES_LATER)
            for quarantine in fleet.daemons:
                self.assertTrue(quarantine.is_quarantined([part], fleet.now_s))

    def _check_sound_requests(self, fleet: _Fleet) -> None:
        never_s = float("inf")
        for at_s, request in fleet.refused:
            if request.bad is not None:
                continue
            cleared = [
                fleet.completed_s.get(part, never_s) + CONTACT_S < at_s
                for part in request.parts
            ]
            self.assertFalse(all(cleared), request.fingerprint)
        for route in parts_of("route0 route1"):
            sent = [r for _, r in fleet.served + fleet.refused if not r.bad]
            refused = [r for _, r in fleet.refused if not r.bad and route in r.parts]
            self.assertLess(len(refused), 0.5 * sum(route in r.parts for r in sent))

    def _check_agreement(self, fleet: _Fleet) -> None:
        """A daemon that starts later reads the records in any order, some twice."""
        replays = [PartQuarantine() for _ in range(2)]
        for seed, quarantine in enumerate(replays):
            records = fleet.log * 2
            random.Random(seed).shuffle(records)
            for method, arguments in records:
                getattr(quarantine, method)(*arguments)
        conclusions = fleet.daemons[0].quarantined_here()
        for quarantine in fleet.daemons + replays:
            self.assertEqual(conclusions, quarantine.quarantined_here())
