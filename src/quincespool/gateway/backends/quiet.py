"""Checks whether backend servers that send no data while answers are due are reachable."""

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
    from quincespool.gateway.backends.attempt import AttemptContext
    from quincespool.gateway.model import BackendEntry

# Connection attempts in a row that must time out before a host counts as down. A lost SYN packet is
# sent again only after a second, so a second attempt rules out that a single packet was lost.
PROBE_ATTEMPTS = 2
# A host within a region answers a SYN packet within some milliseconds.
PROBE_TIMEOUT_S = 0.1
# An attempt that takes longer than this shows that this process is short of processor time, not
# that the host is down: the answer may have arrived and be unread in the socket.
MAX_PROBE_DURATION_S = 1.5 * PROBE_TIMEOUT_S
# Least time between two probes of a backend server. One that is reachable may be quiet because it
# reads a long prompt, and each probe costs a connection.
PROBE_INTERVAL_S = 1.0
# Idle time before the kernel probes a connection; the least that it accepts.
KEEPALIVE_IDLE_S = 1
# The host's kernel acknowledges such a probe within some milliseconds, whatever its processes do.
KEEPALIVE_ANSWER_S = 0.1


class QuietBackendProbe:
    """Opens new connections to quiet backend servers, and ends answers due from unreachable ones.

    Without these probes, the connections of an engine that loses power stay open, and each turn at
    that engine ends only when its caller disconnects. The symptom is the outcome `caller_gone`,
    after two seconds or more, for turns of one backend server.
    """

    def __init__(self, context: AttemptContext) -> None:
        self._context = context
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._next_probe_s: dict[str, float] = {}

    def check(self) -> None:
        """Starts to probe the backend servers that have been quiet for too long."""
        now_s = asyncio.get_running_loop().time()
        backends = self._context.backends
        self._next_probe_s = {one: at_s for one, at_s in self._next_probe_s.items() if at_s > now_s}
        for backend_id, silent_s in self._context.pool.silent_for_s().items():
            if backend_id in self._probes or backend_id in self._next_probe_s:
                continue
            entry = backends.entries.get(backend_id)
            quiet = is_silent_too_long(silent_s * 1000, backends.latency_ms(backend_id))
            if entry is None or not quiet:
                continue
            self._next_probe_s[backend_id] = now_s + PROBE_INTERVAL_S
            self._context.backend_reports.report_failure(entry, "quiet")
            self._start_probe(entry, silent_s)

    def next_check_in_ms(self) -> int:
        """Returns the milliseconds after which `check` is due, if no more data is received."""
        backends = self._context.backends
        due_ms = [
            remaining_silence_ms(silent_s * 1000, backends.latency_ms(backend_id))
            for backend_id, silent_s in self._context.pool.silent_for_s().items()
            if backend_id not in self._probes and backend_id not in self._next_probe_s
        ]
        # A call that is sent in the meantime may itself wait for this minimum without any data.
        return max(0, int(min(due_ms, default=BACKEND_SILENCE_MS)))

    def _start_probe(self, entry: BackendEntry, silent_s: float) -> None:
        task = asyncio.get_running_loop().create_task(self._probe(entry, silent_s))
        self._probes[entry.backend_id] = task
        task.add_done_callback(lambda _: self._probes.pop(entry.backend_id, None))

    async def _probe(self, entry: BackendEntry, silent_s: float) -> None:
        for _ in range(PROBE_ATTEMPTS):
            if not await self._is_silent(entry):
                return
        if await self._is_acknowledging(entry):
            return
        now_silent_s = self._context.pool.silent_for_s().get(entry.backend_id, 0.0)
        if now_silent_s < silent_s:
            # Data was received during the probe.
            return
        self._context.backends.record_failure(entry.backend_id, now_ms(), unreachable=True)
        self._context.log.write(
            "backend silent", backend_id=entry.backend_id, silent_ms=int(now_silent_s * 1000)
        )
        self._context.pool.abort_answers(
            entry.backend_id, "no data received, and new connections time out"
        )

    async def _is_acknowledging(self, entry: BackendEntry) -> bool:
        """Returns whether the host acknowledges keepalive probes on connections with answers due.

        A running host drops new connections while the queue of its listener is full, as one
        without power does. On the connections that it has accepted, its kernel still answers.
        """
        pool = self._context.pool
        pool.probe_after(entry.backend_id, KEEPALIVE_IDLE_S)
        heard_ms = pool.heard_ms_ago(entry.backend_id)
        if heard_ms is None:
            return False
        answer_due_s = KEEPALIVE_IDLE_S + KEEPALIVE_ANSWER_S
        await asyncio.sleep(max(KEEPALIVE_ANSWER_S, answer_due_s - heard_ms / 1000))
        heard_ms = pool.heard_ms_ago(entry.backend_id)
        if heard_ms is None or heard_ms >= 1000 * KEEPALIVE_IDLE_S:
            return False
        self._context.log.write(
            "backend acknowledges", backend_id=entry.backend_id, heard_ms_ago=heard_ms
        )
        return True

    async def _is_silent(self, entry: BackendEntry) -> bool:
        """Returns whether the host does not answer.

        A host that refuses the connection is running, and itself resets the connections with
        answers due.
        """
        connection = BackendConnection()
        began_s = asyncio.get_running_loop().time()
        try:
            await connection.connect(entry.address, timeout_s=PROBE_TIMEOUT_S)
        except ConnectError as error:
            connection.close()
            took_s = asyncio.get_running_loop().time() - began_s
            return error.silent and took_s < MAX_PROBE_DURATION_S
        self._context.pool.release(entry, connection, None)
        return False
