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
LEAST_REST_CALLS = 4.0
# Programs that are remembered for one account, the longest quiet given up first.
MAX_PROGRAMS = 4_096
# Kinds of programs of which it is remembered what is usual.
MAX_KINDS = 64


class Order(Protocol):
    """Says which programs of one account may begin; sees every call that is let through."""

    def missing_calls(self, kind: str, bucket: Bucket, allowance: Allowance, now_ms: int) -> float:
        """Returns how many calls short the account is of room for one more program; 0 if it has.

        Args:
          kind: Of the program that would begin.
          bucket: The account's, as of now.
          allowance: The account's.
          now_ms: Steady clock.
        """

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun."""

    def note(self, program_id: str, kind: str, now_ms: int) -> None:
        """Takes in a call that is let through."""


class _Program(NamedTuple):
    kind: str
    calls: int
    began_ms: int
    asked_ms: int


class _Usual(NamedTuple):
    calls: float = FIRST_PROGRAM_CALLS
    took_ms: float = FIRST_PROGRAM_MS


class ProgramsFirst:
    """Keeps room for what programs under way still need, as far as learned of earlier ones."""

    def __init__(self) -> None:
        self._programs: dict[str, _Program] = {}
        self._usual: dict[str, _Usual] = {}

    def missing_calls(self, kind: str, bucket: Bucket, allowance: Allowance, now_ms: int) -> float:
        """Returns how many calls short the account is of room for one more program; 0 if it has."""
        self._forget_over(now_ms)
        promised = sum(
            max(LEAST_REST_CALLS, self._usual_of(program.kind).calls - program.calls)
            for program in self._programs.values()
        )
        usual = self._usual_of(kind)
        supply = bucket.level_calls + allowance.rate_per_s * usual.took_ms / 1000
        # An account whose limit is below the usual program may still begin one when it is at rest.
        need = min(usual.calls, supply)
        return max(0.0, promised + need - supply)

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun."""
        program = self._programs.get(program_id)
        return program is not None and now_ms - program.asked_ms < IDLE_MS

    def note(self, program_id: str, kind: str, now_ms: int) -> None:
        """Takes in a call that is let through."""
        known = self._programs.pop(program_id, None)
        if known is None:
            while len(self._programs) >= MAX_PROGRAMS:
                del self._programs[next(iter(self._programs))]
            known = _Program(kind, 0, now_ms, now_ms)
        self._programs[program_id] = known._replace(calls=known.calls + 1, asked_ms=now_ms)

    def _forget_over(self, now_ms: int) -> None:
        # The longest quiet ones stand first.
        for program_id, program in list(self._programs.items()):
            if now_ms - program.asked_ms < IDLE_MS:
                return
            del self._programs[program_id]
            self._learn(program)

    def _learn(self, program: _Program) -> None:
        usual = self._usual_of(program.kind)
        took_ms = program.asked_ms - program.began_ms
        while len(self._usual) >= MAX_KINDS and program.kind not in self._usual:
            del self._usual[next(iter(self._usual))]
        self._usual[program.kind] = _Usual(
            calls=usual.calls + NEWEST_WEIGHT * (program.calls - usual.calls),
            took_ms=usual.took_ms + NEWEST_WEIGHT * (took_ms - usual.took_ms),
        )

    def _usual_of(self, kind: str) -> _Usual:
        return self._usual.get(kind) or _Usual()


class FirstCome:
    """Lets calls through in the order in which they come."""

    def missing_calls(self, kind: str, bucket: Bucket, allowance: Allowance, now_ms: int) -> float:
        """Returns 0: a program begins as soon as there is a call for it."""
        del kind, bucket, allowance, now_ms
        return 0.0

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Returns True: all calls count alike."""
        del program_id, now_ms
        return True

    def note(self, program_id: str, kind: str, now_ms: int) -> None:
        """Takes in a call that is let through."""


def make_programs_first() -> ProgramsFirst:
    """Returns the order for an account that was not asked for before."""
    return ProgramsFirst()


def make_first_come() -> FirstCome:
    """Returns the order for an account that was not asked for before."""
    return FirstCome()
