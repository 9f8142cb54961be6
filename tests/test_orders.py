"""Load orders: replicas as declared, and never orders from two daemons."""

import signal
import time

from parameterized import parameterized

from apricotquay.orders import LoadedModel, plan_loads
from standins.engine import generate_text
from standins.fleet import FleetSpec

from .base import ApricotTest, FleetTest


class PlanTest(ApricotTest):
    """The plan of load orders."""

    @parameterized.expand(
        [
            ("nothing to do", {"a": 2}, "aa", 0),
            ("one model grows", {"a": 2, "b": 2}, "aaaa", 2),
            ("only surplus is taken", {"a": 3, "b": 3}, "aaaa", 1),
            ("undeclared models are kept", {"b": 2}, "aaaa", 0),
            ("three models", {"a": 1, "b": 1, "c": 1}, "aaa", 2),
            ("more replicas than endpoints", {"a": 9, "b": 9}, "ab", 0),
        ]
    )
    def test_orders(self, _name, replicas, models, expected):
        """The plan has the expected length, and nothing is left to do after it."""
        loaded = [LoadedModel(f"e{n}", model, n) for n, model in enumerate(models)]
        orders = list(plan_loads(replicas, loaded))
        self.assertEqual(expected, len(orders))
        after = {entry.endpoint: entry.model for entry in loaded}
        after.update(orders)
        again = [LoadedModel(endpoint, model, 0) for endpoint, model in after.items()]
        self.assertEqual([], list(plan_loads(replicas, again)))

    def test_idle_endpoints_are_taken_first(self):
        """This disturbs the fewest online requests."""
        loaded = [
            LoadedModel("e0", "a", 5),
            LoadedModel("e1", "a", 0),
            LoadedModel("e2", "a", 3),
        ]
        self.assertEqual([("e1", "b")], list(plan_loads({"a": 2, "b": 1}, loaded)))


class OrdersTest(FleetTest):
    """Orders to engines that do not check fencing numbers."""

    fleet_per_test = True
    spec = FleetSpec(daemons=3, engines=4)

    def declare_replicas(self, first: int, second: int) -> None:
        """Publish a number of replicas for the fleet's model and another one."""
        document = self.fleet.document()
        document["models"] = {
            "quay-llm": {"replicas": first},
            "desk-assist": {"replicas": second},
        }
        document["routes"]["desk-assist"] = {"kind": "model", "target": "desk-assist"}
        self.fleet.publish(document)

    def loaded_models(self) -> list[str]:
        """Return the models that the engines have loaded."""
        return sorted(
            self.fleet.get(vm.address, "/load")["model"] for vm in self.fleet.endpoints
        )

    def order_fencings(self) -> list[list[int]]:
        """Return the fencing numbers of the orders that each engine executed."""
        return [
            [
                order["fencing"]
                for order in self.fleet.get(vm.address, "/stats")["orders"]
            ]
            for vm in self.fleet.endpoints
        ]

    def wait_for(self, first: int, second: int) -> None:
        """Wait until the engines have loaded what was declared."""
        wanted = ["desk-assist"] * second + ["quay-llm"] * first
        self.fleet.wait_until(lambda: self.loaded_models() == wanted, "replicas")

    def holder(self) -> int:
        """Return the index of the daemon that sends orders."""
        return int(self.fleet.find_shard_holder("orders").removeprefix("entry-"))

    def test_replicas_are_placed_and_used(self):
        """Requests for both the new and the old model are answered."""
        self.declare_replicas(2, 2)
        self.wait_for(2, 2)
        self.fleet.wait_until(
            lambda: self.chat(0, "new", 3, model="desk-assist").status == 200, "served"
        )
        response = self.chat(1, "old", 5)
        self.assertEqual(generate_text("old", 5), self.extract_text(response))
        self.assertEqual(2, sum(len(numbers) for numbers in self.order_fencings()))

    def test_frozen_orderer_gives_no_order_when_it_wakes(self):
        """A paused daemon whose lease expired must not send orders when it resumes.

        Otherwise an engine would execute an order with a lower fencing number than
        an earlier one.
        """
        holder = self.holder()
        process = self.fleet.daemons[holder].process
        process.send_signal(signal.SIGSTOP)
        self.declare_replicas(2, 2)
        self.wait_for(2, 2)
        self.declare_replicas(1, 3)
        process.send_signal(signal.SIGCONT)
        self.wait_for(1, 3)
        time.sleep(2.0)
        self.wait_for(1, 3)
        for numbers in self.order_fencings():
            self.assertEqual(sorted(numbers), numbers)


class CheckedOrdersTest(OrdersTest):
    """The same tests with engines that refuse old fencing numbers."""

    spec = FleetSpec(daemons=3, engines=4, checks_fencing=True)

    def test_engine_refuses_an_old_fencing_number(self):
        """The stand-in for the engine checks fencing numbers when told to."""
        vm = self.fleet.endpoints[0]
        new = {"kind": "load", "model": "quay-llm", "fencing": 100}
        self.fleet.post(vm.address, "/orders", new)
        response = self.fleet.post(vm.address, "/orders", {**new, "fencing": 3})
        self.assertEqual("old fencing number", response["error"])
