"""Time sources of both daemons.

Modules without I/O take times as arguments and read no clock.
"""

import time
from typing import Annotated, Protocol

import msgspec

# Unix times in milliseconds have no more digits for the next 280,000 years.
MAX_WALL_MS = 10**16

# A Unix time in milliseconds that another writer states; msgspec checks its range.
WallMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_MS)]


class Clock(Protocol):
    """A source of monotonic time and wall-clock time."""

    def now_s(self) -> float:
        """Return monotonic seconds, which also count while the VM is paused."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The clocks of the operating system.

    CLOCK_BOOTTIME is used because CLOCK_MONOTONIC does not advance while a VM
    is suspended, and a lease must not outlive a suspension.
    """

    def now_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000
