"""Whose calls go first when an account asks for more than its limit.

Answers an account that sends many times its usual. A program is worth something only when it ends;
served in the order in which calls come, nearly all programs of such an account lose one call to the
limit, and what the others had is wasted. Long programs that operators rank low would besides keep
out the short ones that go before them: what they have begun needs room for seconds.
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

# A program before any was seen to its end.
FIRST_PROGRAM = Shape(calls=12.0, duration_ms=2_000.0)
# A program longer than usual still has calls to make; this many are kept for it.
LEAST_REST_CALLS = 4.0
# The part of an account's rate that is kept for programs that go before others, if so many of them
# come. The rest is kept for the others, however many more urgent ones come.
MOST_KEPT_SHARE = 0.75


class Order(Protocol):
    """Says which programs of one account may begin; sees every call that is let through."""

    def missing_calls(
        self, kind: ProgramKind, bucket: Bucket, allowance: Allowance, now_ms: int
    ) -> float:
        """Returns how many calls short the account is of room for one more program; 0 if it has.

        Args:
          kind: Of the program that would begin.
          bucket: The account's, as of now.
          allowance: The account's.
          now_ms: Steady clock.
        """

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun."""

    def note_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program would begin."""

    def note_refused(self, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program could not begin."""

    def note(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in a call that is let through."""


class ProgramsFirst:
    """Keeps room for what programs under way still need, as far as learned of earlier ones."""

    def __init__(self) -> None:
        self._shapes = ProgramShapes(FIRST_PROGRAM)
        self._demand = Demand()

    def missing_calls(
        self, kind: ProgramKind, bucket: Bucket, allowance: Allowance, now_ms: int
    ) -> float:
        """Returns how many calls short the account is of room for one more program; 0 if it has."""
        usual = self._shapes.typical_shape(kind)
        promised = self._promised_calls(usual.duration_ms, now_ms)
        usual_s = usual.duration_ms / 1000
        supply = bucket.level_calls + allowance.rate_per_s * usual_s
        # An account whose limit is below the usual program may still begin one when it is at rest.
        need = min(usual.calls, supply)
        kept = self._kept_calls(kind.rank, usual_s, promised, allowance, now_ms)
        return max(0.0, sum(promised.values()) + need + kept - supply)

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Whether a program has begun."""
        return self._shapes.is_in_progress(program_id, now_ms)

    def note_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program would begin."""
        self._demand.note(program_id, kind, now_ms)

    def note_refused(self, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program could not begin."""
        self._demand.note_refused(kind, now_ms)

    def note(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in a call that is let through."""
        self._shapes.record_call(program_id, kind, now_ms)

    def _promised_calls(self, within_ms: float, now_ms: int) -> defaultdict[Rank, float]:
        """Returns the calls that programs under way will make within a time, by rank."""
        promised: defaultdict[Rank, float] = defaultdict(float)
        for (kind, calls), programs in self._shapes.in_progress(now_ms):
            usual = self._shapes.typical_shape(kind)
            total = max(usual.calls, calls + LEAST_REST_CALLS)
            part = min(1.0, within_ms / max(1.0, usual.duration_ms))
            promised[kind.rank] += programs * min(total - calls, total * part)
        return promised

    def _kept_calls(
        self,
        rank: Rank,
        within_s: float,
        promised: Mapping[Rank, float],
        allowance: Allowance,
        now_ms: int,
    ) -> float:
        """Returns the calls that are kept from programs of one rank for those of others.

        Args:
          rank: Theirs.
          within_s: Time that is looked ahead.
          promised: Calls that programs under way still need, by rank.
          allowance: The account's.
          now_ms: Steady clock.
        """
        wanted_per_s = self._wanted_calls_per_s(now_ms)
        supply = allowance.rate_per_s * within_s
        kept = 0.0
        for other in promised.keys() | wanted_per_s.keys():
            wanted, begun = wanted_per_s[other] * within_s, promised.get(other, 0.0)
            if other < rank:
                kept += max(0.0, min(wanted, MOST_KEPT_SHARE * supply - begun))
            elif other > rank:
                kept += max(0.0, min(wanted, (1 - MOST_KEPT_SHARE) * supply) - begun)
        return kept

    def _wanted_calls_per_s(self, now_ms: int) -> defaultdict[Rank, float]:
        """Returns the calls a second that programs which want to begin need, by rank."""
        wanted: defaultdict[Rank, float] = defaultdict(float)
        for kind, programs_per_s in self._demand.programs_per_s(now_ms):
            wanted[kind.rank] += programs_per_s * self._shapes.typical_shape(kind).calls
        return wanted


class FirstCome:
    """Lets calls through in the order in which they come."""

    def missing_calls(
        self, kind: ProgramKind, bucket: Bucket, allowance: Allowance, now_ms: int
    ) -> float:
        """Returns 0: a program begins as soon as there is a call for it."""
        del kind, bucket, allowance, now_ms
        return 0.0

    def is_under_way(self, program_id: str, now_ms: int) -> bool:
        """Returns True: all calls count alike."""
        del program_id, now_ms
        return True

    def note_arrival(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program would begin."""

    def note_refused(self, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a program could not begin."""

    def note(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in a call that is let through."""


def make_programs_first() -> ProgramsFirst:
    """Returns the order for an account that was not asked for before."""
    return ProgramsFirst()


def make_first_come() -> FirstCome:
    """Returns the order for an account that was not asked for before."""
    return FirstCome()
