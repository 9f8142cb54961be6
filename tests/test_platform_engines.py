"""The checks on servers' answers: each fault seen from a scripted server."""

import asyncio

from parameterized import parameterized

from apricotquay.ids import EndpointId, TeamId
from apricotquay.platform.engines import ServerClient
from apricotquay.serving.catalog import ServiceName
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.engine import (
    AttemptFailedError,
    EngineCall,
    RequestNotRunError,
)

from .base import ApricotTest

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: s\r\n"
NOT_RUN, BROKEN, WHOLE = "not run", "broken", "whole"


def answer(head: bytes = HEAD, extra: bytes = b"Content-Length: 2\r\n", body=b"ok"):
    """Return the bytes of an answer."""
    return head + extra + b"\r\n" + body


class ServerClientTest(ApricotTest):
    """One call to a server that answers as scripted."""

    def call(self, **changes) -> EngineCall:
        """Return a call."""
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

    def play(self, script: bytes, call: EngineCall) -> tuple[str, bytes, bytes]:
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
                got = await ServerClient().send(call, endpoint)
                return WHOLE, b"".join([part async for part in got.body()])
            except RequestNotRunError:
                return NOT_RUN, b""
            except AttemptFailedError:
                return BROKEN, b""
            finally:
                server.close()

        ending, body = asyncio.run(run())
        return ending, body, bytes(received)

    @parameterized.expand(
        [
            ("sound", answer(), WHOLE),
            (
                "chunked",
                answer(
                    extra=b"Transfer-Encoding: chunked\r\n",
                    body=b"2\r\nok\r\n0\r\n\r\n",
                ),
                WHOLE,
            ),
            ("ended by close", answer(extra=b"Connection: close\r\n"), WHOLE),
            ("extra bytes after it", answer() + answer(), WHOLE),
            ("cut short", answer(body=b"o"), BROKEN),
            (
                "chunks cut short",
                answer(extra=b"Transfer-Encoding: chunked\r\n", body=b"2\r\nok\r\n"),
                BROKEN,
            ),
            ("no answer", b"", BROKEN),
            ("no HTTP", b"\x00\x01garbage\r\n\r\n", BROKEN),
            ("another request's", answer(HEAD.replace(b"a1", b"b2")), BROKEN),
            ("without an id", answer(HEAD.replace(b"Attempt-Id", b"X")), BROKEN),
            (
                "without a signature",
                answer(HEAD.replace(b"Response-Stamp", b"X")),
                BROKEN,
            ),
            (
                "encoded",
                answer(extra=b"Content-Encoding: gzip\r\nContent-Length: 2\r\n"),
                BROKEN,
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
                "failed and says nothing of running",
                b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                BROKEN,
            ),
        ]
    )
    def test_answer_is_taken_only_if_it_is_whole_and_its_own(self, _name, script, end):
        """Only what says so is taken as not run."""
        self.assertEqual(end, self.play(script, self.call())[0])

    def test_failure_of_the_server_keeps_its_status(self):
        """It is passed on as the server gave it."""
        head = HEAD.replace(b"200 OK", b"500 Error")
        self.assertEqual((WHOLE, b"ok"), self.play(answer(head), self.call())[:2])

    def test_server_gets_the_request_and_no_key(self):
        """Target, body and headers as sent; the system's own set by it alone."""
        received = self.play(answer(), self.call())[2].lower()
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

    def test_public_request_names_no_team(self):
        """Whatever its caller sent."""
        received = self.play(answer(), self.call(team=None))[2].lower()
        self.assertNotIn(b"tenant", received)

    def test_resumed_request_names_the_last_event(self):
        """Its own, not the caller's."""
        call = self.call(
            resume_after=7, headers=[(b"host", b"h"), (b"last-event-id", b"3")]
        )
        received = self.play(answer(), call)[2].lower()
        self.assertIn(b"last-event-id: 7\r\n", received)
        self.assertNotIn(b"last-event-id: 3\r\n", received)

    def test_refused_connection_has_not_run(self):
        """And shows that the endpoint is dead."""

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
            self.assertTrue(await ServerClient().refuses_connections(endpoint))

        asyncio.run(run())
