"""The handover of a request from a silent endpoint: no slot is leaked."""

import asyncio
import random
from collections import Counter

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.ids import EndpointId
from apricotquay.quarantine import Quarantine
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.crashes.crashlog import CrashLog
from apricotquay.serving.crashes.detector import CrashDetector
from apricotquay.serving.crashes.partquarantine import PartQuarantine
from apricotquay.serving.engine import (
    NO_LIMIT,
    NO_LOAD,
    AttemptFailedError,
    RequestNotRunError,
)
from apricotquay.serving.metrics import ServingMetrics
from apricotquay.serving.online import timeouts
from apricotquay.serving.online.attempts import AttemptRunner
from apricotquay.serving.online.handler import OnlineRequestHandler
from apricotquay.serving.online.handover import Handover
from apricotquay.serving.online.requests import OnlineRequest
from apricotquay.serving.slots.slotrequests import SlotLease
from apricotquay.serving.slots.tickets import Ticket, TicketId, Work
from standins.keyedlog import MemoryLog

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter
from .test_serving_online import (
    FakeRates,
    FakeStreams,
    FakeView,
    RecordingWriter,
    event,
    route,
)
from .test_serving_slots import ENDPOINTS, SERVICE, SlotDaemon

SILENCE_LIMIT_S = 0.02
REQUESTS = 100
EVENTS = 4
TICKET = Ticket(TicketId("t"), Work.ONLINE, 0.0, 0.0)


class HandoverTest(ApricotTest):
    """A wait for an endpoint's output, and the search for another endpoint."""

    def setUp(self) -> None:
        super().setUp()
        self.lease = SlotLease(ServiceName("llm"), TICKET, EndpointId("e1"), None)
        self.released: list[SlotLease] = []

    def run_wait(self, acquire) -> tuple[str | None, SlotLease | None]:
        """Wait for output with a limit that has passed; return the output, None if
        another endpoint takes over, and the slot of that one.
        """

        async def run() -> tuple[str | None, SlotLease | None]:
            loop = asyncio.get_running_loop()
            output = loop.create_future()
            handover = Handover(
                lambda: acquire(output), self.released.append, quiet_reporter()
            )
            try:
                received = await handover.wait_until(loop.time(), output)
            except TimeoutError:
                received = None
            return received, handover.take_lease()

        return asyncio.run(run())

    def test_endpoint_with_a_slot_takes_over(self):
        """Its slot is kept for the next attempt."""

        async def acquire(_output) -> SlotLease:
            return self.lease

        self.assertEqual((None, self.lease), self.run_wait(acquire))
        self.assertEqual([], self.released)

    def test_wait_goes_on_without_another_endpoint(self):
        """The output that comes later counts."""

        async def acquire(output) -> None:
            asyncio.get_running_loop().call_later(0.05, output.set_result, "late")

        self.assertEqual(("late", None), self.run_wait(acquire))

    def test_output_that_comes_with_the_slot_leaks_no_slot(self):
        """Either the slot is used or it is released."""

        async def acquire(output) -> SlotLease:
            output.set_result("late")
            return self.lease

        received, lease = self.run_wait(acquire)
        self.assertEqual([self.lease], [*self.released, *filter(None, [lease])])
        self.assertEqual(received is None, lease is not None)

    def test_search_ends_with_the_wait(self):
        """A search that goes on would hold a slot for no one."""
        was_cancelled = []

        async def acquire(output) -> None:
            output.set_result("late")
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                was_cancelled.append(True)
                raise

        self.assertEqual(("late", None), self.run_wait(acquire))
        self.assertEqual([True], was_cancelled)


