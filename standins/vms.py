"""Stand-in for the VM list of the threaded daemon: live and leaving VMs, with a lag.

PUT /vms/ID with a JSON entry adds or changes a VM, DELETE removes it, GET /vms
returns the list as it was `lag_ms` ago. POST /faults sets lag and outage.
"""

import threading
import time

from .web import Request, Response, json_response, make_argument_parser, run_server


class VmListService:
    """State and HTTP handler of the stand-in."""

    def __init__(self) -> None:
        self.lag_ms: int = 300
        self.outage: bool = False
        self._lock = threading.Lock()
        self._vms: dict[str, dict] = {}
        self._history: list[tuple[float, dict[str, dict]]] = [(0.0, {})]

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        if request.path == "/faults":
            values = request.json()
            self.lag_ms = values.get("lag_ms", self.lag_ms)
            self.outage = values.get("outage", self.outage)
            return json_response({"ok": True})
        if request.method == "GET":
            if self.outage:
                return json_response({"error": "outage"}, 503)
            return json_response({"vms": list(self._lagging_vms().values())})
        vm_id = request.path.split("/")[2]
        with self._lock:
            if request.method == "PUT":
                self._vms[vm_id] = {"id": vm_id, **request.json()}
            else:
                self._vms.pop(vm_id, None)
            self._history.append((time.monotonic(), dict(self._vms)))
        return json_response({"ok": True})

    def _lagging_vms(self) -> dict[str, dict]:
        visible_at_s = time.monotonic() - self.lag_ms / 1000
        with self._lock:
            while len(self._history) > 1 and self._history[1][0] <= visible_at_s:
                self._history.pop(0)
            return self._history[0][1]


def main() -> None:
    """Run the stand-in."""
    args = make_argument_parser(__doc__).parse_args()
    run_server(VmListService().handle, args.host, args.port, threads=32)


if __name__ == "__main__":
    main()
