"""The timer service: parts subscribe to it, the shell only asks when the next one is due."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from quincespool.core.events import TimerFired


class TimerKey(NamedTuple):
    """Names one subscription; setting it again moves it."""

    part: str
    name: str
    argument: str = ""


class Timers:
    """Subscriptions by key, with the time each is due."""

    def __init__(self) -> None:
        self._due_ms: dict[TimerKey, int] = {}
        self._heap: list[tuple[int, TimerKey]] = []

    def subscribe(self, key: TimerKey, *, at_ms: int) -> None:
        """Fires `key` once at `at_ms`, in place of what was set for it before."""
        self._due_ms[key] = at_ms
        heapq.heappush(self._heap, (at_ms, key))

    def cancel(self, key: TimerKey) -> None:
        """Forgets `key`; fine if it is not set."""
        self._due_ms.pop(key, None)

    def next_due_ms(self) -> int | None:
        """Returns when the next subscription is due, or None if there is none."""
        self._drop_stale()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_ms: int) -> list[TimerFired]:
        """Takes out what is due by `now_ms`, earliest first."""
        fired = []
        while (due_ms := self.next_due_ms()) is not None and due_ms <= now_ms:
            _, key = heapq.heappop(self._heap)
            del self._due_ms[key]
            fired.append(TimerFired(*key))
        return fired

    def _drop_stale(self) -> None:
        while self._heap and self._due_ms.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
