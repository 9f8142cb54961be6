"""Faulty servers beneath a whole fleet: bytes without end, and errors in streams."""

import asyncio
import contextlib
import itertools
import json
import time

from parameterized import parameterized

from apricotquay.serving.engine import AttemptFailedError
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic
from apricotquay.serving.http import bodybudget
from apricotquay.serving.http.bodybudget import (
    MAX_LARGE_BYTES,
    SMALL_BODY_BYTES,
    BodyBudget,
)
from apricotquay.serving.http.http1 import HttpError, HttpRequest
from apricotquay.serving.http.httpclient import open_client

from .base import ApricotTest
from .test_platform_fleet import HOST, PlatformFleet, PlatformTest

SLOTS = 8
# What faulty servers may send to one daemon before all are cut off, with what is in
# the buffers of the sockets.
SOCKET_BYTES = 4 * 1024 * 1024
EVENTS = 6
EVENTS_BEFORE_BREAK = 3
PART = b"y" * 65_536


class RawServer:
    """A server whose answers a test writes byte by byte, listed in the store.

    `answer` gets the request's headers in lower case and a writer.
    """

    def __init__(self, name: str, answer) -> None:
        self.name = name
        self.requests: list[dict[str, str]] = []
        self.sent_bytes = 0
        self._answer = answer
        self._server = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, fleet: PlatformFleet) -> None:
        """Listen, and write an entry to the store."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        entry = {
            "service": "llm",
            "address": f"{HOST}:{port}",
            "zone": "z",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": time.time_ns() // 1_000_000,
        }
        record = KeyedRecord(self.name.encode(), json.dumps(entry).encode())
        await fleet.store.log.append(Topic("keyed.servers"), 0, [record], None)
        for daemon in fleet.daemons:
            await fleet.wait_until(
                lambda d=daemon: d.view.endpoints.get(self.name) is not None
            )
        fleet.servers.append(self)

    async def close(self) -> None:
        """Stop listening, and end all answers."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = [line.partition(": ") for line in head.split("\r\n")[1:] if line]
            headers = {name.lower(): value for name, _, value in lines}
            await self.read_body(reader, int(headers.get("content-length", 0)))
            if headers.get("expect-instance") != self.name:
                return
            self.requests.append(headers)
            await self._answer(self, headers, writer)
        writer.close()

    async def read_body(self, reader, size: int) -> None:
        """Read the body of a request."""
        await reader.readexactly(size)

    async def send(self, writer, data: bytes) -> None:
        """Send bytes and count them."""
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)

    async def send_without_end(self, writer, start: bytes, part: bytes) -> None:
        """Send a start, then a part again and again until the caller closes."""
        await self.send(writer, start)
        while True:
            await self.send(writer, part)
            await asyncio.sleep(0)


def head_of(headers: dict[str, str], status: bytes = b"200 OK") -> bytes:
    """Return the head of an answer without its framing and end."""
    attempt = headers["attempt-id"].encode()
    lines = b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n" % (status, attempt)
    return lines + b"Response-Stamp: s.%s\r\n" % attempt


def chunk(data: bytes) -> bytes:
    """Return a chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return an event of the stream that all sound servers send."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "head": lambda h: (b"HTTP/1.1 200 ", PART),
    "header": lambda h: (head_of(h) + b"X: ", PART),
    "headers": lambda h: (head_of(h), b"X: y\r\n" * 999),
    "body until close": lambda h: (head_of(h) + b"\r\n", PART),
    "body of a length": lambda h: (
        head_of(h) + b"Content-Length: 99999999999\r\n\r\n",
        PART,
    ),
    "body in chunks": lambda h: (head_of(h) + CHUNKED, chunk(PART)),
    "error body": lambda h: (head_of(h, b"500 No") + CHUNKED, chunk(PART)),
    "trailers": lambda h: (head_of(h) + CHUNKED + b"0\r\n", b"X: y\r\n" * 999),
    "event": lambda h: (head_of(h) + CHUNKED + chunk(b"id: 0\ndata: "), chunk(PART)),
}


class EndlessFleetTest(PlatformTest):
    """Many requests of one daemon at servers that send without end."""

    @parameterized.expand(
        [(f"{name}, {path}", name, path) for name in ENDLESS for path in ("u", "s")]
    )
    def test_bytes_without_end_of_many_servers_fit_into_the_memory_of_a_daemon(
        self, _name, kind, path
    ):
        """All slots of three servers, for a route that repeats and one that doesn't."""

        async def answer(server, headers, writer):
            await server.send_without_end(writer, *ENDLESS[kind](headers))

        async def scenario(fleet):
            servers = [RawServer(f"i-raw{n}", answer) for n in range(3)]
            for server in servers:
                await server.start(fleet)
            (daemon,) = fleet.daemons
            calls = [
                fleet.call(daemon, "POST", f"/{path}/{n}", b"", attempt_id=f"r{n}")
                for n in range(3 * SLOTS)
            ]
            responses = await asyncio.gather(*calls, return_exceptions=True)
            statuses = {getattr(r, "status", type(r)) for r in responses}
            self.assertLessEqual(statuses, {502, 503, 504})
            sends = sum(len(server.requests) for server in servers)
            sent_bytes = sum(server.sent_bytes for server in servers)
            self.assertLess(sent_bytes, MAX_LARGE_BYTES + sends * SOCKET_BYTES)
            self.assertEqual(0, daemon.online._attempts.body_budget.large_bytes)

        self.run_scenario(scenario, daemons=1, servers=0)


