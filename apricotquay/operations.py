"""Operators' actions: validate, compare, publish, promote and withdraw a key.

The command line is a thin layer over this module, which does not depend on it.
"""

import difflib
import time
import uuid
from collections.abc import Iterator

import msgspec

from .clocks import Clock
from .configuration import ApplyResult, ConfigState, Configuration
from .document import Document, encode_document, parse_document
from .environment import config_stream
from .errors import ErrorKind, LogUnavailableError, RequestError
from .ids import KeyHash, StreamName, WriterId, hash_key
from .logclient import Appender, Log
from .records import ConfigPublished, compress_text, decode_envelope

APPEND_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2


class PublishedVersion(msgspec.Struct, frozen=True):
    """A document that was accepted, and the version it got."""

    environment: str
    version: int


class ConfigClient:
    """Reads an environment's stream and publishes to it. Used by operators' tools."""

    def __init__(self, log: Log, environment: str, clock: Clock) -> None:
        self.environment: str = environment
        self.state = ConfigState()
        self._stream: StreamName = config_stream(environment)
        self._log: Log = log
        self._clock: Clock = clock
        self._next_offset: int = 0

    def refresh(self) -> Configuration | None:
        """Read the stream to its tail and return the configuration in force."""
        while True:
            page = self._log.read(self._stream, self._next_offset, 0)
            for entry in page.entries:
                envelope = decode_envelope(entry.data)
                if envelope is not None:
                    self.state.apply(entry.offset, envelope)
                self._next_offset = entry.offset + 1
            if page.reaches_tail:
                return self.state.current

    def publish(
        self, text: str, base_version: int, operator: str, timeout_s: float = 30.0
    ) -> PublishedVersion:
        """Publish a document; raise VERSION_CONFLICT if the base version is outdated.

        If the response to an append is lost, the record is looked up in the log
        and, if it is not there, appended again with the same writer and sequence
        number.
        """
        parse_document(text)
        self.refresh()
        if base_version != self.state.version:
            raise self._make_conflict_error(base_version)
        appender = Appender(self._log, WriterId(f"operator/{uuid.uuid4().hex}"))
        record = ConfigPublished(
            base_version, compress_text(text), operator, self._clock.wall_ms()
        )
        envelope = appender.envelope(record)
        deadline_s = self._clock.now_s() + timeout_s
        while self._clock.now_s() < deadline_s:
            try:
                appender.append_envelope(self._stream, envelope, APPEND_TIMEOUT_S)
            except LogUnavailableError:
                time.sleep(RETRY_DELAY_S)
            result = self._read_result(envelope.writer, envelope.seq)
            if result is ApplyResult.IN_FORCE:
                return PublishedVersion(self.environment, base_version + 1)
            if result is not None:
                raise self._make_conflict_error(base_version)
        raise RequestError(
            ErrorKind.LOG_UNAVAILABLE,
            "the log did not confirm the document; check `status` before a retry",
        )

    def _read_result(self, writer: WriterId, seq: int) -> ApplyResult | None:
        try:
            self.refresh()
        except LogUnavailableError:
            return None
        return self.state.find_result(writer, seq)

    def _make_conflict_error(self, base_version: int) -> RequestError:
        return RequestError(
            ErrorKind.VERSION_CONFLICT,
            f"{self.environment}: version {base_version} is not current any more, "
            f"version {self.state.version} is; nothing was changed",
            param="base_version",
        )


def diff_lines(old: str, new: str) -> Iterator[str]:
    """Yield a unified diff of two documents in canonical form."""
    yield from difflib.unified_diff(
        _format_lines(old), _format_lines(new), "in force", "new", lineterm=""
    )


def promote(
    source: ConfigClient, target: ConfigClient, operator: str, source_version: int = 0
) -> PublishedVersion:
    """Publish one environment's document in another.

    A `source_version` other than zero must be the version in force, so that the
    promoted document is the one that was tested.
    """
    current = source.refresh()
    if current is None:
        raise RequestError(
            ErrorKind.DOCUMENT_INVALID, f"{source.environment}: nothing is published"
        )
    if source_version and current.version != source_version:
        raise RequestError(
            ErrorKind.VERSION_CONFLICT,
            f"{source.environment}: version {current.version} is in force, "
            f"not {source_version}; nothing was changed",
            param="source_version",
        )
    target.refresh()
    return target.publish(current.text, target.state.version, operator)


def withdraw_key(
    client: ConfigClient, key_or_hash: str, operator: str
) -> PublishedVersion:
    """Mark a key as withdrawn; it may be given as the key or as its hash."""
    current = client.refresh()
    if current is None:
        raise RequestError(
            ErrorKind.DOCUMENT_INVALID, f"{client.environment}: nothing is published"
        )
    document, found = _withdraw_in_document(current.document, key_or_hash)
    if not found:
        raise RequestError(ErrorKind.KEY_REJECTED, "no team has this key", param="key")
    return client.publish(encode_document(document), current.version, operator)


def _withdraw_in_document(
    document: Document, key_or_hash: str
) -> tuple[Document, bool]:
    hashes = {KeyHash(key_or_hash), hash_key(key_or_hash)}
    found = False
    teams = {}
    for team_id, team in document.teams.items():
        keys = []
        for key in team.keys:
            if key.hash in hashes:
                key = msgspec.structs.replace(key, withdrawn=True)
                found = True
            keys.append(key)
        teams[team_id] = msgspec.structs.replace(team, keys=keys)
    return msgspec.structs.replace(document, teams=teams), found


def _format_lines(text: str) -> list[str]:
    if not text:
        return []
    data = encode_document(parse_document(text)).encode()
    return msgspec.json.format(data, indent=2).decode().splitlines()
