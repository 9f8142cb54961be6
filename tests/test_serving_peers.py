"""Links between daemons: calls, silence, and ends."""

import asyncio

from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import JobId, TeamId
from apricotquay.serving import peers as peers_module
from apricotquay.serving.messages import ItemBody, ReadBody
from apricotquay.serving.peers import Peers

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

CALL = ReadBody(TeamId("t"), JobId("j"), "i")


class PeersTest(ApricotTest):
    """Two daemons on loopback; the second answers as the test says."""

    def play(self, answer, scenario) -> None:
        """Run a scenario with a caller and the address of a peer."""

        async def no_answer(_link, _message):
            return None

        async def run() -> None:
            peer = Peers(answer, quiet_reporter())
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
        """Also when replies come in another order."""

        async def answer(_link, message):
            await asyncio.sleep(0.05 if message.item == "slow" else 0.0)
            return ItemBody(True, message.item.encode())

        async def scenario(caller, address):
            calls = [
                caller.call(address, ReadBody(TeamId("t"), JobId("j"), item), 5.0)
                for item in ("slow", "quick")
            ]
            replies = await asyncio.gather(*calls)
            self.assertEqual([b"slow", b"quick"], [reply.body for reply in replies])

        self.play(answer, scenario)

    def test_refused_connection_sent_nothing(self):
        """So that the caller may act for itself."""

        async def scenario(caller, _address):
            with self.assertRaises(PeerUnavailableError) as caught:
                await caller.call("127.0.0.1:1", CALL, 1.0)
            self.assertFalse(caught.exception.sent)
            self.assertTrue(caught.exception.refused)

        self.play(lambda *_: None, scenario)

    def test_slow_call_does_not_end_the_link_for_others(self):
        """But the call may have been taken."""

        async def answer(_link, message):
            await asyncio.sleep(30.0 if message.item == "i" else 0.0)
            return ItemBody(True, b"")

        async def scenario(caller, address):
            link = await caller.connect(address)
            with self.assertRaises(PeerUnavailableError) as caught:
                await caller.call(address, CALL, 0.1)
            self.assertTrue(caught.exception.sent)
            self.assertTrue(link.is_open)

        self.play(answer, scenario)

    def test_silent_link_is_closed_and_another_opened(self):
        """Open connections may go silent for good while new ones work."""

        async def answer(_link, message):
            if message.item == "i":
                await asyncio.sleep(30.0)
            return ItemBody(True, b"")

        async def scenario(caller, address):
            link = await caller.connect(address)
            with self.assertRaises(PeerUnavailableError):
                await caller.call(address, CALL, 0.2)
            self.assertFalse(link.is_open)
            other = ReadBody(TeamId("t"), JobId("j"), "other")
            self.assertEqual(
                ItemBody(True, b""), await caller.call(address, other, 5.0)
            )

        self.patch(peers_module, "SILENT_S", 0.1)
        self.patch(peers_module, "PAUSE_S", 0.0)
        self.play(answer, scenario)
