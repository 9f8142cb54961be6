"""Decisions about links to endpoints, and the peers that relay. No network."""

from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.fleet.paths import (
    MAX_PROBE_SUCCESSES,
    MAX_PROBES_AT_ONCE,
    PathTable,
)
from apricotquay.serving.fleet.relaypool import (
    FAILURE_PAUSE_S,
    REACHED_VALID_S,
    RelayPool,
)

from .base import ApricotTest

ENDPOINTS = [EndpointId(f"i-{number}") for number in range(6)]


class PathTableTest(ApricotTest):
    """Which endpoints are out of reach."""

    @parameterized.expand(
        [
            ("nothing is lost", [], False, False),
            ("one is lost", ["lost 0"], True, False),
            ("another is lost", ["lost 1"], False, False),
            ("two are lost", ["lost 1", "lost 2"], True, True),
            ("one was reached between", ["lost 1", "reached", "lost 2"], False, False),
            ("one was reached after", ["lost 1", "lost 2", "reached"], False, False),
            ("one returned", ["lost 0", "probe 0 yes"], False, False),
            ("a probe failed", ["lost 0", "probe 0 no"], True, False),
            ("one of two returned", ["lost 0", "lost 1", "probe 1 yes"], True, False),
        ]
    )
    def test_path_to_endpoint_0(self, _name, history, is_lost, is_cut_off):
        """Of what happened, a second apart."""
        table = PathTable()
        for now_s, step in enumerate(history):
            action, _, rest = step.partition(" ")
            number, _, answer = rest.partition(" ")
            if action == "lost":
                table.record_lost(ENDPOINTS[int(number)], now_s)
            elif action == "reached":
                table.record_reached(now_s)
            else:
                table.record_probe(ENDPOINTS[int(number)], answer == "yes", now_s)
        self.assertEqual(is_lost, table.is_lost(ENDPOINTS[0]))
        self.assertEqual(is_cut_off, table.is_cut_off)

    def test_links_that_flap_must_answer_more_probes(self):
        """Up to a bound."""
        table = PathTable()
        needed = []
        for number in range(6):
            table.record_lost(ENDPOINTS[0], number)
            probes = 1
            while not table.record_probe(ENDPOINTS[0], True, number):
                probes += 1
            needed.append(probes)
        self.assertEqual([1, 2, 3, 4, 4, 4], needed)
        self.assertEqual(MAX_PROBE_SUCCESSES, needed[-1])

    def test_failed_probe_starts_the_count_of_successes_again(self):
        """Only successes in a row tell that a link is steady."""
        table = PathTable()
        table.record_lost(ENDPOINTS[0], 0)
        table.record_probe(ENDPOINTS[0], True, 0)
        table.record_lost(ENDPOINTS[0], 1)
        answers = [True, False, True, True]
        returned = [table.record_probe(ENDPOINTS[0], a, 2) for a in answers]
        self.assertEqual([False, False, False, True], returned)

    def test_all_lost_endpoints_are_probed_in_turn(self):
        """A few at once."""
        table = PathTable()
        for endpoint in ENDPOINTS:
            table.record_lost(endpoint, 0)
        probed = []
        for now_s in (1, 2):
            probes = table.next_probes(ENDPOINTS)
            self.assertEqual(MAX_PROBES_AT_ONCE, len(probes))
            probed += probes
            for endpoint in probes:
                table.record_probe(endpoint, False, now_s)
        self.assertEqual(set(ENDPOINTS), set(probed))

    def test_endpoint_that_is_not_listed_any_more_is_forgotten(self):
        """It would be probed for ever."""
        table = PathTable()
        table.record_lost(ENDPOINTS[0], 0)
        self.assertEqual([], table.next_probes(ENDPOINTS[1:]))
        self.assertEqual(0, table.lost_count)


class RelayPoolTest(ApricotTest):
    """Which peer makes an attempt."""

    @parameterized.expand(
        [
            ("none is known", [], {}, set(), 0, None),
            ("the only one", ["a"], {"a": 9}, set(), 0, "a"),
            ("the less busy one", ["a", "b"], {"a": 2, "b": 1}, set(), 0, "b"),
            ("the one not tried", ["a", "b"], {"a": 2, "b": 1}, {"b"}, 0, "a"),
            ("all were tried", ["a"], {}, {"a"}, 0, None),
            ("reached long ago", ["a"], {}, set(), REACHED_VALID_S, None),
        ]
    )
    def test_choice(self, _name, reached, running, tried, now_s, expected):
        """Of the peers that reached an endpoint."""
        pool = RelayPool(seed=1)
        for address in reached:
            pool.record_reached(address, 0)
        self.assertEqual(expected, pool.choose(tried, running, now_s))

    def test_peer_that_failed_is_left_out_for_a_while(self):
        """Though another question finds at once that it reaches the endpoint."""
        pool = RelayPool(seed=1)
        pool.record_failed("a", 0)
        pool.record_reached("a", 0.1)
        self.assertIsNone(pool.choose((), {}, FAILURE_PAUSE_S / 2))
        self.assertEqual("a", pool.choose((), {}, FAILURE_PAUSE_S))

    @parameterized.expand(
        [("another is there", ["a", "b"], "b"), ("alone", ["a"], "a")]
    )
    def test_silent_peer_is_chosen_last(self, _name, reached, expected):
        """The endpoint may have been silent instead."""
        pool = RelayPool(seed=1)
        for address in reached:
            pool.record_reached(address, 0)
        pool.record_silent("a", 0)
        self.assertEqual(expected, pool.choose((), {"b": 9}, FAILURE_PAUSE_S / 2))
        self.assertEqual("a", pool.choose((), {"b": 9}, FAILURE_PAUSE_S))
