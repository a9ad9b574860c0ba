"""A bound on the memory that request bodies take, over all connections of a port."""

from __future__ import annotations


class BodyMemory:
    """Counts what unfinished and unanswered bodies hold.

    Without it a few hundred callers with large bodies, none of them beyond the limit of one, end
    the process for want of memory.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Takes memory for a part of a body; false if there is none left."""
        if self._held_bytes + size_bytes > self._limit_bytes:
            return False
        self._held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Gives memory of a body back."""
        self._held_bytes -= size_bytes
