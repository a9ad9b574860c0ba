"""One gateway daemon on a small host, with stand-ins for the store and for backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import msgspec

from tests.abuse.crowd import Crowd
from tests.abuse.usage import SMALL_HOST
from tests.abuse.usage import PeakUsage
from tests.soak.deployment import SoakDaemon
from tests.soak.proxy import Proxy
from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.deploy_template import render
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import make_backend_entry
from tests.support.platform_entries import make_configuration
from tests.support.standins.platform_engine import make_platform_engine
from tests.support.standins.platform_store import StoreState
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from pathlib import Path

    from tests.abuse.crowd import Flood
    from tests.support.standins.platform_engine import PlatformEngine
    from tests.support.standins.platform_store import PlatformStoreStandIn

START_LIMIT_S = 30.0
# A daemon that answers no ordinary caller within so many tries serves none.
TRIES = 40
TRY_LIMIT_S = 5.0
RETRY_S = 0.5


# What clients may send, in the configuration.
CALLER_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
PLAIN_LIMIT_MS = 20_000


class _Daemon(SoakDaemon):
    """A daemon whose settings are rendered from the deploy template."""

    @property
    def process_id(self) -> int:
        """Of the process that runs; only after `start`."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def _make_settings(self, addresses_valid_ms: int) -> dict[str, object]:
        fields = {
            "node_name": self.name,
            "zone": "z",
            "ip": "127.0.0.1",
            "listen.front": self.address,
            "listen.readiness": f"127.0.0.1:{self.ports.ready}",
            "listen.directory": f"127.0.0.1:{self.ports.directory}",
            "internal_ports.0": self.ports.metrics,
            "internal_ports.1": self.ports.peer,
            "limits.memory_mb": SMALL_HOST.memory_mb,
            "limits.max_fds": SMALL_HOST.max_descriptors,
            "platform.address": self.way_to_store.address,
            "platform.parts": 8,
            "platform.min_ttl_ms": 1_000,
        }
        settings: dict[str, object] = msgspec.json.decode(render(fields))
        return settings | {"addresses_valid_ms": addresses_valid_ms}


class SmallHostDeployment:
    """A daemon on `SMALL_HOST`, an engine and a plain backend server.

    Attributes:
      daemon: The daemon.
      engine: Generates tokens.
      plain: Answers calls without tokens.
      store: The store that the daemon reaches.
      caller_limits: What clients may send, by the names of the configuration.
    """

    caller_limits = CALLER_LIMITS

    def __init__(self, folder: Path) -> None:
        self.daemon: _Daemon
        self.engine: PlatformEngine
        self.plain: PlatformEngine
        self.store: PlatformStoreStandIn
        self._folder = folder
        self._asked = 0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        enter = self._stack.enter_async_context
        state = StoreState()
        state.retention_s = 300.0
        self.engine = await enter(make_platform_engine("model1"))
        self.plain = await enter(make_platform_engine("plain1"))
        for backend_id, server in (("model1", self.engine), ("plain1", self.plain)):
            entry = make_backend_entry(backend_id[:5], server.address, zone="z")
            state.put("keyed.servers", backend_id, entry)
        configuration = make_configuration(
            1, plain_limit_ms=PLAIN_LIMIT_MS, limits=CALLER_LIMITS, has_resumable=True
        )
        state.put("keyed.op", "config", configuration)
        self.store = await enter(make_platform_store(state))
        way = await enter(Proxy(self.store.address))
        self.daemon = _Daemon("small1", self._folder, self.store, way)
        await self.daemon.start()
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.daemon.is_ready():
                assert self.daemon.is_running
                await asyncio.sleep(RETRY_S)
        await self.ask_ordinarily()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.daemon.end(signal.SIGKILL)
        await self._stack.aclose()

    async def withstand(self, *floods: Flood) -> None:
        """Sends the floods, and fails unless the daemon stays within the host and serves."""
        async with PeakUsage(self.daemon.process_id, self.daemon.ports) as usage:
            async with Crowd(floods) as crowd:
                await crowd.until_quiet()
                assert self.daemon.is_running
                await self.ask_ordinarily()
            await self.ask_ordinarily()
        assert self.daemon.is_running
        usage.check(SMALL_HOST)

    async def ask_ordinarily(self) -> None:
        """Fails unless a turn is answered whole, retried as ordinary callers do."""
        told: list[Any] = []
        for _ in range(TRIES):
            self._asked += 1
            call_id = f"ordinary{self._asked}"
            try:
                async with asyncio.timeout(TRY_LIMIT_S):
                    reply = await fetch(
                        self.daemon.address,
                        "POST",
                        "/stream/resumable/x",
                        headers=call_headers(call_id) | {"token-usage": "5,30"},
                        body=b"asks",
                    )
            except (ConnectionLostError, TimeoutError) as error:
                told.append(repr(error))
            else:
                if reply.status == 200:
                    return
                told.append((reply.status, reply.body))
            await asyncio.sleep(RETRY_S)
        raise AssertionError(f"no ordinary caller is served: {told}")


def call_headers(call_id: str) -> dict[str, str]:
    """Returns the headers that a well-formed call has."""
    return {
        "host": HOST_NAME,
        "request-id": call_id,
        "deadline-ms": str(PLAIN_LIMIT_MS),
        "program-id": f"program-of-{call_id}",
    }
