"""Random access to single records of a stream, with a bounded cache."""

import collections
import threading

from .errors import LogUnavailableError
from .ids import StreamName
from .logclient import Log
from .records import Record, decode_envelope


class RecordCache:
    """Reads payloads and results, which stay in the log, by offset.

    Shared by all partitions of a daemon; evicts the least recently used records.
    """

    def __init__(self, log: Log, limit_bytes: int) -> None:
        self._log: Log = log
        self._limit_bytes: int = limit_bytes
        self._bytes: int = 0
        self._lock = threading.Lock()
        self._records: collections.OrderedDict[
            tuple[StreamName, int], tuple[Record, int]
        ] = collections.OrderedDict()

    def put(self, stream: StreamName, offset: int, record: Record, size: int) -> None:
        """Cache a record that was just read."""
        with self._lock:
            if (stream, offset) in self._records:
                return
            self._records[(stream, offset)] = (record, size)
            self._bytes += size
            while self._bytes > self._limit_bytes and len(self._records) > 1:
                _, (_, dropped) = self._records.popitem(last=False)
                self._bytes -= dropped

    def get(self, stream: StreamName, offset: int) -> Record:
        """Return a record; raise LogUnavailableError if it cannot be read."""
        with self._lock:
            found = self._records.get((stream, offset))
            if found is not None:
                self._records.move_to_end((stream, offset))
                return found[0]
        page = self._log.read(stream, offset, 0, limit=1)
        if not page.entries or page.entries[0].offset != offset:
            raise LogUnavailableError(
                f"stream {stream}: offset {offset} is not retained"
            )
        entry = page.entries[0]
        envelope = decode_envelope(entry.data)
        if envelope is None:
            raise LogUnavailableError(f"stream {stream}: offset {offset} is malformed")
        self.put(stream, offset, envelope.record, len(entry.data))
        return envelope.record
