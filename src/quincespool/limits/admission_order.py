"""Decides which programs may begin when an account sends more calls than its limit allows.

The order matters for accounts that send many times their usual load. A program is useful only if it
completes. If calls were served first come, first served, nearly all programs of such an account
would have one call refused by the limit, and the work of their other calls would be wasted. Also,
long programs that operators rank low would keep out short ones that are more urgent, since calls
must be reserved for seconds for the long programs that have begun.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Protocol

from quincespool.limits.demand import Demand
from quincespool.policy.program_shapes import ProgramShapes
from quincespool.policy.program_shapes import Shape

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quincespool.limits.bucket import Allowance
    from quincespool.limits.bucket import Bucket
    from quincespool.policy.program_shapes import ProgramKind
    from quincespool.policy.urgency import Rank

# Assumed shape of a program until the first program has been observed until its end.
DEFAULT_PROGRAM_SHAPE = Shape(calls=12.0, duration_ms=2_000.0)
# Calls that are reserved for a program that has already made more calls than usual.
MIN_REMAINING_CALLS = 4.0
# Largest share of an account's rate that is reserved for programs of more urgent ranks, if that
# many of them arrive. The rest is reserved for less urgent programs, however many urgent ones
# arrive.
MAX_RESERVED_SHARE = 0.75


class AdmissionOrder(Protocol):
    """Decides which programs of one account may begin; is notified of every allowed call."""

    def missing_calls(
        self, kind: ProgramKind, bucket: Bucket, allowance: Allowance, now_ms: int
    ) -> float:
        """Returns how many calls the account lacks for one more program; 0 if it may begin.

        Args:
          kind: Kind of the program that asks to begin.
          bucket: The account's bucket as of now.
          allowance: The account's limit.
          now_ms: Steady clock.
        """

    def is_in_progress(self, program_id: str, now_ms: int) -> bool:
        """Returns whether a program has begun."""

    def record_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program asks to begin."""

    def record_refusal(self, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program was refused to begin."""

    def record_call(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records an allowed call."""


class StartedProgramsFirst:
    """Reserves calls that programs in progress still need, estimated from earlier programs."""

    def __init__(self) -> None:
        self._shapes = ProgramShapes(DEFAULT_PROGRAM_SHAPE)
        self._demand = Demand()

    def missing_calls(
        self, kind: ProgramKind, bucket: Bucket, allowance: Allowance, now_ms: int
    ) -> float:
        """Returns how many calls the account lacks for one more program; 0 if it may begin."""
        usual = self._shapes.typical_shape(kind)
        committed = self._committed_calls(usual.duration_ms, now_ms)
        usual_s = usual.duration_ms / 1000
        supply = bucket.level_calls + allowance.rate_per_s * usual_s
        # An idle account may begin a program even if its limit is below the usual number of calls.
        need = min(usual.calls, supply)
        reserved = self._reserved_calls(kind.rank, usual_s, committed, allowance, now_ms)
        return max(0.0, sum(committed.values()) + need + reserved - supply)

    def is_in_progress(self, program_id: str, now_ms: int) -> bool:
        """Returns whether a program has begun."""
        return self._shapes.is_in_progress(program_id, now_ms)

    def record_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program asks to begin."""
        self._demand.record_arrival(program_id, kind, now_ms)

    def record_refusal(self, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program was refused to begin."""
        self._demand.record_refusal(kind, now_ms)

    def record_call(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records an allowed call."""
        self._shapes.record_call(program_id, kind, now_ms)

    def _committed_calls(self, within_ms: float, now_ms: int) -> defaultdict[Rank, float]:
        """Returns the calls that programs in progress will likely make in a period, by rank."""
        committed: defaultdict[Rank, float] = defaultdict(float)
        for (kind, calls), programs in self._shapes.in_progress(now_ms):
            usual = self._shapes.typical_shape(kind)
            total = max(usual.calls, calls + MIN_REMAINING_CALLS)
            part = min(1.0, within_ms / max(1.0, usual.duration_ms))
            committed[kind.rank] += programs * min(total - calls, total * part)
        return committed

    def _reserved_calls(
        self,
        rank: Rank,
        within_s: float,
        committed: Mapping[Rank, float],
        allowance: Allowance,
        now_ms: int,
    ) -> float:
        """Returns the calls that a program of one rank must leave to programs of other ranks.

        Args:
          rank: Rank of the program that asks to begin.
          within_s: Length in seconds of the coming period for which calls are estimated.
          committed: Calls that programs in progress still need, by rank.
          allowance: The account's limit.
          now_ms: Steady clock.
        """
        wanted_per_s = self._wanted_calls_per_s(now_ms)
        supply = allowance.rate_per_s * within_s
        reserved = 0.0
        for other in committed.keys() | wanted_per_s.keys():
            wanted, in_progress = wanted_per_s[other] * within_s, committed.get(other, 0.0)
            if other < rank:
                reserved += max(0.0, min(wanted, MAX_RESERVED_SHARE * supply - in_progress))
            elif other > rank:
                reserved += max(0.0, min(wanted, (1 - MAX_RESERVED_SHARE) * supply) - in_progress)
        return reserved

    def _wanted_calls_per_s(self, now_ms: int) -> defaultdict[Rank, float]:
        """Returns the calls per second, by rank, that programs that ask to begin need."""
        wanted: defaultdict[Rank, float] = defaultdict(float)
        for kind, programs_per_s in self._demand.programs_per_s(now_ms):
            wanted[kind.rank] += programs_per_s * self._shapes.typical_shape(kind).calls
        return wanted


class FirstComeFirstServed:
    """Allows calls in the order in which they arrive."""

    def missing_calls(
        self, kind: ProgramKind, bucket: Bucket, allowance: Allowance, now_ms: int
    ) -> float:
        """Returns 0: a program may begin as soon as the bucket holds one call."""
        del kind, bucket, allowance, now_ms
        return 0.0

    def is_in_progress(self, program_id: str, now_ms: int) -> bool:
        """Returns True: the first call of a program is treated as any other."""
        del program_id, now_ms
        return True

    def record_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program asks to begin."""

    def record_refusal(self, kind: ProgramKind, now_ms: int) -> None:
        """Records that a program was refused to begin."""

    def record_call(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records an allowed call."""


def make_started_programs_first() -> StartedProgramsFirst:
    """Creates the order of a new account."""
    return StartedProgramsFirst()


def make_first_come_first_served() -> FirstComeFirstServed:
    """Creates the order of a new account."""
    return FirstComeFirstServed()
