"""How long a daemon has known a value, by its steady clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container


class FirstSeen:
    """Tells the age of values that carry another host's time of day, whatever clocks do since."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int]] = {}

    def age_ms(self, name: str, value: int, now_ms: int) -> int:
        """Returns for how long a name has had its present value here."""
        seen = self._seen.get(name)
        if seen is None or seen[0] != value:
            self._seen[name] = (value, now_ms)
            return 0
        return now_ms - seen[1]

    def forget_others(self, names: Container[str]) -> None:
        """Forgets all names but these."""
        self._seen = {name: seen for name, seen in self._seen.items() if name in names}
