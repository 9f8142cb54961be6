"""How soon endpoints usually answer, and when silence means that one hangs. Pure.

A request whose attempt hangs can still be in time if another endpoint is tried
soon. How soon differs by service and load, so the limit is a multiple of what
was seen lately. Only a caller's first attempt is held to it: where all endpoints
have become slow, the second one has the full time.
"""

import collections

import msgspec

from .catalog import Route, RouteKind, ServiceName

# A caller gives a stream up after two seconds without an event, so another
# endpoint has to be tried well before.
FIRST_EVENT_LIMIT_S = 0.9
EVENT_LIMIT_S = 0.9
WINDOW = 64
MIN_SAMPLES = 6
# Up to a fifth of attempts may hang before the limit takes them for usual.
USUAL_SHARE = 0.8
USUAL_TIMES = 3.0
MIN_LIMIT_S = 0.1


class AdaptiveTimeout:
    """What one kind of wait at a service's endpoints has lately taken."""

    def __init__(self, max_limit_s: float) -> None:
        self._max_limit_s: float = max_limit_s
        self._waits_s: collections.deque[float] = collections.deque(maxlen=WINDOW)

    def see(self, wait_s: float) -> None:
        """A wait ended, or was given up after so long."""
        self._waits_s.append(wait_s)

    def limit_s(self) -> float:
        """Return after how long a wait is to be given up."""
        if len(self._waits_s) < MIN_SAMPLES:
            return self._max_limit_s
        ordered = sorted(self._waits_s)
        usual_s = ordered[int(USUAL_SHARE * len(ordered))]
        return min(self._max_limit_s, max(MIN_LIMIT_S, USUAL_TIMES * usual_s))


class SilenceLimits(msgspec.Struct, frozen=True):
    """How long an attempt may be silent before its first event and between events;
    None where it must not be given up.
    """

    first_event_s: float | None
    pause_s: float | None


class _ServicePace:
    """The waits for a first event, and the longest ones within a stream."""

    def __init__(self) -> None:
        self.first: AdaptiveTimeout = AdaptiveTimeout(FIRST_EVENT_LIMIT_S)
        self.pause: AdaptiveTimeout = AdaptiveTimeout(EVENT_LIMIT_S)


class AdaptiveTimeouts:
    """The paces of all services, and how patient an attempt is. Used by the online
    path.
    """

    def __init__(self) -> None:
        self._of_service: dict[ServiceName, _ServicePace] = collections.defaultdict(
            _ServicePace
        )

    def silence_limits(
        self, route: Route, service: ServiceName, attempts: int
    ) -> SilenceLimits:
        """Return how long an attempt may be silent, after so many that failed; the
        first one is given up early if another is left.
        """
        if not route.is_idempotent:
            return SilenceLimits(None, None)
        pause_s = EVENT_LIMIT_S if route.is_resumable else None
        is_first = attempts == 0 and route.max_attempts > 1
        if not is_first or route.kind is not RouteKind.STREAMING:
            return SilenceLimits(FIRST_EVENT_LIMIT_S, pause_s)
        pace = self._of_service[service]
        if route.is_resumable:
            pause_s = pace.pause.limit_s()
        return SilenceLimits(pace.first.limit_s(), pause_s)

    def record_timeout(
        self, service: ServiceName, silence_limits: SilenceLimits, had_event: bool
    ) -> None:
        """Count a wait that was given up, so that limits rise if all have to wait."""
        pace = self._of_service[service]
        if not had_event and silence_limits.first_event_s is not None:
            pace.first.see(silence_limits.first_event_s)
        elif silence_limits.pause_s is not None:
            pace.pause.see(silence_limits.pause_s)

    def record_stream(
        self, service: ServiceName, first_wait_s: float | None, pause_s: float
    ) -> None:
        """Count the waits of a whole stream; the first is None after a resume."""
        pace = self._of_service[service]
        pace.pause.see(pause_s)
        if first_wait_s is not None:
            pace.first.see(first_wait_s)
