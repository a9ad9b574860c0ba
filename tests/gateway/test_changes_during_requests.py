"""Planned changes neither end requests in flight nor close their connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import connect
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import make_configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.client import KeptConnection
    from tests.support.client import Reply

PROGRAMS = ("p1", "p2", "p3", "p4")


def _lower_limits(cluster: GatewayCluster) -> None:
    limits = {"max_header_bytes": 300, "max_body_bytes": 4, "header_timeout_ms": 50}
    cluster.configure(2, limits={**limits, "idle_timeout_ms": 50})


def _lower_timeouts(cluster: GatewayCluster) -> None:
    cluster.configure(2, timeout_ms=300, max_attempts=1, retention_s=1.0)


def _require_keys(cluster: GatewayCluster) -> None:
    cluster.configure(2, accounts=[{"name": "x", "api_keys": ["k"], "rate_per_s": 0.1, "burst": 1}])


def _remove_routes_and_services(cluster: GatewayCluster) -> None:
    body = msgspec.json.decode(make_configuration(2))
    body["routes"], body["services"] = [], []
    cluster.state.put("keyed.op", "config", msgspec.json.encode(body))


def _move_routes(cluster: GatewayCluster) -> None:
    cluster.configure(2, service="plain", retain_context=False)


def _truncate_topics(cluster: GatewayCluster) -> None:
    cluster.state.forget_history("keyed.op")
    cluster.state.forget_history("keyed.servers")
    cluster.configure(2)


def _drain_engines(cluster: GatewayCluster) -> None:
    for backend_id, service in (("e1", "model"), ("e2", "model"), ("s1", "plain")):
        cluster.write_backend_entry(backend_id, service, state="draining")
    cluster.configure(2)


def _remove_engines(cluster: GatewayCluster) -> None:
    for engine in cluster.engines.values():
        cluster.state.put("keyed.servers", engine.backend_id, None)
    cluster.configure(2)


def _reload_settings(cluster: GatewayCluster) -> None:
    for node in cluster.nodes.values():
        node.daemon._live_settings.reload()
    cluster.configure(2)


CHANGES: list[Callable[[GatewayCluster], None]] = [
    _lower_limits,
    _lower_timeouts,
    _require_keys,
    _remove_routes_and_services,
    _move_routes,
    _truncate_topics,
    _drain_engines,
    _remove_engines,
    _reload_settings,
]


async def _send(connection: KeptConnection, path: str, call_id: str) -> Reply:
    headers = {
        "host": HOST_NAME,
        "request-id": call_id,
        "deadline-ms": "3000",
        "program-id": call_id,
        "token-usage": "5,300",
    }
    return await connection.fetch("POST", path, headers=headers, body=b"asks")


@pytest.mark.parametrize("change", CHANGES, ids=[one.__name__.strip("_") for one in CHANGES])
async def test_no_request_in_flight_is_ended_by_a_change(
    change: Callable[[GatewayCluster], None],
) -> None:
    async with GatewayCluster(2) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.events, engine.knobs.gap_ms = 6, 100
        cluster.engines["s1"].knobs.gap_ms = 600
        connections, requests = [], []
        for node in cluster.nodes.values():
            for path in ("/stream/x", "/non_idempotent/x"):
                for name in PROGRAMS:
                    connection = await connect(node.address)
                    # A first request, so that the next one is sent on a reused connection.
                    assert (await _send(connection, "/none", "x")).status == 404
                    connections.append(connection)
                    call_id = f"{node.settings.member_id}{path}{name}"
                    requests.append(asyncio.create_task(_send(connection, path, call_id)))
        await cluster.until(lambda: len(cluster.all_runs()) == len(requests))
        change(cluster)
        await cluster.until(
            lambda: all(node.daemon._routes.version == 2 for node in cluster.nodes.values())
        )
        replies = await asyncio.gather(*requests)
        assert [reply.status for reply in replies] == [200] * len(requests)
        assert all(connection.usable for connection in connections)
