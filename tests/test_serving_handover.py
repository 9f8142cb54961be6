"""Progress of batch items that change hands."""

import asyncio

from apricotquay.errors import PeerUnavailableError
from apricotquay.serving.handover import KEPT_S, Handovers, ItemProgress

from .base import ApricotTest
from .test_serving_shards import StepClock


class GivenOwner:
    """Shards with one owner that the test sets."""

    address = "a:1"
    owned: frozenset[int] = frozenset()

    def __init__(self) -> None:
        self.current: str | None = "a:1"

    def owner(self, _number: int) -> str | None:
        """Return the owner."""
        return self.current


class OneLink:
    """Peers of which one is reached."""

    def __init__(self) -> None:
        self.sent: list = []

    async def link(self, address: str):
        """Return a link that keeps what is sent."""
        if address != "b:1":
            raise PeerUnavailableError("gone")
        return self

    def send(self, message) -> None:
        """Keep a message."""
        self.sent.append(message)


class HandoversTest(ApricotTest):
    """From the owner before to the next one."""

    def setUp(self):
        super().setUp()
        self.clock = StepClock()
        self.shards = GivenOwner()
        self.peers = OneLink()
        self.handovers = Handovers(self.shards, self.peers, self.clock)

    def send(self) -> None:
        """Send what can be sent, and let it go out."""

        async def run() -> None:
            self.handovers.send()
            await asyncio.sleep(0.01)

        asyncio.run(run())

    def test_progress_waits_for_the_next_owner_and_goes_on_there(self):
        """Nothing is run again that has been produced."""
        self.handovers.give(3, "job", 1, ItemProgress(4, ["a", "b"]))
        self.send()
        self.assertEqual([], self.peers.sent)
        self.shards.current = "b:1"
        self.send()
        next_owner = Handovers(self.shards, self.peers, self.clock)
        next_owner.take(self.peers.sent[0])
        progress = next_owner.progress_of("job", 1)
        self.assertEqual((4, ["a", "b"]), (progress.last_id, progress.data))
        self.assertEqual(-1, next_owner.progress_of("job", 1).last_id)

    def test_shard_that_comes_back_brings_its_progress(self):
        """All shards may be dealt anew at once."""
        self.handovers.give(3, "job", 1, ItemProgress(4, ["a"]))
        self.shards.owned = frozenset({3})
        self.send()
        self.assertEqual(4, self.handovers.progress_of("job", 1).last_id)

    def test_nothing_is_kept_for_long_or_sent_of_items_not_begun(self):
        """What is too old is run again."""
        self.handovers.give(3, "job", 1, ItemProgress())
        self.handovers.give(3, "job", 2, ItemProgress(4, ["a"]))
        self.clock.at_s += KEPT_S + 1
        self.send()
        self.shards.current = "b:1"
        self.send()
        self.assertEqual([], self.peers.sent)

    def test_lost_owner_costs_only_the_progress(self):
        """The item runs from its start."""
        self.handovers.give(3, "job", 1, ItemProgress(4, ["a"]))
        self.shards.current = "c:1"
        self.send()
        self.assertEqual([], self.peers.sent)
