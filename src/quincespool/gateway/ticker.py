"""The gateway's timer service: parts subscribe to be called at intervals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.futures import report_fault

if TYPE_CHECKING:
    from collections.abc import Callable

# Pause of a subscriber that cannot tell its interval.
FAULT_PAUSE_MS = 1_000


class Ticker:
    """Calls subscribers at their intervals; a late call is not made up for."""

    def __init__(self) -> None:
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._stopped = False

    def every(self, interval_ms: Callable[[], int], call: Callable[[], None]) -> None:
        """Calls a function again and again.

        Args:
          interval_ms: Asked before each pause.
          call: Must not block.
        """
        number = len(self._handles)

        def run() -> None:
            if self._stopped:
                return
            arm()
            call()

        def arm() -> None:
            loop = asyncio.get_running_loop()
            self._handles[number] = loop.call_later(pause_ms() / 1000, run)

        def pause_ms() -> int:
            try:
                return interval_ms()
            except Exception as error:
                report_fault("no interval", error)
                return FAULT_PAUSE_MS

        arm()

    def stop(self) -> None:
        """Calls nobody any more."""
        self._stopped = True
        for handle in self._handles.values():
            handle.cancel()
