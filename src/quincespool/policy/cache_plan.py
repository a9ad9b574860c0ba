"""What to do with the KV cache of a program that pauses: keep, export or release it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.protocol import CacheAction

if TYPE_CHECKING:
    from quincespool.policy.protocol import PauseView

CROWDED = 0.85
"""Share of a backend server's cache in use from which what pauses is in others' way."""

FULL_TURNOVER_MS = 30_000.0
"""First guess of how long a full cache takes to be overwritten once."""

EXPORT_MS_PER_TOKEN = 0.01
"""Moving a token's cache out and in again, a cautious guess for hosts on one network."""


def plan_cache(
    pause: PauseView, *, expected_pause_ms: float, prefill_ms_per_token: float
) -> CacheAction:
    """Returns the cheapest of the three.

    Room to spare: keep. Else the cache of a short pause is worth keeping and that of a long one is
    in the way of others: exported if that is cheaper than computing it again, else released, so
    that the engine does not push out the prefix of a program that is about to go on.
    """
    backend = pause.backend
    if backend.capacity_tokens <= 0 or backend.live_tokens < CROWDED * backend.capacity_tokens:
        return CacheAction.KEEP
    if expected_pause_ms < _survival_ms(pause):
        return CacheAction.KEEP
    if pause.can_export and prefill_ms_per_token > EXPORT_MS_PER_TOKEN:
        return CacheAction.EXPORT
    return CacheAction.RELEASE


def _survival_ms(pause: PauseView) -> float:
    room = pause.backend.capacity_tokens - pause.backend.live_tokens
    share = max(room, 0) / pause.backend.capacity_tokens
    return FULL_TURNOVER_MS * (0.2 + share)
