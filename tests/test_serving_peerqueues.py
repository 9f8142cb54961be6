"""Peers that do not read: what waits for them is bounded."""

import asyncio

from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import JobId, TeamId
from apricotquay.serving.fleet.peerqueues import PeerQueues
from apricotquay.serving.fleet.peers import Peers
from apricotquay.serving.messages import ItemBody, ReadBody

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter

HOST = "127.0.0.1"
MB = 1024 * 1024


class PeerQueuesTest(ApricotTest):
    """What waits for peers."""

    def test_peer_with_the_most_is_closed(self):
        """It is the one that does not read; the others' bytes count no less."""
        closed = []
        queues = PeerQueues(100, lambda address, size: closed.append((address, size)))
        frozen, live = FakeConnection("frozen"), FakeConnection("live")
        for _ in range(20):
            queues.add(frozen, 9)
            queues.add(live, 9)
            queues.remove(live, 9)
        self.assertEqual([("frozen", 99)], closed[:1])
        self.assertTrue(frozen.is_closed)
        self.assertFalse(live.is_closed)
        self.assertLessEqual(queues.queued_bytes, 100)

    def test_ended_connection_waits_for_nothing(self):
        """Its bytes would count for ever."""
        queues = PeerQueues(100)
        ended = FakeConnection("ended")
        queues.add(ended, 90)
        queues.forget(ended)
        queues.remove(ended, 90)
        self.assertEqual(0, queues.queued_bytes)


class FakeConnection:
    """A connection that only records that it was closed."""

    def __init__(self, address: str) -> None:
        self.address: str = address
        self.is_closed: bool = False

    def close(self) -> None:
        """Record it."""
        self.is_closed = True


class PeerThatDoesNotReadTest(ApricotTest):
    """A peer whose socket is open and never read."""

    def test_connection_is_closed_and_its_calls_fail(self):
        """Messages for it would use up the memory."""

        async def reply(_connection, _message):
            return ItemBody(True, b"")

        async def run() -> None:
            queues = PeerQueues(4 * MB)
            peer = Peers(reply, quiet_reporter())
            caller = Peers(reply, quiet_reporter(), queues=queues)
            port = await peer.start(HOST, 0)
            connection = await caller.connect(f"{HOST}:{port}")
            while not peer._accepted:
                await asyncio.sleep(0.01)
            (accepted,) = peer._accepted
            accepted._socket.transport.pause_reading()
            call = asyncio.ensure_future(connection.call(self.large_call(), 20.0))
            while connection.is_open:
                connection.send(self.large_call())
                self.assertLessEqual(queues.queued_bytes, 4 * MB)
                await asyncio.sleep(0)
            with self.assertRaises(PeerUnavailableError):
                await call
            self.assertEqual(0, queues.queued_bytes)
            await caller.close()
            await peer.close()

        asyncio.run(asyncio.wait_for(run(), 20))

    def large_call(self) -> ReadBody:
        """Return a message of a megabyte."""
        return ReadBody(TeamId("t"), JobId("j"), "i" * MB)
