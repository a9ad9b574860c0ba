"""The typical number of calls and duration of programs, learned from programs that have ended.

Callers don't say how long a program will be, or when it has ended: it counts as ended when it has
made no call for some time.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.urgency import Rank

if TYPE_CHECKING:
    from collections.abc import Iterator

# A program that has made no call for this long has ended: longer than a turn on a full engine and
# the pause of a tool after it.
IDLE_MS = 2_000
# Weight of the newest program in the typical shape of its kind, which reflects about the last ten.
NEWEST_WEIGHT = 0.1
# Maximum number of tracked programs; the one whose last call is the oldest is evicted first.
MAX_PROGRAMS = 4_096
# Maximum number of kinds of programs whose typical shape is stored.
MAX_KINDS = 64


class ProgramKind(NamedTuple):
    """A group of programs that are expected to have similar shapes.

    Attributes:
      name: Name of the group, such as the route.
      rank: Importance of the programs.
    """

    name: str = ""
    rank: Rank = Rank()


class Shape(NamedTuple):
    """Size and duration of a program, or their averages over a kind of program.

    Attributes:
      calls: Number of its calls.
      duration_ms: Time from its first call to its last.
    """

    calls: float
    duration_ms: float


class Progress(NamedTuple):
    """The number of calls that a program has made so far."""

    kind: ProgramKind
    calls: int


class _Running(NamedTuple):
    progress: Progress
    began_ms: int
    last_call_ms: int


class ProgramShapes:
    """Tracks the programs that one process serves, and the typical shapes of their kinds."""

    def __init__(self, first_guess: Shape) -> None:
        """Starts without any program.

        Args:
          first_guess: Shape of a kind before any program of it has ended.
        """
        self._first_guess = first_guess
        self._programs: dict[str, _Running] = {}
        # Number of programs by kind and calls made. Programs are counted, not listed, since there
        # are few kinds and lengths, and many programs.
        self._counts: Counter[Progress] = Counter()
        self._typical: dict[ProgramKind, Shape] = {}

    def record_call(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records a call of a program."""
        known = self._programs.pop(program_id, None)
        if known is None:
            while len(self._programs) >= MAX_PROGRAMS:
                self._drop(next(iter(self._programs)))
            known = _Running(Progress(kind, 0), now_ms, now_ms)
        else:
            self._uncount(known.progress)
        progress = known.progress._replace(calls=known.progress.calls + 1)
        self._counts[progress] += 1
        self._programs[program_id] = known._replace(progress=progress, last_call_ms=now_ms)

    def is_in_progress(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun and has not ended."""
        program = self._programs.get(program_id)
        return program is not None and now_ms - program.last_call_ms < IDLE_MS

    def in_progress(self, now_ms: int) -> Iterator[tuple[Progress, int]]:
        """Yields the number of programs in progress by kind and calls made.

        First learns from the programs that have ended.
        """
        self.learn(now_ms)
        yield from self._counts.items()

    def learn(self, now_ms: int) -> None:
        """Learns from the programs that have ended, and drops them."""
        # The programs are ordered by the time of their last call, the oldest first.
        while self._programs:
            program_id, program = next(iter(self._programs.items()))
            if now_ms - program.last_call_ms < IDLE_MS:
                return
            self._drop(program_id)
            self._learn_from(program)

    def typical_shape(self, kind: ProgramKind) -> Shape:
        """Returns the typical shape of a kind of program."""
        return self._typical.get(kind) or self._first_guess

    def _drop(self, program_id: str) -> None:
        self._uncount(self._programs.pop(program_id).progress)

    def _uncount(self, progress: Progress) -> None:
        self._counts[progress] -= 1
        if not self._counts[progress]:
            del self._counts[progress]

    def _learn_from(self, program: _Running) -> None:
        kind, calls = program.progress
        typical = self.typical_shape(kind)
        took_ms = program.last_call_ms - program.began_ms
        while len(self._typical) >= MAX_KINDS and kind not in self._typical:
            del self._typical[next(iter(self._typical))]
        self._typical[kind] = Shape(
            calls=typical.calls + NEWEST_WEIGHT * (calls - typical.calls),
            duration_ms=typical.duration_ms + NEWEST_WEIGHT * (took_ms - typical.duration_ms),
        )
