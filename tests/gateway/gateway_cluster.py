"""Gateway daemons on one event loop, with stand-ins for the store and for backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from typing import TYPE_CHECKING

from quincespool.gateway.daemon import GatewayDaemon
from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.settings import GatewaySettings
from quincespool.platform import codec
from quincespool.platform.store import PlatformStore
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import make_backend_entry
from tests.support.platform_entries import make_configuration
from tests.support.standins.platform_engine import make_platform_engine
from tests.support.standins.platform_store import StoreState
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from typing import Self

    from tests.support.client import Reply
    from tests.support.standins.platform_engine import PlatformEngine
    from tests.support.standins.platform_engine import Run
    from tests.support.standins.platform_store import PlatformStoreStandIn

LEASE_MS = 1_000


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


class Node:
    """One daemon and the stand-in through which it reaches the store."""

    def __init__(self, settings: GatewaySettings, store: PlatformStoreStandIn) -> None:
        self.settings = settings
        self.store = store
        self.daemon = GatewayDaemon(
            settings,
            load_settings=lambda: settings,
            make_store=self._make_store,
            codec=codec,
            log=DecisionLog(asyncio.get_running_loop().time),
        )

    @property
    def address(self) -> str:
        return self.settings.caller_address

    @property
    def owned(self) -> list[str]:
        return [str(one) for one in self.daemon._ownership.owned]

    def _make_store(self, on_call: Callable[[str, str], None]) -> PlatformStore:
        return PlatformStore(
            address=self.store.address,
            lease_ms=LEASE_MS,
            time_limit_ms=300,
            partition_count=self.settings.store_partitions,
            on_call=on_call,
        )


class GatewayCluster:
    """A cluster of daemons `a`, `b`, ... with two engines and one plain backend server."""

    def __init__(self, count: int = 2, *, store_retention_s: float = 300.0) -> None:
        self.state = StoreState()
        self.state.retention_s = store_retention_s
        self.nodes: dict[str, Node] = {}
        self.engines: dict[str, PlatformEngine] = {}
        self._count = count
        self._ids = itertools.count(1)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        for backend_id, service in (("e1", "model"), ("e2", "model"), ("s1", "plain")):
            engine = await self._stack.enter_async_context(make_platform_engine(backend_id))
            self.engines[backend_id] = engine
            self.write_backend_entry(backend_id, service)
        self.configure(1)
        for name in "abcdefgh"[: self._count]:
            await self.add_node(name)
        await self.until(self.is_settled)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            await node.daemon.close()
        await self._stack.aclose()

    async def add_node(self, name: str) -> Node:
        """Starts a daemon."""
        store = await self._stack.enter_async_context(make_platform_store(self.state))
        caller, ready, directory, metrics, peer = _free_ports(5)
        settings = GatewaySettings(
            member_id=name,
            zone="z",
            host="127.0.0.1",
            caller_address=f"127.0.0.1:{caller}",
            ready_address=f"127.0.0.1:{ready}",
            directory_address=f"127.0.0.1:{directory}",
            metrics_port=metrics,
            peer_port=peer,
            store_address=store.address,
            store_partitions=8,
            owner_topics=1,
            owner_lease_ms=LEASE_MS,
            store_retention_s=self.state.retention_s,
            backends_interval_ms=50,
            addresses_valid_ms=100,
        )
        node = Node(settings, store)
        self.nodes[name] = node
        await node.daemon.start()
        return node

    def set_store(self, *names: str, down: bool) -> None:
        """Sets whether the store refuses the requests of some daemons."""
        for name in names:
            self.nodes[name].store.knobs.down = down

    async def start_store_outage(self, *names: str) -> None:
        """Makes the store refuse requests of some daemons; waits until they have detected it."""
        self.set_store(*names, down=True)
        await self.until(
            lambda: not any(self.nodes[name].daemon._store_health.reachable for name in names)
        )

    async def crash_node(self, name: str) -> None:
        """Stops a daemon as a crash would: it neither releases partitions nor drains."""
        node = self.nodes.pop(name)
        for one in list(node.daemon._ownership.owned.values()):
            one.mark_lost("killed")
        node.daemon._ownership._is_joining = False
        await node.daemon.close()

    def write_backend_entry(self, backend_id: str, service: str, *, state: str = "ready") -> None:
        """Writes the entry of a backend server to the store."""
        address = self.engines[backend_id].address
        entry = make_backend_entry(service, address, zone="z", state=state)
        own_id = self.engines[backend_id].backend_id
        self.state.put("keyed.servers", own_id, entry)

    async def replace_engine(self, key: str, backend_id: str, service: str) -> None:
        """Replaces a crashed backend server by a new one; waits until all daemons know it."""
        old_id = self.engines[key].backend_id
        self.state.put("keyed.servers", old_id, None)
        engine = await self._stack.enter_async_context(make_platform_engine(backend_id))
        self.engines[key] = engine
        self.write_backend_entry(key, service)
        await self.until(
            lambda: all(backend_id in node.daemon._backends.entries for node in self.nodes.values())
        )

    def configure(
        self,
        version: int,
        *,
        limits: Mapping[str, object] | None = None,
        accounts: list[dict[str, object]] | None = None,
        **changes: object,
    ) -> None:
        """Writes a configuration; `changes` override fields of the streaming route."""
        body = make_configuration(version, limits=limits, accounts=accounts, stream_changes=changes)
        self.state.put("keyed.op", "config", body)

    def is_settled(self) -> bool:
        """Returns whether all daemons are ready, and each partition has one owner."""
        owned = [
            one
            for node in self.nodes.values()
            for one in node.daemon._ownership.owned.values()
            if one.ready
        ]
        known = all(
            len(n.daemon._members.others) >= len(self.nodes) - 1 for n in self.nodes.values()
        )
        ready = all(node.daemon._is_ready() and node.owned for node in self.nodes.values())
        return known and ready and len({one.partition for one in owned}) == 8 == len(owned)

    async def until(self, condition: Callable[[], object], limit_s: float = 10.0) -> None:
        """Waits until a condition is true.

        Raises:
          TimeoutError: If it is still false after `limit_s` seconds.
        """
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def turn(
        self,
        node: str,
        program_id: str,
        *,
        previous: str = "",
        call_id: str = "",
        body: bytes = b"hello",
        budget: int | None = None,
        max_tokens: int = 30,
        deadline_ms: int = 3_000,
        key: str = "",
        on_data: Callable[[bytes], None] | None = None,
    ) -> tuple[str, Reply]:
        """Sends a turn; returns its call id and the reply."""
        call_id = call_id or f"turn-{next(self._ids)}"
        headers = {
            "Host": HOST_NAME,
            "Request-Id": call_id,
            "Deadline-Ms": str(deadline_ms),
            "Program-Id": program_id,
            "Token-Usage": f"5,{max_tokens}",
        }
        if previous:
            headers["Previous-Turn"] = previous
        if budget is not None:
            headers["Token-Budget"] = str(budget)
        if key:
            headers["Credential"] = key
        address = self.nodes[node].address
        return call_id, await fetch(
            address, "POST", "/stream/x", headers=_lowered(headers), body=body, on_data=on_data
        )

    async def call(
        self, node: str, kind: str, *, body: bytes = b"", key: str = "", program_id: str = ""
    ) -> Reply:
        """Sends a call that belongs to no program's history."""
        headers = {
            "Host": HOST_NAME,
            "Request-Id": f"call-{next(self._ids)}",
            "Deadline-Ms": "1000",
        }
        if key:
            headers["Credential"] = key
        if program_id:
            headers["Program-Id"] = program_id
        address = self.nodes[node].address
        return await fetch(address, "POST", f"/{kind}/x", headers=_lowered(headers), body=body)

    def runs(self, call_id: str) -> list[bytes]:
        """Returns the bodies with which backend servers ran a call."""
        return [run.body for run in self.all_runs() if run.call_id == call_id]

    def all_runs(self) -> list[Run]:
        """Returns all calls that backend servers ran."""
        return [run for engine in self.engines.values() for run in engine.runs]


def _lowered(headers: dict[str, str]) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}
