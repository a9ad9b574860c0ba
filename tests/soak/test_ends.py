"""How real daemons end: killed in the middle of a stream, and by a planned stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from tests.soak.deployment import SoakDeployment
from tests.support.client import read_as_http_1_0

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


async def test_a_process_says_that_its_event_loop_is_closed(tmp_path: Path) -> None:
    async with SoakDeployment(tmp_path, 1) as deployment:
        await deployment.daemons[0].end(signal.SIGTERM)
        lines = (tmp_path / "d0.log").read_text().splitlines()
    assert '"message": "stopped"' in lines[-2]
    assert '"message": "event loop closed"' in lines[-1]
