"""What this daemon knows of the platform: configuration and endpoints, kept fresh."""

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

FOLLOW_WAIT_MS = 1_000
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 0.8
TICK_S = 0.1


class RecordUnreadableError(ApricotquayError):
    """A record of the platform that names nothing to use, with the reason."""


class Directory(Protocol):
    """Decodes the records of the platform. Implemented by the adapter."""

    configuration_topic: Topic
    endpoint_topic: Topic

    def decode_configuration(self, record: KeyedRecord) -> Configuration | None:
        """Decode a configuration; None for a record of another kind."""

    def decode_endpoint(self, record: KeyedRecord) -> tuple[EndpointId, Endpoint]:
        """Decode an endpoint's entry."""

    def endpoint_id(self, record: KeyedRecord) -> EndpointId:
        """Return the endpoint that a record is about."""


class Fresh(msgspec.Struct):
    """How far a topic is known. Offsets only rise within one daemon."""

    end: int = -1
    confirmed_s: float = float("-inf")


class View:
    """Follows both topics and takes in what peers pass on. One a daemon."""

    def __init__(
        self, log: KeyedLog, directory: Directory, clock: Clock, reporter: Reporter
    ) -> None:
        self.configuration: Configuration | None = None
        self.endpoints: EndpointTable = EndpointTable()
        self.on_change: Callable[[], None] = lambda: None
        self.configuration_raw: KeyedRecord | None = None
        self.endpoints_raw: dict[bytes, KeyedRecord] = {}
        self._log: KeyedLog = log
        self._directory: Directory = directory
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._fresh: dict[Topic, Fresh] = {
            directory.configuration_topic: Fresh(),
            directory.endpoint_topic: Fresh(),
        }
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start to follow the platform."""
        self._tasks = [
            start_task(f"follow {topic}", partial(self._follow, topic), self._reporter)
            for topic in self._fresh
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
        """Return how long ago the older of both topics was confirmed."""
        oldest = min(fresh.confirmed_s for fresh in self._fresh.values())
        return self._clock.now_s() - oldest

    def endpoint_mark(self) -> int:
        """Return the newest offset of the endpoints' topic that is known."""
        return max((r.offset for r in self.endpoints_raw.values()), default=-1)

    def take_records(
        self, configuration: list[KeyedRecord], endpoints: list[KeyedRecord]
    ) -> None:
        """Take in records that a peer passed on."""
        self._take(self._directory.configuration_topic, configuration)
        self._take(self._directory.endpoint_topic, endpoints)

    def see_read_elsewhere(self, age_s: float) -> None:
        """A peer read from the store so long ago."""
        self.endpoints.see_read_elsewhere(self._clock.now_s() - age_s)

    async def _follow(self, topic: Topic) -> None:
        fresh = self._fresh[topic]
        backoff = Backoff(RETRY_PAUSE_S, MAX_RETRY_PAUSE_S, random.Random())
        while True:
            try:
                await self._follow_once(topic, fresh)
            except LogExpiredError:
                fresh.end = -1
            except LogError as exc:
                if topic == self._directory.endpoint_topic:
                    self.endpoints.see_away(self._clock.now_s())
                self._reporter.report_lost("store", str(exc), topic=topic)
                await asyncio.sleep(backoff.next_s())
            else:
                backoff.reset()
                self._reporter.report_recovered("store", topic=topic)
                if topic == self._directory.endpoint_topic:
                    self.endpoints.see_back(self._clock.now_s())

    async def _follow_once(self, topic: Topic, fresh: Fresh) -> None:
        sent_s = self._clock.now_s()
        if fresh.end < 0:
            page = await self._log.read_newest(topic, 0)
            self._take_newest(topic, page)
        else:
            page = await self._log.read(topic, 0, fresh.end, FOLLOW_WAIT_MS)
            self._take(topic, page.records)
        last = max((r.offset + 1 for r in page.records), default=0)
        fresh.end = max(fresh.end, last) if fresh.end >= 0 else page.end
        fresh.confirmed_s = sent_s

    def _take_newest(self, topic: Topic, page: Page) -> None:
        """Take in the newest of each key; what it lacks is gone, if it is not old."""
        self._take(topic, page.records)
        if topic != self._directory.endpoint_topic:
            return
        present = {record.key for record in page.records}
        missing = [
            KeyedRecord(key, None, page.end - 1)
            for key, known in self.endpoints_raw.items()
            if key not in present and known.value and known.offset < page.end
        ]
        self._take(topic, missing)

    def _take(self, topic: Topic, records: list[KeyedRecord]) -> None:
        take = (
            self._take_endpoint
            if topic == self._directory.endpoint_topic
            else self._take_configuration
        )
        changed = False
        for record in records:
            try:
                changed |= take(record)
            except RecordUnreadableError as exc:
                self._reporter.write(
                    Event.RECORD_SKIPPED,
                    topic=topic,
                    offset=record.offset,
                    reason=str(exc),
                )
        if changed:
            self.on_change()

    def _take_configuration(self, record: KeyedRecord) -> bool:
        configuration = self._directory.decode_configuration(record)
        known = self.configuration.version if self.configuration else -1
        if configuration is None or configuration.version <= known:
            return False
        self.configuration = configuration
        self.configuration_raw = record
        self._reporter.write(
            Event.CONFIG_IN_FORCE,
            version=configuration.version,
            earlier=known,
            offset=record.offset,
        )
        return True

    def _take_endpoint(self, record: KeyedRecord) -> bool:
        known = self.endpoints_raw.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self.endpoints_raw[record.key] = record
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
            await asyncio.sleep(TICK_S)
            gone = self.endpoints.expire(self._clock.now_s())
            for endpoint_id in gone:
                self._reporter.write(
                    Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, kept_for_now=False
                )
            if gone:
                self.on_change()
