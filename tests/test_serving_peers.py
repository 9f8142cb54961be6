"""Connections between daemons: calls, timeouts, and failures."""

import asyncio
import time

import cbor2
from parameterized import parameterized
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import JobId, TeamId
from apricotquay.serving.fleet import peers as peers_module
from apricotquay.serving.fleet.peers import PeerConnection, Peers
from apricotquay.serving.messages import ItemBody, ReadBody, encode_frame

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

CALL = ReadBody(TeamId("t"), JobId("j"), "i")


class PeersTest(ApricotTest):
    """Two daemons on loopback; each test provides the second one's handler."""

    def run_scenario(self, handle, scenario) -> None:
        """Run a scenario with a caller and a peer's address."""

        async def no_answer(_connection, _message):
            return None

        async def run() -> None:
            peer = Peers(handle, quiet_reporter())
            caller = Peers(no_answer, quiet_reporter())
            port = await peer.start("127.0.0.1", 0)
            try:
                async with asyncio.timeout(20):
                    await scenario(caller, f"127.0.0.1:{port}")
            finally:
                await caller.close()
                await peer.close()

        asyncio.run(run())

    def test_call_gets_its_own_reply(self):
        """The replies may arrive out of order."""

        async def handle(_connection, message):
            await asyncio.sleep(0.05 if message.item == "slow" else 0.0)
            return ItemBody(True, message.item.encode())

        async def scenario(caller, address):
            calls = [
                caller.call(address, ReadBody(TeamId("t"), JobId("j"), item), 5.0)
                for item in ("slow", "quick")
            ]
            replies = await asyncio.gather(*calls)
            self.assertEqual([b"slow", b"quick"], [reply.body for reply in replies])

        self.run_scenario(handle, scenario)

    def test_refused_connection_did_not_send_the_call(self):
        """The caller may then safely process the call itself."""

        async def scenario(caller, _address):
            with self.assertRaises(PeerUnavailableError) as caught:
                await caller.call("127.0.0.1:1", CALL, 1.0)
            self.assertFalse(caught.exception.sent)
            self.assertTrue(caught.exception.refused)

        self.run_scenario(lambda *_: None, scenario)

    @parameterized.expand(
        [
            ("nothing", b""),
            ("no frame", b"hello"),
            ("text", "text"),
            ("cut", encode_frame(1, CALL)[:-3]),
            ("no number", cbor2.dumps(["x", {"type": "call_job"}])),
            ("number of no kind", cbor2.dumps([None, {"type": "read_body"}])),
            ("unknown message", cbor2.dumps([1, {"type": "none"}])),
            ("missing fields", cbor2.dumps([1, {"type": "read_body"}])),
            (
                "wrong types",
                cbor2.dumps(
                    [1, {"type": "read_body", "team": 1, "job": [], "item": 2}]
                ),
            ),
            ("one value", cbor2.dumps(7)),
            ("three values", cbor2.dumps([1, 2, 3])),
            ("deep", b"\x81" * 20_000),
            ("huge length", b"\x9b" + b"\xff" * 8),
            ("unknown tag", b"\xda\xff\xff\xff\xff\x00"),
        ]
    )
    def test_malformed_frame_ends_its_connection_only(self, _name, frame):
        """The daemon goes on, and the next connection works."""

        async def handle(_connection, message):
            return ItemBody(True, message.item.encode())

        async def scenario(caller, address):
            async with connect(f"ws://{address}/", proxy=None) as socket:
                await socket.send(frame)
                with self.assertRaises(ConnectionClosed):
                    while True:
                        await socket.recv()
            reply = await caller.call(address, CALL, 5.0)
            self.assertEqual(b"i", reply.body)

        self.run_scenario(handle, scenario)

    def test_unexpected_error_of_a_handler_leaves_the_connection_working(self):
        """The call gets no reply: it may have had effects."""

        async def handle(_connection, message):
            if message.item == "i":
                raise KeyError("unexpected")
            return ItemBody(True, b"")

        async def scenario(caller, address):
            connection = await caller.connect(address)
            with self.assertRaises(PeerUnavailableError) as caught:
                await caller.call(address, CALL, 0.1)
            self.assertTrue(caught.exception.sent)
            await connection.call(ReadBody(TeamId("t"), JobId("j"), "other"), 5.0)

        self.run_scenario(handle, scenario)

    def test_call_timeout_keeps_a_live_connection_open(self):
        """Other calls may use it; the timed-out call may have been processed."""

        async def handle(_connection, message):
            await asyncio.sleep(30.0 if message.item == "i" else 0.0)
            return ItemBody(True, b"")

        async def scenario(caller, address):
            connection = await caller.connect(address)
            with self.assertRaises(PeerUnavailableError) as caught:
                await caller.call(address, CALL, 0.1)
            self.assertTrue(caught.exception.sent)
            self.assertTrue(connection.is_open)

        self.run_scenario(handle, scenario)

    def test_call_timeout_keeps_a_connection_that_was_idle_open(self):
        """A peer that was asked nothing had nothing to send."""

        async def handle(_connection, message):
            await asyncio.sleep(30.0 if message.item == "i" else 0.0)
            return ItemBody(True, b"")

        async def scenario(caller, address):
            connection = await caller.connect(address)
            await asyncio.sleep(1.5 * peers_module.SILENCE_TIMEOUT_S)
            with self.assertRaises(PeerUnavailableError):
                await caller.call(address, CALL, 0.1)
            self.assertTrue(connection.is_open)

        self.run_scenario(handle, scenario)

    def test_connection_that_answers_no_call_in_a_row_is_closed(self):
        """Each call alone times out sooner than a connection counts as dead."""

        async def handle(_connection, _message):
            await asyncio.sleep(30.0)

        async def scenario(caller, address):
            connection = await caller.connect(address)
            for _ in range(2):
                self.assertTrue(connection.is_open)
                with self.assertRaises(PeerUnavailableError):
                    await caller.call(address, CALL, 0.3)
            self.assertFalse(connection.is_open)

        self.patch(peers_module, "SILENCE_TIMEOUT_S", 0.4)
        self.patch(peers_module, "RECONNECT_DELAY_S", 0.0)
        self.run_scenario(handle, scenario)

    def test_unresponsive_connection_is_closed_and_replaced(self):
        """An open connection may stop delivering data while new ones work."""

        async def handle(_connection, message):
            if message.item == "i":
                await asyncio.sleep(30.0)
            return ItemBody(True, b"")

        async def scenario(caller, address):
            connection = await caller.connect(address)
            with self.assertRaises(PeerUnavailableError):
                await caller.call(address, CALL, 0.2)
            self.assertFalse(connection.is_open)
            other = ReadBody(TeamId("t"), JobId("j"), "other")
            self.assertEqual(
                ItemBody(True, b""), await caller.call(address, other, 5.0)
            )

        self.patch(peers_module, "SILENCE_TIMEOUT_S", 0.1)
        self.patch(peers_module, "RECONNECT_DELAY_S", 0.0)
        self.run_scenario(handle, scenario)


class SilentSocket:
    """A connection on which nothing comes; a test hands over the frames."""

    def __init__(self) -> None:
        self.transport = self
        self.is_aborted = False

    async def send(self, _data: bytes) -> None:
        """Drop a frame."""

    def abort(self) -> None:
        """Note that the connection was closed."""
        self.is_aborted = True


class LateLoopTest(ApricotTest):
    """A loop that was busy and handles a reply and its call's timeout in one round."""

    def test_reply_that_arrives_with_the_timeout_is_used(self):
        """The peer answered in time; only this daemon was late."""

        async def run() -> None:
            connection = PeerConnection(SilentSocket(), None, quiet_reporter())
            call = asyncio.ensure_future(connection.call(CALL, 0.05))
            await asyncio.sleep(0.01)
            frame = encode_frame(-1, ItemBody(True, b"x"))
            asyncio.get_running_loop().call_soon(connection._handle_frame, frame)
            time.sleep(0.1)
            self.assertEqual(ItemBody(True, b"x"), await call)

        asyncio.run(run())
