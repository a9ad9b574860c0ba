"""Answers of backend servers, sound and otherwise, on kept connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import Broken
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.exchange import End
from quincespool.gateway.backends.exchange import Head
from quincespool.gateway.backends.exchange import Piece

if TYPE_CHECKING:
    from quincespool.gateway.backends.exchange import ExchangeEvent
    from quincespool.gateway.model import Headers

WHOLE = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: 3\r\n\r\nabc"


class Backend:
    """Answers each request on a connection with the next of some bytes."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self._answers = list(answers)
        self._close = close
        self.address = ""

    async def __aenter__(self) -> Backend:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self._answers and await reader.read(65_536):
            writer.write(self._answers.pop(0))
        if self._close:
            writer.close()


async def _ask(connection: BackendConnection, call_id: str) -> list[ExchangeEvent]:
    def is_mine(headers: Headers) -> bool:
        return dict(headers).get("request-id", call_id) == call_id

    connection.send("POST", "/x", (("host", "h"),), b"body", is_mine=is_mine)
    events: list[ExchangeEvent] = []
    async with asyncio.timeout(5):
        while not events or not isinstance(events[-1], End | Broken):
            events.append(await connection.next_event())
    return events


def _body(events: list[ExchangeEvent]) -> bytes:
    return b"".join(event.data for event in events if isinstance(event, Piece))


async def test_a_connection_carries_one_request_after_the_other() -> None:
    async with Backend(WHOLE % b"a", WHOLE % b"b") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        for call_id in ("a", "b"):
            events = await _ask(connection, call_id)
            assert _body(events) == b"abc"
            assert isinstance(events[-1], End)
            assert connection.usable
        connection.close()


async def test_a_late_answer_to_an_earlier_request_is_passed_over() -> None:
    """Symptom: a caller gets the answer to another one's request.

    Events: an answer to an earlier request comes where that to the next one is due.
    Cause: answers on one connection are told apart by their order only.
    """
    async with Backend(WHOLE % b"old" + WHOLE.replace(b"abc", b"xyz") % b"new") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _ask(connection, "new")

        assert _body(events) == b"xyz"
        connection.close()


async def test_bytes_beyond_an_answer_end_the_connection() -> None:
    async with Backend(WHOLE % b"a" + b"HTTP/1.1 200 OK\r\n") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _ask(connection, "a")

        assert _body(events) == b"abc"
        assert not connection.usable


async def test_bytes_without_a_request_end_the_connection() -> None:
    async with Backend(WHOLE % b"a", WHOLE % b"a") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        await _ask(connection, "a")
        assert connection._transport is not None
        connection._transport.write(b"x")
        await asyncio.sleep(0.1)

        assert not connection.usable
        with pytest.raises(ConnectError):
            connection.send("GET", "/x", (), b"", is_mine=lambda _: True)


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async with Backend(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nabc", close=True) as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _ask(connection, "a")

        assert _body(events) == b"abc"
        assert isinstance(events[-1], End)
        assert not connection.usable


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 20",
    ],
)
async def test_a_broken_answer_is_never_whole(answer: bytes) -> None:
    async with Backend(answer, close=True) as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _ask(connection, "a")

        assert isinstance(events[-1], Broken)
        assert not any(isinstance(event, End) for event in events)


async def test_a_lost_connection_is_no_request_sent() -> None:
    connection = BackendConnection()
    with pytest.raises(ConnectError):
        await connection.connect("127.0.0.1:1")


async def test_the_head_is_handed_on_first() -> None:
    async with Backend(WHOLE % b"a") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _ask(connection, "a")

        assert isinstance(events[0], Head)
        assert events[0].status == 200
        connection.close()
