"""The platform's names, decoded once into the product's types.

Records of other writers may hold anything; whatever names nothing to use raises
`RecordUnreadableError` with the reason.
"""

from typing import Any

import msgspec

from ..ids import EndpointId, RouteName, TeamId
from ..serving.catalog import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    Service,
    ServiceName,
    Team,
    WeightedService,
)
from ..serving.endpoints import Endpoint
from ..serving.keyedlog import KeyedRecord, Topic
from ..serving.view import RecordUnreadableError

# Headers that carry a meaning for the system; lower case, as h11 gives them.
REQUEST_ID = b"attempt-id"
CALLER_KEY = b"key"
TEAM_NAME = b"tenant"
PATIENCE_MS = b"deadline-ms"
EXPECTED_ENDPOINT = b"expect-instance"
RESUME_AFTER = b"last-event-id"
NOT_RUN = b"not-run"
SIGNATURE = b"response-stamp"
ANSWERING_ENDPOINT = b"instance"
LOAD = b"server-load"
PROMPT_PARTS = b"prompt-prefix"
LONG_POLL_MS = b"wait-ms"
EXPECTED_VERSION = b"expect-version"

# What callers may not set at endpoints, since the system does or nobody may.
RESERVED_HEADERS = frozenset(
    (
        CALLER_KEY,
        TEAM_NAME,
        PATIENCE_MS,
        EXPECTED_ENDPOINT,
        b"content-length",
        b"expect",
        b"kv-fetch",
        b"kv-from",
        b"kv-backup",
        b"hold",
    )
)

CONFIGURATION_KEY = b"config"


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    weighted_services: list[_Weighted] = []
    timeout_ms: float = 60_000
    target_latency_ms: float = 1_000
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 1_000
    # Counted from the first send of a batch job.
    result_deadline_ms: float = 60_000
    retention_s: float = 600.0
    # Tokens that a team may have waiting on a batch route.
    cap: int = 0


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: dict[str, Any] = {}
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 0
    born: int = 0


class PlatformDirectory:
    """Decodes the platform's two topics; implements `Directory`."""

    configuration_topic = Topic("keyed.op")
    endpoint_topic = Topic("keyed.servers")

    def decode_configuration(self, record: KeyedRecord) -> Configuration | None:
        """Decode the newest configuration; None for other keys."""
        if record.key != CONFIGURATION_KEY or record.value is None:
            return None
        raw = _decode(record.value, _Configuration)
        return Configuration(
            raw.version,
            [_route(route) for route in raw.routes],
            [_service(service) for service in raw.services],
            None if raw.tenants is None else [_team(t) for t in raw.tenants],
            _limits(raw.limits),
        )

    def endpoint_id(self, record: KeyedRecord) -> EndpointId:
        """Return the endpoint's id: the record's key."""
        return EndpointId(record.key.decode("utf-8", "replace"))

    def decode_endpoint(self, record: KeyedRecord) -> tuple[EndpointId, Endpoint]:
        """Decode the entry of a server."""
        raw = _decode(record.value or b"", _Server)
        host, _, port = raw.address.rpartition(":")
        if not host or not port.isdigit():
            raise RecordUnreadableError(f"address {raw.address!r} is not IP:PORT")
        if raw.state not in ("ready", "draining"):
            raise RecordUnreadableError(f"state {raw.state!r} is unknown")
        endpoint_id = self.endpoint_id(record)
        entry = Endpoint(
            endpoint_id,
            ServiceName(raw.service),
            host,
            int(port),
            raw.zone,
            raw.slots,
            raw.state == "draining",
            raw.born,
        )
        return endpoint_id, entry


def _decode(data: bytes, to: type):
    try:
        return msgspec.json.decode(data, type=to)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RecordUnreadableError(str(exc)) from exc


def _route(raw: _Route) -> Route:
    services = [
        WeightedService(ServiceName(entry.service), entry.weight)
        for entry in raw.weighted_services
    ]
    if raw.service is not None:
        services = [WeightedService(ServiceName(raw.service), 1.0)]
    if not services:
        raise RecordUnreadableError(f"route {raw.name!r} names no service")
    try:
        kind = RouteKind(raw.kind)
    except ValueError:
        # What is not known to be repeatable runs once at most.
        kind = RouteKind.UNSAFE
    return Route(
        RouteName(raw.name),
        raw.host,
        raw.path_prefix,
        kind,
        tuple(services),
        int(raw.timeout_ms),
        int(raw.target_latency_ms),
        raw.priority,
        raw.max_attempts,
        raw.public,
        raw.resumable,
        int(raw.gap_aim_ms),
        int(raw.result_deadline_ms),
        raw.retention_s,
        raw.cap,
    )


def _service(raw: _Service) -> Service:
    return Service(ServiceName(raw.name), raw.engine.slots if raw.engine else 0)


def _team(raw: _Tenant) -> Team:
    return Team(
        TeamId(raw.name),
        frozenset(raw.api_keys),
        raw.rate_per_s,
        raw.burst,
        raw.priority,
    )


def _limits(raw: dict[str, Any]) -> Limits:
    known = {
        name: int(value)
        for name, value in raw.items()
        if name in Limits.__struct_fields__ and isinstance(value, int | float)
    }
    return Limits(**known)
