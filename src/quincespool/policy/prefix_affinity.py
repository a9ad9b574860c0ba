"""Prefix affinity: sends each call where its prefix is cached, in order of arrival.

The rule is that of the common cache-aware routers: follow the cache while the load is balanced,
else take the shortest queue.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.queue_bound import admit_by_queue
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.policy.protocol import Admission
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CallView

MIN_MATCH = 0.3
"""Share of the prompt that must be cached for the cache to count."""

IMBALANCE = 1.5
"""How much busier, in multiples of its slots, a cache holder may be than the least busy one."""


class PrefixAffinity:
    """Uses exact queue lengths and cached prefixes, and treats each call separately."""

    def __init__(self, *, seed: int) -> None:
        self._seed = seed

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the holder of the longest prefix, or else the least busy backend server.

        The least busy one is chosen if the cached prefix is too short or its holder much busier.
        """
        shortest = min(backends, key=lambda b: (_load(b), self._tie(call, b)))
        holder = max(backends, key=lambda b: (b.cached_tokens, -_load(b)))
        matched = holder.cached_tokens >= MIN_MATCH * max(call.prompt_tokens, 1)
        if matched and _load(holder) <= max(1.0, _load(shortest)) + IMBALANCE:
            return holder.name
        return shortest.name

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns the same rank for all calls, so that they run in order of arrival."""
        return 0

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Refuses the call if all queues are full."""
        return admit_by_queue(call, backends)

    def _tie(self, call: CallView, backend: BackendView) -> int:
        return stable_hash(f"{self._seed}|{call.program_id}|{backend.name}")


def _load(backend: BackendView) -> float:
    return (backend.running + backend.waiting) / max(backend.slots, 1)
