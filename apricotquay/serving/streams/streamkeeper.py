"""Keeps the software versions of streams under way, with the other daemons.

The daemon that passes a stream's first event on tells two others, chosen among the
owners of shards by the stream's key; one of them keeps it in the store, too. A daemon
where the stream is taken up asks all owners of shards, then the store. What nobody
knows is not guessed, unless only one version was listed for as long as a stream may
last.
"""

import asyncio
import contextlib

import msgspec

from ...clocks import Clock
from ...errors import PeerUnavailableError
from ...ids import TeamId, stable_hash
from ..catalog import ServiceName
from ..endpoints import Endpoint
from ..fleet.peers import Peers
from ..fleet.shards import Shards, shard_number
from ..fleet.view import View
from ..messages import FindStream, Message, StreamBegan, StreamFound
from ..reporting import Reporter
from ..tasks import start_task
from .streamlog import StreamLog, VersionNote
from .streamversions import (
    StreamLifetime,
    StreamVersions,
    VersionHistory,
    stream_key,
)

# How long after its end a stream may be taken up.
TAKE_UP_S = 5.0
KEEPERS_PER_STREAM = 2
QUESTION_TIMEOUT_S = 0.25
TELL_TIMEOUT_S = 0.5
OBSERVE_INTERVAL_S = 0.25
# How often the store gets a note of a service's versions that do not change.
NOTE_INTERVAL_S = 5.0
# How long the store may take to confirm that no other version is listed.
CONFIRM_TIMEOUT_S = 0.25
# The key of a stream that its caller does not name.
NO_STREAM = b""


class KnownVersion(msgspec.Struct, frozen=True):
    """A stream's version and who knew it; empty if nobody knows it for sure."""

    version: str = ""
    known_by: str = "nobody"


