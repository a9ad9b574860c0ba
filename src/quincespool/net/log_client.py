"""The log service: followed streams and appends."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from quincespool.core.events import AppendDone
from quincespool.core.events import AppendFailed
from quincespool.core.events import LogRecord
from quincespool.core.events import RecordsRead
from quincespool.core.events import StreamExpired
from quincespool.core.events import StreamUnreachable
from quincespool.net.http_channel import Channel
from quincespool.net.http_channel import ChannelAnswer
from quincespool.net.http_channel import ChannelError
from quincespool.net.http_channel import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.effects import AppendRecord
    from quincespool.core.effects import FollowStream
    from quincespool.core.events import Event
    from quincespool.net.clock import Clock
    from quincespool.net.metrics import Metrics

READ_LIMIT_RECORDS = 200
READ_LIMIT_MS = 5000
APPEND_LIMIT_MS = 5000
MAX_QUEUED_APPENDS = 1000

_FIRST_BACKOFF_MS = 50
_LAST_BACKOFF_MS = 1000


class _Record(msgspec.Struct):
    offset: int
    body: msgspec.Raw


class _ReadAnswer(msgspec.Struct):
    records: list[_Record]
    next_offset: int
    end_offset: int


class _ExpiredAnswer(msgspec.Struct):
    earliest_offset: int


class _AppendAnswer(msgspec.Struct):
    offset: int


class _BadAnswerError(Exception):
    """The log service answered what its protocol does not allow, or that it is out."""


class LogClient:
    """Reads followed streams by long poll and appends records, each stream on its own."""

    def __init__(
        self,
        *,
        address: str,
        post: Callable[[Event], None],
        clock: Clock,
        metrics: Metrics,
        stale_after_ms: int,
    ) -> None:
        self._address = address
        self._post = post
        self._clock = clock
        self._metrics = metrics
        self._stale_after_ms = stale_after_ms
        self._followers: dict[str, asyncio.Task[None]] = {}
        self._appenders: dict[str, _Appender] = {}
        self._traffic = Traffic()
        metrics.watch("log_bytes_sent_total", lambda: self._traffic.sent_bytes)
        metrics.watch("log_bytes_received_total", lambda: self._traffic.received_bytes)

    def follow(self, effect: FollowStream) -> None:
        """Reads a stream from an offset on, in place of an earlier reading of it."""
        self.unfollow(effect.stream)
        loop = asyncio.get_running_loop()
        follower = self._follow(effect.stream, effect.from_offset)
        self._followers[effect.stream] = loop.create_task(follower)

    def unfollow(self, stream: str) -> None:
        """Stops reading a stream; no event of it follows but of its appends."""
        task = self._followers.pop(stream, None)
        if task is not None:
            task.cancel()

    def append(self, effect: AppendRecord) -> None:
        """Appends a record after those given before for the same stream."""
        appender = self._appenders.get(effect.stream)
        if appender is None:
            appender = _Appender(
                channel=Channel(self._address, self._traffic),
                post=self._post,
                clock=self._clock,
                metrics=self._metrics,
            )
            self._appenders[effect.stream] = appender
        appender.add(effect)

    def close(self) -> None:
        """Stops all reading and appending."""
        for stream in list(self._followers):
            self.unfollow(stream)
        for appender in self._appenders.values():
            appender.close()

    async def _follow(self, stream: str, offset: int) -> None:
        channel = Channel(self._address, self._traffic)
        failures = 0
        try:
            while True:
                try:
                    event = await self._read(channel, stream, offset)
                except (ChannelError, _BadAnswerError, msgspec.DecodeError) as error:
                    failures += 1
                    self._tell(stream, StreamUnreachable(stream=stream, detail=str(error)))
                    await asyncio.sleep(_backoff_s(failures))
                    continue
                failures = 0
                if isinstance(event, RecordsRead):
                    offset = event.next_offset
                self._tell(stream, event)
                if isinstance(event, StreamExpired):
                    return
        finally:
            channel.close()

    async def _read(
        self, channel: Channel, stream: str, offset: int
    ) -> RecordsRead | StreamExpired:
        asked_ms = self._clock.now_ms()
        # Shorter than the bound of staleness, so that an idle stream still proves to be read to its
        # end often enough.
        wait_ms = max(1, self._stale_after_ms // 3)
        target = (
            f"/streams/{quote(stream, safe='')}/records"
            f"?from={offset}&limit={READ_LIMIT_RECORDS}&wait_ms={wait_ms}"
        )
        answer = await channel.request("GET", target, time_limit_ms=READ_LIMIT_MS + wait_ms)
        if answer.status == 410:
            expired = msgspec.json.decode(answer.body, type=_ExpiredAnswer)
            return StreamExpired(stream=stream, earliest_offset=expired.earliest_offset)
        if answer.status != 200:
            raise _BadAnswerError(f"status {answer.status}")
        read = _checked(msgspec.json.decode(answer.body, type=_ReadAnswer), offset)
        end_offset = read.end_offset
        if self._clock.now_ms() - asked_ms > self._stale_after_ms:
            # The answer may have waited for us while the process stood still. Its records are true,
            # but that they were the last ones is old news: a paused holder would take itself for
            # up to date. So the end counts as not reached; the next answer says more.
            end_offset = max(end_offset, read.next_offset + 1)
        return RecordsRead(
            stream=stream,
            records=tuple(LogRecord(record.offset, bytes(record.body)) for record in read.records),
            next_offset=read.next_offset,
            end_offset=end_offset,
        )

    def _tell(self, stream: str, event: RecordsRead | StreamExpired | StreamUnreachable) -> None:
        if self._followers.get(stream) is not asyncio.current_task():
            return
        self._metrics.count("log_reads_total", result=type(event).__name__)
        self._post(event)


class _Appender:
    """The appends of one stream, one at a time in the order given."""

    def __init__(
        self,
        *,
        channel: Channel,
        post: Callable[[Event], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._channel = channel
        self._post = post
        self._clock = clock
        self._metrics = metrics
        self._queue: asyncio.Queue[tuple[int, AppendRecord]] = asyncio.Queue(MAX_QUEUED_APPENDS)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def add(self, effect: AppendRecord) -> None:
        try:
            self._queue.put_nowait((self._clock.now_ms(), effect))
        except asyncio.QueueFull:
            self._tell(_failed(effect, may_have_written=False, detail="too many appends wait"))

    def close(self) -> None:
        self._task.cancel()
        self._channel.close()

    async def _run(self) -> None:
        while True:
            asked_ms, effect = await self._queue.get()
            waited_ms = self._clock.now_ms() - asked_ms
            if waited_ms > APPEND_LIMIT_MS:
                detail = f"waited {waited_ms} ms"
                self._tell(_failed(effect, may_have_written=False, detail=detail))
                continue
            self._tell(await self._append(effect))

    async def _append(self, effect: AppendRecord) -> AppendDone | AppendFailed:
        target = f"/streams/{quote(effect.stream, safe='')}/records"
        try:
            answer = await self._channel.request(
                "POST", target, effect.body, time_limit_ms=APPEND_LIMIT_MS
            )
            return _read_append(effect, answer)
        except ChannelError as error:
            return _failed(effect, may_have_written=error.sent, detail=str(error))
        except msgspec.DecodeError as error:
            return _failed(effect, may_have_written=True, detail=str(error))

    def _tell(self, event: AppendDone | AppendFailed) -> None:
        result = "done"
        if isinstance(event, AppendFailed):
            result = "unknown" if event.may_have_written else "refused"
        self._metrics.count("log_appends_total", result=result)
        self._post(event)


def _read_append(effect: AppendRecord, answer: ChannelAnswer) -> AppendDone | AppendFailed:
    if answer.status == 200:
        done = msgspec.json.decode(answer.body, type=_AppendAnswer)
        return AppendDone(stream=effect.stream, append_id=effect.append_id, offset=done.offset)
    refused = answer.status in {429, 503} or 400 <= answer.status < 500
    return _failed(
        effect,
        may_have_written=not refused,
        detail=f"status {answer.status}",
        retry_after_ms=_retry_after_ms(answer.headers),
    )


def _failed(
    effect: AppendRecord, *, may_have_written: bool, detail: str, retry_after_ms: int = 0
) -> AppendFailed:
    return AppendFailed(
        stream=effect.stream,
        append_id=effect.append_id,
        may_have_written=may_have_written,
        retry_after_ms=retry_after_ms,
        detail=detail,
    )


def _checked(read: _ReadAnswer, offset: int) -> _ReadAnswer:
    """Returns the answer if its offsets are those that were asked for.

    Offsets are epochs and fencing numbers. A gap or a repeat would make this daemon decide unlike
    the others, and no symptom would show until two of them act as holders; so such an answer is
    refused as a whole.
    """
    offsets = [record.offset for record in read.records]
    expected = list(range(offset, offset + len(offsets)))
    if offsets != expected or read.next_offset != offset + len(offsets):
        raise _BadAnswerError(f"offsets {offsets[:3]}... next {read.next_offset} from {offset}")
    return read


def _retry_after_ms(headers: dict[str, str]) -> int:
    try:
        return max(0, int(float(headers.get("retry-after", "0")) * 1000))
    except (ValueError, OverflowError):
        return 0


def _backoff_s(failures: int) -> float:
    most_ms = min(_LAST_BACKOFF_MS, _FIRST_BACKOFF_MS << min(failures, 10))
    return random.uniform(0.5, 1.0) * most_ms / 1000
