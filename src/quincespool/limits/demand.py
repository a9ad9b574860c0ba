"""Counts how many programs of each kind ask to begin, including those that are refused."""

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

# A program that is retried within this time after a refusal counts as the same arrival.
RETRY_WINDOW_MS = 2_000
# Time constant of the average of arrivals: long enough to smooth out random variation, short enough
# to follow a burst of some seconds.
AVERAGING_MS = 2_000


class _Arrivals(NamedTuple):
    """A count of arrived programs in which the weight of each decays with its age."""

    programs: float
    at_ms: int

    def decayed(self, now_ms: int) -> _Arrivals:
        passed_ms = max(0, now_ms - self.at_ms)
        return _Arrivals(self.programs * math.exp(-passed_ms / AVERAGING_MS), now_ms)


class Demand:
    """The arrivals of one account's programs, by kind."""

    def __init__(self) -> None:
        self._last_request_ms: dict[str, int] = {}
        self._arrivals: dict[ProgramKind, _Arrivals] = {}
        self._refused_ms: dict[ProgramKind, int] = {}

    def record_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program asks to begin."""
        last_request_ms = self._last_request_ms.get(program_id)
        put_newest(self._last_request_ms, program_id, now_ms, most=MAX_PROGRAMS)
        if last_request_ms is not None and now_ms - last_request_ms < RETRY_WINDOW_MS:
            return
        arrivals = self._arrivals.get(kind, _Arrivals(0.0, now_ms)).decayed(now_ms)
        arrivals = arrivals._replace(programs=arrivals.programs + 1)
        put_newest(self._arrivals, kind, arrivals, most=MAX_KINDS)

    def record_refusal(self, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program was refused to begin."""
        put_newest(self._refused_ms, kind, now_ms, most=MAX_KINDS)

    def programs_per_s(self, now_ms: int) -> Iterator[tuple[ProgramKind, float]]:
        """Yields the arrivals per second of each kind of which a program was recently refused.

        Kinds whose programs all begin are left out: no calls need to be reserved for them.
        """
        for kind, arrivals in self._arrivals.items():
            refused_ms = self._refused_ms.get(kind)
            if refused_ms is None or now_ms - refused_ms >= RETRY_WINDOW_MS:
                continue
            yield kind, arrivals.decayed(now_ms).programs / AVERAGING_MS * 1000
