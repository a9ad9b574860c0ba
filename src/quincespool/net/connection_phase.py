"""The phase that a caller's connection is in, and the time limit of that phase."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.net.connection_limits import ConnectionLimits

LINGER_LIMIT_S = 2.0


class Phase(Enum):
    """What a connection waits for.

    Attributes:
      NEW: The first byte on it.
      IDLE: The first byte of the next request.
      HEAD: The rest of a head.
      BODY: The rest of a body.
      ANSWER: The answer to a whole request.
      DISCARD: The caller to close; whatever still comes is dropped.
    """

    NEW = "new"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    DISCARD = "discard"


class PhaseTimer:
    """Ends a phase that lasts too long, by the limits that are in force at the time.

    Attributes:
      phase: The present phase.
    """

    def __init__(
        self, limits: Callable[[], ConnectionLimits], on_timeout: Callable[[], None]
    ) -> None:
        self.phase = Phase.NEW
        self._limits = limits
        self._on_timeout = on_timeout
        self._loop = asyncio.get_running_loop()
        self._entered_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def enter(self, phase: Phase) -> None:
        """Begins a phase and its time limit."""
        self.phase = phase
        self._entered_s = self._loop.time()
        self.apply_limits()

    def apply_limits(self) -> None:
        """Measures the present phase by the limits in force, from when it began."""
        self.stop()
        limit_s = self._limit_s()
        if limit_s is not None:
            self._timer = self._loop.call_at(self._entered_s + limit_s, self._on_timeout)

    def stop(self) -> None:
        """Ends the time limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _limit_s(self) -> float | None:
        if self.phase is Phase.ANSWER:
            return None
        if self.phase is Phase.DISCARD:
            return LINGER_LIMIT_S
        limits = self._limits()
        if self.phase is Phase.NEW:
            return limits.first_s
        if self.phase is Phase.IDLE:
            return limits.idle_s
        return limits.head_s if self.phase is Phase.HEAD else limits.body_s
