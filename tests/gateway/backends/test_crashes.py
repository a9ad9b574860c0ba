"""Requests that crash backend servers."""

from __future__ import annotations

import asyncio
import functools

import pytest

from quincespool.gateway.backends.attempt import CRASH_CHECK_S
from quincespool.gateway.backends.crashes import CRASH_MEMORY_MS
from quincespool.gateway.backends.crashes import CRASHES_TO_REFUSE
from quincespool.gateway.backends.crashes import CrashHistory
from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from tests.gateway.gateway_cluster import GatewayCluster


def test_a_request_is_refused_after_its_crashes() -> None:
    history = CrashHistory()
    for number in range(CRASHES_TO_REFUSE):
        assert not history.is_refused("m", 0)
        history.record_crash("m", f"e{number}", 0)

    assert history.is_refused("m", 0)
    assert not history.is_refused("m", CRASH_MEMORY_MS + 1)


def test_an_answer_clears_the_crashes_of_a_request() -> None:
    """A harmless request that runs at several crashing backend servers must not be refused.

    Backend servers crash one after another, each while the same popular request runs there. The
    request is answered in between, which shows that it is not the cause.
    """
    history = CrashHistory()
    for number in range(5):
        history.record_crash("popular", f"e{number}", 0)
        history.clear("popular")

    assert not history.is_refused("popular", 0)


async def test_all_daemons_refuse_a_request_that_crashed_its_backends() -> None:
    """One request must not crash all backend servers again and again.

    The request is sent with new ids, to other daemons. The fault occurs if each daemon counts only
    the crashes that it has detected itself.
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
async def test_a_turn_lost_at_leaving_backends_does_not_count_as_a_crash(
    state: str | None,
) -> None:
    """A rolling restart of three engines must not make all daemons refuse a long turn for 2 min."""
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
            await cluster.until(
                functools.partial(_is_leaving_everywhere, cluster, engine.backend_id)
            )
            engine.cut_all()
            assert (await calling).status == 502
            await asyncio.sleep(2 * CRASH_CHECK_S)
            await cluster.replace_engine("s1", f"s{number + 2}", "plain")

        for name in cluster.nodes:
            reply = await cluster.call(name, "non_idempotent", body=b"long")
            assert reply.status == 200


@pytest.mark.parametrize("cause", ["no answer", "no descriptor left"])
async def test_an_answer_lost_at_a_running_backend_does_not_count_as_a_crash(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection that can't be made shows no crash: the queue of a running one may be full.

    Three such answers would make all daemons refuse a harmless request for two minutes.
    """
    async with GatewayCluster(1) as cluster:
        engine = cluster.engines["s1"]
        engine.knobs.gap_ms = 5_000
        calling = asyncio.create_task(cluster.call("a", "non_idempotent", body=b"long"))
        await cluster.until(functools.partial(len, engine.runs))

        async def fail(*_: object, **__: object) -> None:
            raise ConnectError(cause, silent=cause == "no answer")

        monkeypatch.setattr(BackendConnection, "connect", fail)
        engine.cut_all()
        assert (await calling).status == 502
        await asyncio.sleep(2 * CRASH_CHECK_S)
        assert cluster.nodes["a"].daemon._crashes._crashes == {}


def _is_leaving_everywhere(cluster: GatewayCluster, backend_id: str) -> bool:
    entries = [node.daemon._backends.entries.get(backend_id) for node in cluster.nodes.values()]
    return all(entry is None or entry.leaving for entry in entries)
