"""Headers and records of the platform, converted to this package's types.

Other programs write the records, so they may hold anything; an invalid one raises
`RecordUnreadableError` with the reason.
"""

import ipaddress
import json
import math
import re
from typing import Annotated, Any

import msgspec

from ..clocks import WallMs
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
from ..serving.crashes.promptparts import (
    MAX_PART_ID_LENGTH,
    MAX_PARTS_PER_REQUEST,
    PartKey,
    part_key,
)
from ..serving.endpoints import Endpoint
from ..serving.engine import NO_LIMIT, NO_LOAD, EndpointLimit, EndpointLoad
from ..serving.fleet.evacuations import EvacuationRecord
from ..serving.fleet.keyedlog import KeyedRecord, Topic
from ..serving.fleet.view import RecordUnreadableError
from ..serving.http.http1 import HeaderList, find_header
from ..serving.slots.memory import UNKNOWN_USAGE, TokenUsage

# Headers that a daemon reads or sets, in lower case as h11 returns them.
REQUEST_ID = b"attempt-id"
CALLER_KEY = b"key"
TEAM_NAME = b"tenant"
TIMEOUT_MS = b"deadline-ms"
EXPECTED_ENDPOINT = b"expect-instance"
RESUME_AFTER = b"last-event-id"
RESUMES = b"resumes"
NOT_RUN = b"not-run"
SIGNATURE = b"response-stamp"
ANSWERING_ENDPOINT = b"instance"
SERVER_LOAD = b"server-load"
TOKEN_USAGE = b"token-usage"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
MODEL = b"model"
PROMPT_PARTS = b"prompt-prefix"
LONG_POLL_MS = b"wait-ms"
RETRY_AFTER = b"retry-after"
EXPECTED_VERSION = b"expect-version"

