"""The steady clock and the time of day."""

from __future__ import annotations

import asyncio
import time


def now_ms() -> int:
    """Returns the steady clock in milliseconds; unaffected when the time of day is set."""
    return int(asyncio.get_running_loop().time() * 1000)


def wall_ms() -> int:
    """Returns the time of day in milliseconds; may jump, and differs between hosts by seconds."""
    return time.time_ns() // 1_000_000
