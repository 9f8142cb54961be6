"""Shows the main job on the platform's stand-ins: a stream and a small batch job.

Three daemons, two model servers and a store run as processes; the daemon that took
the job is killed half-way, and another finishes it.
"""

import asyncio
import base64
import json

from apricotquay.serving.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.httpclient import open_client

from .platform import make_configuration, write_configuration
from .processes import PlatformProcesses

KEY = "demo-key"
ITEMS = 6
EVENTS = 40
START_S = 20.0


class Demo:
    """One showing."""

    def __init__(self) -> None:
        self._fleet = PlatformProcesses(3, 2, 0.05)

    async def run(self) -> None:
        """Show both jobs, and end all processes."""
        try:
            await self._start()
            await self._show_stream()
            await self._show_job()
        finally:
            self._fleet.close()

    async def _start(self) -> None:
        fleet = self._fleet
        fleet.start_store()
        async with asyncio.timeout(START_S):
            while not await self._configure():
                await asyncio.sleep(0.1)
            fleet.start()
            for number in range(len(fleet.daemons)):
                while (await self._call(number, "POST", "/s/0", b"events=1")) is None:
                    await asyncio.sleep(0.1)
        print(f"3 daemons and 2 servers run; their logs are in {fleet.folder}")

    async def _configure(self) -> bool:
        value = make_configuration(1, {"demo": [KEY]})
        try:
            await write_configuration(self._fleet.store_address, value)
        except Exception:
            # The store is starting.
            return False
        return True

    async def _call(
        self, number: int, method: str, target: str, body: bytes = b"", job: str = "a"
    ) -> HttpResponse | None:
        address = self._fleet.callers[number]
        headers = [
            (b"host", b"a.example"),
            (b"key", KEY.encode()),
            (b"attempt-id", job.encode()),
        ]
        try:
            connection = await open_client(address.host, address.port, 1.0)
        except HttpError:
            return None
        try:
            connection.send(HttpRequest(method, target, headers, body))
            answer = await connection.read_response()
        except HttpError:
            return None
        finally:
            connection.close()
        return answer if answer.status < 500 else None

    async def _show_stream(self) -> None:
        answer = await self._call(1, "POST", "/s/1", b"events=3", "stream-1")
        print(f"a stream through daemon 1, status {answer.status}:")
        print(answer.body.decode())

    async def _show_job(self) -> None:
        body = base64.b64encode(f"events={EVENTS}".encode()).decode()
        items = [
            {"id": f"item-{n}", "path": "/b/1", "body": body, "tokens": 9}
            for n in range(ITEMS)
        ]
        data = json.dumps({"items": items}).encode()
        answer = await self._call(0, "POST", "/b/1", data, "job-1")
        print(f"a job of {ITEMS} items handed to daemon 0, status {answer.status}")
        await asyncio.sleep(1.0)
        self._fleet.daemons[0].kill()
        print("daemon 0 is killed")
        done = -1
        while done < ITEMS:
            answer = await self._call(2, "GET", "/-/lots/job-1?after=0", job="read")
            page = json.loads(answer.body) if answer else {"next": done}
            if page["next"] != done:
                done = page["next"]
                print(f"daemon 2 lists {done} of {ITEMS} results")
            await asyncio.sleep(0.3)
        texts = [len(r["text"].splitlines()) for r in page["results"]]
        print(f"all done, {texts} events each, none missing and none twice")


if __name__ == "__main__":
    asyncio.run(Demo().run())
