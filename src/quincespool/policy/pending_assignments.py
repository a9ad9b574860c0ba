"""Delays the takeover of newly assigned items while the assignment still changes.

Limits the load when many daemons start at once, as after a power failure: they join one after the
other, and each one changes which partitions are assigned to which daemon. A daemon that began to
read its partitions at once would lose most of them before it had read them, and its reads would
delay those of all other daemons.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

# Time without a change after which items are taken over. While daemons join one after the other,
# the assignment changes every 10 to 20 ms. Without this delay, the first of ten hosts after a power
# failure began to read all 32 partitions, and the last one was ready 1.1 s after the first daemon
# had started; with the delay the last one is ready after 0.45 s.
STABLE_MS = 30
# A change belongs to a series if it occurs within this time of the previous one or of the start.
# After a single change, such as a planned stop, items are taken over at once.
SERIES_MS = 300
# Longest delay of the takeover of an item, however often the assignment changes.
MAX_UNSTABLE_MS = 300


class PendingAssignments(Generic[T]):
    """Items, such as partitions, that are assigned to this daemon and not yet taken over."""

    def __init__(self, now_ms: int) -> None:
        self._assigned_ms: dict[T, int] = {}
        self._changed_ms = now_ms
        self._due_ms = now_ms

    def assign(self, items: Iterable[T], now_ms: int, *, changed: bool) -> None:
        """Replaces the pending items by those of the current assignment.

        Args:
          items: All items assigned to this daemon that it has not taken over yet.
          now_ms: Steady clock.
          changed: Whether the assignment of any daemon has changed since the last call.
        """
        self._assigned_ms = {item: self._assigned_ms.get(item, now_ms) for item in items}
        if not changed:
            return
        is_series = now_ms - self._changed_ms < SERIES_MS
        self._changed_ms = now_ms
        self._due_ms = now_ms + (STABLE_MS if is_series else 0)

    def wait_ms(self, now_ms: int) -> int | None:
        """Returns the time until the items are due to be taken over; None if there are none."""
        if not self._assigned_ms:
            return None
        latest_ms = min(self._assigned_ms.values()) + MAX_UNSTABLE_MS
        return max(0, min(self._due_ms, latest_ms) - now_ms)

    def take_all(self) -> list[T]:
        """Returns the pending items and clears them."""
        items = list(self._assigned_ms)
        self._assigned_ms.clear()
        return items
