"""Model orders: replicas as declared, and never by two daemons."""

import signal
import time

from parameterized import parameterized

from apricotquay.orders import Loaded, plan_loads
from standins.engine import answer_text
from standins.fleet import FleetSpec

from .base import ApricotTest, FleetTest


class PlanTest(ApricotTest):
    """The plan."""

    @parameterized.expand(
        [
            ("nothing to do", {"a": 2}, "aa", 0),
            ("one model grows", {"a": 2, "b": 2}, "aaaa", 2),
            ("idle surplus only", {"a": 3, "b": 3}, "aaaa", 1),
            ("uncounted models are left", {"b": 2}, "aaaa", 0),
            ("three models", {"a": 1, "b": 1, "c": 1}, "aaa", 2),
            ("more than there are", {"a": 9, "b": 9}, "ab", 0),
        ]
    )
    def test_orders(self, _name, replicas, models, expected):
        """How many orders lead from what is loaded to what is declared."""
        loaded = [Loaded(f"e{n}", model, n) for n, model in enumerate(models)]
        orders = list(plan_loads(replicas, loaded))
        self.assertEqual(expected, len(orders))
        after = {entry.endpoint: entry.model for entry in loaded}
        after.update(orders)
        again = [Loaded(endpoint, model, 0) for endpoint, model in after.items()]
        self.assertEqual([], list(plan_loads(replicas, again)))

    def test_idle_endpoints_are_taken_first(self):
        """Online requests are disturbed least."""
        loaded = [Loaded("e0", "a", 5), Loaded("e1", "a", 0), Loaded("e2", "a", 3)]
        self.assertEqual([("e1", "b")], list(plan_loads({"a": 2, "b": 1}, loaded)))


class OrdersTest(FleetTest):
    """Orders to engines that do not check fencing numbers."""

    fresh_fleet = True
    spec = FleetSpec(daemons=3, engines=4)

    def publish_replicas(self, first: int, second: int) -> None:
        """Declare replicas of the fleet's model and of another."""
        document = self.fleet.document()
        document["models"] = {
            "quay-llm": {"replicas": first},
            "desk-assist": {"replicas": second},
        }
        document["routes"]["desk-assist"] = {"kind": "model", "target": "desk-assist"}
        self.fleet.publish(document)

    def models(self) -> list[str]:
        """Return what the engines have loaded."""
        return sorted(
            self.fleet.get(vm.address, "/load")["model"] for vm in self.fleet.endpoints
        )

    def orders(self) -> list[list[int]]:
        """Return the fencing numbers of the orders that each engine obeyed."""
        return [
            [
                order["fencing"]
                for order in self.fleet.get(vm.address, "/stats")["orders"]
            ]
            for vm in self.fleet.endpoints
        ]

    def wait_for(self, first: int, second: int) -> None:
        """Wait until the engines have what was declared."""
        wanted = ["desk-assist"] * second + ["quay-llm"] * first
        self.fleet.wait_until(lambda: self.models() == wanted, "replicas")

    def holder(self) -> int:
        """Return the daemon that gives the orders."""
        return int(self.fleet.shard_holder("orders").removeprefix("entry-"))

    def test_replicas_are_placed_and_used(self):
        """Requests for the new model are answered; both go on being served."""
        self.publish_replicas(2, 2)
        self.wait_for(2, 2)
        self.fleet.wait_until(
            lambda: self.chat(0, "new", 3, model="desk-assist").status == 200, "served"
        )
        answer = self.chat(1, "old", 5)
        self.assertEqual(answer_text("old", 5), self.text_of(answer))
        self.assertEqual(2, sum(len(numbers) for numbers in self.orders()))

    def test_frozen_orderer_gives_no_order_when_it_wakes(self):
        """Each engine sees fencing numbers that only grow."""
        holder = self.holder()
        process = self.fleet.daemons[holder].process
        process.send(signal.SIGSTOP)
        self.publish_replicas(2, 2)
        self.wait_for(2, 2)
        self.publish_replicas(1, 3)
        process.send(signal.SIGCONT)
        self.wait_for(1, 3)
        time.sleep(2.0)
        self.wait_for(1, 3)
        for numbers in self.orders():
            self.assertEqual(sorted(numbers), numbers)


class CheckedOrdersTest(OrdersTest):
    """The same with engines that refuse old fencing numbers."""

    spec = FleetSpec(daemons=3, engines=4, checks_fencing=True)

    def test_engine_refuses_an_old_fencing_number(self):
        """As the stand-in is meant to."""
        vm = self.fleet.endpoints[0]
        new = {"kind": "load", "model": "quay-llm", "fencing": 100}
        self.fleet.post(vm.address, "/orders", new)
        answer = self.fleet.post(vm.address, "/orders", {**new, "fencing": 3})
        self.assertEqual("old fencing number", answer["error"])
