"""The smaller decision modules, each by tables of cases."""

import random

from hypothesis import given, strategies as st
from parameterized import parameterized
from returns.result import Success
from transitions import Machine

from apricotquay.allowance import BatchAllowance
from apricotquay.charts import load_chart
from apricotquay.engineclient import AnswerChecker, Ending, EndpointError, Token
from apricotquay.errors import ANSWERS, ErrorKind, Ran
from apricotquay.fairness import FairQueue
from apricotquay.freshness import Freshness, PeerView, judge_view
from apricotquay.ids import MemberId, rendezvous_order
from apricotquay.membership import MemberState, MemberUpdate, MemberView, VmEntry
from apricotquay.online import Progress, final_error
from apricotquay.retries import RetryBudget
from apricotquay.routing import EndpointTable

from .base import PROPERTY, ApricotTest


class ChartTest(ApricotTest):
    """The compiled charts against a state machine library."""

    @parameterized.expand([("lease",), ("item",), ("member",)])
    def test_table_agrees_with_a_state_machine(self, name):
        """Every state and event gives the same next state in both."""
        chart = load_chart(name)
        events = sorted({event for _, event, _ in chart.arrows()})
        machine = Machine(
            states=list(chart.states),
            initial=chart.initial,
            transitions=[
                {"trigger": e, "source": s, "dest": t} for s, e, t in chart.arrows()
            ],
            ignore_invalid_triggers=True,
            auto_transitions=False,
        )
        for state in chart.states:
            for event in events:
                machine.set_state(state)
                moved = getattr(machine, event)()
                expected = machine.state if moved else None
                self.assertEqual(expected, chart.step(state, event), (state, event))


class ErrorTableTest(ApricotTest):
    """The closed list of error kinds."""

    def test_every_kind_has_an_answer(self):
        """No kind is left out of the table."""
        self.assertEqual(set(ErrorKind), set(ANSWERS))

    def test_refusals_that_may_succeed_later_say_when(self):
        """A 429 and a 503 tell the caller when to come back."""
        for kind, answer in ANSWERS.items():
            if answer.status in (429, 503):
                self.assertGreater(answer.retry_after_ms, 0, kind)

    @parameterized.expand(
        [
            ("no connection", ["lost"], "endpoint_missing", Ran.NOT_RUN),
            ("refused by all", ["refused", "refused"], "endpoint_refused", Ran.NOT_RUN),
            ("cut after the request", ["cut"], "endpoint_failed", Ran.UNKNOWN),
            ("cut in the answer", ["broken"], "stream_broken", Ran.RAN),
            ("cut, then refused", ["cut", "refused"], "endpoint_failed", Ran.UNKNOWN),
            ("broken, then lost", ["broken", "lost"], "stream_broken", Ran.RAN),
            ("refused, then cut", ["refused", "cut"], "endpoint_failed", Ran.UNKNOWN),
        ]
    )
    def test_not_run_is_true(self, _name, attempts, kind, ran):
        """It is claimed only where nothing of any attempt ran."""
        errors = {
            "lost": EndpointError("x", Ran.NOT_RUN),
            "refused": EndpointError("x", Ran.NOT_RUN, status=503),
            "cut": EndpointError("x", Ran.UNKNOWN),
            "broken": EndpointError("x", Ran.RAN, broken=True),
        }
        progress = Progress()
        for attempt in attempts:
            progress.see_error(errors[attempt])
        error = final_error(progress.last_error, progress.ran)
        self.assertEqual((kind, ran), (error.kind.value, error.ran))


class AnswerCheckerTest(ApricotTest):
    """The whole answer to the own request."""

    def chunk(self, index: int, request: str = "r1") -> bytes:
        """Return a chunk with a token."""
        return (
            b'{"id":"%s","choices":[{"delta":{"content":"t%d"}}],"token_index":%d}'
            % (request.encode(), index, index)
        )

    def end(self, count: int) -> bytes:
        """Return the last chunk of an answer."""
        return (
            b'{"id":"r1","choices":[{"delta":{},"finish_reason":"stop"}],'
            b'"token_count":%d}' % count
        )

    def test_whole_answer(self):
        """Tokens and end come through."""
        checker = AnswerChecker("r1", 0)
        parts = [checker.check(c) for c in (self.chunk(0), self.chunk(1), self.end(2))]
        self.assertEqual([Token(0, "t0"), Token(1, "t1")], parts[:2])
        self.assertIsInstance(parts[2], Ending)

    def test_repeated_token_is_dropped(self):
        """The caller sees it once."""
        checker = AnswerChecker("r1", 0)
        checker.check(self.chunk(0))
        self.assertIsNone(checker.check(self.chunk(0)))

    @parameterized.expand(
        [
            ("crossed", lambda t: [t.chunk(0, "r2")]),
            ("gap", lambda t: [t.chunk(0), t.chunk(2)]),
            ("short", lambda t: [t.chunk(0), t.end(2)]),
            ("malformed", lambda t: [b"{"]),
        ]
    )
    def test_other_answers_are_refused(self, _name, chunks):
        """An answer that is not whole or not the own is an error."""
        checker = AnswerChecker("r1", 0)
        with self.assertRaises(EndpointError) as caught:
            for chunk in chunks(self):
                checker.check(chunk)
        self.assertIs(Ran.RAN, caught.exception.ran)


