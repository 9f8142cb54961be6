"""Cuts a daemon's links to servers, while its other links stay.

For daemons that run in one process with the servers: a `Link` opens the connections
of one daemon, so that a partition can be set for each daemon.
"""

import asyncio
import enum

from apricotquay.platform.store import CALL_TIMEOUT_S, StoreClient
from apricotquay.serving.fleet.keyedlog import LogOutcomeUnknownError
from apricotquay.serving.http.http1 import HttpError, HttpResponse
from apricotquay.serving.http.httpclient import ClientConnection

POLL_INTERVAL_S = 0.01


class Cut(enum.Enum):
    """What becomes of open connections and of new ones while links are cut."""

    HANG = "open ones hang, new ones hang"
    RESET_HANG = "open ones are reset, new ones hang"
    RESET_REFUSE = "open ones are reset, new ones are refused"
    LIVE_REFUSE = "open ones live on, new ones are refused"
    LIVE_HANG = "open ones live on, new ones hang"

    @property
    def refuses(self) -> bool:
        """Whether new connections are refused."""
        return self in (Cut.RESET_REFUSE, Cut.LIVE_REFUSE)

    @property
    def resets(self) -> bool:
        """Whether open connections are reset."""
        return self in (Cut.RESET_HANG, Cut.RESET_REFUSE)


class Link:
    """The links of one daemon to all servers, or to those at the cut ports."""

    def __init__(self) -> None:
        self._cut: Cut | None = None
        self._ports: frozenset[int] = frozenset()
        self._streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._held: list[asyncio.StreamWriter] = []

    async def open(self, host: str, port: int, timeout_s: float) -> ClientConnection:
        """Open a connection to a server; see `open_client`."""
        if self._is_cut(port):
            if self._cut.refuses:
                raise HttpError("connect failed: cut", sent=False, refused=True)
            await asyncio.sleep(timeout_s)
            raise HttpError("connect timed out", sent=False)
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, port)
        except OSError as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            raise HttpError(str(exc), sent=False, refused=refused) from exc
        self._streams = [s for s in self._streams if not s[1].is_closing()]
        self._streams.append((reader, writer))
        return ClientConnection(reader, writer)

    def cut(self, how: Cut, ports: frozenset[int] = frozenset()) -> None:
        """Cut the links to the servers at some ports, to all if there are none."""
        self._cut = how
        self._ports = ports
        for reader, writer in self._streams:
            port = writer.get_extra_info("peername")[1]
            if writer.is_closing() or not self._is_cut(port):
                continue
            if how.resets:
                writer.transport.abort()
                reader.set_exception(ConnectionResetError("cut"))
            elif how is Cut.HANG:
                writer.transport.pause_reading()
                self._held.append(writer)

    def heal(self) -> None:
        """Let the links return."""
        self._cut = None
        for writer in self._held:
            if not writer.is_closing():
                writer.transport.resume_reading()
        self._held.clear()

    def _is_cut(self, port: int) -> bool:
        return self._cut is not None and (not self._ports or port in self._ports)


class CuttableStore(StoreClient):
    """A store whose answers don't arrive while `is_cut` is set."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.is_cut: bool = False

    async def _call(
        self, *args, timeout_s: float = CALL_TIMEOUT_S, **options
    ) -> HttpResponse:
        try:
            async with asyncio.timeout(timeout_s):
                response = await super()._call(*args, timeout_s=timeout_s, **options)
                while self.is_cut:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return response
        except TimeoutError as exc:
            raise LogOutcomeUnknownError("cut") from exc
