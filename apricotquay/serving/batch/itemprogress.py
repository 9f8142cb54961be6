"""What a daemon knows of a batch item between its attempts. Does no I/O."""

import enum

import msgspec

from ..engine import AttemptFailedError
from ..http.sse import StreamEvent
from ..slots.outliers import SlotOutcome
from .jobrecords import ProgressRecord

# Without an event. Doubled after each further attempt that timed out without output.
EVENT_TIMEOUT_S = 3.0
TIMEOUTS_BEFORE_DOUBLING = 2
MAX_EVENT_TIMEOUT_S = 48.0
# A page of results must hold an item's whole output. Items keep what they have
# between attempts, so that this bounds their memory, too.
MAX_OUTPUT_BYTES = 1_000_000
RETRY_DELAY_S = 0.25
FRUITLESS_BEFORE_BACKOFF = 3
MAX_RETRY_DELAY_S = 4.0
INITIAL_RUN_TIME_S = 3.0
RUN_TIME_SMOOTHING = 0.1
MIN_REMAINING_SHARE = 0.1


class Outcome(enum.Enum):
    """How an attempt ended.

    FAILED counts as a failure of the item. RETRY does not, since the endpoint or
    the connection to it failed. IMPOSSIBLE means that the endpoint reported that
    the item can never be processed.
    """

    DONE = "done"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    RETRY = "again"
    REVOKED = "revoked"


class AttemptResult(msgspec.Struct, frozen=True):
    """The result of an attempt; `reason` is written to the log.

    `was_fruitless` means that the connection ended before any new event.
    """

    outcome: Outcome
    reason: str = ""
    slot_outcome: SlotOutcome = SlotOutcome.UNKNOWN
    was_fruitless: bool = False
    timed_out: bool = False


class ItemProgress:
    """The output of an item so far, kept across attempts."""

    def __init__(self, known: ProgressRecord | None) -> None:
        self.data: list[str] = list(known.data) if known else []
        self._size_bytes: int = sum(len(data.encode()) + 1 for data in self.data)
        self.last_id: int = known.last_id if known else -1
        self.failures: int = known.failures if known else 0
        # The software version of the endpoints that made the output.
        self.version: str = known.version if known else ""
        self.ran_s: float = 0.0
        self.fruitless_attempts: int = 0
        self._failed_endpoint: str = ""
        self._fruitless_in_a_row: int = 0
        self._timeouts_in_a_row: int = 0

    def event_timeout_s(self) -> float:
        """Return how long the next attempt may wait for an event.

        An endpoint that is slow, but sound, needs more time than a first attempt has.
        """
        doublings = max(0, self._timeouts_in_a_row - TIMEOUTS_BEFORE_DOUBLING + 1)
        return min(MAX_EVENT_TIMEOUT_S, EVENT_TIMEOUT_S * 2**doublings)

    def retry_delay_s(self, was_fruitless: bool) -> float:
        """Return how long to wait before the next attempt.

        An item whose connections keep ending before any output may be the cause of
        it, so it is still run, but ever less often.
        """
        self._fruitless_in_a_row = self._fruitless_in_a_row + 1 if was_fruitless else 0
        doublings = max(0, self._fruitless_in_a_row - FRUITLESS_BEFORE_BACKOFF)
        return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**doublings)

    def endpoints_to_avoid(self) -> frozenset[str]:
        """Return the endpoint of the last attempt if that failed."""
        return (
            frozenset((self._failed_endpoint,))
            if self._failed_endpoint
            else frozenset()
        )

    def record_attempt(
        self, endpoint: str, result: "AttemptResult", had_output: bool, ran_s: float
    ) -> None:
        """Record where and how long an attempt ran, and how it ended."""
        failed = result.outcome in (Outcome.RETRY, Outcome.FAILED)
        self.ran_s += ran_s
        self._failed_endpoint = endpoint if failed else ""
        if had_output:
            self.fruitless_attempts = self._timeouts_in_a_row = 0
        elif failed:
            self.fruitless_attempts += 1
            self._timeouts_in_a_row += result.timed_out

    def append_event(self, event: StreamEvent, version: str) -> None:
        """Append an event of a version; raise AttemptFailedError if ids are missing or
        it is no text, which results could not hold.
        """
        if not event.is_text:
            raise AttemptFailedError(f"event {event.id} is no UTF-8")
        expected = self.last_id + 1
        if self.last_id >= 0 and event.id != expected:
            raise AttemptFailedError(f"event {event.id} came instead of {expected}")
        self._size_bytes += len(event.data.encode()) + 1
        if self._size_bytes > MAX_OUTPUT_BYTES:
            self.discard_output()
            raise AttemptFailedError(f"output of more than {MAX_OUTPUT_BYTES} bytes")
        self.data.append(event.data)
        self.last_id = event.id
        self.version = version

    def discard_output(self) -> None:
        """Forget the output so far; the next attempt starts from the beginning."""
        self.data.clear()
        self._size_bytes = 0
        self.last_id = -1
        self.version = ""

    def to_record(self) -> ProgressRecord:
        """Return the record from which another daemon can resume the item."""
        return ProgressRecord(
            self.last_id, list(self.data), self.failures, self.version
        )


class RunTimeEstimate:
    """Moving average of item run times, to estimate the remaining time of an item."""

    def __init__(self) -> None:
        self._mean_s: float = INITIAL_RUN_TIME_S

    def record(self, ran_s: float) -> None:
        """Add the run time of a finished item."""
        self._mean_s += RUN_TIME_SMOOTHING * (ran_s - self._mean_s)

    def remaining_s(self, ran_s: float) -> float:
        """Return the estimated remaining time of an item that has run for `ran_s`."""
        return max(MIN_REMAINING_SHARE * self._mean_s, self._mean_s - ran_s)
