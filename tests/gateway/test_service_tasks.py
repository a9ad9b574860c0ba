"""The tasks that a daemon depends on continue after an exception."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from quincespool.gateway.ticker import Ticker
from quincespool.gateway.turns.ownership import Ownership
from quincespool.gateway.turns.partition import OwnedPartition
from tests.gateway.gateway_cluster import GatewayCluster

if TYPE_CHECKING:
    from collections.abc import Callable

SOON_S = 4.0


def _fail_once(original: Callable[..., Any], failed: list[str]) -> Callable[..., Any]:
    def call(*args: Any, **named: Any) -> Any:
        if not failed:
            failed.append("x")
            raise KeyError("x")
        return original(*args, **named)

    return call


async def test_a_partition_whose_writer_has_failed_is_taken_over_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The partition must not stay ready without a writer.

    It would write nothing more, and all turns of its programs would fail until a restart.
    """
    failed: list[str] = []
    async with GatewayCluster(1) as cluster:
        append = _fail_once(OwnedPartition._append_batch, failed)
        monkeypatch.setattr(OwnedPartition, "_append_batch", append)
        await cluster.turn("a", "p", deadline_ms=1_500)
        assert failed
        _, reply = await cluster.turn("a", "p", deadline_ms=1_500)
        assert reply.status == 200


async def test_a_partition_that_cannot_be_read_at_first_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failed: list[str] = []
    monkeypatch.setattr(OwnedPartition, "_take_over", _fail_once(OwnedPartition._take_over, failed))
    async with GatewayCluster(1):
        assert failed


async def test_the_lease_is_renewed_after_an_exception_while_applying_an_assignment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the daemon would lose its lease for good and continue to serve without one."""
    failed: list[str] = []
    async with GatewayCluster(1) as cluster:
        ownership = cluster.nodes["a"].daemon._ownership
        monkeypatch.setattr(Ownership, "_follow", _fail_once(Ownership._follow, failed))
        await cluster.until(lambda: failed)
        until_ms = ownership.confirmed_until_ms
        await cluster.until(lambda: ownership.confirmed_until_ms > until_ms, SOON_S)


@pytest.mark.parametrize("topic", ["configuration", "backends"])
async def test_records_after_one_whose_handler_failed_are_read(
    topic: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise no later configuration and no later entry would ever be read."""
    failed: list[str] = []
    async with GatewayCluster(1) as cluster:
        daemon = cluster.nodes["a"].daemon
        component = daemon._routes if topic == "configuration" else daemon._backends
        name = "adopt" if topic == "configuration" else "put"
        monkeypatch.setattr(component, name, _fail_once(getattr(component, name), failed))
        cluster.write_backend_entry("e1", "model", state="draining")
        cluster.configure(2)
        await cluster.until(lambda: failed)
        cluster.write_backend_entry("e2", "model", state="draining")
        cluster.configure(3)
        await cluster.until(lambda: daemon._routes.version == 3, SOON_S)
        await cluster.until(lambda: daemon._backends.entries["e2"].leaving, SOON_S)


async def test_a_subscriber_whose_interval_function_fails_once_is_called_again() -> None:
    calls: list[int] = []
    failed: list[str] = []
    ticker = Ticker()
    interval = _fail_once(lambda: 1, failed)
    failed.append("not the first time")
    ticker.every(interval, lambda: calls.append(1))
    failed.clear()
    async with asyncio.timeout(SOON_S):
        while len(calls) < 3:
            await asyncio.sleep(0.01)
    ticker.stop()
    assert failed
