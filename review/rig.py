"""A small deployment for the cases: daemons as processes, a store, engines and callers.

The store is the project's own stand-in. Engines and callers are small ones of this review; apart
from what a case tells them to do wrong, they behave as the pages say a sound one does.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tests.support.standins.platform_store import StoreState
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "callers.example"
HEARTBEAT_S = 1.2
TOKENS_PER_EVENT = 9
START_LIMIT_S = 30.0
# `PR_SET_PDEATHSIG`: a daemon ends with the script that has started it.
_DEATH_SIGNAL_OPTION = 1
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Record:
    """Writes what was sent, answered and run into `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Writes one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {what} {values}\n")

    def close(self) -> None:
        """Ends the file."""
        self._file.close()


class Head:
    """Start line and headers of a message; header names are in lower case."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.start = lines[0].split(" ", 2)
        pairs = [line.split(":", 1) for line in lines[1:] if line]
        self.headers = {name.strip().lower(): value.strip() for name, value in pairs}


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads a head; raises an `EOFError` at the end of the channel."""
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_body(
    reader: asyncio.StreamReader, head: Head, on_data: Callable[[bytes], None] | None = None
) -> bytes:
    """Reads the whole body of a message that has a length or chunks."""
    if head.headers.get("transfer-encoding") != "chunked":
        data = await reader.readexactly(int(head.headers.get("content-length", "0")))
        if on_data and data:
            on_data(data)
        return data
    body = b""
    while size := int((await reader.readline()).strip() or b"-1", 16):
        if size < 0:
            raise asyncio.IncompleteReadError(body, None)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        body += data
        if on_data:
            on_data(data)
    await reader.readline()
    return body


def write_message(start: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encodes a message with its body's length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class CutError(Exception):
    """Ends a run together with its channel."""


class Run:
    """One request that an engine began to work on."""

    def __init__(self, request_id: str, engine_id: str, body: bytes, headers: dict[str, str]):
        self.request_id = request_id
        self.engine_id = engine_id
        self.body = body
        self.headers = headers
        self.began_s = time.monotonic()
        self.ended_s = 0.0
        self.whole = False


class Engine:
    """An engine or plain service: `slots` requests at once, a few more wait, all others get 503.

    A request is dropped when its channel closes.
    """

    def __init__(
        self,
        engine_id: str,
        service: str,
        *,
        zone: str,
        record: Record,
        slots: int = 6,
        queue: int = 4,
        events: int = 4,
        gap_s: float = 0.02,
        port: int = 0,
    ) -> None:
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.events = events
        self.gap_s = gap_s
        self.runs: list[Run] = []
        self.refusals = 0
        self.draining = False
        self.born_ms: int | None = None
        # Called after each whole answer; what it returns is sent before the channel's next answer.
        self.make_extra: Callable[[bytes], bytes] = lambda _: b""
        # Called before each event of a run; it may raise `CutError`.
        self.before_event: Callable[[Run, int], Awaitable[None]] | None = None
        self._queue = queue
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._record = record
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends all channels and refuses new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> bytes:
        """Returns its entry for the store."""
        self._sequence += 1
        fields: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
        }
        if self.born_ms is not None:
            fields["born"] = self.born_ms
        return json.dumps(fields).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        extra = b""
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if extra:
                    self._record.write(
                        "extra answer",
                        before_that_to=head.headers.get("request-id"),
                        engine=self.engine_id,
                        extra=extra,
                    )
                    writer.write(extra)
                extra = await self._answer(head, body, reader, writer)
        except (OSError, EOFError, CutError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        request_id = head.headers.get("request-id", "")
        if head.start[1] == "/healthz":
            return self._reply(writer, "200 OK", [("Instance-Id", self.engine_id)], b"{}")
        if head.headers.get("expect-instance", self.engine_id) != self.engine_id:
            return self._refuse(writer, "421 Misdirected Request", request_id)
        if self._free.locked() and self._waiting >= self._queue:
            return self._refuse(writer, "503 Service Unavailable", request_id)
        working = asyncio.ensure_future(self._work(request_id, head, body, writer))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({working, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            # One request at a time comes on a channel, so this is its end.
            working.cancel()
        if closed.done():
            with contextlib.suppress(asyncio.CancelledError, OSError, CutError):
                await working
            # Nobody asks how a channel ended that the engine has cut itself.
            closed.exception()
            raise EOFError
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await closed
        return self._after(working.result())

    def _refuse(self, writer: asyncio.StreamWriter, status: str, request_id: str) -> bytes:
        self.refusals += 1
        self._record.write("refused", id=request_id, engine=self.engine_id, status=status[:3])
        return self._reply(writer, status, [("Request-Id", request_id), ("Not-Executed", "1")], b"")

    def _reply(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        data = write_message(f"HTTP/1.1 {status}", headers, body)
        writer.write(data)
        return self._after(data)

    def _after(self, answer: bytes) -> bytes:
        return self.make_extra(answer)

    async def _work(
        self, request_id: str, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bytes:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        run = Run(request_id, self.engine_id, body, head.headers)
        self.runs.append(run)
        self._record.write("run", id=request_id, engine=self.engine_id)
        try:
            if "/turn/" in head.start[1]:
                answer = await self._stream(run, writer)
            else:
                await asyncio.sleep(self.gap_s * self.events)
                if self.before_event is not None:
                    await self.before_event(run, 0)
                fields = [("Request-Id", request_id), ("Server-Stamp", self.engine_id)]
                answer = write_message("HTTP/1.1 200 OK", fields, f"ran {request_id}".encode())
                writer.write(answer)
            run.whole = True
            return answer
        finally:
            run.ended_s = time.monotonic()
            self._free.release()
            self._record.write("run ended", id=request_id, engine=self.engine_id, whole=run.whole)

    async def _stream(self, run: Run, writer: asyncio.StreamWriter) -> bytes:
        fields = [
            ("Request-Id", run.request_id),
            ("Server-Stamp", self.engine_id),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n"
        await asyncio.sleep(self.gap_s)
        writer.write(answer)
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if self.before_event is not None:
                await self.before_event(run, number)
            event = f"id: {number}\ndata: {run.request_id}.{number}\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            answer += chunk
            writer.write(chunk)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return answer + b"0\r\n\r\n"


class Answer:
    """What a caller got: a status of 0 stands for a channel that ended without a whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Caller:
    """A caller with one kept channel to one daemon at a time."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self,
        path: str,
        request_id: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        method: str = "POST",
        deadline_ms: int = 4_000,
    ) -> Answer:
        """Sends one request; gives it up at its deadline."""
        fields = [
            ("Host", HOST_NAME),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        self._record.write("sent", id=request_id, to=self.address)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._streams is None:
                    host, _, port = self.address.rpartition(":")
                    self._streams = await asyncio.open_connection(host, int(port))
                reader, writer = self._streams
                writer.write(write_message(f"{method} {path} HTTP/1.1", fields, body))
                head = await read_head(reader)
                answer = Answer(int(head.start[1]), head.headers, await read_body(reader, head))
        except (OSError, EOFError, ValueError) as error:
            self.close()
            self._record.write("unanswered", id=request_id, why=type(error).__name__)
            return Answer(0, {}, b"")
        if answer.headers.get("connection") == "close":
            self.close()
        self._record.write("answered", id=request_id, status=answer.status)
        return answer

    def close(self) -> None:
        """Closes the channel."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Daemon:
    """One daemon of the system, started by the command of the deploy file."""

    def __init__(self, name: str, zone: str, folder: Path, store_address: str) -> None:
        self.name = name
        self.ports = free_ports(5)
        self.process: asyncio.subprocess.Process | None = None
        self.settings_path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self.settings: dict[str, object] = {
            "member_id": name,
            "zone": zone,
            "host": "127.0.0.1",
            "caller_address": f"127.0.0.1:{self.ports[0]}",
            "ready_address": f"127.0.0.1:{self.ports[1]}",
            "directory_address": f"127.0.0.1:{self.ports[2]}",
            "metrics_port": self.ports[3],
            "peer_port": self.ports[4],
            "store_address": store_address,
            "store_partitions": 8,
            "admission_control": True,
            "stop_grace_s": 8,
            "owner_lease_ms": 1000,
            "store_retention_s": 300,
        }
        self.write_settings()

    @property
    def address(self) -> str:
        """Where callers connect."""
        return str(self.settings["caller_address"])

    def write_settings(self) -> None:
        """Writes the settings file, as the platform does from the template."""
        self.settings_path.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Starts the process."""
        variables = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT / "target" / "deps")}
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "quincespool",
                "gateway",
                str(self.settings_path),
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Asks as the platform does."""
        caller = Caller(str(self.settings["ready_address"]), _NO_RECORD)
        answer = await caller.call("/ready", "ready", method="GET", deadline_ms=1_000)
        caller.close()
        return answer.status == 200

    def log_lines(self) -> list[dict[str, Any]]:
        """Returns what the process has logged."""
        return [
            json.loads(line) for line in self._log.read_text().splitlines() if line.startswith("{")
        ]


class _NoRecord(Record):
    def __init__(self) -> None:
        pass

    def write(self, what: str, **fields: object) -> None:
        pass


_NO_RECORD = _NoRecord()


class Deployment:
    """A store, engines that write their entries, and daemons."""

    def __init__(self, record: Record, *, zones: tuple[str, ...] = ("bole", "kality")) -> None:
        self.record = record
        self.store = StoreState()
        self.daemons: list[Daemon] = []
        self.engines: list[Engine] = []
        self._zones = zones
        self._stack = contextlib.AsyncExitStack()
        self._beating: asyncio.Task[None] | None = None

    async def start(self, daemon_count: int, engines: list[Engine], config: dict[str, Any]) -> None:
        """Starts everything and waits until the daemons are ready."""
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.engines = engines
        for engine in engines:
            await engine.start()
        self.configure(config)
        self._beating = asyncio.create_task(self._beat())
        store = await self._stack.enter_async_context(make_platform_store(self.store))
        for number in range(daemon_count):
            zone = self._zones[number % len(self._zones)]
            self.daemons.append(Daemon(f"edge-{zone}-{number}", zone, folder, store.address))
        await asyncio.gather(*[one.start() for one in self.daemons])
        async with asyncio.timeout(START_LIMIT_S):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(3)

    async def stop(self) -> None:
        """Ends all processes."""
        await asyncio.gather(*[one.kill() for one in self.daemons])
        if self._beating is not None:
            self._beating.cancel()
        for engine in self.engines:
            engine.crash()
        await self._stack.aclose()

    def configure(self, config: dict[str, Any]) -> None:
        """Writes a configuration, which the store acknowledges at once."""
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def announce(self, engine: Engine) -> None:
        """Writes an engine's entry."""
        self.store.put("keyed.servers", engine.engine_id, engine.entry())

    async def _beat(self) -> None:
        while True:
            for engine in self.engines:
                self.announce(engine)
            await asyncio.sleep(HEARTBEAT_S)


def make_config(version: int = 1) -> dict[str, Any]:
    """Returns a configuration with the kinds of route of `abay-stock`."""
    common = {"hostname": HOST_NAME, "max_attempts": 2}
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "turn",
                "path_prefix": "/turn/",
                "kind": "streaming",
                "timeout_ms": 4_000,
                "target_latency_ms": 250,
                "target_gap_ms": 200,
                "priority": 1,
                "service": "agent-llm",
                "retain_context": True,
                "retention_s": 60,
            },
            {
                **common,
                "name": "lookup",
                "path_prefix": "/lookup/",
                "kind": "idempotent",
                "timeout_ms": 1_200,
                "target_latency_ms": 150,
                "priority": 2,
                "service": "stock-app",
            },
            {
                **common,
                "name": "order",
                "path_prefix": "/order/",
                "kind": "non_idempotent",
                "timeout_ms": 2_000,
                "target_latency_ms": 300,
                "priority": 2,
                "service": "stock-app",
            },
        ],
        "services": [
            {"name": "agent-llm", "engine": {"stream_stride": TOKENS_PER_EVENT}},
            {"name": "stock-app"},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


_ids = itertools.count(1)


def new_id(prefix: str = "") -> str:
    """Returns an id that was not used before."""
    return f"{prefix}{os.getpid():x}{next(_ids):08x}"


def turn_headers(
    program_id: str, *, budget: int, previous: str = "", most: int = 90
) -> list[tuple[str, str]]:
    """Returns the headers of a turn."""
    fields = [
        ("Program-Id", program_id),
        ("Session-Id", program_id),
        ("Program-Deadline-Ms", "60000"),
        ("Model", "m"),
        ("Token-Usage", f"100,{most}"),
        ("Token-Budget", str(budget)),
    ]
    if previous:
        fields.append(("Previous-Turn", previous))
    return fields


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP."""
    held: list[socket.socket] = []
    ports: list[int] = []
    base = 10_000 + os.getpid() % 400 * 50
    for port in itertools.chain(range(base, 32_000), range(10_000, base)):
        if len(ports) == count:
            break
        if port in _taken:
            continue
        pair = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        held += pair
        with contextlib.suppress(OSError):
            for one in pair:
                one.bind(("127.0.0.1", port))
            ports.append(port)
    for one in held:
        one.close()
    _taken.update(ports)
    return ports


_taken: set[int] = set()


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(_DEATH_SIGNAL_OPTION, signal.SIGKILL)


def say(text: str) -> None:
    """Writes a line to standard output."""
    sys.stdout.write(text + "\n")


def has_trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Record], Awaitable[bool]], folder: Path, *, limit_s: float) -> None:
    """Runs a case, which returns whether the rule held, and exits as `run.sh` has to."""
    record = Record(folder)

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        status = HELD if asyncio.run(limited()) else BROKEN
    except Exception as error:
        record.write("could not run", error=repr(error))
        say(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    record.close()
    sys.exit(status)
