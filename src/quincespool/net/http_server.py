"""Callers and operators over HTTP: requests become events, effects become responses."""

from __future__ import annotations

import asyncio
import itertools
import time
import uuid
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from quincespool.core.call import Answer
from quincespool.core.events import AuditReceived
from quincespool.core.events import CallerGone
from quincespool.core.events import CallReceived
from quincespool.core.events import DrainRequested
from quincespool.core.events import EndReceived
from quincespool.core.events import WhereReceived
from quincespool.core.reasons import Reason
from quincespool.net.connection_limits import default_limits
from quincespool.net.connection_table import ConnectionTable
from quincespool.net.error_bodies import answer_headers
from quincespool.net.error_bodies import error_body
from quincespool.net.error_bodies import refusal
from quincespool.net.error_bodies import unavailable
from quincespool.net.http_connection import Connection
from quincespool.net.http_response import HttpResponse
from quincespool.net.listener import SMALL_BACKLOG
from quincespool.net.listener import Listener
from quincespool.net.requests import AuditRequest
from quincespool.net.requests import CallRequest
from quincespool.net.requests import EndRequest
from quincespool.net.requests import EventRequest
from quincespool.net.requests import HttpRequest
from quincespool.net.requests import OperatorRequest
from quincespool.net.requests import RequestError
from quincespool.net.requests import WhereRequest
from quincespool.net.requests import read_request
from quincespool.net.sse import ChunkWriter
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.effects import Respond
    from quincespool.core.effects import RespondText
    from quincespool.core.events import Event
    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.metrics import Metrics
    from quincespool.settings import Settings

CLOSE_LIMIT_S = 5.0
OVERLOAD_RETRY_AFTER_MS = 1000


class _Pending(NamedTuple):
    connection: Connection
    request: EventRequest
    started_s: float
    chunks: ChunkWriter | None


