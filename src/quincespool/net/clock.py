"""The clock of a daemon: wall-clock milliseconds that never go back."""

from __future__ import annotations

import time


class Clock:
    """Wall-clock milliseconds that follow forward steps and ignore backward ones.

    A wall clock that is set back would hold up every timer until it has caught up; the symptom is a
    daemon that answers but neither claims nor times out. So time runs on by the boot clock, which
    also counts while the machine is suspended. A forward step is taken over, since it may be the
    only sign that the process stood still (a virtual machine restored from a snapshot).
    """

    def __init__(self) -> None:
        self._offset_ms = _wall_ms() - _boot_ms()

    def now_ms(self) -> int:
        """Returns the time in milliseconds since 1970."""
        boot_ms = _boot_ms()
        self._offset_ms = max(self._offset_ms, _wall_ms() - boot_ms)
        return boot_ms + self._offset_ms


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _boot_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
