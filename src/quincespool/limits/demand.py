"""How many programs of each kind want to begin, those that are refused included."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.newest_entries import put_newest
from quincespool.policy.program_shapes import MAX_KINDS
from quincespool.policy.program_shapes import MAX_PROGRAMS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quincespool.policy.program_shapes import ProgramKind

# A program that comes back within this time after a refusal is the same arrival.
RETURN_MS = 2_000
# The time over which arrivals are averaged: long enough to see through chance, short enough to
# follow a burst of some seconds.
MEMORY_MS = 2_000


class _Arrivals(NamedTuple):
    """Programs that came, each counted less the longer ago it was."""

    programs: float
    at_ms: int

    def decayed(self, now_ms: int) -> _Arrivals:
        passed_ms = max(0, now_ms - self.at_ms)
        return _Arrivals(self.programs * math.exp(-passed_ms / MEMORY_MS), now_ms)


class Demand:
    """The arrivals of one account's programs."""

    def __init__(self) -> None:
        self._asked_ms: dict[str, int] = {}
        self._arrivals: dict[ProgramKind, _Arrivals] = {}
        self._refused_ms: dict[ProgramKind, int] = {}

    def note(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program would begin."""
        asked_ms = self._asked_ms.get(program_id)
        put_newest(self._asked_ms, program_id, now_ms, most=MAX_PROGRAMS)
        if asked_ms is not None and now_ms - asked_ms < RETURN_MS:
            return
        arrivals = self._arrivals.get(kind, _Arrivals(0.0, now_ms)).decayed(now_ms)
        arrivals = arrivals._replace(programs=arrivals.programs + 1)
        put_newest(self._arrivals, kind, arrivals, most=MAX_KINDS)

    def note_refused(self, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program could not begin."""
        put_newest(self._refused_ms, kind, now_ms, most=MAX_KINDS)

    def programs_per_s(self, now_ms: int) -> Iterator[tuple[ProgramKind, float]]:
        """Yields each kind of which a program was refused lately, and how many come a second.

        A kind whose programs all begin needs nothing kept for it.
        """
        for kind, arrivals in self._arrivals.items():
            refused_ms = self._refused_ms.get(kind)
            if refused_ms is None or now_ms - refused_ms >= RETURN_MS:
                continue
            yield kind, arrivals.decayed(now_ms).programs / MEMORY_MS * 1000
