"""HTTP plumbing that the stand-ins share: a server on h11, and the frame of a stand-in process.

A stand-in has one `Knobs` struct for its options and faults: its fields are the process's command
line options (`--delay-ms 5`) and the keys of `POST /control`. `GET /counts` tells what happened.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import traceback
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import Self
from typing import TypeVar
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import h11
import msgspec

from quincespool.net.socket_options import reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable

Knobs = TypeVar("Knobs", bound=msgspec.Struct)

_READ_BYTES = 65536
_CRASH_EXIT_CODE = 70


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; the other side may still read what was sent before."""
    reset_on_close(writer.transport, enabled=True)
    writer.transport.abort()


class Request(NamedTuple):
    """One whole request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body, an empty object if there is none."""
        return msgspec.json.decode(self.body or b"{}")


class RefusedError(Exception):
    """Raised by a handler to answer with an error status and headers."""

    def __init__(self, status: int, detail: str, **headers: str) -> None:
        super().__init__(detail)
        self.status = status
        self.headers = headers
        self.body: dict[str, object] = {"error": detail}


class Exchange:
    """One request and the means to answer it."""

    def __init__(
        self, request: Request, connection: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        self.request = request
        self._connection = connection
        self._writer = writer
        self._has_framing = True

    async def reply(self, status: int, value: object, **headers: str) -> None:
        """Sends a whole JSON response; `retry_after="1"` becomes the header `retry-after`."""
        body = msgspec.json.encode(value)
        fields = [("content-type", "application/json"), ("content-length", str(len(body)))]
        fields += [(name.replace("_", "-"), text) for name, text in headers.items()]
        self._write(h11.Response(status_code=status, headers=fields))
        self._write(h11.Data(data=body))
        await self.finish()

    async def start(self, content_type: str) -> None:
        """Starts a chunked 200 response."""
        fields = [("content-type", content_type), ("transfer-encoding", "chunked")]
        self._write(h11.Response(status_code=200, headers=fields))
        await self._writer.drain()

    def start_without_length(self, fields: list[tuple[str, str]]) -> None:
        """Starts a 200 response that has neither a length nor chunks and ends by `finish`."""
        self._has_framing = False
        lines = [f"{name}: {value}\r\n" for name, value in fields]
        self._writer.write(f"HTTP/1.1 200 OK\r\n{''.join(lines)}\r\n".encode())

    async def send(self, data: bytes) -> None:
        """Sends a piece of a response that has no length."""
        if self._has_framing:
            self._write(h11.Data(data=data))
        else:
            self._writer.write(data)
        await self._writer.drain()

    async def finish(self) -> None:
        """Ends the response, by closing the connection if nothing else says where it ends."""
        if self._has_framing:
            self._write(h11.EndOfMessage())
            await self._writer.drain()
        else:
            self._writer.close()

    def cut(self) -> None:
        """Closes the connection at once, whatever has been answered so far."""
        self._writer.transport.abort()

    def reset(self) -> None:
        """Resets the connection, whatever has been answered so far."""
        reset(self._writer)

    def _write(self, event: h11.Event) -> None:
        self._writer.write(self._connection.send(event) or b"")


class StandIn(Generic[Knobs]):
    """A small server that takes the place of an outside system.

    Attributes:
      cancel_on_close: Whether a request is dropped when its caller closes the connection.
    """

    cancel_on_close = False

    def __init__(self, knobs: Knobs, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self.knobs = knobs
        self.host = host
        self.port = port
        self._listener: asyncio.Server | None = None
        self._serving: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens, as `IP:PORT`."""
        return f"{self.host}:{self.port}"

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        raise NotImplementedError

    def counts(self) -> dict[str, object]:
        """Returns what `GET /counts` shows."""
        raise NotImplementedError

    def controlled(self) -> None:
        """Acts on knobs that have just been changed."""

    def lose_memory(self) -> None:
        """Forgets what the modelled system would lose with its process; counts stay."""

    async def __aenter__(self) -> Self:
        await self.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.cut_all()
        if self._serving:
            await asyncio.wait(self._serving)

    async def listen(self) -> None:
        """Starts to accept connections; sets `port` if it was 0."""
        self._listener = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def cut_all(self) -> None:
        """Stops listening and resets every connection, as the end of the process would."""
        if self._listener:
            self._listener.close()
        for writer in self._serving.values():
            writer.transport.abort()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    def go_away(self, for_ms: float) -> None:
        """Resets every connection and refuses new ones for a while."""
        self.cut_all()
        self.spawn(self._come_back(for_ms / 1000))

    def crash(self, *, mode: str, refuse_ms: float) -> None:
        """Ends like a crashed process: really (`exit`), or by closing and refusing (`close`)."""
        if mode == "exit":
            os._exit(_CRASH_EXIT_CODE)
        self.lose_memory()
        self.go_away(refuse_ms)

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Runs a coroutine beside the others until it ends or the stand-in crashes."""
        task: asyncio.Task[None] = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _come_back(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while True:
            try:
                return await self.listen()
            except OSError:
                # Somebody's outgoing connection may have been given our port meanwhile; it would
                # show as "address in use" here. It is short-lived, so the port comes free again.
                await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.current_task()
        assert serving
        self._serving[serving] = writer
        try:
            await self._serve_requests(_Connection(reader), writer)
        except (ConnectionError, h11.ProtocolError):
            pass  # The caller is gone or has broken the protocol: nothing is left to answer.
        finally:
            del self._serving[serving]
            writer.close()

    async def _serve_requests(self, incoming: _Connection, writer: asyncio.StreamWriter) -> None:
        while request := await incoming.next_request():
            exchange = Exchange(request, incoming.h11, writer)
            task = self.spawn(self._answer(exchange))
            if not await incoming.watch(task) and self.cancel_on_close:
                task.cancel()
            await asyncio.wait({task})
            if incoming.h11.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
                return
            incoming.h11.start_next_cycle()

    async def _answer(self, exchange: Exchange) -> None:
        try:
            await self._route_or_refuse(exchange)
        except ConnectionError:
            # Its client has gone, as one does that has the answer to another copy of its request.
            pass
        except Exception:
            # A fault of the stand-in would show as a hanging test; the cut and the trace show it.
            traceback.print_exc()
            exchange.cut()

    async def _route_or_refuse(self, exchange: Exchange) -> None:
        try:
            await self._route(exchange)
        except RefusedError as refusal:
            await exchange.reply(refusal.status, refusal.body, **refusal.headers)
        except msgspec.MsgspecError as error:
            await exchange.reply(400, {"error": str(error)})

    async def _route(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == "/counts":
            return await exchange.reply(200, self.counts())
        if path != "/control":
            return await self.handle(exchange)
        self._change_knobs(exchange.request.json())
        await exchange.reply(200, msgspec.to_builtins(self.knobs))
        return self.controlled()

    def _change_knobs(self, changes: dict[str, object]) -> None:
        checked = msgspec.convert(msgspec.to_builtins(self.knobs) | changes, type(self.knobs))
        for name in changes:
            setattr(self.knobs, name, getattr(checked, name))


class _Connection:
    """The incoming half of a server connection."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.h11 = h11.Connection(h11.SERVER)
        self._reader = reader
        self._reading: asyncio.Task[bytes] | None = None

    async def next_request(self) -> Request | None:
        """Returns the next whole request, None once the caller has closed."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                self.h11.receive_data(await self._read())
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head:
                return _request(head, bytes(body))
            else:
                return None

    async def watch(self, task: asyncio.Task[None]) -> bool:
        """Waits for the end of a handler; returns False as soon as the caller has closed."""
        while not task.done():
            reading = self._reading = self._reading or self._start_reading()
            await asyncio.wait({task, reading}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and not task.done():
                data = await self._read()
                self.h11.receive_data(data)
                if not data:
                    return False
        return True

    async def _read(self) -> bytes:
        if reading := self._reading:
            self._reading = None
            return await reading
        return await self._read_some()

    def _start_reading(self) -> asyncio.Task[bytes]:
        reading = asyncio.create_task(self._read_some())
        # A connection that is reset while its request is answered is read no more; nobody may ask
        # how the read ended.
        reading.add_done_callback(lambda done: done.cancelled() or done.exception())
        return reading

    async def _read_some(self) -> bytes:
        return await self._reader.read(_READ_BYTES)


def run(make: Callable[..., StandIn[Any]], knobs_type: type[msgspec.Struct]) -> None:
    """Runs a stand-in as a process; prints `{"port": N}` on standard output when it is ready.

    Args:
      make: Its factory; takes the knobs, `host` and `port` as keyword arguments.
      knobs_type: Its knobs, which become command line options.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    for field in msgspec.structs.fields(knobs_type):
        parser.add_argument("--" + field.name.replace("_", "-"), default=argparse.SUPPRESS)
    options = vars(parser.parse_args())
    place = {name: options.pop(name) for name in ("host", "port")}
    knobs = msgspec.convert(options, knobs_type, strict=False)
    asyncio.run(_run_for_good(make(**msgspec.structs.asdict(knobs), **place)))


async def _run_for_good(stand_in: StandIn[Any]) -> None:
    async with stand_in:
        sys.stdout.write(f'{{"port": {stand_in.port}}}\n')
        sys.stdout.flush()
        await asyncio.Event().wait()


def _request(head: h11.Request, body: bytes) -> Request:
    parts = urlsplit(head.target.decode())
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return Request(head.method.decode(), parts.path, dict(parse_qsl(parts.query)), headers, body)
