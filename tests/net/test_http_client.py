"""Tests of exchanges with backend servers."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

import pytest

from quincespool.core.effects import StartExchange
from quincespool.core.events import ExchangeData
from quincespool.core.events import ExchangeEnd
from quincespool.core.events import ExchangeFailed
from quincespool.core.events import ExchangeHead
from quincespool.net import http_client
from quincespool.net.http_client import Exchanges
from tests.net.conftest import typed
from tests.net.conftest import until

if TYPE_CHECKING:
    from quincespool.core.events import Event
    from quincespool.net.metrics import Metrics
    from tests.net.conftest import StepClock

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"


class BackendServer:
    """Answers each request with given bytes and closes the connection; resets it without any."""

    def __init__(self, answer: bytes, *, keep_open: bool = False) -> None:
        self.requests: list[bytes] = []
        self.closed = 0
        self._answer = answer
        self._keep_open = keep_open

    async def __aenter__(self) -> BackendServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head + await reader.readexactly(4))
        writer.write(self._answer)
        if not self._answer:
            reset = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        if self._keep_open:
            await reader.read()
            self.closed += 1
        writer.close()


class Client:
    """Exchanges whose events are kept."""

    def __init__(self, clock: StepClock, metrics: Metrics) -> None:
        self.events: list[Event] = []
        self.exchanges = Exchanges(
            post=self.events.append, clock=clock, metrics=metrics, stale_after_ms=500
        )

    def start(self, address: str, *, time_limit_ms: int = 5000) -> None:
        headers = (("x-request-id", "r"),)
        self.exchanges.start(
            StartExchange(1, address, "POST", "/p", headers, b"body", time_limit_ms)
        )

    async def last(self) -> Event:
        await until(lambda: any(isinstance(e, ExchangeEnd | ExchangeFailed) for e in self.events))
        return self.events[-1]


@pytest.fixture
def client(clock: StepClock, metrics: Metrics) -> Client:
    return Client(clock, metrics)


async def exchange(client: Client, answer: bytes, **options: int) -> Event:
    async with BackendServer(answer, keep_open=bool(options)) as server:
        client.start(server.address, **options)
        return await client.last()


async def test_whole_response(client: Client) -> None:
    async with BackendServer(WHOLE) as server:
        client.start(server.address)
        await client.last()
    (request,) = server.requests
    assert request.startswith(b"POST /p HTTP/1.1\r\n")
    assert request.endswith(b"\r\n\r\nbody")
    assert b"x-request-id: r\r\n" in request
    head = ExchangeHead(1, 200, {"content-length": "3"})
    assert typed(client.events) == typed([head, ExchangeData(1, b"abc"), ExchangeEnd(1)])


@pytest.mark.parametrize("answer", [b"", WHOLE[:10], WHOLE[:-1], b"HTTP/1.1 200 OK\r\n"])
async def test_backend_server_that_dies_with_the_request_on_it(
    client: Client, answer: bytes
) -> None:
    """A backend server that crashes.

    Symptom: a request that crashes backend servers goes from one to the next, or half an answer is
    taken for the whole. Events: the connection closes before the response is complete. Cause: not
    told apart from a time limit, or from the end of the body.
    """
    last = await exchange(client, answer)

    assert isinstance(last, ExchangeFailed)
    assert (last.sent, last.cut) == (True, True)


@pytest.mark.parametrize(
    ("answer", "options"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nabc", {}),
        (b"no http\r\n\r\n", {"time_limit_ms": 5000}),
        (WHOLE[:-1], {"time_limit_ms": 30}),
        (b"", {"time_limit_ms": 30}),
    ],
)
async def test_failures_that_are_no_crash(
    client: Client, answer: bytes, options: dict[str, int]
) -> None:
    last = await exchange(client, answer, **options)

    assert isinstance(last, ExchangeFailed)
    assert (last.sent, last.cut) == (True, False)


@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
async def test_a_head_that_is_cut_at_any_byte_is_no_response(
    client: Client, before: bytes, line_end: bytes
) -> None:
    """Guards against a caller that is given a response of which not even the head came whole."""
    head = WHOLE[: -len(b"abc")].replace(b"\r\n", line_end)
    for length in range(len(head)):
        client.events.clear()
        assert isinstance(await exchange(client, before + head[:length]), ExchangeFailed)
        assert len(client.events) == 1


async def test_refused_connection_has_sent_nothing(client: Client) -> None:
    async with BackendServer(WHOLE) as server:
        pass
    client.start(server.address)
    last = await client.last()
    assert isinstance(last, ExchangeFailed)
    assert (last.sent, last.cut) == (False, False)


async def test_process_that_stood_still_while_connecting_sends_nothing(
    client: Client, clock: StepClock
) -> None:
    """A paused holder that acts on its old licence.

    Symptom: a plate is pressed although its caller was told that it may have run and was given up.
    Events: the process starts to connect, stands still for a minute, goes on and sends. Cause: the
    licence is checked only before connecting.
    """
    async with BackendServer(WHOLE) as server:
        client.start(server.address)
        await asyncio.sleep(0)
        clock.ahead_ms = 60_000
        last = await client.last()
    assert isinstance(last, ExchangeFailed)
    assert (last.sent, last.cut) == (False, False)
    assert server.requests == []


async def test_stopped_exchange_says_nothing_more_and_closes(client: Client) -> None:
    async with BackendServer(WHOLE[:-1], keep_open=True) as server:
        client.start(server.address)
        await until(lambda: len(client.events) == 2)
        client.exchanges.stop(1)
        await until(lambda: server.closed == 1)
        client.start(server.address)
        client.exchanges.stop(1)
        await asyncio.sleep(0.05)
    assert len(client.events) == 2


async def test_too_large_response_is_broken_off(
    client: Client, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", 20)
    assert isinstance(await exchange(client, WHOLE), ExchangeFailed)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_a_status_that_is_none_is_not_a_response(client: Client, status: bytes) -> None:
    """Guards against callers that are given a response whose status no protocol knows."""
    last = await exchange(client, WHOLE.replace(b"200", status))
    assert isinstance(last, ExchangeFailed)
    assert client.events == [last]
