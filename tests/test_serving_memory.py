"""Admission by the memory of endpoints: sizes, what fits, and reservations."""

import json
import random

from hypothesis import given, settings, strategies as st
from parameterized import parameterized

from apricotquay.ids import EndpointId, RouteName, TeamId
from apricotquay.platform.wire import (
    PlatformDirectory,
    decode_token_usage,
)
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.fleet.keyedlog import KeyedRecord
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.endpointslots import EndpointProfile
from apricotquay.serving.slots.memory import (
    MIN_OUTPUT_SHARE,
    MemoryUse,
    RequestSizes,
    TokenUsage,
    exceeds_memory,
)
from apricotquay.serving.slots.ticketmessages import (
    ask_slot_message,
    requested_ticket,
)
from apricotquay.serving.slots.tickets import Granted, Ticket, TicketId, Work
from standins.platform import make_configuration

from .base import ApricotTest
from .test_serving_dispatch import batch, online

MEMORY = 1_000
ROUTE = RouteName("r")


def sized(name: str, tokens: int, **fields) -> Ticket:
    """Return an online ticket of a size."""
    return online(name, 100.0, 200.0, tokens=tokens, **fields)


def table(memory_tokens: int = MEMORY, **slots: int) -> Dispatcher:
    """Return a dispatcher with endpoints of a memory."""
    dispatcher = Dispatcher(seed=1)
    counts = {EndpointId(name): count for name, count in slots.items()}
    profiles = dict.fromkeys(counts, EndpointProfile(memory_tokens=memory_tokens))
    dispatcher.set_endpoints(counts, 0.0, profiles=profiles)
    return dispatcher


class WireTest(ApricotTest):
    """What callers and the configuration state of sizes."""

    @parameterized.expand(
        [
            ("none", [], TokenUsage()),
            ("both", ["12,34"], TokenUsage(12, 34)),
            ("spaces", [" 12 , 34 "], TokenUsage(12, 34)),
            ("one number", ["12"], None),
            ("empty", [""], None),
            ("negative", ["-1,5"], None),
            ("fraction", ["1.5,5"], None),
            ("exponent", ["1e9,5"], None),
            ("other digits", ["\xb2,5"], None),
            ("three", ["1,2,3"], None),
            ("twice", ["1,2", "1,2"], None),
            ("absurd", ["1,999999999999"], None),
            ("very long", ["1" * 9000 + ",1"], None),
        ]
    )
    def test_malformed_usage_counts_as_unknown(self, _name, values, usage):
        """It names no size, and is counted."""
        headers = [(b"token-usage", value.encode("latin-1")) for value in values]
        expected = usage or TokenUsage(is_malformed=True)
        self.assertEqual(expected, decode_token_usage(headers))

    @parameterized.expand(
        [
            ("last shared part", "a:40,b:70,c:100", 70),
            ("own part only", "c:100", 0),
            ("longer than the prompt", "a:400,c:500", 0),
            ("not a number", "a:x,c:100", 0),
            ("no length", "a,c", 0),
            ("other digits", "a:\xb2,c:9", 0),
        ]
    )
    def test_shared_part_is_not_longer_than_stated(self, _name, parts, shared):
        """Memory taken for shared that is not would be filled twice."""
        headers = [
            (b"token-usage", b"100,50"),
            (b"prompt-prefix", parts.encode("latin-1")),
        ]
        self.assertEqual(TokenUsage(100, 50, shared), decode_token_usage(headers))

    @parameterized.expand(
        [
            ("size", 147_261, 147_261),
            ("omitted", None, 0),
            ("zero", 0, 0),
            ("negative", -5, 0),
            ("text", "many", 0),
            ("list", [1], 0),
            ("boolean", True, 0),
            ("absurd", 10**15, 0),
        ]
    )
    def test_invalid_memory_makes_no_configuration_unreadable(
        self, _name, value, tokens
    ):
        """It counts as unknown."""
        raw = make_configuration(1, {"t": ["k"]})
        if value is not None:
            raw["services"][0]["engine"]["kv_cache_tokens"] = value
        record = KeyedRecord(b"config", json.dumps(raw).encode())
        configuration = PlatformDirectory().decode_configuration(record)
        service = configuration.services[ServiceName("llm")]
        self.assertEqual((8, tokens), (service.slots, service.memory_tokens))


