"""Cold endpoints: what a fleet of daemons may send them together."""

import asyncio
import random

import cbor2
import msgspec
from parameterized import parameterized

from apricotquay.ids import EndpointId
from apricotquay.serving.catalog import Configuration, Limits, Service
from apricotquay.serving.coldperiods import MAX_CLOCK_DIFFERENCE_S, ColdPeriods
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.messages import SlotGranted, decode_frame, encode_frame
from apricotquay.serving.slots.allocator import SlotAllocator
from apricotquay.serving.slots.coldlimits import (
    ENTRY_DELAY_S,
    MAX_GRANT_AGE_S,
    TAKEOVER_S,
    ColdLimit,
    ColdLimits,
    sharing_daemons,
)
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.outliers import EJECTION_BASE_S, SlotOutcome
from apricotquay.serving.slots.slotowner import SlotTables
from apricotquay.serving.slots.slotrequests import Waiter
from apricotquay.serving.slots.tickets import Granted, Refused, TicketId

from .base import ApricotTest
from .test_serving_dispatch import batch, online
from .test_serving_jobs import quiet_reporter
from .test_serving_slots import SERVICE, FixedShards, FixedView, SteppedClock

ENDPOINT = EndpointId("cold")
STARTED_MS = 5
COLD_PER_S = 6.1
STEP_S = 0.02


def allowed(rate_per_s: float) -> float:
    """Return the most requests of any second that an endpoint survives."""
    return 1.5 * rate_per_s + 5


def most_in_a_second(arrived_s: list[float]) -> int:
    """Return the most arrivals within any second."""
    arrived_s = sorted(arrived_s)
    return max(
        (
            sum(1 for t in arrived_s[n:] if t < at_s + 1)
            for n, at_s in enumerate(arrived_s)
        ),
        default=0,
    )


class ColdFleet:
    """Daemons that all have more requests for a cold endpoint than it takes.

    Each asks the daemon that it takes for the owner, or grants to itself if it hears
    none; grants arrive up to `late_s` later.
    """

    def __init__(self, count: int, seed: int) -> None:
        random.seed(seed)
        self.random = random.Random(seed)
        self.arrived_s: list[float] = []
        self.now_s: float = 100.0
        self.late_s: float = 0.0
        # Which daemons grant for the whole fleet, and since when.
        self.owners: dict[int, float] = {}
        self.unconfirmed: set[int] = set()
        # The part of the daemons that hear no owner.
        self.deaf_part: float = 0.0
        self._limits = [ColdLimit(STARTED_MS, COLD_PER_S, 100.0) for _ in range(count)]

    def appoint(self, daemon: int) -> None:
        """Make a daemon an owner that starts now."""
        self.owners.setdefault(daemon, self.now_s)

    def run(self, duration_s: float) -> None:
        """Send whatever may be sent."""
        end_s = self.now_s + duration_s
        daemons = sharing_daemons(len(self._limits))
        deaf_count = int(self.deaf_part * len(self._limits))
        while self.now_s < end_s:
            for number, limit in enumerate(self._limits):
                is_owner = number in self.owners
                is_new = is_owner and self.now_s - self.owners[number] < TAKEOVER_S
                limit.set_doubtful(is_new or number in self.unconfirmed)
                limit.share_among(daemons, self.now_s, is_shared=not is_owner)
                if is_owner or number < deaf_count or not self.owners:
                    self._send(limit)
            self.now_s += STEP_S * self.random.uniform(0.5, 1.5)

    def _send(self, limit: ColdLimit) -> None:
        while limit.may_send(self.now_s):
            limit.take(self.now_s)
            delay_s = self.random.uniform(0, self.late_s)
            self.arrived_s.append(self.now_s + delay_s)


