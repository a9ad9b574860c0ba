"""Tests of the HTTP server: what callers send and get, through real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import pytest

from quincespool.core.call import Answer
from quincespool.core.effects import Respond
from quincespool.core.effects import RespondText
from quincespool.core.events import CallerGone
from quincespool.core.events import CallReceived
from quincespool.core.events import DrainRequested
from quincespool.core.events import WhereReceived
from quincespool.core.reasons import Reason
from quincespool.net import error_bodies
from quincespool.net import http_connection
from quincespool.net import http_server
from quincespool.net.http_server import HttpServer
from quincespool.verdict import Verdict
from tests.net.conftest import ask
from tests.net.conftest import until
from tests.net.test_requests import CHAT
from tests.net.test_sse import answer as completion

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from quincespool.core.events import Event
    from quincespool.net.metrics import Metrics
    from quincespool.settings import Settings

Serve = "Callable[..., contextlib.AbstractAsyncContextManager[tuple[HttpServer, list[Event]]]]"


def http(method: str, target: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "host: x", f"content-length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


CLOSE = "connection: close"
CALL = http("POST", "/v1/chat/completions", CHAT, CLOSE)
STREAM = http("POST", "/v1/chat/completions", CHAT[:-1] + b',"stream":true}', CLOSE)


@pytest.fixture
def serve(settings: Settings, metrics: Metrics) -> Serve:
    @contextlib.asynccontextmanager
    async def serving(
        answer: Callable[[HttpServer, Event], None] = lambda *_: None,
    ) -> AsyncIterator[tuple[HttpServer, list[Event]]]:
        events: list[Event] = []

        def post(event: Event) -> None:
            events.append(event)
            answer(server, event)

        server = HttpServer(
            settings=settings,
            post=post,
            metrics=metrics,
            dump=lambda: {"some": ("state", Verdict.RAN)},
            is_ready=lambda: False,
        )
        await server.start()
        yield server, events
        await server.close()

    return serving


def respond_with(answer: Answer) -> Callable[[HttpServer, Event], None]:
    def respond(server: HttpServer, event: Event) -> None:
        if isinstance(event, CallReceived | WhereReceived):
            server.respond(Respond(event.request_id, answer))

    return respond


def ask_once(serve: Serve, data: bytes, answer: Answer | None = None, *, end: bool = False) -> str:
    async def run() -> bytes:
        async with serve(respond_with(answer) if answer else lambda *_: None) as (server, _):
            return await ask(server.port, data, end=end)

    return asyncio.run(run()).decode()


def test_answer_with_outcome_verdict_program_and_member(serve: Serve) -> None:
    answer = Answer(status=200, body=b'{"a":1}', outcome_id="o1")
    text = ask_once(serve, CALL, answer)

    assert text.startswith("HTTP/1.1 200")
    assert text.endswith('\r\n\r\n{"a":1}')
    for header in ("x-outcome-id: o1", "x-verdict: ran", "x-served-by: m1", "x-program-id: "):
        assert header in text


def test_refusal_says_when_to_come_back(serve: Serve) -> None:
    answer = Answer(503, b"", "application/json", Verdict.NOT_RUN, "o2", 1001, Reason.OVERLOAD)
    text = ask_once(serve, CALL, answer)

    assert "retry-after: 2\r\n" in text
    assert "retry-after-ms: 1001\r\n" in text
    error = msgspec.json.decode(text.partition("\r\n\r\n")[2])["error"]
    assert (error["code"], error["verdict"], error["outcome_id"]) == ("overload", "not_run", "o2")


def test_every_reason_has_a_text_of_its_own() -> None:
    assert set(error_bodies._MESSAGES) == set(Reason)


def test_stream_is_sent_as_it_comes_and_ended_by_the_answer(serve: Serve) -> None:
    def answer(server: HttpServer, event: Event) -> None:
        if isinstance(event, CallReceived):
            server.respond_text(RespondText(event.request_id, "Hel"))
            server.respond_text(RespondText(event.request_id, "lo"))
            server.respond(Respond(event.request_id, completion("Hello")))

    async def run() -> bytes:
        async with serve(answer) as (server, _):
            return await ask(server.port, STREAM)

    text = asyncio.run(run()).decode()
    assert "content-type: text/event-stream" in text
    assert text.index('"Hel"') < text.index('"lo"') < text.index("usage") < text.index("[DONE]")


def test_stream_without_text_gets_the_whole_content_or_a_plain_error(serve: Serve) -> None:
    whole = ask_once(serve, STREAM, completion("Hello"))
    failed = ask_once(serve, STREAM, Answer(status=502, body=b"", reason=Reason.BACKEND_FAILED))

    assert whole.index('"Hello"') < whole.index("[DONE]")
    assert failed.startswith("HTTP/1.1 502")
    assert "[DONE]" not in failed


def test_operator_paths(serve: Serve) -> None:
    assert '{"some":["state","ran"]}' in ask_once(serve, http("GET", "/v1/dump", b"", CLOSE))
    assert "quincespool_http_connections 1" in ask_once(serve, http("GET", "/metrics", b"", CLOSE))
    assert ask_once(serve, http("GET", "/v1/ready", b"", CLOSE)).startswith("HTTP/1.1 503")

    async def run() -> list[Event]:
        async with serve() as (server, events):
            await ask(server.port, http("POST", "/v1/drain", b"", CLOSE))
            return events

    assert asyncio.run(run()) == [DrainRequested()]


def test_pipelined_requests_are_answered_in_order_one_at_a_time(serve: Serve) -> None:
    """Answers that cross.

    Symptom: a caller gets the answer to another of its requests. Events: three requests at once on
    one connection, of which the later ones could be answered first. Cause: more than one request
    of a connection under way.
    """

    async def run() -> str:
        async with serve() as (server, events):
            data = b"".join(http("GET", f"/v1/where?program=p{i}") for i in range(3))
            asking = asyncio.ensure_future(ask(server.port, data, end=False))
            for number in range(3):
                await until(lambda number=number: len(events) == number + 1)
                await asyncio.sleep(0)
                event = events[number]
                assert isinstance(event, WhereReceived)
                server.draining = number == 2
                server.respond(Respond(event.request_id, Answer(200, event.program_id.encode())))
            return (await asking).decode()

    text = asyncio.run(run())
    assert text.count("HTTP/1.1 200") == 3
    assert text.index("\r\n\r\np0") < text.index("\r\n\r\np1") < text.index("\r\n\r\np2")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"a" * 70_000, 431),
        (http("POST", "/v1/chat/completions", b"x" * 10_001), 413),
        (b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
         + b"1000\r\n" + b"x" * 4096 + b"\r\n1000\r\n" + b"x" * 4096 + b"\r\n1000\r\n", 404),
        (CALL[:-5], 400),
        (CALL[:20], 400),
        (http("GET", "/v1/drain", b"", CLOSE), 405),
    ],
)  # fmt: skip
def test_bad_input_gets_a_clear_refusal(serve: Serve, data: bytes, status: int) -> None:
    """Bad input.

    Symptom: a caller sees a reset, or the daemon keeps waiting or collecting. Events: a request
    that is malformed, too large or cut short. Cause: no bound, or closing before the refusal is
    read.
    """
    if status == 404:
        data, status = data + b"x" * 4096 + b"\r\n0\r\n\r\n", 413
    text = ask_once(serve, data, end=True)

    assert text.startswith(f"HTTP/1.1 {status} ")
    error = msgspec.json.decode(text.partition("\r\n\r\n")[2])["error"]
    assert (error["code"], error["verdict"]) == ("malformed", "not_run")


@pytest.mark.parametrize(
    ("limit", "data"), [("HEAD_LIMIT_S", CALL[:20]), ("BODY_LIMIT_S", CALL[:-5])]
)
def test_slow_input_is_refused_and_harms_nobody(
    serve: Serve, monkeypatch: pytest.MonkeyPatch, limit: str, data: bytes
) -> None:
    """A caller that never ends its request.

    Symptom: connections pile up until nobody is served. Events: many callers send half a request.
    Cause: no time limit on head and body.
    """
    monkeypatch.setattr(http_connection, limit, 0.05)

    async def run() -> tuple[bytes, bytes]:
        async with serve(respond_with(Answer(200, b"fine"))) as (server, _):
            slow = asyncio.ensure_future(ask(server.port, data))
            other = await ask(server.port, CALL)
            return await slow, other

    slow, other = asyncio.run(run())
    assert slow.startswith(b"HTTP/1.1 408 ")
    assert other.endswith(b"fine")


def test_caller_that_goes_away_is_told_to_the_reducer(serve: Serve) -> None:
    async def run() -> list[Event]:
        async with serve() as (server, events):
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(CALL)
            await until(lambda: events)
            writer.close()
            await until(lambda: len(events) == 2)
            server.respond(Respond(1, Answer(200, b"late")))
            return events

    call, gone = asyncio.run(run())
    assert isinstance(call, CallReceived)
    assert gone == CallerGone(call.request_id)


def test_caller_that_does_not_read_is_dropped(serve: Serve) -> None:
    """A caller that does not read its stream.

    Symptom: memory of the daemon grows without bound. Events: a caller asks for a long stream and
    stops reading. Cause: text is buffered for it for as long as it is generated.
    """

    async def run() -> None:
        async with serve() as (server, events):
            _, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1)
            writer.write(STREAM)
            await until(lambda: events)
            while len(events) == 1:
                server.respond_text(RespondText(1, "x" * 100_000))
                await asyncio.sleep(0)
            assert events[1] == CallerGone(1)
            writer.close()

    asyncio.run(run())


def test_bounds_of_connections_and_bodies(serve: Serve, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "MAX_BODIES_BYTES", 10)
    assert ask_once(serve, CALL).startswith("HTTP/1.1 503")
    monkeypatch.setattr(http_server, "MAX_CONNECTIONS", 0)
    assert "overload" in ask_once(serve, CALL)


def test_request_during_the_last_moments_of_a_planned_stop(serve: Serve) -> None:
    """A request that meets the end of a planned stop.

    Symptom: a caller sees a reset and cannot know whether its request ran. Events: the reducer has
    nothing left to do and says `Stop`; a request is just coming in. Cause: connections closed
    without looking.
    """

    async def run() -> tuple[bytes, list[Event]]:
        async with serve() as (server, events):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(CALL[:-5])
            await until(lambda: any(c.busy for c in server._connections))
            closing = asyncio.ensure_future(server.close())
            await asyncio.sleep(0)
            writer.write(CALL[-5:])
            text = await reader.read()
            await closing
            writer.close()
            return text, events

    text, events = asyncio.run(run())
    assert text.startswith(b"HTTP/1.1 503 ")
    assert b'"verdict":"not_run"' in text
    assert events == []
