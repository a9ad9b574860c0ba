"""The event loop that a daemon runs on."""

from __future__ import annotations

import asyncio
import os

from quincespool.gateway.event_loop import make_event_loop


async def _name_of_loop() -> str:
    return type(asyncio.get_running_loop()).__module__


def test_a_daemon_runs_on_uvloop_without_io_uring() -> None:
    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        assert runner.run(_name_of_loop()).startswith("uvloop")
    assert os.environ["UV_USE_IO_URING"] == "0"
