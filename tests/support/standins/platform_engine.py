"""An engine or plain service of the platform: stamps its answers and tells what it ran."""

from __future__ import annotations

import asyncio
import enum
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import h11
import msgspec

from tests.support.standins.http import RefusedError
from tests.support.standins.http import StandIn

if TYPE_CHECKING:
    from tests.support.standins.http import Exchange


STREAM_EVENTS = 3


class CutPlace(enum.StrEnum):
    """The part of the next event that a stream still has when it is cut off."""

    BEFORE_EVENT = "before_event"
    AFTER_ID = "after_id"
    IN_DATA = "in_data"
    AFTER_DATA = "after_data"


INSIDE_EVENT = (CutPlace.AFTER_ID, CutPlace.IN_DATA, CutPlace.AFTER_DATA)


class CutBy(enum.StrEnum):
    """How a stream is cut off."""

    CLOSE = "close"
    RESET = "reset"
    # Chunked streams say that they are complete; others are closed.
    END = "end"
    # All connections are closed, and new ones refused from then on.
    CRASH = "crash"


class EngineKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options and faults.

    Attributes:
      events: Events of each stream.
      event_bytes: Added to the data of each event.
      gap_ms: Before each event, or before a whole answer.
      full: Every request is refused as not run.
      streams_all: Plain calls are answered by streams, too.
      has_chunks: Streams are chunked; otherwise nothing but the end of the connection ends them.
      cut_after: So many events, then the stream is cut off; -1 never.
      cut_place: What the stream has of the event after these.
      cut_by: How it is cut off.
      cuts: So many streams are cut off, then none.
      without_receipt: Answers lack the receipt.
      crash: The next request resets all connections; new ones are refused from then on.
    """

    events: int = STREAM_EVENTS
    event_bytes: int = 0
    gap_ms: float = 5
    full: bool = False
    streams_all: bool = False
    has_chunks: bool = True
    cut_after: int = -1
    cut_place: CutPlace = CutPlace.BEFORE_EVENT
    cut_by: CutBy = CutBy.CLOSE
    cuts: int = 1_000_000
    without_receipt: bool = False
    crash: bool = False


class Run(NamedTuple):
    """A request that was run."""

    call_id: str
    path: str
    body: bytes
    headers: dict[str, str]


class Span(NamedTuple):
    """When a request was worked on, by the steady clock; `broke_off` if the engine cut it."""

    call_id: str
    backend_id: str
    began_s: float
    ended_s: float
    broke_off: bool


class PlatformEngine(StandIn[EngineKnobs]):
    """Streams events on POST to paths with `/stream/`, answers whole elsewhere."""

    cancel_on_close = True

    def __init__(self, knobs: EngineKnobs, backend_id: str) -> None:
        super().__init__(knobs)
        self.backend_id = backend_id
        self.runs: list[Run] = []
        self.spans: list[Span] = []
        self.under_way = 0

    def counts(self) -> dict[str, object]:
        return {"runs": len(self.runs)}

    async def handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.headers.get("expect-instance", self.backend_id) != self.backend_id:
            raise RefusedError(421, "another instance")
        if self.knobs.full:
            raise RefusedError(503, "full", not_executed="1")
        call_id = request.headers.get("request-id", "")
        self.runs.append(Run(call_id, request.path, request.body, request.headers))
        if self.knobs.crash:
            self.cut_all()
            return
        self.under_way += 1
        began_s = time.monotonic()
        is_cut = False
        try:
            is_cut = await self._run(
                exchange, call_id, streams=self.knobs.streams_all or "/stream/" in request.path
            )
        finally:
            self.under_way -= 1
            self.spans.append(Span(call_id, self.backend_id, began_s, time.monotonic(), is_cut))

    async def _run(self, exchange: Exchange, call_id: str, *, streams: bool) -> bool:
        """Returns whether the answer was cut off."""
        headers: dict[str, Any] = {"request_id": call_id}
        if not self.knobs.without_receipt:
            headers["server_stamp"] = self.backend_id
        if not streams:
            await asyncio.sleep(self.knobs.gap_ms / 1000)
            await exchange.reply(200, {"ran": call_id}, **headers)
            return False
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return await self._stream(exchange, call_id, fields)

    async def _stream(
        self, exchange: Exchange, call_id: str, fields: list[tuple[str, str]]
    ) -> bool:
        fields = [*fields, ("content-type", "text/event-stream")]
        if self.knobs.has_chunks:
            fields = [*fields, ("transfer-encoding", "chunked")]
            exchange._write(h11.Response(status_code=200, headers=fields))
        else:
            exchange.start_without_length(fields)
        after = int(exchange.request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.knobs.events + 1):
            more = "x" * self.knobs.event_bytes
            event = f"id: {number}\ndata: {call_id}.{number}{more}\n\n".encode()
            if self._is_cut_after(number - 1):
                await self._cut(exchange, event)
                return True
            await asyncio.sleep(self.knobs.gap_ms / 1000)
            await exchange.send(event)
        if self._is_cut_after(self.knobs.events):
            await self._cut(exchange, b"")
            return True
        await exchange.finish()
        return False

    def _is_cut_after(self, events: int) -> bool:
        return self.knobs.cuts > 0 and events >= self.knobs.cut_after >= 0

    async def _cut(self, exchange: Exchange, event: bytes) -> None:
        self.knobs.cuts -= 1
        begun = _begin(event, self.knobs.cut_place)
        if begun:
            await exchange.send(begun)
        if self.knobs.cut_by is CutBy.END:
            await exchange.finish()
        elif self.knobs.cut_by is CutBy.CRASH:
            self.cut_all()
        elif self.knobs.cut_by is CutBy.RESET:
            exchange.reset()
        else:
            exchange.cut()


def _begin(event: bytes, place: CutPlace) -> bytes:
    """Returns the part of an event that is sent before its stream is cut off."""
    sizes = {
        CutPlace.BEFORE_EVENT: 0,
        CutPlace.AFTER_ID: event.find(b"\n") + 1,
        CutPlace.IN_DATA: len(event) - 4,
        CutPlace.AFTER_DATA: len(event) - 1,
    }
    return event[: max(0, sizes[place])]


def make_platform_engine(backend_id: str, **knobs: object) -> PlatformEngine:
    """Returns an engine with this id."""
    return PlatformEngine(msgspec.convert(knobs, EngineKnobs), backend_id)
