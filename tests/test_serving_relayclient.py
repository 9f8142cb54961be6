"""Messages of peers about relayed attempts, and such as belong to another attempt."""

import asyncio

import msgspec
from parameterized import parameterized

from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.engine import (
    NO_LOAD,
    AttemptFailedError,
    EndpointLoad,
    EngineCall,
    RequestNotRunError,
)
from apricotquay.serving.fleet.relayclient import RelayClient, RelayOutsideError
from apricotquay.serving.fleet.relayserver import _not_run_failure
from apricotquay.serving.messages import (
    RelayedData,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    decode_frame,
    encode_frame,
)

from .base import ApricotTest
from .test_serving_relayserver import RecordingConnection, settle

ENDPOINT = Endpoint("i-1", "llm", "127.0.0.1", 1)
LOAD = EndpointLoad(8, 1, 8, 250.0)
CALL = EngineCall("a", "POST", "/s/1", [], b"", None, 5000)


class OpenConnection(RecordingConnection):
    """A connection to a peer that relays."""

    is_open = True

    def supports(self, _feature) -> bool:
        """The peer understands all features."""
        return True


class OnePeer:
    """Peers of which one is connected."""

    def __init__(self) -> None:
        self.connection = OpenConnection()

    async def connect(self, _address: str) -> OpenConnection:
        """Return the connection."""
        return self.connection


def refusal(number: int) -> RelayedFailure:
    """Return the message that a request has not run."""
    return RelayedFailure(number, "refused", may_have_run=False)


class RelayRegionTest(ApricotTest):
    """Peers that a request for some regions may pass through."""

    @parameterized.expand(
        [
            ("no restriction", (), "south", True),
            ("allowed region", ("north",), "north", True),
            ("this VM's own region", ("north",), "home", True),
            ("another region", ("north",), "south", False),
            ("peer of the previous release", ("north",), "", False),
        ]
    )
    def test_region_of_the_peer(self, _name, regions, region, is_sent):
        """The body must not reach a daemon elsewhere, not even to be refused there."""

        async def run() -> None:
            peers = OnePeer()
            peers.region = "home"
            peers.connection.region = region
            client = RelayClient(peers, list)
            call = msgspec.structs.replace(CALL, regions=frozenset(regions))
            sending = asyncio.ensure_future(client.send("p", call, ENDPOINT))
            await settle()
            self.assertEqual(is_sent, bool(peers.connection.sent))
            if not is_sent:
                self.assertIsInstance(sending.exception(), RelayOutsideError)
            sending.cancel()

        asyncio.run(run())


class RelayClientTest(ApricotTest):
    """An answer counts only for the request that it names."""

    def run_scenario(self, scenario) -> None:
        """Run a scenario with an attempt that a peer makes."""

        async def run() -> None:
            peers = OnePeer()
            client = RelayClient(peers, list)
            sending = asyncio.ensure_future(client.send("p", CALL, ENDPOINT))
            await settle()
            number = peers.connection.sent[0].number
            await scenario(client, peers.connection, number, sending)
            self.assertEqual(0, client.running["p"])

        asyncio.run(run())

    @parameterized.expand(
        [
            ("another attempt", 1, False),
            ("an attempt before", -1, False),
            ("another peer", 0, True),
        ]
    )
    def test_refusal_of_another_request_does_not_end_an_attempt(
        self, _name, difference, is_from_other_peer
    ):
        """The caller would be told that a request has not run which a server runs."""

        async def scenario(client, connection, number, sending):
            sender = OpenConnection() if is_from_other_peer else connection
            client.handle_message(sender, refusal(number + difference))
            await settle()
            self.assertFalse(sending.done())
            head = RelayedHead(number, 200, [], False, None, "", False)
            client.handle_message(connection, head)
            client.handle_message(connection, RelayedData(number, b"ok"))
            client.handle_message(connection, RelayedEnd(number))
            response = await sending
            self.assertEqual(b"ok", b"".join([part async for part in response.body()]))
            response.close()

        self.run_scenario(scenario)

    def test_refusal_after_the_head_is_no_complete_response(self):
        """It may have run."""

        async def scenario(client, connection, number, sending):
            head = RelayedHead(number, 200, [], False, None, "", False)
            client.handle_message(connection, head)
            response = await sending
            client.handle_message(connection, refusal(number))
            with self.assertRaises(AttemptFailedError):
                async for _ in response.body():
                    pass
            response.close()

        self.run_scenario(scenario)

    @parameterized.expand([("stated", LOAD, LOAD), ("earlier release", None, NO_LOAD)])
    def test_load_of_a_relayed_answer_is_not_lost(self, _name, told, expected):
        """A relay of the previous release leaves it out."""

        async def scenario(client, connection, number, sending):
            head = RelayedHead(number, 200, [], False, None, "", False, told)
            client.handle_message(connection, decode_frame(encode_frame(0, head))[1])
            response = await sending
            self.assertEqual(expected, response.load)
            response.close()

        self.run_scenario(scenario)

    def test_load_of_a_relayed_refusal_is_not_lost(self):
        """The endpoint is full; it must not count as failed."""

        async def scenario(client, connection, number, sending):
            error = RequestNotRunError("full", load=LOAD, is_refusal=True)
            failure = _not_run_failure(number, error)
            client.handle_message(connection, decode_frame(encode_frame(0, failure))[1])
            with self.assertRaises(RequestNotRunError) as caught:
                await sending
            self.assertEqual(LOAD, caught.exception.load)
            self.assertTrue(caught.exception.is_refusal)
            self.assertFalse(caught.exception.is_failure)

        self.run_scenario(scenario)

    def test_messages_after_the_end_are_ignored(self):
        """The next attempt has a number of its own."""

        async def scenario(client, connection, number, sending):
            head = RelayedHead(number, 200, [], False, None, "", False)
            client.handle_message(connection, head)
            response = await sending
            response.close()
            client.handle_message(connection, refusal(number))

        self.run_scenario(scenario)
