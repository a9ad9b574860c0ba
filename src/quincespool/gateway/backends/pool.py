"""A pool of connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.backends.exchange import BackendConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.model import BackendEntry


class ConnectionPool:
    """Idle and busy connections by backend server; the most recently used one is reused first."""

    def __init__(self, *, on_open: Callable[[], None]) -> None:
        self._idle: dict[str, list[BackendConnection]] = {}
        self._busy: dict[str, set[BackendConnection]] = {}
        self._on_open = on_open

    async def acquire(self, entry: BackendEntry) -> BackendConnection:
        """Returns a connection for exclusive use: an idle one if available, otherwise a new one.

        Raises:
          ConnectError: If no connection can be made.
        """
        connection = self._take_idle(entry) or await self._open(entry.address)
        self._busy.setdefault(entry.backend_id, set()).add(connection)
        return connection

    def release(
        self, entry: BackendEntry, connection: BackendConnection, idle_s: float | None
    ) -> None:
        """Puts a connection with a complete answer back, or closes it if it is not reusable."""
        self._remove_busy(entry, connection)
        if not connection.is_reusable:
            connection.close()
            return
        connection.set_idle_timeout(idle_s)
        self._idle.setdefault(entry.backend_id, []).append(connection)

    def discard(self, entry: BackendEntry, connection: BackendConnection) -> None:
        """Closes a connection whose answer is not complete."""
        self._remove_busy(entry, connection)
        connection.close()

    def abort_answers(self, backend_id: str, detail: str) -> None:
        """Ends all answers in progress at a backend server that will not complete them."""
        self.close_idle(backend_id)
        for connection in self._busy.pop(backend_id, ()):
            connection.abort_answer(detail)

    def silent_for_s(self) -> dict[str, float]:
        """Returns the seconds since each backend server with an answer due last sent data."""
        now_s = asyncio.get_running_loop().time()
        received_s = {
            backend_id: [one.last_received_s for one in busy if one.is_awaiting_answer]
            for backend_id, busy in self._busy.items()
        }
        return {backend_id: now_s - max(times) for backend_id, times in received_s.items() if times}

    def probe_after(self, backend_id: str, idle_s: int) -> None:
        """Has the kernel probe a host on each connection with an answer due; see `probe_after`."""
        for connection in self._awaiting(backend_id):
            connection.probe_after(idle_s)

    def heard_ms_ago(self, backend_id: str) -> int | None:
        """Returns how long ago a host acknowledged anything on a connection with an answer due.

        Returns:
          Milliseconds; None if no such connection tells.
        """
        times_ms = [one.heard_ms_ago() for one in self._awaiting(backend_id)]
        return min((one for one in times_ms if one is not None), default=None)

    def _awaiting(self, backend_id: str) -> list[BackendConnection]:
        return [one for one in self._busy.get(backend_id, ()) if one.is_awaiting_answer]

    def idle_backend_ids(self) -> frozenset[str]:
        """Returns the backend servers to which there is an idle connection that may be used."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(
            backend_id
            for backend_id, idle in self._idle.items()
            if any(one.is_reusable and now_s < one.idle_until_s for one in idle)
        )

    def close_idle(self, backend_id: str) -> None:
        """Closes the idle connections to a backend server that has or may have stopped."""
        for connection in self._idle.pop(backend_id, []):
            connection.close()

    def close_expired(self) -> None:
        """Closes the connections whose idle timeout is over."""
        now_s = asyncio.get_running_loop().time()
        for backend_id, idle in list(self._idle.items()):
            remaining = []
            for connection in idle:
                if connection.is_reusable and now_s < connection.idle_until_s:
                    remaining.append(connection)
                else:
                    connection.close()
            if remaining:
                self._idle[backend_id] = remaining
            else:
                del self._idle[backend_id]

    def _take_idle(self, entry: BackendEntry) -> BackendConnection | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(entry.backend_id, [])
        while idle:
            connection = idle.pop()
            is_in_time = now_s < connection.idle_until_s
            # The entry may have been given another address since the connection was made.
            if connection.is_reusable and is_in_time and connection.address == entry.address:
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

    def _remove_busy(self, entry: BackendEntry, connection: BackendConnection) -> None:
        busy = self._busy.get(entry.backend_id)
        if busy is None:
            return
        busy.discard(connection)
        if not busy:
            del self._busy[entry.backend_id]
