"""A bound on the memory of the histories that a daemon holds for the programs it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable

# Text of a turn that counts as large. Large turns leave room for all others.
LARGE_TURN_BYTES = 65_536
LARGE_SHARE = 0.5
# New programs leave room for those that have begun.
NEW_PROGRAM_SHARE = 0.75


class HistorySizes(NamedTuple):
    """Sizes of the texts of turns.

    Attributes:
      all_bytes: Of all turns.
      large_bytes: Of those that are larger than `LARGE_TURN_BYTES`.
    """

    all_bytes: int
    large_bytes: int


class HistoryMemory:
    """Tells whether a turn fits beside the histories that are held.

    A single large turn fits whatever its size.
    """

    def __init__(self, limit_bytes: int, *, measure: Callable[[], HistorySizes]) -> None:
        """Creates the bound.

        Args:
          limit_bytes: Maximum size of all histories.
          measure: Returns the sizes of the turns that have ended.
        """
        self._limit_bytes = limit_bytes
        self._measure = measure
        self._open_bytes: dict[Hashable, int] = {}

    def has_room(self, added_bytes: int, *, is_new_program: bool) -> bool:
        """Whether a turn that adds so much to its history may begin."""
        sizes = self._measure()
        if added_bytes > LARGE_TURN_BYTES:
            return self._has_large_room(sizes.large_bytes, added_bytes)
        share = NEW_PROGRAM_SHARE if is_new_program else 1.0
        return sizes.all_bytes + added_bytes <= self._limit_bytes * share

    def grow(self, turn: Hashable, turn_bytes: int) -> bool:
        """Sets the size of a turn that is still being generated; False if it must not go on."""
        if turn_bytes <= LARGE_TURN_BYTES:
            return True
        self.discard(turn)
        if not self._has_large_room(self._measure().large_bytes, turn_bytes):
            return False
        self._open_bytes[turn] = turn_bytes
        return True

    def discard(self, turn: Hashable) -> None:
        """Forgets a turn that is over."""
        self._open_bytes.pop(turn, None)

    def _has_large_room(self, ended_bytes: int, added_bytes: int) -> bool:
        held_bytes = ended_bytes + sum(self._open_bytes.values())
        return not held_bytes or held_bytes + added_bytes <= self._limit_bytes * LARGE_SHARE
