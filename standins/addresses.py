"""Loopback addresses for a fleet: every VM has its own IP address."""

import os

import msgspec

SERVER_PORT = 8080
PEER_PORT = 8081
ADMIN_PORT = 8082


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    @property
    def url(self) -> str:
        """The base URL of an HTTP server at this address."""
        return f"http://{self.host}:{self.port}"


class AddressAllocator:
    """Allocates loopback hosts that no other fleet on this machine uses.

    Ports are fixed and below the ephemeral range: an outgoing connection cannot
    take the port of a process that starts late.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        self._network: str = f"127.{16 + pid % 200}.{pid // 200 % 250}"
        self._next_host: int = 1

    def allocate_host(self) -> str:
        """Allocate the next unused host."""
        if self._next_host > 250:
            first, second, third = self._network.split(".")
            self._network = f"{first}.{second}.{(int(third) + 1) % 250}"
            self._next_host = 1
        host = f"{self._network}.{self._next_host}"
        self._next_host += 1
        return host

    def allocate_address(self) -> Address:
        """Allocate a host and return the server address on it."""
        return Address(self.allocate_host(), SERVER_PORT)
