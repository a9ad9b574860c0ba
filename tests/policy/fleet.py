"""Daemons that place calls on engines with batches, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.placement import Candidate
from quincespool.policy.placement import place
from quincespool.policy.service_times import BackendLatencies
from quincespool.policy.service_times import ServiceTimes

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "model"
# A call that need not wait takes a quarter of a second on average, and its answer begins after a
# sixth of that.
BEGIN_MS = 40.0
MEAN_MS = 251.0


class Load(NamedTuple):
    """The load and the engines of one run.

    Attributes:
      reported_every_ms: Interval at which daemons report their calls in flight to one another; 0 if
        they do not report them.
      slow: Engines that are slower by `slowness`.
    """

    calls_per_s: float
    owners: int = 32
    engines: int = 24
    slots: int = 6
    zones: int = 6
    seconds: int = 20
    reported_every_ms: int = 0
    slow: frozenset[int] = frozenset()
    slowness: float = 4.5


class Outcome(NamedTuple):
    """How long calls waited or were delayed by slow engines."""

    mean_ms: float
    late_share: float


class _Owner:
    def __init__(self, zone: int, engines: int) -> None:
        self.zone = zone
        self.in_flight = [0] * engines
        self.reported = [0] * engines
        self.latencies = BackendLatencies()
        self.times = ServiceTimes()


class Fleet:
    """One run; runs with the same seed and load send the same calls."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._owners = [
            _Owner(self._rng.randrange(load.zones), load.engines) for _ in range(load.owners)
        ]
        self._running = [0] * load.engines
        self._queues: list[deque[tuple[_Owner, float]]] = [deque() for _ in range(load.engines)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._now_ms = 0.0
        self._delays_ms: list[float] = []

    def run(self) -> Outcome:
        """Runs the complete load."""
        at_ms, end_ms = 0.0, self._load.seconds * 1_000
        while at_ms < end_ms:
            at_ms += self._rng.expovariate(self._load.calls_per_s / 1_000)
            owner = self._rng.choice(self._owners)
            self._at(at_ms, lambda owner=owner: self._send(owner))  # type: ignore[misc]
        if self._load.reported_every_ms:
            for owner in self._owners:
                self._report_from(owner, self._rng.random() * self._load.reported_every_ms, end_ms)
        while self._events:
            self._now_ms, _, call = heapq.heappop(self._events)
            call()
        late = sum(delay_ms > 100 for delay_ms in self._delays_ms)
        return Outcome(sum(self._delays_ms) / len(self._delays_ms), late / len(self._delays_ms))

    def _at(self, at_ms: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, call))

    def _report_from(self, owner: _Owner, first_ms: float, end_ms: float) -> None:
        at_ms = first_ms
        while at_ms < end_ms:
            self._at(at_ms, lambda: owner.reported.__setitem__(slice(None), owner.in_flight))
            at_ms += self._load.reported_every_ms

    def _send(self, owner: _Owner) -> None:
        engine = self._choose(owner)
        owner.in_flight[engine] += 1
        if self._running[engine] < self._load.slots:
            self._start(owner, engine, self._now_ms)
        else:
            self._queues[engine].append((owner, self._now_ms))

    def _choose(self, owner: _Owner) -> int:
        reported = [0] * self._load.engines
        if self._load.reported_every_ms:
            others = [one for one in self._owners if one is not owner]
            reported = [
                sum(column) for column in zip(*(one.reported for one in others), strict=True)
            ]
        usual_ms = owner.times.first_byte_ms(SERVICE)
        whole_ms = max(1.0, owner.times.total_ms(SERVICE))
        now_ms = int(self._now_ms)
        candidates = [
            Candidate(
                backend_id=str(engine),
                busy=(owner.in_flight[engine] + reported[engine]) / self._load.slots,
                is_in_same_zone=engine % self._load.zones == owner.zone,
                is_cold=False,
                has_idle_connection=True,
                lateness=owner.latencies.excess_ms(str(engine), usual_ms, now_ms) / whole_ms,
            )
            for engine in range(self._load.engines)
        ]
        if self._load.reported_every_ms:
            # Daemons that report their loads to one another decide by these instead of latency.
            candidates = [one._replace(lateness=0.0) for one in candidates]
        return int(place(candidates, preferred_id="", rng=self._rng))

    def _start(self, owner: _Owner, engine: int, sent_ms: float) -> None:
        slowness = self._load.slowness if engine in self._load.slow else 1.0
        usual_ms = min(4 * MEAN_MS, self._rng.lognormvariate(5.4, 0.5))
        self._running[engine] += 1
        waited_ms = self._now_ms - sent_ms
        self._delays_ms.append(waited_ms + (slowness - 1) * usual_ms)
        begin_ms, end_ms = slowness * BEGIN_MS, slowness * usual_ms
        self._at(self._now_ms + begin_ms, lambda: self._begin(owner, engine, sent_ms))
        self._at(self._now_ms + end_ms, lambda: self._end(owner, engine, sent_ms))

    def _begin(self, owner: _Owner, engine: int, sent_ms: float) -> None:
        took_ms = self._now_ms - sent_ms
        owner.latencies.observe(str(engine), took_ms, int(self._now_ms))
        owner.times.observe_first_byte(SERVICE, took_ms)

    def _end(self, owner: _Owner, engine: int, sent_ms: float) -> None:
        owner.in_flight[engine] -= 1
        owner.times.observe_total(SERVICE, self._now_ms - sent_ms)
        self._running[engine] -= 1
        if self._queues[engine]:
            waiting, since_ms = self._queues[engine].popleft()
            self._start(waiting, engine, since_ms)
