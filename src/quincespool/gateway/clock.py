"""The steady clock."""

from __future__ import annotations

import asyncio


def now_ms() -> int:
    """Returns the steady clock in milliseconds; unaffected when the time of day is set."""
    return int(asyncio.get_running_loop().time() * 1000)
