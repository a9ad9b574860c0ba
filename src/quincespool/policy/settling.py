"""When a share of something that is dealt among daemons is taken up.

Answers the load of many daemons that start at once, as after a loss of power: they join one after
the other, and what is dealt changes with each. A share that is taken up at once is dealt away
again unread; its reading holds up everybody else's.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

# While daemons join one after the other, what is dealt changes every 10 to 20 ms. With ten hosts
# that had lost power the first one began to read all 32 partitions, and the last one was ready
# 1.1 s after the first daemon; with this wait after 0.45 s.
STABLE_MS = 30
# A change counts as one of a series if it comes within this time of the last one, or of the start.
# One that stands alone, such as a planned stop, is followed at once.
SERIES_MS = 300
# However often the shares change, what is dealt is taken up after this long.
MAX_UNSTABLE_MS = 300


class SettlingShare(Generic[T]):
    """What is dealt to this daemon and not yet taken up."""

    def __init__(self, now_ms: int) -> None:
        self._dealt_ms: dict[T, int] = {}
        self._changed_ms = now_ms
        self._due_ms = now_ms

    def deal(self, items: Iterable[T], now_ms: int, *, changed: bool) -> None:
        """Takes note of what is dealt now, all of it.

        Args:
          items: Those that are not taken up yet.
          now_ms: Steady clock.
          changed: Whether anybody's share has changed since the last time.
        """
        self._dealt_ms = {item: self._dealt_ms.get(item, now_ms) for item in items}
        if not changed:
            return
        is_series = now_ms - self._changed_ms < SERIES_MS
        self._changed_ms = now_ms
        self._due_ms = now_ms + (STABLE_MS if is_series else 0)

    def wait_ms(self, now_ms: int) -> int | None:
        """Returns how long until it is taken up; None if there is nothing."""
        if not self._dealt_ms:
            return None
        latest_ms = min(self._dealt_ms.values()) + MAX_UNSTABLE_MS
        return max(0, min(self._due_ms, latest_ms) - now_ms)

    def take(self) -> list[T]:
        """Returns it; nothing is left."""
        items = list(self._dealt_ms)
        self._dealt_ms.clear()
        return items
