"""What programs of a kind are usually like, learned from those that are over.

Nobody says how long a program will be, or when it has ended: it has when it asks for nothing more.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.urgency import Rank

if TYPE_CHECKING:
    from collections.abc import Iterator

# A program that has asked for nothing for so long is over: longer than a turn on a full engine and
# the pause of a tool after it.
IDLE_MS = 2_000
# Weight of the newest program in what is usual for its kind: about the last ten count.
NEWEST_WEIGHT = 0.1
# Programs that are remembered, the longest quiet given up first.
MAX_PROGRAMS = 4_096
# Kinds of programs of which it is remembered what is usual.
MAX_KINDS = 64


class ProgramKind(NamedTuple):
    """What a program is expected to be like.

    Attributes:
      name: Such as its route.
      rank: Importance.
    """

    name: str = ""
    rank: Rank = Rank()


class Shape(NamedTuple):
    """What is usual for a kind of program.

    Attributes:
      calls: That it makes.
      took_ms: From its first call to its last.
    """

    calls: float
    took_ms: float


class Progress(NamedTuple):
    """How far a program is: the calls that it has made."""

    kind: ProgramKind
    calls: int


class _Running(NamedTuple):
    progress: Progress
    began_ms: int
    asked_ms: int


class ProgramShapes:
    """The programs that one process sees, and what is usual for their kinds."""

    def __init__(self, first_guess: Shape) -> None:
        """Makes shapes.

        Args:
          first_guess: Of a kind before any program of it was seen to its end.
        """
        self._first_guess = first_guess
        self._programs: dict[str, _Running] = {}
        # How many programs are how far: there are few kinds and lengths, and many programs.
        self._counts: Counter[Progress] = Counter()
        self._usual: dict[ProgramKind, Shape] = {}

    def note(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in a call of a program."""
        known = self._programs.pop(program_id, None)
        if known is None:
            while len(self._programs) >= MAX_PROGRAMS:
                self._drop(next(iter(self._programs)))
            known = _Running(Progress(kind, 0), now_ms, now_ms)
        else:
            self._uncount(known.progress)
        progress = known.progress._replace(calls=known.progress.calls + 1)
        self._counts[progress] += 1
        self._programs[program_id] = known._replace(progress=progress, asked_ms=now_ms)

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun and is not over."""
        program = self._programs.get(program_id)
        return program is not None and now_ms - program.asked_ms < IDLE_MS

    def under_way(self, now_ms: int) -> Iterator[tuple[Progress, int]]:
        """Yields how many programs under way are how far; learns from those that are over."""
        self.learn(now_ms)
        yield from self._counts.items()

    def learn(self, now_ms: int) -> None:
        """Forgets programs that are over, and learns from them."""
        # The longest quiet ones stand first.
        while self._programs:
            program_id, program = next(iter(self._programs.items()))
            if now_ms - program.asked_ms < IDLE_MS:
                return
            self._drop(program_id)
            self._learn_from(program)

    def usual(self, kind: ProgramKind) -> Shape:
        """Returns what is usual for a kind."""
        return self._usual.get(kind) or self._first_guess

    def _drop(self, program_id: str) -> None:
        self._uncount(self._programs.pop(program_id).progress)

    def _uncount(self, progress: Progress) -> None:
        self._counts[progress] -= 1
        if not self._counts[progress]:
            del self._counts[progress]

    def _learn_from(self, program: _Running) -> None:
        kind, calls = program.progress
        usual = self.usual(kind)
        took_ms = program.asked_ms - program.began_ms
        while len(self._usual) >= MAX_KINDS and kind not in self._usual:
            del self._usual[next(iter(self._usual))]
        self._usual[kind] = Shape(
            calls=usual.calls + NEWEST_WEIGHT * (calls - usual.calls),
            took_ms=usual.took_ms + NEWEST_WEIGHT * (took_ms - usual.took_ms),
        )