class RequestSizesTest(ApricotTest):
    """How many tokens a request is expected to hold."""

    def test_unseen_route_counts_the_whole_limit(self):
        """A lower guess could fill an endpoint's memory."""
        self.assertEqual(150, RequestSizes().needed_tokens(ROUTE, TokenUsage(100, 50)))

    def test_unknown_size_stays_unknown(self):
        """Nothing is known of the prompt either."""
        self.assertEqual(0, RequestSizes().needed_tokens(ROUTE, TokenUsage()))

    @parameterized.expand([("short", 0.3, 0.5), ("all of it", 1.0, 1.0)])
    def test_estimate_is_above_what_most_streams_produce(self, _name, longest, share):
        """Lengths are even up to the longest; 19 of 20 are below the estimate."""
        rng = random.Random(1)
        sizes = RequestSizes()
        usage = TokenUsage(0, 1000)
        for _ in range(3000):
            sizes.record(ROUTE, usage, rng.randrange(int(1000 * longest)))
        needed = sizes.needed_tokens(ROUTE, usage)
        self.assertGreater(needed, 1000 * longest * 0.85)
        self.assertLess(needed, 1000 * share + 1)

    def test_empty_streams_do_not_make_requests_free(self):
        """Some of the output limit is always counted."""
        sizes = RequestSizes()
        for _ in range(5000):
            sizes.record(ROUTE, TokenUsage(0, 1000), 0)
        least = sizes.needed_tokens(ROUTE, TokenUsage(0, 1000))
        self.assertAlmostEqual(1000 * MIN_OUTPUT_SHARE, least, delta=25)

    @parameterized.expand([(100, 900, 1000, False), (100, 901, 1000, True)])
    def test_request_larger_than_the_memory_is_found(self, prompt, output, memory, is_):
        """The declared size counts, since the endpoint goes by it."""
        self.assertEqual(is_, exceeds_memory(TokenUsage(prompt, output), memory))
        self.assertFalse(exceeds_memory(TokenUsage(prompt, output), 0))


class MessageTest(ApricotTest):
    """Tickets between daemons."""

    def test_every_field_of_a_ticket_reaches_the_owner(self):
        """One that is left out has its default there, and nobody notices."""
        ticket = Ticket(
            TicketId("t"),
            Work.BATCH,
            12.0,
            13.0,
            4.0,
            "p",
            frozenset({"a"}),
            False,
            True,
            "v",
            TeamId("team"),
            2,
            3.5,
            700,
            "z",
            frozenset({"r"}),
            300,
        )
        default = Ticket(TicketId(""), Work.ONLINE, 0.0, 0.0)
        for name in Ticket.__struct_fields__:
            self.assertNotEqual(getattr(default, name), getattr(ticket, name), name)
        message = ask_slot_message(ServiceName("llm"), ticket, 10.0)
        self.assertEqual(ticket, requested_ticket(message, 10.0))


class MemoryUseTest(ApricotTest):
    """The tokens that an endpoint holds."""

    @settings(max_examples=80, deadline=None)
    @given(st.integers(0, 2**32))
    def test_use_is_that_of_the_tickets_that_run(self, seed):
        """In any order of adding and removing, shared parts counted once."""
        rng = random.Random(seed)
        use = MemoryUse()
        running: list[Ticket] = []
        for number in range(60):
            if running and rng.random() < 0.5:
                use.remove(running.pop(rng.randrange(len(running))))
            else:
                prefix = rng.choice(["", "p", "q"])
                shared = rng.randrange(50)
                ticket = sized(
                    f"t{number}",
                    rng.choice([0, 80, rng.randrange(100)]),
                    prefix=prefix,
                    prefix_tokens=shared,
                )
                use.add(ticket)
                running.append(ticket)
            self.assertEqual(self._expected(running), use.tokens)
        for ticket in running:
            use.remove(ticket)
        self.assertEqual(0, use.tokens)

    def _expected(self, running: list[Ticket]) -> int:
        shared: dict[str, int] = {}
        own = 0
        for ticket in running:
            part = min(ticket.prefix_tokens, ticket.tokens) if ticket.prefix else 0
            own += ticket.tokens - part
            shared[ticket.prefix] = max(shared.get(ticket.prefix, 0), part)
        return own + sum(shared.values())


