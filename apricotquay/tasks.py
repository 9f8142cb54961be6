"""Background tasks of the threaded daemon, which continue after a failed run."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from .clocks import Clock
from .errors import LogUnavailableError
from .events import Event, EventLog
from .ids import StreamName
from .logclient import Log, ReadPage

READ_WAIT_MS = 1_000
ERROR_DELAY_S = 0.15
MIN_INTERVAL_S = 0.005


class Ticker:
    """Calls a function at an interval, or sooner after `wake`.

    Used for every periodic task.
    """

    def __init__(
        self, name: str, interval_s: float, task: Callable[[], None], events: EventLog
    ) -> None:
        self._name: str = name
        self._interval_s: float = interval_s
        self._task: Callable[[], None] = task
        self._events: EventLog = events
        self._closed: bool = False
        self._woken = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def wake(self) -> None:
        """Start the next round now, after a minimum interval since the last."""
        self._woken.set()

    def close(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._closed = True
        self._woken.set()

    def _run(self) -> None:
        while not self._closed:
            self._woken.clear()
            try:
                self._task()
            except Exception as exc:
                # One failed round must not prevent later ones.
                self._events.write(
                    Event.THREAD_FAILED, task=self._name, error=repr(exc)[:300]
                )
            if self._interval_s:
                self._woken.wait(self._interval_s)
                time.sleep(min(MIN_INTERVAL_S, self._interval_s))


class WorkerPool:
    """Threads for short tasks; a failed task is logged, not ignored."""

    def __init__(self, name: str, threads: int, events: EventLog) -> None:
        self._name: str = name
        self._events: EventLog = events
        self._pool = ThreadPoolExecutor(threads, name)

    def submit(self, task: Callable[..., None], *args: object) -> None:
        """Queue a task for one of the threads."""
        self._pool.submit(self._run, task, args)

    def close(self) -> None:
        """Drop queued tasks; running ones continue."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, task: Callable[..., None], args: tuple) -> None:
        try:
            task(*args)
        except Exception as exc:
            # The executor would store the exception in a future that is never read.
            self._events.write(
                Event.THREAD_FAILED, task=self._name, error=repr(exc)[:300]
            )


class StreamFollower:
    """Reads a stream from an offset on and passes each page to `on_page`.

    `on_page` also gets the time at which the read was sent: a page that reaches
    the tail contains everything that was in the log at that time.
    """

    def __init__(
        self,
        log: Log,
        stream: StreamName,
        on_page: Callable[[ReadPage, float], None],
        clock: Clock,
        events: EventLog,
        wait_ms: int = READ_WAIT_MS,
    ) -> None:
        self.next_offset: int = 0
        self._log: Log = log
        self._stream: StreamName = stream
        self._on_page: Callable[[ReadPage, float], None] = on_page
        self._clock: Clock = clock
        self._events: EventLog = events
        self._wait_ms: int = wait_ms
        self._reachable: bool = True
        self._ticker = Ticker(f"follow-{stream}", 0.0, self._read_once, events)
        self._closed = threading.Event()

    def start(self) -> None:
        """Start to read in the background."""
        self._ticker.start()

    def close(self) -> None:
        """Stop reading."""
        self._closed.set()
        self._ticker.close()

    def read_to_tail(self, timeout_ms: int = 0) -> None:
        """Read to the tail in the calling thread; to be called before `start`."""
        while not self._read_page(timeout_ms):
            continue

    def _read_once(self) -> None:
        try:
            self._read_page(self._wait_ms)
        except LogUnavailableError as exc:
            self._report_reachable(False, str(exc))
            self._closed.wait(ERROR_DELAY_S)
            return
        self._report_reachable(True, "")

    def _read_page(self, wait_ms: int) -> bool:
        sent_s = self._clock.now_s()
        page = self._log.read(self._stream, self.next_offset, wait_ms)
        if self._closed.is_set():
            return True
        self._on_page(page, sent_s)
        if page.entries:
            self.next_offset = page.entries[-1].offset + 1
        else:
            self.next_offset = max(self.next_offset, page.first_offset)
        return page.reaches_tail

    def _report_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = Event.LOG_REACHABLE if reachable else Event.LOG_UNREACHABLE
        self._events.write(event, stream=self._stream, error=error[:200])
