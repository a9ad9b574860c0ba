"""A bound on the memory that others make a daemon hold, over all connections of all its ports."""

from __future__ import annotations

from typing import Protocol

# Requests under way leave this share of the limit to what is unfinished or unread.
MAX_RESERVED_SHARE = 0.75
# Large requests leave room for small ones.
LARGE_REQUEST_BYTES = 131_072
MAX_LARGE_SHARE = 0.5
# Shedding goes on until this share of the limit is left, so that it isn't repeated at once.
SHED_SHARE = 0.75


class Holder(Protocol):
    """A connection for which something is held that it may lose."""

    def measure_held(self) -> int:
        """Returns the bytes that are held for it now, those in the kernel included."""

    def shed(self) -> None:
        """Gives up what is held for it."""


class HeldMemory:
    """Counts what is held, and sheds the connections that hold most when it is too much.

    Two kinds are told apart. Requests under way are reserved for beforehand and never shed. All
    else is unfinished, sent ahead or unread: it is counted afterwards, and a connection that holds
    much of it is closed rather than that the process ends.

    Attributes:
      shed_connections: How many connections have been shed.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.shed_connections = 0
        self._limit_bytes = limit_bytes
        self._held_bytes_by_holder: dict[Holder, int] = {}
        self._held_bytes = 0
        self._reserved_bytes = 0
        self._large_bytes = 0
        self._is_shedding = False

    @property
    def held_bytes(self) -> int:
        """What is held now, at most."""
        return self._held_bytes + self._reserved_bytes

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Sets how much is held for a connection, which may be more than `measure_held` tells."""
        self._held_bytes += held_bytes - self._held_bytes_by_holder.get(holder, 0)
        self._held_bytes_by_holder[holder] = held_bytes
        self._shed_if_needed()

    def discard(self, holder: Holder) -> None:
        """Forgets a connection that is closed."""
        self._held_bytes -= self._held_bytes_by_holder.pop(holder, 0)

    def reserve(self, size_bytes: int) -> bool:
        """Reserves memory for a request, until `release`; False if there is none left.

        A single request is admitted whatever its size.
        """
        if self._reserved_bytes and size_bytes > self._free_bytes(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        if size_bytes > LARGE_REQUEST_BYTES:
            self._large_bytes += size_bytes
        self._shed_if_needed()
        return True

    def release(self, size_bytes: int) -> None:
        """Gives back what was reserved by one call of `reserve`."""
        self._reserved_bytes -= size_bytes
        if size_bytes > LARGE_REQUEST_BYTES:
            self._large_bytes -= size_bytes

    def _free_bytes(self, size_bytes: int) -> int:
        """Returns how much may be reserved for a request of this size."""
        free_bytes = int(self._limit_bytes * MAX_RESERVED_SHARE) - self._reserved_bytes
        if size_bytes <= LARGE_REQUEST_BYTES:
            return free_bytes
        if not self._large_bytes:
            return self._limit_bytes - self._reserved_bytes
        return min(free_bytes, int(self._limit_bytes * MAX_LARGE_SHARE) - self._large_bytes)

    @property
    def _room_bytes(self) -> int:
        """What may be held beside the requests under way."""
        reserved_bytes = min(self._reserved_bytes, int(self._limit_bytes * MAX_RESERVED_SHARE))
        return self._limit_bytes - reserved_bytes

    def _shed_if_needed(self) -> None:
        if self._held_bytes <= self._room_bytes or self._is_shedding:
            return
        self._is_shedding = True
        try:
            self._shed()
        finally:
            self._is_shedding = False

    def _shed(self) -> None:
        """Closes the connections that hold most, if really too much is held."""
        for holder in list(self._held_bytes_by_holder):
            self._set(holder, holder.measure_held())
        if self._held_bytes <= self._room_bytes:
            return
        wanted_bytes = int(self._room_bytes * SHED_SHARE)
        largest_first = sorted(
            self._held_bytes_by_holder, key=self._held_bytes_by_holder.__getitem__, reverse=True
        )
        for holder in largest_first:
            if self._held_bytes <= wanted_bytes:
                return
            self.shed_connections += 1
            # A connection that is refused rather than closed tells anew what it holds.
            self._set(holder, 0)
            holder.shed()

    def _set(self, holder: Holder, held_bytes: int) -> None:
        if holder in self._held_bytes_by_holder:
            self._held_bytes += held_bytes - self._held_bytes_by_holder[holder]
            self._held_bytes_by_holder[holder] = held_bytes
