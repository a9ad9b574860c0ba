"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.backends.exchange import BackendConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.model import BackendEntry


class ConnectionPool:
    """Connections by backend server, the one used last first."""

    def __init__(self, *, on_open: Callable[[], None]) -> None:
        self._idle: dict[str, list[BackendConnection]] = {}
        self._busy: dict[str, set[BackendConnection]] = {}
        self._on_open = on_open

    async def take(self, entry: BackendEntry) -> BackendConnection:
        """Returns a connection that nothing else uses.

        Raises:
          ConnectError: if none can be made.
        """
        connection = self._take_idle(entry.backend_id) or await self._open(entry.address)
        self._busy.setdefault(entry.backend_id, set()).add(connection)
        return connection

    def give_back(
        self, entry: BackendEntry, connection: BackendConnection, idle_s: float | None
    ) -> None:
        """Takes a connection back whose answer is whole, if it may be used again."""
        self._release(entry, connection)
        if not connection.usable:
            connection.close()
            return
        connection.keep(idle_s)
        self._idle.setdefault(entry.backend_id, []).append(connection)

    def discard(self, entry: BackendEntry, connection: BackendConnection) -> None:
        """Closes a connection whose answer is not whole."""
        self._release(entry, connection)
        connection.close()

    def break_off(self, backend_id: str, detail: str) -> None:
        """Ends what is under way at a backend server that will answer nothing of it any more."""
        self.drop(backend_id)
        for connection in self._busy.pop(backend_id, ()):
            connection.break_off(detail)

    def silences_s(self) -> dict[str, float]:
        """Returns for how long nothing has come from each backend server that owes an answer."""
        now_s = asyncio.get_running_loop().time()
        heard_s = {
            backend_id: [one.heard_s for one in busy if one.owes_answer]
            for backend_id, busy in self._busy.items()
        }
        return {backend_id: now_s - max(times) for backend_id, times in heard_s.items() if times}

    def connected(self) -> frozenset[str]:
        """Returns the backend servers to which a kept connection is idle."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(
            backend_id
            for backend_id, idle in self._idle.items()
            if any(one.usable and now_s < one.idle_until_s for one in idle)
        )

    def drop(self, backend_id: str) -> None:
        """Closes the idle connections to a backend server that has gone or is suspect."""
        for connection in self._idle.pop(backend_id, []):
            connection.close()

    def close_stale(self) -> None:
        """Closes the connections that were idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for backend_id, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.usable and now_s < connection.idle_until_s:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[backend_id] = kept
            else:
                del self._idle[backend_id]

    def _take_idle(self, backend_id: str) -> BackendConnection | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(backend_id, [])
        while idle:
            connection = idle.pop()
            if connection.usable and now_s < connection.idle_until_s:
                return connection
            connection.close()
        return None

    async def _open(self, address: str) -> BackendConnection:
        connection = BackendConnection()
        try:
            await connection.connect(address)
        except BaseException:
            connection.close()
            raise
        self._on_open()
        return connection

    def _release(self, entry: BackendEntry, connection: BackendConnection) -> None:
        busy = self._busy.get(entry.backend_id)
        if busy is None:
            return
        busy.discard(connection)
        if not busy:
            del self._busy[entry.backend_id]
