"""Partitions that an owner gives up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.ownership import Ownership
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.records import encode_record
from quincespool.gateway.turns.settlement import Settlement
from quincespool.platform.store import PlatformStore
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.turns.partition import OwnedPartition

TOPICS = ["programs.0"]
# Outlasts pauses of the process of the tests, in which nobody renews.
LEASE_MS = 10_000


def _make_ownership(store: PlatformStore, announce_claims: Callable[[], None]) -> Ownership:
    def forget_lost(owned: OwnedPartition, detail: str) -> None:
        del detail
        if owned.lost:
            ownership.on_partition_lost(owned)

    ownership = Ownership(
        member_id="a",
        incarnation=1,
        topics=TOPICS,
        lease_ms=LEASE_MS,
        store=store,
        hedged=HedgedRequests(on_hedge=lambda: None),
        store_reachable=lambda: True,
        on_change=forget_lost,
        on_assignment=lambda generation, count: None,
        announce_claims=announce_claims,
    )
    return ownership


def _client(address: str) -> PlatformStore:
    return PlatformStore(
        address=address,
        lease_ms=LEASE_MS,
        time_limit_ms=200,
        partition_count=8,
        on_call=lambda path, status: None,
    )


async def test_a_partition_that_is_given_up_while_it_is_read_is_written_until_taken_over() -> None:
    """Guards against turns that ran and are cut, as their owner is fenced and nobody writes."""
    record = TurnStarted("t", "p", 10, 0)
    async with make_platform_store() as stand_in:
        for number in range(8):
            stand_in.state.partition(TOPICS[0], number).records.append(encode_record(record))
        store = _client(stand_in.address)
        ownership = _make_ownership(store, lambda: None)
        running = asyncio.create_task(ownership.run())
        stand_in.knobs.delay_ms = 30
        async with asyncio.timeout(3):
            while not ownership.owned:
                await asyncio.sleep(0.005)
            pausing = asyncio.create_task(ownership.pause("isolated"))
            await asyncio.sleep(0)
            assert not ownership.owned
            assert not ownership.ready_retired
            assert ownership.has_retired_takeover_since(0)
            ownership.close_unused()
            while len(ownership.ready_retired) < 8:
                await asyncio.sleep(0.005)
        assert ownership.ready_owned == []
        writer = ownership.writer(Partition(TOPICS[0], 0))
        assert writer is not None
        assert await writer.settle(record, budget_tokens=None) is Settlement.DURABLE
        ownership.yield_to(writer.partition, writer.epoch + 1)
        assert len(ownership.ready_retired) == 7
        pausing.cancel()
        await ownership.leave()
        await running


async def test_a_fenced_owners_writer_is_not_closed_as_unused() -> None:
    """Guards against turns that ran at the last owner and are cut when this daemon stays."""
    async with make_platform_store() as stand_in:
        for number in range(8):
            record = encode_record(TurnStarted("t", "p", 10, 0))
            stand_in.state.partition(TOPICS[0], number).records.append(record)
        store = _client(stand_in.address)
        ownership = _make_ownership(store, lambda: None)
        running = asyncio.create_task(ownership.run())
        async with asyncio.timeout(3):
            while len(ownership.ready_owned) < 8:
                await asyncio.sleep(0.005)
            await store.join(TOPICS, member_id="b.1", generation=0)
            ownership.request_renewal()
            while len(ownership.owned) == 8:
                await asyncio.sleep(0.005)
        ownership.close_unused()
        assert len(ownership.ready_retired) == 4
        await ownership.leave()
        await running


async def test_claims_are_announced_before_a_recently_taken_partition_is_given_up() -> None:
    announced: list[int] = []
    async with make_platform_store() as stand_in:
        store = _client(stand_in.address)
        ownership = _make_ownership(store, lambda: announced.append(len(ownership.owned)))
        running = asyncio.create_task(ownership.run())
        async with asyncio.timeout(3):
            while sum(one.ready for one in ownership.owned.values()) < 8:
                await asyncio.sleep(0.005)
        assert announced == []
        await store.join(TOPICS, member_id="b.1", generation=0)
        ownership.request_renewal()
        async with asyncio.timeout(3):
            while len(ownership.owned) == 8:
                await asyncio.sleep(0.005)
        assert announced[0] == 8
        given_up = [one for one in ownership._retired if one.retired]
        assert len(given_up) == 4
        ownership.close_unused()
        assert ownership._retired == []
        await ownership.leave()
        await running
