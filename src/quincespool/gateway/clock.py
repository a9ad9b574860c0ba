"""The steady clock and the time of day."""

from __future__ import annotations

import time


def now_ms() -> int:
    """Returns the steady clock in milliseconds.

    It counts the time for which the host was suspended, unlike the event loop's clock: a lease that
    ran out meanwhile must be seen to have run out. Setting the time of day does not change it.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Returns the time of day in milliseconds; may jump, and differs between hosts by seconds."""
    return time.time_ns() // 1_000_000
