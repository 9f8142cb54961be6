"""Forwards what libraries log, and errors that end threads, to the event log.

Without it Python prints these as plain text on standard error, between the JSON lines
of the event log, which readers of the log then fail to decode.
"""

import logging
import sys
import threading
import traceback
from collections.abc import Callable
from types import TracebackType

from .events import Event, EventLog

MAX_REASON_LENGTH = 200
WARNINGS_LOGGER = "py.warnings"


class LibraryLogs(logging.Handler):
    """Writes an event for each warning or error of a library. Owned by the daemon.

    Messages are logged without their arguments, and exceptions by type and place
    only: both may contain parts of a request.
    """

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events: EventLog = events
        self._thread_hook: Callable | None = None
        self._unraisable_hook: Callable | None = None

    def start(self) -> None:
        """Take over the root logger, warnings and the hooks for uncaught errors."""
        logging.getLogger().addHandler(self)
        logging.captureWarnings(True)
        self._thread_hook = threading.excepthook
        self._unraisable_hook = sys.unraisablehook
        threading.excepthook = self._report_thread
        sys.unraisablehook = self._report_unraisable

    def close(self) -> None:
        """Give back what `start` took over."""
        if self._thread_hook is not None:
            threading.excepthook = self._thread_hook
            sys.unraisablehook = self._unraisable_hook
            logging.captureWarnings(False)
            logging.getLogger().removeHandler(self)
        super().close()

    def emit(self, record: logging.LogRecord) -> None:
        """Write the event for a record."""
        is_warning = record.name == WARNINGS_LOGGER
        reason = record.getMessage() if is_warning else str(record.msg)
        error = record.exc_info[1] if record.exc_info else None
        self._write(record.name, reason, error)

    def _report_thread(self, args: threading.ExceptHookArgs) -> None:
        if args.exc_type is SystemExit:
            return
        name = args.thread.name if args.thread else ""
        error = args.exc_value or args.exc_type()
        self._write(f"thread {name}", "uncaught error", error)

    def _report_unraisable(self, unraisable: "sys.UnraisableHookArgs") -> None:
        error = unraisable.exc_value
        self._write("interpreter", "error that could not be raised", error)

    def _write(self, source: str, reason: str, error: BaseException | None) -> None:
        self._events.write(
            Event.LIBRARY_MESSAGE,
            source=source,
            reason=reason[:MAX_REASON_LENGTH],
            error=type(error).__name__ if error is not None else "",
            at=_locate(error.__traceback__) if error is not None else "",
        )


def _locate(trace: TracebackType | None) -> str:
    """Return the file and line at which an error was raised."""
    frames = traceback.extract_tb(trace)
    if not frames:
        return ""
    return f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}"
