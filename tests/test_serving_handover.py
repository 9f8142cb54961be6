"""The handover of a request from a silent endpoint: no slot is leaked."""

import asyncio

from apricotquay.ids import EndpointId
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.dispatch import Ticket, TicketId, Work
from apricotquay.serving.handover import Handover
from apricotquay.serving.slots import SlotLease

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

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
