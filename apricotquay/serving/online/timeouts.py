"""Adaptive timeouts that detect hanging attempts by recent response times. Pure.

A request whose attempt hangs can still be in time if another endpoint is tried
soon. Response times differ by service and load, so the timeout is a multiple of
recent response times. Only the first attempt of a request is subject to it: if all
endpoints have become slow, the second attempt has the full time. The last attempt
that the route allows has no limit, since a sound endpoint may be silent for a while:
only the route's timeout and the caller end it.
"""

import collections

import msgspec

from ..catalog import Route, RouteKind, ServiceName

# Callers abandon a stream after two seconds without an event, so another endpoint
# has to be tried well before that.
MAX_FIRST_EVENT_TIMEOUT_S = 0.9
MAX_PAUSE_TIMEOUT_S = 0.9
WINDOW_SAMPLES = 64
MIN_SAMPLES = 6
# Up to a fifth of the attempts may hang without raising the timeout.
TYPICAL_QUANTILE = 0.8
TIMEOUT_FACTOR = 3.0
MIN_TIMEOUT_S = 0.1


class AdaptiveTimeout:
    """The timeout of one kind of wait at a service's endpoints, by recent waits."""

    def __init__(self, max_timeout_s: float) -> None:
        self._max_timeout_s: float = max_timeout_s
        self._waits_s: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )

    def record_wait(self, wait_s: float) -> None:
        """Record how long a wait took, or after how long it timed out."""
        self._waits_s.append(wait_s)

    def timeout_s(self) -> float:
        """Return the current timeout."""
        if len(self._waits_s) < MIN_SAMPLES:
            return self._max_timeout_s
        ordered = sorted(self._waits_s)
        typical_s = ordered[int(TYPICAL_QUANTILE * len(ordered))]
        return min(self._max_timeout_s, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * typical_s))


class SilenceLimits(msgspec.Struct, frozen=True):
    """How long an attempt may be silent before its first event and between events;
    None means no limit, because the attempt must not be abandoned.
    """

    first_event_s: float | None
    pause_s: float | None


class _ServiceTimeouts:
    """Timeouts of a service: for the first event and for pauses within a stream."""

    def __init__(self) -> None:
        self.first_event: AdaptiveTimeout = AdaptiveTimeout(MAX_FIRST_EVENT_TIMEOUT_S)
        self.pause: AdaptiveTimeout = AdaptiveTimeout(MAX_PAUSE_TIMEOUT_S)


class AdaptiveTimeouts:
    """The timeouts of all services. Used by `OnlineRequestHandler`."""

    def __init__(self) -> None:
        self._timeouts_of_service: dict[ServiceName, _ServiceTimeouts] = (
            collections.defaultdict(_ServiceTimeouts)
        )

    def silence_limits(
        self, route: Route, service: ServiceName, failed_attempts: int
    ) -> SilenceLimits:
        """Return how long an attempt may be silent after `failed_attempts` others; the
        first attempt is abandoned early, the last one never.
        """
        is_last_attempt = failed_attempts + 1 >= route.max_attempts
        if not route.is_idempotent or is_last_attempt:
            return SilenceLimits(None, None)
        pause_s = MAX_PAUSE_TIMEOUT_S if route.is_resumable else None
        if failed_attempts or route.kind is not RouteKind.STREAMING:
            return SilenceLimits(MAX_FIRST_EVENT_TIMEOUT_S, pause_s)
        service_timeouts = self._timeouts_of_service[service]
        if route.is_resumable:
            pause_s = service_timeouts.pause.timeout_s()
        return SilenceLimits(service_timeouts.first_event.timeout_s(), pause_s)

    def record_timeout(
        self, service: ServiceName, silence_limits: SilenceLimits, had_event: bool
    ) -> None:
        """Record a timeout as a wait: timeouts must rise if all endpoints are slow."""
        service_timeouts = self._timeouts_of_service[service]
        if not had_event and silence_limits.first_event_s is not None:
            service_timeouts.first_event.record_wait(silence_limits.first_event_s)
        elif silence_limits.pause_s is not None:
            service_timeouts.pause.record_wait(silence_limits.pause_s)

    def record_stream(
        self, service: ServiceName, first_event_wait_s: float | None, pause_s: float
    ) -> None:
        """Record the waits of a complete stream; after a resume the first is None."""
        service_timeouts = self._timeouts_of_service[service]
        service_timeouts.pause.record_wait(pause_s)
        if first_event_wait_s is not None:
            service_timeouts.first_event.record_wait(first_event_wait_s)
