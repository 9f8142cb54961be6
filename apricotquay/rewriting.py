"""Appends records of a partition again before the log's retention drops them."""

from .ids import StreamName
from .jobs import Job
from .logclient import Appender
from .recordcache import RecordCache
from .records import ItemResult, RewrittenChunk, RewrittenResults

APPEND_TIMEOUT_S = 5.0
# Records are appended again when this share of the retention has passed.
CARRY_SHARE = 0.5
CARRIED_A_RECORD = 200
# The times of records are kept for one offset in so many.
MARK_EVERY_OFFSETS = 16


class RecordRewriter:
    """Knows how old a partition's records are. Used by `Partition`, under its lock
    but for `carry`.
    """

    def __init__(
        self,
        stream: StreamName,
        appender: Appender,
        cache: RecordCache,
        retention_ms: int,
    ) -> None:
        self._stream: StreamName = stream
        self._appender: Appender = appender
        self._cache: RecordCache = cache
        self._retention_ms: int = retention_ms
        self._marks: list[tuple[int, int]] = []

    def see_record(self, offset: int, at_ms: int) -> None:
        """A record was read that was appended at a time."""
        if not self._marks or offset - self._marks[-1][0] >= MARK_EVERY_OFFSETS:
            self._marks.append((offset, at_ms))

    def due_before(self, now_ms: int) -> int:
        """Return the offset before which records are to be appended again, or 0."""
        limit_ms = now_ms - int(self._retention_ms * CARRY_SHARE)
        before = 0
        while len(self._marks) > 1 and self._marks[1][1] < limit_ms:
            before = self._marks.pop(0)[0] + MARK_EVERY_OFFSETS
        if self._marks and self._marks[0][1] < limit_ms:
            before = max(before, self._marks[0][0] + 1)
        return before

    def forget_before(self, offset: int) -> None:
        """All before an offset has been appended again."""
        self._marks = [mark for mark in self._marks if mark[0] >= offset]

    def carry(self, chunks: list, results: list, claim: int) -> None:
        """Append chunks and results again under a claim; LogUnavailableError."""
        for job, place in chunks:
            items = self._cache.get(self._stream, place.offset).items
            record = RewrittenChunk(claim, job.id, place.first, items)
            self._appender.append(self._stream, record, APPEND_TIMEOUT_S)
        for start in range(0, len(results), CARRIED_A_RECORD):
            part = results[start : start + CARRIED_A_RECORD]
            carried = [self._stored_result(*place) for place in part]
            record = RewrittenResults(claim, [r for r in carried if r is not None])
            self._appender.append(self._stream, record, APPEND_TIMEOUT_S)

    def _stored_result(self, offset: int, job: Job, index: int) -> ItemResult | None:
        for result in self._cache.get(self._stream, offset).results:
            if result.job == job.id and result.index == index:
                return result
        return None