class FairQueueTest(ApricotTest):
    """Weighted fair queueing."""

    def test_small_team_is_not_delayed_by_a_large_backlog(self):
        """Its one request comes second at the latest."""
        queue = FairQueue(10_000)
        for number in range(1000):
            queue.push("large", 1.0, 100.0, ("large", number))
        queue.pop()
        queue.push("small", 1.0, 100.0, ("small", 0))
        self.assertIn("small", [queue.pop()[0] for _ in range(2)])

    @parameterized.expand([("equal", 1.0, 0.5), ("three to one", 3.0, 0.75)])
    def test_saturated_teams_get_tokens_by_weight(self, _name, weight, share):
        """Counted in tokens, although one team's requests are longer."""
        queue = FairQueue(10_000)
        for _ in range(2000):
            queue.push("a", weight, 50.0, ("a", 50.0))
            queue.push("b", 1.0, 200.0, ("b", 200.0))
        got = {"a": 0.0, "b": 0.0}
        for _ in range(500):
            team, cost = queue.pop()
            got[team] += cost
        self.assertAlmostEqual(share, got["a"] / sum(got.values()), delta=0.03)

    def test_queue_of_a_team_is_bounded(self):
        """The team's next request is refused, other teams' are not."""
        queue = FairQueue(2)
        queue.push("a", 1.0, 1.0, 1)
        queue.push("a", 1.0, 1.0, 2)
        self.assertEqual(2, queue.push("a", 1.0, 1.0, 3).failure().length)
        self.assertIsInstance(queue.push("b", 1.0, 1.0, 4), Success)

    @PROPERTY
    @given(st.lists(st.sampled_from(["push", "pop", "back"]), max_size=80))
    def test_nothing_is_lost_or_doubled(self, steps):
        """The judge is a set of what is in the queue."""
        queue = FairQueue(1000)
        inside = set()
        for number, step in enumerate(steps):
            team = f"t{number % 3}"
            if step == "push":
                queue.push(team, 1.0, 1.0 + number % 5, (team, number))
                inside.add((team, number))
                continue
            work = queue.pop()
            self.assertEqual(work is None, not inside)
            if work is None:
                continue
            inside.remove(work)
            if step == "back":
                queue.push_back(work[0], 1.0, work)
                inside.add(work)
        self.assertEqual(inside, set(queue.drain()))


class FreshnessTest(ApricotTest):
    """Whether a view may be relied on."""

    @parameterized.expand(
        [
            ("log read lately", 0.5, 7, [], 0, Freshness.BY_LOG),
            ("no configuration yet", 0.5, 0, [], 0, Freshness.STALE),
            (
                "peer has the log",
                9,
                7,
                [PeerView(0.1, 0.5, 7)],
                3,
                Freshness.BY_PEER,
            ),
            ("peer has newer", 9, 7, [PeerView(0.1, 0.5, 8)], 3, Freshness.STALE),
            (
                "peers are blind too",
                9,
                7,
                [PeerView(0.1, 20, 7), PeerView(0.1, 20, 7)],
                3,
                Freshness.LOG_OUTAGE,
            ),
            ("cut off from all", 9, 7, [PeerView(9, 9, 7)] * 3, 3, Freshness.STALE),
            (
                "minority that is blind",
                9,
                7,
                [PeerView(0.1, 20, 7)] + [PeerView(20, 20, 7)] * 3,
                4,
                Freshness.STALE,
            ),
            ("only daemon of the fleet", 9, 7, [], 0, Freshness.LOG_OUTAGE),
        ]
    )
    def test_judgement(self, _name, age_s, version, peers, count, expected):
        """A daemon that is cut off stops; an outage of the log stops nobody."""
        self.assertIs(expected, judge_view(age_s, version, peers, count, 3.0))


def vm(vm_id: str, kind: str = "entry", zone: str = "z1", **fields) -> VmEntry:
    """Return an entry of the VM list."""
    return VmEntry(vm_id, kind, "127.0.0.1", 1, zone, **fields)


