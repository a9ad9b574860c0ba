"""Turns while the store is away: they run on, and end whole only if their records are kept."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.turns.ledger import TurnStarted
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.platform.store import PlatformStore
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError

if TYPE_CHECKING:
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.ledger import Record

# Less than the part of the route's time with which a caller is sent away to come back.
WAITED_MS = 2_200
EVENTS_TOKENS = 30


async def test_a_turn_of_a_caller_that_has_waited_ends_when_the_store_is_back() -> None:
    """Symptom: programs fail in an outage that their callers' few tries do not outlast.

    Events: the store is away for some seconds; every try is refused, while engines are idle.
    Cause: only what ends a turn has to wait for the store, not what it generates.
    """
    async with GatewayCluster(2) as cluster:
        first_id, _ = await cluster.turn("a", "p1")
        await cluster.lose_store("a", "b")
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


async def test_a_turn_whose_records_are_not_kept_is_not_told_whole() -> None:
    async with GatewayCluster(1) as cluster:
        await cluster.turn("a", "p1")
        await cluster.lose_store("a")
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p1", deadline_ms=WAITED_MS)


async def test_a_program_gets_no_more_than_one_turn_of_which_nothing_is_kept() -> None:
    """Symptom: a program gets more tokens than its budget and one turn.

    Events: the store is away; turn after turn is run and broken off; then all hosts lose power.
    Cause: nothing that lasts tells of the tokens that were handed out.
    """
    async with GatewayCluster(1) as cluster:
        await cluster.turn("a", "p1")
        await cluster.lose_store("a")
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p1", most=EVENTS_TOKENS, deadline_ms=WAITED_MS)
        call_id, reply = await cluster.turn("a", "p1", most=EVENTS_TOKENS, deadline_ms=WAITED_MS)
        assert reply.status == 503
        assert cluster.runs(call_id) == []

        cluster.set_store("a", down=False)
        owned = cluster.nodes["a"].daemon._ownership.owned
        await cluster.until(lambda: all(one.idle and not one.stalled for one in owned.values()))
        _, reply = await cluster.turn("a", "p1", budget=2 * EVENTS_TOKENS + 29, most=EVENTS_TOKENS)
        assert reply.status == 402


async def test_a_turn_at_an_owner_that_is_turned_away_is_kept_by_the_next_one() -> None:
    """Symptom: turns of a third of the hosts are refused for as long as these are turned away.

    Events: the store answers some hosts only; one of them has a turn under way, whose program
    another daemon owns by the time of its end.
    """
    async with GatewayCluster(2) as cluster:
        daemon = cluster.nodes["a"].daemon
        program = next(
            name
            for name in (f"p{number}" for number in range(100))
            if daemon._program_components.relay._partition_for(name) in daemon._ownership.owned
        )
        await cluster.turn("a", program)
        await cluster.lose_store("a")
        call_id, reply = await cluster.turn("a", program, deadline_ms=WAITED_MS)
        assert reply.status == 200

        _, reply = await cluster.turn("b", program, previous=call_id)
        assert reply.status == 200


async def test_a_program_of_which_nothing_lasts_is_refused() -> None:
    async with GatewayCluster(1) as cluster:
        await cluster.lose_store("a")
        call_id, reply = await cluster.turn("a", "p1", deadline_ms=WAITED_MS)
        assert reply.status == 503
        assert cluster.runs(call_id) == []


async def test_a_turn_whose_start_is_settled_elsewhere_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: turns break off before their first token whenever partitions change hands.

    Events: the partition is taken over while the start is on its way; the new owner keeps it.
    Cause: the tokens counted as ones of which nothing lasts.
    """
    submit = OwnedPartition.submit

    def submit_and_lose(
        owned: OwnedPartition, record: Record, *, urgent: bool = True
    ) -> asyncio.Future[None]:
        future = submit(owned, record, urgent=urgent)
        if isinstance(record, TurnStarted) and record.turn_id == "t1":
            monkeypatch.setattr(OwnedPartition, "submit", submit)
            owned.lose("taken over")
        return future

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(OwnedPartition, "submit", submit_and_lose)
        _, reply = await cluster.turn("a", "p1", call_id="t1")
        assert reply.status == 200
        assert reply.body.count(b"data:") == 3


async def test_no_token_waits_for_a_store_that_is_slow() -> None:
    """Symptom: with a store that answers in 200 ms each turn begins a fifth of a second late.

    Events: a program goes on; its turn's start is on its way to the store.
    Cause: the first token waited for the start, though no more than one turn was uncertain.
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
    """Symptom: requests to the store are the dearest price of a calm day, two a turn.

    Cause: the start was appended by itself, to be durable before the first token.
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


async def test_two_turns_of_a_program_at_once_have_durable_starts() -> None:
    """Symptom: a program gets more tokens than its budget and one turn.

    Events: helpers of a program run at the same moment; their owner dies.
    Cause: the starts of all of them waited for their ends.
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
