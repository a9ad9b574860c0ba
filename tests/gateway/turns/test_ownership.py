"""Partitions that an owner gives up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.turns.ownership import Ownership
from quincespool.platform.store import PlatformStore
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.turns.partition import OwnedPartition

TOPICS = ["programs.0"]
LEASE_MS = 300


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


async def test_claims_are_announced_before_a_recently_taken_partition_is_given_up() -> None:
    announced: list[int] = []
    async with make_platform_store() as stand_in:
        store = PlatformStore(
            address=stand_in.address,
            lease_ms=LEASE_MS,
            time_limit_ms=200,
            partition_count=8,
            on_call=lambda path, status: None,
        )
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
