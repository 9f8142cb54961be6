"""Cost of one call between threaded daemons, with both sides in one process."""

import time
from collections.abc import Iterator

from apricotquay.ids import MemberId, ResourceName, TeamId
from apricotquay.messages import Message, TakeToken, TokenReply
from apricotquay.peers import PeerPool, PeerServer, TrafficCounter

from .results import Row

CALL_COUNT = 3_000
HOST = "127.0.0.1"


def measure_calls() -> Iterator[Row]:
    """Yield processor time, wall time and bytes of a request for one token."""

    def handle_message(message: Message) -> Message:
        return TokenReply(held=True, granted=True)

    traffic = TrafficCounter()
    server = PeerServer(HOST, 0, handle_message, TrafficCounter())
    server.start()
    pool = PeerPool(HOST, traffic)
    member = MemberId("entry-0")
    pool.set_addresses({member: (HOST, server.port)})
    request = TakeToken(ResourceName("rate-100"), 123_456, TeamId("team-1000"))
    try:
        pool.call(member, request, 5.0)
        cpu_s, wall_s, bytes_before = (
            time.process_time(),
            time.monotonic(),
            traffic.bytes,
        )
        for _ in range(CALL_COUNT):
            pool.call(member, request, 5.0)
        cpu_us = (time.process_time() - cpu_s) / CALL_COUNT * 1e6
        wall_us = (time.monotonic() - wall_s) / CALL_COUNT * 1e6
        bytes_per_call = (traffic.bytes - bytes_before) / CALL_COUNT
    finally:
        pool.close()
        server.close()
    yield Row("call between daemons", "processor time, both sides", cpu_us, "us")
    yield Row("call between daemons", "time, one after another", wall_us, "us")
    yield Row("call between daemons", "bytes, both ways", bytes_per_call, "B")
