"""Whose calls go first when an account asks for more than its limit.

Answers an account that sends many times its usual. A program is worth something only when it ends;
served in the order in which calls come, nearly all programs of such an account lose one call to the
limit, and what the others had is wasted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from quincespool.limits.bucket import Allowance
    from quincespool.limits.bucket import Bucket

# Calls and time of a program before any was seen to its end.
FIRST_PROGRAM_CALLS = 12.0
FIRST_PROGRAM_MS = 2_000.0
# A program that has asked for nothing for so long is over: longer than a turn on a full engine and
# the pause of a tool after it.
IDLE_MS = 2_000
# Weight of the newest program in what is usual for the account: about the last ten count.
NEWEST_WEIGHT = 0.1
# A program longer than usual still has calls to make; this many are kept for it.
LEAST_REST_CALLS = 2.0
# Programs that are remembered for one account, the longest quiet given up first.
MAX_PROGRAMS = 4_096


class Order(Protocol):
    """Says which programs of one account may begin; sees every call that is let through."""

    def missing_calls(self, bucket: Bucket, allowance: Allowance, now_ms: int) -> float:
        """Returns how many calls short the account is of room for one more program; 0 if it has."""

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun."""

    def note(self, program_id: str, now_ms: int) -> None:
        """Takes in a call that is let through."""


class _Program(NamedTuple):
    calls: int
    began_ms: int
    asked_ms: int


class ProgramsFirst:
    """Keeps room for what programs under way still need, as far as learned of earlier ones."""

    def __init__(self) -> None:
        self._programs: dict[str, _Program] = {}
        self._usual_calls = FIRST_PROGRAM_CALLS
        self._usual_ms = FIRST_PROGRAM_MS

    def missing_calls(self, bucket: Bucket, allowance: Allowance, now_ms: int) -> float:
        """Returns how many calls short the account is of room for one more program; 0 if it has."""
        self._forget_over(now_ms)
        promised = sum(
            max(LEAST_REST_CALLS, self._usual_calls - program.calls)
            for program in self._programs.values()
        )
        supply = bucket.level_calls + allowance.rate_per_s * self._usual_ms / 1000
        # An account whose limit is below the usual program may still begin one when it is at rest.
        need = min(self._usual_calls, supply)
        return max(0.0, promised + need - supply)

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun."""
        program = self._programs.get(program_id)
        return program is not None and now_ms - program.asked_ms < IDLE_MS

    def note(self, program_id: str, now_ms: int) -> None:
        """Takes in a call that is let through."""
        known = self._programs.pop(program_id, None)
        if known is None:
            while len(self._programs) >= MAX_PROGRAMS:
                del self._programs[next(iter(self._programs))]
            self._programs[program_id] = _Program(1, now_ms, now_ms)
        else:
            self._programs[program_id] = _Program(known.calls + 1, known.began_ms, now_ms)

    def _forget_over(self, now_ms: int) -> None:
        # The longest quiet ones stand first.
        for program_id, program in list(self._programs.items()):
            if now_ms - program.asked_ms < IDLE_MS:
                return
            del self._programs[program_id]
            self._usual_calls += NEWEST_WEIGHT * (program.calls - self._usual_calls)
            took_ms = program.asked_ms - program.began_ms
            self._usual_ms += NEWEST_WEIGHT * (took_ms - self._usual_ms)


class FirstCome:
    """Lets calls through in the order in which they come."""

    def missing_calls(self, bucket: Bucket, allowance: Allowance, now_ms: int) -> float:
        """Returns 0: a program begins as soon as there is a call for it."""
        del bucket, allowance, now_ms
        return 0.0

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Returns True: all calls count alike."""
        del program_id, now_ms
        return True

    def note(self, program_id: str, now_ms: int) -> None:
        """Takes in a call that is let through."""


def make_programs_first() -> ProgramsFirst:
    """Returns the order for an account that was not asked for before."""
    return ProgramsFirst()


def make_first_come() -> FirstCome:
    """Returns the order for an account that was not asked for before."""
    return FirstCome()
