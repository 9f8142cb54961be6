"""Slots of VMs that are gone, silent, or back, at the owner of the service's slots."""

import asyncio

import cbor2
import msgspec
from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId, TeamId
from apricotquay.serving.batch.itemattempts import MAX_SLOT_WAIT_S
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.engine import EndpointLoad
from apricotquay.serving.fleet import peers as peers_module
from apricotquay.serving.messages import (
    AskSlot,
    HeldSlot,
    ReleaseSlot,
    SlotQueued,
    TicketList,
    decode_frame,
    encode_frame,
)
from apricotquay.serving.slots import allocator as slots_module, slotleases
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.outliers import SlotOutcome
from apricotquay.serving.slots.slotleases import LEASE_S, MAX_STEP_S, PeerLeases
from apricotquay.serving.slots.slotrequests import SlotLease, SlotRequest
from apricotquay.serving.slots.slotuse import UseReport
from apricotquay.serving.slots.tickets import Ticket, TicketId, Work

from .base import ApricotTest
from .test_serving_slots import ENDPOINTS, SERVICE, SLOTS, SlotDaemon

LIST_INTERVAL_S = 0.05
SHORT_LEASE_S = 0.4
WORKS = [("online", Work.ONLINE), ("batch", Work.BATCH)]


class PreviousDaemon(SlotDaemon):
    """A daemon of the previous release: it answers no ticket list."""

    async def _handle(self, connection, message):
        self.slots.handle_message(connection, message)


