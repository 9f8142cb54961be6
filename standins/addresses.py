"""Loopback addresses for a fleet: every VM has an IP number of its own."""

import os

import msgspec

SERVER_PORT = 8080
PEER_PORT = 8081
ADMIN_PORT = 8082


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    @property
    def url(self) -> str:
        """The address as an HTTP URL."""
        return f"http://{self.host}:{self.port}"


class AddressAllocator:
    """Gives out loopback hosts that no other fleet on this machine uses.

    Ports are fixed and stand below those that outgoing connections get, so a
    process that starts late still finds its own port free.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        self._net: str = f"127.{16 + pid % 200}.{pid // 200 % 250}"
        self._next: int = 1

    def allocate_host(self) -> str:
        """Return the next unused host."""
        if self._next > 250:
            first, second, third = self._net.split(".")
            self._net = f"{first}.{second}.{(int(third) + 1) % 250}"
            self._next = 1
        host = f"{self._net}.{self._next}"
        self._next += 1
        return host

    def allocate_address(self) -> Address:
        """Return the address of a server on a host of its own."""
        return Address(self.allocate_host(), SERVER_PORT)
