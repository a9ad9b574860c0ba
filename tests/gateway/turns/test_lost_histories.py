"""Histories of which the store has dropped the oldest records."""

from __future__ import annotations

import asyncio

from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.ledger import TurnEnded
from tests.gateway.gateway_cluster import GatewayCluster

RECORDS_A_TURN = 2


def _drop_oldest(cluster: GatewayCluster, program: str) -> None:
    """Has the store forget the first turn of a program that is alone in its partition."""
    daemon = next(iter(cluster.nodes.values())).daemon
    partition = daemon._parts.relay._partition_for(program)
    cluster.state.partition(*partition).drop(RECORDS_A_TURN)


async def _replace_all(cluster: GatewayCluster) -> None:
    """All daemons die; a new one reads what the store has."""
    for name in list(cluster.nodes):
        await cluster.lose_node(name)
    await cluster.add_node("h")
    await cluster.until(cluster.is_settled)


async def test_a_turn_after_one_whose_record_is_gone_gets_an_answer() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|")
        _drop_oldest(cluster, "p1")
        await _replace_all(cluster)

        third, reply = await cluster.turn("h", "p1", previous=second, body=b"three|")
        assert reply.status == 404
        assert cluster.runs(third) == []


async def test_a_history_with_a_missing_link_is_found_whole_in_another_program() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|")
        copied, reply = await cluster.turn("a", "p2", previous=second, body=b"copied")
        assert reply.status == 200
        whole = cluster.runs(copied)[0].removesuffix(b"copied")
        _drop_oldest(cluster, "p1")
        await _replace_all(cluster)

        third, reply = await cluster.turn("h", "p1", previous=second, body=b"three|")
        assert reply.status == 200
        assert cluster.runs(third) == [whole + b"three|"]


async def test_a_search_passes_over_an_owner_whose_chain_has_a_missing_link() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|")
        _drop_oldest(cluster, "p1")
        await _replace_all(cluster)
        await cluster.add_node("g")
        await cluster.until(cluster.is_settled)

        turns = [cluster.turn("g", f"q{number}", previous=second) for number in range(6)]
        answers = await asyncio.gather(*turns)
        assert [reply.status for _, reply in answers] == [404] * 6


def test_a_turn_that_names_itself_does_not_hang_its_owner() -> None:
    ledger = Ledger()
    for previous in ("", "t"):
        ledger.apply(TurnEnded("t", "p", previous, b"a", b"b", 5, 60_000, 0))
    admission = ledger.admit(program_id="p", previous_id="t", budget_tokens=None, most_tokens=1)
    assert admission is Admission.NO_SUCH_TURN
    assert ledger.history("p", "t") is None
