"""HTTP/1.1 client connections over asyncio streams, based on `h11`."""

import asyncio
from asyncio import open_connection
from collections.abc import AsyncIterator

import h11

from .http1 import READ_BYTES, HttpError, HttpRequest, HttpResponse

MAX_INTERIM_RESPONSES = 8


class ClientConnection:
    """A connection to a server for one request at a time.

    Callers close it after a failed or cancelled request, so that late bytes of
    its response are not taken for the response to another request.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_header_bytes: int = 65_536,
    ) -> None:
        self._reader: asyncio.StreamReader = reader
        self._writer: asyncio.StreamWriter = writer
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=max_header_bytes
        )

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be sent on this connection."""
        return (
            self._protocol.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def has_unexpected_data(self) -> bool:
        """Whether bytes have arrived that belong to no request, or the end. The
        connection must not be used again then: a second copy of a response would be
        taken for that to the next request.
        """
        try:
            async with asyncio.timeout(0):
                await self._reader.read(1)
        except TimeoutError:
            return False
        except OSError:
            return True
        return True

    def send(self, request: HttpRequest) -> None:
        """Write a request; connection errors are raised when the response is read."""
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            data = self._protocol.send(head)
            if request.body:
                data += self._protocol.send(h11.Data(data=request.body))
            data += self._protocol.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise HttpError(f"request cannot be sent: {exc}", sent=False) from exc
        self._writer.write(data)

    async def read_head(self) -> h11.Response:
        """Wait for the status and headers of the response."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError("connection closed before a response")
        raise HttpError("too many interim responses")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; return only when the body is complete."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise HttpError("connection closed within a response")
        if self._protocol.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            if not self._protocol.trailing_data[0]:
                self._protocol.start_next_cycle()

    async def read_response(self) -> HttpResponse:
        """Read a complete response."""
        head = await self.read_head()
        parts = [part async for part in self.read_body()]
        return HttpResponse(head.status_code, list(head.headers), b"".join(parts))

    def close(self) -> None:
        """Abort the connection, upon which the server cancels the request."""
        self._writer.transport.abort()

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as exc:
                raise HttpError(f"not a response: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError as exc:
                raise HttpError(f"connection broke: {exc}") from exc
            self._protocol.receive_data(data)


async def open_client(host: str, port: int, timeout_s: float) -> ClientConnection:
    """Connect to a server; when this raises HttpError, nothing has been sent."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await open_connection(host, port)
    except TimeoutError as exc:
        raise HttpError("connect timed out", sent=False) from exc
    except (OSError, ValueError, OverflowError) as exc:
        # The latter two are those of an address that no connection can have.
        refused = isinstance(exc, ConnectionRefusedError)
        raise HttpError(f"connect failed: {exc}", sent=False, refused=refused) from exc
    return ClientConnection(reader, writer)
