"""Planned stops of real daemons, before callers that keep their connections."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.soak.deployment import SoakDeployment
from tests.support.client import ConnectionLostError
from tests.support.client import connect
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    from pathlib import Path

    from tests.support.client import KeptConnection

# A request that crosses the closing of its connection ends sooner after it was sent.
CROSSING_MS = 200
# Three events of a stream take most of a second.
EVENT_GAP_MS = 300
CONNECTIONS = 60
SEND_INTERVAL_S = 0.06
# All turns are under way when the first daemon is told to stop.
OVERLAP_TURNS = 40
OVERLAP_SEND_S = 0.01
OVERLAP_STOP_S = 0.4


class _Lost(NamedTuple):
    call_id: str
    sent_after_ms: int
    waited_ms: int
    ran: bool


async def _send(connection: KeptConnection, path: str, call_id: str) -> ConnectionLostError | None:
    headers = {
        "host": HOST_NAME,
        "request-id": call_id,
        "deadline-ms": str(ROUTE_LIMIT_MS),
        "program-id": call_id,
        "token-usage": "5,30",
    }
    try:
        await connection.fetch("POST", path, headers=headers, body=b"asks")
    except ConnectionLostError as error:
        return error
    return None


@pytest.mark.parametrize("path", ["/stream/x", "/non_idempotent/x"])
async def test_no_request_is_cut_that_comes_late_in_a_planned_stop(
    path: str, tmp_path: Path
) -> None:
    async with SoakDeployment(tmp_path, 3) as deployment:
        for engine in deployment.engines.values():
            engine.knobs.gap_ms = EVENT_GAP_MS
        daemon = deployment.daemons[0]
        connections = [await connect(daemon.address) for _ in range(CONNECTIONS)]
        ending = asyncio.create_task(daemon.end(signal.SIGTERM))
        sending: dict[str, tuple[float, asyncio.Task[ConnectionLostError | None]]] = {}
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number, connection in enumerate(connections):
            if ending.done():
                break
            call_id = f"late-{number}"
            work = asyncio.create_task(_send(connection, path, call_id))
            sending[call_id] = (loop.time() - began_s, work)
            await asyncio.sleep(SEND_INTERVAL_S)
        await ending
        ran = {call_id for call_id, _ in deployment.runs()}
        lost = []
        for call_id, (sent_s, work) in sending.items():
            error = await work
            if error is not None and (call_id in ran or error.waited_ms > CROSSING_MS):
                waited_ms = int(error.waited_ms)
                lost.append(_Lost(call_id, int(sent_s * 1000), waited_ms, call_id in ran))
        for connection in connections:
            connection.close()
    assert lost == []


@pytest.mark.parametrize("seed", range(2))
async def test_no_turn_that_ran_is_cut_when_all_daemons_stop_one_after_the_other(
    seed: int, tmp_path: Path
) -> None:
    chance = random.Random(seed)
    async with SoakDeployment(tmp_path, 4) as deployment:
        for engine in deployment.engines.values():
            engine.knobs.gap_ms = EVENT_GAP_MS
        answers: dict[str, asyncio.Task[ConnectionLostError | None]] = {}
        connections = []
        for number in range(OVERLAP_TURNS):
            connection = await connect(chance.choice(deployment.daemons).address)
            connections.append(connection)
            call_id = f"turn-{number}"
            work = asyncio.create_task(_send(connection, "/stream/x", call_id))
            answers[call_id] = work
            await asyncio.sleep(OVERLAP_SEND_S)
        ending = []
        for daemon in deployment.daemons:
            ending.append(asyncio.create_task(daemon.end(signal.SIGTERM)))
            await asyncio.sleep(chance.uniform(0, OVERLAP_STOP_S))
        await asyncio.gather(*ending)
        ran = {call_id for call_id, _ in deployment.runs()}
        cut = {call_id for call_id, work in answers.items() if await work is not None}
        for connection in connections:
            connection.close()
    assert len(ran) > OVERLAP_TURNS / 2
    assert sorted(ran & cut) == []
