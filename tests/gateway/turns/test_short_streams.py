"""Tests of streams that engines end early, at every place and in every way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.backends.attempt import CRASH_CHECK_S
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.client import read_as_http_1_0
from tests.support.platform_entries import TOKENS_PER_EVENT
from tests.support.standins.platform_engine import INSIDE_EVENT
from tests.support.standins.platform_engine import STREAM_EVENTS
from tests.support.standins.platform_engine import CutBy
from tests.support.standins.platform_engine import CutPlace

if TYPE_CHECKING:
    from tests.support.client import Reply

# A stream without chunks is closed, one with chunks says that it is complete.
HAS_CHUNKS = pytest.mark.parametrize("has_chunks", [False, True])


def _cut(
    cluster: GatewayCluster, place: CutPlace, *, after: int, by: CutBy, has_chunks: bool
) -> None:
    """Has all engines cut their streams off."""
    for name in ("e1", "e2"):
        knobs = cluster.engines[name].knobs
        knobs.has_chunks, knobs.cut_after = has_chunks, after
        knobs.cut_place, knobs.cut_by = place, by


def _heal(cluster: GatewayCluster) -> None:
    for name in ("e1", "e2"):
        cluster.engines[name].knobs.cut_after = -1


async def _turn(
    cluster: GatewayCluster, node: str, program_id: str, call_id: str
) -> Reply | ConnectionLostError:
    try:
        _, reply = await cluster.turn(node, program_id, call_id=call_id)
    except ConnectionLostError as error:
        return error
    return reply


def _event_numbers(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


@HAS_CHUNKS
async def test_a_stream_that_ends_inside_an_event_is_broken_off(*, has_chunks: bool) -> None:
    """Failure: a caller takes a stream for complete whose engine has crashed inside an event.

    One of the two daemons owns the program, so one of the answers is relayed.
    """
    taken_for_complete: list[str] = []
    async with GatewayCluster() as cluster:
        for after in range(STREAM_EVENTS):
            for place in INSIDE_EVENT:
                _cut(cluster, place, after=after, by=CutBy.END, has_chunks=has_chunks)
                for node in ("a", "b"):
                    call_id = f"{after}-{place}-{node}"
                    outcome = await _turn(cluster, node, f"p-{after}-{place}", call_id)
                    assert len(cluster.runs(call_id)) == 1
                    if not isinstance(outcome, ConnectionLostError):
                        taken_for_complete.append(call_id)
    assert taken_for_complete == []


@HAS_CHUNKS
async def test_a_turn_that_ended_inside_an_event_is_not_continued(*, has_chunks: bool) -> None:
    """Failure: the history of a program goes on without what was cut off from an earlier turn."""
    async with GatewayCluster() as cluster:
        _cut(cluster, CutPlace.IN_DATA, after=1, by=CutBy.END, has_chunks=has_chunks)
        for node in ("a", "b"):
            await _turn(cluster, node, "p", f"short-{node}")
        _heal(cluster)
        for node in ("a", "b"):
            call_id, reply = await cluster.turn(node, "p", previous=f"short-{node}")
            assert reply.status == 404
            assert cluster.runs(call_id) == []


@HAS_CHUNKS
async def test_a_stream_that_ends_inside_an_event_is_continued(*, has_chunks: bool) -> None:
    """Failure: a stream that another engine could continue ends with a part of an event."""
    async with GatewayCluster() as cluster:
        cluster.configure(2, resumable=True, retain_context=False)
        await cluster.until(
            lambda: all(node.daemon._routes.version == 2 for node in cluster.nodes.values())
        )
        for place in INSIDE_EVENT:
            for node in ("a", "b"):
                _cut(cluster, place, after=1, by=CutBy.END, has_chunks=has_chunks)
                for name in ("e1", "e2"):
                    cluster.engines[name].knobs.cuts = 1
                _, reply = await cluster.turn(node, "p", call_id=f"{place}-{node}")
                assert _event_numbers(reply.body) == [1, 2, 3]
                assert reply.body.count(b"data: ") == STREAM_EVENTS


@HAS_CHUNKS
async def test_an_event_that_was_cut_off_counts_for_the_budget(*, has_chunks: bool) -> None:
    """Failure: a program spends more than its budget by turns whose last event was cut off."""
    spent_tokens = 2 * TOKENS_PER_EVENT
    async with GatewayCluster() as cluster:
        _cut(cluster, CutPlace.IN_DATA, after=1, by=CutBy.END, has_chunks=has_chunks)
        await _turn(cluster, "a", "p", "short")
        _heal(cluster)
        budget = spent_tokens + STREAM_EVENTS * TOKENS_PER_EVENT
        _, over = await cluster.turn("a", "p", budget=budget - 1, max_tokens=30)
        _, within = await cluster.turn("a", "p", budget=budget, max_tokens=30)
        assert (over.status, within.status) == (402, 200)


async def test_an_engine_that_closes_inside_an_event_and_is_down_has_crashed() -> None:
    """Failure: a request that crashes engines inside an event is sent to one after the other."""
    async with GatewayCluster(1) as cluster:
        _cut(cluster, CutPlace.IN_DATA, after=1, by=CutBy.CRASH, has_chunks=False)
        await _turn(cluster, "a", "p", "poison")
        await asyncio.sleep(3 * CRASH_CHECK_S)
        assert len(cluster.nodes["a"].daemon._crashes._crashes) == 1


@pytest.mark.parametrize("place", list(CutPlace))
async def test_a_stream_without_length_that_is_reset_is_broken_off(place: CutPlace) -> None:
    """Failure: a reset is taken for the end of a stream, also behind its last event."""
    async with GatewayCluster() as cluster:
        for after in range(STREAM_EVENTS + 1):
            _cut(cluster, place, after=after, by=CutBy.RESET, has_chunks=False)
            for node in ("a", "b"):
                outcome = await _turn(cluster, node, "p", f"{after}-{node}")
                assert isinstance(outcome, ConnectionLostError) or outcome.status == 502


async def test_a_stream_without_length_that_is_closed_before_its_first_event_is_broken_off() -> (
    None
):
    """Failure: a program goes on from an empty turn, as its engine closed before it said a word."""
    async with GatewayCluster() as cluster:
        _cut(cluster, CutPlace.BEFORE_EVENT, after=0, by=CutBy.END, has_chunks=False)
        for node in ("a", "b"):
            assert isinstance(await _turn(cluster, node, "p", node), ConnectionLostError)


async def test_a_chunked_stream_may_be_empty() -> None:
    async with GatewayCluster(1) as cluster:
        _cut(cluster, CutPlace.BEFORE_EVENT, after=0, by=CutBy.END, has_chunks=True)
        _, reply = await cluster.turn("a", "p")
        assert (reply.status, reply.body) == (200, b"")


async def test_a_stream_may_be_continued_after_its_last_event_by_an_empty_one() -> None:
    """The caller has had all events; the engine that continues has none left, and closes."""
    async with GatewayCluster(1) as cluster:
        cluster.configure(2, resumable=True, retain_context=False)
        await cluster.until(lambda: cluster.nodes["a"].daemon._routes.version == 2)
        _cut(cluster, CutPlace.BEFORE_EVENT, after=STREAM_EVENTS, by=CutBy.RESET, has_chunks=False)
        for name in ("e1", "e2"):
            cluster.engines[name].knobs.cuts = int(name == "e1")
        for number in range(4):
            _, reply = await cluster.turn("a", f"p{number}")
            assert _event_numbers(reply.body) == [1, 2, 3]


async def test_a_stream_without_length_that_is_closed_after_an_event_is_complete() -> None:
    async with GatewayCluster() as cluster:
        for name in ("e1", "e2"):
            cluster.engines[name].knobs.has_chunks = False
        for node, other in (("a", "b"), ("b", "a")):
            first, reply = await cluster.turn(node, f"p-{node}", body=b"one|")
            assert _event_numbers(reply.body) == [1, 2, 3]
            second, reply = await cluster.turn(other, f"p-{node}", previous=first, body=b"two")
            outputs = b"".join(f"{first}.{number}\n".encode() for number in (1, 2, 3))
            assert reply.status == 200
            assert cluster.runs(second) == [b"one|" + outputs + b"two"]


async def test_a_broken_stream_is_reset_for_a_caller_whose_answers_have_no_length() -> None:
    """Failure: a caller of HTTP/1.0 takes a broken stream for complete, as both end by a close."""
    async with GatewayCluster() as cluster:
        for node in ("a", "b"):
            address = cluster.nodes[node].address
            _heal(cluster)
            whole = await read_as_http_1_0(address, f"whole-{node}")
            assert _event_numbers(whole) == [1, 2, 3]
            _cut(cluster, CutPlace.IN_DATA, after=1, by=CutBy.RESET, has_chunks=True)
            with pytest.raises(ConnectionResetError):
                await read_as_http_1_0(address, f"broken-{node}")
