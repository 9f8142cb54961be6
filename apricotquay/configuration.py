"""The fold of an environment's configuration stream. Pure: no I/O, no clock."""

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
    """What the fold made of a record."""

    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REPEATED = "repeated"
    IGNORED = "ignored"


class Configuration(msgspec.Struct, frozen=True):
    """A configuration in force, with its index of keys."""

    version: int
    text: str
    document: Document
    keys: KeyIndex


class ConfigState:
    """Folds published documents into the one in force.

    Used by the daemon's follower and by the command line. The version only
    grows: a record is accepted when it names the current version as its base,
    so that of racing operators one wins and the others get a conflict. A fold
    that starts behind the first kept offset begins with a checkpoint.
    """

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.last_offset: int = -1
        self._verdicts: dict[tuple[WriterId, int], ApplyResult] = {}

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.current.version if self.current else 0

    def apply(self, offset: int, envelope: Envelope) -> ApplyResult:
        """Fold one record in; records of other kinds are ignored."""
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
        """Take a configuration that a peer has in force, if it is newer."""
        return self._apply_newer(version, compress_text(text))

    def find_result(self, writer: WriterId, seq: int) -> ApplyResult | None:
        """Return what became of an append, or None if it was not read yet."""
        return self._verdicts.get((writer, seq))

    def _apply_published(
        self, envelope: Envelope, record: ConfigPublished
    ) -> ApplyResult:
        append_id = (envelope.writer, envelope.seq)
        if append_id in self._verdicts:
            # The writer appended again because the first answer was lost.
            return ApplyResult.REPEATED
        if record.base_version != self.version:
            verdict = ApplyResult.CONFLICT
        else:
            verdict = self._apply_newer(record.base_version + 1, record.text_z)
        self._verdicts[append_id] = verdict
        return verdict

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
