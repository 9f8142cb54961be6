"""Messages of peers about relayed attempts, and such as belong to another attempt."""

import asyncio

import msgspec
from parameterized import parameterized

from apricotquay.serving.endpoints import Endpoint
from apricotquay.serving.engine import AttemptFailedError, EngineCall
from apricotquay.serving.fleet.relayclient import RelayClient, RelayOutsideError
from apricotquay.serving.messages import (
    RelayedData,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
)

from .base import ApricotTest
from .test_serving_relayserver import RecordingConnection, settle

ENDPOINT = Endpoint("i-1", "llm", "127.0.0.1", 1)
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

    def test_messages_after_the_end_are_ignored(self):
        """The next attempt has a number of its own."""

        async def scenario(client, connection, number, sending):
            head = RelayedHead(number, 200, [], False, None, "", False)
            client.handle_message(connection, head)
            response = await sending
            response.close()
            client.handle_message(connection, refusal(number))

        self.run_scenario(scenario)
