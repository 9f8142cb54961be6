"""Sends model orders to engines, by one daemon at a time."""

from .clocks import Clock
from .engineclient import ORDER_TIMEOUT_S, EndpointError, EngineClient
from .environment import Environment
from .events import Event, EventLog
from .fleet import Fleet
from .ids import EndpointId, ModelName, ResourceName
from .leasemanager import LeaseManager
from .leaseuser import BucketLevels
from .membership import VmEntry
from .orders import Loaded, LoadOrder, plan_loads
from .tasks import Ticker

ORDERS = ResourceName("orders")
TICK_S = 0.5
# An order is not repeated before the endpoint had time to report its effect.
SETTLE_S = 5.0
REFUSED = 409


class ModelPlacer:
    """Keeps the replicas that the document asks for. Created by the daemon.

    Some engines refuse an order with an old fencing number, others obey any. So
    an order leaves only while the lease outlasts the longest time it can be
    under way, and a new holder starts after that and looks at what is loaded.
    """

    def __init__(
        self,
        leases: LeaseManager,
        environment: Environment,
        fleet: Fleet,
        engines: EngineClient,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._leases: LeaseManager = leases
        self._environment: Environment = environment
        self._fleet: Fleet = fleet
        self._engines: EngineClient = engines
        self._clock: Clock = clock
        self._events: EventLog = events
        self._started_s: float = 0.0
        self._ordered: dict[EndpointId, tuple[ModelName, float]] = {}
        self._ticker = Ticker("orders", TICK_S, self._tick, events)
        leases.add(ORDERS, self)

    def start(self) -> None:
        """Start to place models."""
        self._ticker.start()

    def close(self) -> None:
        """Stop."""
        self._ticker.close()

    def begin_term(
        self, started_s: float, first_ever: bool, handed_over: BucketLevels | None
    ) -> None:
        """Forget what an earlier term ordered; the reports tell what came of it."""
        self._started_s = started_s
        self._ordered.clear()

    def end_term(self) -> BucketLevels:
        """Nothing needs to be handed over."""
        return BucketLevels()

    def _tick(self) -> None:
        current = self._environment.current
        if current is None or not self._may_order():
            return
        replicas = {
            name: model.replicas
            for name, model in current.document.models.items()
            if model.replicas is not None
        }
        if not replicas:
            return
        for endpoint_id, model in plan_loads(replicas, self._loaded()):
            with self._fleet.lock:
                endpoint = self._fleet.endpoints.get(endpoint_id)
            if endpoint is not None:
                self._send(endpoint.entry, model)

    def _may_order(self) -> bool:
        with self._leases.lock:
            settled = self._clock.now_s() - self._started_s >= ORDER_TIMEOUT_S
            return (
                self._leases.may_act(ORDERS)
                and settled
                and self._leases.valid_for_s(ORDERS) > ORDER_TIMEOUT_S
            )

    def _loaded(self) -> list[Loaded]:
        """Return what endpoints have loaded, or were just ordered to load."""
        now_s = self._clock.now_s()
        with self._fleet.lock:
            live = [
                e
                for e in self._fleet.endpoints.all()
                if e.entry.kind == "model" and not e.leaving
            ]
        loaded = []
        for endpoint in live:
            model, until_s = self._ordered.get(endpoint.id, (endpoint.serves, 0.0))
            if now_s >= until_s:
                model = endpoint.serves
            loaded.append(Loaded(endpoint.id, ModelName(model), endpoint.online))
        return loaded

    def _send(self, entry: VmEntry, model: ModelName) -> None:
        if not self._may_order():
            return
        endpoint_id = EndpointId(entry.id)
        order = LoadOrder(endpoint_id, model, self._leases.fencing(ORDERS))
        try:
            status = self._engines.order(entry, order)
        except EndpointError:
            return
        self._ordered[endpoint_id] = (model, self._clock.now_s() + SETTLE_S)
        event = Event.ORDER_REFUSED if status == REFUSED else Event.ORDER_SENT
        self._events.write(
            event, endpoint=endpoint_id, model=model, fencing=order.fencing
        )
