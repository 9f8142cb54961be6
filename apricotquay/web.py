"""HTTP server of the threaded daemon, based on `cheroot`, with a route table.

Serves callers and operators.
"""

import json
import logging
import re
import threading
from collections.abc import Callable, Iterable, Iterator
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

from .errors import ErrorKind, RequestError

READ_TIMEOUT_S = 30
REQUEST_QUEUE_SIZE = 512
KEEP_ALIVE_CONNECTION_LIMIT = 1_000
SHUTDOWN_TIMEOUT_S = 5

_logger = logging.getLogger("cheroot")

Headers = list[tuple[str, str]]
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpRequest:
    """A request to a handler; its body is read on demand, up to a limit."""

    def __init__(self, environ: dict, match: re.Match) -> None:
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.query_string: str = environ.get("QUERY_STRING", "")
        self.match: re.Match = match
        self._environ: dict = environ

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        name = name.upper().replace("-", "_")
        if name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self._environ.get(name, "")
        return self._environ.get(f"HTTP_{name}", "")

    def query(self, name: str, default: str = "") -> str:
        """Return the last value of a query parameter."""
        return parse_qs(self.query_string).get(name, [default])[-1]

    def read_body(self, limit_bytes: int) -> bytes:
        """Read the body; raise BODY_TOO_LARGE over the limit."""
        stream = self._environ["wsgi.input"]
        length = self._environ.get("CONTENT_LENGTH") or ""
        if length.isdigit() and int(length) > limit_bytes:
            raise _too_large(limit_bytes)
        size = int(length) if length.isdigit() else limit_bytes + 1
        body = stream.read(size) if size else b""
        if len(body) > limit_bytes:
            raise _too_large(limit_bytes)
        return body

    def read_json(self, limit_bytes: int) -> dict:
        """Read the body as a JSON object."""
        try:
            value = msgspec.json.decode(self.read_body(limit_bytes))
        except msgspec.DecodeError as exc:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"the body is not valid JSON: {exc}"
            ) from exc
        if not isinstance(value, dict):
            raise RequestError(
                ErrorKind.BAD_REQUEST, "the body must be a JSON object", param="body"
            )
        return value


class HttpResponse:
    """A handler's response; `body` may be an iterator of chunks."""

    def __init__(
        self, status: int, body: bytes | Iterator[bytes], headers: Headers
    ) -> None:
        self.status: int = status
        self.body: bytes | Iterator[bytes] = body
        self.headers: Headers = headers


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a JSON response."""
    data = json.dumps(value).encode()
    return HttpResponse(status, data, [("Content-Type", "application/json")])


def error_response(exc: RequestError) -> HttpResponse:
    """Return the response to an error."""
    response = json_response(exc.body(), exc.status)
    response.headers.append(("X-Request-Ran", exc.ran.value))
    if exc.retry_after_ms:
        seconds = -(-exc.retry_after_ms // 1000)
        response.headers.append(("Retry-After", str(seconds)))
        response.headers.append(("Retry-After-Ms", str(exc.retry_after_ms)))
    return response


Handler = Callable[[HttpRequest], HttpResponse]
OnFailure = Callable[[Exception], None]


class Application:
    """A WSGI application with a route table that counts its active requests."""

    def __init__(self, on_failure: OnFailure) -> None:
        self.closing: bool = False
        self._on_failure: OnFailure = on_failure
        self._routes: list[tuple[str, re.Pattern, Handler]] = []
        self._lock = threading.Lock()
        self._active_count: int = 0

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route; `method` "*" matches any method."""
        self._routes.append((method, re.compile(pattern + r"\Z"), handler))

    def count_active(self) -> int:
        """Return the number of active requests."""
        with self._lock:
            return self._active_count

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one request."""
        with self._lock:
            self._active_count += 1
        try:
            response = self._respond(environ)
        except BaseException:
            self._record_end()
            raise
        body = response.body
        headers = response.headers
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = iter([body])
        if self.closing:
            headers.append(("Connection", "close"))
        reason = REASONS.get(response.status, "Status")
        start_response(f"{response.status} {reason}", headers)
        return _ResponseBody(body, self._record_end)

    def _respond(self, environ: dict) -> HttpResponse:
        try:
            return self._dispatch(environ)
        except RequestError as exc:
            return error_response(exc)
        except Exception as exc:
            # The caller gets a known error kind, whatever the exception was.
            self._on_failure(exc)
            return error_response(
                RequestError(ErrorKind.INTERNAL, "the request failed in the daemon")
            )

    def _dispatch(self, environ: dict) -> HttpResponse:
        for method, pattern, handler in self._routes:
            match = pattern.match(environ["PATH_INFO"])
            if match and method in ("*", environ["REQUEST_METHOD"]):
                return handler(HttpRequest(environ, match))
        raise RequestError(
            ErrorKind.ROUTE_UNKNOWN,
            f"nothing answers {environ['REQUEST_METHOD']} {environ['PATH_INFO']}",
        )

    def _record_end(self) -> None:
        with self._lock:
            self._active_count -= 1


class _ResponseBody:
    """A response body that calls `on_end` once, even if the caller disconnects."""

    def __init__(self, chunks: Iterator[bytes], on_end: Callable[[], None]) -> None:
        self._chunks: Iterator[bytes] = chunks
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the iterator, which cancels the stream that it reads from."""
        on_end, self._on_end = self._on_end, None
        try:
            if hasattr(self._chunks, "close"):
                self._chunks.close()
        finally:
            if on_end is not None:
                on_end()


class _LoggingServer(wsgi.Server):
    """A `cheroot` server that logs its errors instead of printing them."""

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log that an error occurred, without `msg`: it may hold parts of a request."""
        level = max(level, logging.WARNING)
        _logger.log(level, "error in the HTTP server", exc_info=traceback)


class HttpServer:
    """A `cheroot` server in a background thread."""

    def __init__(self, app: Application, host: str, port: int, threads: int) -> None:
        self.port: int = port
        self._server = _LoggingServer(
            (host, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            timeout=READ_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTION_LIMIT
        self._thread = threading.Thread(
            target=self._server.serve, name="http-server", daemon=True
        )

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server.prepare()
        self.port = self._server.bind_addr[1]
        self._thread.start()

    def close(self) -> None:
        """Stop listening; active requests should have ended before."""
        self._server.stop()


def _too_large(limit_bytes: int) -> RequestError:
    return RequestError(
        ErrorKind.BODY_TOO_LARGE,
        f"the body is over {limit_bytes} bytes",
        param="body",
    )
