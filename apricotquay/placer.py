"""Sends load orders to engines, from one daemon at a time."""

from .clocks import Clock
from .engineclient import ORDER_TIMEOUT_S, EndpointError, EngineClient
from .environment import EnvironmentConfig
from .events import Event, EventLog
from .fleet import Fleet
from .ids import EndpointId, ModelName, ResourceName
from .leasemanager import LeaseManager
from .leaseuser import BucketLevels
from .membership import VmEntry
from .orders import LoadedModel, LoadOrder, plan_loads
from .tasks import Ticker

ORDERS_RESOURCE = ResourceName("orders")
TICK_INTERVAL_S = 0.5
# An order is not repeated until the endpoint has had time to report its effect.
ORDER_SETTLE_S = 5.0
REFUSED_STATUS = 409


class ModelPlacer:
    """Keeps the number of replicas that the document declares. Used by the daemon.

    Some engines refuse an order with an old fencing number, others execute any.
    So an order is sent only if the lease outlasts the order's timeout, and a new
    holder waits for that timeout before it checks what is loaded and sends orders.
    """

    def __init__(
        self,
        leases: LeaseManager,
        environment: EnvironmentConfig,
        fleet: Fleet,
        engines: EngineClient,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._leases: LeaseManager = leases
        self._environment: EnvironmentConfig = environment
        self._fleet: Fleet = fleet
        self._engines: EngineClient = engines
        self._clock: Clock = clock
        self._events: EventLog = events
        self._term_started_s: float = 0.0
        self._recent_orders: dict[EndpointId, tuple[ModelName, float]] = {}
        self._ticker = Ticker("orders", TICK_INTERVAL_S, self._tick, events)
        leases.add(ORDERS_RESOURCE, self)

    def start(self) -> None:
        """Start the background task."""
        self._ticker.start()

    def close(self) -> None:
        """Stop the background task."""
        self._ticker.close()

    def begin_term(
        self, started_s: float, first_ever: bool, handed_over: BucketLevels | None
    ) -> None:
        """Forget the orders of an earlier term; endpoints report their effect."""
        self._term_started_s = started_s
        self._recent_orders.clear()

    def end_term(self) -> BucketLevels:
        """Return an empty state: nothing needs to be handed over."""
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
            earlier_orders_done = (
                self._clock.now_s() - self._term_started_s >= ORDER_TIMEOUT_S
            )
            return (
                self._leases.may_act(ORDERS_RESOURCE)
                and earlier_orders_done
                and self._leases.valid_for_s(ORDERS_RESOURCE) > ORDER_TIMEOUT_S
            )

    def _loaded(self) -> list[LoadedModel]:
        """Return the model that each endpoint has loaded or was just ordered to."""
        now_s = self._clock.now_s()
        with self._fleet.lock:
            live = [
                e
                for e in self._fleet.endpoints.all()
                if e.entry.kind == "model" and not e.leaving
            ]
        loaded = []
        for endpoint in live:
            model, until_s = self._recent_orders.get(
                endpoint.id, (endpoint.serves, 0.0)
            )
            if now_s >= until_s:
                model = endpoint.serves
            loaded.append(LoadedModel(endpoint.id, ModelName(model), endpoint.online))
        return loaded

    def _send(self, entry: VmEntry, model: ModelName) -> None:
        if not self._may_order():
            return
        endpoint_id = EndpointId(entry.id)
        order = LoadOrder(endpoint_id, model, self._leases.fencing(ORDERS_RESOURCE))
        try:
            status = self._engines.send_order(entry, order)
        except EndpointError:
            return
        self._recent_orders[endpoint_id] = (model, self._clock.now_s() + ORDER_SETTLE_S)
        event = Event.ORDER_REFUSED if status == REFUSED_STATUS else Event.ORDER_SENT
        self._events.write(
            event, endpoint=endpoint_id, model=model, fencing=order.fencing
        )
