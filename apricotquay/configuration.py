"""The configuration stream's state in the threaded daemon. Pure: no I/O, no clock."""

import enum
import zlib

import msgspec

from .document import Document, KeyIndex, parse_document
from .errors import RequestError
from .ids import WriterId
from .records import (
    ConfigCheckpoint,
    ConfigPublished,
    Envelope,
    compress_text,
    decompress_text,
)


class ApplyResult(enum.Enum):
    """What applying a record or a peer's configuration did."""

    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REPEATED = "repeated"
    IGNORED = "ignored"


class Configuration(msgspec.Struct, frozen=True):
    """One version of an environment's document, with the index of its API keys."""

    version: int
    text: str
    document: Document
    keys: KeyIndex


class ConfigState:
    """Applies the records of an environment's stream and holds the document in force.

    Used by the daemon's follower and by the command line. The version only
    increases: a record is accepted if its base version is the current version,
    so that one of several concurrent operators succeeds and the others get a
    conflict. A reader that starts after the log dropped the first records
    starts from a checkpoint.
    """

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.last_offset: int = -1
        self._results: dict[tuple[WriterId, int], ApplyResult] = {}

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one."""
        return self.current.version if self.current else 0

    def apply(self, offset: int, envelope: Envelope) -> ApplyResult:
        """Apply one record; records of other kinds are ignored."""
        if offset <= self.last_offset:
            return ApplyResult.REPEATED
        self.last_offset = offset
        record = envelope.record
        if isinstance(record, ConfigPublished):
            return self._apply_published(envelope, record)
        if isinstance(record, ConfigCheckpoint):
            return self._apply_newer(record.version, record.text_z)
        return ApplyResult.IGNORED

    def apply_from_peer(self, version: int, text: str) -> ApplyResult:
        """Apply a configuration that is in force at a peer, if it is newer."""
        return self._apply_newer(version, compress_text(text))

    def find_result(self, writer: WriterId, seq: int) -> ApplyResult | None:
        """Return the result of an append, or None if it has not been read yet."""
        return self._results.get((writer, seq))

    def _apply_published(
        self, envelope: Envelope, record: ConfigPublished
    ) -> ApplyResult:
        append_id = (envelope.writer, envelope.seq)
        if append_id in self._results:
            # The writer appended again because the first response was lost.
            return ApplyResult.REPEATED
        if record.base_version != self.version:
            result = ApplyResult.CONFLICT
        else:
            result = self._apply_newer(record.base_version + 1, record.text_z)
        self._results[append_id] = result
        return result

    def _apply_newer(self, version: int, text_z: bytes) -> ApplyResult:
        if version <= self.version:
            return ApplyResult.IGNORED
        try:
            text = decompress_text(text_z)
            document = parse_document(text)
        except (RequestError, zlib.error, UnicodeDecodeError):
            return ApplyResult.INVALID
        self.current = Configuration(version, text, document, KeyIndex(document))
        return ApplyResult.IN_FORCE
