"""A real daemon that is killed while it streams to a caller whose answers have no length."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from tests.gateway.turns.test_short_streams import read_as_http_1_0
from tests.soak.deployment import SoakDeployment

if TYPE_CHECKING:
    from pathlib import Path


async def test_a_stream_of_a_daemon_that_is_killed_is_reset(tmp_path: Path) -> None:
    """Failure: a caller of HTTP/1.0 takes the end of a killed process for the end of its stream."""
    async with SoakDeployment(tmp_path, 1) as deployment:
        for engine in deployment.engines.values():
            engine.knobs.gap_ms = 400
        (daemon,) = deployment.daemons
        calling = asyncio.create_task(read_as_http_1_0(daemon.address, "t1"))
        async with asyncio.timeout(10):
            while not any(engine.under_way for engine in deployment.engines.values()):
                await asyncio.sleep(0.02)
        # The head and the first event have been sent by then.
        await asyncio.sleep(0.6)
        await daemon.end(signal.SIGKILL)
        with pytest.raises(ConnectionResetError):
            await calling
