"""HTTP client of the threaded daemon for endpoints.

Validates that streamed responses are complete.
"""

from collections.abc import Iterator

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from .errors import ApricotquayError, Ran
from .ids import RequestId
from .membership import VmEntry
from .orders import LoadOrder
from .serving.http.sse import MAX_EVENT_BYTES, EventSplitter

CONNECT_TIMEOUT_S = 1.0
TOKEN_TIMEOUT_S = 10.0
SERVICE_TIMEOUT_S = 60.0
CANCEL_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.5
READ_CHUNK_BYTES = 16 * 1024
DATA_PREFIX = b"data: "

# All fields of a chat request that are forwarded to an endpoint.
FORWARDED_FIELDS = (
    "messages",
    "max_tokens",
    "temperature",
    "top_p",
    "stop",
    "seed",
    "frequency_penalty",
    "presence_penalty",
)
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")


class EndpointError(ApricotquayError):
    """A request failed at an endpoint.

    `ran` tells whether the endpoint executed it; `refused` that nothing
    listens there; `broken` that a response had begun.
    """

    def __init__(
        self,
        message: str,
        ran: Ran,
        *,
        refused: bool = False,
        broken: bool = False,
        status: int = 0,
    ) -> None:
        super().__init__(message)
        self.ran: Ran = ran
        self.refused: bool = refused
        self.broken: bool = broken
        self.status: int = status


class Token(msgspec.Struct, frozen=True):
    """One token of a response."""

    index: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True):
    """The end of a complete response."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


class LoadReport(msgspec.Struct, frozen=True):
    """An endpoint's load report, which lags behind its load."""

    running: int
    slots: int
    model: str = ""


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str
    choices: list[_Choice]
    token_index: int = -1
    token_count: int = -1
    usage: _Usage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class ServiceResponse(msgspec.Struct, frozen=True):
    """A plain service's response."""

    status: int
    content_type: str
    body: bytes


class StreamValidator:
    """Validates the chunks of one response in order. Does no I/O.

    Raises EndpointError if a chunk belongs to another request, tokens are
    missing, or the end does not match the tokens; drops repeated tokens.
    """

    def __init__(self, request_id: RequestId, first_index: int) -> None:
        self._request_id: RequestId = request_id
        self.next_index: int = first_index
        self.ended: bool = False

    def check(self, data: bytes) -> Token | StreamEnd | None:
        """Check one event's data; return what it adds to the response."""
        try:
            chunk = _CHUNK_DECODER.decode(data)
        except msgspec.DecodeError as exc:
            raise _broken_stream(f"malformed chunk: {exc}") from exc
        if chunk.id != self._request_id:
            raise _broken_stream("a chunk of another request arrived")
        if chunk.token_index >= 0:
            return self._check_token(chunk)
        finish = chunk.choices[0].finish_reason if chunk.choices else None
        if finish is None:
            return None
        if chunk.token_count not in (-1, self.next_index):
            raise _broken_stream(
                f"the answer has {chunk.token_count} tokens, {self.next_index} arrived"
            )
        self.ended = True
        usage = chunk.usage or _Usage(0, self.next_index)
        return StreamEnd(finish, usage.prompt_tokens, usage.completion_tokens)

    def _check_token(self, chunk: _Chunk) -> Token | None:
        if chunk.token_index < self.next_index:
            return None
        if chunk.token_index > self.next_index:
            raise _broken_stream(f"token {self.next_index} is missing")
        self.next_index += 1
        text = chunk.choices[0].delta.content if chunk.choices else None
        return Token(chunk.token_index, text or "")