class ColdFleetTest(ApricotTest):
    """Requests of all daemons together at one endpoint that stays cold."""

    @parameterized.expand(
        [
            (f"{daemons} daemons, seed {seed}", daemons, seed)
            for daemons in (6, 24, 87)
            for seed in range(6)
        ]
    )
    def test_no_second_has_more_than_the_bound(self, _name, daemons, seed):
        """Owners die, change, overlap and fall silent; grants arrive late."""
        fleet = ColdFleet(daemons, seed)
        for _ in range(12):
            fleet.late_s = fleet.random.choice((0.0, 0.05, MAX_GRANT_AGE_S))
            fleet.deaf_part = fleet.random.choice((0.0, 0.5, 0.9))
            newcomer = fleet.random.randrange(daemons)
            match fleet.random.randrange(4):
                case 0:
                    fleet.owners.clear()
                case 1:
                    fleet.owners.clear()
                    fleet.appoint(newcomer)
                case 2:
                    # The former owner does not know yet, for the time of a join.
                    fleet.owners = dict(list(fleet.owners.items())[-1:])
                    fleet.unconfirmed = set(fleet.owners) if seed % 2 else set()
                    fleet.appoint(newcomer)
                case 3:
                    fleet.unconfirmed = set(fleet.owners)
            fleet.run(fleet.random.uniform(0.3, 3.0))
        self.assertLessEqual(most_in_a_second(fleet.arrived_s), allowed(COLD_PER_S))

    def test_owner_gives_nearly_the_whole_rate(self):
        """An endpoint that gets nothing while cold is of no use."""
        fleet = ColdFleet(6, 1)
        fleet.appoint(0)
        fleet.run(TAKEOVER_S)
        fleet.arrived_s.clear()
        fleet.run(20.0)
        self.assertGreater(len(fleet.arrived_s), 0.9 * 20 * COLD_PER_S)
        self.assertLessEqual(most_in_a_second(fleet.arrived_s), COLD_PER_S + 2)

    def test_new_owner_begins_with_an_empty_bucket(self):
        """The former owner may have sent its whole rate a moment ago."""
        limit = ColdLimit(STARTED_MS, COLD_PER_S, 0.0)
        limit.share_among(6, 50.0, is_shared=False)
        self.assertFalse(limit.may_send(50.0))
        self.assertFalse(limit.may_send(50.0 + 0.9 / COLD_PER_S))
        self.assertTrue(limit.may_send(50.0 + 1.1 / COLD_PER_S))

    def test_new_start_gets_a_limit_of_its_own(self):
        """What the earlier start was granted says nothing of the new one."""
        limits = ColdLimits()
        first, begins = limits.begin(_endpoint(1), COLD_PER_S, 0.0)
        self.assertTrue(begins)
        self.assertEqual((first, False), limits.begin(_endpoint(1), COLD_PER_S, 1.0))
        second, begins = limits.begin(_endpoint(2), COLD_PER_S, 2.0)
        self.assertTrue(begins)
        self.assertIsNot(first, second)
        self.assertTrue(limits.end(ENDPOINT))
        self.assertFalse(limits.end(ENDPOINT))


class ColdPeriodsTest(ApricotTest):
    """When an endpoint is cold, as its entries say."""

    @parameterized.expand(
        [
            ("stated time", [(1, 3.0, 0.0)], 2.9, True),
            ("after the stated time", [(1, 3.0, 0.0)], 3.1, False),
            ("warm from the beginning", [(1, 0.0, 0.0)], 0.1, False),
            ("ended by a later entry", [(1, 3.0, 0.0), (1, 0.0, 1.2)], 1.3, False),
            ("cold again", [(1, 0.0, 0.0), (1, 2.0, 1.2)], 3.1, True),
            ("new start", [(1, 0.0, 0.0), (2, 2.0, 1.2)], 3.1, True),
            ("no time stated", [(1, None, 0.0)], 2.9, True),
            ("no time stated, later", [(1, None, 0.0)], 3.1, False),
            ("no time in a later entry", [(1, 3.0, 0.0), (1, None, 1.2)], 2.9, True),
            ("rewritten without a time", [(1, None, 0.0), (1, None, 2.0)], 3.1, False),
            ("new start, no time", [(1, 0.0, 0.0), (2, None, 5.0)], 7.9, True),
        ]
    )
    def test_period(self, _name, entries, now_s, is_cold):
        """A period that is missed lets the load of a warm endpoint hit a cold one."""
        periods = ColdPeriods()
        for started_ms, left_s, at_s in entries:
            periods.record(ENDPOINT, started_ms, left_s, 0.0, at_s)
        left_s = periods.left_s(ENDPOINT, entries[-1][0], 3.0, now_s)
        self.assertEqual(is_cold, left_s > 0)

    def test_old_start_without_a_time_is_warm(self):
        """A daemon that starts would take a whole service for cold."""
        periods = ColdPeriods()
        periods.record(ENDPOINT, 1, None, MAX_CLOCK_DIFFERENCE_S + 1, 0.0)
        self.assertEqual(0.0, periods.left_s(ENDPOINT, 1, 3.0, 0.1))

    def test_period_of_an_earlier_start_says_nothing(self):
        """A table may know the new start before its entry is recorded."""
        periods = ColdPeriods()
        periods.record(ENDPOINT, 1, 3.0, 0.0, 0.0)
        self.assertEqual(0.0, periods.left_s(ENDPOINT, 2, 3.0, 0.1))


