"""Real daemons whose configuration changes while callers keep their connections."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.soak.deployment import SoakDeployment
from tests.support.client import connect
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import make_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.support.client import KeptConnection

# The platform's bound from the acknowledgement of a version to the requests that it holds for.
APPLY_S = 2.0
# Of daemons that stand still, well beyond `APPLY_S`.
STALL_S = 3.0
# For requests to arrive at hosts whose daemons don't run.
ARRIVAL_S = 0.1
CONNECTIONS = 12
LONG_HEADER = {"x-context": "c" * 6_000}
LONG_BODY = b"b" * 6_000
SMALL, LARGE = 2_048, 16_384
ADDED_PATH = "/added/"


def _configuration(version: int, limit_bytes: int, *, adds_route: bool) -> bytes:
    limits = {
        "max_header_bytes": limit_bytes,
        "max_body_bytes": limit_bytes,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    body = make_configuration(version, plain_limit_ms=ROUTE_LIMIT_MS, limits=limits)
    fields: dict[str, Any] = msgspec.json.decode(body)
    if adds_route:
        plain = next(one for one in fields["routes"] if one["name"] == "idempotent")
        fields["routes"].append({**plain, "name": "added", "path_prefix": ADDED_PATH})
    return msgspec.json.encode(fields)


NARROW = _configuration(2, SMALL, adds_route=False)
WIDE = _configuration(3, LARGE, adds_route=True)
NARROW_AGAIN = _configuration(4, SMALL, adds_route=False)


async def _status(
    connection: KeptConnection,
    call_id: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> int:
    fields = {"host": HOST_NAME, "request-id": call_id, "deadline-ms": str(ROUTE_LIMIT_MS)}
    reply = await connection.fetch("POST", path, headers=fields | (headers or {}), body=body)
    return reply.status


async def _ask_all(connections: list[KeptConnection], round_name: str) -> list[int]:
    """Returns the statuses of requests that only `WIDE` allows; each asks for one thing of it."""
    requests: list[tuple[str, dict[str, str], bytes]] = [
        ("/idempotent/x", LONG_HEADER, b""),
        ("/idempotent/x", {}, LONG_BODY),
        (ADDED_PATH + "x", {}, b""),
    ]
    asking = []
    for number, connection in enumerate(connections):
        path, headers, body = requests[number // 3 % 3]
        call_id = f"{round_name}-{number}"
        asking.append(_status(connection, call_id, path, headers=headers, body=body))
    return await asyncio.gather(*asking)


async def _open(deployment: SoakDeployment) -> list[KeptConnection]:
    connections = [
        await connect(deployment.pick_daemon(number).address) for number in range(CONNECTIONS)
    ]
    for number, connection in enumerate(connections):
        assert await _status(connection, f"first-{number}", "/idempotent/x") == 200
    return connections


@contextlib.asynccontextmanager
async def _calm(_: SoakDeployment) -> AsyncIterator[None]:
    yield


@contextlib.asynccontextmanager
async def _silent_store_connections(deployment: SoakDeployment) -> AsyncIterator[None]:
    for daemon in deployment.daemons:
        daemon.way_to_store.silence()
    yield


@contextlib.asynccontextmanager
async def _slow_store(deployment: SoakDeployment) -> AsyncIterator[None]:
    for daemon in deployment.daemons:
        daemon.store.knobs.delay_ms = 200
    yield
    for daemon in deployment.daemons:
        daemon.store.knobs.delay_ms = 0


CONDITIONS = {
    "calm": _calm,
    "silent_store_connections": _silent_store_connections,
    "slow_store": _slow_store,
}


@pytest.mark.parametrize("condition", CONDITIONS)
async def test_a_version_is_in_force_in_time_on_kept_connections(
    condition: str, tmp_path: Path
) -> None:
    """Guards against requests that are handled as only an older version allows."""
    async with SoakDeployment(tmp_path, 3) as deployment:
        deployment.configure(NARROW)
        await asyncio.sleep(0.2)
        connections = await _open(deployment)
        async with CONDITIONS[condition](deployment):
            deployment.configure(WIDE)
            await asyncio.sleep(APPLY_S)
            widened = await _ask_all(connections, "wide")
        assert widened == [200] * CONNECTIONS
        async with CONDITIONS[condition](deployment):
            deployment.configure(NARROW_AGAIN)
            await asyncio.sleep(APPLY_S)
            narrowed = await _ask_all(connections, "narrow")
        assert narrowed == [431, 431, 431, 413, 413, 413, 404, 404, 404, 431, 431, 431]
        for connection in connections:
            connection.close()


async def test_daemons_that_stood_still_take_requests_by_the_newest_version(
    tmp_path: Path,
) -> None:
    """Guards against requests that wait at a daemon and are read before the version they need."""
    async with SoakDeployment(tmp_path, 3) as deployment:
        deployment.configure(NARROW)
        await asyncio.sleep(0.2)
        connections = await _open(deployment)
        for daemon in deployment.daemons:
            daemon.signal(signal.SIGSTOP)
        deployment.configure(WIDE)
        await asyncio.sleep(STALL_S)
        asking = asyncio.create_task(_ask_all(connections, "wide"))
        await asyncio.sleep(ARRIVAL_S)
        for daemon in deployment.daemons:
            daemon.signal(signal.SIGCONT)
        assert await asking == [200] * CONNECTIONS
        for connection in connections:
            connection.close()
