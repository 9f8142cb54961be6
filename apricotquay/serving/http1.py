"""HTTP/1.1 messages, shared by the client's and the server's side."""

import msgspec

READ_BYTES = 65_536

HeaderList = list[tuple[bytes, bytes]]

# Headers that concern one connection only, whoever sends them.
CONNECTION_HEADERS = frozenset(
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


class HttpError(Exception):
    """A connection failed.

    `sent` is whether bytes of a request may have reached the other side,
    `timed_out` whether the failure is a timeout.
    """

    def __init__(
        self, message: str, *, sent: bool = True, timed_out: bool = False
    ) -> None:
        super().__init__(message)
        self.sent: bool = sent
        self.timed_out: bool = timed_out


class HttpRequest(msgspec.Struct):
    """A whole request. `target` is the raw request target, query included."""

    method: str
    target: str
    headers: HeaderList
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the first header of a lower-case name."""
        return find_header(self.headers, name)


class HttpResponse(msgspec.Struct):
    """A whole response."""

    status: int
    headers: HeaderList
    body: bytes = b""


def find_header(headers: HeaderList, name: bytes) -> str | None:
    """Return the first header of a lower-case name."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Return the headers that are not about one connection."""
    listed = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in CONNECTION_HEADERS and key not in listed
    ]
