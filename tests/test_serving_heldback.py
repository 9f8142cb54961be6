"""Endpoints that get nothing for a moment since they stated to be full."""

from apricotquay.ids import EndpointId
from apricotquay.serving.engine import EndpointLoad
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.slotuse import UseReport
from apricotquay.serving.slots.tickets import Refused, Ticket, TicketId, Work

from .base import ApricotTest

ENDPOINT = EndpointId("e0")
SLOTS = 8
FULL = EndpointLoad(SLOTS, 0, SLOTS)


class HeldBackTest(ApricotTest):
    """Waits and preemption beside slots that are held back."""

    def table(self, items: int) -> Dispatcher:
        """Return a table whose endpoint runs batch items and has just refused."""
        table = Dispatcher(seed=1)
        table.set_endpoints({ENDPOINT: SLOTS}, 0.0)
        for number in range(items):
            item = Ticket(TicketId(f"b{number}"), Work.BATCH, 60.0, 600.0, 5.0)
            table.request_slot(item, 0.0)
        refused = self.online("refused", 0.0, 9.0)
        table.request_slot(refused, 0.0)
        table.record_use(ENDPOINT, UseReport(load=FULL, was_refused=True), 0.0)
        table.release(refused.id, 0.0)
        return table

    def online(self, name: str, now_s: float, wait_s: float) -> Ticket:
        """Return a ticket that waits so long for a slot."""
        return Ticket(TicketId(name), Work.ONLINE, now_s + 1.0, now_s + wait_s)

    def test_no_item_is_preempted_while_enough_slots_are_held_back(self):
        """The preempted item's slot would be held back as well."""
        table = self.table(items=5)
        for number in range(3):
            ticket = self.online(f"o{number}", 0.01, 9.0)
            self.assertEqual([], table.request_slot(ticket, 0.01))

    def test_ticket_that_waits_for_a_held_back_slot_only_gets_a_retry_time(self):
        """Refused with a delay of 0 its client would come back at once."""
        table = self.table(items=0)
        ticket = self.online("o", 0.0, 0.01)
        decisions = [*table.request_slot(ticket, 0.0), *table.tick(0.011)]
        self.assertEqual([Refused], [type(decision) for decision in decisions])
        self.assertGreater(decisions[0].wait_s, 0.0)
