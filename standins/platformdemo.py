"""Demo of the event-loop daemon: a streamed response and a small batch job.

Three daemons, two model servers and a store run as processes. The daemon that
accepted the job is killed half-way, and another one finishes it.
"""

import asyncio
import base64
import json

from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import open_client

from .platform import make_configuration, write_configuration
from .processes import PlatformProcesses

API_KEY = "demo-key"
ITEM_COUNT = 6
EVENTS_PER_ITEM = 40
START_TIMEOUT_S = 20.0


class Demo:
    """One run of the demo."""

    def __init__(self) -> None:
        self._fleet = PlatformProcesses(3, 2, 0.05)

    async def run(self) -> None:
        """Run both parts of the demo, then end all processes."""
        try:
            await self._start()
            await self._show_stream()
            await self._show_job()
        finally:
            self._fleet.close()

    async def _start(self) -> None:
        fleet = self._fleet
        fleet.start_store()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._configure():
                await asyncio.sleep(0.1)
            fleet.start()
            for number in range(len(fleet.daemons)):
                while (await self._call(number, "POST", "/s/0", b"events=1")) is None:
                    await asyncio.sleep(0.1)
        print(f"3 daemons and 2 servers run; their logs are in {fleet.output_dir}")

    async def _configure(self) -> bool:
        configuration = make_configuration(1, {"demo": [API_KEY]})
        try:
            await write_configuration(self._fleet.store_address, configuration)
        except Exception:
            # The store is still starting.
            return False
        return True

    async def _call(
        self, number: int, method: str, target: str, body: bytes = b"", job: str = "a"
    ) -> HttpResponse | None:
        address = self._fleet.caller_addresses[number]
        headers = [
            (b"host", b"a.example"),
            (b"key", API_KEY.encode()),
            (b"attempt-id", job.encode()),
        ]
        try:
            connection = await open_client(address.host, address.port, 1.0)
        except HttpError:
            return None
        try:
            connection.send(HttpRequest(method, target, headers, body))
            response = await connection.read_response()
        except HttpError:
            return None
        finally:
            connection.close()
        return response if response.status < 500 else None

    async def _show_stream(self) -> None:
        response = await self._call(1, "POST", "/s/1", b"events=3", "stream-1")
        print(f"a stream through daemon 1, status {response.status}:")
        print(response.body.decode())

    async def _show_job(self) -> None:
        body = base64.b64encode(f"events={EVENTS_PER_ITEM}".encode()).decode()
        items = [
            {"id": f"item-{n}", "path": "/b/1", "body": body, "tokens": 9}
            for n in range(ITEM_COUNT)
        ]
        data = json.dumps({"items": items}).encode()
        response = await self._call(0, "POST", "/b/1", data, "job-1")
        print(f"a job of {ITEM_COUNT} items sent to daemon 0, status {response.status}")
        await asyncio.sleep(1.0)
        self._fleet.daemons[0].kill()
        print("daemon 0 killed")
        done = -1
        while done < ITEM_COUNT:
            response = await self._call(2, "GET", "/-/lots/job-1?after=0", job="read")
            page = json.loads(response.body) if response else {"next": done}
            if page["next"] != done:
                done = page["next"]
                print(f"daemon 2 lists {done} of {ITEM_COUNT} results")
            await asyncio.sleep(0.3)
        counts = [len(r["text"].splitlines()) for r in page["results"]]
        print(f"all items done, {counts} events each, none missing or duplicated")


if __name__ == "__main__":
    asyncio.run(Demo().run())
