"""Whether a new program may begin while the engines of its service are full.

Answers bursts that engines take into their queues. Each turn of each program then waits, so that
nearly all programs are late, also those that are half done, and what is urgent finds the queues
full of what is not. A new program begins only if the waits of its turns leave it time to end; one
that has begun goes on. A host goes by how long its own turns waited: it asks nobody. An account
that sends many times its usual, and fills the engines so, is the first that finds none.
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

# Part of the time that a new program has for which its turns may wait for engines. The rest is what
# it takes on idle ones, and what the waits grow by before those who begin now have ended.
WAIT_SHARE = 0.5
# The same where more urgent programs use the service: what is less urgent leaves room first.
LESS_URGENT_WAIT_SHARE = 0.35
# What programs of an account that sends more than its usual have of that: engines are full of its
# turns, and others find places while it waits.
PRESSED_PART = 0.3
# A program before any was seen to its end.
FIRST_PROGRAM = Shape(calls=5.0, took_ms=2_000.0)
# Turns that wait for nobody differ by as much, since their prompts do. No program is refused for
# that, not even one that is late anyway.
LEAST_WAIT_MS = 50.0
# Weight of the newest turn in the mean wait.
NEWEST_WEIGHT = 0.2
# A wait holds for so long without another turn, and then halves as often: whoever is let in shows
# what it is now.
FRESH_MS = 500
HALF_LIFE_MS = 500
# What a turn that no engine takes is expected to wait for: a queue as long as two batches.
FULL_WAIT_MS = 400.0
# The least time to a turn's first event is taken over one to two of these: long enough that a turn
# met an idle engine.
QUICKEST_MS = 10_000
LEAST_RETRY_MS = 250
MOST_RETRY_MS = 1_000


class NewProgram(NamedTuple):
    """A program whose first turn has come.

    Attributes:
      service: Whose engines run it.
      kind: What it is expected to be like.
      left_ms: Until it should be finished.
      is_pressed: Whether its account has used most of what it may have run.
    """

    service: str
    kind: ProgramKind
    left_ms: int
    is_pressed: bool = False


class Rejection(NamedTuple):
    """The program can't end in time.

    Attributes:
      wait_ms: For which each of its turns is expected to wait.
      age_ms: How old the newest wait is that tells so.
      turns: That it is expected to have.
      retry_after_ms: When room may be there.
    """

    wait_ms: float
    age_ms: int
    turns: float
    retry_after_ms: int


class _Wait(NamedTuple):
    mean_ms: float
    seen_ms: int

    def faded_ms(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.seen_ms - FRESH_MS)
        return self.mean_ms * math.exp2(-age_ms / HALF_LIFE_MS)


class _Quickest(NamedTuple):
    """The least time of this period and of the one before it."""

    since_ms: int
    least_ms: float
    before_ms: float

    def seen(self, took_ms: float, now_ms: int) -> _Quickest:
        if now_ms - self.since_ms >= QUICKEST_MS:
            return _Quickest(now_ms, took_ms, self.least_ms)
        return self._replace(least_ms=min(self.least_ms, took_ms))


class AdmissionControl:
    """How long turns of each service wait for engines, as one host sees it."""

    def __init__(self) -> None:
        self._waits: dict[tuple[str, Rank], _Wait] = {}
        self._quickest: dict[str, _Quickest] = {}
        self._shapes = ProgramShapes(FIRST_PROGRAM)

    def note_turn(self, program_id: str, kind: ProgramKind, now_ms: int) -> None:
        """Takes in that a turn goes to an engine."""
        self._shapes.note(program_id, kind, now_ms)

    def note_begin(self, service: str, rank: Rank, took_ms: float, now_ms: int) -> None:
        """Takes in how long a turn took to its first event."""
        known = self._quickest.get(service) or _Quickest(now_ms, took_ms, took_ms)
        quickest = known.seen(took_ms, now_ms)
        self._quickest[service] = quickest
        wait_ms = took_ms - min(quickest.least_ms, quickest.before_ms)
        self._note_wait(service, rank, wait_ms, now_ms)

    def note_full(self, service: str, rank: Rank, now_ms: int) -> None:
        """Takes in that no engine took a turn."""
        self._note_wait(service, rank, FULL_WAIT_MS, now_ms)

    def wait_ms(self, service: str, rank: Rank, now_ms: int) -> float:
        """Returns for how long a turn is expected to wait.

        Engines take urgent turns first, so that no turn waits for less than a more urgent one.
        """
        return _longest_ms(self._waits_up_to(service, rank), now_ms)

    def reject(self, program: NewProgram, now_ms: int) -> Rejection | None:
        """Returns why a new program may not begin, None if it may."""
        service, rank = program.service, program.kind.rank
        waits = self._waits_up_to(service, rank)
        wait_ms = _longest_ms(waits, now_ms)
        turns = self._shapes.usual(program.kind).calls
        yields = any(other == service and before < rank for other, before in self._waits)
        share = LESS_URGENT_WAIT_SHARE if yields else WAIT_SHARE
        share *= PRESSED_PART if program.is_pressed else 1.0
        if wait_ms < LEAST_WAIT_MS or wait_ms * turns <= share * max(0, program.left_ms):
            return None
        retry_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, round(2 * wait_ms)))
        age_ms = now_ms - max(wait.seen_ms for wait in waits)
        return Rejection(wait_ms, age_ms, turns, retry_ms)

    def learn(self, now_ms: int) -> None:
        """Learns from programs that are over."""
        self._shapes.learn(now_ms)

    def dump(self, now_ms: int) -> dict[str, float]:
        """Returns the expected waits by service and rank, for people to read."""
        return {
            f"{service} {rank.first}.{rank.then}": round(wait.faded_ms(now_ms), 1)
            for (service, rank), wait in self._waits.items()
        }

    def _waits_up_to(self, service: str, rank: Rank) -> list[_Wait]:
        return [
            wait
            for (other, other_rank), wait in self._waits.items()
            if other == service and other_rank <= rank
        ]

    def _note_wait(self, service: str, rank: Rank, wait_ms: float, now_ms: int) -> None:
        known = self._waits.get((service, rank))
        mean_ms = known.faded_ms(now_ms) if known is not None else 0.0
        mean_ms += NEWEST_WEIGHT * (wait_ms - mean_ms)
        self._waits[service, rank] = _Wait(mean_ms, now_ms)


def _longest_ms(waits: list[_Wait], now_ms: int) -> float:
    return max((wait.faded_ms(now_ms) for wait in waits), default=0.0)