class AdmissionTest(ApricotTest):
    """Which tickets the table sends to which endpoint."""

    def test_ticket_goes_to_the_endpoint_that_has_memory(self):
        """The emptiest by slots has none left."""
        dispatcher = table(a=8, b=8)
        dispatcher.record_grant(sized("r", 900), EndpointId("a"), 0.0)
        for number in range(2):
            ticket = sized(f"small{number}", 10)
            dispatcher.record_grant(ticket, EndpointId("b"), 0.0)
        [granted] = dispatcher.request_slot(sized("t", 500), 0.0)
        self.assertEqual(EndpointId("b"), granted.endpoint)

    def test_ticket_waits_while_no_endpoint_has_memory(self):
        """It is sent when the ticket that holds the memory ends."""
        dispatcher = table(a=8)
        dispatcher.request_slot(sized("r", 600), 0.0)
        self.assertEqual([], dispatcher.request_slot(sized("t", 600), 0.0))
        granted = dispatcher.release(TicketId("r"), 0.5)
        self.assertEqual([Granted(TicketId("t"), EndpointId("a"))], granted)

    def test_shared_prefix_is_counted_once(self):
        """Two requests of 600 with 300 in common need 900."""
        dispatcher = table(a=8)
        for number in range(2):
            ticket = sized(f"t{number}", 600, prefix="p", prefix_tokens=300)
            self.assertEqual(1, len(dispatcher.request_slot(ticket, 0.0)))
        self.assertEqual([], dispatcher.request_slot(sized("t", 101), 0.0))

    @parameterized.expand([("no memory known", 0, 10**9), ("no size known", MEMORY, 0)])
    def test_unknown_sizes_change_nothing(self, _name, memory_tokens, tokens):
        """All slots are used, as without sizes."""
        dispatcher = table(memory_tokens, a=8)
        for number in range(8):
            ticket = sized(f"t{number}", tokens)
            self.assertEqual(1, len(dispatcher.request_slot(ticket, 0.0)))

    def test_large_ticket_that_waits_holds_up_no_small_one(self):
        """It is due first and does not fit."""
        dispatcher = table(a=8)
        dispatcher.request_slot(sized("r", 600), 0.0)
        dispatcher.request_slot(sized("large", 800), 0.0)
        [granted] = dispatcher.request_slot(sized("small", 100), 0.0)
        self.assertEqual("small", granted.ticket)

    def test_large_ticket_is_not_passed_by_small_ones_for_ever(self):
        """Small ones come faster than they end, so that memory is never free."""
        dispatcher = table(a=8)
        for number in range(4):
            dispatcher.request_slot(sized(f"s{number}", 240), 0.0)
        dispatcher.request_slot(sized("large", 900), 0.0)
        now_s = 0.0
        running = [f"s{n}" for n in range(4)]
        for number in range(4, 40):
            now_s += 0.1
            dispatcher.request_slot(sized(f"s{number}", 240), now_s)
            if running:
                decisions = dispatcher.release(TicketId(running.pop(0)), now_s)
                running += [d.ticket for d in decisions if isinstance(d, Granted)]
            if "large" in running:
                break
        self.assertIn("large", running)
        self.assertLess(now_s, 1.0)

    @parameterized.expand([("served",), ("gave up",), ("endpoint left",)])
    def test_reservation_ends(self, how):
        """Else the endpoint's memory would be kept for nobody."""
        dispatcher = table(a=8, b=8)
        for name in "ab":
            ticket = sized(f"r{name}", 600)
            dispatcher.record_grant(ticket, EndpointId(name), 0.0)
        dispatcher.request_slot(sized("large", 900), 0.0)
        dispatcher.tick(0.2)
        self.assertEqual([], dispatcher.request_slot(sized("no", 401), 0.2))
        if how == "served":
            dispatcher.release(TicketId("ra"), 0.3)
            dispatcher.release(TicketId("rb"), 0.3)
            dispatcher.release(TicketId("large"), 0.4)
        elif how == "gave up":
            dispatcher.release(TicketId("large"), 0.3)
        else:
            dispatcher.release(TicketId("large"), 0.3)
            dispatcher.set_endpoints({}, 0.3)
        kept = [s for s in dispatcher._slots.values() if s.reservation]
        self.assertEqual([], kept)

    def test_online_request_takes_the_reservation_of_a_batch_item(self):
        """The item can wait; the request is due within 0.3 s."""
        dispatcher = table(a=8)
        dispatcher.record_grant(sized("r", 600), EndpointId("a"), 0.0)
        item = batch("item", 100.0)
        item.tokens = 950
        dispatcher.request_slot(item, 0.0)
        dispatcher.tick(0.2)
        dispatcher.request_slot(sized("large", 900), 0.2)
        dispatcher.tick(0.4)
        [slots] = dispatcher._slots.values()
        self.assertEqual("large", slots.reservation.ticket)

    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 2**32))
    def test_no_endpoint_gets_more_than_its_memory(self, seed):
        """In any history; and no size waits of which all tickets fit somewhere."""
        rng = random.Random(seed)
        dispatcher = table(a=4, b=4)
        running: list[TicketId] = []
        waiting: dict[TicketId, Ticket] = {}
        now_s = 0.0
        for number in range(150):
            now_s += rng.random() / 10
            if running and rng.random() < 0.5:
                gone = running.pop(rng.randrange(len(running)))
                decisions = dispatcher.release(gone, now_s)
            else:
                ticket = sized(
                    f"t{number}",
                    rng.choice([50, 200, 900]),
                    prefix=rng.choice(["", "p"]),
                    prefix_tokens=40,
                )
                waiting[ticket.id] = ticket
                decisions = dispatcher.request_slot(ticket, now_s)
            for decision in decisions + dispatcher.tick(now_s):
                del waiting[decision.ticket]
                if isinstance(decision, Granted):
                    running.append(decision.ticket)
            for slots in dispatcher._slots.values():
                self.assertLessEqual(slots.memory.tokens, MEMORY)
                if slots.free:
                    fits = [
                        (t.restriction, slots.has_memory(t)) for t in waiting.values()
                    ]
                    too_large = {size for size, has_memory in fits if not has_memory}
                    self.assertEqual(too_large, {size for size, _ in fits})