class StreamKeeper:
    """Records the versions of streams and finds them. One per daemon, used by
    `OnlineRequestHandler`.
    """

    def __init__(
        self,
        view: View,
        shards: Shards,
        peers: Peers,
        stored: StreamLog,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self._stored: StreamLog = stored
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._lifetime = StreamLifetime()
        self._own = StreamVersions(self._lifetime)
        self._kept = StreamVersions(self._lifetime)
        self._history = VersionHistory(self._lifetime)
        self._is_telling: bool = False
        # What was noted last of each service, and when.
        self._noted: dict[ServiceName, tuple[frozenset[str], float]] = {}
        self._observer: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def kept_count(self) -> int:
        """Number of streams whose versions this daemon keeps for others."""
        return len(self._kept)

    def start(self) -> None:
        """Start to observe which versions are listed."""
        self._view.on_listed = self._observe_entry
        self._view.on_gap = self._observe_gap
        self._observer = start_task("versions", self._observe_loop, self._reporter)

    async def close(self) -> None:
        """Stop."""
        for task in (self._observer, *self._tasks):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        await self._stored.close()

    def record(
        self, service: ServiceName, team: TeamId | None, attempt: str, version: str
    ) -> None:
        """Record the version of a stream before its first event is passed on."""
        now_s = self._clock.now_s()
        key = stream_key(team, attempt)
        self._own.record(key, version, now_s)
        self._observe()
        if self._must_tell(service, now_s):
            self._tell([(key, version)])

    async def find(
        self, service: ServiceName, team: TeamId | None, attempt: str
    ) -> KnownVersion:
        """Return the version of a stream that a caller takes up."""
        key = stream_key(team, attempt) if attempt else NO_STREAM
        own = self._find_here(key)
        if own:
            return _only(own, "this daemon")
        known = await self._find_only_listed(service)
        if known.version:
            return known
        replies = await self._ask(service, key)
        told = [frozenset(r.versions) for r in replies if r is not None and r.versions]
        if told:
            return _only(told[0], "a peer")
        known = self._find_only_version(service, replies)
        return known if known.version else await self._find_in_store(service, key)

    async def _find_only_listed(self, service: ServiceName) -> KnownVersion:
        """Return the only version that was listed for the lifetime of a stream, up to
        this moment: another may have joined since the view was read.
        """
        if not self._has_only_version(service):
            return KnownVersion()
        if not await self._view.confirm_endpoints(CONFIRM_TIMEOUT_S):
            return KnownVersion()
        if not self._has_only_version(service):
            return KnownVersion()
        versions = self._history.versions(service, self._clock.now_s())
        return _only(versions, "the only version")

    def _has_only_version(self, service: ServiceName) -> bool:
        self._observe()
        now_s = self._clock.now_s()
        is_complete = self._history.is_complete(now_s)
        return is_complete and len(self._history.versions(service, now_s)) == 1

    def handle_stream_began(self, message: StreamBegan) -> None:
        """Keep the versions that a peer tells."""
        now_s = self._clock.now_s()
        for key, version in message.streams:
            self._kept.record(key, version, now_s)
        if message.must_store:
            self._stored.enqueue(message.streams)

    def handle_find_stream(self, message: FindStream) -> Message:
        """Tell a peer what this daemon knows of a stream."""
        self._observe()
        now_s = self._clock.now_s()
        return StreamFound(
            sorted(self._find_here(message.key)),
            sorted(self._history.versions(message.service, now_s)),
            self._history.is_complete(now_s),
            self._lifetime.s,
        )

    def _find_here(self, key: bytes) -> frozenset[str]:
        now_s = self._clock.now_s()
        return self._own.find(key, now_s) | self._kept.find(key, now_s)

    async def _ask(self, service: ServiceName, key: bytes) -> list[StreamFound | None]:
        """Ask all owners of shards; the first who knows the stream ends it."""
        calls = [
            asyncio.ensure_future(self._ask_peer(address, FindStream(service, key)))
            for address in self._shards.addresses()
        ]
        replies = []
        try:
            async with asyncio.timeout(QUESTION_TIMEOUT_S):
                for call in asyncio.as_completed(calls):
                    reply = await call
                    replies.append(reply)
                    if reply is not None and reply.versions:
                        break
        except TimeoutError:
            replies.append(None)
        finally:
            for call in calls:
                call.cancel()
        return replies

    async def _find_in_store(self, service: ServiceName, key: bytes) -> KnownVersion:
        """Return what the store says of a stream whose keepers are gone, or the only
        version that was noted or listed for as long as a stream may last.
        """
        stored = await self._stored.read()
        if stored is None:
            return KnownVersion()
        versions = stored.find(key)
        if versions:
            return _only(versions, "the store")
        noted = stored.listed(service, self._clock.wall_ms(), self._lifetime.s)
        if noted is None or not await self._view.confirm_endpoints(CONFIRM_TIMEOUT_S):
            return KnownVersion()
        self._observe()
        listed = self._history.versions(service, self._clock.now_s())
        return _only(noted | listed, "the only version")

    def _find_only_version(
        self, service: ServiceName, replies: list[StreamFound | None]
    ) -> KnownVersion:
        """Return the only version that this daemon and all others have seen, if one of
        them has observed for long enough. One that is silent may know another.
        """
        if None in replies:
            return KnownVersion()
        answers = [reply for reply in replies if reply is not None]
        listed = self._history.versions(service, self._clock.now_s())
        listed = listed.union(*(answer.listed for answer in answers))
        lifetime_s = self._lifetime.s
        if not any(a.is_complete and a.lifetime_s >= lifetime_s for a in answers):
            return KnownVersion()
        return _only(listed, "the only version")

    async def _ask_peer(self, address: str, question: FindStream) -> StreamFound | None:
        try:
            reply = await self._peers.call(address, question, QUESTION_TIMEOUT_S)
        except PeerUnavailableError:
            # Peers logs the failure; the others may know the stream.
            return None
        return reply if isinstance(reply, StreamFound) else None

    def _must_tell(self, service: ServiceName, now_s: float) -> bool:
        """Whether another daemon could not know a stream's version by itself."""
        several = len(self._history.versions(service, now_s)) > 1
        return several or not self._history.is_complete(now_s)

    def _tell(self, streams: list[tuple[bytes, str]]) -> None:
        """Tell the keepers of streams their versions."""
        told: dict[tuple[str, bool], list[tuple[bytes, str]]] = {}
        for key, version in streams:
            for number, address in enumerate(self._keepers(key)):
                told.setdefault((address, number == 0), []).append((key, version))
        for (address, must_store), its_streams in told.items():
            message = StreamBegan(its_streams, must_store)
            connection = self._peers.find_connection(address)
            if connection is not None:
                connection.send(message)
                continue
            task = asyncio.ensure_future(self._connect_and_tell(address, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect_and_tell(self, address: str, message: StreamBegan) -> None:
        with contextlib.suppress(PeerUnavailableError, TimeoutError):
            # Peers logs the failure; the stream has another keeper.
            async with asyncio.timeout(TELL_TIMEOUT_S):
                connection = await self._peers.connect(address)
                connection.send(message)

    def _keepers(self, key: bytes) -> list[str]:
        """Return the daemons that keep a stream's version, besides this one."""
        addresses = self._shards.addresses()
        addresses.sort(key=lambda address: stable_hash(key.hex(), address))
        return addresses[:KEEPERS_PER_STREAM]

    def _observe(self) -> None:
        configuration = self._view.configuration
        if configuration is not None:
            self._lifetime.extend(configuration.longest_stream_s + TAKE_UP_S)
        self._history.observe(self._view.endpoints.all(), self._clock.now_s())

    def _observe_entry(self, endpoint: Endpoint) -> None:
        self._history.observe([endpoint], self._clock.now_s())

    def _observe_gap(self) -> None:
        self._history.begin_anew(self._clock.now_s())

    async def _observe_loop(self) -> None:
        while True:
            self._observe()
            self._tell_recent_streams()
            self._note_versions()
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    def _note_versions(self) -> None:
        """Keep in the store which versions of this daemon's services are listed."""
        now_s = self._clock.now_s()
        for service in {endpoint.service for endpoint in self._view.endpoints.all()}:
            if shard_number(service, self._shards.count) not in self._shards.owned:
                self._noted.pop(service, None)
                continue
            versions = self._history.versions(service, now_s)
            noted, noted_s = self._noted.get(service, (None, 0.0))
            if versions == noted and now_s - noted_s < NOTE_INTERVAL_S:
                continue
            self._noted[service] = (versions, now_s)
            is_complete = self._history.is_complete(now_s)
            self._stored.note(
                VersionNote(
                    service,
                    sorted(versions),
                    is_complete,
                    self._clock.wall_ms(),
                    self._lifetime.s,
                )
            )

    def _tell_recent_streams(self) -> None:
        """Tell the versions of streams that began while one version was listed."""
        now_s = self._clock.now_s()
        services = {endpoint.service for endpoint in self._view.endpoints.all()}
        several = any(len(self._history.versions(s, now_s)) > 1 for s in services)
        if several and not self._is_telling:
            self._tell(self._own.recent(now_s - self._lifetime.s))
        self._is_telling = several


def _only(versions: frozenset[str], known_by: str) -> KnownVersion:
    """Return the version if it is the only one."""
    if len(versions) != 1:
        return KnownVersion()
    return KnownVersion(next(iter(versions)), known_by)
