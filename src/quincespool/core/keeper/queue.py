"""The attempts that wait for and run on one backend server, in the order of the policy."""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.core.keeper.exchange import Reply
    from quincespool.core.messages import Dispatch

WAITING_PER_SLOT = 8
MIN_WAITING = 16
_MEAN_WEIGHT = 0.2


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in this keeper's hands.

    Attributes:
      dispatch: What the owner asked for.
      owner: Member id of the owner.
      arrival: Counts up; breaks ties of priority.
      arrived_ms: When it came.
      start_by_ms: Until when it may be started.
      exchange_id: Of its exchange, 0 while it waits.
      started_ms: When it was sent, 0 while it waits.
      reply: The response so far, None while it waits.
    """

    dispatch: Dispatch
    owner: str
    arrival: int
    arrived_ms: int
    start_by_ms: int
    exchange_id: int = 0
    started_ms: int = 0
    reply: Reply | None = None

    @property
    def attempt_id(self) -> str:
        """Unique id of the attempt."""
        return self.dispatch.attempt_id

    @property
    def running(self) -> bool:
        """Whether it has been sent."""
        return self.exchange_id != 0

    @property
    def end_by_ms(self) -> int:
        """When its time limit is over."""
        return self.arrived_ms + self.dispatch.time_limit_ms

    @property
    def rank(self) -> tuple[int, int]:
        """Place in the queue; lower goes first."""
        return (self.dispatch.priority, self.arrival)

    @property
    def tokens(self) -> int:
        """The most tokens it can take."""
        return self.dispatch.prompt_tokens + self.dispatch.max_tokens


class BackendQueue:
    """One backend server's attempts.

    Attributes:
      backend: Name without `backend/`.
      waiting: Sorted by rank.
      running: By exchange id.
      resume_at_ms: Nothing is started before this (the backend server has just crashed).
    """

    def __init__(self, backend: str) -> None:
        self.backend = backend
        self.waiting: list[Attempt] = []
        self.running: dict[int, Attempt] = {}
        self.resume_at_ms = 0
        self._mean_run_ms = 0.0

    @property
    def idle(self) -> bool:
        """Whether nothing waits or runs."""
        return not self.waiting and not self.running

    def attempts(self) -> list[Attempt]:
        """Returns what waits and runs; the list stays valid while the queue changes."""
        return [*self.running.values(), *self.waiting]

    def tokens(self) -> int:
        """Returns the most tokens that what waits and runs can take."""
        return sum(attempt.tokens for attempt in self.attempts())

    def programs(self) -> set[str]:
        """Returns the ids of the programs with an attempt that waits or runs."""
        return {attempt.dispatch.program_id for attempt in self.attempts()}

    def add(self, attempt: Attempt) -> None:
        """Puts an attempt into its place."""
        bisect.insort(self.waiting, attempt, key=lambda other: other.rank)

    def start(self, attempt: Attempt) -> None:
        """Moves an attempt that has got its exchange id from waiting to running."""
        self.waiting.remove(attempt)
        self.running[attempt.exchange_id] = attempt

    def remove(self, attempt: Attempt, *, now_ms: int) -> None:
        """Takes an attempt out that is over."""
        if not attempt.running:
            self.waiting.remove(attempt)
            return
        del self.running[attempt.exchange_id]
        run_ms = now_ms - attempt.started_ms
        mean_ms = self._mean_run_ms or run_ms
        self._mean_run_ms = mean_ms + _MEAN_WEIGHT * (run_ms - mean_ms)

    def full(self, slots: int) -> bool:
        """Whether no more may wait."""
        return len(self.waiting) >= max(MIN_WAITING, WAITING_PER_SLOT * slots)

    def expected_wait_ms(self, rank: tuple[int, int], slots: int) -> int:
        """Estimates how long an attempt of this rank would wait, from the mean run so far."""
        if len(self.running) < slots and not self.waiting:
            return 0
        ahead = bisect.bisect_left(self.waiting, rank, key=lambda other: other.rank)
        return int(self._mean_run_ms * (ahead + 1) / max(1, slots))
