"""The log service: append-only streams with offsets, retention, a rate limit, and its faults."""

from __future__ import annotations

import asyncio
import math
import time
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from tests.support.standins.http import RefusedError
from tests.support.standins.http import StandIn
from tests.support.standins.http import run

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.standins.http import Exchange


class LogKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options and faults.

    Attributes:
      reads_out: Reads answer 503, also those that wait.
      appends_out: Appends answer 503.
      delay_ms: Every request waits this long first.
      lose_after_write: So many next appends are written, then the connection is reset.
      lose_before_write: So many next appends are dropped, then the connection is reset.
      append_rate_per_s: Of all streams together; 0 sets no limit.
      append_burst: Appends taken at once after a pause.
      retention_records: Of each stream; 0 keeps all.
      retention_ms: Age at which records expire; 0 keeps all.
      expire_before: First offset kept, by stream.
    """

    reads_out: bool = False
    appends_out: bool = False
    delay_ms: float = 0
    lose_after_write: int = 0
    lose_before_write: int = 0
    append_rate_per_s: float = 0
    append_burst: int = 10
    retention_records: int = 0
    retention_ms: int = 0
    expire_before: dict[str, int] = {}


class _Record(NamedTuple):
    body: msgspec.Raw
    written_s: float


class _Stream:
    """Records from `earliest` on."""

    def __init__(self) -> None:
        self.records: list[_Record] = []
        self.earliest = 0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)

    def wake_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class LogService(StandIn[LogKnobs]):
    """The log service; see docs/design/outside-systems.md for its protocol."""

    cancel_on_close = True

    def __init__(
        self, knobs: LogKnobs, *, clock: Callable[[], float], host: str, port: int
    ) -> None:
        super().__init__(knobs, host=host, port=port)
        self._clock = clock
        self._streams: dict[str, _Stream] = {}
        self._allowance = float(knobs.append_burst)
        self._refilled_s = clock()
        self._counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    def counts(self) -> dict[str, object]:
        """Appends, refusals, reads and bytes in and out, each by stream."""
        return {name: dict(by_stream) for name, by_stream in self._counts.items()}

    def has_stream(self, name: str) -> bool:
        """Whether a stream has been written or waited for."""
        return name in self._streams

    def controlled(self) -> None:
        """Applies retention at once and lets waiting reads see an outage."""
        for stream in self._streams.values():
            stream.wake_readers()

    async def handle(self, exchange: Exchange) -> None:
        """Answers an append or a read."""
        await asyncio.sleep(self.knobs.delay_ms / 1000)
        match exchange.request.path.split("/"):
            case ["", "streams", name, "records"] if exchange.request.method == "POST":
                await self._append(name, exchange)
            case ["", "streams", name, "records"]:
                await self._read(name, exchange)
            case _:
                raise RefusedError(404, "no such path")

    async def _append(self, name: str, exchange: Exchange) -> None:
        if self.knobs.appends_out:
            self._counts["refused_outage"][name] += 1
            raise RefusedError(503, "outage")
        if wait_s := self._take_allowance():
            self._counts["refused_rate"][name] += 1
            raise RefusedError(429, "rate", retry_after=str(math.ceil(wait_s)))
        if self.knobs.lose_before_write > 0:
            self.knobs.lose_before_write -= 1
            return exchange.cut()
        offset = self._write(name, exchange.request.body)
        if self.knobs.lose_after_write > 0:
            self.knobs.lose_after_write -= 1
            return exchange.cut()
        return await exchange.reply(200, {"offset": offset})

    def _write(self, name: str, body: bytes) -> int:
        msgspec.json.decode(body, type=dict[str, Any])
        stream = self._streams.setdefault(name, _Stream())
        stream.records.append(_Record(msgspec.Raw(body), self._clock()))
        self._counts["appends"][name] += 1
        self._counts["bytes_in"][name] += len(body)
        stream.wake_readers()
        return stream.end - 1

    def _take_allowance(self) -> float:
        """Takes one append from the token bucket, or returns the seconds until there is one."""
        rate = self.knobs.append_rate_per_s
        if not rate:
            return 0
        now_s = self._clock()
        refilled = self._allowance + (now_s - self._refilled_s) * rate
        self._allowance = min(refilled, float(self.knobs.append_burst))
        self._refilled_s = now_s
        if self._allowance < 1:
            return (1 - self._allowance) / rate
        self._allowance -= 1
        return 0

    async def _read(self, name: str, exchange: Exchange) -> None:
        query = exchange.request.query
        start = int(query.get("from", "0"))
        stream = self._streams.get(name)
        if stream is None:
            # A waiting read must see the first record of a stream that does not exist yet.
            stream = self._streams[name] = _Stream()
        deadline = asyncio.get_running_loop().time() + int(query.get("wait_ms", "0")) / 1000
        while not self.knobs.reads_out and stream.end <= start:
            try:
                async with asyncio.timeout_at(deadline):
                    await stream.changed.wait()
            except TimeoutError:
                break
        self._counts["reads"][name] += 1
        if self.knobs.reads_out:
            raise RefusedError(503, "outage")
        self._expire(name, stream)
        if start < stream.earliest:
            return await exchange.reply(410, {"earliest_offset": stream.earliest})
        limit = int(query.get("limit", "1000"))
        return await exchange.reply(200, self._page(name, stream, start=start, limit=limit))

    def _page(self, name: str, stream: _Stream, *, start: int, limit: int) -> dict[str, object]:
        first = start - stream.earliest
        found = [record.body for record in stream.records[first : first + limit]]
        self._counts["bytes_out"][name] += sum(len(bytes(body)) for body in found)
        return {
            "records": [{"offset": start + at, "body": body} for at, body in enumerate(found)],
            "next_offset": start + len(found),
            "end_offset": stream.end,
            "earliest_offset": stream.earliest,
        }

    def _expire(self, name: str, stream: _Stream) -> None:
        knobs = self.knobs
        first_kept = max(stream.earliest, min(knobs.expire_before.get(name, 0), stream.end))
        if knobs.retention_records:
            first_kept = max(first_kept, stream.end - knobs.retention_records)
        oldest_s = self._clock() - knobs.retention_ms / 1000 if knobs.retention_ms else -math.inf
        first = first_kept - stream.earliest
        while first < len(stream.records) and stream.records[first].written_s < oldest_s:
            first += 1
        del stream.records[:first]
        stream.earliest += first


def make_log_service(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    clock: Callable[[], float] = time.monotonic,
    **knobs: Any,
) -> LogService:
    """Makes a log service; `knobs` are the fields of `LogKnobs`."""
    return LogService(LogKnobs(**knobs), clock=clock, host=host, port=port)


if __name__ == "__main__":
    run(make_log_service, LogKnobs)
