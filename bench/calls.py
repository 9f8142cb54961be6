"""The cost of one call between daemons, both sides in one process."""

import time
from collections.abc import Iterator

from apricotquay.ids import MemberId, ResourceName, TeamId
from apricotquay.messages import Message, TakeToken, TokenReply
from apricotquay.peers import PeerPool, PeerServer, TrafficCounter

from .results import Row

CALLS = 3_000
HOST = "127.0.0.1"


def measure_calls() -> Iterator[Row]:
    """Yield processor time, wall time and bytes of asking for one token."""

    def answer(message: Message) -> Message:
        return TokenReply(held=True, granted=True)

    traffic = TrafficCounter()
    server = PeerServer(HOST, 0, answer, TrafficCounter())
    server.start()
    pool = PeerPool(HOST, traffic)
    member = MemberId("entry-0")
    pool.set_addresses({member: (HOST, server.port)})
    ask = TakeToken(ResourceName("rate-100"), 123_456, TeamId("team-1000"))
    try:
        pool.call(member, ask, 5.0)
        cpu_s, wall_s, moved = time.process_time(), time.monotonic(), traffic.bytes
        for _ in range(CALLS):
            pool.call(member, ask, 5.0)
        cpu_us = (time.process_time() - cpu_s) / CALLS * 1e6
        wall_us = (time.monotonic() - wall_s) / CALLS * 1e6
        size = (traffic.bytes - moved) / CALLS
    finally:
        pool.close()
        server.close()
    yield Row("call between daemons", "processor time, both sides", cpu_us, "us")
    yield Row("call between daemons", "time, one after another", wall_us, "us")
    yield Row("call between daemons", "bytes, both ways", size, "B")
