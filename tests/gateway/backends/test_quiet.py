"""Backend servers that fall silent with answers under way."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.quiet import ATTEMPT_LIMIT_S
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import make_backend_entry

if TYPE_CHECKING:
    import pytest

# Long enough that only what is tested can end a turn.
SILENT_GAP_MS = 20_000
LONG_PROMPT_S = 1.2
# More than the queue of the listener takes.
QUEUED = 8


async def test_a_turn_at_an_engine_that_has_gone_dark_ends_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: programs at one engine are all late by more than two seconds.

    Events: an engine loses its power with turns under way; its connections stay open.
    Cause: nothing but the callers' own patience ended these turns.
    """
    async with GatewayCluster(1) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = SILENT_GAP_MS
        turn = asyncio.create_task(cluster.turn("a", "p1", call_id="t1", deadline_ms=30_000))
        await cluster.until(lambda: cluster.runs("t1"))

        async def no_answer(*_: object, **__: object) -> None:
            raise ConnectError("no answer", silent=True)

        monkeypatch.setattr(BackendConnection, "connect", no_answer)
        async with asyncio.timeout(5.0):
            with contextlib.suppress(ConnectionLostError):
                _, reply = await turn
                assert reply.status == 502
        assert len(cluster.runs("t1")) == 1


async def test_an_engine_that_takes_connections_is_waited_for() -> None:
    """A long pause of one that lives, as while it reads a long prompt, ends nothing."""
    async with GatewayCluster(1) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 900
            engine.knobs.events = 1
        _, reply = await cluster.turn("a", "p1")
        assert reply.status == 200


async def test_a_process_that_is_short_of_processor_time_judges_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: a slow host breaks off streams of engines that are at work.

    Events: a host turns five times slower; its attempts to connect end late.
    Cause: what waited unread in its own sockets was taken for silence.
    """
    async with GatewayCluster(1) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 1_200
            engine.knobs.events = 1
        turn = asyncio.create_task(cluster.turn("a", "p1", call_id="t1"))
        await cluster.until(lambda: cluster.runs("t1"))

        async def answer_too_late(*_: object, **__: object) -> None:
            await asyncio.sleep(2 * ATTEMPT_LIMIT_S)
            raise ConnectError("no answer", silent=True)

        monkeypatch.setattr(BackendConnection, "connect", answer_too_late)
        _, reply = await turn
        assert reply.status == 200


async def test_an_engine_that_has_answered_is_not_doubted_while_records_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: in an outage of the store hundreds of connections are made to engines.

    Events: turns have generated everything, and their ends wait for the store.
    Cause: a connection counted as one that owes an answer until its turn was over.
    """
    async with GatewayCluster(1) as cluster:
        first, _ = await cluster.turn("a", "p1")
        cluster.nodes["a"].store.knobs.delay_ms = 700
        tried: list[str] = []

        async def note(_: BackendConnection, address: str, **__: object) -> None:
            tried.append(address)
            raise ConnectError("no answer", silent=True)

        turn = asyncio.create_task(cluster.turn("a", "p1", previous=first, call_id="t2"))
        await cluster.until(lambda: cluster.runs("t2"))
        monkeypatch.setattr(BackendConnection, "connect", note)
        await asyncio.wait({turn})
        assert tried == []


async def test_a_quiet_engine_whose_queue_of_connections_is_full_is_waited_for() -> None:
    """Its kernel drops new connections as one without power would, but acknowledges the others."""
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
