"""Stand-in for the append-only log service of the threaded daemon.

POST /streams/NAME/records appends the body and returns its offset. GET reads from
an offset and waits up to `wait_ms` if there is no entry yet. Offsets of a stream are
0, 1, 2, … Entries older than the retention are dropped. POST /faults sets the faults.
"""

import threading
import time

from .web import (
    Request,
    Response,
    cbor_response,
    json_response,
    make_argument_parser,
    run_server,
)

EXPIRY_INTERVAL_S = 0.2


class Stream:
    """Retained entries of a stream, and the offset of the first of them."""

    def __init__(self) -> None:
        self.first_offset: int = 0
        self.entries: list[tuple[float, bytes]] = []

    @property
    def next_offset(self) -> int:
        """The offset of the next append."""
        return self.first_offset + len(self.entries)

    def drop_before(self, cutoff_s: float) -> None:
        """Drop entries that were appended before a time."""
        count = 0
        for appended_s, _ in self.entries:
            if appended_s >= cutoff_s:
                break
            count += 1
        del self.entries[:count]
        self.first_offset += count


class LogFaults:
    """Faults that POST /faults sets by attribute name while the stand-in runs."""

    def __init__(self) -> None:
        self.outage: bool = False
        self.append_outage: bool = False
        self.slow_ms: int = 0
        self.lose_append_answers: int = 0
        self.retention_ms: int = 24 * 3_600_000
        self.appends_per_s: int = 400

    def update(self, values: dict) -> None:
        """Set faults by name."""
        for name, value in values.items():
            if not hasattr(self, name):
                raise KeyError(name)
            setattr(self, name, value)


class LogService:
    """State and HTTP handler of the stand-in."""

    def __init__(self) -> None:
        self.faults: LogFaults = LogFaults()
        self.append_count: int = 0
        self.append_bytes: int = 0
        self._streams: dict[str, Stream] = {}
        self._changed = threading.Condition()
        self._append_tokens: float = float(self.faults.appends_per_s)
        self._refilled_s: float = time.monotonic()
        self._dropped_s: float = time.monotonic()

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        if request.path == "/faults":
            self.faults.update(request.json())
            return json_response({"ok": True})
        if request.path == "/stats":
            stats = {"appends": self.append_count, "append_bytes": self.append_bytes}
            return json_response(stats)
        if self.faults.outage:
            return json_response({"error": "outage"}, 503)
        if self.faults.slow_ms:
            time.sleep(self.faults.slow_ms / 1000)
        name = request.path.split("/")[2]
        if request.method == "POST":
            return self._append(name, request.body)
        return self._read(name, request.query)

    def _append(self, name: str, data: bytes) -> Response:
        if self.faults.append_outage:
            return json_response({"error": "outage"}, 503)
        with self._changed:
            if not self._take_token():
                return json_response({"error": "too many appends"}, 429)
            stream = self._streams.setdefault(name, Stream())
            offset = stream.next_offset
            stream.entries.append((time.monotonic(), data))
            self.append_count += 1
            self.append_bytes += len(data)
            self._changed.notify_all()
            if self.faults.lose_append_answers > 0:
                self.faults.lose_append_answers -= 1
                return json_response({"error": "answer lost"}, 504)
        return cbor_response({"offset": offset})

    def _read(self, name: str, query: dict[str, str]) -> Response:
        start = int(query.get("from", "0"))
        limit = int(query.get("limit", "1000"))
        deadline_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            stream = self._streams.setdefault(name, Stream())
            while stream.next_offset <= start:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or self.faults.outage:
                    break
                self._changed.wait(remaining_s)
            self._drop_expired()
            first = max(start, stream.first_offset)
            index = first - stream.first_offset
            entries = stream.entries[index : index + limit]
            page = self._encode_page(stream, first, entries)
        if self.faults.outage:
            return json_response({"error": "outage"}, 503)
        return cbor_response(page)

    @staticmethod
    def _encode_page(
        stream: Stream, first: int, entries: list[tuple[float, bytes]]
    ) -> dict:
        now_s = time.monotonic()
        return {
            "first_offset": stream.first_offset,
            "next_offset": stream.next_offset,
            "entries": [
                {
                    "offset": first + i,
                    "age_ms": int((now_s - appended_s) * 1000),
                    "data": data,
                }
                for i, (appended_s, data) in enumerate(entries)
            ],
        }

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        rate = self.faults.appends_per_s
        refilled = self._append_tokens + (now_s - self._refilled_s) * rate
        self._append_tokens = min(refilled, rate)
        self._refilled_s = now_s
        if self._append_tokens < 1:
            return False
        self._append_tokens -= 1
        return True

    def _drop_expired(self) -> None:
        now_s = time.monotonic()
        if now_s - self._dropped_s < EXPIRY_INTERVAL_S:
            return
        self._dropped_s = now_s
        cutoff_s = now_s - self.faults.retention_ms / 1000
        for stream in self._streams.values():
            stream.drop_before(cutoff_s)


def main() -> None:
    """Run the stand-in."""
    args = make_argument_parser(__doc__).parse_args()
    run_server(LogService().handle, args.host, args.port, threads=200)


if __name__ == "__main__":
    main()
