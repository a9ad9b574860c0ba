"""Gateway daemons as processes, before a store and backend servers that the soak can hurt."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import socket
import sys
import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self

import msgspec

from tests.soak.diary import GRACE_S
from tests.soak.diary import Diary
from tests.soak.diary import Limits
from tests.soak.proxy import Proxy
from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.platform_entries import make_backend_entry
from tests.support.platform_entries import make_configuration
from tests.support.standins.platform_engine import CutBy
from tests.support.standins.platform_engine import CutPlace
from tests.support.standins.platform_engine import make_platform_engine
from tests.support.standins.platform_store import StoreState
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import Iterable
    from collections.abc import Mapping
    from pathlib import Path

    from tests.support.standins.platform_engine import PlatformEngine
    from tests.support.standins.platform_store import PlatformStoreStandIn

ROUTE_LIMIT_MS = 3_000
START_LIMIT_S = 30.0
MODEL_COUNT = 3
# Of an engine on its own, between two events.
GAP_MS = 10.0
ADDRESSES_VALID_MS = 500
# Of the store's records; longer than a soak.
RETENTION_S = 300.0
# Entries of backend servers are written again this often, as their own heartbeats would.
ANNOUNCE_S = 0.5


class Ports(NamedTuple):
    """Where one daemon listens."""

    front: int
    ready: int
    directory: int
    metrics: int
    peer: int


class SoakDaemon:
    """One daemon, started again and again under the same name and addresses."""

    def __init__(
        self,
        name: str,
        folder: Path,
        store: PlatformStoreStandIn,
        way: Proxy,
        *,
        changes: Mapping[str, object] | None = None,
    ) -> None:
        """Creates a daemon that does not run yet; `changes` override its settings."""
        self.name = name
        self.store = store
        self.way_to_store = way
        self.ports = Ports(*_free_ports(len(Ports._fields)))
        # The stops that took longer than their grace: name, process and Unix time in milliseconds.
        self.killed: list[str] = []
        self._folder = folder
        self._changes = changes or {}
        self._starting = asyncio.Lock()
        self._process: Process | None = None
        self._settings = folder / f"{name}.json"
        self._write_settings(ADDRESSES_VALID_MS)

    @property
    def address(self) -> str:
        """Where callers connect."""
        return f"127.0.0.1:{self.ports.front}"

    async def start(self) -> None:
        """Starts a process if there is none."""
        # Two that start it at once would leave a process that nobody ends.
        async with self._starting:
            if self._process is not None and self._process.returncode is None:
                return
            with (self._folder / f"{self.name}.log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "quincespool",
                    "gateway",
                    str(self._settings),
                    stdout=log,
                    stderr=log,
                    preexec_fn=_end_with_parent,
                )

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if there is one."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def reload(self, addresses_valid_ms: int) -> None:
        """Changes the settings and sends SIGHUP, which would end a process that has just begun."""
        self._write_settings(addresses_valid_ms)
        if await self.is_ready():
            self.signal(signal.SIGHUP)

    async def end(self, number: int) -> None:
        """Ends the process by a signal and waits until it is gone, killed after the grace."""
        self.signal(number)
        process = self._process
        if process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            at_ms = time.time_ns() // 1_000_000
            self.killed.append(f"{self.name} (process {process.pid}) at {at_ms}")
            process.kill()
            await process.wait()

    async def is_ready(self) -> bool:
        """Whether the daemon says that it serves."""
        try:
            async with asyncio.timeout(1):
                return (await fetch(f"127.0.0.1:{self.ports.ready}", "GET", "/ready")).status == 200
        except (ConnectionLostError, TimeoutError):
            return False

    def _write_settings(self, addresses_valid_ms: int) -> None:
        settings = {**self._make_settings(addresses_valid_ms), **self._changes}
        self._settings.write_bytes(msgspec.json.encode(settings))

    def _make_settings(self, addresses_valid_ms: int) -> dict[str, object]:
        return {
            "member_id": self.name,
            "zone": f"z{ord(self.name[-1]) % 2}",
            "host": "127.0.0.1",
            "caller_address": self.address,
            "ready_address": f"127.0.0.1:{self.ports.ready}",
            "directory_address": f"127.0.0.1:{self.ports.directory}",
            "metrics_port": self.ports.metrics,
            "peer_port": self.ports.peer,
            "store_address": self.way_to_store.address,
            "store_partitions": 8,
            "store_retention_s": self.store.state.retention_s,
            "owner_topics": 1,
            "owner_lease_ms": 1_000,
            "backends_interval_ms": 100,
            "stop_grace_s": GRACE_S,
            "addresses_valid_ms": addresses_valid_ms,
        }


class SoakDeployment:
    """Some daemons, engines of two models and two plain servers.

    Attributes:
      diary: What was done to it.
      away: Engines that have said that they leave, and whether their entry is removed.
    """

    def __init__(
        self,
        folder: Path,
        daemon_count: int,
        *,
        retention_s: float = RETENTION_S,
        settings: Mapping[str, object] | None = None,
    ) -> None:
        """Creates a deployment that does not run yet; `settings` override those of daemons."""
        self.state = StoreState()
        self.state.retention_s = retention_s
        self.daemons: list[SoakDaemon] = []
        self.engines: dict[str, PlatformEngine] = {}
        self.ways: dict[str, Proxy] = {}
        self.diary = Diary()
        self.away: dict[str, bool] = {}
        self.gaps_ms: dict[str, float] = {}
        self.version = 1
        self._folder = folder
        self._count = daemon_count
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._announcing: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        models = [f"model{number}" for number in range(max(MODEL_COUNT, self._count // 2))]
        for backend_id in (*models, "spare1", "plain1", "plain2"):
            engine = make_platform_engine(backend_id, gap_ms=GAP_MS)
            self.engines[backend_id] = await self._stack.enter_async_context(engine)
            way = Proxy(engine.address)
            self.ways[backend_id] = await self._stack.enter_async_context(way)
        self.configure(make_configuration(1, plain_limit_ms=ROUTE_LIMIT_MS, has_resumable=True))
        self._announcing = asyncio.create_task(self._announce())
        for number in range(self._count):
            store = await self._stack.enter_async_context(make_platform_store(self.state))
            way = await self._stack.enter_async_context(Proxy(store.address))
            name = f"d{number}"
            self.daemons.append(SoakDaemon(name, self._folder, store, way, changes=self._settings))
        await asyncio.gather(*[one.start() for one in self.daemons])
        await self.until_ready(START_LIMIT_S + self._count)
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
        await asyncio.gather(*[one.end(signal.SIGKILL) for one in self.daemons])
        for daemon in self.daemons:
            _taken.difference_update(daemon.ports)
        if self._announcing is not None:
            self._announcing.cancel()
        await self._stack.aclose()

    async def heal(self) -> None:
        """Ends all faults and has all daemons run."""
        self.slow_down(dict.fromkeys(self.engines, GAP_MS))
        for way in [*self.ways.values(), *(one.way_to_store for one in self.daemons)]:
            way.heal()
        for daemon in self.daemons:
            knobs = daemon.store.knobs
            knobs.down, knobs.silent, knobs.lose_writes, knobs.delay_ms = False, False, 0, 0
            daemon.signal(signal.SIGCONT)
            await daemon.start()

    def slow_down(self, gaps_ms: dict[str, float]) -> None:
        """Sets how slow backend servers are by themselves, between two events."""
        self.gaps_ms = gaps_ms
        for backend_id in gaps_ms:
            self.heal_backend(backend_id)

    def heal_backend(self, backend_id: str) -> None:
        """Ends all faults of a backend server; it stays as slow as it is by itself."""
        knobs = self.engines[backend_id].knobs
        knobs.full, knobs.cut_after, knobs.has_chunks = False, -1, True
        knobs.cut_by, knobs.cut_place = CutBy.CLOSE, CutPlace.BEFORE_EVENT
        knobs.gap_ms = self.gaps_ms.get(backend_id, GAP_MS)
        self.ways[backend_id].heal()

    async def until_ready(self, limit_s: float) -> None:
        """Waits until all daemons serve.

        Raises:
          TimeoutError: if they do not.
        """
        async with asyncio.timeout(limit_s):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.05)

    def pick_daemon(self, number: int) -> SoakDaemon:
        """Returns the daemon that a number takes."""
        return self.daemons[number % len(self.daemons)]

    def pick_backend(self, number: int) -> str:
        """Returns the name of the backend server that a number takes."""
        return sorted(self.engines)[number % len(self.engines)]

    def pick_engine(self, number: int) -> str:
        """Returns the name of the engine that a number takes; plain servers send no streams."""
        names = sorted(name for name in self.engines if not name.startswith("plain"))
        return names[number % len(names)]

    def configure(self, body: bytes) -> None:
        """Writes a configuration."""
        routes = msgspec.json.decode(body)["routes"]
        limits_ms = {route["path_prefix"]: route["timeout_ms"] for route in routes}
        self.diary.limits.append(Limits(time.monotonic(), limits_ms))
        self.state.put("keyed.op", "config", body)

    def announce(self, backend_id: str) -> None:
        """Writes the entry of a backend server, or removes it."""
        zone = f"z{ord(backend_id[-1]) % 2}"
        state = "draining" if backend_id in self.away else "ready"
        address = self.ways[backend_id].address
        entry = make_backend_entry(backend_id[:5], address, zone=zone, state=state)
        is_removed = self.away.get(backend_id, False)
        self.state.put("keyed.servers", backend_id, None if is_removed else entry)

    def runs(self) -> Iterable[tuple[str, bytes]]:
        """Yields the id and the body of each call that a backend server ran."""
        for engine in self.engines.values():
            for run in engine.runs:
                yield run.call_id, run.body

    async def _announce(self) -> None:
        while True:
            for backend_id in self.ways:
                if not self.away.get(backend_id):
                    self.announce(backend_id)
            await asyncio.sleep(ANNOUNCE_S)


def _end_with_parent() -> None:
    # A daemon that outlives its soak would join the store of a later one that has its ports.
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


_PR_SET_PDEATHSIG = 1


def _free_ports(count: int) -> list[int]:
    # Below the range from which the kernel takes ports for outgoing connections, apart for each
    # process that runs a soak, so that a daemon finds its ports free when it starts again.
    base = 10_000 + (os.getpid() % 100) * 200
    ports: list[int] = []
    for port in range(base, base + 20_000):
        if len(ports) == count:
            break
        if port in _taken or not _is_free(port):
            continue
        _taken.add(port)
        ports.append(port)
    return ports


_taken: set[int] = set()


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
