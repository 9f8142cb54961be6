"""HTTP/1.1 client connections over asyncio streams, based on `h11`."""

import asyncio
from asyncio import open_connection
from collections.abc import AsyncIterator, Callable

import h11

from .http1 import FRAMING_HEADERS, HttpError, HttpRequest, HttpResponse
from .turns import TurnKeeper

MAX_INTERIM_RESPONSES = 8
# Parsed at once at most. A response may consist of many small events.
RECEIVE_BYTES = 16 * 1024


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
        self._turns = TurnKeeper()
        # `drain` then waits until the request is written whole.
        writer.transport.set_write_buffer_limits(high=0)
        # Whether the end of the response is that of the connection.
        self._ends_with_connection: bool = False

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
                names = {name for name, _ in event.headers}
                self._ends_with_connection = not names & FRAMING_HEADERS
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError("connection closed before a response")
        raise HttpError("too many interim responses")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body; return only when it is complete.

        Its parts are as large as they were received, however small its chunks are.
        """
        is_complete = False
        while not is_complete:
            part, end = await self._parse_body()
            if part:
                yield part
            if isinstance(end, HttpError):
                raise end
            if end is h11.NEED_DATA:
                await self._receive()
            else:
                is_complete = True
        if self._ends_with_connection:
            await self._check_written()
        if self._protocol.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            if not self._protocol.trailing_data[0]:
                self._protocol.start_next_cycle()

    async def read_response(
        self, on_part: Callable[[int], None] = lambda body_bytes: None
    ) -> HttpResponse:
        """Read a complete response; `on_part` gets how much of its body has arrived."""
        head = await self.read_head()
        body = bytearray()
        async for part in self.read_body():
            body += part
            on_part(len(body))
        return HttpResponse(head.status_code, list(head.headers), bytes(body))

    def close(self) -> None:
        """Abort the connection, upon which the server cancels the request."""
        self._writer.transport.abort()

    async def _check_written(self) -> None:
        """Raise unless the request is written whole.

        A response that ends with its connection may be a part of one: if the server
        broke off, what is still written is answered by a reset.
        """
        try:
            await self._writer.drain()
        except OSError as exc:
            raise HttpError(f"connection broke: {exc}") from exc

    async def _parse_body(self) -> tuple[bytes, h11.Event | HttpError]:
        """Return what has been received of the body, and what follows it: NEED_DATA,
        the end of the body, or why there is none.
        """
        part = bytearray()
        try:
            while isinstance(event := await self._parse_event(), h11.Data):
                part += event.data
        except HttpError as exc:
            return bytes(part), exc
        if event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
            return bytes(part), event
        return bytes(part), HttpError("connection closed within a response")

    async def _next_event(self) -> h11.Event:
        while (event := await self._parse_event()) is h11.NEED_DATA:
            await self._receive()
        return event

    async def _parse_event(self) -> h11.Event:
        """Return the next event of what has been received, or NEED_DATA."""
        await self._turns.end_piece()
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise HttpError(f"not a response: {exc}") from exc

    async def _receive(self) -> None:
        """Wait for more data, or for the end of the connection."""
        try:
            data = await self._reader.read(RECEIVE_BYTES)
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