# Request headers of callers that are not forwarded to endpoints: the daemon sets
# them itself, or callers may not set them.
RESERVED_HEADERS = frozenset(
    (
        CALLER_KEY,
        TEAM_NAME,
        TIMEOUT_MS,
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
EVACUATION_PREFIX = b"evacuate/"
MAX_ZONE_BYTES = 256
DECIMAL_NUMBER = re.compile(r"[0-9]{1,20}(\.[0-9]{0,20})?(e[+-]?[0-9]{1,3})?", re.ASCII)
USAGE = re.compile(r"[0-9]{1,12} *, *[0-9]{1,12}", re.ASCII)
COUNT = re.compile(r"[0-9]{1,12}", re.ASCII)
# More tokens than any memory holds.
MAX_TOKENS = 1_000_000_000
MALFORMED_USAGE = TokenUsage(is_malformed=True)
PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
MAX_PORT = 65_535
MAX_SLOTS = 100_000
# No endpoint takes longer to warm up; a longer time is taken for a mistake.
MAX_COLD_LEFT_MS = 120_000
MAX_COLD_START_S = MAX_COLD_LEFT_MS / 1000
MAX_COLD_PER_S = 1_000_000.0
LOAD_COUNT = re.compile(r"[0-9]{1,6}", re.ASCII)
LOAD_COUNTS = 3
# Beyond 1,000 times the usual time a value says nothing of an endpoint that answers.
MAX_TIME_PERCENT = 100_000
# No configured time, count, rate or weight comes near it, and all arithmetic with it
# stays in range.
MAX_CONFIGURED = 1_000_000_000_000
MAX_VERSION = 2**53
MAX_SHOWN_LENGTH = 40
EMPTY_VALUE = "(empty)"


# Numbers that another writer may state; msgspec refuses others.
_Number = Annotated[float, msgspec.Meta(ge=-MAX_CONFIGURED, le=MAX_CONFIGURED)]
_Count = Annotated[int, msgspec.Meta(ge=-MAX_CONFIGURED, le=MAX_CONFIGURED)]


class _WeightedService(msgspec.Struct):
    service: str
    weight: _Number


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    weighted_services: list[_WeightedService] = []
    timeout_ms: _Number = 60_000
    target_latency_ms: _Number = 1_000
    priority: _Count = 0
    max_attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: _Number = 1_000
    # Measured from the first submission of a batch job.
    result_deadline_ms: _Number = 60_000
    retention_s: _Number = 600.0
    # Maximum tokens that a team may have queued on a batch route.
    cap: _Count = 0
    # Of another type they make the record unreadable: without them bodies would reach
    # regions that they must not.
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: Annotated[int, msgspec.Meta(ge=-MAX_SLOTS, le=MAX_SLOTS)] = 0
    cold_start_s: Any = None
    cold_per_s: Any = None
    # Any value, so that an invalid one does not make the configuration unreadable.
    kv_cache_tokens: Any = 0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    cold_start_s: Any = None
    cold_per_s: Any = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    rate_per_s: _Number = 0.0
    burst: _Number = 0.0
    priority: _Count | None = None
    allowed_regions: list[str] | None = None


class _Configuration(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=-MAX_VERSION, le=MAX_VERSION)]
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
    born: WallMs = 0
    version: str = ""
    cold_left_ms: Any = None


def decode_prompt_parts(headers: HeaderList) -> list[PartKey]:
    """Return the parts of a request's prompt, without the last, which is its own.

    A malformed entry counts as a part if it has an id.
    """
    model = (find_header(headers, MODEL) or "").strip()[:MAX_PART_ID_LENGTH]
    entries = (find_header(headers, PROMPT_PARTS) or "").split(",")
    ids = [entry.partition(":")[0].strip().lower() for entry in entries[:-1]]
    shared = dict.fromkeys(part_id for part_id in ids if part_id)
    return [part_key(model, part_id) for part_id in shared][:MAX_PARTS_PER_REQUEST]


def decode_token_usage(headers: HeaderList) -> TokenUsage:
    """Return the size that a caller states of a request; two headers are malformed."""
    values = [value for name, value in headers if name == TOKEN_USAGE]
    if not values:
        return UNKNOWN_USAGE
    text = b";".join(values).decode("latin-1").strip()
    if not USAGE.fullmatch(text):
        return MALFORMED_USAGE
    prompt, max_output = (int(number) for number in text.split(","))
    if max(prompt, max_output) > MAX_TOKENS:
        return MALFORMED_USAGE
    return TokenUsage(prompt, max_output, _decode_shared_tokens(headers, prompt))


def _decode_shared_tokens(headers: HeaderList, prompt: int) -> int:
    """Return the length of the last shared part of a prompt, 0 if it is unknown.

    It is at most that of all shared parts, whether lengths are counted from the start
    of the prompt or of the part, so that no memory is taken for shared that is not.
    """
    entries = (find_header(headers, PROMPT_PARTS) or "").split(",")
    text = entries[-2].rpartition(":")[2].strip() if len(entries) > 1 else ""
    length = int(text) if COUNT.fullmatch(text) else 0
    return length if length <= prompt else 0


def decode_limit(headers: HeaderList) -> EndpointLimit:
    """Return the limit that a response names; two headers are malformed."""
    values = [value for name, value in headers if name == SERVER_LIMIT]
    if not values:
        return NO_LIMIT
    text = b",".join(values).decode("latin-1").strip() or EMPTY_VALUE
    if not DECIMAL_NUMBER.fullmatch(text) or not math.isfinite(float(text)):
        return EndpointLimit(malformed=text[:MAX_SHOWN_LENGTH])
    return EndpointLimit(float(text))


def decode_load(headers: HeaderList) -> EndpointLoad:
    """Return the load that a response states; two headers are malformed."""
    values = [value for name, value in headers if name == SERVER_LOAD]
    if not values:
        return NO_LOAD
    text = b",".join(values).decode("latin-1")
    fields = [field.strip() for field in text.split(",")]
    counts = [int(f) for f in fields[:LOAD_COUNTS] if LOAD_COUNT.fullmatch(f)]
    is_valid = len(values) == 1 and len(counts) == LOAD_COUNTS and counts[-1] > 0
    time_percent = _decode_time_percent(fields[LOAD_COUNTS:])
    if not is_valid or max(counts) > MAX_SLOTS or time_percent is None:
        return EndpointLoad(malformed=text[:MAX_SHOWN_LENGTH] or EMPTY_VALUE)
    return EndpointLoad(*counts, time_percent)


def _decode_time_percent(fields: list[str]) -> float | None:
    """Return the percentage in the fields after the counts, 0 if there is none, None
    if it is absurd.
    """
    if not fields:
        return 0.0
    if len(fields) > 1 or not DECIMAL_NUMBER.fullmatch(fields[0]):
        return None
    value = float(fields[0])
    return value if 0 < value <= MAX_TIME_PERCENT else None


def decode_leaving(headers: HeaderList) -> bool:
    """Whether a response says that its server leaves."""
    return [value for name, value in headers if name == SERVER_LEAVING] == [b"1"]


class PlatformDirectory:
    """Decodes the records of the platform's two topics; implements `Directory`."""

    configuration_topic = Topic("keyed.op")
    endpoint_topic = Topic("keyed.servers")

    def decode_configuration(self, record: KeyedRecord) -> Configuration | None:
        """Decode a record of the configuration; return None for other keys."""
        if record.key != CONFIGURATION_KEY or record.value is None:
            return None
        raw = _decode_json(record.value, _Configuration)
        return Configuration(
            raw.version,
            [_convert_route(route) for route in raw.routes],
            [_convert_service(service) for service in raw.services],
            None if raw.tenants is None else [_convert_team(t) for t in raw.tenants],
            _convert_limits(raw.limits),
        )

    def decode_evacuation(self, record: KeyedRecord) -> EvacuationRecord | None:
        """Decode a record that evacuates a zone or ends that; None for other keys."""
        if not record.key.startswith(EVACUATION_PREFIX):
            return None
        name = record.key.removeprefix(EVACUATION_PREFIX)
        if not 0 < len(name) <= MAX_ZONE_BYTES:
            raise RecordUnreadableError(f"a zone's name of {len(name)} bytes")
        if record.value is not None and json.loads(record.value) != {}:
            raise RecordUnreadableError("an evacuation whose value is not empty")
        return EvacuationRecord(name.decode(), record.value is not None)

    def endpoint_id(self, record: KeyedRecord) -> EndpointId:
        """Return the id of the record's endpoint, which is the record's key."""
        return EndpointId(record.key.decode("utf-8", "replace"))

    def decode_endpoint(self, record: KeyedRecord) -> tuple[EndpointId, Endpoint]:
        """Decode the record of a server."""
        raw = _decode_json(record.value or b"", _Server)
        host, port = _convert_address(raw.address)
        if not 0 <= raw.slots <= MAX_SLOTS:
            raise RecordUnreadableError(f"{raw.slots} slots are out of range")
        if raw.state not in ("ready", "draining"):
            raise RecordUnreadableError(f"state {raw.state!r} is unknown")
        endpoint_id = self.endpoint_id(record)
        endpoint = Endpoint(
            endpoint_id,
            ServiceName(raw.service),
            host,
            port,
            raw.zone,
            raw.slots,
            raw.state == "draining",
            raw.born,
            # Without a version it may be any, so it counts as one of its own.
            raw.version or f"of {endpoint_id}",
            _convert_cold_left(raw.cold_left_ms),
        )
        return endpoint_id, endpoint


def _convert_address(text: str) -> tuple[str, int]:
    host, _, port_text = text.rpartition(":")
    if not PORT.fullmatch(port_text) or not 0 < int(port_text) <= MAX_PORT:
        shown = text[:MAX_SHOWN_LENGTH]
        raise RecordUnreadableError(f"address {shown!r} has no port in range")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise RecordUnreadableError(f"address without an IP: {exc}") from exc
    return host, int(port_text)


def _decode_json(data: bytes, to: type):
    try:
        return msgspec.json.decode(data, type=to)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RecordUnreadableError(str(exc)) from exc


def _convert_route(raw: _Route) -> Route:
    services = [
        WeightedService(ServiceName(entry.service), entry.weight)
        for entry in raw.weighted_services
    ]
    if raw.service is not None:
        services = [WeightedService(ServiceName(raw.service), 1.0)]
    if not services:
        raise RecordUnreadableError(f"route {raw.name!r} has no service")
    try:
        kind = RouteKind(raw.kind)
    except ValueError:
        # A request of an unknown kind may not be idempotent, so it runs at most once.
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
        frozenset(raw.allowed_regions or ()),
    )


