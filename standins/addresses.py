"""Loopback addresses for a fleet: every VM has an IP number of its own."""

import os
import socket

import msgspec


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    @property
    def url(self) -> str:
        """The address as an HTTP URL."""
        return f"http://{self.host}:{self.port}"


class AddressBook:
    """Gives out loopback hosts that no other fleet on this machine uses.

    A port that is free on a host of the fleet's own stays free, since outgoing
    connections of other processes come from other hosts.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        self._net: str = f"127.{16 + pid % 200}.{pid // 200 % 250}"
        self._next: int = 1

    def host(self) -> str:
        """Return the next unused host."""
        while True:
            host = f"{self._net}.{self._next}"
            self._next += 1
            if self._next > 250:
                first, second, third = self._net.split(".")
                self._net = f"{first}.{second}.{(int(third) + 1) % 250}"
                self._next = 1
            return host

    def address(self, host: str | None = None) -> Address:
        """Return a free port of a host."""
        host = host or self.host()
        with socket.socket() as sock:
            sock.bind((host, 0))
            return Address(host, sock.getsockname()[1])
