"""Valid and invalid answers of backend servers on reused connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.backends.exchange import AnswerBroken
from quincespool.gateway.backends.exchange import AnswerChunk
from quincespool.gateway.backends.exchange import AnswerEnd
from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.exchange import Head

if TYPE_CHECKING:
    from quincespool.gateway.backends.exchange import ExchangeEvent
    from quincespool.gateway.model import Headers

COMPLETE = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: 3\r\n\r\nabc"


class Backend:
    """Answers each request on a connection with the next of the given answers."""

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


async def _request(connection: BackendConnection, call_id: str) -> list[ExchangeEvent]:
    def is_mine(headers: Headers) -> bool:
        return dict(headers).get("request-id", call_id) == call_id

    connection.send("POST", "/x", (("host", "h"),), b"body", matches_request=is_mine)
    events: list[ExchangeEvent] = []
    async with asyncio.timeout(5):
        while not events or not isinstance(events[-1], AnswerEnd | AnswerBroken):
            events.append(await connection.next_event())
    return events


def _body(events: list[ExchangeEvent]) -> bytes:
    return b"".join(event.data for event in events if isinstance(event, AnswerChunk))


async def test_a_connection_carries_one_request_after_the_other() -> None:
    async with Backend(COMPLETE % b"a", COMPLETE % b"b") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        for call_id in ("a", "b"):
            events = await _request(connection, call_id)
            assert _body(events) == b"abc"
            assert isinstance(events[-1], AnswerEnd)
            assert connection.is_reusable
        connection.close()


async def test_a_late_answer_to_an_earlier_request_is_skipped() -> None:
    """A caller must not get the answer to another caller's request.

    An answer to an earlier request arrives when the answer to the next one is due. The fault occurs
    if answers on a connection are matched to requests by their order only.
    """
    async with Backend(COMPLETE % b"old" + COMPLETE.replace(b"abc", b"xyz") % b"new") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "new")

        assert _body(events) == b"xyz"
        connection.close()


async def test_data_after_an_answer_closes_the_connection() -> None:
    async with Backend(COMPLETE % b"a" + b"HTTP/1.1 200 OK\r\n") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "a")

        assert _body(events) == b"abc"
        assert not connection.is_reusable


async def test_data_without_a_request_closes_the_connection() -> None:
    async with Backend(COMPLETE % b"a", COMPLETE % b"a") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        await _request(connection, "a")
        assert connection._transport is not None
        connection._transport.write(b"x")
        await asyncio.sleep(0.1)

        assert not connection.is_reusable
        with pytest.raises(ConnectError):
            connection.send("GET", "/x", (), b"", matches_request=lambda _: True)


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async with Backend(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nabc", close=True) as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "a")

        assert _body(events) == b"abc"
        assert isinstance(events[-1], AnswerEnd)
        assert not connection.is_reusable


@pytest.mark.parametrize(
    ("answer", "closed"),
    [
        (b"HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nabc", True),
        (COMPLETE % b"a", False),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", False),
    ],
)
async def test_the_end_tells_whether_the_connection_was_what_ended_the_answer(
    answer: bytes, *, closed: bool
) -> None:
    async with Backend(answer, close=True) as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "a")

        assert events[-1] == AnswerEnd(closed=closed)
        connection.close()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 20",
    ],
)
async def test_a_broken_answer_is_never_complete(answer: bytes) -> None:
    async with Backend(answer, close=True) as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "a")

        assert isinstance(events[-1], AnswerBroken)
        assert not any(isinstance(event, AnswerEnd) for event in events)


async def test_an_answer_that_comes_after_a_late_one_is_awaited() -> None:
    """Guards against an answer that is given up since a late one came before it, by itself."""
    late, awaited = COMPLETE % b"earlier", COMPLETE % b"mine"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        writer.write(late)
        await asyncio.sleep(0.05)
        writer.write(awaited)

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        connection = BackendConnection()
        await connection.connect(f"{host}:{port}")
        events = await _request(connection, "mine")
        is_reusable = connection.is_reusable
        connection.close()
    assert isinstance(events[-1], AnswerEnd)
    assert _body(events) == b"abc"
    assert not is_reusable


async def test_a_late_answer_that_ends_with_its_connection_is_not_taken_for_the_awaited_one() -> (
    None
):
    """Failure: a caller gets an empty answer, or that of another caller, as complete."""
    async with Backend(b"HTTP/1.1 200 OK\r\nrequest-id: old\r\n\r\nxyz", close=True) as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "new")

        assert len(events) == 1
        assert isinstance(events[0], AnswerBroken)


async def test_a_refused_connection_raises_connect_error() -> None:
    connection = BackendConnection()
    with pytest.raises(ConnectError):
        await connection.connect("127.0.0.1:1")


async def test_the_head_is_the_first_event() -> None:
    async with Backend(COMPLETE % b"a") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "a")

        assert isinstance(events[0], Head)
        assert events[0].status == 200
        connection.close()


async def test_small_chunks_that_arrive_together_are_kept_as_one() -> None:
    """Guards against a process that runs out of memory by the objects of many small chunks."""
    count = 5_000
    head = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
    async with Backend(head + count * b"1\r\nx\r\n" + b"0\r\n\r\n") as backend:
        connection = BackendConnection()
        await connection.connect(backend.address)
        events = await _request(connection, "a")
        assert _body(events) == count * b"x"
        assert isinstance(events[-1], AnswerEnd)
        assert len(events) < count / 10
        assert connection.queued_bytes == 0
        connection.close()
