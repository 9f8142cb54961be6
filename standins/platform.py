"""Stand-ins for the Teranga platform of the event-loop daemon: store, model servers.

    python -m standins.platform store --port 9000
    python -m standins.platform server --port 9001 --store 127.0.0.1:9000 --name i-1

The store serves a `MemoryLog`. A server registers there, runs a few requests at
once, responds with events, and prints a JSON line per run, which the soak test checks.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import struct
import sys
import time
import urllib.parse
from collections.abc import Callable

import fire

from apricotquay.platform.store import StoreClient, encode_record
from apricotquay.serving.fleet.keyedlog import (
    KeyedRecord,
    LogConflictError,
    LogError,
    LogExpiredError,
    MemberName,
    Topic,
)
from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpserver import Exchange, HttpServer, ServerLimits

from .keyedlog import MemoryLog

JSON_HEADERS = [(b"content-type", b"application/json")]
REGISTER_RETRY_DELAY_S = 0.5
# How often a server that is cold writes its entry again.
ENTRY_INTERVAL_S = 1.2
SLOTS_PER_SERVER = 8
HOLD_INTERVAL_S = 0.01
SERVER_LIMITS = ServerLimits(65_536, 8 * 1024 * 1024, 10.0, 60.0)


def _server_limits() -> ServerLimits:
    return SERVER_LIMITS


class StoreServer:
    """Serves a `MemoryLog` over HTTP, as the platform's store does its log."""

    def __init__(self) -> None:
        self.log = MemoryLog()
        self._server = HttpServer(self._handle, _server_limits)

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        path, _, query = request.target.partition("?")
        fields = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        handler = {
            "/-/log-append": self._append,
            "/-/log-read": self._read,
            "/-/log-newest": self._read_newest,
            "/-/log-join": self._join,
            "/-/log-leave": self._leave,
            "/-/log-owners": self._read_owners,
        }.get(path)
        if handler is None:
            await exchange.respond(HttpResponse(404, []))
            return
        await exchange.respond(await handler(fields, request.body))

    async def _append(self, fields: dict, body: bytes) -> HttpResponse:
        records = _decode_records(body)
        at = int(fields["at"]) if "at" in fields else None
        topic, part = Topic(fields["topic"]), int(fields["part"])
        try:
            offset = await self.log.append(topic, part, records, at)
        except LogConflictError as exc:
            return _json_response(412, {"end": exc.end})
        return _json_response(200, {"offset": offset, "end": offset + len(records)})

    async def _read(self, fields: dict, _body: bytes) -> HttpResponse:
        start = int(fields["from"])
        wait_ms = int(fields.get("wait_ms", 0))
        topic, part = Topic(fields["topic"]), int(fields["part"])
        try:
            page = await self.log.read(topic, part, start, wait_ms)
        except LogExpiredError as exc:
            return _json_response(410, {"first": exc.first_offset})
        data = struct.pack(">QQ", page.end, 0)
        return HttpResponse(200, [], data + b"".join(map(encode_record, page.records)))

    async def _read_newest(self, fields: dict, _body: bytes) -> HttpResponse:
        page = await self.log.read_newest(Topic(fields["topic"]), int(fields["part"]))
        items = [
            {
                "key": record.key.decode(),
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in page.records
        ]
        return _json_response(200, {"items": items, "more": False, "end": page.end})

    async def _join(self, _fields: dict, body: bytes) -> HttpResponse:
        message = json.loads(body)
        assignment = await self.log.join(
            message["group"],
            MemberName(message["member"]),
            message["topics"],
            message["ttl_ms"],
            message["generation"],
        )
        parts = [[shard.topic, shard.number, 0] for shard in assignment.shards]
        return _json_response(
            200, {"generation": assignment.generation, "parts": parts}
        )

    async def _leave(self, _fields: dict, body: bytes) -> HttpResponse:
        message = json.loads(body)
        await self.log.leave(message["group"], message["member"], 0)
        return _json_response(200, {})

    async def _read_owners(self, fields: dict, _body: bytes) -> HttpResponse:
        owners = await self.log.read_owners(fields["group"])
        rows = [[s.topic, s.number, member, 0] for s, member in owners.items()]
        return _json_response(200, {"owners": rows})


def _decode_records(body: bytes) -> list[KeyedRecord]:
    records = []
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + size]
        key_end = 1 + content[0]
        value = content[key_end:] or None
        records.append(KeyedRecord(content[1:key_end], value))
        position += 4 + size
    return records


