"""HTTP/1.1 messages, shared by the client and the server."""

import msgspec

# Maximum size of one read from a socket.
READ_BYTES = 65_536
MIN_SUCCESS, MAX_SUCCESS = 200, 299

HeaderList = list[tuple[bytes, bytes]]

# Hop-by-hop headers, which concern a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


# A response with neither of them ends with its connection.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class HttpError(Exception):
    """A connection failed.

    `sent` tells whether bytes of the request may have reached the peer,
    `refused` whether nothing listens at the address.
    """

    def __init__(
        self, message: str, *, sent: bool = True, refused: bool = False
    ) -> None:
        super().__init__(message)
        self.sent: bool = sent
        self.refused: bool = refused


class HttpRequest(msgspec.Struct):
    """A complete request, received by `HttpServer` or sent by `ClientConnection`.

    `target` is the raw request target with the query.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, given its lower-case name."""
        return find_header(self.headers, name)


class HttpResponse(msgspec.Struct):
    """A complete response, sent by `Exchange` or read by `ClientConnection`."""

    status: int
    headers: HeaderList
    body: bytes = b""


def is_success(status: int) -> bool:
    """Whether a status says that the request was carried out."""
    return MIN_SUCCESS <= status <= MAX_SUCCESS


def find_header(headers: HeaderList, name: bytes) -> str | None:
    """Return the first value of a header, given its lower-case name."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Drop hop-by-hop headers, including those that `Connection` lists."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP_HEADERS and key not in connection_options
    ]
