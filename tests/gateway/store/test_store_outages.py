"""Turns during an outage of the store: they continue, and complete only once they are durable."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.gateway.turns.records import TurnStarted
from quincespool.platform.store import PlatformStore
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError

if TYPE_CHECKING:
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.records import Record

# Deadline of a caller that has already waited: a caller with a larger part of the route's timeout
# left is refused and told to retry.
WAITED_MS = 2_200
EVENTS_TOKENS = 30


async def test_a_turn_of_a_caller_that_has_waited_ends_when_the_store_recovers() -> None:
    """Programs must not fail in an outage that lasts longer than their callers' few retries.

    In an outage of some seconds, refusing every attempt would leave engines idle. Only the end of a
    turn has to wait for the store, not the tokens that it generates.
    """
    async with GatewayCluster(2) as cluster:
        first_id, _ = await cluster.turn("a", "p1")
        await cluster.start_store_outage("a", "b")
        pieces: list[bytes] = []
        turn = cluster.turn(
            "a", "p1", previous=first_id, deadline_ms=WAITED_MS, on_data=pieces.append
        )
        running = asyncio.create_task(turn)
        await cluster.until(lambda: b"".join(pieces).count(b"data:") == 3, limit_s=1.5)
        assert not running.done()
        cluster.set_store("a", "b", down=False)
        call_id, reply = await running
        assert reply.status == 200

        for name in ("a", "b"):
            _, reply = await cluster.turn(name, "p1", previous=call_id)
            assert reply.status == 200


async def test_a_turn_whose_records_are_not_durable_is_not_completed() -> None:
    async with GatewayCluster(1) as cluster:
        await cluster.turn("a", "p1")
        await cluster.start_store_outage("a")
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p1", deadline_ms=WAITED_MS)


async def test_a_program_gets_at_most_one_turn_without_durable_records() -> None:
    """A program must not get more tokens than its budget plus those of one turn.

    During an outage of the store, turn after turn would run and be interrupted; if all hosts then
    lost power, no durable record would show the tokens that were sent.
    """
    async with GatewayCluster(1) as cluster:
        await cluster.turn("a", "p1")
        await cluster.start_store_outage("a")
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p1", max_tokens=EVENTS_TOKENS, deadline_ms=WAITED_MS)
        call_id, reply = await cluster.turn(
            "a", "p1", max_tokens=EVENTS_TOKENS, deadline_ms=WAITED_MS
        )
        assert reply.status == 503
        assert cluster.runs(call_id) == []

        cluster.set_store("a", down=False)
        owned = cluster.nodes["a"].daemon._ownership.owned
        await cluster.until(lambda: all(one.idle and not one.stalled for one in owned.values()))
        _, reply = await cluster.turn(
            "a", "p1", budget=2 * EVENTS_TOKENS + 29, max_tokens=EVENTS_TOKENS
        )
        assert reply.status == 402


async def test_a_turn_at_an_owner_that_the_store_refuses_is_made_durable_by_the_next() -> None:
    """Turns must not be refused at a third of the hosts while the store refuses their requests.

    The store serves only some hosts. One of the other hosts has a turn in flight, and by the
    end of the turn another daemon owns its program.
    """
    async with GatewayCluster(2) as cluster:
        daemon = cluster.nodes["a"].daemon
        program = next(
            name
            for name in (f"p{number}" for number in range(100))
            if daemon._program_components.relay._partition_for(name) in daemon._ownership.owned
        )
        await cluster.turn("a", program)
        await cluster.start_store_outage("a")
        call_id, reply = await cluster.turn("a", program, deadline_ms=WAITED_MS)
        assert reply.status == 200

        _, reply = await cluster.turn("b", program, previous=call_id)
        assert reply.status == 200


async def test_a_program_without_durable_records_is_refused() -> None:
    async with GatewayCluster(1) as cluster:
        await cluster.start_store_outage("a")
        call_id, reply = await cluster.turn("a", "p1", deadline_ms=WAITED_MS)
        assert reply.status == 503
        assert cluster.runs(call_id) == []


async def test_a_turn_whose_start_is_settled_at_another_daemon_continues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Turns must not be interrupted before their first token when a partition changes its owner.

    The partition is taken over while the start record is in flight, and the new owner makes it
    durable. The turn's tokens must not count as tokens without a durable record.
    """
    submit = OwnedPartition.submit

    def submit_and_lose(
        owned: OwnedPartition, record: Record, *, urgent: bool = True
    ) -> asyncio.Future[None]:
        future = submit(owned, record, urgent=urgent)
        if isinstance(record, TurnStarted) and record.turn_id == "t1":
            monkeypatch.setattr(OwnedPartition, "submit", submit)
            owned.mark_lost("taken over")
        return future

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(OwnedPartition, "submit", submit_and_lose)
        _, reply = await cluster.turn("a", "p1", call_id="t1")
        assert reply.status == 200
        assert reply.body.count(b"data:") == 3


async def test_no_token_waits_for_a_slow_store() -> None:
    """With a store that answers in 200 ms, turns must not begin a fifth of a second late.

    A program continues while the start record of its turn is in flight. The first token need not
    wait for that record as long as only one turn of the program lacks a durable start.
    """
    async with GatewayCluster(1) as cluster:
        first_id, _ = await cluster.turn("a", "p1")
        cluster.nodes["a"].store.knobs.delay_ms = 200
        loop = asyncio.get_running_loop()
        sent_s, came_s = loop.time(), []
        _, reply = await cluster.turn(
            "a", "p1", previous=first_id, on_data=lambda _: came_s.append(loop.time())
        )
        assert reply.status == 200
        assert came_s[0] - sent_s < 0.15


async def test_the_start_of_a_turn_is_appended_with_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A turn must not cost two requests to the store, the largest cost under normal operation.

    The start record is not appended separately to be durable before the first token.
    """
    batches: list[int] = []
    append = PlatformStore.append

    async def count(
        store: PlatformStore, partition: Partition, records: list[bytes], **fence: int
    ) -> int:
        if records:
            batches.append(len(records))
        return await append(store, partition, records, **fence)

    monkeypatch.setattr(PlatformStore, "append", count)
    async with GatewayCluster(1) as cluster:
        previous, _ = await cluster.turn("a", "p1")
        batches.clear()
        for _ in range(4):
            previous, reply = await cluster.turn("a", "p1", previous=previous)
            assert reply.status == 200
        assert batches == [2, 2, 2, 2]


async def test_concurrent_turns_of_a_program_have_durable_starts() -> None:
    """A program must not get more tokens than its budget plus those of one turn.

    Several turns of a program run at the same time and their owner crashes. If their start records
    were appended only with their ends, none of their tokens would be recorded.
    """
    async with GatewayCluster(1) as cluster:
        first_id, _ = await cluster.turn("a", "p1")
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 300
        turns = [
            asyncio.create_task(cluster.turn("a", "p1", previous=first_id, call_id=f"t{number}"))
            for number in range(2)
        ]
        await cluster.until(lambda: cluster.runs("t0") and cluster.runs("t1"))
        await asyncio.sleep(0.1)
        owned = cluster.nodes["a"].daemon._ownership.owned.values()
        assert all(one.idle for one in owned)
        await asyncio.gather(*turns)
