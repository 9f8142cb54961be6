"""A caller's key in a place where it does not belong, beneath a whole fleet."""

import base64
import json

from parameterized import parameterized

from apricotquay.platform import store as store_module
from apricotquay.serving.http.http1 import HttpRequest
from apricotquay.serving.http.httpclient import open_client
from apricotquay.serving.reporting import Reporter
from standins.platform import make_configuration, write_configuration

from .test_platform_fleet import PlatformFleet, PlatformTest

KEY = "i9n73hh2b9wu3fexd9dn"
ENCODED_KEY = "".join(f"%{ord(letter):02x}" for letter in KEY)


ESCAPED_KEY = "".join(f"\\u{ord(letter):04x}" for letter in KEY)


class KeptLines:
    """Keeps the lines that daemons log."""

    dropped = 0
    has_room = True

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def info(self, line: bytes) -> None:
        """Keep a line."""
        self.lines.append(line)

    def flush(self) -> None:
        """Nothing is waiting."""


class KeyTest(PlatformTest):
    """No endpoint, store record or log line holds a caller's key."""

    async def send(self, fleet: PlatformFleet, method, target, headers, body) -> int:
        """Send a request with the key in its header, and return the status."""
        address = fleet.daemons[0].settings.callers
        connection = await open_client(address.host, address.port, 2.0)
        fields = [(b"host", b"a.example"), (b"key", KEY.encode())]
        if not any(name == "attempt-id" for name, _ in headers):
            fields.append((b"attempt-id", b"a1"))
        fields += [(name.encode(), value.encode()) for name, value in headers]
        try:
            connection.send(HttpRequest(method, target, fields, body))
            return (await connection.read_response()).status
        finally:
            connection.close()

    async def start(self, fleet: PlatformFleet) -> KeptLines:
        """Configure the key, and keep all that is seen."""
        lines = KeptLines()
        self.seen: list[bytes] = []
        for daemon in fleet.daemons:
            kept = Reporter("d", daemon.clock, lines)
            daemon.reporter._logger = kept._logger
        for server in fleet.servers:
            handle = server._server.handler

            async def record(exchange, handle=handle):
                request = exchange.request
                self.seen.append(repr((request.target, request.headers)).encode())
                self.seen.append(request.body)
                await handle(exchange)

            server._server.handler = record
        append = store_module.StoreClient.append

        async def record_append(client, topic, part, records, *args):
            if topic != "keyed.op":
                self.seen.extend(r.value or b"" for r in records)
            return await append(client, topic, part, records, *args)

        self.patch(store_module.StoreClient, "append", record_append)
        await write_configuration(
            fleet.store_address, make_configuration(2, {"small": [KEY]})
        )
        for daemon in fleet.daemons:
            await fleet.wait_until(lambda d=daemon: d.view.configuration.version == 2)
        return lines

    def check_unseen(self, lines: KeptLines) -> None:
        """Check that neither the key nor an encoded form of it was seen."""
        for form in (KEY, ENCODED_KEY, base64.b64encode(KEY.encode()).decode()):
            for data in (*self.seen, *lines.lines):
                self.assertNotIn(form.lower().encode(), data.lower())

    @parameterized.expand(
        [
            ("a header's value", "/s/1", [("accept", f"a {KEY}")], b""),
            ("a header's encoded value", "/s/1", [("accept", ENCODED_KEY)], b""),
            ("a header's name", "/s/1", [(f"x-{KEY}", "1")], b""),
            ("the content type", "/s/1", [("content-type", KEY)], b""),
            ("the resumed attempt", "/s/1", [("resumes", KEY)], b""),
            ("the id", "/s/1", [("attempt-id", KEY)], b""),
            ("the prompt's parts", "/s/1", [("prompt-prefix", f"{KEY}:1,b:2")], b""),
            ("the path", f"/s/{KEY}", [], b""),
            ("the encoded path", f"/s/{ENCODED_KEY}", [], b""),
            ("the path of no route", f"/zz/{KEY}", [], b""),
            ("the query", f"/s/1?k={KEY}", [], b""),
            ("the encoded query", f"/s/1?k={ENCODED_KEY.upper()}", [], b""),
            ("the body", "/s/1", [], f"events=1&k={KEY}".encode()),
            ("the encoded body", "/s/1", [], f"k={ENCODED_KEY}".encode()),
            ("a job's id", f"/-/lots/{KEY}", [], b""),
        ]
    )
    def test_key_outside_its_header_reaches_nobody(self, _name, target, headers, body):
        """The request is refused before anything is done with it."""

        async def scenario(fleet):
            lines = await self.start(fleet)
            status = await self.send(fleet, "POST", target, headers, body)
            self.assertEqual(400, status)
            self.assertEqual([], fleet.runs)
            self.check_unseen(lines)

        self.run_scenario(scenario, daemons=1, servers=1)

    @parameterized.expand(
        [
            ("its path", {"path": f"/b/{KEY}"}),
            ("its encoded path", {"path": f"/b/{ENCODED_KEY}"}),
            ("a header", {"headers": {"Accept": KEY}}),
            ("a header's name", {"headers": {KEY: "1"}}),
            ("its body", {"body": base64.b64encode(f"k={KEY}".encode()).decode()}),
            ("its id", {"id": KEY}),
            ("its path with escaped letters", {"path": f"/b/{ESCAPED_KEY}"}),
        ]
    )
    def test_key_within_an_item_reaches_nobody(self, _name, changes):
        """The job is refused, and nothing of it is stored."""
        item = {"id": "i1", "path": "/b/1", "headers": {}, "body": "", "tokens": 1}

        async def scenario(fleet):
            lines = await self.start(fleet)
            body = (
                json.dumps({"items": [item | changes]}).replace("\\\\", "\\").encode()
            )
            status = await self.send(fleet, "POST", "/b/job", [], body)
            self.assertEqual(400, status)
            self.check_unseen(lines)

        self.run_scenario(scenario, daemons=1, servers=1)

    def test_request_with_its_key_in_the_header_alone_is_served(self):
        """The search refuses nothing else."""

        async def scenario(fleet):
            lines = await self.start(fleet)
            headers = [("accept", KEY[:-1]), ("resumes", KEY[1:])]
            body = f"events=1&k={KEY[2:]}%41".encode()
            status = await self.send(fleet, "POST", "/s/%31", headers, body)
            self.assertEqual(200, status)
            self.check_unseen(lines)

        self.run_scenario(scenario, daemons=1, servers=1)