class FallingSilent(SlotDaemon):
    """An owner that queues tickets and then says nothing at all, on connections that
    were opened while it `is_silent`.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.is_silent = True
        self._silent_connections = set()

    async def _handle(self, connection, message):
        if self.is_silent:
            self._silent_connections.add(connection)
        if connection not in self._silent_connections:
            return self.slots.handle_message(connection, message)
        if isinstance(message, AskSlot):
            connection.send(SlotQueued(message.ticket))
            return None
        return await asyncio.Future()


class SlotLeaseTest(ApricotTest):
    """Real connections on loopback; the first daemon is the owner."""

    def run_daemons(self, scenario, *kinds) -> None:
        """Run a scenario with daemons of some kinds."""

        async def run() -> None:
            fleet = [kind(f"d{n}") for n, kind in enumerate(kinds)]
            try:
                async with asyncio.timeout(20):
                    for daemon in fleet:
                        await daemon.start()
                    for daemon in fleet:
                        daemon.shards.believed_owner = fleet[0].shards.address
                    await scenario(*fleet)
            finally:
                for daemon in fleet:
                    await daemon.close()

        self.patch(slots_module, "LIST_INTERVAL_S", LIST_INTERVAL_S)
        self.patch(slotleases, "LEASE_S", SHORT_LEASE_S)
        self.patch(slotleases, "MAX_STEP_S", 2 * LIST_INTERVAL_S)
        asyncio.run(run())

    async def acquire(self, daemon: SlotDaemon, work: Work) -> SlotLease:
        """Acquire a slot; there is more time than the test takes."""
        due_s = SystemClock().now_s() + MAX_SLOT_WAIT_S
        request = SlotRequest(work, due_s, due_s)
        return await daemon.slots.acquire(SERVICE, request)

    async def take_all(self, daemon: SlotDaemon, work: Work) -> list[SlotLease]:
        """Acquire all slots."""
        wanted = (self.acquire(daemon, work) for _ in range(ENDPOINTS * SLOTS))
        return list(await asyncio.gather(*wanted))

    def taken(self, owner: SlotDaemon) -> int:
        """Return how many slots the owner counts as taken."""
        table = owner.slots.tables.table(SERVICE)
        return sum(table.running_at(EndpointId(f"e{n}")) for n in range(ENDPOINTS))

    @parameterized.expand(
        [
            (f"{name} {kind.__name__}", work, kind)
            for name, work in WORKS
            for kind in (SlotDaemon, PreviousDaemon)
        ]
    )
    def test_slots_held_and_awaited_by_a_removed_vm_are_granted_to_others(
        self, _name, work, kind
    ):
        """Its connections stay open, as those of a machine without power do."""

        async def scenario(owner, removed, other):
            await self.take_all(removed, work)
            waiting = [asyncio.ensure_future(self.acquire(removed, work))]
            await asyncio.sleep(2 * LIST_INTERVAL_S)
            removed.slots.close()
            leases = await self.take_all(other, work)
            self.assertEqual({owner.shards.address}, {x.owner for x in leases})
            for task in waiting:
                task.cancel()

        self.run_daemons(scenario, SlotDaemon, kind, SlotDaemon)

    @parameterized.expand(WORKS)
    def test_slots_of_a_vm_that_lists_them_outlive_the_time_of_a_lease(
        self, _name, work
    ):
        """Nothing else is heard of it."""

        async def scenario(owner, holder):
            await self.take_all(holder, work)
            await asyncio.sleep(3 * SHORT_LEASE_S)
            self.assertEqual(ENDPOINTS * SLOTS, self.taken(owner))

        self.run_daemons(scenario, SlotDaemon, PreviousDaemon)

    @parameterized.expand(WORKS)
    def test_slots_of_a_vm_that_comes_back_are_counted_again(self, _name, work):
        """It had been silent for longer than a lease, and its requests still run."""

        async def scenario(owner, frozen):
            leases = await self.take_all(frozen, work)
            frozen.slots.close()
            while self.taken(owner):
                await asyncio.sleep(0.01)
            frozen.slots.start()
            while self.taken(owner) < len(leases):
                await asyncio.sleep(0.01)
            for lease in leases:
                frozen.slots.release(lease)
            while self.taken(owner) or owner.slots.tables.peer_ticket_count:
                await asyncio.sleep(0.01)

        self.run_daemons(scenario, SlotDaemon, SlotDaemon)

    @parameterized.expand(WORKS)
    def test_slots_held_when_a_connection_breaks_are_counted_again(self, _name, work):
        """Else the owner would grant them twice."""

        async def scenario(owner, holder):
            leases = await self.take_all(holder, work)
            holder.peers.find_connection(owner.shards.address).close()
            while self.taken(owner):
                await asyncio.sleep(0.01)
            while self.taken(owner) < len(leases):
                await asyncio.sleep(0.01)

        self.run_daemons(scenario, SlotDaemon, SlotDaemon)

    def test_slots_held_while_an_owner_was_silent_are_counted_again(self):
        """Nothing else is requested that would tell this daemon of the owner."""

        async def scenario(owner, holder):
            leases = await self.take_all(holder, Work.BATCH)
            holder.slots._retry_owner_at_s[owner.shards.address] = (
                SystemClock().now_s() + 4 * LIST_INTERVAL_S
            )
            holder.slots.refresh()
            while self.taken(owner):
                await asyncio.sleep(0.01)
            while self.taken(owner) < len(leases):
                await asyncio.sleep(0.01)

        self.run_daemons(scenario, SlotDaemon, SlotDaemon)

    def test_item_that_waits_on_a_silent_connection_is_granted_a_slot_over_another(
        self,
    ):
        """No other request makes this daemon notice the silence."""

        async def scenario(owner, waiting):
            task = asyncio.ensure_future(self.acquire(waiting, Work.BATCH))
            while waiting.peers.find_connection(owner.shards.address) is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(2 * LIST_INTERVAL_S)
            owner.is_silent = False
            lease = await task
            self.assertEqual(owner.shards.address, lease.owner)

        self.patch(peers_module, "SILENCE_TIMEOUT_S", 0.2)
        self.patch(slots_module, "LIST_ANSWER_TIMEOUT_S", 0.3)
        self.run_daemons(scenario, FallingSilent, SlotDaemon)

    def test_item_that_waits_at_a_former_owner_asks_the_new_one(self):
        """The former owner is gone and will never say so."""

        async def scenario(former, waiting, new):
            task = asyncio.ensure_future(self.acquire(waiting, Work.BATCH))
            while waiting.peers.find_connection(former.shards.address) is None:
                await asyncio.sleep(0.01)
            for daemon in (waiting, new):
                daemon.shards.believed_owner = new.shards.address
                daemon.slots.refresh()
            lease = await task
            self.assertEqual(new.shards.address, lease.owner)

        self.run_daemons(scenario, FallingSilent, SlotDaemon, SlotDaemon)

    def test_ticket_that_its_owner_does_not_know_is_asked_for_again(self):
        """The owner has lost what it knew, and the connection has stayed."""

        async def scenario(owner, holder):
            leases = await self.take_all(holder, Work.BATCH)
            task = asyncio.ensure_future(self.acquire(holder, Work.BATCH))
            tables = owner.slots.tables
            while not tables.table(SERVICE).waiting_count:
                await asyncio.sleep(0.01)
            (connection,) = owner.peers._accepted
            tables._release_tickets_of(connection)
            while self.taken(owner) < len(leases):
                await asyncio.sleep(0.01)
            holder.slots.release(leases[0])
            lease = await task
            self.assertEqual(owner.shards.address, lease.owner)

        self.run_daemons(scenario, SlotDaemon, SlotDaemon)

    def test_slot_that_is_reported_over_two_connections_is_counted_once(self):
        """The owner hears of a broken connection after the new one is in use."""
        table = Dispatcher()
        table.set_endpoints({EndpointId("e0"): 2}, 0.0)
        ticket = Ticket(TicketId("t"), Work.ONLINE, 5.0, 5.0)
        for _ in range(2):
            table.record_grant(ticket, EndpointId("e0"), 0.0)
        table.release(ticket.id, 0.1)
        self.assertEqual(0, table._slots[EndpointId("e0")].online_count)


class PeerLeasesTest(ApricotTest):
    """The decision alone."""

    @parameterized.expand(
        [
            ("heard always", [(t, True) for t in range(1, 9)], []),
            ("silent", [(t, False) for t in range(1, 9)], ["p"]),
            ("heard at last", [(1, False), (2, False), (3, True), (5, False)], []),
            # The owner itself stood still from 1 to 60.
            ("owner stood still", [(1, True), (60, False), (61, True)], []),
            ("frozen often", [(1, False), (9, False), (17, False)], ["p"]),
        ]
    )
    def test_only_a_peer_that_could_have_been_heard_is_silent(
        self, _name, checks, expired
    ):
        """Checks at some seconds, and whether the peer was heard since the last."""
        leases = PeerLeases()
        leases.renew("p")
        leases.expire(["p"], 0.0)
        found = []
        for now_s, is_heard in checks:
            if is_heard:
                leases.renew("p")
            found += leases.expire(["p"], float(now_s))
            if found:
                break
        self.assertEqual(expired, found)

    def test_peer_without_tickets_need_not_be_heard(self):
        """It lists none, so that its first ticket finds a whole lease."""
        leases = PeerLeases()
        for now_s in range(20):
            self.assertEqual([], leases.expire([], float(now_s)))
        leases.renew("p")
        self.assertEqual([], leases.expire(["p"], 20.0))
        self.assertLess(MAX_STEP_S, LEASE_S)

    def test_messages_of_slots_are_known_to_the_previous_release(self):
        """A lost slot is reported by messages that all releases read."""
        self.assertEqual(["service", "tickets"], list(TicketList.__struct_fields__))
        fields = ["service", "ticket", "work", "endpoint", "due_in_ms", "needs_ms"]
        plain = HeldSlot(SERVICE, "t", Work.ONLINE, "e0", 10, 20)
        frame = cbor2.loads(encode_frame(0, plain))
        self.assertEqual(["type", *fields], list(frame[1]))
        with_terms = msgspec.structs.replace(
            plain, team=TeamId("small"), tokens=9, priority=2, weight=0.5
        )
        _, message = cbor2.loads(encode_frame(0, with_terms))
        known = msgspec.convert(message, PreviousHeldSlot)
        for name in fields:
            self.assertEqual(getattr(plain, name), getattr(known, name))

    def test_what_a_slot_showed_is_left_out_or_ignored_by_the_previous_release(self):
        """A release that is not read would leak a slot for a second."""
        plain = ReleaseSlot(SERVICE, "t", SlotOutcome.SUCCEEDED)
        frame = cbor2.loads(encode_frame(0, plain))
        self.assertEqual(["type", "service", "ticket", "use"], list(frame[1]))
        report = UseReport(5, 80, 12_000, 40, EndpointLoad(8, 1, 8, 250.0), 700)
        encoded = encode_frame(
            0, ReleaseSlot(SERVICE, "t", SlotOutcome.SUCCEEDED, report)
        )
        known = msgspec.convert(cbor2.loads(encoded)[1], PreviousReleaseSlot)
        self.assertEqual(("t", SlotOutcome.SUCCEEDED), (known.ticket, known.use))
        self.assertEqual(report, decode_frame(encoded)[1].measurements)

    def test_release_of_the_previous_release_is_read(self):
        """It names the outcome always and what the slot showed never."""
        value = msgspec.to_builtins(PreviousReleaseSlot(SERVICE, "t"))
        _, message = decode_frame(cbor2.dumps([0, value]))
        self.assertEqual(ReleaseSlot(SERVICE, "t"), message)


class PreviousReleaseSlot(msgspec.Struct, frozen=True, tag="release_slot"):
    """The message as the release before speeds and loads defines it."""

    service: ServiceName
    ticket: str
    use: SlotOutcome = SlotOutcome.UNKNOWN


class PreviousHeldSlot(msgspec.Struct, frozen=True, tag="held_slot"):
    """The message as the release before teams and tokens defines it."""

    service: ServiceName
    ticket: str
    work: Work
    endpoint: str
    due_in_ms: int
    needs_ms: int
