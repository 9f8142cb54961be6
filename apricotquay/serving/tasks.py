"""Background tasks of the event-loop daemon, restarted after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

from ..events import Event
from .reporting import Reporter

RESTART_DELAY_S = 0.5


def start_task(
    name: str, run: Callable[[], Awaitable[None]], reporter: Reporter
) -> asyncio.Task:
    """Start a task that is logged and restarted if it fails."""
    return asyncio.create_task(_supervise(name, run, reporter))


async def _supervise(
    name: str, run: Callable[[], Awaitable[None]], reporter: Reporter
) -> None:
    while True:
        try:
            await run()
            return
        except (Exception, asyncio.CancelledError) as exc:
            is_cancelled = isinstance(exc, asyncio.CancelledError)
            # A future that another task cancelled does not cancel this one.
            if is_cancelled and asyncio.current_task().cancelling():
                raise
            reporter.write(Event.THREAD_FAILED, task=name, error=repr(exc)[:200])
            await asyncio.sleep(RESTART_DELAY_S)
