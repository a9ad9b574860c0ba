"""Backend servers that fall silent with answers under way."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.quiet import ATTEMPT_LIMIT_S
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError

if TYPE_CHECKING:
    import pytest

# Long enough that only what is tested can end a turn.
SILENT_GAP_MS = 20_000


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
