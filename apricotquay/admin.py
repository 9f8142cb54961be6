"""Admin API of the threaded daemon: readiness, status, metrics, states of items."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .errors import ErrorKind, RequestError
from .ids import JobId
from .web import HttpRequest, HttpResponse, json_response

if TYPE_CHECKING:
    from .daemon import Daemon


class AdminHandlers:
    """Handles requests to the admin port, which the load balancer does not reach."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon: Daemon = daemon

    def ready(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /ready: 200 while the load balancer should send requests here."""
        daemon = self._daemon
        freshness = daemon.fleet.freshness()
        ready = freshness.is_usable and not daemon.draining
        readiness = {
            "ready": ready,
            "view": freshness.value,
            "draining": daemon.draining,
        }
        return json_response(readiness, 200 if ready else 503)

    def status(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /status: this daemon's view of the fleet, its leases and work."""
        daemon = self._daemon
        with daemon.fleet.lock:
            members = {
                m: daemon.fleet.members.state_of(m).value
                for m in daemon.fleet.preferred("status")
                if m != daemon.fleet.me
            }
            now_s = daemon.clock.now_s()
            endpoints = {
                str(e.id): {
                    "serves": e.serves,
                    "zone": e.entry.zone,
                    "leaving": e.leaving,
                    "ejected": e.is_ejected(now_s),
                    "online": e.online,
                    "online_total": e.online_total(now_s),
                    "batch": e.batch,
                    "slots": e.slots,
                }
                for e in daemon.fleet.endpoints.all()
            }
        return json_response(
            {
                "vm": daemon.fleet.me,
                "incarnation": daemon.fleet.incarnation,
                "view": daemon.fleet.freshness().value,
                "config_version": daemon.environment.version,
                "draining": daemon.draining,
                "members": members,
                "endpoints": endpoints,
                "rate_shards": daemon.leases.holders(),
                "partitions": daemon.jobs.partition_status(),
                "batch": daemon.runner.endpoint_status(),
                "online_running": daemon.online.running_count(),
                "online_waiting": daemon.admission.waiting(),
                "peer_frames": daemon.traffic.frames,
                "peer_bytes": daemon.traffic.bytes,
            }
        )

    def metrics(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /metrics: counters and histograms that daemons can merge."""
        return json_response(self._daemon.metrics.export())

    def explain(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /explain/JOB/INDEX: lines that describe an item's state."""
        job = JobId(http.match["job"])
        lines = self._daemon.jobs.explain(job, int(http.match["index"]))
        return json_response({"lines": lines})

    def threads(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /threads: the stacks of all threads, for debugging."""
        if not self._daemon.settings.trace:
            raise RequestError(ErrorKind.ROUTE_UNKNOWN, "tracing is off")
        return json_response({"threads": self._daemon.thread_stacks()})
