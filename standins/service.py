"""Stand-in of a plain service with calls that may not be repeated.

Any POST is executed and recorded; GET /seen shows everything that was received.
"""

import collections
import threading
import time

from .web import Request, Response, json_response, make_argument_parser, run_server

SEEN_LIMIT = 20_000


class Service:
    """The stand-in's state and its HTTP handler."""

    def __init__(self) -> None:
        self.delay_ms: int = 0
        self.refuse: bool = False
        self.lose_answers: int = 0
        self._lock = threading.Lock()
        self._seen: collections.deque = collections.deque(maxlen=SEEN_LIMIT)

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/seen":
            return json_response({"seen": list(self._seen)})
        if request.path == "/load":
            return json_response({"running": 0, "slots": 16})
        if request.path == "/faults":
            for name, value in request.json().items():
                setattr(self, name, value)
            return json_response({"ok": True})
        if self.refuse:
            return json_response({"error": "refused"}, 503)
        return self._execute(request)

    def _execute(self, request: Request) -> Response:
        with self._lock:
            self._seen.append(
                {
                    "path": request.path,
                    "headers": request.headers(),
                    "query": request.environ.get("QUERY_STRING", ""),
                    "body": request.body.decode(errors="replace"),
                }
            )
            number = len(self._seen)
            lose = self.lose_answers > 0
            self.lose_answers -= 1 if lose else 0
        if self.delay_ms:
            time.sleep(self.delay_ms / 1000)
        if lose:
            return Response(200, _broken_body(), [("Content-Length", "100")])
        return json_response({"executed": number})


def _broken_body():
    yield b"{"
    raise OSError("answer lost by a fault")


def main() -> None:
    """Run the stand-in."""
    args = make_argument_parser(__doc__).parse_args()
    run_server(Service().handle, args.host, args.port, threads=64)


if __name__ == "__main__":
    main()
