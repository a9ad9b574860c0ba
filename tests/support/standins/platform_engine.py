"""An engine or plain service of the platform: stamps its answers and tells what it ran."""

from __future__ import annotations

import asyncio
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


class EngineKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options and faults.

    Attributes:
      events: Events of each stream.
      event_bytes: Added to the data of each event.
      gap_ms: Before each event, or before a whole answer.
      full: Every request is refused as not run.
      cut_after: So many events, then the connection is reset; -1 never.
      cut_inside: The event at which a stream is cut off is begun first.
      cuts: So many streams are cut off, then none.
      without_receipt: Answers lack the receipt.
      crash: The next request resets all connections; new ones are refused from then on.
    """

    events: int = 3
    event_bytes: int = 0
    gap_ms: float = 5
    full: bool = False
    cut_after: int = -1
    cut_inside: bool = False
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
            is_cut = await self._run(exchange, call_id, streams="/stream/" in request.path)
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
        fields += [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")]
        exchange._write(h11.Response(status_code=200, headers=fields))
        after = int(exchange.request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.knobs.events + 1):
            more = "x" * self.knobs.event_bytes
            event = f"id: {number}\ndata: {call_id}.{number}{more}\n\n".encode()
            if number - 1 >= self.knobs.cut_after >= 0 and self.knobs.cuts:
                self.knobs.cuts -= 1
                if self.knobs.cut_inside:
                    await exchange.send(event[:-4])
                exchange.cut()
                return True
            await asyncio.sleep(self.knobs.gap_ms / 1000)
            await exchange.send(event)
        await exchange.finish()
        return False


def make_platform_engine(backend_id: str, **knobs: object) -> PlatformEngine:
    """Returns an engine with this id."""
    return PlatformEngine(msgspec.convert(knobs, EngineKnobs), backend_id)
