"""Finds out whether backend servers that owe answers and say nothing are still there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.clock import now_ms
from quincespool.policy.silence import BACKEND_SILENCE_MS
from quincespool.policy.silence import is_silent_too_long
from quincespool.policy.silence import remaining_silence_ms

if TYPE_CHECKING:
    from quincespool.gateway.backends.attempt import Services
    from quincespool.gateway.model import BackendEntry

# Connections that a host must not answer before it is taken to be gone; a lost opening packet is
# sent again only after a second, so a second attempt is what tells chance from silence.
SILENT_ATTEMPTS = 2
# A host within a region answers an opening packet within some milliseconds.
ATTEMPT_LIMIT_S = 0.1
# An attempt that ends so late says that this process is short of processor time, not that the host
# is silent: the answer may wait in its socket.
LATE_LIMIT_S = 1.5 * ATTEMPT_LIMIT_S
# A backend server that is there and quiet, as one that reads a long prompt, is asked again after
# this long: a connection is paid for.
AGAIN_S = 1.0


class QuietBackends:
    """Tries new connections to quiet backend servers; breaks off what waits for dead ones.

    What goes wrong without it: an engine loses its power, its connections stay open, and each turn
    there ends only when its caller gives up. One notices `caller_gone` after two seconds and more
    for turns of one backend server.
    """

    def __init__(self, services: Services) -> None:
        self._services = services
        self._tries: dict[str, asyncio.Task[None]] = {}
        self._not_before_s: dict[str, float] = {}

    def check(self) -> None:
        """Begins to try those that have been quiet for too long."""
        now_s = asyncio.get_running_loop().time()
        backends = self._services.backends
        self._not_before_s = {one: at_s for one, at_s in self._not_before_s.items() if at_s > now_s}
        for backend_id, silent_s in self._services.pool.silences_s().items():
            if backend_id in self._tries or backend_id in self._not_before_s:
                continue
            entry = backends.entries.get(backend_id)
            quiet = is_silent_too_long(silent_s * 1000, backends.latency_ms(backend_id))
            if entry is None or not quiet:
                continue
            self._not_before_s[backend_id] = now_s + AGAIN_S
            self._services.backend_reports.report(entry, "quiet")
            self._spawn_try(entry, silent_s)

    def due_ms(self) -> int:
        """Returns for how long `check` has nothing to do, if nothing more comes."""
        backends = self._services.backends
        waits_ms = [
            remaining_silence_ms(silent_s * 1000, backends.latency_ms(backend_id))
            for backend_id, silent_s in self._services.pool.silences_s().items()
            if backend_id not in self._tries and backend_id not in self._not_before_s
        ]
        # A call that is sent meanwhile may be quiet for as long as the least of these.
        return max(0, int(min(waits_ms, default=BACKEND_SILENCE_MS)))

    def _spawn_try(self, entry: BackendEntry, silent_s: float) -> None:
        task = asyncio.get_running_loop().create_task(self._try(entry, silent_s))
        self._tries[entry.backend_id] = task
        task.add_done_callback(lambda _: self._tries.pop(entry.backend_id, None))

    async def _try(self, entry: BackendEntry, silent_s: float) -> None:
        for _ in range(SILENT_ATTEMPTS):
            if not await self._is_silent(entry):
                return
        still_s = self._services.pool.silences_s().get(entry.backend_id, 0.0)
        if still_s < silent_s:
            # Something has come meanwhile.
            return
        self._services.backends.failed(entry.backend_id, now_ms(), unreachable=True)
        self._services.log.write(
            "backend silent", backend_id=entry.backend_id, silent_ms=int(still_s * 1000)
        )
        self._services.pool.break_off(entry.backend_id, "silent, and takes no connection")

    async def _is_silent(self, entry: BackendEntry) -> bool:
        """Whether the host does not answer; one that refuses lives, and resets what it owes."""
        connection = BackendConnection()
        began_s = asyncio.get_running_loop().time()
        try:
            await connection.connect(entry.address, limit_s=ATTEMPT_LIMIT_S)
        except ConnectError as error:
            connection.close()
            took_s = asyncio.get_running_loop().time() - began_s
            return error.silent and took_s < LATE_LIMIT_S
        self._services.pool.give_back(entry, connection, None)
        return False