class MemberViewTest(ApricotTest):
    """Members by what they answer."""

    def view(self, *names: str) -> MemberView:
        """Return the view of "me" with other members."""
        view = MemberView(MemberId("me"), 1.0)
        view.apply_vm_list([vm("me"), *(vm(n) for n in names)], 0.0)
        return view

    def test_silent_member_is_suspected_and_recovers(self):
        """A paused member comes back when it answers."""
        view = self.view("a")
        self.assertEqual(["a"], view.tick(1.5))
        self.assertEqual(["me"], view.eligible())
        view.see_answer("a", "a/1", 1.6)
        self.assertEqual(["a", "me"], view.eligible())

    def test_refused_connection_proves_the_end(self):
        """The process is gone at once, without a timeout."""
        view = self.view("a")
        view.see_refused("a", 0.1)
        self.assertIs(MemberState.GONE, view.state_of("a"))

    def test_leaving_member_takes_no_new_work_but_counts_as_working(self):
        """It still holds what it has not handed over."""
        view = self.view("a", "b")
        view.see_leave("a", 0.1)
        self.assertEqual(["b", "me"], view.eligible())
        self.assertIs(MemberState.LEAVING, view.state_of("a"))

    def test_restarted_member_is_alive_again(self):
        """A new process on a VM that had announced its leave."""
        view = self.view("a")
        view.see_answer("a", "a/1", 0.1)
        view.see_leave("a", 0.1)
        view.see_answer("a", "a/2", 0.2)
        self.assertIs(MemberState.ALIVE, view.state_of("a"))

    def test_member_off_the_list_that_answers_is_not_gone(self):
        """The list lags; the member's own answers count."""
        view = self.view("a", "b")
        view.apply_vm_list([vm("me"), vm("b")], 0.1)
        self.assertIs(MemberState.ALIVE, view.state_of("a"))

    def test_older_news_changes_nothing(self):
        """News may arrive out of order, and after the member's own answer."""
        view = self.view("a")
        view.see_answer("a", "a/1", 5.0)
        late = MemberUpdate("a", "gone", "a/1", False, age_ms=1000)
        view.take_news([late], 5.5)
        self.assertIs(MemberState.ALIVE, view.state_of("a"))
        fresh = MemberUpdate("a", "gone", "a/1", False, age_ms=100)
        view.take_news([fresh], 6.0)
        self.assertIs(MemberState.GONE, view.state_of("a"))

    @parameterized.expand([(10,), (100,), (370,)])
    def test_loss_and_return_are_known_everywhere_soon(self, count):
        """In a number of rounds that grows with the logarithm of the fleet."""
        names = [f"m{n}" for n in range(count)]
        views = {}
        for name in names:
            view = MemberView(MemberId(name), 1.0)
            view.apply_vm_list([vm(n) for n in names], 0.0)
            views[name] = view
        lost_s = self.rounds_until_known(views, MemberState.GONE, 0.0, lost="m3")
        self.assertLess(lost_s, 10.0)
        start_s = lost_s + 0.3
        back_s = self.rounds_until_known(views, MemberState.ALIVE, start_s, lost=None)
        self.assertLess(back_s, 10.0)

    def rounds_until_known(self, views, state, start_s, lost) -> float:
        """Probe in rounds until all see a state of "m3"; return the time."""
        rng = random.Random(7)
        for number in range(100):
            now_s = start_s + number * 0.3
            watchers = [v for n, v in views.items() if n != "m3"]
            if all(v.state_of("m3") is state for v in watchers) and number:
                return now_s - start_s
            for name, view in views.items():
                if name == lost:
                    continue
                view.tick(now_s)
                for target in view.probe_targets(3, rng):
                    if target == lost:
                        view.see_refused(target, now_s)
                        continue
                    other = views[target]
                    incarnation = "2" if target == "m3" and lost is None else "1"
                    other.take_news(view.news(now_s), now_s)
                    mine = "2" if name == "m3" and lost is None else "1"
                    other.see_answer(name, mine, now_s)
                    view.take_news(other.news(now_s), now_s)
                    view.see_answer(target, incarnation, now_s)
        raise AssertionError("not known everywhere")

    def test_preference_moves_little_when_a_member_leaves(self):
        """Only what the leaving member held moves."""
        names = [MemberId(f"m{n}") for n in range(9)]
        moved = 0
        for number in range(200):
            before = rendezvous_order(f"r{number}", names)
            after = rendezvous_order(f"r{number}", names[1:])
            if before[0] != names[0]:
                moved += before[0] != after[0]
        self.assertEqual(0, moved)


