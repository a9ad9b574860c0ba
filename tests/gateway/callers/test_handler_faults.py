"""Faults of the daemon's own in a handler: each is answered, and ends nothing else."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from quincespool.gateway.callers.front import _ConnectionReply
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError

if TYPE_CHECKING:
    from tests.gateway.gateway_cluster import Node


async def _fail(*_: object, **__: object) -> None:
    raise KeyError("x")


def _owner_and_other(cluster: GatewayCluster, program_id: str) -> tuple[str, str]:
    partition = cluster.nodes["a"].daemon._program_components.relay._partition_for(program_id)
    owner = "a" if partition in cluster.nodes["a"].daemon._ownership.owned else "b"
    return owner, "b" if owner == "a" else "a"


def _relay(node: Node) -> Any:
    return node.daemon._program_components.relay


async def test_a_fault_before_the_answer_is_answered_as_one_that_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(_relay(cluster.nodes["a"]), "run", _fail)
        _, reply = await cluster.turn("a", "p", call_id="t1")
    assert reply.status == 502
    assert reply.json()["may_have_run"]


async def test_a_fault_before_the_route_is_known_is_answered_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise KeyError("x")

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(cluster.nodes["a"].daemon._routes, "decide", fail)
        reply = await cluster.call("a", "idempotent")
    assert reply.status == 502


async def test_an_answer_that_a_fault_breaks_off_does_not_look_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise KeyError("x")

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(_ConnectionReply, "end", fail)
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p")


async def test_a_fault_at_the_owner_is_answered_at_once_at_the_daemon_that_relays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The daemon that relays waited until the turn's time limit, and answered 504."""
    async with GatewayCluster(2) as cluster:
        owner, other = _owner_and_other(cluster, "p")
        monkeypatch.setattr(_relay(cluster.nodes[owner])._turns, "run", _fail)
        _, reply = await cluster.turn(other, "p")
    assert reply.status == 502
    assert reply.json()["may_have_run"]


async def test_a_fault_with_one_turn_leaves_the_others_on_its_link_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One message that could not be handled closed the link with every turn that was on it."""
    piece = _ConnectionReply.piece

    def fail_once(reply: _ConnectionReply, data: bytes) -> None:
        if reply._call.call_id == "t1":
            raise KeyError("x")
        piece(reply, data)

    async with GatewayCluster(2) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 100
        monkeypatch.setattr(_ConnectionReply, "piece", fail_once)
        _, other = _owner_and_other(cluster, "p")
        sound = asyncio.create_task(cluster.turn(other, "p", call_id="t2"))
        with pytest.raises(ConnectionLostError):
            await cluster.turn(other, "p", call_id="t1")
        assert (await sound)[1].status == 200
        await cluster.until(lambda: not any(one.under_way for one in cluster.engines.values()))


async def test_a_fault_with_a_message_ends_no_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """A question that could not be read closed the link with every turn that was on it."""
    async with GatewayCluster(2) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 200
        owner, other = _owner_and_other(cluster, "p")
        turn = asyncio.create_task(cluster.turn(other, "p", call_id="t1"))
        await cluster.until(lambda: cluster.runs("t1"))

        def fail(*_: object) -> None:
            raise KeyError("x")

        monkeypatch.setattr(
            cluster.nodes[owner].daemon._program_components.finder, "on_message", fail
        )
        await cluster.nodes[other].daemon._program_components.finder.find("none", "")
        assert (await turn)[1].status == 200
