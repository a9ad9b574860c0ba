"""Bytes without end of backend servers in trouble, in many answers at once, on a small host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.abuse.crowd import Flood
from tests.abuse.deployment import START_LIMIT_S
from tests.abuse.deployment import SmallHostDeployment
from tests.abuse.deployment import call_headers
from tests.abuse.test_gateway import request_head
from tests.support.client import fetch
from tests.support.platform_entries import make_backend_entry
from tests.support.standins.raw_backend import RawBackend

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

CALLERS = 150
MEGABYTE = 1_000_000
STORE_DELAY_MS = 200
STAMP = b"request-id: {id}\r\nserver-stamp: s\r\n"
EVENTS = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" + STAMP
FILLER = 65_536 * b"x"

ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\nx-more: ", FILLER),
    "interim_answers": (b"", 1_000 * b"HTTP/1.1 102 Processing\r\n\r\n"),
    "event": (EVENTS + b"\r\nid: 1\ndata: ", FILLER),
    "lines": (EVENTS + b"\r\n", 100 * (b": " + 1_000 * b"x" + b"\n")),
    "small_chunks": (
        EVENTS + b"transfer-encoding: chunked\r\n\r\n",
        10_000 * b"1\r\nx\r\n",
    ),
    "refusal": (b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n" + STAMP + b"\r\n", FILLER),
}


def one_turn_each(path: str, number: int) -> Iterable[bytes]:
    headers = call_headers(f"crowd{number}") | {"token-usage": "5,900", "content-length": "0"}
    yield request_head("POST", path, headers)


async def _known_backends(port: int) -> set[str]:
    reply = await fetch(f"127.0.0.1:{port}", "GET", "/state")
    return set(reply.json()["backends"])


async def _withstand(
    deployment: SmallHostDeployment, backend: RawBackend, service: str, path: str
) -> None:
    entry = make_backend_entry(service, backend.address, zone="z")
    deployment.store.state.put("keyed.servers", "troubled", entry)
    ports = deployment.daemon.ports
    async with asyncio.timeout(START_LIMIT_S):
        while "troubled" not in await _known_backends(ports.metrics):
            await asyncio.sleep(0.1)
    await deployment.withstand(
        Flood(ports.front, CALLERS, MEGABYTE, lambda number: one_turn_each(path, number))
    )
    assert backend.sent_bytes


@pytest.mark.parametrize("path", ["/stream/x", "/stream/resumable/x"])
@pytest.mark.parametrize("case", ENDLESS)
async def test_streams_without_end(case: str, path: str, tmp_path: Path) -> None:
    """Guards against what a troubled engine sends, over many turns, filling the memory."""
    start, endless = ENDLESS[case]
    async with (
        SmallHostDeployment(tmp_path) as deployment,
        RawBackend(start, endless=endless) as backend,
    ):
        await _withstand(deployment, backend, "model", path)


async def test_streams_without_end_while_the_store_is_slow(tmp_path: Path) -> None:
    """Guards against pieces of streams that wait for a record of their turns without a bound."""
    start = EVENTS + b"\r\n"
    async with (
        SmallHostDeployment(tmp_path) as deployment,
        RawBackend(start, endless=100 * b"id: 1\ndata: x\n\n") as backend,
    ):
        deployment.store.knobs.delay_ms = STORE_DELAY_MS
        await _withstand(deployment, backend, "model", "/stream/x")


async def test_whole_answers_without_end(tmp_path: Path) -> None:
    """Guards against answers that never become whole filling the memory."""
    async with (
        SmallHostDeployment(tmp_path) as deployment,
        RawBackend(b"HTTP/1.1 200 OK\r\n" + STAMP + b"\r\n", endless=FILLER) as backend,
    ):
        await _withstand(deployment, backend, "plain", "/non_idempotent/x")
