"""A daemon whose only backend server is in trouble."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import make_backend_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.standins.raw_backend import RawBackend

# Headers of an answer that belongs to the request and has a receipt.
STAMP = b"request-id: {id}\r\nserver-stamp: s\r\n"


@contextlib.asynccontextmanager
async def cluster_before(
    backend: RawBackend, *, daemon_count: int = 1
) -> AsyncIterator[GatewayCluster]:
    """Starts daemons whose only backend server, of both services, is the given one."""
    async with backend, GatewayCluster(daemon_count) as cluster:
        await _replace_backends(cluster, backend.address)
        yield cluster


async def _replace_backends(cluster: GatewayCluster, address: str) -> None:
    for engine in cluster.engines.values():
        cluster.state.put("keyed.servers", engine.backend_id, None)
    for service in ("model", "plain"):
        entry = make_backend_entry(service, address, zone="z")
        cluster.state.put("keyed.servers", f"raw-{service}", entry)
    tables = [node.daemon._backends for node in cluster.nodes.values()]
    await cluster.until(
        lambda: all(set(table.entries) == {"raw-model", "raw-plain"} for table in tables)
    )


async def ask_status(cluster: GatewayCluster, kind: str, *, node: str = "a") -> int:
    """Asks for a turn, a program's tool or a plain call of a kind.

    Returns:
      The status the status that the caller gets, 0 if its connection is closed.
    """
    try:
        if kind == "stream":
            return (await cluster.turn(node, "p", deadline_ms=2_500))[1].status
        if kind == "tool":
            return (await cluster.call(node, "non_idempotent", program_id="p")).status
        return (await cluster.call(node, kind)).status
    except ConnectionLostError:
        return 0
