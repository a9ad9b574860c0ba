"""Backend servers that send bytes without end."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway.backends.troubled_cluster import STAMP
from tests.gateway.backends.troubled_cluster import ask_status
from tests.gateway.backends.troubled_cluster import cluster_before
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import make_backend_entry
from tests.support.standins.raw_backend import RawBackend

FILLER = 65_536 * b"x"
# What is accepted, with the buffers of both kernels and what one read takes.
MOST_BYTES = 8_000_000

ENDLESS = {
    "head_line": (b"HTTP/1.1 200 OK\r\nx-more: ", FILLER, 502),
    "head_lines": (b"HTTP/1.1 200 OK\r\n", 1_000 * b"x-more: y\r\n", 502),
    "interim_answers": (b"", 1_000 * b"HTTP/1.1 102 Processing\r\n\r\n", 502),
    "other_answers": (
        b"",
        1_000 * b"HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 2\r\n\r\nhi",
        502,
    ),
    "body_of_another_answer": (b"HTTP/1.1 200 OK\r\nrequest-id: other\r\n\r\n", FILLER, 502),
    "body_of_a_refusal": (
        b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n" + STAMP + b"\r\n",
        FILLER,
        503,
    ),
}


@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
@pytest.mark.parametrize("case", ENDLESS)
async def test_bytes_without_end_before_an_answer(case: str, kind: str) -> None:
    """Guards against reading bytes that are no answer for as long as the call has time."""
    start, endless, status = ENDLESS[case]
    backend = RawBackend(start, endless=endless)
    async with cluster_before(backend) as cluster:
        assert await ask_status(cluster, kind) == status
        assert backend.sent_bytes <= MOST_BYTES


async def test_a_refusal_whose_body_does_not_end_is_one_at_once() -> None:
    """Guards against a call that is known not to run, and waits until its time is over."""
    head = b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 9\r\n" + STAMP + b"\r\nfull"
    async with cluster_before(RawBackend(head, keeps_open=True)) as cluster:
        reply = await cluster.call("a", "non_idempotent")
        assert reply.status == 503
        assert reply.json()["error"] == "backend_full"


EVENTS_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" + STAMP + b"\r\n"
ENDLESS_EVENTS = {
    "line": (b"id: 1\ndata: ", FILLER),
    "lines": (b"id: 1\n", 100 * (b"data: " + 1_000 * b"x" + b"\n")),
    "comments": (b"", 100 * (b": " + 1_000 * b"x" + b"\n")),
}


@pytest.mark.parametrize("is_kept", [True, False])
@pytest.mark.parametrize("case", ENDLESS_EVENTS)
async def test_an_event_without_end_is_broken_off(case: str, is_kept: bool) -> None:
    """Guards against an event that fills the memory, as it never becomes whole."""
    start, endless = ENDLESS_EVENTS[case]
    backend = RawBackend(EVENTS_HEAD + start, endless=endless)
    async with cluster_before(backend) as cluster:
        cluster.configure(2, retain_context=is_kept)
        daemon = cluster.nodes["a"].daemon
        await cluster.until(lambda: daemon._routes.version == 2)
        assert await ask_status(cluster, "stream") == 0
        assert backend.sent_bytes <= MOST_BYTES


PAUSE_S = 0.02
TURNS = 6
TURN_LIMIT_MS = 300
PATIENCE_S = 0.2
WITHOUT_EVENTS = {
    "nothing": (b"", b""),
    "comments": (b"", b": x\n\n"),
    "part_of_an_event": (b"id: 1\ndata: ", b"x"),
}


@pytest.mark.parametrize("is_impatient", [False, True], ids=["time_is_over", "caller_leaves"])
@pytest.mark.parametrize("case", WITHOUT_EVENTS)
async def test_an_engine_that_sends_no_event_is_passed_over(
    case: str, *, is_impatient: bool
) -> None:
    """Guards against turns that all go to the nearest engine, which completes none of them."""
    start, endless = WITHOUT_EVENTS[case]
    backend = RawBackend(EVENTS_HEAD + start, endless=endless, pause_s=PAUSE_S, keeps_open=True)
    async with backend as near, GatewayCluster() as cluster:
        table = cluster.nodes["a"].daemon._backends
        entries = {"near": make_backend_entry("model", near.address, zone="z")}
        for name in ("e1", "e2"):
            address = cluster.engines[name].address
            entries[name] = make_backend_entry("model", address, zone="far")
        for backend_id, entry in entries.items():
            cluster.state.put("keyed.servers", backend_id, entry)
        await cluster.until(lambda: table.entries["e2"].zone == "far" and "near" in table.entries)
        statuses = [await _ask_within(cluster, f"p{n}", is_impatient) for n in range(TURNS)]
        assert near.requests
        assert statuses.count(200) >= TURNS - 2


async def _ask_within(cluster: GatewayCluster, program_id: str, is_impatient: bool) -> int:
    """Returns the status of a turn, 0 if it is cut or its caller leaves."""
    limit_s = PATIENCE_S if is_impatient else None
    try:
        async with asyncio.timeout(limit_s):
            return (await cluster.turn("a", program_id, deadline_ms=TURN_LIMIT_MS))[1].status
    except (ConnectionLostError, TimeoutError):
        return 0
