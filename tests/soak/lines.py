"""How callers reach daemons: what the directory told them, and connections that they keep."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import urlencode

from tests.support.client import ConnectionLostError
from tests.support.client import connect
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    import random

    from tests.soak.deployment import SoakDaemon
    from tests.support.client import KeptConnection

CONNECT_LIMIT_S = 1.0
# Some callers keep an answer of the directory for so many times as long as it says.
KEPT_FACTOR = 3
# Daemons that are asked for their addresses, one after the other.
ASKED = 3
ZONES = ("z0", "z1")


class Style(NamedTuple):
    """A caller's habits.

    Attributes:
      keeps: Uses a connection until it is gone or an answer says that it will be.
      pipelines: Sends two requests at a time on it.
      kept_factor: For how many times their time it uses the directory's answers; 0 if it goes to
        any daemon.
    """

    keeps: bool
    pipelines: bool
    kept_factor: int


ONCE = Style(keeps=False, pipelines=False, kept_factor=0)
STYLES = (
    ONCE,
    Style(keeps=True, pipelines=False, kept_factor=1),
    Style(keeps=True, pipelines=True, kept_factor=KEPT_FACTOR),
    Style(keeps=False, pipelines=False, kept_factor=1),
    Style(keeps=True, pipelines=False, kept_factor=0),
    Style(keeps=True, pipelines=False, kept_factor=KEPT_FACTOR),
)


class Line:
    """One caller's way to the daemons."""

    def __init__(self, daemons: list[SoakDaemon], chance: random.Random, style: Style) -> None:
        self.style = style
        self._daemons = daemons
        self._chance = chance
        self._kept: KeptConnection | None = None
        self._daemon: SoakDaemon | None = None
        self._opening = asyncio.Lock()
        self._under_way: Counter[KeptConnection] = Counter()
        self._named: list[str] = []
        self._named_until_s = 0.0
        self._failed: set[str] = set()

    async def open(self) -> tuple[KeptConnection, SoakDaemon]:
        """Returns a connection for one request, to be handed back by `give_back`.

        Raises:
          ConnectionLostError: if it cannot be made.
        """
        async with self._opening:
            kept, daemon = self._kept, self._daemon
            is_free = kept is None or not self._under_way[kept] or self.style.pipelines
            if kept is None or daemon is None or not is_free or not kept.usable:
                daemon = await self._choose()
                kept = await self._connect(daemon)
                if self.style.keeps and is_free:
                    self._kept, self._daemon = kept, daemon
            self._under_way[kept] += 1
            return kept, daemon

    def give_back(self, connection: KeptConnection, *, gave_up: bool) -> None:
        """Closes a connection that is of no more use."""
        self._under_way[connection] -= 1
        is_wanted = connection is self._kept and connection.usable
        if gave_up or not (is_wanted or self._under_way[connection]):
            connection.close()
        if not self._under_way[connection]:
            del self._under_way[connection]

    async def _connect(self, daemon: SoakDaemon) -> KeptConnection:
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                return await connect(daemon.address)
        except (ConnectionLostError, TimeoutError) as error:
            self._failed.add(daemon.address)
            raise ConnectionLostError("no connection", sent=False) from error

    async def _choose(self) -> SoakDaemon:
        daemons = {one.address: one for one in self._daemons}
        if not self.style.kept_factor:
            return self._chance.choice(list(daemons.values()))
        if time.monotonic() >= self._named_until_s:
            await self._ask()
        named = [one for one in self._named if one in daemons]
        offered = [one for one in named if one not in self._failed]
        return daemons[self._chance.choice(offered or named or list(daemons))]

    async def _ask(self) -> None:
        question = urlencode({"name": HOST_NAME, "region": "r", "zone": self._chance.choice(ZONES)})
        for daemon in self._chance.sample(self._daemons, min(ASKED, len(self._daemons))):
            address = f"127.0.0.1:{daemon.ports.directory}"
            try:
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    reply = await fetch(address, "GET", f"/resolve?{question}")
            except (ConnectionLostError, TimeoutError):
                continue
            if reply.status == 200 and reply.json()["addresses"]:
                self._named = reply.json()["addresses"]
                valid_s = reply.json()["ttl_s"] * self.style.kept_factor
                self._named_until_s = time.monotonic() + valid_s
                self._failed.clear()
                return
