"""Backend servers that end a connection in the middle of the head of an answer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.backends.exchange import AnswerBroken
from quincespool.gateway.backends.exchange import AnswerEnd
from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import Head
from tests.gateway.backends.troubled_cluster import STAMP
from tests.gateway.backends.troubled_cluster import ask_status
from tests.gateway.backends.troubled_cluster import cluster_before
from tests.support.standins.http import reset
from tests.support.standins.raw_backend import RawBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quincespool.gateway.backends.exchange import ExchangeEvent

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nrequest-id: r\r\nserver-stamp: s\r\n\r\n"
CHUNKED = WHOLE.replace(b"content-length: 2", b"transfer-encoding: chunked")
UNFRAMED = WHOLE.replace(b"content-length: 2\r\n", b"")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
LATE = WHOLE.replace(b"request-id: r", b"request-id: q") + b"hi"
# Where each head begins that must not be taken for whole.
HEADS = {
    "length": (b"", WHOLE),
    "chunks": (b"", CHUNKED),
    "neither": (b"", UNFRAMED),
    "lines_that_end_in_lf": (b"", WHOLE.replace(b"\r\n", b"\n")),
    "behind_an_interim_answer": (INTERIM, WHOLE),
    "behind_a_late_answer": (LATE, WHOLE),
}


RESET_DELAY_S = 0.005


class _Answers:
    """Answers the requests of each connection one after the other, the last one cut."""

    def __init__(self) -> None:
        self.address = ""
        self.earlier: list[bytes] = []
        self.cut = b""
        self.resets = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for answer in self.earlier:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.cut)
            await writer.drain()
        if self.resets:
            # What was sent before must be read first, as a reset discards what is not.
            await asyncio.sleep(RESET_DELAY_S)
            reset(writer)
        else:
            writer.close()


@contextlib.asynccontextmanager
async def _serving(answers: _Answers) -> AsyncIterator[None]:
    server = await asyncio.start_server(answers.serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        answers.address = f"{host}:{port}"
        yield


async def _ask(connection: BackendConnection) -> list[ExchangeEvent]:
    """Returns all events of the answer to one request."""
    connection.send("GET", "/", (("host", "x"),), b"", matches_request=_is_awaited)
    events: list[ExchangeEvent] = []
    while not events or not isinstance(events[-1], AnswerBroken | AnswerEnd):
        events.append(await connection.next_event())
    return events


def _is_awaited(headers: tuple[tuple[str, str], ...]) -> bool:
    return dict(headers).get("request-id", "r") == "r"


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("was_used", [False, True], ids=["new", "used"])
async def test_a_head_that_is_cut_at_any_byte_is_no_answer(
    head: str, *, resets: bool, was_used: bool
) -> None:
    """Guards against a caller that is given an answer of which not even the head came whole."""
    before, awaited = HEADS[head]
    answers = _Answers()
    answers.earlier = [WHOLE + b"hi"] if was_used else []
    answers.resets = resets
    async with _serving(answers):
        for length in range(len(awaited)):
            answers.cut = before + awaited[:length]
            connection = BackendConnection()
            await connection.connect(answers.address)
            if was_used:
                assert isinstance((await _ask(connection))[-1], AnswerEnd)
            events = await _ask(connection)
            connection.close()
            assert not any(isinstance(event, Head) for event in events), answers.cut
            assert isinstance(events[-1], AnswerBroken)


STAMPED = WHOLE.replace(b"request-id: r\r\nserver-stamp: s\r\n", STAMP)
TWO_EVENTS = (
    CHUNKED.replace(b"request-id: r\r\nserver-stamp: s\r\n", STAMP)
    + b"11\r\nid: 1\ndata: one\n\n\r\n"
    + b"11\r\nid: 2\ndata: two\n\n\r\n"
)
# In the status, between two lines, behind the length, in the empty line.
CUTS = [12, 17, 36, len(STAMPED) - 1]


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "tool", "stream"])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("before", [b"", INTERIM], ids=["at_once", "behind_an_interim_answer"])
async def test_callers_are_not_given_an_answer_whose_head_is_cut(
    kind: str, cut: int, before: bytes
) -> None:
    """Guards against an empty or short 200 to plain calls, orders, tools and turns."""
    backend = RawBackend(before + STAMPED[:cut])
    async with cluster_before(backend) as cluster:
        assert await ask_status(cluster, kind) in {0, 502}
        assert backend.requests


@pytest.mark.parametrize("cut", CUTS)
async def test_no_daemon_relays_an_answer_whose_head_is_cut(cut: int) -> None:
    """Guards against a short 200 to a turn that another daemon than its caller's has run."""
    backend = RawBackend(STAMPED[:cut])
    async with cluster_before(backend, daemon_count=2) as cluster:
        daemon = cluster.nodes["a"].daemon
        partition = daemon._program_components.relay._partition_for("p")
        not_owner = "b" if partition in daemon._ownership.owned else "a"
        assert await ask_status(cluster, "stream", node=not_owner) in {0, 502}
        assert backend.requests == 1


@pytest.mark.parametrize("cut", CUTS)
async def test_a_stream_is_not_whole_if_the_head_of_its_continuation_is_cut(cut: int) -> None:
    """Guards against a stream that is told to be whole though only its first run brought events."""
    backend = RawBackend(TWO_EVENTS, later=STAMPED[:cut])
    async with cluster_before(backend) as cluster:
        cluster.configure(2, resumable=True, retain_context=False, max_attempts=1)
        await cluster.until(lambda: cluster.nodes["a"].daemon._routes.version == 2)
        assert await ask_status(cluster, "stream") == 0
        assert backend.requests > 1