class GrantTest(ApricotTest):
    """Grants of an owner for an endpoint that this daemon knows as cold."""

    @parameterized.expand(
        [
            ("counted a moment ago", "peer", True, 0.1, 0.0, True),
            ("waited for long", "peer", True, 5.0, 4.9, True),
            ("on the way for long", "peer", True, 0.5, 0.1, False),
            ("owner takes it for warm", "peer", False, 0.1, 0.0, False),
            ("own table", None, False, 5.0, 0.0, True),
        ]
    )
    def test_grant(self, _name, owner, is_cold, asked_ago_s, waited_s, is_used):
        """Late grants arrive with those of the next second, above the bound."""

        async def run() -> None:
            clock = SteppedClock()
            view = FixedView()
            service = Service(SERVICE, 8, 3.0, COLD_PER_S)
            view.configuration = Configuration(1, [], [service], None, Limits())
            endpoint = _endpoint(STARTED_MS, cold_left_s=3.0)
            view.endpoints.apply(ENDPOINT, endpoint, 99, clock.now_s())
            shards = FixedShards("a:1")
            slots = SlotAllocator(view, shards, None, clock, "a", quiet_reporter())
            waiter = Waiter(SERVICE, owner)
            waiter.asked_s = clock.now_s() - asked_ago_s
            waiter.grant_is_cold = is_cold
            waiter.grant_waited_s = waited_s
            granted = Granted(TicketId("t"), ENDPOINT)
            self.assertEqual(is_used, slots._may_use(granted, waiter))
            self.assertEqual(int(not is_used), slots.unused_grant_count)

        asyncio.run(run())


class GrantMessageTest(ApricotTest):
    """Frames that daemons of the previous release send and read."""

    @parameterized.expand(
        [
            ("warm", SlotGranted("t", "e"), {"type", "ticket", "endpoint"}),
            (
                "cold",
                SlotGranted("t", "e", is_cold=True, waited_ms=5),
                {"type", "ticket", "endpoint", "is_cold", "waited_ms"},
            ),
        ]
    )
    def test_fields(self, _name, message, expected):
        """Without a cold endpoint nothing changes for a peer."""
        _, value = cbor2.loads(encode_frame(0, message))
        self.assertEqual(expected, set(value))
        self.assertEqual((0, message), decode_frame(encode_frame(0, message)))


class SlotTablesTest(ApricotTest):
    """The owner's tables of a service that has a limit for cold endpoints."""

    def tables(self, clock: SteppedClock, cold_per_s: float = COLD_PER_S) -> SlotTables:
        """Return tables with endpoints that are warm."""
        view = FixedView()
        service = Service(SERVICE, 8, 3.0, cold_per_s)
        view.configuration = Configuration(1, [], [service], None, Limits())
        for endpoint in list(view.endpoints.all()):
            entry = msgspec.structs.replace(endpoint, started_ms=1, cold_left_s=0.0)
            view.endpoints.apply(endpoint.id, entry, 50, clock.now_s())
        tables = SlotTables(view, clock, quiet_reporter())
        tables.table(SERVICE)
        return tables

    def fail_often(self, tables: SlotTables, endpoint_id: EndpointId) -> None:
        """Report failures until the endpoint is ejected."""
        for _ in range(5):
            tables.record_outcome(endpoint_id, SlotOutcome.FAILED)

    @parameterized.expand([("limited", COLD_PER_S, True), ("no limit", 0.0, False)])
    def test_endpoint_that_failed_may_have_started_again(
        self, _name, cold_per_s, is_cold
    ):
        """The entry of the new start comes late, and the empty endpoint is flooded."""
        clock = SteppedClock()
        tables = self.tables(clock, cold_per_s)
        endpoint_id = EndpointId("e1")
        self.fail_often(tables, endpoint_id)
        clock.at_s += EJECTION_BASE_S + 1.0
        tables.tick()
        self.assertEqual(is_cold, tables.is_cold(endpoint_id))
        self.assertFalse(tables.is_cold(EndpointId("e0")))
        clock.at_s += ENTRY_DELAY_S
        tables.tick()
        self.assertFalse(tables.is_cold(endpoint_id))
        self.assertEqual(0, len(tables.cold_limits))

    def test_limits_end_with_their_endpoints(self):
        """An endpoint that is gone must not keep the tables busy for ever."""
        clock = SteppedClock()
        tables = self.tables(clock)
        endpoints = tables._view.endpoints
        entry = _endpoint(STARTED_MS, cold_left_s=100.0)
        endpoints.apply(ENDPOINT, entry, 99, clock.now_s())
        tables.refresh()
        self.assertEqual(1, len(tables.cold_limits))
        endpoints.apply(ENDPOINT, None, 100, clock.now_s())
        clock.at_s += 1.0
        tables.tick()
        self.assertEqual(0, len(tables.cold_limits))
        clock.at_s += 1.0
        tables.tick()
        self.assertFalse(tables.needs_tick.is_set())


