"""The open connections of a port, or of several, up to a bound."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

# With more, a crowd that keeps all connections busy would have each new one search through them.
MAX_EXAMINED = 64


class Evictable(Protocol):
    """A connection that may have to make room."""

    @property
    def is_evictable(self) -> bool:
        """Whether nobody waits for an answer on it."""

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
        # Both in the order of their last use.
        self._unproven: dict[T, None] = {}
        self._proven: dict[T, None] = {}

    def __len__(self) -> int:
        return len(self._unproven) + len(self._proven)

    def __iter__(self) -> Iterator[T]:
        yield from list(self._unproven)
        yield from list(self._proven)

    def add(self, connection: T) -> bool:
        """Adds a new connection; False if there is no room and none can be made."""
        if len(self) >= self._capacity and not self._evict_one():
            return False
        self._unproven[connection] = None
        return True

    def record_use(self, connection: T) -> None:
        """Takes note of a whole request or answer on a connection."""
        if connection in self._unproven or connection in self._proven:
            self.discard(connection)
            self._proven[connection] = None

    def discard(self, connection: T) -> None:
        """Forgets a connection that is closed."""
        self._unproven.pop(connection, None)
        self._proven.pop(connection, None)

    def _evict_one(self) -> bool:
        for connections in (self._unproven, self._proven):
            for _, connection in zip(range(MAX_EXAMINED), connections, strict=False):
                if connection.is_evictable:
                    self.discard(connection)
                    connection.evict()
                    return True
        return False
