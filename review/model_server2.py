"""A model server for the scripts of the second review.

    model_server2.py ADDRESS STORE ID [--endless-after S] [--chunk BYTES] [--runaway]

It registers in the store and answers each request with a stream of 28 events, in
chunks, until the caller closes. With `--endless-after` it is in trouble from so many
seconds after its start: after a sound head its body goes on without end and without a
whole event, in chunks of `--chunk` bytes, until the caller closes. With `--runaway` its
answers don't end: events of one Cyrillic letter follow until the caller closes.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from apricotquay.platform.store import StoreClient  # noqa: E402
from apricotquay.serving.fleet.keyedlog import KeyedRecord, Topic  # noqa: E402

SLOTS = 8
EVENTS = 28
STEP_S = 0.006
CHUNKS_PER_WRITE = 2_000
EVENTS_PER_WRITE = 500


class Server:
    """Serves one request a connection."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._started_s: float = time.monotonic()
        self._running: int = 0

    async def serve(self, reader, writer) -> None:
        """Serve a connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            await self._answer(reader, writer, _headers(head))
        writer.close()

    async def _answer(self, reader, writer, headers: dict[str, str]) -> None:
        attempt = headers["attempt-id"]
        if headers.get("expect-instance") not in (None, self._args.id):
            await _reject(writer, 421, attempt)
            return
        await reader.readexactly(int(headers.get("content-length", 0)))
        if self._running >= SLOTS:
            await _reject(writer, 503, attempt)
            return
        self._running += 1
        began_s = time.monotonic()
        try:
            await self._run(writer, attempt, int(headers.get("last-event-id", -1)))
        finally:
            self._running -= 1
            print(f"{attempt} ran for {time.monotonic() - began_s:.3f} s", flush=True)

    async def _run(self, writer, attempt: str, after: int) -> None:
        lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {attempt}"]
        lines += [f"Response-Stamp: {self._args.id}.{attempt}"]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\n")
        if self._is_in_trouble():
            await self._write_without_end(writer)
        if self._args.runaway:
            await self._write_events_without_end(writer, after + 1)
        for number in range(after + 1, EVENTS):
            await asyncio.sleep(STEP_S)
            event = b"id: %d\ndata: %s-%d\n\n" % (number, attempt.encode(), number)
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _is_in_trouble(self) -> bool:
        after_s = self._args.endless_after
        return after_s is not None and time.monotonic() - self._started_s >= after_s

    async def _write_without_end(self, writer) -> None:
        block = _chunk(b"x" * self._args.chunk) * CHUNKS_PER_WRITE
        while True:
            writer.write(block)
            await writer.drain()

    async def _write_events_without_end(self, writer, first: int) -> None:
        for start in itertools.count(first, EVENTS_PER_WRITE):
            numbers = range(start, start + EVENTS_PER_WRITE)
            events = (b"id: %d\ndata: \xd1\x8f\n\n" % n for n in numbers)
            writer.write(_chunk(b"".join(events)))
            await writer.drain()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _reject(writer, status: int, attempt: str) -> None:
    lines = [f"HTTP/1.1 {status} No", f"Attempt-Id: {attempt}", "Not-Run: 1"]
    lines += ["Content-Length: 0", "Connection: close"]
    writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\n")
    await writer.drain()


async def main() -> None:
    """Register and serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("store")
    parser.add_argument("id")
    parser.add_argument("--endless-after", type=float)
    parser.add_argument("--chunk", type=int, default=1)
    parser.add_argument("--runaway", action="store_true")
    args = parser.parse_args()
    host, _, port = args.address.rpartition(":")
    await asyncio.start_server(Server(args).serve, host, int(port))
    entry = {
        "service": "llm",
        "address": args.address,
        "zone": "zone-0",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": time.time_ns() // 1_000_000,
    }
    store_host, _, store_port = args.store.rpartition(":")
    store = StoreClient(store_host, int(store_port))
    record = KeyedRecord(args.id.encode(), json.dumps(entry).encode())
    await store.append(Topic("keyed.servers"), 0, [record], None)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
