"""Round robin: uses the backend servers one after the other; calls run in order of arrival."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.queue_bound import admit_by_queue

if TYPE_CHECKING:
    from quincespool.policy.protocol import Admission
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CallView


class RoundRobin:
    """Cycles through the backend servers, starting at a position given by the seed."""

    def __init__(self, *, seed: int) -> None:
        self._position = seed

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the next server; a list that shrinks or grows only shifts the position."""
        self._position += 1
        return backends[self._position % len(backends)].name

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns the same rank for all calls, so that they run in order of arrival."""
        return 0

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Refuses the call if all queues are full."""
        return admit_by_queue(call, backends)
