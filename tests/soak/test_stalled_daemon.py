"""A real daemon that stalls while turns pass between it and other daemons."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

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


@pytest.mark.parametrize("entries", [(1, 2), (0,)], ids=["owner", "entry"])
async def test_no_turn_is_cut_when_a_daemon_stalls_for_a_moment(
    entries: tuple[int, ...], tmp_path: Path
) -> None:
    """The others broke off their links to it, and it broke off its own when it went on."""
    async with SoakDeployment(tmp_path, 3) as deployment:
        for engine in deployment.engines.values():
            engine.knobs.gap_ms = 100
            engine.knobs.events = 15
        calling = []
        for number in range(TURNS):
            address = deployment.daemons[entries[number % len(entries)]].address
            calling.append(asyncio.create_task(_outcome(address, f"t{number}")))
            await asyncio.sleep(SEND_INTERVAL_S)
        deployment.daemons[0].signal(signal.SIGSTOP)
        await asyncio.sleep(STALL_S)
        deployment.daemons[0].signal(signal.SIGCONT)
        outcomes = await asyncio.gather(*calling)
    assert outcomes == ["whole"] * TURNS
