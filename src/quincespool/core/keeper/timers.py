"""The keeper's subscriptions to the timer service."""

from __future__ import annotations

from quincespool.core.timers import TimerKey

PART = "keeper"
TICK = "tick"
LIMIT = "limit"
PUMP = "pump"
SUSPECTS = "suspects"
SUMMARY = "summary"
AUDIT = "audit"

TICK_MS = 1000


def timer_key(name: str, argument: str = "") -> TimerKey:
    """Returns the key of one of the keeper's timers."""
    return TimerKey(part=PART, name=name, argument=argument)
