"""Keeps a daemon's view of the platform up to date: configuration and endpoints."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

import msgspec

from ..clocks import Clock
from ..errors import ApricotquayError
from ..events import Event
from ..ids import EndpointId
from .backoff import Backoff
from .catalog import Configuration
from .endpoints import Endpoint, EndpointTable
from .keyedlog import KeyedLog, KeyedRecord, LogError, LogExpiredError, Page, Topic
from .reporting import Reporter
from .tasks import start_task

READ_WAIT_MS = 1_000
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.8
EXPIRE_INTERVAL_S = 0.1


class RecordUnreadableError(ApricotquayError):
    """A record of the platform describes nothing usable; the message says why."""


class Directory(Protocol):
    """Decodes the platform's records. Implemented by `PlatformDirectory`."""

    configuration_topic: Topic
    endpoint_topic: Topic

    def decode_configuration(self, record: KeyedRecord) -> Configuration | None:
        """Decode a configuration; None for a record of another kind."""

    def decode_endpoint(self, record: KeyedRecord) -> tuple[EndpointId, Endpoint]:
        """Decode an endpoint's entry."""

    def endpoint_id(self, record: KeyedRecord) -> EndpointId:
        """Return the id of the endpoint that a record describes."""


class TopicProgress(msgspec.Struct):
    """How far a topic has been read; all records before `confirmed_s` are applied.

    Offsets only rise within one daemon.
    """

    end: int = -1
    confirmed_s: float = float("-inf")


class View:
    """Follows both topics and applies records that peers send. One per daemon."""

    def __init__(
        self, log: KeyedLog, directory: Directory, clock: Clock, reporter: Reporter
    ) -> None:
        self.configuration: Configuration | None = None
        self.endpoints: EndpointTable = EndpointTable()
        self.on_change: Callable[[], None] = lambda: None
        self.configuration_record: KeyedRecord | None = None
        self.endpoint_records: dict[bytes, KeyedRecord] = {}
        self._log: KeyedLog = log
        self._directory: Directory = directory
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._progress: dict[Topic, TopicProgress] = {
            directory.configuration_topic: TopicProgress(),
            directory.endpoint_topic: TopicProgress(),
        }
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start following the platform's topics."""
        self._tasks = [
            start_task(f"follow {topic}", partial(self._follow, topic), self._reporter)
            for topic in self._progress
        ]
        self._tasks.append(start_task("expire", self._expire, self._reporter))

    async def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def age_s(self) -> float:
        """Return the time since the less recently confirmed topic was confirmed."""
        oldest_s = min(progress.confirmed_s for progress in self._progress.values())
        return self._clock.now_s() - oldest_s

    def newest_endpoint_offset(self) -> int:
        """Return the newest known offset of the endpoint topic, -1 for none."""
        return max((r.offset for r in self.endpoint_records.values()), default=-1)

    def apply_records(
        self, configuration: list[KeyedRecord], endpoints: list[KeyedRecord]
    ) -> None:
        """Apply records that a peer sent."""
        self._apply(self._directory.configuration_topic, configuration)
        self._apply(self._directory.endpoint_topic, endpoints)

    def record_peer_read(self, age_s: float) -> None:
        """Record that a peer read from the store `age_s` ago."""
        self.endpoints.record_peer_read(self._clock.now_s() - age_s)

    async def _follow(self, topic: Topic) -> None:
        progress = self._progress[topic]
        backoff = Backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S, random.Random())
        while True:
            try:
                await self._follow_once(topic, progress)
            except LogExpiredError:
                progress.end = -1
            except LogError as exc:
                if topic == self._directory.endpoint_topic:
                    self.endpoints.record_list_unavailable(self._clock.now_s())
                self._reporter.report_lost("store", str(exc), topic=topic)
                await asyncio.sleep(backoff.next_s())
            else:
                backoff.reset()
                self._reporter.report_recovered("store", topic=topic)
                if topic == self._directory.endpoint_topic:
                    self.endpoints.record_list_available(self._clock.now_s())

    async def _follow_once(self, topic: Topic, progress: TopicProgress) -> None:
        sent_s = self._clock.now_s()
        if progress.end < 0:
            page = await self._log.read_newest(topic, 0)
            self._apply_newest(topic, page)
        else:
            page = await self._log.read(topic, 0, progress.end, READ_WAIT_MS)
            self._apply(topic, page.records)
        last = max((r.offset + 1 for r in page.records), default=0)
        progress.end = max(progress.end, last) if progress.end >= 0 else page.end
        progress.confirmed_s = sent_s

    def _apply_newest(self, topic: Topic, page: Page) -> None:
        """Apply the newest record of each key; remove older endpoints that it lacks."""
        self._apply(topic, page.records)
        if topic != self._directory.endpoint_topic:
            return
        present = {record.key for record in page.records}
        missing = [
            KeyedRecord(key, None, page.end - 1)
            for key, known in self.endpoint_records.items()
            if key not in present and known.value and known.offset < page.end
        ]
        self._apply(topic, missing)

    def _apply(self, topic: Topic, records: list[KeyedRecord]) -> None:
        apply = (
            self._apply_endpoint
            if topic == self._directory.endpoint_topic
            else self._apply_configuration
        )
        changed = False
        for record in records:
            try:
                changed |= apply(record)
            except RecordUnreadableError as exc:
                self._reporter.write(
                    Event.RECORD_SKIPPED,
                    topic=topic,
                    offset=record.offset,
                    reason=str(exc),
                )
        if changed:
            self.on_change()

    def _apply_configuration(self, record: KeyedRecord) -> bool:
        configuration = self._directory.decode_configuration(record)
        known = self.configuration.version if self.configuration else -1
        if configuration is None or configuration.version <= known:
            return False
        self.configuration = configuration
        self.configuration_record = record
        self._reporter.write(
            Event.CONFIG_IN_FORCE,
            version=configuration.version,
            earlier=known,
            offset=record.offset,
        )
        return True

    def _apply_endpoint(self, record: KeyedRecord) -> bool:
        known = self.endpoint_records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self.endpoint_records[record.key] = record
        now_s = self._clock.now_s()
        endpoint_id = self._directory.endpoint_id(record)
        if record.value is None:
            changed = self.endpoints.apply(endpoint_id, None, record.offset, now_s)
            self._reporter.write(
                Event.ENDPOINT_UNLISTED,
                endpoint=endpoint_id,
                offset=record.offset,
                kept_for_now=not changed,
            )
            return changed
        try:
            _, entry = self._directory.decode_endpoint(record)
        except RecordUnreadableError:
            self.endpoints.apply(endpoint_id, None, record.offset, now_s)
            raise
        before = self.endpoints.get(endpoint_id)
        changed = self.endpoints.apply(endpoint_id, entry, record.offset, now_s)
        if changed:
            self._reporter.write(
                Event.ENDPOINT_LEAVING if entry.is_leaving else Event.ENDPOINT_LISTED,
                endpoint=endpoint_id,
                address=f"{entry.host}:{entry.port}",
                known_before=before is not None,
                offset=record.offset,
            )
        return changed

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            expired = self.endpoints.expire(self._clock.now_s())
            for endpoint_id in expired:
                self._reporter.write(
                    Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, kept_for_now=False
                )
            if expired:
                self.on_change()
