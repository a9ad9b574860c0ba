"""Crowds that a gateway daemon on a small host has to withstand, whatever it holds for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.abuse.crowd import Flood
from tests.abuse.crowd import once
from tests.abuse.crowd import repeated
from tests.abuse.deployment import SmallHostDeployment
from tests.abuse.deployment import call_headers
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from pathlib import Path

MEGABYTE = 1_000_000
# A little less than the most that a body may have.
BODY_BYTES = 3_900_000
SLOW_ANSWER_MS = 60_000


def request_head(method: str, path: str, headers: dict[str, str]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def get(path: str, **headers: str) -> bytes:
    fields = {"host": HOST_NAME} | {name.replace("_", "-"): text for name, text in headers.items()}
    return request_head("GET", path, fields)


def post(path: str, call_id: str, body_bytes: int, *, sent_bytes: int | None = None) -> bytes:
    """Returns a call, or its beginning if less is sent than the body has."""
    headers = call_headers(call_id) | {"content-length": str(body_bytes)}
    return request_head("POST", path, headers) + bytes(
        body_bytes if sent_bytes is None else sent_bytes
    )


def one_call_each(path: str, body_bytes: int) -> Callable[[int], Iterable[bytes]]:
    return lambda number: [post(path, f"crowd{number}", body_bytes)]


UNREAD = {
    "without_usual_headers": ("front", get("/stream/x")),
    "ready": ("ready", get("/ready")),
    "no_route": ("front", get("/nowhere/x", request_id="r")),
    "unreadable_path": ("ready", get("/nowhere")),
    "directory": ("directory", get("/resolve?name=callers.example&zone=z")),
    "metrics": ("metrics", get("/metrics")),
    "state": ("metrics", get("/state")),
    "calls": ("front", get("/idempotent/x", request_id="r", deadline_ms="1000")),
}


@pytest.mark.parametrize("case", UNREAD)
async def test_requests_sent_ahead_whose_answers_are_unread(case: str, tmp_path: Path) -> None:
    """Guards against requests and answers of callers that don't read filling the memory."""
    port, request = UNREAD[case]
    async with SmallHostDeployment(tmp_path) as deployment:
        ports = deployment.daemon.ports._asdict()
        await deployment.withstand(Flood(ports[port], 20, 8 * MEGABYTE, repeated(request)))


async def test_requests_sent_ahead_at_all_ports(tmp_path: Path) -> None:
    """Guards against bounds that hold for each port or connection, but not for all together."""
    async with SmallHostDeployment(tmp_path) as deployment:
        ports = deployment.daemon.ports
        await deployment.withstand(
            Flood(ports.front, 80, MEGABYTE, repeated(get("/stream/x"))),
            Flood(ports.ready, 80, MEGABYTE, repeated(get("/nowhere"))),
            Flood(ports.directory, 80, MEGABYTE, repeated(get("/resolve?zone=z"))),
            Flood(ports.metrics, 80, MEGABYTE, repeated(get("/metrics"))),
        )


async def test_requests_sent_ahead_of_a_slow_answer(tmp_path: Path) -> None:
    """Guards against requests that wait for an earlier one's answer filling the memory."""

    def pieces(number: int) -> Iterable[bytes]:
        yield post("/non_idempotent/x", f"crowd{number}", 0)
        yield from repeated(get("/stream/x"))(number)

    async with SmallHostDeployment(tmp_path) as deployment:
        deployment.plain.knobs.gap_ms = SLOW_ANSWER_MS
        await deployment.withstand(Flood(deployment.daemon.ports.front, 200, MEGABYTE, pieces))


async def test_unfinished_bodies_at_all_ports(tmp_path: Path) -> None:
    """Guards against the memory of bodies being bounded at each port, but not for all together."""
    async with SmallHostDeployment(tmp_path) as deployment:
        start = post("/non_idempotent/x", "crowd", BODY_BYTES + 1, sent_bytes=BODY_BYTES)
        ports = deployment.daemon.ports
        floods = [
            Flood(port, 12, 2 * BODY_BYTES, once(start))
            for port in (ports.front, ports.ready, ports.directory, ports.metrics)
        ]
        await deployment.withstand(*floods)


