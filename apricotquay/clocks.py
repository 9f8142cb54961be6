"""Time sources. Decision modules take times as values and never read these."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and of calendar time."""

    def now_s(self) -> float:
        """Return monotonic seconds, which also count while the VM is paused."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The clocks of the operating system.

    CLOCK_BOOTTIME is used because CLOCK_MONOTONIC stands still while a VM is
    suspended, and a lease must not outlive a suspension.
    """

    def now_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000
