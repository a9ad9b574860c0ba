"""Tests of input that is malformed, too large, ambiguous or too slow."""

from __future__ import annotations

import asyncio
import contextlib
import re

import pytest

from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.platform_entries import HOST_NAME

LIMITS = {
    "max_header_bytes": 4_096,
    "max_body_bytes": 10_000,
    "header_timeout_ms": 100,
    "idle_timeout_ms": 15_000,
}
START = f"POST /non_idempotent/x HTTP/1.1\r\nhost: {HOST_NAME}\r\nrequest-id: r1\r\n".encode()
HIDDEN = f"POST /idempotent/y HTTP/1.1\r\nhost: {HOST_NAME}\r\nrequest-id: r2\r\n\r\n".encode()
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"

BAD_INPUT = {
    "no HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", 400),
    "no version": (b"GET /\r\n\r\n", 400),
    "no host": (b"POST /idempotent/x HTTP/1.1\r\nrequest-id: r1\r\n\r\n", 400),
    "a space before the colon": (START + b"content-length : 0\r\n\r\n", 400),
    "a bare control character": (START + b"x: a\x00b\r\n\r\n", 400),
    "two lengths": (START + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd", 400),
    "a negative length": (START + b"content-length: -1\r\n\r\n", 400),
    "a large head": (START + b"x: " + b"a" * 5_000 + b"\r\n\r\n", 431),
    "a large body by its length": (START + b"content-length: 10001\r\n\r\n", 413),
    "a large body in chunks": (START + b"transfer-encoding: chunked\r\n\r\n" + CHUNK, 413),
    "a length and chunks": (
        START + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" + HIDDEN,
        400,
    ),
    "an unknown coding": (START + b"transfer-encoding: gzip, chunked\r\n\r\n" + HIDDEN, 501),
}


async def _send(address: str, data: bytes) -> bytes:
    """Sends bytes and returns the data received until the daemon closes the connection."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize("what", BAD_INPUT)
async def test_bad_input_is_rejected_and_not_forwarded(what: str) -> None:
    data, status = BAD_INPUT[what]
    async with GatewayCluster(1) as cluster:
        cluster.configure(2, limits=LIMITS)
        await cluster.until(lambda: cluster.nodes["a"].daemon._routes.version == 2)
        answer = await _send(cluster.nodes["a"].address, data)

        assert answer.startswith(f"HTTP/1.1 {status} ".encode())
        assert len(re.findall(rb"HTTP/1.1 \d", answer)) == 1
        assert cluster.engines["s1"].runs == []
        assert (await cluster.call("a", "idempotent")).status == 200


async def test_a_slow_head_times_out_and_is_not_forwarded() -> None:
    """Guards against a daemon running out of connections although it has few requests.

    Callers send a byte of their head now and then. The time limit for a head must not be that of
    idle connections, which is a hundred times as long.
    """
    async with GatewayCluster(1) as cluster:
        cluster.configure(2, limits=LIMITS)
        await cluster.until(lambda: cluster.nodes["a"].daemon._routes.version == 2)
        host, _, port = cluster.nodes["a"].address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        trickle = asyncio.create_task(_trickle(writer, START))
        async with asyncio.timeout(2):
            answer = await reader.read()
        trickle.cancel()
        writer.close()

        assert answer.startswith(b"HTTP/1.1 408 ")
        assert cluster.engines["s1"].runs == []


async def _trickle(writer: asyncio.StreamWriter, data: bytes) -> None:
    with contextlib.suppress(ConnectionError):
        for position in range(len(data)):
            writer.write(data[position : position + 1])
            await asyncio.sleep(0.05)
