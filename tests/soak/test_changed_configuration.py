"""Real daemons whose configuration changes while callers keep their connections."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import pytest

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.soak.deployment import SoakDeployment
from tests.support.client import connect
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import make_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from pathlib import Path

    from tests.support.client import KeptConnection

# The platform's bound from the acknowledgement of a version to the requests that it holds for.
APPLY_S = 2.0
# For a first version to reach daemons that nothing disturbs.
NARROW_ADOPTED_S = 0.2
# Of daemons that stand still, well beyond `APPLY_S`.
STALL_S = 3.0
# For requests to arrive at hosts whose daemons don't run.
ARRIVAL_S = 0.1
CONNECTIONS = 12
LONG_HEADER = {"x-context": "c" * 6_000}
LONG_BODY = b"b" * 6_000
# Between the two parts of a head: longer than `NARROW` allows, with the daemon's margin.
HEAD_PAUSE_S = 1.5
# Longer than a connection may be idle by `NARROW`, with the daemon's margin.
IDLE_S = 4.5
SMALL_HOST = {"memory_mb": 64, "max_descriptors": 256}
ADDED_PATH = "/added/"


def _configuration(version: int, *, is_wide: bool) -> bytes:
    limits = {
        "max_header_bytes": 16_384 if is_wide else 2_048,
        "max_body_bytes": 16_384 if is_wide else 2_048,
        "header_timeout_ms": 6_000 if is_wide else 100,
        "idle_timeout_ms": 15_000 if is_wide else 1_500,
    }
    body = make_configuration(version, plain_limit_ms=ROUTE_LIMIT_MS, limits=limits)
    fields: dict[str, Any] = msgspec.json.decode(body)
    if is_wide:
        plain = next(one for one in fields["routes"] if one["name"] == "idempotent")
        fields["routes"].append({**plain, "name": "added", "path_prefix": ADDED_PATH})
    return msgspec.json.encode(fields)


NARROW = _configuration(2, is_wide=False)
WIDE = _configuration(3, is_wide=True)
NARROW_AGAIN = _configuration(4, is_wide=False)


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


@contextlib.asynccontextmanager
async def _slow_daemons(deployment: SoakDeployment) -> AsyncIterator[None]:
    """Lets each daemon run for a fifth of the time."""

    async def slow_down() -> None:
        while True:
            for number, share_s in ((signal.SIGSTOP, 0.08), (signal.SIGCONT, 0.02)):
                for daemon in deployment.daemons:
                    daemon.signal(number)
                await asyncio.sleep(share_s)

    slowing = asyncio.create_task(slow_down())
    yield
    slowing.cancel()
    for daemon in deployment.daemons:
        daemon.signal(signal.SIGCONT)


class _Condition(NamedTuple):
    disturb: Callable[[SoakDeployment], contextlib.AbstractAsyncContextManager[None]]
    settings: dict[str, int] | None = None


CONDITIONS = {
    "calm": _Condition(_calm),
    "silent_store_connections": _Condition(_silent_store_connections),
    "slow_store": _Condition(_slow_store),
    "slow_daemons": _Condition(_slow_daemons),
    "small_hosts": _Condition(_calm, SMALL_HOST),
}


@contextlib.asynccontextmanager
async def _deployment(
    folder: Path, condition: str
) -> AsyncIterator[tuple[SoakDeployment, list[KeptConnection]]]:
    """Starts daemons with connections that were opened, and used, under `NARROW`."""
    settings = CONDITIONS[condition].settings
    async with SoakDeployment(folder, 3, settings=settings) as deployment:
        deployment.configure(NARROW)
        await asyncio.sleep(NARROW_ADOPTED_S)
        connections = await _open(deployment)
        yield deployment, connections
        for connection in connections:
            connection.close()


async def _change(deployment: SoakDeployment, condition: str, version: bytes) -> None:
    """Writes a version, and waits until it must hold."""
    async with CONDITIONS[condition].disturb(deployment):
        deployment.configure(version)
        await asyncio.sleep(APPLY_S)


@pytest.mark.parametrize("condition", CONDITIONS)
async def test_sizes_and_routes_are_those_in_force_on_kept_connections(
    condition: str, tmp_path: Path
) -> None:
    """Guards against requests that are handled as only an older version allows."""
    async with _deployment(tmp_path, condition) as (deployment, connections):
        await _change(deployment, condition, WIDE)
        assert await _ask_all(connections, "wide") == [200] * CONNECTIONS
        await _change(deployment, condition, NARROW_AGAIN)
        narrowed = await _ask_all(connections, "narrow")
        assert narrowed == [431, 431, 431, 413, 413, 413, 404, 404, 404, 431, 431, 431]


@pytest.mark.parametrize("condition", CONDITIONS)
async def test_times_are_those_in_force_on_kept_connections(condition: str, tmp_path: Path) -> None:
    """Guards against connections that end by the times of an older version, or outlast them."""
    async with _deployment(tmp_path, condition) as (deployment, connections):
        await _change(deployment, condition, WIDE)
        address = deployment.daemons[0].address
        assert (await _answer_to_slow_head(address)).startswith(b"HTTP/1.1 200 ")
        await asyncio.sleep(IDLE_S - APPLY_S - HEAD_PAUSE_S)
        asking = [_status(one, f"idle-{n}", "/idempotent/x") for n, one in enumerate(connections)]
        assert await asyncio.gather(*asking) == [200] * CONNECTIONS
        await _change(deployment, condition, NARROW_AGAIN)
        assert (await _answer_to_slow_head(address)).startswith(b"HTTP/1.1 408 ")
        await asyncio.sleep(IDLE_S - APPLY_S - HEAD_PAUSE_S)
        assert not any(connection.usable for connection in connections)


async def _answer_to_slow_head(address: str) -> bytes:
    """Returns the beginning of the answer to a request whose head comes in two parts."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = f"host: {HOST_NAME}\r\nrequest-id: slow\r\ndeadline-ms: {ROUTE_LIMIT_MS}\r\n\r\n"
    writer.write(b"GET /idempotent/x HTTP/1.1\r\n")
    await asyncio.sleep(HEAD_PAUSE_S)
    writer.write(fields.encode())
    answer = await reader.read(1_024)
    writer.close()
    return answer


async def test_daemons_that_stood_still_take_requests_by_the_newest_version(
    tmp_path: Path,
) -> None:
    """Guards against requests that wait at a daemon and are read before the version they need."""
    async with _deployment(tmp_path, "calm") as (deployment, connections):
        for daemon in deployment.daemons:
            daemon.signal(signal.SIGSTOP)
        deployment.configure(WIDE)
        await asyncio.sleep(STALL_S)
        asking = asyncio.create_task(_ask_all(connections, "wide"))
        await asyncio.sleep(ARRIVAL_S)
        for daemon in deployment.daemons:
            daemon.signal(signal.SIGCONT)
        assert await asking == [200] * CONNECTIONS
