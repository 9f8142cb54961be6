"""Slot allocation over several daemons: no slot leaks when the owner changes."""

import asyncio
import random
import time

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import Endpoint, EndpointTable
from apricotquay.serving.engine import EndpointLimit
from apricotquay.serving.fleet.peers import Peers
from apricotquay.serving.messages import AskSlot, SlotGranted, SlotQueued
from apricotquay.serving.slots import allocator as slots_module, outliers
from apricotquay.serving.slots.allocator import SlotAllocator
from apricotquay.serving.slots.endpointslots import EndpointStatus
from apricotquay.serving.slots.outliers import SlotOutcome
from apricotquay.serving.slots.slotowner import SlotTables
from apricotquay.serving.slots.slotrequests import SlotRequest, SlotUnavailableError
from apricotquay.serving.slots.tickets import Granted, Ticket, TicketId, Work

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

SERVICE = ServiceName("llm")
ENDPOINTS = 3
SLOTS = 4


class FixedView:
    """A view that does not change."""

    configuration = None

    def __init__(self) -> None:
        self.endpoints = EndpointTable()
        for number in range(ENDPOINTS):
            endpoint_id = EndpointId(f"e{number}")
            entry = Endpoint(endpoint_id, SERVICE, "127.0.0.1", 1, slots=SLOTS)
            self.endpoints.apply(endpoint_id, entry, number, 0.0)


class FixedShards:
    """Shards whose owner the test sets; daemons may disagree about it."""

    count = 1

    def __init__(self, address: str) -> None:
        self.address = address
        self.believed_owner: str | None = None

    @property
    def owned(self) -> set[int]:
        """The one shard, if this daemon believes that it owns it."""
        return {0} if self.believed_owner == self.address else set()

    def owner(self, number: int) -> str | None:
        """Return the believed owner."""
        return self.believed_owner


class SteppedClock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.at_s = 1_000.0

    def now_s(self) -> float:
        """Return the time."""
        return self.at_s

    def wall_ms(self) -> int:
        """Return the time."""
        return int(self.at_s * 1000)