class RoutingTest(ApricotTest):
    """The choice of an endpoint."""

    def table(self, count: int, subset: int = 8, me: str = "me") -> EndpointTable:
        """Return a table of engines in two zones."""
        table = EndpointTable(MemberId(me), "z1", subset)
        entries = [
            vm(f"e{n}", "model", f"z{1 + n % 2}", serves="m") for n in range(count)
        ]
        table.apply_vm_list(entries, [MemberId(me)])
        return table

    def choose(self, table: EndpointTable, prefix: str = "", now_s: float = 0.0):
        """Choose an endpoint."""
        return table.choose("m", prefix, set(), now_s, random.Random(1))

    def test_subset_prefers_the_own_zone(self):
        """Other zones fill up only where the own has too few."""
        zones = [e.entry.zone for e in self.table(40, 8).subset("m")]
        self.assertEqual(["z1"] * 8, zones)

    def test_subsets_cover_all_endpoints_evenly(self):
        """Counted over the daemons of one zone."""
        uses: dict[str, int] = {}
        names = [MemberId(f"d{n}") for n in range(20)]
        entries = [vm(f"e{n}", "model", "z1", serves="m") for n in range(32)]
        for name in names:
            table = EndpointTable(name, "z1", 8)
            table.apply_vm_list(entries, names)
            for endpoint in table.subset("m"):
                uses[endpoint.id] = uses.get(endpoint.id, 0) + 1
        self.assertEqual(32, len(uses))
        self.assertLessEqual(max(uses.values()) - min(uses.values()), 1)

    def test_leaving_endpoint_gets_no_new_work(self):
        """Also when a lagging list calls it live again."""
        table = self.table(1)
        leaving = vm("e0", "model", serves="m", state="leaving")
        table.apply_vm_list([leaving], [])
        table.apply_vm_list([vm("e0", "model", serves="m")], [])
        self.assertEqual(0, self.choose(table).failure().known)

    def test_prefix_affinity_yields_to_load(self):
        """The favourite is left once it is clearly busier."""
        table = self.table(2)
        favourite = self.choose(table, "prefix").unwrap()
        self.assertIs(favourite, self.choose(table, "prefix").unwrap())
        favourite.online = favourite.slots // 2
        self.assertIsNot(favourite, self.choose(table, "prefix").unwrap())

    def test_batch_items_do_not_count_against_online_requests(self):
        """They make room when an online request comes."""
        table = self.table(1)
        table.get("e0").batch = 100
        self.assertIsInstance(self.choose(table), Success)

    def test_full_endpoints_are_a_reason_to_wait(self):
        """They are known, unlike endpoints that do not exist."""
        table = self.table(1)
        table.get("e0").online = 16
        self.assertEqual(1, self.choose(table).failure().known)

    def test_ejection_is_capped_unless_connections_are_refused(self):
        """A failure that all endpoints share is not theirs."""
        table = self.table(4)
        for endpoint in table.all():
            for _ in range(3):
                table.record_failure(endpoint, 0.0, refused=False)
        ejected = [e.id for e in table.all() if e.is_ejected(0.1)]
        self.assertEqual(2, len(ejected))

    def test_ejected_endpoint_comes_back(self):
        """And is ejected for longer if it fails again."""
        table = self.table(2)
        endpoint = table.get("e0")
        table.record_failure(endpoint, 0.0, refused=True)
        self.assertTrue(endpoint.is_ejected(0.5))
        self.assertFalse(endpoint.is_ejected(1.5))
        table.record_failure(endpoint, 1.5, refused=True)
        self.assertTrue(endpoint.is_ejected(3.0))


class RetryBudgetTest(ApricotTest):
    """Retries as a share of requests."""

    def test_outage_of_all_endpoints_adds_a_tenth_at_most(self):
        """Beyond the small reserve."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.record_request("t")
            retries += budget.take("t")
        self.assertLessEqual(retries, 110)


class BatchAllowanceTest(ApricotTest):
    """How much batch runs beside online requests."""

    def settle(self, allowance: BatchAllowance, online: int, seconds: float) -> int:
        """Update with a steady online count, from the start to the end of a while."""
        now_s = 100.0
        allowed = 0
        for step in range(int(seconds * 20) + 1):
            allowed = allowance.update(16, online, now_s + step / 20)
        return allowed

    def test_falls_at_once_with_a_burst(self):
        """The next update already allows only what is left."""
        allowance = BatchAllowance()
        self.settle(allowance, 0, 5)
        self.assertEqual(16 - 12, allowance.update(16, 12, 200.0))

    def test_fills_idle_capacity_within_two_seconds(self):
        """All of it."""
        self.assertEqual(16, self.settle(BatchAllowance(), 0, 2))

    @parameterized.expand([(online,) for online in range(0, 20, 3)])
    def test_never_exceeds_the_slots(self, online):
        """Batch and online together."""
        allowed = self.settle(BatchAllowance(), online, 5)
        self.assertLessEqual(allowed, max(0, 16 - online))
