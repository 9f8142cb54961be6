"""What an event-loop daemon costs when it has nothing, or little, to do.

The daemons, the store and the servers are processes; the figures of the daemons come
from /proc and from their metrics.
"""

import asyncio
import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

from apricotquay.serving.http.http1 import HttpError, HttpRequest, HttpResponse
from apricotquay.serving.http.httpclient import open_client
from standins.addresses import Address
from standins.platform import make_configuration, write_configuration
from standins.processes import PlatformProcesses

from .results import Row

DAEMON_COUNTS = (3, 9, 27)
SERVERS = 3
STEP_S = 0.005
API_KEY = "bench-key"
METRICS_PORT = 9464
START_TIMEOUT_S = 60.0
SETTLING_TIME_S = 4.0
MEASUREMENT_S = 12.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Positions in /proc/PID/stat, after the command's name.
MINOR_FAULTS = 7
USER_TICKS = 11
SYSTEM_TICKS = 12


class Usage(msgspec.Struct, frozen=True):
    """What a daemon has used since its start."""

    processor_s: float
    wakes: int
    page_faults: int
    store_calls: int


class IdleFleet:
    """A fleet that gets no requests but those of the measurement."""

    def __init__(self, daemons: int) -> None:
        self._processes = PlatformProcesses(
            daemons, SERVERS, STEP_S, metrics=f"{METRICS_PORT}/metrics"
        )
        self.count: int = daemons

    async def start(self) -> None:
        """Start all processes and wait until every daemon serves."""
        self._processes.start_store()
        configuration = make_configuration(1, {"bench": [API_KEY]})
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._write(configuration):
                await asyncio.sleep(0.1)
            self._processes.start()
            for number in range(self.count):
                while not await self.serve(number):
                    await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all processes."""
        self._processes.close()

    async def serve(self, number: int) -> bool:
        """Send a small stream to a daemon; return whether it was served."""
        headers = [
            (b"host", b"a.example"),
            (b"key", API_KEY.encode()),
            (b"attempt-id", f"bench-{time.monotonic_ns()}".encode()),
        ]
        address = self._processes.caller_addresses[number]
        request = HttpRequest("POST", "/s/1", headers, b"events=2")
        response = await _exchange(address, request)
        return response is not None and response.status == 200

    async def usages(self) -> list[Usage]:
        """Return what each daemon has used."""
        return [await self._usage(number) for number in range(self.count)]

    async def _usage(self, number: int) -> Usage:
        proc = Path(f"/proc/{self._processes.daemons[number].pid}")
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        status = (proc / "status").read_text().splitlines()
        wakes = next(s for s in status if s.startswith("voluntary_ctxt_switches"))
        address = self._processes.caller_addresses[number]
        metrics = await _exchange(
            Address(address.host, METRICS_PORT),
            HttpRequest("GET", "/metrics", [(b"host", b"daemon")], b""),
        )
        return Usage(
            (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_PER_S,
            int(wakes.split()[1]),
            int(fields[MINOR_FAULTS]),
            _find_store_calls(metrics),
        )

    async def _write(self, configuration: dict) -> bool:
        try:
            await write_configuration(self._processes.store_address, configuration)
        except Exception:
            # The store is still starting.
            return False
        return True


async def _exchange(address: Address, request: HttpRequest) -> HttpResponse | None:
    """Send a request on a connection of its own; None if it gets no response."""
    try:
        connection = await open_client(address.host, address.port, 1.0)
    except HttpError:
        return None
    try:
        connection.send(request)
        return await connection.read_response()
    except HttpError:
        return None
    finally:
        connection.close()


def _find_store_calls(metrics: HttpResponse | None) -> int:
    lines = metrics.body.decode().splitlines() if metrics else []
    calls = [line for line in lines if line.startswith("apricotquay_store_calls ")]
    return int(float(calls[0].split()[1])) if calls else 0


async def _send_load(fleet: IdleFleet, requests_per_s: float, seconds: float) -> None:
    """Send each daemon requests at even times."""
    interval_s = 1 / (requests_per_s * fleet.count)
    tasks = []
    for number in range(int(seconds / interval_s)):
        tasks.append(asyncio.ensure_future(fleet.serve(number % fleet.count)))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)


async def _measure(daemons: int) -> list[Row]:
    fleet = IdleFleet(daemons)
    try:
        await fleet.start()
        started = await fleet.usages()
        await asyncio.sleep(SETTLING_TIME_S)
        before = await fleet.usages()
        await asyncio.sleep(MEASUREMENT_S)
        idle = await fleet.usages()
        await _send_load(fleet, 1.0, MEASUREMENT_S)
        loaded = await fleet.usages()
    finally:
        fleet.close()
    start_s = sum(usage.processor_s for usage in started) / daemons
    rows = [Row(f"{daemons} daemons", "processor time to start", start_s, "s")]
    rows += _rows(f"{daemons} daemons, idle", before, idle)
    rows += _rows(f"{daemons} daemons, 1 request/s each", idle, loaded)
    return rows


def _rows(scenario: str, before: list[Usage], after: list[Usage]) -> Iterator[Row]:
    """Yield the mean of each figure a daemon and second."""
    figures = (
        ("processor_s", "processor, % of a core", 100.0),
        ("wakes", "wakes a second", 1.0),
        ("page_faults", "page faults a second", 1.0),
        ("store_calls", "store calls a second", 1.0),
    )
    for field, figure, factor in figures:
        used = sum(getattr(usage, field) for usage in after)
        used -= sum(getattr(usage, field) for usage in before)
        value = factor * used / len(after) / MEASUREMENT_S
        yield Row(scenario, figure, value, "")


def measure_idle_daemons() -> Iterator[Row]:
    """Yield the costs of a daemon by the size of the fleet."""
    for daemons in DAEMON_COUNTS:
        yield from asyncio.run(_measure(daemons))
