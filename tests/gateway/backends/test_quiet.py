"""Backend servers that send nothing while answers are in progress."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.quiet import PROBE_TIMEOUT_S
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import make_backend_entry

# Long enough that nothing but the tested behaviour can end a turn.
SILENT_GAP_MS = 20_000
LONG_PROMPT_S = 1.2
LONG_UNHEARD_MS = 5_000
# Number of connections; more than fit into the queue of the listener.
QUEUED = 8


@pytest.mark.parametrize("heard_ms_ago", [LONG_UNHEARD_MS, None])
async def test_a_turn_at_an_engine_that_lost_power_ends_soon(
    heard_ms_ago: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Programs at an engine that lost power must not all be late by more than two seconds.

    An engine loses power with turns in progress, and its connections stay open. The fault occurs if
    these turns end only when their callers time out. A kernel may not tell what it has heard.
    """
    async with GatewayCluster(1) as cluster:
        cluster.configure(2, timeout_ms=SILENT_GAP_MS)
        await cluster.until(lambda: cluster.nodes["a"].daemon._routes.version == 2)
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = SILENT_GAP_MS
        turn = asyncio.create_task(cluster.turn("a", "p1", call_id="t1", deadline_ms=30_000))
        await cluster.until(lambda: cluster.runs("t1"))

        async def no_answer(*_: object, **__: object) -> None:
            raise ConnectError("no answer", silent=True)

        monkeypatch.setattr(BackendConnection, "connect", no_answer)
        monkeypatch.setattr(BackendConnection, "heard_ms_ago", lambda _: heard_ms_ago)
        async with asyncio.timeout(5.0):
            with contextlib.suppress(ConnectionLostError):
                _, reply = await turn
                assert reply.status == 502
        assert len(cluster.runs("t1")) == 1


async def test_a_quiet_engine_that_accepts_connections_is_waited_for() -> None:
    """A long pause of a live engine, as while it reads a long prompt, ends no turn."""
    async with GatewayCluster(1) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 900
            engine.knobs.events = 1
        _, reply = await cluster.turn("a", "p1")
        assert reply.status == 200


async def test_a_process_that_is_short_of_processor_time_ejects_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A slow host must not end streams of engines that work.

    A host becomes five times slower, and its connection attempts end late. The fault occurs if data
    that is unread in the host's own sockets is taken for silence of the engine.
    """
    async with GatewayCluster(1) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 1_200
            engine.knobs.events = 1
        turn = asyncio.create_task(cluster.turn("a", "p1", call_id="t1"))
        await cluster.until(lambda: cluster.runs("t1"))

        async def answer_too_late(*_: object, **__: object) -> None:
            await asyncio.sleep(2 * PROBE_TIMEOUT_S)
            raise ConnectError("no answer", silent=True)

        monkeypatch.setattr(BackendConnection, "connect", answer_too_late)
        _, reply = await turn
        assert reply.status == 200


async def test_an_engine_that_has_answered_is_not_probed_while_records_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Engines must not get hundreds of probe connections during an outage of the store.

    Turns have generated all their text, and their final records wait for the store. The fault
    occurs if a connection counts as waiting for an answer until its turn has ended.
    """
    async with GatewayCluster(1) as cluster:
        first, _ = await cluster.turn("a", "p1")
        cluster.nodes["a"].store.knobs.delay_ms = 700
        tried: list[str] = []

        async def record_attempt(_: BackendConnection, address: str, **__: object) -> None:
            tried.append(address)
            raise ConnectError("no answer", silent=True)

        turn = asyncio.create_task(cluster.turn("a", "p1", previous=first, call_id="t2"))
        await cluster.until(lambda: cluster.runs("t2"))
        monkeypatch.setattr(BackendConnection, "connect", record_attempt)
        await asyncio.wait({turn})
        assert tried == []


async def test_a_quiet_engine_whose_queue_of_connections_is_full_is_waited_for() -> None:
    """The engine's kernel drops new connections, as if without power, but acknowledges data."""
    loop = asyncio.get_running_loop()
    async with GatewayCluster(1) as cluster:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=1))
            listener.setblocking(False)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            for engine_id in ("e1", "e2"):
                cluster.state.put("keyed.servers", engine_id, None)
            entry = make_backend_entry("model", address, zone="z")
            cluster.state.put("keyed.servers", "e3", entry)
            backends = cluster.nodes["a"].daemon._backends
            await cluster.until(lambda: set(backends.entries) == {"e3", "s1"})

            turn = asyncio.create_task(cluster.turn("a", "p1", call_id="t1"))
            served, _ = await loop.sock_accept(listener)
            stack.enter_context(served)
            await loop.sock_recv(served, 65_536)
            for _ in range(QUEUED):
                queued = stack.enter_context(socket.socket())
                queued.setblocking(False)
                queued.connect_ex(listener.getsockname())
            await asyncio.sleep(LONG_PROMPT_S)
            head = (
                "HTTP/1.1 200 OK\r\nrequest-id: t1\r\nserver-stamp: x\r\ncontent-length: 9\r\n\r\n"
            )
            with contextlib.suppress(OSError):
                await loop.sock_sendall(served, head.encode() + b"data: a\n\n")
            _, reply = await turn
            assert reply.status == 200
