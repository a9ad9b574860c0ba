"""State that the next owner of a partition must get: imported histories, and reserved tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.turns.records import TurnBroken
from tests.gateway.gateway_cluster import GatewayCluster

if TYPE_CHECKING:
    import asyncio

    import pytest

    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.finder import FoundTurn
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.records import Record


def _program_of(cluster: GatewayCluster, node: str) -> str:
    """Returns the id of a program whose partition a daemon owns."""
    daemon = cluster.nodes[node].daemon
    ids = (f"p{number}" for number in range(100))
    return next(
        one
        for one in ids
        if daemon._program_components.relay._partition_for(one) in _owned(cluster, node)
    )


def _owned(cluster: GatewayCluster, node: str) -> dict[Partition, OwnedPartition]:
    return cluster.nodes[node].daemon._ownership.owned


async def test_an_owner_that_loses_its_partition_during_a_lookup_does_not_answer_not_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with GatewayCluster() as cluster:
        there, here = _program_of(cluster, "b"), _program_of(cluster, "a")
        first, _ = await cluster.turn("a", there, body=b"one|")
        daemon = cluster.nodes["a"].daemon
        finder = daemon._program_components.finder
        find = finder.find

        async def find_and_mark_lost(turn_id: str, account: str) -> FoundTurn | None:
            found = await find(turn_id, account)
            _owned(cluster, "a")[daemon._program_components.relay._partition_for(here)].mark_lost(
                "leaving"
            )
            return found

        monkeypatch.setattr(finder, "find", find_and_mark_lost)
        _, reply = await cluster.turn("a", here, previous=first)
        assert reply.status == 503


async def test_an_imported_history_is_recorded_by_the_owner_that_records_the_next_turn() -> None:
    async with GatewayCluster() as cluster:
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.gap_ms = 500
        there, here = _program_of(cluster, "b"), _program_of(cluster, "a")
        first, _ = await cluster.turn("b", there, body=b"one|")
        # From here on this owner can't append, and its lease expires while the turn is in progress.
        cluster.nodes["a"].store.knobs.silent = True
        second, reply = await cluster.turn("a", here, previous=first, body=b"two|")
        assert reply.status == 200
        cluster.nodes["a"].store.knobs.silent = False
        await cluster.until(cluster.is_settled)
        before = cluster.runs(second)[0]

        third, reply = await cluster.turn("b", here, previous=second, body=b"three|")
        assert reply.status == 200
        assert cluster.runs(third)[0].startswith(before)
        assert cluster.runs(third)[0].endswith(b"three|")


async def test_a_turn_that_never_ran_reserves_nothing_at_the_next_owner() -> None:
    async with GatewayCluster() as cluster:
        program = _program_of(cluster, "a")
        daemon = cluster.nodes["a"].daemon
        owned = _owned(cluster, "a")[daemon._program_components.relay._partition_for(program)]
        submit = owned.submit

        def submit_and_mark_lost(record: Record, *, urgent: bool = True) -> asyncio.Future[None]:
            del urgent
            if isinstance(record, TurnBroken):
                owned.mark_lost("fenced")
            return submit(record)

        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.full = True
        owned.submit = submit_and_mark_lost  # type: ignore[method-assign]
        _, reply = await cluster.turn("a", program, budget=100, max_tokens=60)
        assert reply.status == 503
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.full = False
        await cluster.until(cluster.is_settled)
        await cluster.until(lambda: not daemon._program_components.turns.unsettled_turns)
        _, reply = await cluster.turn("b", program, budget=100, max_tokens=60)
        assert reply.status == 200
