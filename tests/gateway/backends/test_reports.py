"""What daemons tell one another of backend servers where calls go wrong."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.policy.recent_reports import MAX_REPORTS_PER_DAEMON
from tests.gateway.gateway_cluster import GatewayCluster

if TYPE_CHECKING:
    import pytest


async def test_calls_that_fail_at_some_daemons_keep_others_away() -> None:
    """Symptom: answers stall at every host in turn whenever an engine breaks off what it is sent.

    Events: one engine of two breaks off each turn; daemons `a` and `b` each lose one or two there.
    Cause: daemon `c` knew nothing of it and sent the engine a turn of its own.
    """
    async with GatewayCluster(3) as cluster:
        nodes = cluster.nodes
        entry = nodes["a"].daemon._backends.entries["e1"]
        for name in ("a", "b"):
            for _ in range(MAX_REPORTS_PER_DAEMON):
                nodes[name].daemon._backend_reports.report(entry, "lost")
        await asyncio.sleep(0.1)

        for number in range(4):
            _, reply = await cluster.turn("c", f"p{number}")
            assert reply.status == 200
        assert not cluster.engines["e1"].runs


async def test_an_answer_that_is_overdue_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """Symptom: calls crawl whenever a plain service turns slow at some of its backend servers.

    Events: calls are answered at once; then one waits for a backend server that has turned slow.
    Cause: a call counted against its backend server only when it had failed.
    """
    async with GatewayCluster(2) as cluster:
        for _ in range(10):
            assert (await cluster.call("a", "idempotent")).status == 200
        cluster.engines["s1"].knobs.gap_ms = 300
        heard: list[str] = []
        monkeypatch.setattr(
            cluster.nodes["b"].daemon._backend_reports,
            "hear",
            lambda _, notice: heard.append(notice.backend_id),
        )
        assert (await cluster.call("a", "idempotent")).status == 200
        await cluster.until(lambda: "s1" in heard)
