"""What a daemon does with requests that it finds after it has stood still."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.store.follower import TopicFollower
from quincespool.gateway.store.interface import KeyedPage
from quincespool.gateway.store.interface import KeyedRecord
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.store.view_refresh import ViewRefresh
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    import pytest

    from tests.gateway.gateway_cluster import Node

LONG_AGO_MS = 60_000
HEADERS = {"host": HOST_NAME, "request-id": "r", "deadline-ms": "3000"}


def _stand_still(node: Node) -> None:
    refresh = node.daemon._cluster_view.refresh
    refresh.record_running()
    assert refresh._running_ms is not None
    refresh._running_ms -= LONG_AGO_MS


class _Store:
    """A store whose reads that wait are answered when the test says so."""

    def __init__(self) -> None:
        self.records = [KeyedRecord("a", b"old", 0)]
        self.waiting: asyncio.Future[KeyedPage] = asyncio.get_running_loop().create_future()

    async def read_newest(self, topic: str) -> KeyedPage:
        return KeyedPage(0, [])

    async def read_keyed(self, topic: str, from_offset: int, *, wait_ms: int) -> KeyedPage:
        if wait_ms:
            return await self.waiting
        return KeyedPage(len(self.records), self.records[from_offset:])


async def test_a_read_that_ends_late_does_not_deliver_older_records_again() -> None:
    """Guards against an entry that goes back to what it was before the refresh."""
    store = _Store()
    delivered: list[bytes | None] = []
    follower = TopicFollower(
        "keyed.x",
        store=store,  # type: ignore[arg-type]
        on_record=lambda record: delivered.append(record.value),
        on_listing=lambda _: None,
        wait_ms=1_000,
        pause_ms=lambda: 0,
    )
    running = asyncio.create_task(follower.run())
    await follower.synced_event.wait()
    await asyncio.sleep(0)
    store.records.append(KeyedRecord("a", b"new", 1))
    await follower.refresh()
    answered, store.waiting = store.waiting, asyncio.get_running_loop().create_future()
    answered.set_result(KeyedPage(1, store.records[:1]))
    await asyncio.sleep(0.01)
    running.cancel()
    assert delivered == [b"old", b"new"]


class _Topic:
    """A followed topic that cannot be read, or only when the test says so."""

    def __init__(self, *, fails: bool = False) -> None:
        self.readable = asyncio.Event()
        self._fails = fails

    async def refresh(self) -> None:
        if self._fails:
            raise StoreError("away", refused=True)
        await self.readable.wait()


async def test_a_topic_that_cannot_be_read_does_not_cut_the_reading_of_another_short() -> None:
    """Guards against requests that are taken before the configuration has been read."""
    at_ms, done = 0, asyncio.Event()
    slow = _Topic()
    refresh = ViewRefresh(
        [_Topic(fails=True), slow],  # type: ignore[list-item]
        max_stall_ms=1_000,
        now_ms=lambda: at_ms,
        log=DecisionLog(lambda: 0.0),
        on_done=done.set,
    )
    assert refresh.is_current()
    at_ms = 2_000
    assert not refresh.is_current()
    await asyncio.sleep(0.01)
    assert not refresh.is_current()
    slow.readable.set()
    await done.wait()
    assert refresh.is_current()


async def test_requests_are_taken_though_the_store_does_not_answer() -> None:
    """Guards against a daemon that stood still and then waits for a store that is away."""
    async with GatewayCluster(1) as cluster:
        node = cluster.nodes["a"]
        node.store.knobs.silent = True
        _stand_still(node)
        reply = await fetch(node.address, "POST", "/idempotent/x", headers=HEADERS, body=b"x")
        assert reply.status == 200


async def test_requests_that_wait_for_a_refresh_are_answered_in_order() -> None:
    """Guards against a connection that forgets what arrived while no request was taken."""
    async with GatewayCluster(1) as cluster:
        node = cluster.nodes["a"]
        reader, writer = await asyncio.open_connection(*node.address.split(":"))
        node.store.knobs.delay_ms = 100
        _stand_still(node)
        for call_id in ("first", "second"):
            fields = f"host: {HOST_NAME}\r\nrequest-id: {call_id}\r\ndeadline-ms: 3000\r\n"
            writer.write(f"GET /idempotent/x HTTP/1.1\r\n{fields}\r\n".encode())
            await asyncio.sleep(0.02)
        answers = b""
        async with asyncio.timeout(5):
            while answers.count(b"HTTP/1.1 200 ") < 2:
                answers += await reader.read(65_536)
        writer.close()
    assert answers.index(b"first") < answers.index(b"second")


async def test_a_late_adoption_tells_how_late_it_may_be(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log in which a version that came late looks like one that came at once."""
    caplog.set_level("INFO")
    async with GatewayCluster(1) as cluster:
        daemon = cluster.nodes["a"].daemon
        daemon._cluster_view.configuration._answered_s -= LONG_AGO_MS / 1_000
        cluster.configure(2)
        await cluster.until(lambda: daemon._routes.version == 2)
        unread_ms = daemon._cluster_view.configuration.unread_ms()
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    adopted = [line for line in lines if line["message"] == "configuration adopted"]
    assert [line["unread_ms"] >= LONG_AGO_MS for line in adopted] == [False, True]
    assert unread_ms < LONG_AGO_MS