class HttpServer:
    """The HTTP side of a daemon.

    Attributes:
      draining: Whether responses ask callers to close their connections.
      limits: Bounds on what a caller sends.
      memory: Bounds what all connections hold.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        memory: HeldMemory,
        max_connections: int,
        post: Callable[[Event], None],
        metrics: Metrics,
        dump: Callable[[], dict[str, object]],
        is_ready: Callable[[], bool],
    ) -> None:
        self.draining = False
        self.limits = default_limits()._replace(max_body_bytes=settings.max_body_bytes)
        self._settings = settings
        self._post = post
        self._metrics = metrics
        self._dump = dump
        self._is_ready = is_ready
        self._stopping = False
        self.memory = memory
        self._request_ids = itertools.count(1)
        self._connections: ConnectionTable[Connection] = ConnectionTable(max_connections)
        self._pending: dict[int, _Pending] = {}
        self._request_of: dict[Connection, int] = {}
        self._listener = Listener(lambda: Connection(self), backlog=SMALL_BACKLOG)
        metrics.watch("held_bytes", lambda: self.memory.held_bytes)
        metrics.watch("shed_connections_total", lambda: self.memory.shed_connections)
        metrics.watch("http_connections", lambda: len(self._connections))

    def may_take(self) -> bool:
        """See `ConnectionOwner.may_take`."""
        return True

    @property
    def port(self) -> int:
        """Where it listens; differs from the settings if they say 0. Only after `start`."""
        return self._listener.port

    async def start(self) -> None:
        """Listens on the HTTP port.

        Raises:
          OSError: if the port cannot be had.
        """
        await self._listener.start(self._settings.host, self._settings.http_port)

    async def close(self) -> None:
        """Ends what is still on the connections, then stops listening.

        A request that comes in meanwhile is answered that it was not run, in place of a reset that
        would leave its caller guessing.
        """
        self.draining = True
        self._stopping = True
        deadline_s = time.monotonic() + CLOSE_LIMIT_S
        while time.monotonic() < deadline_s and any(c.busy for c in self._connections):
            await asyncio.sleep(0.02)
        self._listener.stop()
        for connection in list(self._connections):
            connection.close_if_idle()

    def respond(self, effect: Respond) -> None:
        """Sends the whole answer to a request; without effect if the caller has gone."""
        pending = self._pending.pop(effect.request_id, None)
        if pending is None:
            return
        answer = effect.answer
        self._connections.record_end(pending.connection)
        del self._request_of[pending.connection]
        self._metrics.count("http_requests_total", status=str(answer.status))
        self._metrics.observe("http_response_ms", (time.monotonic() - pending.started_s) * 1000)
        if pending.chunks is not None:
            pending.connection.send_piece(pending.chunks.end(answer))
            pending.connection.end_stream()
        elif _wants_stream(pending.request) and answer.status == 200:
            self._send_whole_stream(pending, answer)
        else:
            self._send_answer(pending.connection, answer, pending.request)

    def respond_text(self, effect: RespondText) -> None:
        """Sends a piece of generated text; without effect if the caller has gone."""
        pending = self._pending.get(effect.request_id)
        if pending is None or not isinstance(pending.request, CallRequest):
            return
        if pending.chunks is None:
            pending = pending._replace(chunks=_make_chunks(pending.request))
            self._pending[effect.request_id] = pending
            headers = [("content-type", "text/event-stream"), *self._headers_for(pending.request)]
            pending.connection.start_stream(200, headers)
        if pending.chunks is not None:
            pending.connection.send_piece(pending.chunks.text(effect.text))

    def opened(self, connection: Connection) -> bool:
        """Takes note of a connection; false if there are too many."""
        if not self._connections.add(connection):
            self._metrics.count("http_refused_connections_total")
            return False
        return True

    def closed(self, connection: Connection) -> None:
        """Forgets a connection; its request, if there is one, has lost its caller."""
        self._connections.discard(connection)
        request_id = self._request_of.pop(connection, None)
        if request_id is not None:
            del self._pending[request_id]
            self._post(CallerGone(request_id=request_id))

    def dropped(self) -> None:
        """Counts a caller that reads too slowly."""
        self._metrics.count("http_dropped_connections_total")

    def handle(self, connection: Connection, request: HttpRequest) -> None:
        """Turns a request into an event, or answers it at once."""
        result = read_request(request, fresh_id=lambda: uuid.uuid4().hex)
        if result.is_error():
            self.refuse(connection, result.error)
            return
        wanted = result.ok
        if isinstance(wanted, OperatorRequest):
            self._operate(connection, wanted)
        elif self._stopping:
            self._metrics.count("http_requests_total", status="503")
            answer = unavailable(Reason.DRAINING, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
            self._send_answer(connection, answer, wanted)
        else:
            self._accept(connection, wanted)

    def refuse(self, connection: Connection, error: RequestError) -> None:
        """Answers a request that is malformed."""
        self._metrics.count("http_requests_total", status=str(error.status))
        answer = refusal(error)
        headers = answer_headers(answer) + self._headers_for(None)
        if error.allow:
            headers.append(("allow", error.allow))
        connection.respond(HttpResponse(error.status, headers, answer.body))

    def overloaded(self, connection: Connection) -> None:
        """Answers that there is no room for the connection or the request."""
        self._metrics.count("http_requests_total", status="503")
        answer = unavailable(Reason.OVERLOAD, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
        self._send_answer(connection, answer, None)

    def _accept(self, connection: Connection, request: EventRequest) -> None:
        request_id = next(self._request_ids)
        self._connections.record_start(connection)
        self._pending[request_id] = _Pending(
            connection=connection, request=request, started_s=time.monotonic(), chunks=None
        )
        self._request_of[connection] = request_id
        self._post(_event_of(request_id, request))

    def _operate(self, connection: Connection, request: OperatorRequest) -> None:
        if request.kind == "drain":
            self._post(DrainRequested())
            self._send_json(connection, 202, {"draining": True})
        elif request.kind == "ready":
            ready = self._is_ready()
            self._send_json(connection, 200 if ready else 503, {"ready": ready})
        elif request.kind == "dump":
            self._send_json(connection, 200, self._dump())
        else:
            body, media_type = self._metrics.render()
            headers = [("content-type", media_type), *self._headers_for(None)]
            connection.respond(HttpResponse(200, headers, body))

    def _send_json(self, connection: Connection, status: int, value: dict[str, object]) -> None:
        body = msgspec.json.encode(value, enc_hook=str)
        headers = [("content-type", "application/json"), *self._headers_for(None)]
        connection.respond(HttpResponse(status, headers, body))

    def _send_answer(
        self, connection: Connection, answer: Answer, request: EventRequest | None
    ) -> None:
        body = answer.body or (error_body(answer) if answer.status >= 400 else b"")
        headers = answer_headers(answer) + self._headers_for(request)
        connection.respond(HttpResponse(answer.status, headers, body))

    def _send_whole_stream(self, pending: _Pending, answer: Answer) -> None:
        headers = answer_headers(answer._replace(content_type="text/event-stream"))
        chunks = _make_chunks(pending.request)
        pending.connection.start_stream(200, headers + self._headers_for(pending.request))
        pending.connection.send_piece(chunks.end(answer))
        pending.connection.end_stream()

    def _headers_for(self, request: EventRequest | None) -> list[tuple[str, str]]:
        headers = [("x-served-by", self._settings.member_id)]
        if isinstance(request, CallRequest):
            headers.append(("x-program-id", request.call.program_id))
        return headers


def internal_error(request_id: int) -> Answer:
    """Returns the answer to a request whose event raised an exception.

    Without it the caller would wait for an answer that nobody will give.
    """
    answer = Answer(status=500, body=b"", verdict=Verdict.MAY_HAVE_RUN, reason=Reason.UNRESOLVED)
    message = f"the daemon failed on this request ({request_id}); it may have run"
    return answer._replace(body=error_body(answer, message))


def _event_of(request_id: int, request: EventRequest) -> Event:
    match request:
        case CallRequest(call=call):
            return CallReceived(request_id=request_id, call=call)
        case EndRequest(program_id=program_id):
            return EndReceived(request_id=request_id, program_id=program_id)
        case AuditRequest(outcome_id=outcome_id):
            return AuditReceived(request_id=request_id, outcome_id=outcome_id)
        case WhereRequest(program_id=program_id):
            return WhereReceived(request_id=request_id, program_id=program_id)


def _wants_stream(request: EventRequest) -> bool:
    return isinstance(request, CallRequest) and request.call.stream


def _make_chunks(request: EventRequest) -> ChunkWriter:
    assert isinstance(request, CallRequest)
    call = request.call
    return ChunkWriter(
        model=call.target,
        completion_id=f"chatcmpl-{call.program_id}-{call.call_number}",
        created_s=int(time.time()),
    )
