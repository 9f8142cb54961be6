"""HTTP client of the platform's metadata store."""

import asyncio
import base64
import random
import struct
import urllib.parse
from collections.abc import Iterable, Iterator
from functools import partial

import msgspec

from ..serving.backoff import Backoff
from ..serving.fleet.keyedlog import (
    KeyedRecord,
    LogConflictError,
    LogError,
    LogExpiredError,
    LogOutcomeUnknownError,
    LogRefusedError,
    MemberName,
    Page,
    Shard,
    ShardAssignment,
    Topic,
)
from ..serving.http.http1 import HttpError, HttpRequest, HttpResponse
from ..serving.http.httpclient import ClientConnection, open_client

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# Each part of an answer extends its time: over a slow link, or beside other answers, a
# whole page takes longer than a call may, and reading it again would take as long.
PART_TIMEOUT_S = 1.0
MAX_ANSWER_S = 15.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Shorter than the time after which the store considers a member gone, so that one
# lost response does not end the membership.
JOIN_TIMEOUT_S = 0.4
# A page is up to 1 MB, and all daemons of a starting fleet read at the same time.
PAGE_TIMEOUT_S = 2.5
MAX_PAGE_ATTEMPTS = 4
PAGE_RETRY_DELAY_S = 0.2
MAX_PAGE_RETRY_DELAY_S = 0.8
# Time that a long poll may take beyond the wait that it asks for.
LONG_POLL_MARGIN_S = 0.6
MAX_IDLE_CONNECTIONS = 4
MAX_READ_KB = 1024
LENGTH_PREFIX = struct.Struct(">I")
# End offset of the partition and its first offset, before the records of a read.
READ_HEADER = struct.Struct(">QQ")


class _AppendResponse(msgspec.Struct):
    offset: int = 0
    end: int = 0


class _ExpiredResponse(msgspec.Struct):
    first: int = 0


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestResponse(msgspec.Struct):
    items: list[msgspec.Raw]
    more: bool
    end: int


