"""Tests of the store's client against a stand-in of the store."""

from __future__ import annotations

import asyncio

import pytest

from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import FencedError
from quincespool.gateway.store.interface import KeyedRecord
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import SequenceError
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.store.interface import StoreFullError
from quincespool.platform.store import PlatformStore
from tests.support.standins.platform_store import PlatformStoreStandIn
from tests.support.standins.platform_store import make_platform_store

PARTITION = Partition("programs.0", 1)
# The end and the first offset, then a record of six bytes behind its length.
_PAGE = (1).to_bytes(8, "big") + bytes(8) + (6).to_bytes(4, "big") + b"record"


def _client(store: PlatformStoreStandIn) -> PlatformStore:
    return PlatformStore(
        address=store.address,
        lease_ms=1_000,
        time_limit_ms=200,
        partition_count=8,
        on_call=lambda path, status: None,
    )


async def test_records_are_read_as_they_were_appended() -> None:
    async with make_platform_store() as store:
        client = _client(store)
        assert await client.append(PARTITION, [b"a", b"", b"ccc"], epoch=1, sequence=0) == 3
        assert await client.append(PARTITION, [b"d"], epoch=1, sequence=1) == 4

        page = await client.read(PARTITION, 1)
        assert (page.end_offset, page.records) == (4, [b"", b"ccc", b"d"])


async def test_conflicts_of_epoch_and_sequence_differ() -> None:
    async with make_platform_store() as store:
        client = _client(store)
        await client.append(PARTITION, [b"a"], epoch=2, sequence=0)
        with pytest.raises(FencedError):
            await client.append(PARTITION, [b"b"], epoch=1, sequence=0)
        with pytest.raises(SequenceError) as caught:
            await client.append(PARTITION, [b"b"], epoch=2, sequence=5)
        assert caught.value.expected == 1


async def test_an_error_says_whether_the_request_was_refused() -> None:
    async with make_platform_store(lose_writes=1) as store:
        client = _client(store)
        with pytest.raises(StoreError) as lost:
            await client.append(PARTITION, [b"a"], epoch=1, sequence=0)
        assert not lost.value.refused
        store.knobs.down = True
        with pytest.raises(StoreError) as refused:
            await client.append(PARTITION, [b"a"], epoch=1, sequence=0)
        assert refused.value.refused


async def test_a_request_to_a_silent_store_times_out() -> None:
    async with make_platform_store(silent=True) as store:
        started = asyncio.get_running_loop().time()
        with pytest.raises(StoreError):
            await _client(store).read_newest("keyed.op")
        assert asyncio.get_running_loop().time() - started < 5


async def test_keyed_records_are_listed_and_followed() -> None:
    async with make_platform_store() as store:
        client = _client(store)
        await client.append_keyed("keyed.status", "a", b"1")
        await client.append_keyed("keyed.status", "b", b"2")
        await client.append_keyed("keyed.status", "a", None)
        listing = await client.read_newest("keyed.status")
        assert [(one.key, one.value) for one in listing.records] == [("b", b"2")]

        waiting = asyncio.create_task(
            client.read_keyed("keyed.status", listing.end_offset, wait_ms=2_000)
        )
        await client.append_keyed("keyed.status", "c", b"3")
        page = await waiting
        assert page.records == [KeyedRecord("c", b"3", 3)]
        assert page.end_offset == 4


async def test_expired_records_raise() -> None:
    async with make_platform_store() as store:
        client = _client(store)
        await client.append_keyed("keyed.op", "config", b"1")
        store.state.forget_history("keyed.op")
        with pytest.raises(ExpiredError) as caught:
            await client.read_keyed("keyed.op", 0, wait_ms=0)
        assert caught.value.first_offset == 1
        assert [one.value for one in (await client.read_newest("keyed.op")).records] == [b"1"]


async def test_a_full_store_raises_and_accepts_records_after_trimming() -> None:
    async with make_platform_store() as store:
        client = _client(store)
        store.state.total_bytes = 18
        await client.append(PARTITION, [b"12345"] * 2, epoch=1, sequence=0)
        with pytest.raises(StoreFullError):
            await client.append(PARTITION, [b"12345"], epoch=1, sequence=1)
        await client.trim(PARTITION, 1)
        assert await client.append(PARTITION, [b"67890"], epoch=1, sequence=1) == 3

        with pytest.raises(ExpiredError):
            await client.read(PARTITION, 0)
        assert (await client.read(PARTITION, 1)).records == [b"12345", b"67890"]


async def test_a_group_assigns_partitions_and_lists_their_owners() -> None:
    async with make_platform_store() as store:
        client = _client(store)
        alone = await client.join(["programs.0"], member_id="a", generation=0)
        assert len(alone.partitions) == 8

        await client.join(["programs.0"], member_id="b", generation=0)
        first = await client.join(["programs.0"], member_id="a", generation=alone.generation)
        await client.join(["programs.0"], member_id="a", generation=first.generation)
        second = await client.join(["programs.0"], member_id="b", generation=first.generation)
        assert len(first.partitions) == len(second.partitions) == 4
        assert not first.partitions & second.partitions
        assert await client.owners() == {"a", "b"}

        await client.leave("a")
        assert await client.owners() == {"b"}


@pytest.mark.parametrize("has_length", [False, True])
@pytest.mark.parametrize(
    "page",
    [
        b"",
        bytes(15),
        _PAGE[:-1],
        _PAGE[:-4],
        _PAGE + bytes(3),
    ],
    ids=["empty", "in the offsets", "in a record", "early in a record", "in a length"],
)
async def test_a_page_that_ends_early_is_no_page(page: bytes, *, has_length: bool) -> None:
    """Failure: a record is read in part, or records count as read, as the store broke off."""
    head = f"content-length: {len(page)}\r\n" if has_length else ""
    answer = f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + page

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        client = PlatformStore(
            address=f"{host}:{port}",
            lease_ms=1_000,
            time_limit_ms=500,
            partition_count=8,
            on_call=lambda path, status: None,
        )
        with pytest.raises(StoreError) as error:
            await client.read(PARTITION, 0)
        assert not error.value.refused
