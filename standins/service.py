"""Stand-in for a plain service whose calls are not idempotent.

Every POST is executed and recorded; GET /seen returns the recorded requests.
"""

import collections
import threading
import time

from .web import Request, Response, json_response, make_argument_parser, run_server

MAX_RECORDED_REQUESTS = 20_000


class Service:
    """State and HTTP handler of the stand-in; /faults sets its public attributes."""

    def __init__(self) -> None:
        self.delay_ms: int = 0
        self.refuse: bool = False
        self.lose_answers: int = 0
        self._lock = threading.Lock()
        self._requests: collections.deque = collections.deque(
            maxlen=MAX_RECORDED_REQUESTS
        )

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        if request.path == "/seen":
            return json_response({"seen": list(self._requests)})
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
            self._requests.append(
                {
                    "path": request.path,
                    "headers": request.headers(),
                    "query": request.environ.get("QUERY_STRING", ""),
                    "body": request.body.decode(errors="replace"),
                }
            )
            number = len(self._requests)
            drop_response = self.lose_answers > 0
            self.lose_answers -= 1 if drop_response else 0
        if self.delay_ms:
            time.sleep(self.delay_ms / 1000)
        if drop_response:
            return Response(200, _truncated_body(), [("Content-Length", "100")])
        return json_response({"executed": number})


def _truncated_body():
    yield b"{"
    raise OSError("response truncated by an injected fault")


def main() -> None:
    """Run the stand-in."""
    args = make_argument_parser(__doc__).parse_args()
    run_server(Service().handle, args.host, args.port, threads=64)


if __name__ == "__main__":
    main()