class SlotDaemon:
    """The parts of a daemon that handle slots."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.peers = Peers(self._handle, quiet_reporter())

    async def start(self) -> None:
        """Listen on a free port."""
        port = await self.peers.start("127.0.0.1", 0)
        self.shards = FixedShards(f"127.0.0.1:{port}")
        self.slots = SlotAllocator(
            FixedView(),
            self.shards,
            self.peers,
            SystemClock(),
            self.name,
            quiet_reporter(),
        )
        self.slots.start()

    async def close(self) -> None:
        """Stop."""
        self.slots.close()
        await self.peers.close()

    async def _handle(self, connection, message):
        return self.slots.handle_message(connection, message)


class QueueingOwner:
    """A connection to an owner that queues each ticket and decides on none.

    If it `closes`, that comes right after the ticket is queued.
    """

    def __init__(self, slots: SlotAllocator, closes: bool) -> None:
        self.is_open = True
        self.on_close: list = []
        self._slots = slots
        self._closes = closes

    async def connect(self, _address: str) -> "QueueingOwner":
        """Return the connection."""
        return self

    def send(self, message) -> None:
        """Queue a ticket."""
        if isinstance(message, AskSlot):
            self._slots.handle_message(self, SlotQueued(message.ticket))
            self.is_open = not self._closes


class LateLoopOwner(QueueingOwner):
    """A connection to an owner whose answer the loop handles late."""

    def __init__(self, slots: SlotAllocator) -> None:
        super().__init__(slots, False)

    def send(self, message) -> None:
        """Grant a slot after a delay in which the loop stands still."""
        if isinstance(message, AskSlot):
            asyncio.get_running_loop().call_later(0.01, self._grant, message)

    def _grant(self, message: AskSlot) -> None:
        granted = SlotGranted(message.ticket, "e1")
        asyncio.get_running_loop().call_soon(self._slots.handle_message, self, granted)
        time.sleep(2 * slots_module.OWNER_ANSWER_TIMEOUT_S)


class SlotAllocatorTest(ApricotTest):
    """Daemons with real connections on loopback."""

    def run_fleet(self, scenario, daemons: int) -> None:
        """Run a scenario with daemons that all consider the first one the owner."""

        async def run() -> None:
            fleet = [SlotDaemon(f"d{n}") for n in range(daemons)]
            try:
                async with asyncio.timeout(30):
                    for daemon in fleet:
                        await daemon.start()
                    for daemon in fleet:
                        daemon.shards.believed_owner = fleet[0].shards.address
                    await scenario(fleet)
            finally:
                for daemon in fleet:
                    await daemon.close()

        asyncio.run(run())

    def test_owner_ejects_an_endpoint_by_the_failures_of_all_daemons(self):
        """No single daemon sees enough failures."""

        async def scenario(fleet) -> None:
            for daemon in fleet[1:]:
                lease = await self.acquire_at(daemon, "e1")
                lease.outcome = SlotOutcome.FAILED
                daemon.slots.release(lease)
            tables = fleet[0].slots.tables
            while not tables.statuses:
                await asyncio.sleep(0.01)
            self.assertEqual({"e1": EndpointStatus.EJECTED}, tables.statuses)
            leases = [await self.acquire(fleet[1]) for _ in range(2 * SLOTS)]
            self.assertNotIn("e1", {lease.endpoint for lease in leases})
            while tables.statuses != {"e1": EndpointStatus.PROBATION}:
                await asyncio.sleep(0.01)
            lease = await self.acquire_at(fleet[1], "e1")
            self.assertEqual("e1", lease.endpoint)
            self.assertEqual(1, tables.table(SERVICE).slot_count(EndpointId("e1")))

        self.patch(outliers, "EJECTION_BASE_S", 0.3)
        self.run_fleet(scenario, 4)

    @parameterized.expand([("closes", True), ("never decides", False)])
    def test_owner_that_queues_a_ticket_and_goes_leaves_no_wait_open(
        self, _name, closes
    ):
        """The local table decides on its ticket."""

        async def scenario(fleet) -> None:
            daemon = fleet[0]
            daemon.shards.believed_owner = "owner"
            connection = QueueingOwner(daemon.slots, closes)
            self.patch(daemon.peers, "connect", connection.connect)
            now_s = SystemClock().now_s()
            request = SlotRequest(Work.ONLINE, now_s + 0.2, now_s + 0.2)
            async with asyncio.timeout(5):
                lease = await daemon.slots.acquire(SERVICE, request)
                self.assertIsNone(lease.owner)

        self.run_fleet(scenario, 1)

    def test_owner_whose_answer_arrives_with_the_timeout_is_used(self):
        """The owner answered in time; only this daemon's loop was late."""

        async def scenario(fleet) -> None:
            daemon = fleet[0]
            daemon.shards.believed_owner = "owner"
            connection = LateLoopOwner(daemon.slots)
            self.patch(daemon.peers, "connect", connection.connect)
            lease = await self.acquire(daemon)
            self.assertEqual(("owner", "e1"), (lease.owner, lease.endpoint))

        self.run_fleet(scenario, 1)

    async def acquire(self, daemon: SlotDaemon, avoid: frozenset[str] = frozenset()):
        """Acquire a slot for an online request."""
        now_s = SystemClock().now_s()
        wanted = SlotRequest(Work.ONLINE, now_s + 5, now_s + 5, avoid=avoid)
        return await daemon.slots.acquire(SERVICE, wanted)

    async def acquire_at(self, daemon: SlotDaemon, endpoint: str):
        """Acquire a slot at a given endpoint."""
        others = {f"e{n}" for n in range(ENDPOINTS)} - {endpoint}
        return await self.acquire(daemon, frozenset(others))

    async def acquire_repeatedly(
        self, daemon: SlotDaemon, rng: random.Random, count: int
    ) -> None:
        """Acquire and release slots."""
        for _ in range(count):
            work = rng.choice([Work.ONLINE, Work.BATCH])
            now_s = SystemClock().now_s()
            try:
                async with asyncio.timeout(rng.choice([0.01, 5.0])):
                    lease = await daemon.slots.acquire(
                        SERVICE,
                        SlotRequest(work, now_s + 0.3, now_s + 20),
                    )
            except (TimeoutError, SlotUnavailableError):
                continue
            task = asyncio.current_task()
            lease.on_revoke = task.uncancel
            await asyncio.sleep(rng.uniform(0.0, 0.01))
            daemon.slots.release(lease)

    async def wait_until_released(self, fleet: list[SlotDaemon]) -> None:
        """Wait until no table has any ticket."""
        while any(
            d.slots.held_count
            or d.slots.tables.peer_ticket_count
            or d.slots.tables.table(SERVICE).waiting_count
            or any(
                d.slots.tables.table(SERVICE).running_at(EndpointId(f"e{n}"))
                for n in range(ENDPOINTS)
            )
            for d in fleet
        ):
            await asyncio.sleep(0.02)

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_no_slot_leaks_when_owners_change_and_connections_break(self, seed):
        """Each daemon learns of a new owner at a different time."""

        async def scenario(fleet):
            rng = random.Random(seed)
            workers = [
                asyncio.ensure_future(
                    self.acquire_repeatedly(d, random.Random(f"{seed}{n}{k}"), 25)
                )
                for n, d in enumerate(fleet)
                for k in range(6)
            ]
            while not all(worker.done() for worker in workers):
                owner = rng.choice(fleet).shards.address
                for daemon in rng.sample(fleet, len(fleet)):
                    daemon.shards.believed_owner = owner
                    daemon.slots.refresh()
                    await asyncio.sleep(rng.uniform(0.0, 0.03))
                if rng.random() < 0.4:
                    for connection in list(
                        rng.choice(fleet).peers._connections.values()
                    ):
                        connection.close()
            await asyncio.gather(*workers)
            await self.wait_until_released(fleet)

        self.patch(slots_module, "LIST_INTERVAL_S", 0.1)
        self.run_fleet(scenario, 3)

    def test_all_slots_are_granted_and_no_more(self):
        """One owner grants slots to three daemons."""

        async def scenario(fleet):
            leases = []
            now_s = SystemClock().now_s()
            waiting = [
                asyncio.ensure_future(
                    d.slots.acquire(
                        SERVICE, SlotRequest(Work.ONLINE, now_s, now_s + 20)
                    )
                )
                for d in fleet
                for _ in range(5)
            ]
            while len(leases) < ENDPOINTS * SLOTS:
                done, _ = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                waiting = [w for w in waiting if w not in done]
                leases += [w.result() for w in done]
            counts = [
                sum(1 for lease in leases if lease.endpoint == f"e{n}")
                for n in range(ENDPOINTS)
            ]
            self.assertEqual([SLOTS] * ENDPOINTS, counts)
            self.assertEqual(3, len(waiting))
            for task in waiting:
                task.cancel()

        self.run_fleet(scenario, 3)

    def test_limit_is_known_to_all_and_to_a_new_owner_before_it_grants(self):
        """One daemon heard it; the new owner tells how many share it."""

        async def scenario(fleet):
            leases = [await self.acquire(daemon) for daemon in fleet[1:]]
            fleet[1].slots.record_limit(leases[0], EndpointLimit(2.0))
            while any(not d.slots.tables.limited_count for d in fleet):
                await asyncio.sleep(0.01)
            self.assertEqual(4, fleet[2].slots.tables._known_daemons)
            new = SlotDaemon("d9")
            await new.start()
            try:
                for daemon in (*fleet, new):
                    daemon.shards.believed_owner = new.shards.address
                await self.acquire(fleet[2])
                self.assertEqual(1, new.slots.tables.limited_count)
            finally:
                await new.close()

        self.run_fleet(scenario, 4)

    def test_daemon_that_owns_nothing_tells_no_number_of_daemons(self):
        """Few ask it, so that each would take too large a share of a limit."""
        tables = SlotTables(FixedView(), SteppedClock(), quiet_reporter())
        tables.is_owned = lambda service: False
        tables.table(SERVICE)
        self.assertEqual(0, tables._told_daemons())

    def test_unreachable_owner_is_replaced_by_the_local_table(self):
        """The local table grants at once."""

        async def scenario(fleet):
            fleet[1].shards.believed_owner = "127.0.0.1:1"
            now_s = SystemClock().now_s()
            lease = await fleet[1].slots.acquire(
                SERVICE, SlotRequest(Work.ONLINE, now_s, now_s + 20)
            )
            self.assertIsNone(lease.owner)
            fleet[1].slots.release(lease)

        self.run_fleet(scenario, 2)


class SilentFleetTest(ApricotTest):
    """Slots after all endpoints of a service were silent for a moment."""

    def test_silence_of_all_endpoints_leaves_slots_for_requests_that_run_once(self):
        """Each endpoint failed three attempts at once, and then goes on."""
        clock = SteppedClock()
        tables = SlotTables(FixedView(), clock, quiet_reporter())
        granted = []
        tables.on_local_decision = granted.append
        tables.table(SERVICE)
        for number in range(ENDPOINTS):
            for _ in range(outliers.MIN_FAILURES):
                tables.record_outcome(EndpointId(f"e{number}"), SlotOutcome.FAILED)
        clock.at_s += outliers.EJECTION_BASE_S + 0.1
        tables.tick()
        due_s = clock.at_s + 1.0
        for number in range(SLOTS):
            ticket_id = TicketId(f"t{number}")
            ticket = Ticket(ticket_id, Work.ONLINE, due_s, due_s, may_repeat=False)
            tables.request_slot(SERVICE, ticket)
        self.assertEqual(SLOTS, sum(isinstance(d, Granted) for d in granted))
