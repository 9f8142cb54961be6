"""The batch jobs of one partition: a fold over its records. Pure."""

import zlib
from collections.abc import Iterator

import cbor2
import msgspec

from ..ids import JobId, TeamId
from .jobrecords import (
    JobHeader,
    JobItem,
    ProgressRecord,
    ResultRecord,
    Submission,
    decode_header,
    decode_items,
    decode_progress,
    decode_result,
    job_key,
)
from .keyedlog import KeyedRecord

# What decoding a record of another writer or release may raise.
UNREADABLE = (
    ValueError,
    TypeError,
    IndexError,
    KeyError,
    zlib.error,
    msgspec.ValidationError,
    cbor2.CBORDecodeError,
)


class Job:
    """One accepted job and what is known of it."""

    def __init__(self, key: str, header: JobHeader, items: list[JobItem]) -> None:
        self.key: str = key
        self.header: JobHeader = header
        self.items: list[JobItem] = items
        self.is_cancelled: bool = False
        self.listed: list[ResultRecord] = []
        self.open_items: set[int] = set(range(len(items)))
        self.progress: dict[int, ProgressRecord] = {}
        self._early: dict[int, ResultRecord] = {}

    @property
    def is_open(self) -> bool:
        """Whether items are still to be listed."""
        return bool(self.open_items) and not self.is_cancelled

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that are not listed."""
        if self.is_cancelled:
            return 0
        return sum(self.items[index].tokens for index in self.open_items)

    def item_named(self, item_id: str) -> int | None:
        """Return the index of an item."""
        for index, item in enumerate(self.items):
            if item.id == item_id:
                return index
        return None

    def see_progress(self, item: int, progress: ProgressRecord) -> None:
        """Take in what an item has produced, if that is more than is known."""
        known = self.progress.get(item)
        if item not in self.open_items or not progress.is_news(known):
            return
        if known is not None and known.last_id > progress.last_id:
            progress = ProgressRecord(known.last_id, known.data, progress.failures)
        self.progress[item] = progress

    def list_result(self, item: int, result: ResultRecord) -> None:
        """Take in a result; pages of the log may bring them out of order."""
        if item not in self.open_items:
            return
        self.open_items.discard(item)
        self.progress.pop(item, None)
        self._early[result.position] = result
        while len(self.listed) in self._early:
            self.listed.append(self._early.pop(len(self.listed)))


class JobTable:
    """All jobs of a partition. Used by the partition's replica.

    Records are applied once each in the order of their offsets, or, on loading,
    as the newest of each key in any order; both give the same table.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.unreadable: int = 0
        self._headers: dict[str, JobHeader] = {}
        self._parts: dict[str, dict[int, bytes]] = {}
        self._results: dict[str, dict[int, ResultRecord]] = {}
        self._progress: dict[str, dict[int, ProgressRecord]] = {}
        self._cancelled: set[str] = set()

    def find(self, team: TeamId, job_id: JobId) -> Job | None:
        """Return a team's job."""
        return self.jobs.get(job_key(team, job_id))

    def waiting_tokens(self, team: TeamId, host: str, path_prefix: str) -> int:
        """Return the tokens that a team has waiting on a route."""
        return sum(
            job.waiting_tokens
            for job in self.jobs.values()
            if job.header.team == team
            and job.header.host == host
            and job.header.path.startswith(path_prefix)
        )

    def fits(self, submission: Submission, path_prefix: str) -> bool:
        """Whether a job fits into what its team may have waiting."""
        if not submission.max_token_backlog:
            return True
        waiting = self.waiting_tokens(submission.team, submission.host, path_prefix)
        return waiting + submission.tokens <= submission.max_token_backlog

    def forgettable(self, now_ms: int, kept_ms: int) -> Iterator[Job]:
        """Yield the jobs that are over and were submitted so long ago."""
        return (
            job
            for job in self.jobs.values()
            if not job.is_open and now_ms - job.header.submitted_ms > kept_ms
        )

    def open_jobs(self) -> Iterator[Job]:
        """Yield the jobs with items to run."""
        return (job for job in self.jobs.values() if job.is_open)

    def apply(self, record: KeyedRecord) -> None:
        """Take in one record; one that cannot be read is counted and skipped."""
        try:
            self._apply(record)
        except UNREADABLE:
            self.unreadable += 1

    def _apply(self, record: KeyedRecord) -> None:
        kind, _, rest = record.key.decode("ascii").partition("/")
        key, _, number = rest.partition("/")
        if record.value is None:
            self._drop(kind, key, number)
        elif kind == "p":
            self._parts.setdefault(key, {})[int(number)] = record.value
            self._open(key)
        elif kind == "j":
            self._headers[key] = decode_header(record.value)
            self._open(key)
        elif kind == "r":
            self._take_result(key, int(number), decode_result(record.value))
        elif kind == "w":
            self._take_progress(key, int(number), decode_progress(record.value))
        elif kind == "c":
            self._cancelled.add(key)
            if key in self.jobs:
                self.jobs[key].is_cancelled = True

    def _open(self, key: str) -> None:
        header = self._headers.get(key)
        parts = self._parts.get(key, {})
        if key in self.jobs or header is None or len(parts) < header.part_count:
            return
        payload = b"".join(parts[n] for n in range(header.part_count))
        del self._parts[key]
        job = Job(key, header, decode_items(payload))
        job.is_cancelled = key in self._cancelled
        self.jobs[key] = job
        for item, result in self._results.pop(key, {}).items():
            job.list_result(item, result)
        for item, progress in self._progress.pop(key, {}).items():
            job.see_progress(item, progress)

    def _take_result(self, key: str, item: int, result: ResultRecord) -> None:
        job = self.jobs.get(key)
        if job is None:
            self._results.setdefault(key, {})[item] = result
        else:
            job.list_result(item, result)

    def _take_progress(self, key: str, item: int, progress: ProgressRecord) -> None:
        job = self.jobs.get(key)
        if job is None:
            self._progress.setdefault(key, {})[item] = progress
        else:
            job.see_progress(item, progress)

    def _drop(self, kind: str, key: str, number: str) -> None:
        if kind == "j":
            self.jobs.pop(key, None)
            self._headers.pop(key, None)
            self._results.pop(key, None)
            self._progress.pop(key, None)
            self._cancelled.discard(key)
        elif kind == "p":
            self._parts.get(key, {}).pop(int(number), None)
