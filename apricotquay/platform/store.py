"""Client of the platform's metadata store."""

import asyncio
import base64
import random
import struct
import urllib.parse

import msgspec

from ..serving.backoff import Backoff
from ..serving.http1 import HttpError, HttpRequest, HttpResponse
from ..serving.httpclient import ClientConnection, open_client
from ..serving.keyedlog import (
    Assignment,
    KeyedRecord,
    LogConflictError,
    LogError,
    LogExpiredError,
    LogOutcomeUnknownError,
    LogRefusedError,
    MemberName,
    Page,
    Shard,
    Topic,
)

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# A lost answer must cost less than the time after which a member is taken for gone.
JOIN_TIMEOUT_S = 0.4
# A page is up to a megabyte, and a fleet that starts reads them all at once.
PAGE_TIMEOUT_S = 2.5
PAGE_TRIES = 4
PAGE_PAUSE_S = 0.2
MAX_PAGE_PAUSE_S = 0.8
# What a waiting read may take beyond the time it asked to wait.
WAIT_MARGIN_S = 0.6
MAX_IDLE_CONNECTIONS = 4
READ_MAX_KB = 1024
LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


class _AppendReply(msgspec.Struct):
    offset: int = 0
    end: int = 0


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestReply(msgspec.Struct):
    items: list[_NewestItem]
    more: bool
    end: int


