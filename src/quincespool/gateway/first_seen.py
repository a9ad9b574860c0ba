"""Measures the age of values by the steady clock, from when this daemon first saw them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container


class FirstSeen:
    """Measures how long values have been known, independent of changes to any host's time of day.

    The values are times of day of another host, whose clock cannot be compared with this one's.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int]] = {}

    def age_ms(self, name: str, value: int, now_ms: int) -> int:
        """Returns how long this daemon has seen a name with this value; 0 if the value is new.

        Args:
          name: What the value belongs to.
          value: The current value.
          now_ms: The steady clock.
        """
        seen = self._seen.get(name)
        if seen is None or seen[0] != value:
            self._seen[name] = (value, now_ms)
            return 0
        return now_ms - seen[1]

    def retain(self, names: Container[str]) -> None:
        """Drops all names that are not in `names`."""
        self._seen = {name: seen for name, seen in self._seen.items() if name in names}
