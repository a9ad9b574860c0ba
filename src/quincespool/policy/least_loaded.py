"""Least loaded: the backend server that reports the fewest running calls.

The report lags. A plain minimum would send all calls to one backend server until the next report
arrives, so the policy adds the calls that it has sent there since the report last changed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.queue_bound import admit_by_queue
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.policy.protocol import Admission
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CallView


class LeastLoaded:
    """Compares reported load relative to slots; backend servers run calls in order of arrival."""

    def __init__(self, *, seed: int) -> None:
        self._seed = seed
        self._last_report: dict[str, int] = {}
        self._sent_since: dict[str, int] = {}

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the least loaded backend server; a hash that depends on the seed breaks ties."""
        for backend in backends:
            self._update_report(backend)
        salt = f"{self._seed}|{call.program_id}|{call.call_number}|"
        best = min(backends, key=lambda b: (self._load(b), stable_hash(salt + b.name)))
        self._sent_since[best.name] += 1
        return best.name

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns the same rank for all calls, so that they run in order of arrival."""
        return 0

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Refuses the call if all queues are full."""
        return admit_by_queue(call, backends)

    def _update_report(self, backend: BackendView) -> None:
        if self._last_report.get(backend.name) == backend.reported_running:
            return
        self._last_report[backend.name] = backend.reported_running
        self._sent_since[backend.name] = 0

    def _load(self, backend: BackendView) -> float:
        busy = max(backend.reported_running, 0) + self._sent_since[backend.name]
        return busy / max(backend.slots, 1)
