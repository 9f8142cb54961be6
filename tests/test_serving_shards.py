"""Ownership of shards while the store is unavailable to all or some daemons."""

import asyncio

from apricotquay.serving.batch.partition import JOBS
from apricotquay.serving.fleet.keyedlog import LogRefusedError, Shard
from apricotquay.serving.fleet.shards import Shards

from .base import ApricotTest
from .test_serving_jobs import quiet_reporter


class ManualClock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.at_s = 100.0

    def now_s(self) -> float:
        """Return the time."""
        return self.at_s

    def wall_ms(self) -> int:
        """Return the time in milliseconds."""
        return int(self.at_s * 1000)


class ShardsTest(ApricotTest):
    """Which shards a daemon considers its own."""

    def shards(self) -> tuple[Shards, ManualClock]:
        """Return shards of a daemon that joined and owns 0 and 1."""
        clock = ManualClock()
        shards = Shards(None, "a:1", "x", 12, clock, quiet_reporter())
        shards._last_join_s = clock.now_s()
        shards._set_owned(frozenset({0, 1}))
        shards._apply_owners({Shard(JOBS, 0): "a:1/x", Shard(JOBS, 1): "a:1/x"})
        return shards, clock

    def test_store_outage_keeps_the_shards(self):
        """Peers know no newer owners, so rates and slots stay in one place."""
        shards, clock = self.shards()
        clock.at_s += 5.0
        shards.apply_owners({"0": "b:1"}, 20.0)
        self.assertEqual({0, 1}, shards.owned)
        self.assertFalse(shards.is_confirmed)

    def test_peer_with_store_access_reports_a_new_owner(self):
        """A daemon that the store refuses gives up shards that others own now."""
        shards, clock = self.shards()
        clock.at_s += 5.0
        shards.apply_owners({"0": "b:1", "1": "a:1"}, 0.2)
        self.assertEqual({1}, shards.owned)
        self.assertEqual("b:1", shards.owner(0))

    def test_failing_joins_keep_the_shards(self):
        """The store may be unavailable to every daemon."""

        class UnavailableLog:
            async def join(self, *_args):
                clock.at_s += 1.0
                raise LogRefusedError("away")

        shards, clock = self.shards()
        shards._log = UnavailableLog()

        async def run() -> None:
            task = asyncio.ensure_future(shards._join_loop())
            while clock.at_s < 104.0:
                await asyncio.sleep(0.01)
            task.cancel()

        self.patch(asyncio, "sleep", _short_sleep(asyncio.sleep))
        asyncio.run(run())
        self.assertEqual({0, 1}, shards.owned)


def _short_sleep(sleep):
    """Return a sleep of 1 ms, so that loops run without delay."""
    return lambda _seconds: sleep(0.001)