class _JoinReply(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


def encode_record(record: KeyedRecord) -> bytes:
    """Encode one record of a keyed topic with its length."""
    content = bytes((len(record.key),)) + record.key + (record.value or b"")
    return LENGTH.pack(len(content)) + content


def decode_records(data: bytes, start: int) -> list[KeyedRecord]:
    """Decode the records of a read; one that cannot be read gets an empty key."""
    records = []
    place = 0
    while place + LENGTH.size <= len(data):
        (size,) = LENGTH.unpack_from(data, place)
        place += LENGTH.size
        content = data[place : place + size]
        place += size
        records.append(_decode_content(content, start + len(records)))
    return records


def _decode_content(content: bytes, offset: int) -> KeyedRecord:
    key_end = 1 + content[0] if content else 0
    if not content or key_end > len(content):
        return KeyedRecord(b"", None, offset)
    return KeyedRecord(content[1:key_end], content[key_end:] or None, offset)


class StoreClient:
    """The store over HTTP; implements `KeyedLog`. One a daemon."""

    def __init__(self, host: str, port: int) -> None:
        self._host: str = host
        self._port: int = port
        self._idle: list[ClientConnection] = []
        self.calls: int = 0

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def read_newest(self, topic: Topic, part: int) -> Page:
        """Return the newest record of each key, page by page."""
        records: list[KeyedRecord] = []
        first_end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": part}
            if after:
                query["after"] = after
            reply = await self._newest_page(query)
            if first_end is None:
                first_end = reply.end
            for item in reply.items:
                value = base64.b64decode(item.value) or None
                records.append(KeyedRecord(item.key.encode(), value, item.offset))
            if not reply.more or not reply.items:
                return Page(records, first_end)
            after = reply.items[-1].key

    async def _newest_page(self, query: dict) -> _NewestReply:
        """Return one page; a later page that fails is asked for again by itself.

        A walk that began anew at each refusal would load a busy store with pages
        that have been read already. The first page's failure is for the caller,
        who has to know soon that the store is away.
        """
        if "after" not in query:
            return await self._try_newest_page(query, CALL_TIMEOUT_S)
        backoff = Backoff(PAGE_PAUSE_S, MAX_PAGE_PAUSE_S, random.Random())
        for _ in range(PAGE_TRIES - 1):
            try:
                return await self._try_newest_page(query, PAGE_TIMEOUT_S)
            except LogError:
                # Only the last failure is for the caller to report.
                await asyncio.sleep(backoff.next_s())
        return await self._try_newest_page(query, PAGE_TIMEOUT_S)

    async def _try_newest_page(self, query: dict, timeout_s: float) -> _NewestReply:
        response = await self._call("GET", "/-/log-newest", query, timeout_s=timeout_s)
        return self._decoded(response, _NewestReply)

    async def read(self, topic: Topic, part: int, start: int, wait_ms: int) -> Page:
        """Return records from an offset."""
        query = {
            "topic": topic,
            "part": part,
            "from": start,
            "max_kb": READ_MAX_KB,
            "wait_ms": wait_ms,
        }
        timeout_s = wait_ms / 1000 + WAIT_MARGIN_S
        response = await self._call("GET", "/-/log-read", query, timeout_s=timeout_s)
        if response.status == 410:
            raise LogExpiredError(f"{topic}/{part}: records at {start} have expired")
        if response.status != 200 or len(response.body) < READ_HEADER.size:
            raise LogRefusedError(f"log-read: status {response.status}")
        end, _first = READ_HEADER.unpack_from(response.body)
        return Page(decode_records(response.body[READ_HEADER.size :], start), end)

    async def append(
        self, topic: Topic, part: int, records: list[KeyedRecord], at: int | None
    ) -> int:
        """Append records and return the offset of the first."""
        query = {"topic": topic, "part": part}
        if at is not None:
            query["at"] = at
        body = b"".join(encode_record(record) for record in records)
        response = await self._call("POST", "/-/log-append", query, body)
        if response.status == 412:
            raise LogConflictError(self._decoded(response, _AppendReply, 412).end)
        return self._decoded(response, _AppendReply).offset

    async def join(
        self,
        group: str,
        member: MemberName,
        topics: list[Topic],
        ttl_ms: int,
        generation: int,
    ) -> Assignment:
        """Join a group or stay in it."""
        message = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        response = await self._call_json("/-/log-join", message, JOIN_TIMEOUT_S)
        reply = self._decoded(response, _JoinReply)
        shards = frozenset(Shard(Topic(t), number) for t, number, _ in reply.parts)
        return Assignment(reply.generation, shards)

    async def leave(self, group: str, member: MemberName, generation: int) -> None:
        """Leave a group."""
        message = {"group": group, "member": member, "generation": generation}
        await self._call_json("/-/log-leave", message, JOIN_TIMEOUT_S)

    async def read_owners(self, group: str) -> dict[Shard, MemberName]:
        """Return who owns what in a group."""
        response = await self._call("GET", "/-/log-owners", {"group": group})
        if response.status != 200:
            raise LogRefusedError(f"log-owners: status {response.status}")
        rows = _rows_of(msgspec.json.decode(response.body))
        return {
            Shard(Topic(topic), part): MemberName(member)
            for topic, part, member, *_ in rows
            if member
        }

    async def _call_json(
        self, path: str, message: dict, timeout_s: float
    ) -> HttpResponse:
        body = msgspec.json.encode(message)
        return await self._call(
            "POST", path, {}, body, is_json=True, timeout_s=timeout_s
        )

    def _decoded(self, response: HttpResponse, to: type, status: int = 200):
        if response.status != status:
            detail = response.body[:200].decode("utf-8", "replace")
            raise LogRefusedError(f"store: status {response.status} {detail}")
        try:
            return msgspec.json.decode(response.body, type=to)
        except msgspec.DecodeError as exc:
            raise LogOutcomeUnknownError(f"store: unreadable answer: {exc}") from exc

    async def _call(
        self,
        method: str,
        path: str,
        query: dict,
        body: bytes = b"",
        *,
        is_json: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpResponse:
        self.calls += 1
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        headers = [(b"host", f"{self._host}:{self._port}".encode())]
        if is_json:
            headers.append((b"content-type", b"application/json"))
        request = HttpRequest(method, target, headers, body)
        connection = await self._connection()
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(request)
                response = await connection.read_response()
        except TimeoutError as exc:
            connection.close()
            raise LogOutcomeUnknownError(f"{path}: no answer in time") from exc
        except HttpError as exc:
            connection.close()
            raise LogOutcomeUnknownError(f"{path}: {exc}") from exc
        except asyncio.CancelledError:
            connection.close()
            raise
        self._put_back(connection)
        return response

    async def _connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        try:
            return await open_client(self._host, self._port, CONNECT_TIMEOUT_S)
        except HttpError as exc:
            raise LogRefusedError(f"store: {exc}") from exc

    def _put_back(self, connection: ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()


def _rows_of(reply: object) -> list:
    """Return the rows of an answer that wraps them in one field or none."""
    if isinstance(reply, dict):
        lists = [value for value in reply.values() if isinstance(value, list)]
        return lists[0] if lists else []
    return reply if isinstance(reply, list) else []
