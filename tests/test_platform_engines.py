"""Checks of servers' responses, with a server that sends scripted bytes."""

import asyncio
import contextlib
import errno
import itertools
import socket
import struct

from parameterized import parameterized

from apricotquay.ids import EndpointId, TeamId
from apricotquay.platform import engines as engines_module
from apricotquay.platform.engines import ServerClient
from apricotquay.serving.batch.itemattempts import _read_output
from apricotquay.serving.batch.itemprogress import ItemProgress
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.engine import (
    AttemptFailedError,
    EngineCall,
    Reachability,
    RequestNotRunError,
)
from apricotquay.serving.http import httpclient as httpclient_module
from apricotquay.serving.http.bodybudget import BodyBudget
from apricotquay.serving.online import attempts as attempts_module

from .base import ApricotTest

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: s\r\n"
# More than fit into the queue of a listener with the shortest one.
QUEUED_CONNECTIONS = 8
NOT_RUN, FAILED, COMPLETE = "not run", "failed", "complete"


def response(head: bytes = HEAD, extra: bytes = b"Content-Length: 2\r\n", body=b"ok"):
    """Return the bytes of a response."""
    return head + extra + b"\r\n" + body


class ServerClientTest(ApricotTest):
    """A call to a server that sends a scripted response."""

    def call(self, **changes) -> EngineCall:
        """Return a call with the given fields changed."""
        fields = {
            "request_id": "a1",
            "method": "POST",
            "target": "/x/%2F?q=1",
            "headers": [
                (b"host", b"h.example"),
                (b"key", b"secret"),
                (b"tenant", b"forged"),
                (b"connection", b"x-hop"),
                (b"x-hop", b"1"),
                (b"model", b"m"),
                (b"deadline-ms", b"99999"),
            ],
            "body": b"body",
            "team": TeamId("team"),
            "timeout_ms": 1234,
        }
        return EngineCall(**(fields | changes))

    @parameterized.expand(
        [
            ("length", b"Content-Length: 2\r\n", b"ok", False),
            ("chunks", b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n", False),
            ("neither", b"", b"ok", True),
        ]
    )
    def test_response_without_length_and_chunks_ends_with_its_connection(
        self, _name, extra, body, expected
    ):
        """The end of the server's process would look like its end."""

        async def serve(reader, writer) -> None:
            await reader.read(65_536)
            writer.write(response(extra=extra, body=body))
            writer.close()

        async def run() -> bool:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint(EndpointId("i"), ServiceName("s"), "127.0.0.1", port)
            answer = await ServerClient().send(self.call(), endpoint)
            answer.close()
            server.close()
            return answer.ends_with_connection

        self.assertEqual(expected, asyncio.run(run()))

    def send_call(self, script: bytes, call: EngineCall) -> tuple[str, bytes, bytes]:
        """Return how the call ended, the body, and what the server received."""
        received = bytearray()

        async def serve(reader, writer) -> None:
            received.extend(await reader.read(65_536))
            writer.write(script)
            await writer.drain()
            writer.close()

        async def run() -> tuple[str, bytes]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint(
                EndpointId("i-1"), ServiceName("llm"), "127.0.0.1", port
            )
            try:
                result = await ServerClient().send(call, endpoint)
                return COMPLETE, b"".join([part async for part in result.body()])
            except RequestNotRunError:
                return NOT_RUN, b""
            except AttemptFailedError:
                return FAILED, b""
            finally:
                server.close()

        outcome, body = asyncio.run(run())
        return outcome, body, bytes(received)

    @parameterized.expand(
        [
            ("valid", response(), COMPLETE),
            (
                "chunked",
                response(
                    extra=b"Transfer-Encoding: chunked\r\n",
                    body=b"2\r\nok\r\n0\r\n\r\n",
                ),
                COMPLETE,
            ),
            ("delimited by close", response(extra=b"Connection: close\r\n"), COMPLETE),
            ("extra bytes after the response", response() + response(), COMPLETE),
            ("truncated", response(body=b"o"), FAILED),
            (
                "truncated chunks",
                response(extra=b"Transfer-Encoding: chunked\r\n", body=b"2\r\nok\r\n"),
                FAILED,
            ),
            ("no response", b"", FAILED),
            ("not HTTP", b"\x00\x01garbage\r\n\r\n", FAILED),
            (
                "response to another request",
                response(HEAD.replace(b"a1", b"b2")),
                FAILED,
            ),
            ("without an id", response(HEAD.replace(b"Attempt-Id", b"X")), FAILED),
            (
                "without a signature",
                response(HEAD.replace(b"Response-Stamp", b"X")),
                FAILED,
            ),
            (
                "encoded",
                response(extra=b"Content-Encoding: gzip\r\nContent-Length: 2\r\n"),
                FAILED,
            ),
            (
                "refused",
                b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                NOT_RUN,
            ),
            (
                "another server",
                b"HTTP/1.1 421 No\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n",
                NOT_RUN,
            ),
            (
                "refused, with the call's id",
                b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nAttempt-Id: a1\r\n\r\n",
                NOT_RUN,
            ),
            (
                "refusal of another request",
                b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nAttempt-Id: b2\r\n\r\n",
                FAILED,
            ),
            (
                "refusal of another request before the response",
                b"HTTP/1.1 429 No\r\nNot-Run: 1\r\nAttempt-Id: b2\r\n"
                b"Content-Length: 0\r\n\r\n" + response(),
                FAILED,
            ),
            (
                "refusal with two ids",
                b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nAttempt-Id: a1\r\n"
                b"Attempt-Id: b2\r\n\r\n",
                FAILED,
            ),
            (
                "another server, to another request",
                b"HTTP/1.1 421 No\r\nInstance: i-2\r\nAttempt-Id: b2\r\n\r\n",
                FAILED,
            ),
            (
                "failed without a not-run header",
                b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                FAILED,
            ),
        ]
    )
    def test_response_is_accepted_only_if_complete_and_of_the_call(
        self, _name, script, outcome
    ):
        """A call counts as not run only if the server says so."""
        self.assertEqual(outcome, self.send_call(script, self.call())[0])

    def test_error_response_is_forwarded_unchanged(self):
        """The caller gets its status and body."""
        head = HEAD.replace(b"200 OK", b"500 Error")
        self.assertEqual(
            (COMPLETE, b"ok"), self.send_call(response(head), self.call())[:2]
        )

    def test_request_is_forwarded_without_the_key(self):
        """Callers cannot set reserved headers; the target and the rest stay as sent."""
        received = self.send_call(response(), self.call())[2].lower()
        self.assertIn(b"post /x/%2f?q=1 http/1.1\r\n", received)
        for line in (
            b"host: h.example",
            b"model: m",
            b"attempt-id: a1",
            b"expect-instance: i-1",
            b"tenant: team",
            b"deadline-ms: 1234",
            b"content-length: 4",
        ):
            self.assertIn(line + b"\r\n", received)
        for word in (b"secret", b"forged", b"x-hop", b"99999", b"last-event-id"):
            self.assertNotIn(word, received)

    def test_public_request_has_no_team_header(self):
        """A team header of the caller is dropped."""
        received = self.send_call(response(), self.call(team=None))[2].lower()
        self.assertNotIn(b"tenant", received)

    def test_resumed_request_has_the_last_event_id(self):
        """The id of the call replaces the one in the caller's header."""
        call = self.call(
            resume_after=7, headers=[(b"host", b"h"), (b"last-event-id", b"3")]
        )
        received = self.send_call(response(), call)[2].lower()
        self.assertIn(b"last-event-id: 7\r\n", received)
        self.assertNotIn(b"last-event-id: 3\r\n", received)

    @parameterized.expand([("127.0.0.1", 99_999), ("a..b", 80), ("x" * 70, 80)])
    def test_address_that_cannot_be_used_counts_as_not_run(self, host, port):
        """An entry of another writer must not fail requests that others can run."""
        endpoint = Endpoint(EndpointId("i-1"), ServiceName("llm"), host, port)
        with self.assertRaises(RequestNotRunError) as caught:
            asyncio.run(ServerClient().send(self.call(), endpoint))
        self.assertTrue(caught.exception.unreachable)

    def test_refused_connection_counts_as_not_run(self):
        """The endpoint is reported as unreachable."""

        async def run() -> None:
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            endpoint = Endpoint(
                EndpointId("i-1"), ServiceName("llm"), "127.0.0.1", port
            )
            try:
                await ServerClient().send(self.call(), endpoint)
            except RequestNotRunError as exc:
                self.assertTrue(exc.unreachable)
            else:
                self.fail("a refused connection must raise")
            reachability = await ServerClient().probe(endpoint)
            self.assertIs(Reachability.REFUSED, reachability)

        asyncio.run(run())

    @parameterized.expand([("stated", b"7,1,8,250"), ("absurd", b"x,1,8")])
    def test_load_is_not_forwarded_to_callers(self, _name, value):
        """Neither one that is read nor one that is ignored."""

        async def serve(reader, writer) -> None:
            await reader.read(65_536)
            extra = b"Server-Load: %s\r\nContent-Length: 2\r\n" % value
            writer.write(response(extra=extra))
            writer.close()

        async def run():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint(EndpointId("i"), ServiceName("s"), "127.0.0.1", port)
            answer = await ServerClient().send(self.call(), endpoint)
            answer.close()
            server.close()
            return answer

        answer = asyncio.run(run())
        self.assertNotIn(b"server-load", [name for name, _ in answer.headers])
        self.assertEqual(value == b"x,1,8", bool(answer.load.malformed))
        self.assertEqual(250.0 * (value != b"x,1,8"), answer.load.time_percent)

    @parameterized.expand(
        [
            ("full", b"8,0,8", False),
            ("queue", b"6,2,8", False),
            ("not full", b"7,0,8", True),
            ("absurd", b"8,8,0", True),
        ]
    )
    def test_refusal_of_a_full_endpoint_is_no_failure_of_it(
        self, _name, value, is_failure
    ):
        """It would be ejected for what its callers sent."""
        refusal = b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nServer-Load: %s\r\n\r\n" % value

        async def serve(reader, writer) -> None:
            await reader.read(65_536)
            writer.write(refusal)
            writer.close()

        async def run() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint(EndpointId("i"), ServiceName("s"), "127.0.0.1", port)
            try:
                await ServerClient().send(self.call(), endpoint)
            finally:
                server.close()

        with self.assertRaises(RequestNotRunError) as caught:
            asyncio.run(run())
        self.assertTrue(caught.exception.is_refusal)
        self.assertEqual(is_failure, caught.exception.is_failure)

    def test_silent_endpoint_is_not_taken_for_a_crashed_one(self):
        """Its full queue of connections lets a new one time out."""
        with contextlib.ExitStack() as sockets:
            listener = sockets.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(QUEUED_CONNECTIONS):
                queued = sockets.enter_context(socket.socket())
                queued.setblocking(False)
                queued.connect_ex(listener.getsockname())
            endpoint = Endpoint(
                EndpointId("i-1"), ServiceName("llm"), *listener.getsockname()
            )
            reachability = asyncio.run(ServerClient().probe(endpoint))
            self.assertIs(Reachability.SILENT, reachability)

    def test_crash_is_seen_by_a_daemon_that_notices_the_refusal_late(self):
        """Sending a request there would have timed out."""
        open_connection = httpclient_module.open_connection

        async def open_late(*args):
            await asyncio.sleep(engines_module.CONNECT_TIMEOUT_S + 0.05)
            return await open_connection(*args)

        self.patch(httpclient_module, "open_connection", open_late)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            endpoint = Endpoint(
                EndpointId("i-1"), ServiceName("llm"), *unused.getsockname()
            )
            reachability = asyncio.run(ServerClient().probe(endpoint))
            self.assertIs(Reachability.REFUSED, reachability)

    @parameterized.expand(
        [
            ("no route to the host", errno.EHOSTUNREACH),
            ("no route to the network", errno.ENETUNREACH),
            ("no file left here", errno.EMFILE),
        ]
    )
    def test_endpoint_behind_a_cut_link_is_not_taken_for_a_crashed_one(self, _, code):
        """Only a refused connection tells that nothing listens there."""

        async def fail(*_):
            raise OSError(code, "cut")

        self.patch(httpclient_module, "open_connection", fail)
        endpoint = Endpoint(EndpointId("i-1"), ServiceName("llm"), "127.0.0.1", 9)
        reachability = asyncio.run(ServerClient().probe(endpoint))
        self.assertIs(Reachability.SILENT, reachability)


STREAM_HEAD = response(extra=b"Transfer-Encoding: chunked\r\n", body=b"")
CLOSED_HEAD = response(extra=b"Connection: close\r\n", body=b"")
LONG_HEAD = response(extra=b"Content-Length: 99999999999\r\n", body=b"")
CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"
JUNK_EVENT_CHUNK = b"6\r\nxyz:\n\n\r\n"
JUNK_EVENT = b"data: x\n\n"
# The server stops here and keeps the connection open, so that a test ends.
MAX_SENT_BYTES = 64 * 1024 * 1024
# More than the code reads of any response, with the sockets' buffers.
MAX_READ_BYTES = 32 * 1024 * 1024
TIMEOUT_S = 20.0


async def read_whole(answer) -> None:
    """Read a response that is not a stream."""
    await attempts_module.read_body(answer, BodyBudget().reserve())


async def read_stream(answer) -> None:
    """Read a stream of events as online requests do."""
    async for _ in attempts_module.read_events(answer, None, None):
        pass


async def read_item(answer) -> None:
    """Read the output of a batch item."""
    await _read_output(answer, ItemProgress(None), "v1")


def number_events():
    """Yield the events of a stream that never ends."""
    for number in itertools.count():
        yield b"id: %d\ndata: %s\n\n" % (number, b"y" * 4096)


class EndlessResponseTest(ApricotTest):
    """Servers whose bytes come until the caller closes."""

    def setUp(self) -> None:
        """Wait for connections as long as a busy machine needs."""
        super().setUp()
        self.patch(engines_module, "CONNECT_TIMEOUT_S", TIMEOUT_S)

    def read_endless(self, start: bytes, parts, read) -> tuple[str, int]:
        """Return how the call ended and how many bytes the server sent."""
        sent = 0

        async def serve(reader, writer) -> None:
            nonlocal sent
            await reader.read(65_536)
            try:
                for part in itertools.chain((start,), parts):
                    writer.write(part)
                    await writer.drain()
                    sent += len(part)
                    if sent > MAX_SENT_BYTES:
                        await reader.read()
            except OSError:
                writer.close()

        async def run() -> str:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint(
                EndpointId("i-1"), ServiceName("llm"), "127.0.0.1", port
            )
            call = EngineCall("a1", "POST", "/x", [(b"host", b"h")], b"", None, 1000)
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    answer = await ServerClient().send(call, endpoint)
                    try:
                        await read(answer)
                    finally:
                        answer.close()
                return COMPLETE
            except AttemptFailedError:
                return FAILED
            finally:
                server.close()

        return asyncio.run(run()), sent

    @parameterized.expand(
        [
            ("status line", b"", b"x" * 4096, read_whole),
            ("header", HEAD + b"X: ", b"y" * 4096, read_whole),
            ("header lines", HEAD, b"X: y\r\n" * 500, read_whole),
            ("interim responses", b"", b"HTTP/1.1 102 P\r\n\r\n", read_whole),
            ("body until close", CLOSED_HEAD, b"y" * 4096, read_whole),
            ("body of a great length", LONG_HEAD, b"y" * 4096, read_whole),
            ("body in chunks", STREAM_HEAD, CHUNK, read_whole),
            ("chunk header", STREAM_HEAD, b"0" * 4096, read_whole),
            ("trailers", STREAM_HEAD + b"0\r\n", b"X: y\r\n" * 500, read_whole),
            ("stream without events", STREAM_HEAD, CHUNK, read_stream),
            ("stream until close", CLOSED_HEAD, b"y" * 4096, read_stream),
            ("events without ids", STREAM_HEAD, JUNK_EVENT_CHUNK, read_stream),
            ("item without events", STREAM_HEAD, CHUNK, read_item),
            ("item of events without ids", CLOSED_HEAD, JUNK_EVENT, read_item),
        ]
    )
    def test_bytes_without_end_are_cut_off(self, _name, start, part, read):
        """Memory stays bounded, and the attempt ends before its timeout."""
        outcome, sent = self.read_endless(start, itertools.repeat(part), read)
        self.assertEqual(FAILED, outcome)
        self.assertLess(sent, MAX_READ_BYTES)

    def test_item_whose_events_never_end_is_cut_off(self):
        """What came is dropped, so that the next attempt begins anew."""
        progress = ItemProgress(None)

        async def read(answer) -> None:
            await _read_output(answer, progress, "v1")

        outcome, sent = self.read_endless(CLOSED_HEAD, number_events(), read)
        self.assertEqual((FAILED, []), (outcome, progress.data))
        self.assertLess(sent, MAX_READ_BYTES)


class CutItemTest(ApricotTest):
    """Batch items whose answers have neither a length nor chunks."""

    def setUp(self) -> None:
        """Wait for connections as long as a busy machine needs."""
        super().setUp()
        self.patch(engines_module, "CONNECT_TIMEOUT_S", TIMEOUT_S)

    def read_item(self, script: bytes, resets: bool, resume_after: int | None):
        """Return how the attempt ended and the events that were kept."""

        async def serve(reader, writer) -> None:
            await reader.read(65_536)
            writer.write(script)
            await writer.drain()
            # The client reads the script before the end.
            await asyncio.sleep(0.05)
            if resets:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        async def run():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint(
                EndpointId("i-1"), ServiceName("llm"), "127.0.0.1", port
            )
            headers = [(b"host", b"h")]
            call = EngineCall(
                "a1", "POST", "/x", headers, b"", None, 1000, resume_after
            )
            progress = ItemProgress(None)
            try:
                answer = await ServerClient().send(call, endpoint)
                await _read_output(answer, progress, "v1")
                return COMPLETE, len(progress.data)
            except AttemptFailedError:
                return FAILED, len(progress.data)
            finally:
                server.close()

        return asyncio.run(run())

    @parameterized.expand(
        [
            ("complete", [0, 1], b"", False, None, (COMPLETE, 2)),
            ("reset between events", [0, 1], b"", True, None, (FAILED, 2)),
            ("cut within an event", [0, 1], b"id: 2\nda", False, None, (FAILED, 2)),
            ("reset within an event", [0, 1], b"id: 2\nda", True, None, (FAILED, 2)),
            ("closed after its head", [], b"", False, None, (FAILED, 0)),
            ("resumed after its last event", [], b"", False, 7, (COMPLETE, 0)),
        ]
    )
    def test_cut_item_is_not_done(self, _name, events, rest, resets, after, expected):
        """The next attempt goes on after the events that came."""
        script = CLOSED_HEAD + b"".join(b"id: %d\ndata: x\n\n" % n for n in events)
        self.assertEqual(expected, self.read_item(script + rest, resets, after))
