"""Keeps a daemon's view of the platform up to date: configuration and endpoints."""

import asyncio
import contextlib
from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeVar

from ...clocks import Clock
from ...errors import ApricotquayError
from ...events import Event
from ...ids import EndpointId
from ..catalog import Configuration
from ..endpoints import Endpoint, EndpointTable, LeavingNotice
from ..reporting import Reporter
from ..tasks import start_task
from .evacuations import EvacuationChange, EvacuationRecord, Evacuations
from .keyedlog import KeyedLog, KeyedRecord, Page, Topic
from .topicfollower import TopicFollower

T = TypeVar("T")

EXPIRE_INTERVAL_S = 0.1
MAX_REASON_CHARS = 200


class RecordUnreadableError(ApricotquayError):
    """A record of the platform describes nothing usable; the message says why."""


class Directory(Protocol):
    """Decodes the platform's records. Implemented by `PlatformDirectory`."""

    configuration_topic: Topic
    endpoint_topic: Topic

    def decode_configuration(self, record: KeyedRecord) -> Configuration | None:
        """Decode a configuration; None for a record of another kind."""

    def decode_evacuation(self, record: KeyedRecord) -> EvacuationRecord | None:
        """Decode a record of the configuration's topic that evacuates a zone or ends
        that; None for a record of another kind.
        """

    def decode_endpoint(self, record: KeyedRecord) -> tuple[EndpointId, Endpoint]:
        """Decode an endpoint's entry."""

    def endpoint_id(self, record: KeyedRecord) -> EndpointId:
        """Return the id of the endpoint that a record describes."""