def _json_response(status: int, value: dict) -> HttpResponse:
    return HttpResponse(status, JSON_HEADERS, json.dumps(value).encode())


class ModelServer:
    """Server of a `service`: streams as many events as a request asks for.

    The request's body is `events=N`, with `bytes=N` for the least size of an event's
    data, `fail=STATUS` for an error response, `hang=1` for
    an answer without events, or `crash=1` to end the server without an answer. A
    request whose prompt has one of the `crashing_parts`, not as its last part, ends
    the server `crash_delay_s` after it begins, in a stream of `events_before_crash`
    events if there are any.
    Answers name `limit` if it is set, and hold each value of `leaving_values` in a
    header of its own; `load_value` replaces the load that they state, to which the time
    that work takes is added if the server `states_slowness`; a server of a `slowness`
    takes so many times as long; `make_data` returns an event's data; `arrived_s` lists
    when requests arrived, but for those that were meant for another server. With
    `first_run_events` a stream that is not resumed breaks off after so many events.
    A server is cold for `cold_s` after its start, and each event takes
    `cold_step_s` more then.
    """

    def __init__(self, name: str, step_s: float, record_run=None) -> None:
        self.name: str = name
        self.running: int = 0
        self.running_ids: set[str] = set()
        self.sent_event_count: int = 0
        self.on_crash: Callable[[], None] = lambda: os._exit(1)
        self.fails_all_with: int = 0
        self.is_holding: bool = False
        self.crashing_parts: frozenset[str] = frozenset()
        self.crash_delay_s: float = 0.0
        self.events_before_crash: int = 0
        self.limit: str = ""
        self.leaving_values: list[str] = []
        self.refuses_all: bool = False
        self.version: str = "v1"
        self.service: str = "llm"
        self.make_data: Callable[[str, int], bytes] = _event_data
        self.first_run_events: int = 0
        self.arrived_s: list[float] = []
        self.zone: str = "z"
        self.cold_s: float = 0.0
        self.cold_step_s: float = 0.0
        self._cold_until_s: float = float("-inf")
        self.refused_count: int = 0
        self.slowness: float = 1.0
        self.states_slowness: bool = False
        self.load_value: str | None = None
        self._step_s: float = step_s
        self._record_run = record_run or (
            lambda run: print(json.dumps(run), flush=True)
        )
        self._server = HttpServer(self._handle, _server_limits)
        self._tasks: list[asyncio.Task] = []

    async def start(self, host: str, port: int, store: str, shown: str = "") -> int:
        """Start to listen and register in the store, with the address `shown` if set.

        Daemons connect to the registered address: a proxy's, in the soak test.
        """
        port = await self._server.start(host, port)
        self._cold_until_s = time.monotonic() + self.cold_s
        client = StoreClient(*_parse_address(store))
        entry = {
            "service": self.service,
            "address": shown or f"{host}:{port}",
            "zone": self.zone,
            "version": self.version,
            "slots": SLOTS_PER_SERVER,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": time.time_ns() // 1_000_000,
        }
        self._tasks = [asyncio.create_task(self._keep_registered(client, entry))]
        return port

    @property
    def cold_left_s(self) -> float:
        """How long the server is still cold."""
        return max(0.0, self._cold_until_s - time.monotonic())

    async def close(self) -> None:
        """Stop the server at once."""
        for task in self._tasks:
            task.cancel()
        await self._server.close()

    async def _keep_registered(self, client: StoreClient, entry: dict) -> None:
        """Write the entry, again and again while the server is cold."""
        while True:
            left_ms = int(self.cold_left_s * 1000)
            await self._register(client, entry | {"cold_left_ms": left_ms})
            if not left_ms:
                return
            await asyncio.sleep(ENTRY_INTERVAL_S)
            entry["seq"] += 1

    async def _register(self, client: StoreClient, entry: dict) -> None:
        record = KeyedRecord(self.name.encode(), json.dumps(entry).encode())
        while True:
            try:
                await client.append(Topic("keyed.servers"), 0, [record], None)
                return
            except LogError:
                await asyncio.sleep(REGISTER_RETRY_DELAY_S)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = request.header(b"attempt-id") or ""
        head = [
            (b"attempt-id", request_id.encode()),
            (b"server-load", self._load().encode()),
        ]
        if self.limit:
            head.append((b"server-limit", self.limit.encode()))
        for value in self.leaving_values:
            head.append((b"server-leaving", value.encode()))
        if request.header(b"expect-instance") not in (None, self.name):
            await exchange.respond(HttpResponse(421, [(b"instance", b"other")]))
            return
        self.arrived_s.append(time.monotonic())
        if self.refuses_all or self.running >= SLOTS_PER_SERVER:
            self.refused_count += 1
            await exchange.respond(HttpResponse(503, [*head, (b"not-run", b"1")]))
            return
        self.running += 1
        self.running_ids.add(request_id)
        try:
            await self._run(exchange, request_id, head)
        finally:
            self.running -= 1
            self.running_ids.discard(request_id)

    def _load(self) -> str:
        if self.load_value is not None:
            return self.load_value
        time_percent = f",{int(self.slowness * 100)}" if self.states_slowness else ""
        return f"{self.running},0,{SLOTS_PER_SERVER}{time_percent}"

    async def _run(self, exchange: Exchange, request_id: str, head: list) -> None:
        request = exchange.request
        options = dict(urllib.parse.parse_qsl(request.body.decode("utf-8", "replace")))
        after = int(request.header(b"last-event-id") or -1)
        self._record_run(
            {
                "ran": request_id,
                "server": self.name,
                "version": self.version,
                "after": after,
                "tenant": request.header(b"tenant"),
                "key": request.header(b"key"),
                "parts": prompt_parts(request),
                "deadline_ms": int(request.header(b"deadline-ms") or 0),
                "at": time.time(),
            }
        )
        head = [*head, (b"response-stamp", f"{self.name}.{request_id}".encode())]
        status = self.fails_all_with or int(options.get("fail", 0))
        if status:
            await exchange.respond(HttpResponse(status, head, b"no"))
            return
        has_crashing_part = self.crashing_parts.intersection(prompt_parts(request)[:-1])
        if options.get("crash") or has_crashing_part:
            await self._crash(exchange, request_id, head, after)
        chunked = (b"transfer-encoding", b"chunked")
        await self._wait_while_holding()
        await exchange.start(200, [*head, chunked])
        if options.get("hang"):
            await asyncio.Event().wait()
        for number in range(after + 1, int(options.get("events", 5))):
            step_s = self._step_s * self.slowness
            await asyncio.sleep(step_s * random.uniform(0.5, 1.5))
            if self.cold_left_s:
                await asyncio.sleep(self.cold_step_s)
            await self._wait_while_holding()
            data = self.make_data(request_id, number)
            data = data.ljust(int(options.get("bytes", 0)), b".")
            await exchange.send(_encode_event(number, data))
            self.sent_event_count += 1
            if after < 0 and number + 1 == self.first_run_events:
                exchange.abort()
                return
        await exchange.finish()

    async def _wait_while_holding(self) -> None:
        while self.is_holding:
            await asyncio.sleep(HOLD_INTERVAL_S)

    async def _crash(
        self, exchange: Exchange, request_id: str, head: list, after: int
    ) -> None:
        if self.events_before_crash:
            await exchange.start(200, [*head, (b"transfer-encoding", b"chunked")])
        for number in range(after + 1, after + 1 + self.events_before_crash):
            data = self.make_data(request_id, number)
            await exchange.send(_encode_event(number, data))
        await asyncio.sleep(self.crash_delay_s)
        self.on_crash()
        await asyncio.Event().wait()


