"""A small WSGI layer for the stand-ins, served by `cheroot`."""

import argparse
import json
import signal
import sys
import threading
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import cbor2
from cheroot import wsgi

Headers = list[tuple[str, str]]


class Request:
    """One HTTP request, parsed from a WSGI environment."""

    def __init__(self, environ: dict) -> None:
        self.environ: dict = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.query: dict[str, str] = {
            name: values[-1]
            for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        length = int(environ.get("CONTENT_LENGTH") or 0)
        self.body: bytes = environ["wsgi.input"].read(length) if length else b""

    def json(self) -> dict:
        """Return the decoded JSON body."""
        return json.loads(self.body or b"{}")

    def headers(self) -> dict[str, str]:
        """Return the headers by lower-case name."""
        return {
            name[5:].replace("_", "-").lower(): value
            for name, value in self.environ.items()
            if name.startswith("HTTP_")
        }


class Response:
    """One HTTP response; `body` may be an iterator of chunks."""

    def __init__(
        self, status: int, body: bytes | Iterable[bytes], headers: Headers | None = None
    ) -> None:
        self.status: int = status
        self.body: bytes | Iterable[bytes] = body
        self.headers: Headers = headers or []


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    data = json.dumps(value).encode()
    return Response(status, data, [("Content-Type", "application/json")])


def cbor_response(value: object) -> Response:
    """Return a CBOR response."""
    return Response(200, cbor2.dumps(value), [("Content-Type", "application/cbor")])


Handler = Callable[[Request], Response]


def make_wsgi_app(handler: Handler) -> Callable:
    """Wrap a handler as a WSGI application."""

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = handler(Request(environ))
        body = response.body
        headers = list(response.headers)
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(f"{response.status} Status", headers)
        return body

    return app


def run_server(handler: Handler, host: str, port: int, threads: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = wsgi.Server(
        (host, port),
        make_wsgi_app(handler),
        numthreads=threads,
        max=threads,
        request_queue_size=256,
        shutdown_timeout=1,
    )
    server.keep_alive_conn_limit = 1_000
    server.prepare()

    def stop(signum: int, frame: object) -> None:
        threading.Thread(target=server.stop, daemon=True).start()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        server.serve()
    finally:
        sys.stdout.flush()


def make_argument_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    return parser
