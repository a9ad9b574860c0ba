"""Tests of exceptions in the daemon's handlers: each is answered and affects no other call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from quincespool.gateway.callers.request_handler import _ConnectionReply
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


async def test_a_fault_before_the_answer_is_reported_as_a_call_that_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(_relay(cluster.nodes["a"]), "run", _fail)
        _, reply = await cluster.turn("a", "p", call_id="t1")
    assert reply.status == 502
    assert reply.json()["may_have_run"]


async def test_a_fault_before_the_route_is_known_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise KeyError("x")

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(cluster.nodes["a"].daemon._routes, "decide", fail)
        reply = await cluster.call("a", "idempotent")
    assert reply.status == 502


async def test_an_answer_that_a_fault_interrupts_does_not_look_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise KeyError("x")

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(_ConnectionReply, "end", fail)
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p")


async def test_a_fault_at_the_owner_is_answered_at_once_by_the_relaying_daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the relaying daemon waits until the turn's time limit and answers 504."""
    async with GatewayCluster(2) as cluster:
        owner, other = _owner_and_other(cluster, "p")
        monkeypatch.setattr(_relay(cluster.nodes[owner])._turns, "run", _fail)
        _, reply = await cluster.turn(other, "p")
    assert reply.status == 502
    assert reply.json()["may_have_run"]


async def test_a_fault_in_one_turn_does_not_affect_others_on_its_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A message whose handler fails must not close the link, which ends every turn on it."""
    send_chunk = _ConnectionReply.send_chunk

    def fail_once(reply: _ConnectionReply, data: bytes) -> None:
        if reply._call.call_id == "t1":
            raise KeyError("x")
        send_chunk(reply, data)

    async with GatewayCluster(2) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 100
        monkeypatch.setattr(_ConnectionReply, "send_chunk", fail_once)
        _, other = _owner_and_other(cluster, "p")
        sound = asyncio.create_task(cluster.turn(other, "p", call_id="t2"))
        with pytest.raises(ConnectionLostError):
            await cluster.turn(other, "p", call_id="t1")
        assert (await sound)[1].status == 200
        await cluster.until(lambda: not any(one.under_way for one in cluster.engines.values()))


async def test_a_fault_in_a_message_handler_closes_no_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request whose handler fails must not close the link, which ends every turn on it."""
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
