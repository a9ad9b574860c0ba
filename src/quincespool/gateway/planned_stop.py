"""Graceful shutdown: hands callers and partitions over to other daemons, then drains requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms

if TYPE_CHECKING:
    from quincespool.gateway.callers.http_port import HttpPort
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.live_settings import LiveSettings
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.members.presence import Presence
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.relay import Relay

# Callers use an address for up to three times the validity that the directory states.
ADDRESS_VALIDITY_FACTOR = 3
# Part of the grace period that is reserved for ending the process.
STOP_MARGIN_MS = 700
# An answer is sent at most this long after its call's deadline.
ANSWER_MARGIN_MS = 200
CHECK_INTERVAL_S = 0.05
# Iterations of the event loop in which input that is pending in sockets is read; the timer before
# them may have fired late.
READ_ITERATIONS = 3


class PlannedStop:
    """The graceful shutdown of one daemon, begun by a signal."""

    def __init__(
        self,
        *,
        ownership: Ownership,
        presence: Presence,
        caller_port: HttpPort,
        relay: Relay,
        members: MemberTable,
        live_settings: LiveSettings,
        log: DecisionLog,
    ) -> None:
        self._ownership = ownership
        self._presence = presence
        self._caller_port = caller_port
        self._relay = relay
        self._members = members
        self._live_settings = live_settings
        self._log = log
        self._deadline_ms: int | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that callers, here and at other daemons, still wait for."""
        return self._caller_port.active_requests + self._relay.serving

    def allows_deadline(self, until_ms: int) -> bool:
        """Returns whether a call with this deadline is answered before the stop ends.

        Callers use their open connections until these are closed; a call accepted on one
        of them with too little time left would be cut off after it ran.

        Args:
          until_ms: The call's deadline by the steady clock.
        """
        return self._deadline_ms is None or until_ms + ANSWER_MARGIN_MS <= self._deadline_ms

    def begin(self) -> bool:
        """Stops attracting new callers; returns False if the stop has already begun."""
        if self._deadline_ms is not None:
            return False
        grace_ms = int(1_000 * self._live_settings.current.stop_grace_s)
        self._deadline_ms = now_ms() + grace_ms - STOP_MARGIN_MS
        self._presence.draining = True
        self._caller_port.draining = True
        self._log.write_always("stopping", under_way=self._caller_port.active_requests)
        self._presence.announce()
        return True

    async def drain(self) -> None:
        """Leaves the group, then waits until no requests are in flight, or until the deadline."""
        unused_from_ms = (
            now_ms() + ADDRESS_VALIDITY_FACTOR * self._live_settings.current.addresses_valid_ms
        )
        await self._ownership.leave()
        self._presence.announce_departure()
        await self._until_idle(unused_from_ms)
        self._caller_port.stop()
        await self._until_idle(now_ms())
        await self._caller_port.cancel_requests()

    async def _until_idle(self, not_before_ms: int) -> None:
        """Waits until a time and until the daemon is idle, but not beyond the stop's deadline."""
        assert self._deadline_ms is not None
        while now_ms() < self._deadline_ms:
            if now_ms() >= not_before_ms and self._is_done():
                await _read_pending_input()
                if self._is_done():
                    return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_done(self) -> bool:
        """Returns whether no callers wait for this daemon and no turn records depend on it."""
        if self.in_flight or self._relay.settling or self._ownership.is_writing:
            return False
        # This daemon has taken over a partition from another daemon that stops too, and nobody owns
        # it now: records of turns in flight at that daemon can be made durable only by this one.
        since_ms = now_ms() - int(1_000 * self._live_settings.current.stop_grace_s)
        return not (
            self._ownership.has_retired_takeover_since(since_ms) and self._is_another_draining()
        )

    def _is_another_draining(self) -> bool:
        at_ms = now_ms()
        return any(
            self._members.is_alive(one.member_id, at_ms)
            and self._members.is_draining(one.member_id)
            for one in self._members.others
        )


async def _read_pending_input() -> None:
    for _ in range(READ_ITERATIONS):
        await asyncio.sleep(0)
