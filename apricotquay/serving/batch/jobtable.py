"""The batch jobs of one partition, built from its records. Does no I/O."""

from collections.abc import Iterator

import msgspec

from ...ids import JobId, TeamId
from ..fleet.keyedlog import KeyedRecord
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
    decode_text_part,
    job_key,
    join_text_parts,
)


class Job:
    """An accepted job in a `JobTable`, with the results and progress of its items.

    `results` are in the order of their positions, without gaps.
    """

    def __init__(self, key: str, header: JobHeader, items: list[JobItem]) -> None:
        self.key: str = key
        self.header: JobHeader = header
        self.items: list[JobItem] = items
        self.is_cancelled: bool = False
        # Unix time at which this daemon first saw that no item is to be run.
        self.seen_ended_ms: int | None = None
        self.results: list[ResultRecord] = []
        self.open_items: set[int] = set(range(len(items)))
        self.progress: dict[int, ProgressRecord] = {}
        # How many parts the texts have that are too large for one record.
        self.text_parts: dict[int, int] = {}
        self._parts_of_text: dict[int, dict[int, bytes]] = {}
        self._large_texts: dict[int, str] = {}
        self._positions: dict[int, int] = {}
        self._out_of_order: dict[int, ResultRecord] = {}

    @property
    def is_open(self) -> bool:
        """Whether items without a result are still to be run."""
        return bool(self.open_items) and not self.is_cancelled

    @property
    def token_backlog(self) -> int:
        """The tokens of the items without a result; 0 if the job is cancelled."""
        if self.is_cancelled:
            return 0
        return sum(self.items[index].tokens for index in self.open_items)

    def find_item(self, item_id: str) -> int | None:
        """Return the index of the item with an id, or None."""
        for index, item in enumerate(self.items):
            if item.id == item_id:
                return index
        return None

    def apply_progress(self, item: int, progress: ProgressRecord) -> None:
        """Apply an item's progress if it is newer than the known progress."""
        known = self.progress.get(item)
        if item not in self.open_items or not progress.is_newer_than(known):
            return
        if known is not None and known.last_id > progress.last_id:
            progress = ProgressRecord(
                known.last_id, known.data, progress.failures, known.version
            )
        self.progress[item] = progress

    def apply_result(self, item: int, result: ResultRecord) -> None:
        """Apply a result; pages of the log may contain results out of order."""
        if item not in self.open_items:
            return
        self.open_items.discard(item)
        self.progress.pop(item, None)
        self._positions[item] = result.position
        if item in self._large_texts:
            text = self._large_texts.pop(item)
            result = msgspec.structs.replace(result, text=text)
        self._out_of_order[result.position] = result
        while len(self.results) in self._out_of_order:
            self.results.append(self._out_of_order.pop(len(self.results)))

    def apply_text_part(self, item: int, number: int, count: int, data: bytes) -> None:
        """Apply a part of a text that is too large for the record of its result."""
        parts = self._parts_of_text.setdefault(item, {})
        parts[number] = data
        self.text_parts[item] = count
        if len(parts) < count:
            return
        del self._parts_of_text[item]
        text = join_text_parts([parts[n] for n in range(count)])
        position = self._positions.get(item)
        if position is None:
            self._large_texts[item] = text
            return
        is_listed = position < len(self.results)
        results = self.results if is_listed else self._out_of_order
        results[position] = msgspec.structs.replace(results[position], text=text)


