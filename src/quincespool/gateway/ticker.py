"""Periodic timers: components subscribe callbacks that are called at intervals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.futures import report_exception

if TYPE_CHECKING:
    from collections.abc import Callable

# Interval that is used when a subscriber's interval function raises an exception.
FALLBACK_INTERVAL_MS = 1_000


class Ticker:
    """Calls subscribers at their intervals; missed calls are skipped."""

    def __init__(self) -> None:
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._stopped = False

    def every(self, interval_ms: Callable[[], int], call: Callable[[], None]) -> None:
        """Calls a function periodically.

        Args:
          interval_ms: Returns the time until the next call; evaluated before each wait.
          call: The function to call; must not block.
        """
        number = len(self._handles)

        def run() -> None:
            if self._stopped:
                return
            arm()
            call()

        def arm() -> None:
            loop = asyncio.get_running_loop()
            self._handles[number] = loop.call_later(next_interval_ms() / 1000, run)

        def next_interval_ms() -> int:
            try:
                return interval_ms()
            except Exception as error:
                report_exception("interval of a periodic call is not available", error)
                return FALLBACK_INTERVAL_MS

        arm()

    def stop(self) -> None:
        """Cancels all calls."""
        self._stopped = True
        for handle in self._handles.values():
            handle.cancel()
