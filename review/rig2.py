"""What the scripts of the second review share: daemons, a store, engines and clients on loopback.

The daemons are processes, started by the command of `deploy/system.toml` with the settings of its
template. The store and the engines are the project's own stand-ins, in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Self

from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.standins.platform_engine import make_platform_engine
from tests.support.standins.platform_store import StoreState
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from tests.support.standins.platform_engine import PlatformEngine
    from tests.support.standins.platform_store import PlatformStoreStandIn

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "callers.example"
ZONES = ("bole", "kality", "akaki", "merkato")
ANNOUNCE_S = 0.5
READY_LIMIT_S = 30.0
GRACE_S = 8.0
PR_SET_PDEATHSIG = 1
# Exit status of a broken rule; `run.sh` makes it 1, which an unexpected error of Python has, too.
BROKEN = 10
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt` of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Writes one line."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {what} {shown}\n")
        self._file.flush()


class Ports(NamedTuple):
    """Where one daemon listens."""

    front: int
    ready: int
    directory: int
    metrics: int
    peer: int


class Daemon:
    """One daemon, which may be started again under the same name and addresses."""

    def __init__(self, number: int, folder: pathlib.Path, store: PlatformStoreStandIn) -> None:
        self.name = f"edge-{ZONES[number % len(ZONES)]}-{number}"
        self.store = store
        self.ports = Ports(*free_ports(len(Ports._fields)))
        self.address = f"127.0.0.1:{self.ports.front}"
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(self._make_settings(ZONES[number % len(ZONES)])))

    async def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["QUINCESPOOL_NODE_FILE"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "quincespool",
                "gateway",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Ends the process and waits until it is gone; it is killed after the grace period."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Whether the daemon says that it serves."""
        try:
            async with asyncio.timeout(1):
                return (await fetch(f"127.0.0.1:{self.ports.ready}", "GET", "/ready")).status == 200
        except (ConnectionLostError, TimeoutError):
            return False

    async def state(self) -> dict[str, Any]:
        """Returns the daemon's state dump."""
        return (await fetch(f"127.0.0.1:{self.ports.metrics}", "GET", "/state")).json()

    def _make_settings(self, zone: str) -> dict[str, object]:
        return {
            "member_id": self.name,
            "zone": zone,
            "host": "127.0.0.1",
            "caller_address": self.address,
            "ready_address": f"127.0.0.1:{self.ports.ready}",
            "directory_address": f"127.0.0.1:{self.ports.directory}",
            "metrics_port": self.ports.metrics,
            "peer_port": self.ports.peer,
            "store_address": self.store.address,
            "store_partitions": 8,
            "admission_control": True,
            "stop_grace_s": GRACE_S,
            "owner_lease_ms": 1_000,
            "store_retention_s": 300,
        }


class Answer(NamedTuple):
    """What a client got for one attempt; status 0 if it was broken off."""

    status: int
    events: int = 0
    retry_after_s: float = 0.0
    body: bytes = b""


async def attempt(
    address: str,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    *,
    limit_s: float = 5.0,
    on_events: Callable[[int], None] = lambda _: None,
) -> Answer:
    """Sends one request on a new connection and reads its answer, whole or a stream of events."""
    fields = {"Host": HOST_NAME, "Content-Length": str(len(body)), **fields}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    host, _, port = address.partition(":")
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
                return await _read_answer(reader, on_events)
            finally:
                writer.close()
    except (OSError, TimeoutError, EOFError, ValueError):
        return Answer(0)


async def _read_answer(reader: asyncio.StreamReader, on_events: Callable[[int], None]) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head.split(" ", 2)[1])
    fields = dict(line.split(": ", 1) for line in head.splitlines()[1:] if ": " in line)
    if "transfer-encoding" not in fields:
        text = await reader.readexactly(int(fields.get("content-length", "0")))
        return Answer(status, 0, float(fields.get("retry-after", "0")), text)
    text = b""
    while size := int(await reader.readline(), 16):
        text += await reader.readexactly(size)
        await reader.readexactly(2)
        on_events(text.count(b"\n\n"))
    return Answer(status, text.count(b"\n\n"), 0.0, text)


