"""A planned stop: callers and programs go elsewhere first, and what is under way ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms

if TYPE_CHECKING:
    from quincespool.gateway.callers.http_port import HttpPort
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.live_settings import LiveSettings
    from quincespool.gateway.members.presence import Presence
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.relay import Relay

# Callers keep an address for up to three times as long as the directory says.
ADDRESS_KEPT_FACTOR = 3
# Kept of the stop's time for what is still under way after the callers should be gone.
STOP_MARGIN_MS = 700
CHECK_S = 0.05


class PlannedStop:
    """The stop of one daemon, begun by a signal."""

    def __init__(
        self,
        *,
        ownership: Ownership,
        presence: Presence,
        front_port: HttpPort,
        relay: Relay,
        live: LiveSettings,
        log: DecisionLog,
    ) -> None:
        self._ownership = ownership
        self._presence = presence
        self._front_port = front_port
        self._relay = relay
        self._live = live
        self._log = log

    @property
    def under_way(self) -> int:
        """What callers, here and at other daemons, still wait for."""
        return self._front_port.busy + self._relay.serving

    def begin(self) -> bool:
        """Takes no new callers from now on; returns whether it had not begun before."""
        if self._presence.draining:
            return False
        self._presence.draining = True
        self._front_port.draining = True
        self._log.write_always("stopping", under_way=self._front_port.busy)
        self._presence.announce()
        return True

    async def drain(self) -> None:
        """Returns when nothing is under way any more, or the time for the stop is over."""
        began_ms = now_ms()
        await self._ownership.leave()
        self._presence.announce()
        kept_ms = ADDRESS_KEPT_FACTOR * self._live.current.addresses_valid_ms
        last_ms = began_ms + self._live.current.stop_grace_ms - STOP_MARGIN_MS
        while now_ms() < last_ms:
            if now_ms() - began_ms > kept_ms and not self.under_way:
                return
            await asyncio.sleep(CHECK_S)