class JobTable:
    """All jobs of a partition. Used by the partition's replica.

    Each record is applied once: in offset order while following the log, and in
    any order when the newest record of each key is loaded. Both give the same table.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.skipped_records: int = 0
        self._headers: dict[str, JobHeader] = {}
        self._parts: dict[str, dict[int, bytes]] = {}
        self._early_results: dict[str, dict[int, ResultRecord]] = {}
        self._early_progress: dict[str, dict[int, ProgressRecord]] = {}
        self._early_text_parts: dict[str, dict[str, bytes]] = {}
        self._cancelled: set[str] = set()

    def find(self, team: TeamId, job_id: JobId) -> Job | None:
        """Return a team's job, or None."""
        return self.jobs.get(job_key(team, job_id))

    def token_backlog(self, team: TeamId, host: str, path_prefix: str) -> int:
        """Return the tokens of a team's items without a result on a route."""
        return sum(
            job.token_backlog
            for job in self.jobs.values()
            if job.header.team == team
            and job.header.host == host
            and job.header.path.startswith(path_prefix)
        )

    def fits_backlog(self, submission: Submission, path_prefix: str) -> bool:
        """Whether a job keeps its team within the route's maximum token backlog."""
        if not submission.max_token_backlog:
            return True
        waiting = self.token_backlog(submission.team, submission.host, path_prefix)
        return waiting + submission.tokens <= submission.max_token_backlog

    def expired_jobs(self, now_ms: int, retention_ms: int) -> Iterator[Job]:
        """Yield jobs that were submitted, and seen to have ended, longer ago than
        `retention_ms`: callers of a job that took long still read its last results.
        """
        for job in self.jobs.values():
            if job.is_open:
                continue
            if job.seen_ended_ms is None:
                job.seen_ended_ms = now_ms
            if now_ms - max(job.header.submitted_ms, job.seen_ended_ms) > retention_ms:
                yield job

    def open_jobs(self) -> Iterator[Job]:
        """Yield the jobs with items to run."""
        return (job for job in self.jobs.values() if job.is_open)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; count and skip it if it cannot be decoded."""
        try:
            self._apply(record)
        except Exception:
            # Another writer's bytes may cause errors of any kind.
            self.skipped_records += 1

    def _apply(self, record: KeyedRecord) -> None:
        kind, _, rest = record.key.decode("ascii").partition("/")
        key, _, number = rest.partition("/")
        if record.value is None:
            self._delete(kind, key, number)
        elif kind == "p":
            self._parts.setdefault(key, {})[int(number)] = record.value
            self._assemble_job(key)
        elif kind == "j":
            self._headers[key] = decode_header(record.value)
            self._assemble_job(key)
        elif kind == "r":
            self._apply_result(key, int(number), decode_result(record.value))
        elif kind == "x":
            self._apply_text_part(key, number, record.value)
        elif kind == "w":
            self._apply_progress(key, int(number), decode_progress(record.value))
        elif kind == "c":
            self._cancelled.add(key)
            if key in self.jobs:
                self.jobs[key].is_cancelled = True

    def _assemble_job(self, key: str) -> None:
        header = self._headers.get(key)
        parts = self._parts.get(key, {})
        if key in self.jobs or header is None or len(parts) < header.part_count:
            return
        payload = b"".join(parts[n] for n in range(header.part_count))
        del self._parts[key]
        job = Job(key, header, decode_items(payload))
        job.is_cancelled = key in self._cancelled
        self.jobs[key] = job
        for item, result in self._early_results.pop(key, {}).items():
            job.apply_result(item, result)
        for item, progress in self._early_progress.pop(key, {}).items():
            job.apply_progress(item, progress)
        for number, value in self._early_text_parts.pop(key, {}).items():
            self._apply_text_part(key, number, value)

    def _apply_text_part(self, key: str, number: str, value: bytes) -> None:
        job = self.jobs.get(key)
        if job is None:
            self._early_text_parts.setdefault(key, {})[number] = value
            return
        item, _, part = number.partition("/")
        job.apply_text_part(int(item), int(part), *decode_text_part(value))

    def _apply_result(self, key: str, item: int, result: ResultRecord) -> None:
        job = self.jobs.get(key)
        if job is None:
            self._early_results.setdefault(key, {})[item] = result
        else:
            job.apply_result(item, result)

    def _apply_progress(self, key: str, item: int, progress: ProgressRecord) -> None:
        job = self.jobs.get(key)
        if job is None:
            self._early_progress.setdefault(key, {})[item] = progress
        else:
            job.apply_progress(item, progress)

    def _delete(self, kind: str, key: str, number: str) -> None:
        if kind == "j":
            self.jobs.pop(key, None)
            self._headers.pop(key, None)
            self._early_results.pop(key, None)
            self._early_progress.pop(key, None)
            self._early_text_parts.pop(key, None)
            self._cancelled.discard(key)
        elif kind == "p":
            self._parts.get(key, {}).pop(int(number), None)
