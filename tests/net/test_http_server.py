"""Tests of the HTTP server: what callers send and get, through real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import pytest

from quincespool.core import events as ev
from quincespool.core.call import Answer
from quincespool.core.effects import Respond
from quincespool.core.effects import RespondText
from quincespool.core.reasons import Reason
from quincespool.net import connection_limits
from quincespool.net import connection_phase
from quincespool.net import error_bodies
from quincespool.net import http_server
from quincespool.net.connection_table import ConnectionTable
from quincespool.net.held_memory import HeldMemory
from quincespool.verdict import Verdict
from tests.net.conftest import ask
from tests.net.conftest import typed
from tests.net.conftest import until
from tests.net.test_requests import CHAT
from tests.net.test_sse import answer as completion

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from quincespool.net.metrics import Metrics
    from quincespool.settings import Settings


def http(method: str, target: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "host: x", f"content-length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


CLOSE = "connection: close"
CALL = http("POST", "/v1/chat/completions", CHAT, CLOSE)
STREAM = http("POST", "/v1/chat/completions", CHAT[:-1] + b',"stream":true}', CLOSE)
CHUNKED = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    + 3 * (b"1000\r\n" + b"x" * 4096 + b"\r\n")
    + b"0\r\n\r\n"
)


class Server:
    """A server whose events are kept and answered by `answer`."""

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self.events: list[ev.Event] = []
        self.answer: Callable[[ev.Event], None] = lambda _: None
        self.http = http_server.HttpServer(
            settings=settings,
            memory=HeldMemory(50_000_000),
            max_connections=1_000,
            post=self._post,
            metrics=metrics,
            dump=lambda: {"some": ("state", Verdict.RAN)},
            is_ready=lambda: False,
        )

    def _post(self, event: ev.Event) -> None:
        self.events.append(event)
        self.answer(event)

    def respond(self, answer: Answer, *texts: str) -> None:
        """Answers the last request."""
        request_id = len([e for e in self.events if isinstance(e, ev.CallReceived)])
        for text in texts:
            self.http.respond_text(RespondText(request_id, text))
        self.http.respond(Respond(request_id, answer))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[int]:
        await self.http.start()
        yield self.http.port
        await self.http.close()

    async def ask(
        self, data: bytes, answer: Answer | None = None, *texts: str, end: bool = False
    ) -> str:
        """Sends bytes to a running server that answers each call alike."""
        if answer is not None:
            self.answer = lambda _: self.respond(answer, *texts)
        return await ask(self.http.port, data, end=end)


@pytest.fixture
def server(settings: Settings, metrics: Metrics) -> Server:
    return Server(settings, metrics)


def error_of(text: str) -> tuple[str, str, str]:
    error = msgspec.json.decode(text.partition("\r\n\r\n")[2])["error"]
    return error["code"], error["verdict"], error["outcome_id"]


async def test_answer_and_refusal_with_their_headers(server: Server) -> None:
    refusal = Answer(503, b"", "application/json", Verdict.NOT_RUN, "o2", 1001, Reason.OVERLOAD)
    async with server.running():
        text = await server.ask(CALL, Answer(status=200, body=b'{"a":1}', outcome_id="o1"))
        refused = await server.ask(CALL, refusal)

    assert text.startswith("HTTP/1.1 200")
    assert text.endswith('\r\n\r\n{"a":1}')
    for header in ("x-outcome-id: o1", "x-verdict: ran", "x-served-by: m1", "x-program-id: "):
        assert header in text
    assert "retry-after: 2\r\n" in refused
    assert "retry-after-ms: 1001\r\n" in refused
    assert error_of(refused) == ("overload", "not_run", "o2")
    assert set(error_bodies._MESSAGES) == set(Reason)


async def test_stream_with_and_without_text(server: Server) -> None:
    async with server.running():
        text = await server.ask(STREAM, completion("Hello"), "Hel", "lo")
        whole = await server.ask(STREAM, completion("Hello"))
        failed = await server.ask(STREAM, Answer(502, b"", reason=Reason.BACKEND_FAILED))

    assert "content-type: text/event-stream" in text
    assert text.index('"Hel"') < text.index('"lo"') < text.index("usage") < text.index("[DONE]")
    assert whole.index('"Hello"') < whole.index("[DONE]")
    assert failed.startswith("HTTP/1.1 502")
    assert "[DONE]" not in failed


async def test_operator_paths(server: Server) -> None:
    async with server.running():
        assert '{"some":["state","ran"]}' in await server.ask(http("GET", "/v1/dump", b"", CLOSE))
        text = await server.ask(http("GET", "/metrics", b"", CLOSE))
        assert "quincespool_http_connections 1" in text
        ready = await server.ask(http("GET", "/v1/ready", b"", CLOSE))
        assert ready.startswith("HTTP/1.1 503")
        await server.ask(http("POST", "/v1/drain", b"", CLOSE))
    assert typed(server.events) == typed([ev.DrainRequested()])


async def test_pipelined_requests_are_answered_in_order_one_at_a_time(server: Server) -> None:
    """Answers that cross.

    Symptom: a caller gets the answer to another of its requests. Events: three requests at once on
    one connection, of which the later ones could be answered first. Cause: more than one request
    of a connection under way.
    """
    async with server.running() as port:
        data = b"".join(http("GET", f"/v1/where?program=p{i}") for i in range(3))
        asking = asyncio.ensure_future(ask(port, data))
        for number in (1, 2, 3):
            while len(server.events) < number:
                await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            assert len(server.events) == number
            event = server.events[-1]
            assert isinstance(event, ev.WhereReceived)
            server.http.draining = number == 3
            server.http.respond(Respond(number, Answer(200, event.program_id.encode())))
        text = await asking

    assert text.count("HTTP/1.1 200") == 3
    assert text.index("\r\n\r\np0") < text.index("\r\n\r\np1") < text.index("\r\n\r\np2")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"a" * 70_000, 431),
        (http("POST", "/v1/chat/completions", b"x" * 10_001), 413),
        (http("POST", "/v1/chat/completions", b"x" * 3_000_000), 413),
        (CHUNKED, 413),
        (CALL[:-5], 400),
        (CALL[:20], 400),
        (http("GET", "/v1/drain", b"", CLOSE), 405),
    ],
)
async def test_bad_input_gets_a_clear_refusal(
    server: Server, monkeypatch: pytest.MonkeyPatch, data: bytes, status: int
) -> None:
    """Bad input.

    Symptom: a caller sees a reset, or the daemon keeps waiting, collecting or holding connections.
    Events: a request that is malformed, too large or cut short. Cause: no bound, or closing before
    the refusal is read.
    """
    monkeypatch.setattr(connection_phase, "LINGER_LIMIT_S", 0.5)
    async with server.running():
        text = await server.ask(data, end=True)
        await until(lambda: not server.http._connections)
    assert text.startswith(f"HTTP/1.1 {status} ")
    assert error_of(text) == ("malformed", "not_run", "@-1~malformed~0~-")


async def test_requests_sent_while_one_is_answered_do_not_fill_memory(server: Server) -> None:
    """A caller that sends request after request.

    Symptom: memory of the daemon grows. Events: a call takes a minute, and its caller keeps sending
    others on the same connection. Cause: all that comes in is read and kept.
    """
    async with server.running() as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(CALL + b"x" * 3_000_000)
        await until(lambda: server.events)
        (connection,) = server.http._connections
        await until(lambda: not connection._transport.is_reading())
        server.respond(Answer(200, b"fine"))
        writer.close()


async def test_requests_sent_ahead_of_unread_answers_do_not_fill_memory(server: Server) -> None:
    """Guards against a connection that is read on although its answers are not."""
    request = http("GET", "/v1/ready")
    async with server.running() as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
        writer.write(100_000 * request)
        await until(lambda: server.http._connections)
        (connection,) = server.http._connections
        await until(lambda: not connection._transport.is_reading())
        assert len(connection._http.trailing_data[0]) < 1_000_000
        writer.transport.abort()


@pytest.mark.parametrize(
    ("limit", "data"), [("HEAD_LIMIT_S", CALL[:20]), ("BODY_LIMIT_S", CALL[:-5])]
)
async def test_slow_input_is_refused_and_harms_nobody(
    server: Server, monkeypatch: pytest.MonkeyPatch, limit: str, data: bytes
) -> None:
    """A caller that never ends its request.

    Symptom: connections pile up until nobody is served. Events: many callers send half a request.
    Cause: no time limit on head and body.
    """
    monkeypatch.setattr(connection_limits, limit, 0.05)
    async with server.running():
        slow = asyncio.ensure_future(server.ask(data))
        assert (await server.ask(CALL, Answer(200, b"fine"))).endswith("fine")
        assert (await slow).startswith("HTTP/1.1 408 ")


async def test_caller_that_goes_away_is_told_to_the_reducer(server: Server) -> None:
    async with server.running() as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(CALL)
        await until(lambda: server.events)
        writer.close()
        await until(lambda: len(server.events) == 2)
        server.respond(Answer(200, b"late"), "late")
    assert isinstance(server.events[0], ev.CallReceived)
    assert typed(server.events[1:]) == typed([ev.CallerGone(1)])


async def test_caller_that_does_not_read_is_dropped(server: Server) -> None:
    """A caller that does not read its stream.

    Symptom: memory of the daemon grows without bound. Events: a caller asks for a long stream and
    stops reading. Cause: text is buffered for it for as long as it is generated.
    """
    async with server.running() as port:
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
        writer.write(STREAM)
        await until(lambda: server.events)
        while len(server.events) == 1:
            server.http.respond_text(RespondText(1, "x" * 100_000))
            await asyncio.sleep(0)
        writer.close()
    assert typed(server.events[1:]) == typed([ev.CallerGone(1)])


async def test_bounds_of_connections_and_bodies(
    server: Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It may be the repeat of a call that has run elsewhere.
    turned_away = ("overload", "may_have_run", "@-1~overload~0~-")
    async with server.running():
        memory = HeldMemory(10)
        assert memory.reserve(1)
        monkeypatch.setattr(server.http, "memory", memory)
        assert error_of(await server.ask(CALL)) == turned_away
        monkeypatch.setattr(server.http, "_connections", ConnectionTable(0))
        assert error_of(await server.ask(b"")) == turned_away


async def test_request_during_the_last_moments_of_a_planned_stop(server: Server) -> None:
    """A request that meets the end of a planned stop.

    Symptom: a caller sees a reset and cannot know whether its request ran. Events: the reducer has
    nothing left to do and says `Stop`; a request is just coming in. Cause: connections closed
    without looking.
    """
    async with server.running() as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(CALL[:-5])
        await until(lambda: any(c.busy for c in server.http._connections))
        closing = asyncio.ensure_future(server.http.close())
        await asyncio.sleep(0)
        writer.write(CALL[-5:])
        text = (await reader.read()).decode()
        await closing
        writer.close()
    # It may be the repeat of a call that has run elsewhere.
    assert error_of(text) == ("draining", "may_have_run", "@-1~draining~0~-")
    assert server.events == []
