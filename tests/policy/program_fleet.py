"""Programs of several turns on engines that run turns in order of rank, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.admission import AdmissionControl
from quincespool.policy.admission import NewProgram
from quincespool.policy.engine_speeds import EngineSpeeds
from quincespool.policy.engine_speeds import SpeedSample
from quincespool.policy.placement import Candidate
from quincespool.policy.placement import place
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.service_times import BackendLatencies
from quincespool.policy.service_times import ServiceTimes
from quincespool.policy.urgency import Rank

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "model"
OWNERS, ENGINES, SLOTS, QUEUE = 60, 24, 6, 18
SPEEDS = (0.7, 0.7, 1.7)
BEGIN_MS, TURN_MS, PAUSE_MS, EVENTS = 30.0, 190.0, 150.0, 4
# Part of the other owners' speed samples that an owner receives with their heartbeats.
RECEIVED_SHARE = 0.1
MAX_REFUSALS, FULL_RETRY_MS = 3, 250.0
# Number of attempts for each turn; callers retry after a third of their time limit at the latest.
MAX_ATTEMPTS, TURN_LIMIT_MS = 6, 3_000.0
SHORT, LONG = ProgramKind("short", Rank(0)), ProgramKind("long", Rank(2))
# Programs like the short ones, of an account that sends many times its usual load.
HOT = ProgramKind("hot", Rank(0))
TURNS = {SHORT: 3, LONG: 8, HOT: 3}
# Time limit of a program: FACTOR times its duration on idle engines plus EXTRA_MS.
FACTOR = {SHORT: 1.4, LONG: 1.6, HOT: 1.4}
EXTRA_MS = {SHORT: 250, LONG: 500, HOT: 250}


class Burst(NamedTuple):
    """A multiple of the usual rate of one kind of program, for a limited time."""

    kind: ProgramKind
    times: float
    from_ms: int
    until_ms: int


@dataclass
class _Program:
    number: int
    kind: ProgramKind
    owner: int
    began_ms: float
    until_ms: float
    turns: int = 0
    tries: int = 0


class Outcome(NamedTuple):
    """Number of programs by kind: started, ended in time, ended late."""

    asked: Counter[ProgramKind]
    in_time: Counter[ProgramKind]
    late: Counter[ProgramKind]

    def share(self, kind: ProgramKind) -> float:
        """Returns the part of the programs that ended in time."""
        return self.in_time[kind] / self.asked[kind]


class ProgramFleet:
    """One run; runs with the same seed and load start the same programs."""

    def __init__(
        self,
        per_s: dict[ProgramKind, float],
        bursts: tuple[Burst, ...],
        *,
        seed: int,
        controlled: bool,
        knows_speeds: bool = False,
        near_limit: ProgramKind | None = None,
        seconds: int = 16,
    ) -> None:
        self._rng = random.Random(seed)
        self._controls = [AdmissionControl() for _ in range(OWNERS)] if controlled else None
        self._latencies = [BackendLatencies() for _ in range(OWNERS)]
        self._times = [ServiceTimes() for _ in range(OWNERS)]
        self._speeds = [EngineSpeeds() for _ in range(OWNERS)] if knows_speeds else None
        self._in_flight = [[0] * ENGINES for _ in range(OWNERS)]
        self._running = [0] * ENGINES
        self._queues: list[list[tuple[Rank, int, Callable[[], None]]]] = [
            [] for _ in range(ENGINES)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._now_ms = 0.0
        self._near_limit = near_limit
        self._outcome = Outcome(Counter(), Counter(), Counter())
        for kind, rate_per_s in per_s.items():
            self._arrive(kind, rate_per_s, bursts, seconds * 1_000)

    def run(self) -> Outcome:
        """Runs the complete load."""
        while self._events:
            self._now_ms, _, call = heapq.heappop(self._events)
            call()
        return self._outcome

    def _arrive(
        self, kind: ProgramKind, rate_per_s: float, bursts: tuple[Burst, ...], end_ms: int
    ) -> None:
        at_ms = 0.0
        while at_ms < end_ms:
            times = [b.times for b in bursts if b.kind == kind and b.from_ms <= at_ms < b.until_ms]
            at_ms += self._rng.expovariate(rate_per_s * max(times, default=1.0) / 1_000)
            idle_ms = TURNS[kind] * (TURN_MS + PAUSE_MS)
            until_ms = at_ms + FACTOR[kind] * idle_ms + EXTRA_MS[kind]
            self._number += 1
            owner = self._rng.randrange(OWNERS)
            program = _Program(self._number, kind, owner, at_ms, until_ms)
            self._outcome.asked[kind] += 1
            self._at(at_ms, lambda program=program: self._turn(program))  # type: ignore[misc]

    def _at(self, at_ms: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, call))

    def _turn(self, program: _Program) -> None:
        now_ms = int(self._now_ms)
        control = self._controls[program.owner] if self._controls is not None else None
        if control is not None:
            control.learn(now_ms)
            if not program.turns:
                left_ms = int(program.until_ms - self._now_ms)
                is_near_limit = program.kind == self._near_limit
                wanted = NewProgram(SERVICE, program.kind, left_ms, is_near_limit)
                rejection = control.reject(wanted, now_ms)
                if rejection is not None:
                    self._retry_later(program, rejection.retry_after_ms)
                    return
            control.record_turn(str(program.number), program.kind, now_ms)
        tried: set[int] = set()
        while len(tried) < MAX_REFUSALS:
            engine = self._choose(program.owner, tried)
            tried.add(engine)
            if self._running[engine] < SLOTS or len(self._queues[engine]) < QUEUE:
                self._send(program, engine)
                return
        if control is not None:
            control.record_full(SERVICE, program.kind.rank, now_ms)
        self._retry_later(program, FULL_RETRY_MS)

    def _retry_later(self, program: _Program, after_ms: float) -> None:
        program.tries += 1
        if program.tries < MAX_ATTEMPTS:
            after_ms = min(after_ms, TURN_LIMIT_MS / 3)
            self._at(self._now_ms + after_ms, lambda: self._turn(program))

    def _choose(self, owner: int, tried: set[int]) -> int:
        times = self._times[owner]
        usual_ms, whole_ms = times.first_byte_ms(SERVICE), max(1.0, times.total_ms(SERVICE))
        candidates = [
            Candidate(
                backend_id=str(engine),
                busy=self._in_flight[owner][engine] / SLOTS,
                is_in_same_zone=engine % 3 == owner % 3,
                is_cold=False,
                has_idle_connection=True,
                lateness=self._latencies[owner].excess_ms(str(engine), usual_ms, int(self._now_ms))
                / whole_ms,
                slowness=self._slowness(owner, engine),
            )
            for engine in range(ENGINES)
            if engine not in tried
        ]
        return int(place(candidates, preferred_id="", rng=self._rng))

    def _slowness(self, owner: int, engine: int) -> float:
        return self._speeds[owner].slowness(SERVICE, str(engine)) if self._speeds else 1.0

    def _report_speed(self, owner: int, engine: int, event_ms: float) -> None:
        assert self._speeds is not None
        answer = SpeedSample(str(engine), event_ms)
        self._speeds[owner].observe(SERVICE, answer)
        if self._speeds[owner].take_reportable() is None:
            return
        for speeds in self._speeds:
            if self._rng.random() < RECEIVED_SHARE:
                speeds.add_sample(answer)

    def _send(self, program: _Program, engine: int) -> None:
        self._in_flight[program.owner][engine] += 1
        sent_ms = self._now_ms
        if self._running[engine] < SLOTS:
            self._start(program, engine, sent_ms)
            return
        self._number += 1
        entry = (program.kind.rank, self._number, lambda: self._start(program, engine, sent_ms))
        heapq.heappush(self._queues[engine], entry)

    def _start(self, program: _Program, engine: int, sent_ms: float) -> None:
        self._running[engine] += 1
        speed = SPEEDS[engine % len(SPEEDS)]
        took_ms = self._rng.lognormvariate(0.0, 0.3) * TURN_MS / speed
        self._at(self._now_ms + BEGIN_MS / speed, lambda: self._begin(program, engine, sent_ms))
        self._at(self._now_ms + took_ms, lambda: self._end(program, engine, sent_ms))
        if self._speeds is not None:
            self._report_speed(program.owner, engine, took_ms / EVENTS)

    def _begin(self, program: _Program, engine: int, sent_ms: float) -> None:
        took_ms, now_ms = self._now_ms - sent_ms, int(self._now_ms)
        self._latencies[program.owner].observe(str(engine), took_ms, now_ms)
        self._times[program.owner].observe_first_byte(SERVICE, took_ms)
        if self._controls is not None:
            rank = program.kind.rank
            self._controls[program.owner].record_first_event(SERVICE, rank, took_ms, now_ms)

    def _end(self, program: _Program, engine: int, sent_ms: float) -> None:
        self._in_flight[program.owner][engine] -= 1
        self._times[program.owner].observe_total(SERVICE, self._now_ms - sent_ms)
        self._running[engine] -= 1
        if self._queues[engine]:
            heapq.heappop(self._queues[engine])[2]()
        program.turns += 1
        program.tries = 0
        if program.turns < TURNS[program.kind]:
            pause_ms = self._rng.expovariate(1 / PAUSE_MS)
            self._at(self._now_ms + pause_ms, lambda: self._turn(program))
        elif self._now_ms <= program.until_ms:
            self._outcome.in_time[program.kind] += 1
        else:
            self._outcome.late[program.kind] += 1
