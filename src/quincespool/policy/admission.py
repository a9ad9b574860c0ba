"""Admission control: whether a new program may begin while the engines of its service are full.

Limits the damage of bursts that fill the queues of engines. Each turn of each program then waits,
so that nearly all programs are late, including those that are half done, and urgent turns find the
queues full of less urgent ones. A new program begins only if the expected waits of its turns leave
it time to end; a program that has begun continues. A host estimates the waits from its own turns
and sends no additional requests to measure them. Programs of an account that sends many times its
usual load, and so fills the engines, are refused first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.program_shapes import ProgramShapes
from quincespool.policy.program_shapes import Shape

if TYPE_CHECKING:
    from quincespool.policy.program_shapes import ProgramKind
    from quincespool.policy.urgency import Rank

# Share of a new program's remaining time that its turns may spend waiting for engines. The rest is
# for its run time on idle engines, and for the growth of the waits until the programs that begin
# now have ended.
WAIT_SHARE = 0.5
# Value of `WAIT_SHARE` for programs whose service also runs more urgent ones, so that the less
# urgent ones are refused first.
LESS_URGENT_WAIT_SHARE = 0.35
# Factor by which either share is multiplied for programs of an account that sends more than its
# usual load: engines are full of its turns, and while its new programs wait, programs of other
# accounts get slots.
NEAR_LIMIT_FACTOR = 0.3
# Expected calls and duration of a program before the end of any program was observed.
INITIAL_SHAPE = Shape(calls=5.0, duration_ms=2_000.0)
# Below this wait no program is refused, not even one that is late already: the times of turns that
# do not wait differ by as much, since their prompts differ.
MIN_WAIT_MS = 50.0
# Weight of the newest turn in the mean wait.
NEWEST_WEIGHT = 0.2
# Without another turn a measured wait stays valid for FRESH_MS and then halves every HALF_LIFE_MS:
# programs are then admitted again, and their turns show the current wait.
FRESH_MS = 500
HALF_LIFE_MS = 500
# Wait that is recorded for a turn that no engine accepts: the wait in a queue of two batches.
FULL_WAIT_MS = 400.0
# The least time to a turn's first event is determined over the last one to two periods of this
# length, which is long enough for at least one turn to have run on an idle engine.
MIN_LATENCY_PERIOD_MS = 10_000
MIN_RETRY_MS = 250
MAX_RETRY_MS = 1_000


class NewProgram(NamedTuple):
    """A program whose first turn has arrived.

    Attributes:
      service: The service whose engines run it.
      kind: Its kind, which determines the number of turns to expect.
      left_ms: Time until it should be finished.
      is_near_limit: Whether its account has used half of its bucket or more.
    """

    service: str
    kind: ProgramKind
    left_ms: int
    is_near_limit: bool = False


class Rejection(NamedTuple):
    """The refusal of a program that is not expected to end in time.

    Attributes:
      wait_ms: How long each of its turns is expected to wait.
      wait_age_ms: Age of the newest measured wait on which the estimate is based.
      turns: The number of turns that it is expected to have.
      retry_after_ms: Time after which it may be admitted.
    """

    wait_ms: float
    wait_age_ms: int
    turns: float
    retry_after_ms: int


class _Wait(NamedTuple):
    mean_ms: float
    seen_ms: int

    def faded_ms(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.seen_ms - FRESH_MS)
        return self.mean_ms * math.exp2(-age_ms / HALF_LIFE_MS)


class _LeastLatency(NamedTuple):
    """The least time to the first event in this period and in the one before it."""

    since_ms: int
    least_ms: float
    previous_ms: float

    def with_sample(self, took_ms: float, now_ms: int) -> _LeastLatency:
        if now_ms - self.since_ms >= MIN_LATENCY_PERIOD_MS:
            return _LeastLatency(now_ms, took_ms, self.least_ms)
        return self._replace(least_ms=min(self.least_ms, took_ms))


class AdmissionControl:
    """Refuses new programs based on how long the turns of this host waited at each service."""

    def __init__(self) -> None:
        self._waits: dict[tuple[str, Rank], _Wait] = {}
        self._least_latencies: dict[str, _LeastLatency] = {}
        self._shapes = ProgramShapes(INITIAL_SHAPE)

    def record_turn(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Records that a turn is sent to an engine."""
        self._shapes.record_call(program_id, kind, now_ms)

    def record_first_event(self, service: str, rank: Rank, took_ms: float, now_ms: int) -> None:
        """Records the time from sending a turn to its first event."""
        known = self._least_latencies.get(service) or _LeastLatency(now_ms, took_ms, took_ms)
        least = known.with_sample(took_ms, now_ms)
        self._least_latencies[service] = least
        wait_ms = took_ms - min(least.least_ms, least.previous_ms)
        self._record_wait(service, rank, wait_ms, now_ms)

    def record_full(self, service: str, rank: Rank, now_ms: int) -> None:
        """Records that no engine accepted a turn."""
        self._record_wait(service, rank, FULL_WAIT_MS, now_ms)

    def wait_ms(self, service: str, rank: Rank, now_ms: int) -> float:
        """Returns how long a turn is expected to wait.

        Engines run urgent turns first, so no turn waits for a shorter time than a more urgent one.
        """
        return _longest_ms(self._waits_of_rank_or_above(service, rank), now_ms)

    def reject(self, program: NewProgram, now_ms: int) -> Rejection | None:
        """Returns the refusal of a new program, or None if the program may begin."""
        service, rank = program.service, program.kind.rank
        waits = self._waits_of_rank_or_above(service, rank)
        wait_ms = _longest_ms(waits, now_ms)
        turns = self._shapes.typical_shape(program.kind).calls
        yields = any(other == service and before < rank for other, before in self._waits)
        share = LESS_URGENT_WAIT_SHARE if yields else WAIT_SHARE
        share *= NEAR_LIMIT_FACTOR if program.is_near_limit else 1.0
        if wait_ms < MIN_WAIT_MS or wait_ms * turns <= share * max(0, program.left_ms):
            return None
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, round(2 * wait_ms)))
        age_ms = now_ms - max(wait.seen_ms for wait in waits)
        return Rejection(wait_ms, age_ms, turns, retry_ms)

    def learn(self, now_ms: int) -> None:
        """Learns the number of turns from programs that have ended."""
        self._shapes.learn(now_ms)

    def dump(self, now_ms: int) -> dict[str, float]:
        """Returns the expected waits by service and rank, for people to read."""
        return {
            f"{service} {rank.primary}.{rank.secondary}": round(wait.faded_ms(now_ms), 1)
            for (service, rank), wait in self._waits.items()
        }

    def _waits_of_rank_or_above(self, service: str, rank: Rank) -> list[_Wait]:
        return [
            wait
            for (other, other_rank), wait in self._waits.items()
            if other == service and other_rank <= rank
        ]

    def _record_wait(self, service: str, rank: Rank, wait_ms: float, now_ms: int) -> None:
        known = self._waits.get((service, rank))
        mean_ms = known.faded_ms(now_ms) if known is not None else 0.0
        mean_ms += NEWEST_WEIGHT * (wait_ms - mean_ms)
        self._waits[service, rank] = _Wait(mean_ms, now_ms)


def _longest_ms(waits: list[_Wait], now_ms: int) -> float:
    return max((wait.faded_ms(now_ms) for wait in waits), default=0.0)
