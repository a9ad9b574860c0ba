"""Tests of streams that another engine continues after one has broken off."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import Any

import pytest

from quincespool.gateway.turns.turn_retries import MAX_LOST_ATTEMPTS
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME
from tests.support.standins.platform_engine import CutPlace

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.standins.platform_engine import PlatformEngine

EVENTS = 6


@contextlib.asynccontextmanager
async def _cluster(**changes: Any) -> AsyncIterator[GatewayCluster]:
    """Starts two daemons and two engines; streams of the route are resumable."""
    async with GatewayCluster(2) as cluster:
        cluster.configure(2, **{"resumable": True, "retain_context": False} | changes)
        await cluster.until(
            lambda: all(node.daemon._routes.version == 2 for node in cluster.nodes.values())
        )
        for engine in cluster.engines.values():
            engine.knobs.events = EVENTS
        yield cluster


def _engines(cluster: GatewayCluster) -> list[PlatformEngine]:
    return [cluster.engines["e1"], cluster.engines["e2"]]


def _event_numbers(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def _resumed_after(cluster: GatewayCluster, call_id: str) -> list[str]:
    """Returns after which event each attempt of a call was to continue, sorted as text."""
    runs = [run for run in cluster.all_runs() if run.call_id == call_id]
    return sorted(run.headers.get("last-event-id", "") for run in runs)


async def test_a_stream_continues_after_its_last_complete_event() -> None:
    """Failure: a turn is lost if its engine breaks off in the middle of an event."""
    async with _cluster() as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after, engine.knobs.cuts = 2, 1
            engine.knobs.cut_place = CutPlace.IN_DATA
        call_id, reply = await cluster.turn("a", "p")
        # Each engine cuts one stream, so the second engine cuts the continuation of the first.
        assert reply.status == 200
        assert _event_numbers(reply.body) == list(range(1, EVENTS + 1))
        assert reply.body.count(b"data: ") == EVENTS
        assert _resumed_after(cluster, call_id) == ["", "2", "2"]


async def test_the_caller_gets_the_headers_of_the_first_engine() -> None:
    async with _cluster() as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after, engine.knobs.cuts = 3, 1
        call_id, reply = await cluster.turn("a", "p")
        runs = [run for run in cluster.all_runs() if run.call_id == call_id]
        first = next(run for run in runs if "last-event-id" not in run.headers)
        assert reply.headers["server-stamp"] == first.headers["expect-instance"]


async def test_the_same_engine_continues_if_only_one_is_allowed() -> None:
    """While an engine runs, a second one must not work on the same turn."""
    async with _cluster(max_attempts=1) as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after, engine.knobs.cuts = 2, 1
        call_id, reply = await cluster.turn("a", "p")
        assert _event_numbers(reply.body) == list(range(1, EVENTS + 1))
        used = {run.headers["expect-instance"] for run in cluster.all_runs()}
        assert len(used) == 1
        assert len(cluster.runs(call_id)) == 2


async def test_another_engine_continues_if_the_only_one_allowed_has_crashed() -> None:
    async with _cluster(max_attempts=1) as cluster:
        for engine in _engines(cluster):
            engine.knobs.gap_ms = 60
        turn = asyncio.create_task(cluster.turn("a", "p"))
        await cluster.until(lambda: any(engine.under_way for engine in _engines(cluster)))
        await asyncio.sleep(0.15)
        busy = next(engine for engine in _engines(cluster) if engine.under_way)
        busy.cut_all()
        _, reply = await turn
        assert _event_numbers(reply.body) == list(range(1, EVENTS + 1))


async def test_a_draining_engine_is_not_asked_to_continue_its_stream() -> None:
    """A draining engine accepts nothing after a few seconds, not even the rest of a stream."""
    async with _cluster(max_attempts=1) as cluster:
        for engine in _engines(cluster):
            engine.knobs.gap_ms, engine.knobs.cut_after, engine.knobs.cuts = 150, 2, 1
        turn = asyncio.create_task(cluster.turn("a", "p"))
        await cluster.until(lambda: any(engine.under_way for engine in _engines(cluster)))
        busy = next(name for name in ("e1", "e2") if cluster.engines[name].under_way)
        cluster.write_backend_entry(busy, "model", state="draining")
        _, reply = await turn
        assert _event_numbers(reply.body) == list(range(1, EVENTS + 1))
        assert len(cluster.engines[busy].runs) == 1


async def test_a_stream_survives_two_breaks_with_two_engines() -> None:
    async with _cluster() as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after, engine.knobs.cuts = 1, 1
        call_id, reply = await cluster.turn("a", "p")
        assert _event_numbers(reply.body) == list(range(1, EVENTS + 1))
        assert len(cluster.runs(call_id)) == 3


async def test_a_stream_that_breaks_in_every_attempt_is_broken_off() -> None:
    async with _cluster() as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after = 0
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p", call_id="t1")
        assert len(cluster.runs("t1")) == MAX_LOST_ATTEMPTS


async def test_a_stream_of_a_route_that_is_not_resumable_is_broken_off() -> None:
    """A second run would repeat the events that the caller has."""
    async with _cluster(resumable=False) as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after = 2
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p", call_id="t1")
        assert len(cluster.runs("t1")) == 1


async def test_events_of_two_attempts_count_once_for_the_budget() -> None:
    """Each turn generates 6 events of 10 tokens, in two attempts; the program may spend 120."""
    async with _cluster() as cluster:
        for engine in _engines(cluster):
            engine.knobs.cut_after, engine.knobs.cuts = 3, 1
        _, first = await cluster.turn("a", "p", budget=120, max_tokens=60)
        _, second = await cluster.turn("a", "p", budget=120, max_tokens=60)
        _, third = await cluster.turn("a", "p", budget=120, max_tokens=60)
        assert (first.status, second.status, third.status) == (200, 200, 402)


async def test_a_caller_continues_after_the_last_event_that_it_has() -> None:
    async with _cluster() as cluster:
        headers = {
            "host": HOST_NAME,
            "request-id": "again",
            "deadline-ms": "3000",
            "program-id": "p",
            "token-usage": "5,60",
            "last-event-id": "4",
        }
        address = cluster.nodes["a"].address
        reply = await fetch(address, "POST", "/stream/x", headers=headers, body=b"hello")
        assert _event_numbers(reply.body) == [5, 6]


async def test_a_stream_is_resumed_while_the_store_is_unreachable() -> None:
    async with _cluster() as cluster:
        _, begun = await cluster.turn("a", "p")
        assert begun.status == 200
        for engine in _engines(cluster):
            engine.knobs.cut_after, engine.knobs.cuts, engine.knobs.gap_ms = 3, 1, 40
        turn = asyncio.create_task(cluster.turn("a", "p"))
        await cluster.until(lambda: any(engine.under_way for engine in _engines(cluster)))
        cluster.set_store("a", "b", down=True)
        await asyncio.sleep(0.25)
        cluster.set_store("a", "b", down=False)
        _, reply = await turn
        assert _event_numbers(reply.body) == list(range(1, EVENTS + 1))


async def test_after_a_crash_of_the_owner_the_caller_continues_at_the_next_one() -> None:
    """The owner crashes in the middle of a stream; events that were sent are not sent again."""
    async with _cluster() as cluster:
        for engine in _engines(cluster):
            engine.knobs.gap_ms = 60
        owner = next(iter(cluster.nodes))
        other = next(name for name in cluster.nodes if name != owner)
        program = _program_owned_by(cluster, owner)
        pieces: list[bytes] = []
        turn = asyncio.create_task(
            cluster.turn(other, program, call_id="t1", on_data=pieces.append)
        )
        await cluster.until(lambda: len(pieces) >= 2)
        await cluster.crash_node(owner)
        with pytest.raises(ConnectionLostError):
            await turn
        received = _event_numbers(b"".join(pieces))
        await cluster.until(cluster.is_settled)
        headers = {
            "host": HOST_NAME,
            "request-id": "t2",
            "deadline-ms": "3000",
            "program-id": program,
            "token-usage": "5,60",
            "last-event-id": str(received[-1] if received else 0),
        }
        address = cluster.nodes[other].address
        rest = await fetch(address, "POST", "/stream/x", headers=headers, body=b"hello")
        assert [*received, *_event_numbers(rest.body)] == list(range(1, EVENTS + 1))


def _program_owned_by(cluster: GatewayCluster, name: str) -> str:
    daemon = cluster.nodes[name].daemon
    return next(
        program
        for program in (f"p{number}" for number in range(200))
        if daemon._ownership.serving(daemon._program_components.relay._partition_for(program))
        is not None
    )
