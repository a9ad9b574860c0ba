"""Faults by seed, some of them together."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from typing import TYPE_CHECKING

from tests.processes.deployment import DAEMONS
from tests.processes.deployment import ENGINES
from tests.processes.deployment import SERVICES

if TYPE_CHECKING:
    from tests.processes.deployment import Deployment


_STOP_LIMIT_S = 120


class Faults:
    """Breaks things, each for a while, until it is told to stop.

    Attributes:
      done: How often each fault was brought about.
    """

    def __init__(self, deployment: Deployment, *, seed: int) -> None:
        self.done: Counter[str] = Counter()
        self._deployment = deployment
        self._random = random.Random(f"faults {seed}")
        self._stopping = asyncio.Event()
        self._broken: set[str] = set()
        self._kinds = [
            self._kill,
            self._kill,
            self._freeze,
            self._freeze,
            self._planned_stop,
            self._log_out,
            self._log_slow,
            self._lose_log_answers,
            self._cut_service,
            self._service_slow,
            self._engine_away,
        ]

    def stop(self) -> None:
        """Begins no more faults; those that last are ended as they would have been."""
        self._stopping.set()

    async def run(self) -> None:
        """Goes on until stopped, with up to two faults at once."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._break_things())
            group.create_task(self._break_things())

    async def _break_things(self) -> None:
        while not self._stopping.is_set():
            await self._pause(self._random.uniform(0.3, 4))
            await self._random.choice(self._kinds)()

    async def _kill(self) -> None:
        name = self._random.choice(list(DAEMONS))
        if name in self._broken:
            return
        self._note("kill", name)
        self._deployment.kill(name)
        await self._pause(self._random.choice([0.1, 1, 4, 8]))
        self._deployment.restart(name)
        await self._wait_ready(name)
        self._broken.discard(name)

    async def _freeze(self) -> None:
        name = self._random.choice(list(DAEMONS))
        if name in self._broken:
            return
        self._note("freeze", name)
        self._deployment.freeze(name)
        await self._pause(self._random.choice([0.5, 2, 5, 9]))
        self._deployment.thaw(name)
        self._broken.discard(name)

    async def _planned_stop(self) -> None:
        name = self._random.choice(list(DAEMONS))
        if name in self._broken:
            return
        self._note("planned stop", name)
        process = self._deployment.cluster[name]
        process.signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, _STOP_LIMIT_S)
        self._deployment.restart(name)
        await self._wait_ready(name)
        self._broken.discard(name)

    async def _log_out(self) -> None:
        self._note("log out")
        await self._control("log", reads_out=True, appends_out=True)
        await self._pause(self._random.choice([0.3, 2, 4]))
        await self._control("log", reads_out=False, appends_out=False)

    async def _log_slow(self) -> None:
        self._note("log slow")
        await self._control("log", delay_ms=self._random.choice([50, 300, 1500]))
        await self._pause(self._random.choice([1, 3]))
        await self._control("log", delay_ms=0)

    async def _lose_log_answers(self) -> None:
        self._note("log answers lost")
        after = self._random.random() < 0.7
        await self._control("log", **{"lose_after_write" if after else "lose_before_write": 5})

    async def _cut_service(self) -> None:
        self._note("service connections cut")
        fault = self._random.choice(["cut_before", "cut_after", "fail_before", "fail_after"])
        await self._control(self._random.choice(SERVICES), **{fault: 2})

    async def _service_slow(self) -> None:
        self._note("service slow")
        service = self._random.choice(SERVICES)
        await self._control(service, delay_ms=self._random.choice([100, 500]))
        await self._pause(3)
        await self._control(service, delay_ms=5)

    async def _engine_away(self) -> None:
        self._note("engine away")
        away_ms = self._random.choice([300, 2000])
        await self._control(self._random.choice(ENGINES), unreachable_ms=away_ms)

    def _note(self, fault: str, daemon: str = "") -> None:
        self.done[fault] += 1
        if daemon:
            self._broken.add(daemon)

    async def _control(self, name: str, **knobs: object) -> None:
        await asyncio.to_thread(self._control_now, name, knobs)

    def _control_now(self, name: str, knobs: dict[str, object]) -> None:
        try:
            self._deployment.cluster.control(name, **knobs)
        except OSError:
            # An engine that is away already refuses the order to go away.
            return

    async def _wait_ready(self, name: str) -> None:
        await asyncio.to_thread(self._deployment.cluster.wait_ready, name)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._stopping.wait()
        except TimeoutError:
            return