async def test_bodies_of_calls_under_way(tmp_path: Path) -> None:
    """Guards against bodies that no longer count once their calls wait for a backend server."""
    async with SmallHostDeployment(tmp_path) as deployment:
        deployment.plain.knobs.gap_ms = SLOW_ANSWER_MS
        pieces = one_call_each("/non_idempotent/x", BODY_BYTES)
        await deployment.withstand(Flood(deployment.daemon.ports.front, 40, 2 * BODY_BYTES, pieces))


async def test_bodies_of_many_small_chunks(tmp_path: Path) -> None:
    """Guards against chunks whose bookkeeping takes many times the memory of their data."""
    headers = call_headers("crowd") | {"transfer-encoding": "chunked"}
    start = request_head("POST", "/non_idempotent/x", headers)
    async with SmallHostDeployment(tmp_path) as deployment:
        pieces = once(start + 200_000 * b"2\r\nxx\r\n")
        await deployment.withstand(Flood(deployment.daemon.ports.front, 8, 2 * MEGABYTE, pieces))


async def test_heads_of_many_small_headers(tmp_path: Path) -> None:
    """Guards against headers that take many times the memory of their text."""
    head = request_head("POST", "/non_idempotent/x", call_headers("crowd")).removesuffix(b"\r\n")
    async with SmallHostDeployment(tmp_path) as deployment:
        deployment.plain.knobs.gap_ms = SLOW_ANSWER_MS
        request = head + 3_000 * b"a:\r\n" + b"\r\n"
        await deployment.withstand(
            Flood(deployment.daemon.ports.front, 100, MEGABYTE, once(request))
        )


async def test_large_answers_that_are_unread(tmp_path: Path) -> None:
    """Guards against whole answers of backend servers that wait for callers to read them."""
    async with SmallHostDeployment(tmp_path) as deployment:
        knobs = deployment.plain.knobs
        knobs.streams_all, knobs.events, knobs.event_bytes, knobs.gap_ms = True, 45, 20_000, 0
        pieces = one_call_each("/non_idempotent/x", 0)
        await deployment.withstand(Flood(deployment.daemon.ports.front, 150, MEGABYTE, pieces))


async def test_large_streams_that_are_unread(tmp_path: Path) -> None:
    """Guards against streams of engines that wait for callers to read them."""

    def pieces(number: int) -> Iterable[bytes]:
        headers = call_headers(f"crowd{number}") | {"token-usage": "5,900", "content-length": "0"}
        yield request_head("POST", "/stream/resumable/x", headers)

    async with SmallHostDeployment(tmp_path) as deployment:
        knobs = deployment.engine.knobs
        knobs.events, knobs.event_bytes, knobs.gap_ms = 45, 20_000, 0
        await deployment.withstand(Flood(deployment.daemon.ports.front, 150, MEGABYTE, pieces))


async def test_histories_of_many_turns(tmp_path: Path) -> None:
    """Guards against the histories that callers have kept filling the memory of their owner."""

    def pieces(number: int) -> Iterable[bytes]:
        for turn in range(20):
            headers = call_headers(f"crowd{number}-{turn}")
            headers |= {"token-usage": "5,30", "content-length": str(MEGABYTE)}
            yield request_head("POST", "/stream/x", headers) + bytes(MEGABYTE)

    async with SmallHostDeployment(tmp_path) as deployment:
        await deployment.withstand(Flood(deployment.daemon.ports.front, 10, 30 * MEGABYTE, pieces))


async def test_idle_connections(tmp_path: Path) -> None:
    """Guards against connections that take all descriptors of the process."""
    async with SmallHostDeployment(tmp_path) as deployment:
        port = deployment.daemon.ports.front
        await deployment.withstand(Flood(port, 1_000, 0, once(b"")))


