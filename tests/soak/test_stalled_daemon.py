"""A real daemon that stalls while it runs turns of callers of other daemons."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.soak.deployment import SoakDeployment
from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    from pathlib import Path

# With the pause between two heartbeats before it, longer than a daemon may be silent.
STALL_S = 0.8
TURNS = 40
SEND_INTERVAL_S = 0.02


async def _outcome(address: str, call_id: str) -> str:
    headers = {
        "host": HOST_NAME,
        "request-id": call_id,
        "deadline-ms": str(ROUTE_LIMIT_MS),
        "program-id": call_id,
        "token-usage": "5,30",
    }
    try:
        reply = await fetch(address, "POST", "/stream/x", headers=headers, body=b"asks")
    except ConnectionLostError:
        return "cut"
    return "whole" if reply.status == 200 else str(reply.json()["error"])


async def test_no_turn_is_cut_whose_owner_stalls_for_a_moment(tmp_path: Path) -> None:
    """Its links were broken off after 0.7 s, and each turn on them was cut or lost."""
    async with SoakDeployment(tmp_path, 3) as deployment:
        for engine in deployment.engines.values():
            engine.knobs.gap_ms = 100
            engine.knobs.events = 15
        calling = []
        for number in range(TURNS):
            address = deployment.daemons[1 + number % 2].address
            calling.append(asyncio.create_task(_outcome(address, f"t{number}")))
            await asyncio.sleep(SEND_INTERVAL_S)
        deployment.daemons[0].signal(signal.SIGSTOP)
        await asyncio.sleep(STALL_S)
        deployment.daemons[0].signal(signal.SIGCONT)
        outcomes = await asyncio.gather(*calling)
    assert outcomes == ["whole"] * TURNS
