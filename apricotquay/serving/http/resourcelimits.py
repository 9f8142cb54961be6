"""Derives the limits of a daemon's connections and buffers from its VM's size. Pure."""

import msgspec

MB = 1024 * 1024
# The largest VM. A daemon whose settings name no size is then limited by nothing that
# its clients reach.
DEFAULT_MEMORY_MB = 552
DEFAULT_MAX_FDS = 10_250
# Longer than any client within the limits waits between two reads.
DEFAULT_WRITE_STALL_S = 30.0
# Descriptors that VMs keep for files.
FILE_FDS = 200
# Share of the other descriptors for clients. The rest is for endpoints (a request has
# one connection there), peers, the store, readiness and metrics.
CLIENT_FDS_SHARE = 0.5
# Connections to each of the ports that only the platform and the operator use.
SERVICE_CONNECTIONS = 64
# What is read ahead of a connection at most: by the reader, and by the HTTP parser.
READ_AHEAD_BYTES = 144 * 1024
# Shares of the memory. With them, a VM of 160 MB has 30 MB left for the daemon itself.
READ_AHEAD_SHARE = 1 / 2
REQUEST_BODY_SHARE = 1 / 10
UNSENT_RESPONSE_SHARE = 1 / 10
PEER_QUEUE_SHARE = 1 / 10
# Two of the largest messages to a peer.
MIN_PEER_QUEUE_BYTES = 16 * MB


class ResourceLimits(msgspec.Struct, frozen=True):
    """The size of a VM, and what follows from it. Part of `ServingSettings`.

    `write_stall_s` is how long a connection may accept no byte of what is to be
    written before it is closed.
    """

    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    write_stall_s: float = DEFAULT_WRITE_STALL_S

    @property
    def client_connections(self) -> int:
        """How many connections of clients may be open."""
        by_fds = max(0, self.max_fds - FILE_FDS) * CLIENT_FDS_SHARE
        by_memory = self._share_bytes(READ_AHEAD_SHARE) / READ_AHEAD_BYTES
        return max(1, int(min(by_fds, by_memory)))

    @property
    def request_body_bytes(self) -> int:
        """How much of large request bodies may be held."""
        return self._share_bytes(REQUEST_BODY_SHARE)

    @property
    def unsent_response_bytes(self) -> int:
        """How much of responses may wait for clients to read."""
        return self._share_bytes(UNSENT_RESPONSE_SHARE)

    @property
    def peer_queue_bytes(self) -> int:
        """How much may wait for peers to read."""
        return max(MIN_PEER_QUEUE_BYTES, self._share_bytes(PEER_QUEUE_SHARE))

    def _share_bytes(self, share: float) -> int:
        return int(self.memory_mb * MB * share)