def prompt_parts(request: HttpRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    header = request.header(b"prompt-prefix") or ""
    return [entry.partition(":")[0] for entry in header.split(",") if entry]


def _event_data(request_id: str, number: int) -> bytes:
    return f"{request_id}-{number}".encode()


def _encode_event(number: int, data: bytes) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, data)


async def write_configuration(store: str, value: dict) -> None:
    """Append a configuration as the operator does; raise if that fails."""
    await _write_operator_record(store, b"config", json.dumps(value).encode())


async def write_evacuation(store: str, zone: str, *, is_evacuated: bool) -> None:
    """Evacuate a zone, or end that, as the operator does; raise if that fails."""
    value = b"{}" if is_evacuated else None
    await _write_operator_record(store, f"evacuate/{zone}".encode(), value)


async def _write_operator_record(store: str, key: bytes, value: bytes | None) -> None:
    client = StoreClient(*_parse_address(store))
    record = KeyedRecord(key, value)
    try:
        await client.append(Topic("keyed.op"), 0, [record], None)
    finally:
        client.close()


def make_configuration(
    version: int, keys: dict[str, list[str]], service: dict | None = None, **route
) -> dict:
    """Return a configuration with a streaming, a batch and a non-idempotent route;
    `service` and `route` are further fields of the service and the streaming route.
    """
    common = {"host": "a.example", "service": "llm", "timeout_ms": 5000}
    stream = {"kind": "streaming", "resumable": True, "max_attempts": 3}
    batch = {"kind": "batch", "max_attempts": 3, "result_deadline_ms": 20_000}
    return {
        "version": version,
        "routes": [
            {**common, "name": "s", "path_prefix": "/s/", **stream, **route},
            {**common, "name": "b", "path_prefix": "/b/", **batch, "cap": 100_000},
            {**common, "name": "u", "path_prefix": "/u/", "kind": "unsafe"},
        ],
        "services": [
            {"name": "llm", "engine": {"slots": SLOTS_PER_SERVER}, **(service or {})}
        ],
        "limits": {"max_body_bytes": 4 * 1024 * 1024, "idle_timeout_ms": 15_000},
        "tenants": [{"name": t, "api_keys": k} for t, k in keys.items()],
    }


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def _serve_until_stopped(start) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    port = await start()
    print(json.dumps({"port": port}), flush=True)
    await stop.wait()


class Commands:
    """Commands of this module."""

    def store(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Run the store."""
        with contextlib.suppress(HttpError):
            asyncio.run(_serve_until_stopped(lambda: StoreServer().start(host, port)))

    def server(
        self,
        store: str,
        name: str,
        port: int = 0,
        host: str = "127.0.0.1",
        step_s: float = 0.01,
        shown: str = "",
        crashing_part: str = "",
        crash_delay_s: float = 0.1,
        version: str = "v1",
        zone: str = "z",
    ) -> None:
        """Run a model server; a prompt with the crashing part ends it."""
        server = ModelServer(name, step_s)
        server.version = version
        server.zone = zone
        server.crashing_parts = frozenset([str(crashing_part)] if crashing_part else [])
        server.crash_delay_s = crash_delay_s
        asyncio.run(
            _serve_until_stopped(lambda: server.start(host, port, store, shown))
        )


if __name__ == "__main__":
    fire.Fire(Commands, command=sys.argv[1:], name="standins.platform")
