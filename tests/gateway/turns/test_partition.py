"""The single writer of a partition: order, fencing, lost answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.interface import Page
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.gateway.turns.records import TurnStarted
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


async def test_records_are_appended_in_order_and_once() -> None:
    """Guards against duplicate records of a program in the log.

    Answers of the store are lost after the append was done. An append without an answer must be
    retried under the same sequence number.
    """
    async with make_platform_store(lose_writes=3) as store:
        owned = _own(store, 1)
        await asyncio.gather(*[owned.append_durably(_record(number)) for number in range(20)])

        again = _own(store, 2)
        await again.ready_event.wait()
        assert list(again.ledger.programs["p"].reserved) == [f"t{n}" for n in range(20)]
        assert len(store.state.partition(*PARTITION).records) == 20


async def test_a_fenced_owner_appends_nothing_more() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.append_durably(_record(1))
        new = _own(store, 2)
        await new.ready_event.wait()

        with pytest.raises(LostPartitionError):
            await old.append_durably(_record(2))
        assert old.lost
        assert len(store.state.partition(*PARTITION).records) == 1


async def test_a_fenced_owner_cannot_confirm_its_ownership() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.ready_event.wait()
        await old.confirm()
        new = _own(store, 2)
        await new.ready_event.wait()

        with pytest.raises(LostPartitionError):
            await old.confirm()


async def test_concurrent_confirmations_share_requests() -> None:
    """Guards against exceeding the store's request rate after all hosts have restarted.

    Many programs look up turns at once, and each owner confirms each of its partitions for every
    lookup. The store refuses requests beyond its rate if each confirmation sends one of its own.
    """
    async with make_platform_store() as store:
        owned = _own(store, 1)
        await owned.ready_event.wait()
        before = store.state.calls
        await asyncio.gather(*[owned.confirm() for _ in range(50)])

        assert store.state.calls - before <= 2


async def test_a_lost_partition_is_not_confirmed_though_no_other_daemon_owns_it() -> None:
    async with make_platform_store() as store:
        owned = _own(store, 1)
        await owned.ready_event.wait()
        asked = asyncio.create_task(owned.confirm())
        await asyncio.sleep(0)
        owned.mark_lost("leaving")

        with pytest.raises(LostPartitionError):
            await asked
        with pytest.raises(LostPartitionError):
            await owned.confirm()


async def test_a_retired_partition_is_written_until_another_daemon_takes_over() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.ready_event.wait()
        old.retire("leaving")
        await old.append_durably(_record(1))
        assert await old.settle(_record(2), budget_tokens=100) is Settlement.DURABLE

        new = _own(store, 2)
        await new.ready_event.wait()
        assert list(new.ledger.programs["p"].reserved) == ["t1", "t2"]
        with pytest.raises(LostPartitionError):
            await old.append_durably(_record(3))
        assert await old.settle(_record(4), budget_tokens=100) is Settlement.NOT_HERE
        assert not old.in_use


async def test_a_retired_partition_is_in_use_while_a_turn_is_in_progress() -> None:
    async with make_platform_store() as store:
        owned = _own(store, 1)
        await owned.ready_event.wait()
        with owned.turn_in_progress():
            owned.retire("leaving")
            assert owned.in_use
        assert not owned.in_use
        durable = owned.submit(_record(1))
        assert owned.in_use
        await durable
        assert not owned.in_use


async def test_a_page_without_records_is_not_read_again_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a store that is overloaded by the reads of a page that it can't fill."""
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.append_durably(_record(1))
        reads = 0

        async def read_nothing(_: PlatformStore, partition: Partition, offset: int) -> Page:
            del partition
            nonlocal reads
            reads += 1
            await asyncio.sleep(0)
            return Page(offset + 1, [])

        monkeypatch.setattr(PlatformStore, "read", read_nothing)
        new = _own(store, 2)
        await asyncio.sleep(0.3)
        assert 0 < reads < 20
        assert new.stalled
        new.mark_lost("over")


async def test_an_owner_that_is_given_up_while_it_reads_keeps_what_the_last_one_cannot() -> None:
    async with make_platform_store() as store:
        old = _own(store, 1)
        await old.append_durably(_record(1))
        store.knobs.delay_ms = 50
        new = _own(store, 2)
        partition = store.state.partition(*PARTITION)
        while partition.epoch < new.epoch:
            await asyncio.sleep(0.005)
        new.retire("reassigned")
        with pytest.raises(LostPartitionError):
            await old.append_durably(_record(2))

        settled = Settlement.NOT_HERE
        for _ in range(100):
            settled = await new.settle(_record(2), budget_tokens=100)
            if settled is Settlement.DURABLE:
                break
            await asyncio.sleep(0.01)
        assert settled is Settlement.DURABLE
