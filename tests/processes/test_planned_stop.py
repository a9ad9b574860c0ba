"""Planned stops under load."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import LIMIT_S

if TYPE_CHECKING:
    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment

PROGRAMS = 8


def test_rolling_restart_fails_no_request(deployment: Deployment) -> None:
    """A caller's connection breaks, or its call is refused, because hosts are being replaced.

    Every daemon in turn is asked to stop by SIGTERM and started anew, while programs stream
    answers and place orders without a pause. One engine has been listed as leaving and has dropped
    out of the list: daemons started since send calls to it, and its keeper refuses them.
    """
    deployment.control("hosts", hosts=deployment.hosts("leaving", "engine-2"))
    deployment.wait_hosts_read()
    deployment.control("hosts", hosts=deployment.hosts("live", "engine-1"))
    for engine in ("engine-1", "engine-2"):
        deployment.control(engine, latency_scale=0.5)
    programs = [deployment.program() for _ in range(PROGRAMS)]
    done = asyncio.Event()

    async def work(program: CarefulProgram) -> None:
        while not done.is_set():
            await program.chat("Is insulin in stock?", stream=True)
            await program.order()

    async def run() -> None:
        async with asyncio.TaskGroup() as group:
            for program in programs:
                group.create_task(work(program))
            for name in DAEMONS:
                deployment.cluster[name].signal(signal.SIGTERM)
                assert await asyncio.to_thread(deployment.cluster[name].wait, LIMIT_S) == 0
                deployment.restart(name)
                await asyncio.to_thread(deployment.cluster.wait_ready, name)
            done.set()

    asyncio.run(run())
    deployment.check(programs)
    told = [told for program in programs for told in program.told]
    failed = [one for one in told if one.verdict != Verdict.RAN or one.status != 200]
    assert not failed, failed
    assert sum(program.losses for program in programs) == 0
    assert all(len(program.told) > 2 for program in programs)