async def test_idle_connections_at_all_ports(tmp_path: Path) -> None:
    """Guards against limits on connections that hold for each port, but not for all together."""
    async with SmallHostDeployment(tmp_path) as deployment:
        floods = [Flood(port, 250, 0, once(b"")) for port in deployment.daemon.ports]
        await deployment.withstand(*floods)


async def test_connections_of_calls_under_way(tmp_path: Path) -> None:
    """Guards against calls that take a connection to a backend server each, beyond the limit."""
    async with SmallHostDeployment(tmp_path) as deployment:
        deployment.plain.knobs.gap_ms = SLOW_ANSWER_MS
        pieces = one_call_each("/non_idempotent/x", 10)
        await deployment.withstand(Flood(deployment.daemon.ports.front, 400, MEGABYTE, pieces))


async def test_unfinished_messages_at_the_port_of_other_daemons(tmp_path: Path) -> None:
    """Guards against frames that are announced, begun and never finished."""
    async with SmallHostDeployment(tmp_path) as deployment:
        start = (30 * MEGABYTE).to_bytes(4, "big") + bytes(8 * MEGABYTE)
        await deployment.withstand(
            Flood(deployment.daemon.ports.peer, 30, 10 * MEGABYTE, once(start))
        )


async def test_connections_that_are_refused(tmp_path: Path) -> None:
    """Guards against connections that stay open for a while behind a refusal, beyond the limit."""
    async with SmallHostDeployment(tmp_path) as deployment:
        port = deployment.daemon.ports.front
        await deployment.withstand(Flood(port, 1_000, MEGABYTE, once(b"no request\r\n\r\n")))


async def test_unfinished_heads(tmp_path: Path) -> None:
    """Guards against heads that never end taking all descriptors or the memory."""
    start = b"GET /stream/x HTTP/1.1\r\nhost: x\r\nmore: " + bytes(b"x" * 16_000)
    async with SmallHostDeployment(tmp_path) as deployment:
        port = deployment.daemon.ports.front
        await deployment.withstand(Flood(port, 1_000, MEGABYTE, once(start)))


async def test_all_at_once(tmp_path: Path) -> None:
    """Guards against bounds each of which holds by itself, but not beside the others."""
    body = post("/non_idempotent/x", "crowd", BODY_BYTES + 1, sent_bytes=BODY_BYTES)
    async with SmallHostDeployment(tmp_path) as deployment:
        deployment.plain.knobs.gap_ms = SLOW_ANSWER_MS
        ports = deployment.daemon.ports
        await deployment.withstand(
            Flood(ports.front, 20, 4 * MEGABYTE, repeated(get("/stream/x"))),
            Flood(ports.front, 10, 2 * BODY_BYTES, once(body)),
            Flood(ports.front, 20, 2 * BODY_BYTES, one_call_each("/non_idempotent/x", BODY_BYTES)),
            Flood(ports.metrics, 20, 4 * MEGABYTE, repeated(get("/metrics"))),
            Flood(ports.peer, 10, 4 * MEGABYTE, once((30 * MEGABYTE).to_bytes(4, "big") * 10_000)),
            Flood(ports.ready, 500, 0, once(b"")),
        )


async def test_a_single_call_at_the_limits_is_served_in_calm(tmp_path: Path) -> None:
    """Guards against bounds for all callers that turn away one who keeps the limits."""
    async with SmallHostDeployment(tmp_path) as deployment:
        limits = deployment.caller_limits
        headers = call_headers("large") | {"content-length": str(limits["max_body_bytes"])}
        head_bytes = len(request_head("POST", "/non_idempotent/x", headers))
        filler_bytes = limits["max_header_bytes"] - head_bytes - len("filler: \r\n")
        reply = await fetch(
            deployment.daemon.address,
            "POST",
            "/non_idempotent/x",
            headers=headers | {"filler": "x" * filler_bytes},
            body=bytes(limits["max_body_bytes"]),
        )
    assert reply.status == 200
