"""Ownership of shards while the store is away for all or for some."""

import asyncio

from apricotquay.serving.keyedlog import LogRefusedError, Shard
from apricotquay.serving.partition import JOBS
from apricotquay.serving.shards import Shards

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter


class StepClock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.at_s = 100.0

    def now_s(self) -> float:
        """Return the time."""
        return self.at_s

    def wall_ms(self) -> int:
        """Return the time in milliseconds."""
        return int(self.at_s * 1000)


class ShardsTest(ApricotTest):
    """What a daemon believes that it owns."""

    def shards(self) -> tuple[Shards, StepClock]:
        """Return shards of a daemon that joined and owns 0 and 1."""
        clock = StepClock()
        shards = Shards(None, "a:1", "x", 12, clock, quiet_reporter())
        shards._joined_s = clock.now_s()
        shards._own(frozenset({0, 1}))
        shards._take({Shard(JOBS, 0): "a:1/x", Shard(JOBS, 1): "a:1/x"})
        return shards, clock

    def test_outage_for_all_keeps_the_shards(self):
        """Peers know no newer owners, so rates and slots stay in one place."""
        shards, clock = self.shards()
        clock.at_s += 5.0
        shards.take_owners({"0": "b:1"}, 20.0)
        self.assertEqual({0, 1}, shards.owned)
        self.assertFalse(shards.is_confirmed)

    def test_peer_that_reaches_the_store_tells_of_a_new_owner(self):
        """A daemon that is turned away drops what others have got."""
        shards, clock = self.shards()
        clock.at_s += 5.0
        shards.take_owners({"0": "b:1", "1": "a:1"}, 0.2)
        self.assertEqual({1}, shards.owned)
        self.assertEqual("b:1", shards.owner(0))

    def test_failing_joins_do_not_drop_shards(self):
        """The store may be away for everybody."""

        class AwayLog:
            async def join(self, *_args):
                clock.at_s += 1.0
                raise LogRefusedError("away")

        shards, clock = self.shards()
        shards._log = AwayLog()

        async def run() -> None:
            task = asyncio.ensure_future(shards._join_loop())
            while clock.at_s < 104.0:
                await asyncio.sleep(0.01)
            task.cancel()

        self.patch(asyncio, "sleep", _brief_sleep(asyncio.sleep))
        asyncio.run(run())
        self.assertEqual({0, 1}, shards.owned)


def _brief_sleep(sleep):
    """Return a sleep that is short, so that loops turn at once."""
    return lambda _seconds: sleep(0.001)