def _convert_service(raw: _Service) -> Service:
    engine = raw.engine or _Engine()
    start_s = engine.cold_start_s if raw.cold_start_s is None else raw.cold_start_s
    per_s = engine.cold_per_s if raw.cold_per_s is None else raw.cold_per_s
    return Service(
        ServiceName(raw.name),
        engine.slots,
        _number_within(start_s, MAX_COLD_START_S) or 0.0,
        _number_within(per_s, MAX_COLD_PER_S) or 0.0,
        int(_number_within(engine.kv_cache_tokens, MAX_TOKENS) or 0),
    )


def _convert_cold_left(value: Any) -> float | None:
    """Return how long a server stays cold in seconds, None if its entry, which is
    usable nevertheless, does not tell.
    """
    left_ms = _number_within(value, MAX_COLD_LEFT_MS)
    return None if left_ms is None else left_ms / 1000


def _number_within(value: Any, maximum: float) -> float | None:
    """Return a number from 0 to a maximum, None for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value if 0 <= value <= maximum else None


def _convert_team(raw: _Tenant) -> Team:
    return Team(
        TeamId(raw.name),
        frozenset(raw.api_keys),
        raw.rate_per_s,
        raw.burst,
        raw.priority,
        frozenset(raw.allowed_regions or ()),
    )


def _convert_limits(raw: dict[str, Any]) -> Limits:
    known = {
        name: int(value)
        for name, value in raw.items()
        if name in Limits.__struct_fields__
        and _number_within(value, MAX_CONFIGURED) is not None
    }
    return Limits(**known)