class Deployment:
    """A small deployment: daemons, the store and engines of one or more services."""

    def __init__(self, daemon_count: int, configuration: dict[str, object]) -> None:
        self.state = StoreState()
        self.configuration = configuration
        self.daemons: list[Daemon] = []
        self.engines: dict[str, PlatformEngine] = {}
        self.services: dict[str, str] = {}
        # The address under which an engine is announced, if it isn't its own.
        self.addresses: dict[str, str] = {}
        self._count = daemon_count
        self._stack = contextlib.AsyncExitStack()
        self._announcing: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        folder = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.folder = folder
        try:
            for engine_id in self.services:
                if engine_id not in self.engines:
                    self.engines[engine_id] = make_platform_engine(engine_id)
                await self._stack.enter_async_context(self.engines[engine_id])
            self.configure(self.configuration)
            self.announce_all()
            self._announcing = asyncio.create_task(self._announce())
            for number in range(self._count):
                store = await self._stack.enter_async_context(make_platform_store(self.state))
                self.daemons.append(Daemon(number, folder, store))
            await asyncio.gather(*[one.start() for one in self.daemons])
            await self.until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*[one.end() for one in self.daemons])
        if self._announcing is not None:
            self._announcing.cancel()
        await self._stack.aclose()

    def configure(self, configuration: dict[str, object]) -> None:
        """Writes a configuration as the operator does."""
        self.state.put("keyed.op", "config", json.dumps(configuration).encode())

    def announce_all(self) -> None:
        """Writes the entries of all engines."""
        for number, (engine_id, service) in enumerate(self.services.items()):
            entry = {
                "service": service,
                "address": self.addresses.get(engine_id, self.engines[engine_id].address),
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "slots": 12,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 0,
            }
            self.state.put("keyed.servers", engine_id, json.dumps(entry).encode())

    async def until_ready(self) -> None:
        """Waits until all daemons serve and together own all partitions.

        Raises:
          TimeoutError: if they do not in time.
        """
        async with asyncio.timeout(READY_LIMIT_S):
            while not all([await one.is_ready() for one in self.daemons]):
                await asyncio.sleep(0.1)
            while True:
                states = [await one.state() for one in self.daemons]
                owned = sum(p["ready"] for state in states for p in state["partitions"])
                if owned == 32 and all(len(s["daemons"]) == len(self.daemons) for s in states):
                    return
                await asyncio.sleep(0.1)

    def remove_entry(self, engine_id: str) -> None:
        """Removes the entry of an engine that has ended."""
        del self.services[engine_id]
        self.state.put("keyed.servers", engine_id, None)

    async def _announce(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_S)
            self.announce_all()


def run_case(make_case: Any) -> None:
    """Runs a case; exits with `BROKEN`, with 0 if the rule held, or with 2 if it could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    try:
        broken = asyncio.run(_run_until_signal(make_case(record)))
    except asyncio.CancelledError:
        record.write("could not run", error="ended by a signal")
        sys.exit(2)
    except Exception as error:
        record.write("could not run", error=repr(error))
        sys.stderr.write(f"could not run: {error!r}\n")
        sys.exit(2)
    record.write("result", broken=broken)
    sys.exit(BROKEN if broken else 0)


async def _run_until_signal(work: Coroutine[Any, Any, bool]) -> bool:
    """Runs a case; a signal that ends the script early has it end its daemons first."""
    task = asyncio.current_task()
    assert task is not None
    # `timeout` sends its signal twice; the second one must not cut off the end of the daemons.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(
            number, lambda: None if task.cancelling() else task.cancel()
        )
    return await work


def _end_with_parent() -> None:
    # A script that is killed can't end its daemons itself.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


_taken: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP, below those of outgoing connections."""
    ports: list[int] = []
    port = 12_000 + (os.getpid() % 150) * 100
    while len(ports) < count:
        port += 1
        if port not in _taken and _is_free(port):
            _taken.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
