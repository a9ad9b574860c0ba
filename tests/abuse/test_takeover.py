"""What a small host has to hold when it is the last one left."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from quincespool.gateway.turns.records import TurnEnded
from quincespool.gateway.turns.records import encode_record
from tests.abuse.deployment import START_LIMIT_S
from tests.abuse.deployment import SmallHostDeployment
from tests.abuse.usage import SMALL_HOST
from tests.abuse.usage import PeakUsage
from tests.support.client import fetch

if TYPE_CHECKING:
    from pathlib import Path

PARTITIONS = 32
TEXT_BYTES = 200_000
# Of each partition: over all of them as much as some ten small hosts hold of histories.
TURNS = 16
RETENTION_MS = 60_000


def _write_histories(deployment: SmallHostDeployment) -> None:
    at_ms = time.time_ns() // 1_000_000
    state = deployment.store.state
    for topic, number in [key for key in state.partitions if key[0].startswith("programs.")]:
        for turn in range(TURNS):
            name = f"{topic}.{number}.{turn}"
            text = b"x" * TEXT_BYTES
            record = TurnEnded(name, name, "", text, b"", 0, RETENTION_MS, at_ms)
            partition = state.partition(topic, number)
            partition.records.append(encode_record(record))
            partition.times_s.append(time.monotonic())


async def _count_read(deployment: SmallHostDeployment) -> int:
    """Returns how many partitions the daemon has taken over and read."""
    if not await deployment.daemon.is_ready():
        return 0
    reply = await fetch(f"127.0.0.1:{deployment.daemon.ports.metrics}", "GET", "/state")
    return sum(one["ready"] for one in reply.json()["partitions"])


async def test_histories_of_many_daemons_that_are_gone(tmp_path: Path) -> None:
    """Guards against a daemon that takes partitions over and ends, as their histories fill it."""
    async with SmallHostDeployment(tmp_path) as deployment:
        await deployment.daemon.end(signal.SIGKILL)
        _write_histories(deployment)
        await deployment.daemon.start()
        async with PeakUsage(deployment.daemon.process_id, deployment.daemon.ports) as usage:
            async with asyncio.timeout(START_LIMIT_S):
                while await _count_read(deployment) < PARTITIONS:
                    assert deployment.daemon.is_running
                    await asyncio.sleep(0.1)
            await deployment.ask_ordinarily()
        assert deployment.daemon.is_running
        usage.check(SMALL_HOST)
