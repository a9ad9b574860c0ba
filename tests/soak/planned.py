"""Planned work: stops, SIGHUP, new configurations, engines that leave; nothing may be lost."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import msgspec

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import make_configuration

if TYPE_CHECKING:
    import random

    from tests.soak.deployment import SoakDaemon
    from tests.soak.deployment import SoakDeployment

PLANNED = (
    "stop",
    "stops",
    "roll",
    "reloads",
    "configurations",
    "engine_leaves",
    "changed_stops",
    "redeals",
)
# Every daemon at nearly the same moment, which the other kinds meet rarely.
TOGETHER = ("all_at_once",)
TOGETHER_S = 0.1
TIMEOUTS_MS = (2_400, 2_700, ROUTE_LIMIT_MS)
ADDED_PATH = "/added/"
# An engine that leaves says so, is removed later and serves what it has.
DRAINING_S = 1.0


class Planned:
    """One series of planned work, drawn from its own chance."""

    def __init__(self, deployment: SoakDeployment, chance: random.Random, for_s: float) -> None:
        self._deployment = deployment
        self._chance = chance
        self._for_s = for_s

    async def carry_out(self, kind: str, number: int) -> None:
        """Does one of `PLANNED` or `TOGETHER`."""
        daemon = self._deployment.pick_daemon(number)
        if kind == "stop":
            await self._stop(daemon, 0.0)
        elif kind in ("stops", "roll"):
            await self._stop_many(one_by_one=kind == "roll")
        elif kind == "all_at_once":
            await self._stop_all()
        elif kind == "reloads":
            await self._reload(daemon)
        elif kind == "engine_leaves":
            await self._leave(number)
        elif kind == "redeals":
            await self._redeal()
        elif kind == "configurations":
            await self._configure()
        else:
            await asyncio.gather(self._configure(), self._reload(daemon), self._stop(daemon, 0.3))

    async def _stop_many(self, *, one_by_one: bool) -> None:
        daemons = self._deployment.daemons
        count = self._chance.randint(2, max(2, len(daemons) - (not one_by_one)))
        chosen = self._chance.sample(daemons, min(count, len(daemons)))
        step_s = 1.0 if one_by_one else 0.0
        await asyncio.gather(
            *[
                self._stop(daemon, step_s * place + self._chance.uniform(0, 1))
                for place, daemon in enumerate(chosen)
            ]
        )

    async def _stop_all(self) -> None:
        delays_s = [self._chance.uniform(0, TOGETHER_S) for _ in self._deployment.daemons]
        stops = zip(self._deployment.daemons, delays_s, strict=True)
        await asyncio.gather(*[self._stop(daemon, delay_s) for daemon, delay_s in stops])

    async def _stop(self, daemon: SoakDaemon, after_s: float) -> None:
        await asyncio.sleep(after_s)
        with self._deployment.diary.during("stop", daemon.name):
            await daemon.end(signal.SIGTERM)
            await asyncio.sleep(self._for_s / 3)
            await daemon.start()

    async def _reload(self, daemon: SoakDaemon) -> None:
        for _ in range(self._chance.randint(1, 5)):
            with self._deployment.diary.during("reload", daemon.name):
                await daemon.reload(self._chance.choice((300, 500, 800)))
            await asyncio.sleep(self._chance.uniform(0, self._for_s / 3))

    async def _redeal(self) -> None:
        for _ in range(self._chance.randint(1, 3)):
            with self._deployment.diary.during("redeals"):
                self._deployment.state.redeal()
            await asyncio.sleep(self._chance.uniform(0.5, 0.5 + self._for_s))

    async def _configure(self) -> None:
        for _ in range(self._chance.randint(1, 4)):
            with self._deployment.diary.during("configure"):
                self._deployment.configure(self._make_configuration())
            await asyncio.sleep(self._chance.uniform(0, self._for_s / 2))

    def _make_configuration(self) -> bytes:
        self._deployment.version += self._chance.randint(1, 40)
        spare = self._chance.randint(0, 2)
        shares = [{"service": "model", "weight": 4}, {"service": "spare", "weight": spare}]
        config = msgspec.json.decode(
            make_configuration(
                self._deployment.version,
                plain_limit_ms=self._chance.choice(TIMEOUTS_MS),
                stream_changes={
                    "timeout_ms": self._chance.choice(TIMEOUTS_MS),
                    "weighted_backends": shares if spare else shares[:1],
                },
                has_resumable=True,
            )
        )
        if self._chance.random() < 0.5:
            added = {
                "name": "added",
                "hostname": HOST_NAME,
                "path_prefix": ADDED_PATH,
                "kind": "idempotent",
                "timeout_ms": self._chance.choice(TIMEOUTS_MS),
                "service": "plain",
                "max_attempts": 2,
            }
            config["routes"].append(added)
        config["services"].append({**config["services"][0], "name": "spare"})
        return msgspec.json.encode(config)

    async def _leave(self, number: int) -> None:
        deployment = self._deployment
        name = deployment.pick_backend(number)
        # Its service keeps at least one engine.
        if deployment.away or name.startswith("spare"):
            return
        with deployment.diary.during("engine_leaves"):
            deployment.away[name] = False
            deployment.announce(name)
            await asyncio.sleep(DRAINING_S)
            deployment.away[name] = True
            deployment.announce(name)
            await asyncio.sleep(self._for_s)
            del deployment.away[name]
            deployment.announce(name)
