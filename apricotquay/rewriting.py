"""Appends records of a job partition again before the log's retention drops them."""

from .ids import StreamName
from .jobs import Job
from .logclient import Appender
from .recordcache import RecordCache
from .records import ItemResult, RewrittenChunk, RewrittenResults

APPEND_TIMEOUT_S = 5.0
# Records older than this share of the retention time are appended again.
REWRITE_AGE_SHARE = 0.5
RESULTS_PER_RECORD = 200
# The append time is stored for one offset out of this many.
TIME_SAMPLE_INTERVAL_OFFSETS = 16


class RecordRewriter:
    """Tracks the age of a partition's records and appends old ones again.

    Used by `Partition`, which calls all methods but `rewrite` under its lock.
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
        self._time_samples: list[tuple[int, int]] = []

    def record_time(self, offset: int, at_ms: int) -> None:
        """Record when the entry at an offset was appended."""
        if (
            not self._time_samples
            or offset - self._time_samples[-1][0] >= TIME_SAMPLE_INTERVAL_OFFSETS
        ):
            self._time_samples.append((offset, at_ms))

    def due_offset(self, now_ms: int) -> int:
        """Return the offset below which records must be appended again, or 0."""
        rewrite_before_ms = now_ms - int(self._retention_ms * REWRITE_AGE_SHARE)
        before = 0
        while (
            len(self._time_samples) > 1 and self._time_samples[1][1] < rewrite_before_ms
        ):
            before = self._time_samples.pop(0)[0] + TIME_SAMPLE_INTERVAL_OFFSETS
        if self._time_samples and self._time_samples[0][1] < rewrite_before_ms:
            before = max(before, self._time_samples[0][0] + 1)
        return before

    def discard_times_before(self, offset: int) -> None:
        """Discard the times of records that have been appended again."""
        self._time_samples = [
            sample for sample in self._time_samples if sample[0] >= offset
        ]

    def rewrite(self, chunks: list, results: list, claim: int) -> None:
        """Append chunks and results again under a claim.

        Raises LogUnavailableError.
        """
        for job, chunk in chunks:
            items = self._cache.get(self._stream, chunk.offset).items
            record = RewrittenChunk(claim, job.id, chunk.first, items)
            self._appender.append(self._stream, record, APPEND_TIMEOUT_S)
        for start in range(0, len(results), RESULTS_PER_RECORD):
            part = results[start : start + RESULTS_PER_RECORD]
            rewritten = [self._stored_result(*location) for location in part]
            record = RewrittenResults(claim, [r for r in rewritten if r is not None])
            self._appender.append(self._stream, record, APPEND_TIMEOUT_S)

    def _stored_result(self, offset: int, job: Job, index: int) -> ItemResult | None:
        for result in self._cache.get(self._stream, offset).results:
            if result.job == job.id and result.index == index:
                return result
        return None
