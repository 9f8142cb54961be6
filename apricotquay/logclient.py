"""Client of the log service. Only this module changes for another platform's log."""

import itertools
import threading
import time
from typing import Protocol

import cbor2
import msgspec
import urllib3

from .errors import LogUnavailableError
from .ids import StreamName, WriterId
from .records import Envelope, LogEntry, Record, encode_envelope

READ_LIMIT_ENTRIES = 1_000
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


class ReadPage(msgspec.Struct, frozen=True):
    """A page of a stream.

    `first_offset` is the first offset that the log retains; `next_offset` follows
    the newest entry; `entries` starts at the later of the requested offset and
    `first_offset`.
    """

    first_offset: int
    next_offset: int
    entries: list[LogEntry]

    @property
    def reaches_tail(self) -> bool:
        """Whether the log had no newer entry when the page was read."""
        return not self.entries or self.entries[-1].offset == self.next_offset - 1


class Log(Protocol):
    """The interface to the log service."""

    def append(self, stream: StreamName, data: bytes, timeout_s: float) -> int:
        """Append once; raise LogUnavailableError if no offset was returned."""

    def read(
        self,
        stream: StreamName,
        offset: int,
        wait_ms: int,
        limit: int = READ_LIMIT_ENTRIES,
    ) -> ReadPage:
        """Read from an offset; wait up to `wait_ms` for an entry if there is none."""


class HttpLog:
    """The log service over HTTP. Used by the daemon and the command line."""

    def __init__(
        self, url: str, source_host: str | None = None, connections: int = 32
    ) -> None:
        self._url: str = url.rstrip("/")
        self._pool: urllib3.PoolManager = urllib3.PoolManager(
            maxsize=connections,
            block=False,
            retries=False,
            source_address=(source_host, 0) if source_host else None,
        )

    def append(self, stream: StreamName, data: bytes, timeout_s: float) -> int:
        response = self._request("POST", stream, timeout_s, body=data)
        return self._decode(response, stream)["offset"]

    def read(
        self,
        stream: StreamName,
        offset: int,
        wait_ms: int,
        limit: int = READ_LIMIT_ENTRIES,
    ) -> ReadPage:
        fields = {"from": str(offset), "wait_ms": str(wait_ms), "limit": str(limit)}
        timeout_s = wait_ms / 1000 + 2.0
        response = self._request("GET", stream, timeout_s, fields=fields)
        value = self._decode(response, stream)
        try:
            return msgspec.convert(value, ReadPage, builtin_types=(bytes,))
        except msgspec.ValidationError as exc:
            raise LogUnavailableError(
                f"stream {stream}: malformed response: {exc}"
            ) from exc

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _request(
        self, method: str, stream: StreamName, timeout_s: float, **kwargs
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=min(1.0, timeout_s), total=timeout_s)
        url = f"{self._url}/streams/{stream}/records"
        try:
            response = self._pool.request(method, url, timeout=timeout, **kwargs)
        except urllib3.exceptions.HTTPError as exc:
            raise LogUnavailableError(f"stream {stream}: {exc}") from exc
        if response.status != 200:
            raise LogUnavailableError(f"stream {stream}: status {response.status}")
        return response

    @staticmethod
    def _decode(response: urllib3.BaseHTTPResponse, stream: StreamName) -> dict:
        try:
            return cbor2.loads(response.data)
        except (cbor2.CBORDecodeError, ValueError) as exc:
            raise LogUnavailableError(
                f"stream {stream}: malformed response: {exc}"
            ) from exc


class Appender:
    """Appends records under one writer id. Used by every writer of a process.

    An append without a response may have taken effect, so it is retried with the
    same writer id and sequence number, and every reader ignores the duplicate.
    """

    def __init__(self, log: Log, writer: WriterId) -> None:
        self.writer: WriterId = writer
        self._log: Log = log
        self._seq = itertools.count(1)
        self._lock = threading.Lock()

    def envelope(self, record: Record) -> Envelope:
        """Return a record's envelope, with the next sequence number."""
        with self._lock:
            seq = next(self._seq)
        return Envelope(self.writer, seq, record)

    def append(self, stream: StreamName, record: Record, timeout_s: float) -> int:
        """Append a record and return its offset; retry until the timeout."""
        return self.append_envelope(stream, self.envelope(record), timeout_s)

    def append_envelope(
        self, stream: StreamName, envelope: Envelope, timeout_s: float
    ) -> int:
        """Append a record that already has an envelope."""
        data = encode_envelope(envelope)
        deadline_s = time.monotonic() + timeout_s
        delay_s = RETRY_DELAY_S
        while True:
            remaining_s = deadline_s - time.monotonic()
            try:
                return self._log.append(stream, data, max(0.05, min(remaining_s, 2.0)))
            except LogUnavailableError:
                if time.monotonic() + delay_s >= deadline_s:
                    raise
            time.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
