"""To which engine a turn goes next, after one has refused it or broken it off.

Answers full engines and engines that fail. A route bounds to how many engines a turn may be sent;
an engine that has had it may have it again. Sent back to its caller instead, a turn comes back no
sooner, and has used up one of its few tries.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

# Engines that refuse a turn before it is given back to the caller; each costs a round trip.
MAX_REFUSALS = 3
# A full queue moves by one turn in some tens of milliseconds. All pauses together are as long as a
# caller would stay away.
FULL_PAUSES_MS = (30, 60, 120)
# Runs of one turn that break off: a fault that breaks off every one must come to an end.
MAX_LOST_RUNS = 4
# With less time left no engine gets to a first event.
LEAST_LEFT_MS = 60


class Tried(StrEnum):
    """What became of a turn at an engine.

    Attributes:
      UNREACHABLE: It was not sent: nothing listens there, or the host does not answer.
      REPLACED: Another process listens there, and refused it.
      FULL: The engine refused it.
      LOST: It was sent, and there will be no whole answer.
    """

    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    FULL = "full"
    LOST = "lost"


class Place(StrEnum):
    """Where a turn may go.

    Attributes:
      ANOTHER: To an engine that has not had it.
      SAME: To the engine that had it last.
      NOWHERE: Back to its caller.
    """

    ANOTHER = "another"
    SAME = "same"
    NOWHERE = "nowhere"


class NextRun(NamedTuple):
    """Where a turn goes, and after which pause."""

    place: Place
    pause_ms: int = 0


class TurnTries:
    """The engines that one turn was sent to."""

    def __init__(self, *, max_engines: int, may_run_again: bool) -> None:
        """Makes the tries of a turn.

        Args:
          max_engines: To which it may be sent. Those that have ended meanwhile don't count.
          may_run_again: Whether it may be sent once more where an engine may have run it.
        """
        self._max_engines = max_engines
        self._may_run_again = may_run_again
        self._engines = 0
        self._refusals = 0
        self._pauses = 0
        self._lost_runs = 0
        self._last: Tried | None = None

    def note(self, tried: Tried, place: Place) -> None:
        """Takes in what became of the turn at the place that `next_run` has named."""
        self._last = tried
        self._lost_runs += tried is Tried.LOST
        if place is Place.SAME:
            # An engine whose process has ended works on nothing any more.
            self._engines -= tried in {Tried.UNREACHABLE, Tried.REPLACED}
            return
        self._refusals += tried is not Tried.LOST
        self._engines += tried is not Tried.UNREACHABLE

    def next_run(self, left_ms: float) -> NextRun:
        """Returns where the turn goes next."""
        if self._last is Tried.LOST and not self._may_go_on(left_ms):
            return NextRun(Place.NOWHERE)
        if self._engines < self._max_engines and self._refusals < MAX_REFUSALS:
            return NextRun(Place.ANOTHER)
        if self._last is Tried.LOST:
            return NextRun(Place.SAME)
        if self._last is Tried.FULL and self._pauses < len(FULL_PAUSES_MS):
            pause_ms = FULL_PAUSES_MS[self._pauses]
            if pause_ms + LEAST_LEFT_MS <= left_ms:
                self._pauses += 1
                return NextRun(Place.SAME, pause_ms)
        return NextRun(Place.NOWHERE)

    def _may_go_on(self, left_ms: float) -> bool:
        within_bounds = self._lost_runs < MAX_LOST_RUNS and left_ms >= LEAST_LEFT_MS
        return self._may_run_again and within_bounds
