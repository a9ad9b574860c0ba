"""The steady clock and the time of day."""

from __future__ import annotations

import time


def now_ms() -> int:
    """Returns the steady clock in milliseconds.

    Unlike the event loop's clock, it includes time for which the host was suspended: a lease that
    expired meanwhile must be seen as expired. Setting the time of day does not change it.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Returns the time of day in milliseconds; it may jump and differs between hosts by seconds."""
    return time.time_ns() // 1_000_000