class EngineClient:
    """Sends requests to model engines and plain services. Shared by all threads."""

    def __init__(self, source_host: str) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=64,
            maxsize=64,
            block=False,
            retries=False,
            source_address=(source_host, 0),
        )

    def stream(
        self,
        entry: VmEntry,
        request_id: RequestId,
        model: str,
        body: dict,
        first_index: int = 0,
    ) -> Iterator[Token | StreamEnd]:
        """Stream a chat response from token `first_index` on; check it is complete.

        Closing the generator closes the connection, which cancels the stream.
        """
        validator = StreamValidator(request_id, first_index)
        response = self._open_stream(entry, request_id, model, body, first_index)
        finished = False
        try:
            for data in _read_events(response):
                if data == b"[DONE]":
                    break
                part = validator.check(data)
                if part is not None:
                    yield part
            if not validator.ended:
                raise _broken_stream("the answer ended early")
            finished = True
        except HTTPError as exc:
            raise _broken_stream(f"the stream broke: {type(exc).__name__}") from exc
        finally:
            if finished:
                response.release_conn()
            else:
                response.close()

    def call_service(
        self,
        entry: VmEntry,
        request_id: RequestId,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float = SERVICE_TIMEOUT_S,
    ) -> ServiceResponse:
        """Call a plain service once."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, total=timeout_s)
        response = self._send(
            method,
            _url(entry, path),
            body=body,
            headers={**headers, "x-request-id": request_id},
            timeout=timeout,
        )
        if response.status == 503:
            raise EndpointError("the service refused", Ran.NOT_RUN, status=503)
        content_type = response.headers.get("content-type", "application/octet-stream")
        return ServiceResponse(response.status, content_type, response.data)

    def fetch_load(self, entry: VmEntry) -> LoadReport:
        """Fetch an endpoint's load report."""
        response = self._send("GET", _url(entry, "/load"), timeout=LOAD_TIMEOUT_S)
        try:
            return msgspec.json.decode(response.data, type=LoadReport)
        except msgspec.DecodeError as exc:
            raise EndpointError(f"malformed report: {exc}", Ran.NOT_RUN) from exc

    def cancel(self, entry: VmEntry, request_id: RequestId) -> None:
        """Ask an engine to stop a stream at once."""
        try:
            url = _url(entry, f"/cancel/{request_id}")
            self._send("POST", url, timeout=CANCEL_TIMEOUT_S)
        except EndpointError:
            # Closing the connection also stops the stream, at its next token.
            return

    def send_order(self, entry: VmEntry, order: LoadOrder) -> int:
        """Send a model order and return the status."""
        return self._send(
            "POST",
            _url(entry, "/orders"),
            body=msgspec.json.encode(order),
            timeout=ORDER_TIMEOUT_S,
        ).status

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()

    def _open_stream(
        self,
        entry: VmEntry,
        request_id: RequestId,
        model: str,
        body: dict,
        first_index: int,
    ) -> urllib3.BaseHTTPResponse:
        forwarded = {f: body[f] for f in FORWARDED_FIELDS if f in body}
        forwarded.update(model=model, stream=True)
        if first_index:
            forwarded["resume_from"] = first_index
        response = self._send(
            "POST",
            _url(entry, "/v1/chat/completions"),
            body=msgspec.json.encode(forwarded),
            headers={"content-type": "application/json", "x-request-id": request_id},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=TOKEN_TIMEOUT_S),
            preload_content=False,
        )
        if response.status != 200:
            response.drain_conn()
            response.release_conn()
            raise EndpointError(
                f"the endpoint answered {response.status}",
                Ran.NOT_RUN,
                status=response.status,
            )
        return response

    def _send(self, method: str, url: str, **kwargs) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(method, url, **kwargs)
        except NewConnectionError as exc:
            refused = "refused" in str(exc).lower()
            raise EndpointError(
                "no connection to the endpoint", Ran.NOT_RUN, refused=refused
            ) from exc
        except ConnectTimeoutError as exc:
            raise EndpointError("no connection in time", Ran.NOT_RUN) from exc
        except HTTPError as exc:
            # Part of the request may have been sent on an open connection.
            raise EndpointError(
                f"the connection failed: {type(exc).__name__}", Ran.UNKNOWN
            ) from exc


def _url(entry: VmEntry, path: str) -> str:
    return f"http://{entry.host}:{entry.port}{path}"


def _broken_stream(message: str) -> EndpointError:
    return EndpointError(message, Ran.RAN, broken=True)


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the data of each server-sent event."""
    splitter = EventSplitter()
    for chunk in response.stream(READ_CHUNK_BYTES):
        for event in splitter.feed(chunk):
            if event.raw.startswith(DATA_PREFIX):
                yield event.raw.removeprefix(DATA_PREFIX).rstrip(b"\r\n")
        if splitter.buffered_bytes > MAX_EVENT_BYTES:
            raise _broken_stream(f"event of more than {MAX_EVENT_BYTES} bytes")