class RandomEndpoints:
    """Answers after delays around the silence limit; some calls are refused or cut.

    `running` counts the attempts of each request, `overlaps` the requests that had
    two at once, `completed` the streams that were read to their end.
    """

    def __init__(self, rng: random.Random) -> None:
        self.running: Counter = Counter()
        self.overlaps = 0
        self.completed = 0
        self._rng = rng

    async def send(self, call, _endpoint) -> "RandomResponse":
        """Return a response, refuse the call or cut it."""
        self.running[call.request_id] += 1
        self.overlaps += self.running[call.request_id] > 1
        try:
            await self.pause()
            self.fail_sometimes(RequestNotRunError("full"))
            self.fail_sometimes(AttemptFailedError("reset", reset=True))
        except BaseException:
            self.running[call.request_id] -= 1
            raise
        return RandomResponse(self, call)

    async def pause(self) -> None:
        """Be silent for a while."""
        silences_s = (0.0, 0.2, 0.99, 1.0, 1.01, 2.0, 4.0)
        await asyncio.sleep(SILENCE_LIMIT_S * self._rng.choice(silences_s))

    def fail_sometimes(self, error: Exception) -> None:
        """Raise the error at times."""
        if self._rng.random() < 0.05:
            raise error

    async def refuses_connections(self, _endpoint) -> bool:
        """No endpoint crashes in these tests."""
        return False

    def is_out_of_reach(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False

    async def has_lost_path(self, _endpoint) -> bool:
        """The VM reaches all endpoints."""
        return False


class RandomResponse:
    """A stream of EVENTS events, from the one after the last received."""

    status = 200
    headers = ()
    ends_with_connection = False
    limit = NO_LIMIT
    load = NO_LOAD
    is_leaving = False

    def __init__(self, endpoints: RandomEndpoints, call) -> None:
        self._endpoints = endpoints
        self._call = call

    async def body(self):
        """Yield the events, each in two parts."""
        resume_after = self._call.resume_after
        for number in range(0 if resume_after is None else resume_after + 1, EVENTS):
            self._endpoints.fail_sometimes(AttemptFailedError("reset", reset=True))
            for part in (event(number)[:5], event(number)[5:]):
                await self._endpoints.pause()
                yield part
        self._endpoints.completed += 1

    def close(self) -> None:
        """End the attempt; each response is closed once."""
        self._endpoints.running[self._call.request_id] -= 1


class RandomHandoverTest(ApricotTest):
    """Many requests at silent endpoints, over three daemons and a change of owner."""

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_handovers_leak_no_slot_and_never_overlap(self, seed):
        """A quarter of the callers leave at some moment. Only errors that endpoints
        may have end an attempt.
        """
        self.unexpected: list[BaseException] = []
        self.complete_answers = 0
        end_interrupted = OnlineRequestHandler._end_interrupted

        def record(handler, writer, progress, exc):
            self.unexpected.append(exc)
            return end_interrupted(handler, writer, progress, exc)

        self.patch(OnlineRequestHandler, "_end_interrupted", record)
        self.patch(timeouts, "MAX_FIRST_EVENT_TIMEOUT_S", SILENCE_LIMIT_S)
        self.patch(timeouts, "MAX_PAUSE_TIMEOUT_S", SILENCE_LIMIT_S)
        asyncio.run(self.play(random.Random(seed)))

    async def play(self, rng: random.Random) -> None:
        """Serve the requests, then count what is left of them."""
        daemons = [SlotDaemon(f"d{number}") for number in range(3)]
        for daemon in daemons:
            await daemon.start()
        endpoints = RandomEndpoints(rng)
        handlers = [self.build_handler(daemon, endpoints) for daemon in daemons]
        requests = []
        for number in range(REQUESTS):
            if number % (REQUESTS // 2) == 0:
                owner = daemons[number * 2 // REQUESTS].shards.address
                for daemon in daemons:
                    daemon.shards.believed_owner = owner
                    daemon.slots.refresh()
            leaves_s = rng.uniform(0, 0.2) if rng.random() < 0.25 else None
            request = self.serve(rng.choice(handlers), f"r{number}", leaves_s)
            requests.append(asyncio.ensure_future(request))
            await asyncio.sleep(rng.uniform(0, 0.01))
        await asyncio.gather(*requests)
        await asyncio.sleep(0.2)
        self.assertEqual([], self.unexpected)
        self.assertGreater(self.complete_answers, 0)
        self.assertLessEqual(self.complete_answers, endpoints.completed)
        self.assertEqual(0, endpoints.overlaps)
        self.assertEqual(0, sum(endpoints.running.values()))
        for daemon in daemons:
            table = daemon.slots.tables.table(SERVICE)
            running = [table.running_at(EndpointId(f"e{n}")) for n in range(ENDPOINTS)]
            self.assertEqual([0] * ENDPOINTS, running)
            self.assertEqual((0, 0), (daemon.slots.held_count, table.waiting_count))
            await daemon.close()

    def build_handler(
        self, daemon: SlotDaemon, endpoints: RandomEndpoints
    ) -> OnlineRequestHandler:
        """Return a daemon's handler of online requests."""
        clock, metrics, reporter = SystemClock(), ServingMetrics(), quiet_reporter()
        view = FakeView(route(is_resumable=True, max_attempts=3, timeout_ms=900))
        crash_log = CrashLog(MemoryLog(), daemon.name, clock, reporter)
        crashes = CrashDetector(
            Quarantine(),
            PartQuarantine(),
            crash_log,
            endpoints,
            None,
            None,
            clock,
            reporter,
        )
        attempts = AttemptRunner(view, endpoints, crashes, metrics, clock, reporter)
        return OnlineRequestHandler(
            view,
            FakeRates(REQUESTS),
            daemon.slots,
            attempts,
            metrics,
            FakeStreams(),
            clock,
            reporter,
        )

    async def serve(
        self, handler: OnlineRequestHandler, name: str, leaves_s: float | None
    ) -> None:
        """Serve a request, whose caller may leave."""
        now_s = SystemClock().now_s()
        request = OnlineRequest(
            name, "POST", "/x/1", "/x/1", "h", [], name.encode(), "key", 900, now_s
        )
        writer = RecordingWriter()
        admission = handler.admission.authorize("h", "/x/1", "key")
        served = asyncio.ensure_future(handler.serve(request, admission, writer))
        if leaves_s is not None:
            await asyncio.sleep(leaves_s)
            writer.caller_left = True
            served.cancel()
        await asyncio.gather(served, return_exceptions=leaves_s is not None)
        if writer.ending == "complete":
            self.complete_answers += 1
            self.assertEqual(b"".join(map(event, range(EVENTS))), writer.body)
