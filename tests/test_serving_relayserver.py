"""The side of a relay that makes attempts, with an endpoint in memory."""

import asyncio

import msgspec

from apricotquay.clocks import SystemClock
from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.engine import NO_LIMIT, NO_LOAD
from apricotquay.serving.fleet.evacuations import EvacuationRecord, Evacuations
from apricotquay.serving.fleet.keyedlog import KeyedRecord
from apricotquay.serving.fleet.relayclient import WINDOW_BYTES
from apricotquay.serving.fleet.relayserver import MAX_CHUNK_BYTES, RelayServer
from apricotquay.serving.messages import (
    CancelRelay,
    RelayCall,
    RelayCredit,
    RelayedData,
    RelayedEnd,
    RelayedFailure,
)
from apricotquay.serving.metrics import ServingMetrics

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

PART = b"x" * 10_000
PARTS = 200
ENDPOINT = Endpoint("i-1", "llm", "127.0.0.1", 1, "z", started_ms=7)
CALL = RelayCall(1, "i-1", 7, "a", "POST", "/s/1", [], b"", None, 5000, None)


class LargeResponse:
    """A response of many parts."""

    status = 200
    headers: list = []
    ends_with_connection = False
    limit = NO_LIMIT
    load = NO_LOAD
    is_leaving = False

    def __init__(self) -> None:
        self.parts_read: int = 0
        self.is_closed: bool = False

    async def body(self):
        """Yield the parts."""
        for _ in range(PARTS):
            self.parts_read += 1
            yield PART
            await asyncio.sleep(0)

    def close(self) -> None:
        """Record the end of the connection."""
        self.is_closed = True


class LargeEngines:
    """Every call gets the same response."""

    def __init__(self) -> None:
        self.response = LargeResponse()

    async def send_directly(self, _call, _endpoint) -> LargeResponse:
        """Return the response."""
        return self.response

    def is_out_of_reach(self, _endpoint) -> bool:
        """All endpoints are reached."""
        return False


class ListedView:
    """A view that lists one endpoint."""

    def __init__(self) -> None:
        self.endpoints = {"i-1": ENDPOINT}
        self.evacuations = Evacuations()


class RecordingConnection:
    """A peer's connection that keeps what is sent."""

    def __init__(self) -> None:
        self.on_close: list = []
        self.sent: list = []

    def send(self, message) -> None:
        """Keep a message."""
        self.sent.append(message)

    @property
    def data_size(self) -> int:
        """Bytes of the body that were sent."""
        return sum(len(m.data) for m in self.sent if isinstance(m, RelayedData))


class RelayServerTest(ApricotTest):
    """Bounds of an attempt for a peer."""

    def run_scenario(self, scenario) -> None:
        """Run a scenario with a server that got a call."""
        self.view = ListedView()

        async def run() -> None:
            engines = LargeEngines()
            server = RelayServer(
                engines,
                self.view,
                ServingMetrics(),
                SystemClock(),
                quiet_reporter(),
            )
            connection = RecordingConnection()
            server.handle_message(connection, CALL)
            await settle()
            await scenario(server, connection, engines.response)

        asyncio.run(run())

    def test_peer_that_consumes_nothing_gets_a_bounded_part(self):
        """And no more is read from the endpoint, so that memory is bounded."""

        async def scenario(server, connection, response):
            self.assertLess(connection.data_size, WINDOW_BYTES + MAX_CHUNK_BYTES)
            read_size = response.parts_read * len(PART)
            self.assertLess(read_size, WINDOW_BYTES + 2 * MAX_CHUNK_BYTES)
            for _ in range(PARTS):
                server.handle_message(connection, RelayCredit(1, len(PART)))
                await settle()
            self.assertEqual(PARTS * len(PART), connection.data_size)
            self.assertIsInstance(connection.sent[-1], RelayedEnd)

        self.run_scenario(scenario)

    def test_attempt_ends_with_the_connection_of_its_peer(self):
        """Nobody would cancel it later."""

        async def scenario(server, connection, response):
            for callback in connection.on_close:
                callback()
            await settle()
            self.assertTrue(response.is_closed)
            self.assertEqual(0, server.busy_count)

        self.run_scenario(scenario)

    def test_cancelled_attempt_closes_its_connection(self):
        """The endpoint then stops its work."""

        async def scenario(server, connection, response):
            server.handle_message(connection, CancelRelay(1))
            await settle()
            self.assertTrue(response.is_closed)
            self.assertEqual(0, server.busy_count)

        self.run_scenario(scenario)

    def test_call_to_an_evacuated_endpoint_does_not_run(self):
        """The peer that sent it may be cut off from the store and not know."""

        async def scenario(server, connection, _response):
            record = KeyedRecord(b"evacuate/z", b"{}", 1)
            self.view.evacuations.apply(EvacuationRecord("z", True), record)
            served_count = server.served_count
            server.handle_message(connection, msgspec.structs.replace(CALL, number=2))
            failure = connection.sent[-1]
            self.assertIsInstance(failure, RelayedFailure)
            self.assertEqual((2, False), (failure.number, failure.may_have_run))
            self.assertEqual(served_count, server.served_count)

        self.run_scenario(scenario)

    def test_call_to_another_start_of_the_endpoint_does_not_run(self):
        """Its version may be another than that of the start which was meant."""

        async def scenario(server, connection, _response):
            other = RelayCall(
                2, "i-1", 8, "b", "POST", "/s/1", [], b"", None, 5000, None
            )
            server.handle_message(connection, other)
            failure = connection.sent[-1]
            self.assertIsInstance(failure, RelayedFailure)
            self.assertEqual((2, False), (failure.number, failure.may_have_run))

        self.run_scenario(scenario)


async def settle() -> None:
    """Let all tasks go on until they wait."""
    for _ in range(2 * PARTS):
        await asyncio.sleep(0)
