"""Which software version began each stream, as far as a daemon knows it. Pure.

Versions of an endpoint's software write streams that do not fit together. A caller
that takes a stream up may come to any daemon, so several of them keep the version
under a hash of the team and of the attempt that brought the stream's first event.
"""

import collections
import hashlib
from collections.abc import Iterable

from ...ids import TeamId
from ..catalog import ServiceName
from ..endpoints import Endpoint

KEY_BYTES = 12
# Bounds what a daemon keeps; the oldest streams are forgotten first.
MAX_STREAMS = 60_000
# The shortest lifetime of a stream, and the only one of earlier releases.
MIN_LIFETIME_S = 15.0


def stream_key(team: TeamId | None, attempt: str) -> bytes:
    """Return the key of a stream, which tells nothing of the team or the attempt."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in ((team or "").encode(), attempt.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class StreamLifetime:
    """How long a stream may last until callers take it up, as the configured timeouts
    allow. Shared by what `StreamKeeper` remembers.

    It never shrinks: streams that began under an earlier configuration go on.
    """

    def __init__(self, s: float | None = None) -> None:
        self.s: float = MIN_LIFETIME_S if s is None else s

    def extend(self, s: float) -> None:
        """Make it at least so long."""
        self.s = max(self.s, s)


class StreamVersions:
    """The versions of streams that began lately. Used by `StreamKeeper`."""

    def __init__(self, lifetime: StreamLifetime) -> None:
        self._lifetime: StreamLifetime = lifetime
        # The least recently recorded first.
        self._streams: collections.OrderedDict[bytes, tuple[frozenset[str], float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, key: bytes, version: str, now_s: float) -> None:
        """Record that a stream has events of a version."""
        self._expire(now_s)
        versions, _ = self._streams.pop(key, (frozenset(), 0.0))
        self._streams[key] = (versions | {version}, now_s)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def find(self, key: bytes, now_s: float) -> frozenset[str]:
        """Return a stream's versions: none if it is unknown, several if callers used
        an attempt's id twice.
        """
        self._expire(now_s)
        return self._streams.get(key, (frozenset(), 0.0))[0]

    def recent(self, since_s: float) -> list[tuple[bytes, str]]:
        """Return the streams that were recorded since a time."""
        return [
            (key, version)
            for key, (versions, recorded_s) in self._streams.items()
            if recorded_s >= since_s
            for version in versions
        ]

    def _expire(self, now_s: float) -> None:
        while self._streams:
            key, (_, recorded_s) = next(iter(self._streams.items()))
            if now_s - recorded_s < self._lifetime.s:
                return
            del self._streams[key]


class VersionHistory:
    """The versions of each service that were listed lately. Used by `StreamKeeper`."""

    def __init__(self, lifetime: StreamLifetime) -> None:
        self._lifetime: StreamLifetime = lifetime
        self._since_s: float | None = None
        self._listed_s: dict[ServiceName, dict[str, float]] = {}

    def observe(self, endpoints: Iterable[Endpoint], now_s: float) -> None:
        """Record the endpoints that are listed now."""
        for endpoint in endpoints:
            if self._since_s is None:
                self._since_s = now_s
            listed_s = self._listed_s.setdefault(endpoint.service, {})
            listed_s[endpoint.version] = now_s

    def begin_anew(self, now_s: float) -> None:
        """Record that versions may have been listed that were not observed."""
        if self._since_s is not None:
            self._since_s = now_s

    def versions(self, service: ServiceName, now_s: float) -> frozenset[str]:
        """Return the versions that streams of a service may have begun at."""
        listed_s = self._listed_s.get(service, {})
        for version in [v for v, at_s in listed_s.items() if self._is_old(at_s, now_s)]:
            del listed_s[version]
        return frozenset(listed_s)

    def is_complete(self, now_s: float) -> bool:
        """Whether versions were observed for as long as a stream may last."""
        return self._since_s is not None and self._is_old(self._since_s, now_s)

    def _is_old(self, at_s: float, now_s: float) -> bool:
        return now_s - at_s > self._lifetime.s
