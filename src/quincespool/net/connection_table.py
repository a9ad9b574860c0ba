"""The open connections of a port, or of several, up to a bound."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator


class Evictable(Protocol):
    """A connection that may have to make room."""

    def evict(self) -> None:
        """Closes it at once."""


T = TypeVar("T", bound=Evictable)


class ConnectionTable(Generic[T]):
    """Makes room for a new connection by closing one that is not in use.

    First those that have brought no whole request yet, then those idle for longest. Otherwise
    callers that open connections and leave them would shut all others out.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        # Without a whole request so far, idle, and with a request under way; the first two in the
        # order of their last use.
        self._unproven: dict[T, None] = {}
        self._idle: dict[T, None] = {}
        self._busy: set[T] = set()

    def __len__(self) -> int:
        return len(self._unproven) + len(self._idle) + len(self._busy)

    def __iter__(self) -> Iterator[T]:
        yield from [*self._unproven, *self._idle, *self._busy]

    def add(self, connection: T) -> bool:
        """Adds a new connection; False if there is no room and none can be made."""
        if len(self) >= self._capacity and not self._evict_one():
            return False
        self._unproven[connection] = None
        return True

    def record_start(self, connection: T) -> None:
        """Takes note of a whole request; its connection is kept until `record_end`."""
        if self.discard(connection):
            self._busy.add(connection)

    def record_end(self, connection: T) -> None:
        """Takes note of the end of a request."""
        if self.discard(connection):
            self._idle[connection] = None

    def discard(self, connection: T) -> bool:
        """Forgets a connection that is closed; returns whether it was in the table."""
        count = len(self)
        self._unproven.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.discard(connection)
        return len(self) < count

    def _evict_one(self) -> bool:
        connection = next(iter(self._unproven or self._idle), None)
        if connection is None:
            return False
        self.discard(connection)
        connection.evict()
        return True
