"""Decides whether, when and to which engine a turn is sent again after a failed attempt.

Handles engines that are full and engines that fail. A route limits to how many engines a turn may
be sent; the last of them may be tried again. If the turn were refused instead, its caller would
retry no sooner, and would have used up one of its few retries.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

# After this many refusals no further engine is tried; each refusal costs a round trip.
MAX_REFUSALS = 3
# Pauses before the same full engine is tried again. The queue of a full engine advances by one turn
# every few tens of milliseconds. The sum of the pauses is as long as a caller waits for a retry.
FULL_RETRY_PAUSES_MS = (30, 60, 120)
# Maximum number of attempts of one turn that break off: a fault may break off every attempt.
MAX_LOST_ATTEMPTS = 4
# With less time left than this, no engine produces a first event.
MIN_REMAINING_MS = 60


class AttemptOutcome(StrEnum):
    """Outcome of a failed attempt to run a turn at an engine.

    Attributes:
      UNREACHABLE: The turn was not sent: nothing listens at the address, or the host does not
        answer.
      REPLACED: A process other than the engine listens at the address and refused the turn.
      FULL: The engine refused the turn.
      ANSWER_LOST: The turn was sent, and its complete answer can't be received any more.
    """

    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    FULL = "full"
    ANSWER_LOST = "lost"


class Destination(StrEnum):
    """Where a turn is sent next.

    Attributes:
      ANOTHER_ENGINE: To an engine that was not tried yet.
      SAME_ENGINE: To the engine that was tried last.
      CALLER: To no engine: the turn fails, and its caller gets the final answer.
    """

    ANOTHER_ENGINE = "another"
    SAME_ENGINE = "same"
    CALLER = "nowhere"


class NextAttempt(NamedTuple):
    """Where a turn is sent next, and after which pause in milliseconds."""

    destination: Destination
    pause_ms: int = 0


class TurnRetries:
    """Counts the failed attempts of one turn and decides on the next one."""

    def __init__(self, *, max_engines: int, may_rerun: bool) -> None:
        """Starts without any attempt.

        Args:
          max_engines: To how many engines the turn may be sent. Engines whose process has ended
            meanwhile don't count.
          may_rerun: Whether the turn may be sent again after an engine may have run it.
        """
        self._max_engines = max_engines
        self._may_rerun = may_rerun
        self._engine_count = 0
        self._refusal_count = 0
        self._pause_count = 0
        self._lost_count = 0
        self._last_outcome: AttemptOutcome | None = None

    def record_outcome(self, outcome: AttemptOutcome, destination: Destination) -> None:
        """Records the outcome of the attempt that `next_attempt` returned last.

        Args:
          outcome: How the attempt failed.
          destination: The destination that `next_attempt` returned for it.
        """
        self._last_outcome = outcome
        self._lost_count += outcome is AttemptOutcome.ANSWER_LOST
        if destination is Destination.SAME_ENGINE:
            # An engine whose process has ended no longer works on the turn, so it does not count.
            self._engine_count -= outcome in {AttemptOutcome.UNREACHABLE, AttemptOutcome.REPLACED}
            return
        self._refusal_count += outcome is not AttemptOutcome.ANSWER_LOST
        self._engine_count += outcome is not AttemptOutcome.UNREACHABLE

    def next_attempt(self, left_ms: float) -> NextAttempt:
        """Returns where the turn is sent next.

        Args:
          left_ms: Milliseconds until the time limit of the call.
        """
        if self._last_outcome is AttemptOutcome.ANSWER_LOST and not self._can_rerun(left_ms):
            return NextAttempt(Destination.CALLER)
        if self._engine_count < self._max_engines and self._refusal_count < MAX_REFUSALS:
            return NextAttempt(Destination.ANOTHER_ENGINE)
        if self._last_outcome is AttemptOutcome.ANSWER_LOST:
            return NextAttempt(Destination.SAME_ENGINE)
        if self._last_outcome is AttemptOutcome.FULL and self._pause_count < len(
            FULL_RETRY_PAUSES_MS
        ):
            pause_ms = FULL_RETRY_PAUSES_MS[self._pause_count]
            if pause_ms + MIN_REMAINING_MS <= left_ms:
                self._pause_count += 1
                return NextAttempt(Destination.SAME_ENGINE, pause_ms)
        return NextAttempt(Destination.CALLER)

    def _can_rerun(self, left_ms: float) -> bool:
        within_bounds = self._lost_count < MAX_LOST_ATTEMPTS and left_ms >= MIN_REMAINING_MS
        return self._may_rerun and within_bounds
