"""What to do with the KV cache of a program that pauses: keep it or export it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.protocol import CacheAction

if TYPE_CHECKING:
    from quincespool.policy.protocol import PauseView

CROWDED = 0.85
"""Share of a backend server's cache in use above which paused programs occupy needed space."""

FULL_TURNOVER_MS = 30_000.0
"""Initial estimate of how long a full cache takes to be overwritten once."""

EXPORT_MS_PER_TOKEN = 0.01
"""Time to export and import the cache of a token, a cautious guess for hosts on one network."""


def plan_cache(
    pause: PauseView, *, expected_pause_ms: float, prefill_ms_per_token: float
) -> CacheAction:
    """Returns the action that costs the engine least.

    The cache is kept while the engine has room, and for short pauses. In a crowded engine it would
    be evicted during a long pause and computed again afterwards, so it is exported first. Engines
    that can't export keep it: releasing it early only adds to the tokens that are computed again
    (docs/measurements.md).
    """
    backend = pause.backend
    if not pause.can_export or prefill_ms_per_token <= EXPORT_MS_PER_TOKEN:
        return CacheAction.KEEP
    if backend.capacity_tokens <= 0 or backend.live_tokens < CROWDED * backend.capacity_tokens:
        return CacheAction.KEEP
    if expected_pause_ms < _survival_ms(pause):
        return CacheAction.KEEP
    return CacheAction.EXPORT


def _survival_ms(pause: PauseView) -> float:
    room = pause.backend.capacity_tokens - pause.backend.live_tokens
    share = max(room, 0) / pause.backend.capacity_tokens
    return FULL_TURNOVER_MS * (0.2 + share)