class _JoinResponse(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


def encode_record(record: KeyedRecord) -> bytes:
    """Encode a record as a length-prefixed key and value."""
    content = bytes((len(record.key),)) + record.key + (record.value or b"")
    return LENGTH_PREFIX.pack(len(content)) + content


def decode_records(data: bytes, start_offset: int) -> list[KeyedRecord]:
    """Decode the records of a read; a malformed record gets an empty key."""
    records = []
    position = 0
    while position + LENGTH_PREFIX.size <= len(data):
        (size,) = LENGTH_PREFIX.unpack_from(data, position)
        position += LENGTH_PREFIX.size
        content = data[position : position + size]
        position += size
        records.append(_decode_content(content, start_offset + len(records)))
    return records


def _decode_content(content: bytes, offset: int) -> KeyedRecord:
    key_end = 1 + content[0] if content else 0
    if not content or key_end > len(content):
        return KeyedRecord(b"", None, offset)
    return KeyedRecord(content[1:key_end], content[key_end:] or None, offset)


def decode_newest_items(items: Iterable[bytes]) -> Iterator[KeyedRecord]:
    """Yield the records of a page of newest records; unreadable ones are left out."""
    for raw in items:
        try:
            item = msgspec.json.decode(raw, type=_NewestItem)
            value = base64.b64decode(item.value, validate=True) or None
            yield KeyedRecord(item.key.encode(), value, item.offset)
        except (msgspec.DecodeError, ValueError):
            # Other writers may have left it; it names nothing that can be used.
            continue


class StoreClient:
    """Implements `KeyedLog` over HTTP with a small connection pool. One per daemon."""

    def __init__(self, host: str, port: int) -> None:
        self._host: str = host
        self._port: int = port
        self._idle: list[ClientConnection] = []
        self.call_count: int = 0

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def read_newest(self, topic: Topic, partition: int) -> Page:
        """Read the newest record of each key, page by page."""
        records: list[KeyedRecord] = []
        first_page_end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": partition}
            if after:
                query["after"] = after
            page = await self._read_newest_page(query)
            if first_page_end is None:
                first_page_end = page.end
            found = list(decode_newest_items(page.items))
            records += found
            if not page.more or not found:
                return Page(records, first_page_end)
            after = found[-1].key.decode()

    async def _read_newest_page(self, query: dict) -> _NewestResponse:
        """Return one page; retries any page but the first.

        Restarting the whole read at each refusal would load a busy store with
        pages that have already been read. A failure of the first page is raised at
        once, because the caller has to know soon that the store is unavailable.
        """
        if "after" not in query:
            return await self._try_newest_page(query, CALL_TIMEOUT_S)
        backoff = Backoff(PAGE_RETRY_DELAY_S, MAX_PAGE_RETRY_DELAY_S, random.Random())
        for _ in range(MAX_PAGE_ATTEMPTS - 1):
            try:
                return await self._try_newest_page(query, PAGE_TIMEOUT_S)
            except LogError:
                # Only the failure of the last attempt is raised to the caller.
                await asyncio.sleep(backoff.next_s())
        return await self._try_newest_page(query, PAGE_TIMEOUT_S)

    async def _try_newest_page(self, query: dict, timeout_s: float) -> _NewestResponse:
        response = await self._call("GET", "/-/log-newest", query, timeout_s=timeout_s)
        return self._decode_response(response, _NewestResponse)

    async def read(
        self, topic: Topic, partition: int, start_offset: int, wait_ms: int
    ) -> Page:
        """Read records from an offset on."""
        query = {
            "topic": topic,
            "part": partition,
            "from": start_offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": wait_ms,
        }
        timeout_s = wait_ms / 1000 + LONG_POLL_MARGIN_S
        response = await self._call("GET", "/-/log-read", query, timeout_s=timeout_s)
        if response.status == 410:
            expired = self._decode_response(response, _ExpiredResponse, 410)
            raise LogExpiredError(
                f"{topic}/{partition}: records at {start_offset} have expired",
                expired.first,
            )
        if response.status != 200 or len(response.body) < READ_HEADER.size:
            raise LogRefusedError(f"log-read: status {response.status}")
        end, _first_offset = READ_HEADER.unpack_from(response.body)
        return Page(
            decode_records(response.body[READ_HEADER.size :], start_offset), end
        )

    async def append(
        self,
        topic: Topic,
        partition: int,
        records: list[KeyedRecord],
        expected_end: int | None,
    ) -> int:
        """Append records and return the offset of the first."""
        query = {"topic": topic, "part": partition}
        if expected_end is not None:
            query["at"] = expected_end
        body = b"".join(encode_record(record) for record in records)
        response = await self._call("POST", "/-/log-append", query, body)
        if response.status == 412:
            raise LogConflictError(
                self._decode_response(response, _AppendResponse, 412).end
            )
        return self._decode_response(response, _AppendResponse).offset

    async def join(
        self,
        group: str,
        member: MemberName,
        topics: list[Topic],
        ttl_ms: int,
        generation: int,
    ) -> ShardAssignment:
        """Join a group or renew the membership."""
        message = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        response = await self._call_json("/-/log-join", message, JOIN_TIMEOUT_S)
        joined = self._decode_response(response, _JoinResponse)
        shards = frozenset(Shard(Topic(t), number) for t, number, _ in joined.parts)
        return ShardAssignment(joined.generation, shards)

    async def leave(self, group: str, member: MemberName, generation: int) -> None:
        """Leave a group."""
        message = {"group": group, "member": member, "generation": generation}
        await self._call_json("/-/log-leave", message, JOIN_TIMEOUT_S)

    async def read_owners(self, group: str) -> dict[Shard, MemberName]:
        """Read the owner of each shard of a group."""
        response = await self._call("GET", "/-/log-owners", {"group": group})
        if response.status != 200:
            raise LogRefusedError(f"log-owners: status {response.status}")
        try:
            rows = _find_rows(msgspec.json.decode(response.body))
            return {
                Shard(Topic(topic), number): MemberName(member)
                for topic, number, member, *_ in rows
                if member
            }
        except (msgspec.DecodeError, TypeError, ValueError) as exc:
            raise LogOutcomeUnknownError(f"store: unreadable answer: {exc}") from exc

    async def _call_json(
        self, path: str, message: dict, timeout_s: float
    ) -> HttpResponse:
        body = msgspec.json.encode(message)
        return await self._call(
            "POST", path, {}, body, is_json=True, timeout_s=timeout_s
        )

    def _decode_response(
        self, response: HttpResponse, to: type, expected_status: int = 200
    ):
        if response.status != expected_status:
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
        self.call_count += 1
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        headers = [(b"host", f"{self._host}:{self._port}".encode())]
        if is_json:
            headers.append((b"content-type", b"application/json"))
        request = HttpRequest(method, target, headers, body)
        connection = await self._acquire_connection()
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                connection.send(request)
                last_s = asyncio.get_running_loop().time() + MAX_ANSWER_S
                response = await connection.read_response(
                    partial(_extend, timeout, last_s)
                )
        except TimeoutError as exc:
            connection.close()
            raise LogOutcomeUnknownError(f"{path}: no answer in time") from exc
        except HttpError as exc:
            connection.close()
            raise LogOutcomeUnknownError(f"{path}: {exc}") from exc
        except asyncio.CancelledError:
            connection.close()
            raise
        self._release_connection(connection)
        return response

    async def _acquire_connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable and not await connection.has_unexpected_data():
                return connection
            connection.close()
        try:
            return await open_client(self._host, self._port, CONNECT_TIMEOUT_S)
        except HttpError as exc:
            raise LogRefusedError(f"store: {exc}") from exc

    def _release_connection(self, connection: ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()


def _extend(timeout: asyncio.Timeout, last_s: float, body_bytes: int) -> None:
    """Extend the time of an answer of which a part has arrived, up to `last_s`."""
    if body_bytes > MAX_ANSWER_BYTES:
        raise HttpError(f"answer of more than {MAX_ANSWER_BYTES} bytes")
    due_s = min(asyncio.get_running_loop().time() + PART_TIMEOUT_S, last_s)
    timeout.reschedule(max(timeout.when(), due_s))


def _find_rows(content: object) -> list:
    """Return the rows of a response that is a list or an object with one list."""
    if isinstance(content, dict):
        lists = [value for value in content.values() if isinstance(value, list)]
        return lists[0] if lists else []
    return content if isinstance(content, list) else []
