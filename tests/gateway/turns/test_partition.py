"""The one writer to a partition: order, fencing, lost answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.ledger import TurnStarted
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.settlement import Settlement
from quincespool.platform.store import PlatformStore
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from tests.support.standins.platform_store import PlatformStoreStandIn

PARTITION = Partition("programs.0", 3)


def _client(store: PlatformStoreStandIn) -> PlatformStore:
    return PlatformStore(
        address=store.address,
        lease_ms=1_000,
        time_limit_ms=200,
        partition_count=8,
        on_call=lambda path, status: None,
    )


def _own(store: PlatformStoreStandIn, epoch: int) -> OwnedPartition:
    return OwnedPartition(
        PARTITION,
        epoch=epoch,
        store=_client(store),
        hedged=HedgedRequests(on_hedge=lambda: None),
        on_change=lambda owned, detail: None,
    )


def _record(number: int) -> TurnStarted:
    return TurnStarted(f"t{number}", "p", 10, 0)


async def test_records_stand_in_order_and_once() -> None:
    """Symptom: a program's records twice in the log.

    Events: answers of the store are lost after the append was done.
    Cause: an append without an answer must be repeated under the same number.
    """
    async with make_platform_store(lose_writes=3) as store:
        owned = _own(store, 1)
        await asyncio.gather(*[owned.keep(_record(number)) for number in range(20)])

        again = _own(store, 2)
        await again.ready_event.wait()
        assert list(again.ledger.programs["p"].reserved) == [f"t{n}" for n in range(20)]
        assert len(store.state.partition(*PARTITION).records) == 20


async def test_an_old_owner_writes_nothing_more() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.keep(_record(1))
        new = _own(store, 2)
        await new.ready_event.wait()

        with pytest.raises(LostPartitionError):
            await old.keep(_record(2))
        assert old.lost
        assert len(store.state.partition(*PARTITION).records) == 1


async def test_an_old_owner_cannot_confirm_itself() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.ready_event.wait()
        await old.confirm()
        new = _own(store, 2)
        await new.ready_event.wait()

        with pytest.raises(LostPartitionError):
            await old.confirm()


async def test_many_confirmations_share_requests() -> None:
    """Symptom: the store refuses requests beyond its rate after all hosts have come back.

    Events: many programs look for turns at once; each owner confirms each partition each time.
    Cause: a request to the store for every question.
    """
    async with make_platform_store() as store:
        owned = _own(store, 1)
        await owned.ready_event.wait()
        before = store.state.calls
        await asyncio.gather(*[owned.confirm() for _ in range(50)])

        assert store.state.calls - before <= 2


async def test_a_partition_that_was_lost_here_confirms_nothing_though_nobody_has_it() -> None:
    async with make_platform_store() as store:
        owned = _own(store, 1)
        await owned.ready_event.wait()
        asked = asyncio.create_task(owned.confirm())
        await asyncio.sleep(0)
        owned.lose("leaving")

        with pytest.raises(LostPartitionError):
            await asked
        with pytest.raises(LostPartitionError):
            await owned.confirm()


async def test_an_owner_that_was_given_up_writes_until_another_one_has_taken_over() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.ready_event.wait()
        old.retire("leaving")
        await old.keep(_record(1))
        assert await old.settle(_record(2), budget_tokens=100) is Settlement.KEPT

        new = _own(store, 2)
        await new.ready_event.wait()
        assert list(new.ledger.programs["p"].reserved) == ["t1", "t2"]
        with pytest.raises(LostPartitionError):
            await old.keep(_record(3))
        assert await old.settle(_record(4), budget_tokens=100) is Settlement.NOT_HERE
        assert not old.in_use


async def test_an_owner_that_was_given_up_is_needed_while_a_turn_is_under_way() -> None:
    async with make_platform_store() as store:
        owned = _own(store, 1)
        await owned.ready_event.wait()
        with owned.turn_under_way():
            owned.retire("leaving")
            assert owned.in_use
        assert not owned.in_use
        kept = owned.submit(_record(1))
        assert owned.in_use
        await kept
        assert not owned.in_use


async def test_an_owner_that_is_given_up_while_it_reads_keeps_what_the_last_one_cannot() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.keep(_record(1))
        store.knobs.delay_ms = 50
        new = _own(store, 2)
        partition = store.state.partition(*PARTITION)
        while partition.epoch < new.epoch:
            await asyncio.sleep(0.005)
        new.retire("reassigned")
        with pytest.raises(LostPartitionError):
            await old.keep(_record(2))

        settled = Settlement.NOT_HERE
        for _ in range(100):
            settled = await new.settle(_record(2), budget_tokens=100)
            if settled is Settlement.KEPT:
                break
            await asyncio.sleep(0.01)
        assert settled is Settlement.KEPT
