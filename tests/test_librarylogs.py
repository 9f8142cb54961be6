"""Messages of libraries in the log of the threaded daemon."""

import json
import logging
import socket
import struct
import threading
import time
import warnings

import urllib3

from apricotquay.events import Event
from apricotquay.librarylogs import LibraryLogs
from apricotquay.web import Application, HttpServer
from standins.fleet import FleetSpec

from .base import ApricotTest, FleetTest

SECRET = "sk-secret"
# With this option, closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PIPELINED_REQUESTS = b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n" * 50
RESET_CONNECTIONS = 20


class RecordedEvents:
    """Collects events; implements `write` of `EventLog`."""

    def __init__(self) -> None:
        self.lines: list[dict] = []

    def write(self, event: Event, **fields: object) -> None:
        self.lines.append({"event": event, **fields})


class LibraryLogsTest(ApricotTest):
    """A message in plain text made readers of the JSON log fail."""

    def setUp(self) -> None:
        """Start to forward messages."""
        super().setUp()
        self.events = RecordedEvents()
        logs = LibraryLogs(self.events)
        logs.start()
        self.addCleanup(logs.close)

    def forwarded(self) -> list[tuple]:
        """Return the sources and errors of the events; none may hold the secret."""
        self.assertNotIn(SECRET, str(self.events.lines))
        self.assertEqual(
            {Event.LIBRARY_MESSAGE}, {line["event"] for line in self.events.lines}
        )
        return [(line["source"], line["error"]) for line in self.events.lines]

    def test_warning_of_a_connection_pool_is_forwarded(self):
        """The pool is full when two connections return to one place."""
        pool = urllib3.HTTPConnectionPool("127.0.0.1", maxsize=1, block=False)
        self.addCleanup(pool.close)
        connections = [pool._get_conn(), pool._get_conn()]
        for connection in connections:
            pool._put_conn(connection)
        self.assertEqual([("urllib3.connectionpool", "")], self.forwarded())

    def test_error_with_a_traceback_is_forwarded(self):
        """The message of the exception may hold parts of a request."""
        try:
            raise ValueError(SECRET)
        except ValueError:
            logging.getLogger("websockets.server").exception("failed for %s", SECRET)
        self.assertEqual([("websockets.server", "ValueError")], self.forwarded())
        self.assertIn("test_librarylogs.py:", self.events.lines[0]["at"])

    def test_uncaught_error_of_a_thread_is_forwarded(self):
        """The interpreter would print a traceback."""
        thread = threading.Thread(target=int, args=(SECRET,), name="worker")
        thread.start()
        thread.join()
        self.assertEqual([("thread worker", "ValueError")], self.forwarded())

    def test_python_warning_is_forwarded(self):
        """Libraries warn of deprecations at any time."""
        with warnings.catch_warnings():
            warnings.simplefilter("always")
            logging.captureWarnings(False)
            logging.captureWarnings(True)
            warnings.warn("deprecated", DeprecationWarning, stacklevel=1)
        self.assertEqual([("py.warnings", "")], self.forwarded())
        self.assertIn("deprecated", self.events.lines[0]["reason"])

    def test_error_of_the_http_server_is_forwarded(self):
        """The library would write it to standard error itself."""
        server = HttpServer(Application, "127.0.0.1", 0, 1)
        try:
            raise ValueError(SECRET)
        except ValueError as exc:
            server._server.error_log(repr(exc), logging.ERROR, traceback=True)
        self.assertEqual([("cheroot", "ValueError")], self.forwarded())


class DaemonLogTest(FleetTest):
    """The log of a running daemon."""

    spec = FleetSpec(daemons=1, engines=1)

    def test_every_line_is_json_after_connections_were_reset(self):
        """The library of the peer port logs a traceback for some of these."""
        peer = self.fleet.daemons[0].peer
        for _ in range(RESET_CONNECTIONS):
            with socket.create_connection((peer.host, peer.port)) as connection:
                connection.sendall(PIPELINED_REQUESTS)
                time.sleep(0.05)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        time.sleep(0.5)
        for line in self.fleet.read_logs().splitlines():
            self.assertIn("number", json.loads(line), line)
