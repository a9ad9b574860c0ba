"""Tests of the socket for heartbeats and notices."""

from __future__ import annotations

import asyncio

from quincespool.gateway.members.datagram_socket import DatagramSocket
from quincespool.gateway.members.messages import CrashNotice
from tests.gateway.gateway_cluster import GatewayCluster


async def test_a_message_after_the_stop_of_the_socket_is_dropped() -> None:
    """Failure: a notice of a task that outlives the socket ends that task with an exception."""
    async with GatewayCluster(2) as cluster:
        others = cluster.nodes["a"].daemon._members.others
    sender = DatagramSocket("a", on_datagram=lambda *_: None)
    await sender.start("127.0.0.1", 0)
    sender.stop()
    # The event loop forgets the transport in its next round.
    await asyncio.sleep(0.01)
    sender.send(others, CrashNotice("request", "e1"))
