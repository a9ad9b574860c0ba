"""What a daemon tells the others, and when."""

from __future__ import annotations

import asyncio

from quincespool.gateway.clock import now_ms
from quincespool.gateway.members.presence import ANNOUNCE_S
from quincespool.policy.silence import PROBE_AFTER_MS
from tests.gateway.gateway_cluster import GatewayCluster


async def test_a_stop_that_follows_another_announcement_is_told_at_once() -> None:
    """Symptom: callers are sent to a daemon that is stopping, until its next heartbeat comes round.

    Events: it takes a partition over and tells so; within some milliseconds it is asked to stop.
    Cause: announcements are gathered for a moment, and what came in it was told only if partitions
    had changed.
    """
    async with GatewayCluster(2) as cluster:
        presence = cluster.nodes["a"].daemon._presence
        cluster.nodes["a"].daemon._ticker.stop()
        presence.announce()
        presence.draining = True
        presence.announce()
        await asyncio.sleep(3 * ANNOUNCE_S)

        assert cluster.nodes["b"].daemon._members.is_draining("a")


async def test_a_daemon_that_is_asked_shows_that_it_lives() -> None:
    """Symptom: a daemon whose heartbeats were lost loses its partitions.

    Events: some heartbeats of a daemon are lost in a row; its watcher judges it by that alone.
    Cause: nobody asked the daemon.
    """
    async with GatewayCluster(2) as cluster:
        asker, asked = cluster.nodes["a"].daemon, cluster.nodes["b"].daemon
        asked._ticker.stop()
        for _ in range(3):
            await asyncio.sleep(PROBE_AFTER_MS / 1000)
            assert asker._members.is_alive("b", now_ms())
            assert asked._ownership.owned
