"""Sends calls to endpoints, which the platform calls servers, and checks responses."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import h11

from ..serving.crashes.promptparts import PartKey
from ..serving.endpoints import Endpoint
from ..serving.engine import (
    AttemptFailedError,
    EndpointLimit,
    EndpointLoad,
    EndpointUnreachableError,
    EngineCall,
    Reachability,
    RequestNotRunError,
)
from ..serving.http.http1 import (
    FRAMING_HEADERS,
    HeaderList,
    HttpError,
    HttpRequest,
    end_to_end_headers,
    find_header,
    is_success,
)
from ..serving.http.httpclient import ClientConnection, open_client
from ..serving.slots.memory import TokenUsage
from . import wire

# Connecting takes one round trip of a few milliseconds. After a timeout the request
# can still be sent to another endpoint in time.
CONNECT_TIMEOUT_S = 0.15
# A slow VM may notice a refused connection late.
PROBE_TIMEOUT_S = 0.5
MISDIRECTED_REQUEST = 421
BODILESS_STATUSES = (204, 304)
# Response headers that are not forwarded to callers.
INTERNAL_HEADERS = frozenset((b"content-length", wire.SERVER_LOAD, wire.NOT_RUN))

# Opens a connection to a host and port within a time in seconds.
Connect = Callable[[str, int, float], Awaitable[ClientConnection]]


class ServerResponse:
    """A response whose head has been checked; implements `EngineResponse`."""

    def __init__(
        self, connection: ClientConnection, head: h11.Response, *, may_be_empty: bool
    ) -> None:
        self.status: int = head.status_code
        self.headers: HeaderList = [
            (name, value)
            for name, value in end_to_end_headers(list(head.headers))
            if name not in INTERNAL_HEADERS
        ]
        self.ends_with_connection: bool = not any(
            name in FRAMING_HEADERS for name, _ in head.headers
        )
        self.limit: EndpointLimit = wire.decode_limit(list(head.headers))
        self.load: EndpointLoad = wire.decode_load(list(head.headers))
        self.is_leaving: bool = wire.decode_leaving(list(head.headers))
        self._connection: ClientConnection = connection
        self._may_be_empty: bool = may_be_empty or _has_delimited_body(head)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; the body is complete when the iteration ends."""
        is_empty = True
        try:
            async for data in self._connection.read_body():
                is_empty = False
                yield data
        except HttpError as exc:
            raise AttemptFailedError(str(exc), reset=True) from exc
        if is_empty and not self._may_be_empty:
            raise AttemptFailedError("connection closed after the head", reset=True)

    def close(self) -> None:
        """Close the connection; the server then cancels the request."""
        self._connection.close()


class ServerClient:
    """Implements `DirectEngineClient`. Opens a connection for each call: an idle one
    may be dead, and a late response on it could be taken for that to another request.
    """

    def __init__(self, connect: Connect = open_client) -> None:
        self._connect: Connect = connect

    async def send(self, call: EngineCall, endpoint: Endpoint) -> ServerResponse:
        """Send a call and return its response, whose head has been checked."""
        try:
            connection = await self._connect(
                endpoint.host, endpoint.port, CONNECT_TIMEOUT_S
            )
        except HttpError as exc:
            raise EndpointUnreachableError(str(exc)) from exc
        try:
            connection.send(_build_request(call, endpoint))
            head = await connection.read_head()
            _check_head(call, head)
        except HttpError as exc:
            connection.close()
            if not exc.sent:
                raise RequestNotRunError(str(exc)) from exc
            raise AttemptFailedError(str(exc), reset=True) from exc
        except BaseException:
            connection.close()
            raise
        # A resumed stream may have nothing left to send.
        may_be_empty = call.resume_after is not None or call.method == "HEAD"
        return ServerResponse(connection, head, may_be_empty=may_be_empty)

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""
        return wire.decode_prompt_parts(headers)

    def token_usage(self, headers: HeaderList) -> TokenUsage:
        """Return the size that a caller states of a request."""
        return wire.decode_token_usage(headers)

    def forwarded_headers(self, headers: HeaderList) -> HeaderList:
        """Return the headers of a caller that servers may get: no key is left."""
        return [
            (name, value)
            for name, value in end_to_end_headers(headers)
            if name not in wire.RESERVED_HEADERS
        ]

    async def probe(self, endpoint: Endpoint) -> Reachability:
        """Open and close a connection to a server."""
        try:
            connection = await self._connect(
                endpoint.host, endpoint.port, PROBE_TIMEOUT_S
            )
        except HttpError as exc:
            return Reachability.REFUSED if exc.refused else Reachability.SILENT
        connection.close()
        await asyncio.sleep(0)
        return Reachability.REACHED


def _build_request(call: EngineCall, endpoint: Endpoint) -> HttpRequest:
    headers = [
        (name, value)
        for name, value in end_to_end_headers(call.headers)
        if name not in wire.RESERVED_HEADERS
        and (name != wire.RESUME_AFTER or call.resume_after is None)
        and name != wire.REQUEST_ID
    ]
    headers.append((wire.REQUEST_ID, call.request_id.encode("latin-1")))
    headers.append((wire.EXPECTED_ENDPOINT, endpoint.id.encode()))
    headers.append((wire.TIMEOUT_MS, str(call.timeout_ms).encode()))
    if call.team is not None:
        headers.append((wire.TEAM_NAME, call.team.encode()))
    if call.resume_after is not None:
        headers.append((wire.RESUME_AFTER, str(call.resume_after).encode()))
    return HttpRequest(call.method, call.target, headers, call.body)


def _has_delimited_body(head: h11.Response) -> bool:
    """Whether the end of the body can be told from the end of its connection."""
    names = {name for name, _ in head.headers}
    return (
        b"content-length" in names
        or b"transfer-encoding" in names
        or head.status_code in BODILESS_STATUSES
    )


def _check_head(call: EngineCall, head: h11.Response) -> None:
    """Raise unless the expected server sent this response to this call."""
    headers = list(head.headers)
    answered_ids = {value for name, value in headers if name == wire.REQUEST_ID}
    if answered_ids - {call.request_id.encode("latin-1")}:
        raise AttemptFailedError("the answer belongs to another request")
    is_leaving = wire.decode_leaving(headers)
    if head.status_code == MISDIRECTED_REQUEST:
        raise RequestNotRunError("another endpoint has the address", unreachable=True)
    if find_header(headers, wire.NOT_RUN) is not None:
        raise RequestNotRunError(
            f"endpoint refused with {head.status_code}",
            limit=wire.decode_limit(headers),
            load=wire.decode_load(headers),
            is_refusal=True,
            is_leaving=is_leaving,
        )
    if not answered_ids:
        raise AttemptFailedError("the answer names no request")
    if find_header(headers, b"content-encoding") is not None:
        raise AttemptFailedError("the answer is encoded", is_leaving=is_leaving)
    if is_success(head.status_code) and find_header(headers, wire.SIGNATURE) is None:
        raise AttemptFailedError("the answer has no signature", is_leaving=is_leaving)
