"""Tracks which part of a partition's log is needed, so that the rest can be deleted."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

# Least number of bytes between two offsets for which the total size is recorded.
MARK_BYTES = 50_000


class _Mark(NamedTuple):
    offset: int
    total_bytes: int


class LogExtent:
    """Offset of each program's first needed record, and the size of the log up to some offsets."""

    def __init__(self) -> None:
        self._first_offsets: dict[str, int] = {}
        self._marks: deque[_Mark] = deque([_Mark(0, 0)])
        self._total_bytes = 0
        self._unreadable_from: int | None = None

    def add_record(
        self, offset: int, program_id: str, size_bytes: int, *, replaces: int = 0
    ) -> None:
        """Adds a durable record.

        Args:
          offset: Offset of the record in the log.
          program_id: Program of the record.
          size_bytes: Size of the encoded record.
          replaces: If not 0, the record and this many records directly before it replace all
            older records of the program.
        """
        if replaces:
            self._first_offsets[program_id] = offset - replaces
        else:
            self._first_offsets.setdefault(program_id, offset)
        self._total_bytes += size_bytes

    def add_unreadable(self, offset: int) -> None:
        """Adds a record that this version can't decode; an owner of a newer version needs it."""
        if self._unreadable_from is None:
            self._unreadable_from = offset

    def add_mark(self, end_offset: int) -> None:
        """Records the size of the log up to an offset before which all records have been added."""
        if self._total_bytes - self._marks[-1].total_bytes >= MARK_BYTES:
            self._marks.append(_Mark(end_offset, self._total_bytes))

    def trimmable_before(self, program_ids: Collection[str], *, least_bytes: int) -> int | None:
        """Returns the offset before which no record is needed.

        Args:
          program_ids: Programs whose records are needed.
          least_bytes: None is returned if trimming would free fewer bytes than this.
        """
        self._first_offsets = {
            one: at for one, at in self._first_offsets.items() if one in program_ids
        }
        needed = list(self._first_offsets.values())
        if self._unreadable_from is not None:
            needed.append(self._unreadable_from)
        before = min(needed, default=self._marks[-1].offset)
        mark = max((one for one in self._marks if one.offset <= before), default=self._marks[0])
        if mark.total_bytes - self._marks[0].total_bytes < least_bytes:
            return None
        return mark.offset

    def drop_before(self, before: int) -> None:
        """Drops the marks before an offset up to which the log was trimmed."""
        while len(self._marks) > 1 and self._marks[0].offset < before:
            self._marks.popleft()
