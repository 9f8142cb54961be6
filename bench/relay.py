"""Minimal relay on the threaded daemon's HTTP libraries, a baseline of its costs."""

import urllib3

from standins.web import Request, Response, make_argument_parser, run_server


class Relay:
    """Forwards each request to one engine and streams the response back."""

    def __init__(self, target: str) -> None:
        self._target: str = target
        self._pool = urllib3.PoolManager(maxsize=64, retries=False)

    def handle(self, request: Request) -> Response:
        """Forward one request."""
        response = self._pool.request(
            "POST",
            self._target + request.path,
            body=request.body,
            headers={"x-request-id": "relay"},
            preload_content=False,
        )
        headers = [("Content-Type", "text/event-stream")]
        return Response(response.status, response.stream(), headers)


def main() -> None:
    """Run the relay from the command line."""
    parser = make_argument_parser(__doc__)
    parser.add_argument("--target", required=True)
    args = parser.parse_args()
    run_server(Relay(args.target).handle, args.host, args.port, threads=64)


if __name__ == "__main__":
    main()