class ColdDispatchTest(ApricotTest):
    """The slot table of a service with a cold endpoint."""

    def table(self, **slots: int) -> Dispatcher:
        """Return a table with the cold endpoint `cold` among others, at time 0."""
        dispatcher = Dispatcher(seed=1)
        limit = ColdLimit(STARTED_MS, COLD_PER_S, -10.0)
        limit.share_among(6, -10.0, is_shared=False)
        counts = {EndpointId(name): count for name, count in slots.items()}
        dispatcher.set_endpoints(counts, 0.0, cold={ENDPOINT: limit})
        return dispatcher

    def granted_cold(self, decisions) -> int:
        """Return how many slots of the cold endpoint were granted."""
        granted = [d for d in decisions if isinstance(d, Granted)]
        return sum(1 for d in granted if d.endpoint == ENDPOINT)

    @parameterized.expand([("online", online, 2.0), ("batch", batch, 60.0)])
    def test_warm_endpoints_take_the_rest(self, _name, make_ticket, due_s):
        """An empty endpoint has the most free slots, so it would get everything."""
        dispatcher = self.table(cold=8, warm=60)
        granted = [
            self.granted_cold(dispatcher.request_slot(make_ticket(f"{n}", due_s), 0.0))
            for n in range(50)
        ]
        self.assertEqual(1, sum(granted))
        self.assertEqual(49, dispatcher.running_at(EndpointId("warm")))

    def test_retries_count_like_first_attempts(self):
        """Requests that fail at other endpoints come at once and in great number."""
        dispatcher = self.table(cold=8, warm=8)
        granted = 0
        for number in range(20):
            ticket = online(f"{number}", 2.0, avoid=frozenset({"warm"}))
            granted += self.granted_cold(dispatcher.request_slot(ticket, 0.0))
        self.assertEqual(1, granted)

    def test_daemon_alone_refuses_for_seconds_only(self):
        """Its share is a send in minutes, but the endpoint is cold for seconds."""
        dispatcher = Dispatcher(seed=1)
        limit = ColdLimit(STARTED_MS, COLD_PER_S, 0.0)
        limit.share_among(sharing_daemons(0), 0.0, is_shared=True)
        dispatcher.set_endpoints({ENDPOINT: 8}, 0.0, cold={ENDPOINT: limit})
        for number in range(2):
            decisions = dispatcher.request_slot(online(f"{number}", 2.0, 1.8), 0.0)
        waits_s = [d.wait_s for d in decisions if isinstance(d, Refused)]
        self.assertTrue(waits_s)
        self.assertLess(max(waits_s), 10.0)

    def test_waiting_request_gets_the_next_send(self):
        """With all endpoints cold work waits for the pace, it is not lost."""
        dispatcher = self.table(cold=8)
        granted = 0
        for number in range(3):
            decisions = dispatcher.request_slot(online(f"{number}", 2.0), 0.0)
            granted += self.granted_cold(decisions)
        for step in range(1, 21):
            granted += self.granted_cold(dispatcher.tick(step * 0.05))
        self.assertEqual(3, granted)


def _endpoint(started_ms: int, **fields) -> Endpoint:
    return Endpoint(ENDPOINT, SERVICE, "h", 1, started_ms=started_ms, **fields)