class BodyBudgetTest(ApricotTest):
    """The bound on all large answers of a daemon."""

    def test_large_answers_share_a_bound_and_small_ones_do_not(self):
        """A faulty endpoint's answers cannot keep small ones from being read."""
        budget = BodyBudget()
        large = [budget.reserve() for _ in range(64)]
        failed = 0
        for _ in range(16):
            for reservation in large:
                try:
                    reservation.grow(512 * 1024)
                except AttemptFailedError:
                    failed += 1
        self.assertGreater(failed, 0)
        self.assertLessEqual(budget.large_bytes, MAX_LARGE_BYTES)
        for _ in range(100):
            budget.reserve().grow(SMALL_BODY_BYTES)
        for reservation in large:
            reservation.release()
        self.assertEqual(0, budget.large_bytes)
        budget.reserve().grow(bodybudget.MAX_BODY_BYTES)


FAILURES = {
    f"{status.decode()}{', ' + name if name else ''}": (
        lambda h, status=status, framing=framing: head_of(h, status) + framing
    )
    for status in (
        b"500 No",
        b"502 No",
        b"503 No",
        b"404 No",
        b"429 No",
        b"302 No",
        b"201 Made",
        b"206 Part",
    )
    for name, framing in (
        ("", b"Content-Length: 14\r\n\r\nError: failed\n"),
        ("chunked", CHUNKED + chunk(b"event: error\ndata: failed\n\n") + b"0\r\n\r\n"),
        ("until close", b"\r\ndata: failed\n\n"),
    )
} | {
    "200 JSON": lambda h: head_of(h) + b'Content-Length: 13\r\n\r\n{"error": 1}\n',
    "200 event without id": lambda h: (
        head_of(h) + CHUNKED + chunk(b"event: error\ndata: no\n\n") + b"0\r\n\r\n"
    ),
    "200 earlier event": lambda h: head_of(h) + CHUNKED + chunk(event(1)),
    "200 later event": lambda h: head_of(h) + CHUNKED + chunk(event(5)),
    "200 unsigned": lambda h: (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n" % h["attempt-id"].encode()
        + CHUNKED
        + chunk(event(3))
    ),
    "200 of another request": lambda h: (
        head_of(h | {"attempt-id": "other"}) + CHUNKED + chunk(event(3))
    ),
    "200 cut": lambda h: head_of(h) + CHUNKED + b"40\r\nid: 3\ndata",
    "head in the body": lambda h: (
        head_of(h) + CHUNKED + chunk(b"HTTP/1.1 500 No\r\nX: y\r\n\r\n") + b"0\r\n\r\n"
    ),
    "no answer": lambda h: b"Error: failed\r\n\r\n",
    "closed": lambda h: b"",
    "refused": lambda h: b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
}


class BrokenStreamTest(PlatformTest):
    """A stream breaks off after its first events, and the next server fails."""

    @parameterized.expand(
        [
            (f"{name}, then {later}", name, later)
            for name in FAILURES
            for later in ("the same", "the rest")
        ]
    )
    def test_failure_of_the_next_server_never_becomes_part_of_a_stream(
        self, _name, failure, later
    ):
        """The caller gets events of the stream only: all, or a stream that broke off.

        Later servers fail in the same way, or go on with the stream.
        """
        sends = itertools.count()

        async def answer(server, headers, writer):
            number = next(sends)
            if number == 0:
                first = b"".join(event(n) for n in range(EVENTS_BEFORE_BREAK))
                await server.send(writer, head_of(headers) + CHUNKED + chunk(first))
            elif number == 1 or later == "the same":
                await server.send(writer, FAILURES[failure](headers))
            else:
                begin = int(headers["last-event-id"]) + 1
                rest = b"".join(event(n) for n in range(begin, EVENTS))
                whole = head_of(headers) + CHUNKED + chunk(rest) + b"0\r\n\r\n"
                await server.send(writer, whole)

        async def scenario(fleet):
            for number in range(3):
                await RawServer(f"i-raw{number}", answer).start(fleet)
            data, is_whole = await self.read_stream(fleet)
            self.assertGreater(next(sends), 1)
            expected = b"".join(event(n) for n in range(EVENTS))
            self.assertTrue(expected.startswith(data), data)
            self.assertEqual(data == expected, is_whole)

        self.run_scenario(scenario, daemons=1, servers=0)

    async def read_stream(self, fleet: PlatformFleet) -> tuple[bytes, bool]:
        """Return the body that a caller gets, and whether it is whole."""
        address = fleet.daemons[0].settings.callers
        connection = await open_client(address.host, address.port, 10.0)
        headers = [(b"host", b"a.example"), (b"key", b"k1"), (b"attempt-id", b"a")]
        connection.send(HttpRequest("POST", "/s/1", headers, b"prompt"))
        data = b""
        try:
            head = await connection.read_head()
            self.assertEqual(200, head.status_code)
            async for part in connection.read_body():
                data += part
        except HttpError:
            return data, False
        finally:
            connection.close()
        return data, True
