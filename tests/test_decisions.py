"""The smaller decision modules, each tested by tables of cases."""

import random

from hypothesis import given, strategies as st
from parameterized import parameterized
from returns.result import Success
from transitions import Machine

from apricotquay.allowance import BatchAllowance
from apricotquay.charts import load_chart
from apricotquay.engineclient import EndpointError, StreamEnd, StreamValidator, Token
from apricotquay.errors import ERROR_RESPONSES, ErrorKind, Ran
from apricotquay.fairness import FairQueue
from apricotquay.freshness import Freshness, PeerView, assess_view
from apricotquay.ids import MemberId, rendezvous_order
from apricotquay.membership import MemberState, MemberUpdate, MemberView, VmEntry
from apricotquay.online import Progress, final_error
from apricotquay.retries import RetryBudget
from apricotquay.routing import EndpointTable

from .base import PROPERTY_SETTINGS, ApricotTest


class ChartTest(ApricotTest):
    """The loaded charts, compared with a state machine library."""

    @parameterized.expand([("lease",), ("item",), ("member",)])
    def test_table_agrees_with_a_state_machine(self, name):
        """Each state and event has the same next state in both."""
        chart = load_chart(name)
        events = sorted({event for _, event, _ in chart.iter_transitions()})
        machine = Machine(
            states=list(chart.states),
            initial=chart.initial,
            transitions=[
                {"trigger": e, "source": s, "dest": t}
                for s, e, t in chart.iter_transitions()
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

    def test_every_kind_has_a_response(self):
        """No error kind is missing from the table."""
        self.assertEqual(set(ErrorKind), set(ERROR_RESPONSES))

    def test_retryable_refusals_say_when_to_retry(self):
        """Responses with status 429 and 503 have a retry time."""
        for kind, response in ERROR_RESPONSES.items():
            if response.status in (429, 503):
                self.assertGreater(response.retry_after_ms, 0, kind)

    @parameterized.expand(
        [
            ("no connection", ["lost"], "endpoint_missing", Ran.NOT_RUN),
            ("refused by all", ["refused", "refused"], "endpoint_refused", Ran.NOT_RUN),
            ("cut after the request", ["cut"], "endpoint_failed", Ran.UNKNOWN),
            ("cut in the response", ["broken"], "stream_broken", Ran.RAN),
            ("cut, then refused", ["cut", "refused"], "endpoint_failed", Ran.UNKNOWN),
            ("broken, then lost", ["broken", "lost"], "stream_broken", Ran.RAN),
            ("refused, then cut", ["refused", "cut"], "endpoint_failed", Ran.UNKNOWN),
        ]
    )
    def test_not_run_is_reported_only_if_no_attempt_ran(
        self, _name, attempts, kind, ran
    ):
        """A caller may safely repeat a request that was reported as not run."""
        errors = {
            "lost": EndpointError("x", Ran.NOT_RUN),
            "refused": EndpointError("x", Ran.NOT_RUN, status=503),
            "cut": EndpointError("x", Ran.UNKNOWN),
            "broken": EndpointError("x", Ran.RAN, broken=True),
        }
        progress = Progress()
        for attempt in attempts:
            progress.record_error(errors[attempt])
        error = final_error(progress.last_error, progress.ran)
        self.assertEqual((kind, ran), (error.kind.value, error.ran))


class StreamValidatorTest(ApricotTest):
    """Only the complete response to the own request is accepted."""

    def make_chunk(self, index: int, request: str = "r1") -> bytes:
        """Return a chunk with a token."""
        return (
            b'{"id":"%s","choices":[{"delta":{"content":"t%d"}}],"token_index":%d}'
            % (request.encode(), index, index)
        )

    def make_end(self, count: int) -> bytes:
        """Return the last chunk of a response."""
        return (
            b'{"id":"r1","choices":[{"delta":{},"finish_reason":"stop"}],'
            b'"token_count":%d}' % count
        )

    def test_whole_response(self):
        """Its tokens and its end are returned."""
        validator = StreamValidator("r1", 0)
        parts = [
            validator.check(c)
            for c in (self.make_chunk(0), self.make_chunk(1), self.make_end(2))
        ]
        self.assertEqual([Token(0, "t0"), Token(1, "t1")], parts[:2])
        self.assertIsInstance(parts[2], StreamEnd)

    def test_repeated_token_is_dropped(self):
        """The caller gets each token once."""
        validator = StreamValidator("r1", 0)
        validator.check(self.make_chunk(0))
        self.assertIsNone(validator.check(self.make_chunk(0)))

    @parameterized.expand(
        [
            ("crossed", lambda t: [t.make_chunk(0, "r2")]),
            ("gap", lambda t: [t.make_chunk(0), t.make_chunk(2)]),
            ("short", lambda t: [t.make_chunk(0), t.make_end(2)]),
            ("malformed", lambda t: [b"{"]),
        ]
    )
    def test_invalid_responses_are_rejected(self, _name, chunks):
        """A response that is incomplete or of another request is an error."""
        validator = StreamValidator("r1", 0)
        with self.assertRaises(EndpointError) as caught:
            for chunk in chunks(self):
                validator.check(chunk)
        self.assertIs(Ran.RAN, caught.exception.ran)


class FairQueueTest(ApricotTest):
    """Weighted fair queueing."""

    def test_small_team_is_not_delayed_by_a_large_backlog(self):
        """Its single request is at most the second one to be served."""
        queue = FairQueue(10_000)
        for number in range(1000):
            queue.push("large", 1.0, 100.0, ("large", number))
        queue.pop()
        queue.push("small", 1.0, 100.0, ("small", 0))
        self.assertIn("small", [queue.pop()[0] for _ in range(2)])

    @parameterized.expand([("equal", 1.0, 0.5), ("three to one", 3.0, 0.75)])
    def test_saturated_teams_get_tokens_by_weight(self, _name, weight, share):
        """The shares are of tokens, although one team's requests are longer."""
        queue = FairQueue(10_000)
        for _ in range(2000):
            queue.push("a", weight, 50.0, ("a", 50.0))
            queue.push("b", 1.0, 200.0, ("b", 200.0))
        tokens_by_team = {"a": 0.0, "b": 0.0}
        for _ in range(500):
            team, cost = queue.pop()
            tokens_by_team[team] += cost
        self.assertAlmostEqual(
            share, tokens_by_team["a"] / sum(tokens_by_team.values()), delta=0.03
        )

    def test_queue_of_a_team_is_bounded(self):
        """The team's next request is refused, other teams' requests are not."""
        queue = FairQueue(2)
        queue.push("a", 1.0, 1.0, 1)
        queue.push("a", 1.0, 1.0, 2)
        self.assertEqual(2, queue.push("a", 1.0, 1.0, 3).failure().length)
        self.assertIsInstance(queue.push("b", 1.0, 1.0, 4), Success)

    @PROPERTY_SETTINGS
    @given(st.lists(st.sampled_from(["push", "pop", "back"]), max_size=80))
    def test_no_work_is_lost_or_duplicated(self, steps):
        """The queue is compared with a set of the queued work."""
        queue = FairQueue(1000)
        queued = set()
        for number, step in enumerate(steps):
            team = f"t{number % 3}"
            if step == "push":
                queue.push(team, 1.0, 1.0 + number % 5, (team, number))
                queued.add((team, number))
                continue
            work = queue.pop()
            self.assertEqual(work is None, not queued)
            if work is None:
                continue
            queued.remove(work)
            if step == "back":
                queue.push_front(work[0], 1.0, work)
                queued.add(work)
        self.assertEqual(queued, set(queue.drain()))


class FreshnessTest(ApricotTest):
    """Whether a view of the configuration may be used."""

    @parameterized.expand(
        [
            ("log read recently", 0.5, 7, [], 0, Freshness.BY_LOG),
            ("no configuration yet", 0.5, 0, [], 0, Freshness.STALE),
            (
                "peer reaches the log",
                9,
                7,
                [PeerView(0.1, 0.5, 7)],
                3,
                Freshness.BY_PEER,
            ),
            ("peer is newer", 9, 7, [PeerView(0.1, 0.5, 8)], 3, Freshness.STALE),
            (
                "peers are cut off from the log too",
                9,
                7,
                [PeerView(0.1, 20, 7), PeerView(0.1, 20, 7)],
                3,
                Freshness.LOG_OUTAGE,
            ),
            ("cut off from all", 9, 7, [PeerView(9, 9, 7)] * 3, 3, Freshness.STALE),
            (
                "minority that is cut off from the log",
                9,
                7,
                [PeerView(0.1, 20, 7)] + [PeerView(20, 20, 7)] * 3,
                4,
                Freshness.STALE,
            ),
            ("only daemon of the fleet", 9, 7, [], 0, Freshness.LOG_OUTAGE),
        ]
    )
    def test_assessment(self, _name, age_s, version, peers, count, expected):
        """A daemon that is cut off stops; an outage of the log stops no daemon."""
        self.assertIs(expected, assess_view(age_s, version, peers, count, 3.0))


def make_vm(vm_id: str, kind: str = "entry", zone: str = "z1", **fields) -> VmEntry:
    """Return an entry of the VM list."""
    return VmEntry(vm_id, kind, "127.0.0.1", 1, zone, **fields)


class MemberViewTest(ApricotTest):
    """States of members by their replies and by updates."""

    def make_view(self, *names: str) -> MemberView:
        """Return the view of "me" with other members."""
        view = MemberView(MemberId("me"), 1.0)
        view.apply_vm_list([make_vm("me"), *(make_vm(n) for n in names)], 0.0)
        return view

    def test_silent_member_is_suspected_and_recovers(self):
        """A paused member is alive again when it answers."""
        view = self.make_view("a")
        self.assertEqual(["a"], view.tick(1.5))
        self.assertEqual(["me"], view.eligible())
        view.record_answer("a", "a/1", 1.6)
        self.assertEqual(["a", "me"], view.eligible())

    def test_refused_connection_proves_that_the_process_ended(self):
        """The member is gone at once, without a timeout."""
        view = self.make_view("a")
        view.record_refused("a", 0.1)
        self.assertIs(MemberState.GONE, view.state_of("a"))

    def test_leaving_member_is_not_eligible_but_not_gone(self):
        """It still holds resources that it has not handed over."""
        view = self.make_view("a", "b")
        view.record_leave("a", 0.1)
        self.assertEqual(["b", "me"], view.eligible())
        self.assertIs(MemberState.LEAVING, view.state_of("a"))

    def test_restarted_member_is_alive_again(self):
        """A new process runs on a VM that had announced its leave."""
        view = self.make_view("a")
        view.record_answer("a", "a/1", 0.1)
        view.record_leave("a", 0.1)
        view.record_answer("a", "a/2", 0.2)
        self.assertIs(MemberState.ALIVE, view.state_of("a"))

    def test_unlisted_member_that_answers_is_not_gone(self):
        """The VM list lags behind, so a member's own answers count."""
        view = self.make_view("a", "b")
        view.apply_vm_list([make_vm("me"), make_vm("b")], 0.1)
        self.assertIs(MemberState.ALIVE, view.state_of("a"))

    def test_outdated_update_is_ignored(self):
        """Updates may arrive out of order, and after the member's own answer."""
        view = self.make_view("a")
        view.record_answer("a", "a/1", 5.0)
        outdated = MemberUpdate("a", "gone", "a/1", False, age_ms=1000)
        view.apply_updates([outdated], 5.5)
        self.assertIs(MemberState.ALIVE, view.state_of("a"))
        recent = MemberUpdate("a", "gone", "a/1", False, age_ms=100)
        view.apply_updates([recent], 6.0)
        self.assertIs(MemberState.GONE, view.state_of("a"))

    @parameterized.expand([(10,), (100,), (370,)])
    def test_loss_and_return_reach_all_members_soon(self, count):
        """The number of rounds grows with the logarithm of the fleet's size."""
        names = [f"m{n}" for n in range(count)]
        views = {}
        for name in names:
            view = MemberView(MemberId(name), 1.0)
            view.apply_vm_list([make_vm(n) for n in names], 0.0)
            views[name] = view
        loss_known_s = self.find_dissemination_time(
            views, MemberState.GONE, 0.0, lost="m3"
        )
        self.assertLess(loss_known_s, 10.0)
        start_s = loss_known_s + 0.3
        return_known_s = self.find_dissemination_time(
            views, MemberState.ALIVE, start_s, lost=None
        )
        self.assertLess(return_known_s, 10.0)

    def find_dissemination_time(self, views, state, start_s, lost) -> float:
        """Probe in rounds until all others see "m3" in a state; return the time."""
        rng = random.Random(7)
        for number in range(100):
            now_s = start_s + number * 0.3
            other_views = [v for n, v in views.items() if n != "m3"]
            if all(v.state_of("m3") is state for v in other_views) and number:
                return now_s - start_s
            for name, view in views.items():
                if name == lost:
                    continue
                view.tick(now_s)
                for target in view.probe_targets(3, rng):
                    if target == lost:
                        view.record_refused(target, now_s)
                        continue
                    other = views[target]
                    incarnation = "2" if target == "m3" and lost is None else "1"
                    other.apply_updates(view.updates_to_send(now_s), now_s)
                    mine = "2" if name == "m3" and lost is None else "1"
                    other.record_answer(name, mine, now_s)
                    view.apply_updates(other.updates_to_send(now_s), now_s)
                    view.record_answer(target, incarnation, now_s)
        raise AssertionError("the state of m3 did not reach all members")

    def test_preference_changes_little_when_a_member_leaves(self):
        """Only resources that preferred the leaving member get another one."""
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

    def make_table(self, count: int, subset: int = 8, me: str = "me") -> EndpointTable:
        """Return a table of engines in two zones."""
        table = EndpointTable(MemberId(me), "z1", subset)
        entries = [
            make_vm(f"e{n}", "model", f"z{1 + n % 2}", serves="m") for n in range(count)
        ]
        table.apply_vm_list(entries, [MemberId(me)])
        return table

    def choose(self, table: EndpointTable, prefix: str = "", now_s: float = 0.0):
        """Choose an endpoint."""
        return table.choose("m", prefix, set(), now_s, random.Random(1))

    def test_subset_prefers_the_own_zone(self):
        """Other zones are used only if the own zone has too few endpoints."""
        zones = [e.entry.zone for e in self.make_table(40, 8).subset("m")]
        self.assertEqual(["z1"] * 8, zones)

    def test_subsets_cover_all_endpoints_evenly(self):
        """Over all daemons of a zone, no endpoint is used much more than another."""
        uses: dict[str, int] = {}
        names = [MemberId(f"d{n}") for n in range(20)]
        entries = [make_vm(f"e{n}", "model", "z1", serves="m") for n in range(32)]
        for name in names:
            table = EndpointTable(name, "z1", 8)
            table.apply_vm_list(entries, names)
            for endpoint in table.subset("m"):
                uses[endpoint.id] = uses.get(endpoint.id, 0) + 1
        self.assertEqual(32, len(uses))
        self.assertLessEqual(max(uses.values()) - min(uses.values()), 1)

    def test_leaving_endpoint_gets_no_new_work(self):
        """It gets none even if an outdated VM list shows it as live again."""
        table = self.make_table(1)
        leaving = make_vm("e0", "model", serves="m", state="leaving")
        table.apply_vm_list([leaving], [])
        table.apply_vm_list([make_vm("e0", "model", serves="m")], [])
        self.assertEqual(0, self.choose(table).failure().known_count)

    def test_prefix_affinity_yields_to_load(self):
        """The endpoint preferred by prefix is not chosen if it is clearly busier."""
        table = self.make_table(2)
        preferred = self.choose(table, "prefix").unwrap()
        self.assertIs(preferred, self.choose(table, "prefix").unwrap())
        preferred.online = preferred.slots // 2
        self.assertIsNot(preferred, self.choose(table, "prefix").unwrap())

    def test_batch_items_do_not_count_against_online_requests(self):
        """They are paused for an online request."""
        table = self.make_table(1)
        table.get("e0").batch = 100
        self.assertIsInstance(self.choose(table), Success)

    def test_full_endpoints_are_counted_as_known(self):
        """A request waits for them; without any endpoint it fails."""
        table = self.make_table(1)
        table.get("e0").online = 16
        self.assertEqual(1, self.choose(table).failure().known_count)

    def test_ejection_is_capped_unless_connections_are_refused(self):
        """A failure that all endpoints share has another cause."""
        table = self.make_table(4)
        for endpoint in table.all():
            for _ in range(3):
                table.record_failure(endpoint, 0.0, refused=False)
        ejected = [e.id for e in table.all() if e.is_ejected(0.1)]
        self.assertEqual(2, len(ejected))

    def test_ejection_ends_and_is_longer_if_repeated(self):
        """An endpoint that fails again is ejected for longer."""
        table = self.make_table(2)
        endpoint = table.get("e0")
        table.record_failure(endpoint, 0.0, refused=True)
        self.assertTrue(endpoint.is_ejected(0.5))
        self.assertFalse(endpoint.is_ejected(1.5))
        table.record_failure(endpoint, 1.5, refused=True)
        self.assertTrue(endpoint.is_ejected(3.0))


class RetryBudgetTest(ApricotTest):
    """Retries as a share of requests."""

    def test_outage_of_all_endpoints_adds_a_tenth_at_most(self):
        """A small reserve comes on top."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.record_request("t")
            retries += budget.take("t")
        self.assertLessEqual(retries, 110)


class BatchAllowanceTest(ApricotTest):
    """How many batch items may run beside online requests."""

    def update_steadily(
        self, allowance: BatchAllowance, online: int, seconds: float
    ) -> int:
        """Update with a steady online count for a while; return the last result."""
        now_s = 100.0
        allowed = 0
        for step in range(int(seconds * 20) + 1):
            allowed = allowance.update(16, online, now_s + step / 20)
        return allowed

    def test_allowance_falls_at_once_in_a_burst(self):
        """The next update allows only the slots left by online requests."""
        allowance = BatchAllowance()
        self.update_steadily(allowance, 0, 5)
        self.assertEqual(16 - 12, allowance.update(16, 12, 200.0))

    def test_fills_idle_capacity_within_two_seconds(self):
        """All slots are allowed."""
        self.assertEqual(16, self.update_steadily(BatchAllowance(), 0, 2))

    @parameterized.expand([(online,) for online in range(0, 20, 3)])
    def test_never_exceeds_the_slots(self, online):
        """Batch items and online requests together fit into the slots."""
        allowed = self.update_steadily(BatchAllowance(), online, 5)
        self.assertLessEqual(allowed, max(0, 16 - online))
