"""Limits of a new configuration hold on the connections that callers have open."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.callers import caller_limits
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import connect
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    from tests.support.client import KeptConnection

LONG_HEADER = {"x-context": "c" * 6_000}
LONG_BODY = b"b" * 6_000
SMALL, LARGE = 2_048, 16_384


async def _call(
    connection: KeptConnection, *, headers: dict[str, str] | None = None, body: bytes = b""
) -> int:
    fields = {"host": HOST_NAME, "request-id": "r", "deadline-ms": "1000", **(headers or {})}
    reply = await connection.fetch("POST", "/idempotent/x", headers=fields, body=body)
    return reply.status


async def _change(cluster: GatewayCluster, version: int, name: str, value: int) -> None:
    cluster.configure(version, limits={name: value})
    daemon = cluster.nodes["a"].daemon
    await cluster.until(lambda: daemon._routes.version == version)


@pytest.mark.parametrize(
    ("limit", "headers", "body", "refusal"),
    [
        ("max_header_bytes", LONG_HEADER, b"", 431),
        ("max_body_bytes", {}, LONG_BODY, 413),
    ],
)
@pytest.mark.parametrize("grows", [True, False])
async def test_sizes_are_those_in_force_on_a_kept_connection(
    limit: str, headers: dict[str, str], body: bytes, refusal: int, *, grows: bool
) -> None:
    """Guards against limits that a connection keeps from the configuration it was opened under."""
    before, after = (SMALL, LARGE) if grows else (LARGE, SMALL)
    async with GatewayCluster(1) as cluster:
        await _change(cluster, 2, limit, before)
        connection = await connect(cluster.nodes["a"].address)
        assert await _call(connection) == 200
        await _change(cluster, 3, limit, after)
        status = await _call(connection, headers=headers, body=body)
        assert status == (200 if grows else refusal)
        connection.close()


async def test_a_body_that_was_admitted_is_not_refused_by_a_smaller_limit() -> None:
    """Guards against a request that was proper when it was sent and is refused half-way."""
    async with GatewayCluster(1) as cluster:
        await _change(cluster, 2, "max_body_bytes", LARGE)
        host, port = cluster.nodes["a"].address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = f"host: {HOST_NAME}\r\nrequest-id: r\r\ndeadline-ms: 1000\r\n"
        framing = f"content-length: {len(LONG_BODY)}\r\n\r\n"
        writer.write(f"POST /idempotent/x HTTP/1.1\r\n{fields}{framing}".encode() + LONG_BODY[:9])
        port_of_callers = cluster.nodes["a"].daemon._caller_port
        await cluster.until(lambda: port_of_callers.active_requests)
        await _change(cluster, 3, "max_body_bytes", SMALL)
        writer.write(LONG_BODY[9:])
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        writer.close()


@pytest.fixture
def _no_margins(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_limits, "IDLE_MARGIN_MS", 0)
    monkeypatch.setattr(caller_limits, "HEAD_MARGIN_MS", 0)


@pytest.mark.usefixtures("_no_margins")
async def test_a_longer_idle_time_holds_for_a_connection_that_is_idle() -> None:
    """Guards against closing connections that callers may use again by the new limit."""
    async with GatewayCluster(1) as cluster:
        await _change(cluster, 2, "idle_timeout_ms", 500)
        connection = await connect(cluster.nodes["a"].address)
        assert await _call(connection) == 200
        await _change(cluster, 3, "idle_timeout_ms", 60_000)
        await asyncio.sleep(1.0)
        assert await _call(connection) == 200
        connection.close()


@pytest.mark.usefixtures("_no_margins")
@pytest.mark.parametrize(
    ("limit", "sent", "answer"),
    [("idle_timeout_ms", b"", b""), ("header_timeout_ms", b"GET / HT", b"HTTP/1.1 408 ")],
)
async def test_a_shorter_time_holds_for_what_has_begun(
    limit: str, sent: bytes, answer: bytes
) -> None:
    """Guards against connections that are held for as long as an earlier configuration allowed."""
    async with GatewayCluster(1) as cluster:
        await _change(cluster, 2, limit, 60_000)
        host, port = cluster.nodes["a"].address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        daemon = cluster.nodes["a"].daemon
        await cluster.until(lambda: daemon._caller_port.connection_count == 1)
        await _change(cluster, 3, limit, 50)
        async with asyncio.timeout(10):
            assert (await reader.read(len(answer) or 1)) == answer
        writer.close()