class View:
    """Follows both topics and applies records that peers send. One per daemon."""

    def __init__(
        self, log: KeyedLog, directory: Directory, clock: Clock, reporter: Reporter
    ) -> None:
        self.configuration: Configuration | None = None
        self.evacuations = Evacuations()
        self.endpoints: EndpointTable = EndpointTable(self.evacuations.is_evacuated)
        self.on_change: Callable[[], None] = lambda: None
        # Called with the endpoints that are newly known to leave, and whether an
        # answer to this daemon said so rather than a peer.
        self.on_leaving: Callable[[list[LeavingNotice], bool], None] = (
            lambda notices, is_answer: None
        )
        # Called with each entry that lists an endpoint, also with those that a later
        # one of the same read replaces; and when entries may have been missed.
        self.on_listed: Callable[[Endpoint], None] = lambda endpoint: None
        self.on_gap: Callable[[], None] = lambda: None
        self.configuration_record: KeyedRecord | None = None
        self.endpoint_records: dict[bytes, KeyedRecord] = {}
        self._directory: Directory = directory
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        topics = (directory.configuration_topic, directory.endpoint_topic)
        self._followers: list[TopicFollower] = [
            TopicFollower(
                log,
                topic,
                partial(self._apply, topic),
                partial(self._apply_newest, topic),
                clock,
                reporter,
            )
            for topic in topics
        ]
        self._endpoint_follower: TopicFollower = self._followers[-1]
        self._endpoint_follower.on_lost = self._record_list_unavailable
        self._endpoint_follower.on_recovered = self._record_list_available
        self._expiry: asyncio.Task | None = None
        self._has_removals = asyncio.Event()

    def start(self) -> None:
        """Start following the platform's topics."""
        for follower in self._followers:
            follower.start()
        self._expiry = start_task("expire", self._expire, self._reporter)

    async def close(self) -> None:
        """Stop."""
        for follower in self._followers:
            await follower.close()
        if self._expiry is not None:
            self._expiry.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._expiry

    def age_s(self) -> float:
        """Return the time since the less recently confirmed topic was confirmed."""
        return max(follower.age_s() for follower in self._followers)

    async def confirm_endpoints(self, timeout_s: float) -> bool:
        """Return whether all endpoints that are listed by now are known, after a read
        of the store.
        """
        return await self._endpoint_follower.confirm(self._clock.now_s(), timeout_s)

    def newest_endpoint_offset(self) -> int:
        """Return the newest known offset of the endpoint topic, -1 for none."""
        return max((r.offset for r in self.endpoint_records.values()), default=-1)

    def apply_records(
        self, configuration: list[KeyedRecord], endpoints: list[KeyedRecord]
    ) -> None:
        """Apply records that a peer sent."""
        self._apply(self._directory.configuration_topic, configuration)
        self._apply(self._directory.endpoint_topic, endpoints)

    def record_leaving(self, notices: list[LeavingNotice], *, is_answer: bool) -> None:
        """Record endpoints that leave, as an answer to this daemon or a peer says."""
        new = [n for n in notices if self.endpoints.record_leaving(n)]
        if not new:
            return
        for notice in new:
            self._reporter.write(
                Event.ENDPOINT_SAID_LEAVING,
                endpoint=notice.endpoint,
                started_ms=notice.started_ms,
                reason="an answer" if is_answer else "a peer",
            )
        self.on_change()
        self.on_leaving(new, is_answer)

    def record_peer_read(self, age_s: float) -> None:
        """Record that a peer read from the store `age_s` ago."""
        self.endpoints.record_peer_read(self._clock.now_s() - age_s)

    def _record_list_unavailable(self) -> None:
        self.endpoints.record_list_unavailable(self._clock.now_s())

    def _record_list_available(self) -> None:
        self.endpoints.record_list_available(self._clock.now_s())

    def _apply_newest(self, topic: Topic, page: Page) -> None:
        """Apply the newest record of each key; remove older endpoints that it lacks."""
        self._apply(topic, page.records)
        if topic != self._directory.endpoint_topic:
            self._end_missing_evacuations(page)
            return
        self.on_gap()
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
                self._report_skipped(topic, record, str(exc))
            except Exception as exc:
                # An error here would end the follower, which would start again at
                # this record and fall behind what is written.
                self._report_skipped(topic, record, repr(exc))
        if self.endpoints.has_pending_removals:
            self._has_removals.set()
        if changed:
            self.on_change()

    def _report_skipped(self, topic: Topic, record: KeyedRecord, reason: str) -> None:
        self._reporter.write_limited(
            Event.RECORD_SKIPPED,
            topic=topic,
            offset=record.offset,
            reason=reason[:MAX_REASON_CHARS],
        )

    def _end_missing_evacuations(self, page: Page) -> None:
        present = (record.key for record in page.records)
        changes = self.evacuations.end_missing(present, page.end)
        for change in changes:
            self._report_evacuation(change)
        if changes:
            self.on_change()

    def _apply_evacuation(self, record: KeyedRecord) -> bool:
        decoded = _decode(self._directory.decode_evacuation, record)
        if decoded is None:
            return False
        change = self.evacuations.apply(decoded, record)
        if change is not None:
            self._report_evacuation(change)
        return change is not None

    def _report_evacuation(self, change: EvacuationChange) -> None:
        self._reporter.write(
            Event.ZONE_EVACUATED if change.is_evacuated else Event.EVACUATION_ENDED,
            zone=change.zone,
            offset=change.offset,
        )

    def _apply_configuration(self, record: KeyedRecord) -> bool:
        if self._apply_evacuation(record):
            return True
        configuration = _decode(self._directory.decode_configuration, record)
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
            _, entry = _decode(self._directory.decode_endpoint, record)
        except RecordUnreadableError:
            self.endpoints.apply(endpoint_id, None, record.offset, now_s)
            raise
        self.on_listed(entry)
        before = self.endpoints.get(endpoint_id)
        changed = self.endpoints.apply(
            endpoint_id, entry, record.offset, now_s, self._started_ago_s(entry)
        )
        if changed and before != self.endpoints.get(endpoint_id):
            self._reporter.write(
                Event.ENDPOINT_LEAVING if entry.is_leaving else Event.ENDPOINT_LISTED,
                endpoint=endpoint_id,
                address=f"{entry.host}:{entry.port}",
                version=entry.version,
                started_ms=entry.started_ms,
                known_before=before is not None,
                offset=record.offset,
            )
        return changed

    def _started_ago_s(self, entry: Endpoint) -> float:
        if not entry.started_ms:
            return 0.0
        return max(0.0, (self._clock.wall_ms() - entry.started_ms) / 1000)

    async def _expire(self) -> None:
        while True:
            await self._has_removals.wait()
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            expired = self.endpoints.expire(self._clock.now_s())
            for endpoint_id in expired:
                self._reporter.write(
                    Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, kept_for_now=False
                )
            if expired:
                self.on_change()
            if not self.endpoints.has_pending_removals:
                self._has_removals.clear()


def _decode(decode: Callable[[KeyedRecord], T], record: KeyedRecord) -> T:
    """Decode a record; raise RecordUnreadableError whatever is wrong with it."""
    try:
        return decode(record)
    except RecordUnreadableError:
        raise
    except Exception as exc:
        # Another writer's bytes may cause errors of any kind.
        raise RecordUnreadableError(repr(exc)) from exc
