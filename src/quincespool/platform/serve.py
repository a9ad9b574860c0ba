"""Runs a gateway daemon with the platform's store and codec."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.daemon import GatewayDaemon
from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.decision_log import configure_decision_log
from quincespool.platform import codec
from quincespool.platform.store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.settings import GatewaySettings


async def serve(settings: GatewaySettings, *, load_settings: Callable[[], GatewaySettings]) -> None:
    """Runs the daemon until its graceful shutdown is complete.

    Args:
      settings: Settings at the start.
      load_settings: Reads the settings again when they are to be reloaded.
    """
    configure_decision_log(settings.log_level, settings.member_id, settings.zone)

    def make_store(on_call: Callable[[str, str], None]) -> PlatformStore:
        return PlatformStore(
            address=settings.store_address,
            lease_ms=settings.owner_lease_ms,
            time_limit_ms=settings.store_limit_ms,
            partition_count=settings.store_partitions,
            on_call=on_call,
        )

    log = DecisionLog(asyncio.get_running_loop().time)
    daemon = GatewayDaemon(
        settings, load_settings=load_settings, make_store=make_store, codec=codec, log=log
    )
    await daemon.run()
