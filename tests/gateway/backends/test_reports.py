"""Reports between daemons about backend servers at which calls fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.policy.recent_reports import MAX_REPORTS_PER_DAEMON
from tests.gateway.gateway_cluster import GatewayCluster

if TYPE_CHECKING:
    import pytest


async def test_failures_at_some_daemons_keep_others_from_an_engine() -> None:
    """Answers must not stall at one host after another because of one faulty engine.

    One engine of two ends each turn early; daemons `a` and `b` each lose one or two turns there.
    The fault occurs if daemon `c` gets no report of it and sends the engine a turn of its own.
    """
    async with GatewayCluster(3) as cluster:
        nodes = cluster.nodes
        entry = nodes["a"].daemon._backends.entries["e1"]
        for name in ("a", "b"):
            for _ in range(MAX_REPORTS_PER_DAEMON):
                nodes[name].daemon._backend_reports.report_failure(entry, "lost")
        await asyncio.sleep(0.1)

        for number in range(4):
            _, reply = await cluster.turn("c", f"p{number}")
            assert reply.status == 200
        assert not cluster.engines["e1"].runs


async def test_an_overdue_answer_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """Calls of a plain service must not stay slow when some of its backend servers become slow.

    Calls are answered at once; then one waits for a backend server that has become slow. The fault
    occurs if only a failed call counts against its backend server.
    """
    async with GatewayCluster(2) as cluster:
        for _ in range(10):
            assert (await cluster.call("a", "idempotent")).status == 200
        cluster.engines["s1"].knobs.gap_ms = 300
        reported_ids: list[str] = []
        monkeypatch.setattr(
            cluster.nodes["b"].daemon._backend_reports,
            "apply_report",
            lambda _, notice: reported_ids.append(notice.backend_id),
        )
        assert (await cluster.call("a", "idempotent")).status == 200
        await cluster.until(lambda: "s1" in reported_ids)
