"""Requests that crash backend servers."""

from __future__ import annotations

import asyncio
import functools

import pytest

from quincespool.gateway.backends.attempt import CRASH_CHECK_S
from quincespool.gateway.backends.crashes import CRASHES_TO_REFUSE
from quincespool.gateway.backends.crashes import REMEMBER_MS
from quincespool.gateway.backends.crashes import CrashWatch
from tests.gateway.gateway_cluster import GatewayCluster


def test_a_request_is_refused_after_its_crashes() -> None:
    watch = CrashWatch()
    for number in range(CRASHES_TO_REFUSE):
        assert not watch.is_refused("m", 0)
        watch.note("m", f"e{number}", 0)

    assert watch.is_refused("m", 0)
    assert not watch.is_refused("m", REMEMBER_MS + 1)


def test_an_answer_clears_a_bystander() -> None:
    """Symptom: a harmless request is refused everywhere.

    Events: backend servers crash one after the other, each time while a popular request is there.
    Cause: being there is taken for the cause; a bystander is answered in between.
    """
    watch = CrashWatch()
    for number in range(5):
        watch.note("popular", f"e{number}", 0)
        watch.clear("popular")

    assert not watch.is_refused("popular", 0)


async def test_all_daemons_refuse_a_request_that_crashed_its_backends() -> None:
    """Symptom: one request takes all backend servers down, again and again.

    Events: it comes under new ids, at other daemons.
    Cause: each daemon counts only the crashes that it has seen itself.
    """
    async with GatewayCluster() as cluster:
        for number in range(CRASHES_TO_REFUSE):
            cluster.engines["s1"].knobs.crash = True
            name = "ab"[number % 2]
            reply = await cluster.call(name, "non_idempotent", body=b"poison")
            assert reply.status == 502
            await asyncio.sleep(0.3)
            await cluster.replace_engine("s1", f"s{number + 2}", "plain")
        await asyncio.sleep(0.3)

        for name in cluster.nodes:
            reply = await cluster.call(name, "non_idempotent", body=b"poison")
            assert reply.status == 503
            reply = await cluster.call(name, "non_idempotent", body=b"harmless")
            assert reply.status == 200


@pytest.mark.parametrize("state", ["draining", None])
async def test_a_turn_that_outlasts_backends_that_leave_is_not_taken_for_their_end(
    state: str | None,
) -> None:
    """A long turn was refused everywhere for two minutes after a roll of three restarts."""
    async with GatewayCluster(2) as cluster:
        for number in range(CRASHES_TO_REFUSE):
            engine = cluster.engines["s1"]
            engine.knobs.gap_ms = 5_000
            calling = asyncio.create_task(cluster.call("a", "non_idempotent", body=b"long"))
            await cluster.until(functools.partial(len, engine.runs))
            if state is None:
                cluster.state.put("keyed.servers", engine.backend_id, None)
            else:
                cluster.write_backend_entry("s1", "plain", state=state)
            await cluster.until(functools.partial(_is_left, cluster, engine.backend_id))
            engine.cut_all()
            assert (await calling).status == 502
            await asyncio.sleep(2 * CRASH_CHECK_S)
            await cluster.replace_engine("s1", f"s{number + 2}", "plain")

        for name in cluster.nodes:
            reply = await cluster.call(name, "non_idempotent", body=b"long")
            assert reply.status == 200


def _is_left(cluster: GatewayCluster, backend_id: str) -> bool:
    entries = [node.daemon._backends.entries.get(backend_id) for node in cluster.nodes.values()]
    return all(entry is None or entry.leaving for entry in entries)
