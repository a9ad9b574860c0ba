"""How much of a partition's log is needed, so that the rest can be deleted."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

# Between two offsets of which the bytes before them are known.
MARK_BYTES = 50_000


class _Mark(NamedTuple):
    offset: int
    total_bytes: int


class LogExtent:
    """Where the records of each program begin, and how many bytes lie before an offset."""

    def __init__(self) -> None:
        self._first: dict[str, int] = {}
        self._marks: deque[_Mark] = deque([_Mark(0, 0)])
        self._total_bytes = 0
        self._unknown_from: int | None = None

    def note(self, offset: int, program_id: str, size_bytes: int, *, replaces: int = 0) -> None:
        """Takes in a record that lasts.

        Args:
          offset: Where it stands.
          program_id: Whose it is.
          size_bytes: How long it is.
          replaces: With how many records before it it makes all others of the program needless.
        """
        if replaces:
            self._first[program_id] = offset - replaces
        else:
            self._first.setdefault(program_id, offset)
        self._total_bytes += size_bytes

    def note_unknown(self, offset: int) -> None:
        """Takes in a record that this version can't read; a newer owner needs it."""
        if self._unknown_from is None:
            self._unknown_from = offset

    def mark(self, end_offset: int) -> None:
        """Takes note that everything before an offset was taken in."""
        if self._total_bytes - self._marks[-1].total_bytes >= MARK_BYTES:
            self._marks.append(_Mark(end_offset, self._total_bytes))

    def needless_before(self, program_ids: Collection[str], *, least_bytes: int) -> int | None:
        """Returns the offset before which no record is needed; None if that frees too little."""
        self._first = {one: at for one, at in self._first.items() if one in program_ids}
        needed = list(self._first.values())
        if self._unknown_from is not None:
            needed.append(self._unknown_from)
        before = min(needed, default=self._marks[-1].offset)
        freed = max((one for one in self._marks if one.offset <= before), default=self._marks[0])
        if freed.total_bytes - self._marks[0].total_bytes < least_bytes:
            return None
        return freed.offset

    def trimmed(self, before: int) -> None:
        """Takes note that records before an offset are gone."""
        while len(self._marks) > 1 and self._marks[0].offset < before:
            self._marks.popleft()
