"""A planned stop: callers and programs go elsewhere first, and what is under way ends."""

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

# Callers keep an address for up to three times as long as the directory says.
ADDRESS_KEPT_FACTOR = 3
# Kept of the stop's time for the end of the process.
STOP_MARGIN_MS = 700
# An answer is sent this long after the time limit of its call at the latest.
ANSWER_MARGIN_MS = 200
CHECK_S = 0.05
# Turns of the loop in which what waits in sockets is read, after a timer that may have fired late.
READ_TURNS = 3


class PlannedStop:
    """The stop of one daemon, begun by a signal."""

    def __init__(
        self,
        *,
        ownership: Ownership,
        presence: Presence,
        front_port: HttpPort,
        relay: Relay,
        members: MemberTable,
        live: LiveSettings,
        log: DecisionLog,
    ) -> None:
        self._ownership = ownership
        self._presence = presence
        self._front_port = front_port
        self._relay = relay
        self._members = members
        self._live = live
        self._log = log
        self._last_ms: int | None = None

    @property
    def under_way(self) -> int:
        """What callers, here and at other daemons, still wait for."""
        return self._front_port.active_requests + self._relay.serving

    def leaves_time_until(self, until_ms: int) -> bool:
        """Whether a call with this time limit, by the steady clock, is answered before the end.

        Callers use the connections that they have until they are closed; what is taken on one of
        them without the time for it would be cut off after it ran.
        """
        return self._last_ms is None or until_ms + ANSWER_MARGIN_MS <= self._last_ms

    def begin(self) -> bool:
        """Takes no new callers from now on; returns whether it had not begun before."""
        if self._last_ms is not None:
            return False
        grace_ms = int(1_000 * self._live.current.stop_grace_s)
        self._last_ms = now_ms() + grace_ms - STOP_MARGIN_MS
        self._presence.draining = True
        self._front_port.draining = True
        self._log.write_always("stopping", under_way=self._front_port.active_requests)
        self._presence.announce()
        return True

    async def drain(self) -> None:
        """Returns when nothing is under way any more, or the time for the stop is over."""
        kept_ms = now_ms() + ADDRESS_KEPT_FACTOR * self._live.current.addresses_valid_ms
        await self._ownership.leave()
        self._presence.announce_departure()
        await self._until_idle(kept_ms)
        self._front_port.stop()
        await self._until_idle(now_ms())
        await self._front_port.cancel_requests()

    async def _until_idle(self, not_before_ms: int) -> None:
        """Waits for a time, and until nothing is under way, but not beyond the end of the stop."""
        assert self._last_ms is not None
        while now_ms() < self._last_ms:
            if now_ms() >= not_before_ms and self._is_done():
                await _read_what_waits()
                if self._is_done():
                    return
            await asyncio.sleep(CHECK_S)

    def _is_done(self) -> bool:
        """Whether nobody waits, and records of turns need this daemon no more."""
        if self.under_way or self._relay.settling or self._ownership.is_writing:
            return False
        # A partition was taken over from a daemon that stops too, and nobody has it now: turns that
        # are under way there can be kept only here.
        lately_ms = now_ms() - int(1_000 * self._live.current.stop_grace_s)
        return not (self._ownership.writes_since(lately_ms) and self._others_stop())

    def _others_stop(self) -> bool:
        at_ms = now_ms()
        return any(
            self._members.is_alive(one.member_id, at_ms)
            and self._members.is_draining(one.member_id)
            for one in self._members.others
        )


async def _read_what_waits() -> None:
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)
