"""What an attempt in a slot shows of its endpoint's speed and load. Pure."""

from collections.abc import Callable

import msgspec

from ..engine import NO_LOAD, EndpointLoad

US_PER_S = 1_000_000
MS_PER_S = 1_000
# A mean of fewer gaps is not a measure of the speed.
MIN_GAPS = 3
# Events that arrive while a write to the client blocks for longer are read late.
BLOCKED_WRITE_S = 0.002


class UseReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one attempt showed, as told to the owner of the slots; 0 is unknown.

    `started_ms` names the endpoint's start, `gap_us` is the mean time between events,
    `load` the endpoint's statement of `load_age_ms` ago. `was_refused` means that the
    endpoint answered that it does not run the request, `was_abandoned` that it may
    still run it.
    """

    started_ms: int = 0
    first_event_ms: int = 0
    gap_us: int = 0
    events: int = 0
    load: EndpointLoad | None = None
    load_age_ms: int = 0
    was_refused: bool = False
    was_abandoned: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the attempt showed nothing."""
        has_measurements = self.first_event_ms or self.load or self.was_refused
        return not (has_measurements or self.was_abandoned)


class SlotUse:
    """Records an attempt while it runs. One per slot lease; filled by those who make
    the attempt, read by `SlotAllocator` when the slot is released.
    """

    def __init__(self) -> None:
        # Called when an endpoint that runs the request has stated its load.
        self.on_load: Callable[[], None] = lambda: None
        self._sent_s: float | None = None
        self._started_ms: int = 0
        self._load: EndpointLoad | None = None
        self._load_s: float = 0.0
        self._was_refused: bool = False
        self._is_over: bool = True
        self._first_event_s: float | None = None
        self._last_event_s: float = 0.0
        self._events: int = 0
        # Only gaps in which the daemon waited for the endpoint.
        self._gaps: int = 0
        self._gaps_s: float = 0.0
        self._was_blocked: bool = False

    def record_send(self, started_ms: int, now_s: float) -> None:
        """Record that the request is sent to a start of the endpoint."""
        self._sent_s = now_s
        self._started_ms = started_ms
        self._is_over = False

    def record_end(self) -> None:
        """Record that the endpoint does not run the request, or no longer."""
        self._is_over = True

    def record_load(
        self, load: EndpointLoad, now_s: float, *, is_refusal: bool = False
    ) -> None:
        """Record what the endpoint's answer states of its load, if it does."""
        self._was_refused = is_refusal and load.slots > 0
        if load != NO_LOAD and not load.malformed:
            self._load = load
            self._load_s = now_s
            if not is_refusal:
                self.on_load()

    def record_events(self, count: int, now_s: float, write_s: float = 0.0) -> None:
        """Record events that arrived together, `write_s` is how long the write of those
        before took. If it blocked, events were read late, so that neither the gap
        before them nor the one after them is the endpoint's.
        """
        if self._first_event_s is None:
            self._first_event_s = now_s
        elif write_s <= BLOCKED_WRITE_S and not self._was_blocked:
            self._gaps += count
            self._gaps_s += now_s - self._last_event_s
        self._was_blocked = write_s > BLOCKED_WRITE_S
        self._events += count
        self._last_event_s = now_s

    def report(self, now_s: float, *, is_released: bool = True) -> UseReport | None:
        """Return what the attempt has shown so far, None if nothing."""
        if self._sent_s is None:
            return None
        first_event_ms = 0
        if self._first_event_s is not None:
            first_event_ms = max(
                1, int((self._first_event_s - self._sent_s) * MS_PER_S)
            )
        report = UseReport(
            self._started_ms,
            first_event_ms,
            int(self._gap_s() * US_PER_S),
            self._events,
            self._load,
            int((now_s - self._load_s) * MS_PER_S) if self._load else 0,
            self._was_refused,
            is_released and not self._is_over,
        )
        return None if report.is_empty else report

    def _gap_s(self) -> float:
        """Return the mean time between events, 0 if too few gaps were measured."""
        return self._gaps_s / self._gaps if self._gaps >= MIN_GAPS else 0.0
