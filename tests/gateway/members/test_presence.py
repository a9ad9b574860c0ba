"""Tests of what a daemon announces to other daemons, and when."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.members import member_table
from quincespool.gateway.members.presence import ANNOUNCE_INTERVAL_S
from quincespool.policy.silence import PROBE_AFTER_MS
from tests.gateway.gateway_cluster import GatewayCluster

if TYPE_CHECKING:
    import pytest


async def test_a_stop_is_announced_soon_after_another_announcement() -> None:
    """Guards against callers being sent to a stopping daemon until its next periodic heartbeat.

    The daemon announces that it has taken over a partition, and is asked to stop some milliseconds
    later. Announcements within a short interval are sent together at its end, and the second one
    must be sent even if no partition has changed.
    """
    async with GatewayCluster(2) as cluster:
        presence = cluster.nodes["a"].daemon._presence
        cluster.nodes["a"].daemon._ticker.stop()
        presence.announce()
        presence.draining = True
        presence.announce()
        await asyncio.sleep(3 * ANNOUNCE_INTERVAL_S)

        assert cluster.nodes["b"].daemon._members.is_draining("a")


async def test_a_silent_daemon_answers_a_probe_with_a_heartbeat() -> None:
    """Guards against a daemon losing its partitions because some heartbeats in a row were lost.

    Its watcher has to request a heartbeat before it considers the daemon crashed.
    """
    async with GatewayCluster(2) as cluster:
        watcher, watched = cluster.nodes["a"].daemon, cluster.nodes["b"].daemon
        watched._ticker.stop()
        for _ in range(3):
            await asyncio.sleep(PROBE_AFTER_MS / 1000)
            assert watcher._members.is_alive("b", now_ms())
            assert watched._ownership.owned


async def test_the_end_of_a_planned_stop_is_announced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against daemons that stop at the same time waiting for one another's silence."""
    async with GatewayCluster(2) as cluster:
        monkeypatch.setattr(member_table, "PEER_TIMEOUT_MS", 60_000)
        stopping, other = cluster.nodes["a"].daemon, cluster.nodes["b"].daemon
        stopping.begin_stop()
        await stopping.stopped.wait()
        assert other._members.is_alive("a", now_ms())
        await stopping.close()
        await cluster.until(lambda: not other._members.is_alive("a", now_ms()))
