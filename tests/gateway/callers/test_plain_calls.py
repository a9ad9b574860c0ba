"""Tests of plain calls, which are retried only if idempotent."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.standins.platform_engine import CutBy
from tests.support.standins.platform_engine import CutPlace


async def test_a_plain_call_is_answered() -> None:
    async with GatewayCluster(1) as cluster:
        reply = await cluster.call("a", "idempotent")

        assert reply.status == 200
        assert reply.headers["server-stamp"] == "s1"


async def test_a_call_answered_as_refused_has_not_run() -> None:
    async with GatewayCluster(1) as cluster:
        cluster.engines["s1"].knobs.full = True
        reply = await cluster.call("a", "non_idempotent")

        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert cluster.engines["s1"].runs == []


async def test_an_answer_without_a_server_stamp_is_no_success() -> None:
    async with GatewayCluster(1) as cluster:
        cluster.engines["s1"].knobs.without_receipt = True
        reply = await cluster.call("a", "non_idempotent")

        assert reply.status == 502
        assert len(cluster.engines["s1"].runs) == 1


async def test_a_draining_backend_server_gets_no_new_calls() -> None:
    async with GatewayCluster(1) as cluster:
        cluster.write_backend_entry("s1", "plain", state="draining")
        await asyncio.sleep(0.3)
        reply = await cluster.call("a", "idempotent")

        assert reply.status == 503
        assert cluster.engines["s1"].runs == []


async def test_a_configuration_is_applied_by_every_daemon_and_not_replaced_by_an_older_one() -> (
    None
):
    async with GatewayCluster() as cluster:
        cluster.configure(5, path_prefix="/other/")
        await cluster.until(
            lambda: all(n.daemon._routes.version == 5 for n in cluster.nodes.values()), limit_s=1
        )
        cluster.configure(4)
        await asyncio.sleep(0.2)

        for name in cluster.nodes:
            _, reply = await cluster.turn(name, "p1")
            assert reply.status == 404


async def test_the_directory_names_the_daemons_that_serve() -> None:
    async with GatewayCluster() as cluster:
        from tests.support.client import fetch

        address = cluster.nodes["a"].settings.directory_address
        reply = await fetch(address, "GET", "/resolve?name=x&region=r&zone=z")
        addresses = {node.address for node in cluster.nodes.values()}
        assert set(reply.json()["addresses"]) == addresses

        cluster.nodes["b"].daemon.begin_stop()
        await asyncio.sleep(0.1)
        reply = await fetch(address, "GET", "/resolve?name=x&region=r&zone=z")
        assert reply.json()["addresses"] == [cluster.nodes["a"].address]


@pytest.mark.parametrize("has_chunks", [False, True])
async def test_a_plain_call_whose_events_end_inside_one_has_no_complete_answer(
    *, has_chunks: bool
) -> None:
    """Failure: a caller takes events for complete whose server has crashed inside one of them."""
    async with GatewayCluster(1) as cluster:
        knobs = cluster.engines["s1"].knobs
        knobs.streams_all, knobs.has_chunks = True, has_chunks
        whole = await cluster.call("a", "non_idempotent")
        knobs.cut_after, knobs.cut_by, knobs.cut_place = 1, CutBy.END, CutPlace.IN_DATA
        broken = await cluster.call("a", "non_idempotent")

        assert (whole.status, whole.body.count(b"data: ")) == (200, 3)
        assert broken.status == 502
